//! A client that leaves while its request waits is not to be served on: the invariant checker catches a proxy that
//! does.

use crankmux_fault_injection::{Harness, Start};
use crankmux_simulator::invariants::Rule;
use crankmux_simulator::script::Script;

/// Endpoints too slow for any request, and clients that all leave halfway through its time.
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
fn a_proxy_that_retries_for_clients_that_have_left_is_caught() {
    let environment = Script::read(ENVIRONMENT).unwrap_or_else(|error| panic!("{error}"));
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-left",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux-faulty-node"), folder);
    start.cluster = false;
    let mut harness = Harness::new(environment, start);
    harness.start_all();
    // It accepts clients as soon as it has the endpoint list.
    harness.advance(500.0);
    harness.start_load();
    let caught = harness.run_until(20_000.0, |harness| {
        harness.invariants.counts()[Rule::NoWorkForDepartedClients as usize] > 10
    });
    assert!(caught, "{:?}", harness.violations());
    assert!(harness
        .violations()
        .iter()
        .any(|broken| broken.contains("nobody who has left served on")));
}
