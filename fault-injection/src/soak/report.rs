//! The report of a soak run.

use crate::harness::{AdminCall, CallOutcome, Service};
use std::fmt;

/// The kind of a finding.
#[derive(Clone, Debug, PartialEq)]
pub enum FindingKind {
    /// A violation reported by the invariant checker.
    InvariantViolation(String),
    /// An operator's call did not get a 200 response in time.
    Call(FailedOperatorCall),
    /// A process did not become ready in time.
    NotReady {
        /// How long it took; `None` if it never became ready.
        startup_ms: Option<f64>,
    },
    /// A process exited unexpectedly.
    Exited,
    /// A proxy logged a panic.
    Panic,
    /// A proxy did not receive the endpoint list in time after discovery recovered.
    ListNotReceived {
        /// The version of the list.
        version: u64,
    },
    /// A valid configuration was not applied.
    ReloadNotApplied,
    /// More descriptors than expected are open after the load.
    DescriptorsLeaked {
        /// The number of open descriptors before the load.
        before_load: usize,
        /// The number of open descriptors after the load.
        after_load: usize,
        /// The number of those that are connections to endpoints, which may stay open.
        upstream: usize,
        /// Descriptions of the open descriptors.
        descriptions: Vec<String>,
    },
    /// A process exceeded the memory limit in its configuration.
    MemoryExceeded {
        /// The peak memory in kB.
        peak_kb: usize,
    },
}

/// An operator's call that failed, with its outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedOperatorCall {
    pub(super) at_ms: f64,
    pub(super) call: AdminCall,
    pub(super) outcome: CallOutcome,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FindingKind::InvariantViolation(description) => formatter.write_str(description),
            FindingKind::Call(FailedOperatorCall {
                at_ms,
                call,
                outcome,
            }) => write!(formatter, "call at {at_ms:.0} ms: {call}: {outcome:?}"),
            FindingKind::NotReady {
                startup_ms: Some(startup_ms),
            } => write!(formatter, "ready {startup_ms:.0} ms after its start"),
            FindingKind::NotReady { startup_ms: None } => formatter.write_str("never ready"),
            FindingKind::Exited => formatter.write_str("ended though nobody told it to"),
            FindingKind::Panic => formatter.write_str("a panic in its log"),
            FindingKind::ListNotReceived { version } => {
                write!(formatter, "version {version} of the list not heard in time")
            }
            FindingKind::ReloadNotApplied => formatter.write_str("a valid file was not applied"),
            FindingKind::DescriptorsLeaked {
                before_load,
                after_load,
                upstream,
                descriptions,
            } => write!(
                formatter,
                "{after_load} descriptors after the load, {before_load} before, {upstream} to endpoints: {}",
                descriptions.join(", ")
            ),
            FindingKind::MemoryExceeded { peak_kb } => {
                write!(formatter, "{peak_kb} kB of memory at its peak")
            }
        }
    }
}

/// A problem found in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The index of the proxy; `None` if unknown or if several are affected.
    pub proxy: Option<usize>,
    /// The kind of problem.
    pub kind: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.proxy {
            Some(proxy) => write!(formatter, "proxy {proxy}: {}", self.kind),
            None => self.kind.fmt(formatter),
        }
    }
}

/// The report of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The seed of the run.
    pub seed: u64,
    /// Counts of request outcomes.
    pub service: Service,
    /// The number of operators' calls with a 200 response.
    pub confirmed_calls: usize,
    /// All problems found.
    pub findings: Vec<Finding>,
    /// The logs of all proxies, to diagnose findings.
    pub logs: Vec<String>,
}
