//! The history of one request, as the checker sees it.

use crate::script::{DeduplicationScope, Idempotency, RequestClass};
use crankmux::types::AttemptOutcome;
use std::fmt;

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The response of an endpoint.
    Succeeded,
    /// A rejection: the client may safely retry.
    Rejected,
    /// An error: the request may have been executed.
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

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    /// A proxy received it.
    Received {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy sent an attempt.
    AttemptStarted {
        /// Its number.
        attempt: usize,
        /// Where to.
        endpoint: usize,
    },
    /// An endpoint executed it.
    Executed {
        /// The attempt.
        attempt: usize,
        /// The endpoint.
        endpoint: usize,
    },
    /// An endpoint dropped it as a repeat.
    Deduplicated {
        /// The attempt.
        attempt: usize,
        /// The endpoint.
        endpoint: usize,
    },
    /// A proxy learned how an attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: usize,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The proxy gave its final answer.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// The client left while the request waited.
    ClientLeft,
    /// The proxy died.
    ProxyDied,
}

/// The words of reports, which have been the same since the first version.
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
            RequestEvent::ProxyDied => formatter.write_str("NodeDied"),
        }
    }
}

/// Whether and where a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Anywhere.
    Idempotent,
    /// Repeats are dropped within one group of endpoints for the length of a window.
    Deduplicated {
        /// All endpoints are one group.
        fleet_wide: bool,
    },
    /// Nowhere.
    NotIdempotent,
}

impl RetrySafety {
    /// That of the requests of a class.
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
    /// How it ended, once the proxy knows.
    pub(super) outcome: Option<AttemptOutcome>,
}

impl AttemptHistory {
    pub(super) fn may_have_executed(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_executed)
    }
}

/// One execution that had an effect.
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
    /// The client is gone, or the proxy has died: no answer is owed.
    pub(super) excused: bool,
    /// When the client left while the request waited.
    pub(super) client_left_at: Option<f64>,
    /// An attempt was sent later than the client's departure allows.
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
            excused: false,
            client_left_at: None,
            sent_after_departure: false,
        }
    }

    pub(super) fn record(&mut self, now: f64, event: RequestEvent) {
        self.events.push((now, event));
    }

    /// The events in order, a line each.
    pub(super) fn lines(&self) -> Vec<String> {
        let line = |(at, event): &(f64, RequestEvent)| format!("{at:.3} ms  {event}");
        self.events.iter().map(line).collect()
    }

    /// Why a new attempt in this group could have an effect twice, if it could.
    pub(super) fn unsafe_repeat(&self, now: f64, group: u64) -> Option<&'static str> {
        let mut earlier = self
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed());
        let unsafe_repeat = match self.retry_safety {
            RetrySafety::Idempotent => false,
            RetrySafety::Deduplicated { .. } => earlier.any(|attempt| {
                attempt.group != group || now - attempt.started_at > self.deduplication_window_ms
            }),
            RetrySafety::NotIdempotent => earlier.next().is_some(),
        };
        if !unsafe_repeat {
            return None;
        }
        if self.retry_safety == RetrySafety::NotIdempotent {
            return Some("an at-most-once op that may have run");
        }
        Some("a repeat outside its group or window")
    }

    /// Whether an endpoint of this group drops the request as a repeat.
    pub(super) fn is_repeat(&self, now: f64, group: u64) -> bool {
        matches!(self.retry_safety, RetrySafety::Deduplicated { .. })
            && self.executions.iter().any(|execution| {
                execution.group == group && now - execution.at <= self.deduplication_window_ms
            })
    }

    /// Whether its client may retry it without a second effect.
    pub(super) fn safe_to_reject(&self) -> bool {
        let may_have_executed = self.attempts.iter().any(AttemptHistory::may_have_executed);
        match self.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated { fleet_wide } => fleet_wide || !may_have_executed,
            RetrySafety::NotIdempotent => !may_have_executed,
        }
    }
}
