//! Polls on the event loop: one after the other, each with a deadline.

use super::connection::Progress;
use super::error::PollError;
use super::response::read_endpoint_list;
use super::schedule::{response_grace_ms, PollOutcome, MIN_POLL_INTERVAL_MS};
use super::PollInFlight;
use crate::descriptors::DescriptorPurpose;
use crate::endpoint_list::EndpointList;
use crate::proxy::Proxy;
use std::io;
use std::net::SocketAddr;

impl Proxy {
    /// Begins a poll, unless one is in flight: for the complete list first, then for changes.
    pub fn poll_endpoints(&mut self) {
        if self.discovery.poll_in_flight.is_some() {
            return;
        }
        let now = self.now();
        let request = self.discovery.next_request();
        let address = self.discovery.address;
        self.discovery
            .connection
            .queue_request(address, &request.target());
        let grace_ms = response_grace_ms(self.discovery.last_outcome);
        let deadline = self
            .timers
            .set(now + request.hold_ms() + grace_ms, |proxy: &mut Proxy| {
                proxy.poll_failed(&PollError::TimedOut)
            });
        self.discovery.poll_in_flight = Some(PollInFlight {
            started_at_ms: now,
            deadline,
        });
        if !self.discovery.connection.is_open() {
            if let Err(error) = self.connect_to_discovery() {
                return self.poll_failed(&error.into());
            }
        }
        self.discovery_event();
    }

    /// Watches the list at an address, as a reload names it. The endpoints known so far stay until the agent
    /// there has answered.
    pub fn watch_discovery(&mut self, address: SocketAddr) {
        if self.discovery.address == address {
            return;
        }
        // Versions of the old agent need not be those of the new one.
        self.disconnect_from_discovery();
        self.end_poll();
        self.discovery.address = address;
        self.discovery.sequence_number = None;
        if self.discovery.last_outcome == PollOutcome::TimedOut {
            // That it was slow is known of the old agent only.
            self.discovery.last_outcome = PollOutcome::Failed;
        }
        self.poll_endpoints();
    }

    /// Handles an event on the connection to discovery.
    pub fn discovery_event(&mut self) {
        let poll_in_flight = self.discovery.poll_in_flight.is_some();
        match self.discovery.connection.advance(poll_in_flight) {
            Ok(Progress::Pending) => {}
            Ok(Progress::ClosedWhileIdle) => self.disconnect_from_discovery(),
            Ok(Progress::ResponseComplete) => self.handle_poll_response(),
            Err(error) => self.poll_failed(&error),
        }
    }

    fn connect_to_discovery(&mut self) -> io::Result<()> {
        self.open_reserved(DescriptorPurpose::Discovery, |proxy| {
            let address = proxy.discovery.address;
            proxy.discovery.connection.open(address, &proxy.registry)
        })
    }

    fn disconnect_from_discovery(&mut self) {
        self.discovery.connection.close(&self.registry);
        self.replenish_reserve_of(DescriptorPurpose::Discovery);
    }

    /// Ends the poll in flight, whatever came of it.
    fn end_poll(&mut self) -> Option<PollInFlight> {
        let poll = self.discovery.poll_in_flight.take()?;
        self.timers.cancel(Some(poll.deadline));
        Some(poll)
    }

    fn poll_failed(&mut self, error: &PollError) {
        log::warn!("discovery: {error}");
        self.disconnect_from_discovery();
        self.end_poll();
        self.note_finished_poll();
        self.discovery.last_outcome = match error {
            PollError::TimedOut => PollOutcome::TimedOut,
            _ => PollOutcome::Failed,
        };
        self.counters.endpoint_polls_failed += 1;
        let now = self.now();
        self.dispatcher.discovery_failed(now);
    }

    /// Clients are accepted once the first poll has ended, successfully or not.
    fn note_finished_poll(&mut self) {
        if !self.discovery.first_poll_finished {
            self.discovery.first_poll_finished = true;
            self.listen_after_first_list();
        }
    }

    fn handle_poll_response(&mut self) {
        let now = self.now();
        let Some(response) = self.discovery.connection.take_response() else {
            return;
        };
        let keep_alive = response.keep_alive;
        let result = read_endpoint_list(&response, &mut self.name_index);
        self.discovery.connection.shrink_receive_buffer();
        let list = match result {
            Ok((json, list)) => {
                self.discovery.remember_list(&json);
                list
            }
            Err(error) => return self.poll_failed(&error),
        };
        if !keep_alive {
            self.disconnect_from_discovery();
        }
        let Some(poll) = self.end_poll() else {
            return;
        };
        self.discovery.last_outcome = PollOutcome::Succeeded;
        self.counters.endpoint_lists_received += 1;
        self.take_over_list(&list, now, now - poll.started_at_ms);
    }

    /// Applies a list that came at `now`, so long after its poll began, and begins the next poll.
    fn take_over_list(&mut self, list: &EndpointList, now: f64, poll_duration_ms: f64) {
        let known = self.discovery.sequence_number;
        if !list.complete && known.is_some_and(|known| list.sequence_number < known) {
            // These are versions of another discovery, so none of its changes since ours can be known.
            self.discovery.sequence_number = None;
            return self.poll_endpoints();
        }
        let unchanged = known == Some(list.sequence_number);
        self.discovery.sequence_number = Some(list.sequence_number);
        self.apply_endpoint_list(list, false);
        self.note_finished_poll();
        if unchanged && poll_duration_ms < MIN_POLL_INTERVAL_MS {
            self.timers
                .set(now + MIN_POLL_INTERVAL_MS, |proxy: &mut Proxy| {
                    proxy.poll_endpoints()
                });
        } else {
            self.poll_endpoints();
        }
    }
}
