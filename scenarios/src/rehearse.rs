//! `rehearse`: one script with one seed or several, a table and a report.

use crate::cli::Verdict;
use crate::error::CommandError;
use crate::report;
use crate::runs::{run_all, Run};
use crate::scripts::{self, SHIPPED};
use crate::statistics::ConfidenceInterval;
use crankmux_simulator::invariants::RULES;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::results::RunResults;
use std::path::PathBuf;

/// Violations that are printed with the history of their request, at most.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// The arguments of `rehearse`.
#[derive(clap::Args)]
pub struct RehearseArgs {
    /// A script's file, or the name of one that ships; the built-in one where none is named
    script: Option<PathBuf>,
    /// Which day of the script
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many days, from that seed on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Who picks the servers: module, random, round-robin, least-outstanding, two-choices or top
    #[arg(long = "by", value_name = "BY", default_value = "module")]
    policy: String,
    /// Where report.md, its charts and figures.json go
    #[arg(long)]
    out: Option<PathBuf>,
    /// Prints figures.json instead of the table
    #[arg(long)]
    json: bool,
    /// Names the scripts that ship
    #[arg(long)]
    list: bool,
    /// Days played side by side; as many as there are cores where it is not given
    #[arg(long)]
    threads: Option<usize>,
}

/// Runs the command.
///
/// # Errors
///
/// An invalid script or argument, or a report that cannot be written.
pub fn run(arguments: &RehearseArgs) -> Result<Verdict, CommandError> {
    if arguments.list {
        list_scripts()?;
        return Ok(Verdict::RulesKept);
    }
    let name = &arguments.policy;
    let policy = PolicyKind::from_name(name)
        .ok_or_else(|| CommandError::UnknownPolicy { name: name.clone() })?;
    let script = scripts::read(arguments.script.as_deref())?;
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
    if let Some(folder) = &arguments.out {
        report::write(folder, &script, &results, &json).map_err(|source| {
            CommandError::UnwritableReport {
                folder: folder.clone(),
                source,
            }
        })?;
    }
    print_violations(&results);
    let kept = results.iter().all(|run| run.violations == [0; RULES]);
    Ok(Verdict::from_kept(kept))
}

fn list_scripts() -> Result<(), CommandError> {
    for (name, _) in SHIPPED {
        println!("{name:16} {}", scripts::shipped(name)?.about);
    }
    Ok(())
}

/// Prints the seconds of the first run and a summary of each.
fn print_results(results: &[RunResults]) {
    print!("{}", report::seconds_table(&results[0]));
    for run in results {
        print!("{}", report::summary(run));
    }
    if results.len() > 1 {
        let service: Vec<f64> = results.iter().map(|run| run.service).collect();
        let ConfidenceInterval { mean, half_width } = ConfidenceInterval::of(&service);
        println!(
            "service over {} days: {mean:.2} ± {half_width:.2}",
            results.len()
        );
    }
}

fn print_violations(results: &[RunResults]) {
    let reports = results.iter().flat_map(|run| &run.violation_reports);
    for violation in reports.take(MAX_PRINTED_VIOLATIONS) {
        eprintln!("broken: {violation}");
    }
}
