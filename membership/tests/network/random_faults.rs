//! Randomised fault injection: a seed determines a sequence of overlapping faults.

use crate::simulation::Simulation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const PARTITIONS: [fn(usize, usize) -> bool; 5] = [
    |_, _| false,
    |from, to| from % 2 != to % 2,
    |from, to| from % 3 != to % 3,
    |from, to| from < 3 && to >= 3,
    |from, _| from == 1,
];
const FAULTS_PER_RUN: usize = 12;

/// Runs a cluster under random faults, clears them, and returns it once it has had time to recover.
pub(crate) fn run_with_random_faults(seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut net = Simulation::start(7, seed);
    net.configured_size = [5.0, 7.0, 10.0][seed as usize % 3];
    net.run_for(rng.random::<f64>() * 8000.0);
    let mut incarnations = BTreeMap::new();
    for _ in 0..FAULTS_PER_RUN {
        inject_fault(&mut net, &mut rng, &mut incarnations);
        net.run_for(rng.random::<f64>() * 6000.0);
    }
    net.is_partitioned = |_, _| false;
    net.loss_probability = 0.0;
    net.delay_ms = 2.0;
    // Members that started while all seeds were down discover nobody until a seed is running.
    if !(0..3).any(|seed| net.members.contains_key(&seed)) {
        let incarnation = incarnations.get(&0).copied().unwrap_or(1) + 1;
        net.start_member(0, incarnation);
    }
    net.run_for(25_000.0);
    net
}

fn inject_fault(
    net: &mut Simulation,
    rng: &mut ChaCha8Rng,
    incarnations: &mut BTreeMap<usize, u64>,
) {
    let member = rng.random_range(0..10);
    let is_running = net.members.contains_key(&member);
    match rng.random_range(0..7) {
        0 => net.is_partitioned = PARTITIONS[rng.random_range(0..PARTITIONS.len())],
        1 => net.loss_probability = rng.random::<f64>() * 0.4,
        2 => net.delay_ms = 1.0 + rng.random::<f64>() * 150.0,
        3 => drop(net.members.remove(&member)),
        4 if is_running => {
            let until_ms = net.now_ms + rng.random::<f64>() * 12_000.0;
            net.paused_until_ms.insert(member, until_ms);
        }
        5 if is_running && !net.paused_until_ms.contains_key(&member) => net.leave(member),
        _ if !is_running => {
            let incarnation = incarnations.entry(member).or_insert(1);
            *incarnation += 1;
            net.paused_until_ms.remove(&member);
            net.start_member(member, *incarnation);
        }
        _ => {}
    }
}
