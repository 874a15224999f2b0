//! Answers too long for one buffer, passed on piece by piece: each is read only once the client has taken the
//! one before, so that neither side's pace costs more than two buffers.

use crate::buffers::{Buffer, ReadOutcome};
use crate::http::{self, BodyFraming};
use crate::metrics::access::End;
use crate::proxy::Proxy;
use crate::socket::is_silent;
use crate::streaming::Passing;
use crate::upstream::AttemptResponse;
use crankmux::types::{AttemptOutcome, LoadReport};

impl Proxy {
    /// Its head and first piece go to the client, whose final answer it is from now on.
    pub fn begin_response_stream(&mut self, key: usize, mut inbox: Buffer) {
        let link = &mut self.upstream.links[key];
        let op = link.op;
        let (Some((message, ..)), Some(client)) = (&mut link.message, self.requests.answered(op))
        else {
            self.buffers.give_back(inbox);
            return self.fail(key, AttemptOutcome::Cancelled, LoadReport::default());
        };
        let now = self.clock.now();
        let framing = match message.body_length() {
            Some(length) => BodyFraming::Length(length),
            None if self.downstream.accepts_chunked(client) => BodyFraming::Chunked,
            // Danger: where only the connection's end tells the answer's, one cut short is reset.
            None => BodyFraming::UntilClose,
        };
        link.passing = Some(Passing {
            client,
            chunked: framing == BodyFraming::Chunked,
        });
        (link.moved, link.until) = (now, Some(now));
        self.timers.cancel(link.timer.take());
        let (head, end) = (message.body_start, message.body_end);
        self.streaming_progress(op, key, false);
        self.write_to_client(client, key, framing == BodyFraming::UntilClose);
        // Until its last byte is with the client.
        self.downstream.set_outcome(client, End::Aborted);
        self.answer_by(client, |close, to| {
            http::write_response_start(&inbox.filled()[..end], head, framing, close, to)
        });
        match self.upstream.links.get_mut(key) {
            Some(link) => {
                if let Some((message, ..)) = &mut link.message {
                    message.release(&mut inbox);
                }
                link.inbox = Some(inbox);
            }
            None => return self.buffers.give_back(inbox),
        }
        self.upstream_timeout(key);
    }

    /// Passes on what has come and reads the next piece, if the client has taken the last one.
    pub fn pass(&mut self, key: usize) {
        loop {
            let now = self.clock.now();
            let Some(link) = self.upstream.links.get_mut(key) else {
                return;
            };
            let Some(Passing {
                client, chunked, ..
            }) = link.passing
            else {
                return;
            };
            let (Some(inbox), Some((message, ..))) = (&mut link.inbox, &mut link.message) else {
                return;
            };
            let Some(piece) = self.downstream.drained_response_buffer(client) else {
                return;
            };
            if message.body_end > message.body_start || message.is_complete() {
                message.forward_body(inbox, piece, chunked);
                link.moved = now;
                self.downstream.restart_response_timeout(client, now);
                if message.is_complete() {
                    return self.passed(key);
                }
                self.write_answer(client);
                continue;
            }
            let Some(mut inbox) = link.inbox.take() else {
                return;
            };
            let filled = link.fill(&mut inbox);
            if filled == ReadOutcome::Received {
                self.upstream.records[link.server].heard = now;
                link.moved = now;
            }
            let (inbox, Some((message, ..))) = (link.inbox.insert(inbox), &mut link.message) else {
                return;
            };
            let read = message.advance(inbox);
            match (&read, filled) {
                (Ok(_), ReadOutcome::Received) => {}
                (Ok(_), ReadOutcome::WouldBlock) => return,
                (Ok(_), ReadOutcome::Closed) if message.ends_at_close() => message.complete(),
                // The client is cut off with the connection, so that it can tell.
                _ => {
                    log::debug!(
                        "server {}: a long answer breaks off: {read:?}, {filled:?}",
                        link.server
                    );
                    return self.fail(key, AttemptOutcome::ConnectionLost, LoadReport::default());
                }
            }
        }
    }

    /// All of it is with the client's side.
    fn passed(&mut self, key: usize) {
        let Some(link) = self.upstream.links.get_mut(key) else {
            return;
        };
        let Some(Passing { client, .. }) = link.passing.take() else {
            return;
        };
        let (then, took) = (link.then.take(), link.took(self.clock.now()));
        let Some((message, _, load)) = link.message.take() else {
            return;
        };
        let clean = message.keep_alive
            && link
                .inbox
                .as_ref()
                .is_none_or(|inbox| inbox.filled().is_empty());
        link.inbox
            .take()
            .into_iter()
            .for_each(|inbox| self.buffers.give_back(inbox));
        self.counters.acked += 1;
        self.downstream.set_outcome(client, End::Succeeded);
        self.downstream.end_response_source(client);
        if clean && is_silent(&self.upstream.links[key].stream) {
            self.keep_upstream(key);
        } else {
            self.drop_upstream(key);
        }
        self.write_answer(client);
        self.downstream.serve_later(client);
        self.hand(
            then,
            AttemptResponse {
                ending: AttemptOutcome::Succeeded,
                load,
                answer: None,
                took,
            },
        );
    }
}
