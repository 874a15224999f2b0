//! Connections that are used for several requests, to clients and to endpoints.

use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until};
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn idle_connections_to_an_endpoint_that_timed_out_are_closed() {
    let silent = Arc::new(AtomicBool::new(false));
    let falls = silent.clone();
    let endpoint = TestEndpoint::new(move |stream, _| {
        sleep_ms(100);
        falls.load(Ordering::SeqCst) || stream.write_all(&ok_response("x")).is_ok()
    });
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let send = || assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
    thread::scope(|scope| (0..3).for_each(|_| drop(scope.spawn(send))));
    assert_eq!(endpoint.open_connections.load(Ordering::SeqCst), 3, "kept");
    // Long enough for them to be reused.
    sleep_ms(50);
    silent.store(true, Ordering::SeqCst);
    assert_eq!(proxy.send_request(&request("pay", 0.3, "")).0, 502);
    wait_until("all are closed", || {
        endpoint.open_connections.load(Ordering::SeqCst) == 0
    });
}

#[test]
fn idle_connection_closed_by_the_endpoint_is_not_reused() {
    let closes = TestEndpoint::new(|stream, _| stream.write_all(&ok_response("x")).is_err());
    let proxy = ProxyProcess::in_front_of(&[&closes]);
    let mut client = proxy.connect();
    for _ in 0..20 {
        client.write_all(&request("pay", 2.0, "")).unwrap();
        assert_eq!(
            status_code(&read_message(&mut client).expect("a response").0),
            200
        );
        wait_until("it is closed", || {
            closes.open_connections.load(Ordering::SeqCst) == 0
        });
        // The close is on its way to the proxy.
        sleep_ms(20);
    }
}

#[test]
fn idle_connection_is_closed_before_the_endpoint_would_close_it() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::with_configuration(
        &[&endpoint],
        |c| c["settings"]["Limits"]["KeepaliveMs"] = json!(400.0),
        None,
    );
    assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
    assert_eq!(endpoint.open_connections.load(Ordering::SeqCst), 1);
    let from = Instant::now();
    wait_until("it is closed", || {
        endpoint.open_connections.load(Ordering::SeqCst) == 0
    });
    assert!(from.elapsed() < Duration::from_millis(390));
}

#[test]
fn pipelined_request_waits_for_the_response_before_it() {
    let (endpoint, responses) = TestEndpoint::answering_on_command();
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let mut client = proxy.send_and_wait_for_attempt(&endpoint, &request("view", 5.0, ""));
    client.write_all(&request("view", 5.0, "")).unwrap();
    for body in ["first", "second"] {
        responses.send(ok_response(body)).unwrap();
        assert_eq!(
            read_message(&mut client).expect("a response").1,
            body.as_bytes()
        );
    }
}
