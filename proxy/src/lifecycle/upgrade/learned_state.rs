//! The stored form of the learned state. It identifies request classes by name and endpoints by hash, as indices differ
//! between processes.

use crate::lenient_json;
use crankmux::settings::NameIndex;
use crankmux::types::{EndpointStatistics, LearnedState};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

// Valid ranges of stored values. A value far outside would starve or overload an endpoint.
const LATENCY_MS_RANGE: RangeInclusive<f64> = 0.01..=1e6;
const TAIL_MULTIPLE_RANGE: RangeInclusive<f64> = 1.5..=8.0;
const THROUGHPUT_RANGE: RangeInclusive<f64> = 0.0..=1e3;
const RELATIVE_LATENCY_RANGE: RangeInclusive<f64> = 0.001..=1e3;
const ERROR_RATE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const CONCURRENCY_LIMIT_RANGE: RangeInclusive<f64> = 1.0..=1e3;
const SUCCESSES_RANGE: RangeInclusive<f64> = 0.0..=1e9;

/// The stored form of a [`LearnedState`]. Values that are missing or not numbers are `None`. Fields are sorted by their
/// stored names, which is their order in the file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct LearnedStateSnapshot {
    /// The request classes, by name.
    #[serde(rename = "categories", deserialize_with = "class_snapshots")]
    pub classes: BTreeMap<String, ClassSnapshot>,
    /// The statistics of each endpoint.
    #[serde(rename = "servers", deserialize_with = "lenient_json::objects")]
    pub endpoints: Vec<EndpointSnapshot>,
    /// The multiple of the mean latency that most attempts stay below.
    #[serde(rename = "slack", deserialize_with = "lenient_json::number")]
    pub tail_multiple: Option<f64>,
    /// The smoothed latency of successful attempts.
    #[serde(rename = "time", deserialize_with = "lenient_json::number")]
    pub mean_latency_ms: Option<f64>,
    /// The mean throughput of an endpoint after slow start.
    #[serde(rename = "warm_rate", deserialize_with = "lenient_json::number")]
    pub warm_throughput: Option<f64>,
}

/// The learned state of a request class, stored as an array of both values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct ClassSnapshot {
    /// The smoothed latency.
    pub latency_ms: f64,
    /// The number of successes that the latency is based on.
    pub successes: f64,
}

impl From<ClassSnapshot> for [f64; 2] {
    fn from(class: ClassSnapshot) -> Self {
        [class.latency_ms, class.successes]
    }
}

/// The stored form of [`EndpointStatistics`], with the endpoint's hash.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct EndpointSnapshot {
    /// The lowest relative latency.
    #[serde(rename = "best", deserialize_with = "lenient_json::number")]
    pub best_relative_latency: Option<f64>,
    /// The smoothed throughput of this proxy's successful attempts.
    #[serde(rename = "borne", deserialize_with = "lenient_json::number")]
    pub throughput: Option<f64>,
    /// The smoothed fraction of failed attempts.
    #[serde(rename = "faults", deserialize_with = "lenient_json::number")]
    pub error_rate: Option<f64>,
    /// The maximum number of requests in flight.
    #[serde(rename = "limit", deserialize_with = "lenient_json::number")]
    pub concurrency_limit: Option<f64>,
    /// The endpoint's hash.
    #[serde(rename = "mark", deserialize_with = "lenient_json::unsigned")]
    pub stable_hash: Option<u64>,
    /// The smoothed latency relative to the mean; `None` before the first response.
    #[serde(rename = "pace", deserialize_with = "lenient_json::number")]
    pub relative_latency: Option<f64>,
    /// The highest throughput.
    #[serde(rename = "peak", deserialize_with = "lenient_json::number")]
    pub peak_throughput: Option<f64>,
}

/// Deserializes the classes whose entry has two numbers and skips the others.
fn class_snapshots<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, ClassSnapshot>, D::Error> {
    let Value::Object(entries) = Value::deserialize(deserializer)? else {
        return Ok(BTreeMap::new());
    };
    let classes = entries.into_iter().filter_map(|(name, entry)| {
        let numbers: Vec<f64> = entry.as_array()?.iter().filter_map(Value::as_f64).collect();
        let [latency_ms, successes] = numbers[..] else {
            return None;
        };
        Some((
            name,
            ClassSnapshot {
                latency_ms,
                successes,
            },
        ))
    });
    Ok(classes.collect())
}

/// Clamps a finite value to a range.
fn clamped(value: Option<f64>, range: RangeInclusive<f64>) -> Option<f64> {
    let value = value.filter(|value| value.is_finite())?;
    Some(value.clamp(*range.start(), *range.end()))
}

/// Replaces a value by the stored one, if there is one.
fn restore_value(value: &mut f64, stored: Option<f64>, range: RangeInclusive<f64>) {
    if let Some(stored) = clamped(stored, range) {
        *value = stored;
    }
}

impl LearnedStateSnapshot {
    /// Captures a state, replacing the indices of this process by names and hashes.
    pub fn capture(name_index: &NameIndex, state: &LearnedState) -> Self {
        let class_names = name_index.classes.names.iter().cloned();
        let classes = state
            .classes
            .iter()
            .map(|&(latency_ms, successes)| ClassSnapshot {
                latency_ms,
                successes,
            });
        let endpoints = state.endpoints.iter().map(|(endpoint, statistics)| {
            EndpointSnapshot::capture(name_index.stable_hash(*endpoint), statistics)
        });
        LearnedStateSnapshot {
            classes: class_names.zip(classes).collect(),
            endpoints: endpoints.collect(),
            tail_multiple: Some(state.tail_multiple),
            mean_latency_ms: Some(state.mean_latency_ms),
            warm_throughput: Some(state.warm_throughput),
        }
    }

    /// Overwrites the initial state of this process with the stored values, clamped to their valid ranges. Missing
    /// values stay as they are; classes and endpoints that this process does not know are ignored.
    pub fn restore(&self, name_index: &NameIndex, mut state: LearnedState) -> LearnedState {
        restore_value(
            &mut state.mean_latency_ms,
            self.mean_latency_ms,
            LATENCY_MS_RANGE,
        );
        restore_value(
            &mut state.tail_multiple,
            self.tail_multiple,
            TAIL_MULTIPLE_RANGE,
        );
        restore_value(
            &mut state.warm_throughput,
            self.warm_throughput,
            THROUGHPUT_RANGE,
        );
        for (name, class) in name_index.classes.names.iter().zip(&mut state.classes) {
            if let Some(stored) = self.classes.get(name) {
                restore_value(&mut class.0, Some(stored.latency_ms), LATENCY_MS_RANGE);
                restore_value(&mut class.1, Some(stored.successes), SUCCESSES_RANGE);
            }
        }
        for (endpoint, statistics) in &mut state.endpoints {
            if let Some(stored) = self.endpoint(name_index.stable_hash(*endpoint)) {
                stored.restore(statistics);
            }
        }
        state
    }

    fn endpoint(&self, stable_hash: u64) -> Option<&EndpointSnapshot> {
        let has_hash = |endpoint: &&EndpointSnapshot| endpoint.stable_hash == Some(stable_hash);
        self.endpoints.iter().find(has_hash)
    }
}

impl EndpointSnapshot {
    fn capture(stable_hash: u64, statistics: &EndpointStatistics) -> Self {
        EndpointSnapshot {
            best_relative_latency: Some(statistics.best_relative_latency),
            throughput: Some(statistics.throughput),
            error_rate: Some(statistics.error_rate),
            concurrency_limit: Some(statistics.concurrency_limit),
            stable_hash: Some(stable_hash),
            relative_latency: statistics.relative_latency,
            peak_throughput: Some(statistics.peak_throughput),
        }
    }

    fn restore(&self, statistics: &mut EndpointStatistics) {
        // `None` is restored too: it means that there was no response yet.
        statistics.relative_latency = clamped(self.relative_latency, RELATIVE_LATENCY_RANGE);
        restore_value(
            &mut statistics.best_relative_latency,
            self.best_relative_latency,
            RELATIVE_LATENCY_RANGE,
        );
        restore_value(
            &mut statistics.error_rate,
            self.error_rate,
            ERROR_RATE_RANGE,
        );
        restore_value(
            &mut statistics.throughput,
            self.throughput,
            THROUGHPUT_RANGE,
        );
        restore_value(
            &mut statistics.peak_throughput,
            self.peak_throughput,
            THROUGHPUT_RANGE,
        );
        restore_value(
            &mut statistics.concurrency_limit,
            self.concurrency_limit,
            CONCURRENCY_LIMIT_RANGE,
        );
    }
}
