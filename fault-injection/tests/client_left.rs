//! The invariant checker detects a proxy that keeps sending attempts after the client has disconnected.

use crankmux_fault_injection::{Harness, Start};
use crankmux_simulator::invariants::Rule;
use crankmux_simulator::script::Script;

/// Endpoints that miss every deadline, and clients that all disconnect after half their timeout.
const ENVIRONMENT: &str = r#"
name = "left"
seconds = 10
nodes = 1
zones = ["a"]
[duties]
cold = 8
[clients]
impatient = 1.0
[[categories]]
name = "view"
effect = "redeliverable"
target_ms = 1000
ttl_ms = 2000
work_ms = 60000
[[machines]]
kind = "m"
count = 3
cores = 50
[load]
rate = 20
"#;

#[test]
fn a_proxy_that_retries_after_the_client_disconnects_violates_the_invariant() {
    let environment = Script::read(ENVIRONMENT).unwrap_or_else(|error| panic!("{error}"));
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-left",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux-faulty-node"), folder);
    start.cluster = false;
    let mut harness = Harness::new(environment, start);
    harness.start_all();
    // The proxy accepts clients as soon as it has the endpoint list.
    harness.advance(500.0);
    harness.start_load();
    let detected = harness.run_until(20_000.0, |harness| {
        harness.invariants.counts()[Rule::NoWorkForDepartedClients as usize] > 10
    });
    assert!(detected, "{:?}", harness.violations());
    assert!(harness
        .violations()
        .iter()
        .any(|violation| violation.contains("nobody who has left served on")));
}
