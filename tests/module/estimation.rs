//! What the balancer learns from results: latencies, failures, limits, load reports.

use crate::support::{proxy_settings, Answer, Harness, RuleChecker, SUCCESS, TTL_MS};
use crankmux::settings::set_load_value;
use crankmux::types::{AttemptOutcome, LoadReport};

#[test]
fn endpoints_thought_too_slow_still_get_first_attempts() {
    let mut harness = Harness::new(3);
    for _ in 0..200 {
        harness.send(0);
        harness.advance(TTL_MS - 1.0);
        harness.end_attempts(|_| SUCCESS);
    }
    let counts = harness.run(20, 5.0, |_| SUCCESS);
    assert_eq!(
        counts.values().sum::<usize>(),
        20,
        "no lasting rejection of all: {counts:?}"
    );
}

fn in_flight_of_six_more(harness: &mut Harness) -> usize {
    for _ in 0..6 {
        harness.send(0);
    }
    harness.in_flight().len()
}

#[test]
fn a_limit_of_one_grows_again() {
    let mut harness = Harness::new(2);
    for _ in 0..60 {
        harness.send(0);
        harness.advance(300.0);
        while !harness.in_flight().is_empty() {
            harness.end_attempts(|_| Some(AttemptOutcome::TimedOut));
        }
    }
    harness.advance(30_000.0);
    for _ in 0..300 {
        for _ in 0..4 {
            harness.send(0);
        }
        harness.advance(20.0);
        harness.end_attempts(|_| SUCCESS);
    }
    let in_flight = in_flight_of_six_more(&mut harness);
    assert!(in_flight >= 4, "{in_flight} in flight");
}

#[test]
fn attempts_lost_on_the_way_are_no_sign_of_crowding() {
    let mut harness = Harness::new(1);
    // Two in flight use no limit, so nothing grows: cuts alone would leave a limit of one.
    for _ in 0..30 {
        let lost = harness.send(2);
        for _ in 0..8 {
            let other = harness.send(0);
            harness.advance(20.0);
            harness.end_attempt(other, 0, AttemptOutcome::Succeeded);
        }
        harness.end_attempt(lost, 0, AttemptOutcome::TimedOut);
    }
    let in_flight = in_flight_of_six_more(&mut harness);
    assert!(in_flight >= 4, "{in_flight} in flight");
}

#[test]
fn an_attempt_lost_beside_a_report_that_nothing_waits_is_no_sign_of_crowding() {
    // A proxy that hears an endpoint now and then has no other answer of it between an attempt and its time-out.
    for (waiting, expected) in [(0.0, 4..10), (6.0, 0..3)] {
        let mut harness = Harness::new(1);
        for round in 0..20 {
            let answered = harness.send(0);
            harness.advance(20.0);
            let load = LoadReport {
                in_flight: Some(2.0 + 0.01 * f64::from(round)),
                queued: Some(waiting),
                cpu_utilization: None,
            };
            harness.end_attempt_with_load(answered, 0, AttemptOutcome::Succeeded, load);
            let lost = harness.send(2);
            harness.advance(TTL_MS - 1.0);
            harness.end_attempt(lost, 0, AttemptOutcome::TimedOut);
        }
        let in_flight = in_flight_of_six_more(&mut harness);
        assert!(
            expected.contains(&in_flight),
            "{in_flight} in flight, {waiting} waiting"
        );
    }
}

#[test]
fn rejections_by_idle_endpoints_are_no_sign_of_crowding() {
    for (waiting, expected) in [(0.0, 5..10), (9.0, 0..4)] {
        let mut harness = Harness::new(1);
        for _ in 0..30 {
            harness.send(0);
            harness.advance(20.0);
            while let Some((request, attempt)) = harness.in_flight().pop() {
                let load = LoadReport {
                    queued: Some(waiting),
                    ..LoadReport::default()
                };
                harness.end_attempt_with_load(request, attempt, AttemptOutcome::Rejected, load);
            }
        }
        harness.advance(1000.0);
        let in_flight = in_flight_of_six_more(&mut harness);
        assert!(
            expected.contains(&in_flight),
            "{in_flight} in flight, {waiting} waiting"
        );
    }
}

#[test]
fn a_silent_endpoint_draws_little_and_comes_back() {
    let mut harness = Harness::new(4);
    let silent = |endpoint: usize| SUCCESS.filter(|_| endpoint != 2);
    harness.run(100, 20.0, |_| SUCCESS);
    harness.run(60, 20.0, silent);
    let counts = harness.run(100, 20.0, silent);
    assert!(counts.get(&2).copied().unwrap_or(0) <= 6, "{counts:?}");
    harness.end_attempts(|_| SUCCESS);
    harness.run(1200, 20.0, |_| SUCCESS);
    let counts = harness.run(200, 20.0, |_| SUCCESS);
    assert!(counts[&2] >= 10, "{counts:?}");
}

#[test]
fn an_endpoint_that_fails_fast_draws_little() {
    let mut harness = Harness::new(4);
    let outcome = |endpoint| {
        if endpoint == 1 {
            Some(AttemptOutcome::Failed)
        } else {
            SUCCESS
        }
    };
    harness.run(150, 20.0, outcome);
    let counts = harness.run(200, 20.0, outcome);
    assert!(counts.get(&1).copied().unwrap_or(0) < 30, "{counts:?}");
}

#[test]
fn a_fault_of_all_endpoints_leaves_some_to_draw_from() {
    let mut harness = Harness::new(4);
    harness.run(300, 20.0, |_| Some(AttemptOutcome::Failed));
    let counts = harness.run(20, 20.0, |_| SUCCESS);
    assert!(counts.values().sum::<usize>() >= 15, "{counts:?}");
}

#[test]
fn a_flapping_endpoint_draws_less_than_a_sound_one() {
    let mut harness = Harness::new(4);
    let mut flapping = 0;
    let mut sound = 0;
    for round in 0..40 {
        let fails = round < 10 || (20..30).contains(&round);
        let counts = harness.run(25, 20.0, |endpoint| {
            Some(if endpoint == 2 && fails {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            })
        });
        flapping += counts.get(&2).copied().unwrap_or(0);
        sound += counts.get(&1).copied().unwrap_or(0);
    }
    assert!(
        flapping > 20 && flapping * 3 < sound * 2,
        "{flapping} and {sound}"
    );
}

#[test]
fn a_zone_that_is_cut_off_is_left_to_the_others() {
    let mut harness = Harness::new(6);
    let outcomes = [AttemptOutcome::Unreachable, AttemptOutcome::Succeeded];
    let outcome = |endpoint: usize| Some(outcomes[endpoint % 2]);
    harness.run(300, 20.0, outcome);
    let from = harness.checker.requests.len();
    let counts = harness.run(200, 20.0, outcome);
    let cut_off = counts.iter().filter(|(endpoint, _)| *endpoint % 2 == 0);
    let cut_off: usize = cut_off.map(|(_, count)| count).sum();
    assert!(cut_off < 40, "{counts:?}");
    assert!(
        harness.checker.requests[from..]
            .iter()
            .all(|request| request.answers == [Answer::Succeeded]),
        "another attempt may go at once"
    );
}

#[test]
fn any_changed_value_makes_a_report_new() {
    // The same queue with another share of cores in use is a new report: what was sent before it is counted
    // in it. Were it taken for the old one, the endpoint would seem to fill up and its shares would go.
    let mut harness = Harness::with_settings(proxy_settings(0, 3), 2);
    let mut counts = [0, 0];
    let mut under_way = Vec::new();
    for round in 0..1000 {
        let request = harness.send(0);
        let Some(attempt) = harness.checker.requests[request].attempts.first() else {
            continue;
        };
        counts[attempt.endpoint] += 1;
        under_way.push((request, attempt.endpoint));
        harness.advance(20.0);
        if under_way.len() < 3 {
            continue;
        }
        let (request, endpoint) = under_way.remove(0);
        let used = if endpoint == 0 {
            0.27 + f64::from(round % 7) / 100.0
        } else {
            0.3
        };
        let load = LoadReport {
            queued: Some(0.0),
            in_flight: None,
            cpu_utilization: Some(used),
        };
        harness.end_attempt_with_load(request, 0, AttemptOutcome::Succeeded, load);
    }
    assert!(counts[0] > counts[1], "{counts:?}");
}

#[test]
fn values_that_cannot_be_meant_are_no_report() {
    let mut load = LoadReport::default();
    for value in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        set_load_value(&mut load, "queue", value);
    }
    set_load_value(&mut load, "inflight", 3.0);
    let expected = LoadReport {
        in_flight: Some(3.0),
        ..LoadReport::default()
    };
    assert_eq!(load, expected);
}

#[test]
fn one_proxy_of_many_does_not_take_a_few_own_attempts_for_a_crowd() {
    // Sixty endpoints before a hundred proxies: four to a subset, each of which reports that it holds one and
    // none waits. One late answer, and three attempts in flight looked like nineteen of nineteen, though the
    // fourth stands idle.
    let report = |harness: &mut Harness, waiting: f64| {
        for round in 0..40 {
            harness.send(0);
            harness.advance(if round == 0 { 450.0 } else { 80.0 });
            while let Some((request, attempt)) = harness.in_flight().pop() {
                // Only a report that differs from the last is new.
                let load = LoadReport {
                    in_flight: Some(1.0 + waiting + 0.01 * (round % 9) as f64),
                    queued: Some(waiting),
                    ..LoadReport::default()
                };
                harness.end_attempt_with_load(request, attempt, AttemptOutcome::Succeeded, load);
            }
        }
    };
    let has_one_attempt =
        |checker: &RuleChecker, request: usize| checker.requests[request].attempts.len() == 1;
    let sent = |harness: &mut Harness| {
        let requests: Vec<usize> = (0..4).map(|_| harness.send(0)).collect();
        let sent = |request: &usize| has_one_attempt(&harness.checker, *request);
        requests.into_iter().filter(sent).count()
    };
    let mut harness = Harness::with_settings(proxy_settings(3, 100), 60);
    report(&mut harness, 0.0);
    assert_eq!(
        sent(&mut harness),
        4,
        "four requests at four idle endpoints"
    );
    // Where reports say that it is a crowd, it is one.
    let mut harness = Harness::with_settings(proxy_settings(3, 100), 60);
    report(&mut harness, 7.0);
    assert!(
        sent(&mut harness) <= 3,
        "four requests at four full endpoints"
    );
}
