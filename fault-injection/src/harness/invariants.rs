//! Checks invariants across all proxies with the simulator's invariant checker.

use super::{Harness, EVENT_LOOP_SLACK_MS};
use crankmux_simulator::invariants::{InvariantChecker, Rule, Tolerances};
use crankmux_simulator::script::Script;

/// Creates a checker with an environment's tolerances, widened by the event loop's scheduling slack.
pub(super) fn checker(environment: &Script) -> InvariantChecker {
    let limits = &environment.limits;
    InvariantChecker::new(Tolerances {
        answer_slack_ms: limits.answer_slack_ms + EVENT_LOOP_SLACK_MS,
        drain_grace_ms: limits.drain_grace_ms + EVENT_LOOP_SLACK_MS,
        overload_multiple: limits.overload_multiple,
        overload_window_ms: limits.overload_window_ms,
    })
}

impl Harness {
    /// Returns descriptions of the violated invariants; empty if there are none.
    pub fn violations(&self) -> Vec<String> {
        let mut descriptions: Vec<String> = self
            .invariants
            .violations
            .iter()
            .map(|violation| {
                format!(
                    "{}: {}: {:?}",
                    violation.rule.name(),
                    violation.description,
                    violation.history
                )
            })
            .collect();
        let counts = self.invariants.counts();
        if counts[Rule::NoWorkForDepartedClients as usize] > 0 {
            descriptions.push(Rule::NoWorkForDepartedClients.name().to_string());
        }
        if counts.iter().sum::<u64>() > 0 {
            descriptions.push(format!("counts {counts:?}"));
        }
        descriptions
    }
}
