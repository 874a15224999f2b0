//! Slow-start shares: no endpoint in slow start gets more than its budget.

use crate::common::{
    all_saw, assert_agree_within, assert_rules_kept, cluster_harness, environment, harness_in,
    started_cluster, views, DISCOVERY_MS,
};
use crankmux_fault_injection::Harness;
use std::collections::BTreeMap;

#[test]
fn most_proxies_gone_and_back_at_once_keep_the_slow_start_budget() {
    let mut harness = started_cluster("back", 9);
    let killed_at_ms = harness.now();
    (1..9).for_each(|proxy| harness.kill(proxy));
    assert!(harness.run_until(10_000.0, |harness| {
        (1..9).all(|killed| all_saw(harness, &[0], killed, "failed", killed_at_ms))
    }));
    harness.advance(2000.0);
    (1..9).for_each(|proxy| harness.start(proxy, false));
    // Endpoints restart just as the proxies are back: those must agree before they send there.
    (0..3).for_each(|endpoint| harness.restart_endpoint(endpoint));
    let all: Vec<usize> = (0..9).collect();
    assert_agree_within(&mut harness, DISCOVERY_MS, &all);
    (3..6).for_each(|endpoint| harness.restart_endpoint(endpoint));
    harness.advance(3000.0);
    let shares: f64 = all
        .iter()
        .map(|proxy| harness.view(*proxy).unwrap().slow_start_share)
        .sum();
    assert!(
        shares <= 9.0 + 1e-6 && shares > 0.0,
        "shares of a configured proxy's budget: {shares}"
    );
    assert_rules_kept(&mut harness);
}

#[test]
fn a_cluster_larger_than_configured_counts_itself_and_divides_the_slow_start_budget() {
    let mut harness = cluster_harness("doubled", 8, |start| start.configured_proxies = Some(4));
    (0..4).for_each(|proxy| harness.start(proxy, false));
    let first = [0, 1, 2, 3];
    assert_agree_within(&mut harness, DISCOVERY_MS, &first);
    harness.start_load();
    let share = |harness: &Harness, proxy: &usize| harness.view(*proxy).unwrap().slow_start_share;
    assert!(harness.run_until(5000.0, |harness| {
        first.iter().all(|proxy| share(harness, proxy) == 1.0)
    }));
    (4..8).for_each(|proxy| harness.start(proxy, false));
    (0..3).for_each(|endpoint| harness.restart_endpoint(endpoint));
    let all: Vec<usize> = (0..8).collect();
    assert_agree_within(&mut harness, DISCOVERY_MS, &all);
    let shares_evenly = |harness: &Harness| {
        all.iter().all(|proxy| {
            let view = harness.view(*proxy).unwrap();
            view.assumed_proxies >= 7.99 && (view.slow_start_share - 0.5).abs() < 1e-6
        })
    };
    let even = harness.run_until(10_000.0, |harness| shares_evenly(harness));
    assert!(even, "{:?}", views(&harness));
    // Whatever shares were held while views differed: never more than the budget, at any moment that was seen.
    let mut last = BTreeMap::new();
    for view in &harness.views {
        last.insert(view.proxy, view.slow_start_share);
        assert!(
            last.values().sum::<f64>() <= 4.0 + 1e-6,
            "{view:?}: {last:?}"
        );
    }
    assert_rules_kept(&mut harness);
}

#[test]
fn twenty_proxies_without_membership_keep_the_slow_start_budget() {
    let mut script = environment(20);
    script.limits.slow_start_s = 8.0;
    script.machine_types[0].count = 6;
    let budget_multiple = script.limits.overload_multiple * script.limits.cold_capacity_fraction;
    let window_ms = script.limits.overload_window_ms;
    let mut harness = harness_in(script, "cold", |start| start.cluster = false);
    // Ten requests a second at each proxy, thirty-three at each endpoint.
    harness.rate = 10.0;
    harness.start_all();
    harness.advance(500.0);
    harness.start_load();
    harness.advance(8000.0);
    for endpoints in [[0, 1], [2, 3]] {
        let restarted_at_ms = harness.now();
        let calls_per_ms = endpoints.map(|endpoint| {
            harness.attempts_from_all(endpoint, restarted_at_ms - 4000.0) as f64 / 4000.0
        });
        for endpoint in endpoints {
            harness.restart_endpoint(endpoint);
        }
        harness.advance(4000.0);
        for (endpoint, calls_per_ms) in endpoints.into_iter().zip(calls_per_ms) {
            let budget = budget_multiple * calls_per_ms * window_ms;
            let most = harness.most_attempts_from_all(endpoint, restarted_at_ms, window_ms) as f64;
            println!("endpoint {endpoint}: {most} calls in {window_ms} ms, budget {budget:.1}");
            assert!(
                most <= budget + 2.0 * budget.sqrt() + 2.0,
                "endpoint {endpoint}: {most} calls, budget {budget:.1}"
            );
        }
    }
    assert_rules_kept(&mut harness);
}
