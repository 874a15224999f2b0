//! What is still owed when something ends: each crossing is forced. A stand-in holds back its step until it has
//! seen the other side's, or the node stands still while both ends of a crossing come to lie ready.

use super::after;
use super::help::*;
use rustix::process::{getrlimit, setrlimit, Resource};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that answers each request only once it is told to, with what it is told.
fn held_server() -> (Server, std::sync::mpsc::Sender<Vec<u8>>) {
    let (say, said) = std::sync::mpsc::channel::<Vec<u8>>();
    let said = Mutex::new(said);
    let server = Server::new(move |stream, _| {
        let answer = said
            .lock()
            .unwrap()
            .recv_timeout(PATIENCE)
            .unwrap_or_default();
        !answer.is_empty() && stream.write_all(&answer).is_ok()
    });
    (server, say)
}

const FAILED: &[u8] = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    linger.expect("a socket");
}

/// Has the node stand still, and waits until it does.
pub fn stopped(node: &Node) {
    node.signal("STOP");
    until("it stands still", || {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", node.process())).unwrap_or_default();
        stat.rsplit(')')
            .next()
            .is_some_and(|rest| rest.trim_start().starts_with('T'))
    });
}

/// PolicyKind many requests of a category a server has had from a node, once that has ended and all it wrote is read.
fn of_category(node: &mut Node, server: &Server, category: &str) -> usize {
    node.signal("TERM");
    assert!(node.ended().0);
    until("all is read", || server.open.load(Ordering::SeqCst) == 0);
    let path = format!("POST /{category}/");
    server
        .asked
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.head.starts_with(&path))
        .count()
}

/// A client whose request is with a server that holds its answer back.
fn sent(node: &Node, server: &Server, bytes: &[u8]) -> TcpStream {
    let before = server.pushes();
    let mut client = node.client();
    client.write_all(bytes).unwrap();
    until("it is out", || server.pushes() == before + 1);
    client
}

/// Opens so many connections to a held server, which stand idle then: what goes to it next is written at once.
fn warm(node: &Node, server: &Server, say: &std::sync::mpsc::Sender<Vec<u8>>, connections: usize) {
    let mut clients: Vec<_> = (0..connections).map(|_| node.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.write_all(&request("order", 60.0, "")).unwrap());
    until("all are out", || server.pushes() == connections);
    (0..connections).for_each(|_| say.send(ok("warm")).unwrap());
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(read_message(client).expect("an answer").1, b"warm"));
    // For as long as they rest.
    after(30);
}

#[test]
fn a_client_that_sends_more_behind_its_request_and_goes_is_seen_to_go() {
    for (behind, how) in [
        (0, "closes"),
        (1, "closes"),
        (300_000, "closes"),
        (20, "resets"),
        (5000, "half closes"),
    ] {
        let quiet = Server::new(|stream, _| {
            // Nothing is said; whoever gives up closes.
            let _ = stream.read(&mut [0]);
            false
        });
        let node = Node::before(&[&quiet]);
        let mut client = sent(&node, &quiet, &request("view", 60.0, ""));
        let _ = client.write_all(&vec![b'x'; behind]);
        match how {
            "resets" => reset(client),
            "half closes" => client.shutdown(Shutdown::Write).unwrap(),
            _ => drop(client),
        }
        until(
            &format!("its push is given up, {behind} bytes behind, it {how}"),
            || quiet.open.load(Ordering::SeqCst) == 0,
        );
        assert_eq!(quiet.pushes(), 1);
    }
}

#[test]
fn a_request_behind_another_waits_for_its_answer_also_while_the_end_is_watched() {
    let (server, say) = held_server();
    let node = Node::before(&[&server]);
    let mut client = sent(&node, &server, &request("view", 5.0, ""));
    client.write_all(&request("view", 5.0, "")).unwrap();
    for body in ["first", "second"] {
        say.send(ok(body)).unwrap();
        assert_eq!(
            read_message(&mut client).expect("an answer").1,
            body.as_bytes()
        );
    }
}

#[test]
fn whoever_left_while_the_node_stood_still_is_not_sent_on_after_a_failure() {
    let (server, say) = held_server();
    let mut node = Node::before(&[&server]);
    warm(&node, &server, &say, 2);
    let mut client = sent(&node, &server, &request("view", 60.0, ""));
    stopped(&node);
    // The failure lies there first, then the client's end behind some bytes.
    say.send(FAILED.to_vec()).unwrap();
    after(50);
    client.write_all(b"x").unwrap();
    drop(client);
    after(50);
    node.signal("CONT");
    say.send(ok("next")).unwrap();
    assert_eq!(node.ask(&request("order", 5.0, "")), (200, "next".into()));
    assert_eq!(
        of_category(&mut node, &server, "view"),
        1,
        "its client had left"
    );
}

#[test]
fn a_request_that_lies_there_with_its_clients_end_is_not_sent_on() {
    // One on a connection that the node knows, one on a new one.
    for known in [true, false] {
        let (server, say) = held_server();
        let mut node = Node::before(&[&server]);
        warm(&node, &server, &say, 2);
        let mut client = node.client();
        if known {
            client.write_all(&request("view", 60.0, "")).unwrap();
            until("it is out", || server.pushes() == 3);
            say.send(ok("x")).unwrap();
            assert!(read_message(&mut client).is_some());
            after(30);
        }
        stopped(&node);
        if !known {
            client = TcpStream::connect(node.address).unwrap();
        }
        client
            .write_all(&[&request("pay", 60.0, "")[..], b"behind"].concat())
            .unwrap();
        drop(client);
        after(30);
        node.signal("CONT");
        say.send(ok("next")).unwrap();
        assert_eq!(node.ask(&request("view", 5.0, "")), (200, "next".into()));
        assert_eq!(of_category(&mut node, &server, "pay"), 0);
    }
}

#[test]
fn a_probe_that_is_answered_beside_its_clients_end_sends_nothing_on() {
    // A probe waits for a quarter of a second at most; where the machine is too busy for that, it is tried again.
    for _ in 0..5 {
        let (go, gone) = std::sync::mpsc::channel::<()>();
        let gone = Mutex::new(gone);
        let server = Server::new(move |stream, asked| {
            if asked.head.starts_with("GET /_load ") {
                let _ = gone.lock().unwrap().recv_timeout(PATIENCE);
                return stream.write_all(&ok("TEXT inflight=0")).is_ok();
            }
            stream.write_all(&ok("x")).is_ok()
        });
        let shape = |c: &mut serde_json::Value| {
            asked_shape(c);
            // An op waits for a tenth of it.
            c["settings"]["Categories"][0]["TargetLatencyMs"] = json!(60_000.0);
        };
        let mut node = Node::with(&[&server], shape, None);
        let mut client = node.client();
        client.write_all(&request("view", 60.0, "")).unwrap();
        until("the probe is out", || server.pushes() == 1);
        stopped(&node);
        go.send(()).unwrap();
        after(30);
        let sent = server
            .asked
            .lock()
            .unwrap()
            .iter()
            .any(|a| a.head.starts_with("POST /view/"));
        client.write_all(b"x").unwrap();
        drop(client);
        after(30);
        node.signal("CONT");
        go.send(()).unwrap();
        if !sent {
            assert_eq!(node.ask(&request("order", 5.0, "")).0, 200);
            assert_eq!(
                of_category(&mut node, &server, "view"),
                0,
                "its client had left"
            );
            return;
        }
    }
    panic!("no machine is so busy five times in a row");
}

#[test]
fn a_client_that_leaves_while_a_connection_comes_up_takes_it_along() {
    let (_listener, address, _queued) = stuck();
    let (node, _discovery) = before_stuck(address);
    let mut client = node.client();
    client.write_all(&request("view", 60.0, "")).unwrap();
    until("it dials", || dialled(address));
    client.write_all(b"behind").unwrap();
    drop(client);
    until("it dials no more", || !dialled(address));
}

#[test]
fn a_long_body_that_ends_with_its_client_goes_to_no_server_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = list(
        1,
        true,
        &[host("s0", listener.local_addr().unwrap(), "Ready")],
    );
    let discovery = Discovery::new(known.clone());
    let node = Node::start(&configuration(discovery.address, &known), None);
    let (read, over) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let (count, end) = (read.clone(), over.clone());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut some = [0; 4096];
        while let Ok(n @ 1..) = stream.read(&mut some) {
            count.fetch_add(n, Ordering::SeqCst);
        }
        end.store(true, Ordering::SeqCst);
    });
    let bytes = request("pay", 60.0, &"x".repeat(200_000));
    // So little is left that it fits into any window, the end behind it too.
    let first = bytes.len() - 2000;
    let mut client = node.client();
    let own = client.local_addr().unwrap();
    client.write_all(&bytes[..first]).unwrap();
    until("all of it went on", || {
        read.load(Ordering::SeqCst) + 500 > first
    });
    stopped(&node);
    client.write_all(&bytes[first..]).unwrap();
    drop(client);
    // State 05: the system on the node's side has its end, behind all bytes.
    until("its end lies there", || {
        in_state(|line| line.next() == Some(&hexed(own)), "05")
    });
    node.signal("CONT");
    until("its push is given up", || over.load(Ordering::SeqCst));
    assert!(read.load(Ordering::SeqCst) < 200_000, "its client had left");
}

#[test]
fn an_answer_that_lies_there_beside_the_end_of_its_time_is_no_time_out() {
    let (server, say) = held_server();
    let node = Node::before(&[&server]);
    // At most once: a time-out beside the answer would be a failure for good.
    let mut client = sent(&node, &server, &request("pay", 0.4, ""));
    stopped(&node);
    say.send(ok("in time")).unwrap();
    after(600);
    node.signal("CONT");
    let (head, body) = read_message(&mut client).expect("an answer");
    assert_eq!((status(&head), &body[..]), (200, &b"in time"[..]));
}

/// A node that knows one server, whose connections come up late, and waits for them as long as it takes.
fn before_stuck(address: SocketAddr) -> (Node, Discovery) {
    let known = list(1, true, &[host("stuck", address, "Ready")]);
    let discovery = Discovery::new(known.clone());
    let mut configuration = configuration(discovery.address, &known);
    configuration["settings"]["Limits"]["ConnectTimeoutMs"] = json!(60_000.0);
    (Node::start(&configuration, None), discovery)
}

/// An address as the system's table of connections has it.
fn hexed(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}

/// Whether any connection is in a state, of which something holds for its own address and the other side's.
fn in_state(holds: impl Fn(&mut dyn Iterator<Item = &str>) -> bool, state: &str) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(3) == Some(&state) && holds(&mut words[1..3].iter().copied())
    })
}

/// Whether a connection to an address has its first packet out and unanswered.
fn dialled(address: SocketAddr) -> bool {
    in_state(|line| line.nth(1) == Some(&hexed(address)), "02")
}

/// A proxy that was stopped while it dialled an endpoint whose queue of connections is full.
struct StoppedWhileDialling {
    listener: TcpListener,
    queued: Vec<TcpStream>,
    node: Node,
    _discovery: Discovery,
    client: TcpStream,
    from: Instant,
}

impl StoppedWhileDialling {
    /// None where the machine was too slow: the request's time was over, and the dial with it, before the process stopped.
    fn start() -> Option<Self> {
        let (listener, address, queued) = stuck();
        let (node, _discovery) = before_stuck(address);
        let mut client = node.client();
        client.write_all(&request("pay", 1.5, "")).unwrap();
        let from = Instant::now();
        until("it dials, or its time is over", || {
            dialled(address) || from.elapsed() > Duration::from_millis(1500)
        });
        stopped(&node);
        // A process that stands still ends no dial: what is seen now stays.
        dialled(address).then_some(StoppedWhileDialling {
            listener,
            queued,
            node,
            _discovery,
            client,
            from,
        })
    }
}

#[test]
fn a_connection_that_is_found_up_after_its_ops_time_carries_nothing() {
    let mut tries = 0;
    let StoppedWhileDialling {
        listener,
        queued,
        node,
        _discovery,
        mut client,
        from,
    } = loop {
        tries += 1;
        assert!(
            tries <= 20,
            "the machine is too slow to stop a process within 1.5 s"
        );
        if let Some(stopped) = StoppedWhileDialling::start() {
            break stopped;
        }
    };
    // Room, so that the connection comes up when its first packet is sent again.
    for _ in 0..queued.len() {
        listener.accept().unwrap();
    }
    drop(queued);
    let (mut late, _) = listener.accept().unwrap();
    let left = Duration::from_millis(1600).saturating_sub(from.elapsed());
    std::thread::sleep(left);
    node.signal("CONT");
    late.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(
        late.read(&mut [0]).ok(),
        Some(0),
        "closed with nothing sent"
    );
    assert!(matches!(
        status(&read_message(&mut client).expect("an answer").0),
        502 | 503
    ));
}

#[test]
fn a_drain_that_lies_there_is_heeded_before_a_request_that_came_ahead_of_it() {
    let (one, two) = (Server::saying(ok("one")), Server::saying(ok("two")));
    let known = list(1, true, &[host("one", one.address, "Ready")]);
    let discovery = Discovery::new(known.clone());
    let node = Node::start(&configuration(discovery.address, &known), None);
    let mut client = node.client();
    client.write_all(&request("view", 5.0, "")).unwrap();
    assert_eq!(read_message(&mut client).expect("an answer").1, b"one");
    until("it watches", || discovery.calls.lock().unwrap().len() >= 2);
    stopped(&node);
    client.write_all(&request("view", 60.0, "")).unwrap();
    after(20);
    discovery.tell(list(
        2,
        false,
        &[
            host("one", one.address, "Terminating"),
            host("two", two.address, "Ready"),
        ],
    ));
    // Longer than the grace.
    after(200);
    node.signal("CONT");
    assert_eq!(read_message(&mut client).expect("an answer").1, b"two");
    assert_eq!(one.pushes(), 1);
}

#[test]
fn a_watch_that_is_reset_again_and_again_is_opened_anew_within_a_drains_grace() {
    let server = Server::saying(ok("x"));
    let known = list(1, true, &[host("s0", server.address, "Ready")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut configuration = configuration(listener.local_addr().unwrap(), &known);
    configuration["settings"]["Obligations"]["StopSendingWithinMs"] = json!(500.0);
    configuration["settings"]["Obligations"]["AskWithinMs"] = json!(8000.0);
    let gaps = std::thread::spawn(move || {
        let mut gaps = Vec::new();
        let mut last = None::<Instant>;
        for stream in listener.incoming().take(9) {
            let mut stream = stream.unwrap();
            gaps.extend(last.map(|at| at.elapsed()));
            if read_message(&mut stream).is_some() {
                reset(stream);
            }
            last = Some(Instant::now());
        }
        gaps
    });
    let _node = Node::start(&configuration, None);
    let mut gaps = gaps.join().unwrap();
    gaps.sort();
    // Waits that double to a quarter of `AskWithinMs` come to 1 s and more by the fourth. A busy machine may be
    // late once or twice; half of the nine are not.
    assert!(
        gaps[gaps.len() / 2] < Duration::from_millis(450),
        "{gaps:?}"
    );
}

#[test]
fn told_to_stop_it_still_hears_the_repeat_of_a_request_that_crossed_a_close() {
    let server = Server::saying(ok("x"));
    let mut node = Node::before(&[&server]);
    let mut idle = node.client();
    idle.write_all(&request("view", 2.0, "")).unwrap();
    assert!(read_message(&mut idle).is_some());
    node.signal("TERM");
    // Its next request would cross this close.
    assert_eq!(idle.read(&mut [0]).ok(), Some(0));
    let mut again = TcpStream::connect(node.address).expect("the door is open");
    again.write_all(&request("view", 2.0, "")).unwrap();
    let (head, _) = read_message(&mut again).expect("an answer");
    assert_eq!(
        (status(&head), header(&head, "Connection").as_deref()),
        (200, Some("close"))
    );
    assert!(node.ended().0);
}

#[test]
fn told_to_stop_it_answers_what_would_outlast_it() {
    // One at a server that never answers, two at a server whose answer never ends: of the first so much has come
    // that it is passed on, of the second one byte, with which nothing has begun.
    let quiet = Server::new(|stream, asked| {
        if asked.head.starts_with("POST /view/") {
            let size = if asked.body == b"much" { 100_000 } else { 1 };
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(format!("{head}{chunk}").as_bytes());
        }
        let _ = stream.read(&mut [0]);
        false
    });
    let mut node = Node::before(&[&quiet]);
    let (mut one, mut two, mut three) = (node.client(), node.client(), node.client());
    let mut four = node.client();
    one.write_all(&request("pay", 60.0, "")).unwrap();
    two.write_all(&request("view", 60.0, "much")).unwrap();
    three.write_all(&request("order", 60.0, "")).unwrap();
    four.write_all(&request("view", 60.0, "")).unwrap();
    until("they are out", || quiet.pushes() >= 4);
    node.signal("TERM");
    assert_eq!(status(&read_message(&mut one).expect("an answer").0), 502);
    assert!(matches!(
        status(&read_message(&mut three).expect("an answer").0),
        502 | 503
    ));
    let (mut rest, from) = (Vec::new(), Instant::now());
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
        status(&read_message(&mut four).expect("an answer").0),
        503,
        "a whole one of the node's own"
    );
    assert!(node.ended().0);
}

#[test]
fn a_second_answer_some_milliseconds_late_is_nobodys() {
    let spoilt = Arc::new(AtomicBool::new(false));
    let sent = spoilt.clone();
    let server = Server::new(move |stream, asked| {
        let body = header(&asked.head, "X-Request-ID").expect("as the client gave it");
        let from = Instant::now();
        if stream.write_all(&ok(&body)).is_err() {
            return false;
        }
        // The second copy goes out behind the next request on this connection, if that comes within 8 ms.
        stream
            .set_read_timeout(Some(Duration::from_millis(8)))
            .unwrap();
        if stream.peek(&mut [0]).is_ok_and(|n| n > 0) && from.elapsed() < Duration::from_millis(9) {
            sent.store(true, Ordering::SeqCst);
            let _ = stream.write_all(&ok(&body));
        }
        stream.set_read_timeout(None).unwrap();
        true
    });
    let node = Node::before(&[&server]);
    for _ in 0..40 {
        let bytes = request("view", 5.0, "");
        let id = header(&String::from_utf8_lossy(&bytes), "X-Request-ID").unwrap();
        let (code, body) = node.ask(&bytes);
        assert!(code != 200 || body == id, "{body} for {id}");
        after(3);
    }
    assert!(
        !spoilt.load(Ordering::SeqCst),
        "no connection is used again so soon"
    );
}

#[test]
fn a_drain_that_lies_there_beside_a_new_configuration_is_heeded() {
    let (one, two) = (Server::saying(ok("one")), Server::saying(ok("two")));
    let known = list(
        1,
        true,
        &[
            host("one", one.address, "Ready"),
            host("two", two.address, "Ready"),
        ],
    );
    let old = Discovery::new(known.clone());
    let node = Node::start(&configuration(old.address, &known), None);
    until("it watches", || old.calls.lock().unwrap().len() >= 2);
    // The new one hears and says nothing.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    stopped(&node);
    old.tell(list(2, false, &[host("one", one.address, "Terminating")]));
    node.reload(&configuration(silent.local_addr().unwrap(), &known).to_string());
    after(50);
    node.signal("CONT");
    until("it is taken over", || {
        node.log().contains("configuration read again")
    });
    let before = one.pushes();
    for _ in 0..10 {
        assert_eq!(node.ask(&request("view", 5.0, "")), (200, "two".into()));
    }
    assert_eq!(one.pushes(), before);
}

#[test]
fn a_request_in_the_systems_queue_when_the_door_would_close_is_answered() {
    // The door stays open for 0.9 s; where the machine is too busy to stop the node within that, it is tried again.
    for _ in 0..5 {
        let server = Server::saying(ok("x"));
        let mut node = Node::before(&[&server]);
        let from = Instant::now();
        node.signal("TERM");
        until("it is told", || node.log().contains("stopping"));
        node.signal("STOP");
        if from.elapsed() > Duration::from_millis(600) {
            continue;
        }
        stopped(&node);
        // Past the time until which clients may come, and well before the end.
        after(1200);
        let mut late = TcpStream::connect(node.address).expect("the system takes it");
        late.set_read_timeout(Some(PATIENCE)).unwrap();
        late.write_all(&request("view", 2.0, "")).unwrap();
        node.signal("CONT");
        assert_eq!(status(&read_message(&mut late).expect("an answer").0), 200);
        assert!(node.ended().0);
        return;
    }
    panic!("no machine is so busy five times in a row");
}

#[test]
fn a_new_process_hears_what_its_agent_knows_before_any_client() {
    // Where the machine is too busy for the agent to speak within a tenth of a second, it is tried again.
    for _ in 0..5 {
        let (one, two) = (Server::saying(ok("one")), Server::saying(ok("two")));
        let known = list(1, true, &[host("one", one.address, "Ready")]);
        let agent = TcpListener::bind("127.0.0.1:0").unwrap();
        let free = crankmux_fault_injection::free_port();
        let mut configuration = configuration(agent.local_addr().unwrap(), &known);
        configuration["listen"] = json!(free.to_string());
        let news = list(
            2,
            false,
            &[
                host("one", one.address, "Terminating"),
                host("two", two.address, "Ready"),
            ],
        );
        let (written, wrote) = std::sync::mpsc::channel::<()>();
        let said = std::thread::spawn(move || {
            let (mut stream, _) = agent.accept().unwrap();
            read_message(&mut stream).expect("it asks");
            let asked = Instant::now();
            // Not before its client has written, and a node that does not wait has had the time to send that on.
            wrote.recv_timeout(PATIENCE).expect("a client");
            after(30);
            stream.write_all(&ok(&news.to_string())).unwrap();
            (asked.elapsed(), stream, agent)
        });
        let client = std::thread::spawn(move || {
            let from = Instant::now();
            let mut client = loop {
                match TcpStream::connect(free) {
                    Ok(client) => break client,
                    Err(_) => assert!(from.elapsed() < PATIENCE, "it listens"),
                }
            };
            client.set_read_timeout(Some(PATIENCE)).unwrap();
            client.write_all(&request("view", 5.0, "")).unwrap();
            written.send(()).unwrap();
            read_message(&mut client).expect("an answer").1
        });
        let _node = Node::start(&configuration, None);
        let (took, ..) = said.join().unwrap();
        let body = client.join().unwrap();
        if took < Duration::from_millis(85) {
            assert_eq!((body, one.pushes()), (b"two".to_vec(), 0));
            return;
        }
    }
    panic!("no machine is so busy five times in a row");
}

#[test]
fn lists_torn_indented_empty_repeated_or_older_end_nothing() {
    let (one, two) = (Server::saying(ok("one")), Server::saying(ok("two")));
    let known = list(5, true, &[host("one", one.address, "Ready")]);
    let both = [
        host("one", one.address, "Terminating"),
        host("two", two.address, "Ready"),
    ];
    let indented = serde_json::to_string_pretty(&list(6, false, &both)).unwrap();
    let torn = list(7, false, &both).to_string();
    let bodies = [
        torn[..torn.len() / 2].to_string(),
        String::new(),
        "null".into(),
        list(5, false, &[]).to_string(),
        indented.clone(),
        indented,
        list(6, false, &[]).to_string(),
        // Older: what has come since is asked for whole.
        list(2, false, &[]).to_string(),
        list(6, true, &both).to_string(),
    ];
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = agent.local_addr().unwrap();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let heard = calls.clone();
    std::thread::spawn(move || {
        let mut bodies = bodies.into_iter();
        for mut stream in agent.incoming().flatten() {
            while let Some((head, _)) = read_message(&mut stream) {
                heard
                    .lock()
                    .unwrap()
                    .push(head.lines().next().unwrap_or_default().to_string());
                let Some(body) = bodies.next() else {
                    return std::thread::sleep(PATIENCE);
                };
                if stream.write_all(&ok(&body)).is_err() {
                    break;
                }
            }
        }
    });
    let node = Node::start(&configuration(address, &known), None);
    until("all of them are told", || calls.lock().unwrap().len() == 10);
    let asked = calls.lock().unwrap().clone();
    assert!(
        asked[8].starts_with("GET /catalog/members HTTP"),
        "the whole list after an older one: {asked:?}"
    );
    assert!(asked[9].contains("from=6&hold_ms="), "{asked:?}");
    for _ in 0..5 {
        assert_eq!(node.ask(&request("view", 5.0, "")), (200, "two".into()));
    }
}

#[test]
fn other_customers_settings_start_and_serve() {
    let server = Server::new(|stream, asked| {
        let load = if asked.head.starts_with("GET /_load ") {
            "TEXT inflight=0"
        } else {
            "x"
        };
        stream.write_all(&ok(load)).is_ok()
    });
    let category = |name: &str, effect: &str, ttl: f64| {
        json!({"Name": name, "Effect": effect, "Group": "cell", "WindowMs": 5000.0, "TargetLatencyMs": ttl / 4.0,
               "TtlMs": ttl, "Benefit": 3.5, "LateBenefit": 0.0})
    };
    let one = |name: &str, effect: &str, ttl: f64| vec![category(name, effect, ttl)];
    let small = |c: &mut serde_json::Value| {
        c["limits"] = json!({"cores": 0.1, "memory_mb": 1, "sockets": 48});
        c["settings"]["Limits"]["MostPushes"] = json!(1);
    };
    for (categories, limits) in [
        (one("Berth.Plan", "read_like", 120_000.0), false),
        (one("x", "non_idempotent", 2000.0), true),
        (one("UPPER_lower-9", "idempotency_key", 900_000.0), true),
        (
            [
                one("a", "non_idempotent", 100.0),
                one("A", "read_like", 100.0),
            ]
            .concat(),
            false,
        ),
    ] {
        let change = |c: &mut serde_json::Value| {
            c["settings"]["Categories"] = json!(categories);
            limits.then(|| small(c));
        };
        let node = Node::with(&[&server], change, None);
        for category in &categories {
            let name = category["Name"].as_str().unwrap();
            // As clients do after a nack; its time is long, so that a busy machine has enough of it.
            assert_eq!(node.ask_till_acked(&request(name, 5.0, "")), 200, "{name}");
        }
        assert_eq!(
            node.ask(&request("view", 5.0, "")).0,
            400,
            "a class that is not this customer's"
        );
    }
    // Of one that lacks a key, the key is told.
    let known = list(1, true, &[host("s0", server.address, "Ready")]);
    let mut lacks = configuration("127.0.0.1:9".parse().unwrap(), &known);
    lacks["settings"]["Categories"] = json!(one("x", "read_like", 100.0));
    lacks["settings"]["Categories"][0]
        .as_object_mut()
        .unwrap()
        .remove("TtlMs");
    assert!(refused_start(&lacks)
        .expect("it does not start")
        .contains("TtlMs"));
}

#[test]
fn requests_behind_one_do_not_keep_the_last_buffer_from_its_answer() {
    const LONG: usize = 30 * 1024 * 1024;
    let (go, gone) = std::sync::mpsc::channel::<()>();
    let gone = Arc::new(Mutex::new(gone));
    let all = Arc::new(AtomicBool::new(false));
    let script = |stream: &mut TcpStream, asked: &Asked, gone: &Mutex<_>, out: &AtomicBool| {
        until("all are out", || out.load(Ordering::SeqCst));
        if asked.head.starts_with("POST /pay/") {
            let gone: std::sync::MutexGuard<std::sync::mpsc::Receiver<()>> = gone.lock().unwrap();
            let _ = gone.recv_timeout(PATIENCE);
            return stream.write_all(&ok("paid")).is_ok();
        }
        // Whoever asked for this takes nothing of it.
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
        stream.write_all(head.as_bytes()).is_ok() && stream.write_all(&vec![b'x'; LONG]).is_ok()
    };
    // As many as have room for all of them from the start.
    let servers: Vec<Server> = (0..3)
        .map(|_| {
            let (gone, out) = (gone.clone(), all.clone());
            Server::new(move |stream, asked| script(stream, asked, &gone, &out))
        })
        .collect();
    let pushes = || servers.iter().map(Server::pushes).sum::<usize>();
    // Sixteen buffers, of which requests and pushes leave eight.
    let change = |c: &mut serde_json::Value| {
        c["limits"]["memory_mb"] = json!(1);
        c["settings"]["Limits"]["SecondCopies"] = json!(false);
    };
    let node = Node::with(&servers.iter().collect::<Vec<_>>(), change, None);
    let mut client = node.client();
    client
        .write_all(
            &[
                &request("pay", 60.0, "")[..],
                &request("view", 60.0, "")[..],
            ]
            .concat(),
        )
        .unwrap();
    until("it is out", || pushes() == 1);
    let readers: Vec<_> = (0..6)
        .map(|n| {
            let mut reader = node.client();
            reader
                .write_all(&[request("view", 60.0, ""), request("view", 60.0, "")].concat())
                .unwrap();
            until("it is out", || pushes() == n + 2);
            reader
        })
        .collect();
    // One more waits for its body.
    let mut half = node.client();
    half.write_all(&request("view", 60.0, "xx")[..90]).unwrap();
    all.store(true, Ordering::SeqCst);
    // One for which none is left to read its server's answer into has failed, and is told so. None is cut off.
    let told = |stream: &TcpStream| stream.peek(&mut [0; 12]).is_ok_and(|n| n == 12);
    until("answers begin", || readers.iter().all(told));
    after(200);
    go.send(()).unwrap();
    // Where none is left to read the server's answer into, it has failed; either is a final answer.
    let (head, body) = read_message(&mut client).expect("an answer");
    assert!(
        matches!((status(&head), &body[..]), (200, b"paid") | (502, b"")),
        "{head}"
    );
    drop(readers);
}

#[test]
fn a_request_that_lies_there_when_its_connection_has_stood_for_too_long_is_answered() {
    let server = Server::saying(ok("x"));
    let node = Node::before(&[&server]);
    let mut client = node.client();
    client.write_all(&request("view", 5.0, "")).unwrap();
    assert!(read_message(&mut client).is_some());
    stopped(&node);
    // Connections stand idle for 2 s at most.
    after(2300);
    client.write_all(&request("pay", 60.0, "")).unwrap();
    node.signal("CONT");
    assert_eq!(
        status(&read_message(&mut client).expect("an answer").0),
        200
    );
}

#[test]
fn a_request_that_lies_there_when_its_connection_would_make_room_is_answered() {
    let server = Server::saying(ok("x"));
    // Room for eight clients.
    let node = Node::with(&[&server], |c| c["limits"]["sockets"] = json!(48), None);
    let mut idle: Vec<TcpStream> = (0..8).map(|_| node.client()).collect();
    for client in &mut idle {
        client.write_all(&request("view", 5.0, "")).unwrap();
        // One of them may have made room for another that came; it is the first ones that count below.
        let _ = read_message(client);
    }
    // So long that they count as standing, and no longer than they may.
    after(150);
    stopped(&node);
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
    // Who had its answer longest ago would go first.
    let mut first = asking.remove(0);
    first.write_all(&request("pay", 60.0, "")).unwrap();
    let mut new: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(node.address).unwrap())
        .collect();
    new.iter_mut()
        .for_each(|client| client.write_all(&request("view", 60.0, "")).unwrap());
    node.signal("CONT");
    assert_eq!(status(&read_message(&mut first).expect("an answer").0), 200);
    for client in &mut new {
        client.set_read_timeout(Some(PATIENCE)).unwrap();
        assert!(matches!(
            status(&read_message(client).expect("an answer").0),
            200 | 503
        ));
    }
}

#[test]
fn another_customers_state_directory_changes_no_op() {
    let (one, two) = (Server::saying(ok("one")), Server::saying(ok("two")));
    let mut node = Node::with_door(&[&one, &two], |_| ());
    assert_eq!(node.call("POST", "/v1/servers/s0/suspend").0, 200);
    assert_eq!(node.ask(&request("view", 5.0, "")), (200, "two".into()));
    let (folder, mut file) = (node.folder().to_string_lossy().into_owned(), node.file());
    node.signal("KILL");
    assert!(!node.ended().0);
    let state = std::fs::read_dir(&folder)
        .unwrap()
        .flatten()
        .next()
        .expect("its state")
        .path();
    let learnt = json!({"time": 1e-9, "slack": 1e9, "categories": {"view": [1e9, 1e9]}, "servers": [{"mark": 1, "limit": 0}]});
    std::fs::write(
        state.join("handed.json"),
        json!({"learnt": learnt, "list": {"seq": "x"}}).to_string(),
    )
    .unwrap();
    // The same classes with other effects, and one that was not there.
    let effects = ["non_idempotent", "read_like", "read_like"];
    for (category, effect) in file["settings"]["Categories"]
        .as_array_mut()
        .unwrap()
        .iter_mut()
        .zip(effects)
    {
        category["Effect"] = json!(effect);
    }
    let mut more = file["settings"]["Categories"][0].clone();
    more["Name"] = json!("more");
    file["settings"]["Categories"]
        .as_array_mut()
        .unwrap()
        .push(more);
    let next = Node::start_under(&file, &[("TMPDIR", folder)]);
    for category in ["view", "order", "pay", "more"] {
        assert_eq!(
            next.ask(&request(category, 5.0, "")),
            (200, "two".into()),
            "the mark alone is kept"
        );
    }
}

#[test]
fn told_to_stop_before_its_agent_has_spoken_it_answers_whoever_came() {
    let server = Server::saying(ok("x"));
    let known = list(1, true, &[host("s0", server.address, "Ready")]);
    // It hears and says nothing.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::begun(
        &configuration(silent.local_addr().unwrap(), &known),
        None,
        &[],
    );
    let mut client = node.client();
    client.write_all(&request("view", 2.0, "")).unwrap();
    node.signal("TERM");
    assert_eq!(
        status(&read_message(&mut client).expect("an answer").0),
        200
    );
    assert!(node.ended().0);
}

#[test]
fn more_events_than_a_thousand_are_heard_before_what_is_due() {
    // The usual limit of 1,024 descriptors is under what this test holds.
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    setrlimit(Resource::Nofile, limit).expect("up to the hard limit anybody may go");
    let (server, say) = held_server();
    let node = Node::with(&[&server], |c| c["limits"]["sockets"] = json!(4096), None);
    let mut client = sent(&node, &server, &request("pay", 0.4, ""));
    // Twelve hundred that have come and say something, all of it ready at once, ahead of the answer.
    let mut many: Vec<TcpStream> = (0..1200).map(|_| node.client()).collect();
    let known = || node.log().contains("accepted 1202");
    until("all are known", || {
        node.signal("USR1");
        known()
    });
    stopped(&node);
    many.iter_mut()
        .for_each(|client| client.write_all(b"x").unwrap());
    say.send(ok("in time")).unwrap();
    after(600);
    node.signal("CONT");
    let (head, body) = read_message(&mut client).expect("an answer");
    assert_eq!((status(&head), &body[..]), (200, &b"in time"[..]));
}

#[test]
fn hundreds_that_come_and_leave_in_one_moment_are_not_sent_on() {
    let (server, say) = held_server();
    let mut node = Node::before(&[&server]);
    warm(&node, &server, &say, 2);
    stopped(&node);
    for _ in 0..300 {
        let mut client = node.client();
        client.write_all(&request("view", 60.0, "")).unwrap();
    }
    after(100);
    node.signal("CONT");
    until("they are heard", || {
        node.signal("USR1");
        node.log().contains("taken 302")
    });
    assert_eq!(of_category(&mut node, &server, "view"), 0, "all had left");
}

#[test]
fn whoever_leaves_while_its_answer_is_held_back_is_not_sent_on() {
    // A short answer of unknown length, held for its end: its client leaves, then it breaks.
    let (gate, opened) = std::sync::mpsc::channel::<()>();
    let opened = Mutex::new(opened);
    let server = Server::new(move |stream, _| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc");
        let _ = opened.lock().unwrap().recv_timeout(PATIENCE);
        socket2::SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
        false
    });
    let node = Node::before(&[&server]);
    let client = sent(&node, &server, &request("view", 60.0, ""));
    after(50);
    stopped(&node);
    // The break lies there first, then the client's end.
    gate.send(()).unwrap();
    after(50);
    drop(client);
    after(50);
    node.signal("CONT");
    after(300);
    assert_eq!(server.pushes(), 1, "its client had left");
}
