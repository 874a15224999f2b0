//! What a poll asks for, and how long polls wait.

/// How long a watch is held open by discovery, in milliseconds. Once it is over, an agent that is silent counts
/// as failed, so a short hold detects a silent agent early.
pub const WATCH_HOLD_MS: f64 = 2000.0;
/// How much later than its hold a response may come, in milliseconds. The agent runs on this machine and answers
/// at once.
const RESPONSE_GRACE_MS: f64 = 500.0;
/// How much longer the grace is after a timeout: an agent that is always slow would otherwise never be read.
const GRACE_FACTOR_AFTER_TIMEOUT: f64 = 2.0;
/// The shortest interval between watches that end at once without a change, in milliseconds: it keeps the proxy
/// from spinning, and is well within the 200 ms after which a new watch must begin.
pub const MIN_POLL_INTERVAL_MS: f64 = 50.0;

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// A list was read.
    Succeeded,
    /// The connection or the response was faulty.
    Failed,
    /// There was no response before the deadline.
    TimedOut,
}

/// What a poll asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRequest {
    /// All endpoints.
    CompleteList,
    /// What has changed since a version, answered at once.
    Changes {
        /// The version of the last list applied.
        since: u64,
    },
    /// What has changed since a version, as soon as anything has, or once [`WATCH_HOLD_MS`] is over.
    Watch {
        /// The version of the last list applied.
        since: u64,
    },
}

impl PollRequest {
    /// The next request, after a list of that version was applied, if any was.
    pub fn next(
        sequence_number: Option<u64>,
        first_poll_finished: bool,
        last_outcome: PollOutcome,
    ) -> Self {
        let Some(since) = sequence_number else {
            return PollRequest::CompleteList;
        };
        // At the start only changes since the known list: a rollout in which all proxies ask for complete lists
        // at once would overload discovery. After a failure without a hold: each of several failures in a row
        // would otherwise take a whole hold to show.
        if !first_poll_finished || last_outcome != PollOutcome::Succeeded {
            return PollRequest::Changes { since };
        }
        PollRequest::Watch { since }
    }

    /// The request target.
    pub fn target(self) -> String {
        match self {
            PollRequest::CompleteList => "/catalog/members".to_string(),
            PollRequest::Changes { since } => format!("/catalog/members?from={since}&hold_ms=0"),
            PollRequest::Watch { since } => {
                format!("/catalog/members?from={since}&hold_ms={WATCH_HOLD_MS}")
            }
        }
    }

    /// How long discovery may hold the request, in milliseconds.
    pub fn hold_ms(self) -> f64 {
        match self {
            PollRequest::CompleteList | PollRequest::Changes { .. } => 0.0,
            PollRequest::Watch { .. } => WATCH_HOLD_MS,
        }
    }
}

/// How much later than its hold the response to the next poll may come, in milliseconds.
pub fn response_grace_ms(last_outcome: PollOutcome) -> f64 {
    if last_outcome == PollOutcome::TimedOut {
        GRACE_FACTOR_AFTER_TIMEOUT * RESPONSE_GRACE_MS
    } else {
        RESPONSE_GRACE_MS
    }
}
