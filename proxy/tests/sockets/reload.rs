//! Configuration reload by SIGHUP.

use crate::support::configuration::{configuration, disable_hedging};
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until};
use serde_json::{json, Value};
use std::io::Write;

#[test]
fn reload_follows_a_new_discovery_address_and_a_faulty_file_changes_nothing() {
    let slow = TestEndpoint::new(|stream, _| {
        sleep_ms(400);
        stream.write_all(&ok_response("old")).is_ok()
    });
    let new = TestEndpoint::always_answering(ok_response("new"));
    let known = endpoint_list(7, true, &[endpoint_entry("old", slow.address, "Ready")]);
    let first = TestDiscovery::new(known.clone());
    let second = TestDiscovery::new(endpoint_list(
        3,
        true,
        &[endpoint_entry("new", new.address, "Ready")],
    ));
    let start = configuration(first.address, &known);
    // The environment variable of the start must not override what a new file says.
    let proxy = ProxyProcess::start_with_environment(
        &start,
        &[("BALANCER_DISCOVERY", first.address.to_string())],
    );
    let mut client = proxy.connect();
    client.write_all(&request("pay", 2.0, "")).unwrap();
    wait_until("the attempt is sent", || slow.received_count() == 1);
    let mut faulty = configuration(second.address, &known);
    faulty["limits"]["sockets"] = json!("many");
    for (text, expected) in [
        ("{\"name\":".to_string(), "BALANCER_CONFIG"),
        (faulty.to_string(), "limits.sockets"),
    ] {
        proxy.reload(&text);
        wait_until("the error is logged", || proxy.log().contains(expected));
    }
    assert!(
        second.calls.lock().unwrap().is_empty(),
        "the old configuration stays"
    );
    proxy.reload(&configuration(second.address, &known).to_string());
    wait_until("the new address is watched", || second.is_watched_from(3));
    assert_eq!(
        read_message(&mut client).expect("the request goes on").1,
        b"old"
    );
    client.write_all(&request("view", 2.0, "")).unwrap();
    assert_eq!(
        read_message(&mut client).expect("so does the connection").1,
        b"new"
    );
}

/// An endpoint that breaks its connection once it has run a request with the body `break`, a while after it came.
fn endpoint_breaking_on_demand() -> TestEndpoint {
    TestEndpoint::new(|stream, received| match &received.body[..] {
        b"break" => {
            sleep_ms(400);
            false
        }
        _ => stream.write_all(&ok_response("x")).is_ok(),
    })
}

/// The class `view` is not idempotent any more, `fresh` stands in the place of `order`, and no request is retried.
fn change_request_classes(config: &mut Value) {
    let request_classes = &mut config["settings"]["Categories"];
    request_classes[0]["Effect"] = json!("non_idempotent");
    let mut new = request_classes[2].clone();
    new["Name"] = json!("fresh");
    request_classes[1] = new;
    config["settings"]["Limits"]["MostPushes"] = json!(1);
}

#[test]
fn reloaded_settings_apply_to_new_requests_and_open_ones_keep_theirs() {
    let endpoint = endpoint_breaking_on_demand();
    let proxy = ProxyProcess::with_admin_api(&[&endpoint], disable_hedging);
    let mut under_way = proxy.connect();
    under_way.write_all(&request("view", 2.0, "break")).unwrap();
    wait_until("the attempt is sent", || endpoint.received_count() == 1);
    let mut config = proxy.configuration();
    change_request_classes(&mut config);
    proxy.reload(&config.to_string());
    wait_until("it is applied", || {
        proxy.metric("sighup_applied") == Some(1)
    });
    assert_eq!(proxy.send_request(&request("fresh", 1.0, "")).0, 200);
    assert_eq!(
        proxy.send_request(&request("order", 1.0, "")).0,
        400,
        "unknown from now on"
    );
    let before = endpoint.received_count();
    assert_eq!(
        proxy.send_request(&request("view", 1.5, "break")).0,
        502,
        "not idempotent from now on"
    );
    assert_eq!(
        read_message(&mut under_way).map(|(head, _)| status_code(&head)),
        Some(503),
        "still idempotent"
    );
    let of_old = endpoint
        .received
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.body == b"break")
        .count();
    assert!(
        before >= 2 && of_old >= 3,
        "retried, as its settings allowed when it came: {of_old}"
    );
    assert_eq!(
        (
            proxy.metric("succeeded.order"),
            proxy.metric("aborted.order")
        ),
        (Some(0), Some(1))
    );
}

/// A configuration file with another request class, and with the key at this path changed, or removed.
fn with_change(good: &Value, path: &str, value: Option<Value>) -> String {
    let mut config = good.clone();
    // What could be applied partially: a request class that does not exist yet.
    let mut new = config["settings"]["Categories"][0].clone();
    new["Name"] = json!("half");
    config["settings"]["Categories"]
        .as_array_mut()
        .unwrap()
        .push(new);
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap();
    match value {
        Some(value) => parent[key] = value,
        None => drop(parent.as_object_mut().unwrap().remove(key)),
    }
    config.to_string()
}

/// Configuration files that are no complete object, or lack a whole section, with a part of the log line that names
/// the fault.
fn files_with_faulty_sections(good: &Value) -> Vec<(String, &'static str)> {
    let changed = |path: &str, value: Option<Value>| with_change(good, path, value);
    let text = good.to_string();
    vec![
        (String::new(), "EOF"),
        (text[..text.len() / 2].to_string(), "EOF"),
        ("[]".into(), "not a JSON object"),
        (changed("/limits", None), "limits"),
        (changed("/limits/sockets", None), "limits.sockets"),
        (changed("/seed", None), "seed"),
        (changed("/settings/Zones", None), "settings.Zones"),
        (changed("/settings/Categories", None), "Categories"),
        (
            changed("/settings/Categories", Some(json!({}))),
            "Categories",
        ),
    ]
}

/// Configuration files with one faulty request class, with a part of the log line that names the fault.
fn files_with_faulty_request_classes(good: &Value) -> Vec<(String, &'static str)> {
    let changed = |path: &str, value: Option<Value>| with_change(good, path, value);
    vec![
        (
            changed("/settings/Categories/1/WindowMs", None),
            "settings.Categories.1.WindowMs",
        ),
        (
            changed("/settings/Categories/3/Benefit", None),
            "settings.Categories.3.Benefit",
        ),
        (
            changed("/settings/Categories/1/TtlMs", Some(json!(0))),
            "Categories.1.TtlMs",
        ),
        (
            changed("/settings/Categories/1/TtlMs", Some(json!("900"))),
            "Categories.1.TtlMs",
        ),
        (
            changed("/settings/Categories/0/TargetLatencyMs", Some(json!(-3))),
            "Categories.0.TargetLatencyMs",
        ),
        (
            changed("/settings/Categories/1/WindowMs", Some(json!("700"))),
            "Categories.1.WindowMs",
        ),
        (
            changed("/settings/Categories/1/Group", Some(json!("most"))),
            "Categories.1.Group",
        ),
        (
            changed("/settings/Categories/2/Effect", Some(json!("unheard-of"))),
            "Effect",
        ),
    ]
}

/// Configuration files with one faulty limit, with a part of the log line that names the fault.
fn files_with_faulty_limits(good: &Value) -> Vec<(String, &'static str)> {
    let changed = |path: &str, value: Option<Value>| with_change(good, path, value);
    vec![
        (
            changed("/settings/Limits/MostPushes", Some(json!(0))),
            "Limits.MostPushes",
        ),
        (
            changed("/settings/Limits/MostPushes", Some(json!("3"))),
            "Limits.MostPushes",
        ),
        (
            changed("/settings/Limits/MostPushes", Some(Value::Null)),
            "Limits.MostPushes",
        ),
    ]
}

/// Configuration files made faulty in one way each, with a part of the log line that names the fault.
fn faulty_files(good: &Value) -> Vec<(String, &'static str)> {
    [
        files_with_faulty_sections(good),
        files_with_faulty_request_classes(good),
        files_with_faulty_limits(good),
    ]
    .concat()
}

#[test]
fn faulty_file_is_rejected_completely_and_its_key_named() {
    let endpoint = TestEndpoint::echoing();
    let proxy = ProxyProcess::with_admin_api(&[&endpoint], |_| ());
    let good = proxy.configuration();
    let text = good.to_string();
    for (count, (config, named)) in faulty_files(&good).iter().enumerate() {
        proxy.reload(config);
        wait_until("it is rejected", || {
            proxy.metric("sighup_rejected") == Some(count as u64 + 1)
        });
        let last = || {
            let log = proxy.log();
            log.lines()
                .rfind(|line| line.contains("stays as it was"))
                .unwrap_or_default()
                .to_string()
        };
        wait_until(named, || last().contains(named));
    }
    assert_eq!(proxy.send_request(&request("half", 1.0, "")).0, 400);
    assert_eq!(
        proxy.send_request(&request("view", 1.0, "x")),
        (200, "x".into())
    );
    proxy.reload(&text);
    wait_until("the old one is applied again", || {
        proxy.metric("sighup_applied") == Some(1)
    });
}

/// A file that was cut short and still parses must be rejected whole. Where the running configuration had no
/// `limits`, the check for keys that a new file lacks ended there, and a request class could lose its terms: the
/// reload was logged as applied.
#[test]
fn a_class_that_loses_a_key_is_rejected_where_the_configuration_has_no_limits() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let without_limits = |configuration: &mut Value| {
        configuration
            .as_object_mut()
            .expect("an object")
            .remove("limits");
    };
    let proxy = ProxyProcess::with_configuration(&[&endpoint], without_limits, None);
    let mut cut = proxy.configuration();
    let class = cut["settings"]["Categories"][1]
        .as_object_mut()
        .expect("a class");
    class.remove("WindowMs");
    proxy.reload(&cut.to_string());
    wait_until("the file is judged", || {
        proxy.log().contains("the configuration stays as it was")
            || proxy.log().contains("configuration read again")
    });
    let log = proxy.log();
    assert!(log.contains("settings.Categories.1.WindowMs"), "{log}");
}
