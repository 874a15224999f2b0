//! Node processes: their files, their start, their signals, and what their doors tell.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;

/// A door answers within a turn of its loop; a busy machine may take a while to get there.
const PATIENCE: Duration = Duration::from_millis(1000);

/// PolicyKind the fleet's nodes are started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program of a node.
    pub program: PathBuf,
    /// Where all files of the run stand.
    pub folder: PathBuf,
    /// Whether they know each other: with a charter, or without.
    pub fleet: bool,
    /// PolicyKind many of the nodes are seeds of all.
    pub seeds: usize,
    /// What the settings tell of their number; the true one else.
    pub told: Option<usize>,
    pub seed: u64,
}

impl Start {
    pub fn new(program: impl Into<PathBuf>, folder: impl Into<PathBuf>) -> Self {
        Start {
            program: program.into(),
            folder: folder.into(),
            fleet: true,
            seeds: 3,
            told: None,
            seed: 1,
        }
    }
}

pub struct Node {
    pub listen: SocketAddr,
    pub door: SocketAddr,
    /// Where it hears datagrams itself, and the relay that the others are told.
    pub hears: SocketAddr,
    pub advertised: SocketAddr,
    pub stopped: bool,
    /// What its charter calls it; else as the configuration does.
    pub name: Option<String>,
    folder: PathBuf,
    program: PathBuf,
    charter: bool,
    child: Option<Child>,
}

/// A port that nobody has. Danger: one that the system hands out may be another's by the time it is used, and a
/// node that restarts needs its own again. These are below those that the system hands out, each given once.
pub fn free_port() -> SocketAddr {
    static GIVEN: AtomicUsize = AtomicUsize::new(0);
    let own = std::process::id() as usize * 131;
    let free = |port: &u16| {
        let at = ("127.0.0.1", *port);
        TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
    };
    let mut ports =
        std::iter::repeat_with(|| (10_000 + (own + GIVEN.fetch_add(1, SeqCst)) % 20_000) as u16);
    let port = ports
        .by_ref()
        .take(20_000)
        .find(free)
        .expect("a free port on loopback");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Node {
    pub fn new(start: &Start, number: usize, hears: SocketAddr, advertised: SocketAddr) -> Self {
        let folder = start.folder.join(format!("node-{number}"));
        fs::create_dir_all(&folder).expect("a folder for the run that may be written to");
        Node {
            listen: free_port(),
            door: free_port(),
            hears,
            advertised,
            stopped: false,
            name: None,
            folder,
            program: start.program.clone(),
            charter: start.fleet,
            child: None,
        }
    }

    fn write(&self, file: &str, text: &str) -> PathBuf {
        let path = self.folder.join(file);
        fs::write(&path, text).expect("the run's folder may be written to");
        path
    }

    /// Writes its files anew.
    pub fn furnish(&self, configuration: &Value, seeds: &[SocketAddr], keys: &[&str]) {
        self.write("configuration.json", &configuration.to_string());
        let files: Vec<String> = (0..keys.len()).map(|n| format!("key-{n}")).collect();
        files
            .iter()
            .zip(keys)
            .for_each(|(file, key)| drop(self.write(file, key)));
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let name = self
            .name
            .as_ref()
            .map_or_else(String::new, |name| format!("name = {name:?}\n"));
        let charter = format!(
            "[fleet]\n{name}listen = {:?}\nadvertise = {:?}\nseeds = {seeds:?}\nkey-files = {files:?}\n",
            self.hears.to_string(),
            self.advertised.to_string()
        );
        self.write("charter.toml", &charter);
    }

    /// Starts its process, with the state of its last one or with none.
    pub fn start(&mut self, keep_state: bool) {
        assert!(self.child.is_none(), "one process a node");
        let state = self.folder.join("state");
        if !keep_state {
            let _ = fs::remove_dir_all(&state);
        }
        fs::create_dir_all(&state).expect("the run's folder may be written to");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        // The rig is a tool beside the program, and starts it; the program itself starts nothing.
        #[allow(clippy::disallowed_methods)]
        let mut command = Command::new(&self.program);
        command
            .env("BALANCER_CONFIG", self.folder.join("configuration.json"))
            .env("TMPDIR", state);
        command.env_remove("CRANKMUX_CHARTER");
        if self.charter {
            command.env("CRANKMUX_CHARTER", self.folder.join("charter.toml"));
        }
        command
            .stdout(Stdio::null())
            .stderr(log.expect("the run's folder may be written to"));
        self.child = Some(
            command
                .spawn()
                .unwrap_or_else(|e| panic!("{}: {e}", self.program.display())),
        );
        self.stopped = false;
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    pub fn stop(&mut self) {
        self.signal(Signal::STOP);
        self.stopped = true;
    }

    pub fn go_on(&mut self) {
        self.signal(Signal::CONT);
        self.stopped = false;
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether its process runs; one that has ended by itself is taken note of.
    pub fn runs(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
        }
        self.child.is_some()
    }

    /// Milliseconds of a processor that its process has used, as the system counts.
    pub fn cpu(&self) -> f64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let told = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // Behind the name, which may hold anything; its 12th and 13th are ticks of ten milliseconds.
        let ticks = told
            .rsplit_once(')')
            .map_or("", |(_, rest)| rest)
            .split_whitespace()
            .skip(11)
            .take(2);
        ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            * 10.0
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// What a call at its door comes to; none where it does not answer.
    pub fn call(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.door, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes())
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_string())
    }

    pub fn page(&self) -> Option<Value> {
        serde_json::from_str(&self.call("/fleet")?).ok()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A configuration in the platform's form.
pub fn configuration(
    number: usize,
    node: &Node,
    discovery: SocketAddr,
    seed: u64,
    settings: Value,
) -> Value {
    json!({
        "name": format!("node-{number}"), "listen": node.listen.to_string(),
        "discovery": discovery.to_string(), "admin_addr": node.door.to_string(),
        "seed": format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": null, "settings": settings
    })
}
