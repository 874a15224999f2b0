//! crankmux-scenarios: rehearses incidents on the emulator and reports what they came to.

mod cluster;
mod rehearse;
mod report;
mod scripts;
mod tables;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "crankmux-scenarios",
    version,
    about = "Rehearses incidents before crankmux"
)]
struct Line {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Plays a script, and says what service it came to and whether the rules were kept
    Rehearse(rehearse::Call),
    /// Plays every script that ships by the module and the baselines: a table
    Table(tables::Scripts),
    /// Plays all pairs of eight faults on one world: a table of service and rules
    Pairs(tables::Pairs),
    /// Runs a script over several proxy processes, with faults between them
    Cluster(cluster::Args),
    /// The former name of `cluster`
    #[command(hide = true)]
    Fleet(cluster::Args),
}

/// Exit codes: 0 rules kept, 3 a rule broken, 2 a faulty script or argument, 1 what else failed.
fn main() -> ExitCode {
    let done = match Line::parse().call {
        Call::Rehearse(call) => rehearse::run(&call),
        Call::Table(call) => tables::scripts(&call),
        Call::Pairs(call) => tables::pairs(&call),
        Call::Cluster(args) => cluster::run(&args),
        Call::Fleet(args) => {
            eprintln!("crankmux-scenarios: `fleet` is deprecated; use `cluster`");
            cluster::run(&args)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err((code, message)) => {
            eprintln!("crankmux-scenarios: {message}");
            ExitCode::from(code)
        }
    }
}
