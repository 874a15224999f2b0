//! Rehearses incidents: runs scripts in simulation or over several proxies, and reports what they came to.
//!
//! The program `crankmux-scenarios` parses a [`cli::Cli`], runs it, and turns the [`cli::Verdict`] or the
//! [`error::CommandError`] into an exit code.

pub mod cli;
pub mod cluster;
pub mod error;
pub mod rehearse;
pub mod report;
pub mod runs;
pub mod scripts;
pub mod statistics;
pub mod tables;
