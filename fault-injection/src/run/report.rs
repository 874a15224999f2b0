//! What a run came to, computed from the proxies' views, the invariant checker's record and the measurements.

use super::faults::{FaultRecord, Outage};
use super::{ResourceUse, RunParameters};
use crate::harness::Service;
use crate::run_script::RunScript;
use crate::{Harness, View};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

const FAILED: &str = "failed";
/// Outages that are shorter need not be seen by anybody.
const NOTICEABLE_OUTAGE_MS: f64 = 4000.0;
/// How long views are looked at after a cut is healed.
const CONVERGENCE_TIMEOUT_MS: f64 = 30_000.0;
/// How long a proxy has to have run, and a cut to be over, before a view that holds it for failed is wrong.
const STALE_VIEW_MS: f64 = 10_000.0;
/// Views at the end of a run are at most this old.
const RECENT_VIEW_MS: f64 = 5000.0;
/// Bounds of the counts of attempts after their client had left.
const LATE_ATTEMPT_RANGES_MS: [Range<f64>; 4] =
    [0.0..10.0, 10.0..30.0, 30.0..100.0, 100.0..f64::INFINITY];

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// How many there are, with those that never came.
    pub count: usize,
    /// The median of those that came.
    pub median: f64,
    /// Their 99th percentile.
    pub p99: f64,
    /// The longest of them.
    #[serde(rename = "most")]
    pub max: f64,
    /// Those that never came.
    pub never: usize,
}

impl Times {
    fn of(times: &[Option<f64>]) -> Self {
        let mut came: Vec<f64> = times.iter().flatten().copied().collect();
        came.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            let last = came.len().max(1) - 1;
            let index = ((came.len() as f64 * fraction) as usize).min(last);
            came.get(index).copied().unwrap_or(0.0)
        };
        Times {
            count: times.len(),
            median: quantile(0.5),
            p99: quantile(0.99),
            max: came.last().copied().unwrap_or(0.0),
            never: times.len() - came.len(),
        }
    }
}

/// What a run came to. In JSON the fields have the names of docs/rig.md and of earlier reports.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The script's name.
    pub name: String,
    /// The number of proxies.
    pub processes: usize,
    /// How long the load ran.
    pub seconds: f64,
    /// The run's seed.
    pub seed: u64,
    /// Whether the proxies formed a cluster.
    #[serde(rename = "fleet")]
    pub cluster: bool,
    /// The number of proxies according to the settings.
    #[serde(rename = "told")]
    pub configured_proxies: usize,
    /// From the start of all processes until all knew all.
    pub joined_ms: Option<f64>,
    /// From each kill or stop until each proxy that ran saw it.
    #[serde(rename = "kill_known")]
    pub failure_detection: Times,
    /// From the end of each cut until all views were equal.
    #[serde(rename = "healed")]
    pub convergence: Times,
    /// Pairs of proxies of which one was held for failed though it ran and nothing cut it off.
    pub false_alarms: usize,
    /// What clients got.
    #[serde(flatten)]
    pub service: Service,
    /// How often each rule was broken, in the order of their numbers.
    pub rules_broken: [u64; 5],
    /// Broken rules in words.
    pub broken: Vec<String>,
    /// Clients that left while their request waited.
    pub clients_left: u64,
    /// Attempts for those, by how long after: under 10, 30 and 100 ms, and over.
    #[serde(rename = "pushes_after_leaves")]
    pub attempts_after_leaves: [usize; 4],
    /// How many proxies each assumed at the end, on average over those that ran.
    #[serde(rename = "assumed_at_end")]
    pub assumed_proxies_at_end: f64,
    /// What the first proxy that ran at the end made of the others.
    pub seen_at_end: Option<(usize, BTreeMap<usize, String>)>,
    /// Latencies of requests that succeeded.
    pub latency_ms: Times,
    /// Their 99.9th percentile.
    pub latency_p999_ms: f64,
    /// Bytes of datagrams a second, on average over the proxies.
    #[serde(rename = "datagram_bytes_a_second_a_node")]
    pub datagram_bytes_per_second: f64,
    /// Milliseconds of processor time a second, on average over the proxies.
    #[serde(rename = "cpu_ms_a_second_a_node")]
    pub cpu_ms_per_second: f64,
    /// For each second, the fraction of its requests that succeeded within the latency objective.
    pub by_second: Vec<f64>,
}

/// A run that is over.
pub(super) struct Outcome<'run> {
    pub(super) harness: &'run Harness,
    pub(super) script: &'run RunScript,
    pub(super) record: &'run FaultRecord,
    pub(super) parameters: RunParameters,
    pub(super) joined_ms: f64,
    pub(super) resource_use: ResourceUse,
}

impl Outcome<'_> {
    pub(super) fn report(&self) -> Report {
        let harness = self.harness;
        let cluster = self.parameters.cluster;
        let (clients_left, attempts_after_leaves) = self.attempts_after_leaves();
        let (latency_ms, latency_p999_ms) = self.latencies();
        Report {
            name: self.script.name.clone(),
            processes: self.script.processes,
            seconds: self.script.seconds,
            seed: self.parameters.seed,
            cluster,
            configured_proxies: self.parameters.configured_proxies,
            joined_ms: cluster.then_some(self.joined_ms),
            failure_detection: self.failure_detection(),
            convergence: self.convergence(),
            false_alarms: self.false_alarms(),
            service: harness.service,
            rules_broken: harness.invariants.counts(),
            broken: harness.violations(),
            clients_left,
            attempts_after_leaves,
            assumed_proxies_at_end: self.assumed_proxies_at_end(),
            seen_at_end: self.seen_at_end(),
            latency_ms,
            latency_p999_ms,
            datagram_bytes_per_second: self.resource_use.datagram_bytes_per_second,
            cpu_ms_per_second: self.resource_use.cpu_ms_per_second,
            by_second: harness.in_time_fraction_by_second(),
        }
    }

    fn proxies(&self) -> Range<usize> {
        0..self.script.processes
    }

    /// From each outage that nobody announced until each proxy that ran for long enough saw it.
    fn failure_detection(&self) -> Times {
        let mut times = Vec::new();
        for outage in self.record.outages.iter().filter(|o| o.unannounced) {
            if self.parameters.cluster && self.is_noticeable(outage) {
                times.extend(self.detection_times(outage));
            }
        }
        Times::of(&times)
    }

    /// Whether an outage was long enough to be seen.
    fn is_noticeable(&self, outage: &Outage) -> bool {
        outage.until_ms - outage.from_ms > NOTICEABLE_OUTAGE_MS
    }

    fn detection_times(&self, outage: &Outage) -> Vec<Option<f64>> {
        let from_ms = outage.from_ms;
        let noticeable_ms = from_ms + NOTICEABLE_OUTAGE_MS;
        let observers: Vec<usize> = self
            .proxies()
            .filter(|proxy| *proxy != outage.proxy)
            .filter(|proxy| self.record.ran(*proxy, from_ms, noticeable_ms))
            .collect();
        self.harness
            .saw(&observers, outage.proxy, FAILED, from_ms)
            .into_iter()
            .map(|seen| seen.map(|at_ms| at_ms - from_ms))
            .collect()
    }

    fn convergence(&self) -> Times {
        let times: Vec<Option<f64>> = self
            .record
            .healed_ms
            .iter()
            .map(|healed_ms| {
                let until_ms = healed_ms + CONVERGENCE_TIMEOUT_MS;
                let converged_ms = self.harness.converged_at_ms(*healed_ms, until_ms)?;
                Some(converged_ms - healed_ms)
            })
            .collect();
        Times::of(&times)
    }

    fn false_alarms(&self) -> usize {
        let mut pairs = BTreeSet::new();
        for view in &self.harness.views {
            for (other, state) in &view.states {
                if state == FAILED && self.is_false_alarm(view, *other) {
                    pairs.insert((view.proxy, *other));
                }
            }
        }
        pairs.len()
    }

    /// Whether a proxy ran, and nothing cut it off, for long enough before a view that holds it for failed.
    fn is_false_alarm(&self, view: &View, other: usize) -> bool {
        let since_ms = view.at_ms - STALE_VIEW_MS;
        self.record.ran(other, since_ms, view.at_ms)
            && !self
                .record
                .cut_off(view.proxy, other, view.at_ms, STALE_VIEW_MS)
            && self.harness.started_ms(other) < since_ms
    }

    fn seen_at_end(&self) -> Option<(usize, BTreeMap<usize, String>)> {
        self.proxies().find_map(|proxy| {
            let view = self.harness.view(proxy)?;
            Some((proxy, view.states.clone()))
        })
    }

    fn assumed_proxies_at_end(&self) -> f64 {
        let assumed: Vec<f64> = self
            .proxies()
            .filter_map(|proxy| self.harness.view(proxy))
            .filter(|view| self.harness.now() - view.at_ms < RECENT_VIEW_MS)
            .map(|view| view.assumed_proxies)
            .collect();
        assumed.iter().sum::<f64>() / assumed.len().max(1) as f64
    }

    /// The latencies, and their 99.9th percentile.
    fn latencies(&self) -> (Times, f64) {
        let mut latencies_ms: Vec<f64> = self.harness.latencies_ms().to_vec();
        latencies_ms.sort_by(f64::total_cmp);
        let p999_index = (latencies_ms.len() as f64 * 0.999) as usize;
        let p999_ms = latencies_ms.get(p999_index).copied().unwrap_or(0.0);
        let all: Vec<Option<f64>> = latencies_ms.into_iter().map(Some).collect();
        (Times::of(&all), p999_ms)
    }

    /// The number of clients that left, and of the attempts for them, by how long after.
    fn attempts_after_leaves(&self) -> (u64, [usize; 4]) {
        let invariants = &self.harness.invariants;
        let delays_ms = invariants.attempt_delays_after_departure_ms();
        let counts = LATE_ATTEMPT_RANGES_MS.map(|range| {
            let in_range = delays_ms.iter().filter(|delay_ms| range.contains(delay_ms));
            in_range.count()
        });
        (invariants.clients_left(), counts)
    }
}
