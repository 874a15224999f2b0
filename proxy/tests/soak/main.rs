//! A short soak: proxies are reloaded, restarted and upgraded under load, while discovery fails and operators call.
//! The long one is started by hand (docs/fault-injection.md).

use crankmux_fault_injection::run_soak;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The seeds: with and without idle clients or a cluster; at 15 and 17 idle clients take all of 64 and 128 descriptors.
const SEEDS: [u64; 12] = [1, 2, 4, 5, 8, 9, 10, 13, 15, 17, 21, 35];
/// So many runs at once.
const WORKERS: usize = 4;

/// All that was broken in the run of a seed, a line each, with the logs behind it.
fn soak(seed: u64) -> String {
    let folder = std::env::temp_dir().join(format!("crankmux-soak-{}-{seed}", std::process::id()));
    let program = env!("CARGO_BIN_EXE_crankmux").into();
    let report = run_soak(seed, program, folder).unwrap_or_else(|error| panic!("{error}"));
    assert!(report.confirmed_calls > 0 && report.service.succeeded > 0);
    if report.findings.is_empty() {
        return String::new();
    }
    let findings: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    format!(
        "seed {seed}: {}\n{}\n",
        findings.join("\n  "),
        report.logs.join("\n")
    )
}

/// This seed has shown one descriptor more after the load than before it and the connections kept to endpoints (49, 17
/// and 31), once in 81 runs. Nothing was held: the 17 was wrong. Left alone, its proxies hold 18 (2,400 of 2,400 reads);
/// beside calls for readiness, which take a descriptor of the reserve for an instant, 17 in 835 of 70,983 reads. What
/// they hold at rest was counted as the last such call was answered. Now they are left alone before.
#[test]
fn seed_52_holds_no_descriptor_after_the_load() {
    let broken = soak(52);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn a_short_soak_breaks_nothing() {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut broken = String::new();
        while let Some(seed) = SEEDS.get(next.fetch_add(1, Ordering::SeqCst)) {
            broken += &soak(*seed);
        }
        broken
    };
    let broken: String = thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .map(|worker| worker.join().expect("no run panics"))
            .collect()
    });
    assert!(broken.is_empty(), "{broken}");
}
