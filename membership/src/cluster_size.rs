//! How many nodes share the servers, and which part of a cold server's budget is this node's. Others' words
//! make a node stricter at once; it becomes freer only when those gone can no longer push.

use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How long servers must tell that nobody else pushes before a node believes it: longer than any load report
/// is late, and than an op lives at most deployments.
const SURE_AFTER: f64 = 10_000.0;
/// Of what is over the nodes that live, the share by which the count falls in a second: by half in three.
const FALLS: f64 = 0.2;
/// What a node knows of the others at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Others {
    /// Alive or suspected, this node among them.
    pub live: usize,
    /// Declared failed, and not known to have left: they may be cut off from here, and pushing.
    pub failed: usize,
    /// How many nodes like this one would hold what the servers hold, where reports tell it.
    pub told_by_servers: Option<f64>,
}

/// The number of nodes that the module is to assume, for limits.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSizeEstimate {
    /// As the operators' settings have it.
    told: f64,
    assumed: f64,
    /// Since when servers tell of hardly more than those that live.
    alone_since: Option<f64>,
    at: f64,
}

impl ClusterSizeEstimate {
    pub fn new(told: f64, now: f64) -> Self {
        let told = told.max(1.0);
        ClusterSizeEstimate {
            told,
            assumed: told,
            alone_since: None,
            at: now,
        }
    }

    /// New settings tell another number.
    pub fn renew(&mut self, told: f64) {
        let told = told.max(1.0);
        (self.assumed, self.told) = (self.assumed.max(told), told);
    }

    /// Takes in what is known now, and returns the number to be assumed.
    pub fn heard(&mut self, now: f64, others: Others) -> f64 {
        let live = others.live.max(1) as f64;
        let may_push = self.told.max(live + others.failed as f64);
        let lasted = ((now - self.at) / 1000.0).max(0.0);
        self.at = now;
        let Some(told) = others.told_by_servers else {
            // Nothing is told: what was believed stays, joins count.
            self.alone_since = None;
            self.assumed = self.assumed.max(live);
            return self.assumed;
        };
        // Danger: a cut that may be ours. Those beyond it push to the same servers: the count stays as long as
        // servers hold what is nearer to theirs, in proportion, than to the living's, and it is never under what
        // they tell of. What they tell is a sample, and strays by a third.
        let least = live.max(told.min(may_push));
        if told * told >= live * may_push && may_push > live {
            self.alone_since = None;
            self.assumed = self.assumed.max(least);
            return self.assumed;
        }
        let since = *self.alone_since.get_or_insert(now);
        self.assumed = match now - since >= SURE_AFTER {
            true => least + (self.assumed - least).max(0.0) * (1.0 - FALLS).powf(lasted),
            false => self.assumed.max(least),
        };
        self.assumed
    }

    /// What the count is for a node that knows nobody.
    pub fn told(&self) -> f64 {
        self.told
    }
}

/// What a node says that it counts. Equal numbers are equal sets of equal lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct MemberSetDigest {
    /// All that have not left, itself among them.
    pub set: u64,
    /// The same with those marked that it holds for failed.
    pub split: u64,
    /// How many they were when all of such a set last counted it; 0 for never.
    pub full: usize,
}

/// This node's part of what all nodes together may send a cold server. The parts of all nodes that know of
/// each other add up to one at most at every moment, also while views differ:
///
/// - A part is lowered at once, and a node says what it counts only once its part fits that.
/// - It rises only when all of the set that this node counts, failed ones too, have said that they count
///   exactly it. So whoever is cut off holds at most what it held at the last such moment, and that is known.
/// - A new life, which would wait for good where one is gone for good, also takes a part once all that live
///   have said that they count the same set with the same failed: what those failed leave, evenly.
///
/// One that reaches nobody at all takes one part of the told number, as a node does that shares nothing.
#[derive(Clone, Debug, Default)]
pub struct SlowStartShares {
    held: f64,
    full: usize,
    said: BTreeMap<u64, MemberSetDigest>,
}

/// A set of nodes, as one number: the same at all nodes that count the same lives.
pub fn set_of(nodes: impl IntoIterator<Item = (u64, u64)>) -> u64 {
    // The keys are any: what is compared comes sealed. They are the same at every node.
    let mixed = |life: (u64, u64)| {
        let mut hash = SipHasher13::new_with_keys(1, 2);
        life.hash(&mut hash);
        hash.finish()
    };
    nodes.into_iter().map(mixed).fold(0, u64::wrapping_add)
}

impl SlowStartShares {
    /// Another node has said what it counts.
    pub fn said(&mut self, node: u64, counted: MemberSetDigest) {
        self.said.insert(node, counted);
    }

    /// One has left: what it said says nothing any more.
    pub fn left(&mut self, node: u64) {
        self.said.remove(&node);
    }

    /// How many they were when all of this node's set last counted it.
    pub fn full(&self) -> usize {
        self.full
    }

    /// The part of a node that counts the living and the failed, by number, and itself. `alone` where it has
    /// asked all that it could and nobody answered.
    pub fn part(
        &mut self,
        told: f64,
        own: MemberSetDigest,
        live: &[u64],
        failed: &[u64],
        alone: bool,
    ) -> f64 {
        let told = told.max(1.0);
        let all = (live.len() + failed.len() + 1) as f64;
        let even = 1.0 / told.max(all);
        // What one that failed holds at most, and what those leave to each that lives.
        let fulls = live
            .iter()
            .filter_map(|node| self.said.get(node))
            .map(|said| said.full)
            .chain([self.full]);
        let least = fulls.filter(|full| *full > 0).min().unwrap_or(0) as f64;
        let lost = failed.len() as f64 / told.max(least);
        let left = ((1.0 - lost) / (live.len() + 1) as f64).max(0.0);
        let says = |node: &u64, same: fn(&MemberSetDigest) -> u64| {
            self.said.get(node).map(same) == Some(same(&own))
        };
        if live.iter().chain(failed).all(|node| says(node, |c| c.set)) && all > 1.0 {
            (self.held, self.full) = (even, all as usize);
        } else if alone {
            // Not held: once it meets others it begins as a new life.
            return 1.0 / told;
        } else {
            // Danger: parts of nodes that do not know of each other add up to more than one.
            let target = if failed.is_empty() {
                even
            } else {
                even.min(left)
            };
            let new = self.held <= 0.0 && !live.is_empty();
            let may = new && live.iter().all(|node| says(node, |c| c.split));
            self.held = if may { target } else { self.held.min(target) };
        }
        self.held
    }
}

/// What servers tell that they hold, beside what this node has under way there: how many nodes like this one
/// there would be. Both are of the moment of an answer: servers are answered from, as sent to, while they hold
/// less than in the mean. (Own pushes looked at by the clock beside that made twelve nodes look like four.) Few
/// nodes, that avoid where they have pushes out, look like up to twice as many. Sums fade over seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadBasedEstimate {
    all: f64,
    own: f64,
    reports: f64,
    /// Whether servers count an op that they have just answered: between 0 and 1.
    itself: f64,
    at: f64,
}

/// Over which reports are smoothed: shorter than [`SURE_AFTER`].
const FADES: f64 = 5000.0;
/// Fewer reports than these say nothing.
const REPORTS: f64 = 40.0;

impl LoadBasedEstimate {
    /// A server holds so many, with an answer, while this node has so many others there.
    pub fn heard(&mut self, now: f64, held: f64, own: f64) {
        let stays = (-(now - self.at).max(0.0) / FADES).exp();
        self.all = self.all * stays + held;
        self.own = self.own * stays + own;
        self.reports = self.reports * stays + 1.0;
        self.at = now;
    }

    /// While the whole fleet of so many is known to live: what of the reports is their own op is learnt.
    pub fn whole(&mut self, live: usize) {
        if self.reports >= REPORTS {
            let over = (self.all - live as f64 * self.own) / self.reports;
            self.itself += 0.05 * (over.clamp(0.0, 1.0) - self.itself);
        }
    }

    /// How many nodes like this one servers tell of; none where they tell too little.
    pub fn nodes(&self, now: f64) -> Option<f64> {
        let reports = self.reports * (-(now - self.at).max(0.0) / FADES).exp();
        let all = (self.all - self.itself * self.reports).max(0.0);
        // Danger: where this node has next to nothing under way, a few reports would say anything.
        (reports >= REPORTS && self.own >= 0.1 * self.reports).then(|| all / self.own)
    }
}
