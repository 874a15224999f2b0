//! Failure detection, and conditions that must not be mistaken for a failure.

use crate::simulation::Simulation;
use crankmux_membership::{MemberState, MembershipEvent, Reachability};

#[test]
fn members_that_start_together_discover_each_other_and_get_equal_shares() {
    let mut net = Simulation::start(24, 1);
    net.run_for(5000.0);
    assert!(net.all_members_see(23), "each of the 24 sees the 23 others");
    assert!(net
        .members
        .values()
        .all(|member| member.reachability() == Reachability::Full));
    let shares = net.shares(24.0);
    assert!(
        shares.iter().all(|share| (share * 24.0 - 1.0).abs() < 1e-9),
        "shares must be equal: {shares:?}"
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn the_failure_of_a_third_of_the_members_is_detected_within_seconds() {
    let mut detection_ms = Vec::new();
    for seed in 0..8 {
        let mut net = Simulation::start(24, seed);
        net.run_for(6000.0);
        let killed_at_ms = net.now_ms;
        (0..8).for_each(|n| drop(net.members.remove(&(3 * n))));
        net.events.clear();
        net.run_for(8000.0);
        let is_failure_in_zone_a = |event: &MembershipEvent| matches!(event, MembershipEvent::Failed(id) if id.zone == "a");
        let failures = net
            .events
            .iter()
            .filter(|reported| is_failure_in_zone_a(&reported.event));
        detection_ms.extend(failures.map(|reported| reported.at_ms - killed_at_ms));
        assert_eq!(net.false_failures(), 0);
        assert!(
            net.members
                .keys()
                .all(|n| net.count_in_state(*n, MemberState::Failed) == 8),
            "seed {seed}"
        );
    }
    detection_ms.sort_by(f64::total_cmp);
    let median_ms = detection_ms[detection_ms.len() / 2];
    let p99_ms = detection_ms[detection_ms.len() * 99 / 100];
    assert!(
        p99_ms < 5000.0,
        "{p99_ms} ms at the 99th percentile of {}",
        detection_ms.len()
    );
    println!("detection: median {median_ms} ms, 99th percentile {p99_ms} ms");
}

#[test]
fn ten_percent_packet_loss_causes_no_false_failures() {
    let mut net = Simulation::start(24, 3);
    net.run_for(5000.0);
    net.loss_probability = 0.1;
    net.run_for(600_000.0);
    assert_eq!(
        net.false_failures(),
        0,
        "{:?}",
        net.events
            .iter()
            .filter(|reported| reported.is_failure())
            .take(3)
            .collect::<Vec<_>>()
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn a_paused_member_declares_nobody_failed_and_rejoins() {
    let mut net = Simulation::discovered(9, 4);
    net.paused_until_ms.insert(4, net.now_ms + 10_000.0);
    net.run_for(9990.0);
    assert!(
        net.count_in_state(0, MemberState::Failed) == 1,
        "member 0 must declare the paused member failed"
    );
    net.run_for(5000.0);
    let mut own_events = net.events.iter().filter(|reported| reported.member == 4);
    let failures = own_events.clone().filter(|reported| reported.is_failure());
    assert_eq!(
        failures.count(),
        0,
        "the paused member must declare nobody failed"
    );
    let is_pause = |event: &MembershipEvent| matches!(event, MembershipEvent::Paused(_));
    assert!(own_events.any(|reported| is_pause(&reported.event)));
    assert!(
        net.all_members_see(8),
        "every member must see all others after the pause"
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn a_one_way_partition_and_delayed_datagrams_do_not_split_the_cluster() {
    let mut net = Simulation::discovered(9, 6);
    net.is_partitioned = |a, b| a == 1 && b == 2;
    net.run_for(30_000.0);
    assert_eq!(
        net.false_failures(),
        0,
        "indirect probes must get around the one-way partition"
    );
    net.is_partitioned = |_, _| false;
    net.delay_ms = 100.0;
    net.loss_probability = 0.2;
    net.run_for(60_000.0);
    net.loss_probability = 0.0;
    net.delay_ms = 2.0;
    net.run_for(8000.0);
    assert!(net.all_members_see(8));
    net.assert_shares_within_budget("whole run");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut net = Simulation::start(9, 16);
        net.loss_probability = 0.2;
        net.run_for(20_000.0);
        (net.bytes_sent, net.events.len())
    };
    assert_eq!(run(), run());
}

#[test]
fn traffic_per_member_does_not_grow_with_the_cluster_size() {
    let bytes_per_member_second = |count: usize| {
        let mut net = Simulation::start(count, 17);
        net.run_for(30_000.0);
        let bytes_before = net.bytes_sent;
        net.run_for(10_000.0);
        (net.bytes_sent - bytes_before) as f64 / count as f64 / 10.0
    };
    let small_cluster = bytes_per_member_second(10);
    let large_cluster = bytes_per_member_second(80);
    println!("{small_cluster:.0} and {large_cluster:.0} bytes/s per member");
    assert!(
        large_cluster < 1.5 * small_cluster,
        "{small_cluster:.0} and {large_cluster:.0} bytes/s per member"
    );
}
