//! What other proxies' endpoint lists say of endpoints beside the own list: the stricter counts until the own list
//! has come as far. All lists carry versions of one numbering; nothing counts that no list has said.

use crate::types::EndpointGossip;
use std::collections::BTreeMap;

/// Endpoints of which gossip is kept: as many as a list has.
const MAX_ENDPOINTS: usize = 8192;
/// [`EndpointGossip::strictness`] of an endpoint that a list has no more.
const REMOVED: u8 = 2;

/// An endpoint's status, as it counts here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointStatus {
    /// 0 ready, 1 draining, 2 removed, as [`EndpointGossip::strictness`].
    pub strictness: u8,
    /// Clock time of its last start in milliseconds; 0 for long ago.
    pub started_at_ms: f64,
}

impl EndpointStatus {
    /// The stricter and the later of both.
    fn stricter(self, gossip: &EndpointGossip) -> Self {
        EndpointStatus {
            strictness: self.strictness.max(gossip.strictness),
            started_at_ms: self.started_at_ms.max(gossip.started_at_ms),
        }
    }
}

/// A line of the own list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's stable hash, the same at all proxies.
    pub endpoint: u64,
    /// What the list says of it.
    pub status: EndpointStatus,
}

/// What an update of the own list comes to.
#[derive(Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// What the other proxies are to hear of it.
    pub gossip: Vec<EndpointGossip>,
    /// Endpoints held stricter by gossip that the own list has now overtaken.
    pub overtaken: Vec<u64>,
}

/// The own list, and the gossip that goes beyond it.
#[derive(Debug, Default)]
pub struct EndpointView {
    list_version: u64,
    own: BTreeMap<u64, EndpointStatus>,
    received: BTreeMap<u64, EndpointGossip>,
}

impl EndpointView {
    /// The own list has these lines, up to a version; `complete` where they are the whole list.
    pub fn update_list(
        &mut self,
        list_version: u64,
        complete: bool,
        lines: &[ListedEndpoint],
    ) -> ListUpdate {
        let mut gossip = self.record_lines(list_version, lines);
        if complete {
            gossip.extend(self.record_missing(list_version, lines));
        }
        // Versions of another numbering may be lower: the list that was received last is the one to go by.
        self.list_version = list_version;
        let overtaken = self
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
        ListUpdate { gossip, overtaken }
    }

    /// Records the lines, and returns those that are news to other proxies.
    fn record_lines(&mut self, list_version: u64, lines: &[ListedEndpoint]) -> Vec<EndpointGossip> {
        let is_first_list = self.own.is_empty();
        let mut gossip = Vec::new();
        for ListedEndpoint { endpoint, status } in lines.iter().copied() {
            // A list that is new to this proxy is old to others; what changes while it runs may be news to them.
            let unlisted = if is_first_list {
                status
            } else {
                EndpointStatus::default()
            };
            let before = self.own.insert(endpoint, status).unwrap_or(unlisted);
            let stricter_or_freer = status.strictness != before.strictness;
            if stricter_or_freer || status.started_at_ms > before.started_at_ms {
                gossip.push(gossip_of(endpoint, status, list_version));
            }
        }
        gossip
    }

    /// Records as removed what is missing from the whole list: endpoints removed while nobody listened.
    fn record_missing(
        &mut self,
        list_version: u64,
        lines: &[ListedEndpoint],
    ) -> Vec<EndpointGossip> {
        let mut gossip = Vec::new();
        for (endpoint, status) in &mut self.own {
            let is_listed = lines.iter().any(|line| line.endpoint == *endpoint);
            if !is_listed && status.strictness < REMOVED {
                status.strictness = REMOVED;
                gossip.push(gossip_of(*endpoint, *status, list_version));
            }
        }
        gossip
    }

    /// Another proxy's list says this. Returns whether another status counts for that endpoint from now on.
    pub fn receive(&mut self, gossip: EndpointGossip) -> bool {
        let known = self.received.get(&gossip.endpoint);
        let is_newer = known.is_none_or(|known| known.list_version < gossip.list_version);
        // Memory is bounded, and of endpoints that are not listed here nothing is needed.
        let has_room = self.received.len() < MAX_ENDPOINTS || known.is_some();
        let is_listed = self.own.contains_key(&gossip.endpoint);
        if gossip.list_version <= self.list_version || !is_newer || !has_room || !is_listed {
            return false;
        }
        let before = self.status(gossip.endpoint);
        self.received.insert(gossip.endpoint, gossip);
        before != self.status(gossip.endpoint)
    }

    /// The status of an endpoint that counts here.
    pub fn status(&self, endpoint: u64) -> Option<EndpointStatus> {
        let own = *self.own.get(&endpoint)?;
        let gossip = self.received.get(&endpoint);
        Some(gossip.map_or(own, |gossip| own.stricter(gossip)))
    }

    /// How many endpoints have another status than the own list's, by gossip.
    pub fn overridden(&self) -> usize {
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
