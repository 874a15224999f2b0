//! Arguments that cannot be meant are refused by name, with the exit code of a wrong argument.

use std::process::{Command, Output};

/// Exit code of a wrong argument.
const WRONG_ARGUMENT: i32 = 2;

fn run(arguments: &[&str]) -> Output {
    // These tests have to start the program; the proxy, for which the method is disallowed, starts nothing.
    #[allow(clippy::disallowed_methods)]
    let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux-scenarios"));
    command
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn assert_refused(arguments: &[&str], named: &str) {
    let output = run(arguments);
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(WRONG_ARGUMENT),
        "{arguments:?}: {message}"
    );
    assert!(message.contains(named), "{arguments:?}: {message}");
}

/// `table --seeds 0` panicked as it divided the runs by the number of seeds.
#[test]
fn tables_over_no_seed_are_refused() {
    assert_refused(&["table", "--seeds", "0"], "--seeds");
    assert_refused(&["pairs", "--seeds", "0"], "--seeds");
}

#[test]
fn a_soak_over_no_seed_or_without_a_program_is_refused() {
    assert_refused(&["soak"], "--seeds");
    assert_refused(
        &["soak", "--seeds", "5..2"],
        "the first seed is greater than the last",
    );
    assert_refused(&["soak", "--seeds", "a..b"], "whole numbers");
    assert_refused(
        &["soak", "--seeds", "1", "--program", "/no/such/program"],
        "/no/such/program",
    );
}
