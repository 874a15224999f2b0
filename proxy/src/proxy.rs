//! The proxy: owns all tables, turns events into calls, and carries an op from its request to its answer.

use crate::config::configuration::{self, Configuration};
use crate::lifecycle::file_descriptors::ReservedDescriptors;

use crate::admin::disabled_endpoints::DisabledEndpoints;
use crate::admin::{self, AdminServer};
use crate::buffers::BufferPool;
use crate::cluster::{Cluster, ClusterConfig};
use crate::discovery::Discovery;
use crate::downstream::DownstreamConnections;
use crate::endpoint_list::read_list;
use crate::lifecycle::state_directory::StateDirectory;
use crate::lifecycle::upgrade::{self, Upgrade};
use crate::listener::bound;
use crate::metrics::access::AccessMetrics;
use crate::metrics::counters::Counters;
use crate::requests::Requests;
use crate::timers::{Clock, Timers};
use crate::tokens::*;
use crate::upstream::{AttemptResponse, Upstreams};
use crankmux::dispatcher::{Dispatcher, FinalAnswer, NewAttempt, NextSteps};
use crankmux::settings::NameIndex;
use crankmux::types::{AttemptOutcome, AttemptResult, LoadReport, NewRequest};
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
    pub buffers: BufferPool,
    pub timers: Timers<Proxy>,
    pub counters: Counters,
    pub access_metrics: AccessMetrics,
    pub admin: AdminServer,
    pub downstream: DownstreamConnections,
    pub upstream: Upstreams<Proxy>,
    pub discovery: Discovery,
    pub requests: Requests,
    pub dispatcher: Dispatcher,
    pub name_index: NameIndex,
    /// Connections to servers that have something to write.
    pub writable_upstream: Vec<usize>,
    pub probes_in_flight: usize,
    /// Where a request says what it is about, if it does.
    pub key_header: Option<String>,
    pub shutdown_at: Option<f64>,
    /// Whatever is not answered by then won't be, once it is stopping.
    pub answer_by: f64,
    /// Of all categories.
    pub longest_ttl_ms: f64,
    /// The configuration in force.
    pub active_configuration: Value,
    pub state_directory: StateDirectory,
    pub disabled_endpoints: DisabledEndpoints,
    pub upgrade: Upgrade,
    pub reserved_descriptors: ReservedDescriptors,
    /// The other nodes, where a charter has them known; and what they leave to this one.
    pub cluster_config: Option<ClusterConfig>,
    pub cluster: Option<Cluster>,
    pub cluster_shares: Option<(f64, f64)>,
    sockets: usize,
    buffer_bytes: usize,
}

impl Proxy {
    pub fn new(
        configuration: Configuration,
        entry: Option<ClusterConfig>,
        poll: &Poll,
    ) -> Result<Self, String> {
        let of_listen = |e: io::Error| format!("listen: {}: {e}", configuration.listen);
        let text = |e: io::Error| e.to_string();
        let state = StateDirectory::of(&configuration.name);
        let mut handed = upgrade::ask(&state, configuration.listen);
        let (list, once, learnt) = handed.as_mut().map_or_else(Default::default, |handed| {
            (
                handed.list.take(),
                std::mem::take(&mut handed.once),
                handed.learnt.take(),
            )
        });
        let taken = handed.as_ref().map(|h| h.listener.try_clone());
        let listener = taken
            .unwrap_or_else(|| bound(configuration.listen))
            .map_err(of_listen)?;
        listener.set_nonblocking(true).map_err(of_listen)?;
        let listener = TcpListener::from_std(listener);
        let door = configuration
            .admin
            .map(|address| admin::listen(address, poll.registry()));
        let door = door.transpose().map_err(|e| format!("admin_addr: {e}"))?;
        let most = configuration::connections(configuration.sockets as f64);
        let upgrade = Upgrade::new(handed, &state, poll.registry()).map_err(text)?;
        log::info!("listening on {}", listener.local_addr().map_err(of_listen)?);
        // Danger: were all clients' connections bound by ops, others would wait unaccepted, which counts as
        // taken, and be lost. A quarter is left to hear them; their ops get no push and so a quick nack.
        let mut proxy = Proxy {
            registry: poll.registry().try_clone().map_err(text)?,
            clock: Clock::new(),
            buffers: BufferPool::new(configuration.buffer_bytes),
            timers: Timers::new(),
            counters: Counters::default(),
            access_metrics: AccessMetrics::default(),
            admin: AdminServer::new(door),
            downstream: DownstreamConnections::new(listener, most),
            upstream: Upstreams::new(most, configuration.connect_within, configuration.keepalive),
            discovery: Discovery::new(configuration.discovery),
            requests: Requests::new(most * 3 / 4),
            dispatcher: configuration.dispatcher,
            name_index: configuration.names,
            writable_upstream: Vec::new(),
            probes_in_flight: 0,
            key_header: configuration.key_header,
            shutdown_at: None,
            answer_by: f64::INFINITY,
            longest_ttl_ms: configuration.longest_ttl,
            active_configuration: configuration.whole,
            state_directory: state,
            disabled_endpoints: DisabledEndpoints::default(),
            upgrade,
            reserved_descriptors: ReservedDescriptors::new(),
            cluster_config: entry,
            cluster: None,
            cluster_shares: None,
            sockets: configuration.sockets,
            buffer_bytes: configuration.buffer_bytes,
        };
        once.into_iter()
            .for_each(|mark| proxy.disabled_endpoints.listed(mark));
        // Before any list: nothing may go to a server that was taken out before this start.
        proxy.watch_disabled_endpoints();
        proxy.apply_process_share();
        // Before any list: what it tells is for the others too.
        proxy.join_cluster()?;
        let known = if list.is_null() {
            configuration.known
        } else {
            list
        };
        match known.is_null() {
            false => {
                let read =
                    read_list(&mut proxy.name_index, &known).map_err(|e| format!("known: {e}"))?;
                proxy.discovery.keep(&known);
                proxy.discovery.go_on_from(&read);
                proxy.apply_endpoint_list(&read, true);
            }
            true => proxy.poll_endpoints(),
        }
        proxy.restore_learned_state(&learnt);
        if !proxy.upgrade.holds_back {
            let at = proxy.now() + FIRST_LIST;
            proxy
                .timers
                .set(at, |proxy: &mut Proxy| proxy.listen_after_first_list());
        }
        Ok(proxy)
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn stopping(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// Descriptors that it may hold, of which each has one event at most.
    pub fn sockets(&self) -> usize {
        self.sockets
    }

    /// Hears clients, as discovery has spoken or won't.
    pub fn listen_after_first_list(&mut self) {
        if !self.stopping() && !self.upgrade.holds_back && !self.upgrade.followed() {
            self.listen();
        }
    }

    /// Whether clients may come: there is a server to send to, and discovery has been asked.
    pub fn ready(&self) -> bool {
        self.upstream.any() && self.discovery.heard && !self.stopping()
    }

    /// Lives on its share of the node's limits.
    pub fn apply_process_share(&mut self) {
        let share = self.upgrade.share();
        // Each process has descriptors of its own beside those of clients and servers.
        let connections = configuration::connections(self.sockets as f64 * share);
        self.downstream.set_capacity(connections);
        self.upstream.links.set_capacity(connections);
        self.requests.resize(connections * 3 / 4);
        self.buffers
            .resize((self.buffer_bytes as f64 * share) as usize);
        while self.upstream.links.is_over_capacity() && self.close_longest_idle_upstream() {}
        while self.downstream.is_over_capacity() && self.close_idle_downstream() {}
        let nodes = self.cluster_shares.map(|(nodes, _)| nodes);
        self.dispatcher.set_process_share(
            share,
            nodes,
            self.cluster_shares.map_or(1.0, |(_, cold)| cold),
        );
    }

    /// Whether everything taken in is answered, and the answers are out.
    pub fn finished(&self) -> bool {
        self.requests.none_waits() && !self.downstream.any_busy()
    }

    /// Waits for events until something is due, does what they call for, then what was due before it looked.
    /// Danger: a process that was kept from running finds an answer, a client's end and the time at which
    /// either is too late at one moment. Whatever lay ready by a time is heard before that time counts.
    pub fn turn(&mut self, poll: &mut Poll, events: &mut Events) -> io::Result<bool> {
        let looked = self.now();
        let fleet = self.cluster.as_ref().map(|members| members.next_due());
        let due = [
            self.timers.next_due_ms(),
            self.dispatcher.next_tick(),
            fleet,
        ]
        .into_iter()
        .flatten();
        let wait = due.min_by(f64::total_cmp).map(|at| (at - looked).max(0.0));
        if let Err(e) = poll.poll(events, wait.map(|ms| Duration::from_secs_f64(ms / 1000.0))) {
            if e.kind() != io::ErrorKind::Interrupted {
                return Err(e);
            }
        }
        let signalled = self.dispatch_events(events);
        while let Some(due) = self.timers.take_due(looked) {
            due(self);
            self.settle();
        }
        let now = self.now();
        for (op, next) in self.dispatcher.tick(now, looked) {
            self.follow(op, next);
        }
        if self.dispatcher.take_list_request() {
            self.poll_endpoints();
        }
        self.send_load_probes();
        self.run_cluster();
        if self.upgrade.holds_back && self.ready() {
            self.start_accepting();
        }
        self.settle();
        Ok(signalled)
    }

    /// Does what events call for; whether a signal is among them.
    fn dispatch_events(&mut self, events: &Events) -> bool {
        // Danger: a server's failure, or a place that falls free, would send on the op of a client whose end
        // lies there too. Noted before anything is done: a key may stand for another client after that.
        let ends = |event: &&Event| event.is_read_closed() || event.is_error();
        for Token(n) in events.iter().filter(ends).map(|event| event.token()) {
            if n >= TABLES && (n - TABLES).is_multiple_of(2) {
                self.downstream.mark_closed((n - TABLES) / 2);
            }
        }
        let mut signalled = false;
        // Danger: under a flood of clients an operator would wait for all of them.
        for Token(at) in events.iter().map(|event| event.token()) {
            match at {
                _ if at == DOOR.0 => self.accept_admin_callers(),
                _ if at == HANDOVER.0 => self.accept_newer_process(),
                _ if at == NEWER.0 => self.newer_process_event(),
                _ if at == OLDER.0 => self.older_process_event(),
                _ if at == FLEET.0 => self.cluster_event(),
                _ if (CALLERS.0..TABLES).contains(&at) => self.admin_event(at - CALLERS.0),
                // Danger: a drain lies there, and a push to that server goes out ahead of it.
                _ if at == DISCOVERY.0 => self.discovery_event(),
                _ => continue,
            }
            self.settle();
        }
        for client in self.downstream.take_closed() {
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
        while !(self.writable_upstream.is_empty() && self.downstream.none_ready()) {
            while let Some(key) = self.writable_upstream.pop() {
                self.link(key);
            }
            self.serve_ready_clients();
        }
    }

    // ------------------------------------------------------------ an op's life

    /// An op comes in, under the mark of its client's id.
    pub fn admit(&mut self, client: usize, arrival: NewRequest, mark: u64) -> usize {
        self.counters.taken += 1;
        let now = self.now();
        // Danger: what is taken in near the end of a process must be answered before that.
        let ttl = arrival.ttl_ms.min((self.answer_by - now).max(1.0));
        let op = self.requests.admit(client, now + ttl, mark);
        let next = self.dispatcher.request_arrived(
            now,
            &NewRequest {
                request: op,
                ttl_ms: ttl,
                ..arrival
            },
        );
        self.follow(op, next);
        op
    }

    /// Carries out what is next for an op.
    fn follow(&mut self, op: usize, next: NextSteps) {
        for push in next.cancel {
            if let Some(link) = self.requests.link(op, push) {
                self.cancel(link);
            }
        }
        match next.final_answer {
            None => {}
            Some(FinalAnswer::Rejected {
                retry_after_ms: come_back,
            }) => {
                self.counters.nacked += 1;
                self.give_up(op, 503, come_back);
            }
            Some(FinalAnswer::Failed) => {
                self.counters.dead_lettered += 1;
                self.give_up(op, 502, 0.0);
            }
        }
        for pick in next.attempts {
            self.push(op, pick);
        }
        self.requests.drop_if_done(op);
    }

    fn give_up(&mut self, op: usize, status: u16, come_back: f64) {
        if let Some(client) = self.requests.answered(op) {
            self.answer(client, status, come_back);
        }
    }

    fn push(&mut self, op: usize, pick: NewAttempt) {
        let now = self.now();
        let (push, client, ends) = self.requests.push(op);
        let to = pick.endpoint;
        self.cluster
            .iter_mut()
            .for_each(|members| members.shares.pushes(to, false));
        let patience = pick.timeout_ms.min(ends - now);
        let then =
            Box::new(move |proxy: &mut Proxy, outcome| proxy.pushed((op, push), to, now, outcome));
        let sent = match client {
            Some(client) if patience > 0.0 => {
                self.send((op, client), pick.endpoint, patience, then)
            }
            _ => Err(AttemptOutcome::NotSent),
        };
        match sent {
            Ok(link) => {
                self.counters.sent += 1;
                self.requests.out_at(op, push, link);
            }
            Err(ending) => self.pushed(
                (op, push),
                to,
                now,
                AttemptResponse {
                    ending,
                    load: LoadReport::default(),
                    answer: None,
                    took: None,
                },
            ),
        }
    }

    /// A push's long body has begun to go to its server, is there whole, or begins to come back.
    pub fn streaming_progress(&mut self, op: usize, link: usize, works: bool) {
        if let Some(push) = self.requests.push_on(op, link) {
            let now = self.now();
            self.dispatcher.streaming(now, op, push, works);
        }
    }

    /// A push has ended: the first ack goes to the client, anything else to the decisions.
    fn pushed(
        &mut self,
        (op, push): (usize, usize),
        server: usize,
        at: f64,
        outcome: AttemptResponse,
    ) {
        let AttemptResponse {
            ending,
            load,
            answer,
            took,
        } = outcome;
        let count = match ending {
            AttemptOutcome::Succeeded => &mut self.counters.push_acked,
            AttemptOutcome::Failed => &mut self.counters.push_errored,
            AttemptOutcome::Rejected => &mut self.counters.push_turned_away,
            AttemptOutcome::TimedOut => &mut self.counters.push_timed_out,
            AttemptOutcome::Unreachable => &mut self.counters.push_unreachable,
            AttemptOutcome::ConnectionLost => &mut self.counters.push_broken,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {
                &mut self.counters.push_cancelled
            }
        };
        *count += 1;
        let now = self.now();
        if let Some(members) = &mut self.cluster {
            members.shares.pushes(server, true);
            load.in_flight
                .iter()
                .for_each(|held| members.shares.reported(now, server, *held));
        }
        log::debug!(
            "op {op}: push {push} ended after {:.1} ms: {ending:?}",
            now - at
        );
        self.requests.push_ended(op, push);
        let waiting = if ending == AttemptOutcome::Succeeded {
            self.requests.answered(op)
        } else {
            None
        };
        let closed = !self.requests.waits(op);
        if let Some((inbox, message)) = answer {
            if let Some(client) = waiting {
                self.counters.acked += 1;
                self.hand_back(client, inbox.filled(), &message);
            }
            self.buffers.give_back(inbox);
        }
        let took = took.unwrap_or(now - at);
        let next = self.dispatcher.attempt_ended(
            now,
            &AttemptResult {
                request: op,
                attempt: push,
                outcome: ending,
                duration_ms: took,
                request_closed: closed,
                load,
            },
        );
        self.follow(op, next);
    }

    /// The client has left.
    pub fn client_left(&mut self, op: usize) {
        self.counters.departed += 1;
        if self.requests.answered(op).is_some() {
            let now = self.now();
            let next = self.dispatcher.client_left(now, op);
            self.follow(op, next);
        }
    }
}
