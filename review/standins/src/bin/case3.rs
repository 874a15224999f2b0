//! Case 3: a long request whose server hangs before it has read all of it. The rest of the request is with the proxy.
//! Each request that the proxy has taken whole has to be answered within its time and half a second.

use review_standins::client::{self, Head};
use review_standins::discovery::{Discovery, Listed};
use review_standins::http::{response, Message};
use review_standins::proxy::{Folder, Proxy};
use review_standins::record::Record;
use review_standins::server::{self, Behaviour, Pace, SocketOptions};
use review_standins::settings::{class, Deployment};
use review_standins::{could_not_run, finish, free_address, system, trouble};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 5;
const PROXIES: u32 = 2;
const REQUESTS: u64 = 160;
const SPACING: Duration = Duration::from_millis(15);
/// A client sends 16 KiB each 10 ms, far over the 64 kB a second that it may go down to.
const CHUNK_BYTES: usize = 16 * 1024;
const CHUNK_PAUSE: Duration = Duration::from_millis(10);
/// A client of the deployment gives up after 42% of the 6 s of the class.
const TIMEOUT_MS: f64 = 2520.0;
/// Half a second, and 50 ms as on all time limits on sockets.
const SLACK_MS: f64 = 550.0;
/// One server of five hangs: the system takes its connections and what its receive buffer holds, it reads nothing.
const HANGING_SERVER: usize = 0;
const WORK: Duration = Duration::from_millis(20);

struct Server {
    number: usize,
    record: Arc<Record>,
    runs: Arc<AtomicU64>,
}

impl Behaviour for Server {
    fn pace(&self) -> Pace {
        let hangs = trouble() && self.number == HANGING_SERVER;
        Pace {
            begins_after: if hangs {
                Duration::from_secs(3600)
            } else {
                Duration::ZERO
            },
            pieces: None,
        }
    }

    fn run(&self, request: &Message) -> Option<Vec<u8>> {
        let id = request.header("x-request-id").unwrap_or_default();
        self.record.line(&format!(
            "server {}: ran {id}, a body of {} bytes",
            self.number,
            request.body.len()
        ));
        self.runs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(WORK);
        Some(response(200, "done"))
    }
}

/// Sends a long request; checks when it is answered.
fn send(number: u64, proxy: SocketAddr, record: &Record, broken: &Mutex<Vec<String>>) {
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    // Every other request in chunks; those with a length have many lengths.
    let chunked = number % 2 == 0;
    let length = if chunked {
        260_000
    } else {
        140_000 + 1_000 * (number as usize / 2 % 40)
    };
    let body = client::body(number, length);
    let head = Head {
        class: "approve",
        method: "POST",
        tenant: "valley",
        id: &id,
        timeout_ms: TIMEOUT_MS,
    };
    let form = if chunked {
        "in chunks"
    } else {
        "with its length"
    };
    record.line(&format!(
        "client {number}: sends {id}, {length} bytes {form}"
    ));
    let mut taken_at = None;
    let answer = client::connect(proxy).and_then(|mut stream| {
        if chunked {
            stream.write_all(head.text("Transfer-Encoding: chunked").as_bytes())?;
            for chunk in body.chunks(CHUNK_BYTES) {
                client::write_chunk(&mut stream, chunk)?;
                thread::sleep(CHUNK_PAUSE);
            }
            stream.write_all(b"0\r\n\r\n")?;
        } else {
            stream.write_all(head.text(&format!("Content-Length: {length}")).as_bytes())?;
            for piece in body.chunks(CHUNK_BYTES) {
                stream.write_all(piece)?;
                thread::sleep(CHUNK_PAUSE);
            }
        }
        // The node's machine has all of it once nothing is unacknowledged.
        let until = Instant::now() + Duration::from_millis(500);
        while system::unacknowledged(&stream) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
        }
        if system::unacknowledged(&stream) == 0 {
            taken_at = Some(record.now());
        }
        client::read_answer(&mut stream, Duration::from_secs(14))
    });
    let now = record.now();
    let Some(taken_at) = taken_at else {
        return record.line(&format!(
            "client {number}: {id} was not taken whole in time; it is not judged"
        ));
    };
    let after = now - taken_at;
    let told = match &answer {
        Ok(answer) => format!("answered {}", answer.status()),
        Err(error) => format!("not answered: {error}"),
    };
    record.line(&format!(
        "client {number}: {id} {told}, {after:.0} ms after its last byte was taken"
    ));
    if answer.is_err() || after > TIMEOUT_MS + SLACK_MS {
        let line = format!("{id}, {length} bytes {form}, {told} {after:.0} ms after its last byte; its time was {TIMEOUT_MS} ms");
        broken.lock().expect("not poisoned").push(line);
    }
}

fn main() {
    let record = Arc::new(Record::open());
    let runs = Arc::new(AtomicU64::new(0));
    let broken = Arc::new(Mutex::new(Vec::new()));
    let options = SocketOptions {
        receive_buffer: Some(16 * 1024),
        segment_size: Some(1460),
    };
    let listed = |number: usize| {
        let server = Server {
            number,
            record: Arc::clone(&record),
            runs: Arc::clone(&runs),
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
            classes: &class("approve", "idempotency_key", "all", 4000, 2500, 6000),
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
    let clients = (0..REQUESTS).map(|number| {
        thread::sleep(SPACING);
        let proxy = proxies[number as usize % proxies.len()].address;
        let (record, broken) = (Arc::clone(&record), Arc::clone(&broken));
        thread::spawn(move || send(number + 1, proxy, &record, &broken))
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().expect("a client does not panic");
    }
    drop(proxies);
    if runs.load(Ordering::Relaxed) == 0 {
        could_not_run(&record, "no request was run");
    }
    let broken = std::mem::take(&mut *broken.lock().expect("not poisoned"));
    finish(&record, &broken);
}
