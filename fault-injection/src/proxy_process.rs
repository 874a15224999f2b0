//! Management of a proxy process: its files, start, signals, resource usage and admin API.

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

/// Allows for a busy machine; the admin API itself responds within one iteration of the event loop.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(1000);
/// The unit of processor time in `/proc`.
const CPU_TICK_MS: f64 = 10.0;

/// `limits.memory_mb` in each proxy's configuration.
pub(crate) const MEMORY_MB: usize = 192;
/// The default for `limits.sockets` in each proxy's configuration.
const DEFAULT_SOCKETS: usize = 1024;

/// How the proxies of a cluster are started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The proxy executable.
    pub program: PathBuf,
    /// The directory for all files of the run. The harness removes it when dropped.
    pub folder: PathBuf,
    /// Whether the proxies form a cluster, which requires an operator configuration file.
    pub cluster: bool,
    /// The number of proxies that serve as seeds for all proxies.
    pub seeds: usize,
    /// The number of proxies that the settings announce, if it differs from the actual number.
    pub configured_proxies: Option<usize>,
    /// The random seed of the harness. Each proxy's seed is derived from it and the proxy's number.
    pub seed: u64,
    /// Limits of open descriptors for each proxy, if not the defaults.
    pub descriptors: Option<DescriptorLimits>,
}

/// Limits of open descriptors for a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// `limits.sockets` in its configuration.
    pub configured: usize,
    /// The resource limit of the process (`ulimit -n`).
    pub system: usize,
}

impl Start {
    /// Options for a cluster of this program, with the files of the run in this directory.
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

/// A proxy of the run, whether or not its process is running.
pub struct ProxyProcess {
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the admin API.
    pub admin: SocketAddr,
    /// The admin address of a newer process, until that is ready.
    pub(crate) newer_admin: Option<SocketAddr>,
    /// The address for cluster datagrams.
    pub cluster_listen: SocketAddr,
    /// The address of the relay in front of `cluster_listen`, which the proxy advertises.
    pub advertised: SocketAddr,
    /// Whether the process is stopped by SIGSTOP.
    pub stopped: bool,
    /// The name in the operator configuration, if it differs from the one in the proxy's configuration.
    pub name: Option<String>,
    folder: PathBuf,
    program: PathBuf,
    cluster: bool,
    descriptors: Option<DescriptorLimits>,
    child: Option<Child>,
    /// The process that a newer one replaces, until it has exited.
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
        fs::create_dir_all(&folder).expect("the run's directory is writable");
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

    fn write_file(&self, file: &str, text: &str) {
        fs::write(self.folder.join(file), text).expect("the run's directory is writable");
    }

    /// Writes its configuration, its operator configuration and its key files, replacing earlier ones.
    pub(crate) fn write_configuration(
        &self,
        configuration: &Value,
        seeds: &[SocketAddr],
        keys: &[&str],
    ) {
        self.write_file("configuration.json", &configuration.to_string());
        let key_files: Vec<String> = (0..keys.len())
            .map(|number| format!("key-{number}"))
            .collect();
        for (file, key) in key_files.iter().zip(keys) {
            self.write_file(file, key);
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
        self.write_file("operator.toml", &operator_file);
    }

    /// Starts its process, with the persistent state of the last one or with none.
    pub(crate) fn start(&mut self, keep_state: bool) {
        assert!(self.child.is_none(), "the proxy already has a process");
        let state = self.folder.join("state");
        if !keep_state {
            // There is no state before the first start.
            let _ = fs::remove_dir_all(&state);
        }
        fs::create_dir_all(&state).expect("the run's directory is writable");
        self.child = Some(self.spawn());
        self.stopped = false;
    }

    /// Starts a newer process beside the running one, as in an upgrade. The configuration must already contain the
    /// newer process's admin address.
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
            .expect("the run's directory is writable");
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

    /// Returns the command that starts the program, through a shell with `ulimit` if descriptors are limited.
    fn command(&self) -> Command {
        // `Command::new` is disallowed because the proxy must not start processes; the harness must.
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
        let pid = self.child.as_ref().and_then(process_id);
        if let Some(pid) = pid {
            // This fails only if the process has exited, which `runs` reports.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    /// Sends SIGSTOP.
    pub(crate) fn stop(&mut self) {
        self.signal(Signal::STOP);
        self.stopped = true;
    }

    /// Sends SIGCONT.
    pub(crate) fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.stopped = false;
    }

    /// Sends SIGTERM, for a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGTERM to the process that a newer one replaces.
    pub(crate) fn terminate_older(&self) {
        let pid = self.older.as_ref().and_then(process_id);
        if let Some(pid) = pid {
            // This fails only if the process has already exited, which is allowed.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Sends SIGKILL to the process that a newer one replaces, and waits for it to exit.
    pub(crate) fn kill_older(&mut self) {
        if let Some(mut older) = self.older.take() {
            let _ = older.kill();
            let _ = older.wait();
        }
    }

    /// Whether the process replaced by the last upgrade is still tracked.
    pub(crate) fn has_older(&self) -> bool {
        self.older.is_some()
    }

    /// Sends SIGUSR1, on which the proxy logs its counters.
    pub(crate) fn log_counters(&self) {
        self.signal(Signal::USR1);
    }

    /// Sends SIGHUP, on which the proxy reloads its configuration.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether its process is running.
    pub fn runs(&mut self) -> bool {
        let exited = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if exited {
            self.child = None;
        }
        self.child.is_some()
    }

    /// Returns the number of open descriptors of its process; `None` once that has exited.
    pub(crate) fn open_descriptors(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id();
        Some(fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
    }

    /// Describes the open descriptors of its process.
    pub(crate) fn describe_descriptors(&self) -> Vec<String> {
        let id = self.child.as_ref().map_or(0, Child::id);
        open_descriptors::describe(id)
    }

    /// Returns the peak resident memory of its process in kB; `None` once that has exited.
    pub(crate) fn peak_memory_kb(&self) -> Option<usize> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Truncates its configuration file, as an interrupted write would.
    pub(crate) fn truncate_configuration(&self) {
        let path = self.folder.join("configuration.json");
        let text =
            fs::read_to_string(path).expect("the configuration was written before the start");
        self.write_file("configuration.json", &text[..text.len() / 2]);
    }

    /// Returns the processor time that its process has used, in milliseconds.
    pub(crate) fn cpu_ms(&self) -> f64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        // The file is gone once the process has exited, which counts as 0.
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The process name, in parentheses, may contain any character. User and system time are the 12th and 13th
        // fields after it.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let ticks: f64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum();
        ticks * CPU_TICK_MS
    }

    /// Returns the log of all its processes in this run; empty if none was started.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends a GET to its admin API. Returns the body, or `None` without a 200 response.
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

    /// Returns the response of `/fleet` on its admin API, if there is a valid one.
    pub fn page(&self) -> Option<Value> {
        serde_json::from_str(&self.admin_get("/fleet")?).ok()
    }

    /// Builds its configuration in the platform's format.
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
        let proxy_seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
        json!({
            "name": format!("node-{number}"), "listen": self.listen.to_string(),
            "discovery": discovery.to_string(), "admin_addr": self.admin.to_string(),
            "seed": format!("{proxy_seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets}, "known": null, "settings": settings
        })
    }
}

fn process_id(child: &Child) -> Option<Pid> {
    Pid::from_raw(child.id() as i32)
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill_older();
        self.kill();
    }
}
