//! `soak`: runs of several proxy processes that are reloaded, restarted and upgraded under load, one for each seed.

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

/// The arguments of `soak`.
#[derive(clap::Args)]
pub struct SoakArgs {
    /// The seeds, as A..B with both included, or a single one
    #[arg(long)]
    seeds: Seeds,
    /// Where the logs of runs that broke something go, and the proxies' files while they run
    #[arg(long, default_value = "soak-out")]
    out: PathBuf,
    /// So many runs at once
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=32))]
    jobs: u64,
    /// The proxy's program; else the one beside this
    #[arg(long)]
    program: Option<PathBuf>,
}

/// A range of seeds, both ends included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(RangeInclusive<u64>);

/// Why a text is no range of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeedsError {
    /// One of its ends is no number.
    #[error("seeds are whole numbers: A..B, or a single one")]
    NotNumbers,
    /// There is no seed in it.
    #[error("the first seed is above the last")]
    Empty,
}

impl FromStr for Seeds {
    type Err = SeedsError;

    fn from_str(text: &str) -> Result<Self, SeedsError> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let number = |end: &str| end.parse().map_err(|_| SeedsError::NotNumbers);
        let first: u64 = number(first)?;
        let last: u64 = number(last)?;
        if first > last {
            return Err(SeedsError::Empty);
        }
        Ok(Seeds(first..=last))
    }
}

/// Why runs were not carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakCommandError {
    /// There is no program of a proxy.
    #[error("{}: no program there; cargo build --release makes it", .0.display())]
    NoProgram(PathBuf),
    /// A run could not be carried out.
    #[error("seed {seed}: {source}")]
    Run {
        /// The seed of the run.
        seed: u64,
        /// Why.
        source: SoakError,
    },
    /// Logs cannot be written.
    #[error(transparent)]
    Write(#[from] std::io::Error),
}

impl SoakCommandError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            SoakCommandError::NoProgram(_) => WRONG_ARGUMENT,
            SoakCommandError::Run { .. } | SoakCommandError::Write(_) => FAILURE,
        }
    }
}

/// Carries out the runs, and prints what each came to.
///
/// # Errors
///
/// No program of a proxy, a run that could not be carried out, or logs that cannot be written.
pub fn run(args: &SoakArgs) -> Result<Verdict, SoakCommandError> {
    let program = find_program(args.program.as_deref()).map_err(SoakCommandError::NoProgram)?;
    let broken = run_seeds(args, &program)?;
    let seeds = args.seeds.0.clone().count();
    let numbers: Vec<String> = broken.iter().map(u64::to_string).collect();
    if let Some(first) = numbers.first() {
        println!("again: crankmux-scenarios soak --seeds {first}");
    }
    println!(
        "soak: {seeds} seeds, {} broke something: {}",
        numbers.len(),
        numbers.join(", ")
    );
    Ok(Verdict::from_kept(broken.is_empty()))
}

/// Runs all seeds, several at once, and returns those that broke something in the order of their numbers.
fn run_seeds(args: &SoakArgs, program: &Path) -> Result<Vec<u64>, SoakCommandError> {
    let next_seed = AtomicU64::new(*args.seeds.0.start());
    let broken = Mutex::new(Vec::new());
    let work = || -> Result<(), SoakCommandError> {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::SeqCst);
            if seed > *args.seeds.0.end() {
                return Ok(());
            }
            if !run_seed(seed, program, &args.out)? {
                broken.lock().expect("no run panics with it").push(seed);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..args.jobs).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            worker.join().expect("no run panics")?;
        }
        Ok::<(), SoakCommandError>(())
    })?;
    let mut broken = broken.into_inner().expect("no run panics with it");
    broken.sort_unstable();
    Ok(broken)
}

/// Runs one seed; whether nothing was broken.
fn run_seed(seed: u64, program: &Path, out: &Path) -> Result<bool, SoakCommandError> {
    let folder = out.join(format!("run-{seed}"));
    let report = run_soak(seed, program.to_path_buf(), folder)
        .map_err(|source| SoakCommandError::Run { seed, source })?;
    print(&report);
    if !report.findings.is_empty() {
        write_logs(&report, out)?;
    }
    Ok(report.findings.is_empty())
}

fn print(report: &SoakReport) {
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
