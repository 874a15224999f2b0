//! Discrete-event simulation of one run: clients, proxies, the network, discovery and endpoints.
//!
//! `run` handles events in order of time until the end of the script. Each submodule holds the state and the event
//! handlers of one concern.

mod attempts;
mod clients;
mod discovery;
mod endpoints;
mod event_queue;
mod fault_schedule;
mod network;
mod proxies;
mod requests;
mod setup;
mod slab;

use crate::endpoint::Endpoint;
use crate::faults::Partitions;
use crate::invariants::InvariantChecker;
use crate::policies::{PolicyError, PolicyKind};
use crate::random::RandomStream;
use crate::results::{ResultsCollector, RunResults};
use crate::script::Script;
use clients::{ClientCall, RoutingTable};
use discovery::EndpointList;
use event_queue::{Event, EventQueue};
use fault_schedule::ActiveFault;
use proxies::Proxy;
use requests::Request;
use slab::Slab;

/// Time at the start of a run. It is far from 0, which marks endpoints that started long before the run.
const START_MS: f64 = 1_000_000_000.0;

/// One random stream per purpose, so that extra draws in one do not change the others.
struct RandomStreams {
    arrivals: RandomStream,
    work: RandomStream,
    clients: RandomStream,
    network: RandomStream,
    discovery: RandomStream,
    faults: RandomStream,
}

/// The state of a run.
struct Environment<'a> {
    script: &'a Script,
    policy_kind: PolicyKind,
    seed: u64,
    now: f64,
    end: f64,
    queue: EventQueue,
    /// Serial number of the latest request.
    request_serial: u64,
    events_handled: u64,
    proxies: Vec<Proxy>,
    endpoints: Vec<Endpoint>,
    endpoint_list: EndpointList,
    calls: Slab<ClientCall>,
    requests: Slab<Request>,
    active_faults: Vec<ActiveFault>,
    partitions: Partitions,
    random: RandomStreams,
    /// Proxies that clients are routed to: one table for each zone, followed by one for all zones.
    routing: Vec<RoutingTable>,
    /// Upper bound of the arrival rate, in calls per millisecond.
    peak_rate: f64,
    zone_weights: Vec<f64>,
    /// Mean work of a request on a core of speed one.
    mean_work_ms: f64,
    checker: InvariantChecker,
    results: ResultsCollector,
}

/// Simulates a script with one policy and one seed.
///
/// # Errors
///
/// Returns an error if the policy cannot be created from the script's settings.
pub fn run(script: &Script, policy_kind: PolicyKind, seed: u64) -> Result<RunResults, PolicyError> {
    let mut environment = Environment::new(script, policy_kind, seed)?;
    while let Some((at, event)) = environment.queue.pop() {
        if at > environment.end {
            break;
        }
        environment.now = at;
        environment.events_handled += 1;
        environment.handle(event);
    }
    let overdue_requests = environment.overdue_requests();
    let Environment {
        results,
        checker,
        events_handled,
        ..
    } = environment;
    Ok(results.finish(
        script,
        policy_kind.name(),
        seed,
        &checker,
        events_handled,
        overdue_requests,
    ))
}

impl Environment<'_> {
    fn schedule(&mut self, delay_ms: f64, event: Event) {
        self.queue.push(self.now + delay_ms.max(0.0), event);
    }

    /// Virtual time since the start of the run.
    fn elapsed_ms(&self) -> f64 {
        self.now - START_MS
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrives => self.call_arrives(),
            Event::CallRetries { call } => self.send_request(call),
            Event::ClientLeaves { request } => self.client_leaves(request),
            Event::DeadlinePasses { request } => self.deadline_passes(request),
            Event::AttemptArrives { attempt, endpoint } => self.attempt_arrives(attempt, endpoint),
            Event::AttemptEnds {
                attempt,
                outcome,
                load,
            } => self.attempt_ends(attempt, outcome, load),
            Event::AttemptTimesOut { attempt } => self.attempt_times_out(attempt),
            Event::CancellationArrives { attempt, endpoint } => {
                self.cancellation_arrives(attempt, endpoint);
            }
            Event::JobFinishes {
                endpoint,
                job_number,
            } => self.job_finishes(endpoint, job_number),
            Event::EndpointReplaced { endpoint } => self.replace_endpoint(endpoint),
            Event::EndpointRemoved { endpoint } => self.remove_endpoint(endpoint),
            Event::EndpointRestarts { endpoint } => self.restart_endpoint(endpoint),
            Event::ProxyTicks { proxy } => self.proxy_ticks(proxy),
            Event::ProxyNotified { proxy, full_list } => self.notify_proxy(proxy, full_list),
            Event::ProxyRestarts { proxy } => self.restart_proxy(proxy),
            Event::ProxyFailureDetected { proxy } => self.proxy_failure_detected(proxy),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::EndpointsPause { fault } => self.pause_endpoints(fault),
        }
    }
}
