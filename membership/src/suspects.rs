//! Direct questions to suspected members.

use crate::swim::PROBE_INTERVAL_MS;
use crate::types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How many of all members ask a suspected one in the mean, however many members there are: enough that one datagram
/// in ten lost changes nothing.
const MEAN_ASKING_MEMBERS: f64 = 8.0;
/// How often this proxy decides at most whether it asks a suspected member.
const ASK_AGAIN_MS: f64 = PROBE_INTERVAL_MS / 2.0;
/// Sets the random draws apart from those of SWIM ("SWIM" in ASCII).
const SEED_MASK: u64 = 0x5357_494d;

/// Decides which suspected members this proxy asks itself. Where datagrams are lost, gossip of a suspicion and of its
/// refutation are too slow to save a live member; what it answers carries its refutation.
pub(crate) struct SuspectProber {
    last_decision_ms: BTreeMap<SocketAddr, f64>,
    rng: ChaCha8Rng,
}

impl SuspectProber {
    pub(crate) fn new(seed: u64) -> Self {
        SuspectProber {
            last_decision_ms: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK),
        }
    }

    /// Those of the suspects that are asked now, where so many other members are alive.
    pub(crate) fn select(
        &mut self,
        now_ms: f64,
        suspects: Vec<NodeId>,
        live_others: usize,
    ) -> Vec<NodeId> {
        self.last_decision_ms
            .retain(|address, _| suspects.iter().any(|suspect| suspect.address == *address));
        let probability = MEAN_ASKING_MEMBERS / (live_others + 1) as f64;
        suspects
            .into_iter()
            .filter(|suspect| self.decide(now_ms, suspect.address, probability))
            .collect()
    }

    fn decide(&mut self, now_ms: f64, address: SocketAddr, probability: f64) -> bool {
        let last = self.last_decision_ms.get(&address);
        if last.is_some_and(|last_ms| now_ms - last_ms < ASK_AGAIN_MS) {
            return false;
        }
        self.last_decision_ms.insert(address, now_ms);
        self.rng.random::<f64>() < probability
    }
}
