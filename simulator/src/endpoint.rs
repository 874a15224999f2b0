//! One endpoint: cores, a bounded queue, slow start, pauses, a cache of keys, and degradation by long waits.

use crate::script::{DeduplicationScope, Degradation, Limits, MachineType};
use std::collections::VecDeque;

/// Load measurements that are kept, at most.
const MAX_LOAD_SAMPLES: usize = 256;

/// One attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The index of its request.
    pub request: usize,
    /// The serial number of its request; indices are used again.
    pub serial: u64,
    /// The number of the attempt.
    pub attempt: usize,
    /// Its work on a core of speed one.
    pub work_ms: f64,
    /// When it arrived.
    pub arrived_at: f64,
    /// When its client stops waiting.
    pub deadline: f64,
    /// What the request is about; 0 for nothing.
    pub key: u64,
    /// Factor on the work where the key is not cached.
    pub key_miss_factor: f64,
}

/// A job on a core.
#[derive(Clone, Copy, Debug)]
pub struct RunningJob {
    /// The job.
    pub job: Job,
    /// When it is done.
    pub finishes_at: f64,
    /// Counts the jobs that were started here.
    pub number: u64,
}

/// What the active faults do to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointFaults {
    /// Work takes so many times as long.
    pub slowdown: f64,
    /// Probability that it answers with an error at once.
    pub failure_probability: f64,
    /// The machine neither receives nor sends.
    pub unresponsive: bool,
    /// Probability that a response is lost.
    pub response_loss: f64,
    /// Probability that a connection is reset under its request.
    pub reset_probability: f64,
    /// How much older load reports are.
    pub report_delay_ms: f64,
    /// Load reports are so many times the true load.
    pub report_factor: f64,
    /// There are no load reports.
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

/// What became of a job when its turn came.
pub enum Dequeued {
    /// A core executes it.
    Started(RunningJob),
    /// Its deadline had passed.
    Expired(Job),
}

/// What a job that was to finish has come to.
#[derive(Clone, Copy, Debug)]
pub enum Completion {
    /// It is done.
    Finished(Job),
    /// It was cancelled before.
    Cancelled,
    /// The endpoint pauses until this time.
    PausedUntil(f64),
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests executed or waiting.
    pub in_flight: f64,
    /// Requests waiting.
    pub queued: f64,
}

/// Load as measured at a time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    measured_at: f64,
    in_flight: usize,
    queued: usize,
}

/// One endpoint.
pub struct Endpoint {
    /// Its machine type.
    pub machine: MachineType,
    /// The number by which all proxies know it.
    pub stable_hash: u64,
    /// The index of its zone.
    pub zone: usize,
    /// The index of its pod.
    pub pod: usize,
    /// Time of its last start; 0 for long ago.
    pub started_at: f64,
    /// Whether its process runs.
    pub up: bool,
    /// Counts its starts: what was sent to an earlier one is lost.
    pub incarnation: u32,
    /// Connections open to it.
    pub connections: usize,
    /// Attempts on their way to it.
    pub attempts_in_transit: usize,
    /// What the active faults do to it.
    pub faults: EndpointFaults,
    /// No core makes progress before this.
    pub paused_until: f64,
    /// A wait that was too long has made it slow.
    pub degraded: bool,
    cold_capacity_fraction: f64,
    slow_start_ms: f64,
    queue: VecDeque<Job>,
    running: Vec<RunningJob>,
    jobs_started: u64,
    lightly_loaded_since: Option<f64>,
    /// Direct-mapped; 0 stands for an empty place.
    cached_keys: Vec<u64>,
    load_samples: VecDeque<LoadSample>,
}

impl Endpoint {
    /// An endpoint that started at a time; 0 for long ago.
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

    /// The number of its group of endpoints, within which repeats of a request are dropped.
    pub fn deduplication_group(&self, scope: DeduplicationScope) -> u64 {
        match scope {
            DeduplicationScope::Fleet => 0,
            DeduplicationScope::Zone => self.zone as u64,
            DeduplicationScope::Pod => self.pod as u64,
        }
    }

    /// Requests executed or waiting.
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Whether it takes no more requests.
    fn is_full(&self) -> bool {
        self.in_flight() >= self.machine.cores + self.machine.queue_capacity
    }

    /// What it can do now, as a fraction of what it does when warm.
    pub fn warmth(&self, now: f64) -> f64 {
        if self.started_at <= 0.0 {
            return 1.0;
        }
        let progress = ((now - self.started_at) / self.slow_start_ms.max(1.0)).clamp(0.0, 1.0);
        self.cold_capacity_fraction + (1.0 - self.cold_capacity_fraction) * progress
    }

    /// Work that a core does a millisecond now.
    pub fn speed(&self, now: f64) -> f64 {
        let degradation = self.machine.degradation.filter(|_| self.degraded);
        let degraded = degradation.map_or(1.0, |degradation| degradation.speed_fraction);
        self.machine.speed * self.warmth(now) * degraded / self.faults.slowdown
    }

    /// Takes a job into the queue; false where that is full, and then the job never runs.
    pub fn enqueue(&mut self, now: f64, job: Job) -> bool {
        self.recover(now);
        if self.is_full() {
            return false;
        }
        self.queue.push_back(job);
        true
    }

    /// Gives a free core the next job.
    pub fn start_next(&mut self, now: f64) -> Option<Dequeued> {
        if self.running.len() >= self.machine.cores {
            return None;
        }
        let job = self.queue.pop_front()?;
        if self.machine.drops_expired && job.deadline <= now {
            return Some(Dequeued::Expired(job));
        }
        self.degrade_after_wait(now - job.arrived_at);
        let key_factor = self.look_up_key(&job);
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

    /// A long wait makes a machine slow that degrades, beyond the end of the waiting.
    fn degrade_after_wait(&mut self, waited_ms: f64) {
        let degrades = |degradation: Degradation| waited_ms > degradation.queue_wait_ms;
        if self.machine.degradation.is_some_and(degrades) {
            self.degraded = true;
            self.lightly_loaded_since = None;
        }
    }

    /// Caches the key of a job. Returns the factor on its work.
    fn look_up_key(&mut self, job: &Job) -> f64 {
        if job.key == 0 {
            return 1.0;
        }
        let place = (job.key % self.cached_keys.len() as u64) as usize;
        let cached = std::mem::replace(&mut self.cached_keys[place], job.key);
        if cached == job.key {
            1.0
        } else {
            job.key_miss_factor
        }
    }

    /// Little load for long enough ends degradation.
    fn recover(&mut self, now: f64) {
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

    /// Completes a running job by its number, unless it was cancelled or the endpoint pauses.
    pub fn complete(&mut self, now: f64, job_number: u64) -> Completion {
        let is_it = |running: &RunningJob| running.number == job_number;
        let Some(place) = self.running.iter().position(is_it) else {
            return Completion::Cancelled;
        };
        if now < self.paused_until {
            return Completion::PausedUntil(self.paused_until);
        }
        let running = self.running.swap_remove(place);
        self.recover(now);
        Completion::Finished(running.job)
    }

    /// Cancels an attempt: true where it will not run here, or has stopped.
    pub fn cancel(&mut self, now: f64, request: usize, serial: u64, attempt: usize) -> bool {
        let is_it =
            |job: &Job| job.request == request && job.serial == serial && job.attempt == attempt;
        if let Some(place) = self.queue.iter().position(is_it) {
            self.queue.remove(place);
            self.recover(now);
            return true;
        }
        if !self.machine.stops_cancelled_work {
            return false;
        }
        let Some(place) = self.running.iter().position(|running| is_it(&running.job)) else {
            return false;
        };
        self.running.swap_remove(place);
        self.recover(now);
        true
    }

    /// The process dies. Returns all that it held: first what waited, then what ran.
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

    /// The load that it reports: the newest measurement that is older than the delay.
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
        // Measurements before the newest that is old enough are not reported any more.
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
