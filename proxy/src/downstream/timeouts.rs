//! Clients that keep the proxy waiting: for a request, for the rest of one, or for a response to be taken.

use super::RequestError;
use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;
use crate::streaming::STALL_TIMEOUT_MS;

/// A body whose time ends within this is late already: no timer is set for so little.
const MIN_BODY_WAIT_MS: f64 = 1.0;

impl Proxy {
    /// From now on nothing but a whole request may keep the connection for longer than this.
    pub(super) fn set_read_timeout(&mut self, key: DownstreamKey, wait_ms: f64) {
        let at_ms = self.clock.now() + wait_ms;
        self.set_downstream_timer(key, at_ms, Proxy::read_timeout_expired);
    }

    /// A client has kept the proxy waiting for as long as it may; what it has sent by now is read first.
    fn read_timeout_expired(&mut self, key: DownstreamKey) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            client.timer = None;
        }
        self.serve_client(key);
        let Some(client) = self.downstream.table.get(key) else {
            return;
        };
        if client.writer().is_some() || client.timer.is_some() {
            return;
        }
        if client.is_receiving_body() && self.body_timeout_expired(key) {
            return;
        }
        let Some(client) = self.downstream.table.get(key) else {
            return;
        };
        if client.is_busy() {
            return;
        }
        if client.read_buffer.is_some() {
            // A client that sends a byte now and then would hold a buffer for ever.
            self.counters.invalid_requests += 1;
            self.reject(key, RequestError::Timeout);
        } else {
            self.close_downstream(key);
        }
    }

    /// The same for a client whose body is coming: it goes on while it keeps pace, and where its request was
    /// admitted it is closed if not. Whether that settles it.
    fn body_timeout_expired(&mut self, key: DownstreamKey) -> bool {
        let now_ms = self.clock.now();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return true;
        };
        let admitted = client.awaited_request().is_some();
        if let Some(request) = client.request.as_mut().filter(|_| admitted) {
            if !self.upstream.awaits_request_body(request.upstream, key) {
                // The time that its endpoint takes is not held against the client.
                request.body_since_ms = now_ms;
                request.body_bytes = 0;
                client.last_progress_ms = now_ms;
            }
        }
        let deadline_ms = client.body_deadline_ms();
        if deadline_ms > now_ms + MIN_BODY_WAIT_MS {
            self.set_downstream_timer(key, deadline_ms, Proxy::read_timeout_expired);
            return true;
        }
        if admitted {
            self.counters.invalid_requests += 1;
            self.close_downstream(key);
        }
        admitted
    }

    /// The time in which a client must take something of its response.
    pub(super) fn set_write_timeout(&mut self, key: DownstreamKey, since_ms: f64) {
        self.set_downstream_timer(
            key,
            since_ms + STALL_TIMEOUT_MS,
            Proxy::write_timeout_expired,
        );
    }

    /// Whether a client takes its response at all.
    fn write_timeout_expired(&mut self, key: DownstreamKey) {
        let now_ms = self.clock.now();
        let has_drained = self.downstream.has_drained_response(key);
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        if client.writer().is_none() {
            return;
        }
        client.timer = None;
        if has_drained {
            // It is the endpoint's turn.
            client.last_progress_ms = now_ms;
        }
        let last_progress_ms = client.last_progress_ms;
        if now_ms - last_progress_ms >= STALL_TIMEOUT_MS {
            // A client that does not read its response would hold a buffer for ever.
            self.counters.clients_stalled += 1;
            log::info!("a client took nothing of its response for {STALL_TIMEOUT_MS} ms");
            return self.close_downstream(key);
        }
        self.set_write_timeout(key, last_progress_ms);
    }
}
