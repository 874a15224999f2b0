//! The `cluster` command: runs a script against several proxy processes, with faults injected between them.

/// The built-in cluster scripts and their environments, and loading a script from a file.
pub mod scripts;
mod summary;

use crate::cli::Verdict;
use crate::error::CommandError;
use crankmux_fault_injection::{run as run_script, Report, RunError, RunScript, Start};
use crankmux_simulator::script::{Script, ScriptError};
use std::path::{Path, PathBuf};

const FAILURE: u8 = 1;
const WRONG_ARGUMENT: u8 = 2;

/// Arguments of `cluster`.
#[derive(clap::Args)]
pub struct ClusterArgs {
    /// Path of a script, or the name of a built-in one [default: kills]
    script: Option<PathBuf>,
    /// Number of processes; overrides the script
    #[arg(long)]
    processes: Option<usize>,
    /// Duration in seconds; overrides the script
    #[arg(long)]
    seconds: Option<f64>,
    /// Requests per second from all clients; overrides the script
    #[arg(long)]
    rate: Option<f64>,
    /// Number of proxies in the settings
    #[arg(long = "told")]
    configured_proxies: Option<usize>,
    /// Seed of the run
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run without an operator configuration: the proxies form no cluster
    #[arg(long)]
    strangers: bool,
    /// Directory for figures.json, and for the proxies' files during the run
    #[arg(long, default_value = "fleet-out")]
    out: PathBuf,
    /// Path of the proxy program [default: crankmux in the directory of this program]
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Errors of the `cluster` command.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The script cannot be loaded.
    #[error(transparent)]
    Script(#[from] scripts::LoadError),
    /// A built-in environment is invalid.
    #[error(transparent)]
    BuiltInEnvironment(ScriptError),
    /// The environment of the script cannot be loaded.
    #[error(transparent)]
    Environment(Box<CommandError>),
    /// The proxy program does not exist.
    #[error("{}: proxy program not found; build it with `cargo build --release`", .0.display())]
    ProgramNotFound(PathBuf),
    /// The run failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The report cannot be written.
    #[error(transparent)]
    Write(#[from] std::io::Error),
    /// The report cannot be serialized to JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
}

impl ClusterError {
    /// Exit code of the program for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            ClusterError::Script(_)
            | ClusterError::BuiltInEnvironment(_)
            | ClusterError::ProgramNotFound(_) => WRONG_ARGUMENT,
            ClusterError::Environment(error) => error.exit_code(),
            ClusterError::Run(_) | ClusterError::Write(_) | ClusterError::Encode(_) => FAILURE,
        }
    }
}

/// Runs the command.
///
/// # Errors
///
/// The script or its environment is invalid, the proxy program does not exist, the run fails, or the report cannot be
/// written.
pub fn run(args: &ClusterArgs) -> Result<Verdict, ClusterError> {
    let report = run_and_write(args)?;
    summary::print(&report);
    Ok(Verdict::from_kept(report.rules_broken == [0; 5]))
}

fn run_and_write(args: &ClusterArgs) -> Result<Report, ClusterError> {
    let mut script = scripts::load(args.script.as_deref())?;
    apply_overrides(&mut script, args);
    let program = find_program(args.program.as_deref()).map_err(ClusterError::ProgramNotFound)?;
    let start = Start {
        cluster: !args.strangers,
        configured_proxies: args.configured_proxies,
        seed: args.seed,
        ..Start::new(program, args.out.join("run"))
    };
    let report = run_script(&script, load_environment(&script.environment)?, start)?;
    std::fs::create_dir_all(&args.out)?;
    let text = serde_json::to_string_pretty(&report)?;
    std::fs::write(args.out.join("figures.json"), text)?;
    Ok(report)
}

fn apply_overrides(script: &mut RunScript, args: &ClusterArgs) {
    script.processes = args.processes.unwrap_or(script.processes);
    script.seconds = args.seconds.unwrap_or(script.seconds);
    script.rate = args.rate.or(script.rate);
    // A smaller cluster lacks some of the proxies that faults target.
    for fault in &mut script.faults {
        fault.targets.retain(|target| *target < script.processes);
    }
}

/// Finds the proxy program: the given path, or `crankmux` in the directory of this program.
///
/// # Errors
///
/// The path, if it does not exist.
pub(crate) fn find_program(path: Option<&Path>) -> Result<PathBuf, PathBuf> {
    let sibling = || {
        let current = std::env::current_exe().ok()?;
        Some(current.parent()?.join("crankmux"))
    };
    let program = path
        .map(Path::to_path_buf)
        .or_else(sibling)
        .unwrap_or_else(|| "crankmux".into());
    if program.exists() {
        Ok(program)
    } else {
        Err(program)
    }
}

/// Loads a built-in cluster environment, or any script of the simulator.
fn load_environment(name: &str) -> Result<Script, ClusterError> {
    if let Some(text) = scripts::built_in_environment(name) {
        return Script::read(text).map_err(ClusterError::BuiltInEnvironment);
    }
    crate::scripts::load(Some(Path::new(name)))
        .map_err(|error| ClusterError::Environment(Box::new(error)))
}
