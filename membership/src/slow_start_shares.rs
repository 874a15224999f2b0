//! This proxy's share of an endpoint's slow-start budget, such that the shares of all proxies sum to at most one.

use crate::types::IncarnationKey;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Digest of the member set that a proxy counts. Equal digests stand for equal sets of member incarnations.
///
/// Sent between proxies in a positional encoding: the order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct MemberSetDigest {
    /// All members that have not left, including the proxy itself.
    pub members: u64,
    /// The same set, with the members that the proxy considers failed marked as such.
    pub members_with_failed_marked: u64,
    /// The size of the last set that all of its members agreed on; 0 if there was none.
    pub agreed_size: usize,
}

/// Digest of a set of members, independent of their order and equal at all proxies.
pub(crate) fn digest_of(members: impl IntoIterator<Item = IncarnationKey>) -> u64 {
    // Fixed keys, so that digests are comparable. Datagrams are authenticated, so the keys need not be secret.
    let hash_of = |member: IncarnationKey| {
        let mut hasher = SipHasher13::new_with_keys(1, 2);
        member.hash(&mut hasher);
        hasher.finish()
    };
    members.into_iter().map(hash_of).fold(0, u64::wrapping_add)
}

/// Inputs to [`SlowStartShares::share`].
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs<'a> {
    /// The configured number of proxies.
    pub configured_size: f64,
    /// Digest of the member set that this proxy counts.
    pub digest: MemberSetDigest,
    /// Address hashes of the other live members.
    pub live: &'a [u64],
    /// Address hashes of the failed members.
    pub failed: &'a [u64],
    /// Whether this proxy knows no other member and no seed has answered.
    pub isolated: bool,
}

/// This proxy's share of what all proxies together may send to an endpoint in slow start. The shares of all proxies
/// that know each other sum to at most one at every moment, even while their views of the cluster differ:
///
/// - A share is lowered immediately. A proxy gossips the digest of a member set only after its share fits that set.
/// - A share is raised only after all members of the counted set, including failed ones, have gossiped the digest of
///   that set. A member that is cut off thus holds at most its share of the last agreed set, whose size is known.
/// - A new incarnation would never get a share if a member never returns. It therefore also takes one once all live
///   members have gossiped the same set with the same members failed: an even part of what the failed ones leave.
///
/// An isolated proxy takes an even share by the configured number of proxies.
#[derive(Clone, Debug, Default)]
pub struct SlowStartShares {
    held_share: f64,
    agreed_size: usize,
    digests: BTreeMap<u64, MemberSetDigest>,
}

impl SlowStartShares {
    /// Records the digest gossiped by another member.
    pub fn digest_received(&mut self, address_hash: u64, digest: MemberSetDigest) {
        self.digests.insert(address_hash, digest);
    }

    /// Drops the digest of a member that left.
    pub fn member_left(&mut self, address_hash: u64) {
        self.digests.remove(&address_hash);
    }

    /// The size of the last member set that all of its members agreed on; 0 if there was none.
    pub fn agreed_size(&self) -> usize {
        self.agreed_size
    }

    /// Updates and returns this proxy's share.
    pub fn share(&mut self, inputs: &ShareInputs) -> f64 {
        let configured_size = inputs.configured_size.max(1.0);
        let members = (inputs.live.len() + inputs.failed.len() + 1) as f64;
        let even_share = 1.0 / configured_size.max(members);
        let mut counted = inputs.live.iter().chain(inputs.failed);
        let all_agree = counted.all(|member| self.counts_same_members(*member, inputs.digest));
        if all_agree && members > 1.0 {
            self.held_share = even_share;
            self.agreed_size = members as usize;
            return self.held_share;
        }
        if inputs.isolated {
            // Not stored: once this proxy finds other members, it starts without a share like a new incarnation.
            return 1.0 / configured_size;
        }
        // Without full agreement only a new incarnation may raise its share; otherwise proxies that do not know each
        // other could exceed the budget together.
        let target = if inputs.failed.is_empty() {
            even_share
        } else {
            even_share.min(self.share_left_by_failed(inputs, configured_size))
        };
        let has_no_share = self.held_share <= 0.0 && !inputs.live.is_empty();
        let mut live = inputs.live.iter();
        let may_take_share =
            has_no_share && live.all(|member| self.counts_same_failed(*member, inputs.digest));
        self.held_share = if may_take_share {
            target
        } else {
            self.held_share.min(target)
        };
        self.held_share
    }

    /// The even part of the budget that failed members leave to each live one. A failed member holds at most a share
    /// of the smallest agreed set.
    fn share_left_by_failed(&self, inputs: &ShareInputs, configured_size: f64) -> f64 {
        let agreed_sizes = inputs
            .live
            .iter()
            .filter_map(|member| self.digests.get(member))
            .map(|digest| digest.agreed_size)
            .chain([self.agreed_size]);
        let smallest = agreed_sizes.filter(|size| *size > 0).min().unwrap_or(0) as f64;
        let held_by_failed = inputs.failed.len() as f64 / configured_size.max(smallest);
        ((1.0 - held_by_failed) / (inputs.live.len() + 1) as f64).max(0.0)
    }

    fn counts_same_members(&self, member: u64, digest: MemberSetDigest) -> bool {
        let theirs = self.digests.get(&member);
        theirs.is_some_and(|theirs| theirs.members == digest.members)
    }

    fn counts_same_failed(&self, member: u64, digest: MemberSetDigest) -> bool {
        self.digests.get(&member).is_some_and(|theirs| {
            theirs.members_with_failed_marked == digest.members_with_failed_marked
        })
    }
}
