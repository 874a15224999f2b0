//! Many proxies with little traffic each that share endpoints: their decisions must not add up to overload or
//! starvation.

use crate::support::{max_within_one_second, proxy_settings, ready_endpoints, Harness, SUCCESS};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, EndpointUpdate};
use std::collections::BTreeMap;

/// Sends a request every 40 ms. Attempts to odd endpoints time out if `unreachable` is set; all others succeed.
/// Returns the index of the first request.
fn run_with_odd_endpoints(harness: &mut Harness, requests: usize, unreachable: bool) -> usize {
    let from = harness.checker.requests.len();
    for _ in 0..requests {
        harness.send(0);
        harness.advance(40.0);
        for (id, attempt) in harness.in_flight() {
            let request = &harness.checker.requests[id];
            if !unreachable || request.attempts[attempt].endpoint.is_multiple_of(2) {
                harness.end_attempt(id, attempt, AttemptOutcome::Succeeded);
            } else if harness.checker.now_ms >= request.deadline_ms {
                harness.end_attempt(id, attempt, AttemptOutcome::TimedOut);
            }
        }
    }
    from
}

fn attempts_to_odd_endpoints(harness: &Harness, from: usize) -> usize {
    let attempts = harness.checker.attempts_since(from);
    attempts.filter(|attempt| attempt.endpoint % 2 == 1).count()
}

#[test]
fn a_partitioned_zone_that_is_still_listed_fails_few_requests_and_recovers_within_seconds() {
    // Odd endpoints don't respond for six seconds, but stay in the endpoint list.
    let proxies = 24;
    let endpoints = 12;
    let mut unserved = 0;
    let mut attempts_during = 0;
    let mut requests_during = 0;
    let mut attempts_after = 0;
    for number in 0..proxies {
        let settings = proxy_settings(number, proxies);
        let mut harness = Harness::with_settings(settings, endpoints);
        run_with_odd_endpoints(&mut harness, 100, false);
        let from = run_with_odd_endpoints(&mut harness, 150, true);
        attempts_during += attempts_to_odd_endpoints(&harness, from);
        requests_during += 150;
        let ended = &harness.checker.requests[from..from + 120];
        unserved += ended
            .iter()
            .filter(|request| !request.has_succeeded())
            .count();
        run_with_odd_endpoints(&mut harness, 75, false);
        let from = run_with_odd_endpoints(&mut harness, 75, false);
        attempts_after += attempts_to_odd_endpoints(&harness, from);
    }
    assert!(
        attempts_during * 6 < requests_during,
        "{attempts_during} attempts to unreachable endpoints in {requests_during} requests"
    );
    assert!(
        unserved * 6 < requests_during,
        "{unserved} of {requests_during} requests failed with half of the endpoints available"
    );
    // Three seconds after they respond again, they get a third or more of their normal traffic.
    assert!(
        attempts_after * 6 > proxies * 75,
        "{attempts_after} attempts to recovered endpoints in {} requests",
        proxies * 75
    );
}

/// One in ten endpoints restarts together with the proxies.
fn is_restarted(endpoint: usize) -> bool {
    endpoint % 10 == 5
}

/// One in eight endpoints fails all requests.
fn one_in_eight_fails(endpoint: usize) -> Option<AttemptOutcome> {
    if endpoint % 8 == 1 {
        Some(AttemptOutcome::Failed)
    } else {
        SUCCESS
    }
}

/// The attempts of proxies that start at the same time with the same stale endpoint list.
#[derive(Default)]
struct SimultaneousStart {
    /// The number of proxies per endpoint that sent their first request to it.
    first_attempts: BTreeMap<usize, usize>,
    /// The times of the attempts to each endpoint.
    times_ms: BTreeMap<usize, Vec<f64>>,
}

impl SimultaneousStart {
    /// Seven in ten proxies start now and have learned nothing yet; the others are already running.
    fn run_proxy(&mut self, settings: Settings, stale_list: &[EndpointUpdate]) {
        let is_running = settings
            .proxy_number
            .is_some_and(|number| number % 10.0 >= 7.0);
        let mut harness = Harness::with_settings(settings, 0);
        harness.update_endpoints(stale_list, true, true);
        if is_running {
            harness.run(40, 250.0, one_in_eight_fails);
        } else {
            harness.advance(10_000.0);
        }
        let started_at_ms = harness.checker.now_ms;
        // Discovery now reports the restarts.
        let restarted = stale_list
            .iter()
            .filter(|update| is_restarted(update.endpoint.index()));
        let changes: Vec<EndpointUpdate> = restarted
            .map(|update| EndpointUpdate {
                started_at_ms,
                ..*update
            })
            .collect();
        harness.update_endpoints(&changes, false, false);
        let from = harness.checker.requests.len();
        harness.send(0);
        for attempt in harness.checker.attempts_since(from) {
            *self.first_attempts.entry(attempt.endpoint).or_default() += 1;
        }
        harness.advance(20.0);
        harness.end_attempts(one_in_eight_fails);
        harness.run(11, 250.0, one_in_eight_fails);
        for attempt in harness.checker.attempts_since(from) {
            let times_ms = self.times_ms.entry(attempt.endpoint).or_default();
            times_ms.push(attempt.sent_at_ms);
        }
    }
}

#[test]
fn proxies_that_start_together_with_a_stale_list_do_not_overload_an_endpoint() {
    // The stale list doesn't have the restarts of endpoints 5, 15, 25 and 35, which are in slow start.
    let proxies = 100;
    let endpoints = 40;
    let stale_list = ready_endpoints(endpoints);
    let mut start = SimultaneousStart::default();
    for number in 0..proxies {
        start.run_proxy(proxy_settings(number, proxies), &stale_list);
    }
    // 100 first attempts over 36 warm endpoints.
    let first = &start.first_attempts;
    let most = first.values().max().copied().unwrap_or(0);
    assert!(
        most <= 12,
        "{most} proxies sent their first request to the same endpoint: {first:?}"
    );
    // Each endpoint gets about 10 requests per second. In the first three seconds of slow start, capacity is 20% to
    // 44% of that, and twice the capacity is allowed in any one second.
    for endpoint in [5, 15, 25, 35] {
        let times_ms = start.times_ms.get(&endpoint);
        let most = times_ms.and_then(|times_ms| max_within_one_second(times_ms));
        assert!(
            most.unwrap_or(0) <= 9,
            "{most:?} in one second to endpoint {endpoint}"
        );
    }
}

#[test]
fn proxies_with_two_requests_per_second_neither_starve_nor_overload_an_endpoint() {
    let proxies = 300;
    let endpoints = 200;
    let mut counts = vec![0_usize; endpoints];
    let mut unserved = 0;
    for number in 0..proxies {
        let settings = proxy_settings(number, proxies);
        let mut harness = Harness::with_settings(settings, endpoints);
        // One endpoint in eight takes twice as long as the others.
        for _ in 0..60 {
            let request = harness.send(0);
            harness.advance(60.0);
            harness.end_attempts(|endpoint| SUCCESS.filter(|_| endpoint % 8 != 3));
            harness.advance(60.0);
            harness.end_attempts(|_| SUCCESS);
            harness.advance(380.0);
            unserved += usize::from(!harness.checker.requests[request].has_succeeded());
        }
        for attempt in harness.checker.attempts_since(0) {
            counts[attempt.endpoint] += 1;
        }
    }
    let mean = proxies * 60 / endpoints;
    let least = counts.iter().min().copied();
    let most = counts.iter().max().copied();
    assert!(
        least >= Some(mean / 4) && most <= Some(mean * 5 / 2),
        "{least:?} to {most:?} attempts per endpoint, mean {mean}"
    );
    assert_eq!(unserved, 0, "failed requests at low traffic");
}
