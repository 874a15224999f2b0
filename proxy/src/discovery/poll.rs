//! Polls on the event loop: at most one at a time, each with a deadline.

use super::connection::Progress;
use super::error::PollError;
use super::response::parse_endpoint_list;
use super::schedule::{AgentLateness, PollOutcome, MIN_POLL_INTERVAL_MS};
use super::PollInFlight;
use crate::descriptors::DescriptorPurpose;
use crate::endpoint_list::EndpointList;
use crate::proxy::Proxy;
use crate::turn::DeferredControl;
use std::io;
use std::net::SocketAddr;

impl Proxy {
    /// Starts a poll unless one is in flight.
    pub fn poll_discovery(&mut self) {
        if self.discovery.poll_in_flight.is_some() {
            return;
        }
        let now = self.now();
        let request = self.discovery.next_request();
        let address = self.discovery.address;
        self.discovery
            .connection
            .queue_request(address, &request.target());
        let last_outcome = self.discovery.last_outcome;
        let grace_ms = self.discovery.lateness.grace_ms(last_outcome);
        let deadline = self
            .timers
            .set(now + request.hold_ms() + grace_ms, |proxy: &mut Proxy| {
                proxy.poll_failed(&PollError::TimedOut)
            });
        self.discovery.poll_in_flight = Some(PollInFlight {
            request,
            started_at_ms: now,
            grace_ms,
            deadline,
        });
        if !self.discovery.connection.is_open() {
            if let Err(error) = self.connect_to_discovery() {
                return self.poll_failed(&error.into());
            }
        }
        self.discovery_event();
    }

    /// Switches to the discovery agent at an address. The current endpoints stay until the new agent responds.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        if self.discovery.address == address {
            return;
        }
        // The new agent may number its versions differently.
        self.disconnect_from_discovery();
        self.end_poll();
        self.discovery.address = address;
        self.discovery.sequence_number = None;
        self.discovery.lateness = AgentLateness::default();
        if self.discovery.last_outcome == PollOutcome::TimedOut {
            // The longer grace after a timeout applies to the old agent only.
            self.discovery.last_outcome = PollOutcome::Failed;
        }
        self.poll_discovery();
    }

    /// Handles an event on the connection to discovery, as far as its steps in this turn of the event loop allow.
    pub fn discovery_event(&mut self) {
        let poll_in_flight = self.discovery.poll_in_flight.is_some();
        let connection = &mut self.discovery.connection;
        let work = DeferredControl::Discovery;
        while self
            .turns
            .take_control_step(&mut connection.step_budget, work)
        {
            match connection.advance(poll_in_flight) {
                Ok(Progress::Received) => {}
                Ok(Progress::Pending) => return,
                Ok(Progress::ClosedWhileIdle) => return self.disconnect_from_discovery(),
                Ok(Progress::ResponseComplete) => return self.handle_poll_response(),
                Err(error) => return self.poll_failed(&error),
            }
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

    /// Clears the poll in flight and its deadline.
    fn end_poll(&mut self) -> Option<PollInFlight> {
        let poll = self.discovery.poll_in_flight.take()?;
        self.timers.cancel(Some(poll.deadline));
        Some(poll)
    }

    fn poll_failed(&mut self, error: &PollError) {
        log::warn!("discovery: {error}");
        self.disconnect_from_discovery();
        let poll = self.end_poll();
        self.mark_first_poll_finished();
        self.discovery.last_outcome = match error {
            PollError::TimedOut => PollOutcome::TimedOut,
            _ => PollOutcome::Failed,
        };
        if let (PollError::TimedOut, Some(poll)) = (error, poll) {
            self.discovery.lateness.record_timeout(poll.grace_ms);
        }
        self.counters.endpoint_polls_failed += 1;
        let now = self.now();
        self.dispatcher.discovery_failed(now);
    }

    /// Records that a poll has finished. The first one, successful or not, starts accepting clients.
    fn mark_first_poll_finished(&mut self) {
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
        let result = parse_endpoint_list(&response, &mut self.name_index);
        self.discovery.connection.shrink_receive_buffer();
        let list = match result {
            Ok((json, list)) => {
                self.discovery.cache_list(&json);
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
        let duration_ms = now - poll.started_at_ms;
        self.discovery
            .lateness
            .record_response(poll.request, duration_ms);
        self.handle_endpoint_list(&list, now, duration_ms);
    }

    /// Applies a list received at `now` and starts the next poll.
    fn handle_endpoint_list(&mut self, list: &EndpointList, now: f64, poll_duration_ms: f64) {
        let current = self.discovery.sequence_number;
        if !list.complete && current.is_some_and(|current| list.sequence_number < current) {
            // The version went backwards, so the agent's numbering has changed: request a complete list.
            self.discovery.sequence_number = None;
            return self.poll_discovery();
        }
        let unchanged = current == Some(list.sequence_number);
        self.discovery.sequence_number = Some(list.sequence_number);
        self.apply_endpoint_list(list, false);
        self.mark_first_poll_finished();
        if unchanged && poll_duration_ms < MIN_POLL_INTERVAL_MS {
            self.timers
                .set(now + MIN_POLL_INTERVAL_MS, |proxy: &mut Proxy| {
                    proxy.poll_discovery()
                });
        } else {
            self.poll_discovery();
        }
    }
}
