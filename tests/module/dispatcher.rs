//! The call-and-return interface to the balancer.

use crate::support::{default_settings, ready_endpoints, TTL_MS};
use crankmux::dispatcher::{Dispatcher, FinalResponse, NextSteps};
use crankmux::types::{AttemptOutcome, AttemptResult, ClassId, LoadReport, NewRequest, RequestId};

fn attempt_result(attempt: usize, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        request: RequestId::new(3),
        attempt,
        outcome,
        duration_ms: 5.0,
        request_closed: outcome == AttemptOutcome::Succeeded,
        load: LoadReport::default(),
    }
}

#[test]
fn the_dispatcher_returns_the_actions_of_the_balancer() {
    let mut dispatcher = Dispatcher::new(default_settings(), 7);
    dispatcher.update_endpoints(50_000.0, &ready_endpoints(2), true, true);
    assert_eq!(
        dispatcher.next_tick(),
        Some(0.0),
        "a cached list is refreshed immediately"
    );
    assert!(dispatcher.take_list_request() && !dispatcher.take_list_request());
    let arrival = NewRequest {
        request: RequestId::new(3),
        class: ClassId::new(2),
        tenant: None,
        ttl_ms: TTL_MS,
        client_retry: false,
        affinity_key: None,
    };
    let first = dispatcher.request_arrived(50_000.0, &arrival);
    assert_eq!((first.attempts.len(), first.final_response), (1, None));
    let second = dispatcher.attempt_ended(50_005.0, &attempt_result(0, AttemptOutcome::Rejected));
    assert_ne!(second.attempts[0].endpoint, first.attempts[0].endpoint);
    let last = dispatcher.attempt_ended(50_010.0, &attempt_result(1, AttemptOutcome::Failed));
    assert_eq!(
        (last.attempts.len(), last.final_response),
        (0, Some(FinalResponse::Failed))
    );
    assert_eq!(
        dispatcher.attempt_ended(50_020.0, &attempt_result(1, AttemptOutcome::Failed)),
        NextSteps::default()
    );
    dispatcher.discovery_failed(50_030.0);
    let due_ms = dispatcher
        .next_tick()
        .expect("a retry of the list request is scheduled");
    assert!(due_ms > 50_030.0 && !dispatcher.take_list_request());
    assert!(dispatcher.tick(due_ms, due_ms).is_empty() && dispatcher.take_list_request());
}
