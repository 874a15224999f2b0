//! Answers too long for one buffer, passed on piece by piece: each is read only once the client has taken the
//! one before, so that neither side's pace costs more than one buffer.

use super::http;
use super::servers::{Link, Outcome};
use super::silent;
use crate::memory::buffers::{Buffer, Filled, BODY_MOST};
use crate::memory::tally::End;
use crate::proxy::Proxy;
use crankmux::words::{Ending, Load};

/// The longest body that is passed on: sixteen times the protocol's. Danger: one that is said to have gigabytes
/// would be neither an answer nor an error in any client's time.
pub const PASSED_MOST: usize = 16 * BODY_MOST;

/// An answer on its way through: to which client, and what is still to come.
pub struct Passing {
    pub client: usize,
    left: usize,
    keep: bool,
    load: Load,
}

impl Link {
    /// Whether its answer is to be passed on in pieces: a good one to a request written whole, of which more has come
    /// than the protocol allows. Danger: one that only says so, and whose op could still go elsewhere.
    pub fn too_long(&self, inbox: &Buffer) -> bool {
        let acked = self.message.as_ref().filter(|(_, ending, _)| *ending == Ending::Acked);
        self.whole
            && acked.is_some_and(|(m, ..)| m.length().is_some() && inbox.held().len() > m.head + BODY_MOST)
    }
}

impl Proxy {
    /// Its head and first piece go to the client, whose final answer it is from now on.
    pub fn begin_passing(&mut self, key: usize, inbox: Buffer) {
        let link = &mut self.servers.links[key];
        let op = link.op;
        let (Some((message, _, load)), Some(client)) = (link.message.take(), self.ops.answered(op)) else {
            self.buffers.give(inbox);
            return self.fail(key, Ending::Cancelled, Load::default());
        };
        let length = message.length().unwrap_or_default();
        let held = &inbox.held()[..inbox.held().len().min(message.head + length)];
        let keep = message.keep && held.len() == inbox.held().len();
        let left = message.head + length - held.len();
        link.passing = Some(Passing { client, left, keep, load });
        let now = self.now();
        self.dispatcher.began(now, op);
        self.feed_client(client, key);
        // Until its last byte is with the client.
        self.clients.ends_as(client, End::Aborted);
        self.answer_by(client, |close, to| http::pass_on_from(held, message.head, length, close, to));
        self.buffers.give(inbox);
    }

    /// Reads the next piece, if the client has taken the last one.
    pub fn pass(&mut self, key: usize) {
        loop {
            let Some(link) = self.servers.links.get_mut(key) else { return };
            let Some(Passing { client, left, keep, .. }) = &mut link.passing else { return };
            let client = *client;
            if *left == 0 {
                return self.passed(key);
            }
            let Some(piece) = self.clients.taken(client) else { return };
            let filled = piece.fill(&mut link.stream);
            if piece.held().len() > *left {
                // What stands behind it is no part of it.
                *keep = false;
                piece.cut(*left, piece.held().len());
            }
            *left -= piece.held().len();
            match filled {
                Filled::Some => {
                    self.servers.records[link.server].heard = self.clock.now();
                    self.write_answer(client);
                }
                Filled::Later => return,
                // The client is cut off with the connection, so that it can tell.
                Filled::Ended | Filled::Full => return self.fail(key, Ending::Broken, Load::default()),
            }
        }
    }

    /// All of it is with the client's side.
    fn passed(&mut self, key: usize) {
        let Some(link) = self.servers.links.get_mut(key) else { return };
        let Some(Passing { client, keep, load, .. }) = link.passing.take() else { return };
        let then = link.then.take();
        self.counters.acked += 1;
        self.clients.ends_as(client, End::Succeeded);
        self.clients.fed(client);
        if keep && silent(&self.servers.links[key].stream) {
            self.keep_link(key);
        } else {
            self.drop_link(key);
        }
        self.write_answer(client);
        self.clients.go_on(client);
        self.hand(then, Outcome { ending: Ending::Acked, load, answer: None });
    }
}
