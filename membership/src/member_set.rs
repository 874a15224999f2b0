//! What a node counts of the others, and its part of cold servers' budgets that follows.

use crate::cluster_size::{set_of, MemberSetDigest, SlowStartShares};
use crate::membership::{Member, MemberState};

/// A life, as a number: what stands for its address, and its birth.
type Life = (u64, u64);

pub struct MemberSet {
    purse: SlowStartShares,
    /// As the settings have it, when this node's part was last asked for.
    told: f64,
    /// The others that live and those that failed, by number.
    live: Vec<u64>,
    failed: Vec<u64>,
    own: MemberSetDigest,
    /// What was said last.
    said: MemberSetDigest,
    /// Who may push has changed since it was counted.
    pub changed: bool,
}

impl MemberSet {
    pub fn new() -> Self {
        MemberSet {
            purse: SlowStartShares::default(),
            told: f64::INFINITY,
            live: Vec::new(),
            failed: Vec::new(),
            own: MemberSetDigest::default(),
            said: MemberSetDigest::default(),
            changed: true,
        }
    }

    /// A new life has agreed with nobody yet.
    pub fn begin_anew(&mut self) {
        (self.purse, self.changed) = (SlowStartShares::default(), true);
    }

    pub fn heard(&mut self, node: u64, counts: MemberSetDigest) {
        self.purse.said(node, counts);
    }

    pub fn left(&mut self, node: u64) {
        self.purse.left(node);
        self.changed = true;
    }

    /// How many of the others live.
    pub fn living(&self) -> usize {
        self.live.len()
    }

    /// Takes in who may push now, where that has changed.
    fn recount<'a>(&mut self, me: Life, known: impl Iterator<Item = &'a Member>) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let (failed, live): (Vec<_>, Vec<_>) = known
            .filter(|k| k.state != MemberState::Left)
            .partition(|k| k.state == MemberState::Failed);
        // Another birth marks one that failed: no life's own has its highest bit set.
        let marked = |(node, born): Life| (node, born | 1 << 63);
        let lives: Vec<Life> = live.iter().map(|k| k.life()).chain([me]).collect();
        let lost: Vec<Life> = failed.iter().map(|k| k.life()).collect();
        self.own.set = set_of(lives.iter().chain(&lost).copied());
        self.own.split = set_of(
            lives
                .iter()
                .copied()
                .chain(lost.iter().copied().map(marked)),
        );
        self.live = live.iter().map(|k| k.life().0).collect();
        self.failed = lost.iter().map(|(node, _)| *node).collect();
    }

    /// The part of this node, where so many are told by the settings, or as many as last. `unanswered`: it has
    /// asked all that it could.
    pub fn part<'a>(
        &mut self,
        told: Option<f64>,
        me: Life,
        known: impl Iterator<Item = &'a Member>,
        unanswered: bool,
    ) -> f64 {
        self.told = told.unwrap_or(self.told);
        self.recount(me, known);
        let alone = self.live.is_empty() && self.failed.is_empty() && unanswered;
        let part = self
            .purse
            .part(self.told, self.own, &self.live, &self.failed, alone);
        self.own.full = self.purse.full();
        part
    }

    /// What is to be said of the set that this node counts, once it has changed. Danger: said before the part
    /// was lowered, another would take what this one still spends; whoever calls takes the part first.
    pub fn take_said(&mut self) -> Option<MemberSetDigest> {
        (self.own != self.said).then(|| {
            self.said = self.own;
            self.own
        })
    }
}
