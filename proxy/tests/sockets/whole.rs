//! Answers reach their clients whole, or the client can tell that they are not: each way in which one may end, by
//! what its category allows.

use super::after;
use super::ends::stopped;
use super::help::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// PolicyKind a server's connection ends behind what it wrote.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    Ends,
    Resets,
    EndsThenResets,
    /// It stays open and says nothing more.
    Hangs,
}

/// From now on the connection's end is a reset.
fn resets(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}

/// Writes some bytes, and after a while has the connection end; whether it is kept.
fn say(stream: &mut TcpStream, bytes: &[u8], pause: u64, close: Close) -> bool {
    let _ = stream.write_all(bytes);
    after(pause);
    match close {
        Close::Ends => {}
        Close::Resets => resets(stream),
        Close::EndsThenResets => {
            stream.shutdown(Shutdown::Write).unwrap();
            after(20);
            resets(stream);
        }
        Close::Hangs => {
            let _ = stream.read(&mut [0]);
        }
    }
    false
}

/// A server whose first answer is these bytes, and whose later ones are good: `later`.
fn first_says(bytes: Vec<u8>, pause: u64, close: Close) -> Server {
    let left = Mutex::new(Some(bytes));
    Server::new(move |stream, _| {
        let first = left.lock().unwrap().take();
        match first {
            Some(bytes) => say(stream, &bytes, pause, close),
            None => stream.write_all(&ok("later")).is_ok(),
        }
    })
}

/// A node that knows one server and sends no second copies: what goes again goes for a failure.
fn alone(server: &Server) -> Node {
    Node::with(
        &[server],
        |c| c["settings"]["Limits"]["SecondCopies"] = false.into(),
        None,
    )
}

const UNTOLD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const TEN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";

#[test]
fn each_end_of_an_answer_is_whole_or_goes_again_as_its_category_allows() {
    use Close::*;
    // Bytes and close, and whether what they tell is whole.
    let cases: [(String, Close, Option<&str>); 14] = [
        (format!("{UNTOLD}abcde"), Ends, Some("abcde")),
        (format!("{UNTOLD}abcde"), EndsThenResets, Some("abcde")),
        (format!("{UNTOLD}abcde"), Resets, None),
        (UNTOLD.into(), Resets, None),
        (UNTOLD[..10].into(), Ends, None),
        (format!("{TEN}0123456789"), Resets, Some("0123456789")),
        (format!("{TEN}0123456789more"), Resets, Some("0123456789")),
        (format!("{TEN}012345"), Ends, None),
        (format!("{TEN}012345"), Resets, None),
        (
            format!("{CHUNKS}5\r\nabcde\r\n0\r\n\r\n"),
            Resets,
            Some("abcde"),
        ),
        (format!("{CHUNKS}5\r\nabcde\r\n0\r\n"), Ends, None),
        (format!("{CHUNKS}5\r\nabcde\r\n"), Resets, None),
        (format!("{CHUNKS}5\r\nabcde\r\nzz\r\n"), Ends, None),
        (format!("{CHUNKS}5\r\nabcdefgh"), Ends, None),
    ];
    for (bytes, close, whole) in cases {
        for (category, again) in [("view", true), ("order", true), ("pay", false)] {
            let server = first_says(bytes.clone().into_bytes(), 30, close);
            let node = alone(&server);
            let got = node.ask(&request(category, 2.0, ""));
            let case = format!("{category}: {bytes:?}, then it {close:?}");
            match (whole, again) {
                (Some(body), _) => assert_eq!(got, (200, body.into()), "{case}"),
                (None, true) => assert_eq!(got, (200, "later".into()), "{case}"),
                (None, false) => assert_eq!(got.0, 502, "{case}: it may have run"),
            }
            assert_eq!(
                server.pushes(),
                if whole.is_none() && again { 2 } else { 1 },
                "{case}"
            );
        }
    }
}

#[test]
fn a_reset_that_lies_there_with_its_answer_is_no_end() {
    // The node stands still until answer and reset both lie ready.
    for (close, body) in [(Close::Resets, "later"), (Close::EndsThenResets, "abcde")] {
        let (gate, opened) = std::sync::mpsc::channel::<()>();
        let (opened, first) = (Mutex::new(opened), Mutex::new(true));
        let server = Server::new(move |stream, _| {
            if !std::mem::take(&mut *first.lock().unwrap()) {
                return stream.write_all(&ok("later")).is_ok();
            }
            let _ = opened.lock().unwrap().recv_timeout(PATIENCE);
            say(stream, format!("{UNTOLD}abcde").as_bytes(), 10, close)
        });
        let node = alone(&server);
        let mut client = node.client();
        client.write_all(&request("view", 4.0, "")).unwrap();
        until("it is out", || server.pushes() == 1);
        stopped(&node);
        gate.send(()).unwrap();
        after(100);
        node.signal("CONT");
        assert_eq!(
            read_message(&mut client).expect("an answer").1,
            body.as_bytes(),
            "{close:?}"
        );
    }
}

#[test]
fn an_answer_that_breaks_late_or_hangs_is_not_begun_with_its_client() {
    // Long after its head: a few hundred bytes, whose op may go elsewhere as long as none of them has gone on.
    let part = format!("{UNTOLD}{}", "x".repeat(700)).into_bytes();
    for (category, status) in [("view", 200), ("order", 200), ("pay", 502)] {
        let server = first_says(part.clone(), 600, Close::Resets);
        let node = alone(&server);
        let got = node.ask(&request(category, 2.0, ""));
        assert_eq!(
            (got.0, status != 200 || got.1 == "later"),
            (status, true),
            "{category}"
        );
    }
    // The same for one that no buffer's size shows to be long.
    let server = first_says(
        [UNTOLD.as_bytes(), &[b'x'; 20_000]].concat(),
        600,
        Close::Resets,
    );
    assert_eq!(
        alone(&server).ask(&request("view", 3.0, "")),
        (200, "later".into())
    );
    // Its server hangs: an answer of the node's own, in time.
    for (category, status) in [("view", 503), ("pay", 502)] {
        let server = first_says(part.clone(), 0, Close::Hangs);
        let node = alone(&server);
        let from = Instant::now();
        assert_eq!(node.ask(&request(category, 0.5, "")).0, status);
        assert!(
            from.elapsed() < Duration::from_millis(900),
            "{category}: {:?}",
            from.elapsed()
        );
    }
    // It breaks in the last milliseconds of its op's time: an answer all the same, and none that is cut.
    let server = Server::new(move |stream, _| {
        after(465);
        say(stream, &part, 10, Close::Resets)
    });
    let node = alone(&server);
    for _ in 0..3 {
        assert_eq!(node.ask(&request("pay", 0.5, "")).0, 502);
    }
}

#[test]
fn a_short_answer_whose_server_pauses_comes_whole() {
    let server = Server::new(|stream, _| {
        let _ = stream.write_all(format!("{UNTOLD}abc").as_bytes());
        after(700);
        say(stream, b"def", 700, Close::Ends)
    });
    let node = alone(&server);
    let mut client = node.client();
    client.write_all(&request("pay", 3.0, "")).unwrap();
    let (head, body) = read_message(&mut client).expect("an answer");
    // Held whole, it has a length of its own.
    assert_eq!(
        (header(&head, "Content-Length"), body),
        (Some("6".into()), b"abcdef".to_vec())
    );
}

#[test]
fn an_answer_that_may_be_long_is_not_held_back_for_two_seconds() {
    let part = [UNTOLD.as_bytes(), &[b'x'; 20_000]].concat();
    let server = Server::new(move |stream, _| say(stream, &part, 3000, Close::Ends));
    let node = alone(&server);
    let mut client = node.client();
    let from = Instant::now();
    client.write_all(&request("pay", 20.0, "")).unwrap();
    client.read_exact(&mut [0; 10_000]).unwrap();
    assert!(
        from.elapsed() < Duration::from_millis(1800),
        "{:?}",
        from.elapsed()
    );
}

/// All that a client reads of an answer, and whether its connection ended in good order.
fn read_all(client: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut got = Vec::new();
    let ended = client.read_to_end(&mut got).is_ok();
    (got, ended)
}

#[test]
fn a_long_answer_that_is_reset_is_seen_to_be_cut_and_one_that_ends_is_whole() {
    let body: Vec<u8> = (0..200_000_u32)
        .map(|k| (k.wrapping_mul(k) >> 9) as u8)
        .collect();
    for (close, whole) in [
        (Close::Ends, true),
        (Close::EndsThenResets, true),
        (Close::Resets, false),
    ] {
        let sent = [UNTOLD.as_bytes(), &body].concat();
        let server = Server::new(move |stream, _| say(stream, &sent, 200, close));
        let node = alone(&server);
        // In chunks: the last one tells its end.
        let mut client = node.client();
        let close_after = |text: Vec<u8>| {
            String::from_utf8(text)
                .unwrap()
                .replace("Host: service", "Connection: close\r\nHost: service")
        };
        client
            .write_all(close_after(request("pay", 4.0, "")).as_bytes())
            .unwrap();
        let (got, _) = read_all(&mut client);
        assert!(got.len() > 150_000, "{close:?}: it goes on as it comes");
        assert_eq!(
            got.ends_with(b"\r\n0\r\n\r\n"),
            whole,
            "{close:?}, in chunks"
        );
        // To a client that knows none, only the connection's end tells.
        let mut client = node.client();
        let old = close_after(request("pay", 4.0, "")).replace("HTTP/1.1", "HTTP/1.0");
        client.write_all(old.as_bytes()).unwrap();
        let (got, ended) = read_all(&mut client);
        assert_eq!(
            (ended, ended && got.ends_with(&body)),
            (whole, whole),
            "{close:?}, by its connection's end"
        );
    }
}

#[test]
fn an_answer_that_may_be_short_and_hangs_past_its_ops_time_is_cut_off_in_time() {
    let part = [UNTOLD.as_bytes(), &[b'x'; 20_000]].concat();
    let server = Server::new(move |stream, _| say(stream, &part, 0, Close::Hangs));
    let node = alone(&server);
    let mut client = node.client();
    let from = Instant::now();
    client.write_all(&request("pay", 0.5, "")).unwrap();
    let (got, _) = read_all(&mut client);
    assert!(
        got.len() > 20_000 && !got.ends_with(b"0\r\n\r\n"),
        "cut, and seen to be"
    );
    assert!(
        from.elapsed() < Duration::from_millis(1400),
        "{:?}",
        from.elapsed()
    );
}

#[test]
fn a_server_that_breaks_around_a_requests_last_byte_is_no_answer() {
    // Before its last byte it never ran, and goes again whatever its category; after it, as that allows.
    // More than the sockets between them hold.
    let body = "b".repeat(20_000_000);
    for (category, again) in [("view", true), ("order", true), ("pay", false)] {
        for read in [0, 100_000, usize::MAX] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let server = std::thread::spawn(move || {
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
                // An answer with no length, and a reset: what it read of the request does not matter.
                let _ = stream.write_all(format!("{UNTOLD}abc").as_bytes());
                after(20);
                resets(&stream);
            });
            let known = list(1, true, &[host("s", address, "Ready")]);
            let discovery = Discovery::new(known.clone());
            let mut file = configuration(discovery.address, &known);
            file["settings"]["Limits"]["SecondCopies"] = false.into();
            let node = Node::start(&file, None);
            let mut client = node.client();
            let _ = client.write_all(&request(category, 2.0, &body));
            let got = read_message(&mut client);
            let status = got.as_ref().map_or(0, |(head, _)| status(head));
            // There is nowhere else to go: refused where that is harmless, else failed; never served. One whose
            // request is still on its way may find its connection closed.
            let whole = read == usize::MAX;
            let due: &[u16] = if !whole {
                &[503, 0]
            } else {
                &[if again { 503 } else { 502 }]
            };
            assert!(
                due.contains(&status),
                "{category}, {read} bytes read: {status}"
            );
            server.join().unwrap();
        }
    }
}

/// A client whose own machine holds little of what it sends.
fn thin_client(node: &Node) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_send_buffer_size(128 * 1024).unwrap();
    socket.set_tcp_nodelay(true).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let client: TcpStream = socket.into();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    client
}

#[test]
fn a_long_request_whose_server_takes_no_more_of_it_is_answered_in_its_time() {
    // Its client has sent all of it: the rest lies with the node, whose server is cut off.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(16).unwrap();
    let listener: std::net::TcpListener = socket.into();
    let known = list(
        1,
        true,
        &[host("s", listener.local_addr().unwrap(), "Ready")],
    );
    let discovery = Discovery::new(known.clone());
    let mut file = configuration(discovery.address, &known);
    file["settings"]["Limits"]["SecondCopies"] = false.into();
    let node = Node::start(&file, None);
    // PolicyKind much of one goes before nothing moves: what node and sockets hold between them.
    let mut probe = thin_client(&node);
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
    drop(probe);
    // Less, so that all of it is here, and more than the server's side takes: how much the client's own machine holds
    // of it, and the server's, is the system's affair, so that more than one length is tried. Where the sockets take
    // all of it, it times out at the server (502); where some is still with the client, its time does not run.
    let tried = [350_000, 300_000, 250_000, 200_000, 150_000]
        .into_iter()
        .any(|less| {
            let mut client = thin_client(&node);
            client
                .set_read_timeout(Some(Duration::from_millis(950)))
                .unwrap();
            client
                .write_all(&request("pay", 0.5, &"b".repeat(sent - less)))
                .unwrap();
            read_message(&mut client).is_some_and(|(head, _)| status(&head) == 503)
        });
    assert!(
        tried,
        "never answered in its time as what no server had whole"
    );
    drop(listener);
}

#[test]
fn many_that_reset_in_the_middle_of_their_answers_leave_the_others_whole() {
    // More than the sockets between node and client hold.
    let body: Vec<u8> = (0..6_000_000_u32)
        .map(|k| (k.wrapping_mul(k) >> 9) as u8)
        .collect();
    let told = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let sent = [told.as_bytes(), &body].concat();
    let server = Server::new(move |stream, _| stream.write_all(&sent).is_ok());
    let node = Node::before(&[&server]);
    let asks = || {
        let mut client = node.client();
        client.write_all(&request("pay", 20.0, "")).unwrap();
        client
    };
    let mut stays = asks();
    let mut leave = Vec::new();
    while leave.len() < 100 {
        // Where too many are out at once one is nacked, and another asks.
        let mut client = asks();
        leave.extend(client.read_exact(&mut [0; 1000]).is_ok().then_some(client));
    }
    stopped(&node);
    leave.iter().for_each(resets);
    drop(leave);
    node.signal("CONT");
    assert!(
        read_message(&mut stays).expect("an answer").1 == body,
        "its own, whole"
    );
    until("all that left are seen", || {
        node.signal("USR1");
        after(20);
        node.log().contains("departed 100,")
    });
    // All buffers are back: as many pass again.
    for _ in 0..10 {
        assert!(read_message(&mut asks()).expect("an answer").1 == body);
    }
}
