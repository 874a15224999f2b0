//! Calls to discovery: polls, watches and their retries.

use crate::support::configuration::configuration;
use crate::support::connection::reset_connection;
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::wait_until;
use serde_json::json;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn silent_or_broken_discovery_is_polled_again() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let known = endpoint_list(1, true, &[endpoint_entry("s", endpoint.address, "Ready")]);
    let discovery = TestDiscovery::new(json!({"odd": true}));
    let proxy = ProxyProcess::start(&configuration(discovery.address, &known), None);
    assert_eq!(
        proxy.send_request(&request("view", 1.0, "")).0,
        200,
        "served by the list it knew"
    );
    // After the broken response discovery is silent: the proxy must call again and again, on new connections.
    wait_until("it has called three times", || {
        discovery.calls.lock().unwrap().len() >= 3
    });
}

#[test]
fn repeatedly_reset_watch_is_reopened_within_the_drain_grace() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let known = endpoint_list(1, true, &[endpoint_entry("s0", endpoint.address, "Ready")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut configuration = configuration(listener.local_addr().unwrap(), &known);
    configuration["settings"]["Obligations"]["StopSendingWithinMs"] = json!(500.0);
    configuration["settings"]["Obligations"]["AskWithinMs"] = json!(8000.0);
    let gaps = thread::spawn(move || {
        let mut gaps = Vec::new();
        let mut last = None::<Instant>;
        for stream in listener.incoming().take(9) {
            let mut stream = stream.unwrap();
            gaps.extend(last.map(|at| at.elapsed()));
            if read_message(&mut stream).is_some() {
                reset_connection(stream);
            }
            last = Some(Instant::now());
        }
        gaps
    });
    let _proxy = ProxyProcess::start(&configuration, None);
    let mut gaps = gaps.join().unwrap();
    gaps.sort();
    // Backoff that doubles to a quarter of `AskWithinMs` comes to 1 s and more by the fourth retry. A busy
    // machine may be late once or twice; half of the nine are not.
    assert!(
        gaps[gaps.len() / 2] < Duration::from_millis(450),
        "{gaps:?}"
    );
}

#[test]
fn start_polls_only_for_changes_since_the_known_list() {
    let endpoint = TestEndpoint::echoing();
    let ready = [endpoint_entry("s0", endpoint.address, "Ready")];
    let known = endpoint_list(7, true, &ready);
    // It answers the first call with its own version, older than the known one.
    let discovery = TestDiscovery::new(endpoint_list(3, false, &[]));
    discovery.notify(endpoint_list(3, true, &ready));
    let proxy = ProxyProcess::start(&configuration(discovery.address, &known), None);
    assert_eq!(
        proxy.send_request(&request("view", 1.0, "x")),
        (200, "x".into())
    );
    let calls = || discovery.calls.lock().unwrap().clone();
    wait_until("it watches", || calls().len() >= 3);
    assert!(calls()[0].contains("from=7&hold_ms=0"), "{:?}", calls());
    assert!(
        !calls()[1].contains("from="),
        "all of it, as versions differ: {:?}",
        calls()
    );
    assert!(calls()[2].contains("from=3&hold_ms=2000"), "{:?}", calls());
}
