//! The subset of endpoints that each proxy uses.

use crate::support::{proxy_settings, ready_endpoints, Harness, SUCCESS};
use crankmux::types::{AttemptOutcome, EndpointUpdate};
use std::collections::BTreeSet;

/// The endpoints that each proxy uses, observed from its attempts.
fn subsets(proxies: usize, updates: &[EndpointUpdate]) -> Vec<BTreeSet<usize>> {
    let subset = |number| {
        let mut harness = Harness::with_settings(proxy_settings(number, proxies), 0);
        harness.update_endpoints(updates, true, false);
        harness.run(150, 5.0, |_| SUCCESS).into_keys().collect()
    };
    (0..proxies).map(subset).collect()
}

#[test]
fn all_proxies_together_cover_every_endpoint_evenly() {
    let updates = ready_endpoints(50);
    let before = subsets(100, &updates);
    let proxies_of = |endpoint: usize| {
        before
            .iter()
            .filter(|subset| subset.contains(&endpoint))
            .count()
    };
    let counts: Vec<usize> = (0..50).map(proxies_of).collect();
    assert!(
        counts.iter().all(|count| (4..=12).contains(count)),
        "{counts:?}"
    );
    let after = subsets(100, &updates[1..]);
    let both = before.iter().zip(&after);
    let kept: usize = both
        .map(|(before, after)| before.intersection(after).count())
        .sum();
    let all: usize = before.iter().map(BTreeSet::len).sum();
    assert!(
        kept * 10 >= all * 7,
        "{kept} of {all} endpoints kept after the removal of one"
    );
}

#[test]
fn a_failing_subset_is_extended() {
    let mut harness = Harness::with_settings(proxy_settings(3, 100), 50);
    let initial: BTreeSet<usize> = harness.run(150, 5.0, |_| SUCCESS).into_keys().collect();
    let outcome = |endpoint| {
        Some(if initial.contains(&endpoint) {
            AttemptOutcome::Unreachable
        } else {
            AttemptOutcome::Succeeded
        })
    };
    harness.run(400, 20.0, outcome);
    let counts = harness.run(200, 20.0, outcome);
    let others = counts
        .iter()
        .filter(|(endpoint, _)| !initial.contains(endpoint));
    let others: usize = others.map(|(_, count)| count).sum();
    assert!(
        others >= 150,
        "{others} attempts outside the initial subset {initial:?}: {counts:?}"
    );
}
