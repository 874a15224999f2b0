//! Plain types shared by the decisions and whatever protocol stands before them.
//!
//! Times are milliseconds of the caller's clock, durations milliseconds.

pub use crate::ids::{ClassId, EndpointId, RequestId, TenantId};

/// The seeded random generator of the decisions.
pub struct SeededRandom(pub oorandom::Rand64);

impl Default for SeededRandom {
    fn default() -> Self {
        SeededRandom(oorandom::Rand64::new(0))
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key, by which a group of endpoints drops repeats.
    IdempotentWithKey,
    /// It may be executed once only; the strictest, and so the default.
    #[default]
    NotIdempotent,
}

/// The group of endpoints that drop each other's repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    Global,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one pod; the narrowest, and so the default.
    #[default]
    Pod,
}

/// What the endpoint list says of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not listed any more.
    #[default]
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The local index of the endpoint.
    pub endpoint: EndpointId,
    /// The number by which all proxies know it.
    pub stable_hash: u64,
    /// Its state.
    pub state: EndpointState,
    /// The index of its zone.
    pub zone: usize,
    /// The index of its machine class.
    pub machine_class: usize,
    /// The index of its pod.
    pub pod: usize,
    /// Clock time of its last start; 0 means long ago.
    pub started_at_ms: f64,
}

/// A request that has come in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its index.
    pub request: RequestId,
    /// Its request class.
    pub class: ClassId,
    /// Its tenant, where it names one.
    pub tenant: Option<TenantId>,
    /// How long its client waits for the final answer.
    pub ttl_ms: f64,
    /// The client has tried before.
    pub client_retry: bool,
    /// What it is about, where it says so; requests of one key belong together.
    pub key: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered with success.
    Succeeded,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint rejected it, and never executed it.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost under the request.
    ConnectionLost,
    /// The proxy gave it up.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether it is known that the request was not executed there.
    pub fn never_executed(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
    }
}

/// An endpoint's report of its own load, as far as it gives one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Requests that it has, waiting and executing.
    pub in_flight: Option<f64>,
    /// Share of its cores in use.
    pub cpu_utilization: Option<f64>,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0 in the order of their starts.
    pub attempt: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub duration_ms: f64,
    /// The client has its final answer, by this result or before it.
    pub request_closed: bool,
    /// What the endpoint reported with its answer.
    pub load: LoadReport,
}

/// What a proxy has learned of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointStatistics {
    /// Latency over the usual one, smoothed; none before the first answer.
    pub relative_latency: Option<f64>,
    /// The best of it.
    pub best_relative_latency: f64,
    /// Share of failed attempts, smoothed.
    pub error_rate: f64,
    /// Own work that succeeded, in usual requests a millisecond, smoothed.
    pub throughput: f64,
    /// The most of it.
    pub peak_throughput: f64,
    /// How many requests of all proxies together may be in flight there.
    pub concurrency_limit: f64,
}

/// What a proxy has learned of all endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Smoothed latency of a successful attempt.
    pub mean_latency_ms: f64,
    /// The multiple of the usual latency that most attempts stay under.
    pub tail_multiple: f64,
    /// Own work that a warm endpoint bears in the mean, in usual requests a millisecond.
    pub warm_throughput: f64,
    /// Of each request class: its latency, and how many successes that rests on.
    pub classes: Vec<(f64, f64)>,
    /// The statistics of each endpoint.
    pub endpoints: Vec<(EndpointId, EndpointStatistics)>,
}

/// Where the decisions go. Whoever runs the balancer implements it; calls take effect in their order.
pub trait Actions {
    /// Sends an attempt of a request to an endpoint; it may take so long.
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId, timeout_ms: f64);
    /// Asks an endpoint for its load; the answer, or that there is none, comes by `Balancer::probe_ended`.
    fn probe(&mut self, endpoint: EndpointId);
    /// Cancels an attempt that is in flight.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Answers the client that the request was rejected; it may come back after a time.
    fn reject(&mut self, request: RequestId, retry_after_ms: f64);
    /// Answers the client that the request has failed, and may have been executed.
    fn fail(&mut self, request: RequestId);
    /// Calls `Balancer::timer_expired` with this timer at a time.
    fn set_timer(&mut self, at_ms: f64, timer: u64);
    /// Opens a watch on the endpoint list.
    fn watch_endpoints(&mut self);
    /// Asks for the whole endpoint list once.
    fn poll_endpoints(&mut self);
}
