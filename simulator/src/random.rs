//! Named random streams. Each purpose has its own stream, so extra draws in one do not change the others.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Upper bound of a log-normal sample.
const MAX_LOG_NORMAL: f64 = 20.0;
/// Upper bound of a Pareto sample.
const MAX_PARETO: f64 = 50.0;

/// A hash of a name that does not depend on the platform or the Rust version.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A seeded stream of random numbers.
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Returns the stream with this name for a seed.
    pub fn named(seed: u64, name: &str) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stable_hash(name));
        RandomStream(generator)
    }

    /// Samples uniformly from `[0, 1)`.
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns true with this probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Samples an index below `length` uniformly; returns 0 if `length` is 0.
    pub fn index_below(&mut self, length: usize) -> usize {
        ((self.uniform() * length as f64) as usize).min(length.saturating_sub(1))
    }

    /// Samples 64 uniform random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Samples the time until the next event of a Poisson process with `rate` events per unit of time.
    pub fn exponential(&mut self, rate: f64) -> f64 {
        Exp::new(rate.max(1e-12)).map_or(f64::MAX, |exponential| exponential.sample(&mut self.0))
    }

    /// Samples a log-normal factor with this sigma and a mean of one, capped at `MAX_LOG_NORMAL`.
    pub fn log_normal(&mut self, sigma: f64) -> f64 {
        let distribution = LogNormal::new(-0.5 * sigma * sigma, sigma.max(0.0));
        distribution.map_or(1.0, |log_normal| {
            log_normal.sample(&mut self.0).min(MAX_LOG_NORMAL)
        })
    }

    /// Samples a Pareto factor with a mean of one, capped at `MAX_PARETO`. `exponent` must be greater than one.
    pub fn pareto(&mut self, exponent: f64) -> f64 {
        let distribution = Pareto::new((exponent - 1.0) / exponent, exponent);
        distribution.map_or(1.0, |pareto| pareto.sample(&mut self.0).min(MAX_PARETO))
    }

    /// Samples an index with probability proportional to its weight; returns 0 if all weights are 0.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.uniform() * weights.iter().sum::<f64>();
        let index = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        index.unwrap_or(0)
    }
}
