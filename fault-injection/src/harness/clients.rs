//! Simulated clients: they send requests at random, may disconnect early, and retry a request if its connection may
//! have been closed before the proxy read it.

use super::event_loop::Role;
use super::{Harness, EVENT_LOOP_SLACK_MS};
use crate::connection::Response;
use crankmux_simulator::invariants::{Answer, RequestHistory, RetrySafety};
use mio::net::TcpStream;
use rand::RngExt;
use slab::Slab;
use std::collections::VecDeque;

/// How long a request is kept after its deadline, since a stopped process may still send attempts once it resumes.
const REQUEST_RETENTION_MS: f64 = 20_000.0;
/// Lower bound of the uniform sample, which keeps the interval to the next request finite.
const MIN_UNIFORM_SAMPLE: f64 = 1e-12;
/// The fraction of a request's timeout after which an impatient client disconnects.
const DISCONNECT_TIMEOUT_FRACTION: f64 = 0.5;
const MIN_TIMEOUT_MS: f64 = 1.0;

/// A client's request and its state.
pub(super) struct ClientRequest {
    pub(super) proxy: usize,
    /// Distinguishes it from other requests that use the same slab key at other times.
    pub(super) serial: u64,
    pub(super) class: usize,
    pub(super) deadline_ms: f64,
    sent_ms: f64,
    /// Its events, for the invariant checker.
    pub(super) history: RequestHistory,
    pub(super) attempts: usize,
    /// No response is required: the proxy died or was stopped, or the client disconnected.
    exempt: bool,
    answered: bool,
    /// Sent on a connection that had carried another request.
    on_reused_connection: bool,
    /// The client's connection while the request is pending.
    connection: Option<usize>,
}

/// The clients of all proxies.
pub(super) struct Clients {
    /// By the key that is part of `X-Request-ID`.
    pub(super) requests: Slab<ClientRequest>,
    last_serial: u64,
    /// Idle keep-alive connections, by proxy.
    idle: Vec<VecDeque<usize>>,
    /// For each proxy, whether clients send requests to it.
    pub(super) in_rotation: Vec<bool>,
    pub(super) load_started: bool,
}

impl Clients {
    pub(super) fn new(proxies: usize) -> Self {
        Clients {
            requests: Slab::new(),
            last_serial: 0,
            idle: vec![VecDeque::new(); proxies],
            in_rotation: vec![false; proxies],
            load_started: false,
        }
    }

    /// Returns the pending requests at a proxy that still require a response, and exempts them.
    pub(super) fn take_unanswered_at(&mut self, proxy: usize) -> Vec<usize> {
        let mut unanswered = Vec::new();
        for (key, request) in &mut self.requests {
            let is_pending = request.connection.is_some() && !request.answered && !request.exempt;
            if request.proxy == proxy && is_pending {
                request.exempt = true;
                unanswered.push(key);
            }
        }
        unanswered
    }

    /// Exempts all requests at a proxy from requiring a response.
    pub(super) fn exempt_requests_at(&mut self, proxy: usize) {
        for (_, request) in &mut self.requests {
            if request.proxy == proxy {
                request.exempt = true;
            }
        }
    }

    pub(super) fn forget_connection(&mut self, proxy: usize, connection: usize) {
        self.idle[proxy].retain(|idle| *idle != connection);
    }

    /// Returns the request with this key, if its serial matches.
    pub(super) fn find(&mut self, request: usize, serial: u64) -> Option<&mut ClientRequest> {
        self.requests
            .get_mut(request)
            .filter(|found| found.serial == serial)
    }

    fn proxies_in_rotation(&self) -> Vec<usize> {
        (0..self.in_rotation.len())
            .filter(|proxy| self.in_rotation[*proxy])
            .collect()
    }
}

impl Harness {
    /// Starts the clients' load.
    pub fn start_load(&mut self) {
        if self.clients.load_started {
            return;
        }
        self.clients.load_started = true;
        for proxy in 0..self.proxies.len() {
            self.clients.in_rotation[proxy] = self.proxies[proxy].runs();
            self.schedule_next_request(proxy);
        }
    }

    /// Stops the clients' load.
    pub fn stop_load(&mut self) {
        self.rate = 0.0;
    }

    /// Schedules the next request to a proxy; arrivals are a Poisson process.
    fn schedule_next_request(&mut self, proxy: usize) {
        if self.rate <= 0.0 {
            return;
        }
        let random = self.random.random::<f64>().max(MIN_UNIFORM_SAMPLE);
        let wait_ms = -random.ln() * 1000.0 / self.rate;
        self.schedule(wait_ms, move |harness| {
            harness.schedule_next_request(proxy);
            harness.send_next_request(proxy);
        });
    }

    /// Sends a request to a proxy, or to a random one in rotation if this one has been removed from it.
    fn send_next_request(&mut self, proxy: usize) {
        let in_rotation = self.clients.proxies_in_rotation();
        if self.rate <= 0.0 || in_rotation.is_empty() {
            return;
        }
        // Clients reuse existing connections to a proxy that is shutting down.
        let keeps_connections =
            self.shutdowns.is_shutting_down(proxy) && !self.clients.idle[proxy].is_empty();
        let to = if self.clients.in_rotation[proxy] || keeps_connections {
            proxy
        } else {
            in_rotation[self.random.random_range(0..in_rotation.len())]
        };
        self.send_request(to);
    }

    fn send_request(&mut self, proxy: usize) {
        let now_ms = self.now();
        let class = self.random_class();
        let on_reused_connection = !self.clients.idle[proxy].is_empty();
        let Some(connection) = self.client_connection(proxy) else {
            return;
        };
        let request_class = &self.environment.request_classes[class];
        let timeout_ms = request_class.ttl_ms;
        let deadline_ms = now_ms + timeout_ms;
        let retry_safety = RetrySafety::of(request_class);
        let history = self.invariants.request_received(
            now_ms,
            proxy,
            retry_safety,
            request_class.deduplication_window_ms,
            deadline_ms,
        );
        self.clients.last_serial += 1;
        let request = self.clients.requests.insert(ClientRequest {
            proxy,
            serial: self.clients.last_serial,
            class,
            deadline_ms,
            sent_ms: now_ms,
            history,
            attempts: 0,
            // A stopped proxy cannot read the request.
            exempt: self.proxies[proxy].stopped,
            answered: false,
            on_reused_connection,
            connection: Some(connection),
        });
        self.set_pending_request(connection, proxy, Some(request));
        self.service.requests += 1;
        self.measurements.count_request(now_ms);
        self.write_request(connection, request);
        if self.random.random::<f64>() < self.environment.clients.impatient_fraction {
            self.schedule(DISCONNECT_TIMEOUT_FRACTION * timeout_ms, move |harness| {
                harness.disconnect_client(request);
            });
        }
        // Allows for the tolerated delay of the response.
        let slack_ms = self.environment.limits.answer_slack_ms + EVENT_LOOP_SLACK_MS;
        self.schedule(timeout_ms + slack_ms, move |harness| {
            harness.on_deadline(request);
        });
    }

    /// Selects a request class at random, by weight.
    fn random_class(&mut self) -> usize {
        let classes = &self.environment.request_classes;
        let total: f64 = classes.iter().map(|class| class.arrival_weight).sum();
        let mut rest = self.random.random::<f64>() * total;
        let selected = classes.iter().position(|class| {
            rest -= class.arrival_weight;
            rest < 0.0
        });
        selected.unwrap_or(0)
    }

    /// Returns an idle connection to a proxy, or a new one; `None` if connecting fails.
    fn client_connection(&mut self, proxy: usize) -> Option<usize> {
        if let Some(idle) = self.clients.idle[proxy].pop_front() {
            return Some(idle);
        }
        let stream = TcpStream::connect(self.proxies[proxy].listen).ok()?;
        let role = Role::Client {
            proxy,
            request: None,
        };
        Some(self.event_loop.add_connection(stream, role))
    }

    fn set_pending_request(&mut self, connection: usize, proxy: usize, request: Option<usize>) {
        self.event_loop.connections[connection].role = Role::Client { proxy, request };
    }

    /// Writes a request with its remaining time as the timeout.
    fn write_request(&mut self, connection: usize, request: usize) {
        let pending = &self.clients.requests[request];
        let left_ms = (pending.deadline_ms - self.now()).max(MIN_TIMEOUT_MS);
        let timeout_seconds = left_ms / 1000.0;
        let serial = pending.serial;
        let class = &self.environment.request_classes[pending.class].name;
        let text = format!(
            "GET /{class} HTTP/1.1\r\nHost: rig\r\nX-Request-ID: {request}-{serial}\r\nX-Priority-Class: {class}\r\n\
             X-Timeout: {timeout_seconds:.3}\r\n\r\n"
        );
        self.event_loop.send(connection, &text);
    }

    /// Handles a request whose deadline and tolerance have passed.
    fn on_deadline(&mut self, request: usize) {
        let now_ms = self.now();
        let expired = &mut self.clients.requests[request];
        if !expired.exempt {
            self.invariants.deadline_passed(now_ms, &expired.history);
        } else if !expired.answered {
            self.service.unanswered += 1;
        }
        if let Some(connection) = expired.connection.take() {
            self.close(connection);
        }
        self.schedule(REQUEST_RETENTION_MS, move |harness| {
            harness.clients.requests.remove(request);
        });
    }

    /// Closes the connection of a client that gives up on its pending request, which exempts the request.
    fn disconnect_client(&mut self, request: usize) {
        let now_ms = self.now();
        let Some(pending) = self.clients.requests.get_mut(request) else {
            return;
        };
        if pending.answered || pending.exempt {
            return;
        }
        let Some(connection) = pending.connection.take() else {
            return;
        };
        pending.exempt = true;
        self.invariants
            .client_disconnected(now_ms, &mut pending.history);
        let proxy = pending.proxy;
        self.set_pending_request(connection, proxy, None);
        self.close(connection);
    }

    /// Handles a connection that was closed without a response. The request is retried if no attempt was made
    /// and the proxy may have closed the connection before reading it.
    pub(super) fn on_closed_unanswered(&mut self, request: usize, proxy: usize, refused: bool) {
        let now_ms = self.now();
        // A dead proxy that sent no attempt counts as one that refused the connection.
        let is_shutting_down = self.shutdowns.is_shutting_down(proxy);
        let refused = refused || !(is_shutting_down || self.proxies[proxy].runs());
        let pending = &mut self.clients.requests[request];
        pending.connection = None;
        let unread = (pending.on_reused_connection || refused) && pending.attempts == 0;
        let retry = unread && !pending.exempt && now_ms < pending.deadline_ms;
        pending.on_reused_connection = false;
        if retry {
            self.retry(request, proxy, refused);
        }
    }

    fn retry(&mut self, request: usize, failed_proxy: usize, refused: bool) {
        let mut candidates = self.clients.proxies_in_rotation();
        candidates.retain(|candidate| *candidate != failed_proxy || !refused);
        let selected = self.random.random_range(0..candidates.len().max(1));
        let Some(proxy) = candidates.get(selected).copied() else {
            return;
        };
        let Ok(stream) = TcpStream::connect(self.proxies[proxy].listen) else {
            return;
        };
        let role = Role::Client {
            proxy,
            request: Some(request),
        };
        let connection = self.event_loop.add_connection(stream, role);
        let pending = &mut self.clients.requests[request];
        pending.connection = Some(connection);
        pending.proxy = proxy;
        pending.exempt = self.proxies[proxy].stopped;
        self.write_request(connection, request);
    }

    pub(super) fn on_response(
        &mut self,
        connection: usize,
        proxy: usize,
        request: Option<usize>,
        response: &Response,
    ) {
        let now_ms = self.now();
        self.set_pending_request(connection, proxy, None);
        if response.keep_alive {
            self.clients.idle[proxy].push_back(connection);
        } else {
            self.close(connection);
        }
        let Some(request) = request else { return };
        let pending = &mut self.clients.requests[request];
        pending.connection = None;
        pending.answered = true;
        let answer = match response.status {
            503 => Answer::Rejected,
            502 => Answer::Failed,
            _ => Answer::Succeeded,
        };
        if !pending.exempt {
            self.invariants
                .answered(now_ms, &mut pending.history, answer);
        }
        match answer {
            Answer::Succeeded => {
                let objective_ms =
                    self.environment.request_classes[pending.class].latency_objective_ms;
                let latency_ms = now_ms - pending.sent_ms;
                let in_time = latency_ms <= objective_ms;
                self.service.succeeded += 1;
                self.service.in_time += u64::from(in_time);
                self.measurements
                    .count_success(pending.sent_ms, latency_ms, in_time);
            }
            Answer::Rejected => self.service.rejected += 1,
            Answer::Failed => self.service.failed += 1,
        }
    }
}
