//! Case 3: one node after another is told to end while one server of four hangs. Each request that a node has taken
//! whole has to be answered, within its time and half a second, and before the node's end.

use review_standins::client::{self, Head};
use review_standins::discovery::{Discovery, Listed};
use review_standins::http::{response, Message};
use review_standins::proxy::{Folder, Proxy};
use review_standins::record::Record;
use review_standins::server::{self, Behaviour, Pace, SocketOptions};
use review_standins::settings::{class, Deployment};
use review_standins::{could_not_run, finish, free_address, system, trouble};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const PROXIES: u32 = 2;
/// Uploads at each node in each round.
const UPLOADS: u64 = 40;
const UPLOAD_SPACING: Duration = Duration::from_millis(10);
/// A client sends its body evenly over this time, at some 170 kB a second.
const UPLOAD_TIME: Duration = Duration::from_millis(1600);
/// How much the sockets between a node and a server take varies, so the lengths do.
const LEAST_BYTES: usize = 180_000;
const LENGTH_STEP: usize = 5_000;
const LENGTHS: u64 = 31;
const CHUNK_BYTES: usize = 8 * 1024;
/// The clients wait for half of the 6 s of their class.
const TIMEOUT_MS: f64 = 3000.0;
/// Half a second, and 50 ms as on all time limits on sockets.
const SLACK_MS: f64 = 550.0;
/// SIGTERM comes so long after the first upload has begun.
const TERM_AFTER: Duration = Duration::from_millis(400);
/// SIGKILL comes the longest deadline, 3 s at most, and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// One server of four hangs: its system takes connections and what its receive buffer holds, it reads nothing.
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
        let begins_after = if hangs {
            Duration::from_secs(3600)
        } else {
            Duration::ZERO
        };
        Pace {
            begins_after,
            pieces: None,
        }
    }

    fn run(&self, request: &Message) -> Option<Vec<u8>> {
        let id = request.header("x-request-id").unwrap_or_default();
        let (number, length) = (self.number, request.body.len());
        self.record
            .line(&format!("server {number}: ran {id}, {length} bytes"));
        self.runs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(WORK);
        Some(response(200, "done"))
    }
}

/// A client that sends a long request and waits for its answer.
struct Upload {
    number: u64,
    node: usize,
    proxy: SocketAddr,
    record: Arc<Record>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl Upload {
    /// Sends the request; returns when the node's machine had all of it, and the answer.
    fn send(
        &self,
        id: &str,
        length: usize,
        chunked: bool,
    ) -> io::Result<(f64, io::Result<Message>)> {
        let body = client::body(self.number, length);
        let head = Head {
            class: "approve",
            method: "POST",
            tenant: "valley",
            id,
            timeout_ms: TIMEOUT_MS,
        };
        let framing = if chunked {
            "Transfer-Encoding: chunked".to_string()
        } else {
            format!("Content-Length: {length}")
        };
        let mut stream = client::connect(self.proxy)?;
        stream.write_all(head.text(&framing).as_bytes())?;
        let pieces: Vec<&[u8]> = body.chunks(CHUNK_BYTES).collect();
        for piece in &pieces {
            if chunked {
                client::write_chunk(&mut stream, piece)?;
            } else {
                stream.write_all(piece)?;
            }
            thread::sleep(UPLOAD_TIME / pieces.len() as u32);
        }
        if chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        let until = Instant::now() + Duration::from_millis(300);
        while system::unacknowledged(&stream) > 0 {
            if Instant::now() > until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(Duration::from_millis(2));
        }
        let taken_at = self.record.now();
        Ok((
            taken_at,
            client::read_answer(&mut stream, Duration::from_secs(12)),
        ))
    }

    fn run(self) {
        let Upload { number, node, .. } = self;
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let chunked = number.is_multiple_of(2);
        let length = LEAST_BYTES + LENGTH_STEP * (number % LENGTHS) as usize;
        let form = if chunked {
            "in chunks"
        } else {
            "with its length"
        };
        self.record.line(&format!(
            "client {number}: sends {id} to n{node}, {length} bytes {form}"
        ));
        let (taken_at, answer) = match self.send(&id, length, chunked) {
            Ok(sent) => sent,
            Err(error) => {
                // Its last byte never came to the node's machine.
                let line =
                    format!("client {number}: {id} was not taken whole: {error}; it is not judged");
                return self.record.line(&line);
            }
        };
        let after = self.record.now() - taken_at;
        let told = match &answer {
            Ok(answer) => format!("answered {}", answer.status()),
            Err(error) => format!("not answered ({error})"),
        };
        let line = format!(
            "{id} at n{node}, {length} bytes {form}: {told}, {after:.0} ms after its last byte"
        );
        self.record.line(&format!("client {number}: {line}"));
        if answer.is_err() || after > TIMEOUT_MS + SLACK_MS {
            let mut broken = self.broken.lock().expect("not poisoned");
            broken.push(format!("{line}; its time was {TIMEOUT_MS} ms"));
        }
    }
}

/// What is needed to start a node.
struct Node {
    number: u32,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: String,
}

impl Node {
    /// Starts the node with an empty folder for its state.
    fn start(&self, life: u32) -> Proxy {
        let deployment = Deployment {
            classes: &class("approve", "idempotency_key", "all", 4000, 2500, 6000),
            proxies: PROXIES,
            number: self.number,
            connect_timeout_ms: 250,
            second_copies: true,
            known: &self.known,
            listen: self.listen,
            discovery: self.discovery,
        };
        let folder = Folder::new(&format!("n{}-{life}", self.number));
        Proxy::start(&folder.0, &deployment.text(), self.listen, self.discovery)
    }
}

/// Tells a node to end, kills it when its time is over, and starts it again.
fn restart(node: &Node, proxy: &mut Proxy, record: &Record) {
    let number = node.number;
    record.line(&format!("n{number}: SIGTERM"));
    proxy.signal(system::SIGTERM);
    let kill_at = Instant::now() + KILL_AFTER;
    loop {
        if let Some(status) = proxy.ended() {
            record.line(&format!("n{number}: ended by itself, {status}"));
            break;
        }
        if Instant::now() >= kill_at {
            record.line(&format!("n{number}: SIGKILL"));
            proxy.signal(system::SIGKILL);
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    *proxy = node.start(1);
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
    let node = |number| Node {
        number,
        listen: free_address(),
        discovery: discovery.address,
        known: discovery.text(),
    };
    let nodes: Vec<Node> = (0..PROXIES).map(node).collect();
    let mut proxies: Vec<Proxy> = nodes.iter().map(|node| node.start(0)).collect();
    for round in 0..nodes.len() {
        if !proxies.iter().all(Proxy::is_ready) {
            drop(proxies);
            could_not_run(&record, "a proxy did not become ready");
        }
        let begun = Instant::now();
        let mut clients = Vec::new();
        for upload in 0..UPLOADS {
            for (number, node) in nodes.iter().enumerate() {
                let upload = Upload {
                    number: 1 + number as u64 * 1000 + round as u64 * 100 + upload,
                    node: number,
                    proxy: node.listen,
                    record: Arc::clone(&record),
                    broken: Arc::clone(&broken),
                };
                clients.push(thread::spawn(move || upload.run()));
            }
            thread::sleep(UPLOAD_SPACING);
        }
        thread::sleep(TERM_AFTER.saturating_sub(begun.elapsed()));
        restart(&nodes[round], &mut proxies[round], &record);
        for client in clients {
            client.join().expect("a client does not panic");
        }
    }
    drop(proxies);
    if runs.load(Ordering::Relaxed) == 0 {
        could_not_run(&record, "no request was run");
    }
    let broken = std::mem::take(&mut *broken.lock().expect("not poisoned"));
    finish(&record, &broken);
}
