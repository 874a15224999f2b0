//! The program `crankmux-scenarios`.

use clap::Parser;
use crankmux_scenarios::cli::{Cli, Verdict};
use std::process::ExitCode;

/// Exit code of a run in which a rule was broken.
const RULES_BROKEN: u8 = 3;

/// Exit codes: 0 rules kept, 3 a rule broken, 2 an invalid script or argument, 1 what else failed.
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
