//! What a run of the soak came to.

use crate::harness::{AdminCall, CallOutcome, Service};
use std::fmt;

/// What was broken, beside the rules that the invariant checker judges.
#[derive(Clone, Debug, PartialEq)]
pub enum FindingKind {
    /// A rule of the invariant checker, in its words.
    Rule(String),
    /// An operator's call did not get the answer that it is owed.
    Call(FailedOperatorCall),
    /// A process was not ready in time after its start.
    NotReady {
        /// How long it took; none where it never was.
        took_ms: Option<f64>,
    },
    /// A process ended that nobody had told to.
    Ended,
    /// A log has a panic.
    Panic,
    /// The endpoint list was not heard in time after discovery came back.
    ListNotHeard {
        /// The version.
        version: u64,
    },
    /// A valid configuration was not applied.
    ReloadNotApplied,
    /// Descriptors stayed open after the load.
    DescriptorsHeld {
        /// How many before the load.
        at_rest: usize,
        /// How many after it.
        after: usize,
        /// Connections to endpoints that are open after it, which may be kept.
        upstream: usize,
        /// What they are.
        descriptions: Vec<String>,
    },
    /// More memory was held than the configuration allows.
    MemoryExceeded {
        /// The peak.
        peak_kb: usize,
    },
}

/// An operator's call and what became of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedOperatorCall {
    pub(super) at_ms: f64,
    pub(super) call: AdminCall,
    pub(super) outcome: CallOutcome,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FindingKind::Rule(words) => formatter.write_str(words),
            FindingKind::Call(FailedOperatorCall {
                at_ms,
                call,
                outcome,
            }) => write!(formatter, "call at {at_ms:.0} ms: {call}: {outcome:?}"),
            FindingKind::NotReady {
                took_ms: Some(took_ms),
            } => write!(formatter, "ready {took_ms:.0} ms after its start"),
            FindingKind::NotReady { took_ms: None } => formatter.write_str("never ready"),
            FindingKind::Ended => formatter.write_str("ended though nobody told it to"),
            FindingKind::Panic => formatter.write_str("a panic in its log"),
            FindingKind::ListNotHeard { version } => {
                write!(formatter, "version {version} of the list not heard in time")
            }
            FindingKind::ReloadNotApplied => formatter.write_str("a valid file was not applied"),
            FindingKind::DescriptorsHeld {
                at_rest,
                after,
                upstream,
                descriptions,
            } => write!(
                formatter,
                "{after} descriptors after the load, {at_rest} before, {upstream} to endpoints: {}",
                descriptions.join(", ")
            ),
            FindingKind::MemoryExceeded { peak_kb } => {
                write!(formatter, "{peak_kb} kB of memory at its peak")
            }
        }
    }
}

/// Something that was broken in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// At which proxy; none where it is not known or about several.
    pub proxy: Option<usize>,
    /// What.
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

/// What a run came to.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// What clients got.
    pub service: Service,
    /// How many operators' calls were confirmed.
    pub confirmed_calls: usize,
    /// Everything that was broken; empty if nothing was.
    pub findings: Vec<Finding>,
    /// The logs of all proxies, for whoever looks into a finding.
    pub logs: Vec<String>,
}
