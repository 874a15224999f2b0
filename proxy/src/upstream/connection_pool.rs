//! Connections to endpoints: opened, kept while they are idle, and closed.

use super::attempt::Attempt;
use super::connection::{EndpointProcess, UpstreamConnection};
use super::CompletionCallback;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, SlotTable, UpstreamKey};
use crate::socket::is_silent;
use crate::tokens::upstream_token;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport};
use mio::net::TcpStream;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// How long a connection rests after a response. A duplicate of that response, right behind it or some
/// milliseconds late, would be read as the response to the next attempt. Some come up to ten milliseconds late; at
/// twice that, the cost of new connections shows.
const REST_AFTER_RESPONSE_MS: f64 = 10.0;

/// The share of the endpoints' keep-alive time for which an idle connection is used. An attempt that is written
/// while the endpoint closes is lost and may have run; the rest allows for clocks and the way there.
const KEEPALIVE_SHARE: f64 = 0.75;

/// What is known of the connections to one endpoint.
#[derive(Default)]
pub struct EndpointConnections {
    /// Where new connections go; none where the endpoint gets no new attempt.
    process: Option<EndpointProcess>,
    /// Keys of idle connections, the one used last at the end.
    idle: Vec<UpstreamKey>,
    /// When a connection was last established, or brought anything.
    pub(super) last_heard_at: f64,
}

/// All connections to endpoints.
pub struct Upstreams<P> {
    /// The connections, by key.
    pub connections: SlotTable<UpstreamKey, UpstreamConnection<P>>,
    pub(super) endpoints: Vec<EndpointConnections>,
    pub(super) connect_timeout_ms: f64,
    idle_timeout_ms: f64,
}

impl<P> Upstreams<P> {
    /// A table for so many connections.
    pub fn new(max_connections: usize, connect_timeout_ms: f64, keepalive_ms: f64) -> Self {
        Upstreams {
            connections: SlotTable::new(max_connections),
            endpoints: Vec::new(),
            connect_timeout_ms,
            idle_timeout_ms: KEEPALIVE_SHARE * keepalive_ms,
        }
    }

    /// Changes the time for connecting, and the time for which endpoints keep idle connections open, for
    /// connections that are used from now on.
    pub fn set_timeouts(&mut self, connect_timeout_ms: f64, keepalive_ms: f64) {
        self.connect_timeout_ms = connect_timeout_ms;
        self.idle_timeout_ms = KEEPALIVE_SHARE * keepalive_ms;
    }

    /// Whether a connection has written all that has come of a client's request, and waits for more.
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

    /// The attempt that a connection carries.
    pub fn attempt(&self, connection: UpstreamKey) -> Option<&Attempt<P>> {
        self.connections.get(connection)?.attempt()
    }

    /// The same, to be changed.
    pub fn attempt_mut(&mut self, connection: UpstreamKey) -> Option<&mut Attempt<P>> {
        self.connections.get_mut(connection)?.attempt_mut()
    }

    /// Whether a connection may be opened without closing one that an attempt might use.
    pub fn has_room(&self) -> bool {
        !self.connections.is_full()
    }

    /// The number of connections, and of those that are idle.
    pub fn connection_counts(&self) -> (usize, usize) {
        let idle = self.endpoints.iter().map(|endpoint| endpoint.idle.len());
        (self.connections.len(), idle.sum())
    }

    /// All endpoints met.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = EndpointId> {
        (0..self.endpoints.len()).map(EndpointId::new)
    }

    /// Whether any endpoint may get new attempts.
    pub fn any_available(&self) -> bool {
        self.endpoints
            .iter()
            .any(|endpoint| endpoint.process.is_some())
    }

    /// A connection to an endpoint has been established, or has brought something.
    pub(crate) fn note_heard(&mut self, endpoint: EndpointId, now: f64) {
        self.endpoints[endpoint.index()].last_heard_at = now;
    }

    fn remove_idle(&mut self, endpoint: EndpointId, key: UpstreamKey) {
        self.endpoints[endpoint.index()]
            .idle
            .retain(|idle| *idle != key);
    }
}

impl Proxy {
    /// What the endpoint list says of an endpoint: its address and start, or that it gets no new attempt.
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
            // Connections to a process that is no more may stay open and silent.
            self.close_idle_connections(endpoint);
        }
    }

    /// Once all of a list is applied: attempts of which nothing is written leave endpoints that have changed. A
    /// connection that is established only after that would carry a new attempt past the grace of a drain.
    pub fn withdraw_unsent_attempts(&mut self) {
        let endpoints = &self.upstream.endpoints;
        let outdated = |connection: &UpstreamConnection<Proxy>| {
            connection.is_unsent()
                && endpoints[connection.endpoint.index()].process != Some(connection.process)
        };
        for key in self.upstream.connections.keys_where(outdated) {
            self.fail_attempt(key, AttemptOutcome::Unreachable, LoadReport::default());
        }
    }

    /// Takes the idle connection that was used last, so that others may be closed, but none that has only just
    /// brought its response.
    pub(super) fn take_idle_connection(&mut self, endpoint: EndpointId) -> Option<UpstreamKey> {
        let now = self.now();
        loop {
            let idle = &mut self.upstream.endpoints.get_mut(endpoint.index())?.idle;
            let connections = &self.upstream.connections;
            let has_rested = |key: &UpstreamKey| {
                connections[*key]
                    .idle_since()
                    .is_some_and(|since| now - since >= REST_AFTER_RESPONSE_MS)
            };
            let key = idle.remove(idle.iter().rposition(has_rested)?);
            let connection = &mut self.upstream.connections[key];
            self.timers.cancel(connection.timer.take());
            if is_silent(&connection.stream) {
                return Some(key);
            }
            // The endpoint has closed it meanwhile, or sent bytes that belong to no attempt.
            self.close_connection(key);
        }
    }

    /// Starts to connect to an endpoint. Returns the key that the connection will have, with its socket.
    pub(super) fn connect(
        &mut self,
        endpoint: EndpointId,
    ) -> Result<(UpstreamKey, TcpStream, EndpointProcess), AttemptOutcome> {
        if !self.upstream.has_room() && !self.close_longest_idle_upstream() {
            // Nothing was sent, and the request is free to go elsewhere.
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
            // Taken only now: connections that are closed to make room free keys of this table.
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
        // What this machine lacks, such as descriptors, is not held against the endpoint.
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
            log::debug!(
                "small packets to {} may be delayed: {error}",
                process.address
            );
        }
        Ok(stream)
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    pub fn close_longest_idle_upstream(&mut self) -> bool {
        let longest_idle = self
            .upstream
            .connections
            .key_with_least(UpstreamConnection::idle_since);
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

    /// Closes a connection and returns the callback of the attempt that it carried. This is the only place where a
    /// connection to an endpoint and its buffers are given back.
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
            // Its client is cut off and can tell: a response that stops short could be taken for a whole one.
            self.close_downstream(client);
        }
        if let Err(error) = self.registry.deregister(&mut connection.stream) {
            log::debug!("a connection to an endpoint was not watched: {error}");
        }
        self.timers.cancel(connection.timer);
        drop(connection.stream);
        self.replenish_reserve_of(DescriptorPurpose::Attempt);
        let attempt = attempt?;
        for buffer in [attempt.request_state.into_buffer(), attempt.inbox] {
            buffer
                .into_iter()
                .for_each(|buffer| self.buffers.give_back(buffer));
        }
        Some(attempt.on_complete)
    }

    /// Keeps an idle connection for the next attempt, unless its endpoint has changed since it was opened.
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

/// Whether the endpoint, and not this machine, is why a connection cannot be opened.
fn is_unreachable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
