//! Model of one endpoint: cores, a bounded queue, slow start, pauses, a key cache, and degradation after long waits.

use crate::script::{DeduplicationScope, Degradation, Limits, MachineType};
use std::collections::VecDeque;

/// Maximum number of load samples retained.
const MAX_LOAD_SAMPLES: usize = 256;

/// The work of one attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Serial number of the request, since indices are reused.
    pub serial: u64,
    /// Number of the attempt within the request.
    pub attempt: usize,
    /// Execution time on a core of speed one.
    pub work_ms: f64,
    /// When it arrived at the endpoint.
    pub arrived_at: f64,
    /// Deadline of the request.
    pub deadline: f64,
    /// Key of the request; 0 if it has none.
    pub key: u64,
    /// Multiplies the work if the key is not cached.
    pub key_miss_factor: f64,
}

/// A job that occupies a core.
#[derive(Clone, Copy, Debug)]
pub struct RunningJob {
    /// The job.
    pub job: Job,
    /// Scheduled completion time.
    pub finishes_at: f64,
    /// Sequence number among the jobs started by this endpoint.
    pub number: u64,
}

/// Combined effect of the active faults on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointFaults {
    /// Multiplies execution times.
    pub slowdown: f64,
    /// Probability that an attempt fails immediately.
    pub failure_probability: f64,
    /// The machine neither receives nor sends messages.
    pub unresponsive: bool,
    /// Probability that a response is lost.
    pub response_loss: f64,
    /// Probability that a connection is reset while it carries a request.
    pub reset_probability: f64,
    /// Additional age of load reports.
    pub report_delay_ms: f64,
    /// Multiplies the load in reports.
    pub report_factor: f64,
    /// Load reports are not sent.
    pub reports_missing: bool,
}

impl Default for EndpointFaults {
    fn default() -> Self {
        EndpointFaults {
            slowdown: 1.0,
            failure_probability: 0.0,
            unresponsive: false,
            response_loss: 0.0,
            reset_probability: 0.0,
            report_delay_ms: 0.0,
            report_factor: 1.0,
            reports_missing: false,
        }
    }
}

/// Result of removing a job from the queue.
pub enum Dequeued {
    /// It started on a core.
    Started(RunningJob),
    /// Its deadline had passed.
    Expired(Job),
}

/// State of a job at its scheduled completion time.
#[derive(Clone, Copy, Debug)]
pub enum Completion {
    /// The job has finished.
    Finished(Job),
    /// The job was cancelled earlier.
    Cancelled,
    /// The endpoint is paused until this time.
    PausedUntil(f64),
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests running or queued.
    pub in_flight: f64,
    /// Requests queued.
    pub queued: f64,
}

/// A measurement of the load.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    measured_at: f64,
    in_flight: usize,
    queued: usize,
}

/// State of one endpoint.
pub struct Endpoint {
    /// Its machine type.
    pub machine: MachineType,
    /// Hash that identifies the endpoint at all proxies.
    pub stable_hash: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its pod.
    pub pod: usize,
    /// Time of its last start; 0 if it has been warm since before the run.
    pub started_at: f64,
    /// Whether its process is running.
    pub up: bool,
    /// Incremented by each crash; messages to an earlier incarnation are lost.
    pub incarnation: u32,
    /// Open connections.
    pub connections: usize,
    /// Attempts sent to it that have not arrived yet.
    pub attempts_in_transit: usize,
    /// Combined effect of the active faults.
    pub faults: EndpointFaults,
    /// No job completes before this time.
    pub paused_until: f64,
    /// Whether it runs at reduced speed after a long queue wait.
    pub degraded: bool,
    cold_capacity_fraction: f64,
    slow_start_ms: f64,
    queue: VecDeque<Job>,
    running: Vec<RunningJob>,
    jobs_started: u64,
    lightly_loaded_since: Option<f64>,
    /// Direct-mapped cache; 0 marks an empty slot.
    cached_keys: Vec<u64>,
    load_samples: VecDeque<LoadSample>,
}

impl Endpoint {
    /// Creates an endpoint that started at `started_at`; 0 if it is warm already.
    pub fn new(
        machine: &MachineType,
        limits: &Limits,
        stable_hash: u64,
        zone: usize,
        pod: usize,
        started_at: f64,
    ) -> Self {
        Endpoint {
            machine: machine.clone(),
            stable_hash,
            zone,
            pod,
            started_at,
            up: true,
            incarnation: 0,
            connections: 0,
            attempts_in_transit: 0,
            faults: EndpointFaults::default(),
            paused_until: 0.0,
            degraded: false,
            cold_capacity_fraction: limits.cold_capacity_fraction,
            slow_start_ms: 1000.0 * limits.slow_start_s,
            queue: VecDeque::new(),
            running: Vec::new(),
            jobs_started: 0,
            lightly_loaded_since: Some(f64::NEG_INFINITY),
            cached_keys: vec![0; machine.key_cache_size],
            load_samples: VecDeque::new(),
        }
    }

    /// Returns the group of endpoints within which duplicates of a request are dropped.
    pub fn deduplication_group(&self, scope: DeduplicationScope) -> u64 {
        match scope {
            DeduplicationScope::Fleet => 0,
            DeduplicationScope::Zone => self.zone as u64,
            DeduplicationScope::Pod => self.pod as u64,
        }
    }

    /// Number of requests running or queued.
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Whether all cores and the queue are occupied.
    fn is_full(&self) -> bool {
        self.in_flight() >= self.machine.cores + self.machine.queue_capacity
    }

    /// Current capacity as a fraction of its capacity when warm.
    pub fn warmth(&self, now: f64) -> f64 {
        if self.started_at <= 0.0 {
            return 1.0;
        }
        let progress = ((now - self.started_at) / self.slow_start_ms.max(1.0)).clamp(0.0, 1.0);
        self.cold_capacity_fraction + (1.0 - self.cold_capacity_fraction) * progress
    }

    /// Current speed of one core, relative to a core of speed one.
    pub fn speed(&self, now: f64) -> f64 {
        let degradation = self.machine.degradation.filter(|_| self.degraded);
        let degradation_factor = degradation.map_or(1.0, |degradation| degradation.speed_fraction);
        self.machine.speed * self.warmth(now) * degradation_factor / self.faults.slowdown
    }

    /// Adds a job to the queue. Returns false, and drops the job, if the queue is full.
    pub fn enqueue(&mut self, now: f64, job: Job) -> bool {
        self.update_recovery(now);
        if self.is_full() {
            return false;
        }
        self.queue.push_back(job);
        true
    }

    /// Starts the next queued job if a core is free.
    pub fn start_next(&mut self, now: f64) -> Option<Dequeued> {
        if self.running.len() >= self.machine.cores {
            return None;
        }
        let job = self.queue.pop_front()?;
        if self.machine.drops_expired && job.deadline <= now {
            return Some(Dequeued::Expired(job));
        }
        self.update_degradation(now - job.arrived_at);
        let key_factor = self.key_work_factor(&job);
        let work_ms = job.work_ms * key_factor;
        let finishes_at = now.max(self.paused_until) + work_ms / self.speed(now).max(1e-6);
        self.jobs_started += 1;
        let running = RunningJob {
            job,
            finishes_at,
            number: self.jobs_started,
        };
        self.running.push(running);
        Some(Dequeued::Started(running))
    }

    /// Marks the machine as degraded if a job waited longer than its limit.
    fn update_degradation(&mut self, waited_ms: f64) {
        let degrades = |degradation: Degradation| waited_ms > degradation.queue_wait_ms;
        if self.machine.degradation.is_some_and(degrades) {
            self.degraded = true;
            self.lightly_loaded_since = None;
        }
    }

    /// Looks up the key of a job and caches it. Returns the factor for the job's work.
    fn key_work_factor(&mut self, job: &Job) -> f64 {
        if job.key == 0 {
            return 1.0;
        }
        let slot = (job.key % self.cached_keys.len() as u64) as usize;
        let cached = std::mem::replace(&mut self.cached_keys[slot], job.key);
        if cached == job.key {
            1.0
        } else {
            job.key_miss_factor
        }
    }

    /// Ends degradation once the load has been low for the recovery time.
    fn update_recovery(&mut self, now: f64) {
        let Some(degradation) = self.machine.degradation else {
            return;
        };
        if self.in_flight() as f64 > degradation.recovery_load * self.machine.cores as f64 {
            self.lightly_loaded_since = None;
            return;
        }
        let since = *self.lightly_loaded_since.get_or_insert(now);
        if self.degraded && now - since >= 1000.0 * degradation.recovery_s {
            self.degraded = false;
        }
    }

    /// Completes a running job, unless it was cancelled or the endpoint is paused.
    pub fn complete(&mut self, now: f64, job_number: u64) -> Completion {
        let is_requested = |running: &RunningJob| running.number == job_number;
        let Some(index) = self.running.iter().position(is_requested) else {
            return Completion::Cancelled;
        };
        if now < self.paused_until {
            return Completion::PausedUntil(self.paused_until);
        }
        let running = self.running.swap_remove(index);
        self.update_recovery(now);
        Completion::Finished(running.job)
    }

    /// Cancels an attempt. Returns true if it was removed from the queue or its execution was stopped.
    pub fn cancel(&mut self, now: f64, request: usize, serial: u64, attempt: usize) -> bool {
        let is_requested =
            |job: &Job| job.request == request && job.serial == serial && job.attempt == attempt;
        if let Some(index) = self.queue.iter().position(is_requested) {
            self.queue.remove(index);
            self.update_recovery(now);
            return true;
        }
        if !self.machine.stops_cancelled_work {
            return false;
        }
        let Some(index) = self
            .running
            .iter()
            .position(|running| is_requested(&running.job))
        else {
            return false;
        };
        self.running.swap_remove(index);
        self.update_recovery(now);
        true
    }

    /// Terminates the process. Returns the jobs lost: queued ones first, then running ones.
    pub fn crash(&mut self) -> Vec<Job> {
        self.up = false;
        self.incarnation += 1;
        self.connections = 0;
        self.degraded = false;
        self.lightly_loaded_since = Some(f64::NEG_INFINITY);
        self.cached_keys.fill(0);
        self.load_samples.clear();
        let queued = std::mem::take(&mut self.queue);
        let running = std::mem::take(&mut self.running);
        let running = running.into_iter().map(|running| running.job);
        queued.into_iter().chain(running).collect()
    }

    /// Returns the newest load sample that is at least as old as the report delay.
    pub fn report_load(
        &mut self,
        now: f64,
        interval_ms: f64,
        delay_ms: f64,
    ) -> Option<ReportedLoad> {
        let newest = self.load_samples.back();
        if newest.is_none_or(|sample| now - sample.measured_at >= interval_ms) {
            self.load_samples.push_back(LoadSample {
                measured_at: now,
                in_flight: self.in_flight(),
                queued: self.queue.len(),
            });
        }
        let latest = now - delay_ms - self.faults.report_delay_ms;
        let is_old_enough = |sample: &LoadSample| sample.measured_at <= latest;
        // Samples before the newest one that is old enough will not be reported again.
        while self.load_samples.get(1).is_some_and(is_old_enough)
            || self.load_samples.len() > MAX_LOAD_SAMPLES
        {
            self.load_samples.pop_front();
        }
        let sample = self.load_samples.front()?;
        if !is_old_enough(sample) || self.faults.reports_missing {
            return None;
        }
        Some(ReportedLoad {
            in_flight: sample.in_flight as f64 * self.faults.report_factor,
            queued: sample.queued as f64 * self.faults.report_factor,
        })
    }
}
