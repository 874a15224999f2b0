//! Orders of endpoints that all proxies compute alike, from the endpoints' stable hashes.

use crate::types::EndpointId;

/// The rank of an endpoint for a key: rendezvous hashing, where the lowest ranks are the key's endpoints.
pub(crate) fn rendezvous_rank(key: u64, stable_hash: u64) -> u64 {
    mix(key, stable_hash)
}

/// The rank of an endpoint in one of several orders of the whole fleet.
pub(crate) fn fleet_rank(order: u64, stable_hash: u64) -> u64 {
    mix(stable_hash, stable_hash ^ order)
}

/// The first endpoints by rendezvous rank, of those given with their stable hashes.
pub(crate) fn rendezvous_first(
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
