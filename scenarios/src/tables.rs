//! Tables over many runs: scripts by policies, and faults by pairs.

use crate::cli::Verdict;
use crate::error::CommandError;
use crate::runs::{run_all, Run};
use crate::scripts::{self, SHIPPED};
use crate::statistics::ConfidenceInterval;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::results::RunResults;
use crankmux_simulator::script::{Fault, FaultKind, Script};

/// The script on which pairs of faults are run, and for how long.
const PAIRS_SCRIPT: &str = "saturday";
const PAIRS_DURATION_S: f64 = 30.0;
/// When the first fault of a pair begins, and how long each lasts.
const FAULT_START_S: f64 = 8.0;
const FAULT_DURATION_S: f64 = 10.0;
/// The second fault of a pair begins so much later, while the first goes on.
const SECOND_FAULT_DELAY_S: f64 = 4.0;

/// The arguments of `table`.
#[derive(clap::Args)]
pub struct TableArgs {
    /// Days of each, from seed 1 on
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    #[arg(long)]
    threads: Option<usize>,
    /// Only this script
    #[arg(long)]
    only: Option<String>,
}

/// The arguments of `pairs`.
#[derive(clap::Args)]
pub struct PairsArgs {
    /// Days of each pair, from seed 1 on
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    #[arg(long)]
    threads: Option<usize>,
}

/// What the runs of one cell came to.
struct Cell {
    service: ConfidenceInterval,
    rules_broken: bool,
}

impl Cell {
    fn of(results: &[RunResults]) -> Self {
        let service: Vec<f64> = results.iter().map(|run| run.service).collect();
        Cell {
            service: ConfidenceInterval::of(&service),
            rules_broken: results.iter().flat_map(|run| run.violations).sum::<u64>() > 0,
        }
    }

    /// Marks a cell in which a rule was broken.
    fn star(&self) -> &'static str {
        if self.rules_broken {
            "*"
        } else {
            ""
        }
    }
}

/// Prints a row for each script: the service of each policy, with a star where it broke a rule, and the score of the
/// module, which is 0 for random choice and 1 for the policy that sees the true state.
///
/// # Errors
///
/// A policy that cannot be made from a script's settings.
pub fn compare_policies(arguments: &TableArgs) -> Result<Verdict, CommandError> {
    let policies = PolicyKind::ALL.map(PolicyKind::name);
    println!("| script | {} | score |", policies.join(" | "));
    println!("| --- |{}", " --- |".repeat(policies.len() + 1));
    let mut kept = true;
    for (name, _) in SHIPPED {
        if arguments.only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let cells = policy_cells(&scripts::shipped(name)?, arguments)?;
        kept &= cells
            .iter()
            .all(|(policy, cell)| *policy != PolicyKind::Dispatcher || !cell.rules_broken);
        print_policies(name, &cells);
    }
    Ok(Verdict::from_kept(kept))
}

/// Runs a script by each policy.
fn policy_cells(
    script: &Script,
    arguments: &TableArgs,
) -> Result<Vec<(PolicyKind, Cell)>, CommandError> {
    let of_policy = |policy| {
        (1..=arguments.seeds).map(move |seed| Run {
            script,
            policy,
            seed,
        })
    };
    let runs: Vec<Run> = PolicyKind::ALL.into_iter().flat_map(of_policy).collect();
    let results = run_all(&runs, arguments.threads)?;
    let cells = results.chunks(arguments.seeds as usize).map(Cell::of);
    Ok(PolicyKind::ALL.into_iter().zip(cells).collect())
}

fn print_policies(name: &str, cells: &[(PolicyKind, Cell)]) {
    let texts: Vec<String> = cells
        .iter()
        .map(|(_, cell)| {
            let ConfidenceInterval { mean, half_width } = cell.service;
            format!("{mean:.1} ± {half_width:.1}{}", cell.star())
        })
        .collect();
    let mean = |kind: PolicyKind| {
        let found = cells.iter().find(|(policy, _)| *policy == kind);
        found.map_or(0.0, |(_, cell)| cell.service.mean)
    };
    let module = mean(PolicyKind::Dispatcher);
    let random = mean(PolicyKind::Random);
    let omniscient = mean(PolicyKind::Oracle);
    println!(
        "| {name} | {} | {:.2} |",
        texts.join(" | "),
        (module - random) / (omniscient - random).max(1e-9)
    );
}

/// The faults whose pairs are run, with their names.
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

/// A script for each pair of faults, by row and then by column; on the diagonal a fault is alone.
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

/// Prints a row and a column for each fault: the service by the module, with a star where it broke a rule.
///
/// # Errors
///
/// A policy that cannot be made from the script's settings.
pub fn compare_fault_pairs(arguments: &PairsArgs) -> Result<Verdict, CommandError> {
    let faults = paired_faults();
    let scripts = pair_scripts(&scripts::shipped(PAIRS_SCRIPT)?, &faults);
    let of_script = |script| {
        (1..=arguments.seeds).map(move |seed| Run {
            script,
            policy: PolicyKind::Dispatcher,
            seed,
        })
    };
    let runs: Vec<Run> = scripts.iter().flat_map(of_script).collect();
    let results = run_all(&runs, arguments.threads)?;
    let cells: Vec<Cell> = results
        .chunks(arguments.seeds as usize)
        .map(Cell::of)
        .collect();
    print_pairs(&faults, &cells);
    let kept = cells.iter().all(|cell| !cell.rules_broken);
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
            texts.push(format!("{:.1}{}", cell.service.mean, cell.star()));
        }
        println!("| {name} | {} |", texts.join(" | "));
    }
}
