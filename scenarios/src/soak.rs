//! The `soak` command: reloads, restarts and upgrades several proxy processes under load, in one run per seed.

use crate::cli::Verdict;
use crate::cluster::find_program;
use crankmux_fault_injection::{run_soak, SoakError, SoakPlan, SoakReport};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const FAILURE: u8 = 1;
const WRONG_ARGUMENT: u8 = 2;

/// Arguments of `soak`.
#[derive(clap::Args)]
pub struct SoakArgs {
    /// Inclusive range of seeds, A..B, or a single seed
    #[arg(long)]
    seeds: Seeds,
    /// Directory for the logs of failed runs, and for the proxies' files during a run
    #[arg(long, default_value = "soak-out")]
    out: PathBuf,
    /// Number of concurrent runs
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=32))]
    jobs: u64,
    /// Path of the proxy program [default: crankmux in the directory of this program]
    #[arg(long)]
    program: Option<PathBuf>,
}

/// An inclusive range of seeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(RangeInclusive<u64>);

/// Errors of parsing a range of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeedsError {
    /// A bound is not a whole number.
    #[error("seeds must be whole numbers: A..B or a single seed")]
    NotNumbers,
    /// The range contains no seed.
    #[error("the first seed is greater than the last")]
    Empty,
}

impl FromStr for Seeds {
    type Err = SeedsError;

    fn from_str(text: &str) -> Result<Self, SeedsError> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let parse_bound = |bound: &str| bound.parse().map_err(|_| SeedsError::NotNumbers);
        let first: u64 = parse_bound(first)?;
        let last: u64 = parse_bound(last)?;
        if first > last {
            return Err(SeedsError::Empty);
        }
        Ok(Seeds(first..=last))
    }
}

/// Errors of the `soak` command.
#[derive(Debug, thiserror::Error)]
pub enum SoakCommandError {
    /// The proxy program does not exist.
    #[error("{}: proxy program not found; build it with `cargo build --release`", .0.display())]
    ProgramNotFound(PathBuf),
    /// A run could not be executed.
    #[error("seed {seed}: {source}")]
    Run {
        /// Seed of the run.
        seed: u64,
        /// Cause of the failure.
        source: SoakError,
    },
    /// A log cannot be written.
    #[error(transparent)]
    Write(#[from] std::io::Error),
}

impl SoakCommandError {
    /// Exit code of the program for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            SoakCommandError::ProgramNotFound(_) => WRONG_ARGUMENT,
            SoakCommandError::Run { .. } | SoakCommandError::Write(_) => FAILURE,
        }
    }
}

/// Executes the runs and prints a summary of each.
///
/// # Errors
///
/// The proxy program does not exist, a run cannot be executed, or a log cannot be written.
pub fn run(args: &SoakArgs) -> Result<Verdict, SoakCommandError> {
    let program =
        find_program(args.program.as_deref()).map_err(SoakCommandError::ProgramNotFound)?;
    let failed_seeds = run_seeds(args, &program)?;
    let seed_count = args.seeds.0.clone().count();
    let failed: Vec<String> = failed_seeds.iter().map(u64::to_string).collect();
    if let Some(first) = failed.first() {
        println!("to reproduce: crankmux-scenarios soak --seeds {first}");
    }
    println!(
        "soak: {seed_count} seeds, {} failed: {}",
        failed.len(),
        failed.join(", ")
    );
    Ok(Verdict::from_kept(failed_seeds.is_empty()))
}

/// Runs all seeds concurrently and returns those whose run had findings, in ascending order.
fn run_seeds(args: &SoakArgs, program: &Path) -> Result<Vec<u64>, SoakCommandError> {
    let next_seed = AtomicU64::new(*args.seeds.0.start());
    let failed_seeds = Mutex::new(Vec::new());
    let run_next_seeds = || -> Result<(), SoakCommandError> {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::SeqCst);
            if seed > *args.seeds.0.end() {
                return Ok(());
            }
            if !run_seed(seed, program, &args.out)? {
                failed_seeds
                    .lock()
                    .expect("no worker panics while it holds the lock")
                    .push(seed);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..args.jobs)
            .map(|_| scope.spawn(run_next_seeds))
            .collect();
        for worker in workers {
            worker.join().expect("no worker panics")?;
        }
        Ok::<(), SoakCommandError>(())
    })?;
    let mut failed_seeds = failed_seeds
        .into_inner()
        .expect("no worker panics while it holds the lock");
    failed_seeds.sort_unstable();
    Ok(failed_seeds)
}

/// Runs one seed and returns whether the run had no findings.
fn run_seed(seed: u64, program: &Path, out: &Path) -> Result<bool, SoakCommandError> {
    let directory = out.join(format!("run-{seed}"));
    let report = run_soak(seed, program.to_path_buf(), directory)
        .map_err(|source| SoakCommandError::Run { seed, source })?;
    print_summary(&report);
    if !report.findings.is_empty() {
        write_logs(&report, out)?;
    }
    Ok(report.findings.is_empty())
}

fn print_summary(report: &SoakReport) {
    let service = &report.service;
    println!(
        "seed {} ({}): requests {}, succeeded {}, rejected {}, failed {}, calls confirmed {}, findings {}",
        report.seed,
        SoakPlan::of_seed(report.seed),
        service.requests,
        service.succeeded,
        service.rejected,
        service.failed,
        report.confirmed_calls,
        report.findings.len()
    );
    for finding in &report.findings {
        println!("    {finding}");
    }
}

fn write_logs(report: &SoakReport, out: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(out)?;
    for (proxy, log) in report.logs.iter().enumerate() {
        let name = format!("seed-{}-proxy-{proxy}.log", report.seed);
        std::fs::write(out.join(name), log)?;
    }
    Ok(())
}
