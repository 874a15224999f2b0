//! A server takes two seconds between two pieces of a long answer.

use crate::discovery::Agent;
use crate::http::{ask, client_request, Ending, Request};
use crate::node::{Node, Told};
use crate::server::{Arrivals, Server};
use crate::settings::Settings;
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLIENTS: usize = 6;
const PIECE_BYTES: usize = 20_000;
const PIECES: usize = 15;
const PAUSE: Duration = Duration::from_millis(2000);
const TTL_S: f64 = 0.75;

fn write_chunk(stream: &mut TcpStream) -> io::Result<()> {
    let piece = vec![b'x'; PIECE_BYTES];
    stream.write_all(&[format!("{PIECE_BYTES:x}\r\n").as_bytes(), &piece, b"\r\n"].concat())
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let (log, trouble) = (record.clone(), run.trouble);
        let answer = move |request: &Request, stream: &mut TcpStream| {
            let id = request.id();
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write_chunk(stream)?;
            log.line(&format!(
                "server {name} has given {PIECE_BYTES} bytes for {id}"
            ));
            if trouble {
                std::thread::sleep(PAUSE);
            }
            let given = (1..PIECES)
                .try_for_each(|_| write_chunk(stream))
                .and_then(|()| stream.write_all(b"0\r\n\r\n"));
            let text = given.as_ref().map_or_else(
                |error| format!("can't give it: {error}"),
                |()| "has given it".into(),
            );
            log.line(&format!(
                "server {name} goes on with the rest for {id}: {text}"
            ));
            given.map(|()| true)
        };
        entries.push((
            name.to_string(),
            Server::start(record, name, &arrivals, Arc::new(answer)).entry(),
        ));
    }
    let agent = Agent::start(record, 1, &entries);
    let settings = Settings {
        ttl_ms: 1000.0 * TTL_S,
        target_ms: 300.0,
        ..Settings::default()
    }
    .json();
    let told = Told {
        name: "n0".into(),
        discovery: agent.address,
        known: agent.whole(),
        memory_mb: 192,
        settings,
    };
    let node = Node::start(record, &run.scratch, &told, None);
    node.wait_ready();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (node.listen, record.clone());
            std::thread::sleep(Duration::from_millis(50));
            std::thread::spawn(move || {
                let (id, from) = (format!("r{number}"), record.now());
                let request = client_request("GET", "stall-view", &id, TTL_S, b"");
                let ending = ask(address, &request, Duration::from_secs(15));
                let text = match &ending {
                    Ending::Answered { status, body } => format!("{status} with {} bytes", body.len()),
                    Ending::Broken(why) => format!("cut off: {why}"),
                };
                record.say(&format!("client {id}: {text}, after {:.0} ms", record.now() - from));
                matches!(ending, Ending::Answered { status: 200, body } if body.len() == PIECES * PIECE_BYTES)
            })
        })
        .collect();
    let whole = clients
        .into_iter()
        .map(|client| client.join().expect("a client ends"));
    let lost = whole.filter(|whole| !whole).count();
    record.say(&format!(
        "{lost} of {CLIENTS} answers of {} bytes were cut off by the node",
        PIECES * PIECE_BYTES
    ));
    Verdict::broken_if(lost > 0)
}
