//! Deadlines of requests, and time limits on silent clients.

use crate::support::connection::{full_accept_queue, is_connecting_to};
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{wait_until, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn silent_endpoint_is_abandoned_at_the_deadline() {
    let silent = TestEndpoint::silent();
    let proxy = ProxyProcess::in_front_of(&[&silent]);
    let from = Instant::now();
    assert_eq!(proxy.send_request(&request("pay", 0.3, "")).0, 502);
    let took = from.elapsed();
    assert!(
        took > Duration::from_millis(250) && took < Duration::from_millis(370),
        "{took:?}"
    );
    wait_until("its connection is closed", || {
        silent.open_connections.load(Ordering::SeqCst) == 0
    });
}

#[test]
fn silent_and_incomplete_clients_are_closed_within_3_s() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let mut silent = proxy.connect();
    let mut half = proxy.connect();
    let mut kept = proxy.connect();
    let from = Instant::now();
    half.write_all(b"POST /view HTTP/1.1\r\nX-Req").unwrap();
    kept.write_all(&request("view", 1.0, "")).unwrap();
    assert_eq!(
        status_code(&read_message(&mut kept).expect("a response").0),
        200
    );
    assert_eq!(silent.read(&mut [0]).ok(), Some(0), "closed");
    assert_eq!(
        status_code(&read_message(&mut half).expect("a response").0),
        408
    );
    assert!(
        from.elapsed() > Duration::from_millis(2000)
            && from.elapsed() < Duration::from_millis(3000)
    );
    // So is a client that has had its response and stays idle: it would hold a descriptor forever.
    assert_eq!(kept.read(&mut [0]).ok(), Some(0), "closed");
    assert!(from.elapsed() < Duration::from_millis(3000));
}

#[test]
fn connection_established_after_the_deadline_carries_no_request() {
    let (listener, address, queued) = full_accept_queue();
    let known = endpoint_list(1, true, &[endpoint_entry("stuck", address, "Ready")]);
    let (_discovery, proxy) = ProxyProcess::with_connect_timeout(&known, 60_000.0);
    let mut client = proxy.connect();
    client.write_all(&request("pay", 1.5, "")).unwrap();
    let from = Instant::now();
    wait_until("it connects", || is_connecting_to(address));
    proxy.pause();
    // Makes room, so that the connection is established when its SYN is sent again.
    for _ in 0..queued.len() {
        listener.accept().unwrap();
    }
    drop(queued);
    let (mut late, _) = listener.accept().unwrap();
    let left = Duration::from_millis(1600).saturating_sub(from.elapsed());
    thread::sleep(left);
    proxy.resume();
    late.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(
        late.read(&mut [0]).ok(),
        Some(0),
        "closed with nothing sent"
    );
    assert!(matches!(
        status_code(&read_message(&mut client).expect("a response").0),
        502 | 503
    ));
}
