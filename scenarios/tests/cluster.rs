//! The built-in cluster scripts, and the `cluster` subcommand.

use crankmux_scenarios::cluster::scripts::{self, BUILT_IN};
use crankmux_simulator::script::Script;
use std::path::Path;
use std::process::{Command, Output};

/// Runs a subcommand with a proxy program that does not exist, so that no proxy is started.
fn run_without_program(subcommand: &str, script: &str) -> Output {
    // `Command::new` is disallowed for the proxy, which must not start processes; this test has to.
    #[allow(clippy::disallowed_methods)]
    let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux-scenarios"));
    command
        .args([subcommand, script, "--program", "/no/such/program"])
        .output()
        .expect("the program starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn every_built_in_script_is_valid_and_names_a_built_in_environment() {
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
fn an_unknown_script_is_an_invalid_argument() {
    assert!(scripts::load(Some(Path::new("unheard-of"))).is_err());
    let output = run_without_program("cluster", "unheard-of");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).starts_with("crankmux-scenarios: unheard-of: "));
}

#[test]
fn a_missing_proxy_program_is_an_invalid_argument() {
    let output = run_without_program("cluster", "five");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr(&output),
        "crankmux-scenarios: /no/such/program: proxy program not found; build it with `cargo build --release`\n"
    );
}

#[test]
fn the_deprecated_alias_of_the_subcommand_works_and_prints_a_warning() {
    let current = run_without_program("cluster", "five");
    let alias = run_without_program("fleet", "five");
    assert_eq!(alias.status.code(), current.status.code());
    assert!(!stderr(&current).contains("deprecated"));
    let warning = "crankmux-scenarios: `fleet` is deprecated; use `cluster`\n";
    assert_eq!(stderr(&alias), warning.to_string() + &stderr(&current));
}
