//! The proxy: owns all tables, turns events into calls, and carries an op from its request to its answer.

use crate::life::configuration::Configuration;
use crate::memory::buffers::Buffers;
use crate::memory::counters::Counters;
use crate::memory::ops::Ops;
use crate::memory::timers::{Clock, Timers};
use crate::wire::clients::Clients;
use crate::wire::discovery::Discovery;
use crate::wire::servers::{Outcome, Servers};
use crankmux::dispatcher::{Dispatcher, GivenUp, Next, Pick};
use crankmux::given::Names;
use crankmux::words::{Arrival, Ending, Load, PushEnd};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry, Token};
use std::io;
use std::time::Duration;

pub const LISTENER: Token = Token(0);
pub const SIGNALS: Token = Token(1);
pub const DISCOVERY: Token = Token(2);

/// Tokens of one table: its keys, beside those of the other.
#[derive(Clone, Copy)]
pub struct Side(usize);
pub const CLIENT: Side = Side(0);
pub const SERVER: Side = Side(1);

impl Side {
    pub fn token(self, key: usize) -> Token {
        Token(4 + 2 * key + self.0)
    }
}

pub struct Proxy {
    pub registry: Registry,
    pub clock: Clock,
    pub buffers: Buffers,
    pub timers: Timers<Proxy>,
    pub counters: Counters,
    pub clients: Clients,
    pub servers: Servers,
    pub discovery: Discovery,
    pub ops: Ops,
    pub dispatcher: Dispatcher,
    pub names: Names,
    /// Connections to servers that have something to write.
    pub links_again: Vec<usize>,
    pub probes_out: usize,
    /// Where a request says what it is about, if it does.
    pub key_header: Option<String>,
    pub stop_at: Option<f64>,
}

impl Proxy {
    pub fn new(configuration: Configuration, poll: &Poll) -> io::Result<Self> {
        let mut listener = TcpListener::bind(configuration.listen)?;
        log::info!("listening on {}", listener.local_addr()?);
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let most = configuration.connections;
        // Danger: were all clients' connections bound by ops, others would wait unaccepted, which counts as
        // taken, and be lost. A quarter is left to hear them; their ops get no push and so a quick nack.
        let mut proxy = Proxy {
            registry: poll.registry().try_clone()?,
            clock: Clock::new(),
            buffers: Buffers::new(configuration.buffer_bytes),
            timers: Timers::new(),
            counters: Counters::default(),
            clients: Clients::new(listener, most),
            servers: Servers::new(most, configuration.connect_within, configuration.keepalive),
            discovery: Discovery::new(configuration.discovery),
            ops: Ops::new(most * 3 / 4),
            dispatcher: configuration.dispatcher,
            names: configuration.names,
            links_again: Vec::new(),
            probes_out: 0,
            key_header: configuration.key_header,
            stop_at: None,
        };
        match configuration.known {
            Some(known) => proxy.take_list(&known, true),
            None => proxy.call_list(),
        }
        Ok(proxy)
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn stopping(&self) -> bool {
        self.stop_at.is_some()
    }

    /// Whether clients may come: there is a server to send to, and discovery has been asked.
    pub fn ready(&self) -> bool {
        self.servers.any() && self.discovery.heard && !self.stopping()
    }

    /// Whether everything taken in is answered, and the answers are out.
    pub fn finished(&self) -> bool {
        self.ops.none_waits() && !self.clients.busy()
    }

    /// Does what is due, waits for events until something else is, and does what they call for.
    pub fn turn(&mut self, poll: &mut Poll, events: &mut Events) -> io::Result<bool> {
        let now = self.now();
        while let Some(due) = self.timers.take_due(now) {
            due(self);
            self.settle();
        }
        for (op, next) in self.dispatcher.tick(now) {
            self.follow(op, next);
        }
        if self.dispatcher.wants_list() {
            self.call_list();
        }
        self.send_probes();
        self.settle();
        let due = [self.timers.first(), self.dispatcher.next_tick()].into_iter().flatten();
        let wait = due.min_by(f64::total_cmp).map(|at| (at - self.now()).max(0.0));
        if let Err(e) = poll.poll(events, wait.map(|ms| Duration::from_secs_f64(ms / 1000.0))) {
            if e.kind() != io::ErrorKind::Interrupted {
                return Err(e);
            }
        }
        let mut signalled = false;
        for event in events.iter() {
            match event.token() {
                LISTENER => self.accept(),
                SIGNALS => signalled = true,
                DISCOVERY => self.discovery_event(),
                Token(n) if n % 2 == 0 => self.serve((n - 4) / 2),
                Token(n) => self.link((n - 4) / 2),
            }
            self.settle();
        }
        Ok(signalled)
    }

    /// Does what the last event has left to do on other connections.
    fn settle(&mut self) {
        while !(self.links_again.is_empty() && self.clients.nothing_again()) {
            while let Some(key) = self.links_again.pop() {
                self.link(key);
            }
            self.serve_again();
        }
    }

    // ------------------------------------------------------------ an op's life

    /// An op comes in, under the mark of its client's id.
    pub fn take_in(&mut self, client: usize, arrival: Arrival, mark: u64) -> usize {
        self.counters.taken += 1;
        let now = self.now();
        let op = self.ops.take_in(client, now + arrival.ttl, mark);
        let next = self.dispatcher.pick(now, &Arrival { op, ..arrival });
        self.follow(op, next);
        op
    }

    /// Carries out what is next for an op.
    fn follow(&mut self, op: usize, next: Next) {
        for push in next.cancel {
            if let Some(link) = self.ops.link(op, push) {
                self.cancel(link);
            }
        }
        match next.given_up {
            None => {}
            Some(GivenUp::Nacked { come_back }) => {
                self.counters.nacked += 1;
                self.give_up(op, 503, come_back);
            }
            Some(GivenUp::DeadLettered) => {
                self.counters.dead_lettered += 1;
                self.give_up(op, 502, 0.0);
            }
        }
        for pick in next.picks {
            self.push(op, pick);
        }
        self.ops.drop_if_done(op);
    }

    fn give_up(&mut self, op: usize, status: u16, come_back: f64) {
        if let Some(client) = self.ops.answered(op) {
            self.answer(client, status, come_back);
        }
    }

    fn push(&mut self, op: usize, pick: Pick) {
        let now = self.now();
        let (push, client, ends) = self.ops.push(op);
        let patience = pick.patience.min(ends - now);
        let then = Box::new(move |proxy: &mut Proxy, outcome| proxy.pushed(op, push, now, outcome));
        let sent = match client {
            Some(client) if patience > 0.0 => self.send((op, client), pick.server, patience, then),
            _ => Err(Ending::Unsent),
        };
        match sent {
            Ok(link) => {
                self.counters.sent += 1;
                self.ops.out_at(op, push, link);
            }
            Err(ending) => {
                self.pushed(op, push, now, Outcome { ending, load: Load::default(), answer: None })
            }
        }
    }

    /// A push has ended: the first ack goes to the client, anything else to the decisions.
    fn pushed(&mut self, op: usize, push: usize, at: f64, outcome: Outcome) {
        let Outcome { ending, load, answer } = outcome;
        let count = match ending {
            Ending::Acked => &mut self.counters.push_acked,
            Ending::Errored => &mut self.counters.push_errored,
            Ending::TurnedAway => &mut self.counters.push_turned_away,
            Ending::TimedOut => &mut self.counters.push_timed_out,
            Ending::Unreachable => &mut self.counters.push_unreachable,
            Ending::Broken => &mut self.counters.push_broken,
            Ending::Cancelled | Ending::Unsent => &mut self.counters.push_cancelled,
        };
        *count += 1;
        let now = self.now();
        log::debug!("op {op}: push {push} ended after {:.1} ms: {ending:?}", now - at);
        self.ops.push_ended(op, push);
        let waiting = if ending == Ending::Acked { self.ops.answered(op) } else { None };
        let closed = !self.ops.waits(op);
        if let Some((inbox, message)) = answer {
            if let Some(client) = waiting {
                self.counters.acked += 1;
                self.hand_back(client, inbox.held(), &message);
            }
            self.buffers.give(inbox);
        }
        let next = self.dispatcher.report(now, &PushEnd { op, push, ending, took: now - at, closed, load });
        self.follow(op, next);
    }

    /// The client has left.
    pub fn client_gone(&mut self, op: usize) {
        self.counters.departed += 1;
        if self.ops.answered(op).is_some() {
            let now = self.now();
            let next = self.dispatcher.departed(now, op);
            self.follow(op, next);
        }
    }
}
