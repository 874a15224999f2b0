//! The history of one request, as recorded by the checker.

use crate::script::{DeduplicationScope, Idempotency, RequestClass};
use crankmux::types::AttemptOutcome;
use std::fmt;

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// An endpoint's response.
    Succeeded,
    /// Rejected: the client may safely retry.
    Rejected,
    /// Failed: the request may have been executed.
    Failed,
}

impl fmt::Display for Answer {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Answer::Succeeded => "Acked",
            Answer::Rejected => "Nacked",
            Answer::Failed => "DeadLettered",
        })
    }
}

/// An event in the history of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    /// A proxy received it.
    Received {
        /// Index of the proxy.
        proxy: usize,
    },
    /// A proxy sent an attempt.
    AttemptStarted {
        /// Number of the attempt.
        attempt: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// An endpoint started to execute it.
    Executed {
        /// Number of the attempt.
        attempt: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// An endpoint dropped it as a duplicate.
    Deduplicated {
        /// Number of the attempt.
        attempt: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// A proxy learned the outcome of an attempt.
    AttemptEnded {
        /// Number of the attempt.
        attempt: usize,
        /// The outcome.
        outcome: AttemptOutcome,
    },
    /// A proxy gave the final answer.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// The client disconnected before the final answer.
    ClientLeft,
    /// The proxy crashed.
    ProxyCrashed,
}

/// The format of stored reports, which uses earlier names of these events.
impl fmt::Display for RequestEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RequestEvent::Received { proxy } => write!(formatter, "Taken {{ node: {proxy} }}"),
            RequestEvent::AttemptStarted { attempt, endpoint } => {
                write!(
                    formatter,
                    "Pushed {{ push: {attempt}, server: {endpoint} }}"
                )
            }
            RequestEvent::Executed { attempt, endpoint } => {
                write!(formatter, "Ran {{ push: {attempt}, server: {endpoint} }}")
            }
            RequestEvent::Deduplicated { attempt, endpoint } => {
                write!(
                    formatter,
                    "Dropped {{ push: {attempt}, server: {endpoint} }}"
                )
            }
            RequestEvent::AttemptEnded { attempt, outcome } => {
                write!(
                    formatter,
                    "Ended {{ push: {attempt}, ending: {outcome:?} }}"
                )
            }
            RequestEvent::Answered { answer } => {
                write!(formatter, "Answered {{ answer: {answer} }}")
            }
            RequestEvent::ClientLeft => formatter.write_str("ClientLeft"),
            RequestEvent::ProxyCrashed => formatter.write_str("NodeDied"),
        }
    }
}

/// How far it is safe to execute a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Repeated execution is harmless.
    Idempotent,
    /// Duplicates are dropped within a group of endpoints and a time window.
    Deduplicated {
        /// Whether all endpoints form one group.
        fleet_wide: bool,
    },
    /// It must be executed at most once.
    NotIdempotent,
}

impl RetrySafety {
    /// Returns the retry safety of a request class.
    pub fn of(class: &RequestClass) -> Self {
        match class.idempotency {
            Idempotency::Idempotent => RetrySafety::Idempotent,
            Idempotency::IdempotentWithKey => RetrySafety::Deduplicated {
                fleet_wide: class.deduplication_scope == DeduplicationScope::Fleet,
            },
            Idempotency::NotIdempotent => RetrySafety::NotIdempotent,
        }
    }
}

/// One attempt of a request.
pub(super) struct AttemptHistory {
    /// The endpoint's deduplication group.
    pub(super) group: u64,
    pub(super) started_at: f64,
    /// The outcome, once the proxy has learned it.
    pub(super) outcome: Option<AttemptOutcome>,
}

impl AttemptHistory {
    pub(super) fn may_have_executed(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_executed)
    }
}

/// One execution that was not dropped as a duplicate.
pub(super) struct Execution {
    pub(super) at: f64,
    /// The endpoint's deduplication group.
    pub(super) group: u64,
}

/// The history of one request.
pub struct RequestHistory {
    pub(super) retry_safety: RetrySafety,
    pub(super) deduplication_window_ms: f64,
    pub(super) deadline: f64,
    pub(super) events: Vec<(f64, RequestEvent)>,
    pub(super) attempts: Vec<AttemptHistory>,
    pub(super) executions: Vec<Execution>,
    pub(super) answered: bool,
    /// The client has left or the proxy has crashed, so that no answer is required.
    pub(super) answer_not_required: bool,
    /// When the client left before the final answer.
    pub(super) client_left_at: Option<f64>,
    /// Whether an attempt was sent after the grace period that follows the client's departure.
    pub(super) sent_after_departure: bool,
}

impl RequestHistory {
    pub(super) fn new(
        now: f64,
        proxy: usize,
        retry_safety: RetrySafety,
        deduplication_window_ms: f64,
        deadline: f64,
    ) -> Self {
        RequestHistory {
            retry_safety,
            deduplication_window_ms,
            deadline,
            events: vec![(now, RequestEvent::Received { proxy })],
            attempts: Vec::new(),
            executions: Vec::new(),
            answered: false,
            answer_not_required: false,
            client_left_at: None,
            sent_after_departure: false,
        }
    }

    pub(super) fn record(&mut self, now: f64, event: RequestEvent) {
        self.events.push((now, event));
    }

    /// The events in order, one per line.
    pub(super) fn lines(&self) -> Vec<String> {
        let line = |(at, event): &(f64, RequestEvent)| format!("{at:.3} ms  {event}");
        self.events.iter().map(line).collect()
    }

    /// Returns why a new attempt in this deduplication group could duplicate the request's effect, if it could.
    pub(super) fn unsafe_retry_reason(&self, now: f64, group: u64) -> Option<&'static str> {
        let mut earlier = self
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed());
        let is_unsafe = match self.retry_safety {
            RetrySafety::Idempotent => false,
            RetrySafety::Deduplicated { .. } => earlier.any(|attempt| {
                attempt.group != group || now - attempt.started_at > self.deduplication_window_ms
            }),
            RetrySafety::NotIdempotent => earlier.next().is_some(),
        };
        if !is_unsafe {
            return None;
        }
        if self.retry_safety == RetrySafety::NotIdempotent {
            return Some("an at-most-once op that may have run");
        }
        Some("a repeat outside its group or window")
    }

    /// Whether an endpoint of this group drops the request as a duplicate.
    pub(super) fn is_duplicate(&self, now: f64, group: u64) -> bool {
        matches!(self.retry_safety, RetrySafety::Deduplicated { .. })
            && self.executions.iter().any(|execution| {
                execution.group == group && now - execution.at <= self.deduplication_window_ms
            })
    }

    /// Whether the client can retry the request without a duplicate effect.
    pub(super) fn safe_to_reject(&self) -> bool {
        let may_have_executed = self.attempts.iter().any(AttemptHistory::may_have_executed);
        match self.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated { fleet_wide } => fleet_wide || !may_have_executed,
            RetrySafety::NotIdempotent => !may_have_executed,
        }
    }
}
