//! The requests of discovery polls, and how long to wait for their responses.

/// How long the agent may hold a watch open, in milliseconds. An unresponsive agent is detected only after the hold,
/// so the hold is short.
pub const WATCH_HOLD_MS: f64 = 2000.0;
/// How long to wait for a response after the hold, in milliseconds. The agent runs on the same host and responds
/// immediately.
const RESPONSE_GRACE_MS: f64 = 500.0;
/// Multiplier of the grace after a timeout, so that polls of a consistently slow agent can succeed.
const GRACE_FACTOR_AFTER_TIMEOUT: f64 = 2.0;
/// Minimum interval between polls if the agent responds immediately without a change, in milliseconds. It prevents a
/// busy loop; a new watch must begin within 200 ms.
pub const MIN_POLL_INTERVAL_MS: f64 = 50.0;

/// The outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// An endpoint list was received.
    Succeeded,
    /// The connection failed or the response was invalid.
    Failed,
    /// The deadline passed without a complete response.
    TimedOut,
}

/// The request of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRequest {
    /// All endpoints.
    CompleteList,
    /// Changes since a version, without a hold.
    Changes {
        /// The version of the last list applied.
        since: u64,
    },
    /// Changes since a version, held until there is one or [`WATCH_HOLD_MS`] has passed.
    Watch {
        /// The version of the last list applied.
        since: u64,
    },
}

impl PollRequest {
    /// The next request, given the version of the last list applied.
    pub fn next(
        sequence_number: Option<u64>,
        first_poll_finished: bool,
        last_outcome: PollOutcome,
    ) -> Self {
        let Some(since) = sequence_number else {
            return PollRequest::CompleteList;
        };
        // The first poll requests changes since the known list, because complete lists for all proxies of a rollout
        // would overload discovery. After a failure there is no hold, so that a further failure is detected without
        // waiting for it.
        if !first_poll_finished || last_outcome != PollOutcome::Succeeded {
            return PollRequest::Changes { since };
        }
        PollRequest::Watch { since }
    }

    /// The HTTP request target.
    pub fn target(self) -> String {
        match self {
            PollRequest::CompleteList => "/catalog/members".to_string(),
            PollRequest::Changes { since } => format!("/catalog/members?from={since}&hold_ms=0"),
            PollRequest::Watch { since } => {
                format!("/catalog/members?from={since}&hold_ms={WATCH_HOLD_MS}")
            }
        }
    }

    /// How long the agent may hold the request, in milliseconds.
    pub fn hold_ms(self) -> f64 {
        match self {
            PollRequest::CompleteList | PollRequest::Changes { .. } => 0.0,
            PollRequest::Watch { .. } => WATCH_HOLD_MS,
        }
    }
}

/// The longest lateness of responses that is waited for, in milliseconds. A silent watch must be noticed, and the change
/// that it missed asked for, within the 6 s in which changes have to be heard.
const MAX_LATENESS_MS: f64 = 2500.0;
/// How much later than the last response the next one may be.
const LATENESS_FACTOR: f64 = 2.0;
/// How much longer the next response is waited for after one that did not come.
const TIMEOUT_FACTOR: f64 = 1.6;

/// How late the agent responds, learned from its last responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentLateness {
    expected_ms: f64,
}

impl AgentLateness {
    /// How long to wait for the response to the next poll after its hold, in milliseconds.
    pub fn grace_ms(self, last_outcome: PollOutcome) -> f64 {
        response_grace_ms(last_outcome).max(self.expected_ms)
    }

    /// Records a response. One within the hold came when there was a change, and tells nothing.
    pub fn record_response(&mut self, request: PollRequest, duration_ms: f64) {
        let late_ms = duration_ms - request.hold_ms();
        if late_ms >= 0.0 {
            self.expect(LATENESS_FACTOR * late_ms);
        }
    }

    /// Records that no response came within a grace.
    pub fn record_timeout(&mut self, grace_ms: f64) {
        self.expect(TIMEOUT_FACTOR * grace_ms);
    }

    fn expect(&mut self, late_ms: f64) {
        self.expected_ms = late_ms.min(MAX_LATENESS_MS);
    }
}

/// How long to wait for the response of an agent that is not known to be late, after its hold, in milliseconds.
pub fn response_grace_ms(last_outcome: PollOutcome) -> f64 {
    if last_outcome == PollOutcome::TimedOut {
        GRACE_FACTOR_AFTER_TIMEOUT * RESPONSE_GRACE_MS
    } else {
        RESPONSE_GRACE_MS
    }
}
