//! Usual clients: one request at a time, on a connection that is kept.

use crate::http::{client_request, Reader};
use crate::record::Record;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The TTL of `stall-view` at turg-tallinn.
pub const TTL_S: f64 = 0.75;
/// From here on a request without an answer is lost: half a second after its time (STANDING.md).
const WAIT: Duration = Duration::from_millis(1250);

/// Has some clients send requests until `until`. Their threads return how many were sent and how many were lost.
pub fn start(
    count: usize,
    node: SocketAddr,
    record: &Record,
    until: f64,
) -> Vec<std::thread::JoinHandle<(usize, usize)>> {
    let start = |number| {
        let record = record.clone();
        spawn(move || run(node, &record, number, until))
    };
    (0..count).map(start).collect()
}

/// Waits for the clients and adds up what they sent and lost.
pub fn finish(clients: Vec<std::thread::JoinHandle<(usize, usize)>>) -> (usize, usize) {
    let counts = clients
        .into_iter()
        .map(|client| client.join().expect("a client ends"));
    counts.fold((0, 0), |(sent, lost), (its_sent, its_lost)| {
        (sent + its_sent, lost + its_lost)
    })
}

/// Sends requests one after the other on a connection that it keeps. Returns how many were sent and how many lost.
fn run(node: SocketAddr, record: &Record, number: usize, until: f64) -> (usize, usize) {
    let (mut sent, mut lost) = (0, 0);
    let mut connection: Option<Reader> = None;
    while record.now() < until {
        sent += 1;
        let id = format!("c{number}-{sent}");
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect(node).expect("the node's machine accepts");
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(WAIT));
                Reader::new(stream)
            }
        };
        let from = record.now();
        if reader
            .stream
            .write_all(&client_request("GET", "stall-view", &id, TTL_S, b""))
            .is_err()
        {
            record.line(&format!("client {id}: its connection had ended"));
            continue;
        }
        match reader.answer() {
            Ok(Some((status, _, _))) => {
                record.line(&format!(
                    "client {id}: {status} after {:.0} ms",
                    record.now() - from
                ));
                connection = Some(reader);
            }
            Ok(None) => record.line(&format!(
                "client {id}: closed unread after {:.0} ms",
                record.now() - from
            )),
            Err(error) => {
                record.line(&format!(
                    "client {id}: no answer after {:.0} ms ({error})",
                    record.now() - from
                ));
                lost += usize::from(matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut
                ));
            }
        }
        sleep(Duration::from_millis(50));
    }
    (sent, lost)
}
