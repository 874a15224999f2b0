//! Simulated runs of built-in scripts: no rule is violated, and results are reproducible.

use crankmux_scenarios::runs::{run_all, Run};
use crankmux_scenarios::scripts::built_in;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::script::{Load, Script};

/// A built-in script with a shorter duration and less load.
fn scaled_down(name: &str, duration_s: f64, capacity_fraction: f64) -> Script {
    let script = built_in(name).expect("a built-in script");
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
fn the_dispatcher_keeps_the_rules_in_three_built_in_scripts() {
    for (name, min_service) in [
        ("release", 60.0),
        ("three-troubles", 60.0),
        ("mass-restart", 60.0),
    ] {
        let script = scaled_down(name, 22.0, 0.15);
        let results = run_all(&[run(&script, 2)], Some(1)).expect("a valid policy");
        let results = &results[0];
        assert_eq!(
            results.violations,
            [0; 5],
            "{name}: {:?}",
            results.violation_reports.first()
        );
        assert!(
            results.totals.calls > 2000 && results.service > min_service,
            "{name}: {}",
            results.service
        );
    }
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let script = Script {
        proxies: 6,
        ..scaled_down("three-troubles", 16.0, 0.08)
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
