//! Some answers of servers never end: 1xx heads, one behind the other, for as long as they are taken.

use crate::discovery::Agent;
use crate::http::Request;
use crate::node::{Node, Told};
use crate::record::Record;
use crate::server::{answer_soundly, Arrivals, Server};
use crate::settings::Settings;
use crate::usual_client::{self, TTL_S};
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const CLIENTS: usize = 4;
/// How long clients begin requests; a spoilt answer goes on to the end of that at most.
const SECONDS: f64 = 15.0;
/// One answer of so many is spoilt.
const SPOILT_ONE_OF: usize = 50;

/// Sends 1xx heads until the connection ends or the time is over.
fn answer_endlessly(
    record: &Record,
    id: &str,
    stream: &mut TcpStream,
    until: f64,
) -> io::Result<bool> {
    record.line(&format!("the answer to {id} is spoilt: it never ends"));
    let (from, heads) = (
        record.now(),
        b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2000),
    );
    let mut sent = 0;
    let end = loop {
        if record.now() > until {
            break "goes on to the end".to_string();
        }
        match stream.write(&heads) {
            Ok(count) => sent += count,
            Err(error) => break format!("was ended by the node: {error}"),
        }
    };
    record.say(&format!(
        "the answer to {id} {end}, after {:.0} ms and {} MB",
        record.now() - from,
        sent >> 20
    ));
    Ok(false)
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let until = record.now() + 1000.0 * SECONDS;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut entries = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let (log, answered, trouble) = (record.clone(), Arc::clone(&answered), run.trouble);
        let answer = move |request: &Request, stream: &mut TcpStream| {
            let number = 1 + answered.fetch_add(1, Ordering::SeqCst);
            if trouble && number % SPOILT_ONE_OF == 0 {
                return answer_endlessly(&log, &request.id(), stream, until);
            }
            answer_soundly(name, request, stream)
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
    let (sent, lost) =
        usual_client::finish(usual_client::start(CLIENTS, node.listen, record, until));
    record.say(&format!(
        "clients: {sent} requests sent, {lost} without an answer half a second after their time"
    ));
    Verdict::broken_if(lost > 0)
}
