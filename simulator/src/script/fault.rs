//! The faults of a script: what can go wrong, when, and whom it strikes.

use super::defaults;
use serde::Deserialize;

/// What can go wrong. The meaning of `strength` is beside each.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Work takes so many times as long.
    Slow,
    /// Endpoints take requests and execute none until it is over.
    Hang,
    /// Endpoints pause for so many milliseconds, about every second.
    Pauses,
    /// Endpoints answer with an error at once, with this probability.
    FailFast,
    /// The machine neither receives nor sends.
    #[serde(rename = "silent")]
    Unresponsive,
    /// A response is lost on its way, with this probability.
    #[serde(rename = "answers-lost")]
    ResponsesLost,
    /// A connection is reset under its request, with this probability.
    #[serde(rename = "resets")]
    ConnectionResets,
    /// The zone's endpoints and proxies reach no other zone's, both ways.
    #[serde(rename = "zone-cut")]
    ZonePartition,
    /// Responses of the zone's endpoints to other zones are lost; requests to them arrive.
    #[serde(rename = "one-way-cut")]
    OneWayPartition,
    /// Endpoints are replaced by cold ones, evenly over the time.
    Release,
    /// Endpoints die and restart cold after so many seconds.
    #[serde(rename = "kill-servers")]
    KillEndpoints,
    /// Proxies die at once and restart after so many seconds, with no state.
    #[serde(rename = "kill-nodes")]
    KillProxies,
    /// Discovery notifies nobody until it is over.
    DiscoveryDown,
    /// Load reports are so many seconds older.
    #[serde(rename = "reports-late")]
    LoadReportsLate,
    /// Load reports are so many times the true load.
    #[serde(rename = "reports-wrong")]
    LoadReportsWrong,
    /// Answers carry no load reports.
    #[serde(rename = "reports-missing")]
    LoadReportsMissing,
    /// Start times of endpoints, as discovery gives them, are so many seconds off.
    ClockStep,
}

/// One fault: what, when, how strong, and which endpoints or proxies it strikes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration_s: f64,
    /// See [`FaultKind`].
    #[serde(default = "defaults::one")]
    pub strength: f64,
    /// Strikes only this zone.
    pub zone: Option<String>,
    /// Strikes only endpoints of this machine type.
    #[serde(rename = "machine")]
    pub machine_type: Option<String>,
    /// Fraction of those that it strikes.
    #[serde(default = "defaults::one", rename = "part")]
    pub fraction: f64,
}
