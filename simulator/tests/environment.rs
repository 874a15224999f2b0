//! Runs in virtual time: violations are caught, random streams are independent.

mod common;

use common::{text, RELEASE, RESPONSES_LOST};
use crankmux_simulator::environment::run;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::script::Script;

fn script(more: &str) -> Script {
    Script::read(&text(more)).unwrap_or_else(|error| panic!("{error}"))
}

const DEPARTURES: &str = "[clients]\nimpatient = 0.2\n";

/// Violations of each rule, in the order of [`crankmux_simulator::invariants::Rule`].
fn violations(kind: PolicyKind, more: &str) -> [u64; 5] {
    let results = run(&script(more), kind, 5).expect("a valid policy");
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
        let [lost, duplicates, drains, _, departures] =
            violations(kind, &format!("{RELEASE}{RESPONSES_LOST}{DEPARTURES}"));
        assert_eq!(
            [lost, duplicates, drains, departures],
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
fn a_policy_that_loses_requests_is_caught() {
    let [lost, duplicates, drains, ..] = violations(PolicyKind::LosesRequests, "");
    assert!(
        lost > 20 && [duplicates, drains] == [0; 2],
        "{lost} {duplicates} {drains}"
    );
}

#[test]
fn a_policy_that_retries_unsafely_is_caught_with_the_history_of_the_request() {
    let resets = RESPONSES_LOST.replace("answers-lost", "resets");
    let results = run(&script(&resets), PolicyKind::RetriesUnsafely, 5).expect("a valid policy");
    assert!(
        results.violations[1] > 20 && results.violations[2] == 0,
        "{:?}",
        results.violations
    );
    let report = &results.violation_reports[0];
    let at = |what: &str| {
        report
            .find(what)
            .unwrap_or_else(|| panic!("{what} is missing in {report}"))
    };
    assert!(
        at("Taken") < at("Pushed { push: 0") && at("Pushed { push: 0") < at("Pushed { push: 1"),
        "{report}"
    );
}

#[test]
fn a_policy_that_sends_after_the_drain_grace_is_caught() {
    let [_, duplicates, drains, ..] = violations(PolicyKind::IgnoresDrains, RELEASE);
    assert!(drains > 20 && duplicates == 0, "{drains} {duplicates}");
}

#[test]
fn a_policy_that_floods_a_cold_endpoint_is_caught_and_the_endpoint_is_overloaded() {
    let results = run(&script(RELEASE), PolicyKind::FloodsNewest, 5).expect("a valid policy");
    assert!(
        results.violations[3] > 0 && results.endpoints_overloaded == results.violations[3],
        "{:?}",
        results.violations
    );
}

/// An attempt that overloaded a cold endpoint was never settled: its proxy waited for it until the attempt timed out,
/// as if the endpoint were silent, and its request was held until the end of the run.
#[test]
fn an_attempt_that_overloads_an_endpoint_ends_with_its_connection() {
    let results = run(&script(RELEASE), PolicyKind::FloodsNewest, 5).expect("a valid policy");
    assert!(results.endpoints_overloaded > 0);
    assert_eq!(results.overdue_requests, 0, "held to the end");
}

#[test]
fn a_policy_that_goes_on_for_departed_clients_is_caught() {
    // Unresponsive machines: each attempt takes a second to fail, and clients leave after one and a half.
    let more = "[way]\nconnect_ms = 1000\nkeepalive = 0.02\n[clients]\nimpatient = 0.5\n[[faults]]\nkind = \"silent\"\nat = 2\nfor = 10\npart = 0.8\n";
    let script = text(more)
        .replace("ttl_ms = 800", "ttl_ms = 3000")
        .replace("ttl_ms = 900", "ttl_ms = 3000");
    let script = Script::read(&script).unwrap_or_else(|error| panic!("{error}"));
    let departures = |kind| run(&script, kind, 5).expect("a valid policy").violations[4];
    assert!(
        departures(PolicyKind::IgnoresDisconnects) > 20,
        "{}",
        departures(PolicyKind::IgnoresDisconnects)
    );
    assert_eq!(departures(PolicyKind::Dispatcher), 0);
}

#[test]
fn an_added_fault_does_not_change_the_arrivals() {
    let calls = |more: &str| {
        let results = run(&script(more), PolicyKind::Dispatcher, 3).expect("a valid policy");
        results
            .seconds
            .iter()
            .map(|second| second.counts.calls)
            .collect::<Vec<_>>()
    };
    // The last second's may still be on their way at the end of the day.
    let calm = calls("");
    let rough = calls(&format!("{RELEASE}{RESPONSES_LOST}"));
    assert_eq!(calm[..12], rough[..12]);
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_seed_does_not() {
    let bytes = |seed| {
        serde_json::to_vec(&run(&script(RESPONSES_LOST), PolicyKind::Dispatcher, seed).unwrap())
            .unwrap()
    };
    assert!(bytes(3) == bytes(3));
    assert!(bytes(3) != bytes(4));
}

#[test]
fn retries_keep_degraded_machines_slow_after_a_burst() {
    let degrading = text("[clients]\nretries = 5\nbackoff = \"none\"\nhonour = 0.0\n")
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
        "down six seconds after the burst: {}",
        last.service
    );
    let calm = Script {
        duration_s: 14.0,
        ..script("")
    };
    assert!(
        run(&calm, PolicyKind::Random, 5)
            .expect("a valid policy")
            .service
            > 90.0
    );
}

#[test]
fn the_omniscient_policy_serves_best_under_a_partition() {
    let partition = "[[faults]]\nkind = \"zone-cut\"\nzone = \"b\"\nat = 3\nfor = 6\n\
               [[faults]]\nkind = \"slow\"\nat = 4\nfor = 6\nstrength = 6.0\npart = 0.4\n";
    let service = |kind| {
        let results = run(&script(partition), kind, 5).expect("a valid policy");
        results.service
    };
    let omniscient = service(PolicyKind::Oracle);
    let module = service(PolicyKind::Dispatcher);
    let random = service(PolicyKind::Random);
    assert!(
        omniscient >= module && module > random + 3.0,
        "{omniscient} {module} {random}"
    );
}
