//! Load balancing policies: the decision module, baselines that know what a proxy knows, one that sees the true
//! state, and policies that break a rule on purpose, to test the invariant checker.

mod baseline;

use crate::script::Script;
use baseline::BaselinePolicy;
use crankmux::dispatcher::{Dispatcher, NextSteps};
use crankmux::settings::{NameIndex, SettingsError};
use crankmux::types::{AttemptResult, EndpointId, EndpointUpdate, NewRequest, RequestId};
use thiserror::Error;

/// The kinds of policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The decision module.
    Module,
    /// Any endpoint.
    Random,
    /// One endpoint after the other.
    RoundRobin,
    /// The endpoint with the fewest attempts of this proxy in flight.
    LeastOutstanding,
    /// The better of two random endpoints.
    TwoChoices,
    /// Sees the true state of every endpoint, with the load of all proxies.
    Omniscient,
    /// Breaks a rule: loses one request in fifty.
    LosesRequests,
    /// Breaks a rule: retries whatever failed.
    RetriesUnsafely,
    /// Breaks a rule: sends to every endpoint that was ever listed.
    IgnoresDrains,
    /// Breaks a rule: sends all to the endpoint that started last.
    FloodsNewest,
    /// Breaks a rule: goes on for clients that have left.
    IgnoresDepartures,
}

impl PolicyKind {
    /// Those that keep the rules, in the order of the tables.
    pub const ALL: [PolicyKind; 6] = [
        PolicyKind::Module,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::Omniscient,
    ];

    /// Its name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::Omniscient => "top",
            PolicyKind::LosesRequests => "loses",
            PolicyKind::RetriesUnsafely => "repeats",
            PolicyKind::IgnoresDrains => "past-drains",
            PolicyKind::FloodsNewest => "floods",
            PolicyKind::IgnoresDepartures => "sends-on",
        }
    }

    /// The kind of this name, of those that keep the rules.
    pub fn from_name(name: &str) -> Option<Self> {
        PolicyKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Why a policy cannot be made.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PolicyError {
    /// The decision module refuses the settings that the script gives it.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}

/// The true state of an endpoint.
pub struct EndpointTruth {
    /// The latency that a request of mean work would have now; none where it cannot be answered.
    pub expected_latency_ms: Option<f64>,
}

/// What a policy wants of its proxy.
pub struct PolicyNeeds {
    /// When it is to be called next.
    pub next_tick: Option<f64>,
    /// Whether it asks for the full endpoint list.
    pub endpoint_list: bool,
}

/// The policy of one proxy.
pub enum Policy {
    /// The decision module.
    Module(Box<Dispatcher>),
    /// Any other.
    Baseline(Box<BaselinePolicy>),
}

impl Policy {
    /// A policy for one proxy of a script.
    ///
    /// # Errors
    ///
    /// Settings that the decision module refuses.
    pub fn new(
        kind: PolicyKind,
        script: &Script,
        proxy: usize,
        seed: u64,
    ) -> Result<Self, PolicyError> {
        if kind != PolicyKind::Module {
            let baseline = BaselinePolicy::new(kind, script, seed);
            return Ok(Policy::Baseline(Box::new(baseline)));
        }
        let (_, settings) = NameIndex::from_settings(&script.settings(proxy));
        let dispatcher = Dispatcher::new(settings?, seed);
        Ok(Policy::Module(Box::new(dispatcher)))
    }

    /// A request has arrived at the proxy.
    pub fn request_arrived(
        &mut self,
        now: f64,
        request: &NewRequest,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        match self {
            Policy::Module(dispatcher) => dispatcher.request_arrived(now, request),
            Policy::Baseline(baseline) => baseline.request_arrived(now, request, truth),
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        result: &AttemptResult,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        match self {
            Policy::Module(dispatcher) => dispatcher.attempt_ended(now, result),
            Policy::Baseline(baseline) => baseline.attempt_ended(now, result, truth),
        }
    }

    /// The client of a request has left.
    pub fn client_left(&mut self, now: f64, request: RequestId) -> NextSteps {
        match self {
            Policy::Module(dispatcher) => dispatcher.client_left(now, request),
            Policy::Baseline(baseline) => baseline.client_left(request),
        }
    }

    /// The endpoint list, in full or what changed of it; cached where it dates from before a restart.
    pub fn update_endpoints(
        &mut self,
        now: f64,
        updates: &[EndpointUpdate],
        full_list: bool,
        cached: bool,
    ) {
        match self {
            Policy::Module(dispatcher) => {
                dispatcher.update_endpoints(now, updates, full_list, cached);
            }
            Policy::Baseline(baseline) => baseline.update_endpoints(updates, full_list),
        }
    }

    /// The time that it wanted to be called at has come.
    pub fn tick(&mut self, now: f64) -> Vec<(RequestId, NextSteps)> {
        match self {
            Policy::Module(dispatcher) => dispatcher.tick(now, now),
            Policy::Baseline(_) => Vec::new(),
        }
    }

    /// What it wants of its proxy. It asks for the endpoint list once.
    pub fn take_needs(&mut self) -> PolicyNeeds {
        match self {
            Policy::Module(dispatcher) => PolicyNeeds {
                endpoint_list: dispatcher.take_list_request(),
                next_tick: dispatcher.next_tick(),
            },
            Policy::Baseline(_) => PolicyNeeds {
                endpoint_list: false,
                next_tick: None,
            },
        }
    }
}
