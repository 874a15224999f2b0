//! Partitions of the cluster, and proxies that are isolated.

use crate::common::{
    all_saw, assert_agree_within, assert_rules_kept, cluster_harness, started_cluster, DISCOVERY_MS,
};
use crankmux_fault_injection::PathFaults;

#[test]
fn a_partition_in_three_keeps_the_cluster_size_and_slow_start_shares_and_heals_in_any_order() {
    let mut harness = started_cluster("split", 6);
    let groups: [&[usize]; 3] = [&[0, 1], &[2, 3], &[4, 5]];
    harness.partition(&groups, PathFaults::default());
    let cut_at_ms = harness.now();
    assert!(harness.run_until(10_000.0, |harness| {
        all_saw(harness, &[0, 1], 5, "failed", cut_at_ms)
            && all_saw(harness, &[4, 5], 0, "failed", cut_at_ms)
    }));
    // Each side reaches two of six; an endpoint restarts meanwhile, and all six send to it in its slow start.
    harness.restart_endpoint(1);
    harness.advance(3000.0);
    for view in harness.views.iter().filter(|view| view.at_ms > cut_at_ms) {
        assert!(
            view.assumed_proxies >= 5.99,
            "those beyond the partition send too: {view:?}"
        );
        assert!(view.slow_start_share <= 1.0 + 1e-9);
    }
    harness.partition(&[&[0, 1, 4, 5], &[2, 3]], PathFaults::default());
    assert!(harness.run_until(DISCOVERY_MS, |harness| {
        all_saw(harness, &[0], 4, "alive", cut_at_ms + 6000.0)
    }));
    harness.partition(&[&[0, 1, 2, 3, 4, 5]], PathFaults::default());
    let healed_at_ms = harness.now();
    assert_agree_within(&mut harness, DISCOVERY_MS, &[0, 1, 2, 3, 4, 5]);
    let healing_ms = harness.now() - healed_at_ms;
    assert!(
        healing_ms < 10_000.0,
        "all views are equal after {healing_ms:.0} ms"
    );
    assert_rules_kept(&mut harness);
}

#[test]
fn an_isolated_proxy_serves_on_as_one_that_shares_nothing() {
    let mut harness = cluster_harness("alone", 3, |start| start.seeds = 1);
    harness.start(1, false);
    let is_isolated = harness.run_until(10_000.0, |harness| {
        let view = harness.view(1);
        view.is_some_and(|view| view.reach == "alone" && view.slow_start_share == 1.0)
    });
    assert!(is_isolated, "{:?}", harness.view(1));
    harness.start_load();
    harness.advance(1000.0);
    harness.start(2, false);
    harness.advance(500.0);
    harness.start(0, false);
    assert_agree_within(&mut harness, DISCOVERY_MS, &[0, 1, 2]);
    // Its datagrams alone are lost, both ways; its HTTP serves.
    let cut_at_ms = harness.now();
    let cut = PathFaults {
        cut: true,
        ..PathFaults::default()
    };
    harness.set_path_faults(&[2], &[0, 1], cut);
    harness.set_path_faults(&[0, 1], &[2], cut);
    assert!(harness.run_until(8000.0, |harness| all_saw(
        harness,
        &[0, 1],
        2,
        "failed",
        cut_at_ms
    )));
    let served_before = harness.attempt_count();
    harness.advance(2000.0);
    assert!(
        harness.attempt_count() > served_before && harness.view(2).unwrap().reach == "alone",
        "{:?}",
        harness.view(2)
    );
    assert!(
        harness.view(0).unwrap().assumed_proxies >= 2.99,
        "it may send: {:?}",
        harness.view(0)
    );
    assert_rules_kept(&mut harness);
}
