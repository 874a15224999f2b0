//! Soak plans are deterministic, and the plans of a range of seeds cover all kinds of runs.

use crankmux_fault_injection::SoakPlan;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=60;

#[test]
fn equal_seeds_give_equal_plans_and_different_seeds_different_plans() {
    for seed in SEEDS {
        assert_eq!(SoakPlan::of_seed(seed), SoakPlan::of_seed(seed));
        assert_ne!(SoakPlan::of_seed(seed), SoakPlan::of_seed(seed + 1));
    }
}

#[test]
fn plans_cover_idle_clients_descriptor_limits_clusters_and_three_proxies() {
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
