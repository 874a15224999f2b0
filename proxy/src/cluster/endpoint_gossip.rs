//! Statuses of endpoints that proxies tell each other of, and which of them count here.

use super::state::EndpointLine;
use crate::endpoint_list::EndpointList;
use crate::proxy::Proxy;
use crankmux::types::{EndpointState, EndpointUpdate};
use crankmux_membership::endpoint_gossip::{EndpointStatus, ListedEndpoint};

impl Proxy {
    /// The own list has changed: the others hear of it, and what they gossiped before may be superseded.
    pub fn gossip_endpoint_list(&mut self, list: &EndpointList) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        if list.complete {
            cluster.endpoint_lines.clear();
        }
        for listed in &list.endpoints {
            let update = listed.update;
            let line = EndpointLine {
                update,
                dial: listed.dial,
            };
            if update.state == EndpointState::Removed {
                cluster.endpoint_lines.remove(&update.stable_hash);
            } else {
                cluster.endpoint_lines.insert(update.stable_hash, line);
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
        // The list was applied over what others had gossiped: the stricter status counts still.
        let overridden = listed.iter().map(|line| line.endpoint).filter(|endpoint| {
            let status = cluster.endpoint_view.status(*endpoint);
            status.is_some_and(|status| status.strictness > READY)
                && cluster.endpoint_lines.contains_key(endpoint)
        });
        let changed: Vec<u64> = changes.superseded.into_iter().chain(overridden).collect();
        if !changed.is_empty() {
            self.apply_endpoint_statuses(&changed);
        }
    }

    /// Brings endpoints to the status that counts now, by the own list and others' gossip.
    pub(super) fn apply_endpoint_statuses(&mut self, endpoints: &[u64]) {
        let now_ms = self.now();
        let Some(cluster) = &self.cluster else { return };
        let current_line = |endpoint: &u64| {
            let line = cluster.endpoint_lines.get(endpoint)?;
            let status = cluster.endpoint_view.status(*endpoint)?;
            Some(line.with_status(status))
        };
        let lines: Vec<EndpointLine> = endpoints.iter().filter_map(current_line).collect();
        let updates: Vec<EndpointUpdate> = lines.iter().map(|line| line.update).collect();
        self.dispatcher
            .update_endpoints(now_ms, &updates, false, false);
        for EndpointLine { update, dial } in lines {
            log::info!(
                "cluster: endpoint {:016x} is {:?}, by another proxy's list",
                update.stable_hash,
                update.state
            );
            self.update_endpoint_process(update.endpoint, dial);
        }
        self.withdraw_unsent_attempts();
    }
}

impl EndpointLine {
    /// The line as it counts with this status.
    fn with_status(self, status: EndpointStatus) -> Self {
        let EndpointStatus {
            strictness,
            started_at_ms,
        } = status;
        let dial = self.dial.filter(|_| strictness == READY);
        EndpointLine {
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

/// How strict a state is, as proxies tell each other.
fn strictness_of(state: EndpointState) -> u8 {
    match state {
        EndpointState::Ready => READY,
        EndpointState::Draining => DRAINING,
        EndpointState::Removed => REMOVED,
    }
}

/// The state that gossip puts an endpoint into. One that others hold for removed only drains here: were it removed,
/// its index would be used again while the own list has it. Either way nothing new goes there.
fn state_of(strictness: u8) -> EndpointState {
    if strictness == READY {
        EndpointState::Ready
    } else {
        EndpointState::Draining
    }
}
