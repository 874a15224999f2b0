//! What is retried after a failed attempt, and what must not be.

use crate::support::connection::reset_on_close;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::response_endings::HEAD_WITHOUT_LENGTH;
use crate::support::wait::sleep_ms;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn broken_response_ends_the_attempt() {
    let answers: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabcde",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"",
    ];
    for answer in answers {
        let bad = TestEndpoint::new(move |stream, _| stream.write_all(answer).is_err());
        let proxy = ProxyProcess::in_front_of(&[&bad]);
        let from = Instant::now();
        assert_eq!(
            proxy.send_request(&request("pay", 3.0, "")).0,
            502,
            "it may have been executed"
        );
        assert_eq!(
            bad.received_count(),
            1,
            "a request that is not idempotent and may have been executed is not retried"
        );
        assert!(from.elapsed() < Duration::from_secs(1), "abandoned at once");
        assert_eq!(proxy.send_request(&request("view", 3.0, "")).0, 503);
        assert!(bad.received_count() > 1);
    }
}

#[test]
fn request_that_was_not_processed_is_retried_at_another_endpoint() {
    let turns = TestEndpoint::always_answering(
        b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nX-Server-Load: TEXT inflight=9, queue=4\r\nContent-Length: 0\r\n\r\n"
            .to_vec(),
    );
    let refused = crankmux_fault_injection::free_port();
    let good = TestEndpoint::always_answering(ok_response("yes"));
    let known = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("t", turns.address, "Ready"),
            endpoint_entry("r", refused, "Ready"),
            endpoint_entry("g", good.address, "Ready"),
        ],
    );
    let (_discovery, proxy) = ProxyProcess::with_known_list(&known);
    for _ in 0..12 {
        assert_eq!(
            proxy.send_request(&request("pay", 2.0, "")),
            (200, "yes".into())
        );
    }
    assert!(turns.received_count() > 0);
}

#[test]
fn endpoint_reset_around_the_last_request_byte_is_not_a_response() {
    // Before its last byte it was never executed, and is retried whatever its class; after it, as its class
    // allows. The body is longer than what the sockets between them hold.
    let body = "b".repeat(20_000_000);
    for (request_class, retried) in [("view", true), ("order", true), ("pay", false)] {
        for read in [0, 100_000, usize::MAX] {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let endpoint = thread::spawn(move || {
                let (mut stream, _) = listener.accept().unwrap();
                if read == usize::MAX {
                    let _ = read_message(&mut stream);
                } else {
                    let mut left = read;
                    let mut piece = [0; 10_000];
                    while left > 0 {
                        left = left.saturating_sub(stream.read(&mut piece).unwrap_or(left).max(1));
                    }
                }
                // A response without a length, and a reset: how much of the request was read makes no
                // difference.
                let _ = stream.write_all(format!("{HEAD_WITHOUT_LENGTH}abc").as_bytes());
                sleep_ms(20);
                reset_on_close(&stream);
            });
            let (_discovery, proxy) = ProxyProcess::without_hedging(&[address], |_| ());
            let mut client = proxy.connect();
            let _ = client.write_all(&request(request_class, 2.0, &body));
            let got = read_message(&mut client);
            let status = got.as_ref().map_or(0, |(head, _)| status_code(head));
            // There is no other endpoint: rejected where a retry is harmless, else failed; never served. A
            // client that is still sending its request may find its connection closed.
            let received_all = read == usize::MAX;
            let due: &[u16] = if !received_all {
                &[503, 0]
            } else {
                &[if retried { 503 } else { 502 }]
            };
            assert!(
                due.contains(&status),
                "{request_class}, {read} bytes read: {status}"
            );
            endpoint.join().unwrap();
        }
    }
}
