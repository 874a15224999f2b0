//! The `rehearse` command: runs one script with one or more seeds and writes a report.

use crate::cli::Verdict;
use crate::error::CommandError;
use crate::report;
use crate::runs::{run_all, Run};
use crate::scripts::{self, BUILT_IN};
use crate::statistics::ConfidenceInterval;
use crankmux_simulator::invariants::RULES;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::results::RunResults;
use std::path::PathBuf;

/// Maximum number of violations that are printed with the history of their request.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Arguments of `rehearse`.
#[derive(clap::Args)]
pub struct RehearseArgs {
    /// Path of a script, or the name of a built-in one [default: saturday]
    script: Option<PathBuf>,
    /// Seed of the first run
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, with consecutive seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Load balancing policy: module, random, round-robin, least-outstanding, two-choices or top
    #[arg(long = "by", value_name = "BY", default_value = "module")]
    policy: String,
    /// Directory for report.md, its charts and figures.json
    #[arg(long)]
    out: Option<PathBuf>,
    /// Print figures.json instead of the table
    #[arg(long)]
    json: bool,
    /// List the built-in scripts
    #[arg(long)]
    list: bool,
    /// Number of concurrent runs [default: number of cores]
    #[arg(long)]
    threads: Option<usize>,
}

/// Runs the command.
///
/// # Errors
///
/// The script or an argument is invalid, or the report cannot be written.
pub fn run(arguments: &RehearseArgs) -> Result<Verdict, CommandError> {
    if arguments.list {
        list_scripts()?;
        return Ok(Verdict::RulesKept);
    }
    let name = &arguments.policy;
    let policy = PolicyKind::from_name(name)
        .ok_or_else(|| CommandError::UnknownPolicy { name: name.clone() })?;
    let script = scripts::load(arguments.script.as_deref())?;
    let seeds = arguments.seed..arguments.seed + arguments.seeds.max(1);
    let runs: Vec<Run> = seeds
        .map(|seed| Run {
            script: &script,
            policy,
            seed,
        })
        .collect();
    let results = run_all(&runs, arguments.threads)?;
    let json = serde_json::to_string_pretty(&results)?;
    if arguments.json {
        println!("{json}");
    } else {
        print_results(&results);
    }
    if let Some(directory) = &arguments.out {
        report::write(directory, &script, &results, &json).map_err(|source| {
            CommandError::UnwritableReport {
                directory: directory.clone(),
                source,
            }
        })?;
    }
    print_violations(&results);
    let kept = results.iter().all(|run| run.violations == [0; RULES]);
    Ok(Verdict::from_kept(kept))
}

fn list_scripts() -> Result<(), CommandError> {
    for (name, _) in BUILT_IN {
        println!("{name:16} {}", scripts::built_in(name)?.about);
    }
    Ok(())
}

/// Prints the first run by second, and a summary of each run.
fn print_results(results: &[RunResults]) {
    print!("{}", report::seconds_table(&results[0]));
    for run in results {
        print!("{}", report::summary(run));
    }
    if results.len() > 1 {
        let service: Vec<f64> = results.iter().map(|run| run.service).collect();
        let ConfidenceInterval { mean, half_width } = ConfidenceInterval::of(&service);
        println!(
            "service over {} runs: {mean:.2} ± {half_width:.2}",
            results.len()
        );
    }
}

fn print_violations(results: &[RunResults]) {
    let reports = results.iter().flat_map(|run| &run.violation_reports);
    for violation in reports.take(MAX_PRINTED_VIOLATIONS) {
        eprintln!("rule violated: {violation}");
    }
}
