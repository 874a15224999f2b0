//! Deadlines of requests, and time limits on silent clients.

use crate::support::connection::{full_accept_queue, is_connecting_to};
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{wait_until, TEST_TIMEOUT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
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

/// How often the machine may be too slow to pause a process before its request's deadline.
const MAX_SLOW_STARTS: usize = 20;
/// The deadline of the request whose connection is established too late.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// A proxy that was paused while it connected to an endpoint whose accept queue is full.
struct PausedWhileConnecting {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    proxy: ProxyProcess,
    _discovery: TestDiscovery,
    client: TcpStream,
    sent_at: Instant,
}

impl PausedWhileConnecting {
    /// None where the machine was too slow: the deadline passed, and ended the connect, before the process paused.
    fn start() -> Option<Self> {
        let (listener, address, queued) = full_accept_queue();
        let known = endpoint_list(1, true, &[endpoint_entry("stuck", address, "Ready")]);
        let (discovery, proxy) = ProxyProcess::with_connect_timeout(&known, 60_000.0);
        let mut client = proxy.connect();
        let timeout_seconds = LATE_REQUEST_TIMEOUT.as_secs_f64();
        client
            .write_all(&request("pay", timeout_seconds, ""))
            .unwrap();
        let sent_at = Instant::now();
        wait_until("it connects, or its deadline has passed", || {
            is_connecting_to(address) || sent_at.elapsed() > LATE_REQUEST_TIMEOUT
        });
        proxy.pause();
        // A paused process ends no connect: what is seen now stays.
        is_connecting_to(address).then_some(PausedWhileConnecting {
            listener,
            queued,
            proxy,
            _discovery: discovery,
            client,
            sent_at,
        })
    }
}

#[test]
fn connection_established_after_the_deadline_carries_no_request() {
    let paused = (0..MAX_SLOW_STARTS).find_map(|_| PausedWhileConnecting::start());
    let PausedWhileConnecting {
        listener,
        queued,
        proxy,
        _discovery,
        mut client,
        sent_at,
    } = paused.expect("the machine pauses a process within 1.5 s");
    // Makes room, so that the connection is established when its SYN is sent again.
    for _ in 0..queued.len() {
        listener.accept().unwrap();
    }
    drop(queued);
    let (mut late, _) = listener.accept().unwrap();
    let left = Duration::from_millis(1600).saturating_sub(sent_at.elapsed());
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

/// Guards against a request that tells its endpoint a timeout from before its connection was established: the endpoint
/// would work for a proxy that has given up.
#[test]
fn request_on_a_late_connection_tells_the_time_that_is_left() {
    // A connection to a full accept queue is established a second later, when its first packet is sent again.
    let (listener, address, queued) = full_accept_queue();
    let known = endpoint_list(1, true, &[endpoint_entry("late", address, "Ready")]);
    let (_discovery, proxy) = ProxyProcess::with_connect_timeout(&known, 60_000.0);
    let mut client = proxy.connect();
    client.write_all(&request("pay", 5.0, "")).unwrap();
    let sent_at = Instant::now();
    wait_until("it connects", || is_connecting_to(address));
    for _ in 0..queued.len() {
        listener.accept().unwrap();
    }
    drop(queued);
    let (mut late, _) = listener.accept().unwrap();
    let (head, _) = read_message(&mut late).expect("a request");
    let connected_after = sent_at.elapsed().as_secs_f64();
    assert!(connected_after > 0.5, "the connection was late");
    let timeout = header_value(&head, "X-Timeout").expect("a timeout");
    let timeout: f64 = timeout.parse().expect("a number");
    assert!(timeout < 4.5, "{timeout} s after {connected_after} s");
}
