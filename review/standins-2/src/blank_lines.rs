//! Bad clients whose heads never begin: blank lines at full speed.

use crate::discovery::Agent;
use crate::node::{Node, Told};
use crate::record::Record;
use crate::server::{answer_soundly, Arrivals, Server};
use crate::settings::Settings;
use crate::usual_client::{self, TTL_S};
use crate::{Run, Verdict};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const BAD_CLIENTS: usize = 4;
const USUAL_CLIENTS: usize = 4;
/// How long the bad clients send, and how long the usual ones begin requests.
const SECONDS: f64 = 15.0;

/// Sends blank lines as fast as they are taken, until the connection ends or the time is over.
fn bad_client(node: SocketAddr, record: &Record, until: f64) {
    let Ok(mut stream) = TcpStream::connect(node) else {
        return;
    };
    let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
    let (from, lines) = (record.now(), "\r\n".repeat(64 * 1024));
    let mut sent = 0;
    let end = loop {
        if record.now() > until {
            break "goes on to the end".to_string();
        }
        match stream.write(lines.as_bytes()) {
            Ok(count) => sent += count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => break format!("was closed: {error}"),
        }
    };
    record.say(&format!(
        "a bad client {end}, after {:.0} ms and {} MB",
        record.now() - from,
        sent >> 20
    ));
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let answer = move |request: &_, stream: &mut _| answer_soundly(name, request, stream);
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
    let listen = node.listen;
    let until = record.now() + 1000.0 * SECONDS;
    let usual = usual_client::start(USUAL_CLIENTS, listen, record, until);
    sleep(Duration::from_millis(500));
    let bad: Vec<_> = (0..if run.trouble { BAD_CLIENTS } else { 0 })
        .map(|_| {
            let record = record.clone();
            spawn(move || bad_client(listen, &record, until))
        })
        .collect();
    let (sent, lost) = usual_client::finish(usual);
    bad.into_iter()
        .for_each(|client| client.join().expect("a bad client ends"));
    record.say(&format!("usual clients: {sent} requests sent, {lost} without an answer half a second after their time"));
    Verdict::broken_if(lost > 0)
}
