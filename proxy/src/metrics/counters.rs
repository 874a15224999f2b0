//! Counts of what the node takes in, sends and answers, told on request and at exit.

use std::fmt;

#[derive(Default)]
pub struct Counters {
    pub taken: u64,
    pub sent: u64,
    pub acked: u64,
    pub nacked: u64,
    pub dead_lettered: u64,
    /// DownstreamConnections that left before their answer.
    pub departed: u64,
    /// Bad input, answered without an op.
    pub bad: u64,
    /// DownstreamConnections that took nothing of their answer for too long.
    pub stalled: u64,
    /// Pushes and requests that met full tables or an empty pool.
    pub full: u64,
    pub push_acked: u64,
    pub push_errored: u64,
    pub push_turned_away: u64,
    pub push_timed_out: u64,
    pub push_unreachable: u64,
    pub push_broken: u64,
    pub push_cancelled: u64,
    pub accepted: u64,
    pub dialled: u64,
    pub probes: u64,
    pub probes_failed: u64,
    pub lists: u64,
    pub lists_failed: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ops: taken {}, acked {}, nacked {}, dead-lettered {}, departed {}, bad {}, stalled {}, \
             full {}; ",
            self.taken,
            self.acked,
            self.nacked,
            self.dead_lettered,
            self.departed,
            self.bad,
            self.stalled,
            self.full
        )?;
        write!(
            f,
            "pushes: sent {}, acked {}, errored {}, turned away {}, timed out {}, unreachable {}, broken {}, \
             cancelled {}; ",
            self.sent,
            self.push_acked,
            self.push_errored,
            self.push_turned_away,
            self.push_timed_out,
            self.push_unreachable,
            self.push_broken,
            self.push_cancelled
        )?;
        write!(
            f,
            "connections: accepted {}, dialled {}; probes: sent {}, without report {}; lists: {}, failed {}",
            self.accepted, self.dialled, self.probes, self.probes_failed, self.lists, self.lists_failed
        )
    }
}
