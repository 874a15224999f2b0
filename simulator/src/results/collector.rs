//! Accumulates the results of a run.

use super::{
    ClassResults, Counts, LatencyPercentiles, Outcome, RunResults, SecondResults, WorstSecond,
};
use crate::invariants::{InvariantChecker, Violation};
use crate::script::{RequestClass, Script};
use hdrhistogram::Histogram;

/// Upper bound of the latency histograms; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 10 * 60 * 1_000_000;
/// Precision of the latency histograms.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
/// Seconds with fewer calls are not candidates for the worst second.
const MIN_CALLS_OF_WORST_SECOND: u64 = 10;

fn latency_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS).expect("valid bounds")
}

fn quantile_ms(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// What an answered call of a class adds to the earned weight.
struct ClassWeight {
    in_time: f64,
    late_fraction: f64,
}

/// Results of one second, still accumulating.
struct SecondCounts {
    counts: Counts,
    requests: u64,
    attempts: u64,
    latency: Histogram<u32>,
}

impl SecondCounts {
    fn new() -> Self {
        SecondCounts {
            counts: Counts::default(),
            requests: 0,
            attempts: 0,
            latency: latency_histogram(),
        }
    }

    fn finish(mut self, second: usize) -> SecondResults {
        self.counts.compute_service();
        SecondResults {
            second,
            counts: self.counts,
            requests: self.requests,
            attempts: self.attempts,
            p50_ms: quantile_ms(&self.latency, 0.5),
            p99_ms: quantile_ms(&self.latency, 0.99),
        }
    }
}

/// Accumulates the results of a run. Times are milliseconds since its start.
pub struct ResultsCollector {
    settling_ms: f64,
    totals: Counts,
    classes: Vec<ClassResults>,
    weights: Vec<ClassWeight>,
    seconds: Vec<SecondCounts>,
    latency: Histogram<u32>,
    attempts_by_endpoint: Vec<u64>,
    requests: u64,
    attempts: u64,
    /// Number of times a cold endpoint was overloaded.
    pub endpoints_overloaded: u64,
    /// Number of times an endpoint became degraded after a long queue wait.
    pub endpoints_degraded: u64,
}

impl ResultsCollector {
    /// Creates an empty collector.
    pub fn new(script: &Script) -> Self {
        let no_calls = |class: &RequestClass| ClassResults {
            name: class.name.clone(),
            counts: Counts::default(),
        };
        let weight = |class: &RequestClass| ClassWeight {
            in_time: class.priority_weight,
            late_fraction: class.late_fraction,
        };
        let seconds = script.duration_s.ceil() as usize;
        ResultsCollector {
            settling_ms: 1000.0 * script.settling_s,
            totals: Counts::default(),
            classes: script.request_classes.iter().map(no_calls).collect(),
            weights: script.request_classes.iter().map(weight).collect(),
            seconds: (0..seconds).map(|_| SecondCounts::new()).collect(),
            latency: latency_histogram(),
            attempts_by_endpoint: Vec::new(),
            requests: 0,
            attempts: 0,
            endpoints_overloaded: 0,
            endpoints_degraded: 0,
        }
    }

    fn second(&mut self, at_ms: f64) -> Option<&mut SecondCounts> {
        self.seconds.get_mut((at_ms / 1000.0).max(0.0) as usize)
    }

    /// Records the outcome of a call. It counts towards the second in which the call arrived.
    pub fn call_closed(
        &mut self,
        arrived_ms: f64,
        class: usize,
        outcome: Outcome,
        latency_ms: f64,
    ) {
        let ClassWeight {
            in_time,
            late_fraction,
        } = self.weights[class];
        let latency_us = ((latency_ms * 1000.0) as u64).max(1);
        let answered = matches!(outcome, Outcome::InTime | Outcome::Late);
        if let Some(second) = self.second(arrived_ms) {
            second.counts.add(outcome, in_time, late_fraction);
            if answered {
                second.latency.saturating_record(latency_us);
            }
        }
        if arrived_ms < self.settling_ms {
            return;
        }
        self.totals.add(outcome, in_time, late_fraction);
        let class = &mut self.classes[class];
        class.counts.add(outcome, in_time, late_fraction);
        if answered {
            self.latency.saturating_record(latency_us);
        }
    }

    /// Counts a request that a client sent.
    pub fn request_sent(&mut self, at_ms: f64) {
        self.requests += 1;
        if let Some(second) = self.second(at_ms) {
            second.requests += 1;
        }
    }

    /// Counts an attempt that a proxy sent.
    pub fn attempt_sent(&mut self, at_ms: f64, endpoint: usize) {
        self.attempts += 1;
        if self.attempts_by_endpoint.len() <= endpoint {
            self.attempts_by_endpoint.resize(endpoint + 1, 0);
        }
        self.attempts_by_endpoint[endpoint] += 1;
        if let Some(second) = self.second(at_ms) {
            second.attempts += 1;
        }
    }

    /// Computes the results of the run.
    pub fn finish(
        mut self,
        script: &Script,
        policy: &str,
        seed: u64,
        checker: &InvariantChecker,
        events: u64,
        overdue_requests: usize,
    ) -> RunResults {
        self.totals.compute_service();
        for class in &mut self.classes {
            class.counts.compute_service();
        }
        let seconds = self.seconds.into_iter().enumerate();
        let seconds: Vec<SecondResults> = seconds
            .map(|(second, counts)| counts.finish(second))
            .collect();
        RunResults {
            script: script.name.clone(),
            policy: policy.to_string(),
            seed,
            service: self.totals.service,
            totals: self.totals,
            classes: self.classes,
            latency_ms: percentiles(&self.latency),
            requests: self.requests,
            attempts: self.attempts,
            worst_second: worst_second(&seconds, script.settling_s as usize),
            violations: checker.counts(),
            endpoints_overloaded: self.endpoints_overloaded,
            endpoints_degraded: self.endpoints_degraded,
            events,
            seconds,
            attempts_by_endpoint: self.attempts_by_endpoint,
            overdue_requests,
            violation_reports: checker.violations.iter().map(violation_report).collect(),
        }
    }
}

fn percentiles(latency: &Histogram<u32>) -> LatencyPercentiles {
    LatencyPercentiles {
        p50: quantile_ms(latency, 0.5),
        p90: quantile_ms(latency, 0.9),
        p99: quantile_ms(latency, 0.99),
        p999: quantile_ms(latency, 0.999),
        p9999: quantile_ms(latency, 0.9999),
        max: latency.max() as f64 / 1000.0,
    }
}

fn worst_second(seconds: &[SecondResults], first: usize) -> WorstSecond {
    let candidates = seconds.iter().filter(|second| {
        second.second >= first && second.counts.calls >= MIN_CALLS_OF_WORST_SECOND
    });
    let worst =
        candidates.min_by(|left, right| left.counts.service.total_cmp(&right.counts.service));
    let (second, service) = worst.map_or((0, 100.0), |worst| (worst.second, worst.counts.service));
    WorstSecond { second, service }
}

/// Formats a violation, followed by the history of its request.
fn violation_report(violation: &Violation) -> String {
    let history: String = violation
        .history
        .iter()
        .map(|line| format!("    {line}\n"))
        .collect();
    let rule = violation.rule.name();
    format!("{rule}: {}\n{history}", violation.description)
}
