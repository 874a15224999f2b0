//! Operating a running proxy: signals, the admin API, its log and its memory.

use super::endpoint::TestEndpoint;
use super::http::{read_message, status_code};
use super::proxy_process::ProxyProcess;
use super::wait::{wait_until, TEST_TIMEOUT};
use rustix::process::{kill_process, Pid, Signal};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

impl ProxyProcess {
    /// A connection to the admin API.
    pub(crate) fn connect_admin(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin_address.expect("it has an admin API"))
            .expect("the admin API listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout is set");
        stream
    }

    /// Status and body of an admin call; status 0 where the admin API is closed already, as it is once a process has
    /// ended.
    pub(crate) fn admin_call(&self, method: &str, path: &str) -> (u16, String) {
        let Ok(mut caller) = TcpStream::connect(self.admin_address.expect("it has an admin API"))
        else {
            return (0, String::new());
        };
        caller
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout is set");
        let _ =
            caller.write_all(format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes());
        read_message(&mut caller).map_or((0, String::new()), |(head, body)| {
            (
                status_code(&head),
                String::from_utf8_lossy(&body).into_owned(),
            )
        })
    }

    /// One of its metrics.
    pub(crate) fn metric(&self, name: &str) -> Option<u64> {
        let (_, text) = self.admin_call("GET", "/v1/metrics");
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("it was started");
        kill_process(pid, signal).expect("it is ours");
    }

    /// Stops the process by SIGSTOP, and waits until it stands still.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
        wait_until("the process is stopped", || {
            let stat =
                std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
    }

    /// Lets a paused process continue.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Writes this text into its configuration file, and has it read the file again.
    pub(crate) fn reload(&self, text: &str) {
        std::fs::write(&self.configuration_path, text).expect("a writable folder");
        self.signal(Signal::HUP);
    }

    /// The id of its process.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The memory that it holds now, in kB, as the system counts.
    pub(crate) fn memory_kb(&self) -> usize {
        self.status_field_kb("VmRSS:")
    }

    /// The most memory that it has held, in kB, as the system counts.
    pub(crate) fn peak_memory_kb(&self) -> usize {
        self.status_field_kb("VmHWM:")
    }

    fn status_field_kb(&self, name: &str) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().trim_end_matches(" kB").parse().ok())
            .expect("the system reports it")
    }

    /// All that it has logged so far.
    pub(crate) fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits until it exits: whether it exited with success, and its log.
    pub(crate) fn wait_for_exit(&mut self) -> (bool, String) {
        let mut success = false;
        wait_until("the proxy exits", || match self.child.try_wait() {
            Ok(Some(status)) => {
                success = status.success();
                true
            }
            _ => false,
        });
        thread::sleep(Duration::from_millis(50));
        (success, self.log())
    }

    /// Sends a request and waits until an endpoint, which holds its response back, has received it.
    pub(crate) fn send_and_wait_for_attempt(
        &self,
        endpoint: &TestEndpoint,
        request: &[u8],
    ) -> TcpStream {
        let before = endpoint.received_count();
        let mut client = self.connect();
        client.write_all(request).unwrap();
        wait_until("the attempt is sent", || {
            endpoint.received_count() == before + 1
        });
        client
    }

    /// Shuts the proxy down, and counts the requests of a class that an endpoint has received from it, once the proxy
    /// has exited and all that it wrote is read.
    pub(crate) fn shut_down_and_count_requests(
        &mut self,
        endpoint: &TestEndpoint,
        request_class: &str,
    ) -> usize {
        self.signal(Signal::TERM);
        assert!(self.wait_for_exit().0);
        wait_until("all is read", || {
            endpoint.open_connections.load(Ordering::SeqCst) == 0
        });
        let path = format!("POST /{request_class}/");
        endpoint
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|received| received.head.starts_with(&path))
            .count()
    }
}
