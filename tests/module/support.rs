//! Helpers: settings for tests, a slow and plain checker of the rules that stands where the network does, and a
//! harness that moves the balancer and the checker on together.

use crankmux::balancer::Balancer;
use crankmux::settings::{ClassSettings, PlacementSet, Settings, SlowStartSettings};
use crankmux::types::{
    Actions, AttemptOutcome, AttemptResult, DeduplicationScope, EndpointState, EndpointUpdate,
    Idempotency, LoadReport, NewRequest,
};
use quickcheck::{Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const SUCCESS: Option<AttemptOutcome> = Some(AttemptOutcome::Succeeded);
/// Of the three request classes.
pub(crate) const IDEMPOTENCY: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::IdempotentWithKey,
    Idempotency::NotIdempotent,
];
pub(crate) const DEDUPLICATION_WINDOW_MS: f64 = 700.0;
pub(crate) const TTL_MS: f64 = 1000.0;
pub(crate) const MAX_ATTEMPTS: usize = 4;
const START_MS: f64 = 50_000.0;
const MAX_RETRY_AFTER_MS: f64 = 500.0;
const DEFAULT_SEED: u64 = 7;

/// Three request classes, one of each idempotency; the endpoints of a pod drop the repeats of the second.
pub(crate) fn default_settings() -> Settings {
    let class = |idempotency| ClassSettings {
        idempotency,
        deduplication_scope: DeduplicationScope::Pod,
        deduplication_window_ms: DEDUPLICATION_WINDOW_MS,
        latency_objective_ms: 400.0,
        priority_weight: 1.0,
        late_weight: 1.0,
        zones: None,
        machine_classes: None,
    };
    Settings {
        proxy_count: 1.0,
        proxy_number: None,
        my_zone: 0,
        classes: IDEMPOTENCY.map(class).to_vec(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        max_attempts: MAX_ATTEMPTS as f64,
        hedging: true,
        cancellation: true,
        max_retry_after_ms: MAX_RETRY_AFTER_MS,
        load_by_probes: false,
        few_buffered_responses: false,
        key_affinity: false,
        cross_zone_price: 0.0,
        watch_endpoints: true,
        poll_within_ms: 10_000.0,
        drain_grace_ms: 100.0,
        deadline_margin_ms: 0.0,
        start_time_error_ms: 0.0,
        slow_start: SlowStartSettings {
            duration_ms: 10_000.0,
            initial_share: 0.2,
            overload_multiple: 2.0,
            window_ms: 1000.0,
        },
    }
}

/// Settings of one proxy of many.
pub(crate) fn proxy_settings(number: usize, count: usize) -> Settings {
    Settings {
        proxy_count: count as f64,
        proxy_number: Some(number as f64),
        ..default_settings()
    }
}

/// Settings where endpoints report their load only to probes and keep work by key, and nothing is hedged.
pub(crate) fn probing_settings() -> Settings {
    Settings {
        load_by_probes: true,
        key_affinity: true,
        hedging: false,
        ..default_settings()
    }
}

/// Settings where one class is bound to a zone, one to machine classes, and one to neither.
pub(crate) fn placed_settings(zone: usize, machine_classes: &[usize]) -> Settings {
    let mut settings = default_settings();
    settings.classes[2].zones = Some([zone].into());
    settings.classes[1].machine_classes = Some(machine_classes.into());
    settings
}

/// Settings in the wire's form, with one request class.
pub(crate) fn wire_settings(class: &Value) -> Value {
    let mut class = class.clone();
    for (key, value) in [
        ("Name", json!("remind")),
        ("TargetLatencyMs", json!(400)),
        ("TtlMs", json!(1000)),
    ] {
        class[key] = value;
    }
    class["Effect"] = json!("non_idempotent");
    json!({"GroupSize": 1, "Categories": [class], "Limits": {"MostPushes": 3}, "Zones": ["east", "west"],
        "Obligations": {"ColdShare": 0.2, "ColdMs": 9000, "FallMultiple": 2, "FallMs": 1000,
            "StopSendingWithinMs": 100}})
}

/// Settings in the wire's form that lack one of the obligations.
pub(crate) fn wire_settings_without(obligation: &str) -> Value {
    let mut settings = wire_settings(&json!({}));
    let obligations = settings["Obligations"].as_object_mut();
    obligations
        .expect("an object")
        .remove(obligation)
        .expect("a known key");
    settings
}

/// A line of the endpoint list. Endpoints stand in pods of three, in two zones by turns, and on three machine
/// classes by turns.
pub(crate) fn endpoint_update(
    endpoint: usize,
    state: EndpointState,
    started_at_ms: f64,
) -> EndpointUpdate {
    EndpointUpdate {
        endpoint,
        stable_hash: endpoint as u64,
        state,
        zone: endpoint % 2,
        machine_class: endpoint % 3,
        pod: endpoint / 3,
        started_at_ms,
    }
}

/// The lines of so many endpoints that have been ready for long.
pub(crate) fn ready_endpoints(count: usize) -> Vec<EndpointUpdate> {
    (0..count)
        .map(|endpoint| endpoint_update(endpoint, EndpointState::Ready, 0.0))
        .collect()
}

/// So many generated cases, the same at each run.
pub(crate) fn quickcheck_with(cases: u64) -> QuickCheck {
    let generator = Gen::from_size_and_seed(200, 20_261_201);
    QuickCheck::new().tests(cases).rng(generator)
}

/// The most times that lie within a second of each other; none where there are none.
pub(crate) fn most_within_a_second(times_ms: &[f64]) -> Option<usize> {
    let within = |from: f64| {
        times_ms
            .iter()
            .filter(|at_ms| (from..from + 1000.0).contains(*at_ms))
            .count()
    };
    times_ms.iter().map(|at_ms| within(*at_ms)).max()
}

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

fn placement(settings: &Settings) -> Vec<Placement> {
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
    disabled: BTreeSet<usize>,
    /// By how many classes their idempotency has moved on.
    idempotency_shift: usize,
    max_attempts: usize,
    /// Whether no two attempts of a request may be in flight.
    one_at_a_time: bool,
    /// Where each class may run, by the settings in force.
    placement: Vec<Placement>,
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
            !self.disabled.contains(&endpoint.endpoint),
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
    fn start_attempt(&mut self, id: usize, endpoint: usize, timeout_ms: f64) {
        let (request, update) = (&self.requests[id], &self.endpoints[&endpoint]);
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

    fn probe(&mut self, endpoint: usize) {
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

    fn cancel(&mut self, request: usize, attempt: usize) {
        assert!(
            attempt < self.requests[request].attempts.len(),
            "a cancel of an attempt never made"
        );
    }

    fn reject(&mut self, id: usize, retry_after_ms: f64) {
        let request = &self.requests[id];
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run);
        let harmless = request.idempotency == Idempotency::Idempotent || !may_have_run;
        assert!(harmless, "a rejection of what may have run");
        assert!((0.0..=MAX_RETRY_AFTER_MS).contains(&retry_after_ms));
        self.answer(id, Answer::Rejected);
    }

    fn fail(&mut self, request: usize) {
        self.answer(request, Answer::Failed);
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
            self.checker.endpoints.insert(update.endpoint, *update);
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
            .disable_endpoint(self.checker.now_ms, endpoint);
    }

    pub(crate) fn enable(&mut self, endpoint: usize) {
        self.checker.disabled.remove(&endpoint);
        self.balancer.enable_endpoint(self.checker.now_ms, endpoint);
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
        let (request, now_ms) = (self.checker.requests.len(), self.checker.now_ms);
        self.checker.requests.push(TrackedRequest {
            idempotency: IDEMPOTENCY[(class + self.checker.idempotency_shift) % 3],
            max_attempts: self.checker.max_attempts,
            class,
            placement: self.checker.placement[class].clone(),
            deadline_ms: now_ms + TTL_MS,
            ..TrackedRequest::default()
        });
        let arrival = NewRequest {
            request,
            class,
            tenant,
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
            request,
            attempt,
            outcome,
            duration_ms,
            request_closed: !tracked.answers.is_empty(),
            load,
        };
        self.balancer
            .attempt_ended(&mut self.checker, now_ms, &result);
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
                .probe_ended(&mut self.checker, now_ms, *endpoint, load);
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
