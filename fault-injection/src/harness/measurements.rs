//! What is measured: the service that clients got, the attempts that endpoints saw, and processor time.

use super::Harness;
use crate::proxy_process::ProxyProcess;
use serde::Serialize;

/// What clients got. In JSON the fields have the names of the reports' pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Requests that clients sent.
    #[serde(rename = "taken")]
    pub requests: u64,
    /// Those answered with success.
    #[serde(rename = "acked")]
    pub succeeded: u64,
    /// Those answered with success within the latency objective.
    pub in_time: u64,
    /// Those rejected.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Those that failed.
    #[serde(rename = "dead_lettered")]
    pub failed: u64,
    /// Those without an answer because their proxy died or was stopped, or their client left.
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

/// The requests that were sent in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requests: u64,
    in_time: u64,
}

#[derive(Default)]
pub(super) struct Measurements {
    attempts: Vec<Attempt>,
    latencies_ms: Vec<f64>,
    seconds: Vec<Second>,
    /// Processor time of processes that have ended.
    pub(super) cpu_of_ended_ms: f64,
}

fn second_of(time_ms: f64) -> usize {
    (time_ms / 1000.0) as usize
}

impl Measurements {
    pub(super) fn count_request(&mut self, sent_ms: f64) {
        let second = second_of(sent_ms);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
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
    /// The latency of each request that succeeded, in milliseconds.
    pub fn latencies(&self) -> &[f64] {
        &self.measurements.latencies_ms
    }

    /// For each second, the fraction of its requests that succeeded within the latency objective.
    pub fn by_second(&self) -> Vec<f64> {
        self.measurements
            .seconds
            .iter()
            .map(|second| second.in_time as f64 / second.requests.max(1) as f64)
            .collect()
    }

    /// The number of attempts that reached endpoints at all.
    pub fn reached(&self) -> usize {
        self.measurements.attempts.len()
    }

    /// The number of attempts that reached an endpoint from a proxy since a moment.
    pub fn attempts(&self, proxy: usize, endpoint: usize, since_ms: f64) -> usize {
        self.attempts_at(endpoint, since_ms)
            .filter(|attempt| attempt.proxy == proxy)
            .count()
    }

    /// The number of attempts that reached an endpoint from all proxies since a moment.
    pub fn attempts_from_all(&self, endpoint: usize, since_ms: f64) -> usize {
        self.attempts_at(endpoint, since_ms).count()
    }

    /// The most attempts that reached an endpoint from all proxies in any window of this length since a moment.
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

    /// Processor time that all proxies have used, in milliseconds.
    pub(crate) fn cpu_ms(&self) -> f64 {
        let running_ms: f64 = self.proxies.iter().map(ProxyProcess::cpu_ms).sum();
        self.measurements.cpu_of_ended_ms + running_ms
    }
}
