//! Draining endpoints of which only some proxies know.

use crate::common::{assert_rules_kept, attempts, started_cluster};
use crankmux_fault_injection::Harness;

#[test]
fn a_drain_known_to_some_proxies_holds_at_those_whose_discovery_is_silent() {
    let mut harness = started_cluster("drain", 4);
    harness.discovery_silent[2] = true;
    harness.discovery_silent[3] = true;
    harness.drain(5);
    harness.advance(1500.0);
    let drained_at_ms = harness.now();
    harness.advance(3000.0);
    let to_draining: Vec<usize> = (0..4)
        .map(|proxy| harness.attempts(proxy, 5, drained_at_ms))
        .collect();
    assert_eq!(
        to_draining,
        [0, 0, 0, 0],
        "attempts at a draining endpoint, by proxy"
    );
    assert!(
        attempts(&harness, 2, drained_at_ms) > 0,
        "it sends elsewhere"
    );
    // Their own lists come as far, and have it ready again.
    harness.restart_endpoint(5);
    harness.discovery_silent[2] = false;
    harness.discovery_silent[3] = false;
    let restarted_at_ms = harness.now();
    assert!(
        harness.run_until(20_000.0, |harness| harness.attempts(2, 5, restarted_at_ms)
            > 0),
        "ready again, for a proxy of its zone whose discovery was silent"
    );
    let overridden = |harness: &Harness| {
        harness.proxies[3]
            .page()
            .and_then(|page| page["held_stricter"].as_u64())
    };
    assert!(
        harness.run_until(10_000.0, |harness| overridden(harness) == Some(0)),
        "its own list has come as far"
    );
    assert_rules_kept(&mut harness);
}
