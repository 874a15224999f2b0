//! Writing to clients: answers as far as their sockets take them, and what becomes of the connection after.

use super::{DownstreamConnection, RequestError, JUST_COME, LINGER, SLOW};
use crate::buffers::{Buffer, BODY_LONG};
use crate::http::{self, Message};
use crate::metrics::access::End;
use crate::proxy::Proxy;
use crate::socket::{has_data, is_silent};
use crate::streaming::STALL;
use std::net::Shutdown;

/// How long a connection stays on which no request follows the last answer: longer than clients pause
/// between two requests while they have work.
const IDLE_MOST: f64 = 2000.0;
/// The share of all clients' connections that may stand idle after an answer. Danger: clients that ask once
/// and stay use up what their side may open, and others, who would ask, find no connection left.
const IDLE_SHARE: f64 = 1.0 / 3.0;
/// The same of those that have asked only once: clients with more to ask have mostly come back.
const ONCE_SHARE: f64 = 1.0 / 8.0;

impl Proxy {
    /// Writes what is left of an answer; whether the connection may be read.
    pub fn write_answer(&mut self, key: usize) -> bool {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return false;
        };
        let Some(outbox) = &client.outbox else {
            return true;
        };
        let before = client.sent;
        let drained = outbox.drain(&mut client.sent, &mut client.stream);
        if client.sent > before {
            client.moved = self.clock.now();
        }
        match drained {
            Ok(false) => false,
            Err(e) => {
                log::debug!("a client left in the middle of its answer: {e}");
                self.drop_downstream(key);
                false
            }
            Ok(true) if client.fed_by.is_some() => {
                // What it has taken makes room for the next piece; nothing else but its end is of interest.
                if client.ended || !(is_silent(&client.stream) || has_data(&client.stream)) {
                    log::debug!("a client left in the middle of its answer");
                    self.drop_downstream(key);
                } else {
                    self.writable_upstream.extend(client.fed_by);
                }
                false
            }
            Ok(true) => {
                let outbox = client.outbox.take();
                if let (Some(receipt), Some(end)) = (client.receipt.take(), client.end.take()) {
                    self.access_metrics.end(receipt, end);
                }
                self.timers.unset(client.timer.take());
                outbox.into_iter().for_each(|b| self.buffers.give(b));
                client.idle_since = self.clock.now();
                client.answers = client.answers.saturating_add(1);
                client.begun = client.inbox.is_some();
                if client.over && client.inbox.is_none() && is_silent(&client.stream) {
                    self.drop_downstream(key);
                    return false;
                }
                if client.close {
                    // Danger: closing with bytes unread resets the connection, and the answer is lost.
                    client.lingers = true;
                    let _ = client.stream.shutdown(Shutdown::Write);
                    let at = client.idle_since + LINGER;
                    client.timer = Some(
                        self.timers
                            .set(at, move |proxy: &mut Proxy| proxy.lingered(key)),
                    );
                } else {
                    let most = if client.begun { SLOW } else { IDLE_MOST };
                    self.may_stand(key, most);
                    self.bound_idle();
                }
                true
            }
        }
    }

    /// Closes whoever had its answer longest ago, where too many stand there since theirs.
    pub(super) fn bound_idle(&mut self) {
        let now = self.clock.now();
        for (share, most_answers) in [(ONCE_SHARE, 1), (IDLE_SHARE, u32::MAX)] {
            let stands = |c: &DownstreamConnection| {
                (1..=most_answers).contains(&c.answers)
                    && c.idle()
                    && now - c.idle_since > JUST_COME
            };
            let mut standing = self.downstream.table.keys(stands);
            let over = standing
                .len()
                .saturating_sub((share * self.downstream.most as f64) as usize);
            if over > 0 {
                let since = |key: &usize| self.downstream.table[*key].idle_since;
                standing.sort_unstable_by(|a, b| since(a).total_cmp(&since(b)));
            }
            for key in standing.into_iter().take(over) {
                // One that speaks up just now is heard.
                if is_silent(&self.downstream.table[key].stream) {
                    self.drop_downstream(key);
                }
            }
        }
    }

    /// An answered client has been read from for a while: one whose body still comes may go on, or would not
    /// read its answer.
    pub(super) fn lingered(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        client.timer = None;
        if client.patient && now - client.moved < LINGER && client.past < BODY_LONG {
            client.timer = Some(
                self.timers
                    .set(now + LINGER, move |proxy: &mut Proxy| proxy.lingered(key)),
            );
        } else {
            self.drop_downstream(key);
        }
    }

    /// Whether a client takes its answer at all.
    pub(super) fn answer_due(&mut self, key: usize) {
        let now = self.clock.now();
        let waits = self.downstream.has_taken(key);
        let Some(client) = self
            .downstream
            .table
            .get_mut(key)
            .filter(|c| c.outbox.is_some())
        else {
            return;
        };
        client.timer = None;
        // It is the server's turn.
        client.moved = if waits { now } else { client.moved };
        if now - client.moved >= STALL {
            // Danger: a client that does not read its answer would hold a buffer for ever.
            self.counters.stalled += 1;
            log::info!("a client took nothing of its answer for {STALL} ms");
            return self.drop_downstream(key);
        }
        let at = client.moved + STALL;
        client.timer = Some(
            self.timers
                .set(at, move |proxy: &mut Proxy| proxy.answer_due(key)),
        );
    }

    /// Refuses the rest of a body that was being fed on: its push is called off before its last byte.
    pub fn reject_upload(&mut self, key: usize, error: RequestError) {
        let op = self
            .downstream
            .table
            .get_mut(key)
            .and_then(|client| client.op.take());
        self.refuse(key, error);
        if let Some(op) = op {
            self.client_left(op);
        }
    }

    /// Refuses what cannot be read on; the connection goes with it.
    pub(super) fn refuse(&mut self, key: usize, error: RequestError) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            (client.close, client.over) = (true, false);
            self.answer(key, error.status(), 0.0);
        }
    }

    /// An answer of the node's own.
    pub fn answer(&mut self, key: usize, status: u16, come_back: f64) {
        self.downstream.ends_as(
            key,
            if status == 503 {
                End::Declined
            } else {
                End::Aborted
            },
        );
        self.answer_by(key, |close, to| {
            to.add(http::empty_response(status, come_back, close).as_bytes())
        });
    }

    /// More of a client's answer will come from a connection to a server.
    pub fn write_to_client(&mut self, key: usize, link: usize, unframed: bool) {
        if let Some(client) = self.downstream.table.get_mut(key) {
            (client.fed_by, client.unframed) = (Some(link), unframed);
            client.close |= unframed;
        }
    }

    /// A server's answer, handed back.
    pub fn hand_back(&mut self, key: usize, held: &[u8], message: &Message) {
        self.downstream.ends_as(key, End::Succeeded);
        self.answer_by(key, |close, to| {
            http::write_response(held, message, close, to)
        });
    }

    /// Writes an answer as far as it goes, and gives the request's buffer back.
    pub fn answer_by(&mut self, key: usize, compose: impl FnOnce(bool, &mut Buffer) -> bool) {
        let stopping = self.stopping();
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        client.op = None;
        client.close |= stopping;
        self.timers.unset(client.timer.take());
        if let Some(mut inbox) = client.inbox.take() {
            if client.in_body() {
                // What still comes of its body is read away.
                (client.close, client.over, client.patient) =
                    (true, false, client.receipt.is_some());
            }
            // What came behind the request is the next one's.
            let end = client
                .request
                .take()
                .map_or(inbox.held().len(), |(m, _)| m.body_end);
            inbox.cut(0, end);
            if inbox.held().is_empty() || client.close {
                self.buffers.give(inbox);
            } else {
                client.inbox = Some(inbox);
            }
        }
        let mut outbox = self.buffers.take_last();
        if let Some(behind) = client.inbox.take_if(|_| outbox.is_none()) {
            // Danger: requests behind this one hold the last buffer, and its answer is lost. They come again.
            self.buffers.give(behind);
            (client.close, client.over) = (true, false);
            outbox = self.buffers.take_last();
        }
        let Some(mut outbox) = outbox else {
            // Danger: not even an answer's buffer is left, as many clients do not read. This one is cut off.
            log::warn!("no buffer for an answer");
            self.counters.full += 1;
            return self.drop_downstream(key);
        };
        if !compose(client.close, &mut outbox) {
            // Danger: a server's head that does not fit. The client must not take it for an answer.
            self.buffers.give(outbox);
            return self.drop_downstream(key);
        }
        let now = self.clock.now();
        (client.outbox, client.sent, client.moved) = (Some(outbox), 0, now);
        client.timer = Some(
            self.timers
                .set(now + STALL, move |proxy: &mut Proxy| proxy.answer_due(key)),
        );
        self.write_answer(key);
        self.downstream.again.push(key);
    }
}
