//! A push on its connection: written, waited for, its answer read, and what it came to handed to whoever
//! sent it.

use super::{read_load, start_of, AttemptResponse, CompletionCallback, UpstreamConnection, NO_OP};
use crate::buffers::{Buffer, ReadOutcome, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::http::{self, Message};
use crate::proxy::Proxy;
use crate::socket::is_silent;
use crate::streaming::{FIRST, HELD_MOST, LATE_MOST, STALL};
use crankmux::types::{AttemptOutcome, LoadReport};
use httparse::Header;

/// What is kept of an op's time for the way of an answer's first bytes: the protocol's slack, and a few times what
/// a turn of the loop takes where many nodes share cores.
const FOR_THE_WAY: f64 = 50.0;

impl UpstreamConnection<Proxy> {
    /// Until when its answer of unknown length, not whole, is held back from now on.
    fn held_until(&self, now: f64) -> f64 {
        (now + HELD_MOST).min(self.ends - FOR_THE_WAY).max(now)
    }

    /// When it has stood still for too long. Danger: an answer of unknown length that goes on past its op's time
    /// and may be short would keep its client waiting for one that is lost, and so would a server that is cut off
    /// and takes no more of a request whose client has sent all of it.
    fn stalls_at(&self) -> f64 {
        if let Some(since) = self.rest_since.filter(|_| !self.whole) {
            return since + self.patience;
        }
        let untold =
            |m: &Message| m.body_length().is_none() && m.body_received() <= MAX_BUFFERED_BODY_BYTES;
        let short =
            self.passing.is_some() && self.message.as_ref().is_some_and(|(m, ..)| untold(m));
        self.moved
            + if short {
                (self.ends - self.moved).max(0.0) + LATE_MOST
            } else {
                STALL
            }
    }
}

fn word(status: u16, headers: &[Header]) -> (u16, AttemptOutcome, LoadReport) {
    let never = http::header_value(headers, "x-not-processed") == Some("1");
    let ending = match status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if never => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    };
    let mut load = LoadReport::default();
    read_load(
        http::header_value(headers, "x-server-load").unwrap_or_default(),
        &mut load,
    );
    (status, ending, load)
}

/// Reads on in an answer; whether it is whole.
fn read(
    at: &mut Option<(Message, AttemptOutcome, LoadReport)>,
    inbox: &mut Buffer,
) -> Result<bool, http::ParseError> {
    loop {
        if let Some((message, ..)) = at {
            return message.advance(inbox);
        }
        let Some((message, (status, ending, load))) =
            http::parse_response(inbox.filled(), MAX_BODY_BYTES, word)?
        else {
            return Ok(false);
        };
        if status >= 200 {
            *at = Some((message, ending, load));
        } else {
            // One of the answers that only say that another will come.
            inbox.remove(0..message.body_start);
        }
    }
}

impl Proxy {
    /// Sends an op's request, as its client gave it, to a server. The connection's key, or how it failed at
    /// once.
    pub fn send(
        &mut self,
        (op, client): (usize, usize),
        server: usize,
        patience: f64,
        then: CompletionCallback<Proxy>,
    ) -> Result<usize, AttemptOutcome> {
        let Some(mut outbox) = self.buffers.take() else {
            self.counters.full += 1;
            return Err(AttemptOutcome::NotSent);
        };
        let request = self.downstream.request(client);
        if !request.is_some_and(|(held, message)| {
            http::write_request(held, message, patience, &mut outbox)
        }) {
            self.buffers.give_back(outbox);
            return Err(AttemptOutcome::NotSent);
        }
        let key = self.send_written(op, server, outbox, patience, then)?;
        if let Some((_, message)) = self
            .downstream
            .request(client)
            .filter(|(_, message)| !message.is_complete())
        {
            let link = &mut self.upstream.links[key];
            (link.feeding, link.fed, link.chunked) =
                (Some(client), true, message.body_length().is_none());
            self.downstream.stream_request_to(client, key);
        }
        Ok(key)
    }

    /// Sends what is written in a buffer to a server, for an op or for none.
    pub fn send_written(
        &mut self,
        op: usize,
        server: usize,
        outbox: Buffer,
        patience: f64,
        then: CompletionCallback<Proxy>,
    ) -> Result<usize, AttemptOutcome> {
        let key = match self.idle_link(server).map_or_else(|| self.dial(server), Ok) {
            Ok(key) => key,
            Err(ending) => {
                self.buffers.give_back(outbox);
                return Err(ending);
            }
        };
        let now = self.now();
        let link = &mut self.upstream.links[key];
        (link.op, link.outbox, link.sent, link.whole) = (op, Some(outbox), 0, false);
        (link.feeding, link.begun, link.fed_at, link.until) = (None, false, None, None);
        (link.fed, link.held_since, link.broke, link.rest_since) = (false, None, false, None);
        (link.began, link.moved, link.patience, link.ends) = (now, now, patience, now + patience);
        link.then = Some(then);
        let first = if link.up {
            patience
        } else {
            patience.min(self.upstream.connect_within)
        };
        link.timer = Some(self.timers.set(now + first, move |proxy: &mut Proxy| {
            proxy.upstream_timeout(key)
        }));
        if link.up {
            self.writable_upstream.push(key);
        }
        Ok(key)
    }

    /// Danger: a push whose answer is on its way to the client, called off as one of several.
    pub fn cancel(&mut self, key: usize) {
        if self
            .upstream
            .links
            .get(key)
            .is_some_and(|link| link.passing.is_some())
        {
            return;
        }
        self.fail(key, AttemptOutcome::Cancelled, LoadReport::default());
    }

    /// No op waits past a time: what is out by then ends.
    pub fn end_requests(&mut self, at: f64) {
        self.requests.end_by(at);
        self.timers.set(at, move |proxy: &mut Proxy| {
            // Danger: an answer on its way to a client would outlast the process, and end as if it were whole
            // where only its connection's end tells.
            for key in proxy.upstream.links.keys_where(|l| l.passing.is_some()) {
                proxy.fail(key, AttemptOutcome::ConnectionLost, LoadReport::default());
            }
            for key in proxy.upstream.links.keys_where(|l| l.then.is_some()) {
                if let Some(link) = proxy.upstream.links.get_mut(key) {
                    link.ends = link.ends.min(at);
                    proxy.timers.cancel(link.timer.take());
                    proxy.upstream_timeout(key);
                }
            }
        });
    }

    pub fn upstream_timeout(&mut self, key: usize) {
        let now = self.now();
        let Some(link) = self.upstream.links.get_mut(key) else {
            return;
        };
        link.timer = None;
        let passing = link.passing.as_ref().map(|passing| passing.client);
        if passing.is_some() || (link.up && link.fed && !link.whole) {
            // Danger: a server that neither takes nor gives, between a client and its end. Whose turn it is
            // to move tells who stalls; a client has a time of its own.
            let waits = passing.map_or_else(
                || {
                    link.feeding.is_some()
                        && link.outbox.as_ref().is_none_or(|o| o.filled().is_empty())
                },
                |client| !self.downstream.has_drained_response(client),
            );
            link.moved = if waits { now } else { link.moved };
            let at = link.stalls_at();
            if now >= at {
                log::info!(
                    "server {}: nothing has moved for {:.0} ms",
                    link.server,
                    now - link.moved
                );
                let ending = if link.whole {
                    AttemptOutcome::ConnectionLost
                } else {
                    AttemptOutcome::Unreachable
                };
                return self.fail(key, ending, LoadReport::default());
            }
            link.timer = Some(
                self.timers
                    .set(at, move |proxy: &mut Proxy| proxy.upstream_timeout(key)),
            );
            return;
        }
        if link.up && now < link.ends {
            let at = link.ends;
            link.timer = Some(
                self.timers
                    .set(at, move |proxy: &mut Proxy| proxy.upstream_timeout(key)),
            );
        } else {
            // Before its last byte is written it cannot have run.
            let ending = if link.whole {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Unreachable
            };
            let record = &mut self.upstream.records[link.server];
            if record.heard < link.began {
                // Danger: a machine that is cut off says nothing, and each of its idle connections would
                // swallow a push. A new one shows at once whether it is there.
                for idle in std::mem::take(&mut record.idle) {
                    self.drop_upstream(idle);
                }
            }
            self.fail(key, ending, LoadReport::default());
        }
    }

    /// Its server takes no more for now. Where the rest of the request lies here, its op's time runs.
    pub fn note_idle(&mut self, key: usize, client: usize) {
        let now = self.clock.now();
        let Some(link) = self
            .upstream
            .links
            .get_mut(key)
            .filter(|link| link.rest_since.is_none())
        else {
            return;
        };
        if self.downstream.whole_request_received(client) {
            link.rest_since = Some(now);
            self.timers.cancel(link.timer.take());
            let at = link.stalls_at();
            link.timer = Some(
                self.timers
                    .set(at, move |proxy: &mut Proxy| proxy.upstream_timeout(key)),
            );
        }
    }

    /// Something has happened on a connection to a server.
    pub fn link(&mut self, key: usize) {
        let Some(link) = self.upstream.links.get_mut(key) else {
            return;
        };
        if link.then.is_none() {
            // Idle: the server has closed it, or speaks out of turn.
            if !is_silent(&link.stream) {
                let server = link.server;
                self.upstream.records[server].idle.retain(|k| *k != key);
                self.drop_upstream(key);
            }
            return;
        }
        if !link.up {
            if !matches!(link.stream.take_error(), Ok(None)) {
                return self.fail(key, AttemptOutcome::Unreachable, LoadReport::default());
            }
            if link.stream.peer_addr().is_err() {
                return;
            }
            link.up = true;
            self.upstream.records[link.server].heard = self.clock.now();
        }
        if !link.begun && self.clock.now() >= link.ends {
            // Danger: it comes up, or is looked at, only after its op's time; nothing may be sent any more.
            return self.fail(key, AttemptOutcome::Unreachable, LoadReport::default());
        }
        if link.feeding.is_some() && !self.feed(key) {
            return;
        }
        let (now, mut fed_whole) = (self.clock.now(), None);
        let Some(link) = self.upstream.links.get_mut(key) else {
            return;
        };
        if let Some(outbox) = link.outbox.as_ref().filter(|_| link.feeding.is_none()) {
            let drained = outbox.write_to(&mut link.sent, &mut link.stream);
            link.begun |= link.sent > 0;
            match drained {
                Ok(true) => {
                    link.whole = true;
                    if link.fed {
                        fed_whole = Some(link.op);
                        // An op's time starts with its last byte.
                        let from = link.rest_since.unwrap_or(now);
                        (link.fed_at, link.ends) = (Some(now), from + link.patience);
                        self.timers.cancel(link.timer.take());
                        let due = move |proxy: &mut Proxy| proxy.upstream_timeout(key);
                        link.timer = Some(self.timers.set(link.ends, due));
                    }
                    self.access_metrics.forwards += u64::from(link.op != NO_OP);
                    link.outbox
                        .take()
                        .into_iter()
                        .for_each(|b| self.buffers.give_back(b));
                }
                Ok(false) => {}
                // An answer may have come before the request was through; reading tells.
                Err(_) => link.broke = true,
            }
        }
        if let Some(op) = fed_whole {
            self.streaming_progress(op, key, true);
        }
        self.read_answer(key);
    }

    pub(super) fn read_answer(&mut self, key: usize) {
        if self.upstream.links[key].passing.is_some() {
            return self.pass(key);
        }
        loop {
            let link = &mut self.upstream.links[key];
            let Some(mut inbox) = link.inbox.take().or_else(|| self.buffers.take_reserved()) else {
                // Danger: no buffer to read into. The answer is lost; the push may have run.
                self.counters.full += 1;
                return self.fail(key, AttemptOutcome::ConnectionLost, LoadReport::default());
            };
            let filled = link.fill(&mut inbox);
            if filled == ReadOutcome::Received {
                self.upstream.records[link.server].heard = self.clock.now();
            }
            let ended = filled == ReadOutcome::Closed;
            let whole = match read(&mut link.message, &mut inbox) {
                Ok(whole) => {
                    whole
                        || ended
                            && link
                                .message
                                .as_ref()
                                .is_some_and(|(m, ..)| m.ends_at_close())
                }
                // A broken answer ends the push as a broken connection does.
                Err(why) => {
                    let server = link.server;
                    log::debug!(
                        "server {server}: an answer that can't be read ({why}): {}",
                        start_of(&inbox)
                    );
                    link.inbox = Some(inbox);
                    return self.broken(key);
                }
            };
            if whole {
                return self.answered(key, inbox);
            }
            if link.op == NO_OP && link.passes(&inbox) {
                // Danger: a report without end would be passed on to whichever client has that index.
                link.inbox = Some(inbox);
                return self.broken(key);
            }
            if link.passes(&inbox) {
                self.begin_response_stream(key, inbox);
                return self.pass(key);
            }
            let long = |m: &Message| {
                m.body_length().is_some_and(|l| l > MAX_BUFFERED_BODY_BYTES)
                    || m.body_end - m.body_start > MAX_BUFFERED_BODY_BYTES
            };
            if let Some((_, ending, load)) = link
                .message
                .as_ref()
                .filter(|(m, e, _)| *e != AttemptOutcome::Succeeded && long(m))
            {
                // A refusal needs no long body: its head has said it.
                let (ending, load) = (*ending, *load);
                link.inbox = Some(inbox);
                return self.fail(key, ending, load);
            }
            if link.op != NO_OP && link.may_pass() && link.held_since.is_none() {
                let now = self.clock.now();
                link.held_since = Some(now);
                let at = link.held_until(now);
                self.timers
                    .set(at, move |proxy: &mut Proxy| proxy.held_back(key, now));
            }
            if inbox.filled().is_empty() {
                self.buffers.give_back(inbox);
            } else {
                link.inbox = Some(inbox);
            }
            match filled {
                ReadOutcome::Received => {}
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed | ReadOutcome::Failed | ReadOutcome::BufferFull => {
                    return self.broken(key)
                }
            }
        }
    }

    /// Danger: a long answer of unknown length whose server pauses would be held back from a client that waits,
    /// or be cut off as its op's time ends though it comes. One that has brought little is no long one yet: it
    /// has its op's time, and the op may go elsewhere as long as nothing of it has been passed on.
    pub(super) fn held_back(&mut self, key: usize, since: f64) {
        let now = self.clock.now();
        let Some(link) = self
            .upstream
            .links
            .get_mut(key)
            .filter(|l| l.held_since == Some(since))
        else {
            return;
        };
        if link.then.is_none() || link.passing.is_some() {
            return;
        }
        let told = link
            .message
            .as_ref()
            .is_some_and(|(m, ..)| m.body_length().is_some());
        if let Some(inbox) = link
            .inbox
            .take_if(|inbox| told || inbox.filled().len() >= FIRST)
        {
            self.begin_response_stream(key, inbox);
            self.pass(key);
        } else if now < link.ends - FOR_THE_WAY {
            let at = link.held_until(now);
            self.timers
                .set(at, move |proxy: &mut Proxy| proxy.held_back(key, since));
        }
    }

    pub(super) fn broken(&mut self, key: usize) {
        let whole = self.upstream.links.get(key).is_some_and(|link| link.whole);
        // What the server never had whole it has not run.
        self.fail(
            key,
            if whole {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::Unreachable
            },
            LoadReport::default(),
        );
    }

    pub(super) fn answered(&mut self, key: usize, inbox: Buffer) {
        let link = &mut self.upstream.links[key];
        let Some((message, ending, load)) = link.message.take() else {
            return;
        };
        let (then, took) = (link.then.take(), link.took(self.clock.now()));
        // Danger: an answer before the request was through, or bytes behind it: what comes next on this
        // connection would be read wrongly.
        let clean = message.keep_alive && link.whole && inbox.filled().len() == message.body_end;
        if clean && is_silent(&link.stream) {
            self.keep_upstream(key);
        } else {
            self.drop_upstream(key);
        }
        self.hand(
            then,
            AttemptResponse {
                ending,
                load,
                answer: Some((inbox, message)),
                took,
            },
        );
    }

    pub fn hand(&mut self, then: Option<CompletionCallback<Proxy>>, outcome: AttemptResponse) {
        match then {
            Some(then) => then(self, outcome),
            None => outcome
                .answer
                .into_iter()
                .for_each(|(inbox, _)| self.buffers.give_back(inbox)),
        }
    }
}
