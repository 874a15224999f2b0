//! A slow and plain checker of the rules, which stands where the network does.

use super::settings::{DEDUPLICATION_WINDOW_MS, MAX_RETRY_AFTER_MS};
use crankmux::settings::{PlacementSet, Settings};
use crankmux::types::{Actions, EndpointId, EndpointState, EndpointUpdate, Idempotency, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Succeeded,
    Rejected,
    Failed,
}

/// An attempt, as the checker saw it.
pub(crate) struct TrackedAttempt {
    pub(crate) endpoint: usize,
    pub(crate) sent_at_ms: f64,
    pub(crate) may_have_run: bool,
    pub(crate) in_flight: bool,
}

/// The zones and the machine classes that a request class is bound to.
pub(crate) type Placement = [Option<PlacementSet>; 2];

pub(super) fn placement(settings: &Settings) -> Vec<Placement> {
    let classes = settings.classes.iter();
    classes
        .map(|class| [class.zones.clone(), class.machine_classes.clone()])
        .collect()
}

/// A request, with the terms of its class as they stood when it came.
#[derive(Default)]
pub(crate) struct TrackedRequest {
    pub(crate) idempotency: Idempotency,
    pub(crate) max_attempts: usize,
    pub(crate) class: usize,
    pub(crate) placement: Placement,
    pub(crate) deadline_ms: f64,
    pub(crate) answers: Vec<Answer>,
    pub(crate) attempts: Vec<TrackedAttempt>,
}

impl TrackedRequest {
    pub(crate) fn has_succeeded(&self) -> bool {
        self.answers == [Answer::Succeeded]
    }
}

/// What was done, checked against the rules as it happens.
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
    /// By how many classes their idempotency has moved on.
    pub(super) idempotency_shift: usize,
    pub(super) max_attempts: usize,
    /// Whether no two attempts of a request may be in flight.
    pub(super) one_at_a_time: bool,
    /// Where each class may run, by the settings in force.
    pub(super) placement: Vec<Placement>,
}

impl RuleChecker {
    fn answer(&mut self, request: usize, answer: Answer) {
        let request = &mut self.requests[request];
        assert!(request.answers.is_empty(), "a second final answer");
        assert!(
            self.now_ms <= request.deadline_ms + 20.0,
            "an answer after the deadline"
        );
        request.answers.push(answer);
    }

    /// The attempts that were sent from the given request on.
    pub(crate) fn attempts_since(&self, request: usize) -> impl Iterator<Item = &TrackedAttempt> {
        self.requests[request..]
            .iter()
            .flat_map(|request| &request.attempts)
    }

    /// How many of them each endpoint got.
    pub(crate) fn count_attempts_since(&self, request: usize) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for attempt in self.attempts_since(request) {
            *counts.entry(attempt.endpoint).or_default() += 1;
        }
        counts
    }

    /// When an endpoint got attempts, from a time on.
    pub(crate) fn attempt_times(&self, endpoint: usize, from_ms: f64) -> Vec<f64> {
        let attempts = self.attempts_since(0);
        attempts
            .filter(|attempt| attempt.endpoint == endpoint && attempt.sent_at_ms >= from_ms)
            .map(|attempt| attempt.sent_at_ms)
            .collect()
    }

    fn check_placement(&self, request: &TrackedRequest, endpoint: &EndpointUpdate) {
        for [zones, machine_classes] in [&request.placement, &self.placement[request.class]] {
            let zones = zones.as_ref();
            assert!(
                zones.is_none_or(|allowed| allowed.contains(&endpoint.zone)),
                "an attempt to a closed zone"
            );
            let machine_classes = machine_classes.as_ref();
            assert!(
                machine_classes.is_none_or(|allowed| allowed.contains(&endpoint.machine_class)),
                "an attempt to a closed machine class"
            );
        }
    }

    fn check_endpoint(&self, endpoint: &EndpointUpdate) {
        assert!(
            endpoint.state == EndpointState::Ready,
            "an attempt to an endpoint that drains or is gone"
        );
        assert!(
            !self.disabled.contains(&endpoint.endpoint.index()),
            "an attempt to a disabled endpoint"
        );
    }

    fn check_repeat(&self, request: &TrackedRequest, endpoint: &EndpointUpdate) {
        assert!(
            request.attempts.len() < request.max_attempts,
            "an attempt too many"
        );
        assert!(
            !self.one_at_a_time || request.attempts.iter().all(|attempt| !attempt.in_flight),
            "two attempts in flight"
        );
        for earlier in request
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run)
        {
            match request.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::IdempotentWithKey => {
                    let pod = self.endpoints[&earlier.endpoint].pod;
                    assert!(pod == endpoint.pod, "a repeat outside its pod");
                    assert!(
                        self.now_ms - earlier.sent_at_ms <= DEDUPLICATION_WINDOW_MS,
                        "a repeat outside its window"
                    );
                }
                Idempotency::NotIdempotent => {
                    panic!("a request that is not idempotent may run twice")
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
            "an attempt after the end"
        );
        self.check_endpoint(update);
        self.check_repeat(request, update);
        self.requests[id].attempts.push(TrackedAttempt {
            endpoint,
            sent_at_ms: self.now_ms,
            may_have_run: true,
            in_flight: true,
        });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let endpoint = endpoint.index();
        assert!(
            self.endpoints.contains_key(&endpoint),
            "a probe of an endpoint never listed"
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
            "a cancel of an attempt never made"
        );
    }

    fn reject(&mut self, request: RequestId, retry_after_ms: f64) {
        let id = request.index();
        let request = &self.requests[id];
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let harmless = request.idempotency == Idempotency::Idempotent || !may_have_run;
        assert!(harmless, "a rejection of what may have run");
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
