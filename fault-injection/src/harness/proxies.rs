//! Starts, stops and configures the proxy processes.

use super::event_loop::{EventLoop, Role};
use super::{Harness, CLUSTER_KEY};
use crate::ports::free_port;
use crate::proxy_process::ProxyProcess;
use std::net::SocketAddr;

/// How long clients keep sending requests to a dead or stopped proxy.
const CLIENT_FAILOVER_DELAY_MS: f64 = 400.0;

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
                .expect("binding and registering a relay succeeds");
            let process = ProxyProcess::new(&self.start, proxy, cluster_listen, advertised);
            self.proxies.push(process);
        }
        for proxy in 0..proxies {
            self.write_files(proxy);
        }
    }

    /// Writes a proxy's files with the initial cluster key.
    pub(crate) fn write_files(&self, proxy: usize) {
        self.write_files_with_keys(proxy, &[CLUSTER_KEY]);
    }

    /// Writes a proxy's files with these cluster keys.
    ///
    /// # Panics
    /// If the run's directory is not writable.
    pub fn write_files_with_keys(&self, proxy: usize, keys: &[&str]) {
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

    /// Starts a proxy's process. Clients send requests to it once it has reported a view.
    ///
    /// # Panics
    /// If the program cannot be started, or the proxy already has a process.
    pub fn start(&mut self, proxy: usize, keep_state: bool) {
        self.proxies[proxy].start(keep_state);
        self.observations.started_ms[proxy] = self.now();
        self.observe(proxy);
    }

    /// Starts all proxies without saved state.
    ///
    /// # Panics
    /// If the program cannot be started, or a proxy already has a process.
    pub fn start_all(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.start(proxy, false);
        }
    }

    /// Sends SIGKILL to a proxy.
    pub fn kill(&mut self, proxy: usize) {
        self.measurements.exited_cpu_ms += self.proxies[proxy].cpu_ms();
        self.proxies[proxy].kill();
        self.handle_unresponsive_proxy(proxy);
    }

    /// Stops a proxy with SIGSTOP.
    pub fn stop(&mut self, proxy: usize) {
        self.proxies[proxy].stop();
        self.handle_unresponsive_proxy(proxy);
    }

    /// Resumes a stopped proxy with SIGCONT.
    pub fn resume(&mut self, proxy: usize) {
        self.proxies[proxy].resume();
        self.clients.in_rotation[proxy] = true;
    }

    /// Starts a proxy's graceful shutdown with SIGTERM, and removes it from rotation immediately.
    pub fn terminate(&mut self, proxy: usize) {
        self.proxies[proxy].terminate();
        self.clients.in_rotation[proxy] = false;
        // Ignores the views that it reports while shutting down.
        self.observations.started_ms[proxy] = f64::INFINITY;
    }

    /// Exempts the requests at a dead or stopped proxy, and removes it from rotation after a delay.
    fn handle_unresponsive_proxy(&mut self, proxy: usize) {
        self.clients.exempt_requests_at(proxy);
        self.schedule(CLIENT_FAILOVER_DELAY_MS, move |harness| {
            let process = &mut harness.proxies[proxy];
            let in_rotation = &mut harness.clients.in_rotation[proxy];
            *in_rotation = !process.stopped && *in_rotation && process.runs();
        });
    }

    /// Returns whether a proxy accepts client connections.
    pub(crate) fn accepts_clients(&self, proxy: usize) -> bool {
        std::net::TcpStream::connect(self.proxies[proxy].listen).is_ok()
    }
}
