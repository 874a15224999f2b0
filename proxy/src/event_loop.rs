//! One turn of the event loop: poll, dispatch what lay ready, run what was due, settle.

use crate::proxy::Proxy;
use crate::tokens::EventSource;
use mio::event::Event;
use mio::{Events, Poll};
use std::io;
use std::time::Duration;

impl Proxy {
    /// Waits for events until something is due, handles them, then runs what was due before the wait. Returns
    /// whether a signal has arrived.
    ///
    /// The order matters after a pause of the process: an answer, a client's end and the time at which either is
    /// too late may lie ready together. Whatever lay ready by a time is handled before that time counts.
    ///
    /// # Errors
    ///
    /// Fails where the poll does; an interrupted one counts as one without events.
    pub fn turn(&mut self, poll: &mut Poll, events: &mut Events) -> io::Result<bool> {
        let polled_at = self.now();
        let timeout = self.time_until_next_due(polled_at);
        if let Err(error) = poll.poll(events, timeout) {
            if error.kind() != io::ErrorKind::Interrupted {
                return Err(error);
            }
        }
        let signalled = self.dispatch_events(events);
        self.run_due(polled_at);
        Ok(signalled)
    }

    fn time_until_next_due(&self, now: f64) -> Option<Duration> {
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

    /// Runs the timers that were due by a time, then everything that goes on turn by turn.
    fn run_due(&mut self, by: f64) {
        while let Some(callback) = self.timers.take_due(by) {
            callback(self);
            self.settle();
        }
        let now = self.now();
        for (request, steps) in self.dispatcher.tick(now, by) {
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
        self.settle();
    }

    /// Handles all events of a poll; returns whether a signal is among them.
    fn dispatch_events(&mut self, events: &Events) -> bool {
        self.mark_closed_clients(events);
        for event in events {
            if self.dispatch_control_event(EventSource::of(event.token())) {
                self.settle();
            }
        }
        for client in self.downstream.take_peer_closed() {
            self.serve_client(client);
            self.settle();
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
            self.settle();
        }
        signalled
    }

    /// Notes which clients have left before anything else is done. A failed attempt or a free slot would
    /// otherwise send on the request of a client whose close lies ready too; and once events are handled, its key
    /// may stand for another client.
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

    /// Handles an event of anything but clients and endpoints, and returns whether it was one. These go first:
    /// under a flood of clients an operator would wait for all of them, and an attempt would go out to an endpoint
    /// whose drain lies ready from discovery.
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

    /// Does what the last event has left to do on other connections.
    fn settle(&mut self) {
        while !(self.writable_upstream.is_empty() && self.downstream.none_ready()) {
            while let Some(connection) = self.writable_upstream.pop() {
                self.upstream_event(connection);
            }
            self.serve_ready_clients();
        }
    }
}
