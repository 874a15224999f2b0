//! Events that are ready in the same turn: the proxy is paused while they come in, and must handle them in the
//! right order.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use rustix::process::{getrlimit, setrlimit, Resource, Signal};
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

#[test]
fn response_ready_at_the_deadline_is_not_a_timeout() {
    let (endpoint, responses) = TestEndpoint::answering_on_command();
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    // Not idempotent: a timeout beside the response would be a final failure.
    let mut client = proxy.send_and_wait_for_attempt(&endpoint, &request("pay", 0.4, ""));
    proxy.pause();
    responses.send(ok_response("in time")).unwrap();
    sleep_ms(600);
    proxy.resume();
    let (head, body) = read_message(&mut client).expect("a response");
    assert_eq!((status_code(&head), &body[..]), (200, &b"in time"[..]));
}

#[test]
fn drain_is_applied_before_a_request_that_arrived_ahead_of_it() {
    let one = TestEndpoint::always_answering(ok_response("one"));
    let two = TestEndpoint::always_answering(ok_response("two"));
    let known = endpoint_list(1, true, &[endpoint_entry("one", one.address, "Ready")]);
    let (discovery, proxy) = ProxyProcess::with_known_list(&known);
    let mut client = proxy.connect();
    client.write_all(&request("view", 5.0, "")).unwrap();
    assert_eq!(read_message(&mut client).expect("a response").1, b"one");
    wait_until("it watches", || discovery.calls.lock().unwrap().len() >= 2);
    proxy.pause();
    client.write_all(&request("view", 60.0, "")).unwrap();
    sleep_ms(20);
    discovery.notify(endpoint_list(
        2,
        false,
        &[
            endpoint_entry("one", one.address, "Terminating"),
            endpoint_entry("two", two.address, "Ready"),
        ],
    ));
    // Longer than the drain grace.
    sleep_ms(200);
    proxy.resume();
    assert_eq!(read_message(&mut client).expect("a response").1, b"two");
    assert_eq!(one.received_count(), 1);
}

#[test]
fn drain_ready_together_with_a_reload_is_applied() {
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
    let old = TestDiscovery::new(known.clone());
    let proxy = ProxyProcess::start(&configuration(old.address, &known), None);
    wait_until("it watches", || old.calls.lock().unwrap().len() >= 2);
    // The new discovery accepts calls and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    proxy.pause();
    old.notify(endpoint_list(
        2,
        false,
        &[endpoint_entry("one", one.address, "Terminating")],
    ));
    proxy.reload(&configuration(silent.local_addr().unwrap(), &known).to_string());
    sleep_ms(50);
    proxy.resume();
    wait_until("it is applied", || {
        proxy.log().contains("configuration read again")
    });
    let before = one.received_count();
    for _ in 0..10 {
        assert_eq!(
            proxy.send_request(&request("view", 5.0, "")),
            (200, "two".into())
        );
    }
    assert_eq!(one.received_count(), before);
}

#[test]
fn request_ready_when_its_connection_reaches_the_idle_timeout_is_answered() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let mut client = proxy.connect();
    client.write_all(&request("view", 5.0, "")).unwrap();
    assert!(read_message(&mut client).is_some());
    proxy.pause();
    // Connections may be idle for 2 s at most.
    sleep_ms(2300);
    client.write_all(&request("pay", 60.0, "")).unwrap();
    proxy.resume();
    assert_eq!(
        status_code(&read_message(&mut client).expect("a response").0),
        200
    );
}

#[test]
fn request_ready_when_its_connection_would_be_evicted_is_answered() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    // Room for eight clients.
    let proxy = ProxyProcess::with_configuration(
        &[&endpoint],
        |c| c["limits"]["sockets"] = json!(48),
        None,
    );
    let mut idle: Vec<TcpStream> = (0..8).map(|_| proxy.connect()).collect();
    for client in &mut idle {
        client.write_all(&request("view", 5.0, "")).unwrap();
        // One of them may have been evicted for another; the first of those that remain counts below.
        let _ = read_message(client);
    }
    // So long that they count as idle, and shorter than the idle timeout.
    sleep_ms(150);
    proxy.pause();
    let mut asking: Vec<TcpStream> = idle
        .into_iter()
        .filter(|client| {
            client.set_nonblocking(true).unwrap();
            let open = client
                .peek(&mut [0])
                .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
            client.set_nonblocking(false).unwrap();
            open
        })
        .collect();
    // The connection with the oldest response would be evicted first.
    let mut first = asking.remove(0);
    first.write_all(&request("pay", 60.0, "")).unwrap();
    let mut new: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(proxy.address).unwrap())
        .collect();
    new.iter_mut()
        .for_each(|client| client.write_all(&request("view", 60.0, "")).unwrap());
    proxy.resume();
    assert_eq!(
        status_code(&read_message(&mut first).expect("a response").0),
        200
    );
    for client in &mut new {
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert!(matches!(
            status_code(&read_message(client).expect("a response").0),
            200 | 503
        ));
    }
}

#[test]
fn more_than_a_thousand_ready_events_are_handled_before_due_timers() {
    // The usual limit of 1,024 descriptors is too low for what this test opens.
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    setrlimit(Resource::Nofile, limit).expect("up to the hard limit anybody may go");
    let (endpoint, responses) = TestEndpoint::answering_on_command();
    let proxy = ProxyProcess::with_configuration(
        &[&endpoint],
        |c| c["limits"]["sockets"] = json!(4096),
        None,
    );
    let mut client = proxy.send_and_wait_for_attempt(&endpoint, &request("pay", 0.4, ""));
    // Twelve hundred clients that are connected and send something, all of it ready at once, ahead of the
    // response.
    let mut many: Vec<TcpStream> = (0..1200).map(|_| proxy.connect()).collect();
    let known = || proxy.log().contains("accepted 1202");
    wait_until("all are accepted", || {
        proxy.signal(Signal::USR1);
        known()
    });
    proxy.pause();
    many.iter_mut()
        .for_each(|client| client.write_all(b"x").unwrap());
    responses.send(ok_response("in time")).unwrap();
    sleep_ms(600);
    proxy.resume();
    let (head, body) = read_message(&mut client).expect("a response");
    assert_eq!((status_code(&head), &body[..]), (200, &b"in time"[..]));
}
