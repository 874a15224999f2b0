//! What the operators' door tells of the fleet.

use super::*;
use crankmux_membership::MemberState;
use serde_json::json;

/// How much is reached, in words.
pub fn words(reach: Reachability) -> String {
    match reach {
        Reachability::Full => "the whole fleet".into(),
        Reachability::Partial {
            members: of,
            reached,
            ..
        } => format!("{reached} of {of} nodes"),
        Reachability::Isolated { .. } => "nobody else".into(),
    }
}

fn state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Failed => "failed",
        MemberState::Left => "left",
    }
}

impl Cluster {
    /// All that is known of the fleet. Times are milliseconds ago.
    pub fn page(&self, now: f64) -> Value {
        let named = |name: &NodeId| {
            json!({"name": name.name, "zone": name.zone, "address": name.address.to_string(),
                   "born": name.incarnation, "program": name.program_version, "settings": format!("{:016x}", name.settings_version)})
        };
        let members: Vec<Value> = (self.fleet.members().iter())
            .map(|known| {
                let mut line = named(&known.id);
                line["state"] = state(known.state).into();
                line["since_ms"] = (now - known.since_ms).max(0.0).round().into();
                line
            })
            .collect();
        let ago = |since: f64| (now - since).max(0.0).round();
        let reach = match self.fleet.reachability() {
            Reachability::Full => json!({"state": "whole"}),
            Reachability::Partial {
                members: of,
                reached,
                since_ms: since,
            } => {
                json!({"state": "part", "of": of, "reached": reached, "since_ms": ago(since)})
            }
            Reachability::Isolated { since_ms: since } => {
                json!({"state": "alone", "since_ms": ago(since)})
            }
        };
        let zones: Vec<Value> = (self.fleet.zone_reachability().iter())
            .map(|zone| {
                json!({"zone": zone.zone, "of": zone.members, "reached": zone.reached,
                       "since_ms": zone.since_ms.map(ago)})
            })
            .collect();
        let Datagrams {
            sent,
            unsent,
            heard,
            refused,
        } = self.datagrams;
        let (nodes, cold) = self.assumed();
        let (told, by_servers) = (
            self.shares.configured_size(),
            self.shares.load_based_size(now),
        );
        json!({
            "me": named(self.fleet.local()), "reach": reach, "zones": zones, "members": members,
            "nodes_told": told, "nodes_assumed": nodes, "cold_part": cold,
            "nodes_told_by_servers": by_servers, "held_stricter": self.lists.overridden(),
            "datagrams": {"sent": sent, "unsent": unsent, "heard": heard, "refused": refused},
        })
    }

    /// A figure a line.
    pub fn figures(&self) -> String {
        let known = self.fleet.members();
        let count = |wanted: MemberState| known.iter().filter(|k| k.state == wanted).count();
        let Datagrams {
            sent,
            unsent,
            heard,
            refused,
        } = self.datagrams;
        let (nodes, cold) = self.assumed();
        format!(
            "fleet_alive={}\nfleet_suspected={}\nfleet_failed={}\nfleet_left={}\nfleet_nodes_assumed={:.2}\n\
             fleet_cold_part={:.4}\nfleet_held_stricter={}\nfleet_sent={sent}\nfleet_unsent={unsent}\n\
             fleet_heard={heard}\nfleet_refused={refused}\n",
            count(MemberState::Alive) + 1,
            count(MemberState::Suspected),
            count(MemberState::Failed),
            count(MemberState::Left),
            nodes,
            cold,
            self.lists.overridden(),
        )
    }
}
