//! What a run came to: service by second and by request class, latency, attempts by endpoint, rules kept or broken.
//!
//! The types are written as figures.json, whose keys `serde(rename)` keeps.

mod collector;

use crate::invariants::RULES;
use serde::Serialize;

pub use collector::ResultsCollector;

/// What became of one call of a client, all its requests together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within the latency objective.
    InTime,
    /// Answered later.
    Late,
    /// Rejected, and the client retried no more.
    Rejected,
    /// Failed, or not answered at all.
    Failed,
}

/// Counts of calls and of what became of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// All calls.
    #[serde(rename = "wanted")]
    pub calls: u64,
    /// Calls answered in time.
    pub in_time: u64,
    /// Calls answered late.
    pub late: u64,
    /// Calls rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Calls failed.
    pub failed: u64,
    /// Sum of the weights that were earned.
    #[serde(rename = "worth")]
    pub earned_weight: f64,
    /// Sum of the weights that all calls in time would have earned.
    #[serde(rename = "most_worth")]
    pub possible_weight: f64,
    /// Earned of possible weight, in percent.
    pub service: f64,
}

impl Counts {
    fn add(&mut self, outcome: Outcome, weight: f64, late_fraction: f64) {
        self.calls += 1;
        self.possible_weight += weight;
        match outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.earned_weight += weight;
            }
            Outcome::Late => {
                self.late += 1;
                self.earned_weight += weight * late_fraction;
            }
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    fn compute_service(&mut self) {
        self.service = if self.possible_weight > 0.0 {
            100.0 * self.earned_weight / self.possible_weight
        } else {
            100.0
        };
    }
}

/// One second of a run.
#[derive(Clone, Debug, Serialize)]
pub struct SecondResults {
    /// Its number, from 0.
    #[serde(rename = "at")]
    pub second: usize,
    /// The calls that arrived in it.
    #[serde(flatten)]
    pub counts: Counts,
    /// Requests that all clients sent in it.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Attempts that all proxies sent in it.
    #[serde(rename = "pushes")]
    pub attempts: u64,
    /// Median latency of its calls.
    pub p50_ms: f64,
    /// 99th percentile of the latency of its calls.
    pub p99_ms: f64,
}

/// One request class over a run.
#[derive(Clone, Debug, Serialize)]
pub struct ClassResults {
    /// Its name.
    pub name: String,
    /// Its calls.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Percentiles of the time from a client's first request to its answer, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LatencyPercentiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// 99.99th percentile.
    pub p9999: f64,
    /// The highest.
    #[serde(rename = "most")]
    pub max: f64,
}

/// The second with the lowest service.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(usize, f64)")]
pub struct WorstSecond {
    /// Its number, from 0.
    pub second: usize,
    /// Its service in percent.
    pub service: f64,
}

impl From<WorstSecond> for (usize, f64) {
    fn from(worst: WorstSecond) -> Self {
        (worst.second, worst.service)
    }
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResults {
    /// The script's name.
    pub script: String,
    /// The policy's name.
    #[serde(rename = "chooser")]
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Earned of possible weight after the settling time, in percent.
    pub service: f64,
    /// All calls after the settling time.
    #[serde(rename = "all")]
    pub totals: Counts,
    /// The same by request class.
    #[serde(rename = "categories")]
    pub classes: Vec<ClassResults>,
    /// Latency after the settling time.
    pub latency_ms: LatencyPercentiles,
    /// Requests that clients sent.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Attempts that proxies sent.
    #[serde(rename = "pushes")]
    pub attempts: u64,
    /// The worst of the seconds with enough calls.
    pub worst_second: WorstSecond,
    /// Violations of each rule, in the order of [`crate::invariants::Rule`].
    #[serde(rename = "broken")]
    pub violations: [u64; RULES],
    /// How often a cold endpoint was overloaded.
    #[serde(rename = "fell_over")]
    pub endpoints_overloaded: u64,
    /// How often an endpoint was degraded by a long wait.
    #[serde(rename = "tipped")]
    pub endpoints_degraded: u64,
    /// Events that the run handled.
    pub events: u64,
    /// Second by second.
    pub seconds: Vec<SecondResults>,
    /// Attempts by endpoint.
    #[serde(rename = "pushes_by_server")]
    pub attempts_by_endpoint: Vec<u64>,
    /// Requests that were still held at the end, long after their deadline: an attempt of theirs was never settled.
    #[serde(skip)]
    pub overdue_requests: usize,
    /// The first violations, each with the history of its request.
    #[serde(skip)]
    pub violation_reports: Vec<String>,
}
