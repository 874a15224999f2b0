//! The records that the decisions keep of request classes, tenants, requests, attempts and endpoints.

use crate::moving_average::decay;
use crate::settings::ClassSettings;
use crate::token_bucket::{EvenTokenBucket, TokenBucket};
use crate::types::{
    AttemptOutcome, ClassId, EndpointId, EndpointState, EndpointStatistics, EndpointUpdate, LoadReport,
    RequestId,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What an endpoint bears is smoothed over a few seconds, so that a lull does not empty it.
pub(crate) const THROUGHPUT_OVER_MS: f64 = 4000.0;

/// An attempt by its request and its number.
pub(crate) type AttemptKey = (RequestId, usize);

/// A request class.
pub(crate) struct RequestClass {
    pub(crate) settings: Arc<ClassSettings>,
    /// Smoothed latency of a successful attempt on an endpoint of ordinary speed.
    pub(crate) mean_latency_ms: f64,
    /// How many successes that rests on.
    pub(crate) successes: f64,
}

/// A tenant.
pub(crate) struct Tenant {
    /// Requests a millisecond that all proxies take at full weight.
    pub(crate) quota_per_ms: f64,
    /// What this proxy has left of its part.
    pub(crate) budget: TokenBucket,
}

/// What an attempt is measured against.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTiming {
    pub(crate) sent_at_ms: f64,
    /// The mean latency of its request class when it was sent.
    pub(crate) usual_latency_ms: f64,
    pub(crate) latency_objective_ms: f64,
    /// After this an answer is overdue: nineteen of twenty come sooner.
    pub(crate) overdue_after_ms: f64,
}

/// An attempt, as its request knows it.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) timing: AttemptTiming,
    pub(crate) may_have_run: bool,
    pub(crate) in_flight: bool,
}

/// An attempt whose result is still to come; its request may be closed before.
pub(crate) struct PendingAttempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) class: ClassId,
    pub(crate) timing: AttemptTiming,
}

/// A request that has no final answer yet.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: ClassId,
    pub(crate) deadline_ms: f64,
    /// After this an answer is worth nothing, and holds what others need; `f64::MAX` where it never is.
    pub(crate) worthless_at_ms: f64,
    /// Its priority weight over the highest of all classes.
    pub(crate) priority: f64,
    /// A long body is streamed to or from an attempt: no other can follow.
    pub(crate) bound_to_attempt: bool,
    pub(crate) key: Option<u64>,
    /// The endpoints whose load it goes by, and whether it still waits for one of them.
    pub(crate) probed: Vec<EndpointId>,
    pub(crate) awaits_probes: bool,
    /// The settings of its class as they stood when it came.
    pub(crate) terms: Arc<ClassSettings>,
    pub(crate) max_attempts: f64,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Adds an attempt, and gives its key.
    pub(crate) fn add_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timing: AttemptTiming,
    ) -> AttemptKey {
        self.attempts.push(Attempt { endpoint, timing, may_have_run: true, in_flight: true });
        (id, self.attempts.len() - 1)
    }

    pub(crate) fn end_attempt(&mut self, number: usize, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[number];
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_executed();
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether any attempt may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.executed().next().is_some()
    }

    /// The attempts that may have executed the request.
    pub(crate) fn executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt went to this endpoint.
    pub(crate) fn has_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }
}

/// An endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) state: EndpointState,
    /// An operator took it out.
    pub(crate) disabled: bool,
    pub(crate) stable_hash: u64,
    pub(crate) zone: usize,
    pub(crate) machine_class: usize,
    pub(crate) pod: usize,
    /// Its last start as listed, and the latest at which that may truly have been.
    pub(crate) started_at_ms: f64,
    pub(crate) latest_start_ms: f64,
    /// When its slow start ends.
    pub(crate) warm_at_ms: f64,
    pub(crate) report: LoadReport,
    pub(crate) reported_at_ms: f64,
    pub(crate) sent_since_report: f64,
    pub(crate) last_answer_at_ms: f64,
    pub(crate) in_flight: BTreeMap<AttemptKey, AttemptTiming>,
    pub(crate) statistics: EndpointStatistics,
    pub(crate) throughput_at_ms: f64,
    pub(crate) limit_cut_at_ms: f64,
    pub(crate) slow_start_budget: EvenTokenBucket,
    /// Its share of the split, and the time that a request is expected to take there.
    pub(crate) share: f64,
    pub(crate) expected_time_ms: f64,
}

impl Endpoint {
    pub(crate) fn is_usable(&self) -> bool {
        self.state == EndpointState::Ready && !self.disabled
    }

    /// What it bears of this proxy's requests, in usual requests a millisecond.
    pub(crate) fn throughput(&self, now_ms: f64) -> f64 {
        self.statistics.throughput * decay((now_ms - self.throughput_at_ms).max(0.0), THROUGHPUT_OVER_MS)
    }

    /// Own attempts in flight there.
    pub(crate) fn own_in_flight(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// A record as of now, of which all else has still to be set.
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
            last_answer_at_ms: now_ms,
            throughput_at_ms: now_ms,
            limit_cut_at_ms: now_ms,
            slow_start_budget: EvenTokenBucket::new(now_ms),
            ..Endpoint::default()
        }
    }

    /// Puts a fresh record in the place of this one, which stands for a new process under the old name: what
    /// the list and operators say of it, what is in flight there and the most that it bore remain.
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

    /// Counts an attempt as in flight there, or no longer.
    pub(crate) fn set_in_flight(&mut self, key: AttemptKey, timing: AttemptTiming, in_flight: bool) {
        if in_flight {
            self.in_flight.insert(key, timing);
        } else {
            self.remove_in_flight(&key);
        }
    }

    /// An attempt is in flight there no longer.
    pub(crate) fn remove_in_flight(&mut self, key: &AttemptKey) {
        self.in_flight.remove(key);
        // An empty map keeps a node for eleven attempts, which is more than the rest of the record.
        if self.in_flight.is_empty() {
            self.in_flight = BTreeMap::new();
        }
    }

    /// Cuts its limit by a factor, to one at least.
    pub(crate) fn cut_limit(&mut self, factor: f64, now_ms: f64) {
        self.statistics.concurrency_limit = (self.statistics.concurrency_limit * factor).max(1.0);
        self.limit_cut_at_ms = now_ms;
    }

    /// Takes over a load report, since which so many attempts were sent there.
    pub(crate) fn take_report(&mut self, report: LoadReport, now_ms: f64, sent_since: f64) {
        self.report = report;
        self.reported_at_ms = now_ms;
        self.sent_since_report = sent_since;
    }

    /// Takes over what the endpoint list says of it, but for its start.
    pub(crate) fn apply(&mut self, update: &EndpointUpdate) {
        self.stable_hash = update.stable_hash;
        self.state = update.state;
        self.zone = update.zone;
        self.machine_class = update.machine_class;
        self.pod = update.pod;
    }
}

/// What the split knows of one endpoint: the paper's queue, service rate, horizon and cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueModel {
    /// Requests that it holds for all proxies.
    pub queue: f64,
    /// Requests that it serves a millisecond.
    pub service_rate: f64,
    /// How long the queue has been filling since it was reported.
    pub horizon_ms: f64,
    /// What a request costs there beside its time, in milliseconds.
    pub cost_ms: f64,
    /// What of that cost is for the way to another place.
    pub distance_cost_ms: f64,
    /// The largest share that it may have.
    pub max_share: f64,
}

/// What the result of an attempt says of its endpoint.
pub(crate) struct Evidence {
    pub(crate) timing: AttemptTiming,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) duration_ms: f64,
    /// It was ended at its latency objective, as a later answer is worth nothing.
    pub(crate) abandoned: bool,
    /// It was lost on the way: the endpoint was heard meanwhile, or had nothing to do.
    pub(crate) lost: bool,
    /// The endpoint's cores were free: what took long was a lock behind all endpoints, or a slow reader.
    pub(crate) delayed_elsewhere: bool,
    /// By its own report nothing waits at the endpoint.
    pub(crate) idle: bool,
    /// How much the new counts in averages.
    pub(crate) weight: f64,
    pub(crate) relative_latency_before: f64,
    /// The endpoint's limit is in use, and so are those of all endpoints together.
    pub(crate) limit_in_use: bool,
    /// Load is reported to probes.
    pub(crate) load_by_probes: bool,
}

impl Evidence {
    pub(crate) fn succeeded(&self) -> bool {
        self.outcome == AttemptOutcome::Succeeded
    }

    pub(crate) fn timed_out(&self) -> bool {
        self.outcome == AttemptOutcome::TimedOut
    }

    /// The latency over the usual one of its class.
    pub(crate) fn relative_latency(&self) -> f64 {
        self.duration_ms / self.timing.usual_latency_ms.max(1.0)
    }
}
