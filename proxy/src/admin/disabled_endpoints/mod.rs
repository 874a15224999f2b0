//! Upstreams taken out by hand: the operators' calls, the files that keep them, and what follows on the
//! sockets. That nothing new goes there is the decisions' work.

mod watch;

use crankmux::types::{AttemptOutcome, LoadReport};
use std::collections::{HashSet, VecDeque};

/// Numbers of servers once listed, the oldest forgotten first. Danger: servers are replaced under ever new
/// ids.
const ONCE_MOST: usize = 8192;
/// How often the files are read while another process of this node may write them: well within the second
/// that a call may take to count.
const LOOK_EVERY: f64 = 100.0;

#[derive(Default)]
pub struct DisabledEndpoints {
    now: Vec<u64>,
    once: HashSet<u64>,
    order: VecDeque<u64>,
}

impl DisabledEndpoints {
    pub fn listed(&mut self, mark: u64) {
        if self.once.insert(mark) {
            self.order.push_back(mark);
            if self.order.len() > ONCE_MOST {
                self.order
                    .pop_front()
                    .map(|oldest| self.once.remove(&oldest));
            }
        }
    }

    pub fn once(&self) -> impl Iterator<Item = u64> + '_ {
        self.order.iter().copied()
    }

    fn known(&self, mark: u64) -> bool {
        self.once.contains(&mark) || self.now.contains(&mark)
    }
}
