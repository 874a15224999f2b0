//! Closing client connections.

use super::connection::{ConnectionState, DownstreamConnection, ResponseSource};
use super::{DISCARD_BUFFER_BYTES, LINGER_TIMEOUT_MS};
use crate::buffers::MAX_BODY_BYTES;
use crate::metrics::access::RequestOutcome;
use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;
use crate::socket::reset_on_close;
use crankmux::types::{AttemptOutcome, LoadReport};
use std::io::{self, Read};

impl Proxy {
    /// Accepts the pending connections, unless a newer process does, and closes the listener.
    pub fn close_listener(&mut self) {
        if !self.upgrade.has_newer_process() {
            self.accept_whole_queue();
        }
        self.stop_listening();
        self.downstream.listener = None;
    }

    /// Closes a connection and releases its slot, buffers and timer.
    pub fn close_downstream(&mut self, key: DownstreamKey) {
        let Some(mut client) = self.downstream.table.remove(key) else {
            return;
        };
        if let Some(source) = client.response_source() {
            self.abort_response_stream(&client, source);
        }
        // Fails only if the socket is not registered; every accepted socket is.
        let _ = self.registry.deregister(&mut client.stream);
        self.timers.cancel(client.timer);
        let awaited_request = client.awaited_request();
        let write_buffer = match client.state {
            ConnectionState::WritingResponse(writer) => Some(writer.buffer),
            _ => None,
        };
        for buffer in [client.read_buffer, write_buffer].into_iter().flatten() {
            self.buffers.give_back(buffer);
        }
        if let Some(receipt) = client.receipt {
            // The proxy or the endpoint may have aborted the response; otherwise the client disconnected.
            let outcome = if client.outcome == Some(RequestOutcome::Failed) {
                RequestOutcome::Failed
            } else {
                RequestOutcome::ClientDisconnected
            };
            self.access_metrics.request_finished(receipt, outcome);
        }
        if let Some(request_id) = awaited_request {
            self.client_left(request_id);
        }
    }

    /// Aborts a streamed response whose client connection is being closed.
    fn abort_response_stream(&mut self, client: &DownstreamConnection, source: ResponseSource) {
        if source.ends_at_close {
            // The close delimits this response, so only a reset tells the client that it is truncated.
            reset_on_close(&client.stream);
        }
        if self.upstream.connections.get(source.upstream).is_some() {
            self.counters.clients_disconnected += 1;
            let no_report = LoadReport::default();
            self.fail_attempt(source.upstream, AttemptOutcome::Cancelled, no_report);
        }
    }

    /// Discards input on a lingering connection. Returns whether more may be readable now.
    pub(super) fn discard_input(&mut self, key: DownstreamKey) -> bool {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return false;
        };
        let ConnectionState::Lingering(lingering) = &mut client.state else {
            return false;
        };
        if lingering.limit_reached() {
            return false;
        }
        match client.stream.read(&mut [0; DISCARD_BUFFER_BYTES]) {
            Ok(read @ 1..) => {
                lingering.discarded_bytes += read;
                client.last_progress_ms = self.clock.now();
                true
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => false,
            _ => {
                self.close_downstream(key);
                false
            }
        }
    }

    /// Closes a lingering connection, unless the client is still sending its request body: it may read the response
    /// only after that.
    pub(super) fn linger_timeout_expired(&mut self, key: DownstreamKey) {
        let now_ms = self.clock.now();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        client.timer = None;
        let still_receiving_body = match &client.state {
            ConnectionState::Lingering(lingering) => {
                lingering.body_outstanding
                    && now_ms - client.last_progress_ms < LINGER_TIMEOUT_MS
                    && lingering.discarded_bytes < MAX_BODY_BYTES
            }
            _ => false,
        };
        if still_receiving_body {
            self.set_downstream_timer(
                key,
                now_ms + LINGER_TIMEOUT_MS,
                Proxy::linger_timeout_expired,
            );
        } else {
            self.close_downstream(key);
        }
    }
}
