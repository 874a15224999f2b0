//! Clients: call arrivals, routing to proxies, and retries.

use super::event_queue::{Event, RequestRef};
use super::requests::Request;
use super::{Environment, START_MS};
use crate::invariants::RetrySafety;
use crate::results::Outcome;
use crate::script::{Backoff, Burst};
use crankmux::types::{ClassId, NewRequest, RequestId};

/// One-way network delay between a client and its proxy.
pub(super) const CLIENT_DELAY_MS: f64 = 0.5;
/// Added to the time of a deadline check, so that events at the deadline are handled first.
const AFTER_DEADLINE_MS: f64 = 0.001;

/// A client's call, which covers its first request and all retries.
pub(super) struct ClientCall {
    pub(super) class: usize,
    zone: usize,
    /// Key of the call; 0 if it has none.
    key: u64,
    /// Multiplies the mean work of the class.
    work_factor: f64,
    pub(super) arrived_at: f64,
    requests_sent: usize,
    honours_retry_after: bool,
    impatient: bool,
}

/// The proxies that clients are routed to, with their weights.
pub(super) struct RoutingTable {
    proxies: Vec<usize>,
    weights: Vec<f64>,
}

/// Returns the largest factor among the bursts active at a second of the run, if any.
fn burst_factor(bursts: &[Burst], second: f64) -> Option<f64> {
    let active = bursts
        .iter()
        .filter(|burst| (burst.start_s..burst.start_s + burst.duration_s).contains(&second));
    active.map(|burst| burst.factor).reduce(f64::max)
}

impl Environment<'_> {
    /// Rebuilds the routing tables from the proxies that are not detected as failed.
    pub(super) fn update_routing(&mut self) {
        let zones = self.script.zones.len();
        let table = |zone: usize| {
            let proxies = self.proxies.iter().enumerate();
            let routed = proxies
                .filter(|(_, proxy)| proxy.routed && (zone == zones || proxy.zone == zone))
                .map(|(index, proxy)| (index, proxy.weight));
            let (proxies, weights) = routed.unzip();
            RoutingTable { proxies, weights }
        };
        self.routing = (0..=zones).map(table).collect();
    }

    /// Schedules the next call of an inhomogeneous Poisson process by thinning: candidates arrive at the peak rate and
    /// are accepted with probability `rate / peak_rate`.
    pub(super) fn schedule_next_call(&mut self) {
        let mut delay_ms = 0.0;
        loop {
            delay_ms += self.random.arrivals.exponential(self.peak_rate);
            let second = (self.elapsed_ms() + delay_ms) / 1000.0;
            let load = &self.script.load;
            let wave = 1.0
                + load.wave_amplitude * (second / load.wave_period_s * std::f64::consts::TAU).sin();
            let burst = burst_factor(&load.bursts, second).unwrap_or(1.0);
            let rate = self.script.rate() / 1000.0 * wave * burst;
            if second > self.script.duration_s
                || self.random.arrivals.uniform() * self.peak_rate < rate
            {
                break;
            }
        }
        self.schedule(delay_ms, Event::CallArrives);
    }

    pub(super) fn call_arrives(&mut self) {
        let call = self.draw_call();
        let call = self.calls.insert(call);
        self.send_request(call);
        self.schedule_next_call();
    }

    fn draw_call(&mut self) -> ClientCall {
        let script = self.script;
        let second = self.elapsed_ms() / 1000.0;
        let arrivals = &mut self.random.arrivals;
        let weights: Vec<f64> = script
            .request_classes
            .iter()
            .map(|class| class.arrival_weight)
            .collect();
        let class = arrivals.weighted_index(&weights);
        let mut zone_weights = self.zone_weights.clone();
        if script.load.rotates_zones {
            let zones = zone_weights.len();
            let shift = (second / script.duration_s * zones as f64) as usize % zones;
            zone_weights.rotate_left(shift);
        }
        let zone = arrivals.weighted_index(&zone_weights);
        let key = self.draw_key(second);
        let settings = &script.request_classes[class];
        let work_factor = match settings.work_tail_exponent {
            Some(exponent) => self.random.work.pareto(exponent),
            None => self.random.work.log_normal(settings.work_sigma),
        };
        let clients = &mut self.random.clients;
        ClientCall {
            class,
            zone,
            key,
            work_factor,
            arrived_at: self.now,
            requests_sent: 0,
            honours_retry_after: clients.bernoulli(script.clients.honours_retry_after_fraction),
            impatient: clients.bernoulli(script.clients.impatient_fraction),
        }
    }

    /// Draws the key of a call: 0 if it has none, 1 for the hot key.
    fn draw_key(&mut self, second: f64) -> u64 {
        let load = &self.script.load;
        let hot_fraction = burst_factor(&load.hot_key, second).unwrap_or(0.0);
        let is_hot = self.random.arrivals.bernoulli(hot_fraction);
        if load.key_count == 0 {
            return 0;
        }
        if is_hot {
            return 1;
        }
        2 + self.random.arrivals.index_below(load.key_count) as u64
    }

    /// Sends the first request of a call, or a retry, to a proxy.
    pub(super) fn send_request(&mut self, call: usize) {
        self.results.request_sent(self.elapsed_ms());
        let state = self.calls.get_mut(call).expect("the call should be open");
        state.requests_sent += 1;
        let zone = state.zone;
        let Some(proxy) = self.draw_proxy(zone) else {
            return self.request_unsuccessful(call, true, 0.0);
        };
        if !self.proxies[proxy].up {
            // The connection was refused, so that a retry is safe.
            return self.request_unsuccessful(call, true, 0.0);
        }
        let (request, arrival) = self.open_request(call, proxy);
        let steps = self.with_policy(proxy, |policy, now, truth| {
            policy.request_arrived(now, &arrival, truth)
        });
        self.execute_steps(request.index, steps);
        self.handle_policy_needs(proxy);
    }

    /// Draws a proxy of this zone, or of any zone if this one has none.
    fn draw_proxy(&mut self, zone: usize) -> Option<usize> {
        let mut table = &self.routing[zone];
        if table.proxies.is_empty() {
            table = &self.routing[self.script.zones.len()];
        }
        if table.proxies.is_empty() {
            return None;
        }
        Some(table.proxies[self.random.clients.weighted_index(&table.weights)])
    }

    /// Creates a request of a call at a proxy.
    fn open_request(&mut self, call_index: usize, proxy: usize) -> (RequestRef, NewRequest) {
        let call = self.calls.get(call_index).expect("the call should be open");
        let class = &self.script.request_classes[call.class];
        let deadline = self.now + class.ttl_ms;
        let history = self.checker.request_received(
            self.now,
            proxy,
            RetrySafety::of(class),
            class.deduplication_window_ms,
            deadline,
        );
        self.request_serial += 1;
        let serial = self.request_serial;
        let index = self.requests.insert(Request {
            serial,
            call: call_index,
            class: call.class,
            work_factor: call.work_factor,
            key: call.key,
            proxy,
            deadline,
            attempts: Vec::new(),
            answered: false,
            abandoned: false,
            history,
        });
        let arrival = NewRequest {
            request: RequestId::new(index),
            class: ClassId::new(call.class),
            tenant: None,
            ttl_ms: class.ttl_ms,
            client_retry: call.requests_sent > 1,
            affinity_key: (call.key > 0).then_some(call.key),
        };
        let impatient = call.impatient;
        let request = RequestRef { index, serial };
        let deadline_check = class.ttl_ms + self.script.limits.answer_slack_ms + AFTER_DEADLINE_MS;
        self.schedule(deadline_check, Event::DeadlinePasses { request });
        if impatient {
            self.schedule(0.5 * class.ttl_ms, Event::ClientLeaves { request });
        }
        (request, arrival)
    }

    /// Handles a rejected or failed request. The client retries if that is safe and it has retries left.
    pub(super) fn request_unsuccessful(
        &mut self,
        call: usize,
        safe_to_retry: bool,
        retry_after_ms: f64,
    ) {
        let clients = &self.script.clients;
        let state = self.calls.get(call).expect("the call should be open");
        if !safe_to_retry {
            return self.close_call(call, Outcome::Failed);
        }
        if state.requests_sent > clients.max_retries {
            return self.close_call(call, Outcome::Rejected);
        }
        let backoff_ms = match clients.backoff {
            Backoff::None => 1.0,
            Backoff::Fixed => clients.backoff_ms,
            Backoff::Exponential => {
                clients.backoff_ms * f64::powi(2.0, state.requests_sent as i32 - 1)
            }
        };
        let delay_ms = if state.honours_retry_after {
            backoff_ms.max(retry_after_ms)
        } else {
            backoff_ms
        };
        let delay_ms = delay_ms * (0.75 + 0.5 * self.random.clients.uniform());
        self.schedule(
            delay_ms + 2.0 * CLIENT_DELAY_MS,
            Event::CallRetries { call },
        );
    }

    /// Closes a call and records its outcome.
    pub(super) fn close_call(&mut self, call: usize, outcome: Outcome) {
        if let Some(call) = self.calls.remove(call) {
            let latency_ms = self.now - call.arrived_at + 2.0 * CLIENT_DELAY_MS;
            let arrived_ms = call.arrived_at - START_MS;
            self.results
                .call_closed(arrived_ms, call.class, outcome, latency_ms);
        }
    }
}
