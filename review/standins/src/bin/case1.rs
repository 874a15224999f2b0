//! Case 1: long requests whose servers take their time to read. Each request that a server runs has to have the body
//! that its client sent.

use review_standins::client::{self, Head};
use review_standins::discovery::{Discovery, Listed};
use review_standins::http::{digest, response, Message};
use review_standins::proxy::{Folder, Proxy};
use review_standins::record::Record;
use review_standins::server::{self, Behaviour, Pace, SocketOptions};
use review_standins::settings::{class, Deployment};
use review_standins::{could_not_run, finish, free_address, trouble};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 4;
const PROXIES: u32 = 2;
const ROUNDS: u64 = 8;
const CLIENTS: u64 = 8;
const BODY_BYTES: usize = 400_000;
const CHUNK_BYTES: usize = 16 * 1024;
/// A server reads up to 16 KiB each 10 ms, so that a body takes it some seconds, and two servers of four begin late.
const READ_PAUSE: Duration = Duration::from_millis(10);
const READ_BYTES: usize = 16 * 1024;
const LATE_SERVERS: usize = 2;
const LATE_BY: Duration = Duration::from_millis(1200);
const TIMEOUT_MS: f64 = 1600.0;

/// What all stand-ins know of the requests.
#[derive(Default)]
struct Requests {
    /// The digest of the body that was sent, by the request's id.
    sent: HashMap<String, u64>,
    /// Answers to requests that have run, by id: the servers of the zone drop repeats for 15 s.
    ran: HashMap<String, Vec<u8>>,
    broken: Vec<String>,
}

struct Server {
    number: usize,
    record: Arc<Record>,
    requests: Arc<Mutex<Requests>>,
}

impl Behaviour for Server {
    fn pace(&self) -> Pace {
        if !trouble() {
            return Pace::default();
        }
        let begins_after = if self.number < LATE_SERVERS {
            LATE_BY
        } else {
            Duration::ZERO
        };
        Pace {
            begins_after,
            pieces: Some((READ_PAUSE, READ_BYTES)),
        }
    }

    fn run(&self, request: &Message) -> Option<Vec<u8>> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        let (number, length, ran) = (self.number, request.body.len(), digest(&request.body));
        let mut requests = self.requests.lock().expect("not poisoned");
        let Some(sent) = requests.sent.get(&id).copied() else {
            return Some(response(400, "no client sent this id"));
        };
        if let Some(answer) = requests.ran.get(&id) {
            self.record
                .line(&format!("server {number}: {id} is a repeat, dropped"));
            return Some(answer.clone());
        }
        self.record.line(&format!(
            "server {number}: ran {id}, a body of {length} bytes, digest {ran:016x}"
        ));
        if ran != sent {
            requests.broken.push(format!(
                "server {number} ran {id} with a body of {length} bytes, digest {ran:016x}; its client sent {BODY_BYTES} \
                 bytes, digest {sent:016x}"
            ));
        }
        let answer = response(200, &format!("{ran:016x}"));
        requests.ran.insert(id, answer.clone());
        Some(answer)
    }
}

/// Sends a long request in chunks and waits for the answer.
fn send(number: u64, proxy: std::net::SocketAddr, record: &Record, requests: &Mutex<Requests>) {
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let body = client::body(number, BODY_BYTES);
    let sent = digest(&body);
    requests
        .lock()
        .expect("not poisoned")
        .sent
        .insert(id.clone(), sent);
    let head = Head {
        class: "enrol",
        method: "POST",
        tenant: "valley",
        id: &id,
        timeout_ms: TIMEOUT_MS,
    };
    record.line(&format!(
        "client {number}: sends {id}, {BODY_BYTES} bytes, digest {sent:016x}"
    ));
    let answer = client::connect(proxy).and_then(|mut stream| {
        use std::io::Write;
        stream.write_all(head.text("Transfer-Encoding: chunked").as_bytes())?;
        for chunk in body.chunks(CHUNK_BYTES) {
            client::write_chunk(&mut stream, chunk)?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        client::read_answer(&mut stream, Duration::from_secs(12))
    });
    match answer {
        Ok(answer) => {
            let told = String::from_utf8_lossy(&answer.body).into_owned();
            record.line(&format!(
                "client {number}: {id} answered {} {told}",
                answer.status()
            ));
            if answer.status() == 200 && told != format!("{sent:016x}") {
                let broken = format!(
                    "client {number} was answered 200 for a body that it did not send: {id}"
                );
                requests.lock().expect("not poisoned").broken.push(broken);
            }
        }
        Err(error) => record.line(&format!("client {number}: {id} not answered: {error}")),
    }
}

fn main() {
    let record = Arc::new(Record::open());
    let requests = Arc::new(Mutex::new(Requests::default()));
    let options = SocketOptions {
        receive_buffer: Some(2048),
        segment_size: Some(1460),
    };
    let listed = |number: usize| {
        let server = Server {
            number,
            record: Arc::clone(&record),
            requests: Arc::clone(&requests),
        };
        let address = server::start(options, Arc::new(server));
        Listed {
            host: format!("s-{number}"),
            address,
            site: "a".into(),
            block: 1,
            health: "Ready",
        }
    };
    let discovery = Discovery::start((0..SERVERS).map(listed).collect());
    let mut proxies = Vec::new();
    for number in 0..PROXIES {
        let listen = free_address();
        let deployment = Deployment {
            classes: &class("enrol", "idempotency_key", "zone", 15_000, 1200, 3000),
            proxies: PROXIES,
            number,
            connect_timeout_ms: 250,
            second_copies: true,
            known: &discovery.text(),
            listen,
            discovery: discovery.address,
        };
        let folder = Folder::new(&format!("n{number}"));
        let proxy = Proxy::start(&folder.0, &deployment.text(), listen, discovery.address);
        if !proxy.is_ready() {
            drop(proxies);
            could_not_run(&record, "a proxy did not become ready");
        }
        proxies.push(proxy);
    }
    for round in 0..ROUNDS {
        let clients = (0..CLIENTS).map(|client| {
            let number = round * CLIENTS + client + 1;
            let proxy = proxies[client as usize % proxies.len()].address;
            let (record, requests) = (Arc::clone(&record), Arc::clone(&requests));
            thread::spawn(move || send(number, proxy, &record, &requests))
        });
        for client in clients.collect::<Vec<_>>() {
            client.join().expect("a client does not panic");
        }
    }
    drop(proxies);
    let answered = requests.lock().expect("not poisoned").ran.len();
    if answered == 0 {
        could_not_run(&record, "no request was run");
    }
    let broken = std::mem::take(&mut requests.lock().expect("not poisoned").broken);
    finish(&record, &broken);
}
