//! Changes of settings, and upgrades to a new process.

use crate::support::{
    default_settings, wire_settings, wire_settings_without, Answer, Harness, SUCCESS,
};
use crankmux::settings::NameIndex;
use crankmux::types::{AttemptOutcome, EndpointState};
use serde_json::json;

#[test]
fn a_missing_setting_is_named() {
    let (_, settings) = NameIndex::from_settings(&wire_settings_without("ColdShare"));
    let error = settings.expect_err("ColdShare is required").to_string();
    assert!(error.contains("cold-share"), "{error}");
    let (mut names, _) = NameIndex::from_settings(&wire_settings(&json!({})));
    let settings = names.update(&wire_settings_without("ColdMs"));
    assert!(settings.is_err_and(|e| e.to_string().contains("cold-time")));
}

#[test]
fn a_request_in_flight_keeps_the_settings_of_its_arrival() {
    let mut harness = Harness::new(6);
    harness.run(100, 20.0, |_| SUCCESS);
    let old = harness.send(0);
    let sent_at_ms = harness.checker.now_ms;
    harness.update_settings(default_settings(), 2, 1);
    let new = harness.send(0);
    harness.end_attempt(old, 0, AttemptOutcome::ConnectionLost);
    harness.end_attempt(new, 0, AttemptOutcome::ConnectionLost);
    assert_eq!(
        harness.checker.requests[old].attempts.len(),
        2,
        "still idempotent"
    );
    assert_eq!(
        harness.checker.requests[new].answers,
        [Answer::Failed],
        "new requests are not idempotent"
    );
    assert_eq!(harness.checker.now_ms, sent_at_ms);
}

/// The attempts to an endpoint in slow start by a process with these shares of the proxy and of its slow-start budget.
fn attempts_in_slow_start(share: f64, slow_start_share: f64) -> usize {
    let mut harness = Harness::new(3);
    harness.run(400, 10.0, |_| SUCCESS);
    let now_ms = harness.checker.now_ms;
    harness.update_endpoint(3, EndpointState::Ready, now_ms);
    let balancer = &mut harness.balancer;
    balancer.set_process_share(share, None, slow_start_share);
    let counts = harness.run(400, 2.5, |_| SUCCESS);
    counts.get(&3).copied().unwrap_or(0)
}

#[test]
fn two_processes_of_a_proxy_share_a_slow_start_budget() {
    let whole = attempts_in_slow_start(1.0, 1.0);
    let half = attempts_in_slow_start(0.5, 1.0);
    assert!(whole >= 8 && half <= whole * 2 / 3, "{half} of {whole}");
}

#[test]
fn a_proxy_in_a_larger_cluster_than_configured_uses_its_share_of_slow_start_budgets() {
    let whole = attempts_in_slow_start(1.0, 1.0);
    let half = attempts_in_slow_start(1.0, 0.5);
    assert!(whole >= 8 && half <= whole * 2 / 3, "{half} of {whole}");
    assert_eq!(
        attempts_in_slow_start(1.0, 0.0),
        0,
        "a proxy without a share"
    );
}

#[test]
fn a_new_process_uses_the_learned_state_of_its_predecessor_in_slow_start() {
    let mut old = Harness::new(4);
    old.run(400, 10.0, |_| SUCCESS);
    let now_ms = old.checker.now_ms;
    let attempts = |harness: &mut Harness| {
        harness.checker.now_ms = now_ms;
        harness.update_endpoint(4, EndpointState::Ready, now_ms);
        // The slow-start budget is about seven requests per second at first, and none of it is available in advance.
        let counts = harness.run(120, 2.5, |_| SUCCESS);
        counts.get(&4).copied().unwrap_or(0)
    };
    let mut successor = Harness::new(4);
    let mut without_learned_state = Harness::new(4);
    let learned = old.balancer.learned_state();
    successor.balancer.restore_learned_state(&learned);
    assert_eq!(successor.balancer.learned_state(), learned);
    assert!(attempts(&mut successor) > 0);
    assert_eq!(
        attempts(&mut without_learned_state),
        0,
        "no throughput of a warm endpoint is known"
    );
}
