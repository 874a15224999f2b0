//! The rules' slow, plain model beside the module, on generated inputs.

use crate::help::{
    default_settings, line, placed_settings, probing_settings, Play, MOST_PUSHES, TTL,
};
use crankmux::balancer::{split, QueueModel};
use crankmux::settings::Settings;
use crankmux::types::{AttemptOutcome, EndpointState, LoadReport};
use quickcheck::{Gen, QuickCheck};

const ENDINGS: [AttemptOutcome; 8] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
];

fn fixed(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(200, 20_261_201))
}

/// Whatever comes, in whatever order, the model finds no rule broken and every op has one answer.
fn kept(news: Vec<(u8, u8, u8)>) -> bool {
    [
        default_settings(),
        probing_settings(),
        placed_settings(1, &[0, 2]),
    ]
    .into_iter()
    .all(|given| kept_with(given, &news))
}

fn kept_with(given: Settings, news: &[(u8, u8, u8)]) -> bool {
    let mut play = Play::with(given.clone(), 7);
    for (kind, a, b) in news {
        let (a, b) = (usize::from(*a), usize::from(*b));
        let now = play.model.now;
        match kind % 20 {
            0..=4 => drop(play.op_about(a % 3, None, false, Some(b as u64))),
            5..=9 => {
                if let Some((op, push)) = play.out().get(a % play.out().len().max(1)).copied() {
                    play.end(op, push, ENDINGS[b % ENDINGS.len()]);
                }
            }
            10 | 11 => play.pass(f64::from(a as u8) * 2.0),
            12 => {
                let standing = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][b % 3];
                let started = if a % 2 == 0 { now - a as f64 } else { 0.0 };
                play.list(&[line(a % 9, standing, started)], false, false);
            }
            13 => {
                let lines: Vec<_> = (0..b % 8)
                    .map(|s| line(s, EndpointState::Ready, 0.0))
                    .collect();
                play.list(&lines, true, b % 2 == 0);
            }
            14 if a % 2 == 0 => play.balancer.discovery_failed(&mut play.model, now),
            14 => drop(play.tell(|server| Some((server * b % 11) as f64).filter(|_| b % 3 > 0))),
            15 if a % 2 == 0 => play.suspend(a % 9),
            15 => play.resume(a % 9),
            16 if given.classes[2].zones.is_some() => {
                play.renew(placed_settings(a % 2, &[b % 3]), 0, MOST_PUSHES);
            }
            16 => play.renew(given.clone(), a % 3, 1 + b % 4),
            18 => {
                if let Some((op, push)) = play.out().get(a % play.out().len().max(1)).copied() {
                    play.balancer.streaming(now, op, push, b % 2 == 0);
                }
            }
            17 => play
                .balancer
                .set_process_share(if a % 2 == 0 { 0.5 } else { 1.0 }, None, 1.0),
            _ => {
                // Ids no longer held, results after the end, alarms never set: all harmless.
                play.balancer.timer_expired(&mut play.model, now, u64::MAX);
                play.balancer.client_left(&mut play.model, now, usize::MAX);
                play.balancer.streaming(now, usize::MAX, 0, true);
                play.balancer.probe_ended(
                    &mut play.model,
                    now,
                    usize::MAX,
                    Some(LoadReport::default()),
                );
            }
        }
        overdue(&mut play);
    }
    play.pass(TTL);
    overdue(&mut play);
    play.model.ops.iter().all(|op| op.answers.len() == 1)
}

/// The wire ends a push whose op's TTL is over.
fn overdue(play: &mut Play) {
    for (op, push) in play.out() {
        if play.model.now >= play.model.ops[op].ends {
            // What the model sees late only because time was moved on in one stride counts as at its time.
            let now = std::mem::replace(&mut play.model.now, play.model.ops[op].ends);
            play.end(op, push, AttemptOutcome::TimedOut);
            play.model.now = now;
        }
    }
}

#[test]
fn no_generated_input_breaks_a_rule() {
    fixed(400).quickcheck(kept as fn(Vec<(u8, u8, u8)>) -> bool);
}

fn seen(queue: u8, mu: u8, horizon: u8, cost: u8) -> QueueModel {
    let mu = (f64::from(mu) + 1.0) / 1000.0;
    let horizon = 50.0 + f64::from(horizon) * 10.0;
    QueueModel {
        queue: f64::from(queue) / 8.0,
        service_rate: mu,
        horizon_ms: horizon,
        cost_ms: f64::from(cost),
        distance_cost_ms: f64::from(cost / 128),
        max_share: 1.0,
    }
}

/// Marginal cost of a server's share: just under it and just over it.
fn marginal(s: &QueueModel, p: f64, lambda: f64) -> (f64, f64) {
    let flat = s.cost_ms + 1.0 / s.service_rate;
    let gap = s.queue - s.service_rate * s.horizon_ms;
    let steep = |p: f64| flat + (gap + 2.0 * p * lambda * s.horizon_ms) / s.service_rate;
    let free = -gap / (lambda * s.horizon_ms);
    let at = |p: f64| if p < free { flat } else { steep(p) };
    (at((p - 1e-7).max(0.0)), at(p + 1e-7))
}

/// Shares sum to one, none over its most. Where room does not decide alone, no shift between two servers
/// lowers the cost; where it does, uncapped shares go by room.
fn optimal(servers: Vec<(u8, u8, u8, u8)>, rate: u8) -> bool {
    let none: Vec<_> = servers
        .iter()
        .map(|(q, m, h, c)| (*q, *m, *h, c % 128))
        .collect();
    optimal_for(&servers, rate) && optimal_for(&none, rate)
}

fn optimal_for(servers: &[(u8, u8, u8, u8)], rate: u8) -> bool {
    let mut servers: Vec<QueueModel> = servers
        .iter()
        .map(|(q, m, h, c)| seen(*q, *m, *h, *c))
        .collect();
    let all: f64 = servers.iter().map(|s| s.service_rate).sum();
    servers
        .iter_mut()
        .for_each(|s| s.max_share = 1.5 * s.service_rate / all);
    let lambda = (f64::from(rate) / 500.0).max(all / 3.0);
    let shares = split(&servers, lambda);
    if servers.is_empty() {
        return shares.is_empty();
    }
    let sum: f64 = shares.iter().sum();
    let bounded = shares
        .iter()
        .zip(&servers)
        .all(|(p, s)| (-1e-9..=s.max_share + 1e-9).contains(p));
    let room = |s: &QueueModel| (s.service_rate - s.queue / s.horizon_ms).max(0.0);
    let pairs: Vec<_> = servers.iter().zip(shares).collect();
    let usable: f64 = servers
        .iter()
        .filter(|s| room(s) > 0.0)
        .map(|s| s.max_share)
        .sum();
    let alike = servers
        .windows(2)
        .all(|w| w[0].distance_cost_ms == w[1].distance_cost_ms);
    let level = if alike && servers.iter().map(room).sum::<f64>() > lambda && usable > 1.0 {
        let open: Vec<_> = pairs
            .iter()
            .filter(|(s, p)| *p < s.max_share - 1e-6 && room(s) > 0.0)
            .collect();
        open.windows(2)
            .all(|w| (w[0].1 * room(w[1].0) - w[1].1 * room(w[0].0)).abs() < 1e-6)
    } else {
        let give = pairs
            .iter()
            .filter(|(_, p)| *p > 1e-6)
            .map(|(s, p)| marginal(s, *p, lambda).0);
        let take = pairs
            .iter()
            .filter(|(s, p)| *p < s.max_share - 1e-6)
            .map(|(s, p)| marginal(s, *p, lambda).1);
        let (give, take) = (give.fold(0.0, f64::max), take.fold(f64::MAX, f64::min));
        give <= take + 1e-3 * give.max(1.0)
    };
    (sum - 1.0).abs() < 1e-6 && bounded && level
}

#[test]
fn the_split_meets_the_optimality_conditions() {
    fixed(3000).quickcheck(optimal as fn(Vec<(u8, u8, u8, u8)>, u8) -> bool);
}

#[test]
fn the_split_stands_at_the_edges() {
    assert!(split(&[], 1.0).is_empty());
    let one = QueueModel {
        queue: 3.0,
        service_rate: 0.01,
        horizon_ms: 100.0,
        cost_ms: 0.0,
        distance_cost_ms: 0.0,
        max_share: 1.0,
    };
    assert_eq!(split(&[one], 0.02), [1.0]);
    let full = QueueModel { queue: 50.0, ..one };
    let shares = split(
        &[
            full,
            full,
            QueueModel {
                queue: 5000.0,
                ..one
            },
        ],
        0.02,
    );
    assert!(
        (shares[0] - 0.5).abs() < 1e-6 && shares[2] < 1e-6,
        "the fullest gets none: {shares:?}"
    );
    let shares = split(&[one, QueueModel { queue: 0.0, ..one }], 0.0);
    assert!(
        (shares.iter().sum::<f64>() - 1.0).abs() < 1e-6,
        "zero arrivals: {shares:?}"
    );
}
