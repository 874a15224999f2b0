//! Injects a script's faults, and records which were in force when.

use crate::relays::PathFaults;
use crate::run_script::{Direction, Fault, FaultKind};
use crate::Harness;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;

/// Gives each fault of a script a random stream of its own.
const STREAM_MULTIPLIER: u64 = 0x9e37_79b9;

/// A fault with those that it hits.
pub(super) struct InjectedFault {
    /// Its place in the script.
    index: usize,
    fault: Fault,
    targets: Vec<usize>,
}

impl InjectedFault {
    pub(super) fn new(index: usize, fault: Fault, candidates: usize, seed: u64) -> Self {
        let stream = (index as u64 + 1).wrapping_mul(STREAM_MULTIPLIER);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ stream);
        let targets = draw_targets(&fault, candidates, &mut random);
        InjectedFault {
            index,
            fault,
            targets,
        }
    }

    fn position(&self, proxy: usize) -> Option<usize> {
        self.targets.iter().position(|target| *target == proxy)
    }

    /// Whether it is about the path from one proxy to another.
    fn hits_path(&self, from: usize, to: usize) -> bool {
        match self.fault.direction {
            Direction::Both => self.targets.contains(&from) || self.targets.contains(&to),
            Direction::Out => self.targets.contains(&from),
            Direction::In => self.targets.contains(&to),
        }
    }

    /// In which group of a partition a proxy is.
    fn group(&self, proxy: usize) -> Option<usize> {
        let groups = self.fault.strength as usize;
        self.position(proxy).map(|position| position % groups)
    }

    /// Adds what it does to the path from one proxy to another.
    fn apply_to_path(&self, from: usize, to: usize, path: &mut PathFaults) {
        let hit = self.hits_path(from, to);
        let strength = self.fault.strength;
        match self.fault.kind {
            FaultKind::Loss if hit => path.loss = either(path.loss, strength),
            FaultKind::Duplicate if hit => path.duplicated = either(path.duplicated, strength),
            FaultKind::Corrupt if hit => path.corrupted = either(path.corrupted, strength),
            FaultKind::Delay if hit => path.delay_ms += strength,
            FaultKind::Cut => path.cut |= hit,
            FaultKind::Partition => path.cut |= self.group(from) != self.group(to),
            _ => {}
        }
    }
}

/// The probability that at least one of two independent events happens.
fn either(first: f64, second: f64) -> f64 {
    1.0 - (1.0 - first) * (1.0 - second)
}

/// Whom a fault hits: those that it names, or a fraction at random. With one seed, a smaller fraction is part of a
/// larger one. A partition hits all, in random order.
fn draw_targets(fault: &Fault, candidates: usize, random: &mut ChaCha8Rng) -> Vec<usize> {
    if !fault.targets.is_empty() {
        let named = fault.targets.iter().copied();
        return named.filter(|target| *target < candidates).collect();
    }
    let mut drawn: Vec<(u64, usize)> = (0..candidates)
        .map(|candidate| (random.random(), candidate))
        .collect();
    drawn.sort_unstable();
    let shuffled = drawn.into_iter().map(|(_, candidate)| candidate);
    if fault.kind == FaultKind::Partition {
        return shuffled.collect();
    }
    let count = (fault.fraction * candidates as f64).round() as usize;
    let mut targets: Vec<usize> = shuffled.take(count).collect();
    targets.sort_unstable();
    targets
}

/// A proxy whose process was sent a signal that ends or stops it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Outage {
    pub(super) proxy: usize,
    pub(super) from_ms: f64,
    pub(super) until_ms: f64,
    /// Whether the others have to find out by themselves: killed or stopped, not shut down.
    pub(super) unannounced: bool,
}

impl Outage {
    pub(super) fn overlaps(&self, from_ms: f64, until_ms: f64) -> bool {
        self.from_ms < until_ms && from_ms < self.until_ms
    }
}

/// Proxies that were kept from others.
struct Cut {
    from_ms: f64,
    until_ms: f64,
    proxies: Vec<usize>,
}

/// The faults of a run: those in force now, and what is to be known of those that are over.
#[derive(Default)]
pub(super) struct FaultRecord {
    path_faults: Vec<Rc<InjectedFault>>,
    cuts: Vec<Cut>,
    /// When cuts ended.
    pub(super) healed_ms: Vec<f64>,
    pub(super) outages: Vec<Outage>,
}

impl FaultRecord {
    /// Whether one of two proxies was cut off at a moment, or not long enough before it for the news of that to
    /// have gone.
    pub(super) fn cut_off(&self, proxy: usize, other: usize, at_ms: f64, linger_ms: f64) -> bool {
        self.cuts.iter().any(|cut| {
            let in_force = cut.from_ms <= at_ms && at_ms < cut.until_ms + linger_ms;
            in_force && (cut.proxies.contains(&proxy) || cut.proxies.contains(&other))
        })
    }

    /// Whether a proxy had no outage within a span of time.
    pub(super) fn ran(&self, proxy: usize, from_ms: f64, until_ms: f64) -> bool {
        !self
            .outages
            .iter()
            .any(|outage| outage.proxy == proxy && outage.overlaps(from_ms, until_ms))
    }

    /// Sets every path by all faults in force together.
    fn set_paths(&self, harness: &mut Harness) {
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
        if fault.kind.hits_paths() {
            self.path_faults.push(injected.clone());
            self.set_paths(harness);
        }
        if fault.kind.cuts() {
            self.cuts.push(Cut {
                from_ms: now_ms,
                until_ms,
                proxies: injected.targets.clone(),
            });
        }
        for target in injected.targets.iter().copied() {
            self.begin_at(harness, fault, target, now_ms, until_ms);
        }
    }

    fn begin_at(
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
        self.set_paths(harness);
        if injected.fault.kind.cuts() {
            self.healed_ms.push(harness.now());
        }
        for target in injected.targets.iter().copied() {
            end_at(harness, injected.fault.kind, target);
        }
    }
}

fn end_at(harness: &mut Harness, kind: FaultKind, target: usize) {
    match kind {
        FaultKind::Kill => harness.start(target, true),
        FaultKind::KillEmpty => harness.start(target, false),
        FaultKind::Stop => harness.resume(target),
        FaultKind::Terminate => {
            // It may still be at its last answers.
            harness.kill(target);
            harness.start(target, true);
        }
        FaultKind::SilentDiscovery => harness.discovery_silent[target] = false,
        FaultKind::Drain => harness.restart_endpoint(target),
        _ => {}
    }
}
