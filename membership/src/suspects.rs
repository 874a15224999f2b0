//! Direct probes of suspected members.

use crate::swim::PROBE_INTERVAL_MS;
use crate::types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The expected number of members that probe a suspected one, independent of the cluster size: enough to tolerate a
/// packet loss of one in ten.
const EXPECTED_PROBERS: f64 = 8.0;
/// The minimum time between two decisions on whether to probe the same member.
const MIN_DECISION_INTERVAL_MS: f64 = PROBE_INTERVAL_MS / 2.0;
/// Separates this random stream from that of [`crate::swim::Swim`], which has the same seed.
const RNG_SEED_MASK: u64 = 0x5357_494d;

/// Selects the suspected members that this proxy probes directly. Under packet loss, gossip may be too slow to refute a
/// false suspicion before the timeout; the response to a direct probe carries the refutation.
pub(crate) struct SuspectProber {
    last_decision_ms: BTreeMap<SocketAddr, f64>,
    rng: ChaCha8Rng,
}

impl SuspectProber {
    pub(crate) fn new(seed: u64) -> Self {
        SuspectProber {
            last_decision_ms: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_SEED_MASK),
        }
    }

    /// The suspects to probe now. `live_others`: the number of other live members.
    pub(crate) fn select(
        &mut self,
        now_ms: f64,
        suspects: Vec<NodeId>,
        live_others: usize,
    ) -> Vec<NodeId> {
        self.last_decision_ms
            .retain(|address, _| suspects.iter().any(|suspect| suspect.address == *address));
        let probability = EXPECTED_PROBERS / (live_others + 1) as f64;
        suspects
            .into_iter()
            .filter(|suspect| self.should_probe(now_ms, suspect.address, probability))
            .collect()
    }

    fn should_probe(&mut self, now_ms: f64, address: SocketAddr, probability: f64) -> bool {
        let last = self.last_decision_ms.get(&address);
        if last.is_some_and(|last_ms| now_ms - last_ms < MIN_DECISION_INTERVAL_MS) {
            return false;
        }
        self.last_decision_ms.insert(address, now_ms);
        self.rng.random::<f64>() < probability
    }
}
