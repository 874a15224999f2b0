//! `cluster`: runs a script over several proxy processes, with faults between them.

/// The scripts that ship, their environments, and reading a script.
pub mod scripts;
mod summary;

use crate::cli::Verdict;
use crate::error::CommandError;
use crankmux_fault_injection::{run as run_script, Report, RunError, RunScript, Start};
use crankmux_simulator::script::{Script, ScriptError};
use std::path::{Path, PathBuf};

const FAILURE: u8 = 1;
const WRONG_ARGUMENT: u8 = 2;

/// The arguments of `cluster`.
#[derive(clap::Args)]
pub struct ClusterArgs {
    /// A script's file, or the name of one that ships
    script: Option<PathBuf>,
    /// So many processes, over the script's
    #[arg(long)]
    processes: Option<usize>,
    /// So long, over the script's
    #[arg(long)]
    seconds: Option<f64>,
    /// Requests a second from all clients, over the script's
    #[arg(long)]
    rate: Option<f64>,
    /// The number of proxies according to the settings
    #[arg(long = "told")]
    configured_proxies: Option<usize>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Without an operator's file: proxies that do not know each other
    #[arg(long)]
    strangers: bool,
    /// Where figures.json goes, and the proxies' files while they run
    #[arg(long, default_value = "fleet-out")]
    out: PathBuf,
    /// The proxy's program; else the one beside this
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Why a script was not run, or its report not written.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The script cannot be read.
    #[error(transparent)]
    Script(#[from] scripts::ReadError),
    /// An environment that ships is invalid.
    #[error(transparent)]
    ShippedEnvironment(ScriptError),
    /// The environment that the script names cannot be read.
    #[error(transparent)]
    Environment(Box<CommandError>),
    /// There is no program of a proxy.
    #[error("{}: no program there; cargo build --release makes it", .0.display())]
    NoProgram(PathBuf),
    /// The run failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The report cannot be written.
    #[error(transparent)]
    Write(#[from] std::io::Error),
    /// The report cannot be encoded as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
}

impl ClusterError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            ClusterError::Script(_)
            | ClusterError::ShippedEnvironment(_)
            | ClusterError::NoProgram(_) => WRONG_ARGUMENT,
            ClusterError::Environment(error) => error.exit_code(),
            ClusterError::Run(_) | ClusterError::Write(_) | ClusterError::Encode(_) => FAILURE,
        }
    }
}

/// Runs the script that the arguments name.
///
/// # Errors
///
/// An invalid script or environment, no program of a proxy, or a report that cannot be written.
pub fn run(args: &ClusterArgs) -> Result<Verdict, ClusterError> {
    let report = run_and_write(args)?;
    summary::print(&report);
    Ok(Verdict::from_kept(report.rules_broken == [0; 5]))
}

fn run_and_write(args: &ClusterArgs) -> Result<Report, ClusterError> {
    let mut script = scripts::read(args.script.as_deref())?;
    override_script(&mut script, args);
    let program = find_program(args.program.as_deref()).map_err(ClusterError::NoProgram)?;
    let start = Start {
        cluster: !args.strangers,
        configured_proxies: args.configured_proxies,
        seed: args.seed,
        ..Start::new(program, args.out.join("run"))
    };
    let report = run_script(&script, environment(&script.environment)?, start)?;
    std::fs::create_dir_all(&args.out)?;
    let text = serde_json::to_string_pretty(&report)?;
    std::fs::write(args.out.join("figures.json"), text)?;
    Ok(report)
}

fn override_script(script: &mut RunScript, args: &ClusterArgs) {
    script.processes = args.processes.unwrap_or(script.processes);
    script.seconds = args.seconds.unwrap_or(script.seconds);
    script.rate = args.rate.or(script.rate);
    // Faults leave out the proxies that a smaller cluster does not have.
    for fault in &mut script.faults {
        fault.targets.retain(|target| *target < script.processes);
    }
}

/// The program of a proxy: the one that was named, or the one beside this.
///
/// # Errors
///
/// The path at which there is no program.
pub(crate) fn find_program(named: Option<&Path>) -> Result<PathBuf, PathBuf> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.parent()?.join("crankmux"))
    };
    let program = named
        .map(Path::to_path_buf)
        .or_else(beside)
        .unwrap_or_else(|| "crankmux".into());
    if program.exists() {
        Ok(program)
    } else {
        Err(program)
    }
}

/// An environment that ships with the scripts of clusters, or any script of the simulator.
fn environment(name: &str) -> Result<Script, ClusterError> {
    if let Some(text) = scripts::shipped_environment(name) {
        return Script::read(text).map_err(ClusterError::ShippedEnvironment);
    }
    crate::scripts::read(Some(Path::new(name)))
        .map_err(|error| ClusterError::Environment(Box::new(error)))
}
