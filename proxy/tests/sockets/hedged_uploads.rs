//! Copies of a long request whose body is streamed, and attempts that outlive their client.

use crate::support::body::{checksum, pseudo_random_bytes};
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::slow_reader::{listener_with_receive_buffer, read_slowly};
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const BODY_BYTES: usize = 400_000;
const COPIES: usize = 2;

/// What the endpoints of one request have in common.
#[derive(Default)]
struct Copies {
    started: AtomicUsize,
    /// The body bytes that each copy brought.
    bodies: Mutex<Vec<Vec<u8>>>,
}

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Handles one copy: reads only once every copy has been started, and answers the checksum of a whole body.
fn serve_copy(mut stream: TcpStream, copies: &Copies) {
    copies.started.fetch_add(1, Ordering::SeqCst);
    let since = Instant::now();
    while copies.started.load(Ordering::SeqCst) < COPIES && since.elapsed() < TEST_TIMEOUT {
        sleep_ms(5);
    }
    let head = read_head(&mut stream);
    let length = header_value(&head, "Content-Length").and_then(|value| value.parse().ok());
    let body = read_slowly(&mut stream, length.unwrap_or(0));
    let response = format!("{} {}", body.len(), checksum(&body));
    if Some(body.len()) == length {
        let _ = stream.write_all(&ok_response(&response));
    }
    copies.bodies.lock().unwrap().push(body);
}

fn accept_copies(listener: TcpListener, copies: &Arc<Copies>) {
    let copies = Arc::clone(copies);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let copies = Arc::clone(&copies);
            thread::spawn(move || serve_copy(stream, &copies));
        }
    });
}

/// Guards against two copies of a long request that take turns at the client's body, so that each endpoint gets a body
/// with gaps and its response reaches the client.
#[test]
fn copies_of_a_long_request_do_not_share_its_body() {
    let copies = Arc::new(Copies::default());
    let listeners: Vec<TcpListener> = (0..COPIES)
        .map(|_| listener_with_receive_buffer(4096))
        .collect();
    let entries: Vec<_> = listeners
        .iter()
        .enumerate()
        .map(|(i, listener)| {
            endpoint_entry(&format!("s{i}"), listener.local_addr().unwrap(), "Ready")
        })
        .collect();
    let (_discovery, proxy) = ProxyProcess::with_known_list(&endpoint_list(1, true, &entries));
    for listener in listeners {
        accept_copies(listener, &copies);
    }
    let body = pseudo_random_bytes(BODY_BYTES);
    let head = String::from_utf8(request("view", 10.0, "")).unwrap();
    let head = head.replace("Length: 0", &format!("Length: {BODY_BYTES}"));
    let mut client = proxy.connect();
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&body).unwrap();
    let (head, response) =
        read_message(&mut client).expect("a response: no endpoint got the whole body");
    assert_eq!(
        copies.started.load(Ordering::SeqCst),
        COPIES,
        "the request was hedged"
    );
    assert_eq!(status_code(&head), 200);
    assert_eq!(
        String::from_utf8_lossy(&response),
        format!("{BODY_BYTES} {}", checksum(&body)),
        "the endpoint that answered had another body"
    );
    wait_until("every copy has ended", || {
        copies.bodies.lock().unwrap().len() == COPIES
    });
    for received in copies.bodies.lock().unwrap().iter() {
        assert!(
            body.starts_with(received),
            "a copy of {} bytes has a gap",
            received.len()
        );
    }
}

/// Guards against an attempt that outlives its client where attempts may not be cancelled: its request could never be
/// completed, and the client's place in the table, from which its body is read, goes to the next client.
#[test]
fn unfinished_upload_ends_with_its_client_even_without_cancellation() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = [listener.local_addr().unwrap()];
    let (_discovery, proxy) = ProxyProcess::without_hedging(&addresses, |config| {
        config["settings"]["Limits"]["MayCancel"] = json!(false);
    });
    let head = String::from_utf8(request("view", 10.0, "")).unwrap();
    let head = head.replace("Length: 0", &format!("Length: {BODY_BYTES}"));
    let mut client = proxy.connect();
    client.write_all(head.as_bytes()).unwrap();
    client
        .write_all(&pseudo_random_bytes(BODY_BYTES / 2))
        .unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    read_head(&mut stream);
    let mut first_half = vec![0; BODY_BYTES / 2];
    stream.read_exact(&mut first_half).unwrap();
    drop(client);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let read = stream.read(&mut [0; 1024]).map_err(|error| error.kind());
    assert!(
        matches!(read, Ok(0) | Err(ErrorKind::ConnectionReset)),
        "the attempt goes on: {read:?}"
    );
}
