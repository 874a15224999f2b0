//! Slow-start shares add up to one at most, whatever fails.

use crate::random_faults::run_with_random_faults;
use crate::simulation::Simulation;
use crankmux_membership::{MemberState, Reachability};

#[test]
fn a_partition_in_three_heals_and_the_shares_stay_within_the_budget() {
    let mut net = Simulation::discovered(12, 5);
    net.is_cut = |a, b| a % 3 != b % 3;
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
        "no share rises"
    );
    // It heals in another order.
    net.is_cut = |a, b| a % 3 != b % 3 && (a % 3 == 0 || b % 3 == 0);
    net.run_for(5000.0);
    net.is_cut = |_, _| false;
    net.run_for(10_000.0);
    assert!(net.all_members_see(11), "all see all others again");
    net.assert_share_sum("whole run");
}

#[test]
fn twenty_members_join_together_and_the_sum_of_shares_stays() {
    let mut net = Simulation::discovered(10, 9);
    (10..30).for_each(|n| net.start_member(n, 1));
    net.run_for(15_000.0);
    assert!(net.all_members_see(29));
    net.assert_share_sum("whole run");
    let sum: f64 = net.shares(10.0).iter().sum();
    assert!(sum > 0.9, "{sum}: all have their share in the end");
}

#[test]
fn a_member_that_leaves_is_not_failed_and_its_share_goes_to_the_others() {
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
        "all know that it left"
    );
    let shares = net.shares(4.0);
    assert!(
        shares.iter().all(|share| (share - 1.0 / 8.0).abs() < 1e-9),
        "{shares:?}"
    );
    net.assert_share_sum("whole run");
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
        "not before all seeds were asked"
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
fn a_new_member_gets_its_share_though_others_failed_before_it_joined() {
    let mut net = Simulation::discovered(9, 18);
    (4..6).for_each(|n| drop(net.members.remove(&n)));
    net.run_for(30_000.0);
    net.members.remove(&7);
    net.start_member(7, 2);
    net.start_member(20, 1);
    net.run_for(10_000.0);
    let shares = net.shares(9.0);
    // Two that failed may hold a ninth each; eight that live share the rest.
    assert!(
        shares.iter().all(|share| *share > 0.09 && *share < 0.1),
        "{shares:?}"
    );
    net.assert_share_sum("whole run");
}

#[test]
fn under_random_faults_the_shares_of_all_members_add_up_to_one_at_most() {
    for seed in 100..160 {
        let net = run_with_random_faults(seed);
        net.assert_share_sum(&format!("seed {seed}"));
        let others = net.members.len() - 1;
        assert!(
            net.members.len() < 2 || net.all_members_see(others),
            "seed {seed}: views differ after all has healed"
        );
    }
}
