//! Subsetting: chooses the endpoints that this proxy sends requests to.

use super::Balancer;
use crate::ranking;
use crate::state::Endpoint;
use crate::types::EndpointId;

const MIN_ENDPOINTS: f64 = 4.0; // leaves a choice if one of them fails
const TARGET_PROXIES_PER_ENDPOINT: f64 = 6.0; // so that an endpoint's limit has room for an attempt of each
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_75; // its multiples are evenly distributed modulo 1
const REFRESH_INTERVAL_MS: f64 = 1000.0; // the subset depends on error rates
const COVERAGE_WINDOW_MS: f64 = 2000.0; // about the refresh interval of load reports

impl Balancer {
    /// Chooses two segments, in two permutations of the endpoints that are the same on all proxies. Evenly
    /// spaced start positions cover all endpoints evenly, and a changed list moves a segment only slightly.
    /// In a large cluster, using all endpoints would give too few samples and open connections for each.
    pub(super) fn refresh_subset(&mut self) {
        if self.now_ms - self.subset_chosen_at_ms < REFRESH_INTERVAL_MS {
            return;
        }
        self.subset_chosen_at_ms = self.now_ms;
        let usable = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_usable());
        let ready: Vec<_> = usable.map(|(id, endpoint)| (*id, endpoint)).collect();
        let count = ready.len() as f64;
        let size = (TARGET_PROXIES_PER_ENDPOINT * count / self.proxy_count).max(MIN_ENDPOINTS);
        let segment_length = if size < count { 0.5 * size } else { size };
        let number = self.settings.proxy_number.unwrap_or(0.0);
        let mut subset: Vec<EndpointId> = ready.iter().map(|(id, _)| *id).collect();
        if !self.uses_all_endpoints(&ready) {
            subset = segment(&ready, 1, number / self.proxy_count, segment_length);
            subset.extend(segment(&ready, 2, number * GOLDEN_RATIO_CONJUGATE, segment_length));
        }
        subset.sort_unstable();
        subset.dedup();
        let sharing_proxies = self.proxy_count * subset.len() as f64 / count.max(1.0);
        self.proxies_per_endpoint = sharing_proxies.max(1.0) / self.process_share;
        self.subset = subset;
    }

    /// Whether to use all endpoints: with load probes, as busy proxies would overload a subset; with key
    /// affinity, as each subset would repeat a key's work, if this proxy's traffic covers all endpoints.
    fn uses_all_endpoints(&self, ready: &[(EndpointId, &Endpoint)]) -> bool {
        let throughput: f64 = ready.iter().map(|(_, endpoint)| endpoint.throughput(self.now_ms)).sum();
        let covers_all = throughput * COVERAGE_WINDOW_MS > ready.len() as f64;
        self.settings.load_by_probes || (self.settings.key_affinity && covers_all)
    }
}

/// A segment of a permutation of the endpoints, from a start position given as a fraction. Failing endpoints
/// count less, which extends the segment to at most twice its length.
fn segment(ready: &[(EndpointId, &Endpoint)], seed: u64, position: f64, length: f64) -> Vec<EndpointId> {
    let mut ranked = ready.to_vec();
    ranked.sort_by_key(|(_, endpoint)| ranking::permutation_rank(seed, endpoint.stable_hash));
    let start = (position.fract() * ranked.len() as f64) as usize;
    let (mut segment, mut healthy) = (Vec::new(), 0.0);
    for (id, endpoint) in ranked[start..].iter().chain(&ranked[..start]) {
        if healthy >= length - 0.5 || segment.len() as f64 >= 2.0 * length {
            break;
        }
        healthy += 1.0 - endpoint.statistics.error_rate;
        segment.push(*id);
    }
    segment
}
