//! Hundreds of proxies before the same endpoints, each seeing little traffic: what is harmless in one proxy must be
//! harmless in all.

use crate::support::{max_within_one_second, proxy_settings, ready_endpoints, Harness, SUCCESS};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, EndpointUpdate};
use std::collections::BTreeMap;

/// Requests at an interval of 40 ms. Even endpoints answer at once; while odd ones are cut off their attempts end
/// with their requests. Returns the index of the first request.
fn run_with_odd_endpoints(harness: &mut Harness, requests: usize, cut_off: bool) -> usize {
    let from = harness.checker.requests.len();
    for _ in 0..requests {
        harness.send(0);
        harness.advance(40.0);
        for (id, attempt) in harness.in_flight() {
            let request = &harness.checker.requests[id];
            if !cut_off || request.attempts[attempt].endpoint.is_multiple_of(2) {
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
fn a_zone_cut_off_while_lists_come_late_costs_little_and_is_used_again_within_seconds() {
    // Two dozen proxies before a dozen endpoints, the odd ones silent for six seconds: no list says so.
    let proxies = 24;
    let endpoints = 12;
    let mut unserved = 0;
    let mut tried = 0;
    let mut during = 0;
    let mut after = 0;
    for number in 0..proxies {
        let settings = proxy_settings(number, proxies);
        let mut harness = Harness::with_settings(settings, endpoints);
        run_with_odd_endpoints(&mut harness, 100, false);
        let from = run_with_odd_endpoints(&mut harness, 150, true);
        tried += attempts_to_odd_endpoints(&harness, from);
        during += 150;
        let ended = &harness.checker.requests[from..from + 120];
        unserved += ended
            .iter()
            .filter(|request| !request.has_succeeded())
            .count();
        run_with_odd_endpoints(&mut harness, 75, false);
        let from = run_with_odd_endpoints(&mut harness, 75, false);
        after += attempts_to_odd_endpoints(&harness, from);
    }
    assert!(
        tried * 6 < during,
        "{tried} attempts of {during} to endpoints that said nothing"
    );
    assert!(
        unserved * 6 < during,
        "{unserved} of {during} requests were not served though half of the endpoints were there"
    );
    // Three seconds after they answer again, they carry a good part of what half of the fleet would.
    assert!(
        after * 6 > proxies * 75,
        "{after} of {} attempts",
        proxies * 75
    );
}

/// One in ten endpoints is new when the proxies start, and one in eight fails all that it gets.
fn is_new(endpoint: usize) -> bool {
    endpoint % 10 == 5
}

fn one_in_eight_fails(endpoint: usize) -> Option<AttemptOutcome> {
    if endpoint % 8 == 1 {
        Some(AttemptOutcome::Failed)
    } else {
        SUCCESS
    }
}

/// Attempts of proxies that start at one moment with one old list.
#[derive(Default)]
struct SimultaneousStart {
    /// How many proxies sent their first request to each endpoint.
    first: BTreeMap<usize, usize>,
    /// The attempts to each new endpoint.
    times_ms: BTreeMap<usize, Vec<f64>>,
}

impl SimultaneousStart {
    /// Seven proxies in ten start now and know nothing; the others have run before.
    fn run_proxy(&mut self, settings: Settings, old_list: &[EndpointUpdate]) {
        let is_old = settings
            .proxy_number
            .is_some_and(|number| number % 10.0 >= 7.0);
        let mut harness = Harness::with_settings(settings, 0);
        harness.update_endpoints(old_list, true, true);
        if is_old {
            harness.run(40, 250.0, one_in_eight_fails);
        } else {
            harness.advance(10_000.0);
        }
        let started_at_ms = harness.checker.now_ms;
        // What discovery tells them in the same moment.
        let restarted = old_list
            .iter()
            .filter(|update| is_new(update.endpoint.index()));
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
            *self.first.entry(attempt.endpoint).or_default() += 1;
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
fn seven_in_ten_proxies_that_start_at_once_with_one_old_list_crowd_nobody() {
    // A hundred proxies before forty endpoints; the old list knows nothing of a release: endpoints 5, 15, 25 and
    // 35 are warming up.
    let proxies = 100;
    let endpoints = 40;
    let old_list = ready_endpoints(endpoints);
    let mut start = SimultaneousStart::default();
    for number in 0..proxies {
        start.run_proxy(proxy_settings(number, proxies), &old_list);
    }
    // A hundred first attempts over thirty-six endpoints.
    let first = &start.first;
    let most = first.values().max().copied().unwrap_or(0);
    assert!(
        most <= 12,
        "{most} proxies asked one endpoint first: {first:?}"
    );
    // Each endpoint bears some ten a second; a new one is able to do a fifth to 0.44 of that in these three
    // seconds, twice of which is allowed in any second.
    for endpoint in [5, 15, 25, 35] {
        let times_ms = start.times_ms.get(&endpoint);
        let most = times_ms.and_then(|times_ms| max_within_one_second(times_ms));
        assert!(most.unwrap_or(0) <= 9, "{most:?} in a second at {endpoint}");
    }
}

#[test]
fn proxies_that_see_two_requests_a_second_neither_starve_nor_flood_any_of_two_hundred_endpoints() {
    let proxies = 300;
    let endpoints = 200;
    let mut counts = vec![0_usize; endpoints];
    let mut unserved = 0;
    for number in 0..proxies {
        let settings = proxy_settings(number, proxies);
        let mut harness = Harness::with_settings(settings, endpoints);
        // One endpoint in eight takes twice as long as the others: slower than most, and worth its share.
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
        "{least:?} to {most:?} about {mean}"
    );
    assert_eq!(unserved, 0, "a quiet proxy has room");
}
