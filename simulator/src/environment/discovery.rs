//! Discovery: the endpoint list, its changes in order, and when each proxy learns of them.

use super::event_queue::Event;
use super::Environment;
use crankmux::types::{EndpointId, EndpointState, EndpointUpdate};

/// What discovery knows of the endpoints.
pub(super) struct EndpointList {
    /// Whether an endpoint is in the list.
    pub(super) listed: Vec<bool>,
    /// Every change, in order.
    changes: Vec<EndpointUpdate>,
    /// How many faults keep discovery down at the moment.
    pub(super) outages: usize,
    /// How far the start time of each endpoint is off, as discovery gives it.
    pub(super) clock_offsets_ms: Vec<f64>,
}

impl EndpointList {
    pub(super) fn new(endpoints: usize) -> Self {
        EndpointList {
            listed: vec![true; endpoints],
            changes: Vec::new(),
            outages: 0,
            clock_offsets_ms: vec![0.0; endpoints],
        }
    }
}

impl Environment<'_> {
    /// What the list says of an endpoint now.
    pub(super) fn endpoint_update(&self, index: usize) -> EndpointUpdate {
        let endpoint = &self.endpoints[index];
        let state = if self.endpoint_list.listed[index] {
            EndpointState::Ready
        } else {
            EndpointState::Removed
        };
        let started_at_ms = if endpoint.started_at > 0.0 {
            endpoint.started_at + self.endpoint_list.clock_offsets_ms[index]
        } else {
            0.0
        };
        EndpointUpdate {
            endpoint: EndpointId::new(index),
            stable_hash: endpoint.stable_hash,
            state,
            zone: endpoint.zone,
            machine_class: 0,
            pod: endpoint.pod,
            started_at_ms,
        }
    }

    /// Adds a change to the list; each proxy is notified after a delay of its own.
    pub(super) fn publish(&mut self, change: EndpointUpdate) {
        self.endpoint_list.changes.push(change);
        self.schedule_notifications(false);
    }

    pub(super) fn schedule_notifications(&mut self, full_list: bool) {
        for proxy in 0..self.proxies.len() {
            self.schedule_notification(proxy, full_list);
        }
    }

    pub(super) fn schedule_notification(&mut self, proxy: usize, full_list: bool) {
        let mean_ms = self.script.discovery.notification_delay_ms;
        let delay_ms = mean_ms * (1.0 + self.random.discovery.uniform());
        self.schedule(delay_ms, Event::ProxyNotified { proxy, full_list });
    }

    /// A proxy starts with the list that it last knew, and asks for the current one.
    pub(super) fn start_proxy(&mut self, proxy: usize) {
        let list = self.last_known_list(proxy);
        self.with_policy(proxy, |policy, now, _| {
            policy.update_endpoints(now, &list, true, true)
        });
        // The platform's discovery is automatic: a proxy need not ask for the list.
        let delay_ms = self.script.discovery.notification_delay_ms;
        let full_list = true;
        self.schedule(delay_ms, Event::ProxyNotified { proxy, full_list });
        self.serve_policy(proxy);
    }

    /// The endpoints at the start of the run, with the changes that this proxy was notified of.
    fn last_known_list(&self, proxy: usize) -> Vec<EndpointUpdate> {
        let initial: usize = self.script.machine_types.iter().map(|m| m.count).sum();
        let mut list: Vec<EndpointUpdate> = (0..initial.min(self.endpoints.len()))
            .map(|endpoint| EndpointUpdate {
                state: EndpointState::Ready,
                started_at_ms: 0.0,
                ..self.endpoint_update(endpoint)
            })
            .collect();
        for change in &self.endpoint_list.changes[..self.proxies[proxy].changes_seen] {
            let known = list
                .iter_mut()
                .find(|update| update.endpoint == change.endpoint);
            match known {
                Some(update) => *update = *change,
                None => list.push(*change),
            }
        }
        list.retain(|update| update.state != EndpointState::Removed);
        list
    }

    /// A proxy learns what has changed since it was last notified, or the full list.
    pub(super) fn notify_proxy(&mut self, proxy: usize, full_list: bool) {
        if self.endpoint_list.outages > 0 || !self.proxies[proxy].up {
            return;
        }
        let changes = &self.endpoint_list.changes;
        let seen = std::mem::replace(&mut self.proxies[proxy].changes_seen, changes.len());
        let changes = changes[seen..].to_vec();
        if changes.is_empty() && !full_list {
            return;
        }
        self.note_drains(proxy, &changes);
        let updates = if full_list {
            self.listed_endpoints()
        } else {
            changes
        };
        self.with_policy(proxy, |policy, now, _| {
            policy.update_endpoints(now, &updates, full_list, false)
        });
        self.serve_policy(proxy);
    }

    fn listed_endpoints(&self) -> Vec<EndpointUpdate> {
        (0..self.endpoints.len())
            .filter(|endpoint| self.endpoint_list.listed[*endpoint])
            .map(|endpoint| self.endpoint_update(endpoint))
            .collect()
    }

    /// Keeps when a proxy was first notified that an endpoint drains or is removed.
    fn note_drains(&mut self, proxy: usize, changes: &[EndpointUpdate]) {
        let notified_at = &mut self.proxies[proxy].drain_notified_at;
        for change in changes {
            if notified_at.len() <= change.endpoint.index() {
                notified_at.resize(change.endpoint.index() + 1, None);
            }
            let noted = &mut notified_at[change.endpoint.index()];
            if change.state == EndpointState::Ready {
                *noted = None;
            } else {
                noted.get_or_insert(self.now);
            }
        }
    }
}
