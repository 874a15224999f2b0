//! Planned restarts and upgrades as the platform carries them out: SIGTERM, clients that go on using the connections
//! that they have, and SIGKILL at the earliest that is allowed.

use super::admin_calls::AdminCall;
use super::event_loop::Role;
use super::Harness;
use crate::ports::free_port;
use rand::RngExt;
use std::ops::Range;

/// New connections go on coming for so long after SIGTERM.
const NEW_CONNECTIONS_MS: Range<f64> = 200.0..400.0;
/// SIGKILL comes so long after the longest deadline, counted from SIGTERM, at the earliest.
const KILL_AFTER_DEADLINE_MS: f64 = 700.0;
/// A deadline counts as this at most.
const LONGEST_DEADLINE_MS: f64 = 3000.0;
const READINESS_INTERVAL_MS: f64 = 50.0;

/// Which proxies are shutting down, and when processes were started and ready.
pub(super) struct Shutdowns {
    shutting_down: Vec<bool>,
    /// When each proxy's current process was started, and when it was first ready.
    starts: Vec<StartTimes>,
    /// All times from a start to readiness, in milliseconds; `None` for a process that was never ready.
    ready_times_ms: Vec<(usize, Option<f64>)>,
    /// Spans in which a proxy was being restarted: from SIGTERM until its next process was ready.
    outages: Vec<(usize, Range<f64>)>,
}

#[derive(Clone, Copy, Default)]
struct StartTimes {
    started_ms: f64,
    is_ready: bool,
}

impl Shutdowns {
    pub(super) fn new(proxies: usize) -> Self {
        Shutdowns {
            shutting_down: vec![false; proxies],
            starts: vec![StartTimes::default(); proxies],
            ready_times_ms: Vec::new(),
            outages: Vec::new(),
        }
    }

    pub(super) fn is_shutting_down(&self, proxy: usize) -> bool {
        self.shutting_down[proxy]
    }
}

impl Harness {
    /// How long after SIGTERM SIGKILL comes.
    fn kill_delay_ms(&self) -> f64 {
        let classes = self.environment.request_classes.iter();
        let longest_ms = classes.map(|class| class.ttl_ms).fold(0.0, f64::max);
        longest_ms.min(LONGEST_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
    }

    /// Starts a proxy's process; it gets requests once it says that it is ready.
    pub(crate) fn start_when_ready(&mut self, proxy: usize, keep_state: bool) {
        self.proxies[proxy].start(keep_state);
        self.begin_readiness_checks(proxy);
    }

    fn begin_readiness_checks(&mut self, proxy: usize) {
        self.shutdowns.starts[proxy] = StartTimes {
            started_ms: self.now(),
            is_ready: false,
        };
        self.check_readiness(proxy);
    }

    fn check_readiness(&mut self, proxy: usize) {
        if self.shutdowns.starts[proxy].is_ready || self.shutdowns.shutting_down[proxy] {
            return;
        }
        self.call_admin(proxy, AdminCall::Readiness);
        self.schedule(READINESS_INTERVAL_MS, move |harness| {
            harness.check_readiness(proxy);
        });
    }

    /// The current process of a proxy says that it is ready.
    pub(super) fn on_ready(&mut self, proxy: usize) {
        let now_ms = self.now();
        let start = &mut self.shutdowns.starts[proxy];
        if start.is_ready || self.shutdowns.shutting_down[proxy] {
            return;
        }
        start.is_ready = true;
        let took_ms = now_ms - start.started_ms;
        self.shutdowns.ready_times_ms.push((proxy, Some(took_ms)));
        self.clients.in_rotation[proxy] = true;
        for (of, outage) in &mut self.shutdowns.outages {
            if *of == proxy && outage.end.is_infinite() {
                outage.end = now_ms;
            }
        }
        if self.proxies[proxy].has_older() {
            self.end_upgrade(proxy);
        }
    }

    /// Whether the current process of a proxy has said that it is ready.
    pub(crate) fn is_ready(&self, proxy: usize) -> bool {
        self.shutdowns.starts[proxy].is_ready
    }

    /// The times from each start to readiness; `None` where a process was never ready.
    pub(crate) fn ready_times_ms(&self) -> Vec<(usize, Option<f64>)> {
        let never = (0..self.proxies.len())
            .filter(|proxy| !self.is_ready(*proxy))
            .map(|proxy| (proxy, None));
        self.shutdowns
            .ready_times_ms
            .iter()
            .copied()
            .chain(never)
            .collect()
    }

    /// Whether a proxy was being restarted at any time of a span.
    pub(crate) fn was_restarted_within(&self, proxy: usize, span_ms: &Range<f64>) -> bool {
        self.shutdowns.outages.iter().any(|(of, outage)| {
            *of == proxy && outage.start < span_ms.end && span_ms.start < outage.end
        })
    }

    /// SIGTERM; SIGKILL at the earliest, and a new start at once.
    pub(crate) fn restart_as_planned(&mut self, proxy: usize) {
        let now_ms = self.now();
        self.proxies[proxy].terminate();
        self.shutdowns.shutting_down[proxy] = true;
        self.shutdowns.outages.push((proxy, now_ms..f64::INFINITY));
        let new_connections_ms = self.random.random_range(NEW_CONNECTIONS_MS);
        self.schedule(new_connections_ms, move |harness| {
            harness.clients.in_rotation[proxy] = false;
        });
        let kill_delay_ms = self.kill_delay_ms();
        self.schedule(kill_delay_ms, move |harness| harness.end_restart(proxy));
    }

    /// SIGKILL. What it finds unanswered is lost.
    fn end_restart(&mut self, proxy: usize) {
        self.judge_unanswered(proxy);
        self.proxies[proxy].kill();
        // Its connections end now, and nothing of them is owed any more.
        self.pass_over_connections(proxy);
        self.shutdowns.shutting_down[proxy] = false;
        // Whoever starts a process gives it a whole file; one that was cut short is for reloads alone.
        self.write_files(proxy);
        self.start_when_ready(proxy, true);
    }

    fn judge_unanswered(&mut self, proxy: usize) {
        let now_ms = self.now();
        for number in self.clients.take_unanswered_at(proxy) {
            let request = &self.clients.requests[number];
            self.invariants.deadline_passed(now_ms, &request.lifecycle);
        }
    }

    /// Closes the clients' connections to a process that was killed.
    fn pass_over_connections(&mut self, proxy: usize) {
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

    /// Starts a newer process beside a proxy's running one, unless that is being restarted. Operators call the older
    /// one until the newer is ready.
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
        self.begin_readiness_checks(proxy);
    }

    /// The newer process is ready: SIGTERM to the older one, SIGKILL at the earliest.
    fn end_upgrade(&mut self, proxy: usize) {
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
