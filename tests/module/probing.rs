//! Where endpoints report their load only when they are asked.

use crate::support::{endpoint_update, probing_settings, Harness, SUCCESS, TTL_MS};
use crankmux::dispatcher::Dispatcher;
use crankmux::settings::Settings;
use crankmux::types::{ClassId, EndpointId, EndpointState, LoadReport, NewRequest, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Requests one after the other, each ended after an interval once its probes are answered. Returns how many
/// attempts each endpoint got.
fn run(
    harness: &mut Harness,
    keys: &[Option<u64>],
    interval_ms: f64,
    held: impl Fn(usize) -> f64,
) -> BTreeMap<usize, usize> {
    let from = harness.checker.requests.len();
    for key in keys {
        harness.send_with_key(0, *key);
        harness.answer_probes(|endpoint| Some(held(endpoint)));
        harness.advance(interval_ms);
        harness.end_attempts(|_| SUCCESS);
    }
    harness.checker.count_attempts_since(from)
}

#[test]
fn a_request_asks_two_endpoints_for_their_load_and_goes_where_less_is_held() {
    let mut harness = Harness::with_settings(probing_settings(), 6);
    assert!(
        harness.checker.probes.is_empty(),
        "a proxy without requests asks nothing"
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
    // One that stays silent holds its request for a moment only, and tells nothing of crowding.
    harness.advance(1000.0);
    let request = harness.send(0);
    harness.advance(41.0);
    assert_eq!(
        harness.checker.requests[request].attempts.len(),
        1,
        "a tenth of the latency objective"
    );
    harness.answer_probes(|_| None);
    harness.end_attempts(|_| SUCCESS);
    let held = |endpoint| if endpoint < 3 { 0.0 } else { 4.0 };
    let counts = run(&mut harness, &[None; 200], 400.0, held);
    let idle: usize = (0..3).filter_map(|endpoint| counts.get(&endpoint)).sum();
    assert!(
        idle > 140 && idle < 200,
        "drawn by the reports, by chance: {counts:?}"
    );
}

#[test]
fn a_report_from_before_a_restart_tells_nothing() {
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
        "not thought full"
    );
}

/// Settings of one proxy of two hundred.
fn settings_of_many() -> Settings {
    Settings {
        proxy_count: 200.0,
        ..probing_settings()
    }
}

#[test]
fn a_quiet_proxy_among_many_rejects_nothing_on_an_idle_fleet() {
    let mut harness = Harness::with_settings(settings_of_many(), 12);
    for round in 0..200 {
        // Now and then three at once, and one in ten is heavy, late on an endpoint that holds little.
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
fn a_busy_proxy_among_many_quiet_ones_uses_what_its_traffic_needs() {
    let mut harness = Harness::with_settings(settings_of_many(), 2);
    run(&mut harness, &[None; 600], 20.0, |_| 0.3);
    let requests: Vec<usize> = (0..6).map(|_| harness.send(0)).collect();
    harness.answer_probes(|_| Some(0.0));
    harness.advance(50.0);
    let was_sent = |request: &&usize| !harness.checker.requests[**request].attempts.is_empty();
    let sent = requests.iter().filter(was_sent).count();
    assert!(
        sent >= 5,
        "{sent} of 6, not one an endpoint as a two-hundredth would be"
    );
}

#[test]
fn a_crowded_fleet_is_neither_fed_by_all_nor_left_by_all() {
    let mut harness = Harness::with_settings(probing_settings(), 6);
    run(&mut harness, &[None; 100], 100.0, |_| 1.0);
    let counts = run(&mut harness, &[None; 300], 100.0, |_| 9.0);
    let sent: usize = counts.values().sum();
    assert!(
        (10..150).contains(&sent),
        "chance lets some of 300 in: {sent}"
    );
}

#[test]
fn an_idle_fleet_is_no_reason_to_cross_zones_and_a_crowd_is() {
    let settings = Settings {
        my_zone: 1,
        cross_zone_price: 0.2,
        ..probing_settings()
    };
    let mut harness = Harness::with_settings(settings, 8);
    // Endpoints stand in two zones by turns.
    let crossed = |counts: BTreeMap<usize, usize>| -> usize {
        let other_zone = counts.iter().filter(|(endpoint, _)| *endpoint % 2 == 0);
        other_zone.map(|(_, count)| count).sum()
    };
    let idle = crossed(run(&mut harness, &[None; 200], 100.0, |_| 0.0));
    assert!(idle < 40, "{idle} of 200 crossed an idle fleet");
    let held = |endpoint| [0.0, 4.0][endpoint % 2];
    let crowd = crossed(run(&mut harness, &[None; 200], 100.0, held));
    assert!(crowd > 80, "{crowd} of 200 left a crowd");
}

const KEY: Option<u64> = Some(77);

/// How many of sixty requests of one key each endpoint gets from one proxy of fifty.
fn run_with_key(proxy_number: u64, held: &dyn Fn(usize) -> f64) -> BTreeMap<usize, usize> {
    let settings = Settings {
        proxy_count: 50.0,
        proxy_number: Some(proxy_number as f64),
        ..probing_settings()
    };
    let mut harness = Harness::with_settings(settings, 12);
    run(&mut harness, &[KEY; 60], 60.0, held)
}

/// The two endpoints that got most, with their counts.
fn busiest_two(counts: BTreeMap<usize, usize>) -> BTreeMap<usize, usize> {
    let mut counts: Vec<_> = counts.into_iter().map(|(id, count)| (count, id)).collect();
    counts.sort_unstable();
    let busiest = counts.split_off(counts.len().saturating_sub(2));
    busiest.into_iter().map(|(count, id)| (id, count)).collect()
}

#[test]
fn requests_of_a_key_meet_at_the_same_endpoints_from_every_proxy_and_leave_a_full_one() {
    let first_two = busiest_two(run_with_key(1, &|_| 2.0));
    assert_eq!(
        first_two.values().sum::<usize>(),
        60,
        "its first two have all of it: {first_two:?}"
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
            "alike at all proxies"
        );
    }
    let busiest = total.iter().max_by_key(|(_, count)| **count);
    let (first, count) = busiest.map(|(id, count)| (*id, *count)).expect("served");
    assert!(count > 660, "{count} of 1200 at its first");
    let held = |endpoint| if endpoint == first { 30.0 } else { 0.0 };
    let counts = run_with_key(1, &held);
    assert!(
        counts.get(&first).copied().unwrap_or(0) < 20,
        "a full one is left: {counts:?}"
    );
}

#[test]
fn the_first_endpoint_of_a_key_is_asked_alone_while_its_load_is_light() {
    let mut harness = Harness::with_settings(probing_settings(), 12);
    run(&mut harness, &[KEY; 3], 400.0, |_| 0.0);
    harness.send_with_key(0, KEY);
    assert_eq!(harness.checker.probes.len(), 1);
}

#[test]
fn an_attempt_has_all_time_of_its_request_where_nothing_is_hedged() {
    let mut dispatcher = Dispatcher::new(probing_settings(), 7);
    let listed = [endpoint_update(0, EndpointState::Ready, 0.0)];
    dispatcher.update_endpoints(50_000.0, &listed, true, false);
    let arrival = NewRequest {
        request: RequestId::new(3),
        class: ClassId::new(1),
        tenant: None,
        ttl_ms: TTL_MS,
        client_retry: false,
        key: None,
    };
    let steps = dispatcher.request_arrived(50_000.0, &arrival);
    assert!(steps.attempts.is_empty(), "it asks first");
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
        "a heavy request is not cancelled to be begun again"
    );
}

#[test]
fn a_jammed_endpoint_rests() {
    let mut harness = Harness::with_settings(probing_settings(), 4);
    run(&mut harness, &[None; 100], 50.0, |_| 1.0);
    let mut to_jammed = 0;
    for round in 0..120 {
        let request = harness.send(0);
        // It has little left, the others are busy; yet its answers take four times as long.
        harness.answer_probes(|endpoint| Some(if endpoint == 0 { 0.0 } else { 4.2 }));
        let attempt = harness.checker.requests[request].attempts.first();
        let jammed = attempt.is_some_and(|attempt| attempt.endpoint == 0);
        to_jammed += usize::from(jammed && round >= 40);
        harness.advance(if jammed { 200.0 } else { 50.0 });
        harness.end_attempts(|_| SUCCESS);
        harness.advance(350.0);
    }
    assert!(to_jammed < 3, "{to_jammed} of 80");
}
