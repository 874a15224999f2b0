//! Measurements: request outcomes and latencies, attempts at endpoints, and CPU time.

use super::Harness;
use crate::proxy_process::ProxyProcess;
use serde::Serialize;

/// Request counts by outcome, serialized with the field names of the report format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Requests sent by clients.
    #[serde(rename = "taken")]
    pub requests: u64,
    /// Requests with a successful response.
    #[serde(rename = "acked")]
    pub succeeded: u64,
    /// Requests with a successful response within the latency objective.
    pub in_time: u64,
    /// Rejected requests.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Failed requests.
    #[serde(rename = "dead_lettered")]
    pub failed: u64,
    /// Requests without a response because the proxy died or was stopped, or the client disconnected.
    #[serde(rename = "gone")]
    pub unanswered: u64,
}

/// An attempt that reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    at_ms: f64,
    proxy: usize,
    endpoint: usize,
}

/// Counts of the requests sent in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    requests: u64,
    in_time: u64,
}

#[derive(Default)]
pub(super) struct Measurements {
    attempts: Vec<Attempt>,
    latencies_ms: Vec<f64>,
    seconds: Vec<SecondCounts>,
    /// CPU time of the processes that were killed.
    pub(super) exited_cpu_ms: f64,
}

fn second_of(time_ms: f64) -> usize {
    (time_ms / 1000.0) as usize
}

impl Measurements {
    pub(super) fn count_request(&mut self, sent_ms: f64) {
        let second = second_of(sent_ms);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        self.seconds[second].requests += 1;
    }

    pub(super) fn count_success(&mut self, sent_ms: f64, latency_ms: f64, in_time: bool) {
        self.seconds[second_of(sent_ms)].in_time += u64::from(in_time);
        self.latencies_ms.push(latency_ms);
    }

    pub(super) fn count_attempt(&mut self, at_ms: f64, proxy: usize, endpoint: usize) {
        self.attempts.push(Attempt {
            at_ms,
            proxy,
            endpoint,
        });
    }
}

impl Harness {
    /// Returns the latency of each successful request.
    pub fn latencies_ms(&self) -> &[f64] {
        &self.measurements.latencies_ms
    }

    /// Returns, for each second, the fraction of its requests that succeeded within the latency objective.
    pub fn in_time_fraction_by_second(&self) -> Vec<f64> {
        self.measurements
            .seconds
            .iter()
            .map(|second| second.in_time as f64 / second.requests.max(1) as f64)
            .collect()
    }

    /// Returns the number of attempts that reached any endpoint.
    pub fn attempt_count(&self) -> usize {
        self.measurements.attempts.len()
    }

    /// Returns the number of attempts from a proxy that reached an endpoint at or after `since_ms`.
    pub fn attempts(&self, proxy: usize, endpoint: usize, since_ms: f64) -> usize {
        self.attempts_at(endpoint, since_ms)
            .filter(|attempt| attempt.proxy == proxy)
            .count()
    }

    /// Returns the number of attempts from all proxies that reached an endpoint at or after `since_ms`.
    pub fn attempts_from_all(&self, endpoint: usize, since_ms: f64) -> usize {
        self.attempts_at(endpoint, since_ms).count()
    }

    /// Returns the maximum number of attempts from all proxies that reached an endpoint within any window of
    /// `window_ms`, at or after `since_ms`.
    pub fn most_attempts_from_all(&self, endpoint: usize, since_ms: f64, window_ms: f64) -> usize {
        let mut times_ms: Vec<f64> = self
            .attempts_at(endpoint, since_ms)
            .map(|attempt| attempt.at_ms)
            .collect();
        times_ms.sort_unstable_by(f64::total_cmp);
        let in_window_up_to = |last: usize| {
            let before = times_ms.partition_point(|at_ms| *at_ms <= times_ms[last] - window_ms);
            last + 1 - before
        };
        (0..times_ms.len()).map(in_window_up_to).max().unwrap_or(0)
    }

    fn attempts_at(&self, endpoint: usize, since_ms: f64) -> impl Iterator<Item = &Attempt> {
        self.measurements
            .attempts
            .iter()
            .filter(move |attempt| attempt.endpoint == endpoint && attempt.at_ms >= since_ms)
    }

    /// Returns the total CPU time of all proxies in milliseconds.
    pub(crate) fn cpu_ms(&self) -> f64 {
        let running_ms: f64 = self.proxies.iter().map(ProxyProcess::cpu_ms).sum();
        self.measurements.exited_cpu_ms + running_ms
    }
}
