//! Estimates from attempt results: latencies, error rates, concurrency limits, load reports.

use crate::support::{proxy_settings, Answer, Harness, RuleChecker, SUCCESS, TTL_MS};
use crankmux::settings::set_load_value;
use crankmux::types::{AttemptOutcome, LoadReport};

#[test]
fn endpoints_estimated_as_too_slow_still_get_requests() {
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
        "requests are still rejected: {counts:?}"
    );
}

fn in_flight_after_six_requests(harness: &mut Harness) -> usize {
    for _ in 0..6 {
        harness.send(0);
    }
    harness.in_flight().len()
}

#[test]
fn a_concurrency_limit_of_one_recovers() {
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
    let in_flight = in_flight_after_six_requests(&mut harness);
    assert!(in_flight >= 4, "{in_flight} in flight");
}

#[test]
fn attempts_lost_in_the_network_do_not_reduce_the_limit() {
    let mut harness = Harness::new(1);
    // Two requests in flight don't reach the limit, so it doesn't grow; reductions would leave a limit of one.
    for _ in 0..30 {
        let lost = harness.send(2);
        for _ in 0..8 {
            let other = harness.send(0);
            harness.advance(20.0);
            harness.end_attempt(other, 0, AttemptOutcome::Succeeded);
        }
        harness.end_attempt(lost, 0, AttemptOutcome::TimedOut);
    }
    let in_flight = in_flight_after_six_requests(&mut harness);
    assert!(in_flight >= 4, "{in_flight} in flight");
}

#[test]
fn a_timeout_after_a_report_of_an_empty_queue_does_not_reduce_the_limit() {
    // A proxy with little traffic gets no other response from the endpoint between an attempt and its timeout.
    for (queued, expected) in [(0.0, 4..10), (6.0, 0..3)] {
        let mut harness = Harness::new(1);
        for round in 0..20 {
            let answered = harness.send(0);
            harness.advance(20.0);
            let load = LoadReport {
                in_flight: Some(2.0 + 0.01 * f64::from(round)),
                queued: Some(queued),
                cpu_utilization: None,
            };
            harness.end_attempt_with_load(answered, 0, AttemptOutcome::Succeeded, load);
            let lost = harness.send(2);
            harness.advance(TTL_MS - 1.0);
            harness.end_attempt(lost, 0, AttemptOutcome::TimedOut);
        }
        let in_flight = in_flight_after_six_requests(&mut harness);
        assert!(
            expected.contains(&in_flight),
            "{in_flight} in flight, {queued} queued"
        );
    }
}

#[test]
fn rejections_by_idle_endpoints_do_not_reduce_the_limit() {
    for (queued, expected) in [(0.0, 5..10), (9.0, 0..4)] {
        let mut harness = Harness::new(1);
        for _ in 0..30 {
            harness.send(0);
            harness.advance(20.0);
            while let Some((request, attempt)) = harness.in_flight().pop() {
                let load = LoadReport {
                    queued: Some(queued),
                    ..LoadReport::default()
                };
                harness.end_attempt_with_load(request, attempt, AttemptOutcome::Rejected, load);
            }
        }
        harness.advance(1000.0);
        let in_flight = in_flight_after_six_requests(&mut harness);
        assert!(
            expected.contains(&in_flight),
            "{in_flight} in flight, {queued} queued"
        );
    }
}

#[test]
fn an_unresponsive_endpoint_gets_little_traffic_until_it_recovers() {
    let mut harness = Harness::new(4);
    let outcome = |endpoint: usize| SUCCESS.filter(|_| endpoint != 2);
    harness.run(100, 20.0, |_| SUCCESS);
    harness.run(60, 20.0, outcome);
    let counts = harness.run(100, 20.0, outcome);
    assert!(counts.get(&2).copied().unwrap_or(0) <= 6, "{counts:?}");
    harness.end_attempts(|_| SUCCESS);
    harness.run(1200, 20.0, |_| SUCCESS);
    let counts = harness.run(200, 20.0, |_| SUCCESS);
    assert!(counts[&2] >= 10, "{counts:?}");
}

#[test]
fn an_endpoint_that_fails_fast_gets_little_traffic() {
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
fn requests_are_still_sent_after_all_endpoints_failed() {
    let mut harness = Harness::new(4);
    harness.run(300, 20.0, |_| Some(AttemptOutcome::Failed));
    let counts = harness.run(20, 20.0, |_| SUCCESS);
    assert!(counts.values().sum::<usize>() >= 15, "{counts:?}");
}

#[test]
fn a_flapping_endpoint_gets_less_traffic_than_a_healthy_one() {
    let mut harness = Harness::new(4);
    let mut flapping = 0;
    let mut healthy = 0;
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
        healthy += counts.get(&1).copied().unwrap_or(0);
    }
    assert!(
        flapping > 20 && flapping * 3 < healthy * 2,
        "{flapping} attempts to the flapping endpoint, {healthy} to a healthy one"
    );
}

#[test]
fn an_unreachable_zone_gets_little_traffic() {
    let mut harness = Harness::new(6);
    let outcomes = [AttemptOutcome::Unreachable, AttemptOutcome::Succeeded];
    let outcome = |endpoint: usize| Some(outcomes[endpoint % 2]);
    harness.run(300, 20.0, outcome);
    let from = harness.checker.requests.len();
    let counts = harness.run(200, 20.0, outcome);
    let unreachable = counts.iter().filter(|(endpoint, _)| *endpoint % 2 == 0);
    let unreachable: usize = unreachable.map(|(_, count)| count).sum();
    assert!(unreachable < 40, "{counts:?}");
    assert!(
        harness.checker.requests[from..]
            .iter()
            .all(|request| request.answers == [Answer::Succeeded]),
        "an unreachable endpoint allows an immediate retry"
    );
}

#[test]
fn a_report_with_any_changed_value_is_new() {
    // A report with the same queue and a changed CPU utilization is new and includes the attempts sent before it.
    // If it were taken for the old one, these attempts would count in addition, and the endpoint would seem full.
    let mut harness = Harness::with_settings(proxy_settings(0, 3), 2);
    let mut counts = [0, 0];
    let mut in_flight = Vec::new();
    for round in 0..1000 {
        let request = harness.send(0);
        let Some(attempt) = harness.checker.requests[request].attempts.first() else {
            continue;
        };
        counts[attempt.endpoint] += 1;
        in_flight.push((request, attempt.endpoint));
        harness.advance(20.0);
        if in_flight.len() < 3 {
            continue;
        }
        let (request, endpoint) = in_flight.remove(0);
        let utilization = if endpoint == 0 {
            0.27 + f64::from(round % 7) / 100.0
        } else {
            0.3
        };
        let load = LoadReport {
            queued: Some(0.0),
            in_flight: None,
            cpu_utilization: Some(utilization),
        };
        harness.end_attempt_with_load(request, 0, AttemptOutcome::Succeeded, load);
    }
    assert!(counts[0] > counts[1], "{counts:?}");
}

#[test]
fn invalid_load_values_are_ignored() {
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
fn a_proxy_among_many_does_not_take_its_own_attempts_for_overload() {
    // Each of 100 proxies has a subset of four of the 60 endpoints, which report one request in flight and an empty
    // queue. After one late response, three own attempts in flight must not seem to exhaust the limits of all four.
    let send_with_reports = |harness: &mut Harness, queued: f64| {
        for round in 0..40 {
            harness.send(0);
            harness.advance(if round == 0 { 450.0 } else { 80.0 });
            while let Some((request, attempt)) = harness.in_flight().pop() {
                // A report is new only if it differs from the last one.
                let load = LoadReport {
                    in_flight: Some(1.0 + queued + 0.01 * (round % 9) as f64),
                    queued: Some(queued),
                    ..LoadReport::default()
                };
                harness.end_attempt_with_load(request, attempt, AttemptOutcome::Succeeded, load);
            }
        }
    };
    let has_one_attempt =
        |checker: &RuleChecker, request: usize| checker.requests[request].attempts.len() == 1;
    let sent_of_four = |harness: &mut Harness| {
        let requests: Vec<usize> = (0..4).map(|_| harness.send(0)).collect();
        let was_sent = |request: &usize| has_one_attempt(&harness.checker, *request);
        requests.into_iter().filter(was_sent).count()
    };
    let mut harness = Harness::with_settings(proxy_settings(3, 100), 60);
    send_with_reports(&mut harness, 0.0);
    assert_eq!(
        sent_of_four(&mut harness),
        4,
        "four requests to four idle endpoints"
    );
    // Endpoints that report a queue are overloaded.
    let mut harness = Harness::with_settings(proxy_settings(3, 100), 60);
    send_with_reports(&mut harness, 7.0);
    assert!(
        sent_of_four(&mut harness) <= 3,
        "four requests to four overloaded endpoints"
    );
}
