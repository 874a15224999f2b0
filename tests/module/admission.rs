//! Tenant quotas.

use crate::support::{default_settings, proxy_settings, Harness, SUCCESS, TTL_MS};
use crankmux::settings::{Settings, TenantSettings};

/// Settings with one tenant, whose requests over its quota have no priority.
fn with_quota(settings: Settings, quota_per_s: f64) -> Settings {
    Settings {
        tenants: vec![TenantSettings { quota_per_s }],
        over_quota_weight: 0.0,
        ..settings
    }
}

#[test]
fn client_retries_do_not_count_towards_the_quota() {
    let settings = with_quota(default_settings(), 1.0);
    let in_flight = |client_retry: bool| {
        let mut harness = Harness::with_settings(settings.clone(), 1);
        for _ in 0..30 {
            harness.send_for_tenant(0, 0, client_retry);
        }
        harness.in_flight().len()
    };
    let retries = in_flight(true);
    let first = in_flight(false);
    assert!(
        retries > first,
        "{retries} client retries in flight, {first} other requests"
    );
}

#[test]
fn requests_within_a_fractional_quota_are_not_rejected() {
    let settings = with_quota(proxy_settings(0, 500), 100.0);
    // The proxy's share of the quota is 0.2 requests per second; this sends half of that.
    let mut harness = Harness::with_settings(settings, 4);
    for _ in 0..40 {
        let request = harness.send_for_tenant(0, 0, false);
        assert!(
            harness.checker.requests[request].attempts.len() == 1,
            "rejected without requests in flight"
        );
        harness.advance(10_000.0 - TTL_MS / 2.0);
        harness.end_attempts(|_| SUCCESS);
    }
}
