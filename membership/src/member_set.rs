//! The set of members that this proxy counts, and its slow-start share that follows from it.

use crate::slow_start_shares::{digest_of, MemberSetDigest, ShareInputs, SlowStartShares};
use crate::types::{IncarnationKey, Member, MemberState};

/// Marks the incarnation of a failed member in a digest: no member's own incarnation has its highest bit set.
const FAILED_MARK: u64 = 1 << 63;

/// The counted set, its digest, and the share.
pub(crate) struct MemberSet {
    shares: SlowStartShares,
    /// The number of proxies by the settings, when the share was last asked for.
    configured_size: f64,
    /// The other members that live and those that failed, by address hash.
    live: Vec<u64>,
    failed: Vec<u64>,
    digest: MemberSetDigest,
    last_gossiped: MemberSetDigest,
    /// Members have changed since they were counted.
    outdated: bool,
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
            outdated: true,
        }
    }

    /// A new incarnation has agreed with nobody yet.
    pub(crate) fn reset_shares(&mut self) {
        self.shares = SlowStartShares::default();
        self.outdated = true;
    }

    /// Members have changed.
    pub(crate) fn invalidate(&mut self) {
        self.outdated = true;
    }

    /// Another member has said which set it counts.
    pub(crate) fn digest_received(&mut self, address_hash: u64, digest: MemberSetDigest) {
        self.shares.digest_received(address_hash, digest);
    }

    /// A member has left.
    pub(crate) fn member_left(&mut self, address_hash: u64) {
        self.shares.member_left(address_hash);
        self.outdated = true;
    }

    /// How many of the others live, when they were last counted.
    pub(crate) fn live_others(&self) -> usize {
        self.live.len()
    }

    /// Counts the members, where they have changed.
    fn recount<'a>(&mut self, local: IncarnationKey, members: impl Iterator<Item = &'a Member>) {
        if !std::mem::take(&mut self.outdated) {
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
            incarnation: key.incarnation | FAILED_MARK,
            ..*key
        });
        self.digest.members = digest_of(live_keys.iter().chain(&failed_keys).copied());
        self.digest.members_with_failed_marked =
            digest_of(live_keys.iter().copied().chain(marked_keys));
        self.live = live.iter().map(|member| member.address_hash()).collect();
        self.failed = failed_keys.iter().map(|key| key.address_hash).collect();
    }

    /// This proxy's share, where the settings have so many proxies, or as many as when it was last asked for.
    /// `unanswered`: all seeds were asked in vain.
    pub(crate) fn share<'a>(
        &mut self,
        configured_size: Option<f64>,
        local: IncarnationKey,
        members: impl Iterator<Item = &'a Member>,
        unanswered: bool,
    ) -> f64 {
        self.configured_size = configured_size.unwrap_or(self.configured_size);
        self.recount(local, members);
        let share = self.shares.share(&ShareInputs {
            configured_size: self.configured_size,
            digest: self.digest,
            live: &self.live,
            failed: &self.failed,
            isolated: self.live.is_empty() && self.failed.is_empty() && unanswered,
        });
        self.digest.agreed_size = self.shares.agreed_size();
        share
    }

    /// The digest to gossip, once it has changed. The caller lowers the share first: once others hear the digest,
    /// they take what this proxy would still use.
    pub(crate) fn take_digest_to_gossip(&mut self) -> Option<MemberSetDigest> {
        if self.digest == self.last_gossiped {
            return None;
        }
        self.last_gossiped = self.digest;
        Some(self.digest)
    }
}
