//! Entry point of `crankmux-scenarios`.

use clap::Parser;
use crankmux_scenarios::cli::{Cli, Verdict};
use std::process::ExitCode;

/// Exit code if a run violated a rule.
const RULES_BROKEN: u8 = 3;

/// Exit codes: 0 if all rules were kept, 1 for a failure, 2 for an invalid script or argument, 3 for a violated rule.
fn main() -> ExitCode {
    match Cli::parse().run() {
        Ok(Verdict::RulesKept) => ExitCode::SUCCESS,
        Ok(Verdict::RulesBroken) => ExitCode::from(RULES_BROKEN),
        Err(error) => {
            eprintln!("crankmux-scenarios: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
