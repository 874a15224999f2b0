//! Reachability of the cluster and of each zone.

use crate::member_table::MemberTable;
use crate::types::{Member, MemberState, Reachability, ZoneReachability};
use std::collections::{BTreeMap, BTreeSet};

/// Since when the cluster and each zone have failed members.
#[derive(Default)]
pub(crate) struct ReachabilityTracker {
    partial_since_ms: Option<f64>,
    zones_partial_since_ms: BTreeMap<String, f64>,
}

impl ReachabilityTracker {
    /// Updates the start times from the members' states.
    pub(crate) fn update(&mut self, now_ms: f64, members: &MemberTable) {
        let failed_zones: BTreeSet<&str> = members
            .failed()
            .map(|member| member.id.zone.as_str())
            .collect();
        self.partial_since_ms = if failed_zones.is_empty() {
            None
        } else {
            self.partial_since_ms.or(Some(now_ms))
        };
        self.zones_partial_since_ms
            .retain(|zone, _| failed_zones.contains(zone.as_str()));
        for zone in failed_zones {
            if !self.zones_partial_since_ms.contains_key(zone) {
                self.zones_partial_since_ms.insert(zone.to_string(), now_ms);
            }
        }
    }

    /// Reachability of the cluster. `seeds_unresponsive_since_ms`: since when no seed has responded.
    pub(crate) fn cluster(
        &self,
        members: &MemberTable,
        seeds_unresponsive_since_ms: Option<f64>,
    ) -> Reachability {
        let counts = members.counts();
        let knows_no_members = counts.live + counts.failed == 0;
        if let Some(since_ms) = seeds_unresponsive_since_ms.filter(|_| knows_no_members) {
            return Reachability::Isolated { since_ms };
        }
        let Some(since_ms) = self.partial_since_ms else {
            return Reachability::Full;
        };
        if counts.live == 0 {
            return Reachability::Isolated { since_ms };
        }
        Reachability::Partial {
            members: counts.live + counts.failed + 1,
            reached: counts.live + 1,
            since_ms,
        }
    }

    /// Reachability of each zone in order of name, with the local member counted in its own zone.
    pub(crate) fn zones(&self, local_zone: &str, members: &MemberTable) -> Vec<ZoneReachability> {
        let mut zones = BTreeMap::new();
        self.count_member(&mut zones, local_zone, true);
        for member in members
            .iter()
            .filter(|member| member.state != MemberState::Left)
        {
            self.count_member(&mut zones, &member.id.zone, Member::is_live(member));
        }
        zones.into_values().collect()
    }

    fn count_member<'a>(
        &self,
        zones: &mut BTreeMap<&'a str, ZoneReachability>,
        zone: &'a str,
        is_reached: bool,
    ) {
        let entry = zones.entry(zone).or_insert_with(|| ZoneReachability {
            zone: zone.to_string(),
            members: 0,
            reached: 0,
            since_ms: self.zones_partial_since_ms.get(zone).copied(),
        });
        entry.members += 1;
        entry.reached += usize::from(is_reached);
    }
}
