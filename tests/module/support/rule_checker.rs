//! Takes the place of the network and checks each action of the balancer against a simple model of the rules.

use super::settings::{DEDUPLICATION_WINDOW_MS, MAX_RETRY_AFTER_MS};
use crankmux::settings::{PlacementSet, Settings};
use crankmux::types::{Actions, EndpointId, EndpointState, EndpointUpdate, Idempotency, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The final response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Succeeded,
    Rejected,
    Failed,
}

/// An attempt started by the balancer.
pub(crate) struct TrackedAttempt {
    pub(crate) endpoint: usize,
    pub(crate) sent_at_ms: f64,
    pub(crate) may_have_executed: bool,
    pub(crate) in_flight: bool,
}

impl TrackedAttempt {
    /// When the endpoints that executed the attempt may have forgotten its idempotency key.
    fn window_end_ms(&self) -> f64 {
        self.sent_at_ms + DEDUPLICATION_WINDOW_MS
    }
}

/// The zones and the machine classes allowed for a request class; `None` allows all.
pub(crate) type Placement = [Option<PlacementSet>; 2];

pub(super) fn class_placements(settings: &Settings) -> Vec<Placement> {
    let classes = settings.classes.iter();
    classes
        .map(|class| [class.zones.clone(), class.machine_classes.clone()])
        .collect()
}

/// A request, with the settings of its class when it arrived.
#[derive(Default)]
pub(crate) struct TrackedRequest {
    pub(crate) idempotency: Idempotency,
    pub(crate) max_attempts: usize,
    pub(crate) class: usize,
    pub(crate) placement: Placement,
    pub(crate) deadline_ms: f64,
    pub(crate) answers: Vec<Answer>,
    pub(crate) attempts: Vec<TrackedAttempt>,
    /// Until when attempts may be sent, by number.
    pub(crate) send_deadlines: BTreeMap<usize, f64>,
}

impl TrackedRequest {
    /// Checks that no attempt in flight may be sent after the window of another one that may have executed.
    fn check_send_deadlines(&self) {
        if self.idempotency != Idempotency::IdempotentWithKey {
            return;
        }
        let attempts = || self.attempts.iter().enumerate();
        for (number, _) in attempts().filter(|(_, attempt)| attempt.in_flight) {
            let send_deadline_ms = self.send_deadlines.get(&number).copied();
            for (_, other) in attempts().filter(|(other, _)| *other != number) {
                assert!(
                    !other.may_have_executed
                        || send_deadline_ms.is_some_and(|at_ms| at_ms <= other.window_end_ms()),
                    "attempt {number} may be sent after the window of another one"
                );
            }
        }
    }

    pub(crate) fn has_succeeded(&self) -> bool {
        self.answers == [Answer::Succeeded]
    }
}

/// Records all requests and attempts, and panics when an action breaks a rule.
#[derive(Default)]
pub(crate) struct RuleChecker {
    pub(crate) now_ms: f64,
    pub(crate) endpoints: BTreeMap<usize, EndpointUpdate>,
    pub(crate) requests: Vec<TrackedRequest>,
    pub(crate) timers: Vec<(f64, u64)>,
    pub(crate) watches: usize,
    pub(crate) polls: usize,
    pub(crate) probes: Vec<usize>,
    pub(super) disabled: BTreeSet<usize>,
    /// Class `i` has `IDEMPOTENCY[(i + idempotency_offset) % 3]`.
    pub(super) idempotency_offset: usize,
    pub(super) max_attempts: usize,
    /// Whether a request may have only one attempt in flight at a time.
    pub(super) forbid_concurrent_attempts: bool,
    /// The placement of each class in the current settings.
    pub(super) placements: Vec<Placement>,
}

impl RuleChecker {
    fn answer(&mut self, request: usize, answer: Answer) {
        let request = &mut self.requests[request];
        assert!(request.answers.is_empty(), "a second final response");
        assert!(
            self.now_ms <= request.deadline_ms + 20.0,
            "a final response after the deadline"
        );
        request.answers.push(answer);
    }

    /// The attempts of the given request and all later ones.
    pub(crate) fn attempts_since(&self, request: usize) -> impl Iterator<Item = &TrackedAttempt> {
        self.requests[request..]
            .iter()
            .flat_map(|request| &request.attempts)
    }

    /// The number of those attempts per endpoint.
    pub(crate) fn count_attempts_since(&self, request: usize) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for attempt in self.attempts_since(request) {
            *counts.entry(attempt.endpoint).or_default() += 1;
        }
        counts
    }

    /// The start times of attempts to an endpoint, from `from_ms` on.
    pub(crate) fn attempt_times(&self, endpoint: usize, from_ms: f64) -> Vec<f64> {
        let attempts = self.attempts_since(0);
        attempts
            .filter(|attempt| attempt.endpoint == endpoint && attempt.sent_at_ms >= from_ms)
            .map(|attempt| attempt.sent_at_ms)
            .collect()
    }

    fn check_placement(&self, request: &TrackedRequest, endpoint: &EndpointUpdate) {
        for [zones, machine_classes] in [&request.placement, &self.placements[request.class]] {
            let zones = zones.as_ref();
            assert!(
                zones.is_none_or(|allowed| allowed.contains(&endpoint.zone)),
                "an attempt to a zone that the class is not allowed in"
            );
            let machine_classes = machine_classes.as_ref();
            assert!(
                machine_classes.is_none_or(|allowed| allowed.contains(&endpoint.machine_class)),
                "an attempt to a machine class that the request class is not allowed on"
            );
        }
    }

    fn check_endpoint(&self, endpoint: &EndpointUpdate) {
        assert!(
            endpoint.state == EndpointState::Ready,
            "an attempt to a draining or removed endpoint"
        );
        assert!(
            !self.disabled.contains(&endpoint.endpoint.index()),
            "an attempt to a disabled endpoint"
        );
    }

    fn check_retry(&self, request: &TrackedRequest, endpoint: &EndpointUpdate) {
        assert!(
            request.attempts.len() < request.max_attempts,
            "more attempts than allowed"
        );
        assert!(
            !self.forbid_concurrent_attempts
                || request.attempts.iter().all(|attempt| !attempt.in_flight),
            "two attempts in flight without hedging"
        );
        for earlier in request
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed)
        {
            match request.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::IdempotentWithKey => {
                    let pod = self.endpoints[&earlier.endpoint].pod;
                    assert!(
                        pod == endpoint.pod,
                        "a retry outside the pod of an attempt that may have executed"
                    );
                    assert!(
                        self.now_ms - earlier.sent_at_ms <= DEDUPLICATION_WINDOW_MS,
                        "a retry after the deduplication window"
                    );
                }
                Idempotency::NotIdempotent => {
                    panic!("a non-idempotent request may be executed twice")
                }
            }
        }
    }
}

impl Actions for RuleChecker {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let id = request.index();
        let endpoint = endpoint.index();
        let request = &self.requests[id];
        let update = &self.endpoints[&endpoint];
        self.check_placement(request, update);
        assert!(
            request.answers.is_empty() && self.now_ms < request.deadline_ms && timeout_ms > 0.0,
            "an attempt after the final response or the deadline, or with a zero timeout"
        );
        self.check_endpoint(update);
        self.check_retry(request, update);
        self.requests[id].attempts.push(TrackedAttempt {
            endpoint,
            sent_at_ms: self.now_ms,
            may_have_executed: true,
            in_flight: true,
        });
        self.requests[id].check_send_deadlines();
    }

    fn set_send_deadline(&mut self, request: RequestId, attempt: usize, at_ms: f64) {
        let send_deadlines = &mut self.requests[request.index()].send_deadlines;
        send_deadlines.insert(attempt, at_ms);
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let endpoint = endpoint.index();
        assert!(
            self.endpoints.contains_key(&endpoint),
            "a probe of an endpoint that was never listed"
        );
        assert!(
            !self.disabled.contains(&endpoint),
            "a probe of a disabled endpoint"
        );
        self.probes.push(endpoint);
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        assert!(
            attempt < self.requests[request.index()].attempts.len(),
            "cancellation of an attempt that was never started"
        );
    }

    fn reject(&mut self, request: RequestId, retry_after_ms: f64) {
        let id = request.index();
        let request = &self.requests[id];
        let may_have_executed = request
            .attempts
            .iter()
            .any(|attempt| attempt.may_have_executed);
        let is_safe = request.idempotency == Idempotency::Idempotent || !may_have_executed;
        assert!(
            is_safe,
            "rejection of a request that may have been executed"
        );
        assert!((0.0..=MAX_RETRY_AFTER_MS).contains(&retry_after_ms));
        self.answer(id, Answer::Rejected);
    }

    fn fail(&mut self, request: RequestId) {
        self.answer(request.index(), Answer::Failed);
    }

    fn set_timer(&mut self, at_ms: f64, timer: u64) {
        self.timers.push((at_ms, timer));
    }

    fn watch_endpoints(&mut self) {
        self.watches += 1;
    }

    fn poll_endpoints(&mut self) {
        self.polls += 1;
    }
}
