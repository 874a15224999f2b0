//! Load probes, where endpoints report their load only in response to probes.

use crate::support::{endpoint_update, probing_settings, Harness, SUCCESS, TTL_MS};
use crankmux::dispatcher::Dispatcher;
use crankmux::settings::Settings;
use crankmux::types::{ClassId, EndpointId, EndpointState, LoadReport, NewRequest, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Sends requests at an interval, with successful attempts and probes that report the endpoint's requests in flight.
/// Returns the number of attempts per endpoint.
fn run(
    harness: &mut Harness,
    keys: &[Option<u64>],
    interval_ms: f64,
    in_flight: impl Fn(usize) -> f64,
) -> BTreeMap<usize, usize> {
    let from = harness.checker.requests.len();
    for key in keys {
        harness.send_with_key(0, *key);
        harness.answer_probes(|endpoint| Some(in_flight(endpoint)));
        harness.advance(interval_ms);
        harness.end_attempts(|_| SUCCESS);
    }
    harness.checker.count_attempts_since(from)
}

#[test]
fn a_request_probes_two_endpoints_and_goes_to_the_less_loaded_one() {
    let mut harness = Harness::with_settings(probing_settings(), 6);
    assert!(
        harness.checker.probes.is_empty(),
        "a proxy without requests sends no probes"
    );
    let request = harness.send(0);
    assert_eq!(
        (
            harness.checker.probes.len(),
            harness.checker.requests[request].attempts.len()
        ),
        (2, 0)
    );
    let probed = harness.checker.probes.clone();
    harness.answer_probes(|endpoint| Some(if endpoint == probed[0] { 4.0 } else { 0.0 }));
    assert_eq!(
        harness.checker.requests[request].attempts[0].endpoint,
        probed[1]
    );
    harness.end_attempts(|_| SUCCESS);
    // A probe without a response delays its request only briefly and is not taken for overload.
    harness.advance(1000.0);
    let request = harness.send(0);
    harness.advance(41.0);
    assert_eq!(
        harness.checker.requests[request].attempts.len(),
        1,
        "sent after a tenth of the latency objective"
    );
    harness.answer_probes(|_| None);
    harness.end_attempts(|_| SUCCESS);
    let in_flight = |endpoint| if endpoint < 3 { 0.0 } else { 4.0 };
    let counts = run(&mut harness, &[None; 200], 400.0, in_flight);
    let idle: usize = (0..3).filter_map(|endpoint| counts.get(&endpoint)).sum();
    assert!(
        idle > 140 && idle < 200,
        "most requests, but not all, go to idle endpoints: {counts:?}"
    );
}

#[test]
fn the_response_to_a_probe_sent_before_a_restart_is_ignored() {
    let mut harness = Harness::with_settings(probing_settings(), 2);
    harness.send(0);
    let started_at_ms = harness.checker.now_ms - 20_000.0;
    let restarted = [0, 1].map(|id| endpoint_update(id, EndpointState::Ready, started_at_ms));
    harness.update_endpoints(&restarted, false, false);
    harness.answer_probes(|_| Some(500.0));
    harness.advance(50.0);
    harness.end_attempts(|_| SUCCESS);
    let request = harness.send(0);
    harness.answer_probes(|_| Some(0.0));
    assert_eq!(
        harness.checker.requests[request].attempts.len(),
        1,
        "the endpoint is not taken for overloaded"
    );
}

/// Settings for one of 200 proxies.
fn many_proxies_settings() -> Settings {
    Settings {
        proxy_count: 200.0,
        ..probing_settings()
    }
}

#[test]
fn a_proxy_with_little_traffic_rejects_nothing_while_endpoints_are_idle() {
    let mut harness = Harness::with_settings(many_proxies_settings(), 12);
    for round in 0..200 {
        // Every fifth round sends three requests at once; every tenth is slow although endpoints report little load.
        let count = 1 + 2 * usize::from(round % 5 == 0);
        let requests: Vec<usize> = (0..count).map(|_| harness.send(2)).collect();
        harness.answer_probes(|_| Some(2.0));
        harness.advance(if round % 10 == 9 { 900.0 } else { 50.0 });
        harness.end_attempts(|_| SUCCESS);
        harness.advance(500.0);
        let has_succeeded = |request: &usize| harness.checker.requests[*request].has_succeeded();
        assert!(requests.iter().all(has_succeeded), "round {round}");
    }
}

#[test]
fn a_busy_proxy_among_many_exceeds_an_equal_share_of_the_limit() {
    let mut harness = Harness::with_settings(many_proxies_settings(), 2);
    run(&mut harness, &[None; 600], 20.0, |_| 0.3);
    let requests: Vec<usize> = (0..6).map(|_| harness.send(0)).collect();
    harness.answer_probes(|_| Some(0.0));
    harness.advance(50.0);
    let was_sent = |request: &&usize| !harness.checker.requests[**request].attempts.is_empty();
    let sent = requests.iter().filter(was_sent).count();
    assert!(
        sent >= 5,
        "{sent} of 6 sent; a share of 1/200 would allow one per endpoint"
    );
}

#[test]
fn overloaded_endpoints_still_get_some_of_the_requests() {
    let mut harness = Harness::with_settings(probing_settings(), 6);
    run(&mut harness, &[None; 100], 100.0, |_| 1.0);
    let counts = run(&mut harness, &[None; 300], 100.0, |_| 9.0);
    let sent: usize = counts.values().sum();
    assert!((10..150).contains(&sent), "{sent} of 300 sent");
}

#[test]
fn requests_rarely_leave_their_zone_unless_it_is_loaded() {
    let settings = Settings {
        local_zone: 1,
        cross_zone_price: 0.2,
        ..probing_settings()
    };
    let mut harness = Harness::with_settings(settings, 8);
    // Even endpoints are in the other zone.
    let cross_zone = |counts: BTreeMap<usize, usize>| -> usize {
        let other_zone = counts.iter().filter(|(endpoint, _)| *endpoint % 2 == 0);
        other_zone.map(|(_, count)| count).sum()
    };
    let idle = cross_zone(run(&mut harness, &[None; 200], 100.0, |_| 0.0));
    assert!(
        idle < 40,
        "{idle} of 200 sent to the other zone while all endpoints are idle"
    );
    let in_flight = |endpoint| [0.0, 4.0][endpoint % 2];
    let loaded = cross_zone(run(&mut harness, &[None; 200], 100.0, in_flight));
    assert!(
        loaded > 80,
        "{loaded} of 200 sent to the other zone while the own zone is loaded"
    );
}

const KEY: Option<u64> = Some(77);

/// Sends 60 requests with the same key through one of 50 proxies; returns the number of attempts per endpoint.
fn run_with_key(proxy_number: u64, in_flight: &dyn Fn(usize) -> f64) -> BTreeMap<usize, usize> {
    let settings = Settings {
        proxy_count: 50.0,
        proxy_number: Some(proxy_number as f64),
        ..probing_settings()
    };
    let mut harness = Harness::with_settings(settings, 12);
    run(&mut harness, &[KEY; 60], 60.0, in_flight)
}

/// The two endpoints with the most attempts, and their counts.
fn busiest_two(counts: BTreeMap<usize, usize>) -> BTreeMap<usize, usize> {
    let mut counts: Vec<_> = counts.into_iter().map(|(id, count)| (count, id)).collect();
    counts.sort_unstable();
    let busiest = counts.split_off(counts.len().saturating_sub(2));
    busiest.into_iter().map(|(count, id)| (id, count)).collect()
}

#[test]
fn all_proxies_prefer_the_same_endpoints_for_a_key_and_avoid_an_overloaded_one() {
    let first_two = busiest_two(run_with_key(1, &|_| 2.0));
    assert_eq!(
        first_two.values().sum::<usize>(),
        60,
        "all requests go to two endpoints: {first_two:?}"
    );
    let endpoints =
        |counts: &BTreeMap<usize, usize>| counts.keys().copied().collect::<BTreeSet<_>>();
    let mut total: BTreeMap<usize, usize> = BTreeMap::new();
    for number in 1..21 {
        let counts = run_with_key(number, &|_| 2.0);
        for (endpoint, count) in &counts {
            *total.entry(*endpoint).or_insert(0) += count;
        }
        assert_eq!(
            endpoints(&busiest_two(counts)),
            endpoints(&first_two),
            "the same two endpoints on all proxies"
        );
    }
    let busiest = total.iter().max_by_key(|(_, count)| **count);
    let (first, count) = busiest
        .map(|(id, count)| (*id, *count))
        .expect("requests were sent");
    assert!(count > 660, "{count} of 1200 to the preferred endpoint");
    let in_flight = |endpoint| if endpoint == first { 30.0 } else { 0.0 };
    let counts = run_with_key(1, &in_flight);
    assert!(
        counts.get(&first).copied().unwrap_or(0) < 20,
        "an overloaded endpoint is avoided: {counts:?}"
    );
}

#[test]
fn only_the_preferred_endpoint_of_a_key_is_probed_while_its_load_is_light() {
    let mut harness = Harness::with_settings(probing_settings(), 12);
    run(&mut harness, &[KEY; 3], 400.0, |_| 0.0);
    harness.send_with_key(0, KEY);
    assert_eq!(harness.checker.probes.len(), 1);
}

#[test]
fn without_hedging_an_attempt_may_use_all_the_remaining_time() {
    let mut dispatcher = Dispatcher::new(probing_settings(), 7);
    let listed = [endpoint_update(0, EndpointState::Ready, 0.0)];
    dispatcher.update_endpoints(50_000.0, &listed, true, false);
    let arrival = NewRequest {
        request: RequestId::new(3),
        class: ClassId::new(1),
        tenant: None,
        ttl_ms: TTL_MS,
        client_retry: false,
        affinity_key: None,
    };
    let steps = dispatcher.request_arrived(50_000.0, &arrival);
    assert!(steps.attempts.is_empty(), "the endpoint is probed first");
    assert_eq!(dispatcher.take_probes(), [EndpointId::new(0)]);
    let idle = LoadReport {
        in_flight: Some(0.0),
        ..LoadReport::default()
    };
    dispatcher.probe_ended(50_010.0, EndpointId::new(0), Some(idle));
    let next = dispatcher.tick(50_010.0, 50_010.0);
    assert_eq!(
        next[0].1.attempts[0].timeout_ms,
        TTL_MS - 10.0,
        "a slow request is not cancelled and retried"
    );
}

#[test]
fn an_endpoint_that_is_slow_despite_low_reported_load_gets_few_requests() {
    let mut harness = Harness::with_settings(probing_settings(), 4);
    run(&mut harness, &[None; 100], 50.0, |_| 1.0);
    let mut to_slow_endpoint = 0;
    for round in 0..120 {
        let request = harness.send(0);
        // Endpoint 0 reports no load, unlike the others, but takes four times as long to respond.
        harness.answer_probes(|endpoint| Some(if endpoint == 0 { 0.0 } else { 4.2 }));
        let attempt = harness.checker.requests[request].attempts.first();
        let is_slow = attempt.is_some_and(|attempt| attempt.endpoint == 0);
        to_slow_endpoint += usize::from(is_slow && round >= 40);
        harness.advance(if is_slow { 200.0 } else { 50.0 });
        harness.end_attempts(|_| SUCCESS);
        harness.advance(350.0);
    }
    assert!(to_slow_endpoint < 3, "{to_slow_endpoint} of 80");
}
