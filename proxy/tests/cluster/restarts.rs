//! Restarts of proxies, and proxies under one name.

use crate::common::{
    assert_agree_within, assert_nobody_failed, assert_rules_kept, attempts, cluster_harness,
    started_cluster, CLUSTER_KEY, DISCOVERY_MS,
};

#[test]
fn a_rolling_restart_of_all_loses_no_request_and_no_member() {
    let mut harness = started_cluster("rolling", 5);
    for proxy in 0..5 {
        harness.terminate(proxy);
        assert!(
            harness.run_until(8000.0, |harness| !harness.proxies[proxy].runs()),
            "it ends"
        );
        harness.start(proxy, true);
        assert_agree_within(&mut harness, DISCOVERY_MS, &[0, 1, 2, 3, 4]);
        harness.advance(300.0);
    }
    assert_nobody_failed(&harness, &[0, 1, 2, 3, 4], 0.0);
    assert_rules_kept(&mut harness);
}

#[test]
fn two_proxies_under_one_name_are_reported_and_both_serve_on() {
    let mut harness = cluster_harness("twins", 4, |_| ());
    harness.proxies[3].name = Some("node-2".into());
    harness.write_files_with_keys(3, &[CLUSTER_KEY]);
    harness.start_all();
    let all = [0, 1, 2, 3];
    assert_agree_within(&mut harness, DISCOVERY_MS, &all);
    let opened_at_ms = harness.now();
    harness.start_load();
    harness.advance(3000.0);
    let log = harness.proxies[0].log();
    assert!(log.contains("two proxies call themselves node-2"), "{log}");
    assert_nobody_failed(&harness, &all, opened_at_ms);
    assert!(attempts(&harness, 2, opened_at_ms) > 0);
    assert!(attempts(&harness, 3, opened_at_ms) > 0);
    assert_rules_kept(&mut harness);
}
