//! Types shared by the balancer and its callers.
//!
//! Timestamps are milliseconds on the caller's clock; durations are milliseconds.

pub use crate::ids::{ClassId, EndpointId, RequestId, TenantId};

/// The balancer's seeded random number generator.
pub struct SeededRandom(pub oorandom::Rand64);

impl Default for SeededRandom {
    fn default() -> Self {
        SeededRandom(oorandom::Rand64::new(0))
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be executed any number of times.
    Idempotent,
    /// Carries an idempotency key, by which endpoints within a [`DeduplicationScope`] drop duplicates.
    IdempotentWithKey,
    /// Must be executed at most once. The default, as the safest.
    #[default]
    NotIdempotent,
}

/// The set of endpoints within which duplicates of a request with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    Global,
    /// Endpoints in the same zone.
    Zone,
    /// Endpoints in the same pod. The default, as the narrowest.
    #[default]
    Pod,
}

/// The state of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The local index of the endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's identifier, the same in all proxies.
    pub stable_hash: u64,
    /// The endpoint's state.
    pub state: EndpointState,
    /// The index of its zone.
    pub zone: usize,
    /// The index of its machine class.
    pub machine_class: usize,
    /// The index of its pod.
    pub pod: usize,
    /// When the process last started; 0 means long ago.
    pub started_at_ms: f64,
}

/// A request received from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// The request.
    pub request: RequestId,
    /// The request class.
    pub class: ClassId,
    /// The tenant, if the request names one.
    pub tenant: Option<TenantId>,
    /// How long the client waits for a response.
    pub ttl_ms: f64,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// The affinity key, if any: requests with the same key prefer the same endpoints.
    pub affinity_key: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned a successful response.
    Succeeded,
    /// The endpoint returned an error.
    Failed,
    /// The endpoint rejected the request without executing it.
    Rejected,
    /// No response arrived before the timeout.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection was lost while the request was in flight.
    ConnectionLost,
    /// The proxy cancelled it.
    Cancelled,
    /// The proxy cancelled it before the endpoint had the entire request.
    CancelledIncomplete,
    /// The attempt was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the endpoint certainly did not execute the request.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::Unreachable
                | AttemptOutcome::CancelledIncomplete
                | AttemptOutcome::NotSent
        )
    }

    /// Whether the proxy cancelled the attempt.
    pub fn is_cancelled(self) -> bool {
        matches!(self, AttemptOutcome::Cancelled | AttemptOutcome::CancelledIncomplete)
    }
}

/// An endpoint's load report; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting in the endpoint's queue.
    pub queued: Option<f64>,
    /// Requests at the endpoint, waiting and executing.
    pub in_flight: Option<f64>,
    /// Fraction of the endpoint's CPU capacity in use.
    pub cpu_utilization: Option<f64>,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt's number: attempts of a request are numbered from 0 in start order.
    pub attempt: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The attempt's duration.
    pub duration_ms: f64,
    /// Whether the client has received its final response, from this attempt or earlier.
    pub request_closed: bool,
    /// The load report that came with the response.
    pub load: LoadReport,
}

/// What a proxy has learned about an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointStatistics {
    /// Smoothed ratio of attempt latency to the request class's mean; `None` before the first sample.
    pub relative_latency: Option<f64>,
    /// Smoothed minimum of `relative_latency`.
    pub best_relative_latency: f64,
    /// Smoothed fraction of failed attempts.
    pub error_rate: f64,
    /// Smoothed rate of this proxy's successful attempts, in requests of mean cost per millisecond.
    pub throughput: f64,
    /// Highest `throughput` seen, less a margin for sampling error.
    pub peak_throughput: f64,
    /// How many requests of all proxies together may be in flight at the endpoint.
    pub concurrency_limit: f64,
}

/// What a proxy has learned about its request classes and endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Smoothed latency of successful attempts.
    pub mean_latency_ms: f64,
    /// The 95th percentile of attempt latency, as a multiple of the expected latency.
    pub tail_multiple: f64,
    /// Peak of the mean `throughput` of endpoints past slow start; decays slowly.
    pub warm_throughput: f64,
    /// Mean latency and number of successful attempts of each request class.
    pub classes: Vec<(f64, f64)>,
    /// The statistics of each endpoint.
    pub endpoints: Vec<(EndpointId, EndpointStatistics)>,
}

/// Receives the balancer's decisions; implemented by its caller. Calls take effect in order.
pub trait Actions {
    /// Sends the next attempt of a request to an endpoint, with a timeout.
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId, timeout_ms: f64);
    /// Sends a load probe to an endpoint; `Balancer::probe_ended` takes the result, also when it fails.
    fn probe(&mut self, endpoint: EndpointId);
    /// Sets until when an attempt, in flight or about to be started, may be sent: it must be cancelled if the endpoint
    /// does not have the entire request by then. Does nothing by default, for callers that send requests whole at once.
    fn set_send_deadline(&mut self, request: RequestId, attempt: usize, at_ms: f64) {
        let _ = (request, attempt, at_ms);
    }
    /// Cancels an attempt in flight.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Tells the client that the request was rejected and may be retried after a delay.
    fn reject(&mut self, request: RequestId, retry_after_ms: f64);
    /// Tells the client that the request failed and may have been executed.
    fn fail(&mut self, request: RequestId);
    /// Tells that a request has ended that must not be executed again, although it may have been: a later request with its
    /// id must be refused. Does nothing by default, for callers whose clients never repeat an id.
    fn refuse_repeats(&mut self, request: RequestId) {
        let _ = request;
    }
    /// Schedules a call of `Balancer::timer_expired` with this timer.
    fn set_timer(&mut self, at_ms: f64, timer: u64);
    /// Subscribes to changes of the endpoint list.
    fn watch_endpoints(&mut self);
    /// Requests the complete endpoint list once.
    fn poll_endpoints(&mut self);
}
