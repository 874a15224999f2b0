//! Updates the estimates of latency, error rate, throughput and concurrency limit from attempt results.

use super::endpoint_list::INITIAL_CONCURRENCY_LIMIT;
use super::Balancer;
use crate::moving_average::{decay_factor, decay_towards, mean, smooth, update_minimum, update_p95};
use crate::state::{Endpoint, Observation, PendingAttempt, THROUGHPUT_TIME_CONSTANT_MS};
use crate::types::{AttemptOutcome, AttemptResult, ClassId, EndpointId, LoadReport};

pub(super) const INITIAL_LATENCY_FRACTION: f64 = 0.25; // of the latency objective, a few times the usual latency
pub(super) const INITIAL_TAIL_MULTIPLE: f64 = 2.0;
const TAIL_MULTIPLE_BOUNDS: (f64, f64) = (1.5, 8.0);
const TAIL_MULTIPLE_STEP: f64 = 0.05; // as a fraction of the multiple
const WARM_THROUGHPUT_TIME_CONSTANT_MS: f64 = 60_000.0;
const MIN_WEIGHT: f64 = 0.1; // about ten attempts: follows a slowed endpoint, evens out heavy requests
const MAX_WEIGHT: f64 = 0.5; // after a pause
const FULL_WEIGHT_AFTER_MS: f64 = 2000.0; // the weight is the time since the last response divided by this
const MIN_CLASS_WEIGHT: f64 = 0.002;
const BEST_LATENCY_WEIGHT: f64 = 0.005;
const MAX_SAMPLE_RATIO: f64 = 10.0; // to the average
const LIMIT_GROWTH_UTILIZATION: f64 = 0.6; // of the subset; limits grow only above this
const LIMIT_GROWTH_SHARE: f64 = 0.5; // of this proxy's share of a limit, which may be below one attempt
const MAX_CONCURRENCY_LIMIT: f64 = 1000.0;
const SMALL_DECREASE: f64 = 0.9;
const LARGE_DECREASE: f64 = 0.7;
const MAX_SLOWDOWN: f64 = 3.0; // relative to the endpoint's best latency; above it the limit is decreased
const STALE_AFTER_MS: f64 = 1000.0;
const MAX_QUEUE_REPORT_AGE_MS: f64 = 5000.0;
const MAX_CPU_REPORT_AGE_MS: f64 = 2000.0;
const FREE_CPU_UTILIZATION: f64 = 0.75; // below this the CPU is not held to cause a delay

impl Balancer {
    /// Stores a load report unless it repeats the last one, as endpoints do until they refresh it.
    pub(super) fn update_report(&mut self, endpoint: EndpointId, report: LoadReport) {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint) else { return };
        if report != LoadReport::default() && report != endpoint.report {
            endpoint.update_report(report, self.now_ms, 0.0);
        }
    }

    /// Updates the statistics. The attempt must still count as in flight, as it used a part of the limit.
    pub(super) fn learn(&mut self, attempt: &PendingAttempt, result: &AttemptResult) {
        let Some(observation) = self.observe(attempt, result) else { return };
        if observation.succeeded() {
            self.learn_latency(attempt.class, &observation);
        }
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.learn_errors(&observation, self.now_ms);
        endpoint.learn_relative_latency(&observation);
        if observation.succeeded() {
            let work = observation.timing.class_latency_ms / self.mean_latency_ms.max(1.0);
            endpoint.learn_throughput(work, self.now_ms);
        }
        endpoint.adjust_limit(&observation, self.now_ms);
        if self.settings.load_by_probes {
            // With few results per endpoint, one limit is learned for all endpoints.
            let (limit, at_ms) = (endpoint.statistics.concurrency_limit, endpoint.limit_decreased_at_ms);
            for endpoint in self.endpoints.values_mut() {
                endpoint.statistics.concurrency_limit = limit;
                endpoint.limit_decreased_at_ms = at_ms;
            }
        }
    }

    /// Derives an observation from a result; `None` if the result is due to the proxy, not to the endpoint.
    fn observe(&self, attempt: &PendingAttempt, result: &AttemptResult) -> Option<Observation> {
        let (settings, timing) = (&self.settings, attempt.timing);
        let endpoint = self.endpoints.get(&attempt.endpoint)?;
        let overdue = result.duration_ms > timing.tail_latency_ms;
        let unresponsive = endpoint.last_response_at_ms <= timing.sent_at_ms;
        let mut outcome = result.outcome;
        if outcome.is_cancelled() && overdue && unresponsive {
            // Hedging cancels the attempts at an unresponsive endpoint before they time out.
            outcome = AttemptOutcome::TimedOut;
        }
        // Requests abandoned at their latency objective count, or limits would only grow.
        let is_late = result.duration_ms >= timing.latency_objective_ms;
        let abandoned = settings.limited_response_buffers && outcome.is_cancelled() && is_late;
        if (outcome.is_cancelled() || outcome == AttemptOutcome::NotSent) && !abandoned {
            return None;
        }
        let report = &endpoint.report;
        let report_age_ms = self.now_ms - endpoint.reported_at_ms;
        let queue_empty = report.queued.is_some_and(|queued| queued <= 0.0);
        let idle = queue_empty && !settings.load_by_probes && report_age_ms < MAX_QUEUE_REPORT_AGE_MS;
        let cpu_free = report.cpu_utilization.is_some_and(|used| used < FREE_CPU_UTILIZATION);
        let not_busy = report.queued.is_none() && cpu_free && report_age_ms < MAX_CPU_REPORT_AGE_MS;
        let trusts_cpu = !settings.load_by_probes || settings.limited_response_buffers;
        let share = endpoint.statistics.concurrency_limit / self.proxies_per_endpoint;
        let share_in_use = settings.load_by_probes || endpoint.own_in_flight() >= LIMIT_GROWTH_SHARE * share;
        let since_response_ms = self.now_ms - endpoint.last_response_at_ms;
        Some(Observation {
            timing,
            outcome,
            duration_ms: result.duration_ms,
            abandoned,
            lost: outcome == AttemptOutcome::TimedOut && (!unresponsive || idle),
            external_delay: not_busy && trusts_cpu && overdue,
            queue_empty,
            weight: (since_response_ms / FULL_WEIGHT_AFTER_MS).clamp(MIN_WEIGHT, MAX_WEIGHT),
            previous_relative_latency: endpoint.statistics.relative_latency.unwrap_or(1.0),
            limit_in_use: share_in_use && self.utilization() > LIMIT_GROWTH_UTILIZATION,
            load_by_probes: settings.load_by_probes,
        })
    }

    /// Updates the tail multiple and the mean latencies of the class and of all requests.
    fn learn_latency(&mut self, class: ClassId, observation: &Observation) {
        let before = observation.previous_relative_latency;
        let above = observation.relative_latency() > before * self.tail_multiple;
        let step = TAIL_MULTIPLE_STEP * self.tail_multiple;
        update_p95(&mut self.tail_multiple, above, step, TAIL_MULTIPLE_BOUNDS);
        // The weight falls with the number of successes, so that the mean doesn't adapt to a long overload.
        let class = &mut self.classes[class.index()];
        class.successes += 1.0;
        let weight = (1.0 / (class.successes + 10.0)).max(MIN_CLASS_WEIGHT);
        let latency_ms = observation.duration_ms / before.max(0.2);
        smooth(&mut class.mean_latency_ms, latency_ms, weight);
        smooth(&mut self.mean_latency_ms, latency_ms, weight);
    }

    /// Tracks the peak of the mean throughput of warm endpoints. It decays slowly, to outlast low demand.
    pub(super) fn update_warm_throughput(&mut self, elapsed_ms: f64) {
        let subset = self.subset.iter().map(|id| &self.endpoints[id]);
        let warm = subset.filter(|endpoint| self.now_ms >= endpoint.warm_at_ms);
        let throughput = mean(warm.map(|endpoint| endpoint.throughput(self.now_ms)));
        let decayed = self.warm_throughput * decay_factor(elapsed_ms, WARM_THROUGHPUT_TIME_CONSTANT_MS);
        self.warm_throughput = decayed.max(throughput);
    }

    /// Moves unfavorable statistics without recent samples towards their initial values. Otherwise, recovery
    /// of an endpoint that gets hardly any requests would go unnoticed. Load probes make this unnecessary.
    pub(super) fn decay_stale_statistics(&mut self, elapsed_ms: f64) {
        let (now_ms, by_probes) = (self.now_ms, self.settings.load_by_probes);
        let factor = decay_factor(elapsed_ms, THROUGHPUT_TIME_CONSTANT_MS);
        let updated_at_ms = |one: &Endpoint| one.last_response_at_ms.max(one.limit_decreased_at_ms);
        let is_stale = |one: &&mut Endpoint| !by_probes && now_ms - updated_at_ms(one) > STALE_AFTER_MS;
        for statistics in self.endpoints.values_mut().filter(is_stale).map(|one| &mut one.statistics) {
            statistics.error_rate *= factor;
            let limit = &mut statistics.concurrency_limit;
            *limit = limit.max(decay_towards(*limit, INITIAL_CONCURRENCY_LIMIT, factor));
            let decayed = |latency: f64| latency.min(decay_towards(latency, 1.0, factor));
            statistics.relative_latency = statistics.relative_latency.map(decayed);
        }
    }
}

impl Endpoint {
    fn learn_errors(&mut self, observation: &Observation, now_ms: f64) {
        // Only a success gets a higher weight after a pause, as a single failure is weak evidence.
        let weight = if observation.succeeded() { observation.weight } else { MIN_WEIGHT };
        let rejected = observation.outcome == AttemptOutcome::Rejected;
        let failed = !observation.succeeded() && !observation.abandoned && !rejected;
        smooth(&mut self.statistics.error_rate, f64::from(u8::from(failed)), weight);
        if !observation.timed_out() && observation.outcome != AttemptOutcome::Unreachable {
            self.last_response_at_ms = now_ms;
        }
    }

    fn learn_relative_latency(&mut self, observation: &Observation) {
        let mut latency = observation.previous_relative_latency;
        let endpoint_timed_out = observation.timed_out() && !observation.lost;
        let is_informative = observation.succeeded() || observation.abandoned || endpoint_timed_out;
        if is_informative && !observation.external_delay {
            let mut sample = observation.relative_latency();
            if !observation.succeeded() {
                sample = sample.max(latency); // an unfinished attempt gives only a lower bound
            }
            let max_sample = latency * MAX_SAMPLE_RATIO;
            smooth(&mut latency, sample.min(max_sample), observation.weight);
            self.statistics.relative_latency = Some(latency);
        }
        let best = &mut self.statistics.best_relative_latency;
        let latency = self.statistics.relative_latency.unwrap_or(1.0);
        update_minimum(best, latency, BEST_LATENCY_WEIGHT);
    }

    fn learn_throughput(&mut self, work: f64, now_ms: f64) {
        let throughput = self.throughput(now_ms) + work / THROUGHPUT_TIME_CONSTANT_MS;
        // Peaks over few requests are noisy, so the peak is a lower confidence bound of two standard errors.
        let lower_bound = throughput - (2.0 * throughput / THROUGHPUT_TIME_CONSTANT_MS).sqrt();
        self.statistics.throughput = throughput;
        self.throughput_updated_at_ms = now_ms;
        self.statistics.peak_throughput = self.statistics.peak_throughput.max(lower_bound);
    }

    /// Adjusts the concurrency limit by additive increase and multiplicative decrease. Single results decide,
    /// as moving averages show congestion too late.
    fn adjust_limit(&mut self, observation: &Observation, now_ms: f64) {
        let (timing, limit) = (&observation.timing, self.statistics.concurrency_limit);
        let best_latency_ms = timing.class_latency_ms * self.statistics.best_relative_latency;
        let slowdown = observation.duration_ms / best_latency_ms.max(1.0);
        let endpoint_caused = !observation.lost && !observation.external_delay;
        // A rejection with an empty queue is no sign of congestion: the endpoint may refuse the whole class.
        let full = observation.outcome == AttemptOutcome::Rejected && !observation.queue_empty;
        let failed = full || observation.timed_out() || observation.outcome == AttemptOutcome::Unreachable;
        let late = failed || observation.abandoned || observation.duration_ms > timing.latency_objective_ms;
        let slow = slowdown > MAX_SLOWDOWN && !observation.load_by_probes && !observation.external_delay;
        // Late results come in bursts. Those within one mean latency decrease the limit once.
        if late && endpoint_caused && now_ms - self.limit_decreased_at_ms > timing.class_latency_ms {
            let mild = observation.load_by_probes || full;
            self.decrease_limit(if mild { SMALL_DECREASE } else { LARGE_DECREASE }, now_ms);
        } else if observation.succeeded() && slow {
            self.decrease_limit(SMALL_DECREASE, now_ms);
        } else if observation.succeeded() && slowdown < 1.0 && observation.limit_in_use {
            // Grows by one per `limit` responses to this proxy. Scaling by all proxies would be too fast.
            self.statistics.concurrency_limit = (limit + 1.0 / limit).min(MAX_CONCURRENCY_LIMIT);
        }
    }
}
