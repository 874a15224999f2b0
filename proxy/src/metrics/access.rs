//! What became of ops, as the node reports it. A receipt is made as an op is taken in and handed back,
//! once, as its answer is out or its client is gone: all counts of ops follow from receipts.

use std::fmt::Write;

/// What an op came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Succeeded,
    Declined,
    Aborted,
    /// Its client left before the answer was out.
    Departed,
}

/// One op taken in and not ended. It can't be copied, so that no op ends twice.
#[derive(Debug)]
#[must_use]
pub struct RequestReceipt {
    category: usize,
}

#[derive(Default, Clone, Copy)]
struct Ends {
    succeeded: u64,
    declined: u64,
    aborted: u64,
}

#[derive(Default)]
pub struct AccessMetrics {
    ends: Vec<Ends>,
    outstanding: u64,
    /// Pushes whose last byte has left.
    pub forwards: u64,
    pub applied: u64,
    pub rejected: u64,
}

impl AccessMetrics {
    pub fn begin(&mut self, category: usize) -> RequestReceipt {
        self.outstanding += 1;
        RequestReceipt { category }
    }

    pub fn end(&mut self, receipt: RequestReceipt, end: End) {
        self.outstanding -= 1;
        if self.ends.len() <= receipt.category {
            self.ends.resize(receipt.category + 1, Ends::default());
        }
        let ends = &mut self.ends[receipt.category];
        match end {
            End::Succeeded => ends.succeeded += 1,
            End::Declined => ends.declined += 1,
            End::Aborted => ends.aborted += 1,
            End::Departed => {}
        }
    }

    /// A figure a line, for each category that has ever been, from the first second on. Those whose last
    /// byte is still to come are not taken yet.
    pub fn lines(&self, categories: &[String], coming: usize) -> String {
        let mut text = String::new();
        for (index, name) in categories.iter().enumerate() {
            let Ends {
                succeeded,
                declined,
                aborted,
            } = self.ends.get(index).copied().unwrap_or_default();
            let _ = writeln!(text, "succeeded.{name}={succeeded}");
            let _ = writeln!(text, "declined.{name}={declined}");
            let _ = writeln!(text, "aborted.{name}={aborted}");
        }
        let taken = self.outstanding.saturating_sub(coming as u64);
        let _ = writeln!(text, "outstanding={taken}\nforwards={}", self.forwards);
        let _ = writeln!(
            text,
            "sighup_applied={}\nsighup_rejected={}",
            self.applied, self.rejected
        );
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    #[test]
    fn taken_is_the_sum_of_ends_and_outstanding() {
        fn holds(steps: Vec<(u8, u8)>) -> bool {
            let (mut tally, mut open, mut taken, mut departed) =
                (AccessMetrics::default(), Vec::new(), 0, 0);
            for (what, which) in steps {
                if what % 3 == 0 || open.is_empty() {
                    open.push(tally.begin(usize::from(which) % 4));
                    taken += 1;
                } else {
                    let receipt = open.swap_remove(usize::from(which) % open.len());
                    let end = [End::Succeeded, End::Declined, End::Aborted, End::Departed];
                    let end = end[usize::from(what) % 4];
                    departed += u64::from(end == End::Departed);
                    tally.end(receipt, end);
                }
            }
            let names: Vec<String> = (0..4).map(|n| format!("c{n}")).collect();
            let told = |line: &str| {
                line.split_once('=')
                    .and_then(|(n, v)| Some((n.contains('.'), v.parse().ok()?)))
            };
            let text = tally.lines(&names, 0);
            let ended: u64 = text
                .lines()
                .filter_map(told)
                .filter(|(of, _)| *of)
                .map(|(_, v): (bool, u64)| v)
                .sum();
            text.contains(&format!("outstanding={}\n", open.len()))
                && taken == ended + departed + open.len() as u64
        }
        let seeded = Gen::from_size_and_seed(200, 20_261_202);
        QuickCheck::new()
            .rng(seeded)
            .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
    }
}
