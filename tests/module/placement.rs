//! Request classes that are restricted to zones or machine classes.

use crate::support::{
    endpoint_update, placed_settings, proxy_settings, ready_endpoints, wire_settings, Answer,
    Harness, MAX_ATTEMPTS, SUCCESS,
};
use crankmux::balancer::Balancer;
use crankmux::settings::{validate, NameIndex};
use crankmux::types::{AttemptOutcome, EndpointState};
use serde_json::{json, Value};

/// Sends requests of a class and ends all attempts with their endpoint's outcome; returns the endpoints that got any.
fn endpoints_of(
    harness: &mut Harness,
    class: usize,
    requests: usize,
    outcome: impl Fn(usize) -> Option<AttemptOutcome>,
) -> Vec<usize> {
    let from = harness.checker.requests.len();
    for _ in 0..requests {
        harness.send(class);
        harness.advance(20.0);
        while !harness.in_flight().is_empty() {
            harness.end_attempts(&outcome);
        }
    }
    let counts = harness.checker.count_attempts_since(from);
    counts.into_keys().collect()
}

fn attempts_and_answers(harness: &Harness, request: usize) -> (usize, &[Answer]) {
    let request = &harness.checker.requests[request];
    (request.attempts.len(), request.answers.as_slice())
}

#[test]
fn a_restricted_class_never_leaves_its_zones_and_machine_classes() {
    let mut harness = Harness::with_settings(placed_settings(1, &[0]), 6);
    assert_eq!(endpoints_of(&mut harness, 2, 60, |_| SUCCESS), [1, 3, 5]);
    assert_eq!(endpoints_of(&mut harness, 1, 60, |_| SUCCESS), [0, 3]);
    let rejected = |_| Some(AttemptOutcome::Rejected);
    let endpoints = endpoints_of(&mut harness, 2, 30, rejected);
    assert!(
        endpoints.iter().all(|endpoint| endpoint % 2 == 1),
        "retries stay in the zone"
    );
    let changes = [
        endpoint_update(1, EndpointState::Draining, 0.0),
        endpoint_update(3, EndpointState::Removed, 0.0),
    ];
    harness.update_endpoints(&changes, false, false);
    harness.disable(5);
    let request = harness.send(2);
    assert_eq!(
        attempts_and_answers(&harness, request),
        (0, &[Answer::Rejected][..]),
        "rejected immediately"
    );
    assert!(
        !endpoints_of(&mut harness, 0, 20, |_| SUCCESS).is_empty(),
        "other classes are still sent"
    );
}

#[test]
fn a_restricted_class_uses_endpoints_outside_the_subset() {
    // Only one of 50 endpoints is in the zone, and few of 100 proxies have it in their subset.
    for number in 0..20 {
        let mut settings = proxy_settings(number, 100);
        settings.classes[2].zones = Some([7].into());
        let mut harness = Harness::with_settings(settings, 0);
        let mut updates = ready_endpoints(50);
        updates[13].zone = 7;
        harness.update_endpoints(&updates, true, false);
        assert_eq!(endpoints_of(&mut harness, 2, 3, |_| SUCCESS), [13]);
    }
}

#[test]
fn new_settings_do_not_extend_the_placement_of_a_request_in_flight() {
    let mut harness = Harness::with_settings(placed_settings(1, &[0]), 6);
    let request = harness.send(2);
    harness.update_settings(placed_settings(0, &[0]), 0, MAX_ATTEMPTS);
    harness.end_attempt(request, 0, AttemptOutcome::Rejected);
    assert_eq!(
        attempts_and_answers(&harness, request),
        (1, &[Answer::Rejected][..])
    );
}

/// Whether a request of the class is sent to an endpoint in this zone and machine class.
fn is_sent(class: &Value, location: (&str, &str)) -> bool {
    let settings = wire_settings(class);
    let (mut names, typed) = NameIndex::from_settings(&settings);
    validate(&settings).expect("valid settings");
    let mut harness = Harness::new(0);
    harness.balancer = Balancer::new(typed.expect("complete settings"), 1);
    let update = names.endpoint_update(9, EndpointState::Ready, location, None, 0.0);
    harness.update_endpoints(&[update], true, false);
    harness.send(0);
    harness.in_flight().len() == 1
}

#[test]
fn unknown_names_allow_no_endpoint() {
    let locations = [("east", "fast"), ("west", "fast"), ("", "")];
    for (class, sent) in [
        (json!({"ZonesAllowed": ["nowhere"]}), [false; 3]),
        (json!({"ZonesAllowed": []}), [false; 3]),
        (json!({"ZonesAllowed": ["east"]}), [true, false, false]),
        (json!({"AllowedOn": ["fast"]}), [true, true, false]),
        (
            json!({"ZonesAllowed": ["west"], "AllowedOn": ["fast"]}),
            [false, true, false],
        ),
        (json!({"ZonesAllowed": null}), [true; 3]),
    ] {
        for (location, sent) in locations.into_iter().zip(sent) {
            assert_eq!(
                is_sent(&class, location),
                sent,
                "{class} with an endpoint at {location:?}"
            );
        }
    }
}

#[test]
fn invalid_lists_of_names_are_rejected() {
    for (key, class) in [
        ("ZonesAllowed", json!({"ZonesAllowed": "east"})),
        ("AllowedOn", json!({"AllowedOn": [3]})),
        ("AllowedOn", json!({"AllowedOn": [""]})),
    ] {
        let error = validate(&wire_settings(&class)).expect_err("an invalid list");
        assert!(error.to_string().contains(key), "{error}");
    }
}
