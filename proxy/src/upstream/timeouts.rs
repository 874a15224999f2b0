//! Connect timeouts, attempt deadlines, and stall timeouts of streamed bodies.

use super::request_state::RequestState;
use crate::downstream::{WriteProgress, SETTLING_MS};
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crankmux::types::{AttemptOutcome, LoadReport};

impl Proxy {
    /// Sets the timer of an attempt, replacing any earlier one.
    pub(crate) fn set_attempt_timer(&mut self, key: UpstreamKey, at: f64) {
        let Some(connection) = self.upstream.connections.get_mut(key) else {
            return;
        };
        self.timers.cancel(connection.timer.take());
        let timeout = move |proxy: &mut Proxy| proxy.upstream_timeout(key);
        connection.timer = Some(self.timers.set(at, timeout));
    }

    /// Handles the timer of an attempt: checks its deadline, or a streamed body for a stall.
    pub(crate) fn upstream_timeout(&mut self, key: UpstreamKey) {
        let Some(connection) = self.upstream.connections.get_mut(key) else {
            return;
        };
        connection.timer = None;
        let is_connected = connection.is_connected();
        let Some(attempt) = connection.attempt() else {
            return;
        };
        let is_streaming_request =
            is_connected && matches!(attempt.request_state, RequestState::Streamed(_));
        if attempt.response_target().is_some() || is_streaming_request {
            return self.check_stall(key);
        }
        let deadline = attempt.deadline;
        if is_connected && self.now() < deadline {
            return self.set_attempt_timer(key, deadline);
        }
        self.attempt_timed_out(key);
    }

    /// Ends an attempt whose endpoint has stalled, or whose request is past its time. Waiting for the client does not
    /// count as a stall: it has its own timeout.
    fn check_stall(&mut self, key: UpstreamKey) {
        let now = self.now();
        self.record_received_request(key);
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let Some(attempt) = connection.attempt_mut() else {
            return;
        };
        let waits_for_client = match attempt.response_target() {
            Some(client) => !self.downstream.has_drained_response(client),
            None => attempt.awaits_request_source(),
        };
        if waits_for_client {
            attempt.last_progress_at = now;
        }
        let stall_deadline = attempt.stall_deadline().min(self.response_deadline);
        if now < stall_deadline {
            match self.next_check(key, now) {
                Some(check_at) => return self.set_attempt_timer(key, check_at.min(stall_deadline)),
                None => return self.request_timed_out(key),
            }
        }
        let idle_ms = now - attempt.last_progress_at;
        log::info!("endpoint {endpoint}: streamed body stalled for {idle_ms:.0} ms");
        self.connection_lost(key);
    }

    /// When to look at a streamed body again before it counts as stalled; none if the request's time may be over: its
    /// client may have written all of it since it was last known to be unfinished, as its machine holds the rest.
    fn next_check(&mut self, key: UpstreamKey, now: f64) -> Option<f64> {
        let attempt = self.upstream.attempt(key)?;
        let client = attempt
            .request_source()
            .filter(|_| !attempt.is_request_received());
        let Some(client) = client else {
            return Some(f64::INFINITY);
        };
        let Some(unfinished_at) = self.downstream.request_unfinished_at(client) else {
            return Some(f64::INFINITY);
        };
        let deadline = attempt.deadline_after(unfinished_at);
        if now < deadline {
            return Some(deadline);
        }
        let deadline_from_now = attempt.deadline_after(now);
        match self
            .downstream
            .write_progress(client, &mut self.buffers, now)
        {
            WriteProgress::Unfinished => Some(deadline_from_now),
            WriteProgress::Unknown => Some(now + SETTLING_MS),
            WriteProgress::MayBeFinished => None,
        }
    }

    /// Ends an attempt whose endpoint has not taken the request in its time.
    fn request_timed_out(&mut self, key: UpstreamKey) {
        let endpoint = self.upstream.connections[key].endpoint;
        log::info!("endpoint {endpoint}: a long request was not taken in its time");
        self.connection_lost(key);
    }

    /// Records when the last byte of a streamed request arrived, if it has: the request's time counts from then.
    fn record_received_request(&mut self, key: UpstreamKey) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return;
        };
        let received_at = attempt
            .request_source()
            .and_then(|client| self.downstream.request_received_at(client, now));
        if let Some(received_at) = received_at {
            attempt.set_request_received_at(received_at);
        }
    }

    fn attempt_timed_out(&mut self, key: UpstreamKey) {
        let connection = &self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let Some(attempt) = connection.attempt() else {
            return;
        };
        // An endpoint cannot have processed a request that it has not received completely.
        let outcome = if attempt.is_written() {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::Unreachable
        };
        if self.upstream.endpoints[endpoint.index()].last_activity_at < attempt.started_at {
            // The machine may be unreachable, so that every idle connection to it would cost an attempt. A new
            // connection is needed to tell.
            self.close_idle_connections(endpoint);
        }
        self.fail_attempt(key, outcome, LoadReport::default());
    }

    /// Handles an endpoint that accepts no more of a streamed request for now. All of the request may have arrived, so the
    /// attempt is checked when its time would be over.
    pub(crate) fn request_write_blocked(&mut self, key: UpstreamKey, client: DownstreamKey) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return;
        };
        let stall_deadline = attempt.stall_deadline();
        let arrived_at = self.downstream.record_arrival(client, now);
        let unfinished_at = self.downstream.request_unfinished_at(client);
        let check_at = arrived_at
            .into_iter()
            .chain(unfinished_at)
            .map(|at| attempt.deadline_after(at))
            .fold(stall_deadline, f64::min);
        self.set_attempt_timer(key, check_at);
    }

    /// Limits all deadlines to `at`. Then streamed responses are ended, and the other attempts' deadlines checked.
    pub fn limit_deadlines(&mut self, at: f64) {
        self.requests.limit_deadlines(at);
        self.timers
            .set(at, move |proxy: &mut Proxy| proxy.expire_attempts(at));
    }

    fn expire_attempts(&mut self, deadline: f64) {
        // A streamed response would be cut off by the exit, and one delimited by the connection close would look
        // complete.
        let streaming = self.upstream.connections.keys_where(|connection| {
            connection
                .attempt()
                .is_some_and(|attempt| attempt.response_target().is_some())
        });
        for key in streaming {
            let outcome = AttemptOutcome::ConnectionLost;
            self.fail_attempt(key, outcome, LoadReport::default());
        }
        let in_flight = self
            .upstream
            .connections
            .keys_where(|connection| connection.attempt().is_some());
        for key in in_flight {
            let Some(connection) = self.upstream.connections.get_mut(key) else {
                continue;
            };
            if let Some(attempt) = connection.attempt_mut() {
                attempt.deadline = attempt.deadline.min(deadline);
            }
            self.timers.cancel(connection.timer.take());
            self.upstream_timeout(key);
        }
    }
}
