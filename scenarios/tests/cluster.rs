//! The scripts of clusters that ship, and the sub-command that runs them.

use crankmux_scenarios::cluster::scripts::{self, BUILT_IN};
use crankmux_simulator::script::Script;
use std::path::Path;
use std::process::{Command, Output};

/// Runs a sub-command with a program that does not exist, so that no process is started.
fn run_without_program(sub_command: &str, script: &str) -> Output {
    // These tests have to start the program; the proxy, for which the method is disallowed, starts nothing.
    #[allow(clippy::disallowed_methods)]
    let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux-scenarios"));
    command
        .args([sub_command, script, "--program", "/no/such/program"])
        .output()
        .expect("the program starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn every_script_that_ships_is_valid_and_names_an_environment_that_ships() {
    for (name, _) in BUILT_IN {
        let script = scripts::load(Some(Path::new(name))).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(script.name, *name);
        assert!(!script.about.is_empty(), "{name}");
        assert!(!script.faults.is_empty(), "{name}");
        let environment = scripts::built_in_environment(&script.environment).expect(name);
        assert!(Script::read(environment).is_ok(), "{name}");
    }
}

#[test]
fn a_script_that_does_not_exist_is_a_wrong_argument() {
    assert!(scripts::load(Some(Path::new("unheard-of"))).is_err());
    let output = run_without_program("cluster", "unheard-of");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).starts_with("crankmux-scenarios: unheard-of: "));
}

#[test]
fn a_program_that_does_not_exist_is_a_wrong_argument() {
    let output = run_without_program("cluster", "five");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        "crankmux-scenarios: /no/such/program: proxy program not found; build it with `cargo build --release`\n"
    );
}

#[test]
fn the_former_name_of_the_sub_command_works_and_is_said_to_be_deprecated() {
    let current = run_without_program("cluster", "five");
    let former = run_without_program("fleet", "five");
    assert_eq!(former.status.code(), current.status.code());
    assert!(!stderr(&current).contains("deprecated"));
    let deprecation = "crankmux-scenarios: `fleet` is deprecated; use `cluster`\n";
    assert_eq!(stderr(&former), deprecation.to_string() + &stderr(&current));
}
