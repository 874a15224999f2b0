//! The invariant checker: it records the history of every request and checks the rules at each event.

mod cold_start;
mod history;

use cold_start::ColdStartLoad;
use crankmux::types::AttemptOutcome;
pub use history::{Answer, RequestEvent, RequestHistory, RetrySafety};
use history::{AttemptHistory, Execution};

/// Number of [`Rule`]s.
pub const RULES: usize = 5;

/// How long after a client's departure attempts for its request may still be sent.
const DEPARTURE_GRACE_MS: f64 = 100.0;
/// Minimum number of requests with attempts after that period for the counts to report violations.
const MIN_DEPARTURE_VIOLATIONS: u64 = 3;
/// Maximum number of violations kept with the history of their request. Further ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// The rules that a run must keep, in the order of the counts in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer, by its deadline.
    NoLostRequest,
    /// No request takes effect more than once, unless it is idempotent.
    NoDuplicateEffect,
    /// No attempt is sent to a draining or removed endpoint after the grace period.
    DrainsHonoured,
    /// No cold endpoint is overloaded.
    NoColdOverload,
    /// No attempt is sent for a client that has left, after the grace period.
    NoWorkForDepartedClients,
}

impl Rule {
    /// The rule's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::NoLostRequest => "no op lost",
            Rule::NoDuplicateEffect => "no effect twice",
            Rule::DrainsHonoured => "drains kept",
            Rule::NoColdOverload => "no cold server pushed over",
            Rule::NoWorkForDepartedClients => "nobody who has left served on",
        }
    }
}

/// A violation of a rule, with the history of the request.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was detected.
    pub at: f64,
    /// How the rule was violated.
    pub description: String,
    /// The events of the request in order, one per line.
    pub history: Vec<String>,
}

/// Tolerances of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after its deadline a request may still be answered.
    pub answer_slack_ms: f64,
    /// How long a proxy may still send to an endpoint after the proxy is notified that it drains.
    pub drain_grace_ms: f64,
    /// A cold endpoint is overloaded if the work sent to it exceeds this multiple of its capacity
    /// over the window.
    pub overload_multiple: f64,
    /// The time window over which the work sent to a cold endpoint is measured.
    pub overload_window_ms: f64,
}

/// Checks all requests of a run and counts the violations of each rule.
pub struct InvariantChecker {
    tolerances: Tolerances,
    /// The first violations, up to a fixed number.
    pub violations: Vec<Violation>,
    /// Violations by rule. For departed clients, the number of requests with late attempts.
    counts: [u64; RULES],
    clients_left: u64,
    attempt_delays_after_departure_ms: Vec<f64>,
    cold_load: ColdStartLoad,
}

impl InvariantChecker {
    /// Creates a checker without any recorded events.
    pub fn new(tolerances: Tolerances) -> Self {
        InvariantChecker {
            tolerances,
            violations: Vec::new(),
            counts: [0; RULES],
            clients_left: 0,
            attempt_delays_after_departure_ms: Vec::new(),
            cold_load: ColdStartLoad::new(tolerances.overload_window_ms),
        }
    }

    fn record_violation(
        &mut self,
        rule: Rule,
        at: f64,
        description: String,
        history: Option<&RequestHistory>,
    ) {
        self.counts[rule as usize] += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation {
                rule,
                at,
                description,
                history: history.map(RequestHistory::lines).unwrap_or_default(),
            });
        }
    }

    /// Number of violations by rule. Fewer than `MIN_DEPARTURE_VIOLATIONS` requests with late attempts count as none.
    pub fn counts(&self) -> [u64; RULES] {
        let mut counts = self.counts;
        let departed = &mut counts[Rule::NoWorkForDepartedClients as usize];
        if *departed < MIN_DEPARTURE_VIOLATIONS {
            *departed = 0;
        }
        counts
    }

    /// Number of clients that left before the final answer.
    pub fn clients_left(&self) -> u64 {
        self.clients_left
    }

    /// For each attempt sent after its client had left, the time since the departure.
    pub fn attempt_delays_after_departure_ms(&self) -> &[f64] {
        &self.attempt_delays_after_departure_ms
    }

    /// Records an attempt that arrived for a request whose history has been discarded.
    pub fn attempt_for_forgotten_request(&mut self) {
        self.counts[Rule::NoLostRequest as usize] += 1;
    }

    /// Starts the history of a request received by a proxy. The caller passes it to the methods for later events.
    pub fn request_received(
        &self,
        now: f64,
        proxy: usize,
        retry_safety: RetrySafety,
        deduplication_window_ms: f64,
        deadline: f64,
    ) -> RequestHistory {
        RequestHistory::new(now, proxy, retry_safety, deduplication_window_ms, deadline)
    }

    /// Checks an attempt that a proxy sends. `draining_since` is when the proxy was notified that the endpoint drains
    /// or is removed.
    pub fn attempt_started(
        &mut self,
        now: f64,
        history: &mut RequestHistory,
        endpoint: usize,
        group: u64,
        draining_since: Option<f64>,
    ) {
        let attempt = history.attempts.len();
        history.record(now, RequestEvent::AttemptStarted { attempt, endpoint });
        let unsafe_retry_reason = history.unsafe_retry_reason(now, group);
        history.attempts.push(AttemptHistory {
            group,
            started_at: now,
            outcome: None,
        });
        let late = now > history.deadline + self.tolerances.answer_slack_ms;
        if history.answered || late || history.answer_not_required {
            let description = format!("push {attempt} to server {endpoint} after its end");
            self.record_violation(Rule::NoLostRequest, now, description, Some(history));
        }
        self.check_client_departure(now, history);
        if let Some(reason) = unsafe_retry_reason {
            let description = format!("push {attempt}: {reason}");
            self.record_violation(Rule::NoDuplicateEffect, now, description, Some(history));
        }
        let grace_ms = self.tolerances.drain_grace_ms;
        if let Some(since) = draining_since.filter(|since| now > since + grace_ms) {
            let description = format!(
                "push {attempt} to server {endpoint}, told {:.0} ms ago that it drains",
                now - since
            );
            self.record_violation(Rule::DrainsHonoured, now, description, Some(history));
        }
    }

    /// Counts a request, at most once, if an attempt is sent for it too long after its client left.
    fn check_client_departure(&mut self, now: f64, history: &mut RequestHistory) {
        let Some(left_at) = history.client_left_at else {
            return;
        };
        let delay_ms = now - left_at;
        self.attempt_delays_after_departure_ms.push(delay_ms);
        if delay_ms > DEPARTURE_GRACE_MS && !history.sent_after_departure {
            history.sent_after_departure = true;
            self.counts[Rule::NoWorkForDepartedClients as usize] += 1;
        }
    }

    /// Records that an endpoint starts to execute a request, or drops it as a duplicate.
    pub fn attempt_executed(
        &mut self,
        now: f64,
        history: &mut RequestHistory,
        attempt: usize,
        endpoint: usize,
        group: u64,
    ) {
        if history.is_duplicate(now, group) {
            history.record(now, RequestEvent::Deduplicated { attempt, endpoint });
            return;
        }
        history.record(now, RequestEvent::Executed { attempt, endpoint });
        history.executions.push(Execution { at: now, group });
        let executions = history.executions.len();
        if history.retry_safety != RetrySafety::Idempotent && executions > 1 {
            let description = format!("its effect happened {executions} times");
            self.record_violation(Rule::NoDuplicateEffect, now, description, Some(history));
        }
    }

    /// Records the outcome of an attempt, as learned by its proxy.
    pub fn attempt_ended(
        &self,
        now: f64,
        history: &mut RequestHistory,
        attempt: usize,
        outcome: AttemptOutcome,
    ) {
        history.record(now, RequestEvent::AttemptEnded { attempt, outcome });
        history.attempts[attempt].outcome = Some(outcome);
    }

    /// Checks the final answer of a proxy.
    pub fn answered(&mut self, now: f64, history: &mut RequestHistory, answer: Answer) {
        history.record(now, RequestEvent::Answered { answer });
        if history.answered {
            let description = "a second final answer".into();
            self.record_violation(Rule::NoLostRequest, now, description, Some(history));
        }
        history.answered = true;
        let late = now > history.deadline + self.tolerances.answer_slack_ms;
        if late && !history.answer_not_required {
            let description = "answered after its time".into();
            self.record_violation(Rule::NoLostRequest, now, description, Some(history));
        }
        if answer == Answer::Rejected && !history.safe_to_reject() {
            let description = "nacked though it may have run".into();
            self.record_violation(Rule::NoDuplicateEffect, now, description, Some(history));
        }
    }

    /// Records that a client has left before the final answer and that its proxy has been notified.
    pub fn client_left(&mut self, now: f64, history: &mut RequestHistory) {
        self.client_disconnected(now, history);
        history.answer_not_required = true;
    }

    /// Records that a client has closed its connection before the final answer, which its proxy may not know yet.
    pub fn client_disconnected(&mut self, now: f64, history: &mut RequestHistory) {
        history.record(now, RequestEvent::ClientLeft);
        history.client_left_at = Some(now);
        self.clients_left += 1;
    }

    /// Records that the proxy of a request has crashed.
    pub fn proxy_crashed(&self, now: f64, history: &mut RequestHistory) {
        history.record(now, RequestEvent::ProxyCrashed);
        history.answer_not_required = true;
    }

    /// Checks that a request was answered; called when its deadline and the answer slack have passed.
    pub fn deadline_passed(&mut self, now: f64, history: &RequestHistory) {
        if !history.answered && !history.answer_not_required {
            let description = "no final answer in its time".into();
            self.record_violation(Rule::NoLostRequest, now, description, Some(history));
        }
    }

    /// Records work that arrives at an endpoint, and returns whether it overloads a cold endpoint. `work` is in units
    /// of a request of mean work; `cold_capacity` is in these units per millisecond, or `None` if the endpoint is warm.
    pub fn overloads_cold_endpoint(
        &mut self,
        now: f64,
        endpoint: usize,
        work: f64,
        cold_capacity: Option<f64>,
    ) -> bool {
        let Some(capacity) = cold_capacity else {
            return false;
        };
        let sent = self.cold_load.add(now, endpoint, work);
        let multiple = self.tolerances.overload_multiple;
        let allowed = (multiple * capacity * self.cold_load.window_ms()).max(1.0);
        if sent <= allowed {
            return false;
        }
        self.cold_load.clear(endpoint);
        let description = format!("server {endpoint}: {sent:.1} ops, {allowed:.1} allowed");
        self.record_violation(Rule::NoColdOverload, now, description, None);
        true
    }
}
