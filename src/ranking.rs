//! Endpoint orders that are the same on all proxies because they depend only on stable hashes.

use crate::types::EndpointId;

/// The rank of an endpoint for a key by rendezvous hashing; the lowest ranks are preferred.
pub(crate) fn rendezvous_rank(key: u64, stable_hash: u64) -> u64 {
    mix(key, stable_hash)
}

/// The rank of an endpoint in the permutation of all endpoints that this seed selects.
pub(crate) fn permutation_rank(permutation_seed: u64, stable_hash: u64) -> u64 {
    mix(stable_hash, stable_hash ^ permutation_seed)
}

/// Returns the `count` endpoints of lowest rendezvous rank among those given with their stable hashes.
pub(crate) fn rendezvous_top(
    key: u64,
    count: usize,
    endpoints: impl Iterator<Item = (EndpointId, u64)>,
) -> Vec<EndpointId> {
    let mut ranked: Vec<_> = endpoints.collect();
    ranked.sort_by_key(|(_, stable_hash)| rendezvous_rank(key, *stable_hash));
    ranked.truncate(count);
    ranked.into_iter().map(|(endpoint, _)| endpoint).collect()
}

fn mix(high: u64, low: u64) -> u64 {
    oorandom::Rand64::new(u128::from(high) << 64 | u128::from(low)).rand_u64()
}
