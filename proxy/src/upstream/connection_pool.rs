//! The pool of connections to endpoints: opens, reuses and closes them.

use super::attempt::Attempt;
use super::connection::{EndpointProcess, UpstreamConnection};
use super::CompletionCallback;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, SlotTable, UpstreamKey};
use crate::socket::{has_unsent_data, is_open_and_idle, reset_on_close};
use crate::tokens::upstream_token;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport};
use mio::net::TcpStream;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// How long a connection is not reused after a response. A late duplicate of that response would be read as the
/// response to the next attempt. Duplicates come up to ten milliseconds late; at twice that the cost of new
/// connections shows.
const REUSE_DELAY_MS: f64 = 10.0;

/// The fraction of the endpoints' keep-alive timeout for which an idle connection is reused. A request sent while
/// the endpoint closes the connection is lost and may have been processed; the rest covers timer and network delays.
const KEEPALIVE_SHARE: f64 = 0.75;

/// The state of the connections to one endpoint.
#[derive(Default)]
pub struct EndpointConnections {
    /// The process that new connections are opened to; `None` if the endpoint gets no new attempts.
    process: Option<EndpointProcess>,
    /// Keys of idle connections, the most recently used last.
    idle: Vec<UpstreamKey>,
    /// When a connection was last established or received data.
    pub(super) last_activity_at: f64,
}

/// The connections to all endpoints.
pub struct Upstreams<P> {
    /// The connections.
    pub connections: SlotTable<UpstreamKey, UpstreamConnection<P>>,
    pub(super) endpoints: Vec<EndpointConnections>,
    pub(super) connect_timeout_ms: f64,
    idle_timeout_ms: f64,
}

impl<P> Upstreams<P> {
    /// Creates an empty pool of at most `max_connections`.
    pub fn new(max_connections: usize, connect_timeout_ms: f64, keepalive_ms: f64) -> Self {
        Upstreams {
            connections: SlotTable::new(max_connections),
            endpoints: Vec::new(),
            connect_timeout_ms,
            idle_timeout_ms: KEEPALIVE_SHARE * keepalive_ms,
        }
    }

    /// Changes the connect timeout and the endpoints' keep-alive timeout. Timers already set keep their time.
    pub fn set_timeouts(&mut self, connect_timeout_ms: f64, keepalive_ms: f64) {
        self.connect_timeout_ms = connect_timeout_ms;
        self.idle_timeout_ms = KEEPALIVE_SHARE * keepalive_ms;
    }

    /// Whether a connection has written everything received of a client's request and waits for more.
    pub fn awaits_request_body(
        &self,
        connection: Option<UpstreamKey>,
        client: DownstreamKey,
    ) -> bool {
        connection
            .and_then(|key| self.connections.get(key))
            .filter(|connection| connection.is_connected())
            .and_then(|connection| connection.attempt())
            .is_some_and(|attempt| {
                attempt.request_source() == Some(client)
                    && !attempt.is_unsent()
                    && attempt.awaits_request_source()
            })
    }

    /// The attempt on a connection.
    pub fn attempt(&self, connection: UpstreamKey) -> Option<&Attempt<P>> {
        self.connections.get(connection)?.attempt()
    }

    /// Whether an endpoint does not have all of an attempt's request: it is not written, or the system still holds some
    /// of it. An endpoint that responds has all that it needs.
    pub fn is_request_unsent(&self, connection: UpstreamKey) -> bool {
        self.connections.get(connection).is_some_and(|connection| {
            connection.attempt().is_some_and(|attempt| {
                let is_held = attempt.awaits_response() && has_unsent_data(&connection.stream);
                !attempt.is_written() || is_held
            })
        })
    }

    /// Mutable access to the attempt on a connection.
    pub fn attempt_mut(&mut self, connection: UpstreamKey) -> Option<&mut Attempt<P>> {
        self.connections.get_mut(connection)?.attempt_mut()
    }

    /// Whether a connection can be opened without closing an idle one.
    pub fn has_free_slot(&self) -> bool {
        !self.connections.is_full()
    }

    /// The numbers of all connections and of idle ones.
    pub fn connection_counts(&self) -> (usize, usize) {
        let idle = self.endpoints.iter().map(|endpoint| endpoint.idle.len());
        (self.connections.len(), idle.sum())
    }

    /// The ids of all endpoints seen so far.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = EndpointId> {
        (0..self.endpoints.len()).map(EndpointId::new)
    }

    /// Whether any endpoint can get new attempts.
    pub fn any_available(&self) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.process.is_some())
    }

    /// Records that a connection to an endpoint was established or received data.
    pub(crate) fn record_activity(&mut self, endpoint: EndpointId, now: f64) {
        self.endpoints[endpoint.index()].last_activity_at = now;
    }

    fn remove_idle(&mut self, endpoint: EndpointId, key: UpstreamKey) {
        self.endpoints[endpoint.index()]
            .idle
            .retain(|idle| *idle != key);
    }
}

impl Proxy {
    /// Sets the process of an endpoint, by its address and start time; `None` if it gets no new attempts.
    pub fn update_endpoint_process(
        &mut self,
        endpoint: EndpointId,
        process: Option<(SocketAddr, f64)>,
    ) {
        let process = process.map(EndpointProcess::from);
        let endpoints = &mut self.upstream.endpoints;
        if endpoints.len() <= endpoint.index() {
            endpoints.resize_with(endpoint.index() + 1, EndpointConnections::default);
        }
        if endpoints[endpoint.index()].process != process {
            endpoints[endpoint.index()].process = process;
            // A connection to a process that has died may stay open without a reset.
            self.close_idle_connections(endpoint);
        }
    }

    /// Fails attempts of which nothing has been written if the process of their endpoint has changed. Otherwise a
    /// connection established later could send a request to a draining endpoint after its drain period.
    pub fn withdraw_unsent_attempts(&mut self) {
        let endpoints = &self.upstream.endpoints;
        let is_outdated = |connection: &UpstreamConnection<Proxy>| {
            connection.is_unsent()
                && endpoints[connection.endpoint.index()].process != Some(connection.process)
        };
        for key in self.upstream.connections.keys_where(is_outdated) {
            self.fail_attempt(key, AttemptOutcome::Unreachable, LoadReport::default());
        }
    }

    /// Takes the most recently used idle connection past the reuse delay, so that the others can expire.
    pub(super) fn take_idle_connection(&mut self, endpoint: EndpointId) -> Option<UpstreamKey> {
        let now = self.now();
        loop {
            let idle = &mut self.upstream.endpoints.get_mut(endpoint.index())?.idle;
            let connections = &self.upstream.connections;
            let is_past_reuse_delay = |key: &UpstreamKey| {
                connections[*key]
                    .idle_since()
                    .is_some_and(|since| now - since >= REUSE_DELAY_MS)
            };
            let key = idle.remove(idle.iter().rposition(is_past_reuse_delay)?);
            let connection = &mut self.upstream.connections[key];
            self.timers.cancel(connection.timer.take());
            if is_open_and_idle(&connection.stream) {
                return Some(key);
            }
            // The endpoint has closed the connection, or sent bytes that belong to no attempt.
            self.close_connection(key);
        }
    }

    /// Starts to connect to an endpoint. Returns the key reserved for the connection, and its socket.
    pub(super) fn open_connection(
        &mut self,
        endpoint: EndpointId,
    ) -> Result<(UpstreamKey, TcpStream, EndpointProcess), AttemptOutcome> {
        if !self.upstream.has_free_slot() && !self.close_longest_idle_upstream() {
            // Nothing was sent, so the request can be retried elsewhere.
            self.counters.capacity_exhausted += 1;
            return Err(AttemptOutcome::NotSent);
        }
        let process = self
            .upstream
            .endpoints
            .get(endpoint.index())
            .and_then(|endpoint| endpoint.process)
            .ok_or(AttemptOutcome::Unreachable)?;
        self.counters.connections_opened += 1;
        let opened = self.open_reserved(DescriptorPurpose::Attempt, |proxy| {
            // Read only here: `open_reserved` may close connections, which changes the vacant key.
            let key = proxy.upstream.connections.vacant_key();
            let stream = proxy.open_socket(process, key)?;
            Ok((key, stream))
        });
        let error = match opened {
            Ok((key, stream)) => return Ok((key, stream, process)),
            Err(error) => error,
        };
        if is_unreachable(&error) {
            return Err(AttemptOutcome::Unreachable);
        }
        // A local failure, such as a lack of descriptors, says nothing about the endpoint.
        if !is_out_of_descriptors(&error) {
            log::warn!("cannot connect to {}: {error}", process.address);
        }
        self.counters.capacity_exhausted += 1;
        Err(AttemptOutcome::NotSent)
    }

    fn open_socket(&self, process: EndpointProcess, key: UpstreamKey) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(process.address)?;
        self.registry.register(
            &mut stream,
            upstream_token(key),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY for {}: {error}", process.address);
        }
        Ok(stream)
    }

    /// Closes the longest idle connection; returns whether there was one.
    pub fn close_longest_idle_upstream(&mut self) -> bool {
        let longest_idle = self
            .upstream
            .connections
            .min_key_by(UpstreamConnection::idle_since);
        if let Some(key) = longest_idle {
            self.close_idle_connection(key);
        }
        longest_idle.is_some()
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let Some(connections) = self.upstream.endpoints.get_mut(endpoint.index()) else {
            return;
        };
        for key in std::mem::take(&mut connections.idle) {
            self.close_connection(key);
        }
    }

    pub(super) fn close_idle_connection(&mut self, key: UpstreamKey) {
        let Some(connection) = self.upstream.connections.get(key) else {
            return;
        };
        let endpoint = connection.endpoint;
        self.upstream.remove_idle(endpoint, key);
        self.close_connection(key);
    }

    /// Closes a connection and returns the callback of its attempt. All connections to endpoints are closed here, so
    /// that their slots, buffers and descriptors are released.
    pub(super) fn close_connection(
        &mut self,
        key: UpstreamKey,
    ) -> Option<CompletionCallback<Proxy>> {
        let mut connection = self.upstream.connections.remove(key)?;
        let now = self.clock.now();
        let attempt = connection.finish_attempt(now);
        if let Some(client) = attempt
            .as_ref()
            .and_then(|attempt| attempt.response_target())
        {
            // The client must be able to detect the truncated response.
            self.close_downstream(client);
        }
        if let Err(error) = self.registry.deregister(&mut connection.stream) {
            log::debug!("cannot deregister a connection to an endpoint: {error}");
        }
        self.timers.cancel(connection.timer);
        if attempt.as_ref().is_some_and(|attempt| !attempt.is_unsent()) {
            // The part of the request that the endpoint does not have yet must not reach it any more.
            reset_on_close(&connection.stream);
        }
        drop(connection.stream);
        self.replenish_reserve_of(DescriptorPurpose::Attempt);
        let attempt = attempt?;
        for buffer in [attempt.request_state.into_buffer(), attempt.read_buffer] {
            buffer
                .into_iter()
                .for_each(|buffer| self.buffers.give_back(buffer));
        }
        Some(attempt.on_complete)
    }

    /// Keeps an idle connection for reuse, unless the process of its endpoint has changed.
    pub(super) fn keep_connection(&mut self, key: UpstreamKey) {
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        if self.upstream.endpoints[endpoint.index()].process != Some(connection.process) {
            self.close_connection(key);
            return;
        }
        self.timers.cancel(connection.timer.take());
        let closes_at = self.clock.now() + self.upstream.idle_timeout_ms;
        let close = move |proxy: &mut Proxy| proxy.close_idle_connection(key);
        connection.timer = Some(self.timers.set(closes_at, close));
        self.upstream.endpoints[endpoint.index()].idle.push(key);
    }
}

/// Whether a connect error is caused by the endpoint or the network, not by this machine.
fn is_unreachable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
