//! Attempts, retries, hedged requests and the final answer.

use crate::support::{
    default_settings, proxy_settings, Answer, Harness, TrackedRequest, MAX_ATTEMPTS, SUCCESS,
    TTL_MS,
};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, ClassId, Idempotency, NewRequest, RequestId};
use std::collections::BTreeSet;

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_where_it_never_ran() {
    let mut harness = Harness::new(3);
    let request = harness.send(2);
    harness.end_attempt(request, 0, AttemptOutcome::Rejected);
    assert_eq!(harness.checker.requests[request].attempts.len(), 2);
    harness.end_attempt(request, 1, AttemptOutcome::ConnectionLost);
    assert_eq!(harness.checker.requests[request].answers, [Answer::Failed]);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_its_pod_and_window() {
    let mut harness = Harness::new(6);
    let request = harness.send(1);
    harness.end_attempt(request, 0, AttemptOutcome::Failed);
    let attempts = &harness.checker.requests[request].attempts;
    assert_eq!(
        (attempts.len(), attempts[0].endpoint / 3),
        (2, attempts[1].endpoint / 3)
    );
    harness.advance(690.0);
    harness.end_attempts(|_| Some(AttemptOutcome::Failed));
    assert_eq!(
        harness.checker.requests[request].answers,
        [Answer::Failed],
        "too near the window's end"
    );
}

#[test]
fn a_retry_that_is_bound_to_a_full_pod_goes_over_the_limit() {
    let mut harness = Harness::new(3);
    let request = harness.send(1);
    for _ in 0..40 {
        harness.send(0);
    }
    let in_flight = harness.in_flight().len();
    harness.end_attempt(request, 0, AttemptOutcome::Failed);
    assert_eq!(
        (
            harness.checker.requests[request].attempts.len(),
            harness.in_flight().len()
        ),
        (2, in_flight)
    );
    assert!(
        harness.checker.requests[request].answers.is_empty(),
        "not failed"
    );
}

#[test]
fn attempts_in_flight_lie_evenly_and_yet_by_chance() {
    let order = |number| {
        let mut harness = Harness::with_settings(proxy_settings(number, 1), 4);
        let mut first_endpoint = || {
            let request = harness.send(0);
            harness.checker.requests[request].attempts[0].endpoint
        };
        let order: Vec<usize> = (0..8).map(|_| first_endpoint()).collect();
        for round in order.chunks(4) {
            assert_eq!(
                round.iter().collect::<BTreeSet<_>>().len(),
                4,
                "none idle beside a heap: {order:?}"
            );
        }
        order
    };
    let orders: BTreeSet<Vec<usize>> = (0..20).map(order).collect();
    assert!(orders.len() > 10, "drawn, not dealt: {orders:?}");
}

#[test]
fn an_overdue_attempt_is_hedged_and_a_silent_endpoint_is_left() {
    let mut harness = Harness::new(4);
    harness.run(400, 20.0, |_| SUCCESS);
    let from = harness.checker.requests.len();
    // Endpoint 0 says nothing any more; others answer in their usual time.
    for round in 0..60 {
        let request = harness.send(round % 2);
        for _ in 0..40 {
            harness.advance(10.0);
            harness.end_attempts(|endpoint| SUCCESS.filter(|_| endpoint != 0));
        }
        let attempts = &harness.checker.requests[request].attempts;
        if attempts.iter().any(|attempt| attempt.in_flight) {
            // The proxy carries the cancel out.
            harness.end_attempt(request, 0, AttemptOutcome::Cancelled);
        }
    }
    let requests = &harness.checker.requests[from..];
    assert!(
        requests.iter().all(|request| request.has_succeeded()
            || request.idempotency == Idempotency::IdempotentWithKey),
        "saved by a hedged request"
    );
    let first_endpoints = requests[20..]
        .iter()
        .map(|request| request.attempts[0].endpoint);
    let late = first_endpoints.filter(|endpoint| *endpoint == 0).count();
    assert!(late < 8, "a silent endpoint is found out: {late} of 40");
    let once = harness.send(2);
    harness.advance(900.0);
    assert_eq!(
        harness.checker.requests[once].attempts.len(),
        1,
        "at most once, whatever time it takes"
    );
}

#[test]
fn many_proxies_hedge_nothing() {
    let mut many = Harness::with_settings(proxy_settings(0, 12), 4);
    let request = many.send(0);
    many.advance(900.0);
    assert_eq!(
        many.checker.requests[request].attempts.len(),
        1,
        "hedges of many proxies would take all room"
    );
}

/// How many of sixty requests had attempts, where the body of each is on its way or none is.
fn sent_of_sixty(streaming: bool) -> usize {
    let mut harness = Harness::new(2);
    let mut sent = 0;
    for _ in 0..60 {
        let request = harness.send(0);
        let attempts = harness.checker.requests[request].attempts.len();
        sent += attempts;
        if attempts > 0 && streaming {
            harness.streaming(request, 0, false);
        }
    }
    sent
}

#[test]
fn a_long_body_on_its_way_fills_no_limit() {
    assert!(
        sent_of_sixty(false) < 20,
        "limits hold what endpoints work at"
    );
    assert_eq!(sent_of_sixty(true), 60, "and nothing else");
}

#[test]
fn a_long_body_is_work_again_once_its_endpoint_has_it_and_is_not_retried() {
    let mut harness = Harness::new(2);
    let requests: Vec<usize> = (0..30).map(|_| harness.send(0)).collect();
    for request in &requests {
        if !harness.checker.requests[*request].attempts.is_empty() {
            harness.streaming(*request, 0, false);
            harness.streaming(*request, 0, true);
        }
    }
    let more = harness.send(0);
    assert_eq!(harness.checker.requests[more].answers, [Answer::Rejected]);
    harness.end_attempt(requests[0], 0, AttemptOutcome::ConnectionLost);
    assert_eq!(
        harness.checker.requests[requests[0]].attempts.len(),
        1,
        "bound to the endpoint that it went to"
    );
}

/// A request whose time is told to be over, where the deadline may be off by a margin.
fn send_without_time_left(deadline_margin_ms: f64) -> Harness {
    let settings = Settings {
        deadline_margin_ms,
        ..default_settings()
    };
    let mut harness = Harness::with_settings(settings, 2);
    let request = TrackedRequest {
        max_attempts: MAX_ATTEMPTS,
        deadline_ms: harness.checker.now_ms + TTL_MS,
        ..Default::default()
    };
    harness.checker.requests.push(request);
    let arrival = NewRequest {
        request: RequestId::new(0),
        class: ClassId::new(0),
        tenant: None,
        ttl_ms: 0.0,
        client_retry: false,
        key: None,
    };
    let now_ms = harness.checker.now_ms;
    harness
        .balancer
        .request_arrived(&mut harness.checker, now_ms, &arrival);
    harness
}

#[test]
fn a_request_told_to_be_out_of_time_is_tried_where_clocks_differ() {
    assert_eq!(send_without_time_left(500.0).in_flight().len(), 1);
    let harness = send_without_time_left(0.0);
    assert_eq!(
        harness.in_flight().len(),
        0,
        "where they agree it is answered at once"
    );
    assert_eq!(harness.checker.requests[0].answers, [Answer::Rejected]);
}
