//! Reading from clients: a request's head is checked as soon as it is in, its body awaited or fed on.

use super::{Asked, LINGER_BYTES, SLOW};
use crate::buffers::{Buffer, Filled, BODY_LONG, BODY_MOST};
use crate::endpoint_list::stable_hash;
use crate::http::{self, RequestError};
use crate::proxy::Proxy;
use crate::requests::Requests;
use crate::upstream::log_excerpt;
use crankmux::settings::NameIndex;
use crankmux::types::NewRequest;
use httparse::Header;
use std::io::{self, Read, Write};

/// Longer than any client waits: a deadline past it is a mistake.
const TTL_MOST: f64 = 3600.0;

fn asked(
    names: &NameIndex,
    ops: &Requests,
    key: Option<&str>,
    method: &str,
    path: &str,
    headers: &[Header],
) -> Result<Asked, RequestError> {
    if path == "/_health" {
        return Ok(Asked::Health);
    }
    if matches!(method, "HEAD" | "CONNECT") {
        // Their answers have no body, whatever is told of its length.
        return Err(405);
    }
    let header = |name: &str| http::value(headers, name).filter(|v| !v.is_empty());
    // Danger: two headers of one name are read in two ways by two readers.
    let told_twice = |name: &&str| {
        headers
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name))
            .count()
            > 1
    };
    if ["X-Request-ID", "X-Priority-Class", "X-Timeout"]
        .iter()
        .any(told_twice)
    {
        return Err(400);
    }
    let mark = ops.hash_request_id(header("X-Request-ID").ok_or(400_u16)?);
    let category = header("X-Priority-Class").ok_or(400_u16)?;
    if path.trim_start_matches('/').split(['/', '?']).next() != Some(category) {
        return Err(400);
    }
    let Some(category) = names.classes.index(category) else {
        // Danger: clients that have not heard of it yet, whose failures no figure would tell.
        let once = names.classes.names.iter().position(|name| name == category);
        return once.map(Asked::Vanished).ok_or(400);
    };
    let ttl: f64 = header("X-Timeout")
        .and_then(|v| v.parse().ok())
        .ok_or(400_u16)?;
    if !(ttl > 0.0 && ttl <= TTL_MOST) {
        return Err(400);
    }
    let customer = header("X-Tenant-Id");
    if customer.is_none() && !names.tenants.is_empty() {
        return Err(400);
    }
    let customer = customer.and_then(|name| names.tenants.index(name));
    let retry = header("X-Retried") == Some("1");
    // All nodes come to the same number, so that a key's servers are known to all alike.
    let key = key.and_then(header).map(stable_hash);
    Ok(Asked::Op(
        NewRequest {
            request: 0,
            class: category,
            tenant: customer,
            ttl_ms: ttl * 1000.0,
            client_retry: retry,
            key,
        },
        mark,
    ))
}

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
            if client.op.is_some() && !self.upstream.awaits_request_body(client.feeds, key) {
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
                self.counters.invalid_requests += 1;
                return self.drop_downstream(key);
            }
        }
        let Some(client) = self.downstream.table.get(key).filter(|c| c.spare()) else {
            return;
        };
        if client.inbox.is_some() {
            // Danger: a client that sends a byte now and then would hold a buffer for ever.
            self.counters.invalid_requests += 1;
            self.refuse(key, 408);
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
            self.counters.capacity_exhausted += 1;
            self.refuse(key, 503);
            return true;
        };
        match self.read_whole(key, &mut inbox) {
            Ok(Some(asked)) => {
                self.put_back(key, inbox);
                self.hear(key, asked);
                true
            }
            Ok(None) => self.read_more(key, inbox),
            Err(status) => {
                log::debug!(
                    "a request is refused with {status}: {}",
                    log_excerpt(&inbox)
                );
                self.put_back(key, inbox);
                self.counters.invalid_requests += 1;
                self.refuse(key, status);
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
    ) -> Result<Option<Asked>, RequestError> {
        let client = &mut self.downstream.table[key];
        if client.request.is_none() {
            // Danger: line ends left over behind the last request, taken for a request that never ends.
            let blank = inbox
                .held()
                .iter()
                .take_while(|b| matches!(b, b'\r' | b'\n'))
                .count();
            inbox.cut(0, blank);
            let (names, ops, key) = (&self.name_index, &self.requests, self.key_header.as_deref());
            let head = http::request(inbox.held(), |method, path, headers| {
                let expect = http::value(headers, "expect").unwrap_or_default();
                (
                    asked(names, ops, key, method, path, headers),
                    expect.eq_ignore_ascii_case("100-continue"),
                )
            })?;
            let Some((message, (asked, expects))) = head else {
                return Ok(None);
            };
            log::trace!("{}", String::from_utf8_lossy(&inbox.held()[..message.head]));
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
        Ok((whole || message.end - message.head > BODY_MOST).then_some(*asked))
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
                self.counters.invalid_requests += 1;
                self.refuse(key, 413);
                return true;
            }
        }
        false
    }

    pub(super) fn hear(&mut self, key: usize, asked: Asked) {
        let client = &mut self.downstream.table[key];
        self.timers.unset(client.timer.take());
        client.begun = false;
        client.close = !client.request.as_ref().is_some_and(|(m, _)| m.keep);
        // Danger: health checks that keep their connection, a thousand a second, leave no room for ops.
        client.close |= matches!(asked, Asked::Health);
        client.over = client.close;
        match asked {
            Asked::Health => {
                let status = if self.ready() { 200 } else { 503 };
                self.answer(key, status, 0.0);
            }
            Asked::Vanished(category) => {
                client.receipt = Some(self.access_metrics.request_admitted(category));
                self.counters.invalid_requests += 1;
                self.refuse(key, 400);
            }
            Asked::Op(_, mark) if self.requests.is_open(mark) => {
                // Danger: two clients under one id, of whom one would get the other's answer.
                self.counters.invalid_requests += 1;
                self.refuse(key, 409);
            }
            Asked::Op(arrival, mark) => {
                client.receipt = Some(self.access_metrics.request_admitted(arrival.class));
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
