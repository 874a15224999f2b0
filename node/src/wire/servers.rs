//! Servers: connections to them, pushes written, answers read.

use super::http::{self, Message};
use super::passing::{Passing, HELD_MOST, STALL};
use super::silent;
use crate::memory::buffers::{Buffer, Filled, BODY_LONG, BODY_MOST};
use crate::memory::tables::Table;
use crate::memory::timers::Key;
use crate::proxy::{Proxy, SERVER};
use crankmux::given;
use crankmux::words::{Ending, Load};
use httparse::Header;
use mio::net::TcpStream;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// What a push has come to; an acked one's answer goes with it.
pub struct Outcome {
    pub ending: Ending,
    pub load: Load,
    pub answer: Option<(Buffer, Message)>,
    /// How long it took its server, where that is not the time since the push began.
    pub took: Option<f64>,
}

/// What is next once a push has ended.
pub type Then = Box<dyn FnOnce(&mut Proxy, Outcome)>;

/// How long a connection must have been quiet since its last answer. Danger: a second copy of that answer, right
/// behind it, is read as the next push's. What a server sends in one go comes within this.
const QUIET: f64 = 1.0;

/// What is kept of an op's time for the way of an answer's first bytes: a few times what a turn of the loop takes.
const FOR_THE_WAY: f64 = 20.0;

/// Stands for an op's index on a connection that carries a probe.
pub const NO_OP: usize = usize::MAX;

/// A connection to a server, with the push that it carries, if any.
pub struct Link {
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
    /// The client from which more of the request comes, and whether it goes on in chunks.
    pub feeding: Option<usize>,
    pub chunked: bool,
    fed: bool,
    /// When the last byte of a request fed on had left, and the first of an answer passed on.
    fed_at: Option<f64>,
    pub until: Option<f64>,
    /// When anything last went through it, where it is fed or passes on.
    pub moved: f64,
    patience: f64,
    pub inbox: Option<Buffer>,
    pub message: Option<(Message, Ending, Load)>,
    /// Its answer is being passed on in pieces.
    pub passing: Option<Passing>,
    /// Since when its answer, of unknown length, waits to be whole.
    held_since: Option<f64>,
    pub then: Option<Then>,
    ends: f64,
    pub timer: Option<Key>,
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

pub struct Servers {
    pub links: Table<Link>,
    pub records: Vec<Record>,
    connect_within: f64,
    idle_most: f64,
}

impl Servers {
    /// `most` connections, each to come up within a time and to be closed after another.
    pub fn new(most: usize, connect_within: f64, keepalive: f64) -> Self {
        let (links, records) = (Table::new(most), Vec::new());
        let mut servers = Servers { links, records, connect_within, idle_most: 0.0 };
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
        let link = key.and_then(|key| self.links.get(key)).filter(|l| l.up && l.feeding == Some(client));
        link.is_some_and(|l| l.outbox.as_ref().is_some_and(|o| l.begun && o.held().is_empty()))
    }

    /// Whether a connection may be opened without closing one that a push might use.
    pub fn roomy(&self) -> bool {
        !self.links.full()
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

fn word(status: u16, headers: &[Header]) -> (u16, Ending, Load) {
    let never = http::value(headers, "x-not-processed") == Some("1");
    let ending = match status {
        200 => Ending::Acked,
        503 | 504 if never => Ending::TurnedAway,
        _ => Ending::Errored,
    };
    let mut load = Load::default();
    read_load(http::value(headers, "x-server-load").unwrap_or_default(), &mut load);
    (status, ending, load)
}

/// Reads a report on load; what is no figure of one is passed over.
pub fn read_load(told: &str, load: &mut Load) {
    for part in told.trim().trim_start_matches("TEXT").split(',') {
        if let Some((name, value)) = part.split_once('=') {
            if let Ok(value) = value.trim().parse() {
                given::figure(load, name.trim(), value);
            }
        }
    }
}

impl Link {
    /// It carries a push of which nothing has left.
    pub fn unsent(&self) -> bool {
        !self.begun && self.outbox.is_some()
    }

    /// What its push took the server: not the time in which a client still fed or took its bytes.
    pub fn took(&self, now: f64) -> Option<f64> {
        let told = self.fed_at.is_some() || self.until.is_some();
        told.then(|| self.until.unwrap_or(now) - self.fed_at.unwrap_or(self.began))
    }
}

impl Proxy {
    /// What the list says of a server: where to dial it, or that it gets nothing new.
    pub fn place(&mut self, server: usize, dial: Option<(SocketAddr, f64)>) {
        let records = &mut self.servers.records;
        if records.len() <= server {
            records.resize_with(server + 1, Record::default);
        }
        if records[server].dial != dial {
            // Danger: connections to a process that is no more may stay open and silent.
            records[server].dial = dial;
            for key in std::mem::take(&mut records[server].idle) {
                self.drop_link(key);
            }
        }
    }

    /// Once the whole list is placed: pushes that have not begun leave servers that are not as they were.
    pub fn leave_unsent(&mut self) {
        // Danger: a connection that comes up only now would carry a new push past the grace.
        let records = &self.servers.records;
        let left = |l: &Link| l.unsent() && records[l.server].dial != Some(l.dial);
        for key in self.servers.links.keys(left) {
            self.fail(key, Ending::Unreachable, Load::default());
        }
    }

    /// Sends an op's request, as its client gave it, to a server. The connection's key, or how it failed at once.
    pub fn send(
        &mut self,
        (op, client): (usize, usize),
        server: usize,
        patience: f64,
        then: Then,
    ) -> Result<usize, Ending> {
        let Some(mut outbox) = self.buffers.take() else {
            self.counters.full += 1;
            return Err(Ending::Unsent);
        };
        let request = self.clients.request(client);
        if !request.is_some_and(|(held, message)| http::forward(held, message, patience, &mut outbox)) {
            self.buffers.give(outbox);
            return Err(Ending::Unsent);
        }
        let key = self.send_written(op, server, outbox, patience, then)?;
        if let Some((_, message)) = self.clients.request(client).filter(|(_, message)| !message.whole()) {
            let link = &mut self.servers.links[key];
            (link.feeding, link.fed, link.chunked) = (Some(client), true, message.length().is_none());
            self.clients.feeds(client, key);
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
        then: Then,
    ) -> Result<usize, Ending> {
        let key = match self.idle_link(server).map_or_else(|| self.dial(server), Ok) {
            Ok(key) => key,
            Err(ending) => {
                self.buffers.give(outbox);
                return Err(ending);
            }
        };
        let now = self.now();
        let link = &mut self.servers.links[key];
        (link.op, link.outbox, link.sent, link.whole) = (op, Some(outbox), 0, false);
        (link.feeding, link.begun, link.fed_at, link.until) = (None, false, None, None);
        (link.fed, link.held_since) = (false, None);
        (link.began, link.moved, link.patience, link.ends) = (now, now, patience, now + patience);
        link.then = Some(then);
        let first = if link.up { patience } else { patience.min(self.servers.connect_within) };
        link.timer = Some(self.timers.set(now + first, move |proxy: &mut Proxy| proxy.link_due(key)));
        if link.up {
            self.links_again.push(key);
        }
        Ok(key)
    }

    /// A connection that stands idle and is still open: the one used last, so that others may be closed, but none
    /// that has only just brought its answer.
    fn idle_link(&mut self, server: usize) -> Option<usize> {
        let now = self.now();
        loop {
            let idle = &mut self.servers.records.get_mut(server)?.idle;
            let links = &self.servers.links;
            let key = idle.remove(idle.iter().rposition(|key| now - links[*key].idle_since >= QUIET)?);
            let link = &mut self.servers.links[key];
            self.timers.unset(link.timer.take());
            if silent(&link.stream) {
                return Some(key);
            }
            // Danger: closed meanwhile, or bytes that belong to no push.
            self.drop_link(key);
        }
    }

    fn dial(&mut self, server: usize) -> Result<usize, Ending> {
        if self.servers.links.full() && !self.drop_longest_idle() {
            // Danger: out of descriptors for servers. Nothing was sent, and the op is free to go elsewhere.
            self.counters.full += 1;
            return Err(Ending::Unsent);
        }
        let record = self.servers.records.get(server);
        let dial @ (address, _) = record.and_then(|r| r.dial).ok_or(Ending::Unreachable)?;
        self.counters.dialled += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        let key = self.servers.links.next_key();
        let stream = loop {
            let stream = TcpStream::connect(address).and_then(|mut stream| {
                self.registry.register(&mut stream, SERVER.token(key), both)?;
                Ok(stream)
            });
            match stream.map_err(|e| (e.kind(), e)) {
                Ok(stream) => break stream,
                Err((
                    io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable,
                    _,
                )) => return Err(Ending::Unreachable),
                // Danger: what this machine lacks, descriptors say, would be held against the server, and
                // clients that are idle would keep others' ops from going out.
                Err((_, e)) => {
                    if !self.drop_idle_client() {
                        log::warn!("cannot dial: {e}");
                        self.counters.full += 1;
                        return Err(Ending::Unsent);
                    }
                }
            }
        };
        let _ = stream.set_nodelay(true);
        self.servers.links.insert(Link {
            stream,
            server,
            op: 0,
            dial,
            up: false,
            began: 0.0,
            outbox: None,
            sent: 0,
            begun: false,
            whole: false,
            feeding: None,
            chunked: false,
            fed: false,
            fed_at: None,
            until: None,
            moved: 0.0,
            patience: 0.0,
            inbox: None,
            message: None,
            passing: None,
            held_since: None,
            then: None,
            ends: 0.0,
            timer: None,
            idle_since: 0.0,
        });
        Ok(key)
    }

    pub fn drop_longest_idle(&mut self) -> bool {
        let idle = |link: &Link| link.then.is_none().then_some(link.idle_since);
        let Some(key) = self.servers.links.least(idle) else { return false };
        let server = self.servers.links[key].server;
        self.servers.records[server].idle.retain(|k| *k != key);
        self.drop_link(key);
        true
    }

    /// The one place where a server's connection and buffers are given back.
    pub fn drop_link(&mut self, key: usize) {
        let Some(mut link) = self.servers.links.take(key) else { return };
        if let Some(passing) = link.passing.take() {
            // Danger: an answer that stops short, taken for a whole one. Its client is cut off and can tell.
            self.drop_client(passing.client);
        }
        let _ = self.registry.deregister(&mut link.stream);
        self.timers.unset(link.timer);
        for buffer in [link.outbox, link.inbox].into_iter().flatten() {
            self.buffers.give(buffer);
        }
    }

    /// The push is over: its connection is closed.
    pub fn fail(&mut self, key: usize, ending: Ending, load: Load) {
        let now = self.now();
        let Some(link) = self.servers.links.get_mut(key) else { return };
        let (then, took) = (link.then.take(), link.took(now));
        self.drop_link(key);
        if let Some(then) = then {
            then(self, Outcome { ending, load, answer: None, took });
        }
    }

    /// Danger: a push whose answer is on its way to the client, called off as one of several.
    pub fn cancel(&mut self, key: usize) {
        if self.servers.links.get(key).is_some_and(|link| link.passing.is_some()) {
            return;
        }
        self.fail(key, Ending::Cancelled, Load::default());
    }

    pub fn link_due(&mut self, key: usize) {
        let now = self.now();
        let Some(link) = self.servers.links.get_mut(key) else { return };
        link.timer = None;
        let passing = link.passing.as_ref().map(|passing| passing.client);
        if passing.is_some() || (link.up && link.fed && !link.whole) {
            // Danger: a server that neither takes nor gives, between a client and its end. Whose turn it is to
            // move tells who stalls; a client has a time of its own.
            let waits = passing.map_or_else(
                || link.feeding.is_some() && link.outbox.as_ref().is_none_or(|o| o.held().is_empty()),
                |client| !self.clients.has_taken(client),
            );
            link.moved = if waits { now } else { link.moved };
            if now - link.moved >= STALL {
                log::info!("server {}: nothing has moved for {STALL} ms", link.server);
                let ending = if link.whole { Ending::Broken } else { Ending::Unreachable };
                return self.fail(key, ending, Load::default());
            }
            let at = link.moved + STALL;
            link.timer = Some(self.timers.set(at, move |proxy: &mut Proxy| proxy.link_due(key)));
            return;
        }
        if link.up && now < link.ends {
            let at = link.ends;
            link.timer = Some(self.timers.set(at, move |proxy: &mut Proxy| proxy.link_due(key)));
        } else {
            // Before its last byte is written it cannot have run.
            let ending = if link.whole { Ending::TimedOut } else { Ending::Unreachable };
            let record = &mut self.servers.records[link.server];
            if record.heard < link.began {
                // Danger: a machine that is cut off says nothing, and each of its idle connections would
                // swallow a push. A new one shows at once whether it is there.
                for idle in std::mem::take(&mut record.idle) {
                    self.drop_link(idle);
                }
            }
            self.fail(key, ending, Load::default());
        }
    }

    /// Something has happened on a connection to a server.
    pub fn link(&mut self, key: usize) {
        let Some(link) = self.servers.links.get_mut(key) else { return };
        if link.then.is_none() {
            // Idle: the server has closed it, or speaks out of turn.
            if !silent(&link.stream) {
                let server = link.server;
                self.servers.records[server].idle.retain(|k| *k != key);
                self.drop_link(key);
            }
            return;
        }
        if !link.up {
            if !matches!(link.stream.take_error(), Ok(None)) {
                return self.fail(key, Ending::Unreachable, Load::default());
            }
            if link.stream.peer_addr().is_err() {
                return;
            }
            link.up = true;
            self.servers.records[link.server].heard = self.clock.now();
        }
        if link.feeding.is_some() && !self.feed(key) {
            return;
        }
        let (now, mut fed_whole) = (self.clock.now(), None);
        let Some(link) = self.servers.links.get_mut(key) else { return };
        if let Some(outbox) = link.outbox.as_ref().filter(|_| link.feeding.is_none()) {
            let drained = outbox.drain(&mut link.sent, &mut link.stream);
            link.begun |= link.sent > 0;
            match drained {
                Ok(true) => {
                    link.whole = true;
                    if link.fed {
                        fed_whole = Some(link.op);
                        // An op's time starts with its last byte.
                        (link.fed_at, link.ends) = (Some(now), now + link.patience);
                        self.timers.unset(link.timer.take());
                        let due = move |proxy: &mut Proxy| proxy.link_due(key);
                        link.timer = Some(self.timers.set(link.ends, due));
                    }
                    self.tally.forwards += u64::from(link.op != NO_OP);
                    link.outbox.take().into_iter().for_each(|b| self.buffers.give(b));
                }
                Ok(false) => {}
                // An answer may have come before the request was through; reading tells.
                Err(_) => {}
            }
        }
        if let Some(op) = fed_whole {
            self.body_moves(op, key, true);
        }
        self.read_answer(key);
    }

    fn read_answer(&mut self, key: usize) {
        if self.servers.links[key].passing.is_some() {
            return self.pass(key);
        }
        loop {
            let link = &mut self.servers.links[key];
            let Some(mut inbox) = link.inbox.take().or_else(|| self.buffers.take_last()) else {
                // Danger: no buffer to read into. The answer is lost; the push may have run.
                self.counters.full += 1;
                return self.fail(key, Ending::Broken, Load::default());
            };
            let filled = inbox.fill(&mut link.stream);
            if filled == Filled::Some {
                self.servers.records[link.server].heard = self.clock.now();
            }
            let ended = filled == Filled::Ended;
            let whole = match read(&mut link.message, &mut inbox) {
                Ok(whole) => whole || ended && link.message.as_ref().is_some_and(|(m, ..)| m.ends_here()),
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
                self.begin_passing(key, inbox);
                return self.pass(key);
            }
            let long = |m: &Message| m.length().is_some_and(|l| l > BODY_MOST) || m.end - m.head > BODY_MOST;
            if let Some((_, ending, load)) =
                link.message.as_ref().filter(|(m, e, _)| *e != Ending::Acked && long(m))
            {
                // A refusal needs no long body: its head has said it.
                let (ending, load) = (*ending, *load);
                link.inbox = Some(inbox);
                return self.fail(key, ending, load);
            }
            if link.op != NO_OP && link.may_pass() && link.held_since.is_none() {
                let now = self.clock.now();
                link.held_since = Some(now);
                // Danger: one that begins just before the end of its op's time would be cut off though it comes.
                let at = (now + HELD_MOST).min(link.ends - FOR_THE_WAY).max(now);
                self.timers.set(at, move |proxy: &mut Proxy| proxy.held_back(key, now));
            }
            if inbox.held().is_empty() {
                self.buffers.give(inbox);
            } else {
                link.inbox = Some(inbox);
            }
            match filled {
                Filled::Some => {}
                Filled::Later => return,
                Filled::Ended | Filled::Full => return self.broken(key),
            }
        }
    }

    /// Danger: an answer of unknown length whose server pauses would be held back from a client that waits.
    fn held_back(&mut self, key: usize, since: f64) {
        let Some(link) = self.servers.links.get_mut(key).filter(|l| l.held_since == Some(since)) else {
            return;
        };
        if link.then.is_none() || link.passing.is_some() {
            return;
        }
        if let Some(inbox) = link.inbox.take() {
            self.begin_passing(key, inbox);
            self.pass(key);
        }
    }

    fn broken(&mut self, key: usize) {
        let whole = self.servers.links.get(key).is_some_and(|link| link.whole);
        // What the server never had whole it has not run.
        self.fail(key, if whole { Ending::Broken } else { Ending::Unreachable }, Load::default());
    }

    fn answered(&mut self, key: usize, inbox: Buffer) {
        let link = &mut self.servers.links[key];
        let Some((message, ending, load)) = link.message.take() else { return };
        let (then, took) = (link.then.take(), link.took(self.clock.now()));
        // Danger: an answer before the request was through, or bytes behind it: what comes next on this
        // connection would be read wrongly.
        let clean = message.keep && link.whole && inbox.held().len() == message.end;
        if clean && silent(&link.stream) {
            self.keep_link(key);
        } else {
            self.drop_link(key);
        }
        self.hand(then, Outcome { ending, load, answer: Some((inbox, message)), took });
    }

    /// A connection that has brought a whole answer stands idle, for as long as its server is as it was.
    pub fn keep_link(&mut self, key: usize) {
        let now = self.now();
        let link = &mut self.servers.links[key];
        let server = link.server;
        if self.servers.records[server].dial != Some(link.dial) {
            return self.drop_link(key);
        }
        link.idle_since = now;
        self.timers.unset(link.timer.take());
        let close = move |proxy: &mut Proxy| {
            proxy.servers.records[server].idle.retain(|k| *k != key);
            proxy.drop_link(key);
        };
        link.timer = Some(self.timers.set(now + self.servers.idle_most, close));
        self.servers.records[server].idle.push(key);
    }

    pub fn hand(&mut self, then: Option<Then>, outcome: Outcome) {
        match then {
            Some(then) => then(self, outcome),
            None => outcome.answer.into_iter().for_each(|(inbox, _)| self.buffers.give(inbox)),
        }
    }
}

/// How a message starts, for the log.
pub fn start_of(inbox: &Buffer) -> String {
    inbox.held().iter().take(120).map(|b| std::ascii::escape_default(*b).to_string()).collect()
}

/// Reads on in an answer; whether it is whole.
fn read(at: &mut Option<(Message, Ending, Load)>, inbox: &mut Buffer) -> Result<bool, http::Refused> {
    loop {
        if let Some((message, ..)) = at {
            return message.advance(inbox);
        }
        let Some((message, (status, ending, load))) =
            http::answer(inbox.held(), (BODY_LONG, BODY_LONG), word)?
        else {
            return Ok(false);
        };
        if status >= 200 {
            *at = Some((message, ending, load));
        } else {
            // One of the answers that only say that another will come.
            inbox.cut(0, message.head);
        }
    }
}
