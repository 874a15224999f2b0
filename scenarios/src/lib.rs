//! Incident rehearsal: runs scripts in simulation or against several proxy processes, and reports the results.
//!
//! The program `crankmux-scenarios` parses a [`cli::Cli`], runs it, and turns the [`cli::Verdict`] or the
//! [`error::CommandError`] into an exit code.

/// The command line.
pub mod cli;
/// The `cluster` command: runs a script against several proxy processes, with faults injected between them.
pub mod cluster;
/// Errors of the commands.
pub mod error;
/// The `rehearse` command: runs one script with one or more seeds and writes a report.
pub mod rehearse;
/// Reports of a script's runs: report.md, its charts and figures.json.
pub mod report;
/// Parallel simulation runs of scripts.
pub mod runs;
/// The built-in scripts, and loading a script from a file.
pub mod scripts;
/// The `soak` command: restarts, reloads and upgrades proxies under load, by seed.
pub mod soak;
/// Statistics over the runs of a script.
pub mod statistics;
/// Tables over many runs: scripts by policies, and faults by pairs.
pub mod tables;
