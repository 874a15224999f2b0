//! The command line.

use crate::error::CommandError;
use crate::{cluster, rehearse, soak, tables};
use clap::{Parser, Subcommand};

/// The command line of `crankmux-scenarios`.
#[derive(Parser)]
#[command(
    name = "crankmux-scenarios",
    version,
    about = "Rehearses incidents before crankmux"
)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a script, and says what service it came to and whether the rules were kept
    Rehearse(rehearse::RehearseArgs),
    /// Plays every script that ships by the module and the baselines: a table
    Table(tables::TableArgs),
    /// Plays all pairs of eight faults on one world: a table of service and rules
    Pairs(tables::PairsArgs),
    /// Runs a script over several proxy processes, with faults between them
    Cluster(cluster::ClusterArgs),
    /// Restarts, reloads and upgrades proxies under load and faults, a run for each seed
    Soak(soak::SoakArgs),
    /// The former name of `cluster`
    #[command(hide = true)]
    Fleet(cluster::ClusterArgs),
}

/// Whether the rules were kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All of them.
    RulesKept,
    /// At least one was broken.
    RulesBroken,
}

impl Verdict {
    /// The verdict on rules that were all kept, or not.
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
    /// An invalid script or argument, or a file that cannot be read or written.
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
