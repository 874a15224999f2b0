//! Token buckets whose rate and capacity are passed to each refill, as they may change.

use crate::types::SeededRandom;

#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at_ms: f64,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, now_ms: f64) -> Self {
        TokenBucket { tokens, refilled_at_ms: now_ms }
    }

    /// Returns the tokens that accrued since the last call, at a rate per millisecond, without adding them.
    fn accrue(&mut self, now_ms: f64, rate: f64) -> f64 {
        let accrued = rate * (now_ms - self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        accrued
    }

    /// Adds the tokens that accrued since the last call, at a rate per millisecond, up to a capacity.
    pub(crate) fn refill(&mut self, now_ms: f64, rate: f64, capacity: f64) {
        self.tokens = (self.tokens + self.accrue(now_ms, rate)).min(capacity);
    }

    /// Takes tokens if enough are available, and returns whether it did.
    pub(crate) fn try_take(&mut self, tokens: f64) -> bool {
        if self.tokens < tokens {
            return false;
        }
        self.tokens -= tokens;
        true
    }
}

/// A token bucket whose capacity may be below one token. It then issues a token each time that the total
/// accrued reaches a whole number, and withdraws it once a further `capacity` has accrued. The total starts
/// at a random fraction, so that the buckets of many proxies don't issue their tokens at the same time.
#[derive(Clone, Copy, Default)]
pub(crate) struct FractionalTokenBucket {
    bucket: TokenBucket,
    /// The accrued fraction of the next token; none before the first refill.
    fraction: Option<f64>,
}

impl FractionalTokenBucket {
    pub(crate) fn new(now_ms: f64) -> Self {
        FractionalTokenBucket { bucket: TokenBucket::new(0.0, now_ms), fraction: None }
    }

    pub(crate) fn has_token(&self) -> bool {
        self.bucket.tokens >= 1.0
    }

    pub(crate) fn take(&mut self, tokens: f64) {
        self.bucket.tokens -= tokens;
    }

    /// Adds the tokens that accrued since the last call, at a rate per millisecond, up to a capacity.
    pub(crate) fn refill(&mut self, now_ms: f64, rate: f64, capacity: f64, rng: &mut SeededRandom) {
        let accrued = self.bucket.accrue(now_ms, rate);
        let due = self.fraction.unwrap_or_else(|| rng.0.rand_float()) + accrued;
        self.fraction = Some(due.fract());
        if capacity >= 1.0 {
            self.bucket.tokens = (self.bucket.tokens + accrued).min(capacity);
        } else if due >= 1.0 || due >= capacity {
            let issues_token = due >= 1.0 && due.fract() < capacity;
            self.bucket.tokens = if issues_token { 1.0 } else { 0.0 };
        }
    }
}
