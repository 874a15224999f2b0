//! The invariant checker: it follows the history of every request and checks the rules as things happen.

mod cold_start;
mod history;

use cold_start::ColdStartLoad;
use crankmux::types::AttemptOutcome;
pub use history::{Answer, RequestEvent, RequestHistory, RetrySafety};
use history::{AttemptHistory, Execution};

/// Number of rules.
pub const RULES: usize = 5;

/// How long after a client's departure attempts for it may still be sent: the operators' figure.
const DEPARTURE_GRACE_MS: f64 = 100.0;
/// From so many requests that were sent later than that on it is a violation: the operators' figure.
const DEPARTURE_VIOLATIONS: u64 = 3;
/// So many violations are kept with the history of their request; all are counted.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// The rules, in the order of the project's pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer, in its time.
    NoLostRequest,
    /// No request that is not idempotent has its effect twice.
    NoDuplicateEffect,
    /// No attempt is sent to an endpoint that drains.
    DrainsHonoured,
    /// No cold endpoint is overloaded.
    NoColdOverload,
    /// Nothing is sent for clients that have left while their request waited.
    NoWorkForDepartedClients,
}

impl Rule {
    /// Its name in reports.
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

/// A rule that was broken, with the history of the request.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When.
    pub at: f64,
    /// How it was broken.
    pub description: String,
    /// The events of the request in order, a line each.
    pub history: Vec<String>,
}

/// What the rules allow.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How late after its deadline a request may be answered.
    pub answer_slack_ms: f64,
    /// How long after it is notified of a drain a proxy may still send to the endpoint.
    pub drain_grace_ms: f64,
    /// A cold endpoint is overloaded at this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... within this window.
    pub overload_window_ms: f64,
}

/// Follows all requests of a run and counts the violations of each rule.
pub struct InvariantChecker {
    tolerances: Tolerances,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// By rule; for departed clients it counts requests, not violations.
    counts: [u64; RULES],
    clients_left: u64,
    attempt_delays_after_departure_ms: Vec<f64>,
    cold_load: ColdStartLoad,
}

impl InvariantChecker {
    /// A checker that has seen nothing.
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

    fn violated(
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

    /// How often each rule was broken, in their order. A few requests sent for departed clients are no violation.
    pub fn counts(&self) -> [u64; RULES] {
        let mut counts = self.counts;
        let departed = &mut counts[Rule::NoWorkForDepartedClients as usize];
        if *departed < DEPARTURE_VIOLATIONS {
            *departed = 0;
        }
        counts
    }

    /// How many clients left while their request waited.
    pub fn clients_left(&self) -> u64 {
        self.clients_left
    }

    /// How long after its client's departure each later attempt was sent.
    pub fn attempt_delays_after_departure_ms(&self) -> &[f64] {
        &self.attempt_delays_after_departure_ms
    }

    /// An attempt arrived for a request that was forgotten long ago.
    pub fn attempt_for_forgotten_request(&mut self) {
        self.counts[Rule::NoLostRequest as usize] += 1;
    }

    /// A proxy receives a request. The history is handed back with every later event of the request.
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

    /// A proxy sends an attempt. `draining_since` is when it was notified that the endpoint drains or is removed.
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
        let unsafe_repeat = history.unsafe_repeat(now, group);
        history.attempts.push(AttemptHistory {
            group,
            started_at: now,
            outcome: None,
        });
        let late = now > history.deadline + self.tolerances.answer_slack_ms;
        if history.answered || late || history.excused {
            let description = format!("push {attempt} to server {endpoint} after its end");
            self.violated(Rule::NoLostRequest, now, description, Some(history));
        }
        self.check_departure(now, history);
        if let Some(reason) = unsafe_repeat {
            let description = format!("push {attempt}: {reason}");
            self.violated(Rule::NoDuplicateEffect, now, description, Some(history));
        }
        let grace_ms = self.tolerances.drain_grace_ms;
        if let Some(since) = draining_since.filter(|since| now > since + grace_ms) {
            let description = format!(
                "push {attempt} to server {endpoint}, told {:.0} ms ago that it drains",
                now - since
            );
            self.violated(Rule::DrainsHonoured, now, description, Some(history));
        }
    }

    /// Counts a request once for which an attempt is sent too long after its client left.
    fn check_departure(&mut self, now: f64, history: &mut RequestHistory) {
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

    /// An endpoint begins to execute a request, or drops it as a repeat.
    pub fn attempt_executed(
        &mut self,
        now: f64,
        history: &mut RequestHistory,
        attempt: usize,
        endpoint: usize,
        group: u64,
    ) {
        if history.is_repeat(now, group) {
            history.record(now, RequestEvent::Deduplicated { attempt, endpoint });
            return;
        }
        history.record(now, RequestEvent::Executed { attempt, endpoint });
        history.executions.push(Execution { at: now, group });
        let executions = history.executions.len();
        if history.retry_safety != RetrySafety::Idempotent && executions > 1 {
            let description = format!("its effect happened {executions} times");
            self.violated(Rule::NoDuplicateEffect, now, description, Some(history));
        }
    }

    /// A proxy learns how an attempt ended.
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

    /// A proxy gives its final answer.
    pub fn answered(&mut self, now: f64, history: &mut RequestHistory, answer: Answer) {
        history.record(now, RequestEvent::Answered { answer });
        if history.answered {
            let description = "a second final answer".into();
            self.violated(Rule::NoLostRequest, now, description, Some(history));
        }
        history.answered = true;
        let late = now > history.deadline + self.tolerances.answer_slack_ms;
        if late && !history.excused {
            let description = "answered after its time".into();
            self.violated(Rule::NoLostRequest, now, description, Some(history));
        }
        if answer == Answer::Rejected && !history.safe_to_reject() {
            let description = "nacked though it may have run".into();
            self.violated(Rule::NoDuplicateEffect, now, description, Some(history));
        }
    }

    /// The client has left while its request waited, and the proxy is notified of it.
    pub fn client_left(&mut self, now: f64, history: &mut RequestHistory) {
        self.client_disconnected(now, history);
        history.excused = true;
    }

    /// The client has closed its connection while its request waited; the proxy has yet to find out.
    pub fn client_disconnected(&mut self, now: f64, history: &mut RequestHistory) {
        history.record(now, RequestEvent::ClientLeft);
        history.client_left_at = Some(now);
        self.clients_left += 1;
    }

    /// The proxy that holds a request dies.
    pub fn proxy_died(&self, now: f64, history: &mut RequestHistory) {
        history.record(now, RequestEvent::ProxyDied);
        history.excused = true;
    }

    /// The deadline of a request and the slack after it have passed.
    pub fn deadline_passed(&mut self, now: f64, history: &RequestHistory) {
        if !history.answered && !history.excused {
            let description = "no final answer in its time".into();
            self.violated(Rule::NoLostRequest, now, description, Some(history));
        }
    }

    /// Work for so many requests of mean work arrives at an endpoint. `cold_capacity` is how many of these it can do
    /// in a millisecond while it is cold; none where it is warm. Returns whether that overloads it.
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
        self.violated(Rule::NoColdOverload, now, description, None);
        true
    }
}
