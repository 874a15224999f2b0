//! Clients that leave before their response: no attempt may be sent for them any more. Where two events must
//! cross, an endpoint holds its step back until it has seen the other side, or the proxy is paused until both are
//! ready.

use crate::support::configuration::report_load_to_probes_alone;
use crate::support::connection::{
    any_connection_in_state, full_accept_queue, is_connecting_to, proc_net_address,
    reset_connection, reset_on_close,
};
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{mpsc, Arc, Mutex};
use std::thread;

#[test]
fn client_close_cancels_its_attempt() {
    let silent = TestEndpoint::silent();
    let proxy = ProxyProcess::in_front_of(&[&silent]);
    let mut client = proxy.connect();
    client.write_all(&request("view", 4.0, "")).unwrap();
    wait_until("the attempt is sent", || {
        silent.open_connections.load(Ordering::SeqCst) == 1
    });
    drop(client);
    wait_until("its connection is closed", || {
        silent.open_connections.load(Ordering::SeqCst) == 0
    });
}

/// A response that fails an attempt for good where its class allows no retry.
const INTERNAL_ERROR_RESPONSE: &[u8] = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";

/// Opens so many idle connections to an endpoint that holds its responses back: the next attempts are written at
/// once.
fn open_idle_connections(
    proxy: &ProxyProcess,
    endpoint: &TestEndpoint,
    responses: &Sender<Vec<u8>>,
    connections: usize,
) {
    let mut clients: Vec<_> = (0..connections).map(|_| proxy.connect()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.write_all(&request("order", 60.0, "")).unwrap());
    wait_until("all are sent", || endpoint.received_count() == connections);
    (0..connections).for_each(|_| responses.send(ok_response("warm")).unwrap());
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(read_message(client).expect("a response").1, b"warm"));
    // Until they may be reused.
    sleep_ms(30);
}

#[test]
fn client_that_leaves_behind_further_bytes_cancels_its_attempt() {
    for (behind, how) in [
        (0, "closes"),
        (1, "closes"),
        (300_000, "closes"),
        (20, "resets"),
        (5000, "half closes"),
    ] {
        let quiet = TestEndpoint::new(|stream, _| {
            // It never answers, and closes once the proxy closes or sends more.
            let _ = stream.read(&mut [0]);
            false
        });
        let proxy = ProxyProcess::in_front_of(&[&quiet]);
        let mut client = proxy.send_and_wait_for_attempt(&quiet, &request("view", 60.0, ""));
        let _ = client.write_all(&vec![b'x'; behind]);
        match how {
            "resets" => reset_connection(client),
            "half closes" => client.shutdown(Shutdown::Write).unwrap(),
            _ => drop(client),
        }
        wait_until(
            &format!("its attempt is cancelled, {behind} bytes behind, it {how}"),
            || quiet.open_connections.load(Ordering::SeqCst) == 0,
        );
        assert_eq!(quiet.received_count(), 1);
    }
}

#[test]
fn disconnect_behind_a_failed_attempt_prevents_its_retry() {
    let (endpoint, responses) = TestEndpoint::answering_on_command();
    let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
    open_idle_connections(&proxy, &endpoint, &responses, 2);
    let mut client = proxy.send_and_wait_for_attempt(&endpoint, &request("view", 60.0, ""));
    proxy.pause();
    // The failure is ready first, then the client's close behind some bytes.
    responses.send(INTERNAL_ERROR_RESPONSE.to_vec()).unwrap();
    sleep_ms(50);
    client.write_all(b"x").unwrap();
    drop(client);
    sleep_ms(50);
    proxy.resume();
    responses.send(ok_response("next")).unwrap();
    assert_eq!(
        proxy.send_request(&request("order", 5.0, "")),
        (200, "next".into())
    );
    assert_eq!(
        proxy.shut_down_and_count_requests(&endpoint, "view"),
        1,
        "its client had left"
    );
}

#[test]
fn request_ready_together_with_its_clients_close_is_not_forwarded() {
    // Once on a connection that the proxy has accepted before, once on a new one.
    for known in [true, false] {
        let (endpoint, responses) = TestEndpoint::answering_on_command();
        let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
        open_idle_connections(&proxy, &endpoint, &responses, 2);
        let mut client = proxy.connect();
        if known {
            client.write_all(&request("view", 60.0, "")).unwrap();
            wait_until("the attempt is sent", || endpoint.received_count() == 3);
            responses.send(ok_response("x")).unwrap();
            assert!(read_message(&mut client).is_some());
            sleep_ms(30);
        }
        proxy.pause();
        if !known {
            client = TcpStream::connect(proxy.address).unwrap();
        }
        client
            .write_all(&[&request("pay", 60.0, "")[..], b"behind"].concat())
            .unwrap();
        drop(client);
        sleep_ms(30);
        proxy.resume();
        responses.send(ok_response("next")).unwrap();
        assert_eq!(
            proxy.send_request(&request("view", 5.0, "")),
            (200, "next".into())
        );
        assert_eq!(proxy.shut_down_and_count_requests(&endpoint, "pay"), 0);
    }
}

#[test]
fn load_probe_answered_together_with_its_clients_close_forwards_nothing() {
    // A probe waits for a quarter of a second at most; where the machine is too busy for that, the test tries
    // again.
    for _ in 0..5 {
        let (allow, allowed) = mpsc::channel::<()>();
        let allowed = Mutex::new(allowed);
        let endpoint = TestEndpoint::new(move |stream, received| {
            if received.head.starts_with("GET /_load ") {
                let _ = allowed.lock().unwrap().recv_timeout(TEST_TIMEOUT);
                return stream.write_all(&ok_response("TEXT inflight=0")).is_ok();
            }
            stream.write_all(&ok_response("x")).is_ok()
        });
        let shape = |config: &mut Value| {
            report_load_to_probes_alone(config);
            // A request waits for a probe for a tenth of it.
            config["settings"]["Categories"][0]["TargetLatencyMs"] = json!(60_000.0);
        };
        let mut proxy = ProxyProcess::with_configuration(&[&endpoint], shape, None);
        let mut client = proxy.connect();
        client.write_all(&request("view", 60.0, "")).unwrap();
        wait_until("the probe is sent", || endpoint.received_count() == 1);
        proxy.pause();
        allow.send(()).unwrap();
        sleep_ms(30);
        let sent = endpoint
            .received
            .lock()
            .unwrap()
            .iter()
            .any(|a| a.head.starts_with("POST /view/"));
        client.write_all(b"x").unwrap();
        drop(client);
        sleep_ms(30);
        proxy.resume();
        allow.send(()).unwrap();
        if !sent {
            assert_eq!(proxy.send_request(&request("order", 5.0, "")).0, 200);
            assert_eq!(
                proxy.shut_down_and_count_requests(&endpoint, "view"),
                0,
                "its client had left"
            );
            return;
        }
    }
    panic!("no machine is so busy five times in a row");
}

#[test]
fn client_close_cancels_a_pending_connect() {
    let (_listener, address, _queued) = full_accept_queue();
    let known = endpoint_list(1, true, &[endpoint_entry("stuck", address, "Ready")]);
    let (_discovery, proxy) = ProxyProcess::with_connect_timeout(&known, 60_000.0);
    let mut client = proxy.connect();
    client.write_all(&request("view", 60.0, "")).unwrap();
    wait_until("it connects", || is_connecting_to(address));
    client.write_all(b"behind").unwrap();
    drop(client);
    wait_until("it has stopped connecting", || !is_connecting_to(address));
}

#[test]
fn long_body_that_ends_with_its_clients_close_is_never_forwarded_completely() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = endpoint_list(
        1,
        true,
        &[endpoint_entry(
            "s0",
            listener.local_addr().unwrap(),
            "Ready",
        )],
    );
    let (_discovery, proxy) = ProxyProcess::with_known_list(&known);
    let read = Arc::new(AtomicUsize::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let count = read.clone();
    let end = over.clone();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut some = [0; 4096];
        while let Ok(n @ 1..) = stream.read(&mut some) {
            count.fetch_add(n, Ordering::SeqCst);
        }
        end.store(true, Ordering::SeqCst);
    });
    let bytes = request("pay", 60.0, &"x".repeat(200_000));
    // So little is left that it fits into any window, the close behind it too.
    let first = bytes.len() - 2000;
    let mut client = proxy.connect();
    let own = client.local_addr().unwrap();
    client.write_all(&bytes[..first]).unwrap();
    wait_until("all of it is forwarded", || {
        read.load(Ordering::SeqCst) + 500 > first
    });
    proxy.pause();
    client.write_all(&bytes[first..]).unwrap();
    drop(client);
    // State 05 (FIN_WAIT2) on the client's side: the proxy's kernel has its close, behind all bytes.
    wait_until("its close has arrived", || {
        any_connection_in_state(
            |addresses| addresses.next() == Some(&proc_net_address(own)),
            "05",
        )
    });
    proxy.resume();
    wait_until("its attempt is cancelled", || over.load(Ordering::SeqCst));
    assert!(read.load(Ordering::SeqCst) < 200_000, "its client had left");
}

#[test]
fn requests_of_hundreds_of_clients_that_left_at_once_are_not_forwarded() {
    let (endpoint, responses) = TestEndpoint::answering_on_command();
    let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
    open_idle_connections(&proxy, &endpoint, &responses, 2);
    proxy.pause();
    for _ in 0..300 {
        let mut client = proxy.connect();
        client.write_all(&request("view", 60.0, "")).unwrap();
    }
    sleep_ms(100);
    proxy.resume();
    wait_until("they are read", || {
        proxy.signal(Signal::USR1);
        proxy.log().contains("taken 302")
    });
    assert_eq!(
        proxy.shut_down_and_count_requests(&endpoint, "view"),
        0,
        "all had left"
    );
}

#[test]
fn client_that_leaves_while_its_response_is_buffered_gets_no_retry() {
    // A short response of unknown length, buffered until its end: its client leaves, then it breaks.
    let (gate, opened) = mpsc::channel::<()>();
    let opened = Mutex::new(opened);
    let endpoint = TestEndpoint::new(move |stream, _| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc");
        let _ = opened.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        reset_on_close(stream);
        false
    });
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let client = proxy.send_and_wait_for_attempt(&endpoint, &request("view", 60.0, ""));
    sleep_ms(50);
    proxy.pause();
    // The break is ready first, then the client's close.
    gate.send(()).unwrap();
    sleep_ms(50);
    drop(client);
    sleep_ms(50);
    proxy.resume();
    sleep_ms(300);
    assert_eq!(endpoint.received_count(), 1, "its client had left");
}
