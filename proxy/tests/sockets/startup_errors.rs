//! Faulty configurations are named at the start.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, request};
use crate::support::proxy_process::{failed_start_log, ProxyProcess};
use crate::support::wait::wait_until;
use serde_json::json;

#[test]
fn startup_error_names_the_faulty_key() {
    let address = "127.0.0.1:9".parse().unwrap();
    let good = configuration(address, &endpoint_list(1, true, &[]));
    for (path, value, named) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(5), "discovery"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/known/seq", json!("one"), "known: seq"),
        ("/settings", json!(null), "settings"),
        ("/settings/Obligations/ColdShare", json!(null), "ColdShare"),
        ("/settings/Limits/KeepaliveMs", json!(-1), "KeepaliveMs"),
        ("/settings/Categories/0/Effect", json!("odd"), "Effect"),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).expect("in the good one") = value;
        let message = failed_start_log(&bad).expect("it does not start");
        assert!(message.contains(named), "{path}: {message}");
    }
}

#[test]
fn faulty_settings_are_named_at_start_and_change_nothing_on_reload() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let known = endpoint_list(1, true, &[endpoint_entry("s0", endpoint.address, "Ready")]);
    let discovery = TestDiscovery::new(known.clone());
    let good = configuration(discovery.address, &known);
    for (path, value, named) in [
        (
            "/settings/Reporting",
            json!({"Via": "pull"}),
            "Reporting.Via",
        ),
        (
            "/settings/Reporting",
            json!({"Via": "pigeon"}),
            "Reporting.Via",
        ),
        ("/settings/Reporting", json!({"Via": 7}), "Reporting.Via"),
        ("/settings/GroupSize", json!(-4), "GroupSize"),
        ("/settings/MyNumber", json!(1), "MyNumber"),
        (
            "/settings/Limits",
            json!({"MostPushes": "six"}),
            "Limits.MostPushes",
        ),
        (
            "/settings/Specifics",
            json!({"WarmKeys": [true]}),
            "Specifics.WarmKeys",
        ),
        ("/key_header", json!("two words"), "key_header"),
    ] {
        let mut bad = good.clone();
        let (parent, name) = path.rsplit_once('/').unwrap();
        bad.pointer_mut(parent).unwrap()[name] = value;
        let log = failed_start_log(&bad).unwrap_or_default();
        assert!(log.contains(named), "{path}: {log}");
    }
    let proxy = ProxyProcess::with_configuration(&[&endpoint], |_| (), None);
    let mut bad = good;
    bad["settings"]["Reporting"] = json!({"Via": "pull"});
    proxy.reload(&bad.to_string());
    wait_until("the error is logged", || {
        proxy.log().contains("Reporting.Via")
    });
    assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
}
