//! Service discovery: polls the discovery agent for the endpoint list and watches it for changes.
//!
//! At most one poll is in flight, on a persistent connection:
//!
//! - `schedule` determines the request and the deadline of the next poll.
//! - `connection` writes the request and reads the response.
//! - `response` parses the endpoint list of a response.
//! - `poll` runs polls on the event loop and handles deadlines and failures.
//! - `apply` applies a list to the load balancer and the connection pools.
//! - `list_cache` keeps the raw list for the next process of an upgrade.

mod apply;
mod connection;
mod error;
mod list_cache;
mod poll;
mod response;
/// The request, hold time and response grace of discovery polls.
pub mod schedule;

use crate::discovery::connection::DiscoveryConnection;
use crate::discovery::list_cache::EndpointListCache;
use crate::discovery::schedule::{AgentLateness, PollOutcome, PollRequest};
use crate::endpoint_list::EndpointList;
use crate::timers::TimerKey;
use serde_json::Value;
use std::net::SocketAddr;

/// The state of service discovery.
pub struct Discovery {
    address: SocketAddr,
    connection: DiscoveryConnection,
    poll_in_flight: Option<PollInFlight>,
    /// The outcome of the last poll of this address.
    last_outcome: PollOutcome,
    lateness: AgentLateness,
    /// Version of the last list applied; `None` if the next poll must request a complete list.
    sequence_number: Option<u64>,
    list_cache: EndpointListCache,
    first_poll_finished: bool,
}

/// A poll whose response is outstanding.
struct PollInFlight {
    request: PollRequest,
    started_at_ms: f64,
    grace_ms: f64,
    deadline: TimerKey,
}

impl Discovery {
    /// Discovery at the address of an agent, before the first poll.
    pub fn new(address: SocketAddr) -> Self {
        Discovery {
            address,
            connection: DiscoveryConnection::new(),
            poll_in_flight: None,
            last_outcome: PollOutcome::Succeeded,
            lateness: AgentLateness::default(),
            sequence_number: None,
            list_cache: EndpointListCache::default(),
            first_poll_finished: false,
        }
    }

    /// Makes the next poll request the changes since a list that was not received by this process. If that list is
    /// incomplete, the next poll requests a complete one.
    pub fn resume_after(&mut self, list: &EndpointList) {
        self.sequence_number = list.complete.then_some(list.sequence_number);
    }

    /// Adds a raw list to the cache for [`Discovery::complete_list`].
    pub fn cache_list(&mut self, list: &Value) {
        self.list_cache.merge(list);
    }

    /// Returns the current endpoint list in the discovery format.
    pub fn complete_list(&self) -> Value {
        self.list_cache
            .to_json(self.sequence_number.unwrap_or_default())
    }

    /// Whether a poll of this process has finished, successfully or not.
    pub fn first_poll_finished(&self) -> bool {
        self.first_poll_finished
    }

    /// Whether the connection to the agent is open or being opened.
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
