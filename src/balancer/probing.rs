//! Probing: where endpoints report load only when they are asked, a request asks two and waits a moment.

use super::{Balancer, Timer};
use crate::state::{Endpoint, Request};
use crate::types::{Actions, EndpointId, LoadReport, RequestId};
use crate::weighted_choice::choose_weighted;

const PROBES_PER_REQUEST: usize = 2; // more would crowd whichever endpoint looked empty last
const LIGHT_LOAD: f64 = 0.3; // of its limit: a key's first endpoint is then asked alone, to save probes
const FRESH_REPORT_MS: f64 = 300.0; // a report renews itself a few times a second at best
const WAIT_PART: f64 = 0.1; // of the latency objective: a probe may wait in a queue, or be lost

impl Balancer {
    /// Asks endpoints for their load before a request's first attempt; whether it waits for an answer.
    pub(super) fn probe_candidates(&mut self, out: &mut dyn Actions, id: RequestId) -> bool {
        if !self.settings.load_by_probes {
            return false;
        }
        let probed = self.choose_probed(id);
        for id in &probed {
            let endpoint = &self.endpoints[id];
            let is_fresh = self.now_ms - endpoint.reported_at_ms < FRESH_REPORT_MS;
            let has_report = is_fresh && endpoint.reported_load(self.now_ms).is_some();
            if !has_report && self.probes.insert(*id) {
                out.probe(*id);
            }
        }
        let request = self.requests.get_mut(&id).expect("it has just come in");
        request.awaits_probes = probed.iter().any(|endpoint| self.probes.contains(endpoint));
        request.probed = probed;
        if !request.awaits_probes {
            return false;
        }
        let at_ms = request.deadline_ms.min(self.now_ms + WAIT_PART * request.settings.latency_objective_ms);
        self.set_timer(out, at_ms, Timer::ProbeWait { request: id });
        true
    }

    /// The first endpoints of the request's key, and others drawn by the split.
    fn choose_probed(&mut self, id: RequestId) -> Vec<EndpointId> {
        let mut candidates = self.candidates(id);
        let offered = candidates.iter().map(|candidate| candidate.endpoint);
        let mut probed = self.rendezvous_candidates(self.requests[&id].affinity_key, offered);
        let is_light = probed.first().is_some_and(|first| self.is_light(&self.endpoints[first]));
        let count = if is_light { 1 } else { PROBES_PER_REQUEST };
        probed.truncate(count);
        candidates.retain(|candidate| !probed.contains(&candidate.endpoint));
        while probed.len() < count && !candidates.is_empty() {
            let drawn = choose_weighted(&mut self.rng, &candidates);
            candidates.retain(|candidate| candidate.endpoint != drawn);
            probed.push(drawn);
        }
        probed
    }

    fn is_light(&self, endpoint: &Endpoint) -> bool {
        let light = LIGHT_LOAD * endpoint.statistics.concurrency_limit;
        endpoint.reported_load(self.now_ms).is_some_and(|load| load < light)
    }

    /// A request goes on with the reports that it has.
    pub(super) fn end_probe_wait(&mut self, out: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut request.awaits_probes) {
            self.proceed(out, id);
        }
    }

    /// A probe has been answered, or there is no answer.
    pub fn probe_ended(
        &mut self,
        out: &mut dyn Actions,
        now_ms: f64,
        endpoint: EndpointId,
        answer: Option<LoadReport>,
    ) {
        self.now_ms = now_ms;
        // The answer to a probe that was given up, or never sent, tells nothing.
        let awaited = self.probes.remove(&endpoint);
        if let Some((report, endpoint)) = answer.filter(|_| awaited).zip(self.endpoints.get_mut(&endpoint)) {
            endpoint.update_report(report, now_ms, endpoint.own_in_flight());
        }
        let awaits = |request: &Request| request.probed.iter().any(|probed| self.probes.contains(probed));
        let ready = self.requests.iter().filter(|(_, request)| request.awaits_probes && !awaits(request));
        for request in ready.map(|(id, _)| *id).collect::<Vec<RequestId>>() {
            self.end_probe_wait(out, request);
        }
    }
}
