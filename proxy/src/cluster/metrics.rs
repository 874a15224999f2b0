//! Cluster metrics for `/v1/metrics`. Their names are part of the public interface.

use super::socket::DatagramCounters;
use super::state::Cluster;
use crankmux_membership::MemberState;

impl Cluster {
    /// Formats the metrics, one per line.
    pub fn metrics(&self) -> String {
        let members = self.membership.members();
        let count = |state: MemberState| {
            let in_state = members.iter().filter(|member| member.state == state);
            in_state.count()
        };
        let assumed = self.assumed();
        let DatagramCounters {
            sent,
            send_failed,
            accepted,
            rejected,
        } = self.socket.counters;
        format!(
            "fleet_alive={}\nfleet_suspected={}\nfleet_failed={}\nfleet_left={}\nfleet_nodes_assumed={:.2}\n\
             fleet_cold_part={:.4}\nfleet_held_stricter={}\nfleet_sent={sent}\nfleet_unsent={send_failed}\n\
             fleet_heard={accepted}\nfleet_refused={rejected}\n",
            count(MemberState::Alive) + 1,
            count(MemberState::Suspected),
            count(MemberState::Failed),
            count(MemberState::Left),
            assumed.cluster_size,
            assumed.slow_start_share,
            self.endpoint_view.overridden_count(),
        )
    }
}
