//! The one file of helpers: servers, a discovery and a node on loopback sockets, each at a port of its own.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(5);

/// Reads one message: its head, and the body that its Content-Length tells of. None at the end.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut body = vec![
        0;
        header(&head, "Content-Length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0)
    ];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|l| l.split_once(':'));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim().to_string())
}

pub fn status(head: &str) -> u16 {
    head.split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or_default()
}

pub fn ok(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub struct Asked {
    pub head: String,
    pub body: Vec<u8>,
}

/// A server that does with each whole request what its script says: the script gets the connection, and
/// whether that is kept is its result.
pub struct Server {
    pub address: SocketAddr,
    pub asked: Arc<Mutex<Vec<Asked>>>,
    pub open: Arc<AtomicUsize>,
}

impl Server {
    pub fn new(script: impl Fn(&mut TcpStream, &Asked) -> bool + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (asked, open) = (
            Arc::new(Mutex::new(Vec::new())),
            Arc::new(AtomicUsize::new(0)),
        );
        let (script, seen, held) = (Arc::new(script), asked.clone(), open.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (script, seen, held) = (script.clone(), seen.clone(), held.clone());
                held.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    while let Some((head, body)) = read_message(&mut stream) {
                        // Counted before it is answered, so that whoever has the answer sees it counted.
                        seen.lock().unwrap().push(Asked {
                            head: head.clone(),
                            body: body.clone(),
                        });
                        if !script(&mut stream, &Asked { head, body }) {
                            break;
                        }
                    }
                    drop(stream);
                    held.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Server {
            address,
            asked,
            open,
        }
    }

    /// One that always answers the same bytes.
    pub fn saying(answer: Vec<u8>) -> Self {
        Server::new(move |stream, _| stream.write_all(&answer).is_ok())
    }

    pub fn pushes(&self) -> usize {
        self.asked.lock().unwrap().len()
    }
}

pub fn host(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": 0})
}

pub fn list(seq: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// A discovery that answers each call with the next list it is given, and waits while there is none.
pub struct Discovery {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<String>>>,
    news: Sender<Value>,
}

impl Discovery {
    pub fn new(first: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (news, lists): (Sender<Value>, Receiver<Value>) = mpsc::channel();
        news.send(first).expect("held below");
        let (lists, seen) = (Arc::new(Mutex::new(lists)), calls.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (lists, seen) = (lists.clone(), seen.clone());
                thread::spawn(move || {
                    while let Some((head, _)) = read_message(&mut stream) {
                        seen.lock()
                            .unwrap()
                            .push(head.lines().next().unwrap_or_default().to_string());
                        let Ok(list) = lists.lock().unwrap().recv() else {
                            return;
                        };
                        if stream.write_all(&ok(&list.to_string())).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Discovery {
            address,
            calls,
            news,
        }
    }

    pub fn tell(&self, list: Value) {
        self.news.send(list).expect("discovery runs");
    }
}

/// Settings with one category of each effect: `view`, `order` and `pay`.
pub fn settings() -> Value {
    let category = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "Group": "all", "WindowMs": 5000.0, "TargetLatencyMs": 500.0,
               "TtlMs": 2000.0, "Benefit": 1.0})
    };
    json!({
        "GroupSize": 1, "MyNumber": 0, "MyZone": "a", "Zones": ["a"], "Discovery": "automatic",
        "Categories": [category("view", "read_like"), category("order", "idempotency_key"),
                       category("pay", "non_idempotent")],
        "Limits": {"MostPushes": 3, "MayCancel": true, "SecondCopies": true, "RetryAfter": true,
                   "MaxRetryAfterMs": 1000.0, "ConnectTimeoutMs": 200.0, "KeepaliveMs": 60000.0},
        "Obligations": {"ColdShare": 0.3, "ColdMs": 1000.0, "FallMultiple": 2.0, "FallMs": 1000.0,
                        "StopSendingWithinMs": 100.0, "AnswerSlackMs": 20.0, "AskWithinMs": 1000.0}
    })
}

pub fn configuration(discovery: SocketAddr, known: &Value) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": settings()
    })
}

pub struct Node {
    pub address: SocketAddr,
    /// Where operators call; none where the configuration names no door.
    door: Option<SocketAddr>,
    child: Child,
    log: Arc<Mutex<String>>,
    configuration: std::path::PathBuf,
    _discovery: Option<Discovery>,
}

fn write_configuration(configuration: &Value) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("crankmux-{}-{number}.json", std::process::id()));
    std::fs::write(&path, configuration.to_string()).expect("a writable folder");
    path
}

/// Starts the program; with a limit on descriptors that the system sets, if one is given.
fn program(
    path: &std::path::Path,
    descriptors: Option<usize>,
    variables: &[(&str, String)],
) -> Child {
    let limit = descriptors
        .map(|n| format!("ulimit -n {n}; "))
        .unwrap_or_default();
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(format!("{limit}exec {}", env!("CARGO_BIN_EXE_crankmux")));
    // Danger: nodes of several tests have one name; each test's own folder keeps them apart.
    let folder = path.with_extension("d");
    let _ = std::fs::create_dir(&folder);
    command.env("TMPDIR", folder);
    command.envs(variables.iter().map(|(name, value)| (name, value)));
    command
        .env("BALANCER_CONFIG", path)
        .stderr(Stdio::piped())
        .stdout(Stdio::null());
    command.spawn().expect("the node starts")
}

/// What a start that must fail says; none if it does not fail.
pub fn refused_start(configuration: &Value) -> Option<String> {
    refused_start_under(configuration, &[])
}

/// The same under variables of the environment.
pub fn refused_start_under(configuration: &Value, variables: &[(&str, String)]) -> Option<String> {
    let path = write_configuration(configuration);
    let output = program(&path, None, variables)
        .wait_with_output()
        .expect("it ends");
    let _ = std::fs::remove_dir_all(path.with_extension("d"));
    let _ = std::fs::remove_file(path);
    (!output.status.success()).then(|| String::from_utf8_lossy(&output.stderr).into_owned())
}

impl Node {
    /// A node that knows these servers, and a discovery that knows the same.
    pub fn before(servers: &[&Server]) -> Self {
        Node::with(servers, |_| (), None)
    }

    /// The same with a changed configuration, and perhaps a limit on descriptors that the system sets.
    pub fn with(
        servers: &[&Server],
        change: impl FnOnce(&mut Value),
        descriptors: Option<usize>,
    ) -> Self {
        let hosts = servers
            .iter()
            .enumerate()
            .map(|(i, s)| host(&format!("s{i}"), s.address, "Ready"));
        let known = list(1, true, &hosts.collect::<Vec<_>>());
        let discovery = Discovery::new(known.clone());
        let mut configuration = configuration(discovery.address, &known);
        change(&mut configuration);
        let mut node = Node::start(&configuration, descriptors);
        node._discovery = Some(discovery);
        node
    }

    pub fn start(configuration: &Value, descriptors: Option<usize>) -> Self {
        Node::started(configuration, descriptors, &[])
    }

    /// The same under variables of the environment.
    pub fn start_under(configuration: &Value, variables: &[(&str, String)]) -> Self {
        Node::started(configuration, None, variables)
    }

    fn started(
        configuration: &Value,
        descriptors: Option<usize>,
        variables: &[(&str, String)],
    ) -> Self {
        let node = Node::begun(configuration, descriptors, variables);
        until("the node is ready", || {
            let mut client = node.client();
            client.write_all(b"GET /_health HTTP/1.1\r\n\r\n").is_ok()
                && read_message(&mut client).is_some_and(|(head, _)| status(&head) == 200)
        });
        node
    }

    /// One whose process has a listener, ready or not.
    pub fn begun(
        configuration: &Value,
        descriptors: Option<usize>,
        variables: &[(&str, String)],
    ) -> Self {
        let path = write_configuration(configuration);
        let mut child = program(&path, descriptors, variables);
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log = Arc::new(Mutex::new(String::new()));
        let mut door = None;
        let address = loop {
            let line = lines
                .next()
                .expect("it says where it listens")
                .expect("text");
            if let Some((_, address)) = line.split_once("admin API at ") {
                door = address.parse().ok();
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().expect("an address");
            }
            log.lock().unwrap().push_str(&(line + "\n"));
        };
        let kept = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Node {
            address,
            door,
            child,
            log,
            configuration: path,
            _discovery: None,
        }
    }

    /// A node with a door, at an address of its own that a second process may share.
    pub fn with_door(servers: &[&Server], change: impl FnOnce(&mut Value)) -> Self {
        let free = crankmux_fault_injection::free_port();
        let doors = |configuration: &mut Value| {
            configuration["listen"] = json!(free.to_string());
            configuration["admin_addr"] = json!("127.0.0.1:0");
            change(configuration);
        };
        Node::with(servers, doors, None)
    }

    /// The folder in which it keeps what outlives a process.
    pub fn folder(&self) -> std::path::PathBuf {
        self.configuration.with_extension("d")
    }

    /// The text of its configuration's file.
    pub fn file(&self) -> Value {
        let text = std::fs::read_to_string(&self.configuration).expect("written at its start");
        serde_json::from_str(&text).expect("as it was written")
    }

    /// A second process of this node, beside it.
    pub fn beside(&self) -> Self {
        let folder = self.folder().to_string_lossy().into_owned();
        Node::start_under(&self.file(), &[("TMPDIR", folder)])
    }

    /// A connection to the door.
    pub fn caller(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.door.expect("it has a door")).expect("the door is open");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a time is set");
        stream
    }

    /// What a call at the door comes to; 0 where the door is shut already, as it is once a process has ended.
    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        let Ok(mut caller) = TcpStream::connect(self.door.expect("it has a door")) else {
            return (0, String::new());
        };
        caller
            .set_read_timeout(Some(PATIENCE))
            .expect("a time is set");
        let _ =
            caller.write_all(format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes());
        read_message(&mut caller).map_or((0, String::new()), |(head, body)| {
            (status(&head), String::from_utf8_lossy(&body).into_owned())
        })
    }

    /// One of the figures that it reports.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (_, text) = self.call("GET", "/v1/metrics");
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }

    /// The most memory that it has held, in kB, as the system counts.
    pub fn memory(&self) -> usize {
        self.counted("VmHWM:")
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the node listens");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a time is set");
        stream
    }

    /// Sends bytes on a connection of their own; the answer's status and body, status 0 where none came.
    pub fn ask(&self, request: &[u8]) -> (u16, String) {
        let mut client = self.client();
        let _ = client.write_all(request);
        read_message(&mut client).map_or((0, String::new()), |(head, body)| {
            (status(&head), String::from_utf8_lossy(&body).into_owned())
        })
    }

    /// As clients do: once more on a new connection, where the first was closed without a word.
    pub fn ask_again(&self, request: &[u8]) -> u16 {
        let (first, _) = self.ask(request);
        if first == 0 {
            self.ask(request).0
        } else {
            first
        }
    }

    /// As clients do: again after a nack, which a busy machine brings about. What it came to in the end: fifty
    /// tries are seconds, in which any machine that goes on at all has served one.
    pub fn ask_till_acked(&self, request: &[u8]) -> u16 {
        let again = |_| {
            std::thread::sleep(Duration::from_millis(20));
            self.ask(request).0
        };
        std::iter::once(self.ask(request).0)
            .chain((1..50).map(again))
            .find(|status| *status != 503)
            .unwrap_or(503)
    }

    /// Puts other text into the file of its configuration, and tells it to read that again.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.configuration, text).expect("a writable folder");
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let signal = match name {
            "TERM" => Signal::TERM,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "USR1" => Signal::USR1,
            other => panic!("no signal of ours: {other}"),
        };
        let id = Pid::from_raw(self.child.id() as i32).expect("it was started");
        kill_process(id, signal).expect("it is ours");
    }

    /// The number of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// What it holds of memory now, in kB, as the system counts.
    pub fn held(&self) -> usize {
        self.counted("VmRSS:")
    }

    fn counted(&self, name: &str) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
            .expect("the system tells")
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits for its end: whether it ended well, and its log.
    pub fn ended(&mut self) -> (bool, String) {
        let mut well = false;
        until("the node ends", || match self.child.try_wait() {
            Ok(Some(status)) => {
                well = status.success();
                true
            }
            _ => false,
        });
        thread::sleep(Duration::from_millis(50));
        (well, self.log())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
        let _ = std::fs::remove_dir_all(self.configuration.with_extension("d"));
    }
}

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A request's head and body. `category` and time to live as a client gives them.
pub fn request(category: &str, ttl: f64, body: &str) -> Vec<u8> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /{category}/7?user=5 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: id{id}\r\n\
         X-Priority-Class: {category}\r\nX-Timeout: {ttl}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Changes a configuration to the shape in which servers tell their load to probes alone.
pub fn asked_shape(configuration: &mut Value) {
    let settings = &mut configuration["settings"];
    settings["Reporting"] = json!({"Via": "pull", "Fields": ["inflight"]});
    settings["Limits"]["Probes"] = json!(true);
    settings["Limits"]["SecondCopies"] = json!(false);
}

/// One run of an op at a stand-in, in milliseconds since the stage was set.
pub struct Run {
    pub server: usize,
    pub head: String,
    pub from: f64,
    pub to: f64,
}

/// Servers that work at two ops at once, tell their load both ways, and write down what they ran.
pub struct Stage {
    pub servers: Vec<Server>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub set: Instant,
}

impl Stage {
    pub fn of(servers: usize, takes: Duration) -> Self {
        let (runs, set) = (Arc::new(Mutex::new(Vec::new())), Instant::now());
        let server = |number: usize| {
            let (held, runs) = (AtomicUsize::new(0), Arc::clone(&runs));
            let cores = [Mutex::new(()), Mutex::new(())];
            Server::new(move |stream, asked| {
                let report = |held: usize| format!("TEXT inflight={held}");
                if asked.head.starts_with("GET /_load ") {
                    return stream
                        .write_all(&ok(&report(held.load(Ordering::SeqCst))))
                        .is_ok();
                }
                let from = set.elapsed().as_secs_f64() * 1000.0;
                let core = held.fetch_add(1, Ordering::SeqCst) % 2;
                drop(cores[core].lock().map(|_at_work| thread::sleep(takes)));
                let left = held.fetch_sub(1, Ordering::SeqCst) - 1;
                let to = set.elapsed().as_secs_f64() * 1000.0;
                runs.lock().unwrap().push(Run {
                    server: number,
                    head: asked.head.clone(),
                    from,
                    to,
                });
                let load = format!(
                    "HTTP/1.1 200 OK\r\nX-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                    report(left)
                );
                stream.write_all(load.as_bytes()).is_ok()
            })
        };
        Stage {
            servers: (0..servers).map(server).collect(),
            runs,
            set,
        }
    }
}

/// A listener whose queue of connections is full, with those that fill it: a further one comes up only once
/// they are accepted.
pub fn stuck() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
        queued.push(stream);
    }
    (listener, address, queued)
}
