//! The clients: they send requests to proxies at random, wait, leave, and retry once where a connection was closed
//! before its proxy can have read anything.

use super::event_loop::Role;
use super::{Harness, LOOP_LATENESS_MS};
use crate::connection::Response;
use crankmux_simulator::invariants::{Answer, RequestHistory, RetrySafety};
use mio::net::TcpStream;
use rand::RngExt;
use slab::Slab;
use std::collections::VecDeque;

/// How long a request is known after its deadline: a process that was stopped may act on it long after.
const REMEMBERED_MS: f64 = 20_000.0;
/// Keeps the time to the next request finite.
const LEAST_RANDOM: f64 = 1e-12;
/// What an impatient client waits, as a fraction of its request's time.
const IMPATIENT_FRACTION: f64 = 0.5;
const LEAST_TIMEOUT_MS: f64 = 1.0;

/// A request as its client sees it.
pub(super) struct ClientRequest {
    pub(super) proxy: usize,
    /// Tells it from others that have its number before or after it.
    pub(super) serial: u64,
    pub(super) class: usize,
    pub(super) deadline_ms: f64,
    sent_ms: f64,
    /// What the invariant checker knows of it.
    pub(super) lifecycle: RequestHistory,
    pub(super) attempts: usize,
    /// Its proxy died or was stopped, or its client left: no answer is owed.
    excused: bool,
    answered: bool,
    /// Sent on a connection that was used before.
    on_reused_connection: bool,
    /// Its client's connection, while that waits.
    connection: Option<usize>,
}

/// The clients of all proxies.
pub(super) struct Clients {
    /// By the number that stands in `X-Request-ID`.
    pub(super) requests: Slab<ClientRequest>,
    last_serial: u64,
    /// Connections that may be used again, by proxy.
    idle: Vec<VecDeque<usize>>,
    /// Proxies to which requests are sent.
    pub(super) in_rotation: Vec<bool>,
    /// Whether the load has begun.
    pub(super) opened: bool,
}

impl Clients {
    pub(super) fn new(proxies: usize) -> Self {
        Clients {
            requests: Slab::new(),
            last_serial: 0,
            idle: vec![VecDeque::new(); proxies],
            in_rotation: vec![false; proxies],
            opened: false,
        }
    }

    /// Takes the requests that still wait at a proxy for an answer that is owed; none is owed after this.
    pub(super) fn take_unanswered_at(&mut self, proxy: usize) -> Vec<usize> {
        let mut unanswered = Vec::new();
        for (number, request) in &mut self.requests {
            let waits = request.connection.is_some() && !request.answered && !request.excused;
            if request.proxy == proxy && waits {
                request.excused = true;
                unanswered.push(number);
            }
        }
        unanswered
    }

    /// No request that waits at a proxy is owed an answer any more.
    pub(super) fn excuse_requests_at(&mut self, proxy: usize) {
        for (_, request) in &mut self.requests {
            if request.proxy == proxy {
                request.excused = true;
            }
        }
    }

    pub(super) fn forget_connection(&mut self, proxy: usize, connection: usize) {
        self.idle[proxy].retain(|idle| *idle != connection);
    }

    /// The request of this number, if it is the one with this serial.
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
    /// Has clients send requests from now on.
    pub fn open(&mut self) {
        if self.clients.opened {
            return;
        }
        self.clients.opened = true;
        for proxy in 0..self.proxies.len() {
            self.clients.in_rotation[proxy] = self.proxies[proxy].runs();
            self.schedule_next_request(proxy);
        }
    }

    /// Has clients send no more.
    pub fn shut(&mut self) {
        self.rate = 0.0;
    }

    /// Requests to each proxy are a Poisson process.
    fn schedule_next_request(&mut self, proxy: usize) {
        if self.rate <= 0.0 {
            return;
        }
        let random = self.random.random::<f64>().max(LEAST_RANDOM);
        let wait_ms = -random.ln() * 1000.0 / self.rate;
        self.schedule(wait_ms, move |harness| {
            harness.schedule_next_request(proxy);
            harness.send_next_request(proxy);
        });
    }

    /// Sends a request to a proxy, or to another if this one is known to be gone.
    fn send_next_request(&mut self, proxy: usize) {
        let in_rotation = self.clients.proxies_in_rotation();
        if self.rate <= 0.0 || in_rotation.is_empty() {
            return;
        }
        // Clients go on using the connections that they have to one that is shutting down.
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
        let terms = &self.environment.request_classes[class];
        let timeout_ms = terms.ttl_ms;
        let deadline_ms = now_ms + timeout_ms;
        let repeats = RetrySafety::of(terms);
        let lifecycle = self.invariants.request_received(
            now_ms,
            proxy,
            repeats,
            terms.deduplication_window_ms,
            deadline_ms,
        );
        self.clients.last_serial += 1;
        let request = self.clients.requests.insert(ClientRequest {
            proxy,
            serial: self.clients.last_serial,
            class,
            deadline_ms,
            sent_ms: now_ms,
            lifecycle,
            attempts: 0,
            // A stopped proxy reads nothing, and owes what it could not read no answer.
            excused: self.proxies[proxy].stopped,
            answered: false,
            on_reused_connection,
            connection: Some(connection),
        });
        self.set_waiting_request(connection, proxy, Some(request));
        self.service.requests += 1;
        self.measurements.count_request(now_ms);
        self.write_request(connection, request);
        if self.random.random::<f64>() < self.environment.clients.impatient_fraction {
            self.schedule(IMPATIENT_FRACTION * timeout_ms, move |harness| {
                harness.leave(request);
            });
        }
        // Late attempts are still seen for some time after the deadline.
        let slack_ms = self.environment.limits.answer_slack_ms + LOOP_LATENESS_MS;
        self.schedule(timeout_ms + slack_ms, move |harness| {
            harness.on_deadline(request);
        });
    }

    /// Draws a request class by weight.
    fn random_class(&mut self) -> usize {
        let classes = &self.environment.request_classes;
        let total: f64 = classes.iter().map(|class| class.arrival_weight).sum();
        let mut rest = self.random.random::<f64>() * total;
        let drawn = classes.iter().position(|class| {
            rest -= class.arrival_weight;
            rest < 0.0
        });
        drawn.unwrap_or(0)
    }

    /// An idle connection to a proxy, or a new one; `None` if none can be made.
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

    fn set_waiting_request(&mut self, connection: usize, proxy: usize, request: Option<usize>) {
        self.event_loop.connections[connection].role = Role::Client { proxy, request };
    }

    /// Writes a request with what is left of its time.
    fn write_request(&mut self, connection: usize, request: usize) {
        let waiting = &self.clients.requests[request];
        let left_ms = (waiting.deadline_ms - self.now()).max(LEAST_TIMEOUT_MS);
        let timeout_seconds = left_ms / 1000.0;
        let serial = waiting.serial;
        let class = &self.environment.request_classes[waiting.class].name;
        let text = format!(
            "GET /{class} HTTP/1.1\r\nHost: rig\r\nX-Request-ID: {request}-{serial}\r\nX-Priority-Class: {class}\r\n\
             X-Timeout: {timeout_seconds:.3}\r\n\r\n"
        );
        self.event_loop.send(connection, &text);
    }

    /// A request's deadline and all slack have passed.
    fn on_deadline(&mut self, request: usize) {
        let now_ms = self.now();
        let over = &mut self.clients.requests[request];
        if !over.excused {
            self.invariants.deadline_passed(now_ms, &over.lifecycle);
        } else if !over.answered {
            self.service.unanswered += 1;
        }
        if let Some(connection) = over.connection.take() {
            self.close(connection);
        }
        self.schedule(REMEMBERED_MS, move |harness| {
            harness.clients.requests.remove(request);
        });
    }

    /// A client has waited for long enough and closes its connection: no answer is owed any more.
    fn leave(&mut self, request: usize) {
        let now_ms = self.now();
        let Some(waiting) = self.clients.requests.get_mut(request) else {
            return;
        };
        if waiting.answered || waiting.excused {
            return;
        }
        let Some(connection) = waiting.connection.take() else {
            return;
        };
        waiting.excused = true;
        self.invariants
            .client_disconnected(now_ms, &mut waiting.lifecycle);
        let proxy = waiting.proxy;
        self.set_waiting_request(connection, proxy, None);
        self.close(connection);
    }

    /// A connection was closed without an answer. As clients do, its request is sent again once if the proxy may
    /// have closed the connection before it read anything.
    pub(super) fn on_closed_unanswered(&mut self, request: usize, proxy: usize, refused: bool) {
        let now_ms = self.now();
        // Whoever has died has read nothing either, if no attempt was made.
        let is_shutting_down = self.shutdowns.is_shutting_down(proxy);
        let refused = refused || !(is_shutting_down || self.proxies[proxy].runs());
        let waiting = &mut self.clients.requests[request];
        waiting.connection = None;
        let unread = (waiting.on_reused_connection || refused) && waiting.attempts == 0;
        let retry = unread && !waiting.excused && now_ms < waiting.deadline_ms;
        waiting.on_reused_connection = false;
        if retry {
            self.retry(request, proxy, refused);
        }
    }

    fn retry(&mut self, request: usize, failed_proxy: usize, refused: bool) {
        let mut candidates = self.clients.proxies_in_rotation();
        candidates.retain(|candidate| *candidate != failed_proxy || !refused);
        let drawn = self.random.random_range(0..candidates.len().max(1));
        let Some(proxy) = candidates.get(drawn).copied() else {
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
        let waiting = &mut self.clients.requests[request];
        waiting.connection = Some(connection);
        waiting.proxy = proxy;
        waiting.excused = self.proxies[proxy].stopped;
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
        self.set_waiting_request(connection, proxy, None);
        if response.keep_alive {
            self.clients.idle[proxy].push_back(connection);
        } else {
            self.close(connection);
        }
        let Some(request) = request else { return };
        let waiting = &mut self.clients.requests[request];
        waiting.connection = None;
        waiting.answered = true;
        let answer = match response.status {
            503 => Answer::Rejected,
            502 => Answer::Failed,
            _ => Answer::Succeeded,
        };
        if !waiting.excused {
            self.invariants
                .answered(now_ms, &mut waiting.lifecycle, answer);
        }
        match answer {
            Answer::Succeeded => {
                let objective_ms =
                    self.environment.request_classes[waiting.class].latency_objective_ms;
                let latency_ms = now_ms - waiting.sent_ms;
                let in_time = latency_ms <= objective_ms;
                self.service.succeeded += 1;
                self.service.in_time += u64::from(in_time);
                self.measurements
                    .count_success(waiting.sent_ms, latency_ms, in_time);
            }
            Answer::Rejected => self.service.rejected += 1,
            Answer::Failed => self.service.failed += 1,
        }
    }
}
