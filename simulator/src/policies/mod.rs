//! Load balancing policies: crankmux's own dispatcher, baselines with the information of a real proxy, an oracle that
//! reads the simulator's state, and policies that break an invariant on purpose, to test the invariant checker.

mod baseline;

use crate::script::Script;
use baseline::BaselinePolicy;
use crankmux::dispatcher::{Dispatcher, NextSteps};
use crankmux::settings::{NameIndex, SettingsError};
use crankmux::types::{AttemptResult, EndpointId, EndpointUpdate, NewRequest, RequestId};
use thiserror::Error;

/// The available policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The dispatcher of crankmux.
    Dispatcher,
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest in-flight attempts of this proxy.
    LeastOutstanding,
    /// The less loaded of two random endpoints.
    TwoChoices,
    /// The endpoint with the lowest expected latency, by the simulator's state under the load of all proxies.
    Oracle,
    /// Breaks an invariant: drops one request in fifty.
    LosesRequests,
    /// Breaks an invariant: retries requests that are not safe to retry.
    RetriesUnsafely,
    /// Breaks an invariant: keeps sending to draining and removed endpoints.
    IgnoresDrains,
    /// Breaks an invariant: sends all requests to the endpoint that started last.
    FloodsNewest,
    /// Breaks an invariant: keeps sending attempts after the client disconnected.
    IgnoresDisconnects,
}

impl PolicyKind {
    /// All but those that break an invariant on purpose, in the column order of the tables.
    pub const ALL: [PolicyKind; 6] = [
        PolicyKind::Dispatcher,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::Oracle,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Dispatcher => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::Oracle => "top",
            PolicyKind::LosesRequests => "loses",
            PolicyKind::RetriesUnsafely => "repeats",
            PolicyKind::IgnoresDrains => "past-drains",
            PolicyKind::FloodsNewest => "floods",
            PolicyKind::IgnoresDisconnects => "sends-on",
        }
    }

    /// Looks up a policy of [`PolicyKind::ALL`] by name.
    pub fn from_name(name: &str) -> Option<Self> {
        PolicyKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Errors of [`Policy::new`].
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PolicyError {
    /// The settings derived from the script are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}

/// The state of an endpoint in the simulator, as only [`PolicyKind::Oracle`] sees it.
pub struct EndpointTruth {
    /// Latency that a request of mean work would have now; `None` if the endpoint cannot answer it.
    pub expected_latency_ms: Option<f64>,
}

/// What a policy asks its proxy to do next.
pub struct PolicyNeeds {
    /// When to call [`Policy::tick`] next.
    pub next_tick: Option<f64>,
    /// Whether to fetch the full endpoint list.
    pub endpoint_list: bool,
}

/// The policy of one proxy.
pub enum Policy {
    /// [`PolicyKind::Dispatcher`].
    Dispatcher(Box<Dispatcher>),
    /// Any other policy.
    Baseline(Box<BaselinePolicy>),
}

impl Policy {
    /// Creates the policy of one proxy of a script.
    ///
    /// # Errors
    ///
    /// The settings derived from the script are invalid.
    pub fn new(
        kind: PolicyKind,
        script: &Script,
        proxy: usize,
        seed: u64,
    ) -> Result<Self, PolicyError> {
        if kind != PolicyKind::Dispatcher {
            let baseline = BaselinePolicy::new(kind, script, seed);
            return Ok(Policy::Baseline(Box::new(baseline)));
        }
        let (_, settings) = NameIndex::from_settings(&script.settings(proxy));
        let dispatcher = Dispatcher::new(settings?, seed);
        Ok(Policy::Dispatcher(Box::new(dispatcher)))
    }

    /// Handles a new request.
    pub fn request_arrived(
        &mut self,
        now: f64,
        request: &NewRequest,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        match self {
            Policy::Dispatcher(dispatcher) => dispatcher.request_arrived(now, request),
            Policy::Baseline(baseline) => baseline.request_arrived(now, request, truth),
        }
    }

    /// Handles the result of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        result: &AttemptResult,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        match self {
            Policy::Dispatcher(dispatcher) => dispatcher.attempt_ended(now, result),
            Policy::Baseline(baseline) => baseline.attempt_ended(now, result, truth),
        }
    }

    /// Handles the disconnect of a request's client.
    pub fn client_left(&mut self, now: f64, request: RequestId) -> NextSteps {
        match self {
            Policy::Dispatcher(dispatcher) => dispatcher.client_left(now, request),
            Policy::Baseline(baseline) => baseline.client_left(request),
        }
    }

    /// Applies the full endpoint list or a change of it. A cached list was stored before a restart.
    pub fn update_endpoints(
        &mut self,
        now: f64,
        updates: &[EndpointUpdate],
        full_list: bool,
        cached: bool,
    ) {
        match self {
            Policy::Dispatcher(dispatcher) => {
                dispatcher.update_endpoints(now, updates, full_list, cached);
            }
            Policy::Baseline(baseline) => baseline.update_endpoints(updates, full_list),
        }
    }

    /// Runs the work due at [`PolicyNeeds::next_tick`].
    pub fn tick(&mut self, now: f64) -> Vec<(RequestId, NextSteps)> {
        match self {
            Policy::Dispatcher(dispatcher) => dispatcher.tick(now, now),
            Policy::Baseline(_) => Vec::new(),
        }
    }

    /// Takes what the policy asks of its proxy. It asks for the endpoint list once.
    pub fn take_needs(&mut self) -> PolicyNeeds {
        match self {
            Policy::Dispatcher(dispatcher) => PolicyNeeds {
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
