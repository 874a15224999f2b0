//! Graceful shutdown by SIGTERM.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn shutdown_serves_requests_that_still_arrive_and_finishes() {
    let slow = TestEndpoint::new(|stream, _| {
        sleep_ms(900);
        stream.write_all(&ok_response("late")).is_ok()
    });
    let mut proxy = ProxyProcess::in_front_of(&[&slow]);
    let mut idle = proxy.connect();
    let mut first = proxy.connect();
    first.write_all(&request("pay", 3.0, "")).unwrap();
    wait_until("the attempt is sent", || {
        slow.open_connections.load(Ordering::SeqCst) == 1
    });
    proxy.signal(Signal::TERM);
    sleep_ms(200);
    let mut second = proxy.connect();
    second.write_all(&request("view", 3.0, "")).unwrap();
    for client in [&mut first, &mut second] {
        let (head, body) = read_message(client).expect("a response");
        assert_eq!((status_code(&head), &body[..]), (200, &b"late"[..]));
        assert_eq!(header_value(&head, "Connection").as_deref(), Some("close"));
    }
    assert_eq!(idle.read(&mut [0]).ok(), Some(0), "closed between requests");
    let (success, log) = proxy.wait_for_exit();
    assert!(success && log.contains("ops: taken 2, acked 2"), "{log}");
}

#[test]
fn shutdown_accepts_the_repeat_of_a_request_that_crossed_a_close() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let mut idle = proxy.connect();
    idle.write_all(&request("view", 2.0, "")).unwrap();
    assert!(read_message(&mut idle).is_some());
    proxy.signal(Signal::TERM);
    // The client's next request would cross this close.
    assert_eq!(idle.read(&mut [0]).ok(), Some(0));
    let mut again = TcpStream::connect(proxy.address).expect("the listener is open");
    again.write_all(&request("view", 2.0, "")).unwrap();
    let (head, _) = read_message(&mut again).expect("a response");
    assert_eq!(
        (
            status_code(&head),
            header_value(&head, "Connection").as_deref()
        ),
        (200, Some("close"))
    );
    assert!(proxy.wait_for_exit().0);
}

/// An endpoint that begins a response to requests of the class `view`, with many bytes or one as their body says,
/// and never ends it; others it never answers.
fn endpoint_that_never_finishes() -> TestEndpoint {
    TestEndpoint::new(|stream, received| {
        if received.head.starts_with("POST /view/") {
            let size = if received.body == b"much" { 100_000 } else { 1 };
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{chunk}").as_bytes());
        }
        let _ = stream.read(&mut [0]);
        false
    })
}

/// Checks that a response that has begun ends soon, and visibly incomplete.
fn assert_cut_visibly(client: &mut TcpStream) {
    let mut rest = Vec::new();
    let from = Instant::now();
    let _ = client.read_to_end(&mut rest);
    assert!(
        from.elapsed() < Duration::from_secs(1),
        "it is cut at the others' deadline"
    );
    assert!(rest.len() > 100_000, "it has begun");
    assert!(
        !rest.ends_with(b"0\r\n\r\n"),
        "the client can tell that it is cut"
    );
}

#[test]
fn shutdown_answers_requests_that_would_outlast_it() {
    // Two that get no byte of a response, two whose response never ends: of the first so much has come that it is
    // streamed, of the second one byte, with which streaming has not begun.
    let quiet = endpoint_that_never_finishes();
    let mut proxy = ProxyProcess::in_front_of(&[&quiet]);
    let mut one = proxy.connect();
    let mut two = proxy.connect();
    let mut three = proxy.connect();
    let mut four = proxy.connect();
    one.write_all(&request("pay", 60.0, "")).unwrap();
    two.write_all(&request("view", 60.0, "much")).unwrap();
    three.write_all(&request("order", 60.0, "")).unwrap();
    four.write_all(&request("view", 60.0, "")).unwrap();
    wait_until("the attempts are sent", || quiet.received_count() >= 4);
    proxy.signal(Signal::TERM);
    assert_eq!(
        status_code(&read_message(&mut one).expect("a response").0),
        502
    );
    assert!(matches!(
        status_code(&read_message(&mut three).expect("a response").0),
        502 | 503
    ));
    assert_cut_visibly(&mut two);
    assert_eq!(
        status_code(&read_message(&mut four).expect("a response").0),
        503,
        "a complete response of the proxy's own"
    );
    assert!(proxy.wait_for_exit().0);
}

#[test]
fn request_in_the_accept_queue_when_the_listener_would_close_is_answered() {
    // The listener stays open for 0.9 s; where the machine is too busy to pause the proxy within that, the test
    // tries again.
    for _ in 0..5 {
        let endpoint = TestEndpoint::always_answering(ok_response("x"));
        let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
        let from = Instant::now();
        proxy.signal(Signal::TERM);
        wait_until("the shutdown begins", || proxy.log().contains("stopping"));
        proxy.signal(Signal::STOP);
        if from.elapsed() > Duration::from_millis(600) {
            continue;
        }
        proxy.pause();
        // Past the time until which clients may connect, and well before the exit.
        sleep_ms(1200);
        let mut late = TcpStream::connect(proxy.address).expect("the kernel accepts it");
        late.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        late.write_all(&request("view", 2.0, "")).unwrap();
        proxy.resume();
        assert_eq!(
            status_code(&read_message(&mut late).expect("a response").0),
            200
        );
        assert!(proxy.wait_for_exit().0);
        return;
    }
    panic!("no machine is so busy five times in a row");
}

#[test]
fn shutdown_before_the_first_endpoint_list_answers_waiting_clients() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let known = endpoint_list(1, true, &[endpoint_entry("s0", endpoint.address, "Ready")]);
    // It accepts calls and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut proxy = ProxyProcess::spawn(
        &configuration(silent.local_addr().unwrap(), &known),
        None,
        &[],
    );
    let mut client = proxy.connect();
    client.write_all(&request("view", 2.0, "")).unwrap();
    proxy.signal(Signal::TERM);
    assert_eq!(
        status_code(&read_message(&mut client).expect("a response").0),
        200
    );
    assert!(proxy.wait_for_exit().0);
}
