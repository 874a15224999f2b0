//! Gossip of endpoint statuses between proxies, and its effect on this proxy's endpoint list.

use super::state::ListEntry;
use crate::endpoint_list::EndpointList;
use crate::proxy::Proxy;
use crankmux::types::{EndpointState, EndpointUpdate};
use crankmux_membership::endpoint_gossip::{EndpointStatus, ListedEndpoint};

impl Proxy {
    /// Gossips a change of this proxy's endpoint list, and re-applies gossiped statuses that it affects.
    pub fn gossip_endpoint_list(&mut self, list: &EndpointList) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        if list.complete {
            cluster.list_entries.clear();
        }
        for listed in &list.endpoints {
            let update = listed.update;
            let entry = ListEntry {
                update,
                dial: listed.dial,
            };
            if update.state == EndpointState::Removed {
                cluster.list_entries.remove(&update.stable_hash);
            } else {
                cluster.list_entries.insert(update.stable_hash, entry);
            }
        }
        let listed = list
            .endpoints
            .iter()
            .map(|endpoint| listed_endpoint(&endpoint.update));
        let listed: Vec<ListedEndpoint> = listed.collect();
        let changes =
            cluster
                .endpoint_view
                .update_list(list.sequence_number, list.complete, &listed);
        for gossip in changes.gossip {
            cluster.membership.gossip_endpoint(gossip);
        }
        // The list was applied regardless of gossip; where a gossiped status is stricter, it takes precedence.
        let overridden = listed
            .iter()
            .map(|listed| listed.endpoint)
            .filter(|endpoint| {
                let status = cluster.endpoint_view.status(*endpoint);
                status.is_some_and(|status| status.strictness > READY)
                    && cluster.list_entries.contains_key(endpoint)
            });
        let changed: Vec<u64> = changes.superseded.into_iter().chain(overridden).collect();
        if !changed.is_empty() {
            self.apply_endpoint_statuses(&changed);
        }
    }

    /// Applies the current status of endpoints, merged from this proxy's list and received gossip.
    pub(super) fn apply_endpoint_statuses(&mut self, endpoints: &[u64]) {
        let now_ms = self.now();
        let Some(cluster) = &self.cluster else { return };
        let current_entry = |endpoint: &u64| {
            let entry = cluster.list_entries.get(endpoint)?;
            let status = cluster.endpoint_view.status(*endpoint)?;
            Some(entry.with_status(status))
        };
        let entries: Vec<ListEntry> = endpoints.iter().filter_map(current_entry).collect();
        let updates: Vec<EndpointUpdate> = entries.iter().map(|entry| entry.update).collect();
        self.dispatcher
            .update_endpoints(now_ms, &updates, false, false);
        for ListEntry { update, dial } in entries {
            log::info!(
                "cluster: endpoint {:016x} is now {:?} in the merged endpoint lists",
                update.stable_hash,
                update.state
            );
            self.update_endpoint_process(update.endpoint, dial);
        }
        self.withdraw_unsent_attempts();
    }
}

impl ListEntry {
    /// Returns the entry with its status replaced.
    fn with_status(self, status: EndpointStatus) -> Self {
        let EndpointStatus {
            strictness,
            started_at_ms,
        } = status;
        let dial = self.dial.filter(|_| strictness == READY);
        ListEntry {
            update: EndpointUpdate {
                state: state_of(strictness),
                started_at_ms,
                ..self.update
            },
            dial: dial.map(|(address, _)| (address, started_at_ms)),
        }
    }
}

const READY: u8 = 0;
const DRAINING: u8 = 1;
const REMOVED: u8 = 2;

fn listed_endpoint(update: &EndpointUpdate) -> ListedEndpoint {
    ListedEndpoint {
        endpoint: update.stable_hash,
        status: EndpointStatus {
            strictness: strictness_of(update.state),
            started_at_ms: update.started_at_ms,
        },
    }
}

/// Encodes a state for gossip.
fn strictness_of(state: EndpointState) -> u8 {
    match state {
        EndpointState::Ready => READY,
        EndpointState::Draining => DRAINING,
        EndpointState::Removed => REMOVED,
    }
}

/// Returns the state to apply for a gossiped status. An endpoint removed elsewhere is only drained here, because its
/// index must not be reused while this proxy's own list contains it. Neither state receives new requests.
fn state_of(strictness: u8) -> EndpointState {
    if strictness == READY {
        EndpointState::Ready
    } else {
        EndpointState::Draining
    }
}
