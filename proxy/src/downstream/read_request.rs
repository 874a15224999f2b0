//! Reading from clients: a request's head is checked as soon as it is in, its body awaited or fed on.

use super::request_head::{RequestHead, RequestKind};
use super::{RequestError, LINGER_BYTES, SLOW};
use crate::buffers::{Buffer, Filled, BODY_LONG, BODY_MOST};
use crate::http;
use crate::proxy::Proxy;
use crate::upstream::start_of;
use std::io::{self, Read, Write};

impl Proxy {
    /// From now on nothing but a whole request may keep the connection for longer than this.
    pub(super) fn may_stand(&mut self, key: usize, most: f64) {
        let at = self.clock.now() + most;
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        self.timers.unset(client.timer.take());
        client.timer = Some(
            self.timers
                .set(at, move |proxy: &mut Proxy| proxy.stood(key)),
        );
    }

    /// It has stood for as long as it may; what it has sent by now is read first.
    pub(super) fn stood(&mut self, key: usize) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            client.timer = None;
        }
        self.serve(key);
        let now = self.clock.now();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        if client.outbox.is_some() || client.timer.is_some() {
            return;
        }
        if client.in_body() {
            if client.op.is_some() && !self.upstream.hungry(client.feeds, key) {
                // It is the server's turn: what it takes its time for is not held against the client.
                (client.body_from, client.got, client.moved) = (now, 0, now);
            }
            let due = client.body_due();
            if due > now + 1.0 {
                client.timer = Some(
                    self.timers
                        .set(due, move |proxy: &mut Proxy| proxy.stood(key)),
                );
                return;
            }
            if client.op.is_some() {
                self.counters.bad += 1;
                return self.drop_downstream(key);
            }
        }
        let Some(client) = self.downstream.table.get(key).filter(|c| c.spare()) else {
            return;
        };
        if client.inbox.is_some() {
            // Danger: a client that sends a byte now and then would hold a buffer for ever.
            self.counters.bad += 1;
            self.refuse(key, RequestError::Timeout);
        } else {
            self.drop_downstream(key);
        }
    }

    /// Reads towards the next request and has it served; whether there is more to do at once.
    pub(super) fn read_request(&mut self, key: usize) -> bool {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return false;
        };
        if client.op.is_some() && client.ended {
            // Danger: whoever has left is served on by one server after another.
            self.drop_downstream(key);
            return false;
        }
        if client.op.is_some() && client.in_body() {
            // Whoever it feeds reads on.
            self.writable_upstream.extend(client.feeds);
            return false;
        }
        if client.op.is_some() {
            self.read_behind(key);
            return false;
        }
        if client.lingers {
            // Danger: a client that goes on sending at full speed would keep the loop for itself. What it
            // sends past this stays with its own machine until the connection is closed.
            if client.past
                >= if client.patient {
                    BODY_LONG
                } else {
                    LINGER_BYTES
                }
            {
                return false;
            }
            return match client.stream.read(&mut [0; 16 * 1024]) {
                Ok(read @ 1..) => {
                    client.past += read;
                    client.moved = self.clock.now();
                    true
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => false,
                _ => {
                    self.drop_downstream(key);
                    false
                }
            };
        }
        let Some(mut inbox) = client.inbox.take().or_else(|| self.buffers.take()) else {
            // Danger: the pool is empty. The client is refused unread, and its next try is harmless.
            self.counters.full += 1;
            self.refuse(key, RequestError::NoBuffer);
            return true;
        };
        match self.read_whole(key, &mut inbox) {
            Ok(Some(asked)) => {
                self.put_back(key, inbox);
                self.hear(key, asked);
                true
            }
            Ok(None) => self.read_more(key, inbox),
            Err(error) => {
                let status = error.status();
                let start = start_of(&inbox);
                log::debug!("request rejected with {status}, {error}: {start}");
                self.put_back(key, inbox);
                self.counters.bad += 1;
                self.refuse(key, error);
                true
            }
        }
    }

    /// What comes behind a request waits for its answer. Danger: an end shows only once all bytes before it
    /// are read, and a client that sends much at once and goes would never be seen to go.
    fn read_behind(&mut self, key: usize) {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        let (mut read, mut beyond) = (0, [0; 16 * 1024]);
        // Danger: one that goes on sending at full speed would keep the loop for itself.
        while read < BODY_MOST {
            let held = client.inbox.as_mut().filter(|_| !client.close);
            let filled = held.map_or(Filled::Full, |inbox| inbox.fill(&mut client.stream));
            match filled {
                Filled::Some => {}
                Filled::Later => return,
                Filled::Ended | Filled::Broken => return self.drop_downstream(key),
                // It can't be kept, so nothing behind this request is answered: the connection goes with it.
                Filled::Full => match client.stream.read(&mut beyond) {
                    Ok(more @ 1..) => {
                        (client.close, client.over) = (true, false);
                        read += more;
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    _ => return self.drop_downstream(key),
                },
            }
        }
        let now = self.clock.now();
        self.timers
            .set(now, move |proxy: &mut Proxy| proxy.serve(key));
    }

    pub(super) fn put_back(&mut self, key: usize, inbox: Buffer) {
        match self.downstream.table.get_mut(key) {
            Some(client) => client.inbox = Some(inbox),
            None => self.buffers.give(inbox),
        }
    }

    /// What is asked, once the whole request is in.
    pub(super) fn read_whole(
        &mut self,
        key: usize,
        inbox: &mut Buffer,
    ) -> Result<Option<RequestKind>, RequestError> {
        let client = &mut self.downstream.table[key];
        if client.request.is_none() {
            // Danger: line ends left over behind the last request, taken for a request that never ends.
            let blank = inbox
                .held()
                .iter()
                .take_while(|b| matches!(b, b'\r' | b'\n'))
                .count();
            inbox.cut(0, blank);
            let key_header = self.key_header.as_deref();
            let head = http::parse_request(inbox.held(), |method, target, headers| {
                let head = RequestHead {
                    method,
                    target,
                    headers,
                };
                let kind = head.classify(&self.name_index, &self.requests, key_header);
                (kind, head.expects_continue())
            })?;
            let Some((message, (asked, expects))) = head else {
                return Ok(None);
            };
            log::trace!(
                "{}",
                String::from_utf8_lossy(&inbox.held()[..message.body_start])
            );
            // What its head rules out is refused before its body has come.
            client.request = Some((message, asked?));
            let now = self.clock.now();
            (client.body_from, client.got, client.moved) = (now, 0, now);
            (client.feeds, client.let_go) = (None, false);
            if expects {
                // So short a line fits into an empty socket buffer.
                let _ = client.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        let Some((message, asked)) = &mut client.request else {
            return Ok(None);
        };
        // One too long to be held whole is heard before its end.
        let whole = message.advance(inbox)?;
        Ok((whole || message.body_end - message.body_start > BODY_MOST).then_some(*asked))
    }

    /// Reads on; whether anything came.
    pub(super) fn read_more(&mut self, key: usize, mut inbox: Buffer) -> bool {
        let client = &mut self.downstream.table[key];
        let before = inbox.held().len();
        let filled = inbox.fill(&mut client.stream);
        if inbox.held().len() > before {
            client.got += inbox.held().len() - before;
            client.moved = self.clock.now();
        }
        if inbox.held().is_empty() {
            self.buffers.give(inbox);
        } else {
            client.inbox = Some(inbox);
            if !std::mem::replace(&mut client.begun, true) {
                client.idle_since = self.clock.now();
                // A new connection's time has run since it came.
                if client.answers > 0 {
                    self.may_stand(key, SLOW);
                }
            }
        }
        match filled {
            Filled::Some => return true,
            Filled::Later => {}
            Filled::Ended | Filled::Broken => self.drop_downstream(key),
            Filled::Full => {
                self.counters.bad += 1;
                self.refuse(key, RequestError::TooLong);
                return true;
            }
        }
        false
    }

    pub(super) fn hear(&mut self, key: usize, asked: RequestKind) {
        let client = &mut self.downstream.table[key];
        self.timers.unset(client.timer.take());
        client.begun = false;
        client.close = !client.request.as_ref().is_some_and(|(m, _)| m.keep_alive);
        // Danger: health checks that keep their connection, a thousand a second, leave no room for ops.
        client.close |= matches!(asked, RequestKind::HealthCheck);
        client.over = client.close;
        match asked {
            RequestKind::HealthCheck => {
                let status = if self.ready() { 200 } else { 503 };
                self.answer(key, status, 0.0);
            }
            RequestKind::RetiredClass(category) => {
                client.receipt = Some(self.access_metrics.begin(category));
                self.counters.bad += 1;
                self.refuse(key, RequestError::RetiredClass);
            }
            RequestKind::Forwarded(_, mark) if self.requests.is_open(mark) => {
                // Danger: two clients under one id, of whom one would get the other's answer.
                self.counters.bad += 1;
                self.refuse(key, RequestError::DuplicateRequestId);
            }
            RequestKind::Forwarded(arrival, mark) => {
                client.receipt = Some(self.access_metrics.begin(arrival.class));
                let op = self.admit(key, arrival, mark);
                // It may be answered already.
                let waits = self.requests.waits(op);
                if let Some(client) = self.downstream.table.get_mut(key).filter(|_| waits) {
                    client.op = Some(op);
                    if client.in_body() {
                        self.may_stand(key, SLOW);
                    }
                }
            }
        }
    }
}
