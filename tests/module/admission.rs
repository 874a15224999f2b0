//! The quotas of tenants.

use crate::support::{default_settings, proxy_settings, Harness, SUCCESS, TTL_MS};
use crankmux::settings::{Settings, TenantSettings};

/// Settings with one tenant, of which nothing is let in over its quota under load.
fn with_quota(settings: Settings, quota_per_s: f64) -> Settings {
    Settings {
        tenants: vec![TenantSettings { quota_per_s }],
        over_quota_weight: 0.0,
        ..settings
    }
}

#[test]
fn a_clients_retries_do_not_use_up_its_quota() {
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
    assert!(retries > first, "{retries} and {first}");
}

#[test]
fn a_small_part_of_a_quota_is_still_served() {
    let settings = with_quota(proxy_settings(0, 500), 100.0);
    // Half of the proxy's part of a hundred a second: all within the quota, none to be rejected first.
    let mut harness = Harness::with_settings(settings, 4);
    for _ in 0..40 {
        let request = harness.send_for_tenant(0, 0, false);
        assert!(
            harness.checker.requests[request].attempts.len() == 1,
            "rejected with nothing in flight"
        );
        harness.advance(10_000.0 - TTL_MS / 2.0);
        harness.end_attempts(|_| SUCCESS);
    }
}
