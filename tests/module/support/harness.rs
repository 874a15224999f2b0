//! A balancer and its rule checker, moved on together.

use super::rule_checker::{placement, Answer, RuleChecker, TrackedRequest};
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

/// A balancer and its checker, moved on together.
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
            one_at_a_time: !settings.hedging,
            max_attempts: MAX_ATTEMPTS,
            placement: placement(&settings),
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
        whole: bool,
        cached: bool,
    ) {
        if whole {
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
            .update_endpoints(&mut self.checker, now_ms, updates, whole, cached);
    }

    /// One line of the endpoint list, as a change.
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

    /// New settings, in which the idempotency of the classes has moved on by so many.
    pub(crate) fn update_settings(
        &mut self,
        mut settings: Settings,
        idempotency_shift: usize,
        max_attempts: usize,
    ) {
        for (index, class) in settings.classes.iter_mut().enumerate() {
            class.idempotency = IDEMPOTENCY[(index + idempotency_shift) % 3];
        }
        settings.max_attempts = max_attempts as f64;
        self.checker.placement = placement(&settings);
        self.checker.idempotency_shift = idempotency_shift;
        self.checker.max_attempts = max_attempts;
        self.balancer.update_settings(settings);
    }

    /// Lets time pass, and timers expire.
    pub(crate) fn advance(&mut self, duration_ms: f64) {
        let until_ms = self.checker.now_ms + duration_ms;
        loop {
            let timers = self.checker.timers.iter().enumerate();
            let first = timers.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            let Some((index, (at_ms, timer))) = first.map(|(index, timer)| (index, *timer)) else {
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

    /// A request of a class comes in; returns its index.
    pub(crate) fn send(&mut self, class: usize) -> usize {
        self.arrive(class, None, false, None)
    }

    pub(crate) fn send_for_tenant(
        &mut self,
        class: usize,
        tenant: usize,
        client_retry: bool,
    ) -> usize {
        self.arrive(class, Some(tenant), client_retry, None)
    }

    pub(crate) fn send_with_key(&mut self, class: usize, key: Option<u64>) -> usize {
        self.arrive(class, None, false, key)
    }

    fn arrive(
        &mut self,
        class: usize,
        tenant: Option<usize>,
        client_retry: bool,
        key: Option<u64>,
    ) -> usize {
        let request = self.checker.requests.len();
        let now_ms = self.checker.now_ms;
        self.checker.requests.push(TrackedRequest {
            idempotency: IDEMPOTENCY[(class + self.checker.idempotency_shift) % 3],
            max_attempts: self.checker.max_attempts,
            class,
            placement: self.checker.placement[class].clone(),
            deadline_ms: now_ms + TTL_MS,
            ..TrackedRequest::default()
        });
        let arrival = NewRequest {
            request: RequestId::new(request),
            class: ClassId::new(class),
            tenant: tenant.map(TenantId::new),
            ttl_ms: TTL_MS,
            client_retry,
            key,
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
        ended.may_have_run = !outcome.never_executed();
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

    /// A long body is streamed to or from the endpoint of an attempt.
    pub(crate) fn streaming(&mut self, request: usize, attempt: usize, endpoint_works: bool) {
        let now_ms = self.checker.now_ms;
        self.balancer
            .streaming(now_ms, RequestId::new(request), attempt, endpoint_works);
    }

    /// Answers all probes that are out: what each endpoint holds, or nothing.
    pub(crate) fn answer_probes(&mut self, held: impl Fn(usize) -> Option<f64>) -> Vec<usize> {
        let probes = std::mem::take(&mut self.checker.probes);
        for endpoint in &probes {
            let load = held(*endpoint).map(|held| LoadReport {
                in_flight: Some(held),
                ..LoadReport::default()
            });
            let now_ms = self.checker.now_ms;
            self.balancer
                .probe_ended(&mut self.checker, now_ms, EndpointId::new(*endpoint), load);
        }
        probes
    }

    /// Ends what is in flight, with an outcome by endpoint; attempts without one stay in flight.
    pub(crate) fn end_attempts(&mut self, outcome: impl Fn(usize) -> Option<AttemptOutcome>) {
        for (request, attempt) in self.in_flight() {
            let endpoint = self.checker.requests[request].attempts[attempt].endpoint;
            if let Some(outcome) = outcome(endpoint) {
                self.end_attempt(request, attempt, outcome);
            }
        }
    }

    /// The attempts in flight, by request and number.
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

    /// Requests one after the other, each ended after an interval; returns how many attempts each endpoint got.
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
