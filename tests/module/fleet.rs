//! Hundreds of nodes before the same servers, each seeing little traffic: what is harmless in one node must be
//! harmless in all.

use crate::help::{line, node, Play, TTL};
use crankmux::types::{AttemptOutcome, EndpointState, EndpointUpdate, LoadReport};
use std::collections::BTreeMap;

const ACK: Option<AttemptOutcome> = Some(AttemptOutcome::Succeeded);

#[test]
fn a_node_of_many_does_not_take_a_few_own_pushes_for_a_crowd() {
    // Sixty servers before a hundred nodes: four to a part, each with a word that it holds one and none waits.
    // One late answer, and three pushes out looked like nineteen of nineteen, though the fourth stands idle.
    let mut play = Play::with(node(3, 100), 60);
    // Only a report that differs from the last is news.
    let load = |waiting: f64, round: usize| LoadReport {
        in_flight: Some(1.0 + waiting + 0.01 * (round % 9) as f64),
        queued: Some(waiting),
        ..LoadReport::default()
    };
    let tell = |play: &mut Play, waiting: f64| {
        for round in 0..40 {
            play.op(0);
            play.pass(if round == 0 { 450.0 } else { 80.0 });
            while let Some((op, push)) = play.out().pop() {
                play.end_with(op, push, AttemptOutcome::Succeeded, load(waiting, round));
            }
        }
    };
    let pushed = |play: &mut Play| {
        let ops: Vec<usize> = (0..4).map(|_| play.op(0)).collect();
        ops.iter()
            .filter(|op| play.model.ops[**op].pushes.len() == 1)
            .count()
    };
    tell(&mut play, 0.0);
    assert_eq!(pushed(&mut play), 4, "of four ops at four idle servers");
    // Where reports say that it is a crowd, it is one.
    let mut play = Play::with(node(3, 100), 60);
    tell(&mut play, 7.0);
    assert!(pushed(&mut play) <= 3, "four ops at four full servers");
}

#[test]
fn an_answer_lost_beside_a_report_that_nothing_waits_is_no_crowding() {
    // A node that hears a server now and then has no other answer of it between a push and its time-out.
    for (waiting, most) in [(0.0, 4..10), (6.0, 0..3)] {
        let mut play = Play::new(1);
        for round in 0..20 {
            let told = play.op(0);
            play.pass(20.0);
            let load = LoadReport {
                in_flight: Some(2.0 + 0.01 * f64::from(round)),
                queued: Some(waiting),
                cpu_utilization: None,
            };
            play.end_with(told, 0, AttemptOutcome::Succeeded, load);
            let lost = play.op(2);
            play.pass(TTL - 1.0);
            play.end(lost, 0, AttemptOutcome::TimedOut);
        }
        for _ in 0..6 {
            play.op(0);
        }
        assert!(
            most.contains(&play.out().len()),
            "{} in flight, {waiting} waiting",
            play.out().len()
        );
    }
}

#[test]
fn a_zone_cut_off_while_lists_come_late_costs_little_and_is_taken_in_again_within_seconds() {
    // Two dozen nodes before a dozen servers, the odd ones silent for six seconds: no list says so.
    let (nodes, servers) = (24, 12);
    let (mut lost, mut tried, mut during, mut after) = (0, 0, 0, 0);
    for number in 0..nodes {
        let mut play = Play::with(node(number, nodes), servers);
        // Ends what is due: quick answers, and from the silent ones none until the op's end.
        let go = |play: &mut Play, steps: usize, cut: bool| {
            let (mut silent, from) = (0, play.model.ops.len());
            for _ in 0..steps {
                play.op(0);
                play.pass(40.0);
                for (op, push) in play.out() {
                    let p = &play.model.ops[op].pushes[push];
                    let (server, end) = (p.server, play.model.ops[op].ends);
                    if !cut || server % 2 == 0 {
                        play.end(op, push, AttemptOutcome::Succeeded);
                    } else if play.model.now >= end {
                        play.end(op, push, AttemptOutcome::TimedOut);
                    }
                }
            }
            for op in &play.model.ops[from..] {
                silent += op.pushes.iter().filter(|p| p.server % 2 == 1).count();
            }
            (silent, from)
        };
        go(&mut play, 100, false);
        let (silent, from) = go(&mut play, 150, true);
        tried += silent;
        during += 150;
        let answered = |op: &crate::help::Taken| op.answers == ["acked"];
        lost += play.model.ops[from..from + 120]
            .iter()
            .filter(|op| !answered(op))
            .count();
        go(&mut play, 75, false);
        after += go(&mut play, 75, false).0;
    }
    assert!(
        tried * 6 < during,
        "{tried} pushes of {during} to servers that said nothing"
    );
    assert!(
        lost * 6 < during,
        "{lost} of {during} ops were not served though half of the servers were there"
    );
    // Three seconds after they answer again, they carry a good part of what half of the fleet would.
    assert!(after * 6 > nodes * 75, "{after} of {} pushes", nodes * 75);
}

#[test]
fn seven_in_ten_nodes_that_start_at_once_with_one_old_list_crowd_nobody() {
    // A hundred nodes before forty servers; the old list knows nothing of a release: servers 5, 15, 25 and 35
    // are cold. One in eight fails all it gets. Seventy nodes start at one moment and know nothing.
    let (nodes, servers) = (100, 40_usize);
    let cold = |s: usize| s % 10 == 5;
    let old: Vec<EndpointUpdate> = (0..servers)
        .map(|s| line(s, EndpointState::Ready, 0.0))
        .collect();
    let mut first: BTreeMap<usize, usize> = BTreeMap::new();
    let mut cold_at = Vec::new();
    for number in 0..nodes {
        let mut play = Play::with(node(number, nodes), 0);
        play.list(&old, true, true);
        let fate = |s: usize| {
            Some(if s % 8 == 1 {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            })
        };
        if number % 10 >= 7 {
            play.run(40, 250.0, fate);
        } else {
            play.pass(10_000.0);
        }
        let start = play.model.now;
        // What discovery tells them in the same moment.
        let news: Vec<EndpointUpdate> = old
            .iter()
            .filter(|l| cold(l.endpoint))
            .map(|l| EndpointUpdate {
                started_at_ms: start,
                ..*l
            })
            .collect();
        play.list(&news, false, false);
        let from = play.model.ops.len();
        play.op(0);
        for push in play.model.ops[from..].iter().flat_map(|o| &o.pushes) {
            *first.entry(push.server).or_default() += 1;
        }
        play.pass(20.0);
        play.settle(fate);
        play.run(11, 250.0, fate);
        let pushes = play.model.ops[from..].iter().flat_map(|o| &o.pushes);
        cold_at.extend(pushes.filter(|p| cold(p.server)).map(|p| (p.server, p.at)));
    }
    // A hundred first pushes over thirty-six servers.
    let most = first.values().max().copied().unwrap_or(0);
    assert!(most <= 12, "{most} nodes asked one server first: {first:?}");
    // Each server bears some ten a second; a cold one is able to do a fifth to 0.44 of that in these three
    // seconds, twice of which is allowed in any second.
    for server in [5, 15, 25, 35] {
        let at: Vec<f64> = cold_at
            .iter()
            .filter(|(s, _)| *s == server)
            .map(|(_, at)| *at)
            .collect();
        let most = at
            .iter()
            .map(|a| at.iter().filter(|b| (*a..*a + 1000.0).contains(*b)).count())
            .max();
        assert!(most.unwrap_or(0) <= 9, "{most:?} in a second at {server}");
    }
}

#[test]
fn nodes_that_see_two_ops_a_second_neither_starve_nor_flood_any_of_two_hundred_servers() {
    let (nodes, servers) = (300, 200);
    let mut counts = vec![0_usize; servers];
    let mut nacked = 0;
    for number in 0..nodes {
        let mut play = Play::with(node(number, nodes), servers);
        // One server in eight answers at half the pace of the others: slower than most, and worth its share.
        for _ in 0..60 {
            let op = play.op(0);
            play.pass(60.0);
            play.settle(|server| ACK.filter(|_| server % 8 != 3));
            play.pass(60.0);
            play.settle(|_| ACK);
            play.pass(380.0);
            nacked += usize::from(play.model.ops[op].answers != ["acked"]);
        }
        for push in play.model.ops.iter().flat_map(|o| &o.pushes) {
            counts[push.server] += 1;
        }
    }
    let mean = nodes * 60 / servers;
    let (least, most) = (counts.iter().min().copied(), counts.iter().max().copied());
    assert!(
        least >= Some(mean / 4) && most <= Some(mean * 5 / 2),
        "{least:?} to {most:?} about {mean}"
    );
    assert_eq!(nacked, 0, "a quiet node has room");
}
