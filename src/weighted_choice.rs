//! Weighted random choice (roulette wheel selection).

use crate::types::{EndpointId, SeededRandom};

/// An endpoint that may be chosen, and its weight.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    pub(crate) weight: f64,
}

/// Pairs endpoints with their weights.
pub(crate) fn weighted_candidates(endpoints: Vec<EndpointId>, weights: Vec<f64>) -> Vec<Candidate> {
    let candidate = |(endpoint, weight)| Candidate { endpoint, weight };
    endpoints.into_iter().zip(weights).map(candidate).collect()
}

/// Chooses one of the candidates at random by weight, or uniformly if all weights are 0. There must be at
/// least one candidate.
pub(crate) fn choose_weighted(rng: &mut SeededRandom, candidates: &[Candidate]) -> EndpointId {
    let sum: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let equal_weight = if sum <= 0.0 { 1.0 } else { 0.0 };
    let mut remainder = rng.0.rand_float() * (sum + equal_weight * candidates.len() as f64);
    let hit = candidates.iter().find(|candidate| {
        remainder -= candidate.weight + equal_weight;
        remainder < 0.0
    });
    // Rounding may leave a remainder after the last candidate.
    hit.unwrap_or(&candidates[candidates.len() - 1]).endpoint
}
