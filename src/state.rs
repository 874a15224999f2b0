//! The balancer's records of request classes, tenants, requests, attempts and endpoints.

use crate::moving_average::decay_factor;
use crate::settings::ClassSettings;
use crate::token_bucket::{FractionalTokenBucket, TokenBucket};
use crate::types::{
    AttemptOutcome, ClassId, EndpointId, EndpointState, EndpointStatistics, EndpointUpdate, LoadReport,
    RequestId,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time constant of the throughput average, long enough to bridge short gaps in traffic.
pub(crate) const THROUGHPUT_TIME_CONSTANT_MS: f64 = 4000.0;

/// Identifies an attempt by its request and its index in that request.
pub(crate) type AttemptKey = (RequestId, usize);

pub(crate) struct RequestClass {
    pub(crate) settings: Arc<ClassSettings>,
    /// Moving average of the latency of successful attempts, normalized to an endpoint of average speed.
    pub(crate) mean_latency_ms: f64,
    /// Number of successful attempts in the average.
    pub(crate) successes: f64,
}

pub(crate) struct Tenant {
    /// Requests per millisecond, over all proxies, that keep their full priority.
    pub(crate) quota_per_ms: f64,
    /// The token bucket of this proxy's share of the quota.
    pub(crate) bucket: TokenBucket,
}

/// The start time of an attempt and the latencies that it is compared with.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTiming {
    pub(crate) sent_at_ms: f64,
    /// Mean latency of the request class when the attempt was sent.
    pub(crate) class_latency_ms: f64,
    pub(crate) latency_objective_ms: f64,
    /// Estimated 95th percentile of the latency; a response that takes longer is overdue.
    pub(crate) tail_latency_ms: f64,
}

/// An attempt as recorded in its request.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Where the endpoint was when the attempt was sent. Its record may later describe a process that replaced it.
    pub(crate) sent_to: EndpointLocation,
    pub(crate) timing: AttemptTiming,
    pub(crate) may_have_executed: bool,
    pub(crate) in_flight: bool,
    /// Until when it may be sent; infinite unless another attempt has a deduplication window.
    pub(crate) send_deadline_ms: f64,
}

/// The groups of endpoints that may share a memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointLocation {
    pub(crate) zone: usize,
    pub(crate) pod: usize,
}

/// An attempt without a result yet. It may outlive its request.
pub(crate) struct PendingAttempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) class: ClassId,
    pub(crate) timing: AttemptTiming,
}

/// A request without a final response yet.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: ClassId,
    pub(crate) deadline_ms: f64,
    /// When the request is abandoned because a later response has no value; `f64::MAX` if never.
    pub(crate) abandon_at_ms: f64,
    /// The priority weight relative to the highest of all classes, reduced for a tenant over its quota.
    pub(crate) priority: f64,
    /// A body is being streamed to or from an attempt, so the request can't be retried.
    pub(crate) bound_to_attempt: bool,
    pub(crate) affinity_key: Option<u64>,
    /// The endpoints whose load this request is routed by, chosen for load probes.
    pub(crate) probed: Vec<EndpointId>,
    /// The first attempt waits for a response to one of these probes.
    pub(crate) awaits_probes: bool,
    /// The settings of the request class when the request arrived.
    pub(crate) settings: Arc<ClassSettings>,
    pub(crate) max_attempts: f64,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Records a new attempt and returns its key.
    pub(crate) fn add_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        sent_to: EndpointLocation,
        timing: AttemptTiming,
    ) -> AttemptKey {
        self.attempts.push(Attempt {
            endpoint,
            sent_to,
            timing,
            may_have_executed: true,
            in_flight: true,
            send_deadline_ms: f64::INFINITY,
        });
        (id, self.attempts.len() - 1)
    }

    pub(crate) fn end_attempt(&mut self, number: usize, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[number];
        attempt.in_flight = false;
        attempt.may_have_executed = !outcome.never_executed();
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    pub(crate) fn may_have_executed(&self) -> bool {
        self.possibly_executed().next().is_some()
    }

    /// Attempts whose endpoint may have executed the request.
    pub(crate) fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_executed)
    }

    pub(crate) fn has_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }
}

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) state: EndpointState,
    /// Disabled by an operator.
    pub(crate) disabled: bool,
    pub(crate) stable_hash: u64,
    pub(crate) zone: usize,
    pub(crate) machine_class: usize,
    pub(crate) pod: usize,
    /// Last start time according to the endpoint list.
    pub(crate) started_at_ms: f64,
    /// Upper bound of the true start time, given clock skew.
    pub(crate) latest_start_ms: f64,
    /// End of slow start.
    pub(crate) warm_at_ms: f64,
    pub(crate) report: LoadReport,
    pub(crate) reported_at_ms: f64,
    pub(crate) sent_since_report: f64,
    pub(crate) last_response_at_ms: f64,
    pub(crate) in_flight: BTreeMap<AttemptKey, AttemptTiming>,
    pub(crate) statistics: EndpointStatistics,
    pub(crate) throughput_updated_at_ms: f64,
    pub(crate) limit_decreased_at_ms: f64,
    pub(crate) slow_start_budget: FractionalTokenBucket,
    /// Share of the requests in the last solution of the split.
    pub(crate) share: f64,
    /// Expected latency of a request of mean cost, including time in the queue.
    pub(crate) expected_latency_ms: f64,
}

impl Endpoint {
    pub(crate) fn is_usable(&self) -> bool {
        self.state == EndpointState::Ready && !self.disabled
    }

    pub(crate) fn location(&self) -> EndpointLocation {
        EndpointLocation { zone: self.zone, pod: self.pod }
    }

    /// Throughput of this proxy's requests, in requests of mean cost per millisecond.
    pub(crate) fn throughput(&self, now_ms: f64) -> f64 {
        self.statistics.throughput
            * decay_factor((now_ms - self.throughput_updated_at_ms).max(0.0), THROUGHPUT_TIME_CONSTANT_MS)
    }

    /// The number of this proxy's attempts in flight.
    pub(crate) fn own_in_flight(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Creates a record without state and placement, which [`Endpoint::apply_update`] sets.
    pub(crate) fn new(stable_hash: u64, concurrency_limit: f64, now_ms: f64) -> Self {
        let statistics = EndpointStatistics {
            best_relative_latency: 1.0,
            concurrency_limit,
            ..EndpointStatistics::default()
        };
        Endpoint {
            stable_hash,
            statistics,
            warm_at_ms: f64::NEG_INFINITY,
            reported_at_ms: now_ms,
            last_response_at_ms: now_ms,
            throughput_updated_at_ms: now_ms,
            limit_decreased_at_ms: now_ms,
            slow_start_budget: FractionalTokenBucket::new(now_ms),
            ..Endpoint::default()
        }
    }

    /// Resets the record after the endpoint's process was replaced. Keeps the listed state and placement, the
    /// operator's setting, the attempts in flight and the peak throughput.
    pub(crate) fn replace_process(&mut self, fresh: Endpoint) {
        let old = std::mem::replace(self, fresh);
        self.stable_hash = old.stable_hash;
        self.state = old.state;
        self.disabled = old.disabled;
        self.zone = old.zone;
        self.machine_class = old.machine_class;
        self.pod = old.pod;
        self.in_flight = old.in_flight;
        self.statistics.peak_throughput = old.statistics.peak_throughput;
    }

    pub(crate) fn add_attempt(&mut self, key: AttemptKey, timing: AttemptTiming) {
        self.in_flight.insert(key, timing);
        self.sent_since_report += 1.0;
    }

    pub(crate) fn set_in_flight(&mut self, key: AttemptKey, timing: AttemptTiming, in_flight: bool) {
        if in_flight {
            self.in_flight.insert(key, timing);
        } else {
            self.remove_in_flight(&key);
        }
    }

    pub(crate) fn remove_in_flight(&mut self, key: &AttemptKey) {
        self.in_flight.remove(key);
        // An emptied map keeps its allocated node, which is larger than the rest of the record.
        if self.in_flight.is_empty() {
            self.in_flight = BTreeMap::new();
        }
    }

    /// Multiplies the concurrency limit by a factor below 1; the limit stays at least 1.
    pub(crate) fn decrease_limit(&mut self, factor: f64, now_ms: f64) {
        self.statistics.concurrency_limit = (self.statistics.concurrency_limit * factor).max(1.0);
        self.limit_decreased_at_ms = now_ms;
    }

    /// Stores a load report that doesn't include the last `sent_since` attempts.
    pub(crate) fn update_report(&mut self, report: LoadReport, now_ms: f64, sent_since: f64) {
        self.report = report;
        self.reported_at_ms = now_ms;
        self.sent_since_report = sent_since;
    }

    /// Applies an entry of the endpoint list, except for its start time.
    pub(crate) fn apply_update(&mut self, update: &EndpointUpdate) {
        self.stable_hash = update.stable_hash;
        self.state = update.state;
        self.zone = update.zone;
        self.machine_class = update.machine_class;
        self.pod = update.pod;
    }
}

/// The queueing model of one endpoint, an input of the split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueModel {
    /// Requests at the endpoint from all proxies, waiting and executing.
    pub queue: f64,
    /// Requests served per millisecond.
    pub service_rate: f64,
    /// Time since the queue length was reported.
    pub horizon_ms: f64,
    /// Cost of a request in addition to its latency, as an equivalent in milliseconds.
    pub cost_ms: f64,
    /// The part of `cost_ms` for crossing zones or missing the endpoint preferred by an affinity key.
    pub locality_cost_ms: f64,
    /// Upper bound of the endpoint's share.
    pub max_share: f64,
}

/// What the result of an attempt tells about its endpoint.
pub(crate) struct Observation {
    pub(crate) timing: AttemptTiming,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) duration_ms: f64,
    /// Cancelled at its latency objective because a later response has no value.
    pub(crate) abandoned: bool,
    /// Timed out although the endpoint responded to other attempts meanwhile or reported an empty queue.
    pub(crate) lost: bool,
    /// Overdue while the endpoint's CPU was not busy, as behind a shared lock or a slow reader.
    pub(crate) external_delay: bool,
    /// The endpoint reports an empty queue.
    pub(crate) queue_empty: bool,
    /// Weight of the sample in moving averages.
    pub(crate) weight: f64,
    pub(crate) previous_relative_latency: f64,
    /// The endpoint's limit and the limits of the whole subset are used enough for the limit to grow.
    pub(crate) limit_in_use: bool,
    /// Endpoints report load only when probed.
    pub(crate) load_by_probes: bool,
}

impl Observation {
    pub(crate) fn succeeded(&self) -> bool {
        self.outcome == AttemptOutcome::Succeeded
    }

    pub(crate) fn timed_out(&self) -> bool {
        self.outcome == AttemptOutcome::TimedOut
    }

    /// The latency relative to the mean latency of the request class.
    pub(crate) fn relative_latency(&self) -> f64 {
        self.duration_ms / self.timing.class_latency_ms.max(1.0)
    }
}
