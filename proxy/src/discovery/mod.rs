//! Service discovery: polls the discovery agent for the endpoint list and watches it for changes.
//!
//! One poll at a time is in flight, over one connection that is kept between polls:
//!
//! - `schedule` chooses what the next poll asks for, and how long it may take.
//! - `connection` writes the request and reads the response.
//! - `response` reads the endpoint list from a response.
//! - `poll` drives these on the event loop: deadlines, failures, and the next poll.
//! - `apply` takes a list over into the load balancer and the connection pools.
//! - `remembered_list` keeps the list for the process that follows an upgrade.

mod apply;
mod connection;
mod error;
mod poll;
mod remembered_list;
mod response;
/// Content, deadline and backoff of the next discovery poll.
pub mod schedule;

use crate::discovery::connection::DiscoveryConnection;
use crate::discovery::remembered_list::RememberedList;
use crate::discovery::schedule::{PollOutcome, PollRequest};
use crate::endpoint_list::EndpointList;
use crate::timers::TimerKey;
use serde_json::Value;
use std::net::SocketAddr;

/// State of the watch on the endpoint list.
pub struct Discovery {
    address: SocketAddr,
    connection: DiscoveryConnection,
    poll_in_flight: Option<PollInFlight>,
    /// How the last finished poll of this address ended.
    last_outcome: PollOutcome,
    /// Version of the last list applied; none where a complete list is needed next.
    sequence_number: Option<u64>,
    remembered_list: RememberedList,
    first_poll_finished: bool,
}

/// A poll that has no outcome yet.
struct PollInFlight {
    started_at_ms: f64,
    deadline: TimerKey,
}

impl Discovery {
    /// A watch on the list of the agent at an address, before its first poll.
    pub fn new(address: SocketAddr) -> Self {
        Discovery {
            address,
            connection: DiscoveryConnection::new(),
            poll_in_flight: None,
            last_outcome: PollOutcome::Succeeded,
            sequence_number: None,
            remembered_list: RememberedList::default(),
            first_poll_finished: false,
        }
    }

    /// Polls for changes after a list that is known from elsewhere, if that list is complete.
    pub fn resume_after(&mut self, list: &EndpointList) {
        self.sequence_number = list.complete.then_some(list.sequence_number);
    }

    /// Remembers a list as it came, for [`Discovery::complete_list`].
    pub fn remember_list(&mut self, list: &Value) {
        self.remembered_list.merge(list);
    }

    /// The current endpoint list, in the form in which discovery gives it.
    pub fn complete_list(&self) -> Value {
        self.remembered_list
            .to_json(self.sequence_number.unwrap_or_default())
    }

    /// Whether any poll since the start of the process has ended, successfully or not.
    pub fn first_poll_finished(&self) -> bool {
        self.first_poll_finished
    }

    /// Whether the connection to the agent is open, or being opened.
    pub(crate) fn is_connected(&self) -> bool {
        self.connection.is_open()
    }

    fn next_request(&self) -> PollRequest {
        PollRequest::next(
            self.sequence_number,
            self.first_poll_finished,
            self.last_outcome,
        )
    }
}
