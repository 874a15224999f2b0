//! Initial state of a run.

use super::clients::RoutingTable;
use super::discovery::EndpointList;
use super::event_queue::{Event, EventQueue};
use super::proxies::Proxy;
use super::slab::Slab;
use super::{Environment, RandomStreams, START_MS};
use crate::endpoint::Endpoint;
use crate::faults::Partitions;
use crate::invariants::{InvariantChecker, Tolerances};
use crate::policies::{Policy, PolicyError, PolicyKind};
use crate::random::{stable_hash, RandomStream};
use crate::results::ResultsCollector;
use crate::script::Script;

/// Odd multiplier, 2^64 divided by the golden ratio, that keeps the seeds of proxies in different runs apart.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl RandomStreams {
    fn new(seed: u64) -> Self {
        let stream = |name| RandomStream::named(seed, name);
        RandomStreams {
            arrivals: stream("arrivals"),
            work: stream("work"),
            clients: stream("clients"),
            network: stream("way"),
            discovery: stream("lists"),
            faults: stream("faults"),
        }
    }
}

/// Creates the initial endpoints of a script. All endpoints of a pod are in one zone.
fn initial_endpoints(script: &Script) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    let mut pods = 0;
    for machine in &script.machine_types {
        for index in 0..machine.count {
            let zone = (index / machine.pod_size) % script.zones.len();
            let pod = pods + index / machine.pod_size;
            let stable_hash = stable_hash(&format!("{} {index}", machine.name));
            endpoints.push(Endpoint::new(
                machine,
                &script.limits,
                stable_hash,
                zone,
                pod,
                0.0,
            ));
        }
        pods += machine.count.div_ceil(machine.pod_size);
    }
    endpoints
}

fn initial_proxies(
    script: &Script,
    policy_kind: PolicyKind,
    seed: u64,
    skew_random: &mut RandomStream,
) -> Result<Vec<Proxy>, PolicyError> {
    let mut proxies = Vec::new();
    for index in 0..script.proxies {
        let proxy_seed = seed
            .wrapping_mul(SEED_MULTIPLIER)
            .wrapping_add(index as u64);
        let policy = Policy::new(policy_kind, script, index, proxy_seed)?;
        let zone = index % script.zones.len();
        let weight = skew_random.log_normal(script.load.proxy_sigma);
        proxies.push(Proxy::new(policy, zone, weight));
    }
    Ok(proxies)
}

/// Upper bound of the arrival rate in calls per millisecond: the peak of the wave during the largest burst.
fn peak_rate(script: &Script) -> f64 {
    let bursts = script.load.bursts.iter().map(|burst| burst.factor);
    let largest_burst = bursts.fold(1.0, f64::max);
    script.rate() / 1000.0 * (1.0 + script.load.wave_amplitude) * largest_burst
}

impl<'a> Environment<'a> {
    pub(super) fn new(
        script: &'a Script,
        policy_kind: PolicyKind,
        seed: u64,
    ) -> Result<Self, PolicyError> {
        let zones = script.zones.len();
        let endpoints = initial_endpoints(script);
        let mut skew_random = RandomStream::named(seed, "shape");
        let zone_weights: Vec<f64> = (0..zones)
            .map(|_| skew_random.log_normal(script.load.zone_sigma))
            .collect();
        let proxies = initial_proxies(script, policy_kind, seed, &mut skew_random)?;
        let limits = &script.limits;
        let mut environment = Environment {
            script,
            policy_kind,
            seed,
            now: START_MS,
            end: START_MS + 1000.0 * script.duration_s,
            queue: EventQueue::default(),
            request_serial: 0,
            events_handled: 0,
            proxies,
            endpoint_list: EndpointList::new(endpoints.len()),
            endpoints,
            calls: Slab::new(),
            requests: Slab::new(),
            active_faults: Vec::new(),
            partitions: Partitions::none(zones),
            random: RandomStreams::new(seed),
            routing: Vec::<RoutingTable>::new(),
            peak_rate: peak_rate(script),
            zone_weights,
            mean_work_ms: script.mean_work_ms(),
            checker: InvariantChecker::new(Tolerances {
                answer_slack_ms: limits.answer_slack_ms,
                drain_grace_ms: limits.drain_grace_ms,
                overload_multiple: limits.overload_multiple,
                overload_window_ms: limits.overload_window_ms,
            }),
            results: ResultsCollector::new(script),
        };
        environment.schedule_first_events();
        Ok(environment)
    }

    fn schedule_first_events(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy);
        }
        self.update_routing();
        self.schedule_next_call();
        for (fault, settings) in self.script.faults.iter().enumerate() {
            self.schedule(1000.0 * settings.start_s, Event::FaultBegins { fault });
        }
    }
}
