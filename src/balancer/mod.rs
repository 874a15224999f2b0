//! The load-balancing decisions of crankmux. A proxy creates one [`Balancer`] from its settings, reports each
//! event to it with the current time, and carries out the [`Actions`] that it calls in return.
//!
//! The algorithm is MCMS (docs/design.md): `solver` models each endpoint of the `subset` as a queue, `split`
//! computes the shares that minimize the expected latency and cost, and each request is assigned to a random
//! endpoint by these shares. `candidates`, `admission`, `slow_start` and `probing` restrict the choice;
//! `estimator` and `load` estimate the inputs of the split; `retries` takes each request to its final
//! response; `endpoint_list` applies updates of the endpoint list.
//!
//! This file holds the shared state and makes no decisions. The other files of this directory are the
//! `policy` of deploy/balancer.toml.

mod admission;
mod candidates;
mod deduplication;
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

/// Endpoints with a higher error rate count as avoided in [`Balancer::endpoint_counts`].
const AVOIDED_ERROR_RATE: f64 = 0.95;
/// How long the record of a removed endpoint is kept after its last response.
const REMOVED_ENDPOINT_TTL_MS: f64 = 60_000.0;

/// The action to take when a timer expires.
enum Timer {
    /// Request the endpoint list.
    EndpointList,
    /// Stop waiting for the load probes of a request.
    ProbeWait { request: RequestId },
    /// Hedge an overdue attempt.
    Hedge { key: AttemptKey, sent_at_ms: f64 },
    /// Abandon a request whose response would have no value any more.
    Abandon { request: RequestId, at_ms: f64 },
}

/// The load balancer of one proxy.
#[derive(Default)]
pub struct Balancer {
    rng: SeededRandom,
    now_ms: f64,
    settings: Settings,
    classes: Vec<RequestClass>,
    tenants: Vec<Tenant>,
    /// The number of proxies that share the endpoints.
    proxy_count: f64,
    /// This process's share of the proxy's traffic; below 1 while two processes run during an upgrade.
    process_share: f64,
    /// This process's share of the slow-start budget of a configured proxy.
    slow_start_share: f64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints that this proxy sends requests to.
    subset: Vec<EndpointId>,
    /// The mean number of proxies that share an endpoint.
    proxies_per_endpoint: f64,
    subset_chosen_at_ms: f64,
    requests: BTreeMap<RequestId, Request>,
    pending_attempts: BTreeMap<AttemptKey, PendingAttempt>,
    /// Endpoints with a load probe in flight.
    pending_probes: BTreeSet<EndpointId>,
    timers: BTreeMap<u64, Timer>,
    last_timer_id: u64,
    list_backoff_ms: f64,
    mean_latency_ms: f64,
    /// Estimated 95th percentile of the latency relative to the expected latency.
    tail_multiple: f64,
    attempt_rate: EventRate,
    warm_throughput: f64,
    solved_at_ms: f64,
    mean_relative_latency: f64,
    mean_queue: f64,
    /// Arrival rate from all proxies relative to the total service rate of the subset.
    traffic_intensity: f64,
}

impl Balancer {
    /// Creates a balancer whose random choices are derived from a seed.
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

    /// Applies new settings. Open requests keep the class settings of their arrival; learned state is kept.
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

    /// Sets this process's share of the proxy, so that two processes of an upgrade don't spend its budgets
    /// twice; the number of proxies, if known from the cluster; and this proxy's share of the slow-start
    /// budget of a configured proxy.
    pub fn set_process_share(&mut self, share: f64, proxies: Option<f64>, slow_start: f64) {
        self.proxy_count = proxies.unwrap_or(self.settings.proxy_count).max(1.0);
        self.process_share = share;
        self.slow_start_share = share * slow_start;
        self.invalidate_solution();
    }

    /// Exports the learned state for the next process of this proxy.
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

    /// Restores the state that the previous process learned. Without throughput estimates, endpoints in slow
    /// start would get no requests and the others too few.
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

    /// Whether there is a record of this endpoint. The index of an unknown endpoint may be reused.
    pub fn has_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// The number of listed endpoints, and how many of them are disabled or fail nearly all attempts.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let listed = || self.endpoints.values().filter(|endpoint| endpoint.state != EndpointState::Removed);
        let fails = |endpoint: &Endpoint| endpoint.statistics.error_rate > AVOIDED_ERROR_RATE;
        (listed().count(), listed().filter(|endpoint| endpoint.disabled || fails(endpoint)).count())
    }

    /// Binds a request to an attempt whose body is being streamed. The attempt counts as in flight only while
    /// the endpoint works on it, from the end of the request body to the start of the response, so that slow
    /// clients don't use up the limit.
    pub fn set_body_streaming(
        &mut self,
        now_ms: f64,
        request: RequestId,
        attempt: usize,
        endpoint_works: bool,
    ) {
        self.now_ms = now_ms;
        let key = (request, attempt);
        let Some(request) = self.requests.get_mut(&request) else { return };
        request.bound_to_attempt = true;
        let Some(attempt) = request.attempts.get(attempt).filter(|attempt| attempt.in_flight) else { return };
        let endpoint = self.endpoints.get_mut(&attempt.endpoint).expect("endpoints with attempts are kept");
        endpoint.set_in_flight(key, attempt.timing, endpoint_works);
    }

    /// Handles the expiry of a timer set by [`Actions::set_timer`].
    pub fn timer_expired(&mut self, actions: &mut dyn Actions, now_ms: f64, timer: u64) {
        self.now_ms = now_ms;
        match self.timers.remove(&timer) {
            None => {}
            Some(Timer::EndpointList) => self.request_endpoint_list(actions),
            Some(Timer::ProbeWait { request }) => self.end_probe_wait(actions, request),
            Some(Timer::Hedge { key, sent_at_ms }) => self.hedge(actions, key, sent_at_ms),
            Some(Timer::Abandon { request, at_ms }) => self.abandon_request(actions, request, at_ms),
        }
    }

    /// The endpoints preferred by a key among those offered, in an order that is the same on all proxies.
    fn rendezvous_top(&self, key: Option<u64>, offered: impl Iterator<Item = EndpointId>) -> Vec<EndpointId> {
        let Some(key) = key else { return Vec::new() };
        let hashes = offered.map(|id| (id, self.endpoints[&id].stable_hash));
        ranking::rendezvous_top(key, solver::RENDEZVOUS_CANDIDATES, hashes)
    }

    fn set_timer(&mut self, actions: &mut dyn Actions, at_ms: f64, timer: Timer) {
        self.last_timer_id += 1;
        self.timers.insert(self.last_timer_id, timer);
        actions.set_timer(at_ms, self.last_timer_id);
    }

    /// Drops the records of removed endpoints to bound memory, except those in use, as an index may be reused
    /// for another endpoint.
    fn purge_removed_endpoints(&mut self) {
        let (now_ms, requests) = (self.now_ms, &self.requests);
        self.endpoints.retain(|id, endpoint| {
            endpoint.state != EndpointState::Removed
                || endpoint.disabled
                || now_ms - endpoint.last_response_at_ms <= REMOVED_ENDPOINT_TTL_MS
                || !endpoint.in_flight.is_empty()
                || requests.values().any(|request| request.has_tried(*id))
        });
        self.subset.retain(|id| self.endpoints.contains_key(id));
    }

    /// Makes the next decision choose a new subset and solve the split again.
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
