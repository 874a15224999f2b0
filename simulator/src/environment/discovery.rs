//! Discovery: the endpoint list, its change log, and notifications to proxies.

use super::event_queue::Event;
use super::Environment;
use crankmux::types::{EndpointId, EndpointState, EndpointUpdate};

/// The endpoint list as held by discovery.
pub(super) struct EndpointList {
    /// Whether each endpoint is in the list.
    pub(super) listed: Vec<bool>,
    /// All changes in order.
    changes: Vec<EndpointUpdate>,
    /// Number of active faults that make discovery unavailable.
    pub(super) outages: usize,
    /// Clock offset in the start time that discovery reports for each endpoint.
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
    /// Returns the current state of an endpoint as discovery reports it.
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

    /// Appends a change to the list and notifies each proxy after a random delay.
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

    /// Starts a proxy with its last known endpoint list, and schedules a notification with the current one.
    pub(super) fn start_proxy(&mut self, proxy: usize) {
        let list = self.last_known_list(proxy);
        self.with_policy(proxy, |policy, now, _| {
            policy.update_endpoints(now, &list, true, true)
        });
        // Discovery sends the list without a request from the proxy.
        let delay_ms = self.script.discovery.notification_delay_ms;
        let full_list = true;
        self.schedule(delay_ms, Event::ProxyNotified { proxy, full_list });
        self.handle_policy_needs(proxy);
    }

    /// Returns the endpoints at the start of the run, updated by the changes that this proxy was notified of.
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
            let existing = list
                .iter_mut()
                .find(|update| update.endpoint == change.endpoint);
            match existing {
                Some(update) => *update = *change,
                None => list.push(*change),
            }
        }
        list.retain(|update| update.state != EndpointState::Removed);
        list
    }

    /// Sends a proxy the changes since its last notification, or the full list.
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
        self.record_drain_notifications(proxy, &changes);
        let updates = if full_list {
            self.listed_endpoints()
        } else {
            changes
        };
        self.with_policy(proxy, |policy, now, _| {
            policy.update_endpoints(now, &updates, full_list, false)
        });
        self.handle_policy_needs(proxy);
    }

    fn listed_endpoints(&self) -> Vec<EndpointUpdate> {
        (0..self.endpoints.len())
            .filter(|endpoint| self.endpoint_list.listed[*endpoint])
            .map(|endpoint| self.endpoint_update(endpoint))
            .collect()
    }

    /// Records when a proxy was first notified that an endpoint drains or is removed.
    fn record_drain_notifications(&mut self, proxy: usize, changes: &[EndpointUpdate]) {
        let drain_notifications = &mut self.proxies[proxy].drain_notified_at;
        for change in changes {
            if drain_notifications.len() <= change.endpoint.index() {
                drain_notifications.resize(change.endpoint.index() + 1, None);
            }
            let notified_at = &mut drain_notifications[change.endpoint.index()];
            if change.state == EndpointState::Ready {
                *notified_at = None;
            } else {
                notified_at.get_or_insert(self.now);
            }
        }
    }
}
