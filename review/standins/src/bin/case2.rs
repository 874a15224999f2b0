//! Case 2: a request that carries a mark against repeats, whose servers drop a repeat for 600 ms. A server runs it and
//! answers 500; the repeat goes to a server that takes its time to read. No request may run twice.

use review_standins::client::{self, Head};
use review_standins::discovery::{Discovery, Listed};
use review_standins::http::{response, Message};
use review_standins::proxy::{Folder, Proxy};
use review_standins::record::Record;
use review_standins::server::{self, Behaviour, Pace, SocketOptions};
use review_standins::settings::{class, Deployment};
use review_standins::{could_not_run, finish, free_address, trouble};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 5;
const PROXIES: u32 = 2;
const REQUESTS: u64 = 60;
const SPACING: Duration = Duration::from_millis(150);
/// Within the 64 KiB that bodies hold at most.
const BODY_BYTES: usize = 60_000;
const WINDOW_MS: u32 = 600;
/// Each time limit is 50 ms longer on sockets.
const SLACK_MS: f64 = 50.0;
const TTL_MS: u32 = 1200;
/// One server of five answers nine of ten requests with 500 once it has run them.
const FAILING_SERVER: usize = 0;
/// The others leave a request unread for so long.
const READ_AFTER: Duration = Duration::from_millis(900);
const WORK: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Requests {
    /// When each request was run first, by id. The servers of the zone share it.
    ran: HashMap<String, f64>,
    runs: u64,
    broken: Vec<String>,
}

struct Server {
    number: usize,
    record: Arc<Record>,
    requests: Arc<Mutex<Requests>>,
}

impl Behaviour for Server {
    fn pace(&self) -> Pace {
        let is_late = trouble() && self.number != FAILING_SERVER;
        Pace {
            begins_after: if is_late { READ_AFTER } else { Duration::ZERO },
            pieces: None,
        }
    }

    fn run(&self, request: &Message) -> Option<Vec<u8>> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        let number = self.number;
        let mut requests = self.requests.lock().expect("not poisoned");
        let now = self.record.now();
        let first = requests.ran.get(&id).copied();
        if first.is_some_and(|first| now - first < f64::from(WINDOW_MS) + SLACK_MS) {
            self.record
                .line(&format!("server {number}: {id} is a repeat, dropped"));
            return Some(response(200, "done"));
        }
        requests.runs += 1;
        self.record.line(&format!("server {number}: ran {id}"));
        match first {
            None => {
                requests.ran.insert(id.clone(), now);
            }
            Some(first) => {
                let after = now - first;
                let broken = format!(
                    "{id} ran a second time, at server {number}, {after:.0} ms after the first; repeats are dropped for \
                     {WINDOW_MS} ms"
                );
                requests.broken.push(broken);
            }
        }
        let fails = trouble() && number == FAILING_SERVER && !requests.runs.is_multiple_of(10);
        drop(requests);
        thread::sleep(WORK);
        Some(if fails {
            response(500, "")
        } else {
            response(200, "done")
        })
    }
}

fn send(number: u64, proxy: SocketAddr, record: &Record) {
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let body = client::body(number, BODY_BYTES);
    let head = Head {
        class: "slot",
        method: "POST",
        tenant: "valley",
        id: &id,
        timeout_ms: f64::from(TTL_MS),
    };
    record.line(&format!("client {number}: sends {id}, {BODY_BYTES} bytes"));
    let answer = client::connect(proxy).and_then(|mut stream| {
        stream.write_all(
            head.text(&format!("Content-Length: {BODY_BYTES}"))
                .as_bytes(),
        )?;
        stream.write_all(&body)?;
        client::read_answer(&mut stream, Duration::from_secs(4))
    });
    match answer {
        Ok(answer) => record.line(&format!(
            "client {number}: {id} answered {}",
            answer.status()
        )),
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
            classes: &class("slot", "idempotency_key", "zone", WINDOW_MS, 400, TTL_MS),
            proxies: PROXIES,
            number,
            connect_timeout_ms: 100,
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
        let record = Arc::clone(&record);
        thread::spawn(move || send(number + 1, proxy, &record))
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().expect("a client does not panic");
    }
    // What is still on its way to a server may be run yet.
    thread::sleep(2 * READ_AFTER);
    drop(proxies);
    let mut requests = requests.lock().expect("not poisoned");
    if requests.runs == 0 {
        could_not_run(&record, "no request was run");
    }
    finish(&record, &std::mem::take(&mut requests.broken));
}
