//! Timeouts: of connecting, of an attempt, and of a streamed body that stands still.

use super::request_state::RequestState;
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crankmux::types::{AttemptOutcome, LoadReport};

impl Proxy {
    /// Looks at an attempt again at a time, in place of any time set before.
    pub(super) fn set_attempt_timer(&mut self, key: UpstreamKey, at: f64) {
        let Some(connection) = self.upstream.connections.get_mut(key) else {
            return;
        };
        self.timers.cancel(connection.timer.take());
        let timeout = move |proxy: &mut Proxy| proxy.upstream_timeout(key);
        connection.timer = Some(self.timers.set(at, timeout));
    }

    /// An attempt may have run out of time, or its streamed body may have stood still for too long.
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

    /// Ends an attempt whose endpoint neither takes nor gives anything. Whose turn it is tells who stalls; a client
    /// has a timeout of its own.
    fn check_stall(&mut self, key: UpstreamKey) {
        let now = self.now();
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let Some(attempt) = connection.attempt_mut() else {
            return;
        };
        let is_clients_turn = match attempt.response_target() {
            Some(client) => !self.downstream.has_drained_response(client),
            None => attempt.awaits_request_source(),
        };
        if is_clients_turn {
            attempt.last_progress_at = now;
        }
        let stalls_at = attempt.stalls_at();
        if now < stalls_at {
            return self.set_attempt_timer(key, stalls_at);
        }
        let idle_ms = now - attempt.last_progress_at;
        log::info!("endpoint {endpoint}: nothing has moved for {idle_ms:.0} ms");
        self.connection_lost(key);
    }

    fn attempt_timed_out(&mut self, key: UpstreamKey) {
        let connection = &self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let Some(attempt) = connection.attempt() else {
            return;
        };
        // Before its last byte is written it cannot have run.
        let outcome = if attempt.is_written() {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::Unreachable
        };
        if self.upstream.endpoints[endpoint.index()].last_heard_at < attempt.started_at {
            // A machine that is cut off says nothing, and each idle connection to it would swallow an attempt. A
            // new connection shows at once whether it is there.
            self.close_idle_connections(endpoint);
        }
        self.fail_attempt(key, outcome, LoadReport::default());
    }

    /// The endpoint takes no more of a streamed request for now. Where the rest of the request lies here, its time
    /// runs.
    pub(crate) fn endpoint_takes_no_more(&mut self, key: UpstreamKey, client: DownstreamKey) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return;
        };
        let RequestState::Streamed(streamed) = &mut attempt.request_state else {
            return;
        };
        if streamed.rest_received_at.is_some() || !self.downstream.whole_request_received(client) {
            return;
        }
        streamed.rest_received_at = Some(now);
        let stalls_at = attempt.stalls_at();
        self.set_attempt_timer(key, stalls_at);
    }

    /// Limits all deadlines: attempts that are in flight at that time end then.
    pub fn end_requests(&mut self, at: f64) {
        self.requests.limit_deadlines(at);
        self.timers
            .set(at, move |proxy: &mut Proxy| proxy.end_attempts(at));
    }

    fn end_attempts(&mut self, deadline: f64) {
        // A response that is being streamed would outlast the process, and end as if it were whole where only the
        // connection's end delimits it.
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
