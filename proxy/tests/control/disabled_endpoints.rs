//! Endpoints that may be disabled: those that were ever listed, up to a bound.

use crankmux_proxy::admin::disabled_endpoints::DisabledEndpoints;

const MAX_LISTED: u64 = 8192;

#[test]
fn the_oldest_listed_endpoint_is_forgotten_first() {
    let mut endpoints = DisabledEndpoints::default();
    for stable_hash in 0..MAX_LISTED {
        endpoints.record_listed(stable_hash);
    }
    // One that is listed already keeps its place.
    endpoints.record_listed(0);
    assert!(endpoints.ever_listed().eq(0..MAX_LISTED));
    endpoints.record_listed(MAX_LISTED);
    assert!(endpoints.ever_listed().eq(1..=MAX_LISTED));
    // One that was forgotten counts as new.
    endpoints.record_listed(0);
    assert!(endpoints.ever_listed().eq((2..=MAX_LISTED).chain([0])));
}
