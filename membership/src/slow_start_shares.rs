//! Which share of an endpoint's slow-start budget is this proxy's, such that all shares add up to one at most.

use crate::types::IncarnationKey;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Which set of members a proxy counts. Equal numbers are equal sets of equal incarnations.
///
/// It is encoded by the order of its fields and travels between proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct MemberSetDigest {
    /// All that have not left, itself among them.
    pub members: u64,
    /// The same with those marked that it holds for failed.
    pub members_with_failed_marked: u64,
    /// How many they were when all of such a set last counted it; 0 for never.
    pub agreed_size: usize,
}

/// The digest of a set of members, the same at all proxies that count the same incarnations.
pub(crate) fn digest_of(members: impl IntoIterator<Item = IncarnationKey>) -> u64 {
    // Any keys do, as what is compared comes in authenticated datagrams. They are the same at every proxy.
    let hash_of = |member: IncarnationKey| {
        let mut hasher = SipHasher13::new_with_keys(1, 2);
        member.hash(&mut hasher);
        hasher.finish()
    };
    members.into_iter().map(hash_of).fold(0, u64::wrapping_add)
}

/// What a share is worked out from.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs<'a> {
    /// The number of proxies by the settings.
    pub configured_size: f64,
    /// Which set this proxy counts.
    pub digest: MemberSetDigest,
    /// The other members that live, by address hash.
    pub live: &'a [u64],
    /// The members that failed, by address hash.
    pub failed: &'a [u64],
    /// It has asked all seeds and nobody answered.
    pub isolated: bool,
}

/// This proxy's share of what all proxies together may send to an endpoint in slow start. The shares of all proxies
/// that know of each other add up to one at most at every moment, also while their views differ:
///
/// - A share is lowered at once, and a proxy gossips which set it counts only once its share fits that set.
/// - It rises only when all of the set that this proxy counts, failed ones too, have said that they count exactly
///   it. So whoever is cut off holds at most what it held at the last such moment, and that is known.
/// - A new incarnation, which would wait for good where a member is gone for good, also takes a share once all that
///   live have said that they count the same set with the same failed: what those failed leave, evenly.
///
/// One that reaches nobody at all takes one share of the configured number, as a proxy does that shares nothing.
#[derive(Clone, Debug, Default)]
pub struct SlowStartShares {
    held: f64,
    agreed_size: usize,
    digests: BTreeMap<u64, MemberSetDigest>,
}

impl SlowStartShares {
    /// Another member has said which set it counts.
    pub fn digest_received(&mut self, address_hash: u64, digest: MemberSetDigest) {
        self.digests.insert(address_hash, digest);
    }

    /// A member has left: what it said counts no more.
    pub fn member_left(&mut self, address_hash: u64) {
        self.digests.remove(&address_hash);
    }

    /// How many members there were when all of this proxy's set last counted it.
    pub fn agreed_size(&self) -> usize {
        self.agreed_size
    }

    /// The share of a proxy, where others live and failed as the inputs have it.
    pub fn share(&mut self, inputs: &ShareInputs) -> f64 {
        let configured_size = inputs.configured_size.max(1.0);
        let members = (inputs.live.len() + inputs.failed.len() + 1) as f64;
        let even = 1.0 / configured_size.max(members);
        let mut counted = inputs.live.iter().chain(inputs.failed);
        let all_agree = counted.all(|member| self.counts_same_members(*member, inputs.digest));
        if all_agree && members > 1.0 {
            self.held = even;
            self.agreed_size = members as usize;
            return self.held;
        }
        if inputs.isolated {
            // Not held: once it meets others it begins as a new incarnation.
            return 1.0 / configured_size;
        }
        // Shares of proxies that do not know of each other would add up to more than one, so only a new incarnation
        // takes a share here.
        let target = if inputs.failed.is_empty() {
            even
        } else {
            even.min(self.left_by_failed(inputs, configured_size))
        };
        let is_new = self.held <= 0.0 && !inputs.live.is_empty();
        let mut live = inputs.live.iter();
        let may_begin =
            is_new && live.all(|member| self.counts_same_failed(*member, inputs.digest));
        self.held = if may_begin {
            target
        } else {
            self.held.min(target)
        };
        self.held
    }

    /// What the failed members, each of which holds a share of the smallest agreed set at most, leave to each that
    /// lives.
    fn left_by_failed(&self, inputs: &ShareInputs, configured_size: f64) -> f64 {
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
