//! Simulation runs: the invariant checker reports violations, and random streams are independent.

mod common;

use common::{script_text, RELEASE, RESPONSES_LOST};
use crankmux_simulator::environment::run;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::script::Script;

fn script(extra: &str) -> Script {
    Script::read(&script_text(extra)).unwrap_or_else(|error| panic!("{error}"))
}

const DISCONNECTS: &str = "[clients]\nimpatient = 0.2\n";

/// Violations of each rule, in the order of [`crankmux_simulator::invariants::Rule`].
fn violations(kind: PolicyKind, extra: &str) -> [u64; 5] {
    let results = run(&script(extra), kind, 5).expect("a valid policy");
    assert!(results.totals.calls > 1000, "{}", results.totals.calls);
    if let Some(report) = results.violation_reports.first() {
        assert!(results.violations != [0; 5] && !report.is_empty());
    }
    results.violations
}

#[test]
fn policies_that_keep_the_rules_cause_no_violations() {
    for kind in [
        PolicyKind::Dispatcher,
        PolicyKind::Random,
        PolicyKind::LeastOutstanding,
    ] {
        let [lost, duplicates, drains, _, disconnects] =
            violations(kind, &format!("{RELEASE}{RESPONSES_LOST}{DISCONNECTS}"));
        assert_eq!(
            [lost, duplicates, drains, disconnects],
            [0; 4],
            "{}",
            kind.name()
        );
    }
    assert_eq!(
        violations(
            PolicyKind::Dispatcher,
            &format!("{RELEASE}{RESPONSES_LOST}")
        ),
        [0; 5]
    );
}

#[test]
fn lost_requests_are_detected() {
    let [lost, duplicates, drains, ..] = violations(PolicyKind::LosesRequests, "");
    assert!(
        lost > 20 && [duplicates, drains] == [0; 2],
        "{lost} {duplicates} {drains}"
    );
}

#[test]
fn unsafe_retries_are_detected_and_reported_with_the_history_of_the_request() {
    let resets = RESPONSES_LOST.replace("answers-lost", "resets");
    let results = run(&script(&resets), PolicyKind::RetriesUnsafely, 5).expect("a valid policy");
    assert!(
        results.violations[1] > 20 && results.violations[2] == 0,
        "{:?}",
        results.violations
    );
    let report = &results.violation_reports[0];
    let position = |event: &str| {
        report
            .find(event)
            .unwrap_or_else(|| panic!("{event} is missing in {report}"))
    };
    assert!(
        position("Taken") < position("Pushed { push: 0")
            && position("Pushed { push: 0") < position("Pushed { push: 1"),
        "{report}"
    );
}

#[test]
fn attempts_after_the_drain_grace_are_detected() {
    let [_, duplicates, drains, ..] = violations(PolicyKind::IgnoresDrains, RELEASE);
    assert!(drains > 20 && duplicates == 0, "{drains} {duplicates}");
}

#[test]
fn flooding_a_cold_endpoint_overloads_it_and_is_detected() {
    let results = run(&script(RELEASE), PolicyKind::FloodsNewest, 5).expect("a valid policy");
    assert!(
        results.violations[3] > 0 && results.endpoints_overloaded == results.violations[3],
        "{:?}",
        results.violations
    );
}

/// Regression test: an attempt that overloaded a cold endpoint never ended, so its request stayed open until the end of
/// the run.
#[test]
fn an_attempt_that_overloads_an_endpoint_ends_when_its_connection_closes() {
    let results = run(&script(RELEASE), PolicyKind::FloodsNewest, 5).expect("a valid policy");
    assert!(results.endpoints_overloaded > 0);
    assert_eq!(
        results.overdue_requests, 0,
        "requests still open at the end of the run"
    );
}

#[test]
fn attempts_for_disconnected_clients_are_detected() {
    // Attempts to unresponsive endpoints fail after 1 s, and impatient clients disconnect after 1.5 s.
    let extra = "[way]\nconnect_ms = 1000\nkeepalive = 0.02\n[clients]\nimpatient = 0.5\n[[faults]]\nkind = \"silent\"\nat = 2\nfor = 10\npart = 0.8\n";
    let script = script_text(extra)
        .replace("ttl_ms = 800", "ttl_ms = 3000")
        .replace("ttl_ms = 900", "ttl_ms = 3000");
    let script = Script::read(&script).unwrap_or_else(|error| panic!("{error}"));
    let disconnects = |kind| run(&script, kind, 5).expect("a valid policy").violations[4];
    assert!(
        disconnects(PolicyKind::IgnoresDisconnects) > 20,
        "{}",
        disconnects(PolicyKind::IgnoresDisconnects)
    );
    assert_eq!(disconnects(PolicyKind::Dispatcher), 0);
}

#[test]
fn an_added_fault_does_not_change_the_arrivals() {
    let calls = |extra: &str| {
        let results = run(&script(extra), PolicyKind::Dispatcher, 3).expect("a valid policy");
        results
            .seconds
            .iter()
            .map(|second| second.counts.calls)
            .collect::<Vec<_>>()
    };
    // Excludes the last second, whose calls may still be open at the end of the run.
    let without_faults = calls("");
    let with_faults = calls(&format!("{RELEASE}{RESPONSES_LOST}"));
    assert_eq!(without_faults[..12], with_faults[..12]);
}

#[test]
fn results_are_identical_for_the_same_seed_and_differ_for_another() {
    let bytes = |seed| {
        serde_json::to_vec(&run(&script(RESPONSES_LOST), PolicyKind::Dispatcher, seed).unwrap())
            .unwrap()
    };
    assert!(bytes(3) == bytes(3));
    assert!(bytes(3) != bytes(4));
}

#[test]
fn immediate_retries_keep_degraded_endpoints_slow_after_a_burst() {
    let degrading = script_text("[clients]\nretries = 5\nbackoff = \"none\"\nhonour = 0.0\n")
        .replace("share = 0.4", "share = 0.55\nbursts = [{ at = 3, for = 2, times = 3.0 }]")
        .replace(
            "cores = 2",
            "cores = 2\nqueue = 60\ntips = { after_ms = 150, to = 0.3, relief = 0.3, relief_for = 2 }",
        );
    let degrading = Script::read(&degrading).unwrap_or_else(|error| panic!("{error}"));
    let random = run(&degrading, PolicyKind::Random, 5).expect("a valid policy");
    let last = &random.seconds[11].counts;
    assert!(
        random.endpoints_degraded > 4 && last.service < 70.0,
        "service six seconds after the burst: {}",
        last.service
    );
    let without_burst = Script {
        duration_s: 14.0,
        ..script("")
    };
    assert!(
        run(&without_burst, PolicyKind::Random, 5)
            .expect("a valid policy")
            .service
            > 90.0
    );
}

#[test]
fn the_oracle_serves_best_under_a_partition() {
    let partition = "[[faults]]\nkind = \"zone-cut\"\nzone = \"b\"\nat = 3\nfor = 6\n\
               [[faults]]\nkind = \"slow\"\nat = 4\nfor = 6\nstrength = 6.0\npart = 0.4\n";
    let service = |kind| {
        let results = run(&script(partition), kind, 5).expect("a valid policy");
        results.service
    };
    let oracle = service(PolicyKind::Oracle);
    let dispatcher = service(PolicyKind::Dispatcher);
    let random = service(PolicyKind::Random);
    assert!(
        oracle >= dispatcher && dispatcher > random + 3.0,
        "{oracle} {dispatcher} {random}"
    );
}
