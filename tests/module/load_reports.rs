//! Load reports in responses, a limited number of buffered responses, and key affinity.

use crate::support::{default_settings, proxy_settings, Answer, Harness, SUCCESS, TTL_MS};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, LoadReport};
use std::collections::BTreeMap;

fn utilization_report(cpu_utilization: Option<f64>) -> LoadReport {
    LoadReport {
        cpu_utilization,
        ..LoadReport::default()
    }
}

/// Sends a request every 25 ms, each of which succeeds after 100 ms with its endpoint's CPU utilization in the load
/// report. Returns the number of attempts per endpoint.
fn run_with_reports(
    harness: &mut Harness,
    requests: usize,
    utilization: impl Fn(usize) -> Option<f64>,
) -> BTreeMap<usize, usize> {
    let from = harness.checker.requests.len();
    for round in 0..requests {
        harness.send(0);
        harness.advance(25.0);
        let is_due = |(request, attempt): &(usize, usize)| {
            let sent_at_ms = harness.checker.requests[*request].attempts[*attempt].sent_at_ms;
            harness.checker.now_ms - sent_at_ms >= 100.0
        };
        let due: Vec<_> = harness.in_flight().into_iter().filter(is_due).collect();
        for (request, attempt) in due {
            let endpoint = harness.checker.requests[request].attempts[attempt].endpoint;
            // Noise, as a report is new only if it differs from the last one.
            let reported = utilization(endpoint).map(|value| value + (round % 5) as f64 / 1000.0);
            let load = utilization_report(reported);
            harness.end_attempt_with_load(request, attempt, AttemptOutcome::Succeeded, load);
        }
    }
    harness.checker.count_attempts_since(from)
}

#[test]
fn an_endpoint_that_reports_only_high_cpu_utilization_gets_less_traffic() {
    let sent_to_first = |utilization: fn(usize) -> Option<f64>| {
        let mut harness = Harness::with_settings(proxy_settings(0, 3), 4);
        run_with_reports(&mut harness, 400, utilization);
        let counts = run_with_reports(&mut harness, 400, utilization);
        counts.get(&0).copied().unwrap_or(0)
    };
    let busy = sent_to_first(|endpoint| Some(if endpoint == 0 { 0.99 } else { 0.1 }));
    let without_reports = sent_to_first(|_| None);
    assert!(
        busy * 3 < without_reports * 2,
        "{busy} of 400 to the busy endpoint, {without_reports} without reports"
    );
}

#[test]
fn a_proxy_among_many_does_not_count_its_own_attempts_against_reports_of_idle_endpoints() {
    // With 30 proxies and 4 endpoints, one own attempt in flight is extrapolated to six, over a limit of five.
    let in_flight = |utilization: Option<f64>| {
        let mut harness = Harness::with_settings(proxy_settings(0, 30), 4);
        run_with_reports(&mut harness, 100, |_| utilization);
        while !harness.in_flight().is_empty() {
            harness.end_attempts(|_| SUCCESS);
        }
        for _ in 0..20 {
            harness.send(0);
        }
        harness.in_flight().len()
    };
    let idle = in_flight(Some(0.1));
    let without_reports = in_flight(None);
    let busy = in_flight(Some(0.99));
    assert!(
        idle > without_reports && busy <= without_reports,
        "in flight: {idle} if all are idle, {without_reports} without reports, {busy} if all are busy"
    );
}

/// Settings with limited response buffers and a weight for late responses of class 0.
fn few_buffers_settings(late_weight: f64) -> Settings {
    let mut settings = default_settings();
    settings.limited_response_buffers = true;
    settings.classes[0].late_weight = late_weight;
    settings
}

#[test]
fn a_late_request_without_value_is_rejected_when_buffers_are_few() {
    let mut harness = Harness::with_settings(few_buffers_settings(0.0), 2);
    let first = harness.send(0);
    let other = harness.send(2);
    harness.advance(399.0);
    assert!(harness.checker.requests[first].answers.is_empty());
    harness.advance(2.0);
    assert_eq!(
        harness.checker.requests[first].answers,
        [Answer::Rejected],
        "at its latency objective, not near its deadline"
    );
    assert!(
        harness.checker.requests[other].answers.is_empty(),
        "a non-idempotent request may still succeed"
    );
    for settings in [default_settings(), few_buffers_settings(0.2)] {
        let mut harness = Harness::with_settings(settings, 2);
        let request = harness.send(0);
        harness.advance(TTL_MS - 10.0);
        assert!(
            harness.checker.requests[request].answers.is_empty(),
            "a late response that still has value is awaited"
        );
    }
}

#[test]
fn a_response_being_streamed_is_not_aborted() {
    let mut harness = Harness::with_settings(few_buffers_settings(0.0), 2);
    let request = harness.send(0);
    harness.advance(100.0);
    harness.set_body_streaming(request, 0, false);
    harness.advance(500.0);
    assert!(
        harness.checker.requests[request].answers.is_empty(),
        "the client is reading the response"
    );
}

/// The number of attempts in flight after ten simultaneous requests, which follow 30 requests abandoned at their
/// latency objective. The endpoint reports the given CPU utilization in its other responses.
fn in_flight_after_abandoned_requests(cpu_utilization: f64) -> usize {
    let mut harness = Harness::with_settings(few_buffers_settings(0.0), 1);
    for round in 0..30 {
        let slow = harness.send(0);
        let other = harness.send(2);
        harness.advance(100.0);
        let load = utilization_report(Some(cpu_utilization + f64::from(round % 5) / 1000.0));
        if !harness.checker.requests[other].attempts.is_empty() {
            harness.end_attempt_with_load(other, 0, AttemptOutcome::Succeeded, load);
        }
        harness.advance(301.0);
        if !harness.checker.requests[slow].attempts.is_empty() {
            harness.end_attempt(slow, 0, AttemptOutcome::Cancelled);
        }
    }
    for _ in 0..10 {
        harness.send(0);
    }
    harness.in_flight().len()
}

#[test]
fn abandoned_requests_reduce_the_limit_unless_cpu_utilization_is_low() {
    let idle = in_flight_after_abandoned_requests(0.2);
    let busy = in_flight_after_abandoned_requests(0.97);
    assert!(
        idle >= 4 && busy <= 2,
        "{idle} of 10 in flight with low CPU utilization, {busy} with high"
    );
}

fn with_key_affinity(settings: Settings) -> Settings {
    Settings {
        key_affinity: true,
        ..settings
    }
}

/// The largest number of 200 requests that one endpoint gets, and the index of that endpoint.
fn busiest_endpoint(settings: Settings, key: Option<u64>) -> (usize, usize) {
    let mut harness = Harness::with_settings(settings, 8);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for _ in 0..200 {
        let request = harness.send_with_key(0, key);
        harness.advance(20.0);
        let attempt = &harness.checker.requests[request].attempts[0];
        *counts.entry(attempt.endpoint).or_default() += 1;
        harness.end_attempts(|_| SUCCESS);
    }
    let busiest = counts.into_iter().map(|(id, count)| (count, id)).max();
    busiest.expect("all requests were sent")
}

#[test]
fn requests_with_the_same_key_go_to_the_same_endpoint() {
    let settings = |number| with_key_affinity(proxy_settings(number, 16));
    let (count, endpoint) = busiest_endpoint(settings(0), Some(77));
    assert!(count >= 140, "{count} of 200 to the preferred endpoint");
    assert_eq!(
        busiest_endpoint(settings(2), Some(77)).1,
        endpoint,
        "the same endpoint on another proxy"
    );
    assert!(
        busiest_endpoint(proxy_settings(0, 16), Some(77)).0 < 80,
        "no preferred endpoint without key affinity"
    );
    assert!(
        busiest_endpoint(settings(0), None).0 < 80,
        "no preferred endpoint for requests without a key"
    );
}

/// The slow-start budgets of all proxies add up from their estimates of peak throughput, so these must not exceed the
/// actual 25 requests per second in total.
#[test]
fn few_samples_per_endpoint_do_not_inflate_peak_throughput() {
    let settings = with_key_affinity(proxy_settings(3, 20));
    let mut harness = Harness::with_settings(settings, 40);
    harness.run(1500, 40.0, |_| SUCCESS);
    let learned = harness.balancer.learned_state();
    let peaks = learned
        .endpoints
        .iter()
        .map(|(_, statistics)| statistics.peak_throughput);
    let total: f64 = peaks.sum();
    assert!(
        (0.01..0.036).contains(&total),
        "{total} requests per millisecond, of an actual 0.025"
    );
}
