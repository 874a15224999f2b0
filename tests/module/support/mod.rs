//! Helpers that the tests share.

mod harness;
mod rule_checker;
mod settings;

pub(crate) use harness::Harness;
pub(crate) use rule_checker::{Answer, RuleChecker, TrackedRequest};
pub(crate) use settings::{
    default_settings, placed_settings, probing_settings, proxy_settings, wire_settings,
    wire_settings_without, MAX_ATTEMPTS,
};

use crankmux::types::{AttemptOutcome, EndpointId, EndpointState, EndpointUpdate};
use quickcheck::{Gen, QuickCheck};

pub(crate) const SUCCESS: Option<AttemptOutcome> = Some(AttemptOutcome::Succeeded);
pub(crate) const TTL_MS: f64 = 1000.0;

/// A line of the endpoint list. Endpoints stand in pods of three, in two zones by turns, and on three machine
/// classes by turns.
pub(crate) fn endpoint_update(
    endpoint: usize,
    state: EndpointState,
    started_at_ms: f64,
) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId::new(endpoint),
        stable_hash: endpoint as u64,
        state,
        zone: endpoint % 2,
        machine_class: endpoint % 3,
        pod: endpoint / 3,
        started_at_ms,
    }
}

/// The lines of so many endpoints that have been ready for long.
pub(crate) fn ready_endpoints(count: usize) -> Vec<EndpointUpdate> {
    (0..count)
        .map(|endpoint| endpoint_update(endpoint, EndpointState::Ready, 0.0))
        .collect()
}

/// So many generated cases, the same at each run.
pub(crate) fn quickcheck_with(cases: u64) -> QuickCheck {
    let generator = Gen::from_size_and_seed(200, 20_261_201);
    QuickCheck::new().tests(cases).rng(generator)
}

/// The most times that lie within a second of each other; none where there are none.
pub(crate) fn most_within_a_second(times_ms: &[f64]) -> Option<usize> {
    let within = |from: f64| {
        times_ms
            .iter()
            .filter(|at_ms| (from..from + 1000.0).contains(*at_ms))
            .count()
    };
    times_ms.iter().map(|at_ms| within(*at_ms)).max()
}
