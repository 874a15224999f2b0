//! The command line.

use crate::error::CommandError;
use crate::{fleet, rehearse, tables};
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
    /// Plays a script over many processes of the node, with faults between them
    Fleet(fleet::Call),
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
            Command::Fleet(arguments) => Ok(Verdict::from_kept(fleet::run(arguments)?)),
        }
    }
}
