//! Endpoints disabled by an operator.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::request;
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::wait_until;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;

#[test]
fn disabled_endpoint_gets_nothing_across_a_crash_until_it_is_enabled() {
    let one = TestEndpoint::echoing();
    let two = TestEndpoint::echoing();
    let mut proxy = ProxyProcess::with_admin_api(&[&one, &two], |_| ());
    let all = |proxy: &ProxyProcess| {
        (0..12).all(|_| proxy.send_request(&request("view", 2.0, "")).0 == 200)
    };
    assert!(all(&proxy) && one.received_count() > 0);
    let open = one.open_connections.load(Ordering::SeqCst);
    assert!(open > 0);
    for _ in 0..2 {
        assert_eq!(
            proxy.admin_call("POST", "/v1/servers/s0/suspend").0,
            200,
            "may be called again"
        );
    }
    wait_until("idle connections are closed", || {
        one.open_connections.load(Ordering::SeqCst) == 0
    });
    let before = one.received_count();
    assert!(all(&proxy));
    proxy.signal(Signal::KILL);
    assert!(!proxy.wait_for_exit().0);
    let again = proxy.start_successor();
    assert!(
        all(&again) && one.received_count() == before,
        "not after a crash"
    );
    assert_eq!(again.metric("ejected"), Some(1));
    assert_eq!(
        again.admin_call("POST", "/v1/servers/s0/resume").0,
        200,
        "one call ends it"
    );
    wait_until("it is used again", || {
        all(&again) && one.received_count() > before
    });
}

#[test]
fn disable_that_cannot_be_stored_is_rejected() {
    let endpoint = TestEndpoint::echoing();
    let proxy = ProxyProcess::with_admin_api(&[&endpoint], |c| c["name"] = json!("a/name"));
    let folders: Vec<_> = std::fs::read_dir(proxy.temp_dir())
        .unwrap()
        .flatten()
        .map(|f| f.path())
        .collect();
    assert_eq!(folders.len(), 1, "one plain name: {folders:?}");
    std::fs::remove_dir_all(&folders[0]).unwrap();
    assert_eq!(proxy.admin_call("POST", "/v1/servers/s0/suspend").0, 503);
    assert_eq!(
        proxy.send_request(&request("view", 2.0, "x")),
        (200, "x".into())
    );
}

/// Empties every file in the proxy's state directory, as a crash in the middle of a write may leave them.
fn empty_state_files(proxy: &ProxyProcess) {
    let folder = std::fs::read_dir(proxy.temp_dir())
        .unwrap()
        .flatten()
        .next()
        .unwrap()
        .path();
    for entry in std::fs::read_dir(folder)
        .unwrap()
        .flatten()
        .filter(|f| f.path().is_file())
    {
        std::fs::write(entry.path(), "").unwrap();
    }
}

#[test]
fn any_endpoint_id_can_be_disabled_and_a_torn_file_counts() {
    let endpoint = TestEndpoint::echoing();
    let ids = ["a/b c%".to_string(), "x".repeat(300)];
    let hosts: Vec<Value> = ids
        .iter()
        .map(|id| endpoint_entry(id, endpoint.address, "Ready"))
        .collect();
    let known = endpoint_list(1, true, &hosts);
    let discovery = TestDiscovery::new(known.clone());
    let mut config = configuration(discovery.address, &known);
    config["admin_addr"] = json!("127.0.0.1:0");
    let proxy = ProxyProcess::start(&config, None);
    for path in ["a%2Fb%20c%25", "a/b%20c%25", &ids[1]] {
        assert_eq!(
            proxy
                .admin_call("POST", &format!("/v1/servers/{path}/suspend"))
                .0,
            200
        );
    }
    assert_eq!(
        (
            proxy.metric("ejected"),
            proxy.send_request(&request("view", 1.0, "")).0
        ),
        (Some(2), 503)
    );
    empty_state_files(&proxy);
    // An endpoint that is not in the list any more is still known, and still disabled.
    discovery.notify(endpoint_list(2, true, &hosts[1..]));
    wait_until("one is gone", || proxy.metric("discovered") == Some(1));
    assert_eq!(
        proxy
            .admin_call("POST", "/v1/servers/a%2Fb%20c%25/suspend")
            .0,
        200
    );
    discovery.notify(endpoint_list(3, true, &hosts));
    wait_until("it is back", || proxy.metric("discovered") == Some(2));
    assert_eq!(proxy.metric("ejected"), Some(2));
}
