//! Clients that leave while their ops wait: the judge tells a node that serves them on.

use crankmux_fault_injection::{Harness, Start};
use crankmux_simulator::script::Script;

/// Servers too slow for any op, and clients that all leave halfway through its time.
const WORLD: &str = r#"
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
fn a_node_that_serves_on_whoever_has_left_is_caught() {
    let script = Script::read(WORLD).unwrap_or_else(|faulty| panic!("{faulty}"));
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-left",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux-faulty-node"), folder);
    start.fleet = false;
    let mut rig = Harness::new(script, start);
    rig.start_all();
    // It hears clients as soon as it has the list.
    rig.pass(500.0);
    rig.open();
    let caught = rig.until(20_000.0, |rig| rig.judge.counts()[4] > 10);
    assert!(caught, "{:?}", rig.broken());
    assert!(rig
        .broken()
        .iter()
        .any(|what| what.contains("nobody who has left served on")));
}
