//! The discovery agent of PROTOCOL.md: the whole list, and watches on changes.

use crate::http::Reader;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Entry {
    pub dial: SocketAddr,
    pub site: &'static str,
    pub class: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
}

#[derive(Default)]
struct List {
    seq: u64,
    entries: BTreeMap<String, Entry>,
    /// The version in which an entry last changed.
    changed: BTreeMap<String, u64>,
}

pub struct Agent {
    pub address: SocketAddr,
    list: Mutex<List>,
    news: Condvar,
    /// How late each answer begins, in milliseconds.
    pub late_ms: AtomicU64,
    record: Record,
}

impl Agent {
    pub fn start(record: &Record, first_seq: u64, entries: &[(String, Entry)]) -> Arc<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let agent = Arc::new(Agent {
            address: listener.local_addr().unwrap(),
            list: Mutex::new(List {
                seq: first_seq,
                ..List::default()
            }),
            news: Condvar::new(),
            late_ms: AtomicU64::new(0),
            record: record.clone(),
        });
        for (host, entry) in entries {
            let mut list = agent.list.lock().unwrap();
            list.entries.insert(host.clone(), entry.clone());
            list.changed.insert(host.clone(), first_seq);
        }
        let serving = Arc::clone(&agent);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = Arc::clone(&serving);
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Changes an entry, or adds one. From here on the agent has it.
    pub fn set(&self, host: &str, entry: Entry) {
        let mut list = self.list.lock().unwrap();
        list.seq += 1;
        let seq = list.seq;
        self.record.line(&format!(
            "discovery has version {seq}: {host} {}",
            entry.health
        ));
        list.entries.insert(host.to_string(), entry);
        list.changed.insert(host.to_string(), seq);
        self.news.notify_all();
    }

    pub fn entry(&self, host: &str) -> Entry {
        self.list.lock().unwrap().entries[host].clone()
    }

    /// The whole list in its own form.
    pub fn whole(&self) -> String {
        render(&self.list.lock().unwrap(), None)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request(|| ()) {
            let since = parameter(&request.target, "from");
            let hold = parameter(&request.target, "hold_ms").unwrap_or(0);
            self.record
                .line(&format!("discovery is asked: {}", request.target));
            let until = Instant::now() + Duration::from_millis(hold.min(60_000));
            let mut list = self.list.lock().unwrap();
            while since.is_some_and(|since| list.seq == since) && Instant::now() < until {
                list = self
                    .news
                    .wait_timeout(list, until - Instant::now())
                    .unwrap()
                    .0;
            }
            let (seq, body) = (
                list.seq,
                render(&list, since.filter(|since| *since <= list.seq)),
            );
            drop(list);
            std::thread::sleep(Duration::from_millis(self.late_ms.load(Ordering::SeqCst)));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                self.record.line(&format!(
                    "discovery cannot answer with version {seq}: the caller has closed"
                ));
                return;
            }
            self.record
                .line(&format!("discovery has written version {seq}"));
        }
    }
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// The whole list, or what has changed since a version.
fn render(list: &List, since: Option<u64>) -> String {
    let is_told = |host: &String, entry: &Entry| match since {
        Some(since) => list.changed[host] > since,
        None => entry.health != "Gone",
    };
    let hosts = list
        .entries
        .iter()
        .filter(|(host, entry)| is_told(host, entry));
    let hosts: Vec<String> = hosts
        .map(|(host, entry)| {
            format!(
                r#"{{"host":"{host}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
                entry.dial, entry.site, entry.class, entry.block, entry.health, entry.born_ms
            )
        })
        .collect();
    format!(
        r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#,
        list.seq,
        since.is_none(),
        hosts.join(",")
    )
}
