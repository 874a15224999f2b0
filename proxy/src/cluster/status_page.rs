//! The cluster status page `GET /fleet` of the admin API. Its keys are part of the public interface.

use super::socket::DatagramCounters;
use super::state::Cluster;
use crankmux_membership::{Member, MemberState, NodeId, Reachability, ZoneReachability};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The cluster as seen by this proxy. Times are ages in milliseconds.
///
/// The fields of this and the following types are in alphabetical order of their keys. Keys missing in a page of
/// another version are read as empty.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ClusterStatus {
    /// This proxy's share of the configured slow-start budget.
    #[serde(rename = "cold_part")]
    pub slow_start_share: f64,
    /// Datagram counters.
    pub datagrams: DatagramStatus,
    /// The number of endpoints whose gossiped status is stricter than that of this proxy's list.
    #[serde(rename = "held_stricter")]
    pub overridden_endpoints: usize,
    /// This proxy.
    #[serde(rename = "me")]
    pub local: NodeStatus,
    /// The other members.
    pub members: Vec<MemberStatus>,
    /// The assumed number of proxies.
    #[serde(rename = "nodes_assumed")]
    pub assumed_size: f64,
    /// The number of proxies in the settings.
    #[serde(rename = "nodes_told")]
    pub configured_size: f64,
    /// The number of proxies estimated from endpoints' load reports.
    #[serde(rename = "nodes_told_by_servers")]
    pub load_based_size: Option<f64>,
    /// Reachability of the cluster.
    #[serde(rename = "reach")]
    pub reachability: ReachabilityStatus,
    /// Reachability of each zone.
    pub zones: Vec<ZoneStatus>,
}

/// Datagram counters since the start.
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
    /// Failed to be sent.
    #[serde(rename = "unsent")]
    pub send_failed: u64,
}

/// The identity of a proxy.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// The address advertised to other members.
    pub address: String,
    /// The incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// The name.
    pub name: String,
    /// The program version as a number.
    #[serde(rename = "program")]
    pub program_version: u32,
    /// The hash of the settings.
    #[serde(rename = "settings")]
    pub settings_version: String,
    /// The zone.
    pub zone: String,
}

/// The identity and state of another member.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// The address advertised to other members.
    pub address: String,
    /// The incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// The name.
    pub name: String,
    /// The program version as a number.
    #[serde(rename = "program")]
    pub program_version: u32,
    /// The hash of the settings.
    #[serde(rename = "settings")]
    pub settings_version: String,
    /// How long the member has been in this state.
    pub since_ms: f64,
    /// `alive`, `suspected`, `failed` or `left`.
    pub state: String,
    /// The zone.
    pub zone: String,
}

/// Reachability of the cluster, with this proxy counted as reachable.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ReachabilityStatus {
    /// The number of members; only if [`PARTIAL`].
    #[serde(rename = "of", skip_serializing_if = "Option::is_none")]
    pub members: Option<usize>,
    /// The number of reachable members; only if [`PARTIAL`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reached: Option<usize>,
    /// How long some members have been unreachable; none if [`FULL`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<f64>,
    /// [`FULL`], [`PARTIAL`] or [`ISOLATED`].
    pub state: String,
}

/// [`ReachabilityStatus::state`] if all members are reachable.
pub const FULL: &str = "whole";
/// [`ReachabilityStatus::state`] if some members are reachable.
pub const PARTIAL: &str = "part";
/// [`ReachabilityStatus::state`] if no other member is reachable.
pub const ISOLATED: &str = "alone";

/// Reachability of a zone.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneStatus {
    /// The number of members.
    #[serde(rename = "of")]
    pub members: usize,
    /// The number of reachable members.
    pub reached: usize,
    /// How long some members have been unreachable; none if all are reachable.
    pub since_ms: Option<f64>,
    /// The zone's name.
    pub zone: String,
}

/// Formats the page as JSON.
impl fmt::Display for ClusterStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let text = serde_json::to_string_pretty(self).map_err(|_| fmt::Error)?;
        formatter.write_str(&text)
    }
}

impl Cluster {
    /// Builds the status page.
    pub fn status(&self, now_ms: f64) -> ClusterStatus {
        let assumed = self.assumed();
        let members = self.membership.members();
        let zones = self.membership.zone_reachability();
        ClusterStatus {
            slow_start_share: assumed.slow_start_share,
            datagrams: self.socket.counters.into(),
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

/// Time since a moment, in whole milliseconds.
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

/// Formats reachability for the log.
pub(super) fn describe(reachability: Reachability) -> String {
    match reachability {
        Reachability::Full => "all members are reachable".into(),
        Reachability::Partial {
            members, reached, ..
        } => format!("{reached} of {members} members are reachable"),
        Reachability::Isolated { .. } => "no other member is reachable".into(),
    }
}
