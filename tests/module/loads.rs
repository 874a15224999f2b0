//! What reports, answers held for readers and keys make of the draw.

use crate::help::{default_settings, node, Play, TTL};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, LoadReport};
use std::collections::BTreeMap;

const ACK: Option<AttemptOutcome> = Some(AttemptOutcome::Succeeded);

fn with_key_affinity(settings: Settings) -> Settings {
    Settings {
        key_affinity: true,
        ..settings
    }
}

/// An op each 25 ms, acked after 100 with so busy a report; how many each server got.
fn busy(
    play: &mut Play,
    ops: usize,
    report: impl Fn(usize) -> Option<f64>,
) -> BTreeMap<usize, usize> {
    let from = play.model.ops.len();
    for n in 0..ops {
        play.op(0);
        play.pass(25.0);
        let sent = |(op, push): &(usize, usize)| play.model.ops[*op].pushes[*push].at;
        let due: Vec<_> = play
            .out()
            .into_iter()
            .filter(|p| play.model.now - sent(p) >= 100.0)
            .collect();
        for (op, push) in due {
            // A little noise, or the report would look like the last one.
            let told = report(play.model.ops[op].pushes[push].server);
            let busy = told.map(|busy| busy + (n % 5) as f64 / 1000.0);
            play.end_with(
                op,
                push,
                AttemptOutcome::Succeeded,
                LoadReport {
                    cpu_utilization: busy,
                    ..LoadReport::default()
                },
            );
        }
    }
    let mut counts = BTreeMap::new();
    for push in play.model.ops[from..].iter().flat_map(|o| &o.pushes) {
        *counts.entry(push.server).or_default() += 1;
    }
    counts
}

#[test]
fn use_of_the_cores_alone_tells_what_is_held() {
    let told = |report: fn(usize) -> Option<f64>| {
        let mut play = Play::with(node(0, 3), 4);
        busy(&mut play, 400, report);
        let counts = busy(&mut play, 400, report);
        counts.get(&0).copied().unwrap_or(0)
    };
    let (full, none) = (
        told(|s| Some(if s == 0 { 0.99 } else { 0.1 })),
        told(|_| None),
    );
    assert!(
        full * 3 < none * 2,
        "{full} of 400 to the busy one, {none} where none tells"
    );
}

#[test]
fn own_pushes_of_one_of_many_nodes_fill_no_server_that_tells_otherwise() {
    // One push out of a node of thirty before four servers looks like six of a limit of five.
    let held = |report: Option<f64>| {
        let mut play = Play::with(node(0, 30), 4);
        busy(&mut play, 100, |_| report);
        while !play.out().is_empty() {
            play.settle(|_| ACK);
        }
        for _ in 0..20 {
            play.op(0);
        }
        play.out().len()
    };
    let (idle, silent, full) = (held(Some(0.1)), held(None), held(Some(0.99)));
    assert!(
        idle > silent && full <= silent,
        "{idle} out where all tell that they are idle, {silent}, {full}"
    );
}

/// A node that can hold a few answers, asks servers for their load, and loses all by a late answer.
fn few() -> Settings {
    few_with_late_weight(0.0)
}

fn few_with_late_weight(late_weight: f64) -> Settings {
    let mut settings = default_settings();
    settings.few_buffered_responses = true;
    settings.classes[0].late_weight = late_weight;
    settings
}

#[test]
fn an_op_of_no_benefit_any_more_gives_its_place_back() {
    let mut play = Play::with(few(), 2);
    let (first, other) = (play.op(0), play.op(2));
    play.pass(399.0);
    assert!(play.model.ops[first].answers.is_empty());
    play.pass(2.0);
    assert_eq!(
        play.model.ops[first].answers,
        ["nacked"],
        "at its target latency, not near its TTL"
    );
    assert!(
        play.model.ops[other].answers.is_empty(),
        "at-most-once may still be acked"
    );
    for given in [default_settings(), few_with_late_weight(0.2)] {
        let mut play = Play::with(given, 2);
        let op = play.op(0);
        play.pass(TTL - 10.0);
        assert!(
            play.model.ops[op].answers.is_empty(),
            "where late answers bring something they are waited for"
        );
    }
}

#[test]
fn a_long_answer_on_its_way_is_not_ended() {
    let mut play = Play::with(few(), 2);
    let op = play.op(0);
    play.pass(100.0);
    play.balancer.streaming(play.model.now, op, 0, false);
    play.pass(500.0);
    assert!(play.model.ops[op].answers.is_empty(), "its client reads it");
}

/// How many of ten ops at once go out after thirty that were ended at their target latency, by a server that
/// tells so much use of their cores with other answers.
fn after_ended(report: f64) -> usize {
    let mut play = Play::with(few(), 1);
    for round in 0..30 {
        let (slow, other) = (play.op(0), play.op(2));
        play.pass(100.0);
        let busy = Some(report + f64::from(round % 5) / 1000.0);
        if !play.model.ops[other].pushes.is_empty() {
            play.end_with(
                other,
                0,
                AttemptOutcome::Succeeded,
                LoadReport {
                    cpu_utilization: busy,
                    ..LoadReport::default()
                },
            );
        }
        play.pass(301.0);
        if !play.model.ops[slow].pushes.is_empty() {
            play.end(slow, 0, AttemptOutcome::Cancelled);
        }
    }
    for _ in 0..10 {
        play.op(0);
    }
    play.out().len()
}

#[test]
fn ops_ended_at_their_target_cut_limits_but_those_of_servers_whose_cores_are_free() {
    let (free, full) = (after_ended(0.2), after_ended(0.97));
    assert!(
        free >= 4 && full <= 2,
        "{free} of 10 out where cores were free, {full} where they were not"
    );
}

#[test]
fn a_keys_ops_meet_at_one_server_where_answers_tell_load() {
    let most = |given: Settings, key: Option<u64>| {
        let mut play = Play::with(given, 8);
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        for _ in 0..200 {
            let op = play.op_about(0, None, false, key);
            play.pass(20.0);
            *counts
                .entry(play.model.ops[op].pushes[0].server)
                .or_default() += 1;
            play.settle(|_| ACK);
        }
        counts
            .into_iter()
            .map(|(server, n)| (n, server))
            .max()
            .unwrap()
    };
    let keys = |number| with_key_affinity(node(number, 16));
    let (n, home) = most(keys(0), Some(77));
    assert!(n >= 140, "{n} of 200 at its home");
    assert_eq!(
        most(keys(2), Some(77)).1,
        home,
        "alike at every node that hears of all"
    );
    assert!(
        most(node(0, 16), Some(77)).0 < 80,
        "no home where servers know no keys"
    );
    assert!(most(keys(0), None).0 < 80, "nor for an op without a key");
}

/// Twenty-five ops a second over forty servers: what a node says that each once bore, in all, is what the
/// cold budgets of all nodes add up to.
#[test]
fn nodes_that_hear_little_of_each_server_overrate_none() {
    let mut play = Play::with(with_key_affinity(node(3, 20)), 40);
    play.run(1500, 40.0, |_| ACK);
    let peaks: f64 = play
        .balancer
        .learned_state()
        .endpoints
        .iter()
        .map(|(_, learnt)| learnt.peak_throughput)
        .sum();
    assert!(
        (0.01..0.036).contains(&peaks),
        "{peaks} a millisecond, of 0.025 that all bore"
    );
}
