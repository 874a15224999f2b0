//! Shipped scripts in virtual time: the rules are kept, and runs can be reproduced.

use crankmux_scenarios::runs::{run_all, Run};
use crankmux_scenarios::scripts::built_in;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::script::{Load, Script};

/// A shipped script, shortened and with little load.
fn small(name: &str, duration_s: f64, capacity_fraction: f64) -> Script {
    let script = built_in(name).expect("it ships");
    let load = Load {
        capacity_fraction: Some(capacity_fraction),
        ..script.load.clone()
    };
    Script {
        duration_s,
        load,
        ..script
    }
}

fn run(script: &Script, seed: u64) -> Run<'_> {
    Run {
        script,
        policy: PolicyKind::Dispatcher,
        seed,
    }
}

#[test]
fn the_module_keeps_the_rules_under_three_shipped_scripts() {
    for (name, least_service) in [
        ("release", 60.0),
        ("three-troubles", 60.0),
        ("mass-restart", 60.0),
    ] {
        let script = small(name, 22.0, 0.15);
        let results = run_all(&[run(&script, 2)], Some(1)).expect("a valid policy");
        let results = &results[0];
        assert_eq!(
            results.violations,
            [0; 5],
            "{name}: {:?}",
            results.violation_reports.first()
        );
        assert!(
            results.totals.calls > 2000 && results.service > least_service,
            "{name}: {}",
            results.service
        );
    }
}

#[test]
fn the_same_seeds_give_the_same_bytes_on_any_number_of_threads() {
    let script = Script {
        proxies: 6,
        ..small("three-troubles", 16.0, 0.08)
    };
    let runs: Vec<Run> = (1..4).map(|seed| run(&script, seed)).collect();
    let bytes = |threads| {
        let results = run_all(&runs, Some(threads)).expect("a valid policy");
        serde_json::to_string(&results).expect("results as JSON")
    };
    let one_thread = bytes(1);
    assert!(one_thread == bytes(1), "results differ between runs");
    assert!(one_thread == bytes(3), "results differ between threads");
}
