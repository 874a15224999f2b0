//! An upgrade while many requests are out, at a node with little memory.

use crate::discovery::Agent;
use crate::http::{client_request, Reader, Request};
use crate::node::{Node, Told};
use crate::record::Record;
use crate::server::{answer_soundly, Arrivals, Server};
use crate::settings::Settings;
use crate::{Run, Verdict};
use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVERS: usize = 40;
/// Under a third of the 1,024 descriptors (LATER.md).
const CLIENTS: u64 = 150;
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(500);
const TTL_S: f64 = 4.0;
/// From here on a request without an answer is lost: half a second after its time (STANDING.md).
const WAIT: Duration = Duration::from_millis(4500);

/// A client: one request at a time, on a connection that it keeps.
struct Client {
    node: SocketAddr,
    connection: Option<Reader>,
    record: Record,
}

impl Client {
    /// Sends a request and returns the status of its answer; none where the connection ended without one.
    fn send(&mut self, request: &[u8]) -> Option<u16> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.node, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(WAIT)).ok()?;
            self.connection = Some(Reader::new(stream));
        }
        let mut connection = self.connection.take()?;
        connection.stream.write_all(request).ok()?;
        let (status, headers, _) = connection.answer().ok()??;
        let is_close = |(name, value): &(String, String)| {
            name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
        };
        if !headers.iter().any(is_close) {
            self.connection = Some(connection);
        }
        Some(status)
    }

    /// Goes on until told to stop. Returns how often each ending came, and the ids that ended without an answer.
    fn run(&mut self, number: u64, stop: &AtomicBool) -> (BTreeMap<String, usize>, Vec<String>) {
        let (mut endings, mut unanswered) = (BTreeMap::new(), Vec::new());
        let (method, class) = [
            ("GET", "stall-view"),
            ("POST", "stock-update"),
            ("POST", "pay"),
        ][number as usize % 3];
        std::thread::sleep(Duration::from_millis(number * 20));
        for count in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let id = format!("c{number}-{count}");
            let body: &[u8] = if method == "GET" { b"" } else { b"amount=1" };
            let status = self.send(&client_request(method, class, &id, TTL_S, body));
            let ending = status.map_or("no answer".to_string(), |status| status.to_string());
            self.record.line(&format!("client {class} {id}: {ending}"));
            *endings.entry(ending).or_insert(0) += 1;
            match status {
                Some(200) => {}
                Some(_) => std::thread::sleep(Duration::from_millis(200)),
                None => unanswered.push(id),
            }
        }
        (endings, unanswered)
    }
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let name = format!("s{number:02}");
        let own_name = name.clone();
        let answer = move |request: &Request, stream: &mut TcpStream| {
            std::thread::sleep(WORK);
            answer_soundly(&own_name, request, stream)
        };
        entries.push((
            name.clone(),
            Server::start(record, &name, &arrivals, Arc::new(answer)).entry(),
        ));
    }
    let agent = Agent::start(record, 1, &entries);
    let settings = Settings {
        ttl_ms: 1000.0 * TTL_S,
        second_copies: false,
        ..Settings::default()
    };
    let told = Told {
        name: "n0".into(),
        discovery: agent.address,
        known: agent.whole(),
        memory_mb: 32,
        settings: settings.json(),
    };
    let older = Node::start(record, &run.scratch, &told, None);
    older.wait_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client {
                node: older.listen,
                connection: None,
                record: record.clone(),
            };
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || client.run(number, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(7));
    let newer = run
        .trouble
        .then(|| Node::start(record, &run.scratch, &told, Some(&older)));
    if let Some(newer) = &newer {
        newer.wait_for_yes();
        older.signal("TERM");
    }
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    let mut unanswered = Vec::new();
    for client in clients {
        let (ended, ids) = client.join().expect("a client ends");
        ended
            .into_iter()
            .for_each(|(ending, count)| *endings.entry(ending).or_default() += count);
        unanswered.extend(ids);
    }
    record.say(&format!("answers to clients: {endings:?}"));
    // What a server has got was read by the node; a connection that ends unread loses nothing.
    let arrivals = arrivals.lock().unwrap();
    let forwarded: HashSet<&str> = arrivals.iter().map(|arrival| arrival.id.as_str()).collect();
    let lost: Vec<&String> = unanswered
        .iter()
        .filter(|id| forwarded.contains(id.as_str()))
        .collect();
    for id in &lost {
        record.line(&format!(
            "lost: {id} was forwarded and its connection ended without an answer"
        ));
    }
    record.say(&format!(
        "{} requests were forwarded to a server and got no answer",
        lost.len()
    ));
    Verdict::broken_if(!lost.is_empty())
}
