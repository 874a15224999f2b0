//! The node on loopback sockets: what it takes in, what comes out, and one small test for each danger.

#![allow(clippy::disallowed_methods)]

mod days;
mod ends;
mod help;
mod mass;
mod told;
mod whole;

use help::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

fn after(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

#[test]
fn an_op_goes_through_unchanged() {
    let server = Server::saying(ok("a stall"));
    let node = Node::before(&[&server]);
    assert_eq!(
        node.ask(&request("view", 1.0, "which?")),
        (200, "a stall".into())
    );
    let asked = server.asked.lock().unwrap();
    assert!(
        asked[0]
            .head
            .starts_with("POST /view/7?user=5 HTTP/1.1\r\n"),
        "{}",
        asked[0].head
    );
    assert!(header(&asked[0].head, "X-Request-ID").is_some());
    let told: f64 = header(&asked[0].head, "X-Timeout")
        .and_then(|v| v.parse().ok())
        .expect("told");
    assert!(told > 0.0 && told <= 1.0);
    assert_eq!(asked[0].body, b"which?");
}

#[test]
fn bad_input_gets_its_status_and_no_push() {
    let server = Server::saying(ok("x"));
    let node = Node::before(&[&server]);
    let good = String::from_utf8(request("view", 1.0, "")).unwrap();
    let without = |name: &str| {
        let kept = good.split("\r\n").filter(|line| !line.starts_with(name));
        kept.collect::<Vec<_>>().join("\r\n").into_bytes()
    };
    let long = format!("X-Long: {}\r\nHost:", "x".repeat(9000));
    for (status, bytes) in [
        (400, b"nonsense\r\n\r\n".to_vec()),
        (400, vec![0xff; 40]),
        (400, without("X-Request-ID")),
        (400, without("X-Priority-Class")),
        (400, without("X-Timeout")),
        (
            400,
            good.replace("X-Timeout: 1", "X-Timeout: soon").into_bytes(),
        ),
        (
            400,
            good.replace("X-Timeout: 1", "X-Timeout: -1").into_bytes(),
        ),
        (
            400,
            good.replace("X-Timeout: 1", "X-Timeout: inf").into_bytes(),
        ),
        (
            400,
            good.replace("Class: view", "Class: unheard-of")
                .into_bytes(),
        ),
        (400, good.replace("POST /view", "POST /order").into_bytes()),
        (
            400,
            good.replace("X-Request-ID: ", "X-Request-ID: other\r\nX-Request-ID: ")
                .into_bytes(),
        ),
        (400, good.replace("Length: 0", "Length: +3").into_bytes()),
        (
            400,
            good.replace("Length: 0", "Length: 0\r\nContent-Length: 1")
                .into_bytes(),
        ),
        (
            400,
            good.replace("Length: 0", "Length: 0\r\nTransfer-Encoding: chunked")
                .into_bytes(),
        ),
        (
            400,
            good.replace("Content-Length: 0", "Transfer-Encoding: gzip, chunked")
                .into_bytes(),
        ),
        (
            400,
            (good.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "zz\r\n")
                .into_bytes(),
        ),
        (
            413,
            good.replace("Length: 0", "Length: 33554433").into_bytes(),
        ),
        (
            413,
            good.replace("Length: 0", "Length: 99999999999999999999999")
                .into_bytes(),
        ),
        (
            413,
            (good.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "2000001\r\n")
                .into_bytes(),
        ),
        (431, good.replace("Host:", &long).into_bytes()),
        (
            431,
            good.replace("Host:", &format!("{}Host:", "X-A: b\r\n".repeat(70)))
                .into_bytes(),
        ),
        (405, good.replace("POST", "HEAD").into_bytes()),
    ] {
        assert_eq!(
            node.ask(&bytes).0,
            status,
            "{}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(300)])
        );
    }
    assert_eq!(server.pushes(), 0);
    assert_eq!(node.ask(good.as_bytes()).0, 200, "still there");
}

/// Checks what holds for generated input, from a fixed seed.
fn generated(tests: u64, holds: impl Fn(&mut Gen) -> bool + 'static) {
    // A closure that holds an address cannot be handed over as a plain function.
    struct Holds<F>(F);
    impl<F: Fn(&mut Gen) -> bool + 'static> Testable for Holds<F> {
        fn result(&self, g: &mut Gen) -> TestResult {
            TestResult::from_bool((self.0)(g))
        }
    }
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(300, 20_261_201))
        .quickcheck(Holds(holds));
}

#[test]
fn a_request_may_come_in_any_pieces() {
    let server = Server::new(|stream, asked| {
        let body = String::from_utf8_lossy(&asked.body).into_owned();
        stream.write_all(&ok(&body)).is_ok()
    });
    let node = Node::before(&[&server]);
    let address = node.address;
    let echoed = move |cuts: Vec<u8>, body: Vec<u8>, chunked: bool| {
        let body: String = body.iter().map(|b| char::from(b'a' + b % 26)).collect();
        let mut bytes = request("view", 4.0, &body);
        if chunked {
            let head = String::from_utf8(request("view", 4.0, "")).unwrap();
            let mut text = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
            for part in body.as_bytes().chunks(7) {
                text += &format!(
                    "{:x};odd=1\r\n{}\r\n",
                    part.len(),
                    std::str::from_utf8(part).unwrap()
                );
            }
            bytes = (text + "0\r\nX-Trailer: t\r\n\r\n").into_bytes();
        }
        // A second request follows at once, after a stray line end.
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&request("view", 4.0, "next"));
        let mut client = TcpStream::connect(address).unwrap();
        client.set_read_timeout(Some(PATIENCE)).unwrap();
        client.set_nodelay(true).unwrap();
        let mut rest = &bytes[..];
        for cut in cuts.iter().take(12) {
            let (piece, more) = rest.split_at(rest.len().min(usize::from(*cut)));
            client.write_all(piece).unwrap();
            rest = more;
            thread::yield_now();
        }
        client.write_all(rest).unwrap();
        let first = read_message(&mut client).map(|(_, body)| body);
        let second = read_message(&mut client).map(|(_, body)| body);
        first == Some(body.into_bytes()) && second == Some(b"next".to_vec())
    };
    generated(60, move |g| {
        echoed(Vec::arbitrary(g), Vec::arbitrary(g), bool::arbitrary(g))
    });
}

/// Bytes as they should be, some of them changed, the end perhaps missing.
fn garbled(g: &mut Gen, good: &[u8]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for _ in 0..usize::arbitrary(g) % 6 {
        let at = usize::arbitrary(g) % bytes.len();
        bytes[at] = u8::arbitrary(g);
    }
    if bool::arbitrary(g) {
        bytes.truncate(usize::arbitrary(g) % bytes.len());
    }
    bytes
}

#[test]
fn garbled_requests_and_answers_are_survived() {
    let good = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Server-Load: TEXT queue=1\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let next = Mutex::new(Gen::from_size_and_seed(100, 7));
    let server = Server::new(move |stream, _| {
        let answer = garbled(&mut next.lock().unwrap(), good);
        stream.write_all(&answer).is_err()
    });
    let node = Node::before(&[&server]);
    let address = node.address;
    generated(400, move |g| {
        let mut client = TcpStream::connect(address).unwrap();
        client.set_read_timeout(Some(PATIENCE)).unwrap();
        let whole = bool::arbitrary(g);
        let request = request("view", 0.2, "some body");
        client
            .write_all(&if whole { request } else { garbled(g, &request) })
            .unwrap();
        if !whole {
            let _ = client.shutdown(Shutdown::Write);
        }
        // What is whole has an answer, made of what a server sent or of the node's own.
        let answer = read_message(&mut client).map(|(head, _)| status(&head));
        answer.map_or(!whole, |status| {
            matches!(status, 200 | 400 | 405 | 413 | 431 | 502 | 503)
        })
    });
}

#[test]
fn whole_answers_of_any_framing_are_handed_back() {
    let answers: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde",
        b"HTTP/1.0 200 OK\r\n\r\nabcde",
        b"HTTP/1.1 200 OK\r\n\r\nabcde",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcdeand more",
    ];
    for answer in answers {
        let server = Server::new(move |stream, _| {
            // Byte by byte, as a slow network may bring it; what stands behind an answer comes with it.
            stream.set_nodelay(true).unwrap();
            let piece = if answer.ends_with(b"more") {
                answer.len()
            } else {
                1
            };
            answer
                .chunks(piece)
                .for_each(|b| stream.write_all(b).unwrap());
            let framed = answer
                .windows(7)
                .any(|w| w == b"Length:" || w == b"Encodin");
            framed && !answer.windows(5).any(|w| w == b"close")
        });
        let node = Node::before(&[&server]);
        for _ in 0..3 {
            let got = node.ask(&request("pay", 1.0, ""));
            assert_eq!(
                got,
                (200, "abcde".into()),
                "{}",
                String::from_utf8_lossy(answer)
            );
        }
    }
}

#[test]
fn a_broken_answer_ends_the_push() {
    let answers: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabcde",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"",
    ];
    for answer in answers {
        let bad = Server::new(move |stream, _| stream.write_all(answer).is_err());
        let node = Node::before(&[&bad]);
        let from = Instant::now();
        assert_eq!(node.ask(&request("pay", 3.0, "")).0, 502, "it may have run");
        assert_eq!(
            bad.pushes(),
            1,
            "an at-most-once op that may have run goes nowhere else"
        );
        assert!(
            from.elapsed() < Duration::from_secs(1),
            "given up on at once"
        );
        assert_eq!(node.ask(&request("view", 3.0, "")).0, 503);
        assert!(bad.pushes() > 1);
    }
}

#[test]
fn an_answer_longer_than_a_buffer_is_passed_on_in_pieces() {
    let long: Vec<u8> = (0..700_000_u32)
        .map(|k| (k.wrapping_mul(k) >> 7) as u8)
        .collect();
    let body = long.clone();
    let server = Server::new(move |stream, asked| {
        // As its body asks: whole, with bytes behind it, broken off, or standing still half way.
        let cut = if matches!(&asked.body[..], b"half" | b"wait") {
            body.len() / 2
        } else {
            body.len()
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let behind: &[u8] = if asked.body == b"more" {
            b"HTTP/1.1 200 OK\r\n\r\n"
        } else {
            b""
        };
        let sent = stream
            .write_all(&[head.as_bytes(), &body[..cut], behind].concat())
            .is_ok();
        sent && asked.body != b"half"
            && (asked.body != b"wait" || stream.read(&mut [0]).is_ok_and(|n| n > 0))
    });
    let node = Node::before(&[&server]);
    let mut client = node.client();
    for body in ["", "more", ""] {
        client.write_all(&request("pay", 4.0, body)).unwrap();
        // A slow reader holds up nobody else.
        after(50);
        assert_eq!(
            node.ask(&request("view", 4.0, "half")).0,
            0,
            "short, and seen to be"
        );
        let (head, got) = read_message(&mut client).expect("an answer");
        assert!(status(&head) == 200 && got == long, "{head}{}", got.len());
    }
    assert_eq!(server.pushes(), 6, "none goes again");
    // A client that leaves in the middle takes the connection with it; the end of its time does not cut it
    // off.
    let open = server.open.load(Ordering::SeqCst);
    let mut leaves: Vec<_> = (0..5).map(|_| node.client()).collect();
    for client in &mut leaves {
        client.write_all(&request("pay", 4.0, "wait")).unwrap();
        client.read_exact(&mut [0; 100_000]).unwrap();
    }
    assert!(server.open.load(Ordering::SeqCst) >= 5);
    drop(leaves);
    let mut late = node.client();
    late.write_all(&request("pay", 0.3, "wait")).unwrap();
    late.read_exact(&mut [0; 1000]).unwrap();
    after(600);
    late.read_exact(&mut [0; 300_000])
        .expect("the rest of what has come, past its time");
    drop(late);
    until("all are closed", || {
        server.open.load(Ordering::SeqCst) <= open
    });
    client.write_all(&request("view", 4.0, "")).unwrap();
    assert_eq!(read_message(&mut client).expect("still there").1, long);
}

#[test]
fn a_second_copy_behind_an_answer_is_nobodys() {
    // Whether a copy came later than any that is sent right behind, which is all that the node sees through: a
    // busy machine sets the server's thread aside between the two.
    let late = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let set_aside = late.clone();
    let server = Server::new(move |stream, asked| {
        let answer = ok(&String::from_utf8_lossy(&asked.body));
        stream.set_nodelay(true).unwrap();
        let number: u32 = String::from_utf8_lossy(&asked.body).parse().unwrap_or(0);
        if number.is_multiple_of(2) {
            // Both in one go.
            return stream.write_all(&answer.repeat(2)).is_ok();
        }
        let from = Instant::now();
        let first = stream.write_all(&answer).is_ok();
        while from.elapsed() < Duration::from_micros(200) {}
        let both = first && stream.write_all(&answer).is_ok();
        if from.elapsed() > Duration::from_micros(600) {
            set_aside.store(true, std::sync::atomic::Ordering::SeqCst);
        }
        both
    });
    let node = Node::before(&[&server]);
    let mut client = node.client();
    let mut sound = 0;
    for number in 0..100 {
        let body = number.to_string();
        client.write_all(&request("pay", 2.0, &body)).unwrap();
        let (head, got) = read_message(&mut client).expect("an answer");
        let same =
            (status(&head), String::from_utf8_lossy(&got).into_owned()) == (200, body.clone());
        after(if same { 0 } else { 20 });
        if late.swap(false, std::sync::atomic::Ordering::SeqCst) {
            // What comes of that copy is not this test's.
            client = node.client();
            continue;
        }
        assert!(same, "{body}: {head}");
        sound += 1;
    }
    assert!(sound > 20, "{sound}");
}

#[test]
fn what_never_ran_goes_elsewhere() {
    let turns = Server::saying(
        b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nX-Server-Load: TEXT inflight=9, queue=4\r\nContent-Length: 0\r\n\r\n"
            .to_vec(),
    );
    let refused = crankmux_fault_injection::free_port();
    let good = Server::saying(ok("yes"));
    let known = list(
        1,
        true,
        &[
            host("t", turns.address, "Ready"),
            host("r", refused, "Ready"),
            host("g", good.address, "Ready"),
        ],
    );
    let discovery = Discovery::new(known.clone());
    let node = Node::start(&configuration(discovery.address, &known), None);
    for _ in 0..12 {
        assert_eq!(node.ask(&request("pay", 2.0, "")), (200, "yes".into()));
    }
    assert!(turns.pushes() > 0);
}

#[test]
fn a_silent_server_is_given_up_on_in_time() {
    let silent = Server::new(|stream, _| stream.read(&mut [0]).is_ok_and(|n| n > 0));
    let node = Node::before(&[&silent]);
    let from = Instant::now();
    assert_eq!(node.ask(&request("pay", 0.3, "")).0, 502);
    let took = from.elapsed();
    assert!(
        took > Duration::from_millis(250) && took < Duration::from_millis(370),
        "{took:?}"
    );
    until("its connection is closed", || {
        silent.open.load(Ordering::SeqCst) == 0
    });
}

#[test]
fn idle_connections_to_a_server_that_fell_silent_are_not_trusted() {
    let silent = Arc::new(AtomicBool::new(false));
    let falls = silent.clone();
    let server = Server::new(move |stream, _| {
        after(100);
        falls.load(Ordering::SeqCst) || stream.write_all(&ok("x")).is_ok()
    });
    let node = Node::before(&[&server]);
    let ask = || assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
    thread::scope(|scope| (0..3).for_each(|_| drop(scope.spawn(ask))));
    assert_eq!(server.open.load(Ordering::SeqCst), 3, "kept");
    // Long enough for them to be used again.
    after(50);
    silent.store(true, Ordering::SeqCst);
    assert_eq!(node.ask(&request("pay", 0.3, "")).0, 502);
    until("all are closed", || server.open.load(Ordering::SeqCst) == 0);
}

#[test]
fn a_client_that_leaves_takes_its_push_with_it() {
    let silent = Server::new(|stream, _| stream.read(&mut [0]).is_ok_and(|n| n > 0));
    let node = Node::before(&[&silent]);
    let mut client = node.client();
    client.write_all(&request("view", 4.0, "")).unwrap();
    until("the push is out", || {
        silent.open.load(Ordering::SeqCst) == 1
    });
    drop(client);
    until("its connection is closed", || {
        silent.open.load(Ordering::SeqCst) == 0
    });
}

#[test]
fn an_idle_connection_that_the_server_closed_is_not_used() {
    let closes = Server::new(|stream, _| stream.write_all(&ok("x")).is_err());
    let node = Node::before(&[&closes]);
    let mut client = node.client();
    for _ in 0..20 {
        client.write_all(&request("pay", 2.0, "")).unwrap();
        assert_eq!(
            status(&read_message(&mut client).expect("an answer").0),
            200
        );
        until("it is closed", || closes.open.load(Ordering::SeqCst) == 0);
        // The news of that is on its way.
        after(20);
    }
}

#[test]
fn an_idle_connection_is_closed_before_the_server_would() {
    let server = Server::saying(ok("x"));
    let node = Node::with(
        &[&server],
        |c| c["settings"]["Limits"]["KeepaliveMs"] = json!(400.0),
        None,
    );
    assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
    assert_eq!(server.open.load(Ordering::SeqCst), 1);
    let from = Instant::now();
    until("it is closed", || server.open.load(Ordering::SeqCst) == 0);
    assert!(from.elapsed() < Duration::from_millis(390));
}

#[test]
fn a_server_that_drains_gets_nothing_new() {
    let (one, two) = (Server::saying(ok("one")), Server::saying(ok("two")));
    let known = list(
        1,
        true,
        &[
            host("one", one.address, "Ready"),
            host("two", two.address, "Ready"),
        ],
    );
    let discovery = Discovery::new(known.clone());
    let node = Node::start(&configuration(discovery.address, &known), None);
    until("both are used", || {
        node.ask(&request("view", 1.0, ""));
        one.pushes() > 0 && two.pushes() > 0
    });
    until("it watches", || {
        discovery
            .calls
            .lock()
            .unwrap()
            .iter()
            .any(|c| c.contains("from=1&hold_ms="))
    });
    discovery.tell(list(2, false, &[host("one", one.address, "Terminating")]));
    until("idle connections are closed", || {
        one.open.load(Ordering::SeqCst) == 0
    });
    let before = one.pushes();
    for _ in 0..20 {
        assert_eq!(node.ask(&request("view", 1.0, "")), (200, "two".into()));
    }
    // A whole list without it says the same of the other.
    discovery.tell(list(3, true, &[host("one", one.address, "Ready")]));
    until("the other's are closed", || {
        two.open.load(Ordering::SeqCst) == 0
    });
    assert_eq!(one.pushes(), before);
    assert_eq!(node.ask(&request("view", 1.0, "")), (200, "one".into()));
}

#[test]
fn a_push_whose_connection_is_not_up_leaves_a_server_that_drains() {
    // Its queue of connections is full, so that a further one comes up late, if at all.
    let (_listener, address, _queued) = stuck();
    let good = Server::saying(ok("good"));
    let known = list(1, true, &[host("stuck", address, "Ready")]);
    let discovery = Discovery::new(known.clone());
    let mut configuration = configuration(discovery.address, &known);
    configuration["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3000.0);
    let node = Node::start(&configuration, None);
    let mut client = node.client();
    client.write_all(&request("pay", 2.0, "")).unwrap();
    after(50);
    let hosts = [
        host("stuck", address, "Terminating"),
        host("good", good.address, "Ready"),
    ];
    let from = Instant::now();
    discovery.tell(list(2, false, &hosts));
    assert_eq!(read_message(&mut client).expect("an answer").1, b"good");
    assert!(from.elapsed() < Duration::from_millis(500), "at once");
}

#[test]
fn a_silent_or_broken_discovery_is_asked_again() {
    let server = Server::saying(ok("x"));
    let known = list(1, true, &[host("s", server.address, "Ready")]);
    let discovery = Discovery::new(json!({"odd": true}));
    let node = Node::start(&configuration(discovery.address, &known), None);
    assert_eq!(
        node.ask(&request("view", 1.0, "")).0,
        200,
        "served by the list it knew"
    );
    // After the broken answer nothing is said: it must call again and again, on new connections.
    until("it has called three times", || {
        discovery.calls.lock().unwrap().len() >= 3
    });
}

#[test]
fn whoever_says_nothing_or_too_little_is_sent_away_within_3_s() {
    let server = Server::saying(ok("x"));
    let node = Node::before(&[&server]);
    let (mut silent, mut half, mut kept) = (node.client(), node.client(), node.client());
    let from = Instant::now();
    half.write_all(b"POST /view HTTP/1.1\r\nX-Req").unwrap();
    kept.write_all(&request("view", 1.0, "")).unwrap();
    assert_eq!(status(&read_message(&mut kept).expect("an answer").0), 200);
    assert_eq!(silent.read(&mut [0]).ok(), Some(0), "closed");
    assert_eq!(status(&read_message(&mut half).expect("an answer").0), 408);
    assert!(
        from.elapsed() > Duration::from_millis(2000)
            && from.elapsed() < Duration::from_millis(3000)
    );
    // So is whoever asked once and stays: it would hold a descriptor for good.
    assert_eq!(kept.read(&mut [0]).ok(), Some(0), "closed");
    assert!(from.elapsed() < Duration::from_millis(3000));
}

#[test]
fn a_health_check_keeps_no_connection() {
    let server = Server::saying(ok("x"));
    let node = Node::with(&[&server], |c| c["limits"]["sockets"] = json!(40), None);
    let mut kept = node.client();
    for _ in 0..3 {
        kept.write_all(&request("view", 1.0, "")).unwrap();
        assert_eq!(
            status(&read_message(&mut kept).expect("the op's client stays").0),
            200
        );
        let mut checks: Vec<_> = (0..20).map(|_| node.client()).collect();
        for check in &mut checks {
            check
                .write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                .unwrap();
            let (head, _) = read_message(check).expect("an answer");
            assert_eq!(
                (status(&head), header(&head, "Connection").as_deref()),
                (200, Some("close"))
            );
            assert_eq!(check.read(&mut [0]).ok(), Some(0));
        }
        after(110);
    }
}

#[test]
fn clients_that_ask_once_and_stay_leave_room_for_others() {
    let server = Server::saying(ok("x"));
    let node = Node::with(&[&server], |c| c["limits"]["sockets"] = json!(136), None);
    let mut once: Vec<_> = (0..40)
        .map(|_| {
            let mut client = node.client();
            client.write_all(&request("view", 1.0, "")).unwrap();
            assert_eq!(
                status(&read_message(&mut client).expect("an answer").0),
                200
            );
            after(20);
            client
        })
        .collect();
    // Of sixty at most seven, and those that have just had theirs.
    let open = once.iter_mut().filter_map(|client| {
        client.set_nonblocking(true).unwrap();
        client.read(&mut [0]).err()
    });
    assert!((7..16).contains(&open.count()));
}

#[test]
fn a_body_without_end_is_refused_and_keeps_nobody_waiting() {
    let server = Server::saying(ok("x"));
    let node = Node::before(&[&server]);
    let address = node.address;
    let fat = thread::spawn(move || {
        let mut client = TcpStream::connect(address).unwrap();
        client
            .write_all(b"POST /view HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
            .unwrap();
        let (from, mut sent) = (Instant::now(), 0);
        while let Ok(more) = client.write(&[b'x'; 65_536]) {
            sent += more;
            assert!(
                from.elapsed() < Duration::from_secs(3),
                "neither refused nor closed"
            );
        }
        sent
    });
    after(100);
    for _ in 0..20 {
        let from = Instant::now();
        assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
        assert!(from.elapsed() < Duration::from_millis(300));
    }
    assert!(fat.join().unwrap() < 30_000_000, "most of it is never read");
}

#[test]
fn an_id_that_another_client_has_open_is_refused() {
    let slow = Server::new(|stream, _| {
        after(300);
        stream.write_all(&ok("x")).is_ok()
    });
    let node = Node::before(&[&slow]);
    let (bytes, mut first) = (request("pay", 2.0, ""), node.client());
    first.write_all(&bytes).unwrap();
    until("it is out", || slow.pushes() == 1);
    assert_eq!(node.ask(&bytes).0, 409);
    assert_eq!(status(&read_message(&mut first).expect("an answer").0), 200);
    assert_eq!(slow.pushes(), 1);
    assert_eq!(
        node.ask(&bytes).0,
        200,
        "once it is answered, the id is free"
    );
}

#[test]
fn idle_and_half_sent_connections_make_room() {
    let server = Server::saying(ok("x"));
    let node = Node::with(&[&server], |c| c["limits"]["sockets"] = json!(40), None);
    let standing: Vec<_> = (0..60)
        .map(|k| {
            let mut client = node.client();
            if k % 2 == 0 {
                let _ = client.write_all(b"POST /view HTTP/1.1\r\nX-Req");
            }
            client
        })
        .collect();
    for _ in 0..5 {
        assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
    }
    drop(standing);
}

#[test]
fn without_a_buffer_left_a_request_is_refused_and_later_ones_served() {
    let server = Server::saying(ok("x"));
    let node = Node::with(&[&server], |c| c["limits"]["memory_mb"] = json!(1), None);
    let begun: Vec<_> = (0..12)
        .map(|_| {
            let mut client = node.client();
            client.write_all(b"POST /view HTTP/1.1\r\nX-Req").unwrap();
            client
        })
        .collect();
    after(50);
    // What it sent is read on without a buffer: a reset would take the answer with it.
    assert_eq!(node.ask(&request("view", 1.0, "")).0, 503);
    drop(begun);
    until("buffers are back", || {
        node.ask(&request("view", 1.0, "")).0 == 200
    });
}

#[test]
fn out_of_descriptors_below_its_own_limit_it_still_serves() {
    let server = Server::saying(ok("x"));
    let node = Node::with(&[&server], |_| (), Some(20));
    let standing: Vec<_> = (0..40).map(|_| node.client()).collect();
    for _ in 0..5 {
        assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
    }
    drop(standing);
}

#[test]
fn ops_that_find_the_tables_full_are_nacked_at_once() {
    let silent =
        [(); 8].map(|()| Server::new(|stream, _| stream.read(&mut [0]).is_ok_and(|n| n > 0)));
    let node = Node::with(
        &silent.each_ref(),
        |c| c["limits"]["sockets"] = json!(40),
        None,
    );
    let node = &node;
    thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(move || {
                let from = Instant::now();
                assert!(matches!(
                    node.ask_again(&request("view", 0.6, "")),
                    502 | 503
                ));
                // Whoever waited unaccepted while the first ones were out would come after their time.
                assert!(from.elapsed() < Duration::from_millis(750));
            });
        }
    });
}

#[test]
fn more_ops_than_sockets_wait_or_are_nacked_and_none_is_lost() {
    let slow = Server::new(|stream, _| {
        after(100);
        stream.write_all(&ok("x")).is_ok()
    });
    // The system's own limit is lower still.
    let node = Node::with(&[&slow], |c| c["limits"]["sockets"] = json!(40), Some(20));
    let node = &node;
    thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(move || {
                let status = node.ask_again(&request("view", 2.0, ""));
                assert!(matches!(status, 200 | 503), "{status}");
            });
        }
    });
    until("it serves again", || {
        node.ask(&request("view", 1.0, "")).0 == 200
    });
}

#[test]
fn told_to_stop_it_serves_what_still_comes_and_finishes() {
    let slow = Server::new(|stream, _| {
        after(900);
        stream.write_all(&ok("late")).is_ok()
    });
    let mut node = Node::before(&[&slow]);
    let mut idle = node.client();
    let mut first = node.client();
    first.write_all(&request("pay", 3.0, "")).unwrap();
    until("it is out", || slow.open.load(Ordering::SeqCst) == 1);
    node.signal("TERM");
    after(200);
    let mut second = node.client();
    second.write_all(&request("view", 3.0, "")).unwrap();
    for client in [&mut first, &mut second] {
        let (head, body) = read_message(client).expect("an answer");
        assert_eq!((status(&head), &body[..]), (200, &b"late"[..]));
        assert_eq!(header(&head, "Connection").as_deref(), Some("close"));
    }
    assert_eq!(idle.read(&mut [0]).ok(), Some(0), "closed between requests");
    let (well, log) = node.ended();
    assert!(well && log.contains("ops: taken 2, acked 2"), "{log}");
}

#[test]
fn a_reload_follows_the_new_address_and_a_faulty_file_changes_nothing() {
    let slow = Server::new(|stream, _| {
        after(400);
        stream.write_all(&ok("old")).is_ok()
    });
    let new = Server::saying(ok("new"));
    let known = list(7, true, &[host("old", slow.address, "Ready")]);
    let (first, second) = (
        Discovery::new(known.clone()),
        Discovery::new(list(3, true, &[host("new", new.address, "Ready")])),
    );
    let start = configuration(first.address, &known);
    // What the variable said at the start must not hide what a new file says.
    let node = Node::start_under(&start, &[("BALANCER_DISCOVERY", first.address.to_string())]);
    let mut client = node.client();
    client.write_all(&request("pay", 2.0, "")).unwrap();
    until("its op is out", || slow.pushes() == 1);
    let mut faulty = configuration(second.address, &known);
    faulty["limits"]["sockets"] = json!("many");
    for (text, said) in [
        ("{\"name\":".to_string(), "BALANCER_CONFIG"),
        (faulty.to_string(), "limits.sockets"),
    ] {
        node.reload(&text);
        until("it says what is wrong", || node.log().contains(said));
    }
    assert!(
        second.calls.lock().unwrap().is_empty(),
        "the old state stays"
    );
    node.reload(&configuration(second.address, &known).to_string());
    until("the new address is watched", || {
        second
            .calls
            .lock()
            .unwrap()
            .iter()
            .any(|c| c.contains("from=3&hold_ms="))
    });
    assert_eq!(
        read_message(&mut client).expect("the op lives on").1,
        b"old"
    );
    client.write_all(&request("view", 2.0, "")).unwrap();
    assert_eq!(
        read_message(&mut client).expect("so does the connection").1,
        b"new"
    );
}

#[test]
fn counters_are_told_on_request() {
    let server = Server::saying(ok("x"));
    let mut node = Node::before(&[&server]);
    assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
    node.signal("USR1");
    after(50);
    assert_eq!(node.ask(&request("view", 1.0, "")).0, 200, "it goes on");
    node.signal("TERM");
    let (_, log) = node.ended();
    assert!(
        log.contains("taken 1, acked 1") && log.contains("taken 2, acked 2"),
        "{log}"
    );
}

#[test]
fn a_half_closed_client_that_was_refused_still_reads_its_answer() {
    let server = Server::saying(ok("x"));
    let node = Node::before(&[&server]);
    let mut client = node.client();
    let bytes = [
        &b"POST /view HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n"[..],
        &[b'x'; 30_000],
    ]
    .concat();
    client.write_all(&bytes).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    after(50);
    assert_eq!(
        status(&read_message(&mut client).expect("an answer").0),
        413
    );
}

#[test]
fn it_tells_how_it_is_used_and_turns_other_arguments_down() {
    let said = |argument: &str| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_crankmux"))
            .arg(argument)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let (code, text) = said("--help");
    assert!(
        code == Some(0) && text.contains("BALANCER_ADMIN_ADDR"),
        "{text}"
    );
    assert_eq!(
        said("--version"),
        (Some(0), format!("crankmux {}\n", env!("CARGO_PKG_VERSION")))
    );
    assert_eq!(said("--listen").0, Some(2));
}

#[test]
fn a_charter_is_checked_and_all_that_is_wrong_with_it_named() {
    let file = std::env::temp_dir().join(format!(
        "crankmux-operator-config-{}.toml",
        std::process::id()
    ));
    let check = |text: &[u8]| {
        std::fs::write(&file, text).unwrap();
        let program = env!("CARGO_BIN_EXE_crankmux");
        let output = std::process::Command::new(program)
            .arg("check")
            .arg(&file)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(check(b"# nothing is on\n"), (Some(0), String::new()));
    let (code, told) = check(b"flet = 1\n[fleet]\nlisten = 5\n");
    assert!(code == Some(1) && told.lines().count() == 4, "{told}");
    assert!(
        told.contains("line 1: flet") && told.contains("line 3: fleet.listen"),
        "{told}"
    );
    assert_eq!(check(&[0xff, 0xfe]).0, Some(1));
    std::fs::remove_file(&file).unwrap();
    assert_eq!(check(b"").0, Some(0));
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_faulty_key_is_named() {
    let address = "127.0.0.1:9".parse().unwrap();
    let good = configuration(address, &list(1, true, &[]));
    for (path, value, named) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(5), "discovery"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/known/seq", json!("one"), "known: seq"),
        ("/settings", json!(null), "settings"),
        ("/settings/Obligations/ColdShare", json!(null), "ColdShare"),
        ("/settings/Limits/KeepaliveMs", json!(-1), "KeepaliveMs"),
        ("/settings/Categories/0/Effect", json!("odd"), "Effect"),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).expect("in the good one") = value;
        let message = refused_start(&bad).expect("it does not start");
        assert!(message.contains(named), "{path}: {message}");
    }
}

#[test]
fn a_server_that_tells_its_load_only_when_asked_is_asked_and_bad_reports_are_none() {
    // A good report, one that is none, a broken answer, a refusal, silence, a close, and noise without end.
    let reports: Vec<Vec<u8>> = vec![
        ok("TEXT inflight=2, queue=0"),
        ok("inflight=, queue=-1, \u{1}"),
        b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n".to_vec(),
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec(),
        Vec::new(),
        b"close".to_vec(),
        [
            &b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"[..],
            &vec![b'x'; 900_000],
        ]
        .concat(),
    ];
    for report in reports {
        let said = report.clone();
        let server =
            Server::new(
                move |stream, asked| match asked.head.starts_with("GET /_load ") {
                    true if said == b"close" => false,
                    true => stream.write_all(&said).is_ok(),
                    false => stream.write_all(&ok("x")).is_ok(),
                },
            );
        let node = Node::with(&[&server], asked_shape, None);
        for _ in 0..3 {
            assert_eq!(
                node.ask(&request("pay", 2.0, "")).0,
                200,
                "{:.60}",
                String::from_utf8_lossy(&report)
            );
        }
        let asked = server.asked.lock().unwrap();
        let probes = asked
            .iter()
            .filter(|a| a.head.starts_with("GET /_load "))
            .count();
        assert!(
            (1..=3).contains(&probes) && asked.len() - probes == 3,
            "{probes} of {}",
            asked.len()
        );
    }
    let quiet = Server::saying(ok("x"));
    assert_eq!(Node::before(&[&quiet]).ask(&request("pay", 2.0, "")).0, 200);
    assert_eq!(
        quiet.pushes(),
        1,
        "where reports come with answers nothing is asked"
    );
}

#[test]
fn faulty_settings_of_the_new_shape_are_named_at_start_and_change_nothing_on_reload() {
    let server = Server::saying(ok("x"));
    let known = list(1, true, &[host("s0", server.address, "Ready")]);
    let discovery = Discovery::new(known.clone());
    let good = configuration(discovery.address, &known);
    for (path, value, named) in [
        (
            "/settings/Reporting",
            json!({"Via": "pull"}),
            "Reporting.Via",
        ),
        (
            "/settings/Reporting",
            json!({"Via": "pigeon"}),
            "Reporting.Via",
        ),
        ("/settings/Reporting", json!({"Via": 7}), "Reporting.Via"),
        ("/settings/GroupSize", json!(-4), "GroupSize"),
        ("/settings/MyNumber", json!(1), "MyNumber"),
        (
            "/settings/Limits",
            json!({"MostPushes": "six"}),
            "Limits.MostPushes",
        ),
        (
            "/settings/Specifics",
            json!({"WarmKeys": [true]}),
            "Specifics.WarmKeys",
        ),
        ("/key_header", json!("two words"), "key_header"),
    ] {
        let mut bad = good.clone();
        let (parent, name) = path.rsplit_once('/').unwrap();
        bad.pointer_mut(parent).unwrap()[name] = value;
        let said = refused_start(&bad).unwrap_or_default();
        assert!(said.contains(named), "{path}: {said}");
    }
    let node = Node::with(&[&server], |_| (), None);
    let mut bad = good;
    bad["settings"]["Reporting"] = json!({"Via": "pull"});
    node.reload(&bad.to_string());
    until("it says so", || node.log().contains("Reporting.Via"));
    assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
}

#[test]
fn old_and_new_shapes_before_the_same_servers_keep_the_rules_and_starve_nobody() {
    let stage = Stage::of(4, Duration::from_millis(20));
    let named = |s: usize, health: &str| host(&format!("s{s}"), stage.servers[s].address, health);
    let known = list(
        1,
        true,
        &(0..3).map(|s| named(s, "Ready")).collect::<Vec<_>>(),
    );
    let mut nodes = Vec::new();
    for number in 0..4 {
        let discovery = Discovery::new(known.clone());
        let mut own = configuration(discovery.address, &known);
        own["seed"] = json!(format!("{:016x}", 0x51ed_2700_u64 + number));
        let settings = &mut own["settings"];
        (settings["GroupSize"], settings["MyNumber"]) = (json!(4), json!(number));
        settings["Obligations"]["ColdMs"] = json!(8000.0);
        settings["Obligations"]["ColdShare"] = json!(0.1);
        settings["Obligations"]["FallMultiple"] = json!(1.5);
        if number % 2 == 1 {
            asked_shape(&mut own);
        }
        nodes.push((Node::start(&own, None), discovery));
    }
    let over = AtomicBool::new(false);
    let answers: Mutex<Vec<(usize, u16)>> = Mutex::new(Vec::new());
    let (mut cold_at, mut drain_at) = (0.0, 0.0);
    thread::scope(|scope| {
        for (number, (node, _)) in nodes.iter().enumerate() {
            for _ in 0..2 {
                let (over, answers) = (&over, &answers);
                scope.spawn(move || {
                    let mut client = node.client();
                    for category in ["view", "order", "pay"].iter().cycle() {
                        if over.load(Ordering::SeqCst) {
                            break;
                        }
                        client
                            .write_all(&request(category, 2.0, ""))
                            .expect("the node reads");
                        let answer = read_message(&mut client).map_or(0, |(head, _)| status(&head));
                        answers.lock().unwrap().push((number % 2, answer));
                        if answer != 200 {
                            // As clients do: not at once again.
                            after(20);
                        }
                    }
                });
            }
        }
        let elapsed = || stage.set.elapsed().as_secs_f64() * 1000.0;
        after(1500);
        let unix = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        let mut cold = named(3, "Ready");
        cold["born_ms"] = json!(unix.as_secs_f64() * 1000.0);
        cold_at = elapsed();
        for (_, discovery) in &nodes {
            discovery.tell(list(2, false, &[cold.clone()]));
        }
        after(1500);
        drain_at = elapsed();
        for (_, discovery) in &nodes {
            discovery.tell(list(3, false, &[named(0, "Terminating")]));
        }
        after(1500);
        over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().unwrap();
    assert!(
        answers
            .iter()
            .all(|(_, status)| [200, 502, 503].contains(status)),
        "one final answer each"
    );
    let mut runs = std::mem::take(&mut *stage.runs.lock().unwrap());
    runs.sort_by(|a, b| a.from.total_cmp(&b.from));
    let id = |head: &str| header(head, "X-Request-ID").expect("as the client gave it");
    let mut last: std::collections::BTreeMap<String, f64> = Default::default();
    for run in &runs {
        // An op's second run begins after its first has ended: no new shape sends a copy beside a push, and
        // none of these clients waits so long that an old one does.
        if let Some(ended) = last.insert(id(&run.head), run.to) {
            assert!(!run.head.contains("/pay/"), "an effect twice");
            assert!(ended <= run.from, "two pushes out");
        }
    }
    let pushed = |server: usize, from: f64, to: f64| {
        runs.iter()
            .filter(|r| r.server == server && (from..to).contains(&r.from))
            .count() as f64
    };
    // The grace is 100 ms; a crowded machine is given the rest.
    assert_eq!(
        pushed(0, drain_at + 600.0, f64::MAX),
        0.0,
        "nothing new after the grace"
    );
    assert!(pushed(0, cold_at, drain_at) > 0.0, "it was in use");
    // In its first 1.5 s it is able to do up to 27% of a warm one's work; one and a half times that, and some
    // slack for chance.
    let warm = (pushed(1, cold_at, drain_at) + pushed(2, cold_at, drain_at)) / 2.0;
    let cold = pushed(3, cold_at, drain_at);
    assert!(cold <= 0.41 * warm + 5.0, "{cold} pushes beside {warm}");
    let served = |kind: usize| {
        answers
            .iter()
            .filter(|(k, s)| *k == kind && *s == 200)
            .count() as f64
    };
    let (old, new) = (served(0), served(1));
    assert!(
        old > 0.5 * new && new > 0.5 * old && old + new > 100.0,
        "old shape {old}, new shape {new}"
    );
}
