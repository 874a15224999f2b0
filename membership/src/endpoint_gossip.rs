//! Merges the endpoint statuses gossiped by other proxies with the proxy's own endpoint list. The stricter status
//! applies until the own list has reached the version of the gossip. All lists share one sequence of versions.

use crate::types::EndpointGossip;
use std::collections::BTreeMap;

/// Bounds the memory for gossip; the maximum length of an endpoint list.
const MAX_ENDPOINTS: usize = 8192;
/// [`EndpointGossip::strictness`] of an endpoint that is no longer listed.
const REMOVED: u8 = 2;

/// The status of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointStatus {
    /// 0 ready, 1 draining, 2 removed, as in [`EndpointGossip::strictness`].
    pub strictness: u8,
    /// Wall-clock time of its last start in milliseconds; 0 if it started long ago.
    pub started_at_ms: f64,
}

impl EndpointStatus {
    /// The stricter status and the later start of both.
    fn stricter(self, gossip: &EndpointGossip) -> Self {
        EndpointStatus {
            strictness: self.strictness.max(gossip.strictness),
            started_at_ms: self.started_at_ms.max(gossip.started_at_ms),
        }
    }
}

/// An entry of the own endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's stable hash, which is the same at all proxies.
    pub endpoint: u64,
    /// The status in the list.
    pub status: EndpointStatus,
}

/// The result of an update of the own list.
#[derive(Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// Statuses to gossip to the other proxies.
    pub gossip: Vec<EndpointGossip>,
    /// Endpoints whose received gossip is superseded by the own list.
    pub superseded: Vec<u64>,
}

/// The own endpoint list, and received gossip of later list versions.
#[derive(Debug, Default)]
pub struct EndpointView {
    list_version: u64,
    own: BTreeMap<u64, EndpointStatus>,
    received: BTreeMap<u64, EndpointGossip>,
}

impl EndpointView {
    /// Applies entries of the own list at a version. `complete`: they are the whole list rather than a change.
    pub fn update_list(
        &mut self,
        list_version: u64,
        complete: bool,
        entries: &[ListedEndpoint],
    ) -> ListUpdate {
        let mut gossip = self.record_entries(list_version, entries);
        if complete {
            gossip.extend(self.record_missing(list_version, entries));
        }
        // The version may decrease if the source of the list changes; the latest received list applies.
        self.list_version = list_version;
        let superseded = self
            .received
            .values()
            .filter(|gossip| gossip.list_version <= list_version)
            .map(|gossip| gossip.endpoint)
            .collect();
        self.received
            .retain(|_, gossip| gossip.list_version > list_version);
        let received = &self.received;
        self.own.retain(|endpoint, status| {
            status.strictness < REMOVED || received.contains_key(endpoint)
        });
        ListUpdate { gossip, superseded }
    }

    /// Records entries and returns the changed ones, to be gossiped.
    fn record_entries(
        &mut self,
        list_version: u64,
        entries: &[ListedEndpoint],
    ) -> Vec<EndpointGossip> {
        let is_first_list = self.own.is_empty();
        let mut gossip = Vec::new();
        for ListedEndpoint { endpoint, status } in entries.iter().copied() {
            // The first list after a start is not gossiped, as other proxies already have it.
            let previous_if_unlisted = if is_first_list {
                status
            } else {
                EndpointStatus::default()
            };
            let before = self
                .own
                .insert(endpoint, status)
                .unwrap_or(previous_if_unlisted);
            let strictness_changed = status.strictness != before.strictness;
            if strictness_changed || status.started_at_ms > before.started_at_ms {
                gossip.push(gossip_of(endpoint, status, list_version));
            }
        }
        gossip
    }

    /// Marks endpoints missing from a complete list as removed, and returns them to be gossiped.
    fn record_missing(
        &mut self,
        list_version: u64,
        entries: &[ListedEndpoint],
    ) -> Vec<EndpointGossip> {
        let mut gossip = Vec::new();
        for (endpoint, status) in &mut self.own {
            let is_listed = entries.iter().any(|entry| entry.endpoint == *endpoint);
            if !is_listed && status.strictness < REMOVED {
                status.strictness = REMOVED;
                gossip.push(gossip_of(*endpoint, *status, list_version));
            }
        }
        gossip
    }

    /// Handles gossip from another proxy. Returns whether it changes the effective status of the endpoint.
    pub fn receive(&mut self, gossip: EndpointGossip) -> bool {
        let known = self.received.get(&gossip.endpoint);
        let is_newer = known.is_none_or(|known| known.list_version < gossip.list_version);
        let has_room = self.received.len() < MAX_ENDPOINTS || known.is_some();
        let is_listed = self.own.contains_key(&gossip.endpoint);
        if gossip.list_version <= self.list_version || !is_newer || !has_room || !is_listed {
            return false;
        }
        let before = self.status(gossip.endpoint);
        self.received.insert(gossip.endpoint, gossip);
        before != self.status(gossip.endpoint)
    }

    /// The effective status of an endpoint; none if the own list does not have it.
    pub fn status(&self, endpoint: u64) -> Option<EndpointStatus> {
        let own = *self.own.get(&endpoint)?;
        let gossip = self.received.get(&endpoint);
        Some(gossip.map_or(own, |gossip| own.stricter(gossip)))
    }

    /// The number of endpoints whose effective status differs from that of the own list.
    pub fn overridden_count(&self) -> usize {
        let is_overridden = |endpoint: &&u64| {
            let own = self.own.get(*endpoint).copied();
            self.status(**endpoint) != own
        };
        self.received.keys().filter(is_overridden).count()
    }
}

fn gossip_of(endpoint: u64, status: EndpointStatus, list_version: u64) -> EndpointGossip {
    EndpointGossip {
        endpoint,
        strictness: status.strictness,
        started_at_ms: status.started_at_ms,
        list_version,
    }
}
