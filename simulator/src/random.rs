//! Chance in named streams: each use draws from its own; a fault more does not shuffle the arrivals.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A number for a name, the same on every machine.
pub fn number(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// One stream of chance.
pub struct Stream(ChaCha8Rng);

impl Stream {
    /// The stream of this name under a seed.
    pub fn of(seed: u64, name: &str) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number(name));
        Stream(rng)
    }

    /// From 0 to just under 1.
    pub fn part(&mut self) -> f64 {
        self.0.random()
    }

    pub fn yes(&mut self, odds: f64) -> bool {
        self.part() < odds
    }

    /// A whole number under `most`; 0 where there is none.
    pub fn under(&mut self, most: usize) -> usize {
        ((self.part() * most as f64) as usize).min(most.saturating_sub(1))
    }

    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// The wait to the next of events that come `rate` a millisecond.
    pub fn wait(&mut self, rate: f64) -> f64 {
        Exp::new(rate.max(1e-12)).map_or(f64::MAX, |exp| exp.sample(&mut self.0))
    }

    /// Around a mean of one: log-normal with this sigma, held to 20.
    pub fn log_normal(&mut self, sigma: f64) -> f64 {
        let spread = LogNormal::new(-0.5 * sigma * sigma, sigma.max(0.0));
        spread.map_or(1.0, |spread| spread.sample(&mut self.0).min(20.0))
    }

    /// Around a mean of one: Pareto with this tail exponent, above one; held to 50.
    pub fn pareto(&mut self, alpha: f64) -> f64 {
        let spread = Pareto::new((alpha - 1.0) / alpha, alpha);
        spread.map_or(1.0, |spread| spread.sample(&mut self.0).min(50.0))
    }

    /// An index by weight; 0 where all weights are 0.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.part() * weights.iter().sum::<f64>();
        let hit = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        hit.unwrap_or(0)
    }
}
