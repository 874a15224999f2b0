//! Selection of fault targets, and the combined effect of the active faults.

use crate::endpoint::{Endpoint, EndpointFaults};
use crate::random::RandomStream;
use crate::script::{Fault, FaultKind, Script};

/// The endpoints and proxies that a fault affects.
#[derive(Clone, Debug, Default)]
pub struct FaultTargets {
    /// Endpoint indices in ascending order.
    pub endpoints: Vec<usize>,
    /// Proxy indices in ascending order.
    pub proxies: Vec<usize>,
    /// Index of the zone, if the fault names one.
    pub zone: Option<usize>,
}

/// Zone pairs between which messages are lost, indexed `[from][to]`.
#[derive(Clone, Debug)]
pub struct Partitions {
    /// Requests from proxies of one zone to endpoints of another.
    pub requests: Vec<Vec<bool>>,
    /// Responses from endpoints of one zone to proxies of another.
    pub responses: Vec<Vec<bool>>,
}

impl Partitions {
    /// No partition: all zones can reach each other.
    pub fn none(zones: usize) -> Self {
        Partitions {
            requests: vec![vec![false; zones]; zones],
            responses: vec![vec![false; zones]; zones],
        }
    }

    /// Combines the partitions of the active faults.
    pub fn from_faults(active: &[(&Fault, &FaultTargets)], zones: usize) -> Self {
        let mut partitions = Partitions::none(zones);
        for (fault, targets) in active {
            let Some(zone) = targets.zone else { continue };
            for other in (0..zones).filter(|other| *other != zone) {
                if fault.kind == FaultKind::ZonePartition {
                    partitions.requests[zone][other] = true;
                    partitions.requests[other][zone] = true;
                    partitions.responses[zone][other] = true;
                    partitions.responses[other][zone] = true;
                }
                if fault.kind == FaultKind::OneWayPartition {
                    partitions.responses[zone][other] = true;
                }
            }
        }
        partitions
    }
}

/// Selects the targets of a fault when it begins, using a random stream of its own.
pub fn select_targets(
    script: &Script,
    fault_index: usize,
    seed: u64,
    endpoints: &[Endpoint],
    listed: &[bool],
) -> FaultTargets {
    let fault = &script.faults[fault_index];
    let mut random = RandomStream::named(seed, &format!("fault {fault_index}"));
    let named_zone = fault.zone.as_ref();
    let zone = named_zone.and_then(|name| script.zones.iter().position(|zone| zone == name));
    let in_zone = |candidate: usize| zone.is_none_or(|zone| candidate == zone);
    let of_type = |endpoint: &Endpoint| {
        let machine_type = fault.machine_type.as_ref();
        machine_type.is_none_or(|name| endpoint.machine.name == *name)
    };
    let candidates = endpoints.iter().enumerate().filter(|(index, endpoint)| {
        endpoint.up && listed[*index] && of_type(endpoint) && in_zone(endpoint.zone)
    });
    let candidates = candidates.map(|(index, _)| index).collect();
    let sampled_endpoints = sample_fraction(candidates, fault.fraction, &mut random);
    let proxies = (0..script.proxies).filter(|proxy| in_zone(proxy % script.zones.len()));
    FaultTargets {
        endpoints: sampled_endpoints,
        proxies: sample_fraction(proxies.collect(), fault.fraction, &mut random),
        zone,
    }
}

/// Samples a fraction of the candidates. For the same random stream, the sample for a larger fraction contains the
/// sample for a smaller one.
fn sample_fraction(candidates: Vec<usize>, fraction: f64, random: &mut RandomStream) -> Vec<usize> {
    let mut shuffled: Vec<(u64, usize)> = candidates
        .into_iter()
        .map(|candidate| (random.bits(), candidate))
        .collect();
    shuffled.sort_unstable();
    let count = (fraction * shuffled.len() as f64).round() as usize;
    let mut selected: Vec<usize> = shuffled
        .into_iter()
        .take(count)
        .map(|(_, candidate)| candidate)
        .collect();
    selected.sort_unstable();
    selected
}

/// Probability that at least one of two independent events occurs.
fn either_probability(first: f64, second: f64) -> f64 {
    1.0 - (1.0 - first) * (1.0 - second)
}

/// Combines the effects of the active faults on one endpoint.
pub fn endpoint_faults(active: &[(&Fault, &FaultTargets)], endpoint: usize) -> EndpointFaults {
    let mut faults = EndpointFaults::default();
    let is_target = |targets: &FaultTargets| targets.endpoints.binary_search(&endpoint).is_ok();
    for (fault, _) in active.iter().filter(|(_, targets)| is_target(targets)) {
        let strength = fault.strength;
        match fault.kind {
            FaultKind::Slow => faults.slowdown *= strength,
            FaultKind::FailFast => {
                faults.failure_probability =
                    either_probability(faults.failure_probability, strength);
            }
            FaultKind::Unresponsive => faults.unresponsive = true,
            FaultKind::ResponsesLost => {
                faults.response_loss = either_probability(faults.response_loss, strength);
            }
            FaultKind::ConnectionResets => {
                faults.reset_probability = either_probability(faults.reset_probability, strength);
            }
            FaultKind::LoadReportsLate => faults.report_delay_ms += 1000.0 * strength,
            FaultKind::LoadReportsWrong => faults.report_factor *= strength,
            FaultKind::LoadReportsMissing => faults.reports_missing = true,
            _ => {}
        }
    }
    faults
}
