//! The member set that this proxy counts, its digest, and the resulting slow-start share.

use crate::slow_start_shares::{digest_of, MemberSetDigest, ShareInputs, SlowStartShares};
use crate::types::{IncarnationKey, Member, MemberState};

/// Marks a failed member's incarnation in a digest. Incarnations are Unix milliseconds and never have this bit set.
const FAILED_BIT: u64 = 1 << 63;

/// The counted members, their digest, and the slow-start share.
pub(crate) struct MemberSet {
    shares: SlowStartShares,
    /// The configured number of proxies at the last request for the share.
    configured_size: f64,
    /// Address hashes of the other live members.
    live: Vec<u64>,
    /// Address hashes of the failed members.
    failed: Vec<u64>,
    digest: MemberSetDigest,
    last_gossiped: MemberSetDigest,
    /// Whether members have changed since the last count.
    is_stale: bool,
}

impl MemberSet {
    pub(crate) fn new() -> Self {
        MemberSet {
            shares: SlowStartShares::default(),
            configured_size: f64::INFINITY,
            live: Vec::new(),
            failed: Vec::new(),
            digest: MemberSetDigest::default(),
            last_gossiped: MemberSetDigest::default(),
            is_stale: true,
        }
    }

    /// Discards the share and all received digests, as a new incarnation has not agreed with any member yet.
    pub(crate) fn reset_shares(&mut self) {
        self.shares = SlowStartShares::default();
        self.is_stale = true;
    }

    /// Schedules a recount after a change of the members.
    pub(crate) fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Records the digest gossiped by another member.
    pub(crate) fn digest_received(&mut self, address_hash: u64, digest: MemberSetDigest) {
        self.shares.digest_received(address_hash, digest);
    }

    /// Drops the digest of a member that left.
    pub(crate) fn member_left(&mut self, address_hash: u64) {
        self.shares.member_left(address_hash);
        self.is_stale = true;
    }

    /// The number of other live members at the last count.
    pub(crate) fn live_others(&self) -> usize {
        self.live.len()
    }

    /// Recounts the members if they have changed.
    fn recount<'a>(&mut self, local: IncarnationKey, members: impl Iterator<Item = &'a Member>) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let (failed, live): (Vec<_>, Vec<_>) = members
            .filter(|member| member.state != MemberState::Left)
            .partition(|member| member.state == MemberState::Failed);
        let live_keys = live.iter().map(|member| member.incarnation_key());
        let live_keys: Vec<IncarnationKey> = live_keys.chain([local]).collect();
        let failed_keys = failed.iter().map(|member| member.incarnation_key());
        let failed_keys: Vec<IncarnationKey> = failed_keys.collect();
        let marked_keys = failed_keys.iter().map(|key| IncarnationKey {
            incarnation: key.incarnation | FAILED_BIT,
            ..*key
        });
        self.digest.members = digest_of(live_keys.iter().chain(&failed_keys).copied());
        self.digest.members_with_failed_marked =
            digest_of(live_keys.iter().copied().chain(marked_keys));
        self.live = live.iter().map(|member| member.address_hash()).collect();
        self.failed = failed_keys.iter().map(|key| key.address_hash).collect();
    }

    /// This proxy's share. Without a configured size, uses that of the last call. `seeds_unresponsive`: no seed has
    /// answered.
    pub(crate) fn share<'a>(
        &mut self,
        configured_size: Option<f64>,
        local: IncarnationKey,
        members: impl Iterator<Item = &'a Member>,
        seeds_unresponsive: bool,
    ) -> f64 {
        self.configured_size = configured_size.unwrap_or(self.configured_size);
        self.recount(local, members);
        let share = self.shares.share(&ShareInputs {
            configured_size: self.configured_size,
            digest: self.digest,
            live: &self.live,
            failed: &self.failed,
            isolated: self.live.is_empty() && self.failed.is_empty() && seeds_unresponsive,
        });
        self.digest.agreed_size = self.shares.agreed_size();
        share
    }

    /// Takes the digest to gossip if it has changed. The caller must update the share first: peers that receive the
    /// digest may claim the budget that this proxy gives up.
    pub(crate) fn take_digest_to_gossip(&mut self) -> Option<MemberSetDigest> {
        if self.digest == self.last_gossiped {
            return None;
        }
        self.last_gossiped = self.digest;
        Some(self.digest)
    }
}
