//! The slow-start shares of all members never add up to more than 1, whatever fails.

use crate::random_faults::run_with_random_faults;
use crate::simulation::Simulation;
use crankmux_membership::{MemberState, Reachability};

#[test]
fn shares_stay_within_the_budget_while_a_three_way_partition_heals() {
    let mut net = Simulation::discovered(12, 5);
    net.is_partitioned = |a, b| a % 3 != b % 3;
    net.run_for(20_000.0);
    assert!(
        matches!(
            net.members[&0].reachability(),
            Reachability::Partial {
                reached: 4,
                members: 12,
                ..
            }
        ),
        "{:?}",
        net.members[&0].reachability()
    );
    assert!(
        net.shares(12.0)
            .iter()
            .all(|share| *share <= 1.0 / 12.0 + 1e-9),
        "no share may rise during a partition"
    );
    // The partition heals in two stages.
    net.is_partitioned = |a, b| a % 3 != b % 3 && (a % 3 == 0 || b % 3 == 0);
    net.run_for(5000.0);
    net.is_partitioned = |_, _| false;
    net.run_for(10_000.0);
    assert!(
        net.all_members_see(11),
        "every member must see all others after the partition"
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn shares_stay_within_the_budget_when_twenty_members_join_at_once() {
    let mut net = Simulation::discovered(10, 9);
    (10..30).for_each(|n| net.start_member(n, 1));
    net.run_for(15_000.0);
    assert!(net.all_members_see(29));
    net.assert_shares_within_budget("whole run");
    let sum: f64 = net.shares(10.0).iter().sum();
    assert!(
        sum > 0.9,
        "new members must receive their shares; the sum is {sum}"
    );
}

#[test]
fn a_member_that_leaves_is_not_marked_failed_and_its_share_is_redistributed() {
    let mut net = Simulation::start(9, 10);
    net.configured_size = 4.0;
    net.run_for(6000.0);
    let now = net.now_ms;
    net.members.get_mut(&3).unwrap().leave(now);
    net.collect_output(3);
    net.run_for(50.0);
    net.members.remove(&3);
    net.run_for(6000.0);
    assert!(
        net.members
            .keys()
            .all(|n| net.count_in_state(*n, MemberState::Left) == 1),
        "every member must list it as left"
    );
    let shares = net.shares(4.0);
    assert!(
        shares.iter().all(|share| (share - 1.0 / 8.0).abs() < 1e-9),
        "{shares:?}"
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn an_isolated_member_takes_one_share_of_the_configured_size() {
    let mut net = Simulation::start(0, 15);
    net.configured_size = 8.0;
    net.start_member(7, 1);
    net.run_for(500.0);
    assert_eq!(
        net.members.get_mut(&7).unwrap().slow_start_share(8.0),
        0.0,
        "no share before all seeds have been contacted"
    );
    net.run_for(10_000.0);
    assert_eq!(
        net.members.get_mut(&7).unwrap().slow_start_share(8.0),
        1.0 / 8.0
    );
    assert!(matches!(
        net.members[&7].reachability(),
        Reachability::Isolated { .. }
    ));
}

#[test]
fn a_new_member_gets_its_share_when_others_failed_before_it_joined() {
    let mut net = Simulation::discovered(9, 18);
    (4..6).for_each(|n| drop(net.members.remove(&n)));
    net.run_for(30_000.0);
    net.members.remove(&7);
    net.start_member(7, 2);
    net.start_member(20, 1);
    net.run_for(10_000.0);
    let shares = net.shares(9.0);
    // 1/9 stays reserved for each of the two failed members; the eight live ones divide the rest.
    assert!(
        shares.iter().all(|share| *share > 0.09 && *share < 0.1),
        "{shares:?}"
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn shares_stay_within_the_budget_under_random_faults() {
    for seed in 100..160 {
        let net = run_with_random_faults(seed);
        net.assert_shares_within_budget(&format!("seed {seed}"));
        let others = net.members.len() - 1;
        assert!(
            net.members.len() < 2 || net.all_members_see(others),
            "seed {seed}: membership views differ after recovery"
        );
    }
}
