//! Writing to clients: responses as far as their sockets take them, and what becomes of the connection after.

use super::connection::{AfterResponse, ConnectionState, ResponseSource};
use super::{RequestError, LINGER_MS, REQUEST_TIMEOUT_MS};
use crate::buffers::Buffer;
use crate::http::{self, Message};
use crate::metrics::access::RequestOutcome;
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crate::socket::{has_unread_data, is_open_and_idle};
use std::net::Shutdown;

/// How long a connection stays on which no request follows the last response: longer than clients pause
/// between two requests while they have work.
const IDLE_TIMEOUT_MS: f64 = 2000.0;

impl Proxy {
    /// Writes what is left of a response; whether the connection may be read.
    pub fn write_answer(&mut self, key: DownstreamKey) -> bool {
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
                self.request_next_piece(key);
                false
            }
            Ok(true) => self.response_sent(key),
            Ok(false) => false,
            Err(error) => {
                log::debug!("a client left in the middle of its response: {error}");
                self.drop_downstream(key);
                false
            }
        }
    }

    /// A client has taken all that there is of a response that is streamed, which makes room for the next piece.
    /// Nothing else but its close is of interest.
    fn request_next_piece(&mut self, key: DownstreamKey) {
        let client = &self.downstream.table[key];
        let has_left = client.peer_closed
            || !(is_open_and_idle(&client.stream) || has_unread_data(&client.stream));
        if has_left {
            log::debug!("a client left in the middle of its response");
            return self.drop_downstream(key);
        }
        let upstream = client.response_source().map(|source| source.upstream);
        self.writable_upstream.extend(upstream);
    }

    /// A response is out; whether the connection may be read.
    fn response_sent(&mut self, key: DownstreamKey) -> bool {
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
        let is_finished = client.after_response == AfterResponse::Close
            && client.read_buffer.is_none()
            && is_open_and_idle(&client.stream);
        if is_finished {
            self.drop_downstream(key);
            return false;
        }
        if client.after_response.closes() {
            client.linger();
            // It fails where the client has reset the connection, which shows as it is read.
            let _ = client.stream.shutdown(Shutdown::Write);
            let at_ms = client.idle_since_ms + LINGER_MS;
            self.set_downstream_timer(key, at_ms, Proxy::linger_timeout);
            return true;
        }
        let next_request_begun = client.read_buffer.is_some();
        let wait_ms = if next_request_begun {
            REQUEST_TIMEOUT_MS
        } else {
            IDLE_TIMEOUT_MS
        };
        self.limit_wait(key, wait_ms);
        self.close_excess_idle();
        true
    }

    /// Rejects a request of which part has been streamed to an endpoint: the attempt is cancelled before its
    /// last byte.
    pub fn reject_upload(&mut self, key: DownstreamKey, error: RequestError) {
        let client = self.downstream.table.get_mut(key);
        let request_id = client.and_then(|client| client.stop_awaiting());
        self.reject(key, error);
        if let Some(request_id) = request_id {
            self.client_left(request_id);
        }
    }

    /// Rejects what cannot be read on; the connection is closed after the response.
    pub(super) fn reject(&mut self, key: DownstreamKey, error: RequestError) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            client.after_response = AfterResponse::Linger {
                body_outstanding: false,
            };
            self.answer(key, error.status(), 0.0);
        }
    }

    /// Answers a client with a response of the proxy's own, with a `Retry-After` where `retry_after_ms` is
    /// positive.
    pub fn answer(&mut self, key: DownstreamKey, status: u16, retry_after_ms: f64) {
        let outcome = if status == http::status::SERVICE_UNAVAILABLE {
            RequestOutcome::Rejected
        } else {
            RequestOutcome::Failed
        };
        self.downstream.set_outcome(key, outcome);
        self.answer_by(key, |close, buffer| {
            buffer.append(http::empty_response(status, retry_after_ms, close).as_bytes())
        });
    }

    /// Answers a client with an endpoint's whole response.
    pub fn hand_back(&mut self, key: DownstreamKey, bytes: &[u8], message: &Message) {
        self.downstream.set_outcome(key, RequestOutcome::Succeeded);
        self.answer_by(key, |close, buffer| {
            http::write_response(bytes, message, close, buffer)
        });
    }

    /// A client's response will be streamed from an upstream connection; `ends_at_close` where only the end of
    /// the client's connection tells its end.
    pub fn write_to_client(
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

    /// Writes a response as far as it goes, and gives the request's buffer back. `compose` is told whether the
    /// connection ends with the response, and returns whether the response fitted into the buffer.
    pub fn answer_by(
        &mut self,
        key: DownstreamKey,
        compose: impl FnOnce(bool, &mut Buffer) -> bool,
    ) {
        let stopping = self.stopping();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        client.stop_awaiting();
        if stopping {
            client.after_response.require_close();
        }
        self.timers.cancel(client.timer.take());
        self.release_request(key);
        let Some(mut buffer) = self.take_response_buffer(key) else {
            // As many clients do not read, not even a response's buffer is left. This one is cut off.
            log::warn!("no buffer for a response");
            self.counters.capacity_exhausted += 1;
            return self.drop_downstream(key);
        };
        let client = &mut self.downstream.table[key];
        if !compose(client.after_response.closes(), &mut buffer) {
            // An endpoint's head that does not fit. The client must not take it for a response.
            self.buffers.give_back(buffer);
            return self.drop_downstream(key);
        }
        let now_ms = self.clock.now();
        client.begin_response(buffer, now_ms);
        self.limit_response_stall(key, now_ms);
        self.write_answer(key);
        self.downstream.ready.push(key);
    }

    /// Removes a request from its buffer, and keeps what has come behind it for the next one.
    fn release_request(&mut self, key: DownstreamKey) {
        let client = &mut self.downstream.table[key];
        let Some(mut buffer) = client.read_buffer.take() else {
            return;
        };
        if client.is_receiving_body() {
            // What still comes of its body is discarded.
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

    /// A buffer for a client's response.
    fn take_response_buffer(&mut self, key: DownstreamKey) -> Option<Buffer> {
        if let Some(buffer) = self.buffers.take_reserved() {
            return Some(buffer);
        }
        // Requests behind the answered one may hold the last buffer, and its response would be lost. They come
        // again.
        let client = &mut self.downstream.table[key];
        let pipelined = client.read_buffer.take()?;
        client.after_response = AfterResponse::Linger {
            body_outstanding: false,
        };
        self.buffers.give_back(pipelined);
        self.buffers.take_reserved()
    }
}
