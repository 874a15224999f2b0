//! The `table` and `pairs` commands: tables of scripts by policy, and of pairs of faults.

use crate::cli::Verdict;
use crate::error::CommandError;
use crate::runs::{run_all, Run};
use crate::scripts::{self, BUILT_IN};
use crate::statistics::ConfidenceInterval;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::results::RunResults;
use crankmux_simulator::script::{Fault, FaultKind, Script};

/// Base script of the pairs of faults.
const PAIRS_SCRIPT: &str = "saturday";
/// Duration of a run with a pair of faults.
const PAIRS_DURATION_S: f64 = 30.0;
/// Start of the first fault of a pair.
const FAULT_START_S: f64 = 8.0;
/// Duration of each fault.
const FAULT_DURATION_S: f64 = 10.0;
/// Delay of the second fault of a pair; the first is still active then.
const SECOND_FAULT_DELAY_S: f64 = 4.0;

/// Arguments of `table`.
#[derive(clap::Args)]
pub struct TableArgs {
    /// Number of runs per script and policy, with seeds from 1
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Number of concurrent runs [default: number of cores]
    #[arg(long)]
    threads: Option<usize>,
    /// Run only this script
    #[arg(long)]
    only: Option<String>,
}

/// Arguments of `pairs`.
#[derive(clap::Args)]
pub struct PairsArgs {
    /// Number of runs per pair, with seeds from 1
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Number of concurrent runs [default: number of cores]
    #[arg(long)]
    threads: Option<usize>,
}

/// A table cell: the results of its runs.
struct Cell {
    service: ConfidenceInterval,
    violated: bool,
}

impl Cell {
    fn from_results(results: &[RunResults]) -> Self {
        let service: Vec<f64> = results.iter().map(|run| run.service).collect();
        Cell {
            service: ConfidenceInterval::of(&service),
            violated: results.iter().flat_map(|run| run.violations).sum::<u64>() > 0,
        }
    }

    /// An asterisk if a rule was violated.
    fn violation_mark(&self) -> &'static str {
        if self.violated {
            "*"
        } else {
            ""
        }
    }
}

/// Prints a row per script with the service of each policy, marked with an asterisk if it violated a rule, and the
/// score of the dispatcher, on a scale from 0 for random choice to 1 for the oracle.
///
/// # Errors
///
/// A script is invalid, or the settings derived from it are.
pub fn compare_policies(arguments: &TableArgs) -> Result<Verdict, CommandError> {
    let policies = PolicyKind::ALL.map(PolicyKind::name);
    println!("| script | {} | score |", policies.join(" | "));
    println!("| --- |{}", " --- |".repeat(policies.len() + 1));
    let mut kept = true;
    for (name, _) in BUILT_IN {
        if arguments.only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let cells = policy_cells(&scripts::built_in(name)?, arguments)?;
        kept &= cells
            .iter()
            .all(|(policy, cell)| *policy != PolicyKind::Dispatcher || !cell.violated);
        print_policies(name, &cells);
    }
    Ok(Verdict::from_kept(kept))
}

/// Runs a script with each policy.
fn policy_cells(
    script: &Script,
    arguments: &TableArgs,
) -> Result<Vec<(PolicyKind, Cell)>, CommandError> {
    let runs_of_policy = |policy| {
        (1..=arguments.seeds).map(move |seed| Run {
            script,
            policy,
            seed,
        })
    };
    let runs: Vec<Run> = PolicyKind::ALL
        .into_iter()
        .flat_map(runs_of_policy)
        .collect();
    let results = run_all(&runs, arguments.threads)?;
    let cells = results
        .chunks(arguments.seeds as usize)
        .map(Cell::from_results);
    Ok(PolicyKind::ALL.into_iter().zip(cells).collect())
}

fn print_policies(name: &str, cells: &[(PolicyKind, Cell)]) {
    let texts: Vec<String> = cells
        .iter()
        .map(|(_, cell)| {
            let ConfidenceInterval { mean, half_width } = cell.service;
            format!("{mean:.1} ± {half_width:.1}{}", cell.violation_mark())
        })
        .collect();
    let mean = |kind: PolicyKind| {
        let found = cells.iter().find(|(policy, _)| *policy == kind);
        found.map_or(0.0, |(_, cell)| cell.service.mean)
    };
    let dispatcher = mean(PolicyKind::Dispatcher);
    let random = mean(PolicyKind::Random);
    let oracle = mean(PolicyKind::Oracle);
    println!(
        "| {name} | {} | {:.2} |",
        texts.join(" | "),
        (dispatcher - random) / (oracle - random).max(1e-9)
    );
}

/// The faults that are combined into pairs, with their names.
fn paired_faults() -> Vec<(&'static str, Fault)> {
    let fault = |kind, strength, fraction| Fault {
        kind,
        start_s: FAULT_START_S,
        duration_s: FAULT_DURATION_S,
        strength,
        zone: None,
        machine_type: None,
        fraction,
    };
    let partition = Fault {
        zone: Some("b".into()),
        ..fault(FaultKind::ZonePartition, 1.0, 1.0)
    };
    vec![
        ("slow", fault(FaultKind::Slow, 5.0, 0.25)),
        ("hang", fault(FaultKind::Hang, 1.0, 0.15)),
        ("fail-fast", fault(FaultKind::FailFast, 1.0, 0.15)),
        ("answers-lost", fault(FaultKind::ResponsesLost, 0.1, 1.0)),
        ("zone-cut", partition),
        ("release", fault(FaultKind::Release, 1.0, 0.4)),
        ("kill-nodes", fault(FaultKind::KillProxies, 1.0, 0.6)),
        ("discovery-down", fault(FaultKind::DiscoveryDown, 1.0, 1.0)),
    ]
}

/// Builds a script per pair of faults, in row-major order; the scripts on the diagonal have a single fault.
fn pair_scripts(base: &Script, faults: &[(&str, Fault)]) -> Vec<Script> {
    let mut scripts = Vec::new();
    for (row, (_, first)) in faults.iter().enumerate() {
        for (column, (_, second)) in faults.iter().enumerate().skip(row) {
            let mut pair = vec![first.clone()];
            if column != row {
                pair.push(Fault {
                    start_s: second.start_s + SECOND_FAULT_DELAY_S,
                    ..second.clone()
                });
            }
            scripts.push(Script {
                faults: pair,
                duration_s: PAIRS_DURATION_S,
                ..base.clone()
            });
        }
    }
    scripts
}

/// Prints a row and a column per fault, with the service of the dispatcher, marked with an asterisk if it violated a
/// rule.
///
/// # Errors
///
/// A script is invalid, or the settings derived from it are.
pub fn compare_fault_pairs(arguments: &PairsArgs) -> Result<Verdict, CommandError> {
    let faults = paired_faults();
    let scripts = pair_scripts(&scripts::built_in(PAIRS_SCRIPT)?, &faults);
    let runs_of_script = |script| {
        (1..=arguments.seeds).map(move |seed| Run {
            script,
            policy: PolicyKind::Dispatcher,
            seed,
        })
    };
    let runs: Vec<Run> = scripts.iter().flat_map(runs_of_script).collect();
    let results = run_all(&runs, arguments.threads)?;
    let cells: Vec<Cell> = results
        .chunks(arguments.seeds as usize)
        .map(Cell::from_results)
        .collect();
    print_pairs(&faults, &cells);
    let kept = cells.iter().all(|cell| !cell.violated);
    Ok(Verdict::from_kept(kept))
}

fn print_pairs(faults: &[(&str, Fault)], cells: &[Cell]) {
    let names: Vec<&str> = faults.iter().map(|(name, _)| *name).collect();
    println!("| first, and 4 s later | {} |", names.join(" | "));
    println!("| --- |{}", " --- |".repeat(names.len()));
    let mut cells = cells.iter();
    for (row, name) in names.iter().enumerate() {
        let mut texts = vec![String::new(); row];
        for cell in cells.by_ref().take(names.len() - row) {
            texts.push(format!("{:.1}{}", cell.service.mean, cell.violation_mark()));
        }
        println!("| {name} | {} |", texts.join(" | "));
    }
}
