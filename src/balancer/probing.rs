//! Load probes: if endpoints report load only when probed, a request probes two and briefly waits.

use super::{Balancer, Timer};
use crate::state::{Endpoint, Request};
use crate::types::{Actions, EndpointId, LoadReport, RequestId};
use crate::weighted_choice::choose_weighted;

const PROBES_PER_REQUEST: usize = 2; // more would overload the endpoint that last reported low load
const LIGHT_LOAD_FRACTION: f64 = 0.3; // of its limit; below it only a key's first endpoint is probed, to save probes
const FRESH_REPORT_AGE_MS: f64 = 300.0; // endpoints refresh reports a few times per second at most
const MAX_WAIT: f64 = 0.1; // as a fraction of the latency objective; a probe may be queued or lost

impl Balancer {
    /// Probes endpoints before a request's first attempt. Returns whether the request waits for a response.
    pub(super) fn probe_candidates(&mut self, actions: &mut dyn Actions, id: RequestId) -> bool {
        if !self.settings.load_by_probes {
            return false;
        }
        let probed = self.choose_probe_targets(id);
        for id in &probed {
            let endpoint = &self.endpoints[id];
            let is_fresh = self.now_ms - endpoint.reported_at_ms < FRESH_REPORT_AGE_MS;
            let has_report = is_fresh && endpoint.reported_load(self.now_ms).is_some();
            if !has_report && self.pending_probes.insert(*id) {
                actions.probe(*id);
            }
        }
        let request = self.requests.get_mut(&id).expect("the request was just inserted");
        request.awaits_probes = probed.iter().any(|endpoint| self.pending_probes.contains(endpoint));
        request.probed = probed;
        if !request.awaits_probes {
            return false;
        }
        let at_ms = request.deadline_ms.min(self.now_ms + MAX_WAIT * request.settings.latency_objective_ms);
        self.set_timer(actions, at_ms, Timer::ProbeWait { request: id });
        true
    }

    /// The preferred endpoints of the affinity key, and others chosen by their weights.
    fn choose_probe_targets(&mut self, id: RequestId) -> Vec<EndpointId> {
        let mut candidates = self.candidates(id);
        let offered = candidates.iter().map(|candidate| candidate.endpoint);
        let mut probed = self.rendezvous_top(self.requests[&id].affinity_key, offered);
        let is_light = probed.first().is_some_and(|first| self.is_lightly_loaded(&self.endpoints[first]));
        let count = if is_light { 1 } else { PROBES_PER_REQUEST };
        probed.truncate(count);
        candidates.retain(|candidate| !probed.contains(&candidate.endpoint));
        while probed.len() < count && !candidates.is_empty() {
            let chosen = choose_weighted(&mut self.rng, &candidates);
            candidates.retain(|candidate| candidate.endpoint != chosen);
            probed.push(chosen);
        }
        probed
    }

    fn is_lightly_loaded(&self, endpoint: &Endpoint) -> bool {
        let threshold = LIGHT_LOAD_FRACTION * endpoint.statistics.concurrency_limit;
        endpoint.reported_load(self.now_ms).is_some_and(|load| load < threshold)
    }

    /// Starts a request's first attempt with the load reports received so far.
    pub(super) fn end_probe_wait(&mut self, actions: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut request.awaits_probes) {
            self.continue_request(actions, id);
        }
    }

    /// Handles the response to a probe, or `None` if the probe failed.
    pub fn probe_ended(
        &mut self,
        actions: &mut dyn Actions,
        now_ms: f64,
        endpoint: EndpointId,
        report: Option<LoadReport>,
    ) {
        self.now_ms = now_ms;
        // A response without a pending probe is ignored: it may come from a replaced process.
        let pending = self.pending_probes.remove(&endpoint);
        if let Some((report, endpoint)) = report.filter(|_| pending).zip(self.endpoints.get_mut(&endpoint)) {
            endpoint.update_report(report, now_ms, endpoint.own_in_flight());
        }
        let waits = |request: &Request| request.probed.iter().any(|id| self.pending_probes.contains(id));
        let ready = self.requests.iter().filter(|(_, request)| request.awaits_probes && !waits(request));
        for request in ready.map(|(id, _)| *id).collect::<Vec<RequestId>>() {
            self.end_probe_wait(actions, request);
        }
    }
}
