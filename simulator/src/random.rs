//! Random numbers in named streams: each use draws from its own, so a change of one does not shift the others.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The largest factor that a log-normal draw gives.
const MAX_LOG_NORMAL: f64 = 20.0;
/// The largest factor that a Pareto draw gives.
const MAX_PARETO: f64 = 50.0;

/// A hash of a name, the same on every machine and in every version.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// One stream of random numbers.
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// The stream of this name under a seed.
    pub fn named(seed: u64, name: &str) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stable_hash(name));
        RandomStream(generator)
    }

    /// A number from 0 to just under 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// An index below `length`; 0 where that is 0.
    pub fn index_below(&mut self, length: usize) -> usize {
        ((self.unit() * length as f64) as usize).min(length.saturating_sub(1))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// The wait until the next event of a Poisson process, in the unit of time that `rate` counts events by.
    pub fn exponential(&mut self, rate: f64) -> f64 {
        Exp::new(rate.max(1e-12)).map_or(f64::MAX, |exponential| exponential.sample(&mut self.0))
    }

    /// A factor with a mean of one: log-normal with this sigma, bounded above.
    pub fn log_normal(&mut self, sigma: f64) -> f64 {
        let distribution = LogNormal::new(-0.5 * sigma * sigma, sigma.max(0.0));
        distribution.map_or(1.0, |log_normal| {
            log_normal.sample(&mut self.0).min(MAX_LOG_NORMAL)
        })
    }

    /// A factor with a mean of one: Pareto with this tail exponent, above one; bounded above.
    pub fn pareto(&mut self, exponent: f64) -> f64 {
        let distribution = Pareto::new((exponent - 1.0) / exponent, exponent);
        distribution.map_or(1.0, |pareto| pareto.sample(&mut self.0).min(MAX_PARETO))
    }

    /// An index by weight; 0 where all weights are 0.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        let hit = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        hit.unwrap_or(0)
    }
}
