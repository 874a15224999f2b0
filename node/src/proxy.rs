//! The proxy: owns all tables, turns events into calls, and carries an op from its request to its answer.

use crate::life::configuration::{self, Configuration};
use crate::life::descriptors::Spare;

use crate::life::state::State;
use crate::life::upgrade::{self, Upgrade};
use crate::listening::bound;
use crate::memory::buffers::Buffers;
use crate::memory::counters::Counters;
use crate::memory::ops::Ops;
use crate::memory::tally::Tally;
use crate::memory::timers::{Clock, Timers};
use crate::names::read_list;
use crate::tokens::*;
use crate::wire::admin::{self, Door};
use crate::wire::bans::Bans;
use crate::wire::clients::Clients;
use crate::wire::discovery::Discovery;
use crate::wire::fleet::{Entry, Members};
use crate::wire::servers::{Outcome, Servers};
use crankmux::dispatcher::{Dispatcher, GivenUp, Next, Pick};
use crankmux::given::Names;
use crankmux::words::{Arrival, Ending, Load, PushEnd};
use mio::event::Event;
use mio::net::TcpListener;
use mio::{Events, Poll, Registry, Token};
use serde_json::Value;
use std::io;
use std::time::Duration;

/// For so long, in milliseconds, a new process leaves clients with the system until discovery has spoken. Danger:
/// what the agent knows counts from the process's first moment, and the list that it starts with is older. The
/// agent is on this machine and answers at once; a tenth of a second tells that it is silent.
const FIRST_LIST: f64 = 100.0;

pub struct Proxy {
    pub registry: Registry,
    pub clock: Clock,
    pub buffers: Buffers,
    pub timers: Timers<Proxy>,
    pub counters: Counters,
    pub tally: Tally,
    pub door: Door,
    pub clients: Clients,
    pub servers: Servers<Proxy>,
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
    /// Whatever is not answered by then won't be, once it is stopping.
    pub end_at: f64,
    /// Of all categories.
    pub longest_ttl: f64,
    /// The configuration in force.
    pub running: Value,
    pub state: State,
    pub bans: Bans,
    pub upgrade: Upgrade,
    pub spare: Spare,
    /// The other nodes, where a charter has them known; and what they leave to this one.
    pub entry: Option<Entry>,
    pub members: Option<Members>,
    pub fleet_shares: Option<(f64, f64)>,
    sockets: usize,
    buffer_bytes: usize,
}

impl Proxy {
    pub fn new(configuration: Configuration, entry: Option<Entry>, poll: &Poll) -> Result<Self, String> {
        let of_listen = |e: io::Error| format!("listen: {}: {e}", configuration.listen);
        let text = |e: io::Error| e.to_string();
        let state = State::of(&configuration.name);
        let mut handed = upgrade::ask(&state, configuration.listen);
        let (list, once, learnt) = handed.as_mut().map_or_else(Default::default, |handed| {
            (handed.list.take(), std::mem::take(&mut handed.once), handed.learnt.take())
        });
        let taken = handed.as_ref().map(|h| h.listener.try_clone());
        let listener = taken.unwrap_or_else(|| bound(configuration.listen)).map_err(of_listen)?;
        listener.set_nonblocking(true).map_err(of_listen)?;
        let listener = TcpListener::from_std(listener);
        let door = configuration.admin.map(|address| admin::listen(address, poll.registry()));
        let door = door.transpose().map_err(|e| format!("admin_addr: {e}"))?;
        let most = configuration::connections(configuration.sockets as f64);
        let upgrade = Upgrade::new(handed, &state, poll.registry()).map_err(text)?;
        log::info!("listening on {}", listener.local_addr().map_err(of_listen)?);
        // Danger: were all clients' connections bound by ops, others would wait unaccepted, which counts as
        // taken, and be lost. A quarter is left to hear them; their ops get no push and so a quick nack.
        let mut proxy = Proxy {
            registry: poll.registry().try_clone().map_err(text)?,
            clock: Clock::new(),
            buffers: Buffers::new(configuration.buffer_bytes),
            timers: Timers::new(),
            counters: Counters::default(),
            tally: Tally::default(),
            door: Door::new(door),
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
            end_at: f64::INFINITY,
            longest_ttl: configuration.longest_ttl,
            running: configuration.whole,
            state,
            bans: Bans::default(),
            upgrade,
            spare: Spare::new(),
            entry,
            members: None,
            fleet_shares: None,
            sockets: configuration.sockets,
            buffer_bytes: configuration.buffer_bytes,
        };
        once.into_iter().for_each(|mark| proxy.bans.listed(mark));
        // Before any list: nothing may go to a server that was taken out before this start.
        proxy.watch_bans();
        proxy.take_share();
        // Before any list: what it tells is for the others too.
        proxy.join_fleet()?;
        let known = if list.is_null() { configuration.known } else { list };
        match known.is_null() {
            false => {
                let read = read_list(&mut proxy.names, &known).map_err(|e| format!("known: {e}"))?;
                proxy.discovery.keep(&known);
                proxy.discovery.go_on_from(&read);
                proxy.take_list(&read, true);
            }
            true => proxy.call_list(),
        }
        proxy.inherit(&learnt);
        if !proxy.upgrade.holds_back {
            let at = proxy.now() + FIRST_LIST;
            proxy.timers.set(at, |proxy: &mut Proxy| proxy.first_listen());
        }
        Ok(proxy)
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn stopping(&self) -> bool {
        self.stop_at.is_some()
    }

    /// Descriptors that it may hold, of which each has one event at most.
    pub fn sockets(&self) -> usize {
        self.sockets
    }

    /// Hears clients, as discovery has spoken or won't.
    pub fn first_listen(&mut self) {
        if !self.stopping() && !self.upgrade.holds_back && !self.upgrade.followed() {
            self.listen();
        }
    }

    /// Whether clients may come: there is a server to send to, and discovery has been asked.
    pub fn ready(&self) -> bool {
        self.servers.any() && self.discovery.heard && !self.stopping()
    }

    /// Lives on its share of the node's limits.
    pub fn take_share(&mut self) {
        let share = self.upgrade.share();
        // Each process has descriptors of its own beside those of clients and servers.
        let connections = configuration::connections(self.sockets as f64 * share);
        self.clients.resize(connections);
        self.servers.links.resize(connections);
        self.ops.resize(connections * 3 / 4);
        self.buffers.resize((self.buffer_bytes as f64 * share) as usize);
        while self.servers.links.over() && self.drop_longest_idle() {}
        while self.clients.over() && self.drop_idle_client() {}
        let nodes = self.fleet_shares.map(|(nodes, _)| nodes);
        self.dispatcher.share(share, nodes, self.fleet_shares.map_or(1.0, |(_, cold)| cold));
    }

    /// Whether everything taken in is answered, and the answers are out.
    pub fn finished(&self) -> bool {
        self.ops.none_waits() && !self.clients.busy()
    }

    /// Waits for events until something is due, does what they call for, then what was due before it looked.
    /// Danger: a process that was kept from running finds an answer, a client's end and the time at which
    /// either is too late at one moment. Whatever lay ready by a time is heard before that time counts.
    pub fn turn(&mut self, poll: &mut Poll, events: &mut Events) -> io::Result<bool> {
        let looked = self.now();
        let fleet = self.members.as_ref().map(|members| members.next_due());
        let due = [self.timers.first(), self.dispatcher.next_tick(), fleet].into_iter().flatten();
        let wait = due.min_by(f64::total_cmp).map(|at| (at - looked).max(0.0));
        if let Err(e) = poll.poll(events, wait.map(|ms| Duration::from_secs_f64(ms / 1000.0))) {
            if e.kind() != io::ErrorKind::Interrupted {
                return Err(e);
            }
        }
        let signalled = self.hear_all(events);
        while let Some(due) = self.timers.take_due(looked) {
            due(self);
            self.settle();
        }
        let now = self.now();
        for (op, next) in self.dispatcher.tick(now, looked) {
            self.follow(op, next);
        }
        if self.dispatcher.wants_list() {
            self.call_list();
        }
        self.send_probes();
        self.meet_fleet();
        if self.upgrade.holds_back && self.ready() {
            self.take_clients_in();
        }
        self.settle();
        Ok(signalled)
    }

    /// Does what events call for; whether a signal is among them.
    fn hear_all(&mut self, events: &Events) -> bool {
        // Danger: a server's failure, or a place that falls free, would send on the op of a client whose end
        // lies there too. Noted before anything is done: a key may stand for another client after that.
        let ends = |event: &&Event| event.is_read_closed() || event.is_error();
        for Token(n) in events.iter().filter(ends).map(|event| event.token()) {
            if n >= TABLES && (n - TABLES).is_multiple_of(2) {
                self.clients.has_ended((n - TABLES) / 2);
            }
        }
        let mut signalled = false;
        // Danger: under a flood of clients an operator would wait for all of them.
        for Token(at) in events.iter().map(|event| event.token()) {
            match at {
                _ if at == DOOR.0 => self.open_door(),
                _ if at == HANDOVER.0 => self.hand_over(),
                _ if at == NEWER.0 => self.newer_event(),
                _ if at == OLDER.0 => self.older_event(),
                _ if at == FLEET.0 => self.hear_fleet(),
                _ if (CALLERS.0..TABLES).contains(&at) => self.hear_caller(at - CALLERS.0),
                // Danger: a drain lies there, and a push to that server goes out ahead of it.
                _ if at == DISCOVERY.0 => self.discovery_event(),
                _ => continue,
            }
            self.settle();
        }
        for client in self.clients.ended() {
            self.serve(client);
            self.settle();
        }
        for event in events.iter() {
            match event.token() {
                Token(n) if (DOOR.0..TABLES).contains(&n) => continue,
                LISTENER => self.accept(),
                SIGNALS => signalled = true,
                DISCOVERY => continue,
                Token(n) if (n - TABLES).is_multiple_of(2) => self.serve((n - TABLES) / 2),
                Token(n) => self.link((n - TABLES) / 2),
            }
            self.settle();
        }
        signalled
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
        // Danger: what is taken in near the end of a process must be answered before that.
        let ttl = arrival.ttl.min((self.end_at - now).max(1.0));
        let op = self.ops.take_in(client, now + ttl, mark);
        let next = self.dispatcher.pick(now, &Arrival { op, ttl, ..arrival });
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
        let to = pick.server;
        self.members.iter_mut().for_each(|members| members.shares.pushes(to, false));
        let patience = pick.patience.min(ends - now);
        let then = Box::new(move |proxy: &mut Proxy, outcome| proxy.pushed((op, push), to, now, outcome));
        let sent = match client {
            Some(client) if patience > 0.0 => self.send((op, client), pick.server, patience, then),
            _ => Err(Ending::Unsent),
        };
        match sent {
            Ok(link) => {
                self.counters.sent += 1;
                self.ops.out_at(op, push, link);
            }
            Err(ending) => self.pushed(
                (op, push),
                to,
                now,
                Outcome { ending, load: Load::default(), answer: None, took: None },
            ),
        }
    }

    /// A push's long body has begun to go to its server, is there whole, or begins to come back.
    pub fn body_moves(&mut self, op: usize, link: usize, works: bool) {
        if let Some(push) = self.ops.push_on(op, link) {
            let now = self.now();
            self.dispatcher.began(now, op, push, works);
        }
    }

    /// A push has ended: the first ack goes to the client, anything else to the decisions.
    fn pushed(&mut self, (op, push): (usize, usize), server: usize, at: f64, outcome: Outcome) {
        let Outcome { ending, load, answer, took } = outcome;
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
        if let Some(members) = &mut self.members {
            members.shares.pushes(server, true);
            load.held.iter().for_each(|held| members.shares.reported(now, server, *held));
        }
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
        let took = took.unwrap_or(now - at);
        let next = self.dispatcher.report(now, &PushEnd { op, push, ending, took, closed, load });
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
