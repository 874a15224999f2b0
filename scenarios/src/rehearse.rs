//! `rehearse`: one script, one seed or many, a table and a report.

use crate::report;
use crate::scripts::{self, Failed, SHIPPED};
use crankmux_simulator::environment;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::results::RunResults;
use crankmux_simulator::script::Script;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

#[derive(clap::Args)]
pub struct Call {
    /// A script's file, or the name of one that ships; the built-in one where none is named
    script: Option<PathBuf>,
    /// Which day of the script
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many days, from that seed on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Who picks the servers: module, random, round-robin, least-outstanding, two-choices or top
    #[arg(long, default_value = "module")]
    by: String,
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

/// One play to be done.
pub struct Play<'a> {
    pub script: &'a Script,
    pub how: PolicyKind,
    pub seed: u64,
}

/// Plays all, side by side; what comes back is in the order of the plays, whatever the threads.
pub fn play_all(plays: &[Play], threads: Option<usize>) -> Result<Vec<RunResults>, Failed> {
    let threads = threads
        .or_else(|| Some(std::thread::available_parallelism().ok()?.get()))
        .unwrap_or(1);
    let bar = ProgressBar::new(plays.len() as u64);
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos}/{len} days  {elapsed} of about {duration}")
    {
        bar.set_style(style);
    }
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, plays.len().max(1)) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::SeqCst);
                let Some(play) = plays.get(index) else { return };
                let figures = environment::run(play.script, play.how, play.seed);
                bar.inc(1);
                done.lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .push((index, figures));
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    done.sort_by_key(|(index, _)| *index);
    done.into_iter()
        .map(|(_, figures)| figures.map_err(|e| (2, e.to_string())))
        .collect()
}

/// Mean, and half of its 95% interval (Student's t, as the days are few).
pub fn interval(of: &[f64]) -> (f64, f64) {
    // Two-sided 95% quantiles for 1 to 10 degrees of freedom, from any table; beyond, the normal's.
    const T: [f64; 10] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    ];
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n.max(1.0);
    if of.len() < 2 {
        return (mean, 0.0);
    }
    let variance = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T.get(of.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

pub fn run(call: &Call) -> Result<bool, Failed> {
    if call.list {
        for (name, _) in SHIPPED {
            println!("{name:16} {}", scripts::shipped(name)?.about);
        }
        return Ok(true);
    }
    let how = PolicyKind::from_name(&call.by)
        .ok_or_else(|| (2, format!("--by {}: no such chooser", call.by)))?;
    let script = scripts::read(call.script.as_deref())?;
    let seeds = call.seed..call.seed + call.seeds.max(1);
    let plays: Vec<Play> = seeds
        .map(|seed| Play {
            script: &script,
            how,
            seed,
        })
        .collect();
    let figures = play_all(&plays, call.threads)?;
    let json = serde_json::to_string_pretty(&figures).map_err(|e| (1, e.to_string()))?;
    match call.json {
        true => println!("{json}"),
        false => {
            print!("{}", report::seconds(&figures[0]));
            for day in &figures {
                print!("{}", report::summary(day));
            }
            if figures.len() > 1 {
                let (mean, half) = interval(&figures.iter().map(|f| f.service).collect::<Vec<_>>());
                println!("service over {} days: {mean:.2} ± {half:.2}", figures.len());
            }
        }
    }
    if let Some(out) = &call.out {
        report::write(out, &script, &figures, &json)
            .map_err(|e| (1, format!("{}: {e}", out.display())))?;
    }
    let kept = figures.iter().all(|f| f.violations == [0; 5]);
    for life in figures.iter().flat_map(|f| &f.violation_reports).take(5) {
        eprintln!("broken: {life}");
    }
    Ok(kept)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crankmux_simulator::script::Load;

    /// What CI plays in virtual time: three scripts that ship, short and with little load.
    #[test]
    fn the_module_keeps_the_rules_under_three_scripts_that_ship() {
        for (name, worst) in [
            ("release", 60.0),
            ("three-troubles", 60.0),
            ("mass-restart", 60.0),
        ] {
            let script = scripts::shipped(name).expect("it ships");
            let load = Load {
                capacity_fraction: Some(0.15),
                ..script.load.clone()
            };
            let script = Script {
                duration_s: 22.0,
                load,
                ..script
            };
            let play = Play {
                script: &script,
                how: PolicyKind::Module,
                seed: 2,
            };
            let figures = play_all(&[play], Some(1)).expect("a chooser").remove(0);
            assert_eq!(
                figures.violations,
                [0; 5],
                "{name}: {:?}",
                figures.violation_reports.first()
            );
            assert!(
                figures.totals.calls > 2000 && figures.service > worst,
                "{name}: {}",
                figures.service
            );
        }
    }

    #[test]
    fn an_interval_holds_what_a_table_says() {
        let (mean, half) = interval(&[1.0, 2.0, 3.0]);
        assert!((mean - 2.0).abs() < 1e-12 && (half - 4.303 / 3.0_f64.sqrt()).abs() < 1e-9);
        assert_eq!(interval(&[7.0]), (7.0, 0.0));
    }

    #[test]
    fn the_same_seed_gives_the_same_bytes_on_any_number_of_threads() {
        let script = scripts::shipped("three-troubles").expect("it ships");
        let load = Load {
            capacity_fraction: Some(0.08),
            ..script.load.clone()
        };
        let script = Script {
            duration_s: 16.0,
            proxies: 6,
            load,
            ..script
        };
        let plays: Vec<Play> = (1..4)
            .map(|seed| Play {
                script: &script,
                how: PolicyKind::Module,
                seed,
            })
            .collect();
        let text =
            |threads| serde_json::to_string(&play_all(&plays, Some(threads)).unwrap()).unwrap();
        let (one, again, three) = (text(1), text(1), text(3));
        assert!(one == again && one == three, "figures differ between runs");
    }
}
