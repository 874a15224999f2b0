//! Proxies: policy calls, timers, crashes and restarts.

use super::event_queue::{Event, ProxyRef};
use super::network::ConnectionPool;
use super::Environment;
use crate::endpoint::Endpoint;
use crate::faults::Partitions;
use crate::policies::{EndpointTruth, Policy};
use crate::results::Outcome;
use crate::script::{Idempotency, Script};
use crankmux::types::EndpointId;

/// The omniscient policy avoids an endpoint if its expected wait exceeds this fraction of the wait that degrades it.
/// The margin allows for the variation of work between requests.
const SAFE_WAIT_FRACTION: f64 = 0.5;
/// Failure probability from which the omniscient policy treats an endpoint as unhealthy.
const UNHEALTHY_FAILURE_PROBABILITY: f64 = 0.5;

/// State of one proxy.
pub(super) struct Proxy {
    pub(super) policy: Policy,
    pub(super) up: bool,
    pub(super) incarnation: u32,
    pub(super) zone: usize,
    /// Weight among the proxies that clients are routed to.
    pub(super) weight: f64,
    /// Whether clients are routed to it. False from the detection of its failure until its restart.
    pub(super) routed: bool,
    /// Number of changes of the endpoint list that it was notified of.
    pub(super) changes_seen: usize,
    next_tick: f64,
    /// Connection pools, by endpoint.
    pub(super) connections: Vec<ConnectionPool>,
    /// When it was notified that an endpoint drains or is removed, by endpoint.
    pub(super) drain_notified_at: Vec<Option<f64>>,
}

impl Proxy {
    pub(super) fn new(policy: Policy, zone: usize, weight: f64) -> Self {
        Proxy {
            policy,
            up: true,
            incarnation: 0,
            zone,
            weight,
            routed: true,
            changes_seen: 0,
            next_tick: f64::INFINITY,
            connections: Vec::new(),
            drain_notified_at: Vec::new(),
        }
    }

    /// When it was notified that an endpoint drains or is removed, if it was.
    pub(super) fn draining_since(&self, endpoint: usize) -> Option<f64> {
        self.drain_notified_at.get(endpoint).copied().flatten()
    }
}

/// The true state of the endpoints, as seen from the zone of a proxy.
struct TrueEndpointState<'a> {
    script: &'a Script,
    endpoints: &'a [Endpoint],
    partitions: &'a Partitions,
    now: f64,
    mean_work_ms: f64,
    zone: usize,
}

impl TrueEndpointState<'_> {
    fn of(&self, endpoint: usize) -> EndpointTruth {
        let endpoint = &self.endpoints[endpoint];
        let load = endpoint.in_flight() + endpoint.attempts_in_transit;
        let machine = &endpoint.machine;
        let has_room = load < machine.cores + machine.queue_capacity;
        let healthy = self.reaches(endpoint)
            && endpoint.faults.failure_probability < UNHEALTHY_FAILURE_PROBABILITY;
        let service_rounds = (load + 1) as f64 / machine.cores as f64;
        let paused_ms = (endpoint.paused_until - self.now).max(0.0);
        let path_delay_ms = if endpoint.zone == self.zone {
            self.script.network.same_zone_ms
        } else {
            self.script.network.cross_zone_ms
        };
        let service_time_ms = self.mean_work_ms / endpoint.speed(self.now).max(1e-6);
        let wait_ms = paused_ms + (service_rounds - 1.0).max(0.0) * service_time_ms;
        let would_degrade = machine
            .degradation
            .is_some_and(|degradation| wait_ms > SAFE_WAIT_FRACTION * degradation.queue_wait_ms);
        let latency_ms =
            2.0 * path_delay_ms + paused_ms + service_rounds.max(1.0) * service_time_ms;
        EndpointTruth {
            expected_latency_ms: (healthy && has_room && !would_degrade).then_some(latency_ms),
        }
    }

    /// Whether requests reach an endpoint and its responses reach the proxy.
    fn reaches(&self, endpoint: &Endpoint) -> bool {
        endpoint.up
            && !endpoint.faults.unresponsive
            && !self.partitions.requests[self.zone][endpoint.zone]
            && !self.partitions.responses[endpoint.zone][self.zone]
    }
}

impl Environment<'_> {
    /// Calls the policy of a proxy with access to the true state, which only the omniscient policy uses.
    pub(super) fn with_policy<T>(
        &mut self,
        proxy: usize,
        call: impl FnOnce(&mut Policy, f64, &dyn Fn(EndpointId) -> EndpointTruth) -> T,
    ) -> T {
        let state = TrueEndpointState {
            script: self.script,
            endpoints: &self.endpoints,
            partitions: &self.partitions,
            now: self.now,
            mean_work_ms: self.mean_work_ms,
            zone: self.proxies[proxy].zone,
        };
        let truth = |endpoint: EndpointId| state.of(endpoint.index());
        call(&mut self.proxies[proxy].policy, self.now, &truth)
    }

    /// Handles the needs of a policy after a call: a full endpoint list, and its next timer.
    pub(super) fn handle_policy_needs(&mut self, proxy: usize) {
        let needs = self.proxies[proxy].policy.take_needs();
        if needs.endpoint_list {
            self.schedule_notification(proxy, true);
        }
        let state = &mut self.proxies[proxy];
        if let Some(at) = needs.next_tick.filter(|at| *at < state.next_tick) {
            state.next_tick = at.max(self.now);
            let delay_ms = state.next_tick - self.now;
            self.schedule(delay_ms, Event::ProxyTicks { proxy });
        }
    }

    pub(super) fn proxy_ticks(&mut self, proxy: usize) {
        let state = &mut self.proxies[proxy];
        if !state.up || state.next_tick > self.now {
            return;
        }
        state.next_tick = f64::INFINITY;
        let decisions = self.with_policy(proxy, |policy, now, _| policy.tick(now));
        for (request, steps) in decisions {
            self.execute_steps(request.index(), steps);
        }
        self.handle_policy_needs(proxy);
    }

    /// Terminates a proxy, which loses all its requests, and schedules its restart.
    pub(super) fn kill_proxy(&mut self, proxy: usize, restart_after_ms: f64) {
        let state = &mut self.proxies[proxy];
        if !state.up {
            return;
        }
        state.up = false;
        state.incarnation += 1;
        state.next_tick = f64::INFINITY;
        let crashed = ProxyRef {
            index: proxy,
            incarnation: state.incarnation,
        };
        let detected_after_ms = 1000.0 * self.script.clients.failure_detection_s;
        self.schedule(
            detected_after_ms,
            Event::ProxyFailureDetected { proxy: crashed },
        );
        self.schedule(restart_after_ms, Event::ProxyRestarts { proxy: crashed });
        let held: Vec<usize> = self
            .requests
            .iter()
            .filter(|(_, request)| request.proxy == proxy)
            .map(|(index, _)| index)
            .collect();
        for request_index in held {
            self.abandon_request(request_index);
        }
        self.close_all_connections(proxy);
    }

    /// Abandons a request whose proxy has crashed.
    fn abandon_request(&mut self, request_index: usize) {
        let Some(request) = self.requests.get_mut(request_index) else {
            return;
        };
        self.checker.proxy_crashed(self.now, &mut request.history);
        let was_open = request.is_open();
        request.abandoned = true;
        let call = request.call;
        let class = request.class;
        let mut awaited = Vec::new();
        for (number, attempt) in request.attempts.iter_mut().enumerate() {
            if std::mem::take(&mut attempt.awaited) {
                awaited.push(number);
            }
        }
        for number in awaited {
            self.abort_attempt(request_index, number);
        }
        if was_open {
            if self.script.request_classes[class].idempotency == Idempotency::Idempotent {
                self.request_unsuccessful(call, true, 0.0);
            } else {
                self.close_call(call, Outcome::Failed);
            }
        }
        self.remove_if_finished(request_index);
    }

    /// Stops routing clients to a proxy, unless it has restarted.
    pub(super) fn proxy_failure_detected(&mut self, proxy: ProxyRef) {
        let state = &mut self.proxies[proxy.index];
        if state.incarnation == proxy.incarnation && !state.up {
            state.routed = false;
            self.update_routing();
        }
    }

    pub(super) fn restart_proxy(&mut self, proxy: ProxyRef) {
        let ProxyRef { index, incarnation } = proxy;
        if self.proxies[index].incarnation != incarnation || self.proxies[index].up {
            return;
        }
        let seed = self
            .seed
            .wrapping_add(u64::from(incarnation) << 32)
            .wrapping_add(index as u64);
        // This cannot fail: the same script created a policy at the start of the run.
        if let Ok(policy) = Policy::new(self.policy_kind, self.script, index, seed) {
            let state = &mut self.proxies[index];
            state.policy = policy;
            state.up = true;
            state.routed = true;
            state.drain_notified_at.fill(None);
            self.start_proxy(index);
            self.update_routing();
        }
    }
}
