//! The rules that are checked over all proxies together, by the simulator's invariant checker.

use super::{Harness, LOOP_LATENESS_MS};
use crankmux_simulator::invariants::{InvariantChecker, Rule, Tolerances};
use crankmux_simulator::script::Script;

/// A checker with an environment's bounds, widened by what this loop may be late.
pub(super) fn checker(environment: &Script) -> InvariantChecker {
    let limits = &environment.limits;
    InvariantChecker::new(Tolerances {
        answer_slack_ms: limits.answer_slack_ms + LOOP_LATENESS_MS,
        drain_grace_ms: limits.drain_grace_ms + LOOP_LATENESS_MS,
        overload_multiple: limits.overload_multiple,
        overload_window_ms: limits.overload_window_ms,
    })
}

impl Harness {
    /// The broken rules, in words; empty if all were kept.
    pub fn broken(&self) -> Vec<String> {
        let mut broken: Vec<String> = self
            .invariants
            .violations
            .iter()
            .map(|case| {
                format!(
                    "{}: {}: {:?}",
                    case.rule.name(),
                    case.description,
                    case.history
                )
            })
            .collect();
        let counts = self.invariants.counts();
        if counts[Rule::NoWorkForDepartedClients as usize] > 0 {
            broken.push(Rule::NoWorkForDepartedClients.name().to_string());
        }
        if counts.iter().sum::<u64>() > 0 {
            broken.push(format!("counts {counts:?}"));
        }
        broken
    }
}
