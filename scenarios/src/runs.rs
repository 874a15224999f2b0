//! Parallel simulation runs.

use crankmux_simulator::environment;
use crankmux_simulator::policies::{PolicyError, PolicyKind};
use crankmux_simulator::results::RunResults;
use crankmux_simulator::script::Script;
use indicatif::{ProgressBar, ProgressStyle};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Template of the progress bar.
const PROGRESS_TEMPLATE: &str = "{bar:40} {pos}/{len} runs  {elapsed} of about {duration}";

/// A simulation run.
#[derive(Clone, Copy)]
pub struct Run<'a> {
    /// Script to run.
    pub script: &'a Script,
    /// Policy of the proxies.
    pub policy: PolicyKind,
    /// Seed of the random streams.
    pub seed: u64,
}

/// Executes all runs on the given number of threads, by default one per core. Results are in the order of the runs.
///
/// # Errors
///
/// The settings derived from a script are invalid.
pub fn run_all(runs: &[Run], threads: Option<usize>) -> Result<Vec<RunResults>, PolicyError> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = threads.unwrap_or(cores).clamp(1, runs.len().max(1));
    let progress = progress_bar(runs.len());
    let next_run = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next_run.fetch_add(1, Ordering::SeqCst);
                let Some(run) = runs.get(index) else { return };
                let results = environment::run(run.script, run.policy, run.seed);
                progress.inc(1);
                let mut finished = finished.lock().unwrap_or_else(PoisonError::into_inner);
                finished.push((index, results));
            });
        }
    });
    progress.finish_and_clear();
    let mut finished = finished
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    finished.sort_by_key(|(index, _)| *index);
    finished.into_iter().map(|(_, results)| results).collect()
}

fn progress_bar(runs: usize) -> ProgressBar {
    let bar = ProgressBar::new(runs as u64);
    if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        bar.set_style(style);
    }
    bar
}
