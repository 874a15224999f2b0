//! Results of a run: service per second and per request class, latency, attempts per endpoint, and violations.
//!
//! The types are serialized to figures.json; `serde(rename)` keeps its keys stable.

mod collector;

use crate::invariants::RULES;
use serde::Serialize;

pub use collector::ResultsCollector;

/// Outcome of a client's call, over the first request and all retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within the latency objective.
    InTime,
    /// Answered after the latency objective.
    Late,
    /// Rejected, with no retry left.
    Rejected,
    /// Failed or unanswered.
    Failed,
}

/// Calls by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// All calls.
    #[serde(rename = "wanted")]
    pub calls: u64,
    /// Calls answered within the latency objective.
    pub in_time: u64,
    /// Calls answered after it.
    pub late: u64,
    /// Rejected calls.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed calls.
    pub failed: u64,
    /// Sum of the priority weights of the answered calls; late ones count in part.
    #[serde(rename = "worth")]
    pub earned_weight: f64,
    /// Sum of the priority weights of all calls.
    #[serde(rename = "most_worth")]
    pub possible_weight: f64,
    /// Earned weight as a percentage of the possible weight.
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

/// Results of one second of a run.
#[derive(Clone, Debug, Serialize)]
pub struct SecondResults {
    /// Index of the second, from 0.
    #[serde(rename = "at")]
    pub second: usize,
    /// Calls that arrived in this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Requests sent by all clients.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Attempts sent by all proxies.
    #[serde(rename = "pushes")]
    pub attempts: u64,
    /// Median latency of the calls.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the calls.
    pub p99_ms: f64,
}

/// Results of one request class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassResults {
    /// Name of the class.
    pub name: String,
    /// Calls of the class.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Percentiles of the latency of calls, from the first request to the answer, in milliseconds.
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
    /// Maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

/// The second with the lowest service.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(usize, f64)")]
pub struct WorstSecond {
    /// Index of the second, from 0.
    pub second: usize,
    /// Service in percent.
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
    /// Name of the script.
    pub script: String,
    /// Name of the policy.
    #[serde(rename = "chooser")]
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Earned weight as a percentage of the possible weight, after the settling time.
    pub service: f64,
    /// All calls after the settling time.
    #[serde(rename = "all")]
    pub totals: Counts,
    /// Calls after the settling time, per request class.
    #[serde(rename = "categories")]
    pub classes: Vec<ClassResults>,
    /// Latency of the calls after the settling time.
    pub latency_ms: LatencyPercentiles,
    /// Requests sent by all clients.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Attempts sent by all proxies.
    #[serde(rename = "pushes")]
    pub attempts: u64,
    /// The second with the lowest service, among those with enough calls.
    pub worst_second: WorstSecond,
    /// Number of violations of each rule, in the order of [`crate::invariants::Rule`].
    #[serde(rename = "broken")]
    pub violations: [u64; RULES],
    /// Number of times a cold endpoint was overloaded.
    #[serde(rename = "fell_over")]
    pub endpoints_overloaded: u64,
    /// Number of times an endpoint became degraded after a long queue wait.
    #[serde(rename = "tipped")]
    pub endpoints_degraded: u64,
    /// Events processed by the simulation.
    pub events: u64,
    /// Results per second.
    pub seconds: Vec<SecondResults>,
    /// Attempts per endpoint.
    #[serde(rename = "pushes_by_server")]
    pub attempts_by_endpoint: Vec<u64>,
    /// Requests still open at the end of the run, long after their deadline, because an attempt never ended.
    #[serde(skip)]
    pub overdue_requests: usize,
    /// Descriptions of the first violations, each with the history of its request.
    #[serde(skip)]
    pub violation_reports: Vec<String>,
}
