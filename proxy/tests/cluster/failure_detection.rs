//! Members that fail, pause, and are cut off one way: who is declared failed, and who is not.

use crate::common::{
    all_saw, assert_agree_within, assert_nobody_failed, assert_rules_kept, started_cluster, views,
    DISCOVERY_MS,
};
use crankmux_fault_injection::{Harness, PathFaults};

#[test]
fn a_third_killed_at_once_is_detected_by_all_and_a_member_that_leaves_is_not_failed() {
    let mut harness = started_cluster("third", 6);
    let killed_at_ms = harness.now();
    (4..6).for_each(|proxy| harness.kill(proxy));
    let live = [0, 1, 2, 3];
    let all_detected = |harness: &Harness| {
        (4..6).all(|killed| all_saw(harness, &live, killed, "failed", killed_at_ms))
    };
    let detected = harness.run_until(8000.0, |harness| all_detected(harness));
    assert!(detected, "{:?}", views(&harness));
    assert_nobody_failed(&harness, &live, killed_at_ms);
    let is_partial =
        |harness: &Harness, proxy: &usize| harness.view(*proxy).unwrap().reach == "part";
    assert!(harness.run_until(2000.0, |harness| live
        .iter()
        .all(|proxy| is_partial(harness, proxy))));
    let left_at_ms = harness.now();
    harness.terminate(3);
    assert!(harness.run_until(8000.0, |harness| all_saw(
        harness,
        &live[..3],
        3,
        "left",
        left_at_ms
    )));
    // They start again under their old names, and wait for nobody to notice that the old processes ended.
    for proxy in [3, 4, 5] {
        assert!(harness.run_until(5000.0, |harness| !harness.proxies[proxy].runs()));
    }
    for proxy in [3, 4, 5] {
        harness.start(proxy, true);
    }
    assert_agree_within(&mut harness, DISCOVERY_MS, &[0, 1, 2, 3, 4, 5]);
    assert_rules_kept(&mut harness);
}

#[test]
fn a_proxy_paused_for_ten_seconds_declares_nobody_failed_and_breaks_no_rule() {
    let mut harness = started_cluster("still", 5);
    let paused_at_ms = harness.now();
    harness.stop(2);
    let others = [0, 1, 3, 4];
    assert!(harness.run_until(8000.0, |harness| all_saw(
        harness,
        &others,
        2,
        "failed",
        paused_at_ms
    )));
    harness.drain(0);
    harness.advance((paused_at_ms + 10_000.0 - harness.now()).max(0.0));
    let resumed_at_ms = harness.now();
    harness.resume(2);
    assert_agree_within(&mut harness, 8000.0, &[0, 1, 2, 3, 4]);
    assert_nobody_failed(&harness, &others, resumed_at_ms);
    let false_failure = harness.views.iter().find(|view| {
        view.proxy == 2
            && view.at_ms > resumed_at_ms
            && view.states.values().any(|state| state == "failed")
    });
    assert!(false_failure.is_none(), "{false_failure:?}");
    assert_rules_kept(&mut harness);
}

#[test]
fn a_one_way_partition_packet_loss_and_delay_declare_nobody_failed() {
    let mut harness = started_cluster("oneway", 5);
    let started_at_ms = harness.now();
    let cut = PathFaults {
        cut: true,
        ..PathFaults::default()
    };
    harness.set_path_faults(&[1], &[0], cut);
    harness.advance(5000.0);
    assert_nobody_failed(&harness, &[0, 1, 2, 3, 4], started_at_ms);
    let all = [0, 1, 2, 3, 4];
    let lossy = PathFaults {
        loss: 0.2,
        delay_ms: 100.0,
        duplicated: 0.1,
        corrupted: 0.02,
        cut: false,
    };
    harness.partition(&[&all], lossy);
    harness.advance(12_000.0);
    assert_nobody_failed(&harness, &all, started_at_ms);
    harness.partition(&[&all], PathFaults::default());
    assert_agree_within(&mut harness, 8000.0, &all);
    assert_rules_kept(&mut harness);
}
