//! A run's script: which environment, how many processes, and which faults between them, from a TOML file.
//! docs/rig.md lists every key. A script with an error is refused whole, with the line and the key.

use crankmux_simulator::script::{read_validated, InvalidKey, ScriptError};
use serde::Deserialize;
use std::ops::RangeInclusive;

const MOST_PROCESSES: usize = 200;
/// Into how many groups a split may cut the proxies.
const SPLIT_GROUPS: RangeInclusive<f64> = 2.0..=20.0;

/// What a run is to do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunScript {
    /// What reports call it.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// The simulator's script whose endpoints, request classes, obligations and load this run has. The faults of
    /// that script are not injected.
    #[serde(rename = "world")]
    pub environment: String,
    /// The number of proxies.
    pub processes: usize,
    /// How long the run lasts, from the moment at which all proxies know each other.
    pub seconds: f64,
    /// The number of proxies according to the settings, if it is not that of the processes.
    #[serde(rename = "told")]
    pub configured_proxies: Option<usize>,
    /// Requests a second from all clients, if it is not the environment's.
    pub rate: Option<f64>,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What goes wrong. Where a fault has a strength, its comment says what that counts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL; started again at the fault's end, with the state it had.
    Kill,
    /// SIGKILL; started again at the fault's end, with no state.
    KillEmpty,
    /// SIGSTOP; SIGCONT at the fault's end.
    Stop,
    /// SIGTERM; started again at the fault's end.
    Terminate,
    /// Proxies that are started only now.
    Join,
    /// A fraction of the datagrams is lost.
    Loss,
    /// A fraction of the datagrams is delivered twice.
    #[serde(rename = "twice")]
    Duplicate,
    /// A fraction of the datagrams has a bit flipped.
    #[serde(rename = "garble")]
    Corrupt,
    /// Datagrams are late by so many milliseconds.
    Delay,
    /// No datagram passes.
    Cut,
    /// All proxies fall into so many groups that do not reach each other.
    #[serde(rename = "split")]
    Partition,
    /// Datagrams from so many seconds ago are delivered again.
    #[serde(rename = "repeat")]
    Replay,
    /// So many datagrams of garbage a second.
    Flood,
    /// Discovery does not answer.
    #[serde(rename = "blind")]
    SilentDiscovery,
    /// Endpoints drain; they are restarted at the fault's end.
    Drain,
    /// Endpoints are replaced by new ones, which have to warm up.
    #[serde(rename = "renew")]
    Replace,
}

impl FaultKind {
    /// Whether it is a fault of endpoints, and not of proxies.
    pub(crate) fn hits_endpoints(self) -> bool {
        matches!(self, FaultKind::Drain | FaultKind::Replace)
    }

    /// Whether it is a fault on the paths of datagrams.
    pub(crate) fn hits_paths(self) -> bool {
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

    /// Whether it keeps proxies from each other.
    pub(crate) fn cuts(self) -> bool {
        matches!(self, FaultKind::Cut | FaultKind::Partition)
    }

    fn strength_is_fraction(self) -> bool {
        matches!(
            self,
            FaultKind::Loss | FaultKind::Duplicate | FaultKind::Corrupt
        )
    }
}

/// Which datagrams of a proxy a fault is about.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Those that it sends and those that are sent to it.
    #[default]
    Both,
    /// Those that it sends.
    Out,
    /// Those that are sent to it.
    In,
}

/// One fault of a script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, in seconds from the start.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// How long it lasts; for good if this is missing.
    #[serde(rename = "for")]
    pub duration_seconds: Option<f64>,
    /// The numbers of the proxies, or endpoints, that it hits.
    #[serde(default, rename = "which")]
    pub targets: Vec<usize>,
    /// If those are not named, the fraction that is hit, drawn at random.
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// How strong it is, as its kind counts that.
    #[serde(default)]
    pub strength: f64,
    /// Which datagrams it is about.
    #[serde(default, rename = "way")]
    pub direction: Direction,
}

fn wrong<T>(key: impl Into<String>, rule: &'static str) -> Result<T, InvalidKey> {
    Err(InvalidKey::rule(key, rule))
}

impl RunScript {
    /// Reads a script.
    ///
    /// # Errors
    /// The line and the key of the first thing that is wrong.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        read_validated(text, RunScript::check)
    }

    fn check(&self) -> Result<(), InvalidKey> {
        if self.processes < 1 || self.processes > MOST_PROCESSES {
            return wrong("processes", "must be 1 to 200");
        }
        if !(self.seconds > 0.0 && self.seconds.is_finite()) {
            return wrong("seconds", "must be above 0");
        }
        for (index, fault) in self.faults.iter().enumerate() {
            fault.check(self.processes).map_err(|error| InvalidKey {
                key: format!("faults.{index}.{}", error.key),
                ..error
            })?;
        }
        Ok(())
    }
}

impl Fault {
    fn check(&self, processes: usize) -> Result<(), InvalidKey> {
        if !(self.at_seconds >= 0.0 && self.duration_seconds.is_none_or(|seconds| seconds > 0.0)) {
            return wrong("at", "must be 0 or more, and for above 0");
        }
        if !(0.0..=1.0).contains(&self.fraction) {
            return wrong("part", "must be 0 to 1");
        }
        let unknown_proxy = self.targets.iter().any(|target| *target >= processes);
        if !self.kind.hits_endpoints() && unknown_proxy {
            return wrong("which", "names a process that is none of this script's");
        }
        if self.kind.strength_is_fraction() && !(0.0..=1.0).contains(&self.strength) {
            return wrong("strength", "is a part, 0 to 1");
        }
        if self.kind == FaultKind::Partition && !SPLIT_GROUPS.contains(&self.strength) {
            return wrong("strength", "must be 2 to 20 groups");
        }
        Ok(())
    }
}
