//! Learning from results: how fast endpoints are, how often they fail, what they bear and may hold.

use super::endpoint_list::INITIAL_LIMIT;
use super::Balancer;
use crate::moving_average::{decay, fade, follow_95th_percentile, follow_minimum, mean, smooth};
use crate::state::{Endpoint, Evidence, PendingAttempt, THROUGHPUT_OVER_MS};
use crate::types::{AttemptOutcome, AttemptResult, ClassId, EndpointId, LoadReport};

pub(super) const INITIAL_LATENCY: f64 = 0.25; // of the objective, set at a few times the ordinary one
pub(super) const INITIAL_TAIL_MULTIPLE: f64 = 2.0;
const TAIL_MULTIPLES: (f64, f64) = (1.5, 8.0);
const TAIL_STEP: f64 = 0.05; // of the multiple
const WARM_FADES_OVER_MS: f64 = 60_000.0;
const MIN_WEIGHT: f64 = 0.1; // follows a slowed endpoint within ten attempts, and evens out heavy requests
const MAX_WEIGHT: f64 = 0.5; // after a silence
const SILENCE_MS: f64 = 2000.0; // the silence before a sample over this is its weight
const MIN_CLASS_WEIGHT: f64 = 0.002;
const BEST_LATENCY_WEIGHT: f64 = 0.005;
const MAX_SAMPLE: f64 = 10.0; // times the average
const LIMITS_IN_USE: f64 = 0.6; // above this utilization limits may grow
const SHARE_IN_USE: f64 = 0.5; // of the limit, for this proxy alone: its share may be under one attempt
const MAX_LIMIT: f64 = 1000.0;
const GENTLE_CUT: f64 = 0.9;
const HARD_CUT: f64 = 0.7;
const CROWDED_STRETCH: f64 = 3.0; // times the usual latency at the endpoint's best
const FADES_AFTER_MS: f64 = 1000.0;
const IDLE_REPORT_AGE_MS: f64 = 5000.0;
const FREE_CORES_REPORT_AGE_MS: f64 = 2000.0;
const FREE_CORES_UTILIZATION: f64 = 0.75;

impl Balancer {
    /// Takes over a load report. It is repeated until it is renewed: only a changed value tells a new one.
    pub(super) fn take_report(&mut self, endpoint: EndpointId, report: LoadReport) {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint) else { return };
        if report != LoadReport::default() && report != endpoint.report {
            endpoint.take_report(report, self.now_ms, 0.0);
        }
    }

    /// Learns from a result, while the attempt still counts as in flight: it was part of what the limit held.
    pub(super) fn learn(&mut self, attempt: &PendingAttempt, result: &AttemptResult) {
        let Some(evidence) = self.evidence(attempt, result) else { return };
        if evidence.succeeded() {
            self.learn_latency(attempt.class, &evidence);
        }
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.learn_errors(&evidence, self.now_ms);
        endpoint.learn_relative_latency(&evidence);
        if evidence.succeeded() {
            let work = evidence.timing.usual_latency_ms / self.mean_latency_ms.max(1.0);
            endpoint.learn_throughput(work, self.now_ms);
        }
        endpoint.adjust_limit(&evidence, self.now_ms);
        if self.settings.load_by_probes {
            // A quiet proxy hears of each endpoint once in seconds, so any answer counts for all.
            let (limit, cut_at_ms) = (endpoint.statistics.concurrency_limit, endpoint.limit_cut_at_ms);
            for endpoint in self.endpoints.values_mut() {
                endpoint.statistics.concurrency_limit = limit;
                endpoint.limit_cut_at_ms = cut_at_ms;
            }
        }
    }

    /// What a result says of its endpoint; nothing where the proxy itself ended the attempt.
    fn evidence(&self, attempt: &PendingAttempt, result: &AttemptResult) -> Option<Evidence> {
        let (settings, timing) = (&self.settings, attempt.timing);
        let endpoint = self.endpoints.get(&attempt.endpoint)?;
        let overdue = result.duration_ms > timing.overdue_after_ms;
        let silent = endpoint.last_answer_at_ms <= timing.sent_at_ms;
        let mut outcome = result.outcome;
        if outcome == AttemptOutcome::Cancelled && overdue && silent {
            // All attempts of an endpoint that fell silent are cancelled once their hedged requests are back.
            outcome = AttemptOutcome::TimedOut;
        }
        // Were requests ended at their latency objective to tell nothing, limits would only ever grow.
        let is_late = result.duration_ms >= timing.latency_objective_ms;
        let abandoned = settings.few_buffered_responses && outcome == AttemptOutcome::Cancelled && is_late;
        if matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) && !abandoned {
            return None;
        }
        let report = &endpoint.report;
        let report_age_ms = self.now_ms - endpoint.reported_at_ms;
        let idle = report.queued.is_some_and(|queued| queued <= 0.0);
        let reported_idle = idle && !settings.load_by_probes && report_age_ms < IDLE_REPORT_AGE_MS;
        let free_cores = report.cpu_utilization.is_some_and(|used| used < FREE_CORES_UTILIZATION);
        let excused = report.queued.is_none() && free_cores && report_age_ms < FREE_CORES_REPORT_AGE_MS;
        let can_be_excused = !settings.load_by_probes || settings.few_buffered_responses;
        let share = endpoint.statistics.concurrency_limit / self.proxies_per_endpoint;
        let share_in_use = settings.load_by_probes || endpoint.own_in_flight() >= SHARE_IN_USE * share;
        let silence_ms = self.now_ms - endpoint.last_answer_at_ms;
        Some(Evidence {
            timing,
            outcome,
            duration_ms: result.duration_ms,
            abandoned,
            lost: outcome == AttemptOutcome::TimedOut && (!silent || reported_idle),
            delayed_elsewhere: excused && can_be_excused && overdue,
            idle,
            weight: (silence_ms / SILENCE_MS).clamp(MIN_WEIGHT, MAX_WEIGHT),
            relative_latency_before: endpoint.statistics.relative_latency.unwrap_or(1.0),
            limit_in_use: share_in_use && self.utilization() > LIMITS_IN_USE,
            load_by_probes: settings.load_by_probes,
        })
    }

    /// Learns the tail multiple, and the mean latencies of the class and of all requests.
    fn learn_latency(&mut self, class: ClassId, evidence: &Evidence) {
        let before = evidence.relative_latency_before;
        let above = evidence.relative_latency() > before * self.tail_multiple;
        let step = TAIL_STEP * self.tail_multiple;
        follow_95th_percentile(&mut self.tail_multiple, above, step, TAIL_MULTIPLES);
        // Were the mean to follow a crowd, a crowded fleet would look ordinary: it stiffens with successes.
        let class = &mut self.classes[class.index()];
        class.successes += 1.0;
        let weight = (1.0 / (class.successes + 10.0)).max(MIN_CLASS_WEIGHT);
        let latency_ms = evidence.duration_ms / before.max(0.2);
        smooth(&mut class.mean_latency_ms, latency_ms, weight);
        smooth(&mut self.mean_latency_ms, latency_ms, weight);
    }

    /// The best mean of what warm endpoints bore. It fades slowly, as it shall not fall with the demand.
    pub(super) fn update_warm_throughput(&mut self, elapsed_ms: f64) {
        let subset = self.subset.iter().map(|id| &self.endpoints[id]);
        let warm = subset.filter(|endpoint| self.now_ms >= endpoint.warm_at_ms);
        let throughput = mean(warm.map(|endpoint| endpoint.throughput(self.now_ms)));
        self.warm_throughput = (self.warm_throughput * decay(elapsed_ms, WARM_FADES_OVER_MS)).max(throughput);
    }

    /// An endpoint that fell silent is hardly tried again, and would be left long after it is back. So what
    /// speaks against it fades to what a new one starts with, but where probes tell that it is back.
    pub(super) fn fade_old_evidence(&mut self, elapsed_ms: f64) {
        let (now_ms, by_probes) = (self.now_ms, self.settings.load_by_probes);
        let remains = decay(elapsed_ms, THROUGHPUT_OVER_MS);
        let last_evidence_ms = |endpoint: &Endpoint| endpoint.last_answer_at_ms.max(endpoint.limit_cut_at_ms);
        let is_old =
            |endpoint: &&mut Endpoint| !by_probes && now_ms - last_evidence_ms(endpoint) > FADES_AFTER_MS;
        for statistics in self.endpoints.values_mut().filter(is_old).map(|endpoint| &mut endpoint.statistics)
        {
            statistics.error_rate *= remains;
            let limit = &mut statistics.concurrency_limit;
            *limit = limit.max(fade(*limit, INITIAL_LIMIT, remains));
            let faded = |latency: f64| latency.min(fade(latency, 1.0, remains));
            statistics.relative_latency = statistics.relative_latency.map(faded);
        }
    }
}

impl Endpoint {
    fn learn_errors(&mut self, evidence: &Evidence, now_ms: f64) {
        // A failure of an endpoint seldom heard is no proof: only good news counts for more.
        let weight = if evidence.succeeded() { evidence.weight } else { MIN_WEIGHT };
        let rejected = evidence.outcome == AttemptOutcome::Rejected;
        let failed = !evidence.succeeded() && !evidence.abandoned && !rejected;
        smooth(&mut self.statistics.error_rate, f64::from(u8::from(failed)), weight);
        if !evidence.timed_out() && evidence.outcome != AttemptOutcome::Unreachable {
            self.last_answer_at_ms = now_ms;
        }
    }

    fn learn_relative_latency(&mut self, evidence: &Evidence) {
        let mut latency = evidence.relative_latency_before;
        let timed_out_there = evidence.timed_out() && !evidence.lost;
        let tells = evidence.succeeded() || evidence.abandoned || timed_out_there;
        if tells && !evidence.delayed_elsewhere {
            let mut sample = evidence.relative_latency();
            if !evidence.succeeded() {
                sample = sample.max(latency); // a short time-out says "at least so long"
            }
            let most = latency * MAX_SAMPLE;
            smooth(&mut latency, sample.min(most), evidence.weight);
            self.statistics.relative_latency = Some(latency);
        }
        let best = &mut self.statistics.best_relative_latency;
        let latency = self.statistics.relative_latency.unwrap_or(1.0);
        follow_minimum(best, latency, BEST_LATENCY_WEIGHT);
    }

    fn learn_throughput(&mut self, work: f64, now_ms: f64) {
        let throughput = self.throughput(now_ms) + work / THROUGHPUT_OVER_MS;
        // Peaks of few requests are chance, and add up over proxies: they count less two standard errors.
        let sure = throughput - (2.0 * throughput / THROUGHPUT_OVER_MS).sqrt();
        self.statistics.throughput = throughput;
        self.throughput_at_ms = now_ms;
        self.statistics.peak_throughput = self.statistics.peak_throughput.max(sure);
    }

    /// A crowded endpoint turns slower, and smoothed figures show it too late. So single answers move the
    /// limit: a quick one, at the endpoint's best, lets it grow; a slow or late one cuts it.
    fn adjust_limit(&mut self, evidence: &Evidence, now_ms: f64) {
        let (timing, limit) = (&evidence.timing, self.statistics.concurrency_limit);
        let best_latency_ms = timing.usual_latency_ms * self.statistics.best_relative_latency;
        let stretch = evidence.duration_ms / best_latency_ms.max(1.0);
        let is_there = !evidence.lost && !evidence.delayed_elsewhere;
        // Idle endpoints may reject all of a class: where nothing waits, a rejection is no sign of crowding.
        let full = evidence.outcome == AttemptOutcome::Rejected && !evidence.idle;
        let refused = full || evidence.timed_out() || evidence.outcome == AttemptOutcome::Unreachable;
        let late = refused || evidence.abandoned || evidence.duration_ms > timing.latency_objective_ms;
        let slow = stretch > CROWDED_STRETCH && !evidence.load_by_probes && !evidence.delayed_elsewhere;
        // Failures and late answers come in heaps; those to attempts of one time are one event and cut once.
        if late && is_there && now_ms - self.limit_cut_at_ms > timing.usual_latency_ms {
            self.cut_limit(if evidence.load_by_probes || full { GENTLE_CUT } else { HARD_CUT }, now_ms);
        } else if evidence.succeeded() && slow {
            self.cut_limit(GENTLE_CUT, now_ms);
        } else if evidence.succeeded() && stretch < 1.0 && evidence.limit_in_use {
            // One for a round of own answers: scaled up to all proxies it would outrun the cuts.
            self.statistics.concurrency_limit = (limit + 1.0 / limit).min(MAX_LIMIT);
        }
    }
}
