//! Long requests at an endpoint that hangs: it is connected, and takes no bytes beyond what its socket holds.

use crate::support::connection::{becomes_writable, hold_no_unsent_bytes};
use crate::support::discovery::TestDiscovery;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::slow_reader::{listener_with_receive_buffer, unused_loopback_address};
use crate::support::wait::TEST_TIMEOUT;
use rustix::process::Signal;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Lengths of which some fit into the proxy and the sockets, and some of these do not fit into the endpoint's side.
const BODY_LENGTHS: std::ops::RangeInclusive<usize> = 100_000..=1_000_000;
/// Lengths of the part before the last piece: some fill the endpoint's side up to a part of that piece.
const EARLY_LENGTHS: std::ops::RangeInclusive<usize> = 100_000..=460_000;
/// Lengths of which the proxy holds a part, in front of further bytes.
const BEHIND_LENGTHS: std::ops::RangeInclusive<usize> = 430_000..=610_000;
/// More than the proxy reads before it admits a request.
const FIRST_PART_BYTES: usize = 80_000;
const LAST_PIECE_BYTES: usize = 60_000;
const LENGTH_STEP: usize = 30_000;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// How late a response may come on a busy machine; far less than a stall.
const TOLERANCE: Duration = Duration::from_millis(1500);
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// How long a client waits until all of its request is at the proxy's machine.
const ARRIVAL_LIMIT: Duration = Duration::from_millis(200);

struct HangingEndpoint {
    listener: TcpListener,
    discovery: TestDiscovery,
    proxy: ProxyProcess,
}

impl HangingEndpoint {
    fn start() -> Self {
        HangingEndpoint::start_with_receive_buffer(32 * 1024)
    }

    fn start_with_receive_buffer(bytes: usize) -> Self {
        let listener = listener_with_receive_buffer(bytes);
        let addresses = [listener.local_addr().unwrap()];
        let (discovery, proxy) = ProxyProcess::without_hedging(&addresses, |config| {
            config["listen"] = json!(format!("{}:0", unused_loopback_address()));
        });
        HangingEndpoint {
            listener,
            discovery,
            proxy,
        }
    }

    /// Sends a long request without blocking. Returns the connection if all of it arrives at the proxy's machine.
    fn send(&self, timeout: Duration, length: usize, chunked: bool) -> Option<TcpStream> {
        let mut client = self.proxy.connect();
        let head = String::from_utf8(request("pay", timeout.as_secs_f64(), "")).unwrap();
        let framing = if chunked {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {length}")
        };
        let mut message = head.replace("Content-Length: 0", &framing).into_bytes();
        if chunked {
            message.extend_from_slice(&chunks(length));
            message.extend_from_slice(LAST_CHUNK);
        } else {
            message.resize(message.len() + length, b'l');
        }
        client.set_write_timeout(Some(ARRIVAL_LIMIT)).unwrap();
        hold_no_unsent_bytes(&client);
        client.write_all(&message).ok()?;
        becomes_writable(&client, ARRIVAL_LIMIT).then_some(client)
    }
}

/// Chunks of a body of about this length.
fn chunks(length: usize) -> Vec<u8> {
    let chunk = format!("3e8\r\n{}\r\n", "c".repeat(1000));
    chunk.repeat(length / 1000).into_bytes()
}

fn read_status(client: &mut TcpStream) -> u16 {
    read_message(client).map_or(0, |(head, _)| status_code(&head))
}

/// What became of a request of one length.
#[derive(Debug)]
enum Observation {
    /// The proxy and the sockets did not hold it whole.
    NotArrived,
    /// It was answered in its time.
    Answered { status: u16, after: Duration },
}

impl Observation {
    /// Whether the endpoint did not have the request whole when its time was over. An earlier response is a rejection,
    /// as an endpoint that hangs is avoided.
    fn was_held_by_proxy(&self) -> bool {
        matches!(self, Observation::Answered { status: 503, after } if *after > REQUEST_TIMEOUT / 2)
    }
}

/// Sends requests of many lengths and checks that each that has arrived whole is answered in its time, and that the
/// endpoint did not have some of them whole.
fn check_responses_in_time(chunked: bool) {
    let hanging = HangingEndpoint::start();
    let observe = |length| {
        let Some(mut client) = hanging.send(REQUEST_TIMEOUT, length, chunked) else {
            return (length, Observation::NotArrived);
        };
        let arrived = Instant::now();
        client
            .set_read_timeout(Some(REQUEST_TIMEOUT + TOLERANCE))
            .unwrap();
        let status = read_status(&mut client);
        let after = arrived.elapsed();
        assert!(
            matches!(status, 502 | 503),
            "{length} bytes, chunked {chunked}: {status} after {after:?}"
        );
        (length, Observation::Answered { status, after })
    };
    let observations: Vec<_> = BODY_LENGTHS.step_by(LENGTH_STEP).map(observe).collect();
    assert!(
        observations
            .iter()
            .any(|(_, observation)| observation.was_held_by_proxy()),
        "no length filled the endpoint's side: {observations:?}"
    );
}

/// Guards against a request in chunks that has arrived whole, but whose end the proxy has not read, and that is held to
/// a stall instead of its time.
#[test]
fn chunked_request_at_a_hanging_endpoint_is_answered_in_its_time() {
    check_responses_in_time(true);
}

/// Guards against a request whose last piece is read but not taken by the endpoint, and that is held to a stall.
#[test]
fn request_whose_last_piece_is_not_taken_is_answered_in_its_time() {
    check_responses_in_time(false);
}

/// Guards against a request whose first piece is not taken, and whose last byte arrives after it was looked at: nothing
/// looked again before a stall.
#[test]
fn slow_request_whose_first_piece_is_not_taken_is_answered_in_its_time() {
    let hanging = HangingEndpoint::start_with_receive_buffer(4096);
    let head = String::from_utf8(request("pay", REQUEST_TIMEOUT.as_secs_f64(), "")).unwrap();
    let length = FIRST_PART_BYTES + LAST_PIECE_BYTES;
    let mut client = hanging.proxy.connect();
    let mut message = head
        .replace("Length: 0", &format!("Length: {length}"))
        .into_bytes();
    message.resize(message.len() + FIRST_PART_BYTES, b'f');
    client.write_all(&message).unwrap();
    thread::sleep(2 * REQUEST_TIMEOUT);
    client.write_all(&[b'l'; LAST_PIECE_BYTES]).unwrap();
    client
        .set_read_timeout(Some(REQUEST_TIMEOUT + TOLERANCE))
        .unwrap();
    assert_eq!(read_status(&mut client), 503, "no endpoint had it whole");
}

/// Guards against taking bytes of the next request for the end of a long one, whose time would restart with each.
#[test]
fn bytes_behind_a_long_request_do_not_prolong_its_time() {
    for chunked in [false, true] {
        let hanging = HangingEndpoint::start();
        let lengths = BEHIND_LENGTHS.step_by(LENGTH_STEP);
        let mut clients: Vec<TcpStream> = lengths
            .filter_map(|length| hanging.send(REQUEST_TIMEOUT, length, chunked))
            .collect();
        assert!(!clients.is_empty(), "no request arrived whole");
        let sent = Instant::now();
        while sent.elapsed() < REQUEST_TIMEOUT + TOLERANCE {
            for client in &mut clients {
                // Fails once the connection is closed behind the response.
                let _ = client.write_all(b"\r\n");
            }
            thread::sleep(REQUEST_TIMEOUT / 4);
        }
        for client in &mut clients {
            client
                .set_read_timeout(Some(Duration::from_millis(1)))
                .unwrap();
            let status = read_status(client);
            assert!(matches!(status, 502 | 503), "chunked {chunked}: {status}");
        }
    }
}

/// Guards against a last piece that comes long after the attempt began, to an endpoint that has taken all before it: no
/// write had to wait until then, so nothing had been timed by the request's arrival.
#[test]
fn late_last_piece_that_is_not_taken_is_answered_in_its_time() {
    let hanging = HangingEndpoint::start();
    let last_piece = [b'l'; LAST_PIECE_BYTES];
    for length in EARLY_LENGTHS.step_by(LENGTH_STEP) {
        let head = String::from_utf8(request("pay", REQUEST_TIMEOUT.as_secs_f64(), "")).unwrap();
        let framing = format!("Length: {}", length + LAST_PIECE_BYTES);
        let mut client = hanging.proxy.connect();
        client.set_write_timeout(Some(ARRIVAL_LIMIT)).unwrap();
        let mut message = head.replace("Length: 0", &framing).into_bytes();
        message.resize(message.len() + length, b'e');
        if client.write_all(&message).is_err() {
            continue;
        }
        thread::sleep(2 * REQUEST_TIMEOUT);
        hold_no_unsent_bytes(&client);
        if client.write_all(&last_piece).is_err() || !becomes_writable(&client, ARRIVAL_LIMIT) {
            continue;
        }
        let arrived = Instant::now();
        client
            .set_read_timeout(Some(REQUEST_TIMEOUT + TOLERANCE))
            .unwrap();
        let status = read_status(&mut client);
        assert!(
            matches!(status, 502 | 503),
            "{length} bytes: {status} after {:?}",
            arrived.elapsed()
        );
    }
}

/// Guards against taking a pause of the client for the end of its request in chunks, while the endpoint takes no more.
#[test]
fn client_may_pause_within_a_chunked_request_while_the_endpoint_pauses() {
    let HangingEndpoint {
        listener,
        discovery: _discovery,
        proxy,
    } = HangingEndpoint::start();
    let pause = 2 * REQUEST_TIMEOUT;
    let endpoint = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        thread::sleep(pause);
        let mut received = Vec::new();
        let mut piece = [0; 65_536];
        while !received.ends_with(LAST_CHUNK) {
            match stream.read(&mut piece) {
                Ok(count @ 1..) => received.extend_from_slice(&piece[..count]),
                _ => return,
            }
        }
        let _ = stream.write_all(&ok_response(""));
    });
    let head = String::from_utf8(request("pay", REQUEST_TIMEOUT.as_secs_f64(), "")).unwrap();
    let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let mut client = proxy.connect();
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&chunks(500_000)).unwrap();
    thread::sleep(pause);
    client.write_all(&chunks(1000)).unwrap();
    client.write_all(LAST_CHUNK).unwrap();
    assert_eq!(read_status(&mut client), 200);
    endpoint.join().unwrap();
}

/// Guards against a long request at a hanging endpoint that outlasts a shutdown: it was answered by nothing but the end
/// of the process.
#[test]
fn shutdown_answers_long_requests_at_a_hanging_endpoint() {
    for chunked in [false, true] {
        let mut hanging = HangingEndpoint::start();
        let timeout = Duration::from_secs(60);
        let mut clients: Vec<TcpStream> = [300_000, 440_000, 500_000, 560_000, 600_000]
            .into_iter()
            .filter_map(|length| hanging.send(timeout, length, chunked))
            .collect();
        assert!(!clients.is_empty(), "no request arrived whole");
        hanging.proxy.signal(Signal::TERM);
        for client in &mut clients {
            client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let status = read_status(client);
            assert!(matches!(status, 502 | 503), "chunked {chunked}: {status}");
        }
        let (success, log) = hanging.proxy.wait_for_exit();
        assert!(success, "{log}");
    }
}
