//! The page `GET /fleet` of the admin API. Its keys are part of the interface.

use super::port::DatagramCounters;
use super::state::Cluster;
use crankmux_membership::{Member, MemberState, NodeId, Reachability, ZoneReachability};
use serde::{Deserialize, Serialize};
use std::fmt;

/// All that is known of the cluster. Times are milliseconds ago.
///
/// Here and below the fields stand in the alphabetical order of their keys, as the page has them. A reader of another
/// version's page takes what is missing for empty.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ClusterStatus {
    /// This proxy's part of a configured proxy's slow-start budget.
    #[serde(rename = "cold_part")]
    pub slow_start_share: f64,
    /// What became of the datagrams.
    pub datagrams: DatagramStatus,
    /// Endpoints whose status others' gossip makes stricter than the own list has it.
    #[serde(rename = "held_stricter")]
    pub overridden_endpoints: usize,
    /// This proxy.
    #[serde(rename = "me")]
    pub local: NodeStatus,
    /// The other members.
    pub members: Vec<MemberStatus>,
    /// The number of proxies that is assumed.
    #[serde(rename = "nodes_assumed")]
    pub assumed_size: f64,
    /// The number of proxies by the settings.
    #[serde(rename = "nodes_told")]
    pub configured_size: f64,
    /// The number of proxies by load reports of endpoints.
    #[serde(rename = "nodes_told_by_servers")]
    pub load_based_size: Option<f64>,
    /// How much of the cluster is reached.
    #[serde(rename = "reach")]
    pub reachability: ReachabilityStatus,
    /// How much of each zone is reached.
    pub zones: Vec<ZoneStatus>,
}

/// What became of the datagrams, counted since the start.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DatagramStatus {
    /// Received and accepted.
    #[serde(rename = "heard")]
    pub accepted: u64,
    /// Received and rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Sent.
    pub sent: u64,
    /// Not taken by the system.
    #[serde(rename = "unsent")]
    pub send_failed: u64,
}

/// The identity of a proxy.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// The address at which others reach it.
    pub address: String,
    /// Its incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Its name.
    pub name: String,
    /// The version of its program, as one number.
    #[serde(rename = "program")]
    pub program_version: u32,
    /// The hash of its settings.
    #[serde(rename = "settings")]
    pub settings_version: String,
    /// Its zone.
    pub zone: String,
}

/// Another member: its identity, and its state.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// The address at which others reach it.
    pub address: String,
    /// Its incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Its name.
    pub name: String,
    /// The version of its program, as one number.
    #[serde(rename = "program")]
    pub program_version: u32,
    /// The hash of its settings.
    #[serde(rename = "settings")]
    pub settings_version: String,
    /// How long it has been in its state.
    pub since_ms: f64,
    /// `alive`, `suspected`, `failed` or `left`.
    pub state: String,
    /// Its zone.
    pub zone: String,
}

/// How much of the cluster is reached, this proxy counted.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ReachabilityStatus {
    /// How many members there are, where only some are reached.
    #[serde(rename = "of", skip_serializing_if = "Option::is_none")]
    pub members: Option<usize>,
    /// How many of them are reached, where only some are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reached: Option<usize>,
    /// For how long not all are reached.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<f64>,
    /// [`FULL`], [`PARTIAL`] or [`ISOLATED`].
    pub state: String,
}

/// [`ReachabilityStatus::state`] where all members are reached.
pub const FULL: &str = "whole";
/// [`ReachabilityStatus::state`] where some members are reached.
pub const PARTIAL: &str = "part";
/// [`ReachabilityStatus::state`] where nobody else is reached.
pub const ISOLATED: &str = "alone";

/// How much of one zone is reached.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneStatus {
    /// How many members it has.
    #[serde(rename = "of")]
    pub members: usize,
    /// How many of them are reached.
    pub reached: usize,
    /// For how long not all are reached; none while all are.
    pub since_ms: Option<f64>,
    /// The zone's name.
    pub zone: String,
}

/// The page's text.
impl fmt::Display for ClusterStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let text = serde_json::to_string_pretty(self).map_err(|_| fmt::Error)?;
        formatter.write_str(&text)
    }
}

impl Cluster {
    /// The status page.
    pub fn status(&self, now_ms: f64) -> ClusterStatus {
        let assumed = self.assumed();
        let members = self.membership.members();
        let zones = self.membership.zone_reachability();
        ClusterStatus {
            slow_start_share: assumed.slow_start_share,
            datagrams: self.port.counters.into(),
            overridden_endpoints: self.endpoint_view.overridden_count(),
            local: NodeStatus::new(self.membership.local()),
            members: members
                .iter()
                .map(|member| MemberStatus::new(member, now_ms))
                .collect(),
            assumed_size: assumed.cluster_size,
            configured_size: self.assumptions.configured_size(),
            load_based_size: self.assumptions.load_based_size(now_ms),
            reachability: ReachabilityStatus::new(self.membership.reachability(), now_ms),
            zones: zones
                .into_iter()
                .map(|zone| ZoneStatus::new(zone, now_ms))
                .collect(),
        }
    }
}

impl From<DatagramCounters> for DatagramStatus {
    fn from(counters: DatagramCounters) -> Self {
        DatagramStatus {
            accepted: counters.accepted,
            rejected: counters.rejected,
            sent: counters.sent,
            send_failed: counters.send_failed,
        }
    }
}

impl NodeStatus {
    fn new(id: &NodeId) -> Self {
        NodeStatus {
            address: id.address.to_string(),
            incarnation: id.incarnation,
            name: id.name.clone(),
            program_version: id.program_version,
            settings_version: format!("{:016x}", id.settings_version),
            zone: id.zone.clone(),
        }
    }
}

impl MemberStatus {
    fn new(member: &Member, now_ms: f64) -> Self {
        let id = NodeStatus::new(&member.id);
        MemberStatus {
            address: id.address,
            incarnation: id.incarnation,
            name: id.name,
            program_version: id.program_version,
            settings_version: id.settings_version,
            since_ms: elapsed_ms(now_ms, member.since_ms),
            state: state_name(member.state).to_string(),
            zone: id.zone,
        }
    }
}

impl ReachabilityStatus {
    fn new(reachability: Reachability, now_ms: f64) -> Self {
        match reachability {
            Reachability::Full => ReachabilityStatus {
                state: FULL.to_string(),
                ..ReachabilityStatus::default()
            },
            Reachability::Partial {
                members,
                reached,
                since_ms,
            } => ReachabilityStatus {
                members: Some(members),
                reached: Some(reached),
                since_ms: Some(elapsed_ms(now_ms, since_ms)),
                state: PARTIAL.to_string(),
            },
            Reachability::Isolated { since_ms } => ReachabilityStatus {
                since_ms: Some(elapsed_ms(now_ms, since_ms)),
                state: ISOLATED.to_string(),
                ..ReachabilityStatus::default()
            },
        }
    }
}

impl ZoneStatus {
    fn new(zone: ZoneReachability, now_ms: f64) -> Self {
        ZoneStatus {
            members: zone.members,
            reached: zone.reached,
            since_ms: zone.since_ms.map(|since_ms| elapsed_ms(now_ms, since_ms)),
            zone: zone.zone,
        }
    }
}

/// How long ago a moment was, in whole milliseconds.
fn elapsed_ms(now_ms: f64, since_ms: f64) -> f64 {
    (now_ms - since_ms).max(0.0).round()
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Failed => "failed",
        MemberState::Left => "left",
    }
}

/// How much of the cluster is reached, for the log.
pub(super) fn describe(reachability: Reachability) -> String {
    match reachability {
        Reachability::Full => "the whole fleet".into(),
        Reachability::Partial {
            members, reached, ..
        } => format!("{reached} of {members} nodes"),
        Reachability::Isolated { .. } => "nobody else".into(),
    }
}
