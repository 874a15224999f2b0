//! A process of the program under test, started as the deploy file says.

use crate::http::{ask, Ending};
use crate::record::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

pub struct Node {
    child: Child,
    pub listen: SocketAddr,
    admin: SocketAddr,
    folder: PathBuf,
    name: String,
    record: Record,
}

/// What a node is told, but for its addresses.
pub struct Told {
    pub name: String,
    pub discovery: SocketAddr,
    pub known: String,
    pub memory_mb: u32,
    pub settings: String,
}

impl Told {
    pub fn json(&self, listen: SocketAddr, admin: SocketAddr) -> String {
        format!(
            r#"{{"name":"{}","listen":"{listen}","admin_addr":"{admin}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":1024}},"known":{},"settings":{}}}"#,
            self.name, self.discovery, self.memory_mb, self.known, self.settings
        )
    }
}

impl Node {
    /// Starts a node; `beside` is the running process of an upgrade.
    pub fn start(record: &Record, scratch: &Path, told: &Told, beside: Option<&Node>) -> Node {
        let listen = beside.map_or_else(free_address, |older| older.listen);
        let admin = free_address();
        let folder = beside.map_or_else(|| scratch.join(&told.name), |older| older.folder.clone());
        let _ = fs::create_dir_all(folder.join("tmp"));
        let config = folder.join(format!("config-{}.json", admin.port()));
        fs::write(&config, told.json(listen, admin)).expect("the configuration can be written");
        let log =
            fs::File::create(folder.join(format!("log-{}.txt", admin.port()))).expect("a log");
        let run = std::env::var("RUN").unwrap_or_else(|_| "exec target/release/crankmux".into());
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("BALANCER_NAME", &told.name)
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the node starts");
        record.line(&format!(
            "node {} started as process {} at {listen}",
            told.name,
            child.id()
        ));
        let pids = scratch.join("pids");
        let known = fs::read_to_string(&pids).unwrap_or_default();
        let _ = fs::write(&pids, format!("{known}{}\n", child.id()));
        Node {
            child,
            listen,
            admin,
            folder,
            name: told.name.clone(),
            record: record.clone(),
        }
    }

    /// Waits until `/_health` answers 200.
    pub fn wait_ready(&self) {
        let from = Instant::now();
        while !self.is_healthy() {
            if from.elapsed() > Duration::from_secs(15) {
                cannot_run("the node is not ready after 15 s");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("node {} is ready", self.name));
    }

    fn is_healthy(&self) -> bool {
        let request = b"GET /_health HTTP/1.1\r\nHost: node\r\n\r\n";
        ask(self.listen, request, Duration::from_secs(1)).status() == 200
    }

    /// A call at the admin API.
    pub fn call(&self, method: &str, path: &str) -> Ending {
        let request =
            format!("{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n");
        let ending = ask(self.admin, request.as_bytes(), Duration::from_secs(2));
        self.record
            .line(&format!("operator: {method} {path}: {}", ending.status()));
        ending
    }

    pub fn signal(&self, signal: &str) {
        self.record
            .line(&format!("{signal} to process {}", self.child.id()));
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{signal} {}", self.child.id()))
            .status();
    }

    /// Waits until `/v1/readyz` says yes, 6 s at most.
    pub fn wait_for_yes(&self) {
        for _ in 0..60 {
            if self.call("GET", "/v1/readyz").status() == 200 {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        cannot_run("the newer process has not said yes after 6 s");
    }

    /// Whether the process has ended by itself.
    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
    }
}

/// Ends the run: the case could not be played.
pub fn cannot_run(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2)
}
