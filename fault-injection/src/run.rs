//! Plays a script on a rig, and computes from views and from the judge's record what it came to.

use crate::harness::{Harness, Service};
use crate::relay;
use crate::script::{Fault, Kind, Play, Way};
use crate::Start;
use crankmux_simulator::script::Script;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// PolicyKind long all may take to know each other at the start.
const JOINED: f64 = 60_000.0;
/// PolicyKind long views are looked at after a heal.
const HEALED: f64 = 30_000.0;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub count: usize,
    pub median: f64,
    pub p99: f64,
    pub most: f64,
    /// Those that never came.
    pub never: usize,
}

impl Times {
    fn of(times: &[Option<f64>]) -> Self {
        let mut come: Vec<f64> = times.iter().flatten().copied().collect();
        come.sort_by(f64::total_cmp);
        let at =
            |part: f64| come.get(((come.len() as f64 * part) as usize).min(come.len().max(1) - 1));
        Times {
            count: times.len(),
            median: at(0.5).copied().unwrap_or(0.0),
            p99: at(0.99).copied().unwrap_or(0.0),
            most: come.last().copied().unwrap_or(0.0),
            never: times.len() - come.len(),
        }
    }
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub name: String,
    pub processes: usize,
    pub seconds: f64,
    pub seed: u64,
    pub fleet: bool,
    pub told: usize,
    /// From the start of all processes until all knew all.
    pub joined_ms: Option<f64>,
    /// From each kill until each that lived saw it.
    pub kill_known: Times,
    /// From the end of each cut until all views were equal.
    pub healed: Times,
    /// Pairs of nodes of which one was taken for failed though it ran and nothing cut it off.
    pub false_alarms: usize,
    #[serde(flatten)]
    pub service: Service,
    /// In the order of the rules' numbers.
    pub rules_broken: [u64; 5],
    pub broken: Vec<String>,
    /// Clients that left while their op waited, and pushes of theirs that much later: under 10, 30 and 100 ms,
    /// and over.
    pub clients_left: u64,
    pub pushes_after_leaves: [usize; 4],
    /// By those that ran to the end, in the mean.
    pub assumed_at_end: f64,
    /// What the first that ran to the end made of the others.
    pub seen_at_end: Option<(usize, BTreeMap<usize, String>)>,
    pub latency_ms: Times,
    pub latency_p999_ms: f64,
    pub datagram_bytes_a_second_a_node: f64,
    pub cpu_ms_a_second_a_node: f64,
    /// Parts of ops acked within the target latency, by second.
    pub by_second: Vec<f64>,
}

/// The faults in force on the ways between nodes.
#[derive(Default)]
struct Net {
    in_force: Vec<(usize, Fault, Vec<usize>)>,
    healing: Vec<f64>,
    /// From when to when anything cut nodes off, for what is a false alarm.
    cuts: Vec<(f64, f64, Vec<usize>)>,
}

/// Sets every way by all faults in force together.
fn lay(rig: &mut Harness, net: &Net) {
    let nodes = rig.nodes.len();
    for from in 0..nodes {
        for to in (0..nodes).filter(|to| *to != from) {
            let mut way = relay::Way::default();
            for (_, fault, struck) in &net.in_force {
                let place = |node: usize| struck.iter().position(|s| *s == node);
                let hit = match fault.way {
                    Way::Both => place(from).is_some() || place(to).is_some(),
                    Way::Out => place(from).is_some(),
                    Way::In => place(to).is_some(),
                };
                let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
                match fault.kind {
                    Kind::Loss if hit => way.loss = either(way.loss, fault.strength),
                    Kind::Twice if hit => way.twice = either(way.twice, fault.strength),
                    Kind::Garble if hit => way.garbled = either(way.garbled, fault.strength),
                    Kind::Delay if hit => way.delay += fault.strength,
                    Kind::Cut => way.cut |= hit,
                    Kind::Split => {
                        let group = |node| place(node).map(|place| place % fault.strength as usize);
                        way.cut |= group(from) != group(to);
                    }
                    _ => {}
                }
            }
            rig.relays.set(from, to, way);
        }
    }
}

/// Whom a fault strikes: those named, or a part by chance; a smaller part is within a larger one.
fn struck(fault: &Fault, all: usize, chance: &mut ChaCha8Rng) -> Vec<usize> {
    if !fault.which.is_empty() {
        return fault
            .which
            .iter()
            .copied()
            .filter(|one| *one < all)
            .collect();
    }
    let mut drawn: Vec<(u64, usize)> = (0..all).map(|one| (chance.random(), one)).collect();
    drawn.sort_unstable();
    let part = if fault.kind == Kind::Split {
        1.0
    } else {
        fault.part
    };
    let take = (part * all as f64).round() as usize;
    let mut taken: Vec<usize> = drawn.into_iter().take(take).map(|(_, one)| one).collect();
    if fault.kind != Kind::Split {
        taken.sort_unstable();
    }
    taken
}

struct Playing {
    net: Net,
    killed: Vec<(f64, usize)>,
    idle: Vec<(f64, f64, usize)>,
}

fn begin(
    rig: &mut Harness,
    playing: &Rc<RefCell<Playing>>,
    index: usize,
    fault: &Fault,
    who: &[usize],
) {
    let now = rig.now();
    let lasts = fault.lasts.map_or(f64::INFINITY, |lasts| lasts * 1000.0);
    let nets = [
        Kind::Loss,
        Kind::Twice,
        Kind::Garble,
        Kind::Delay,
        Kind::Cut,
        Kind::Split,
    ];
    let mut play = playing.borrow_mut();
    if nets.contains(&fault.kind) {
        play.net.in_force.push((index, fault.clone(), who.to_vec()));
        lay(rig, &play.net);
        if matches!(fault.kind, Kind::Cut | Kind::Split) {
            play.net.cuts.push((now, now + lasts, who.to_vec()));
        }
    }
    for one in who.iter().copied() {
        match fault.kind {
            Kind::Kill | Kind::KillEmpty => {
                play.killed.push((now, one));
                play.idle.push((now, now + lasts, one));
                rig.kill(one);
            }
            Kind::Stop => {
                play.killed.push((now, one));
                play.idle.push((now, now + lasts, one));
                rig.stop(one);
            }
            Kind::Terminate => {
                play.idle.push((now, now + lasts, one));
                rig.terminate(one);
            }
            Kind::Join => rig.start(one, true),
            Kind::Repeat => drop(rig.relays.repeat(now, one, fault.strength * 1000.0)),
            Kind::Blind => rig.blind[one] = true,
            Kind::Drain => rig.drain(one),
            Kind::Renew => rig.restart_server(one),
            Kind::Flood => rig.flood(one, fault.strength, now + lasts),
            _ => {}
        }
    }
}

fn end(
    rig: &mut Harness,
    playing: &Rc<RefCell<Playing>>,
    index: usize,
    fault: &Fault,
    who: &[usize],
) {
    let mut play = playing.borrow_mut();
    play.net.in_force.retain(|(at, ..)| *at != index);
    lay(rig, &play.net);
    if matches!(fault.kind, Kind::Cut | Kind::Split) {
        let now = rig.now();
        play.net.healing.push(now);
    }
    for one in who.iter().copied() {
        match fault.kind {
            Kind::Kill => rig.start(one, true),
            Kind::KillEmpty => rig.start(one, false),
            Kind::Stop => rig.go_on(one),
            Kind::Terminate => {
                // It may be at its last answers still.
                rig.kill(one);
                rig.start(one, true);
            }
            Kind::Blind => rig.blind[one] = false,
            Kind::Drain => rig.restart_server(one),
            _ => {}
        }
    }
}

/// Plays a script in its world. Errors: processes that could not be started or never came to know each other.
pub fn play(play: &Play, world: Script, start: Start) -> Result<Report, String> {
    let (seed, fleet) = (start.seed, start.fleet);
    let mut world = Script {
        proxies: play.processes,
        ..world
    };
    world.load.rate = play.rate.or(world.load.rate);
    let told = start.told.or(play.told).unwrap_or(play.processes);
    let mut rig = Harness::new(
        world,
        Start {
            told: Some(told),
            ..start
        },
    );
    let late: Vec<usize> = (play.faults.iter().filter(|f| f.kind == Kind::Join))
        .flat_map(|f| f.which.clone())
        .collect();
    let first: Vec<usize> = (0..play.processes)
        .filter(|node| !late.contains(node))
        .collect();
    first.iter().for_each(|node| rig.start(*node, false));
    let came = |rig: &mut Harness| {
        if fleet {
            rig.agree(&first)
        } else {
            first.iter().all(|n| rig.up(*n))
        }
    };
    if !rig.until(JOINED, came) {
        let log = rig.nodes[0].log();
        return Err(format!(
            "they did not come to know each other; the first one's log:\n{log}"
        ));
    }
    let joined = rig.now();
    rig.open();
    let playing = Rc::new(RefCell::new(Playing {
        net: Net::default(),
        killed: Vec::new(),
        idle: Vec::new(),
    }));
    for (index, fault) in play.faults.iter().enumerate() {
        let mut chance =
            ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
        let all = if matches!(fault.kind, Kind::Drain | Kind::Renew) {
            rig.servers()
        } else {
            play.processes
        };
        let (who, fault) = (struck(fault, all, &mut chance), fault.clone());
        let (starts, ends) = (playing.clone(), playing.clone());
        let (also, to) = (fault.clone(), who.clone());
        rig.later(fault.at * 1000.0, move |rig| {
            begin(rig, &starts, index, &also, &to)
        });
        if let Some(lasts) = fault.lasts {
            rig.later((fault.at + lasts) * 1000.0, move |rig| {
                end(rig, &ends, index, &fault, &who)
            });
        }
    }
    let (bytes, cpu, at) = (rig.relays.bytes, rig.cpu(), rig.now());
    rig.pass(play.seconds * 1000.0);
    let lasted = (rig.now() - at) / 1000.0;
    let nodes = play.processes as f64;
    let bytes = (rig.relays.bytes - bytes) as f64 / lasted / nodes;
    let cpu = (rig.cpu() - cpu) / lasted / nodes;
    rig.shut();
    rig.pass(2500.0);
    let playing = playing.borrow();
    Ok(report(
        &rig,
        play,
        &playing,
        (seed, fleet, told),
        joined,
        (bytes, cpu),
    ))
}

fn report(
    rig: &Harness,
    play: &Play,
    playing: &Playing,
    (seed, fleet, told): (u64, bool, usize),
    joined: f64,
    (bytes, cpu): (f64, f64),
) -> Report {
    let all: Vec<usize> = (0..play.processes).collect();
    let runs = |node: usize, from: f64, to: f64| {
        !playing
            .idle
            .iter()
            .any(|(at, until, idle)| *idle == node && *at < to && from < *until)
    };
    let mut known = Vec::new();
    for (at, dead) in &playing.killed {
        // Those that ran on for long enough to see it, while it was gone for long enough to be seen.
        let lasted = playing
            .idle
            .iter()
            .find(|(from, _, node)| from == at && node == dead);
        if fleet && lasted.is_none_or(|(from, until, _)| until - from > 4000.0) {
            let live: Vec<usize> = all
                .iter()
                .copied()
                .filter(|n| n != dead && runs(*n, *at, at + 4000.0))
                .collect();
            known.extend(
                rig.saw(&live, *dead, "failed", *at)
                    .iter()
                    .map(|seen| seen.map(|seen| seen - at)),
            );
        }
    }
    let healed: Vec<Option<f64>> = (playing.net.healing.iter())
        .map(|at| rig.equal_after(*at, *at + HEALED).map(|equal| equal - at))
        .collect();
    let cut = |a: usize, b: usize, at: f64| {
        let hit = |(from, until, who): &(f64, f64, Vec<usize>)| {
            // A cut's word is gone round for some seconds after it is over.
            *from <= at && at < *until + 10_000.0 && (who.contains(&a) || who.contains(&b))
        };
        playing.net.cuts.iter().any(hit)
    };
    let mut alarms = std::collections::BTreeSet::new();
    for view in &rig.views {
        for (other, _) in view.states.iter().filter(|(_, state)| *state == "failed") {
            if runs(*other, view.at - 10_000.0, view.at)
                && !cut(view.node, *other, view.at)
                && rig.started(*other) < view.at - 10_000.0
            {
                alarms.insert((view.node, *other));
            }
        }
    }
    let seen = all
        .iter()
        .find_map(|node| Some((*node, rig.view(*node)?.states.clone())));
    let last: Vec<f64> = all
        .iter()
        .filter_map(|node| rig.view(*node))
        .filter(|v| rig.now() - v.at < 5000.0)
        .map(|v| v.assumed)
        .collect();
    let mut latencies: Vec<f64> = rig.latencies().to_vec();
    latencies.sort_by(f64::total_cmp);
    let p999 = latencies
        .get((latencies.len() as f64 * 0.999) as usize)
        .copied()
        .unwrap_or(0.0);
    let took: Vec<Option<f64>> = latencies.into_iter().map(Some).collect();
    let clients_left = rig.judge.clients_left();
    let after = rig.judge.attempt_delays_after_departure_ms();
    let within = |from: f64, to: f64| {
        after
            .iter()
            .filter(|since| (from..to).contains(*since))
            .count()
    };
    let pushes_after_leaves = [
        within(0.0, 10.0),
        within(10.0, 30.0),
        within(30.0, 100.0),
        within(100.0, f64::INFINITY),
    ];
    Report {
        name: play.name.clone(),
        processes: play.processes,
        seconds: play.seconds,
        seed,
        fleet,
        told,
        joined_ms: fleet.then_some(joined),
        kill_known: Times::of(&known),
        healed: Times::of(&healed),
        false_alarms: alarms.len(),
        service: rig.service,
        rules_broken: rig.judge.counts(),
        broken: rig.broken(),
        clients_left,
        pushes_after_leaves,
        assumed_at_end: last.iter().sum::<f64>() / last.len().max(1) as f64,
        seen_at_end: seen,
        latency_ms: Times::of(&took),
        latency_p999_ms: p999,
        datagram_bytes_a_second_a_node: bytes,
        cpu_ms_a_second_a_node: cpu,
        by_second: rig.by_second(),
    }
}
