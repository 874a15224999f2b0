//! What reports that come with answers, buffered responses and keys make of the draw.

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

/// A request each 25 ms, answered after 100 with such a use of cores; how many each endpoint got.
fn run_with_reports(
    harness: &mut Harness,
    requests: usize,
    report: impl Fn(usize) -> Option<f64>,
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
            // A little noise, or the report would look like the last one.
            let used = report(endpoint).map(|used| used + (round % 5) as f64 / 1000.0);
            let load = utilization_report(used);
            harness.end_attempt_with_load(request, attempt, AttemptOutcome::Succeeded, load);
        }
    }
    harness.checker.count_attempts_since(from)
}

#[test]
fn use_of_the_cores_alone_tells_what_is_held() {
    let to_first = |report: fn(usize) -> Option<f64>| {
        let mut harness = Harness::with_settings(proxy_settings(0, 3), 4);
        run_with_reports(&mut harness, 400, report);
        let counts = run_with_reports(&mut harness, 400, report);
        counts.get(&0).copied().unwrap_or(0)
    };
    let full = to_first(|endpoint| Some(if endpoint == 0 { 0.99 } else { 0.1 }));
    let silent = to_first(|_| None);
    assert!(
        full * 3 < silent * 2,
        "{full} of 400 to the busy one, {silent} where none reports"
    );
}

#[test]
fn own_attempts_of_one_of_many_proxies_fill_no_endpoint_that_reports_otherwise() {
    // One attempt in flight of a proxy of thirty before four endpoints looks like six of a limit of five.
    let in_flight = |report: Option<f64>| {
        let mut harness = Harness::with_settings(proxy_settings(0, 30), 4);
        run_with_reports(&mut harness, 100, |_| report);
        while !harness.in_flight().is_empty() {
            harness.end_attempts(|_| SUCCESS);
        }
        for _ in 0..20 {
            harness.send(0);
        }
        harness.in_flight().len()
    };
    let idle = in_flight(Some(0.1));
    let silent = in_flight(None);
    let full = in_flight(Some(0.99));
    assert!(
        idle > silent && full <= silent,
        "{idle} in flight where all report that they are idle, {silent}, {full}"
    );
}

/// A proxy that can buffer a few responses, and has one class of which late answers are worth so much.
fn few_buffers(late_weight: f64) -> Settings {
    let mut settings = default_settings();
    settings.few_buffered_responses = true;
    settings.classes[0].late_weight = late_weight;
    settings
}

#[test]
fn a_request_that_is_worth_nothing_any_more_gives_its_place_back() {
    let mut harness = Harness::with_settings(few_buffers(0.0), 2);
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
        "one that is not idempotent may still succeed"
    );
    for settings in [default_settings(), few_buffers(0.2)] {
        let mut harness = Harness::with_settings(settings, 2);
        let request = harness.send(0);
        harness.advance(TTL_MS - 10.0);
        assert!(
            harness.checker.requests[request].answers.is_empty(),
            "where late answers are worth something they are waited for"
        );
    }
}

#[test]
fn a_long_response_on_its_way_is_not_ended() {
    let mut harness = Harness::with_settings(few_buffers(0.0), 2);
    let request = harness.send(0);
    harness.advance(100.0);
    harness.streaming(request, 0, false);
    harness.advance(500.0);
    assert!(
        harness.checker.requests[request].answers.is_empty(),
        "its client reads it"
    );
}

/// How many of ten requests at once are sent after thirty that were ended at their latency objective, by an
/// endpoint that reports so much use of its cores with other answers.
fn sent_after_abandoned(cpu_utilization: f64) -> usize {
    let mut harness = Harness::with_settings(few_buffers(0.0), 1);
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
fn requests_ended_at_their_objective_cut_limits_but_those_of_endpoints_whose_cores_are_free() {
    let free = sent_after_abandoned(0.2);
    let full = sent_after_abandoned(0.97);
    assert!(
        free >= 4 && full <= 2,
        "{free} of 10 in flight where cores were free, {full} where they were not"
    );
}

fn with_key_affinity(settings: Settings) -> Settings {
    Settings {
        key_affinity: true,
        ..settings
    }
}

/// The most of 200 requests that one endpoint gets, and that endpoint.
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
    busiest.expect("all were sent")
}

#[test]
fn requests_of_a_key_meet_at_one_endpoint_where_answers_carry_reports() {
    let settings = |number| with_key_affinity(proxy_settings(number, 16));
    let (count, endpoint) = busiest_endpoint(settings(0), Some(77));
    assert!(count >= 140, "{count} of 200 at its first");
    assert_eq!(
        busiest_endpoint(settings(2), Some(77)).1,
        endpoint,
        "alike at every proxy that hears of all"
    );
    assert!(
        busiest_endpoint(proxy_settings(0, 16), Some(77)).0 < 80,
        "at none where endpoints keep nothing by key"
    );
    assert!(
        busiest_endpoint(settings(0), None).0 < 80,
        "nor for a request without a key"
    );
}

/// Twenty-five requests a second over forty endpoints: what a proxy says that each once bore, in all, is what the
/// slow-start budgets of all proxies add up to.
#[test]
fn proxies_that_hear_little_of_each_endpoint_overrate_none() {
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
        "{total} a millisecond, of 0.025 that all bore"
    );
}
