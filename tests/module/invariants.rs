//! Property test: no sequence of events makes the balancer break a rule.

use crate::support::{
    default_settings, placed_settings, probing_settings, quickcheck_with, ready_endpoints, Harness,
    MAX_ATTEMPTS, TTL_MS,
};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, EndpointId, EndpointState, LoadReport, RequestId};

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::CancelledIncomplete,
];
const STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Removed,
];
/// The kind of a generated event is taken modulo this number.
const EVENT_KINDS: u8 = 20;

/// The kind of an event, and two numbers that serve as its parameters.
type GeneratedEvent = (u8, u8, u8);

/// Whether every request gets exactly one final response; the rule checker panics if a rule is broken.
fn rules_hold(events: Vec<GeneratedEvent>) -> bool {
    [
        default_settings(),
        probing_settings(),
        placed_settings(1, &[0, 2]),
    ]
    .into_iter()
    .all(|settings| rules_hold_with(settings, &events))
}

fn rules_hold_with(settings: Settings, events: &[GeneratedEvent]) -> bool {
    let mut harness = Harness::with_settings(settings.clone(), 7);
    for event in events {
        apply(&mut harness, &settings, *event);
        end_overdue_attempts(&mut harness);
    }
    harness.advance(TTL_MS);
    end_overdue_attempts(&mut harness);
    let mut requests = harness.checker.requests.iter();
    requests.all(|request| request.answers.len() == 1)
}

fn apply(harness: &mut Harness, settings: &Settings, (kind, first, second): GeneratedEvent) {
    let first = usize::from(first);
    let second = usize::from(second);
    let now_ms = harness.checker.now_ms;
    let is_even = first % 2 == 0;
    match kind % EVENT_KINDS {
        0..=4 => drop(harness.send_with_key(first % 3, Some(second as u64))),
        5..=9 => {
            if let Some((request, attempt)) = some_attempt(harness, first) {
                harness.end_attempt(request, attempt, OUTCOMES[second % OUTCOMES.len()]);
            }
        }
        10 | 11 => harness.advance(first as f64 * 2.0),
        12 => {
            let started_at_ms = if is_even { now_ms - first as f64 } else { 0.0 };
            harness.update_endpoint(first % 9, STATES[second % 3], started_at_ms);
        }
        13 => harness.update_endpoints(&ready_endpoints(second % 8), true, second % 2 == 0),
        14 if is_even => harness
            .balancer
            .discovery_failed(&mut harness.checker, now_ms),
        14 => drop(harness.answer_probes(|endpoint| {
            Some((endpoint * second % 11) as f64).filter(|_| second % 3 > 0)
        })),
        15 if is_even => harness.disable(first % 9),
        15 => harness.enable(first % 9),
        16 if settings.classes[2].zones.is_some() => {
            harness.update_settings(placed_settings(first % 2, &[second % 3]), 0, MAX_ATTEMPTS);
        }
        16 => harness.update_settings(settings.clone(), first % 3, 1 + second % 4),
        17 => {
            let share = if is_even { 0.5 } else { 1.0 };
            harness.balancer.set_process_share(share, None, 1.0);
        }
        18 => {
            if let Some((request, attempt)) = some_attempt(harness, first) {
                harness.set_body_streaming(request, attempt, second % 2 == 0);
            }
        }
        _ => apply_unknown_ids(harness),
    }
}

fn some_attempt(harness: &Harness, number: usize) -> Option<(usize, usize)> {
    let in_flight = harness.in_flight();
    in_flight.get(number % in_flight.len().max(1)).copied()
}

/// Reports events for unknown ids, which must have no effect.
fn apply_unknown_ids(harness: &mut Harness) {
    const UNKNOWN_REQUEST: RequestId = RequestId::new(usize::MAX);
    const UNKNOWN_ENDPOINT: EndpointId = EndpointId::new(usize::MAX);
    let balancer = &mut harness.balancer;
    let checker = &mut harness.checker;
    let now_ms = checker.now_ms;
    balancer.timer_expired(checker, now_ms, u64::MAX);
    balancer.client_left(checker, now_ms, UNKNOWN_REQUEST);
    balancer.set_body_streaming(now_ms, UNKNOWN_REQUEST, 0, true);
    balancer.probe_ended(
        checker,
        now_ms,
        UNKNOWN_ENDPOINT,
        Some(LoadReport::default()),
    );
}

/// Ends each attempt at the deadline of its request, as the network code does.
fn end_overdue_attempts(harness: &mut Harness) {
    for (request, attempt) in harness.in_flight() {
        let deadline_ms = harness.checker.requests[request].deadline_ms;
        if harness.checker.now_ms >= deadline_ms {
            // The clock may have advanced past the deadline in one step, so the attempt ends as of the deadline.
            let now_ms = std::mem::replace(&mut harness.checker.now_ms, deadline_ms);
            harness.end_attempt(request, attempt, AttemptOutcome::TimedOut);
            harness.checker.now_ms = now_ms;
        }
    }
}

#[test]
fn no_generated_events_break_a_rule() {
    quickcheck_with(400).quickcheck(rules_hold as fn(Vec<GeneratedEvent>) -> bool);
}
