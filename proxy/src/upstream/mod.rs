//! Upstreams: connections to them, opened, kept and given back. What a push does on one stands in `pushing`.

mod attempts;
mod connection_pool;
mod load_probes;

use crate::buffers::{Buffer, ReadOutcome, MAX_BUFFERED_BODY_BYTES};
use crate::http::Message;
use crate::slot_table::SlotTable;
use crate::socket::is_silent;
use crate::streaming::{Passing, FIRST};
use crate::timers::TimerKey;
use crate::tokens::SERVER;
use crankmux::settings;
use crankmux::types::{AttemptOutcome, LoadReport};
use mio::net::TcpStream;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// Reads a report on load; what is no figure of one is passed over.
pub fn read_load(told: &str, load: &mut LoadReport) {
    for part in told.trim().trim_start_matches("TEXT").split(',') {
        if let Some((name, value)) = part.split_once('=') {
            if let Ok(value) = value.trim().parse() {
                settings::set_load_value(load, name.trim(), value);
            }
        }
    }
}

/// How a message starts, for the log.
pub fn start_of(inbox: &Buffer) -> String {
    inbox
        .filled()
        .iter()
        .take(120)
        .map(|b| std::ascii::escape_default(*b).to_string())
        .collect()
}

/// What a push has come to; an acked one's answer goes with it.
pub struct AttemptResponse {
    pub ending: AttemptOutcome,
    pub load: LoadReport,
    pub answer: Option<(Buffer, Message)>,
    /// How long it took its server, where that is not the time since the push began.
    pub took: Option<f64>,
}

/// What is next once a push has ended.
pub type CompletionCallback<P> = Box<dyn FnOnce(&mut P, AttemptResponse)>;

/// How long a connection must have been quiet since its last answer. Danger: a second copy of that answer,
/// right behind it or some milliseconds late, is read as the next push's. Some are no more than ten; at twice
/// that, new connections cost 0.01 to 0.02 of G on the short days.
const QUIET: f64 = 10.0;

/// Stands for an op's index on a connection that carries a probe.
pub const NO_OP: usize = usize::MAX;

/// A connection to a server, with the push that it carries, if any.
pub struct UpstreamConnection<P> {
    pub stream: TcpStream,
    pub server: usize,
    /// Whose push it carries, or carried last.
    pub op: usize,
    /// The process it was opened to.
    dial: (SocketAddr, f64),
    up: bool,
    began: f64,
    pub outbox: Option<Buffer>,
    pub sent: usize,
    /// Something of its push has left, and all of it.
    pub begun: bool,
    pub whole: bool,
    /// A write has failed. Danger: it took the error along, and a read then tells of an end in good order.
    broke: bool,
    /// The client from which more of the request comes, and whether it goes on in chunks.
    pub feeding: Option<usize>,
    pub chunked: bool,
    fed: bool,
    /// Since when all that its server has yet to take lies here: its client has sent its last byte.
    rest_since: Option<f64>,
    /// When the last byte of a request fed on had left, and the first of an answer passed on.
    fed_at: Option<f64>,
    pub until: Option<f64>,
    /// When anything last went through it, where it is fed or passes on.
    pub moved: f64,
    patience: f64,
    pub inbox: Option<Buffer>,
    pub message: Option<(Message, AttemptOutcome, LoadReport)>,
    /// Its answer is being passed on in pieces.
    pub passing: Option<Passing>,
    /// Since when its answer, of unknown length, waits to be whole.
    held_since: Option<f64>,
    pub then: Option<CompletionCallback<P>>,
    ends: f64,
    pub timer: Option<TimerKey>,
    idle_since: f64,
}

#[derive(Default)]
pub struct Record {
    /// Where to dial it, and when it last started; none where it gets nothing new.
    dial: Option<(SocketAddr, f64)>,
    pub idle: Vec<usize>,
    /// When any of its connections last came up or brought something.
    pub heard: f64,
}

pub struct Upstreams<P> {
    pub links: SlotTable<UpstreamConnection<P>>,
    pub records: Vec<Record>,
    connect_within: f64,
    idle_most: f64,
}

impl<P> Upstreams<P> {
    /// `most` connections, each to come up within a time and to be closed after another.
    pub fn new(most: usize, connect_within: f64, keepalive: f64) -> Self {
        let (links, records) = (SlotTable::new(most), Vec::new());
        let mut servers = Upstreams {
            links,
            records,
            connect_within,
            idle_most: 0.0,
        };
        servers.take_times(connect_within, keepalive);
        servers
    }

    /// Both times, for connections that are used from now on.
    pub fn take_times(&mut self, connect_within: f64, keepalive: f64) {
        // Danger: a push written while the server closes is lost and may have run. Three quarters leave
        // room for what both sides' clocks and the way there differ by.
        (self.connect_within, self.idle_most) = (connect_within, 0.75 * keepalive);
    }

    /// Whether a connection waits for more of a client's request.
    pub fn hungry(&self, key: Option<usize>, client: usize) -> bool {
        let link = key
            .and_then(|key| self.links.get(key))
            .filter(|l| l.up && l.feeding == Some(client));
        link.is_some_and(|l| {
            l.outbox
                .as_ref()
                .is_some_and(|o| l.begun && o.filled().is_empty())
        })
    }

    /// Whether a connection may be opened without closing one that a push might use.
    pub fn roomy(&self) -> bool {
        !self.links.is_full()
    }

    /// All servers' indices are under this.
    pub fn met(&self) -> usize {
        self.records.len()
    }

    /// Whether any server may be sent to.
    pub fn any(&self) -> bool {
        self.records.iter().any(|r| r.dial.is_some())
    }
}

impl<P> UpstreamConnection<P> {
    /// It carries a push of which nothing has left.
    pub fn unsent(&self) -> bool {
        !self.begun && self.outbox.is_some()
    }

    /// What its push took the server: not the time in which a client still fed or took its bytes.
    pub fn took(&self, now: f64) -> Option<f64> {
        let told = self.fed_at.is_some() || self.until.is_some();
        told.then(|| self.until.unwrap_or(now) - self.fed_at.unwrap_or(self.began))
    }

    /// Whether its answer may be passed on in pieces: a good one to a request written whole.
    pub fn good(&self) -> bool {
        self.whole
            && self
                .message
                .as_ref()
                .is_some_and(|(_, ending, _)| *ending == AttemptOutcome::Succeeded)
    }

    /// Whether it is to be passed on now.
    pub fn passes(&self, inbox: &Buffer) -> bool {
        let Some((message, ..)) = self.message.as_ref().filter(|_| self.good()) else {
            return false;
        };
        let here = inbox.filled().len() - message.body_start;
        here > MAX_BUFFERED_BODY_BYTES
            || (message
                .body_length()
                .is_some_and(|l| l > MAX_BUFFERED_BODY_BYTES)
                && here >= FIRST)
    }

    /// Whether it will be passed on if it is not whole soon.
    pub fn may_pass(&self) -> bool {
        let message = self.message.as_ref().filter(|_| self.good());
        message.is_some_and(|(m, ..)| {
            m.body_length()
                .is_none_or(|length| length > MAX_BUFFERED_BODY_BYTES)
        })
    }

    /// Writes what stands to be written; whether all of it has left.
    pub fn drained(&mut self) -> bool {
        let Some(outbox) = &mut self.outbox else {
            return true;
        };
        let drained = outbox.write_to(&mut self.sent, &mut self.stream);
        self.begun |= self.sent > 0;
        self.broke |= drained.is_err();
        if !matches!(drained, Ok(true)) {
            // An error shows as the connection is read.
            return false;
        }
        outbox.remove(0..self.sent);
        self.sent = 0;
        true
    }

    /// Reads what has come of an answer.
    pub fn fill(&mut self, inbox: &mut Buffer) -> ReadOutcome {
        match inbox.read_from(&mut self.stream) {
            ReadOutcome::Closed if self.broke => ReadOutcome::Failed,
            filled => filled,
        }
    }
}
