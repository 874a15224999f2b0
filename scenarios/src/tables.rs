//! Tables over many plays: scripts by choosers, and faults by pairs.

use crate::rehearse::{interval, play_all, Play};
use crate::scripts::{self, Failed, SHIPPED};
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::results::RunResults;
use crankmux_simulator::script::{Fault, FaultKind, Script};

#[derive(clap::Args)]
pub struct Scripts {
    /// Days of each, from seed 1 on
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[arg(long)]
    threads: Option<usize>,
    /// Only this script
    #[arg(long)]
    only: Option<String>,
}

#[derive(clap::Args)]
pub struct Pairs {
    /// Days of each pair, from seed 1 on
    #[arg(long, default_value_t = 2)]
    seeds: u64,
    #[arg(long)]
    threads: Option<usize>,
}

fn mean(of: &[RunResults]) -> (f64, f64, u64) {
    let (mean, half) = interval(&of.iter().map(|f| f.service).collect::<Vec<_>>());
    (mean, half, of.iter().flat_map(|f| f.violations).sum())
}

/// A row a script: service of each chooser, a star where it broke a rule; the module's score between random
/// choice and the one that sees the true state.
pub fn scripts(call: &Scripts) -> Result<bool, Failed> {
    println!(
        "| script | {} | score |",
        PolicyKind::ALL.map(PolicyKind::name).join(" | ")
    );
    println!("| --- |{}", " --- |".repeat(PolicyKind::ALL.len() + 1));
    let mut kept = true;
    for (name, _) in SHIPPED
        .iter()
        .filter(|(name, _)| call.only.as_ref().is_none_or(|only| only == name))
    {
        let script = scripts::shipped(name)?;
        let play = |how| (1..=call.seeds).map(move |seed| (how, seed));
        let plays: Vec<Play> = PolicyKind::ALL
            .into_iter()
            .flat_map(play)
            .map(|(how, seed)| Play {
                script: &script,
                how,
                seed,
            })
            .collect();
        let figures = play_all(&plays, call.threads)?;
        let means: Vec<_> = figures.chunks(call.seeds as usize).map(mean).collect();
        kept &= means[0].2 == 0;
        let star = |broken: u64| if broken > 0 { "*" } else { "" };
        let cells: Vec<String> = means
            .iter()
            .map(|(m, h, b)| format!("{m:.1} ± {h:.1}{}", star(*b)))
            .collect();
        let (module, random, top) = (means[0].0, means[1].0, means[5].0);
        println!(
            "| {name} | {} | {:.2} |",
            cells.join(" | "),
            (module - random) / (top - random).max(1e-9)
        );
    }
    Ok(kept)
}

/// The eight faults whose pairs are played.
fn eight() -> Vec<(&'static str, Fault)> {
    let fault = |kind, strength, fraction| Fault {
        kind,
        start_s: 8.0,
        duration_s: 10.0,
        strength,
        zone: None,
        machine_type: None,
        fraction,
    };
    let cut = Fault {
        zone: Some("b".into()),
        ..fault(FaultKind::ZonePartition, 1.0, 1.0)
    };
    vec![
        ("slow", fault(FaultKind::Slow, 5.0, 0.25)),
        ("hang", fault(FaultKind::Hang, 1.0, 0.15)),
        ("fail-fast", fault(FaultKind::FailFast, 1.0, 0.15)),
        ("answers-lost", fault(FaultKind::ResponsesLost, 0.1, 1.0)),
        ("zone-cut", cut),
        ("release", fault(FaultKind::Release, 1.0, 0.4)),
        ("kill-nodes", fault(FaultKind::KillProxies, 1.0, 0.6)),
        ("discovery-down", fault(FaultKind::DiscoveryDown, 1.0, 1.0)),
    ]
}

/// A row and a column a fault; on the diagonal it is alone. Service by the module, a star by a broken rule.
pub fn pairs(call: &Pairs) -> Result<bool, Failed> {
    let base = scripts::shipped("saturday")?;
    let faults = eight();
    let mut worlds: Vec<Script> = Vec::new();
    for (i, (_, one)) in faults.iter().enumerate() {
        for (_, other) in &faults[i..] {
            let both = match std::ptr::eq(one, other) {
                true => vec![one.clone()],
                // The second begins while the first goes on.
                false => vec![
                    one.clone(),
                    Fault {
                        start_s: other.start_s + 4.0,
                        ..other.clone()
                    },
                ],
            };
            worlds.push(Script {
                faults: both,
                duration_s: 30.0,
                ..base.clone()
            });
        }
    }
    let plays: Vec<Play> = worlds
        .iter()
        .flat_map(|script| {
            (1..=call.seeds).map(move |seed| Play {
                script,
                how: PolicyKind::Module,
                seed,
            })
        })
        .collect();
    let figures = play_all(&plays, call.threads)?;
    let mut cells = figures.chunks(call.seeds as usize).map(mean);
    println!(
        "| first, and 4 s later | {} |",
        faults
            .iter()
            .map(|(n, _)| *n)
            .collect::<Vec<_>>()
            .join(" | ")
    );
    println!("| --- |{}", " --- |".repeat(faults.len()));
    let mut kept = true;
    for (i, (name, _)) in faults.iter().enumerate() {
        let mut row = vec![String::new(); i];
        for (mean, _, broken) in cells.by_ref().take(faults.len() - i) {
            kept &= broken == 0;
            row.push(format!("{mean:.1}{}", if broken > 0 { "*" } else { "" }));
        }
        println!("| {name} | {} |", row.join(" | "));
    }
    Ok(kept)
}
