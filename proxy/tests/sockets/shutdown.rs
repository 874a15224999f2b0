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
    wait_until("it is out", || {
        slow.open_connections.load(Ordering::SeqCst) == 1
    });
    proxy.signal(Signal::TERM);
    sleep_ms(200);
    let mut second = proxy.connect();
    second.write_all(&request("view", 3.0, "")).unwrap();
    for client in [&mut first, &mut second] {
        let (head, body) = read_message(client).expect("an answer");
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
    // Its next request would cross this close.
    assert_eq!(idle.read(&mut [0]).ok(), Some(0));
    let mut again = TcpStream::connect(proxy.address).expect("the door is open");
    again.write_all(&request("view", 2.0, "")).unwrap();
    let (head, _) = read_message(&mut again).expect("an answer");
    assert_eq!(
        (
            status_code(&head),
            header_value(&head, "Connection").as_deref()
        ),
        (200, Some("close"))
    );
    assert!(proxy.wait_for_exit().0);
}

#[test]
fn shutdown_answers_requests_that_would_outlast_it() {
    // One at a server that never answers, two at a server whose answer never ends: of the first so much has come
    // that it is passed on, of the second one byte, with which nothing has begun.
    let quiet = TestEndpoint::new(|stream, received| {
        if received.head.starts_with("POST /view/") {
            let size = if received.body == b"much" { 100_000 } else { 1 };
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{chunk}").as_bytes());
        }
        let _ = stream.read(&mut [0]);
        false
    });
    let mut proxy = ProxyProcess::in_front_of(&[&quiet]);
    let (mut one, mut two, mut three) = (proxy.connect(), proxy.connect(), proxy.connect());
    let mut four = proxy.connect();
    one.write_all(&request("pay", 60.0, "")).unwrap();
    two.write_all(&request("view", 60.0, "much")).unwrap();
    three.write_all(&request("order", 60.0, "")).unwrap();
    four.write_all(&request("view", 60.0, "")).unwrap();
    wait_until("they are out", || quiet.received_count() >= 4);
    proxy.signal(Signal::TERM);
    assert_eq!(
        status_code(&read_message(&mut one).expect("an answer").0),
        502
    );
    assert!(matches!(
        status_code(&read_message(&mut three).expect("an answer").0),
        502 | 503
    ));
    let mut rest = Vec::new();
    let from = Instant::now();
    let _ = two.read_to_end(&mut rest);
    assert!(
        from.elapsed() < Duration::from_secs(1),
        "it is cut with the others' time"
    );
    assert!(rest.len() > 100_000, "it has begun");
    assert!(
        !rest.ends_with(b"0\r\n\r\n"),
        "it can tell that it is not whole"
    );
    assert_eq!(
        status_code(&read_message(&mut four).expect("an answer").0),
        503,
        "a whole one of the node's own"
    );
    assert!(proxy.wait_for_exit().0);
}

#[test]
fn request_in_the_accept_queue_when_the_listener_would_close_is_answered() {
    // The door stays open for 0.9 s; where the machine is too busy to stop the node within that, it is tried again.
    for _ in 0..5 {
        let endpoint = TestEndpoint::always_answering(ok_response("x"));
        let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
        let from = Instant::now();
        proxy.signal(Signal::TERM);
        wait_until("it is told", || proxy.log().contains("stopping"));
        proxy.signal(Signal::STOP);
        if from.elapsed() > Duration::from_millis(600) {
            continue;
        }
        proxy.pause();
        // Past the time until which clients may come, and well before the end.
        sleep_ms(1200);
        let mut late = TcpStream::connect(proxy.address).expect("the system takes it");
        late.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        late.write_all(&request("view", 2.0, "")).unwrap();
        proxy.resume();
        assert_eq!(
            status_code(&read_message(&mut late).expect("an answer").0),
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
    // It hears and says nothing.
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
        status_code(&read_message(&mut client).expect("an answer").0),
        200
    );
    assert!(proxy.wait_for_exit().0);
}
