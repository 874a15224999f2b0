//! `fleet`: a script over many processes of the node, with faults between them.

use crate::scripts::{self, Failed};
use crankmux_fault_injection::{play, Play, Report, Start, Times};
use std::path::{Path, PathBuf};

macro_rules! ship {
    ($($name:literal),* $(,)?) => { &[$(($name, include_str!(concat!("../scripts/fleet/", $name, ".toml")))),*] };
}

/// Scripts that ship; the first is played where none is named.
const SHIPPED: &[(&str, &str)] =
    ship!["kills", "lossy", "gone", "doubled", "storm", "five", "leavers"];
const WORLDS: [(&str, &str); 2] = [
    ("fleet-world", include_str!("../scripts/fleet-world.toml")),
    (
        "fleet-leavers",
        include_str!("../scripts/fleet-leavers.toml"),
    ),
];

#[derive(clap::Args)]
pub struct Call {
    /// A script's file, or the name of one that ships
    script: Option<PathBuf>,
    /// So many processes, over the script's
    #[arg(long)]
    processes: Option<usize>,
    /// So long, over the script's
    #[arg(long)]
    seconds: Option<f64>,
    /// Ops a second from all clients, over the script's
    #[arg(long)]
    rate: Option<f64>,
    /// What the settings tell of the number of nodes
    #[arg(long)]
    told: Option<usize>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Without a charter: nodes that do not know each other
    #[arg(long)]
    strangers: bool,
    /// Where figures.json goes, and the nodes' files while it runs
    #[arg(long, default_value = "fleet-out")]
    out: PathBuf,
    /// The node's program; else the one beside this
    #[arg(long)]
    program: Option<PathBuf>,
}

fn read(named: Option<&Path>) -> Result<Play, Failed> {
    let name = named.map_or(SHIPPED[0].0.into(), |path| path.to_string_lossy());
    let shipped = SHIPPED
        .iter()
        .find(|(shipped, _)| *shipped == name)
        .map(|(_, text)| text.to_string());
    let text = match shipped {
        Some(text) => text,
        None => std::fs::read_to_string(&*name).map_err(|e| (2, format!("{name}: {e}")))?,
    };
    Play::read(&text).map_err(|faulty| (2, format!("{name}: {faulty}")))
}

fn world(name: &str) -> Result<crankmux_simulator::script::Script, Failed> {
    if let Some((_, text)) = WORLDS.iter().find(|(world, _)| *world == name) {
        return crankmux_simulator::script::Script::read(text).map_err(|e| (2, e.to_string()));
    }
    Ok(scripts::read(Some(Path::new(name)))?)
}

/// Whether all rules were kept.
pub fn run(call: &Call) -> Result<bool, Failed> {
    let mut script = read(call.script.as_deref())?;
    script.processes = call.processes.unwrap_or(script.processes);
    script.seconds = call.seconds.unwrap_or(script.seconds);
    script.rate = call.rate.or(script.rate);
    // Those that a smaller fleet does not have are struck by nothing.
    script
        .faults
        .iter_mut()
        .for_each(|fault| fault.which.retain(|node| *node < script.processes));
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("crankmux"));
    let program = call
        .program
        .clone()
        .or_else(beside)
        .unwrap_or_else(|| "crankmux".into());
    if !program.exists() {
        return Err((
            2,
            format!(
                "{}: no program there; cargo build --release makes it",
                program.display()
            ),
        ));
    }
    let start = Start {
        fleet: !call.strangers,
        told: call.told,
        seed: call.seed,
        ..Start::new(program, call.out.join("run"))
    };
    let report = play(&script, world(&script.world)?, start).map_err(|e| (1, e))?;
    std::fs::create_dir_all(&call.out).map_err(|e| (1, e.to_string()))?;
    let text = serde_json::to_string_pretty(&report).map_err(|e| (1, e.to_string()))?;
    std::fs::write(call.out.join("figures.json"), text).map_err(|e| (1, e.to_string()))?;
    tell(&report);
    Ok(report.rules_broken == [0; 5])
}

fn tell(report: &Report) {
    let times = |t: &Times| {
        format!(
            "{} of them, median {:.0} ms, p99 {:.0} ms, most {:.0} ms, never {}",
            t.count, t.median, t.p99, t.most, t.never
        )
    };
    let known = if report.fleet {
        "know each other"
    } else {
        "do not know each other"
    };
    println!(
        "{}: {} processes that {known}, told {}, seed {}",
        report.name, report.processes, report.told, report.seed
    );
    if let Some(joined) = report.joined_ms {
        println!("  all knew all after        {joined:.0} ms");
        println!("  kills and standstills     {}", times(&report.kill_known));
        println!("  cuts healed               {}", times(&report.healed));
        println!("  nodes assumed at the end  {:.1}", report.assumed_at_end);
        println!("  live ones taken for failed {}", report.false_alarms);
    }
    if let Some((node, seen)) = &report.seen_at_end {
        let seen: Vec<String> = seen
            .iter()
            .map(|(other, state)| format!("{other} {state}"))
            .collect();
        println!("  node {node} sees at the end  {}", seen.join(", "));
    }
    let all = (report.service.taken - report.service.gone).max(1) as f64;
    println!(
        "  ops {}: acked in time {:.2}%, acked {:.2}%, nacked {}, dead-lettered {}, gone with their node {}",
        report.service.taken,
        100.0 * report.service.in_time as f64 / all,
        100.0 * report.service.acked as f64 / all,
        report.service.nacked,
        report.service.dead_lettered,
        report.service.gone
    );
    println!(
        "  latency median {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        report.latency_ms.median, report.latency_ms.p99, report.latency_p999_ms
    );
    println!(
        "  a node: {:.0} bytes of datagrams a second, {:.1} ms of a processor a second",
        report.datagram_bytes_a_second_a_node, report.cpu_ms_a_second_a_node
    );
    println!(
        "  {} clients left while they waited; pushes of theirs under 10, 30, 100 ms later and over: {:?}",
        report.clients_left, report.pushes_after_leaves
    );
    println!("  rules broken {:?}", report.rules_broken);
    report
        .broken
        .iter()
        .take(5)
        .for_each(|broken| println!("    {broken}"));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_script_that_ships_is_whole_and_names_a_world() {
        for (name, text) in SHIPPED {
            let play = Play::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(play.name, *name);
            assert!(
                world(&play.world).is_ok() && !play.about.is_empty() && !play.faults.is_empty(),
                "{name}"
            );
        }
        assert!(read(Some(Path::new("unheard-of"))).is_err_and(|(code, _)| code == 2));
    }
}
