//! Subsetting: the part of the fleet that this proxy draws from.

use super::Balancer;
use crate::ranking;
use crate::state::Endpoint;
use crate::types::EndpointId;

const MIN_ENDPOINTS: f64 = 4.0; // leaves a choice with one in trouble
const PROXIES_PER_ENDPOINT: f64 = 6.0; // one attempt of each fits a limit; fewer lost more at every size
const GOLDEN_RATIO: f64 = 0.618_033_988_75; // its multiples lie evenly too, and far from plain fractions
const CHOOSE_EVERY_MS: f64 = 1000.0; // health moves the subset
const HEARD_OF_ALL_MS: f64 = 2000.0; // about as often as load reports renew themselves

impl Balancer {
    /// Hundreds of proxies over hundreds of endpoints would have no evidence of any and dial for nearly each
    /// attempt. So a proxy draws from two runs, which start at its own places in two orders of the fleet that
    /// all know alike. Even places cover all endpoints evenly, and a changed list moves a run by little.
    pub(super) fn refresh_subset(&mut self) {
        if self.now_ms - self.subset_chosen_at_ms < CHOOSE_EVERY_MS {
            return;
        }
        self.subset_chosen_at_ms = self.now_ms;
        let usable = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_usable());
        let ready: Vec<_> = usable.map(|(id, endpoint)| (*id, endpoint)).collect();
        let count = ready.len() as f64;
        let size = (PROXIES_PER_ENDPOINT * count / self.proxy_count).max(MIN_ENDPOINTS);
        let run_length = if size < count { 0.5 * size } else { size };
        let number = self.settings.proxy_number.unwrap_or(0.0);
        let mut subset: Vec<EndpointId> = ready.iter().map(|(id, _)| *id).collect();
        if !self.needs_whole_fleet(&ready) {
            subset = run(&ready, 1, number / self.proxy_count, run_length);
            subset.extend(run(&ready, 2, number * GOLDEN_RATIO, run_length));
        }
        subset.sort_unstable();
        subset.dedup();
        let sharing = self.proxy_count * subset.len() as f64 / count.max(1.0);
        self.proxies_per_endpoint = sharing.max(1.0) / self.process_share;
        self.subset = subset;
    }

    /// Whether a subset would do harm: busy proxies would crowd it where probes tell of all, and work that is
    /// kept by key would be done anew in each, unless this proxy hears too little of the others.
    fn needs_whole_fleet(&self, ready: &[(EndpointId, &Endpoint)]) -> bool {
        let throughput: f64 = ready.iter().map(|(_, endpoint)| endpoint.throughput(self.now_ms)).sum();
        let hears_of_all = throughput * HEARD_OF_ALL_MS > ready.len() as f64;
        self.settings.load_by_probes || (self.settings.key_affinity && hears_of_all)
    }
}

/// A run of endpoints in an order of the fleet, from a place in it, of which 1 is the whole. Endpoints that
/// fail do not count, which widens the run to twice its length at most.
fn run(ready: &[(EndpointId, &Endpoint)], order: u64, place: f64, length: f64) -> Vec<EndpointId> {
    let mut ranked = ready.to_vec();
    ranked.sort_by_key(|(_, endpoint)| ranking::permutation_rank(order, endpoint.stable_hash));
    let start = (place.fract() * ranked.len() as f64) as usize;
    let (mut run, mut healthy) = (Vec::new(), 0.0);
    for (id, endpoint) in ranked[start..].iter().chain(&ranked[..start]) {
        if healthy >= length - 0.5 || run.len() as f64 >= 2.0 * length {
            break;
        }
        healthy += 1.0 - endpoint.statistics.error_rate;
        run.push(*id);
    }
    run
}
