//! Reading requests: the head is validated as soon as it is complete, the body is buffered or streamed.

use super::connection::{AfterResponse, ConnectionState, DownstreamConnection};
use super::request_head::{RequestHead, RequestKind};
use super::{RequestError, DISCARD_BUFFER_BYTES, REQUEST_TIMEOUT_MS};
use crate::buffers::{Buffer, ReadOutcome, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
use crate::http::{self, ParseError};
use crate::proxy::Proxy;
use crate::request_ids::RequestIdHash;
use crate::slot_table::DownstreamKey;
use crate::upstream::log_excerpt;
use crankmux::types::NewRequest;
use std::io::{self, Read, Write};

impl Proxy {
    /// Reads a client connection according to its state. Returns whether there is more to do now.
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
            // Back pressure: nothing is read until the response has been written.
            ConnectionState::StartingResponse(_) | ConnectionState::WritingResponse(_) => false,
            ConnectionState::Lingering(_) => self.discard_input(key),
        }
    }

    /// Reads and handles the next request. Returns whether there is more to do now.
    fn read_next_request(&mut self, key: DownstreamKey) -> bool {
        let client = &mut self.downstream.table[key];
        let read_buffer = client.read_buffer.take();
        let Some(mut buffer) = read_buffer.or_else(|| self.buffers.take()) else {
            // The pool is empty. The request is rejected unread, so retrying it is safe.
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
                let excerpt = log_excerpt(&buffer);
                log::debug!("request rejected with {status}, {error}: {excerpt}");
                self.downstream.table[key].read_buffer = Some(buffer);
                self.counters.invalid_requests += 1;
                self.reject(key, error);
                true
            }
        }
    }

    /// Returns the kind of a request once it is complete, or too long to be buffered.
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
        let complete = message.decode_body(buffer)?;
        // A body too long for the buffer is streamed, so it is handled before it is complete.
        let is_streamed = message.body_end - message.body_start > MAX_BUFFERED_BODY_BYTES;
        Ok((complete || is_streamed).then_some(request.kind))
    }

    /// Parses and validates a request head, so that invalid requests are rejected before their body arrives.
    /// Returns whether the head is complete.
    fn parse_head(
        &mut self,
        key: DownstreamKey,
        buffer: &mut Buffer,
    ) -> Result<bool, RequestError> {
        self.downstream.table[key].remove_blank_lines(buffer)?;
        let key_header = self.key_header.as_deref();
        let parsed = http::parse_request(buffer.filled(), |method, target, headers| {
            let head = RequestHead {
                method,
                target,
                headers,
            };
            let kind = head.classify(&self.name_index, key_header);
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
            // The line fits into an empty socket buffer; a connection error is reported by the next read.
            let _ = client.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        Ok(true)
    }

    /// Receives more of a request. Returns whether there is more to do now.
    fn receive(&mut self, key: DownstreamKey, mut buffer: Buffer) -> bool {
        let client = &mut self.downstream.table[key];
        // Pipelined input may be in a smaller one.
        let is_full_size = self.buffers.expand(&mut buffer);
        let length_before = buffer.filled().len();
        let read_outcome = buffer.read_from(&mut client.stream);
        let received = buffer.filled().len() - length_before;
        if received > 0 {
            client.last_progress_ms = self.clock.now();
            if let Some(request) = &mut client.request {
                request.body_bytes += received;
                request
                    .arrival
                    .record_read(received, client.last_progress_ms);
            }
        }
        if buffer.filled().is_empty() {
            self.buffers.give_back(buffer);
        } else {
            client.read_buffer = Some(buffer);
            // For the first request, the timeout has run since the connection was accepted.
            if client.begin_request(self.clock.now()) && client.responses_sent > 0 {
                self.set_read_timeout(key, REQUEST_TIMEOUT_MS);
            }
        }
        match read_outcome {
            ReadOutcome::Received => true,
            ReadOutcome::WouldBlock => {
                // A slow client must not hold a full-size buffer.
                self.shrink_read_buffer(key);
                false
            }
            ReadOutcome::Closed | ReadOutcome::Failed => {
                self.close_downstream(key);
                false
            }
            ReadOutcome::BufferFull if !is_full_size => {
                self.counters.capacity_exhausted += 1;
                self.reject(key, RequestError::NoBuffer);
                true
            }
            ReadOutcome::BufferFull => {
                self.counters.invalid_requests += 1;
                self.reject(key, RequestError::TooLong);
                true
            }
        }
    }

    /// Handles a request that is complete, or whose body is to be streamed.
    fn handle_request(&mut self, key: DownstreamKey, kind: RequestKind) {
        let client = &mut self.downstream.table[key];
        self.timers.cancel(client.timer.take());
        let keep_alive = client
            .request
            .as_ref()
            .is_some_and(|request| request.message.keep_alive);
        // Frequent health checks with kept-alive connections would fill the connection table.
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
                self.send_local_response(key, status, 0.0);
            }
            RequestKind::RetiredClass(class) => {
                client.receipt = Some(self.access_metrics.request_admitted(class));
                self.counters.invalid_requests += 1;
                self.reject(key, RequestError::RetiredClass);
            }
            RequestKind::Forwarded(_, id_hash) if !self.requests.ids_mut().open(id_hash) => {
                self.counters.invalid_requests += 1;
                self.reject(key, RequestError::DuplicateRequestId);
            }
            RequestKind::Forwarded(request, id_hash) => {
                client.receipt = Some(self.access_metrics.request_admitted(request.class));
                self.admit_request(key, request, id_hash);
            }
        }
    }

    /// Admits a request. It may be answered before this returns.
    fn admit_request(&mut self, key: DownstreamKey, request: NewRequest, id_hash: RequestIdHash) {
        let request_id = self.admit(key, request, id_hash);
        if !self.requests.is_unanswered(request_id) {
            return;
        }
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        client.await_response(request_id);
        if client.is_receiving_body() {
            self.set_read_timeout(key, REQUEST_TIMEOUT_MS);
        } else {
            self.shrink_read_buffer(key);
        }
    }

    /// Reads a client whose response is awaited, for more of its body, pipelined requests or a close.
    fn read_while_awaiting_response(&mut self, key: DownstreamKey) {
        if self.downstream.table[key].is_receiving_body() {
            return self.body_bytes_arrived(key);
        }
        self.read_pipelined(key);
    }

    /// Wakes the upstream connection that the body is streamed to, which reads it. While none has taken the first piece,
    /// wakes those of all attempts, whose time may start with these bytes.
    fn body_bytes_arrived(&mut self, key: DownstreamKey) {
        self.downstream.record_arrival(key, self.clock.now());
        let client = &self.downstream.table[key];
        let request = client.request.as_ref();
        let body_target = request.and_then(|request| request.body_target);
        match (body_target, client.awaited_request()) {
            (Some(upstream), _) => self.writable_upstream.push(upstream),
            (None, Some(request)) => {
                let attempts = self.requests.connections_of(request);
                self.writable_upstream.extend(attempts);
            }
            (None, None) => {}
        }
    }

    /// Reads pipelined input while a response is awaited. It is discarded if it cannot be buffered, as the client's
    /// close is detected only after all input before it has been read.
    fn read_pipelined(&mut self, key: DownstreamKey) {
        let mut discard_buffer = [0; DISCARD_BUFFER_BYTES];
        while self.take_client_step(key) {
            let read_outcome = self.read_pipelined_request(key);
            let client = &mut self.downstream.table[key];
            match read_outcome {
                ReadOutcome::Received => {}
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed | ReadOutcome::Failed => return self.close_downstream(key),
                // Pipelined requests are lost once input is discarded, so the connection closes after the response.
                ReadOutcome::BufferFull => match client.stream.read(&mut discard_buffer) {
                    Ok(1..) => {
                        client.after_response = AfterResponse::Linger {
                            body_outstanding: false,
                        };
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    _ => return self.close_downstream(key),
                },
            }
        }
    }
}

impl Proxy {
    /// Reads pipelined input behind the request that is answered first. `BufferFull` if it cannot be kept.
    fn read_pipelined_request(&mut self, key: DownstreamKey) -> ReadOutcome {
        let client = &mut self.downstream.table[key];
        if client.after_response.closes() {
            return ReadOutcome::BufferFull;
        }
        let Some(buffer) = &mut client.read_buffer else {
            return ReadOutcome::BufferFull;
        };
        match buffer.read_from(&mut client.stream) {
            // The buffer was shrunk when the request was complete.
            ReadOutcome::BufferFull if self.buffers.expand(buffer) => {
                buffer.read_from(&mut client.stream)
            }
            read_outcome => read_outcome,
        }
    }

    /// Frees the part of a client's read buffer that is not in use.
    fn shrink_read_buffer(&mut self, key: DownstreamKey) {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        if let Some(buffer) = &mut client.read_buffer {
            self.buffers.shrink(buffer);
        }
    }
}

impl DownstreamConnection {
    /// Removes empty lines before a request (RFC 9112, section 2.2). They would count as the start of a request and run
    /// into its timeout. They are limited like a head, as they could go on without end.
    fn remove_blank_lines(&mut self, buffer: &mut Buffer) -> Result<(), ParseError> {
        let blank = buffer
            .filled()
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        self.blank_line_bytes += blank;
        if self.blank_line_bytes > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLong);
        }
        buffer.remove(0..blank);
        Ok(())
    }
}
