//! Parses a run's TOML script: its environment, the number of processes and the faults. An error names the line and the
//! key.

use crankmux_simulator::script::{read_validated, InvalidKey, ScriptError};
use serde::Deserialize;
use std::ops::RangeInclusive;

const MAX_PROCESSES: usize = 200;
/// The number of groups that a partition may have.
const PARTITION_GROUPS: RangeInclusive<f64> = 2.0..=20.0;

/// The script of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunScript {
    /// The name in reports.
    pub name: String,
    /// A description.
    #[serde(default)]
    pub about: String,
    /// The simulator script that defines endpoints, request classes, obligations and load. Its faults are not
    /// injected.
    #[serde(rename = "world")]
    pub environment: String,
    /// The number of proxies.
    pub processes: usize,
    /// The duration of the load, from the time at which the proxies are ready.
    pub seconds: f64,
    /// The number of proxies that the settings announce, if it differs from `processes`.
    #[serde(rename = "told")]
    pub configured_proxies: Option<usize>,
    /// Requests per second of all clients together, if it differs from the environment's.
    pub rate: Option<f64>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The kind of a fault. The unit of `strength` depends on the kind.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL; at the fault's end, the proxy is restarted with its persistent state.
    Kill,
    /// SIGKILL; at the fault's end, the proxy is restarted without its persistent state.
    KillEmpty,
    /// SIGSTOP; SIGCONT at the fault's end.
    Stop,
    /// SIGTERM; at the fault's end, the proxy is restarted.
    Terminate,
    /// Starts proxies that were not started at the beginning.
    Join,
    /// Drops a fraction of the datagrams.
    Loss,
    /// Delivers a fraction of the datagrams twice.
    #[serde(rename = "twice")]
    Duplicate,
    /// Flips one bit in a fraction of the datagrams.
    #[serde(rename = "garble")]
    Corrupt,
    /// Delays datagrams by at least `strength` milliseconds.
    Delay,
    /// Drops all datagrams.
    Cut,
    /// Divides the proxies into `strength` groups that cannot reach each other.
    #[serde(rename = "split")]
    Partition,
    /// Replays datagrams that are at least `strength` seconds old.
    #[serde(rename = "repeat")]
    Replay,
    /// Sends `strength` random datagrams per second.
    Flood,
    /// Discovery does not respond.
    #[serde(rename = "blind")]
    SilentDiscovery,
    /// Drains endpoints; at the fault's end, they are restarted.
    Drain,
    /// Replaces endpoints by new instances, which have to warm up.
    #[serde(rename = "renew")]
    Replace,
}

impl FaultKind {
    /// Whether the targets are endpoints instead of proxies.
    pub(crate) fn targets_endpoints(self) -> bool {
        matches!(self, FaultKind::Drain | FaultKind::Replace)
    }

    /// Whether it affects the network paths between proxies.
    pub(crate) fn affects_paths(self) -> bool {
        matches!(
            self,
            FaultKind::Loss
                | FaultKind::Duplicate
                | FaultKind::Corrupt
                | FaultKind::Delay
                | FaultKind::Cut
                | FaultKind::Partition
        )
    }

    /// Whether it blocks paths between proxies.
    pub(crate) fn cuts_paths(self) -> bool {
        matches!(self, FaultKind::Cut | FaultKind::Partition)
    }

    fn strength_is_fraction(self) -> bool {
        matches!(
            self,
            FaultKind::Loss | FaultKind::Duplicate | FaultKind::Corrupt
        )
    }
}

/// The datagrams of a targeted proxy that a fault affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// Datagrams that it sends.
    Out,
    /// Datagrams that are sent to it.
    In,
}

/// One fault of a script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// The start time, in seconds from the start of the load.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// The duration; until the end of the run if missing.
    #[serde(rename = "for")]
    pub duration_seconds: Option<f64>,
    /// The indices of the targeted proxies or endpoints.
    #[serde(default, rename = "which")]
    pub targets: Vec<usize>,
    /// The fraction to target at random if `targets` is empty.
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// The magnitude, in the unit of its kind.
    #[serde(default)]
    pub strength: f64,
    /// The direction of the affected datagrams.
    #[serde(default, rename = "way")]
    pub direction: Direction,
}

fn invalid<T>(key: impl Into<String>, rule: &'static str) -> Result<T, InvalidKey> {
    Err(InvalidKey::rule(key, rule))
}

impl RunScript {
    /// Parses and validates a script.
    ///
    /// # Errors
    /// The line and the key of the first error.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        read_validated(text, RunScript::validate)
    }

    fn validate(&self) -> Result<(), InvalidKey> {
        if self.processes < 1 || self.processes > MAX_PROCESSES {
            return invalid("processes", "must be 1 to 200");
        }
        if !(self.seconds > 0.0 && self.seconds.is_finite()) {
            return invalid("seconds", "must be above 0");
        }
        for (index, fault) in self.faults.iter().enumerate() {
            fault.validate(self.processes).map_err(|error| InvalidKey {
                key: format!("faults.{index}.{}", error.key),
                ..error
            })?;
        }
        Ok(())
    }
}

impl Fault {
    fn validate(&self, processes: usize) -> Result<(), InvalidKey> {
        if !(self.at_seconds >= 0.0 && self.duration_seconds.is_none_or(|seconds| seconds > 0.0)) {
            return invalid("at", "must be 0 or more, and for above 0");
        }
        if !(0.0..=1.0).contains(&self.fraction) {
            return invalid("part", "must be 0 to 1");
        }
        let has_unknown_proxy = self.targets.iter().any(|target| *target >= processes);
        if !self.kind.targets_endpoints() && has_unknown_proxy {
            return invalid("which", "must only list numbers below `processes`");
        }
        if self.kind.strength_is_fraction() && !(0.0..=1.0).contains(&self.strength) {
            return invalid("strength", "must be a fraction from 0 to 1");
        }
        if self.kind == FaultKind::Partition && !PARTITION_GROUPS.contains(&self.strength) {
            return invalid("strength", "must be 2 to 20 groups");
        }
        Ok(())
    }
}
