//! Weighted random choice, which the paper calls roulette.

use crate::types::{EndpointId, SeededRandom};

/// An endpoint that may be drawn, and its weight among others.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    pub(crate) weight: f64,
}

/// Endpoints with their weights.
pub(crate) fn weigh(endpoints: Vec<EndpointId>, weights: Vec<f64>) -> Vec<Candidate> {
    let candidate = |(endpoint, weight)| Candidate { endpoint, weight };
    endpoints.into_iter().zip(weights).map(candidate).collect()
}

/// Draws one of the candidates, of which there is at least one; each alike where none has a weight.
pub(crate) fn choose(rng: &mut SeededRandom, candidates: &[Candidate]) -> EndpointId {
    let sum: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let equal_weight = if sum <= 0.0 { 1.0 } else { 0.0 };
    let mut left = rng.0.rand_float() * (sum + equal_weight * candidates.len() as f64);
    let hit = candidates.iter().find(|candidate| {
        left -= candidate.weight + equal_weight;
        left < 0.0
    });
    // Rounding may leave a rest behind the last.
    hit.unwrap_or(&candidates[candidates.len() - 1]).endpoint
}
