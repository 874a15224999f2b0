//! The report of a run, computed from the proxies' views, the invariant checker and the measurements.

use super::faults::{FaultHistory, Outage};
use super::{ResourceUsage, RunParameters};
use crate::harness::Service;
use crate::run_script::RunScript;
use crate::{Harness, View};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

const FAILED: &str = "failed";
/// Shorter outages need not be detected by other proxies.
const MIN_DETECTABLE_OUTAGE_MS: f64 = 4000.0;
/// How long after the end of a cut the proxies' views may take to converge.
const CONVERGENCE_TIMEOUT_MS: f64 = 30_000.0;
/// How long a proxy must have been running without a cut before a view that reports it as failed is a false alarm.
const FALSE_ALARM_GRACE_MS: f64 = 10_000.0;
/// The maximum age of a view at the end of a run.
const MAX_FINAL_VIEW_AGE_MS: f64 = 5000.0;
/// Ranges by which attempts after their client disconnected are counted.
const LATE_ATTEMPT_RANGES_MS: [Range<f64>; 4] =
    [0.0..10.0, 10.0..30.0, 30.0..100.0, 100.0..f64::INFINITY];

/// Statistics of durations in milliseconds. An expected event that does not occur has no duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// The number of expected events.
    pub count: usize,
    /// The median duration.
    pub median: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The longest duration.
    #[serde(rename = "most")]
    pub max: f64,
    /// The number of events that did not occur.
    pub never: usize,
}

impl Times {
    fn of(times: &[Option<f64>]) -> Self {
        let mut durations_ms: Vec<f64> = times.iter().flatten().copied().collect();
        durations_ms.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            let last = durations_ms.len().max(1) - 1;
            let index = ((durations_ms.len() as f64 * fraction) as usize).min(last);
            durations_ms.get(index).copied().unwrap_or(0.0)
        };
        Times {
            count: times.len(),
            median: quantile(0.5),
            p99: quantile(0.99),
            max: durations_ms.last().copied().unwrap_or(0.0),
            never: times.len() - durations_ms.len(),
        }
    }
}

/// The report of a run. Its JSON keys are stable, since other tools read them.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The script's name.
    pub name: String,
    /// The number of proxies.
    pub processes: usize,
    /// The duration of the load.
    pub seconds: f64,
    /// The random seed.
    pub seed: u64,
    /// Whether the proxies formed a cluster.
    #[serde(rename = "fleet")]
    pub cluster: bool,
    /// The number of proxies that the settings announce.
    #[serde(rename = "told")]
    pub configured_proxies: usize,
    /// The time until all proxies had joined the cluster.
    pub joined_ms: Option<f64>,
    /// The time from each kill or stop until each running proxy detected it.
    #[serde(rename = "kill_known")]
    pub failure_detection: Times,
    /// The time from the end of each cut until all views were equal.
    #[serde(rename = "healed")]
    pub convergence: Times,
    /// The number of pairs of proxies where one reported the other as failed although it was running and reachable.
    pub false_alarms: usize,
    /// Counts of request outcomes.
    #[serde(flatten)]
    pub service: Service,
    /// The number of violations of each invariant, in the order of the invariants.
    pub rules_broken: [u64; 5],
    /// Descriptions of the violations.
    pub broken: Vec<String>,
    /// The number of clients that disconnected while their request was pending.
    pub clients_left: u64,
    /// The number of attempts for those clients, by delay after the disconnect: under 10, 30 and 100 ms, and longer.
    #[serde(rename = "pushes_after_leaves")]
    pub attempts_after_leaves: [usize; 4],
    /// The number of proxies that each running proxy assumed at the end, on average.
    #[serde(rename = "assumed_at_end")]
    pub assumed_proxies_at_end: f64,
    /// The first proxy with a view at the end, and the states of the others in that view.
    pub seen_at_end: Option<(usize, BTreeMap<usize, String>)>,
    /// Latencies of successful requests.
    pub latency_ms: Times,
    /// The 99.9th percentile of those latencies.
    pub latency_p999_ms: f64,
    /// Datagram bytes per second, on average over the proxies.
    #[serde(rename = "datagram_bytes_a_second_a_node")]
    pub datagram_bytes_per_second: f64,
    /// Milliseconds of processor time per second, on average over the proxies.
    #[serde(rename = "cpu_ms_a_second_a_node")]
    pub cpu_ms_per_second: f64,
    /// For each second, the fraction of requests that succeeded within the latency objective.
    pub by_second: Vec<f64>,
}

/// The data of a completed run.
pub(super) struct CompletedRun<'run> {
    pub(super) harness: &'run Harness,
    pub(super) script: &'run RunScript,
    pub(super) history: &'run FaultHistory,
    pub(super) parameters: RunParameters,
    pub(super) joined_ms: f64,
    pub(super) resource_usage: ResourceUsage,
}

impl CompletedRun<'_> {
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
            datagram_bytes_per_second: self.resource_usage.datagram_bytes_per_second,
            cpu_ms_per_second: self.resource_usage.cpu_ms_per_second,
            by_second: harness.in_time_fraction_by_second(),
        }
    }

    fn proxies(&self) -> Range<usize> {
        0..self.script.processes
    }

    /// Returns the time from each unannounced outage until each proxy that ran long enough detected it.
    fn failure_detection(&self) -> Times {
        let mut times = Vec::new();
        for outage in self.history.outages.iter().filter(|o| o.unannounced) {
            if self.parameters.cluster && self.must_be_detected(outage) {
                times.extend(self.detection_times(outage));
            }
        }
        Times::of(&times)
    }

    /// Whether an outage was long enough that other proxies must detect it.
    fn must_be_detected(&self, outage: &Outage) -> bool {
        outage.until_ms - outage.from_ms > MIN_DETECTABLE_OUTAGE_MS
    }

    fn detection_times(&self, outage: &Outage) -> Vec<Option<f64>> {
        let from_ms = outage.from_ms;
        let detectable_ms = from_ms + MIN_DETECTABLE_OUTAGE_MS;
        let observers: Vec<usize> = self
            .proxies()
            .filter(|proxy| *proxy != outage.proxy)
            .filter(|proxy| self.history.ran_throughout(*proxy, from_ms, detectable_ms))
            .collect();
        self.harness
            .saw(&observers, outage.proxy, FAILED, from_ms)
            .into_iter()
            .map(|seen| seen.map(|at_ms| at_ms - from_ms))
            .collect()
    }

    fn convergence(&self) -> Times {
        let times: Vec<Option<f64>> = self
            .history
            .cut_ends_ms
            .iter()
            .map(|cut_end_ms| {
                let until_ms = cut_end_ms + CONVERGENCE_TIMEOUT_MS;
                let converged_ms = self.harness.converged_at_ms(*cut_end_ms, until_ms)?;
                Some(converged_ms - cut_end_ms)
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

    /// Whether a view reports a proxy as failed that had been running and reachable for long enough.
    fn is_false_alarm(&self, view: &View, other: usize) -> bool {
        let since_ms = view.at_ms - FALSE_ALARM_GRACE_MS;
        self.history.ran_throughout(other, since_ms, view.at_ms)
            && !self
                .history
                .cut_off(view.proxy, other, view.at_ms, FALSE_ALARM_GRACE_MS)
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
            .filter(|view| self.harness.now() - view.at_ms < MAX_FINAL_VIEW_AGE_MS)
            .map(|view| view.assumed_proxies)
            .collect();
        assumed.iter().sum::<f64>() / assumed.len().max(1) as f64
    }

    /// Returns the latency statistics and the 99.9th percentile.
    fn latencies(&self) -> (Times, f64) {
        let mut latencies_ms: Vec<f64> = self.harness.latencies_ms().to_vec();
        latencies_ms.sort_by(f64::total_cmp);
        let p999_index = (latencies_ms.len() as f64 * 0.999) as usize;
        let p999_ms = latencies_ms.get(p999_index).copied().unwrap_or(0.0);
        let all: Vec<Option<f64>> = latencies_ms.into_iter().map(Some).collect();
        (Times::of(&all), p999_ms)
    }

    /// Returns the number of clients that disconnected, and of later attempts for them by delay.
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
