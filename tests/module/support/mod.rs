//! Shared test helpers.

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

/// An entry of the endpoint list. Pods have three consecutive endpoints; zones (two) and machine classes (three)
/// alternate.
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

/// Entries for endpoints that have been ready for a long time.
pub(crate) fn ready_endpoints(count: usize) -> Vec<EndpointUpdate> {
    (0..count)
        .map(|endpoint| endpoint_update(endpoint, EndpointState::Ready, 0.0))
        .collect()
}

/// A QuickCheck with a fixed seed, so that each run tests the same cases.
pub(crate) fn quickcheck_with(cases: u64) -> QuickCheck {
    let generator = Gen::from_size_and_seed(200, 20_261_201);
    QuickCheck::new().tests(cases).rng(generator)
}

/// The largest number of the given times within any one second; `None` if there are no times.
pub(crate) fn max_within_one_second(times_ms: &[f64]) -> Option<usize> {
    let within = |from: f64| {
        times_ms
            .iter()
            .filter(|at_ms| (from..from + 1000.0).contains(*at_ms))
            .count()
    };
    times_ms.iter().map(|at_ms| within(*at_ms)).max()
}
