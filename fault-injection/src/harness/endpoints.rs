//! Simulated endpoints: the simulator's endpoint model, run in real time. Each endpoint has one listener per proxy,
//! which identifies the proxy that sends an attempt.

use super::event_loop::Role;
use super::Harness;
use crate::connection::Headers;
use crankmux::types::AttemptOutcome;
use crankmux_simulator::endpoint::{Completion, Dequeued, Endpoint, Job, RunningJob};
use crankmux_simulator::script::Script;
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long an endpoint stays down after an overload during warm-up.
const OVERLOAD_DOWNTIME_MS: f64 = 3000.0;

/// Identifies an attempt by the key and serial of its request and by its index among the request's attempts.
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
    pub(super) instances: Vec<Endpoint>,
    /// Listen addresses, by endpoint, then by proxy.
    pub(super) addresses: Vec<Vec<SocketAddr>>,
    /// The connections of attempts without a response yet.
    connections_by_attempt: BTreeMap<AttemptId, usize>,
    /// The mean work of a request over all classes, in milliseconds on a core of speed 1.
    mean_work_ms: f64,
}

impl Endpoints {
    pub(super) fn new(environment: &Script) -> Self {
        Endpoints {
            instances: Vec::new(),
            addresses: Vec::new(),
            connections_by_attempt: BTreeMap::new(),
            mean_work_ms: environment.mean_work_ms(),
        }
    }
}

impl Harness {
    pub(super) fn add_endpoints(&mut self) {
        for machine in self.environment.machine_types.clone() {
            for _ in 0..machine.count {
                let endpoint = self.endpoints.instances.len();
                let zone = endpoint % self.environment.zones.len();
                let pod = endpoint / machine.pod_size;
                let limits = &self.environment.limits;
                let instance = Endpoint::new(&machine, limits, endpoint as u64, zone, pod, 0.0);
                self.endpoints.instances.push(instance);
                let addresses = (0..self.environment.proxies)
                    .map(|proxy| self.event_loop.listen(Role::Endpoint { endpoint, proxy }))
                    .collect();
                self.endpoints.addresses.push(addresses);
                self.discovery.add_endpoint();
            }
        }
    }

    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.instances.len()
    }

    /// Returns whether listeners of this role accept connections.
    pub(super) fn accepts_connections(&self, role: Role) -> bool {
        match role {
            Role::Endpoint { endpoint, .. } => self.endpoints.instances[endpoint].up,
            Role::Discovery { proxy } => !self.discovery.closed[proxy],
            _ => true,
        }
    }

    /// Replaces an endpoint's process with a new one, which starts cold.
    pub fn restart_endpoint(&mut self, endpoint: usize) {
        for job in self.endpoints.instances[endpoint].crash() {
            self.endpoints
                .connections_by_attempt
                .remove(&AttemptId::of(&job));
        }
        self.close_connections_to(endpoint);
        let now_ms = self.now();
        let instance = &mut self.endpoints.instances[endpoint];
        instance.up = true;
        instance.started_at = now_ms;
        self.list_as_ready(endpoint);
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

    /// Takes an endpoint down after an overload during warm-up, and schedules its restart.
    fn crash(&mut self, endpoint: usize) {
        self.restart_endpoint(endpoint);
        self.endpoints.instances[endpoint].up = false;
        self.schedule(OVERLOAD_DOWNTIME_MS, move |harness| {
            harness.restart_endpoint(endpoint);
        });
    }

    /// Returns an endpoint's deduplication group; the endpoints of a group share their idempotency keys.
    fn deduplication_group(&self, endpoint: usize, class: usize) -> u64 {
        let scope = self.environment.request_classes[class].deduplication_scope;
        self.endpoints.instances[endpoint].deduplication_group(scope)
    }

    /// Handles an attempt that has arrived at an endpoint.
    pub(super) fn on_attempt(
        &mut self,
        connection: usize,
        endpoint: usize,
        proxy: usize,
        headers: &Headers,
    ) {
        let now_ms = self.now();
        let Some(request) = self.request_of(headers) else {
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
            .connections_by_attempt
            .insert(AttemptId::of(&job), connection);
        if self.endpoints.instances[endpoint].enqueue(now_ms, job) {
            self.run_jobs(endpoint);
        } else {
            self.respond(endpoint, job, AttemptOutcome::Rejected);
        }
    }

    /// Returns the request that an attempt's headers identify, if it is still kept.
    fn request_of(&mut self, headers: &Headers) -> Option<usize> {
        let (request, serial) = headers.get("x-request-id")?.split_once('-')?;
        let request = request.parse().ok()?;
        let serial = serial.parse().ok()?;
        self.clients.find(request, serial)?;
        Some(request)
    }

    /// Creates the job for a request's next attempt.
    fn job(&mut self, now_ms: f64, request: usize) -> Job {
        let pending = &self.clients.requests[request];
        let work_ms = self.environment.request_classes[pending.class].mean_work_ms;
        Job {
            request,
            serial: pending.serial,
            attempt: pending.attempts,
            work_ms: work_ms * (0.5 + self.random.random::<f64>()),
            arrived_at: now_ms,
            deadline: pending.deadline_ms,
            key: 0,
            key_miss_factor: 1.0,
        }
    }

    fn check_attempt(&mut self, now_ms: f64, request: usize, endpoint: usize, proxy: usize) {
        let class = self.clients.requests[request].class;
        let group = self.deduplication_group(endpoint, class);
        // Once its disabling is confirmed to the operator, an endpoint counts as draining.
        let draining_since = [
            self.discovery.draining_since(proxy, endpoint),
            self.admin_calls.disabled_since(proxy, endpoint),
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp);
        let pending = &mut self.clients.requests[request];
        pending.attempts += 1;
        let history = &mut pending.history;
        self.invariants
            .attempt_started(now_ms, history, endpoint, group, draining_since);
    }

    /// Returns whether this attempt overloads an endpoint that is warming up.
    fn overloads(&mut self, now_ms: f64, endpoint: usize, request: usize) -> bool {
        let class = self.clients.requests[request].class;
        let mean_work_ms = self.endpoints.mean_work_ms;
        let mean_requests = self.environment.request_classes[class].mean_work_ms / mean_work_ms;
        let instance = &self.endpoints.instances[endpoint];
        let warmth = instance.warmth(now_ms);
        let capacity =
            warmth * instance.machine.speed * instance.machine.cores as f64 / mean_work_ms;
        let warming_up = warmth < 1.0;
        self.invariants.overloads_cold_endpoint(
            now_ms,
            endpoint,
            mean_requests,
            warming_up.then_some(capacity),
        )
    }

    /// Starts queued jobs on an endpoint's free cores.
    fn run_jobs(&mut self, endpoint: usize) {
        let now_ms = self.now();
        while let Some(dequeued) = self.endpoints.instances[endpoint].start_next(now_ms) {
            match dequeued {
                Dequeued::Started(running) => self.on_job_started(now_ms, endpoint, running),
                Dequeued::Expired(job) => self.respond(endpoint, job, AttemptOutcome::Rejected),
            }
        }
    }

    fn on_job_started(&mut self, now_ms: f64, endpoint: usize, running: RunningJob) {
        let job = running.job;
        let class = self
            .clients
            .find(job.request, job.serial)
            .map(|request| request.class);
        if let Some(class) = class {
            let group = self.deduplication_group(endpoint, class);
            let history = &mut self.clients.requests[job.request].history;
            self.invariants
                .attempt_executed(now_ms, history, job.attempt, endpoint, group);
        }
        let incarnation = self.endpoints.instances[endpoint].incarnation;
        self.schedule(running.finishes_at - now_ms, move |harness| {
            harness.on_job_done(endpoint, incarnation, running.number);
        });
    }

    fn on_job_done(&mut self, endpoint: usize, incarnation: u32, job_number: u64) {
        let now_ms = self.now();
        let instance = &mut self.endpoints.instances[endpoint];
        if instance.incarnation != incarnation {
            return;
        }
        // Only simulator faults postpone a job, and the harness injects none of them.
        if let Completion::Finished(job) = instance.complete(now_ms, job_number) {
            self.respond(endpoint, job, AttemptOutcome::Succeeded);
        }
        self.run_jobs(endpoint);
    }

    /// Responds to an attempt, with a load report if the environment enables them.
    fn respond(&mut self, endpoint: usize, job: Job, outcome: AttemptOutcome) {
        let now_ms = self.now();
        if let Some(request) = self.clients.find(job.request, job.serial) {
            let history = &mut request.history;
            self.invariants
                .attempt_ended(now_ms, history, job.attempt, outcome);
        }
        let Some(connection) = self
            .endpoints
            .connections_by_attempt
            .remove(&AttemptId::of(&job))
        else {
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

    /// Returns the header line with an endpoint's load; empty without a report.
    fn load_report(&mut self, now_ms: f64, endpoint: usize) -> String {
        let reports = &self.environment.load_reports;
        if !reports.enabled {
            return String::new();
        }
        let instance = &mut self.endpoints.instances[endpoint];
        instance
            .report_load(now_ms, reports.interval_ms, reports.delay_ms)
            .map_or_else(String::new, |load| {
                let in_flight = load.in_flight;
                let queued = load.queued;
                format!("X-Server-Load: TEXT inflight={in_flight}, queue={queued}\r\n")
            })
    }
}
