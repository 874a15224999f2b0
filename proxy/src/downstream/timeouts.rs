//! Timeouts of client connections: idle, slow or stalled requests, and stalled responses.

use super::RequestError;
use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;
use crate::streaming::STALL_TIMEOUT_MS;

/// A body deadline closer than this counts as expired, to avoid timers of negligible length.
const MIN_BODY_WAIT_MS: f64 = 1.0;

impl Proxy {
    /// Sets the time within which a complete request must be received.
    pub(super) fn set_read_timeout(&mut self, key: DownstreamKey, wait_ms: f64) {
        let at_ms = self.clock.now() + wait_ms;
        self.set_downstream_timer(key, at_ms, Proxy::read_timeout_expired);
    }

    /// Rejects an incomplete request, or closes an idle connection, after reading pending input.
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
            // A client that sends single bytes at intervals would otherwise hold a buffer forever.
            self.counters.invalid_requests += 1;
            self.reject(key, RequestError::Timeout);
        } else {
            self.close_downstream(key);
        }
    }

    /// Handles the read timeout while a body is being received: extends it while the body meets its deadline, and
    /// otherwise closes the connection if the request was admitted. Returns whether the timeout is handled.
    fn body_timeout_expired(&mut self, key: DownstreamKey) -> bool {
        let now_ms = self.clock.now();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return true;
        };
        let admitted = client.awaited_request().is_some();
        if let Some(request) = client.request.as_mut().filter(|_| admitted) {
            if !self.upstream.awaits_request_body(request.body_target, key) {
                // The endpoint is behind, so the client's rate is measured anew.
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

    /// Sets the time within which some of the response must be written, counted from `since_ms`.
    pub(super) fn set_write_timeout(&mut self, key: DownstreamKey, since_ms: f64) {
        self.set_downstream_timer(
            key,
            since_ms + STALL_TIMEOUT_MS,
            Proxy::write_timeout_expired,
        );
    }

    /// Closes the connection if no response bytes could be written for the whole timeout. A client that does not
    /// read would hold a buffer forever.
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
            // The endpoint has not sent more, so the client is not late.
            client.last_progress_ms = now_ms;
        }
        let last_progress_ms = client.last_progress_ms;
        if now_ms - last_progress_ms >= STALL_TIMEOUT_MS {
            self.counters.clients_stalled += 1;
            log::info!("client read nothing of its response for {STALL_TIMEOUT_MS} ms; closing the connection");
            return self.close_downstream(key);
        }
        self.set_write_timeout(key, last_progress_ms);
    }
}
