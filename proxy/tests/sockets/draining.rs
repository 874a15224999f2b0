//! Endpoints that drain or leave the endpoint list.

use crate::support::connection::full_accept_queue;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn draining_endpoint_gets_no_new_requests() {
    let one = TestEndpoint::always_answering(ok_response("one"));
    let two = TestEndpoint::always_answering(ok_response("two"));
    let known = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("one", one.address, "Ready"),
            endpoint_entry("two", two.address, "Ready"),
        ],
    );
    let (discovery, proxy) = ProxyProcess::with_known_list(&known);
    wait_until("both are used", || {
        proxy.send_request(&request("view", 1.0, ""));
        one.received_count() > 0 && two.received_count() > 0
    });
    wait_until("it watches", || discovery.is_watched_from(1));
    discovery.notify(endpoint_list(
        2,
        false,
        &[endpoint_entry("one", one.address, "Terminating")],
    ));
    wait_until("idle connections are closed", || {
        one.open_connections.load(Ordering::SeqCst) == 0
    });
    let before = one.received_count();
    for _ in 0..20 {
        assert_eq!(
            proxy.send_request(&request("view", 1.0, "")),
            (200, "two".into())
        );
    }
    // A complete list without the other one has the same effect on that.
    discovery.notify(endpoint_list(
        3,
        true,
        &[endpoint_entry("one", one.address, "Ready")],
    ));
    wait_until("the other's are closed", || {
        two.open_connections.load(Ordering::SeqCst) == 0
    });
    assert_eq!(one.received_count(), before);
    assert_eq!(
        proxy.send_request(&request("view", 1.0, "")),
        (200, "one".into())
    );
}

#[test]
fn attempt_still_connecting_leaves_a_draining_endpoint() {
    // Its accept queue is full, so that a further connection is established late, if at all.
    let (_listener, address, _queued) = full_accept_queue();
    let good = TestEndpoint::always_answering(ok_response("good"));
    let known = endpoint_list(1, true, &[endpoint_entry("stuck", address, "Ready")]);
    let (discovery, proxy) = ProxyProcess::with_connect_timeout(&known, 3000.0);
    let mut client = proxy.connect();
    client.write_all(&request("pay", 2.0, "")).unwrap();
    sleep_ms(50);
    let hosts = [
        endpoint_entry("stuck", address, "Terminating"),
        endpoint_entry("good", good.address, "Ready"),
    ];
    let from = Instant::now();
    discovery.notify(endpoint_list(2, false, &hosts));
    assert_eq!(read_message(&mut client).expect("a response").1, b"good");
    assert!(from.elapsed() < Duration::from_millis(500), "at once");
}
