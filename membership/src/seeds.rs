//! The seeds: addresses that are asked who the members are.

use std::net::SocketAddr;

/// How often seeds are asked while no member is known.
pub(crate) const ASK_INTERVAL_MS: f64 = 1000.0;
/// How often a seed that is not a live member is asked else.
const ASK_LOST_SEED_INTERVAL_MS: f64 = 5.0 * ASK_INTERVAL_MS;
/// Attempts at all seeds without an answer after which a proxy takes itself for isolated.
const MAX_UNANSWERED_ATTEMPTS: usize = 3;

/// The addresses to ask, and when.
pub(crate) struct Seeds {
    local: SocketAddr,
    addresses: Vec<SocketAddr>,
    next_ask_at_ms: f64,
    unanswered_attempts: usize,
}

impl Seeds {
    pub(crate) fn new(local: SocketAddr, addresses: &[SocketAddr], now_ms: f64) -> Self {
        let mut seeds = Seeds {
            local,
            addresses: Vec::new(),
            next_ask_at_ms: now_ms,
            unanswered_attempts: 0,
        };
        seeds.set_addresses(addresses);
        seeds
    }

    /// Replaces the addresses; the local one is left out.
    pub(crate) fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.addresses = addresses
            .iter()
            .copied()
            .filter(|address| *address != self.local)
            .collect();
    }

    /// When seeds are asked next.
    pub(crate) fn next_ask_at_ms(&self) -> f64 {
        self.next_ask_at_ms
    }

    /// Whether all seeds were asked often enough without an answer.
    pub(crate) fn are_silent(&self) -> bool {
        self.unanswered_attempts > MAX_UNANSWERED_ATTEMPTS
    }

    /// The seeds to ask now: all while no member is known, else one that is not a live member, so that two halves of
    /// a cluster that forgot each other meet again.
    pub(crate) fn next_to_ask(
        &mut self,
        now_ms: f64,
        has_members: bool,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let lost = self.addresses.iter().copied().filter(|a| !is_live(*a));
        let lost: Vec<SocketAddr> = lost.collect();
        if !has_members {
            self.unanswered_attempts += 1;
            self.next_ask_at_ms = now_ms + ASK_INTERVAL_MS;
            return lost;
        }
        self.unanswered_attempts = 0;
        self.next_ask_at_ms = now_ms + ASK_LOST_SEED_INTERVAL_MS;
        let turn = (now_ms / ASK_INTERVAL_MS) as usize % lost.len().max(1);
        lost.get(turn).copied().into_iter().collect()
    }
}
