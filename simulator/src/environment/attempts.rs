//! Proxy-side attempts: start, timeout, cancellation and outcome.

use super::event_queue::{AttemptRef, EndpointRef, Event, RequestRef};
use super::Environment;
use crate::invariants::Answer;
use crankmux::types::{AttemptOutcome, AttemptResult, LoadReport, RequestId};

/// One attempt of a request at an endpoint.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointRef,
    pub(super) started_at: f64,
    /// Whether it was sent on a new connection.
    pub(super) on_new_connection: bool,
    /// Whether its proxy is waiting for the outcome.
    pub(super) awaited: bool,
    /// Whether its endpoint holds no work for it any longer, or never received it.
    pub(super) released_by_endpoint: bool,
}

impl Environment<'_> {
    /// Marks an attempt for which no endpoint holds work any longer.
    pub(super) fn mark_released(&mut self, attempt: AttemptRef) {
        if let Some(request) = self.request(attempt.request) {
            request.attempts[attempt.number].released_by_endpoint = true;
            self.remove_if_finished(attempt.request.index);
        }
    }

    /// Schedules the delivery of an attempt's outcome to its proxy, without a load report.
    pub(super) fn schedule_attempt_end(
        &mut self,
        delay_ms: f64,
        attempt: AttemptRef,
        outcome: AttemptOutcome,
    ) {
        let load = LoadReport::default();
        let ended = Event::AttemptEnds {
            attempt,
            outcome,
            load,
        };
        self.schedule(delay_ms, ended);
    }

    /// Returns the group of endpoints within which duplicates of a request of this class are dropped.
    pub(super) fn deduplication_group(&self, endpoint: usize, class: usize) -> u64 {
        let scope = self.script.request_classes[class].deduplication_scope;
        self.endpoints[endpoint].deduplication_group(scope)
    }

    /// Sends an attempt on an idle connection if there is one, otherwise on a new connection after its handshake.
    pub(super) fn start_attempt(&mut self, request_index: usize, endpoint: usize, timeout_ms: f64) {
        let Some((attempt, proxy)) = self.record_attempt(request_index, endpoint) else {
            return;
        };
        self.schedule(timeout_ms, Event::AttemptTimesOut { attempt });
        let from_zone = self.proxies[proxy].zone;
        let reachability = self.reachability(from_zone, endpoint);
        let path_delay_ms = self.draw_path_delay(from_zone, self.endpoints[endpoint].zone);
        if self.take_idle_connection(proxy, endpoint) {
            if reachability.requests {
                self.send(path_delay_ms, attempt, endpoint);
            } else {
                self.mark_released(attempt);
            }
            return;
        }
        if !self.open_connection(proxy, endpoint, reachability) {
            // A refused connection takes one round trip; without a response, the connect timeout applies.
            let delay_ms = if reachability.responses {
                2.0 * path_delay_ms
            } else {
                self.script.network.connect_timeout_ms.min(timeout_ms)
            };
            self.mark_released(attempt);
            self.schedule_attempt_end(delay_ms, attempt, AttemptOutcome::Unreachable);
            return;
        }
        if let Some(request) = self.request(attempt.request) {
            request.attempts[attempt.number].on_new_connection = true;
        }
        let delay_ms = path_delay_ms * (1.0 + 2.0 * self.script.network.handshake_round_trips);
        self.send(delay_ms, attempt, endpoint);
    }

    /// Records a new attempt in its request, the checker and the results. Returns the attempt and its proxy.
    fn record_attempt(
        &mut self,
        request_index: usize,
        endpoint: usize,
    ) -> Option<(AttemptRef, usize)> {
        let class = self.requests.get(request_index)?.class;
        let group = self.deduplication_group(endpoint, class);
        let incarnation = self.endpoints[endpoint].incarnation;
        let request = self.requests.get_mut(request_index)?;
        let proxy = request.proxy;
        let draining_since = self.proxies[proxy].draining_since(endpoint);
        self.checker.attempt_started(
            self.now,
            &mut request.history,
            endpoint,
            group,
            draining_since,
        );
        let attempt = AttemptRef {
            request: RequestRef {
                index: request_index,
                serial: request.serial,
            },
            number: request.attempts.len(),
        };
        request.attempts.push(Attempt {
            endpoint: EndpointRef {
                index: endpoint,
                incarnation,
            },
            started_at: self.now,
            on_new_connection: false,
            awaited: true,
            released_by_endpoint: false,
        });
        self.results.attempt_sent(self.elapsed_ms(), endpoint);
        Some((attempt, proxy))
    }

    /// Closes the connection of an attempt. Its endpoint receives the cancellation after the network delay.
    pub(super) fn abort_attempt(&mut self, request_index: usize, number: usize) {
        let Some(request) = self.requests.get(request_index) else {
            return;
        };
        let endpoint = request.attempts[number].endpoint;
        let proxy = request.proxy;
        let attempt = AttemptRef {
            request: RequestRef {
                index: request_index,
                serial: request.serial,
            },
            number,
        };
        self.close_connection(proxy, endpoint);
        let from_zone = self.proxies[proxy].zone;
        let delay_ms = self.draw_path_delay(from_zone, self.endpoints[endpoint.index].zone);
        self.schedule(delay_ms, Event::CancellationArrives { attempt, endpoint });
    }

    /// Cancels an attempt on behalf of a policy.
    pub(super) fn cancel_attempt(&mut self, request_index: usize, number: usize) {
        let Some(request) = self.requests.get_mut(request_index) else {
            return;
        };
        let attempt = &mut request.attempts[number];
        if !std::mem::take(&mut attempt.awaited) {
            return;
        }
        let duration_ms = self.now - attempt.started_at;
        let proxy = request.proxy;
        let outcome = AttemptOutcome::Cancelled;
        self.checker
            .attempt_ended(self.now, &mut request.history, number, outcome);
        self.abort_attempt(request_index, number);
        let result = AttemptResult {
            request: RequestId::new(request_index),
            attempt: number,
            outcome,
            duration_ms,
            request_closed: true,
            load: LoadReport::default(),
        };
        let steps = self.with_policy(proxy, |policy, now, truth| {
            policy.attempt_ended(now, &result, truth)
        });
        self.execute_steps(request_index, steps);
        self.remove_if_finished(request_index);
    }

    /// Handles the timeout of an attempt.
    pub(super) fn attempt_times_out(&mut self, attempt: AttemptRef) {
        self.attempt_ends(attempt, AttemptOutcome::TimedOut, LoadReport::default());
    }

    /// Handles the outcome of an attempt at its proxy.
    pub(super) fn attempt_ends(
        &mut self,
        attempt_ref: AttemptRef,
        outcome: AttemptOutcome,
        load: LoadReport,
    ) {
        let AttemptRef {
            request: request_ref,
            number,
        } = attempt_ref;
        let index = request_ref.index;
        let Some(request) = self.request(request_ref) else {
            return;
        };
        let attempt = &mut request.attempts[number];
        if !std::mem::take(&mut attempt.awaited) {
            return;
        }
        let endpoint = attempt.endpoint;
        let started_at = attempt.started_at;
        let proxy = request.proxy;
        let was_open = request.is_open();
        if let Some(request) = self.requests.get_mut(index) {
            self.checker
                .attempt_ended(self.now, &mut request.history, number, outcome);
        }
        self.release_connection(proxy, endpoint, attempt_ref, outcome);
        let succeeded = outcome == AttemptOutcome::Succeeded;
        if succeeded && was_open {
            self.answer(index, Answer::Succeeded, 0.0);
        }
        let result = AttemptResult {
            request: RequestId::new(index),
            attempt: number,
            outcome,
            duration_ms: self.now - started_at,
            request_closed: !was_open || succeeded,
            load,
        };
        let steps = self.with_policy(proxy, |policy, now, truth| {
            policy.attempt_ended(now, &result, truth)
        });
        if self.request(request_ref).is_some() {
            self.execute_steps(index, steps);
            self.remove_if_finished(index);
        }
        self.handle_policy_needs(proxy);
    }

    /// Returns the connection of an ended attempt to the pool, or closes it.
    fn release_connection(
        &mut self,
        proxy: usize,
        endpoint: EndpointRef,
        attempt: AttemptRef,
        outcome: AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Rejected => {
                let pool = &mut self.proxies[proxy].connections[endpoint.index];
                if pool.incarnation == endpoint.incarnation {
                    pool.release(self.now);
                }
            }
            AttemptOutcome::TimedOut => self.abort_attempt(attempt.request.index, attempt.number),
            AttemptOutcome::ConnectionLost => self.close_connection(proxy, endpoint),
            _ => {}
        }
    }
}
