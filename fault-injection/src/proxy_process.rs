//! A proxy process: its files, its start, the signals sent to it, and what its admin API answers.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::open_descriptors;
use crate::ports::free_port;

/// The admin API answers within a turn of its event loop; a busy machine may take a while to get there.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(1000);
/// The unit in which `/proc` counts processor time.
const CPU_TICK_MS: f64 = 10.0;

/// `limits.memory_mb` of each proxy's configuration.
pub(crate) const MEMORY_MB: usize = 192;
/// `limits.sockets` of each proxy's configuration, if the run has no other.
const DEFAULT_SOCKETS: usize = 1024;

/// How the proxies of a cluster are started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program of a proxy.
    pub program: PathBuf,
    /// Where all files of the run are written. It is removed with the harness.
    pub folder: PathBuf,
    /// Whether the proxies form a cluster: with an operator's file, or without.
    pub cluster: bool,
    /// How many of the proxies are seeds of all.
    pub seeds: usize,
    /// The number of proxies according to the settings, if it is not the true one.
    pub configured_proxies: Option<usize>,
    /// Seeds the harness and, with its number, each proxy.
    pub seed: u64,
    /// How many descriptors each proxy may hold, if not as many as usual.
    pub descriptors: Option<DescriptorLimits>,
}

/// How many descriptors a proxy may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// `limits.sockets` of its configuration.
    pub configured: usize,
    /// The system's limit.
    pub system: usize,
}

impl Start {
    /// Starts this program as a cluster, with the files of the run in this folder.
    pub fn new(program: impl Into<PathBuf>, folder: impl Into<PathBuf>) -> Self {
        Start {
            program: program.into(),
            folder: folder.into(),
            cluster: true,
            seeds: 3,
            configured_proxies: None,
            seed: 1,
            descriptors: None,
        }
    }
}

/// One proxy of the run, whether its process runs or not.
pub struct ProxyProcess {
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where its admin API listens.
    pub admin: SocketAddr,
    /// Where the admin API of a newer process listens that is not ready yet.
    pub(crate) newer_admin: Option<SocketAddr>,
    /// Where it listens for the datagrams of the cluster.
    pub cluster_listen: SocketAddr,
    /// The relay in front of that, which the others are told.
    pub advertised: SocketAddr,
    /// Stopped by SIGSTOP.
    pub stopped: bool,
    /// Its name in the operator's file, if that differs from the one in its configuration.
    pub name: Option<String>,
    folder: PathBuf,
    program: PathBuf,
    cluster: bool,
    descriptors: Option<DescriptorLimits>,
    child: Option<Child>,
    /// The process that a newer one has taken over from, until it has ended.
    older: Option<Child>,
}

impl ProxyProcess {
    pub(crate) fn new(
        start: &Start,
        number: usize,
        cluster_listen: SocketAddr,
        advertised: SocketAddr,
    ) -> Self {
        let folder = start.folder.join(format!("node-{number}"));
        fs::create_dir_all(&folder).expect("a folder for the run that may be written to");
        ProxyProcess {
            listen: free_port(),
            admin: free_port(),
            newer_admin: None,
            cluster_listen,
            advertised,
            stopped: false,
            name: None,
            folder,
            program: start.program.clone(),
            cluster: start.cluster,
            descriptors: start.descriptors,
            child: None,
            older: None,
        }
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.folder.join(file), text).expect("the run's folder may be written to");
    }

    /// Writes its configuration, its operator's file and its keys anew.
    pub(crate) fn write_configuration(
        &self,
        configuration: &Value,
        seeds: &[SocketAddr],
        keys: &[&str],
    ) {
        self.write("configuration.json", &configuration.to_string());
        let key_files: Vec<String> = (0..keys.len())
            .map(|number| format!("key-{number}"))
            .collect();
        for (file, key) in key_files.iter().zip(keys) {
            self.write(file, key);
        }
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let name = self
            .name
            .as_ref()
            .map_or_else(String::new, |name| format!("name = {name:?}\n"));
        let operator_file = format!(
            "[cluster]\n{name}listen = {:?}\nadvertise = {:?}\nseeds = {seeds:?}\nkey-files = {key_files:?}\n",
            self.cluster_listen.to_string(),
            self.advertised.to_string()
        );
        self.write("operator.toml", &operator_file);
    }

    /// Starts its process, with the state of its last one or with none.
    pub(crate) fn start(&mut self, keep_state: bool) {
        assert!(self.child.is_none(), "one process for each proxy");
        let state = self.folder.join("state");
        if !keep_state {
            // On the first start there is none.
            let _ = fs::remove_dir_all(&state);
        }
        fs::create_dir_all(&state).expect("the run's folder may be written to");
        self.child = Some(self.spawn());
        self.stopped = false;
    }

    /// Starts a newer process beside the running one, as in an upgrade. The caller has given it an address for its
    /// admin API in the configuration.
    pub(crate) fn start_newer(&mut self) {
        self.kill_older();
        self.older = self.child.take();
        self.child = Some(self.spawn());
    }

    fn spawn(&self) -> Child {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("the run's folder may be written to");
        let mut command = self.command();
        command
            .env("BALANCER_CONFIG", self.folder.join("configuration.json"))
            .env("TMPDIR", self.folder.join("state"))
            .env_remove("CRANKMUX_OPERATOR_CONFIG")
            .env_remove("CRANKMUX_CHARTER");
        if self.cluster {
            command.env(
                "CRANKMUX_OPERATOR_CONFIG",
                self.folder.join("operator.toml"),
            );
        }
        command.stdout(Stdio::null()).stderr(log);
        command
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", self.program.display()))
    }

    /// The program, under the system's limit of descriptors if it has one of its own.
    fn command(&self) -> Command {
        // The proxy itself starts no processes, which is why the method is disallowed; the harness has to.
        #[allow(clippy::disallowed_methods)]
        let new_command = |program: &Path| Command::new(program);
        let Some(limits) = self.descriptors else {
            return new_command(&self.program);
        };
        let mut command = new_command(Path::new("/bin/sh"));
        let script = format!("ulimit -n {}; exec \"$0\"", limits.system);
        command.arg("-c").arg(script).arg(&self.program);
        command
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(pid);
        if let Some(pid) = pid {
            // It fails only for a process that has ended, which `runs` finds.
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGKILL, and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only for a process that is gone, which is what is wanted.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    /// SIGSTOP.
    pub(crate) fn stop(&mut self) {
        self.signal(Signal::STOP);
        self.stopped = true;
    }

    /// SIGCONT.
    pub(crate) fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.stopped = false;
    }

    /// SIGTERM: graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGTERM to the process that a newer one has taken over from.
    pub(crate) fn terminate_older(&self) {
        let pid = self.older.as_ref().and_then(pid);
        if let Some(pid) = pid {
            // It fails only for a process that has ended already, as it may.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// SIGKILL to the process that a newer one has taken over from, and waits for its end.
    pub(crate) fn kill_older(&mut self) {
        if let Some(mut older) = self.older.take() {
            let _ = older.kill();
            let _ = older.wait();
        }
    }

    /// Whether it has had two processes since the last upgrade.
    pub(crate) fn has_older(&self) -> bool {
        self.older.is_some()
    }

    /// SIGUSR1: logs its counters.
    pub(crate) fn log_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// SIGHUP: reads its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether its process runs.
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

    /// The number of descriptors that its process holds; `None` once it has ended.
    pub(crate) fn open_descriptors(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id();
        Some(fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
    }

    /// What the descriptors of its process are, in words.
    pub(crate) fn describe_descriptors(&self) -> Vec<String> {
        let id = self.child.as_ref().map_or(0, Child::id);
        open_descriptors::describe(id)
    }

    /// The most memory that its process has held, in kB, as the system counts; `None` once it has ended.
    pub(crate) fn peak_memory_kb(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Cuts its configuration file short in the middle, as a writer that dies would leave it.
    pub(crate) fn cut_configuration_short(&self) {
        let path = self.folder.join("configuration.json");
        let text = fs::read_to_string(path).expect("it was written before the start");
        self.write("configuration.json", &text[..text.len() / 2]);
    }

    /// Milliseconds of processor time that its process has used, as the system counts them.
    pub(crate) fn cpu_ms(&self) -> f64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        // A process that has ended has no such file, and counts as nothing.
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The process's name, in parentheses, may hold anything; user and system time are the 12th and 13th
        // fields behind it.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: f64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum();
        ticks * CPU_TICK_MS
    }

    /// What it has logged since the run began; nothing if it was never started.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// The body that its admin API answers a GET with; `None` if it does not answer with 200.
    pub fn admin_get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.admin, ADMIN_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(ADMIN_TIMEOUT)).ok()?;
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes())
            .ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let (head, body) = response.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200").then(|| body.to_string())
    }

    /// Its `/fleet` page; `None` if it does not answer.
    pub fn page(&self) -> Option<Value> {
        serde_json::from_str(&self.admin_get("/fleet")?).ok()
    }

    /// Its configuration in the platform's form.
    pub(crate) fn configuration(
        &self,
        number: usize,
        discovery: SocketAddr,
        seed: u64,
        settings: Value,
    ) -> Value {
        let sockets = self
            .descriptors
            .map_or(DEFAULT_SOCKETS, |limits| limits.configured);
        let own_seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
        json!({
            "name": format!("node-{number}"), "listen": self.listen.to_string(),
            "discovery": discovery.to_string(), "admin_addr": self.admin.to_string(),
            "seed": format!("{own_seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets}, "known": null, "settings": settings
        })
    }
}

fn pid(child: &Child) -> Option<Pid> {
    Pid::from_raw(child.id() as i32)
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill_older();
        self.kill();
    }
}
