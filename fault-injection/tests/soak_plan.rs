//! The plans of the soak: the same for the same seed, and among the seeds of a short soak all that it is for.

use crankmux_fault_injection::SoakPlan;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=60;

#[test]
fn the_same_seed_gives_the_same_plan_and_others_give_others() {
    for seed in SEEDS {
        assert_eq!(SoakPlan::of_seed(seed), SoakPlan::of_seed(seed));
        assert_ne!(SoakPlan::of_seed(seed), SoakPlan::of_seed(seed + 1));
    }
}

#[test]
fn some_runs_have_idle_clients_and_fewer_descriptors_and_some_a_cluster() {
    let plans: Vec<SoakPlan> = SEEDS.map(SoakPlan::of_seed).collect();
    let with_idle_clients: Vec<&SoakPlan> =
        plans.iter().filter(|plan| plan.idle_clients > 0).collect();
    assert!(
        with_idle_clients.len() > 12 && with_idle_clients.len() < 40,
        "{}",
        with_idle_clients.len()
    );
    assert!(with_idle_clients
        .iter()
        .any(|plan| plan.descriptors.system < plan.descriptors.configured));
    assert!(with_idle_clients
        .iter()
        .all(|plan| plan.descriptors.system <= plan.descriptors.configured));
    assert!(plans.iter().any(|plan| plan.cluster));
    assert!(plans.iter().any(|plan| plan.proxies > 2));
}
