//! Endpoints: arriving attempts, execution, responses, crashes and replacements.

use super::event_queue::{AttemptRef, EndpointRef, Event, RequestRef};
use super::Environment;
use crate::endpoint::{Completion, Dequeued, Endpoint, Job};
use crate::random::stable_hash;
use crankmux::types::{AttemptOutcome, EndpointState, EndpointUpdate, LoadReport};

/// Time until an endpoint that crashed by overload while cold restarts.
const RESTART_AFTER_OVERLOAD_MS: f64 = 2000.0;
/// Processing time of an attempt that fails immediately.
const FAIL_FAST_MS: f64 = 1.0;
/// Added to the end of a pause, so that jobs complete after it.
const AFTER_PAUSE_MS: f64 = 0.001;

/// Returns the attempt that a job belongs to.
fn attempt_of(job: &Job) -> AttemptRef {
    AttemptRef {
        request: RequestRef {
            index: job.request,
            serial: job.serial,
        },
        number: job.attempt,
    }
}

impl Environment<'_> {
    pub(super) fn attempt_arrives(&mut self, attempt: AttemptRef, endpoint: EndpointRef) {
        let state = &mut self.endpoints[endpoint.index];
        state.attempts_in_transit -= 1;
        let connected = state.up && state.incarnation == endpoint.incarnation;
        let Some(request) = self.request(attempt.request) else {
            return;
        };
        let proxy = request.proxy;
        let path_delay_ms = self.draw_path_delay(
            self.endpoints[endpoint.index].zone,
            self.proxies[proxy].zone,
        );
        if !connected {
            self.mark_released(attempt);
            let outcome = AttemptOutcome::ConnectionLost;
            return self.schedule_attempt_end(path_delay_ms, attempt, outcome);
        }
        if self.attempt_fails_by_fault(attempt, endpoint.index, path_delay_ms) {
            return;
        }
        if self.overloads_cold(attempt, endpoint.index) {
            self.results.endpoints_overloaded += 1;
            // The attempt loses its connection, like those that the endpoint already holds.
            self.mark_released(attempt);
            self.schedule_attempt_end(path_delay_ms, attempt, AttemptOutcome::ConnectionLost);
            self.kill_endpoint(endpoint.index, RESTART_AFTER_OVERLOAD_MS);
            return;
        }
        self.enqueue(attempt, endpoint.index, path_delay_ms);
    }

    /// Applies the faults of an endpoint to an arriving attempt. Returns whether a fault ended the attempt before any
    /// work was done.
    fn attempt_fails_by_fault(
        &mut self,
        attempt: AttemptRef,
        endpoint: usize,
        path_delay_ms: f64,
    ) -> bool {
        let faults = self.endpoints[endpoint].faults;
        if faults.unresponsive {
            self.mark_released(attempt);
            return true;
        }
        if self.random.faults.bernoulli(faults.reset_probability) {
            self.mark_released(attempt);
            self.schedule_attempt_end(path_delay_ms, attempt, AttemptOutcome::ConnectionLost);
            return true;
        }
        if self.random.faults.bernoulli(faults.failure_probability) {
            self.mark_released(attempt);
            let delay_ms = path_delay_ms + FAIL_FAST_MS;
            self.schedule_attempt_end(delay_ms, attempt, AttemptOutcome::Failed);
            return true;
        }
        false
    }

    /// Records the work of an arriving attempt, and returns whether it overloads a cold endpoint.
    fn overloads_cold(&mut self, attempt: AttemptRef, endpoint: usize) -> bool {
        let Some(request) = self.request(attempt.request) else {
            return false;
        };
        let class = request.class;
        let state = &self.endpoints[endpoint];
        let warmth = state.warmth(self.now);
        let capacity =
            warmth * state.machine.speed * state.machine.cores as f64 / self.mean_work_ms;
        let relative_work = self.script.request_classes[class].mean_work_ms / self.mean_work_ms;
        let cold_capacity = (warmth < 1.0).then_some(capacity);
        self.checker
            .overloads_cold_endpoint(self.now, endpoint, relative_work, cold_capacity)
    }

    /// Adds an attempt to the queue of an endpoint, or rejects it.
    fn enqueue(&mut self, attempt: AttemptRef, endpoint: usize, path_delay_ms: f64) {
        let Some(job) = self.new_job(attempt, endpoint) else {
            return;
        };
        if self.endpoints[endpoint].enqueue(self.now, job) {
            return self.start_jobs(endpoint);
        }
        self.mark_released(attempt);
        let load = self.load_report(endpoint);
        let rejected = Event::AttemptEnds {
            attempt,
            outcome: AttemptOutcome::Rejected,
            load,
        };
        self.schedule(path_delay_ms, rejected);
    }

    fn new_job(&mut self, attempt: AttemptRef, endpoint: usize) -> Option<Job> {
        let now = self.now;
        let script = self.script;
        let connect_work_ms = self.endpoints[endpoint].machine.connection_setup_work_ms;
        let request = self.request(attempt.request)?;
        let class = &script.request_classes[request.class];
        let setup_work_ms = if request.attempts[attempt.number].on_new_connection {
            connect_work_ms
        } else {
            0.0
        };
        Some(Job {
            request: attempt.request.index,
            serial: attempt.request.serial,
            attempt: attempt.number,
            work_ms: class.mean_work_ms * request.work_factor + setup_work_ms,
            arrived_at: now,
            deadline: request.deadline,
            key: request.key,
            key_miss_factor: class.key_miss_factor,
        })
    }

    /// Returns the load report that an endpoint attaches to a response.
    fn load_report(&mut self, endpoint: usize) -> LoadReport {
        let settings = &self.script.load_reports;
        if !settings.enabled {
            return LoadReport::default();
        }
        let endpoint = &mut self.endpoints[endpoint];
        let reported = endpoint.report_load(self.now, settings.interval_ms, settings.delay_ms);
        reported.map_or(LoadReport::default(), |load| LoadReport {
            in_flight: Some(load.in_flight),
            queued: Some(load.queued),
            cpu_utilization: None,
        })
    }

    /// Starts queued jobs on free cores.
    fn start_jobs(&mut self, endpoint: usize) {
        let was_degraded = self.endpoints[endpoint].degraded;
        while let Some(dequeued) = self.endpoints[endpoint].start_next(self.now) {
            match dequeued {
                Dequeued::Started(running) => {
                    let finishes = Event::JobFinishes {
                        endpoint: EndpointRef {
                            index: endpoint,
                            incarnation: self.endpoints[endpoint].incarnation,
                        },
                        job_number: running.number,
                    };
                    self.schedule(running.finishes_at - self.now, finishes);
                    self.record_execution(endpoint, &running.job);
                }
                Dequeued::Expired(job) => self.respond(endpoint, &job, AttemptOutcome::Rejected),
            }
        }
        if self.endpoints[endpoint].degraded && !was_degraded {
            self.results.endpoints_degraded += 1;
        }
    }

    /// Reports the execution of a job to the checker.
    fn record_execution(&mut self, endpoint: usize, job: &Job) {
        let Some(request) = self.request(attempt_of(job).request) else {
            return;
        };
        let class = request.class;
        let group = self.deduplication_group(endpoint, class);
        if let Some(request) = self.requests.get_mut(job.request) {
            self.checker.attempt_executed(
                self.now,
                &mut request.history,
                job.attempt,
                endpoint,
                group,
            );
        }
    }

    /// Sends the response of an endpoint to the proxy, unless it is lost.
    fn respond(&mut self, endpoint: usize, job: &Job, outcome: AttemptOutcome) {
        let attempt = attempt_of(job);
        let Some(request) = self.request(attempt.request) else {
            return;
        };
        let proxy = request.proxy;
        let to_zone = self.proxies[proxy].zone;
        self.mark_released(attempt);
        let from_zone = self.endpoints[endpoint].zone;
        let faults = self.endpoints[endpoint].faults;
        if faults.unresponsive
            || self.partitions.responses[from_zone][to_zone]
            || self.random.faults.bernoulli(faults.response_loss)
        {
            return;
        }
        let load = self.load_report(endpoint);
        let path_delay_ms = self.draw_path_delay(from_zone, to_zone);
        let response = Event::AttemptEnds {
            attempt,
            outcome,
            load,
        };
        self.schedule(path_delay_ms, response);
    }

    pub(super) fn job_finishes(&mut self, endpoint: EndpointRef, job_number: u64) {
        let state = &mut self.endpoints[endpoint.index];
        if state.incarnation != endpoint.incarnation {
            return;
        }
        match state.complete(self.now, job_number) {
            Completion::PausedUntil(paused_until) => {
                let finishes = Event::JobFinishes {
                    endpoint,
                    job_number,
                };
                self.schedule(paused_until - self.now + AFTER_PAUSE_MS, finishes);
            }
            Completion::Cancelled => {}
            Completion::Finished(job) => {
                self.respond(endpoint.index, &job, AttemptOutcome::Succeeded);
                self.start_jobs(endpoint.index);
            }
        }
    }

    pub(super) fn cancellation_arrives(&mut self, attempt: AttemptRef, endpoint: EndpointRef) {
        let AttemptRef { request, number } = attempt;
        let state = &mut self.endpoints[endpoint.index];
        if state.incarnation != endpoint.incarnation || !state.up {
            return;
        }
        if state.cancel(self.now, request.index, request.serial, number) {
            self.mark_released(attempt);
        }
        self.start_jobs(endpoint.index);
    }

    /// Terminates an endpoint, which breaks the connections of its jobs. It restarts cold unless `restart_after_ms` is
    /// infinite.
    pub(super) fn kill_endpoint(&mut self, endpoint: usize, restart_after_ms: f64) {
        if !self.endpoints[endpoint].up {
            return;
        }
        for job in self.endpoints[endpoint].crash() {
            let attempt = attempt_of(&job);
            let proxy = self.request(attempt.request).map(|request| request.proxy);
            self.mark_released(attempt);
            let Some(proxy) = proxy else { continue };
            let path_delay_ms =
                self.draw_path_delay(self.endpoints[endpoint].zone, self.proxies[proxy].zone);
            self.schedule_attempt_end(path_delay_ms, attempt, AttemptOutcome::ConnectionLost);
        }
        if restart_after_ms.is_finite() {
            self.schedule(restart_after_ms, Event::EndpointRestarts { endpoint });
        }
    }

    pub(super) fn restart_endpoint(&mut self, endpoint: usize) {
        if !self.endpoint_list.listed[endpoint] {
            return;
        }
        self.endpoints[endpoint].up = true;
        self.endpoints[endpoint].started_at = self.now;
        self.publish(self.endpoint_update(endpoint));
    }

    /// Starts a cold replacement, and drains the old endpoint.
    pub(super) fn replace_endpoint(&mut self, endpoint: usize) {
        if !self.endpoint_list.listed[endpoint] {
            return;
        }
        let old = &self.endpoints[endpoint];
        let successor = self.endpoints.len();
        self.endpoints.push(Endpoint::new(
            &old.machine,
            &self.script.limits,
            stable_hash(&format!("{successor} after {}", old.stable_hash)),
            old.zone,
            old.pod,
            self.now,
        ));
        let list = &mut self.endpoint_list;
        list.listed.push(true);
        list.clock_offsets_ms.push(list.clock_offsets_ms[endpoint]);
        self.apply_faults();
        self.publish(self.endpoint_update(successor));
        self.endpoint_list.listed[endpoint] = false;
        self.publish(EndpointUpdate {
            state: EndpointState::Draining,
            ..self.endpoint_update(endpoint)
        });
        let drain_ms = 1000.0 * self.script.discovery.drain_s;
        self.schedule(drain_ms, Event::EndpointRemoved { endpoint });
    }

    /// Removes a drained endpoint from the list and terminates it.
    pub(super) fn remove_endpoint(&mut self, endpoint: usize) {
        self.publish(self.endpoint_update(endpoint));
        self.kill_endpoint(endpoint, f64::INFINITY);
    }
}
