//! Many long answers at once, more than a node's memory holds, to clients that take seconds to read them.

use crate::discovery::Agent;
use crate::http::{client_request, Reader, Request};
use crate::node::{Node, Told};
use crate::record::Record;
use crate::server::{Arrivals, Server};
use crate::settings::Settings;
use crate::{Run, Verdict};
use std::collections::{BTreeMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVERS: usize = 40;
/// Under a third of the 1,024 descriptors (LATER.md).
const CLIENTS: u64 = 200;
/// One client after the other: some 320 requests a second.
const GAP: Duration = Duration::from_millis(3);
/// How long a server works on a request before its answer.
const WORK: Duration = Duration::from_millis(500);
const LONG_BYTES: usize = 6_000_000;
const SHORT_BYTES: usize = 2_000;
const TTL_S: f64 = 4.0;
/// A client reads so much at a time, with a pause behind it: about a megabyte a second.
const READ_BYTES: usize = 16_384;
const READ_PAUSE: Duration = Duration::from_millis(15);

/// Sends a request and reads its answer. Returns what came of it.
fn send(node: SocketAddr, request: &[u8], answer_bytes: usize) -> io::Result<String> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(request)?;
    let mut reader = Reader::new(stream);
    let Some(head) = reader.head(|| ())? else {
        return Ok("closed without an answer".into());
    };
    let status = head[0].split(' ').nth(1).unwrap_or("-").to_string();
    if status != "200" {
        return Ok(status);
    }
    let mut got = reader.pending.len();
    let mut piece = [0; READ_BYTES];
    while got < answer_bytes {
        match reader.stream.read(&mut piece)? {
            0 => return Ok("200, cut off".into()),
            count => got += count,
        }
        std::thread::sleep(READ_PAUSE);
    }
    Ok("200, whole".into())
}

fn client(node: SocketAddr, record: &Record, number: u64, answer_bytes: usize) -> (String, String) {
    let (method, class) = [("GET", "stall-view"), ("POST", "pay")][number as usize % 2];
    let id = format!("r{number}");
    let body: &[u8] = if method == "GET" { b"" } else { b"amount=1" };
    let request = client_request(method, class, &id, TTL_S, body);
    let ending =
        send(node, &request, answer_bytes).unwrap_or_else(|error| error.kind().to_string());
    record.line(&format!("client {class} {id}: {ending}"));
    (id, format!("{class} {ending}"))
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let answer_bytes = if run.trouble { LONG_BYTES } else { SHORT_BYTES };
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let cut: Arc<Mutex<HashSet<String>>> = Arc::default();
    let body = Arc::new(vec![b'x'; answer_bytes]);
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let name = format!("s{number:02}");
        let (log, cut, body, own_name) = (
            record.clone(),
            Arc::clone(&cut),
            Arc::clone(&body),
            name.clone(),
        );
        let answer = move |request: &Request, stream: &mut TcpStream| {
            std::thread::sleep(WORK);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes())?;
            log.line(&format!(
                "server {own_name} begins its answer to {}",
                request.id()
            ));
            let given = stream.write_all(&body);
            if let Err(error) = &given {
                log.line(&format!(
                    "server {own_name} can't give the rest of its answer to {}: {error}",
                    request.id()
                ));
                cut.lock().unwrap().insert(request.id());
            }
            given.map(|()| true)
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
    }
    .json();
    let told = Told {
        name: "n0".into(),
        discovery: agent.address,
        known: agent.whole(),
        memory_mb: 32,
        settings,
    };
    let node = Node::start(record, &run.scratch, &told, None);
    node.wait_ready();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            std::thread::sleep(GAP);
            let (address, record) = (node.listen, record.clone());
            std::thread::spawn(move || client(address, &record, number, answer_bytes))
        })
        .collect();
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    let mut lost = 0;
    for client in clients {
        let (id, ending) = client.join().expect("a client ends");
        lost += usize::from(cut.lock().unwrap().contains(&id) && !ending.ends_with("whole"));
        *endings.entry(ending).or_default() += 1;
    }
    record.say(&format!("answers to clients: {endings:?}"));
    record.say(&format!("{lost} answers were cut off by the node while their servers gave them and their clients waited"));
    Verdict::broken_if(lost > 0)
}
