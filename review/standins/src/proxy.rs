//! The proxy's program, started as the deploy file says.

use crate::system;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Makes a folder under `FOLDER`, which the script made and removes.
    pub fn new(name: &str) -> Self {
        let path = PathBuf::from(std::env::var("FOLDER").expect("FOLDER names the run's folder"))
            .join(name);
        fs::create_dir_all(&path).expect("the folder can be made");
        Folder(path)
    }
}

/// A running proxy; killed when it is dropped.
pub struct Proxy {
    pub address: SocketAddr,
    child: Child,
}

/// The root of the repository, which `ROOT` names.
fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository's root"))
}

/// The command that the deploy file names for one node.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run "))
        .expect("a line for run");
    line.split('"')
        .nth(1)
        .expect("a quoted command")
        .to_string()
}

/// Notes a process for the script, which ends it should this program be stopped.
fn note_process(id: u32) {
    let path = PathBuf::from(std::env::var("FOLDER").expect("FOLDER names the run's folder"))
        .join("processes");
    let file = File::options().append(true).create(true).open(path);
    writeln!(file.expect("the processes can be noted"), "{id}").expect("the process can be noted");
}

impl Proxy {
    /// Starts a proxy with this configuration.
    pub fn start(
        folder: &Path,
        configuration: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
    ) -> Self {
        let path = folder.join("config.json");
        fs::write(&path, configuration).expect("the configuration can be written");
        let state = folder.join("tmp");
        fs::create_dir_all(&state).expect("the state's folder can be made");
        let log = File::options()
            .append(true)
            .create(true)
            .open(folder.join("log"))
            .expect("the log can be written");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("BALANCER_CONFIG", &path)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_NAME", "n0")
            .env("TMPDIR", &state)
            .env_remove("CRANKMUX_OPERATOR_CONFIG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the proxy starts");
        note_process(child.id());
        Proxy {
            address: listen,
            child,
        }
    }

    /// Waits until the health check answers 200, for ten seconds at most.
    pub fn is_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.health_check() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn health_check(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let request = b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n";
        if stream.write_all(request).is_err() {
            return false;
        }
        let answer = crate::client::read_answer(&mut stream, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, signal: i32) {
        system::signal(self.child.id(), signal);
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child can be waited for")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
