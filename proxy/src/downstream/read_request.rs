//! Reading from clients: a request's head is checked as soon as it is in, its body buffered or streamed.

use super::connection::{AfterResponse, ConnectionState};
use super::request_head::{RequestHead, RequestKind};
use super::{RequestError, DISCARD_BYTES, REQUEST_TIMEOUT_MS};
use crate::buffers::{Buffer, ReadOutcome, MAX_BUFFERED_BODY_BYTES};
use crate::http;
use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;
use crate::upstream::log_excerpt;
use crankmux::types::NewRequest;
use std::io::{self, Read, Write};

impl Proxy {
    /// Reads what a client's connection waits for; whether there is more to do at once.
    pub(super) fn read_request(&mut self, key: DownstreamKey) -> bool {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return false;
        };
        match client.state {
            ConnectionState::Idle | ConnectionState::ReadingRequest => self.read_next_request(key),
            ConnectionState::AwaitingResponse(_) => {
                self.read_while_awaiting_response(key);
                false
            }
            // Nothing is read until the response is out.
            ConnectionState::StartingResponse(_) | ConnectionState::WritingResponse(_) => false,
            ConnectionState::Lingering(_) => self.discard_input(key),
        }
    }

    /// Reads towards the next request and handles it; whether there is more to do at once.
    fn read_next_request(&mut self, key: DownstreamKey) -> bool {
        let client = &mut self.downstream.table[key];
        let read_buffer = client.read_buffer.take();
        let Some(mut buffer) = read_buffer.or_else(|| self.buffers.take()) else {
            // The pool is empty. The client is rejected unread, and its retry is harmless.
            self.counters.capacity_exhausted += 1;
            self.reject(key, RequestError::NoBuffer);
            return true;
        };
        match self.parse_request(key, &mut buffer) {
            Ok(Some(kind)) => {
                self.downstream.table[key].read_buffer = Some(buffer);
                self.handle_request(key, kind);
                true
            }
            Ok(None) => self.receive(key, buffer),
            Err(error) => {
                let status = error.status();
                let start = log_excerpt(&buffer);
                log::debug!("request rejected with {status}, {error}: {start}");
                self.downstream.table[key].read_buffer = Some(buffer);
                self.counters.invalid_requests += 1;
                self.reject(key, error);
                true
            }
        }
    }

    /// What is asked for, once the whole request is in, or more of it than is buffered.
    fn parse_request(
        &mut self,
        key: DownstreamKey,
        buffer: &mut Buffer,
    ) -> Result<Option<RequestKind>, RequestError> {
        if self.downstream.table[key].request.is_none() && !self.parse_head(key, buffer)? {
            return Ok(None);
        }
        let Some(request) = &mut self.downstream.table[key].request else {
            return Ok(None);
        };
        let message = &mut request.message;
        let complete = message.advance(buffer)?;
        // One too long to be buffered whole is handled before its end.
        let is_streamed = message.body_end - message.body_start > MAX_BUFFERED_BODY_BYTES;
        Ok((complete || is_streamed).then_some(request.kind))
    }

    /// Parses and checks the head of a request; whether it is complete. What the head rules out is rejected
    /// before the body has come.
    fn parse_head(
        &mut self,
        key: DownstreamKey,
        buffer: &mut Buffer,
    ) -> Result<bool, RequestError> {
        remove_blank_lines(buffer);
        let key_header = self.key_header.as_deref();
        let parsed = http::parse_request(buffer.filled(), |method, target, headers| {
            let head = RequestHead {
                method,
                target,
                headers,
            };
            let kind = head.classify(&self.name_index, &self.requests, key_header);
            (kind, head.expects_continue())
        })?;
        let Some((message, (kind, expects_continue))) = parsed else {
            return Ok(false);
        };
        let head = &buffer.filled()[..message.body_start];
        log::trace!("{}", String::from_utf8_lossy(head));
        let now_ms = self.clock.now();
        let client = &mut self.downstream.table[key];
        client.accept_head(message, kind?, now_ms);
        if expects_continue {
            // So short a line fits into an empty socket buffer; a failure shows as the connection is read.
            let _ = client.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        Ok(true)
    }

    /// Receives more of a request; whether there is more to do at once.
    fn receive(&mut self, key: DownstreamKey, mut buffer: Buffer) -> bool {
        let client = &mut self.downstream.table[key];
        let length_before = buffer.filled().len();
        let filled = buffer.read_from(&mut client.stream);
        let received = buffer.filled().len() - length_before;
        if received > 0 {
            client.last_progress_ms = self.clock.now();
            if let Some(request) = &mut client.request {
                request.body_bytes += received;
            }
        }
        if buffer.filled().is_empty() {
            self.buffers.give_back(buffer);
        } else {
            client.read_buffer = Some(buffer);
            // A new connection's time has run since it came.
            if client.begin_request(self.clock.now()) && client.responses_sent > 0 {
                self.limit_wait(key, REQUEST_TIMEOUT_MS);
            }
        }
        match filled {
            ReadOutcome::Received => true,
            ReadOutcome::WouldBlock => false,
            ReadOutcome::Closed | ReadOutcome::Failed => {
                self.drop_downstream(key);
                false
            }
            ReadOutcome::BufferFull => {
                self.counters.invalid_requests += 1;
                self.reject(key, RequestError::TooLong);
                true
            }
        }
    }

    /// Handles a request that is in, or whose body is long.
    fn handle_request(&mut self, key: DownstreamKey, kind: RequestKind) {
        let client = &mut self.downstream.table[key];
        self.timers.cancel(client.timer.take());
        let keep_alive = client
            .request
            .as_ref()
            .is_some_and(|request| request.message.keep_alive);
        // Health checks that kept their connection, a thousand a second, would leave no room for requests.
        client.after_response = if keep_alive && !matches!(kind, RequestKind::HealthCheck) {
            AfterResponse::KeepAlive
        } else {
            AfterResponse::Close
        };
        match kind {
            RequestKind::HealthCheck => {
                let status = if self.ready() {
                    http::status::OK
                } else {
                    http::status::SERVICE_UNAVAILABLE
                };
                self.answer(key, status, 0.0);
            }
            RequestKind::RetiredClass(class) => {
                client.receipt = Some(self.access_metrics.request_admitted(class));
                self.counters.invalid_requests += 1;
                self.reject(key, RequestError::RetiredClass);
            }
            RequestKind::Forwarded(_, id_hash) if self.requests.is_id_in_use(id_hash) => {
                self.counters.invalid_requests += 1;
                self.reject(key, RequestError::DuplicateRequestId);
            }
            RequestKind::Forwarded(request, id_hash) => {
                client.receipt = Some(self.access_metrics.request_admitted(request.class));
                self.admit_request(key, request, id_hash);
            }
        }
    }

    /// Admits a request, which may be answered in the course of it.
    fn admit_request(&mut self, key: DownstreamKey, request: NewRequest, id_hash: u64) {
        let request_id = self.admit(key, request, id_hash);
        if !self.requests.is_unanswered(request_id) {
            return;
        }
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        client.await_response(request_id);
        if client.is_receiving_body() {
            self.limit_wait(key, REQUEST_TIMEOUT_MS);
        }
    }

    /// Hears a client whose response is awaited: it may have left, or go on with its body.
    fn read_while_awaiting_response(&mut self, key: DownstreamKey) {
        let client = &self.downstream.table[key];
        if client.peer_closed {
            // The request of a client that has left would be retried on one endpoint after another.
            return self.drop_downstream(key);
        }
        if client.is_receiving_body() {
            // Whoever its body is streamed to reads on.
            let upstream = client.request.as_ref().and_then(|request| request.upstream);
            self.writable_upstream.extend(upstream);
            return;
        }
        self.read_pipelined(key);
    }

    /// Reads what comes behind a request; it waits for the response. The client's close shows only once all
    /// bytes before it are read, and a client that sends much at once and goes would never be seen to go.
    fn read_pipelined(&mut self, key: DownstreamKey) {
        let client = &mut self.downstream.table[key];
        let mut discarded = 0;
        let mut discard_buffer = [0; DISCARD_BYTES];
        // A client that goes on sending at full speed would keep the event loop for itself.
        while discarded < MAX_BUFFERED_BODY_BYTES {
            let keeps_alive = !client.after_response.closes();
            let buffer = client.read_buffer.as_mut().filter(|_| keeps_alive);
            match buffer.map_or(ReadOutcome::BufferFull, |buffer| {
                buffer.read_from(&mut client.stream)
            }) {
                ReadOutcome::Received => {}
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed | ReadOutcome::Failed => return self.drop_downstream(key),
                // It cannot be kept, so nothing behind this request is answered: the connection goes with it.
                ReadOutcome::BufferFull => match client.stream.read(&mut discard_buffer) {
                    Ok(read @ 1..) => {
                        client.after_response = AfterResponse::Linger {
                            body_outstanding: false,
                        };
                        discarded += read;
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    _ => return self.drop_downstream(key),
                },
            }
        }
        let now_ms = self.clock.now();
        self.timers
            .set(now_ms, move |proxy: &mut Proxy| proxy.serve(key));
    }
}

/// Line ends left over behind the last request would be taken for a request that never ends.
fn remove_blank_lines(buffer: &mut Buffer) {
    let blank = buffer
        .filled()
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .count();
    buffer.remove(0..blank);
}
