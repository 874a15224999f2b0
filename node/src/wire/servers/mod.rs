//! Servers: connections to them, opened, kept and given back. What a push does on one stands in `pushing`.

mod pushing;

pub use pushing::{read_load, start_of};

use super::http::Message;
use super::passing::Passing;
use super::silent;
use crate::memory::buffers::Buffer;
use crate::memory::tables::Table;
use crate::memory::timers::Key;
use crate::proxy::{Proxy, SERVER};
use crankmux::words::{Ending, Load};
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

/// How long a connection must have been quiet since its last answer. Danger: a second copy of that answer,
/// right behind it, is read as the next push's. What a server sends in one go comes within this.
const QUIET: f64 = 1.0;

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

    /// A connection that stands idle and is still open: the one used last, so that others may be closed,
    /// but none that has only just brought its answer.
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
}
