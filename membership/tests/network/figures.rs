//! Long runs by hand: `cargo test --release -p crankmux-membership -- --ignored --nocapture`.

use crate::random_faults::run_with_random_faults;
use crate::simulation::Simulation;

/// Clusters of full size, by hand: `cargo test --release -p crankmux-membership -- --ignored --nocapture`.
#[test]
#[ignore = "minutes; for docs/membership.md"]
fn figures_at_size() {
    println!("| members | all discovered after | bytes a second a member | a tenth killed: median, 99th of 100 | false failures |");
    for count in [30, 100, 300, 1000] {
        let mut net = Simulation::start(count, 20);
        net.tracks_shares = false;
        let started_at_ms = net.now_ms;
        while !net.all_members_see(count - 1) && net.now_ms - started_at_ms < 120_000.0 {
            net.run_for(500.0);
        }
        let discovered_ms = net.now_ms - started_at_ms;
        net.run_for(20_000.0);
        let bytes = net.bytes;
        net.run_for(10_000.0);
        let rate = (net.bytes - bytes) as f64 / count as f64 / 10.0;
        let killed_at_ms = net.now_ms;
        (0..count / 10).for_each(|n| drop(net.members.remove(&(10 * n + 5))));
        net.events.clear();
        net.run_for(10_000.0);
        let failures = net.events.iter().filter(|reported| reported.is_failure());
        let mut detection_ms: Vec<f64> = failures
            .map(|reported| reported.at_ms - killed_at_ms)
            .collect();
        detection_ms.sort_by(f64::total_cmp);
        let median_ms = detection_ms[detection_ms.len() / 2];
        let percentile_99_ms = detection_ms[detection_ms.len() * 99 / 100];
        println!(
            "| {count} | {:.1} s | {rate:.0} | {:.2} s, {:.2} s | {} |",
            discovered_ms / 1000.0,
            median_ms / 1000.0,
            percentile_99_ms / 1000.0,
            net.false_failures()
        );
    }
}

/// By hand; over three minutes on eight cores: any run that breaks the sum is printed by its seed.
#[test]
#[ignore = "minutes; for docs/membership.md"]
fn ten_thousand_runs_with_faults() {
    let workers = std::thread::available_parallelism().map_or(4, |n| n.get()) as u64;
    let runs: Vec<_> = (0..workers)
        .map(|worker| {
            std::thread::spawn(move || {
                let mut bad = Vec::new();
                for seed in (10_000..20_000).filter(|seed| seed % workers == worker) {
                    let net = run_with_random_faults(seed);
                    let others = net.members.len().saturating_sub(1);
                    let healed = net.members.len() < 2 || net.all_members_see(others);
                    if net.greatest_share_sum > 1.0 + 1e-9 || !healed {
                        bad.push((seed, net.greatest_share_sum, healed));
                    }
                }
                bad
            })
        })
        .collect();
    let bad: Vec<_> = runs
        .into_iter()
        .flat_map(|run| run.join().unwrap())
        .collect();
    println!("10,000 runs, those that broke the sum or did not heal: {bad:?}");
    assert!(bad.is_empty());
}
