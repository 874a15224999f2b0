//! Applies an endpoint list to the load balancer and the connection pools.

use crate::endpoint_list::EndpointList;
use crate::proxy::Proxy;
use crankmux::types::{EndpointId, EndpointUpdate};
use std::collections::HashSet;

impl Proxy {
    /// Applies a list. A `cached` list was not received from discovery by this process and may be stale.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList, cached: bool) {
        let now = self.now();
        let updates: Vec<EndpointUpdate> =
            list.endpoints.iter().map(|listed| listed.update).collect();
        self.dispatcher
            .update_endpoints(now, &updates, list.complete, cached);
        if list.complete {
            self.remove_unlisted_endpoints(&updates);
        }
        for listed in &list.endpoints {
            self.disabled_endpoints
                .record_listed(listed.update.stable_hash);
            self.update_endpoint_process(listed.update.endpoint, listed.dial);
        }
        self.withdraw_unsent_attempts();
        self.gossip_endpoint_list(list);
        self.name_index
            .retain_endpoints(|endpoint| self.dispatcher.has_endpoint(endpoint));
    }

    fn remove_unlisted_endpoints(&mut self, updates: &[EndpointUpdate]) {
        let listed: HashSet<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        let is_unlisted = |endpoint: &EndpointId| !listed.contains(endpoint);
        let endpoints = self.upstream.endpoint_ids();
        let unlisted: Vec<EndpointId> = endpoints.filter(is_unlisted).collect();
        for endpoint in unlisted {
            self.update_endpoint_process(endpoint, None);
        }
    }
}
