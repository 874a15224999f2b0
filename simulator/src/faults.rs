//! Which servers and nodes a fault strikes, and what the faults in force add up to.

use crate::random::Stream;
use crate::script::{Fault, FaultKind, Script};
use crate::server::{Server, Weather};

/// Whom a fault strikes.
#[derive(Clone, Debug, Default)]
pub struct Struck {
    pub servers: Vec<usize>,
    pub nodes: Vec<usize>,
    pub zone: Option<usize>,
}

/// Draws them when it begins, from a stream of the fault's own.
pub fn strike(
    script: &Script,
    index: usize,
    seed: u64,
    servers: &[Server],
    listed: &[bool],
) -> Struck {
    let fault = &script.faults[index];
    let mut rng = Stream::of(seed, &format!("fault {index}"));
    let zone = fault
        .zone
        .as_ref()
        .and_then(|name| script.zones.iter().position(|z| z == name));
    let mut part = |all: Vec<usize>| {
        // A drawn order, of which the first are taken: a larger part holds a smaller one.
        let mut drawn: Vec<(u64, usize)> = all.into_iter().map(|one| (rng.bits(), one)).collect();
        drawn.sort_unstable();
        let take = (fault.fraction * drawn.len() as f64).round() as usize;
        let mut taken: Vec<usize> = drawn.into_iter().take(take).map(|(_, one)| one).collect();
        taken.sort_unstable();
        taken
    };
    let of_kind = |s: &Server| {
        fault
            .machine_type
            .as_ref()
            .is_none_or(|kind| s.machine.name == *kind)
    };
    let at = |s: &Server| zone.is_none_or(|zone| s.zone == zone);
    let all = servers
        .iter()
        .enumerate()
        .filter(|(i, s)| s.up && listed[*i] && of_kind(s) && at(s));
    let struck = part(all.map(|(i, _)| i).collect());
    let nodes =
        (0..script.proxies).filter(|n| zone.is_none_or(|zone| n % script.zones.len() == zone));
    Struck {
        servers: struck,
        nodes: part(nodes.collect()),
        zone,
    }
}

/// What the faults in force do to one server.
pub fn weather(in_force: &[(&Fault, &Struck)], server: usize) -> Weather {
    let mut weather = Weather::default();
    let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
    for (fault, _) in in_force
        .iter()
        .filter(|(_, struck)| struck.servers.binary_search(&server).is_ok())
    {
        let strength = fault.strength;
        match fault.kind {
            FaultKind::Slow => weather.slow *= strength,
            FaultKind::FailFast => weather.fail_fast = either(weather.fail_fast, strength),
            FaultKind::Unresponsive => weather.silent = true,
            FaultKind::ResponsesLost => {
                weather.answers_lost = either(weather.answers_lost, strength)
            }
            FaultKind::ConnectionResets => weather.resets = either(weather.resets, strength),
            FaultKind::LoadReportsLate => weather.late += 1000.0 * strength,
            FaultKind::LoadReportsWrong => weather.wrong *= strength,
            FaultKind::LoadReportsMissing => weather.missing = true,
            _ => {}
        }
    }
    weather
}

/// Which zones' words reach which: `cut[from][to]`.
pub fn cuts(in_force: &[(&Fault, &Struck)], zones: usize) -> (Vec<Vec<bool>>, Vec<Vec<bool>>) {
    let (mut asks, mut answers) = (
        vec![vec![false; zones]; zones],
        vec![vec![false; zones]; zones],
    );
    for (fault, struck) in in_force {
        let Some(zone) = struck.zone else { continue };
        for other in (0..zones).filter(|other| *other != zone) {
            if fault.kind == FaultKind::ZonePartition {
                (asks[zone][other], asks[other][zone]) = (true, true);
                (answers[zone][other], answers[other][zone]) = (true, true);
            }
            if fault.kind == FaultKind::OneWayPartition {
                answers[zone][other] = true;
            }
        }
    }
    (asks, answers)
}
