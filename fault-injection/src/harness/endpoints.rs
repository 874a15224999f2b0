//! Stand-in endpoints: the simulator's model of a server, in real time. Each has a listener for each proxy, so that
//! every pair can be looked at and cut by itself.

use super::event_loop::Role;
use super::Harness;
use crate::connection::Headers;
use crankmux::types::AttemptOutcome;
use crankmux_simulator::endpoint::{Completion, Dequeued, Endpoint, Job, RunningJob};
use crankmux_simulator::script::Script;
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long an endpoint that was overloaded while warming up is down.
const DOWN_AFTER_OVERLOAD_MS: f64 = 3000.0;

/// Names an attempt: its request by number and serial, and which of the request's attempts it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    request: usize,
    serial: u64,
    attempt: usize,
}

impl AttemptId {
    fn of(job: &Job) -> Self {
        AttemptId {
            request: job.request,
            serial: job.serial,
            attempt: job.attempt,
        }
    }
}

/// The endpoints of a run.
pub(super) struct Endpoints {
    pub(super) servers: Vec<Endpoint>,
    /// Where each proxy reaches each endpoint: by endpoint, then by proxy.
    pub(super) addresses: Vec<Vec<SocketAddr>>,
    /// The connection on which an attempt's response is awaited.
    awaited: BTreeMap<AttemptId, usize>,
    /// The mean work of a request over all classes, in milliseconds on a core of speed one.
    mean_work_ms: f64,
}

impl Endpoints {
    pub(super) fn new(environment: &Script) -> Self {
        Endpoints {
            servers: Vec::new(),
            addresses: Vec::new(),
            awaited: BTreeMap::new(),
            mean_work_ms: environment.mean_work_ms(),
        }
    }
}

impl Harness {
    pub(super) fn add_endpoints(&mut self) {
        for machine in self.environment.machine_types.clone() {
            for _ in 0..machine.count {
                let endpoint = self.endpoints.servers.len();
                let zone = endpoint % self.environment.zones.len();
                let pod = endpoint / machine.pod_size;
                let obligations = &self.environment.limits;
                let server = Endpoint::new(&machine, obligations, endpoint as u64, zone, pod, 0.0);
                self.endpoints.servers.push(server);
                let addresses = (0..self.environment.proxies)
                    .map(|proxy| self.event_loop.listen(Role::Endpoint { endpoint, proxy }))
                    .collect();
                self.endpoints.addresses.push(addresses);
                self.discovery.add_endpoint();
            }
        }
    }

    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.servers.len()
    }

    /// Whether whoever listens in this role takes connections.
    pub(super) fn is_up(&self, role: Role) -> bool {
        match role {
            Role::Endpoint { endpoint, .. } => self.endpoints.servers[endpoint].up,
            Role::Discovery { proxy } => !self.discovery.closed[proxy],
            _ => true,
        }
    }

    /// An endpoint's process is replaced by a new one, which has to warm up.
    pub fn restart_endpoint(&mut self, endpoint: usize) {
        for job in self.endpoints.servers[endpoint].crash() {
            self.endpoints.awaited.remove(&AttemptId::of(&job));
        }
        self.close_connections_to(endpoint);
        let now_ms = self.now();
        let server = &mut self.endpoints.servers[endpoint];
        server.up = true;
        server.started_at = now_ms;
        self.announce_ready(endpoint);
    }

    fn close_connections_to(&mut self, endpoint: usize) {
        let broken: Vec<usize> = self
            .event_loop
            .connections
            .iter()
            .filter(
                |(_, open)| matches!(open.role, Role::Endpoint { endpoint: of, .. } if of == endpoint),
            )
            .map(|(key, _)| key)
            .collect();
        for key in broken {
            self.close(key);
        }
    }

    /// An endpoint that was overloaded while warming up is down for a while.
    fn crash(&mut self, endpoint: usize) {
        self.restart_endpoint(endpoint);
        self.endpoints.servers[endpoint].up = false;
        self.schedule(DOWN_AFTER_OVERLOAD_MS, move |harness| {
            harness.restart_endpoint(endpoint);
        });
    }

    /// Endpoints with the same number remember each other's idempotency keys.
    fn deduplication_group(&self, endpoint: usize, class: usize) -> u64 {
        let scope = self.environment.request_classes[class].deduplication_scope;
        self.endpoints.servers[endpoint].deduplication_group(scope)
    }

    /// An attempt has arrived at an endpoint.
    pub(super) fn on_attempt(
        &mut self,
        connection: usize,
        endpoint: usize,
        proxy: usize,
        headers: &Headers,
    ) {
        let now_ms = self.now();
        let Some(request) = self.request_of(headers) else {
            // Long over, and still attempted.
            self.invariants.attempt_for_forgotten_request();
            return self.close(connection);
        };
        self.measurements.count_attempt(now_ms, proxy, endpoint);
        let job = self.job(now_ms, request);
        self.check_attempt(now_ms, request, endpoint, proxy);
        if self.overloads(now_ms, endpoint, request) {
            return self.crash(endpoint);
        }
        self.endpoints
            .awaited
            .insert(AttemptId::of(&job), connection);
        if self.endpoints.servers[endpoint].enqueue(now_ms, job) {
            self.run_jobs(endpoint);
        } else {
            self.respond(endpoint, job, AttemptOutcome::Rejected);
        }
    }

    /// The request that an attempt's headers name, if it is still known.
    fn request_of(&mut self, headers: &Headers) -> Option<usize> {
        let (request, serial) = headers.get("x-request-id")?.split_once('-')?;
        let request = request.parse().ok()?;
        let serial = serial.parse().ok()?;
        self.clients.find(request, serial)?;
        Some(request)
    }

    /// A request's next attempt, as work for an endpoint.
    fn job(&mut self, now_ms: f64, request: usize) -> Job {
        let waiting = &self.clients.requests[request];
        let work_ms = self.environment.request_classes[waiting.class].mean_work_ms;
        Job {
            request,
            serial: waiting.serial,
            attempt: waiting.attempts,
            work_ms: work_ms * (0.5 + self.random.random::<f64>()),
            arrived_at: now_ms,
            deadline: waiting.deadline_ms,
            key: 0,
            key_miss_factor: 1.0,
        }
    }

    fn check_attempt(&mut self, now_ms: f64, request: usize, endpoint: usize, proxy: usize) {
        let class = self.clients.requests[request].class;
        let group = self.deduplication_group(endpoint, class);
        // Once an operator was told that it is disabled, an endpoint gets as little as one that drains.
        let draining_since = [
            self.discovery.draining_since(proxy, endpoint),
            self.admin_calls.disabled_since(proxy, endpoint),
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp);
        let waiting = &mut self.clients.requests[request];
        waiting.attempts += 1;
        let lifecycle = &mut waiting.lifecycle;
        self.invariants
            .attempt_started(now_ms, lifecycle, endpoint, group, draining_since);
    }

    /// Whether this attempt is more than an endpoint that is warming up can bear.
    fn overloads(&mut self, now_ms: f64, endpoint: usize, request: usize) -> bool {
        let class = self.clients.requests[request].class;
        let mean_work_ms = self.endpoints.mean_work_ms;
        let mean_requests = self.environment.request_classes[class].mean_work_ms / mean_work_ms;
        let server = &self.endpoints.servers[endpoint];
        let warmth = server.warmth(now_ms);
        let capacity = warmth * server.machine.speed * server.machine.cores as f64 / mean_work_ms;
        let warming_up = warmth < 1.0;
        self.invariants.overloads_cold_endpoint(
            now_ms,
            endpoint,
            mean_requests,
            warming_up.then_some(capacity),
        )
    }

    /// Starts as many jobs as an endpoint has cores for.
    fn run_jobs(&mut self, endpoint: usize) {
        let now_ms = self.now();
        while let Some(begun) = self.endpoints.servers[endpoint].start_next(now_ms) {
            match begun {
                Dequeued::Started(work) => self.on_job_started(now_ms, endpoint, work),
                Dequeued::Expired(job) => self.respond(endpoint, job, AttemptOutcome::Rejected),
            }
        }
    }

    fn on_job_started(&mut self, now_ms: f64, endpoint: usize, work: RunningJob) {
        let job = work.job;
        let class = self
            .clients
            .find(job.request, job.serial)
            .map(|request| request.class);
        if let Some(class) = class {
            let group = self.deduplication_group(endpoint, class);
            let lifecycle = &mut self.clients.requests[job.request].lifecycle;
            self.invariants
                .attempt_executed(now_ms, lifecycle, job.attempt, endpoint, group);
        }
        let incarnation = self.endpoints.servers[endpoint].incarnation;
        self.schedule(work.finishes_at - now_ms, move |harness| {
            harness.on_job_done(endpoint, incarnation, work.number);
        });
    }

    fn on_job_done(&mut self, endpoint: usize, incarnation: u32, work: u64) {
        let now_ms = self.now();
        let server = &mut self.endpoints.servers[endpoint];
        if server.incarnation != incarnation {
            return;
        }
        // Only faults of the simulator pause an endpoint, so that no job is put off here.
        if let Completion::Finished(job) = server.complete(now_ms, work) {
            self.respond(endpoint, job, AttemptOutcome::Succeeded);
        }
        self.run_jobs(endpoint);
    }

    /// Answers an attempt, with a load report if the environment has them.
    fn respond(&mut self, endpoint: usize, job: Job, outcome: AttemptOutcome) {
        let now_ms = self.now();
        if let Some(request) = self.clients.find(job.request, job.serial) {
            let lifecycle = &mut request.lifecycle;
            self.invariants
                .attempt_ended(now_ms, lifecycle, job.attempt, outcome);
        }
        let Some(connection) = self.endpoints.awaited.remove(&AttemptId::of(&job)) else {
            return;
        };
        let status = if outcome == AttemptOutcome::Succeeded {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let load = self.load_report(now_ms, endpoint);
        let response = format!("HTTP/1.1 {status}\r\n{load}Content-Length: 0\r\n\r\n");
        self.event_loop.send(connection, &response);
    }

    /// The header with an endpoint's load; empty if there is no report.
    fn load_report(&mut self, now_ms: f64, endpoint: usize) -> String {
        let reports = &self.environment.load_reports;
        if !reports.enabled {
            return String::new();
        }
        let server = &mut self.endpoints.servers[endpoint];
        server
            .report_load(now_ms, reports.interval_ms, reports.delay_ms)
            .map_or_else(String::new, |load| {
                let in_flight = load.in_flight;
                let queued = load.queued;
                format!("X-Server-Load: TEXT inflight={in_flight}, queue={queued}\r\n")
            })
    }
}
