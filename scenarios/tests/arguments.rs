//! Invalid arguments are reported by name, with exit code 2.

use std::process::{Command, Output};

/// Exit code for an invalid argument.
const INVALID_ARGUMENT: i32 = 2;

fn run(arguments: &[&str]) -> Output {
    // `Command::new` is disallowed for the proxy, which must not start processes; this test has to.
    #[allow(clippy::disallowed_methods)]
    let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux-scenarios"));
    command
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn assert_invalid(arguments: &[&str], expected: &str) {
    let output = run(arguments);
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(INVALID_ARGUMENT),
        "{arguments:?}: {message}"
    );
    assert!(message.contains(expected), "{arguments:?}: {message}");
}

/// Regression test: `table --seeds 0` panicked in a division by the number of seeds.
#[test]
fn tables_without_seeds_are_rejected() {
    assert_invalid(&["table", "--seeds", "0"], "--seeds");
    assert_invalid(&["pairs", "--seeds", "0"], "--seeds");
}

#[test]
fn a_soak_without_seeds_or_without_a_program_is_rejected() {
    assert_invalid(&["soak"], "--seeds");
    assert_invalid(
        &["soak", "--seeds", "5..2"],
        "the first seed is greater than the last",
    );
    assert_invalid(&["soak", "--seeds", "a..b"], "whole numbers");
    assert_invalid(
        &["soak", "--seeds", "1", "--program", "/no/such/program"],
        "/no/such/program",
    );
}
