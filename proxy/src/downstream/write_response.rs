//! Writing responses to clients, and closing or reusing the connection afterwards.

use super::connection::{AfterResponse, ConnectionState, ResponseSource};
use super::{RequestError, LINGER_TIMEOUT_MS, REQUEST_TIMEOUT_MS};
use crate::buffers::Buffer;
use crate::http::{self, Message};
use crate::metrics::access::RequestOutcome;
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crate::socket::{has_unread_data, is_open_and_idle};
use std::net::Shutdown;

/// How long a connection is kept open between requests: longer than active clients pause.
const CLIENT_IDLE_TIMEOUT_MS: f64 = 2000.0;
/// Longer than any response of the proxy's own.
const LOCAL_RESPONSE_BYTES: usize = 256;

impl Proxy {
    /// Writes buffered response bytes. Returns whether the connection may be read.
    pub fn flush_response(&mut self, key: DownstreamKey) -> bool {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return false;
        };
        let ConnectionState::WritingResponse(writer) = &mut client.state else {
            return true;
        };
        let written_before = writer.written;
        let drained = writer
            .buffer
            .write_to(&mut writer.written, &mut client.stream);
        if writer.written > written_before {
            client.last_progress_ms = self.clock.now();
        }
        match drained {
            Ok(true) if writer.source.is_some() => {
                self.request_next_response_piece(key);
                false
            }
            Ok(true) => self.finish_response(key),
            Ok(false) => false,
            Err(error) => {
                log::debug!("client disconnected before its response was complete: {error}");
                self.close_downstream(key);
                false
            }
        }
    }

    /// Requests the next piece of a streamed response from its endpoint, unless the client has disconnected.
    fn request_next_response_piece(&mut self, key: DownstreamKey) {
        let client = &self.downstream.table[key];
        let client_disconnected = client.peer_closed
            || !(is_open_and_idle(&client.stream) || has_unread_data(&client.stream));
        if client_disconnected {
            log::debug!("client disconnected before its response was complete");
            return self.close_downstream(key);
        }
        let upstream = client.response_source().map(|source| source.upstream);
        self.writable_upstream.extend(upstream);
    }

    /// Ends a response that has been written, and closes or reuses the connection. Returns whether the connection may
    /// be read.
    fn finish_response(&mut self, key: DownstreamKey) -> bool {
        let client = &mut self.downstream.table[key];
        let buffer = client.end_response();
        if let (Some(receipt), Some(outcome)) = (client.receipt.take(), client.outcome.take()) {
            self.access_metrics.request_finished(receipt, outcome);
        }
        self.timers.cancel(client.timer.take());
        if let Some(buffer) = buffer {
            self.buffers.give_back(buffer);
        }
        client.idle_since_ms = self.clock.now();
        client.responses_sent = client.responses_sent.saturating_add(1);
        let may_close_now = client.after_response == AfterResponse::Close
            && client.read_buffer.is_none()
            && is_open_and_idle(&client.stream);
        if may_close_now {
            self.close_downstream(key);
            return false;
        }
        if client.after_response.closes() {
            client.linger();
            // Fails if the client has reset the connection, which the next read reports.
            let _ = client.stream.shutdown(Shutdown::Write);
            let at_ms = client.idle_since_ms + LINGER_TIMEOUT_MS;
            self.set_downstream_timer(key, at_ms, Proxy::linger_timeout_expired);
            return true;
        }
        let next_request_begun = client.read_buffer.is_some();
        let wait_ms = if next_request_begun {
            REQUEST_TIMEOUT_MS
        } else {
            CLIENT_IDLE_TIMEOUT_MS
        };
        self.set_read_timeout(key, wait_ms);
        self.close_excess_idle();
        true
    }

    /// Rejects a request of which part has been streamed to an endpoint, and cancels the attempt.
    pub fn reject_upload(&mut self, key: DownstreamKey, error: RequestError) {
        let client = self.downstream.table.get_mut(key);
        let request_id = client.and_then(|client| client.stop_awaiting_response());
        self.reject(key, error);
        if let Some(request_id) = request_id {
            self.client_left(request_id);
        }
    }

    /// Rejects a request and closes the connection after the response, as the rest of the input cannot be parsed.
    pub(super) fn reject(&mut self, key: DownstreamKey, error: RequestError) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            client.after_response = AfterResponse::Linger {
                body_outstanding: false,
            };
            self.send_local_response(key, error.status(), 0.0);
        }
    }

    /// Sends a response of the proxy's own, with `Retry-After` if `retry_after_ms` is positive.
    pub fn send_local_response(&mut self, key: DownstreamKey, status: u16, retry_after_ms: f64) {
        let outcome = if status == http::status::SERVICE_UNAVAILABLE {
            RequestOutcome::Rejected
        } else {
            RequestOutcome::Failed
        };
        self.downstream.set_outcome(key, outcome);
        self.respond_with(key, LOCAL_RESPONSE_BYTES, |close, buffer| {
            buffer.append(http::empty_response(status, retry_after_ms, close).as_bytes())
        });
    }

    /// Sends an endpoint's response that has been buffered whole.
    pub fn send_buffered_response(&mut self, key: DownstreamKey, bytes: &[u8], message: &Message) {
        self.downstream.set_outcome(key, RequestOutcome::Succeeded);
        self.respond_with(key, message.body_end, |close, buffer| {
            http::write_response(bytes, message, close, buffer)
        });
    }

    /// Records the upstream connection from which a response will be streamed. `ends_at_close` tells that the close of
    /// the client connection delimits the response.
    pub fn set_response_source(
        &mut self,
        key: DownstreamKey,
        upstream: UpstreamKey,
        ends_at_close: bool,
    ) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            client.stream_response_from(ResponseSource {
                upstream,
                ends_at_close,
            });
        }
    }

    /// Starts to write a response, and releases the request's buffer. `length` is that of the response, without what the
    /// proxy adds to it. `compose` is passed whether the connection closes after the response, and returns whether the
    /// response fitted into the buffer.
    pub fn respond_with(
        &mut self,
        key: DownstreamKey,
        length: usize,
        compose: impl FnOnce(bool, &mut Buffer) -> bool,
    ) {
        if !self.release_request(key) {
            return;
        }
        let Some(buffer) = self.take_response_buffer(key, length) else {
            log::warn!("no buffer available for a response");
            self.counters.capacity_exhausted += 1;
            // Its own response is short, and a buffer for it is always granted.
            return self.send_local_response(key, http::status::BAD_GATEWAY, 0.0);
        };
        self.respond_in(key, buffer, compose);
    }

    /// Ends the wait for a response and releases the request's buffer. Returns false if the client has disconnected.
    fn release_request(&mut self, key: DownstreamKey) -> bool {
        let stopping = self.stopping();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return false;
        };
        client.stop_awaiting_response();
        if stopping {
            client.after_response.require_close();
        }
        self.timers.cancel(client.timer.take());
        self.remove_request_from_buffer(key);
        true
    }

    /// Starts to write a streamed response whose first piece `compose` writes into `buffer`.
    pub(crate) fn begin_streamed_response(
        &mut self,
        key: DownstreamKey,
        buffer: Buffer,
        compose: impl FnOnce(bool, &mut Buffer) -> bool,
    ) {
        if self.release_request(key) {
            self.respond_in(key, buffer, compose);
        } else {
            self.buffers.give_back(buffer);
        }
    }

    fn respond_in(
        &mut self,
        key: DownstreamKey,
        mut buffer: Buffer,
        compose: impl FnOnce(bool, &mut Buffer) -> bool,
    ) {
        let client = &mut self.downstream.table[key];
        if !compose(client.after_response.closes(), &mut buffer) {
            // The endpoint's response head does not fit; a truncated one must not be sent.
            self.buffers.give_back(buffer);
            return self.close_downstream(key);
        }
        let now_ms = self.clock.now();
        client.begin_response(buffer, now_ms);
        self.set_write_timeout(key, now_ms);
        self.flush_response(key);
        self.downstream.ready.push(key);
    }

    /// Removes a request from its buffer, and keeps pipelined input for the next one.
    fn remove_request_from_buffer(&mut self, key: DownstreamKey) {
        let client = &mut self.downstream.table[key];
        let Some(mut buffer) = client.read_buffer.take() else {
            return;
        };
        if client.is_receiving_body() {
            // The rest of the body is discarded.
            client.after_response = AfterResponse::Linger {
                body_outstanding: client.receipt.is_some(),
            };
        }
        let request_end = match client.request.take() {
            Some(request) => request.message.body_end,
            None => buffer.filled().len(),
        };
        buffer.remove(0..request_end);
        if buffer.filled().is_empty() || client.after_response.closes() {
            self.buffers.give_back(buffer);
        } else {
            client.read_buffer = Some(buffer);
        }
    }

    /// A buffer for a response, from the reserve or from pipelined input.
    fn take_response_buffer(&mut self, key: DownstreamKey, length: usize) -> Option<Buffer> {
        if let Some(buffer) = self.buffers.take_reserved_for(length) {
            return Some(buffer);
        }
        // Pipelined requests are dropped for the response; the client can retry them on another connection.
        let client = &mut self.downstream.table[key];
        let pipelined = client.read_buffer.take()?;
        client.after_response = AfterResponse::Linger {
            body_outstanding: false,
        };
        self.buffers.give_back(pipelined);
        self.buffers.take_reserved_for(length)
    }
}
