//! Begin and end of faults: one-time effects, and effects that last while a fault is active.

use super::event_queue::Event;
use super::Environment;
use crate::faults::{endpoint_faults, select_targets, FaultTargets, Partitions};
use crate::script::{Fault, FaultKind};

/// Interval at which target endpoints of a pause fault may pause.
const PAUSE_INTERVAL_MS: f64 = 100.0;
/// Probability that a target endpoint pauses in an interval: once a second on average.
const PAUSE_PROBABILITY: f64 = 0.1;

/// A fault that has begun and has not ended.
pub(super) struct ActiveFault {
    /// Index of the fault in the script.
    index: usize,
    targets: FaultTargets,
}

impl Environment<'_> {
    /// Recomputes the combined effect of the active faults on endpoints and zones.
    pub(super) fn apply_faults(&mut self) {
        let script = self.script;
        let active: Vec<(&Fault, &FaultTargets)> = self
            .active_faults
            .iter()
            .map(|active| (&script.faults[active.index], &active.targets))
            .collect();
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.faults = endpoint_faults(&active, index);
        }
        self.partitions = Partitions::from_faults(&active, script.zones.len());
    }

    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = &self.script.faults[index];
        let listed = &self.endpoint_list.listed;
        let targets = select_targets(self.script, index, self.seed, &self.endpoints, listed);
        let duration_ms = 1000.0 * fault.duration_s;
        self.schedule(duration_ms, Event::FaultEnds { fault: index });
        self.start_effects(index, fault, &targets);
        self.active_faults.push(ActiveFault { index, targets });
        self.apply_faults();
    }

    /// Applies the one-time effects of a fault when it begins.
    fn start_effects(&mut self, index: usize, fault: &Fault, targets: &FaultTargets) {
        let duration_ms = 1000.0 * fault.duration_s;
        match fault.kind {
            FaultKind::Hang => {
                for endpoint in &targets.endpoints {
                    self.pause_endpoint(*endpoint, duration_ms);
                }
            }
            FaultKind::Pauses => self.schedule(0.0, Event::EndpointsPause { fault: index }),
            FaultKind::Release => {
                let step_ms = duration_ms / targets.endpoints.len().max(1) as f64;
                for (step, endpoint) in targets.endpoints.iter().copied().enumerate() {
                    self.schedule(step_ms * step as f64, Event::EndpointReplaced { endpoint });
                }
            }
            FaultKind::KillEndpoints => {
                for endpoint in &targets.endpoints {
                    self.kill_endpoint(*endpoint, 1000.0 * fault.strength);
                }
            }
            FaultKind::KillProxies => {
                for proxy in &targets.proxies {
                    self.kill_proxy(*proxy, 1000.0 * fault.strength);
                }
            }
            FaultKind::DiscoveryDown => self.endpoint_list.outages += 1,
            FaultKind::ClockStep => self.shift_clocks(targets, 1000.0 * fault.strength),
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        let fault = &self.script.faults[index];
        if fault.kind == FaultKind::DiscoveryDown {
            self.endpoint_list.outages -= 1;
            self.schedule_notifications(true);
        }
        let is_ended = |active: &ActiveFault| active.index == index;
        if let Some(position) = self.active_faults.iter().position(is_ended) {
            let ended = self.active_faults.remove(position);
            if fault.kind == FaultKind::ClockStep {
                self.shift_clocks(&ended.targets, -1000.0 * fault.strength);
            }
        }
        self.apply_faults();
    }

    fn shift_clocks(&mut self, targets: &FaultTargets, offset_ms: f64) {
        for endpoint in &targets.endpoints {
            self.endpoint_list.clock_offsets_ms[*endpoint] += offset_ms;
        }
    }

    fn pause_endpoint(&mut self, endpoint: usize, duration_ms: f64) {
        let until = self.now + duration_ms;
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.paused_until = endpoint.paused_until.max(until);
    }

    /// Pauses each target of an active fault with a fixed probability, and schedules the next round.
    pub(super) fn pause_endpoints(&mut self, index: usize) {
        let pause_ms = self.script.faults[index].strength;
        let active = self
            .active_faults
            .iter()
            .find(|active| active.index == index);
        let Some(active) = active else {
            return;
        };
        for endpoint in active.targets.endpoints.clone() {
            if self.random.faults.bernoulli(PAUSE_PROBABILITY) {
                self.pause_endpoint(endpoint, pause_ms);
            }
        }
        self.schedule(PAUSE_INTERVAL_MS, Event::EndpointsPause { fault: index });
    }
}
