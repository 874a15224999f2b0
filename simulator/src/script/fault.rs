//! Fault injection: the kinds of faults, and when and where they apply.

use super::defaults;
use serde::Deserialize;

/// Kinds of faults. The unit and meaning of `strength` depend on the kind.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Work takes `strength` times as long.
    Slow,
    /// Endpoints accept requests but execute none while the fault lasts.
    Hang,
    /// Endpoints pause for `strength` milliseconds about once a second.
    Pauses,
    /// Endpoints answer with an immediate error, with probability `strength`.
    FailFast,
    /// Endpoints neither receive nor send anything.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Responses are lost in the network, with probability `strength`.
    #[serde(rename = "answers-lost")]
    ResponsesLost,
    /// Connections are reset during a request, with probability `strength`.
    #[serde(rename = "resets")]
    ConnectionResets,
    /// The zone is partitioned from all other zones, in both directions.
    #[serde(rename = "zone-cut")]
    ZonePartition,
    /// Responses of the zone's endpoints to other zones are lost, while requests from there arrive.
    #[serde(rename = "one-way-cut")]
    OneWayPartition,
    /// Endpoints are replaced by cold ones, at an even rate over the duration.
    Release,
    /// Endpoints crash and restart cold after `strength` seconds.
    #[serde(rename = "kill-servers")]
    KillEndpoints,
    /// Proxies crash simultaneously and restart without state after `strength` seconds.
    #[serde(rename = "kill-nodes")]
    KillProxies,
    /// Discovery sends no notifications while the fault lasts.
    DiscoveryDown,
    /// Load reports are older by `strength` seconds.
    #[serde(rename = "reports-late")]
    LoadReportsLate,
    /// Load reports are `strength` times the actual load.
    #[serde(rename = "reports-wrong")]
    LoadReportsWrong,
    /// Answers carry no load reports.
    #[serde(rename = "reports-missing")]
    LoadReportsMissing,
    /// Endpoint start times from discovery are off by `strength` seconds.
    ClockStep,
}

/// A fault, its timing, and the endpoints or proxies it applies to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// Duration of the fault.
    #[serde(rename = "for")]
    pub duration_s: f64,
    /// Depends on the kind; see [`FaultKind`].
    #[serde(default = "defaults::one")]
    pub strength: f64,
    /// Restricts the fault to this zone.
    pub zone: Option<String>,
    /// Restricts the fault to endpoints of this machine type.
    #[serde(rename = "machine")]
    pub machine_type: Option<String>,
    /// Fraction of the matching endpoints or proxies that is affected.
    #[serde(default = "defaults::one", rename = "part")]
    pub fraction: f64,
}
