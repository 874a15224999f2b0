//! Endpoints disabled by operators: the set of disabled endpoints, its persistence, and the handling of their
//! connections.
//!
//! The load balancer sends no new requests to a disabled endpoint. On the wire, disabling is called `suspend` and
//! enabling `resume`; the files of disabled endpoints are named `suspended-`, followed by the id's hash.

mod changes;

use crate::lifecycle::state_directory::StateDirectoryError;
use std::collections::{HashSet, VecDeque};

/// The maximum number of listed endpoints kept; the oldest are removed first. Replaced endpoints get new ids, so the
/// set would otherwise grow without bound.
const MAX_LISTED_ENDPOINTS: usize = 8192;

/// Why an endpoint could not be disabled or enabled. The message is the body of the response.
#[derive(Debug, thiserror::Error)]
pub enum DisabledEndpointError {
    /// The id has not been in any endpoint list.
    #[error("no such server was ever listed")]
    UnknownEndpoint,
    /// The file that marks the endpoint as disabled could not be written.
    #[error("the suspension can't be kept")]
    NotStored(#[source] StateDirectoryError),
    /// The file that marks the endpoint as disabled could not be removed.
    #[error("the suspension can't be lifted")]
    NotRemoved(#[source] StateDirectoryError),
}

/// The disabled endpoints and those that may be disabled, by the stable hash of their id.
#[derive(Default)]
pub struct DisabledEndpoints {
    /// Sorted.
    disabled: Vec<u64>,
    /// Whether the last read of the files failed. A series of failures is logged once.
    last_read_failed: bool,
    listed: HashSet<u64>,
    /// The elements of `listed`, oldest first.
    listed_order: VecDeque<u64>,
}

impl DisabledEndpoints {
    /// Records that an endpoint is in an endpoint list.
    pub fn record_listed(&mut self, stable_hash: u64) {
        if !self.listed.insert(stable_hash) {
            return;
        }
        self.listed_order.push_back(stable_hash);
        if self.listed_order.len() <= MAX_LISTED_ENDPOINTS {
            return;
        }
        if let Some(oldest) = self.listed_order.pop_front() {
            self.listed.remove(&oldest);
        }
    }

    /// The recorded endpoints, oldest first.
    pub fn ever_listed(&self) -> impl Iterator<Item = u64> + '_ {
        self.listed_order.iter().copied()
    }

    /// Whether an endpoint may be disabled or enabled.
    fn is_known(&self, stable_hash: u64) -> bool {
        self.listed.contains(&stable_hash) || self.disabled.contains(&stable_hash)
    }
}
