//! Seeds: configured addresses through which a proxy discovers the members.

use std::net::SocketAddr;

/// How often seeds are contacted while no live member is known.
pub(crate) const CONTACT_INTERVAL_MS: f64 = 1000.0;
/// How often one seed that is not a live member is contacted otherwise.
const CONTACT_LOST_SEED_INTERVAL_MS: f64 = 5.0 * CONTACT_INTERVAL_MS;
/// Unanswered contacts of all seeds before a proxy considers itself isolated.
const MAX_UNANSWERED_ATTEMPTS: usize = 3;

/// The seed addresses and when to contact them next.
pub(crate) struct Seeds {
    local: SocketAddr,
    addresses: Vec<SocketAddr>,
    next_contact_at_ms: f64,
    unanswered_attempts: usize,
}

impl Seeds {
    pub(crate) fn new(local: SocketAddr, addresses: &[SocketAddr], now_ms: f64) -> Self {
        let mut seeds = Seeds {
            local,
            addresses: Vec::new(),
            next_contact_at_ms: now_ms,
            unanswered_attempts: 0,
        };
        seeds.set_addresses(addresses);
        seeds
    }

    /// Replaces the addresses, except for the local one.
    pub(crate) fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.addresses = addresses
            .iter()
            .copied()
            .filter(|address| *address != self.local)
            .collect();
    }

    pub(crate) fn next_contact_at_ms(&self) -> f64 {
        self.next_contact_at_ms
    }

    /// Whether [`MAX_UNANSWERED_ATTEMPTS`] contacts of all seeds were left unanswered.
    pub(crate) fn are_unresponsive(&self) -> bool {
        self.unanswered_attempts > MAX_UNANSWERED_ATTEMPTS
    }

    /// The seeds to contact now: all while no live member is known, otherwise one that is not a live member, so that
    /// partitions that have forgotten each other can merge again.
    pub(crate) fn select_to_contact(
        &mut self,
        now_ms: f64,
        has_members: bool,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let lost = self.addresses.iter().copied().filter(|a| !is_live(*a));
        let lost: Vec<SocketAddr> = lost.collect();
        if !has_members {
            self.unanswered_attempts += 1;
            self.next_contact_at_ms = now_ms + CONTACT_INTERVAL_MS;
            return lost;
        }
        self.unanswered_attempts = 0;
        self.next_contact_at_ms = now_ms + CONTACT_LOST_SEED_INTERVAL_MS;
        let turn = (now_ms / CONTACT_INTERVAL_MS) as usize % lost.len().max(1);
        lost.get(turn).copied().into_iter().collect()
    }
}
