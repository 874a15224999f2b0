//! Graceful restarts and upgrades as a platform performs them: SIGTERM, clients that keep using their connections,
//! and SIGKILL at the end of the shortest permitted grace period.

use super::admin_calls::AdminCall;
use super::event_loop::Role;
use super::Harness;
use crate::ports::free_port;
use rand::RngExt;
use std::ops::Range;

/// Delay between SIGTERM and the proxy's removal from rotation; new connections still arrive meanwhile.
const ROTATION_REMOVAL_DELAY_MS: Range<f64> = 200.0..400.0;
/// Margin between the longest request deadline, counted from SIGTERM, and SIGKILL.
const KILL_MARGIN_MS: f64 = 700.0;
/// Upper bound of the request deadline that delays SIGKILL.
const MAX_DEADLINE_MS: f64 = 3000.0;
const READINESS_POLL_INTERVAL_MS: f64 = 50.0;

/// The shutdown and readiness state of the proxies.
pub(super) struct Shutdowns {
    shutting_down: Vec<bool>,
    /// The startup state of each proxy's current process.
    startups: Vec<StartupState>,
    /// Times from a process's start to its readiness, with the proxy.
    startup_times_ms: Vec<(usize, Option<f64>)>,
    /// Periods from SIGTERM until the proxy's next process is ready.
    outages: Vec<(usize, Range<f64>)>,
}

#[derive(Clone, Copy, Default)]
struct StartupState {
    started_ms: f64,
    is_ready: bool,
}

impl Shutdowns {
    pub(super) fn new(proxies: usize) -> Self {
        Shutdowns {
            shutting_down: vec![false; proxies],
            startups: vec![StartupState::default(); proxies],
            startup_times_ms: Vec::new(),
            outages: Vec::new(),
        }
    }

    pub(super) fn is_shutting_down(&self, proxy: usize) -> bool {
        self.shutting_down[proxy]
    }
}

impl Harness {
    /// Returns the delay between SIGTERM and SIGKILL.
    fn kill_delay_ms(&self) -> f64 {
        let classes = self.environment.request_classes.iter();
        let longest_ms = classes.map(|class| class.ttl_ms).fold(0.0, f64::max);
        longest_ms.min(MAX_DEADLINE_MS) + KILL_MARGIN_MS
    }

    /// Starts a proxy's process, and adds it to rotation once it reports readiness.
    pub(crate) fn start_with_readiness_checks(&mut self, proxy: usize, keep_state: bool) {
        self.proxies[proxy].start(keep_state);
        self.start_readiness_checks(proxy);
    }

    fn start_readiness_checks(&mut self, proxy: usize) {
        self.shutdowns.startups[proxy] = StartupState {
            started_ms: self.now(),
            is_ready: false,
        };
        self.check_readiness(proxy);
    }

    fn check_readiness(&mut self, proxy: usize) {
        if self.shutdowns.startups[proxy].is_ready || self.shutdowns.shutting_down[proxy] {
            return;
        }
        self.call_admin(proxy, AdminCall::Readiness);
        self.schedule(READINESS_POLL_INTERVAL_MS, move |harness| {
            harness.check_readiness(proxy);
        });
    }

    /// Handles a readiness response of a proxy's current process.
    pub(super) fn on_ready(&mut self, proxy: usize) {
        let now_ms = self.now();
        let startup = &mut self.shutdowns.startups[proxy];
        if startup.is_ready || self.shutdowns.shutting_down[proxy] {
            return;
        }
        startup.is_ready = true;
        let took_ms = now_ms - startup.started_ms;
        self.shutdowns.startup_times_ms.push((proxy, Some(took_ms)));
        self.clients.in_rotation[proxy] = true;
        for (of, outage) in &mut self.shutdowns.outages {
            if *of == proxy && outage.end.is_infinite() {
                outage.end = now_ms;
            }
        }
        if self.proxies[proxy].has_older() {
            self.retire_older_process(proxy);
        }
    }

    /// Returns whether a proxy's current process has reported readiness.
    pub(crate) fn is_ready(&self, proxy: usize) -> bool {
        self.shutdowns.startups[proxy].is_ready
    }

    /// Returns each startup time with its proxy; `None` for a current process that is not ready.
    pub(crate) fn startup_times_ms(&self) -> Vec<(usize, Option<f64>)> {
        let not_ready = (0..self.proxies.len())
            .filter(|proxy| !self.is_ready(*proxy))
            .map(|proxy| (proxy, None));
        self.shutdowns
            .startup_times_ms
            .iter()
            .copied()
            .chain(not_ready)
            .collect()
    }

    /// Returns whether a proxy was restarting at any time within a period.
    pub(crate) fn was_restarting_during(&self, proxy: usize, span_ms: &Range<f64>) -> bool {
        self.shutdowns.outages.iter().any(|(of, outage)| {
            *of == proxy && outage.start < span_ms.end && span_ms.start < outage.end
        })
    }

    /// Sends SIGTERM, then SIGKILL after the grace period, and starts a new process.
    pub(crate) fn restart_gracefully(&mut self, proxy: usize) {
        let now_ms = self.now();
        self.proxies[proxy].terminate();
        self.shutdowns.shutting_down[proxy] = true;
        self.shutdowns.outages.push((proxy, now_ms..f64::INFINITY));
        let removal_delay_ms = self.random.random_range(ROTATION_REMOVAL_DELAY_MS);
        self.schedule(removal_delay_ms, move |harness| {
            harness.clients.in_rotation[proxy] = false;
        });
        let kill_delay_ms = self.kill_delay_ms();
        self.schedule(kill_delay_ms, move |harness| {
            harness.kill_and_restart(proxy)
        });
    }

    /// Sends SIGKILL and starts a new process; requests without a response are violations.
    fn kill_and_restart(&mut self, proxy: usize) {
        self.check_unanswered(proxy);
        self.proxies[proxy].kill();
        self.close_client_connections(proxy);
        self.shutdowns.shutting_down[proxy] = false;
        // Restores the configuration, which a reload may have truncated.
        self.write_files(proxy);
        self.start_with_readiness_checks(proxy, true);
    }

    /// Reports all pending requests at a proxy to the invariant checker as unanswered.
    fn check_unanswered(&mut self, proxy: usize) {
        let now_ms = self.now();
        for request in self.clients.take_unanswered_at(proxy) {
            let request = &self.clients.requests[request];
            self.invariants.deadline_passed(now_ms, &request.history);
        }
    }

    /// Closes all client connections to a proxy.
    fn close_client_connections(&mut self, proxy: usize) {
        let connections: Vec<usize> = self
            .event_loop
            .connections
            .iter()
            .filter(|(_, open)| matches!(open.role, Role::Client { proxy: of, .. } if of == proxy))
            .map(|(key, _)| key)
            .collect();
        for connection in connections {
            self.close(connection);
        }
    }

    /// Starts a newer process beside a proxy's running one, if that is ready. Operators' calls go to the older process
    /// until the newer one is ready.
    pub(crate) fn upgrade(&mut self, proxy: usize) {
        if self.shutdowns.shutting_down[proxy] || !self.is_ready(proxy) {
            return;
        }
        let older_admin = self.proxies[proxy].admin;
        self.proxies[proxy].admin = free_port();
        self.write_files(proxy);
        self.proxies[proxy].start_newer();
        self.proxies[proxy].newer_admin = Some(self.proxies[proxy].admin);
        self.proxies[proxy].admin = older_admin;
        self.start_readiness_checks(proxy);
    }

    /// Sends SIGTERM to the older process, then SIGKILL after the grace period.
    fn retire_older_process(&mut self, proxy: usize) {
        if let Some(admin) = self.proxies[proxy].newer_admin.take() {
            self.proxies[proxy].admin = admin;
        }
        self.proxies[proxy].terminate_older();
        let kill_delay_ms = self.kill_delay_ms();
        self.schedule(kill_delay_ms, move |harness| {
            harness.proxies[proxy].kill_older();
        });
    }
}
