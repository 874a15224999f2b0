//! More clients, requests or connections than there is room for.

use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until};
use serde_json::json;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn health_check_connection_is_closed_after_its_response() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::with_configuration(
        &[&endpoint],
        |c| c["limits"]["sockets"] = json!(40),
        None,
    );
    let mut kept = proxy.connect();
    for _ in 0..3 {
        kept.write_all(&request("view", 1.0, "")).unwrap();
        assert_eq!(
            status_code(
                &read_message(&mut kept)
                    .expect("the client's connection is kept")
                    .0
            ),
            200
        );
        let mut checks: Vec<_> = (0..20).map(|_| proxy.connect()).collect();
        for check in &mut checks {
            check
                .write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                .unwrap();
            let (head, _) = read_message(check).expect("a response");
            assert_eq!(
                (
                    status_code(&head),
                    header_value(&head, "Connection").as_deref()
                ),
                (200, Some("close"))
            );
            assert_eq!(check.read(&mut [0]).ok(), Some(0));
        }
        sleep_ms(110);
    }
}

#[test]
fn idle_clients_leave_room_for_others() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::with_configuration(
        &[&endpoint],
        |c| c["limits"]["sockets"] = json!(136),
        None,
    );
    let mut once: Vec<_> = (0..40)
        .map(|_| {
            let mut client = proxy.connect();
            client.write_all(&request("view", 1.0, "")).unwrap();
            assert_eq!(
                status_code(&read_message(&mut client).expect("a response").0),
                200
            );
            sleep_ms(20);
            client
        })
        .collect();
    // Of sixty connections at most seven idle ones are kept, and those that have just had their response.
    let open = once.iter_mut().filter_map(|client| {
        client.set_nonblocking(true).unwrap();
        client.read(&mut [0]).err()
    });
    assert!((7..16).contains(&open.count()));
}

#[test]
fn idle_and_half_sent_connections_are_evicted_for_new_ones() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::with_configuration(
        &[&endpoint],
        |c| c["limits"]["sockets"] = json!(40),
        None,
    );
    let standing: Vec<_> = (0..60)
        .map(|k| {
            let mut client = proxy.connect();
            if k % 2 == 0 {
                let _ = client.write_all(b"POST /view HTTP/1.1\r\nX-Req");
            }
            client
        })
        .collect();
    for _ in 0..5 {
        assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
    }
    drop(standing);
}

#[test]
fn proxy_serves_with_fewer_descriptors_than_its_socket_limit() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::with_configuration(&[&endpoint], |_| (), Some(20));
    let standing: Vec<_> = (0..40).map(|_| proxy.connect()).collect();
    for _ in 0..5 {
        assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
    }
    drop(standing);
}

#[test]
fn requests_that_find_the_tables_full_are_rejected_at_once() {
    let silent = [(); 8].map(|()| TestEndpoint::silent());
    let proxy = ProxyProcess::with_configuration(
        &silent.each_ref(),
        |c| c["limits"]["sockets"] = json!(40),
        None,
    );
    let proxy = &proxy;
    thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(move || {
                let from = Instant::now();
                assert!(matches!(
                    proxy.send_with_reconnect(&request("view", 0.6, "")),
                    502 | 503
                ));
                // A client that was not accepted while the first requests were in flight would be served after
                // its deadline.
                assert!(from.elapsed() < Duration::from_millis(750));
            });
        }
    });
}

#[test]
fn requests_beyond_the_socket_limit_wait_or_are_rejected_and_none_is_lost() {
    let slow = TestEndpoint::new(|stream, _| {
        sleep_ms(100);
        stream.write_all(&ok_response("x")).is_ok()
    });
    // The system's limit on descriptors is lower still.
    let proxy = ProxyProcess::with_configuration(
        &[&slow],
        |c| c["limits"]["sockets"] = json!(40),
        Some(20),
    );
    let proxy = &proxy;
    thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(move || {
                let status = proxy.send_with_reconnect(&request("view", 2.0, ""));
                assert!(matches!(status, 200 | 503), "{status}");
            });
        }
    });
    wait_until("it serves again", || {
        proxy.send_request(&request("view", 1.0, "")).0 == 200
    });
}
