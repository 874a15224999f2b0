//! Changes of the endpoint list: drains, removals, restarts, disabled endpoints, and retries of list requests.

use crate::support::{
    default_settings, endpoint_update, max_within_one_second, proxy_settings, ready_endpoints,
    Answer, Harness, SUCCESS, TTL_MS,
};
use crankmux::dispatcher::{Dispatcher, FinalResponse};
use crankmux::settings::{NameIndex, Settings};
use crankmux::types::{
    AttemptOutcome, AttemptResult, ClassId, EndpointId, EndpointState, LoadReport, NewRequest,
    RequestId,
};
use serde_json::json;

#[test]
fn draining_and_unlisted_endpoints_get_no_requests() {
    let mut harness = Harness::new(3);
    harness.update_endpoint(0, EndpointState::Draining, 0.0);
    let listed = [
        endpoint_update(0, EndpointState::Draining, 0.0),
        endpoint_update(1, EndpointState::Ready, 0.0),
    ];
    harness.update_endpoints(&listed, true, false);
    let counts = harness.run(30, 5.0, |_| SUCCESS);
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn the_only_remaining_endpoint_gets_all_requests() {
    let mut harness = Harness::new(3);
    let changes = [
        endpoint_update(1, EndpointState::Removed, 0.0),
        endpoint_update(2, EndpointState::Draining, 0.0),
    ];
    harness.update_endpoints(&changes, false, false);
    let counts = harness.run(100, 20.0, |_| SUCCESS);
    assert_eq!(counts.get(&0), Some(&100), "{counts:?}");
}

#[test]
fn empty_contradictory_and_long_lists_are_handled() {
    let mut harness = Harness::with_settings(proxy_settings(9, 0), 0);
    harness.send(0);
    assert_eq!(
        harness.checker.requests[0].answers,
        [Answer::Rejected],
        "an empty list"
    );
    let duplicate_entries = [
        endpoint_update(0, EndpointState::Ready, 0.0),
        endpoint_update(0, EndpointState::Draining, 0.0),
    ];
    harness.update_endpoints(&duplicate_entries, true, false);
    harness.send(0);
    assert_eq!(
        harness.checker.requests[1].answers,
        [Answer::Rejected],
        "the later of two entries applies"
    );
    harness.update_endpoints(&ready_endpoints(3000), true, false);
    let counts = harness.run(50, 20.0, |_| SUCCESS);
    assert_eq!(counts.values().sum::<usize>(), 50);
}

#[test]
fn a_failed_watch_is_reopened_with_growing_backoff() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.checker.watches, 1, "a cached list may be stale");
    let mut backoffs_ms = Vec::new();
    for _ in 0..8 {
        let now_ms = harness.checker.now_ms;
        harness
            .balancer
            .discovery_failed(&mut harness.checker, now_ms);
        backoffs_ms.push(harness.checker.timers[0].0 - now_ms);
        harness.advance(4000.0);
    }
    assert_eq!(harness.checker.watches, 9);
    // Backoffs grow, but stay so short that three failed requests and their backoffs fit into 6 s.
    assert!(
        backoffs_ms[4] > 4.0 * backoffs_ms[0]
            && backoffs_ms.iter().all(|backoff_ms| *backoff_ms <= 450.0),
        "{backoffs_ms:?}"
    );
}

#[test]
fn without_a_watch_a_failed_poll_is_retried_within_the_drain_grace() {
    let settings = Settings {
        watch_endpoints: false,
        drain_grace_ms: 500.0,
        ..default_settings()
    };
    let mut harness = Harness::with_settings(settings, 1);
    for _ in 0..8 {
        let now_ms = harness.checker.now_ms;
        harness
            .balancer
            .discovery_failed(&mut harness.checker, now_ms);
        // Half of the grace period is left to act on a change missed in the meantime.
        assert!(harness.checker.timers[0].0 - now_ms <= 250.0);
        harness.advance(4000.0);
    }
}

#[test]
fn without_a_watch_a_cached_list_is_polled_once() {
    let settings = Settings {
        watch_endpoints: false,
        ..default_settings()
    };
    let harness = Harness::with_settings(settings, 1);
    assert_eq!((harness.checker.watches, harness.checker.polls), (0, 1));
}

#[test]
fn a_disabled_endpoint_gets_no_requests_and_slow_starts_when_enabled() {
    let mut harness = Harness::new(3);
    harness.run(300, 20.0, |_| SUCCESS);
    harness.disable(1);
    harness.run(30, 20.0, |_| SUCCESS);
    let disabled_at_ms = harness.checker.now_ms;
    harness.update_endpoint(1, EndpointState::Removed, 0.0);
    harness.advance(70_000.0);
    harness.update_endpoint(1, EndpointState::Ready, disabled_at_ms);
    assert!(!harness.run(60, 20.0, |_| SUCCESS).contains_key(&1));
    harness.enable(1);
    // The list gives no later start time, so slow start begins when the endpoint is enabled.
    let counts = harness.run(20, 20.0, |_| SUCCESS);
    let first = counts.get(&1).copied().unwrap_or(0);
    let counts = harness.run(200, 20.0, |_| SUCCESS);
    let later = counts.get(&1).copied().unwrap_or(0);
    assert!(first <= 6, "{first} of 20 during slow start");
    assert!(later >= 5, "{later} of 200 within 5 s");
    harness.enable(1);
    assert!(
        harness.run(20, 20.0, |_| SUCCESS).contains_key(&1),
        "enabling it twice has no effect"
    );
}

#[test]
fn an_endpoint_disabled_before_it_is_listed_gets_no_requests() {
    let mut harness = Harness::new(0);
    harness.disable(2);
    let listed = [
        endpoint_update(1, EndpointState::Ready, 0.0),
        endpoint_update(2, EndpointState::Ready, 0.0),
    ];
    harness.update_endpoints(&listed, true, false);
    assert!(!harness.run(30, 20.0, |_| SUCCESS).contains_key(&2));
    harness.disable(1);
    let request = harness.send(0);
    assert_eq!(
        harness.checker.requests[request].answers,
        [Answer::Rejected],
        "rejected immediately with all endpoints disabled"
    );
    assert_eq!(harness.balancer.endpoint_counts(), (2, 2));
}

/// A dispatcher and its name index, with a single endpoint that is replaced every second.
struct ReplacedEndpoints {
    names: NameIndex,
    dispatcher: Dispatcher,
}

impl ReplacedEndpoints {
    /// Replaces the endpoint in the list; returns the index of the new endpoint and of its pod.
    fn replace(&mut self, round: u64) -> (EndpointId, usize) {
        let mut update =
            |number, state| (self.names).endpoint_update(number, state, ("a", ""), None, 0.0);
        let new = update(round, EndpointState::Ready);
        let old = update(round.wrapping_sub(1), EndpointState::Removed);
        let now_ms = 50_000.0 + 1000.0 * round as f64;
        self.dispatcher
            .update_endpoints(now_ms, &[old, new], false, false);
        self.names
            .retain_endpoints(|endpoint| self.dispatcher.has_endpoint(endpoint));
        assert_eq!(self.names.stable_hash(new.endpoint), round);
        (new.endpoint, new.pod)
    }
}

#[test]
fn records_and_names_of_replaced_endpoints_are_removed() {
    let mut replaced = ReplacedEndpoints {
        names: NameIndex::from_settings(&json!({})).0,
        dispatcher: Dispatcher::new(default_settings(), 7),
    };
    let (first, _) = replaced.replace(0);
    let arrival = NewRequest {
        request: RequestId::new(3),
        class: ClassId::new(2),
        tenant: None,
        ttl_ms: 1000.0 * TTL_MS,
        client_retry: false,
        affinity_key: None,
    };
    let steps = replaced.dispatcher.request_arrived(50_000.0, &arrival);
    assert_eq!(steps.attempts[0].endpoint, first);
    for round in 1..500 {
        let (endpoint, pod) = replaced.replace(round);
        assert!(
            endpoint.index() < 70 && pod < 70,
            "indices are reused after about a minute: {endpoint}, {pod}"
        );
        assert_ne!(
            endpoint, first,
            "the index is not reused while an attempt is in flight"
        );
    }
    // Once the late result has arrived, the index may be reused.
    let result = AttemptResult {
        request: RequestId::new(3),
        attempt: 0,
        outcome: AttemptOutcome::Failed,
        duration_ms: 9.0,
        request_closed: false,
        load: LoadReport::default(),
    };
    let steps = replaced.dispatcher.attempt_ended(550_000.0, &result);
    assert_eq!(steps.final_response, Some(FinalResponse::Failed));
    assert!((500..600).any(|round| {
        replaced.replace(round).0 == first || !replaced.dispatcher.has_endpoint(first)
    }));
}

/// Settings in which listed start times may be wrong by an error.
fn settings_with_start_error(start_time_error_ms: f64) -> Settings {
    Settings {
        start_time_error_ms,
        ..default_settings()
    }
}

/// Sends 200 requests per second, each of which succeeds after 100 ms.
fn send_steadily(harness: &mut Harness, requests: usize) {
    for _ in 0..requests {
        harness.send(0);
        harness.advance(5.0);
        let is_due = |(request, attempt): &(usize, usize)| {
            let sent_at_ms = harness.checker.requests[*request].attempts[*attempt].sent_at_ms;
            harness.checker.now_ms - sent_at_ms >= 100.0
        };
        let due: Vec<_> = harness.in_flight().into_iter().filter(is_due).collect();
        for (request, attempt) in due {
            harness.end_attempt(request, attempt, AttemptOutcome::Succeeded);
        }
    }
}

/// The attempts to an endpoint in the second after its restart. The previous start was listed at
/// `previous_start_ms` from the time of the list, and the restart is listed at `listed_error_ms` from its true time.
/// Settings allow for an error of `error_ms`.
fn attempts_after_restart(error_ms: f64, previous_start_ms: f64, listed_error_ms: f64) -> usize {
    let mut harness = Harness::with_settings(settings_with_start_error(error_ms), 4);
    let now_ms = harness.checker.now_ms;
    harness.update_endpoint(3, EndpointState::Ready, now_ms + previous_start_ms);
    send_steadily(&mut harness, 4000);
    let start_ms = harness.checker.now_ms;
    harness.update_endpoint(3, EndpointState::Ready, start_ms + listed_error_ms);
    send_steadily(&mut harness, 200);
    harness.checker.attempt_times(3, start_ms).len()
}

/// A wrong start time in the list must not end slow start early and overload the endpoint. A warm endpoint gets 50
/// requests per second; within the first second of slow start, capacity is at most 28% of that, and twice the
/// capacity is allowed.
#[test]
fn a_wrong_listed_start_time_does_not_end_slow_start() {
    assert!(
        (1..=28).contains(&attempts_after_restart(12_000.0, -60_000.0, -11_000.0)),
        "11 s too early"
    );
    assert!(
        (1..=28).contains(&attempts_after_restart(30_000.0, -5000.0, -28_000.0)),
        "listed before its previous start"
    );
    assert!(
        (1..=28).contains(&attempts_after_restart(12_000.0, -60_000.0, 11_000.0)),
        "11 s too late"
    );
    assert!(
        attempts_after_restart(0.0, -60_000.0, -11_000.0) > 28,
        "without an error margin, the wrong start time ends slow start"
    );
}

/// Starts an endpoint; returns its largest number of attempts in any one second of the next eight.
fn busiest_second_after_start(harness: &mut Harness, endpoint: usize) -> usize {
    let start_ms = harness.checker.now_ms;
    harness.update_endpoint(endpoint, EndpointState::Ready, start_ms);
    harness.run(1600, 5.0, |_| SUCCESS);
    let times_ms = harness.checker.attempt_times(endpoint, start_ms);
    max_within_one_second(&times_ms).unwrap_or(0)
}

#[test]
fn an_endpoint_in_slow_start_is_not_overloaded() {
    let mut harness = Harness::new(4);
    harness.run(2000, 5.0, |_| SUCCESS);
    // A warm endpoint gets 50 requests per second; within eight seconds of slow start, capacity is at most 84% of
    // that, and twice the capacity is allowed.
    let new = busiest_second_after_start(&mut harness, 4);
    assert!((1..=84).contains(&new), "{new} in a second");
    let restarted = busiest_second_after_start(&mut harness, 0);
    assert!((1..=84).contains(&restarted), "{restarted} in a second");
}

#[test]
fn a_restarted_endpoint_gets_more_attempts_than_a_new_one() {
    let attempts = |endpoint: usize| {
        let mut harness = Harness::new(4);
        harness.run(2000, 5.0, |_| SUCCESS);
        let start_ms = harness.checker.now_ms;
        harness.update_endpoint(endpoint, EndpointState::Ready, start_ms);
        let counts = harness.run(1000, 5.0, |_| SUCCESS);
        counts.get(&endpoint).copied().unwrap_or(0)
    };
    let restarted = attempts(0);
    let new = attempts(4);
    assert!(
        restarted > new,
        "{restarted} attempts to the restarted endpoint, {new} to the new one"
    );
}

#[test]
fn hundreds_of_proxies_do_not_overload_an_endpoint_in_slow_start() {
    // Each proxy gets two requests per second, which is ten per endpoint. In the first three seconds of slow start,
    // capacity is 20% to 40% of that, and twice the capacity is allowed in any one second.
    let proxies = 200;
    let endpoints = 40;
    let mut times_ms = Vec::new();
    for number in 0..proxies {
        let mut harness = Harness::with_settings(proxy_settings(number, proxies), endpoints);
        harness.run(40, 500.0, |_| SUCCESS);
        let start_ms = harness.checker.now_ms;
        harness.update_endpoint(0, EndpointState::Ready, start_ms);
        harness.advance(5.0 * (number % 100) as f64);
        harness.run(6, 500.0, |_| SUCCESS);
        times_ms.extend(harness.checker.attempt_times(0, start_ms));
    }
    let most = max_within_one_second(&times_ms);
    assert!((1..=8).contains(&most.unwrap_or(0)), "{most:?} in a second");
}
