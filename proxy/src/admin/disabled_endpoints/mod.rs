//! Endpoints that operators disabled: the calls, the files that keep them, and what follows on connections.
//!
//! The load balancer sees to it that no new request goes to a disabled endpoint. On the wire and in file names
//! disabling is `suspend` and enabling is `resume`.

mod changes;

use crate::lifecycle::state_directory::StateDirectoryError;
use std::collections::{HashSet, VecDeque};

/// How many endpoints that were ever listed are remembered; the oldest are forgotten first. Endpoints are replaced
/// under ever new ids, so there must be a bound.
const MAX_LISTED: usize = 8192;

/// Why an endpoint could not be disabled or enabled.
#[derive(Debug, thiserror::Error)]
pub enum DisabledEndpointError {
    /// No endpoint list had that id.
    #[error("no such server was ever listed")]
    UnknownEndpoint,
    /// The file that keeps the endpoint disabled could not be written.
    #[error("the suspension can't be kept")]
    NotStored(#[source] StateDirectoryError),
    /// The file that keeps the endpoint disabled could not be removed.
    #[error("the suspension can't be lifted")]
    NotRemoved(#[source] StateDirectoryError),
}

/// The disabled endpoints, and those that may be disabled, by the stable hashes of their ids.
#[derive(Default)]
pub struct DisabledEndpoints {
    disabled: Vec<u64>,
    /// The files could not be read last time, and the log says so.
    is_unreadable: bool,
    listed: HashSet<u64>,
    /// The same as `listed`, oldest first.
    listed_order: VecDeque<u64>,
}

impl DisabledEndpoints {
    /// Records that an endpoint was in an endpoint list.
    pub fn record_listed(&mut self, stable_hash: u64) {
        if !self.listed.insert(stable_hash) {
            return;
        }
        self.listed_order.push_back(stable_hash);
        if self.listed_order.len() <= MAX_LISTED {
            return;
        }
        if let Some(oldest) = self.listed_order.pop_front() {
            self.listed.remove(&oldest);
        }
    }

    /// The endpoints that were in any endpoint list, oldest first.
    pub fn ever_listed(&self) -> impl Iterator<Item = u64> + '_ {
        self.listed_order.iter().copied()
    }

    /// Whether an endpoint may be disabled or enabled.
    fn knows(&self, stable_hash: u64) -> bool {
        self.listed.contains(&stable_hash) || self.disabled.contains(&stable_hash)
    }
}
