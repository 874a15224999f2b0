//! Drives a balancer and its rule checker in virtual time.

use super::rule_checker::{class_placements, Answer, RuleChecker, TrackedRequest};
use super::settings::{default_settings, IDEMPOTENCY, MAX_ATTEMPTS};
use super::{endpoint_update, ready_endpoints, TTL_MS};
use crankmux::balancer::Balancer;
use crankmux::settings::Settings;
use crankmux::types::{
    AttemptOutcome, AttemptResult, ClassId, EndpointId, EndpointState, EndpointUpdate, LoadReport,
    NewRequest, RequestId, TenantId,
};
use std::collections::BTreeMap;

const START_MS: f64 = 50_000.0;
const DEFAULT_SEED: u64 = 7;

/// A balancer with the rule checker that receives its actions, in virtual time.
pub(crate) struct Harness {
    pub(crate) balancer: Balancer,
    pub(crate) checker: RuleChecker,
}

impl Harness {
    pub(crate) fn new(endpoints: usize) -> Self {
        Self::with_settings(default_settings(), endpoints)
    }

    pub(crate) fn with_settings(settings: Settings, endpoints: usize) -> Self {
        let seed = settings
            .proxy_number
            .map_or(DEFAULT_SEED, |number| number as u64);
        let checker = RuleChecker {
            now_ms: START_MS,
            forbid_concurrent_attempts: !settings.hedging,
            max_attempts: MAX_ATTEMPTS,
            placements: class_placements(&settings),
            ..RuleChecker::default()
        };
        let balancer = Balancer::new(settings, seed);
        let mut harness = Harness { balancer, checker };
        harness.update_endpoints(&ready_endpoints(endpoints), true, true);
        harness
    }

    pub(crate) fn update_endpoints(
        &mut self,
        updates: &[EndpointUpdate],
        full: bool,
        cached: bool,
    ) {
        if full {
            for known in self.checker.endpoints.values_mut() {
                known.state = EndpointState::Removed;
            }
        }
        for update in updates {
            self.checker
                .endpoints
                .insert(update.endpoint.index(), *update);
        }
        let now_ms = self.checker.now_ms;
        self.balancer
            .update_endpoints(&mut self.checker, now_ms, updates, full, cached);
    }

    /// Sends the balancer a change of one entry of the endpoint list.
    pub(crate) fn update_endpoint(
        &mut self,
        endpoint: usize,
        state: EndpointState,
        started_at_ms: f64,
    ) {
        let update = endpoint_update(endpoint, state, started_at_ms);
        self.update_endpoints(&[update], false, false);
    }

    pub(crate) fn disable(&mut self, endpoint: usize) {
        self.checker.disabled.insert(endpoint);
        self.balancer
            .disable_endpoint(self.checker.now_ms, EndpointId::new(endpoint));
    }

    pub(crate) fn enable(&mut self, endpoint: usize) {
        self.checker.disabled.remove(&endpoint);
        self.balancer
            .enable_endpoint(self.checker.now_ms, EndpointId::new(endpoint));
    }

    /// Applies new settings, with the idempotency of the classes rotated by `idempotency_offset`.
    pub(crate) fn update_settings(
        &mut self,
        mut settings: Settings,
        idempotency_offset: usize,
        max_attempts: usize,
    ) {
        for (index, class) in settings.classes.iter_mut().enumerate() {
            class.idempotency = IDEMPOTENCY[(index + idempotency_offset) % 3];
        }
        settings.max_attempts = max_attempts as f64;
        self.checker.placements = class_placements(&settings);
        self.checker.idempotency_offset = idempotency_offset;
        self.checker.max_attempts = max_attempts;
        self.balancer.update_settings(settings);
    }

    /// Advances the clock and fires the timers that are due.
    pub(crate) fn advance(&mut self, duration_ms: f64) {
        let until_ms = self.checker.now_ms + duration_ms;
        loop {
            let timers = self.checker.timers.iter().enumerate();
            let next = timers.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            let Some((index, (at_ms, timer))) = next.map(|(index, timer)| (index, *timer)) else {
                break;
            };
            if at_ms > until_ms {
                break;
            }
            self.checker.timers.remove(index);
            self.checker.now_ms = self.checker.now_ms.max(at_ms);
            let now_ms = self.checker.now_ms;
            self.balancer
                .timer_expired(&mut self.checker, now_ms, timer);
        }
        self.checker.now_ms = until_ms;
    }

    /// Sends the balancer a request of a class; returns its index.
    pub(crate) fn send(&mut self, class: usize) -> usize {
        self.send_request(class, None, false, None)
    }

    pub(crate) fn send_for_tenant(
        &mut self,
        class: usize,
        tenant: usize,
        client_retry: bool,
    ) -> usize {
        self.send_request(class, Some(tenant), client_retry, None)
    }

    pub(crate) fn send_with_key(&mut self, class: usize, affinity_key: Option<u64>) -> usize {
        self.send_request(class, None, false, affinity_key)
    }

    fn send_request(
        &mut self,
        class: usize,
        tenant: Option<usize>,
        client_retry: bool,
        affinity_key: Option<u64>,
    ) -> usize {
        let request = self.checker.requests.len();
        let now_ms = self.checker.now_ms;
        self.checker.requests.push(TrackedRequest {
            idempotency: IDEMPOTENCY[(class + self.checker.idempotency_offset) % 3],
            max_attempts: self.checker.max_attempts,
            class,
            placement: self.checker.placements[class].clone(),
            deadline_ms: now_ms + TTL_MS,
            ..TrackedRequest::default()
        });
        let arrival = NewRequest {
            request: RequestId::new(request),
            class: ClassId::new(class),
            tenant: tenant.map(TenantId::new),
            ttl_ms: TTL_MS,
            client_retry,
            affinity_key,
        };
        self.balancer
            .request_arrived(&mut self.checker, now_ms, &arrival);
        request
    }

    pub(crate) fn end_attempt(&mut self, request: usize, attempt: usize, outcome: AttemptOutcome) {
        self.end_attempt_with_load(request, attempt, outcome, LoadReport::default());
    }

    pub(crate) fn end_attempt_with_load(
        &mut self,
        request: usize,
        attempt: usize,
        outcome: AttemptOutcome,
        load: LoadReport,
    ) {
        let now_ms = self.checker.now_ms;
        let tracked = &mut self.checker.requests[request];
        let ended = &mut tracked.attempts[attempt];
        ended.in_flight = false;
        ended.may_have_executed = !outcome.never_executed();
        let duration_ms = now_ms - ended.sent_at_ms;
        if outcome == AttemptOutcome::Succeeded && tracked.answers.is_empty() {
            tracked.answers.push(Answer::Succeeded);
        }
        let result = AttemptResult {
            request: RequestId::new(request),
            attempt,
            outcome,
            duration_ms,
            request_closed: !tracked.answers.is_empty(),
            load,
        };
        self.balancer
            .attempt_ended(&mut self.checker, now_ms, &result);
    }

    /// Reports that a long body is being streamed to or from the endpoint of an attempt.
    pub(crate) fn set_body_streaming(&mut self, request: usize, attempt: usize, executing: bool) {
        let now_ms = self.checker.now_ms;
        self.balancer
            .set_body_streaming(now_ms, RequestId::new(request), attempt, executing);
    }

    /// Responds to all pending probes with the endpoint's requests in flight; `None` fails the probe.
    pub(crate) fn answer_probes(&mut self, in_flight: impl Fn(usize) -> Option<f64>) -> Vec<usize> {
        let probes = std::mem::take(&mut self.checker.probes);
        for endpoint in &probes {
            let load = in_flight(*endpoint).map(|in_flight| LoadReport {
                in_flight: Some(in_flight),
                ..LoadReport::default()
            });
            let now_ms = self.checker.now_ms;
            self.balancer
                .probe_ended(&mut self.checker, now_ms, EndpointId::new(*endpoint), load);
        }
        probes
    }

    /// Ends attempts in flight with the outcome for their endpoint; `None` leaves them in flight.
    pub(crate) fn end_attempts(&mut self, outcome: impl Fn(usize) -> Option<AttemptOutcome>) {
        for (request, attempt) in self.in_flight() {
            let endpoint = self.checker.requests[request].attempts[attempt].endpoint;
            if let Some(outcome) = outcome(endpoint) {
                self.end_attempt(request, attempt, outcome);
            }
        }
    }

    /// The attempts in flight, as request and attempt number.
    pub(crate) fn in_flight(&self) -> Vec<(usize, usize)> {
        let requests = self.checker.requests.iter().enumerate();
        requests
            .flat_map(|(id, request)| {
                let attempts = request.attempts.iter().enumerate();
                attempts
                    .filter(|(_, attempt)| attempt.in_flight)
                    .map(move |(number, _)| (id, number))
            })
            .collect()
    }

    /// Sends requests at an interval, ending attempts after each one; returns the number of attempts per endpoint.
    pub(crate) fn run(
        &mut self,
        requests: usize,
        interval_ms: f64,
        outcome: impl Fn(usize) -> Option<AttemptOutcome>,
    ) -> BTreeMap<usize, usize> {
        let from = self.checker.requests.len();
        for _ in 0..requests {
            self.send(0);
            self.advance(interval_ms);
            self.end_attempts(&outcome);
        }
        self.checker.count_attempts_since(from)
    }
}
