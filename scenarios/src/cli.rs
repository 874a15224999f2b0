//! Command line of `crankmux-scenarios`.

use crate::error::CommandError;
use crate::{cluster, rehearse, soak, tables};
use clap::{Parser, Subcommand};

/// Command line of `crankmux-scenarios`.
#[derive(Parser)]
#[command(
    name = "crankmux-scenarios",
    version,
    about = "Rehearses incidents of crankmux in simulation and with real proxy processes"
)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate a script and report the service and any violated rules
    Rehearse(rehearse::RehearseArgs),
    /// Simulate every built-in script with each policy and print a table
    Table(tables::TableArgs),
    /// Simulate all pairs of eight faults and print a table of service and violated rules
    Pairs(tables::PairsArgs),
    /// Run a script against several proxy processes, with faults injected between them
    Cluster(cluster::ClusterArgs),
    /// Restart, reload and upgrade proxies under load and faults, in one run per seed
    Soak(soak::SoakArgs),
    /// Deprecated alias of `cluster`
    #[command(hide = true)]
    Fleet(cluster::ClusterArgs),
}

/// Whether a command's runs kept the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was violated.
    RulesKept,
    /// At least one rule was violated.
    RulesBroken,
}

impl Verdict {
    /// `RulesKept` if all rules were kept.
    pub fn from_kept(kept: bool) -> Self {
        if kept {
            Verdict::RulesKept
        } else {
            Verdict::RulesBroken
        }
    }
}

impl Cli {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// A script or argument is invalid, a run fails, or a file cannot be read or written.
    pub fn run(&self) -> Result<Verdict, CommandError> {
        match &self.command {
            Command::Rehearse(arguments) => rehearse::run(arguments),
            Command::Table(arguments) => tables::compare_policies(arguments),
            Command::Pairs(arguments) => tables::compare_fault_pairs(arguments),
            Command::Cluster(arguments) => Ok(cluster::run(arguments)?),
            Command::Soak(arguments) => Ok(soak::run(arguments)?),
            Command::Fleet(arguments) => {
                eprintln!("crankmux-scenarios: `fleet` is deprecated; use `cluster`");
                Ok(cluster::run(arguments)?)
            }
        }
    }
}
