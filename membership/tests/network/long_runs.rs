//! Long runs, ignored by default: `cargo test --release -p crankmux-membership -- --ignored --nocapture`.

use crate::random_faults::run_with_random_faults;
use crate::simulation::Simulation;

/// Prints discovery time, traffic and detection time by cluster size.
#[test]
#[ignore = "takes minutes; produces the figures of docs/membership.md"]
fn measure_by_cluster_size() {
    println!("| members | discovery time | bytes/s per member | detection after 10% killed: p50, p99 | false failures |");
    for count in [30, 100, 300, 1000] {
        let mut net = Simulation::start(count, 20);
        net.tracks_shares = false;
        let started_at_ms = net.now_ms;
        while !net.all_members_see(count - 1) && net.now_ms - started_at_ms < 120_000.0 {
            net.run_for(500.0);
        }
        let discovered_ms = net.now_ms - started_at_ms;
        net.run_for(20_000.0);
        let bytes_before = net.bytes_sent;
        net.run_for(10_000.0);
        let bytes_per_second = (net.bytes_sent - bytes_before) as f64 / count as f64 / 10.0;
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
        let p99_ms = detection_ms[detection_ms.len() * 99 / 100];
        println!(
            "| {count} | {:.1} s | {bytes_per_second:.0} | {:.2} s, {:.2} s | {} |",
            discovered_ms / 1000.0,
            median_ms / 1000.0,
            p99_ms / 1000.0,
            net.false_failures()
        );
    }
}

/// Prints the seed of each run that exceeds the share budget or does not recover.
#[test]
#[ignore = "takes minutes; produces the figures of docs/membership.md"]
fn ten_thousand_runs_with_random_faults() {
    let workers = std::thread::available_parallelism().map_or(4, |n| n.get()) as u64;
    let runs: Vec<_> = (0..workers)
        .map(|worker| {
            std::thread::spawn(move || {
                let mut failing_runs = Vec::new();
                for seed in (10_000..20_000).filter(|seed| seed % workers == worker) {
                    let net = run_with_random_faults(seed);
                    let others = net.members.len().saturating_sub(1);
                    let recovered = net.members.len() < 2 || net.all_members_see(others);
                    if net.max_share_sum > 1.0 + 1e-9 || !recovered {
                        failing_runs.push((seed, net.max_share_sum, recovered));
                    }
                }
                failing_runs
            })
        })
        .collect();
    let failing_runs: Vec<_> = runs
        .into_iter()
        .flat_map(|run| run.join().unwrap())
        .collect();
    println!("10,000 runs; over the share budget or not recovered (seed, share sum, recovered): {failing_runs:?}");
    assert!(failing_runs.is_empty());
}
