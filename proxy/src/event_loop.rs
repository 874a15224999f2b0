//! One iteration of the event loop: poll, dispatch events, run due timers and periodic work.

use crate::proxy::Proxy;
use crate::tokens::EventSource;
use mio::event::Event;
use mio::{Events, Poll};
use std::io;
use std::time::Duration;

impl Proxy {
    /// Polls until the next timer is due, dispatches the events, serves deferred work, then runs the timers that were due
    /// before the poll. Returns whether a signal has arrived.
    ///
    /// Events come first because the process may have been paused: a response that arrived in time must not be
    /// timed out by a timer that became due during the pause.
    ///
    /// # Errors
    ///
    /// Fails if the poll does. An interrupted poll counts as one without events.
    pub fn run_once(&mut self, poll: &mut Poll, events: &mut Events) -> io::Result<bool> {
        self.turns.begin();
        let polled_at = self.now();
        let timeout = self.time_until_next_due(polled_at);
        if let Err(error) = poll.poll(events, timeout) {
            if error.kind() != io::ErrorKind::Interrupted {
                return Err(error);
            }
        }
        let signalled = self.dispatch_events(events);
        self.serve_deferred_work();
        self.run_due(polled_at);
        Ok(signalled)
    }

    fn time_until_next_due(&self, now: f64) -> Option<Duration> {
        if self.turns.has_deferred_work() {
            return Some(Duration::ZERO);
        }
        let cluster_due = self.cluster.as_ref().map(|cluster| cluster.next_due_ms());
        [
            self.timers.next_due_ms(),
            self.dispatcher.next_tick(),
            cluster_due,
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp)
        .map(|at| Duration::from_secs_f64((at - now).max(0.0) / 1000.0))
    }

    /// Runs the timers due by `due_by`, then the work of every iteration.
    fn run_due(&mut self, due_by: f64) {
        while let Some(callback) = self.timers.take_due(due_by) {
            callback(self);
            self.process_ready_connections();
        }
        let now = self.now();
        for (request, steps) in self.dispatcher.tick(now, due_by) {
            self.follow_steps(request, steps);
        }
        if self.dispatcher.take_list_request() {
            self.poll_discovery();
        }
        self.send_load_probes();
        self.run_cluster();
        if self.upgrade.waits_to_accept() && self.ready() {
            self.start_accepting();
        }
        self.process_ready_connections();
    }

    /// Dispatches all events of a poll. Returns whether a signal is among them.
    fn dispatch_events(&mut self, events: &Events) -> bool {
        self.mark_closed_clients(events);
        self.serve_deferred_control();
        for event in events {
            if self.dispatch_control_event(EventSource::of(event.token())) {
                self.process_ready_connections();
            }
        }
        for client in self.downstream.take_peer_closed() {
            self.serve_client(client);
            self.process_ready_connections();
        }
        let mut signalled = false;
        for event in events {
            match EventSource::of(event.token()) {
                EventSource::Listener => self.accept(),
                EventSource::Signals => signalled = true,
                EventSource::Client(client) => self.serve_client(client),
                EventSource::Upstream(connection) => self.upstream_event(connection),
                _ => continue,
            }
            self.process_ready_connections();
        }
        signalled
    }

    /// Marks disconnected clients before any other event is dispatched, so that no new attempt is sent for a client
    /// whose close is already known. It must come first because dispatching may reuse a client's key.
    fn mark_closed_clients(&mut self, events: &Events) {
        let is_closed = |event: &Event| event.is_read_closed() || event.is_error();
        for event in events {
            if let EventSource::Client(client) = EventSource::of(event.token()) {
                if is_closed(event) {
                    self.downstream.mark_peer_closed(client);
                }
            }
        }
    }

    /// Handles an event unless it belongs to a client or endpoint connection. Returns whether it was handled.
    ///
    /// These events have priority: admin calls must not wait behind many clients, and a drain received from
    /// discovery must apply before the next attempt is sent.
    fn dispatch_control_event(&mut self, source: EventSource) -> bool {
        match source {
            EventSource::AdminListener => self.accept_admin_connections(),
            EventSource::AdminCaller(slot) => self.admin_event(slot),
            EventSource::UpgradeListener => self.accept_newer_process(),
            EventSource::NewerProcess => self.newer_process_event(),
            EventSource::OlderProcess => self.older_process_event(),
            EventSource::Cluster => self.cluster_event(),
            EventSource::Discovery => self.discovery_event(),
            EventSource::Listener
            | EventSource::Signals
            | EventSource::Client(_)
            | EventSource::Upstream(_) => return false,
        }
        true
    }

    /// Processes connections that became ready as a result of the last event or timer.
    pub(crate) fn process_ready_connections(&mut self) {
        while !(self.writable_upstream.is_empty() && self.downstream.none_ready()) {
            while let Some(connection) = self.writable_upstream.pop() {
                self.upstream_event(connection);
            }
            self.serve_ready_clients();
        }
    }
}
