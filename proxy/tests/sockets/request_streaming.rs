//! Long request bodies are streamed to their endpoint.

use crate::support::body::{checksum, pseudo_random_bytes};
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::generated::check_generated;
use crate::support::http::{read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, TEST_TIMEOUT};
use quickcheck::Arbitrary;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Sends a long body in a framing and in pieces of any size; the response's status and body.
fn send_body_in_pieces(
    proxy: &ProxyProcess,
    body: &[u8],
    chunked: bool,
    pieces: usize,
    pause_ms: u64,
) -> (u16, Vec<u8>) {
    let head = String::from_utf8(request("pay", 1.0, "")).unwrap();
    let framing = if chunked {
        "Transfer-Encoding: chunked".into()
    } else {
        format!("Content-Length: {}", body.len())
    };
    let mut client = proxy.connect();
    client
        .write_all(head.replace("Content-Length: 0", &framing).as_bytes())
        .unwrap();
    for piece in body.chunks(body.len() / pieces + 1) {
        let bytes = if chunked {
            [
                format!("{:x};a=b\r\n", piece.len()).as_bytes(),
                piece,
                b"\r\n",
            ]
            .concat()
        } else {
            piece.to_vec()
        };
        if client.write_all(&bytes).is_err() {
            break;
        }
        sleep_ms(pause_ms);
    }
    if chunked {
        let _ = client.write_all(b"0\r\nX-Trailer: t\r\n\r\n");
    }
    read_message(&mut client).map_or((0, Vec::new()), |(head, body)| (status_code(&head), body))
}

#[test]
fn long_request_is_streamed_in_any_framing_and_pieces() {
    let endpoint = TestEndpoint::answering_checksums();
    let proxy = Arc::new(ProxyProcess::in_front_of(&[&endpoint]));
    let streaming_proxy = proxy.clone();
    check_generated(24, move |g| {
        let body = pseudo_random_bytes(66_000 + usize::arbitrary(g) % 900_000);
        let chunked = bool::arbitrary(g);
        let pieces = 1 + usize::arbitrary(g) % 40;
        let (status, response) = send_body_in_pieces(
            &streaming_proxy,
            &body,
            chunked,
            pieces,
            u64::from(pieces < 10),
        );
        status == 200 && response == format!("{} {}", body.len(), checksum(&body)).as_bytes()
    });
    assert_eq!(proxy.send_request(&request("view", 1.0, "x")).0, 200);
}

#[test]
fn request_timeout_starts_with_its_last_byte() {
    let endpoint = TestEndpoint::answering_checksums();
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    // Three seconds to send, with a timeout of one.
    let body = pseudo_random_bytes(300_000);
    assert_eq!(send_body_in_pieces(&proxy, &body, false, 30, 100).0, 200);
    assert_eq!(send_body_in_pieces(&proxy, &body, true, 30, 100).0, 200);
}

#[test]
fn long_request_is_retried_only_while_it_is_fully_buffered() {
    let refused = crankmux_fault_injection::free_port();
    let endpoint = TestEndpoint::answering_checksums();
    let known = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("r", refused, "Ready"),
            endpoint_entry("g", endpoint.address, "Ready"),
        ],
    );
    let (_discovery, proxy) = ProxyProcess::with_known_list(&known);
    for _ in 0..6 {
        assert_eq!(
            send_body_in_pieces(&proxy, &pseudo_random_bytes(150_000), false, 3, 0).0,
            200
        );
    }
    // An endpoint that breaks in the middle of a body never had all of it: the client may try the request again.
    let breaks = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = endpoint_list(
        1,
        true,
        &[endpoint_entry("b", breaks.local_addr().unwrap(), "Ready")],
    );
    thread::spawn(move || {
        for mut stream in breaks.incoming().flatten() {
            let _ = stream.read_exact(&mut [0; 200_000]);
        }
    });
    let (_discovery, proxy) = ProxyProcess::with_known_list(&known);
    assert_eq!(
        send_body_in_pieces(&proxy, &pseudo_random_bytes(2_000_000), false, 100, 5).0,
        503
    );
}

#[test]
fn stalled_or_trickling_body_is_closed() {
    let endpoint = TestEndpoint::answering_checksums();
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let head = String::from_utf8(request("pay", 1.0, "")).unwrap();
    let mut creeping: Vec<_> = [1_000, 100_000]
        .iter()
        .map(|length| {
            let head = head.replace("id", &format!("c{length}-"));
            let mut client = proxy.connect();
            client
                .write_all(head.replace("Length: 0", "Length: 200000").as_bytes())
                .unwrap();
            client.write_all(&pseudo_random_bytes(*length)).unwrap();
            client
        })
        .collect();
    let from = Instant::now();
    for client in &mut creeping {
        let received_status = read_message(client).map(|(head, _)| status_code(&head));
        assert!(
            received_status.is_none_or(|status| status == 408),
            "{received_status:?}"
        );
    }
    assert!(from.elapsed() < Duration::from_secs(3));
    // A byte now and then is not accepted as a body.
    let mut client = proxy.connect();
    client
        .write_all(head.replace("Length: 0", "Length: 9000").as_bytes())
        .unwrap();
    client
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let closed = (0..60).any(|_| {
        let _ = client.write_all(b"x");
        client.read(&mut [0; 100]).is_ok()
    });
    assert!(closed, "it goes on trickling");
}

/// A client with a small send buffer.
fn connect_with_small_send_buffer(proxy: &ProxyProcess) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_send_buffer_size(128 * 1024).unwrap();
    socket.set_tcp_nodelay(true).unwrap();
    socket.connect(&proxy.address.into()).unwrap();
    let client: TcpStream = socket.into();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
}

/// A listener that accepts no connection: what is sent to it stays in the sockets.
fn listener_that_accepts_nothing() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(16).unwrap();
    socket.into()
}

/// How much of a request is taken before nothing moves: what the proxy and the sockets hold together.
fn bytes_taken_before_nothing_moves(proxy: &ProxyProcess) -> usize {
    let mut probe = connect_with_small_send_buffer(proxy);
    probe
        .set_write_timeout(Some(Duration::from_millis(400)))
        .unwrap();
    let head = String::from_utf8(request("pay", 60.0, ""))
        .unwrap()
        .replace("Length: 0", "Length: 30000000");
    probe.write_all(head.as_bytes()).unwrap();
    let mut sent = 0;
    while let Ok(n @ 1..) = probe.write(&[b'p'; 65_536]) {
        sent += n;
    }
    sent
}

#[test]
fn long_request_to_an_endpoint_that_stops_reading_is_answered_in_time() {
    // The client has sent all of it: the rest is buffered in the proxy, whose endpoint is cut off.
    let listener = listener_that_accepts_nothing();
    let addresses = [listener.local_addr().unwrap()];
    let (_discovery, proxy) = ProxyProcess::without_hedging(&addresses, |_| ());
    let sent = bytes_taken_before_nothing_moves(&proxy);
    // Less than that, so that all of it has left the client, and more than the endpoint's side takes. How much
    // the kernel buffers on either side varies, so several lengths are tried. Where the sockets take all of it,
    // it times out at the endpoint (502); where some is still with the client, its deadline does not run.
    let tried = [350_000, 300_000, 250_000, 200_000, 150_000]
        .into_iter()
        .any(|held_back| {
            let mut client = connect_with_small_send_buffer(&proxy);
            client
                .set_read_timeout(Some(Duration::from_millis(950)))
                .unwrap();
            client
                .write_all(&request("pay", 0.5, &"b".repeat(sent - held_back)))
                .unwrap();
            read_message(&mut client).is_some_and(|(head, _)| status_code(&head) == 503)
        });
    assert!(
        tried,
        "never answered in time as a request that no endpoint had completely"
    );
    drop(listener);
}
