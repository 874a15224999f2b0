//! What was learned is restored as it was captured, within what figures can be.

use crankmux::settings::NameIndex;
use crankmux::types::{EndpointId, EndpointStatistics, LearnedState};
use crankmux_proxy::lifecycle::upgrade::{HandoverSnapshot, LearnedStateSnapshot};
use serde_json::{json, Value};

fn name_index() -> NameIndex {
    let settings = json!({"Categories": [{"Name": "view"}, {"Name": "pay"}]});
    let (mut name_index, _) = NameIndex::from_settings(&settings);
    for stable_hash in [11, 12] {
        name_index.endpoint(stable_hash);
    }
    name_index
}

fn fresh() -> LearnedState {
    let statistics = EndpointStatistics {
        best_relative_latency: 1.0,
        concurrency_limit: 5.0,
        ..EndpointStatistics::default()
    };
    LearnedState {
        mean_latency_ms: 100.0,
        tail_multiple: 2.0,
        classes: vec![(100.0, 0.0); 2],
        endpoints: vec![
            (EndpointId::new(0), statistics),
            (EndpointId::new(1), statistics),
        ],
        ..LearnedState::default()
    }
}

/// Restores what a file stores under its name for the learned state.
fn restored(stored: Value) -> LearnedState {
    let text = json!({ "learnt": stored }).to_string();
    let snapshot = HandoverSnapshot::parse(text.as_bytes()).learned_state;
    snapshot.restore(&name_index(), fresh())
}

#[test]
fn captured_figures_are_restored() {
    let statistics = EndpointStatistics {
        relative_latency: Some(1.5),
        best_relative_latency: 0.9,
        error_rate: 0.1,
        throughput: 0.02,
        peak_throughput: 0.03,
        concurrency_limit: 17.0,
    };
    let unanswered = EndpointStatistics {
        relative_latency: None,
        ..statistics
    };
    let old = LearnedState {
        mean_latency_ms: 80.0,
        tail_multiple: 3.0,
        warm_throughput: 0.01,
        classes: vec![(70.0, 40.0), (90.0, 7.0)],
        endpoints: vec![
            (EndpointId::new(0), statistics),
            (EndpointId::new(1), unanswered),
        ],
    };
    let captured = LearnedStateSnapshot::capture(&name_index(), &old);
    let stored = serde_json::to_value(captured).expect("JSON");
    assert_eq!(restored(stored), old);
}

#[test]
fn torn_figures_change_nothing() {
    for torn in [
        Value::Null,
        json!([]),
        json!({"servers": 3, "categories": "x", "time": "soon"}),
    ] {
        assert_eq!(restored(torn), fresh());
    }
}

#[test]
fn absurd_figures_are_held_to_what_can_be() {
    let state = restored(json!({
        "time": -5, "slack": 1e300, "warm_rate": 1e300, "categories": {"pay": [0, -1], "view": [1]},
        "servers": [
            {"mark": 11, "limit": 1e9, "faults": -3, "pace": 0, "peak": "x"},
            {"mark": 99, "limit": 1},
        ],
    }));
    assert_eq!(state.mean_latency_ms, 0.01);
    assert_eq!(state.tail_multiple, 8.0);
    assert_eq!(state.warm_throughput, 1e3);
    assert_eq!(state.classes, [(100.0, 0.0), (0.01, 0.0)]);
    let first = state.endpoints[0].1;
    assert_eq!(first.concurrency_limit, 1e3);
    assert_eq!(first.error_rate, 0.0);
    assert_eq!(first.relative_latency, Some(0.001));
    assert_eq!(first.peak_throughput, 0.0);
    assert_eq!(state.endpoints[1], fresh().endpoints[1]);
}
