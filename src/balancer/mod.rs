//! Every decision of crankmux: events in, actions out. A proxy makes one [`Balancer`] from its settings and
//! tells it, with the present time, what happens; the answers leave by the [`Actions`] given with each call.
//!
//! The mechanism is MCMS (docs/design.md): `solver` describes each endpoint of the `subset` as a queue,
//! `split` finds the shares that minimise the expected time, and each request is drawn by these.
//! `candidates`, `admission`, `slow_start` and `probing` narrow the draw; `estimator` and `load` learn what
//! the split goes by; `retries` leads a request to its one final answer; `endpoint_list` follows the list of
//! endpoints.
//!
//! This file holds the record that they share and what only changes it, and decides nothing: the other files
//! of this folder are the `policy` of deploy/balancer.toml, whose length is bounded.

mod admission;
mod candidates;
mod endpoint_list;
mod estimator;
mod load;
mod probing;
mod retries;
mod slow_start;
mod solver;
mod split;
mod subset;

pub use crate::state::QueueModel;
pub use split::split;

use crate::moving_average::EventRate;
use crate::ranking;
use crate::settings::{ClassSettings, Settings, TenantSettings};
use crate::state::{AttemptKey, Endpoint, PendingAttempt, Request, RequestClass, Tenant};
use crate::token_bucket::TokenBucket;
use crate::types::{Actions, EndpointId, EndpointState, LearnedState, RequestId, SeededRandom};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An endpoint that fails more of its attempts than this is reported as avoided.
const AVOIDED_ERROR_RATE: f64 = 0.95;
/// The record of a removed endpoint is kept for so long after its last answer.
const FORGET_AFTER_MS: f64 = 60_000.0;

/// What is to be done when a timer expires.
enum Timer {
    /// Ask for the endpoint list.
    EndpointList,
    /// Wait no longer for the load reports that a request has asked for.
    ProbeWait { request: RequestId },
    /// Hedge an attempt that is overdue.
    Hedge { key: AttemptKey, sent_at_ms: f64 },
    /// Give a request up whose answer would be worth nothing any more.
    Abandon { request: RequestId, at_ms: f64 },
}

/// The decisions of one proxy.
#[derive(Default)]
pub struct Balancer {
    rng: SeededRandom,
    now_ms: f64,
    settings: Settings,
    classes: Vec<RequestClass>,
    tenants: Vec<Tenant>,
    /// How many proxies share the fleet.
    proxy_count: f64,
    /// This process's part of the proxy, and of the slow-start budget that the number of proxies leaves it.
    process_share: f64,
    slow_start_share: f64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints that this proxy draws from, and how many proxies share each of them in the mean.
    subset: Vec<EndpointId>,
    proxies_per_endpoint: f64,
    subset_chosen_at_ms: f64,
    requests: BTreeMap<RequestId, Request>,
    pending_attempts: BTreeMap<AttemptKey, PendingAttempt>,
    /// The endpoints that were asked for their load and have not answered.
    probes: BTreeSet<EndpointId>,
    timers: BTreeMap<u64, Timer>,
    last_timer: u64,
    list_backoff_ms: f64,
    mean_latency_ms: f64,
    /// The multiple of the expected latency that nineteen of twenty answers stay under.
    tail_multiple: f64,
    attempt_rate: EventRate,
    warm_throughput: f64,
    solved_at_ms: f64,
    mean_relative_latency: f64,
    mean_queue: f64,
    /// The arrivals from all proxies, as a part of all service rates.
    arrival_rate: f64,
}

impl Balancer {
    /// A balancer with these settings that draws from this seed.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let classes: Vec<_> = settings.classes.iter().map(new_class).collect();
        let latencies_ms = classes.iter().map(|class| class.mean_latency_ms);
        Balancer {
            rng: SeededRandom(oorandom::Rand64::new(u128::from(seed))),
            proxy_count: settings.proxy_count,
            process_share: 1.0,
            slow_start_share: 1.0,
            tenants: settings.tenants.iter().map(new_tenant).collect(),
            mean_latency_ms: latencies_ms.sum::<f64>() / classes.len().max(1) as f64,
            tail_multiple: estimator::INITIAL_TAIL_MULTIPLE,
            classes,
            settings,
            ..Balancer::default()
        }
    }

    /// New settings. Requests under way keep the terms that they came under, and what was learned stays.
    pub fn update_settings(&mut self, settings: Settings) {
        let mut new = Balancer::new(settings, 0);
        new.restore_learned_state(&self.learned_state());
        for (new, old) in new.tenants.iter_mut().zip(&self.tenants) {
            new.bucket = old.bucket;
        }
        self.classes = new.classes;
        self.tenants = new.tenants;
        self.settings = new.settings;
        self.proxy_count = new.proxy_count;
        self.invalidate_solution();
    }

    /// This process's share of the proxy, as two processes of an upgrade would spend its budgets twice; how
    /// many proxies there are, where they know each other; and its part of the slow-start budget of one.
    pub fn set_process_share(&mut self, share: f64, proxies: Option<f64>, slow_start: f64) {
        self.proxy_count = proxies.unwrap_or(self.settings.proxy_count).max(1.0);
        self.process_share = share;
        self.slow_start_share = share * slow_start;
        self.invalidate_solution();
    }

    /// What it has learned, for a process that comes after this one.
    pub fn learned_state(&self) -> LearnedState {
        let classes = self.classes.iter().map(|class| (class.mean_latency_ms, class.successes));
        let endpoints = self.endpoints.iter().map(|(id, endpoint)| (*id, endpoint.statistics));
        LearnedState {
            mean_latency_ms: self.mean_latency_ms,
            tail_multiple: self.tail_multiple,
            warm_throughput: self.warm_throughput,
            classes: classes.collect(),
            endpoints: endpoints.collect(),
        }
    }

    /// Takes over what the process before this one has learned. One that knows of no endpoint what it bears
    /// would give those that are warming up nothing, and all others too little.
    pub fn restore_learned_state(&mut self, learned: &LearnedState) {
        self.mean_latency_ms = learned.mean_latency_ms;
        self.tail_multiple = learned.tail_multiple;
        self.warm_throughput = learned.warm_throughput;
        for (class, (mean_latency_ms, successes)) in self.classes.iter_mut().zip(&learned.classes) {
            class.mean_latency_ms = *mean_latency_ms;
            class.successes = *successes;
        }
        for (id, statistics) in &learned.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.statistics = *statistics;
            }
        }
    }

    /// Whether it holds a record of this endpoint; an index that it does not hold may stand for another.
    pub fn knows_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// How many endpoints are listed, and how many of them are disabled or fail nearly always.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let listed = || self.endpoints.values().filter(|endpoint| endpoint.state != EndpointState::Removed);
        let fails = |endpoint: &Endpoint| endpoint.statistics.error_rate > AVOIDED_ERROR_RATE;
        (listed().count(), listed().filter(|endpoint| endpoint.disabled || fails(endpoint)).count())
    }

    /// A long body is streamed to or from an attempt's endpoint, which binds the request to it. The endpoint
    /// works at it only from the body's last byte in to the response, or slow clients would use up limits.
    pub fn streaming(&mut self, now_ms: f64, request: RequestId, attempt: usize, endpoint_works: bool) {
        self.now_ms = now_ms;
        let key = (request, attempt);
        let Some(request) = self.requests.get_mut(&request) else { return };
        request.bound_to_attempt = true;
        let Some(attempt) = request.attempts.get(attempt).filter(|attempt| attempt.in_flight) else { return };
        let endpoint = self.endpoints.get_mut(&attempt.endpoint).expect("it is kept for its attempts");
        endpoint.set_in_flight(key, attempt.timing, endpoint_works);
    }

    /// A timer that was set by [`Actions::set_timer`] has expired.
    pub fn timer_expired(&mut self, out: &mut dyn Actions, now_ms: f64, timer: u64) {
        self.now_ms = now_ms;
        match self.timers.remove(&timer) {
            None => {}
            Some(Timer::EndpointList) => self.ask_for_endpoints(out),
            Some(Timer::ProbeWait { request }) => self.end_probe_wait(out, request),
            Some(Timer::Hedge { key, sent_at_ms }) => self.hedge(out, key, sent_at_ms),
            Some(Timer::Abandon { request, at_ms }) => self.abandon_request(out, request, at_ms),
        }
    }

    /// The first endpoints of a key, of those offered, in the order that all proxies know alike.
    fn rendezvous_candidates(
        &self,
        key: Option<u64>,
        offered: impl Iterator<Item = EndpointId>,
    ) -> Vec<EndpointId> {
        let Some(key) = key else { return Vec::new() };
        let hashes = offered.map(|id| (id, self.endpoints[&id].stable_hash));
        ranking::rendezvous_first(key, solver::RENDEZVOUS_CANDIDATES, hashes)
    }

    fn set_timer(&mut self, out: &mut dyn Actions, at_ms: f64, timer: Timer) {
        self.last_timer += 1;
        self.timers.insert(self.last_timer, timer);
        out.set_timer(at_ms, self.last_timer);
    }

    /// Replaced endpoints would fill the memory; an index used again too early would stand for two of them.
    fn forget_removed(&mut self) {
        let (now_ms, requests) = (self.now_ms, &self.requests);
        self.endpoints.retain(|id, endpoint| {
            endpoint.state != EndpointState::Removed
                || endpoint.disabled
                || now_ms - endpoint.last_response_at_ms <= FORGET_AFTER_MS
                || !endpoint.in_flight.is_empty()
                || requests.values().any(|request| request.has_tried(*id))
        });
        self.subset.retain(|id| self.endpoints.contains_key(id));
    }

    /// The next decision solves the split anew, over a subset chosen anew.
    fn invalidate_solution(&mut self) {
        self.solved_at_ms = f64::NEG_INFINITY;
        self.subset_chosen_at_ms = f64::NEG_INFINITY;
    }
}

fn new_class(class: &ClassSettings) -> RequestClass {
    RequestClass {
        settings: Arc::new(class.clone()),
        mean_latency_ms: class.latency_objective_ms * estimator::INITIAL_LATENCY_FRACTION,
        successes: 0.0,
    }
}

fn new_tenant(tenant: &TenantSettings) -> Tenant {
    Tenant {
        quota_per_ms: tenant.quota_per_s / 1000.0,
        bucket: TokenBucket::new(admission::MIN_QUOTA_BURST, 0.0),
    }
}
