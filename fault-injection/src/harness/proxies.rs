//! What is done to the proxy processes.

use super::event_loop::{EventLoop, Role};
use super::{Harness, CLUSTER_KEY};
use crate::ports::free_port;
use crate::proxy_process::ProxyProcess;
use std::net::SocketAddr;

/// How long clients go on sending requests to a proxy that is dead or stopped.
const CLIENTS_NOTICE_MS: f64 = 400.0;

impl Harness {
    pub(super) fn add_proxies(&mut self) {
        let proxies = self.environment.proxies;
        for proxy in 0..proxies {
            let discovery = self.event_loop.listen(Role::Discovery { proxy });
            self.discovery.addresses.push(discovery);
            let cluster_listen = free_port();
            let token = EventLoop::relay_token(proxy);
            let advertised = self
                .relays
                .add(cluster_listen, self.event_loop.registry(), token)
                .expect("a free port on loopback");
            let process = ProxyProcess::new(&self.start, proxy, cluster_listen, advertised);
            self.proxies.push(process);
        }
        for proxy in 0..proxies {
            self.write_files(proxy);
        }
    }

    /// Writes a proxy's files as they are at the start of a run.
    pub(crate) fn write_files(&self, proxy: usize) {
        self.furnish(proxy, &[CLUSTER_KEY]);
    }

    /// Writes a proxy's files, with these cluster keys.
    ///
    /// # Panics
    /// If the run's folder cannot be written to.
    pub fn furnish(&self, proxy: usize, keys: &[&str]) {
        let mut settings = self.environment.settings(proxy);
        if let Some(configured) = self.start.configured_proxies {
            settings["GroupSize"] = configured.into();
            settings["MyNumber"] = (proxy % configured).into();
        }
        let process = &self.proxies[proxy];
        let discovery = self.discovery.addresses[proxy];
        let configuration = process.configuration(proxy, discovery, self.start.seed, settings);
        let seeds: Vec<SocketAddr> = self
            .proxies
            .iter()
            .take(self.start.seeds)
            .map(|seed| seed.advertised)
            .collect();
        process.write_configuration(&configuration, &seeds, keys);
    }

    /// Starts a proxy's process. Clients send requests to it once it has answered an observer.
    ///
    /// # Panics
    /// If the program cannot be started, or the proxy already has a process.
    pub fn start(&mut self, proxy: usize, keep_state: bool) {
        self.proxies[proxy].start(keep_state);
        self.observations.started_ms[proxy] = self.now();
        self.observe(proxy);
    }

    /// Starts all proxies, with no state.
    ///
    /// # Panics
    /// If the program cannot be started, or a proxy already has a process.
    pub fn start_all(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.start(proxy, false);
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self, proxy: usize) {
        self.measurements.cpu_of_ended_ms += self.proxies[proxy].cpu_ms();
        self.proxies[proxy].kill();
        self.expect_no_answers(proxy);
    }

    /// SIGSTOP: it lives and does nothing.
    pub fn stop(&mut self, proxy: usize) {
        self.proxies[proxy].stop();
        self.expect_no_answers(proxy);
    }

    /// SIGCONT: it goes on where it was.
    pub fn go_on(&mut self, proxy: usize) {
        self.proxies[proxy].resume();
        self.clients.in_rotation[proxy] = true;
    }

    /// SIGTERM: graceful shutdown. Clients are notified at once.
    pub fn terminate(&mut self, proxy: usize) {
        self.proxies[proxy].terminate();
        self.clients.in_rotation[proxy] = false;
        // Views that it still gives until it has ended are of a process that is going.
        self.observations.started_ms[proxy] = f64::INFINITY;
    }

    /// A dead or stopped proxy owes no answers, and clients notice after a while.
    fn expect_no_answers(&mut self, proxy: usize) {
        self.clients.excuse_requests_at(proxy);
        self.schedule(CLIENTS_NOTICE_MS, move |harness| {
            let process = &mut harness.proxies[proxy];
            let in_rotation = &mut harness.clients.in_rotation[proxy];
            *in_rotation = !process.stopped && *in_rotation && process.runs();
        });
    }

    /// Whether a proxy accepts connections of clients.
    pub(crate) fn accepts_clients(&self, proxy: usize) -> bool {
        std::net::TcpStream::connect(self.proxies[proxy].listen).is_ok()
    }
}
