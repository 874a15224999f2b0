//! Attempts, retries, hedged requests and the final response.

use crate::support::{
    default_settings, proxy_settings, Answer, Harness, TrackedRequest, MAX_ATTEMPTS, SUCCESS,
    TTL_MS,
};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, ClassId, Idempotency, NewRequest, RequestId};
use std::collections::BTreeSet;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_never_executed() {
    let mut harness = Harness::new(3);
    let request = harness.send(2);
    harness.end_attempt(request, 0, AttemptOutcome::Rejected);
    assert_eq!(harness.checker.requests[request].attempts.len(), 2);
    harness.end_attempt(request, 1, AttemptOutcome::ConnectionLost);
    assert_eq!(harness.checker.requests[request].answers, [Answer::Failed]);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_its_pod_and_deduplication_window() {
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
        "too close to the end of the deduplication window"
    );
}

#[test]
fn a_retry_restricted_to_a_pod_may_exceed_the_limit() {
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
        "the request has not failed"
    );
}

#[test]
fn attempts_in_flight_are_spread_evenly_in_random_order() {
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
                "no endpoint gets a second attempt before all have one: {order:?}"
            );
        }
        order
    };
    let orders: BTreeSet<Vec<usize>> = (0..20).map(order).collect();
    assert!(orders.len() > 10, "the order is not random: {orders:?}");
}

#[test]
fn an_overdue_attempt_is_hedged_and_an_unresponsive_endpoint_is_avoided() {
    let mut harness = Harness::new(4);
    harness.run(400, 20.0, |_| SUCCESS);
    let from = harness.checker.requests.len();
    // Endpoint 0 stops responding.
    for round in 0..60 {
        let request = harness.send(round % 2);
        for _ in 0..40 {
            harness.advance(10.0);
            harness.end_attempts(|endpoint| SUCCESS.filter(|_| endpoint != 0));
        }
        let attempts = &harness.checker.requests[request].attempts;
        if attempts.iter().any(|attempt| attempt.in_flight) {
            // The balancer has asked for this cancellation.
            harness.end_attempt(request, 0, AttemptOutcome::Cancelled);
        }
    }
    let requests = &harness.checker.requests[from..];
    assert!(
        requests.iter().all(|request| request.has_succeeded()
            || request.idempotency == Idempotency::IdempotentWithKey),
        "a hedged request succeeds"
    );
    let first_endpoints = requests[20..]
        .iter()
        .map(|request| request.attempts[0].endpoint);
    let to_unresponsive = first_endpoints.filter(|endpoint| *endpoint == 0).count();
    assert!(
        to_unresponsive < 8,
        "{to_unresponsive} of 40 first attempts to an unresponsive endpoint"
    );
    let non_idempotent = harness.send(2);
    harness.advance(900.0);
    assert_eq!(
        harness.checker.requests[non_idempotent].attempts.len(),
        1,
        "a non-idempotent request is not hedged"
    );
}

#[test]
fn a_proxy_among_many_does_not_hedge() {
    let mut many = Harness::with_settings(proxy_settings(0, 12), 4);
    let request = many.send(0);
    many.advance(900.0);
    assert_eq!(
        many.checker.requests[request].attempts.len(),
        1,
        "hedged requests of many proxies would use up all capacity"
    );
}

/// The number of attempts started by 60 requests, with the body of each attempt being streamed or not.
fn attempts_of_sixty_requests(streaming: bool) -> usize {
    let mut harness = Harness::new(2);
    let mut sent = 0;
    for _ in 0..60 {
        let request = harness.send(0);
        let attempts = harness.checker.requests[request].attempts.len();
        sent += attempts;
        if attempts > 0 && streaming {
            harness.set_body_streaming(request, 0, false);
        }
    }
    sent
}

#[test]
fn an_attempt_that_streams_a_body_does_not_count_towards_the_limit() {
    assert!(
        attempts_of_sixty_requests(false) < 20,
        "the limit applies to requests that endpoints execute"
    );
    assert_eq!(
        attempts_of_sixty_requests(true),
        60,
        "streamed bodies do not count"
    );
}

#[test]
fn a_fully_streamed_request_counts_towards_the_limit_again_and_is_not_retried() {
    let mut harness = Harness::new(2);
    let requests: Vec<usize> = (0..30).map(|_| harness.send(0)).collect();
    for request in &requests {
        if !harness.checker.requests[*request].attempts.is_empty() {
            harness.set_body_streaming(*request, 0, false);
            harness.set_body_streaming(*request, 0, true);
        }
    }
    let more = harness.send(0);
    assert_eq!(harness.checker.requests[more].answers, [Answer::Rejected]);
    harness.end_attempt(requests[0], 0, AttemptOutcome::ConnectionLost);
    assert_eq!(
        harness.checker.requests[requests[0]].attempts.len(),
        1,
        "a streamed request can't be sent to another endpoint"
    );
}

/// Sends a request that has no time left, with settings that allow for an error in its deadline.
fn send_expired_request(deadline_margin_ms: f64) -> Harness {
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
        affinity_key: None,
    };
    let now_ms = harness.checker.now_ms;
    harness
        .balancer
        .request_arrived(&mut harness.checker, now_ms, &arrival);
    harness
}

#[test]
fn an_expired_request_is_tried_if_its_deadline_may_be_wrong() {
    assert_eq!(send_expired_request(500.0).in_flight().len(), 1);
    let harness = send_expired_request(0.0);
    assert_eq!(
        harness.in_flight().len(),
        0,
        "rejected immediately without a deadline margin"
    );
    assert_eq!(harness.checker.requests[0].answers, [Answer::Rejected]);
}

/// Guards against a send deadline that stays after the attempt that it is due to has ended without being executed, and
/// against one for a class that may be executed any number of times.
#[test]
fn an_attempt_has_a_send_deadline_only_beside_one_that_may_have_executed() {
    let mut harness = Harness::new(4);
    harness.run(400, 20.0, |_| SUCCESS);
    let hedged = |harness: &mut Harness, class| {
        let request = harness.send(class);
        while harness.checker.requests[request].attempts.len() < 2 {
            harness.advance(5.0);
        }
        request
    };
    let read_like = hedged(&mut harness, 0);
    assert!(harness.checker.requests[read_like]
        .send_deadlines
        .is_empty());
    let keyed = hedged(&mut harness, 1);
    let send_deadlines = |harness: &Harness| harness.checker.requests[keyed].send_deadlines.clone();
    let both = send_deadlines(&harness);
    assert!(both[&0] > both[&1] && both[&0].is_finite(), "{both:?}");
    harness.end_attempt(keyed, 1, AttemptOutcome::CancelledIncomplete);
    assert_eq!(send_deadlines(&harness)[&0], f64::INFINITY);
}
