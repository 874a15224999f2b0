//! The rules that are checked over all proxies together, by the simulator's invariant checker.

use super::{Harness, LOOP_LATENESS_MS};
use crankmux_simulator::invariants::{InvariantChecker, Repeats, Rule};
use crankmux_simulator::script::{Category, Group, Idempotency, Script};

/// A checker with an environment's bounds, widened by what this loop may be late.
pub(super) fn checker(environment: &Script) -> InvariantChecker {
    let obligations = &environment.duties;
    InvariantChecker::new(
        obligations.answer_slack_ms + LOOP_LATENESS_MS,
        obligations.drain_grace_ms + LOOP_LATENESS_MS,
        obligations.fall_multiple,
        obligations.fall_ms,
    )
}

/// Whether and where a request of a class may run again.
pub(super) fn repeats(class: &Category) -> Repeats {
    match class.effect {
        Idempotency::Idempotent => Repeats::Freely,
        Idempotency::IdempotentWithKey => Repeats::Deduplicated {
            fleet: class.group == Group::Fleet,
        },
        Idempotency::NotIdempotent => Repeats::Never,
    }
}

impl Harness {
    /// The broken rules, in words; empty if all were kept.
    pub fn broken(&self) -> Vec<String> {
        let mut broken: Vec<String> = self
            .invariants
            .broken
            .iter()
            .map(|case| format!("{}: {}: {:?}", case.rule.name(), case.what, case.life))
            .collect();
        let counts = self.invariants.counts();
        if counts[Rule::Left as usize] > 0 {
            broken.push(Rule::Left.name().to_string());
        }
        if counts.iter().sum::<u64>() > 0 {
            broken.push(format!("counts {counts:?}"));
        }
        broken
    }
}
