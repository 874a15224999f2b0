//! Answers too long for one buffer, passed on piece by piece: each is read only once the client has taken the
//! one before, so that neither side's pace costs more than two buffers.

use super::http::{self, Framing};
use super::servers::{Link, Outcome};
use super::silent;
use crate::memory::buffers::{Buffer, Filled, BODY_MOST};
use crate::memory::tally::End;
use crate::proxy::Proxy;
use crankmux::words::{Ending, Load};

/// An answer whose head tells that it is long goes on once so much has come. Danger: one that only says so,
/// and whose op could still go elsewhere; spoilt answers bring little.
const FIRST: usize = 8 * 1024;
/// Of any other that is not whole, or brings less, nothing is held back for longer: well under the time in
/// which a client would call it held back, and well over a server's pause within one answer.
pub const HELD_MOST: f64 = 200.0;
/// A server that has begun its answer, and a client that takes one, may pause for seconds, but not for so
/// long.
pub const STALL: f64 = 10_000.0;

/// An answer on its way through: to which client, and how.
pub struct Passing {
    pub client: usize,
    chunked: bool,
}

impl Link {
    /// Whether its answer may be passed on in pieces: a good one to a request written whole.
    fn good(&self) -> bool {
        self.whole && self.message.as_ref().is_some_and(|(_, ending, _)| *ending == Ending::Acked)
    }

    /// Whether it is to be passed on now.
    pub fn passes(&self, inbox: &Buffer) -> bool {
        let Some((message, ..)) = self.message.as_ref().filter(|_| self.good()) else { return false };
        let here = inbox.held().len() - message.head;
        here > BODY_MOST || (message.length().is_some_and(|l| l > BODY_MOST) && here >= FIRST)
    }

    /// Whether it will be passed on if it is not whole soon.
    pub fn may_pass(&self) -> bool {
        let message = self.message.as_ref().filter(|_| self.good());
        message.is_some_and(|(m, ..)| m.length().is_none_or(|length| length > BODY_MOST))
    }
}

impl Proxy {
    /// Its head and first piece go to the client, whose final answer it is from now on.
    pub fn begin_passing(&mut self, key: usize, mut inbox: Buffer) {
        let link = &mut self.servers.links[key];
        let op = link.op;
        let (Some((message, ..)), Some(client)) = (&mut link.message, self.ops.answered(op)) else {
            self.buffers.give(inbox);
            return self.fail(key, Ending::Cancelled, Load::default());
        };
        let now = self.clock.now();
        let framing = match message.length() {
            Some(length) => Framing::Length(length),
            None if self.clients.takes_chunks(client) => Framing::Chunked,
            // Danger: where only the connection's end tells the answer's, one cut short is reset.
            None => Framing::Unframed,
        };
        link.passing = Some(Passing { client, chunked: framing == Framing::Chunked });
        (link.moved, link.until) = (now, Some(now));
        self.timers.unset(link.timer.take());
        link.timer = Some(self.timers.set(now + STALL, move |proxy: &mut Proxy| proxy.link_due(key)));
        let (head, end) = (message.head, message.end);
        self.body_moves(op, key, false);
        self.feed_client(client, key, framing == Framing::Unframed);
        // Until its last byte is with the client.
        self.clients.ends_as(client, End::Aborted);
        self.answer_by(client, |close, to| {
            http::pass_on_from(&inbox.held()[..end], head, framing, close, to)
        });
        match self.servers.links.get_mut(key) {
            Some(link) => {
                if let Some((message, ..)) = &mut link.message {
                    message.let_go(&mut inbox);
                }
                link.inbox = Some(inbox);
            }
            None => self.buffers.give(inbox),
        }
    }

    /// Passes on what has come and reads the next piece, if the client has taken the last one.
    pub fn pass(&mut self, key: usize) {
        loop {
            let now = self.clock.now();
            let Some(link) = self.servers.links.get_mut(key) else { return };
            let Some(Passing { client, chunked, .. }) = link.passing else { return };
            let (Some(inbox), Some((message, ..))) = (&mut link.inbox, &mut link.message) else { return };
            let Some(piece) = self.clients.taken(client) else { return };
            if message.end > message.head || message.whole() {
                message.move_on(inbox, piece, chunked);
                link.moved = now;
                self.clients.given(client, now);
                if message.whole() {
                    return self.passed(key);
                }
                self.write_answer(client);
                continue;
            }
            let filled = inbox.fill(&mut link.stream);
            if filled == Filled::Some {
                self.servers.records[link.server].heard = now;
                link.moved = now;
            }
            let read = message.advance(inbox);
            match (&read, filled) {
                (Ok(_), Filled::Some) => {}
                (Ok(_), Filled::Later) => return,
                (Ok(_), Filled::Ended) if message.ends_here() => message.end_here(),
                // The client is cut off with the connection, so that it can tell.
                _ => {
                    log::debug!("server {}: a long answer breaks off: {read:?}, {filled:?}", link.server);
                    return self.fail(key, Ending::Broken, Load::default());
                }
            }
        }
    }

    /// All of it is with the client's side.
    fn passed(&mut self, key: usize) {
        let Some(link) = self.servers.links.get_mut(key) else { return };
        let Some(Passing { client, .. }) = link.passing.take() else { return };
        let (then, took) = (link.then.take(), link.took(self.clock.now()));
        let Some((message, _, load)) = link.message.take() else { return };
        let clean = message.keep && link.inbox.as_ref().is_none_or(|inbox| inbox.held().is_empty());
        link.inbox.take().into_iter().for_each(|inbox| self.buffers.give(inbox));
        self.counters.acked += 1;
        self.clients.ends_as(client, End::Succeeded);
        self.clients.fed(client);
        if clean && silent(&self.servers.links[key].stream) {
            self.keep_link(key);
        } else {
            self.drop_link(key);
        }
        self.write_answer(client);
        self.clients.go_on(client);
        self.hand(then, Outcome { ending: Ending::Acked, load, answer: None, took });
    }
}
