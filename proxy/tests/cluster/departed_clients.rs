//! Requests whose clients have left.

use crate::common::{environment, harness_in, ENDPOINTS};

#[test]
fn a_request_whose_client_left_is_not_retried_while_endpoints_fail() {
    let mut script = environment(2);
    script.clients.impatient_fraction = 1.0;
    script.limits.slow_start_s = 0.001;
    // A retry may meet the next failure within milliseconds. With fewer attempts, a quick machine would use up all
    // that a request may have before its client leaves, and no client would leave at all.
    script.limits.max_attempts = 50;
    for category in &mut script.request_classes {
        category.mean_work_ms = 60_000.0;
    }
    let mut harness = harness_in(script, "leavers", |start| start.cluster = false);
    harness.rate = 20.0;
    harness.start_all();
    harness.advance(500.0);
    harness.start_load();
    // Clients leave after 750 ms; attempts at an endpoint fail every 300 ms, so that requests would be retried.
    let mut restarts = 0;
    let many_left = harness.run_until(20_000.0, |harness| {
        if harness.now() > 300.0 / ENDPOINTS as f64 * restarts as f64 {
            harness.restart_endpoint(restarts % ENDPOINTS);
            restarts += 1;
        }
        harness.service.unanswered > 60
    });
    assert!(many_left, "{:?}", harness.service);
    let [lost, twice, drains, _, left] = harness.invariants.counts();
    assert_eq!(
        [lost, twice, drains, left],
        [0; 4],
        "{:#?}",
        harness.violations()
    );
    let clients_left = harness.invariants.clients_left();
    let attempts_after_ms = harness.invariants.attempt_delays_after_departure_ms();
    let within = |from_ms: f64, to_ms: f64| {
        attempts_after_ms
            .iter()
            .filter(|after_ms| (from_ms..to_ms).contains(*after_ms))
            .count()
    };
    println!(
        "{clients_left} clients left; attempts that much later: under 10 ms {}, 10 to 30 ms {}, 30 to 100 ms {}, more {}",
        within(0.0, 10.0),
        within(10.0, 30.0),
        within(30.0, 100.0),
        within(100.0, f64::INFINITY)
    );
}
