//! Injects a script's faults and records when each was active.

use crate::relays::PathFaults;
use crate::run_script::{Direction, Fault, FaultKind};
use crate::Harness;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;

/// Derives a separate random seed for each fault of a script.
const STREAM_MULTIPLIER: u64 = 0x9e37_79b9;

/// A fault and the proxies or endpoints that it targets.
pub(super) struct InjectedFault {
    /// Its index in the script.
    index: usize,
    fault: Fault,
    targets: Vec<usize>,
}

impl InjectedFault {
    pub(super) fn new(index: usize, fault: Fault, candidates: usize, seed: u64) -> Self {
        let stream = (index as u64 + 1).wrapping_mul(STREAM_MULTIPLIER);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ stream);
        let targets = select_targets(&fault, candidates, &mut random);
        InjectedFault {
            index,
            fault,
            targets,
        }
    }

    fn position(&self, proxy: usize) -> Option<usize> {
        self.targets.iter().position(|target| *target == proxy)
    }

    /// Whether it applies to the path from one proxy to another.
    fn affects_path(&self, from: usize, to: usize) -> bool {
        match self.fault.direction {
            Direction::Both => self.targets.contains(&from) || self.targets.contains(&to),
            Direction::Out => self.targets.contains(&from),
            Direction::In => self.targets.contains(&to),
        }
    }

    /// Returns the group of a proxy in a partition.
    fn group(&self, proxy: usize) -> Option<usize> {
        let groups = self.fault.strength as usize;
        self.position(proxy).map(|position| position % groups)
    }

    /// Adds its effect on the path from one proxy to another.
    fn apply_to_path(&self, from: usize, to: usize, path: &mut PathFaults) {
        let affected = self.affects_path(from, to);
        let strength = self.fault.strength;
        match self.fault.kind {
            FaultKind::Loss if affected => path.loss = probability_of_either(path.loss, strength),
            FaultKind::Duplicate if affected => {
                path.duplicated = probability_of_either(path.duplicated, strength)
            }
            FaultKind::Corrupt if affected => {
                path.corrupted = probability_of_either(path.corrupted, strength)
            }
            FaultKind::Delay if affected => path.delay_ms += strength,
            FaultKind::Cut => path.cut |= affected,
            FaultKind::Partition => path.cut |= self.group(from) != self.group(to),
            _ => {}
        }
    }
}

/// Returns the probability that at least one of two independent events occurs.
fn probability_of_either(first: f64, second: f64) -> f64 {
    1.0 - (1.0 - first) * (1.0 - second)
}

/// Selects a fault's targets: those it lists, or else a random fraction of the candidates. With the same seed, the
/// targets of a smaller fraction are a subset of those of a larger one. A partition targets all, in random order.
fn select_targets(fault: &Fault, candidates: usize, random: &mut ChaCha8Rng) -> Vec<usize> {
    if !fault.targets.is_empty() {
        let listed = fault.targets.iter().copied();
        return listed.filter(|target| *target < candidates).collect();
    }
    let mut keyed: Vec<(u64, usize)> = (0..candidates)
        .map(|candidate| (random.random(), candidate))
        .collect();
    keyed.sort_unstable();
    let shuffled = keyed.into_iter().map(|(_, candidate)| candidate);
    if fault.kind == FaultKind::Partition {
        return shuffled.collect();
    }
    let count = (fault.fraction * candidates as f64).round() as usize;
    let mut targets: Vec<usize> = shuffled.take(count).collect();
    targets.sort_unstable();
    targets
}

/// A period in which a proxy's process was killed, stopped or shut down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Outage {
    pub(super) proxy: usize,
    pub(super) from_ms: f64,
    pub(super) until_ms: f64,
    /// Whether other proxies have to detect it: the process was killed or stopped, not shut down gracefully.
    pub(super) unannounced: bool,
}

impl Outage {
    pub(super) fn overlaps(&self, from_ms: f64, until_ms: f64) -> bool {
        self.from_ms < until_ms && from_ms < self.until_ms
    }
}

/// A period in which proxies were cut off from others.
struct CutPeriod {
    from_ms: f64,
    until_ms: f64,
    proxies: Vec<usize>,
}

/// The active faults on paths, and the history of cuts and outages in the run.
#[derive(Default)]
pub(super) struct FaultHistory {
    path_faults: Vec<Rc<InjectedFault>>,
    cut_periods: Vec<CutPeriod>,
    pub(super) cut_ends_ms: Vec<f64>,
    pub(super) outages: Vec<Outage>,
}

impl FaultHistory {
    /// Whether one of two proxies was cut off at a given time, or less than `grace_ms` before it.
    pub(super) fn cut_off(&self, proxy: usize, other: usize, at_ms: f64, grace_ms: f64) -> bool {
        self.cut_periods.iter().any(|cut| {
            let active = cut.from_ms <= at_ms && at_ms < cut.until_ms + grace_ms;
            active && (cut.proxies.contains(&proxy) || cut.proxies.contains(&other))
        })
    }

    /// Whether a proxy had no outage within a time range.
    pub(super) fn ran_throughout(&self, proxy: usize, from_ms: f64, until_ms: f64) -> bool {
        !self
            .outages
            .iter()
            .any(|outage| outage.proxy == proxy && outage.overlaps(from_ms, until_ms))
    }

    /// Sets the faults of every path from all active faults.
    fn update_paths(&self, harness: &mut Harness) {
        let proxies = harness.proxies.len();
        for from in 0..proxies {
            for to in (0..proxies).filter(|to| *to != from) {
                let mut path = PathFaults::default();
                for fault in &self.path_faults {
                    fault.apply_to_path(from, to, &mut path);
                }
                harness.relays.set_faults(from, to, path);
            }
        }
    }

    pub(super) fn begin(&mut self, harness: &mut Harness, injected: &Rc<InjectedFault>) {
        let now_ms = harness.now();
        let fault = &injected.fault;
        let duration_ms = fault
            .duration_seconds
            .map_or(f64::INFINITY, |seconds| seconds * 1000.0);
        let until_ms = now_ms + duration_ms;
        if fault.kind.affects_paths() {
            self.path_faults.push(injected.clone());
            self.update_paths(harness);
        }
        if fault.kind.cuts_paths() {
            self.cut_periods.push(CutPeriod {
                from_ms: now_ms,
                until_ms,
                proxies: injected.targets.clone(),
            });
        }
        for target in injected.targets.iter().copied() {
            self.begin_for_target(harness, fault, target, now_ms, until_ms);
        }
    }

    fn begin_for_target(
        &mut self,
        harness: &mut Harness,
        fault: &Fault,
        target: usize,
        now_ms: f64,
        until_ms: f64,
    ) {
        let outage = Outage {
            proxy: target,
            from_ms: now_ms,
            until_ms,
            unannounced: fault.kind != FaultKind::Terminate,
        };
        match fault.kind {
            FaultKind::Kill | FaultKind::KillEmpty => {
                self.outages.push(outage);
                harness.kill(target);
            }
            FaultKind::Stop => {
                self.outages.push(outage);
                harness.stop(target);
            }
            FaultKind::Terminate => {
                self.outages.push(outage);
                harness.terminate(target);
            }
            FaultKind::Join => harness.start(target, true),
            FaultKind::Replay => {
                harness
                    .relays
                    .replay(now_ms, target, fault.strength * 1000.0);
            }
            FaultKind::SilentDiscovery => harness.discovery_silent[target] = true,
            FaultKind::Drain => harness.drain(target),
            FaultKind::Replace => harness.restart_endpoint(target),
            FaultKind::Flood => harness.flood(target, fault.strength, until_ms),
            FaultKind::Loss
            | FaultKind::Duplicate
            | FaultKind::Corrupt
            | FaultKind::Delay
            | FaultKind::Cut
            | FaultKind::Partition => {}
        }
    }

    pub(super) fn end(&mut self, harness: &mut Harness, injected: &InjectedFault) {
        self.path_faults
            .retain(|fault| fault.index != injected.index);
        self.update_paths(harness);
        if injected.fault.kind.cuts_paths() {
            self.cut_ends_ms.push(harness.now());
        }
        for target in injected.targets.iter().copied() {
            end_for_target(harness, injected.fault.kind, target);
        }
    }
}

fn end_for_target(harness: &mut Harness, kind: FaultKind, target: usize) {
    match kind {
        FaultKind::Kill => harness.start(target, true),
        FaultKind::KillEmpty => harness.start(target, false),
        FaultKind::Stop => harness.resume(target),
        FaultKind::Terminate => {
            // The graceful shutdown may not be complete.
            harness.kill(target);
            harness.start(target, true);
        }
        FaultKind::SilentDiscovery => harness.discovery_silent[target] = false,
        FaultKind::Drain => harness.restart_endpoint(target),
        _ => {}
    }
}
