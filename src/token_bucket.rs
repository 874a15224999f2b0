//! Token buckets.

use crate::types::SeededRandom;

/// A token bucket; its rate and capacity are told at each refill, as they may change.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at_ms: f64,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, now_ms: f64) -> Self {
        TokenBucket { tokens, refilled_at_ms: now_ms }
    }

    /// The tokens that came in since the last call, at so many a millisecond. They are not added.
    fn income(&mut self, now_ms: f64, rate: f64) -> f64 {
        let income = rate * (now_ms - self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        income
    }

    /// Adds the tokens that came in since the last call, at so many a millisecond, up to a capacity.
    pub(crate) fn refill(&mut self, now_ms: f64, rate: f64, capacity: f64) {
        self.tokens = (self.tokens + self.income(now_ms, rate)).min(capacity);
    }

    /// Takes tokens if there are so many.
    pub(crate) fn take(&mut self, tokens: f64) -> bool {
        if self.tokens < tokens {
            return false;
        }
        self.tokens -= tokens;
        true
    }
}

/// A token bucket whose capacity may be under one token. A token then falls due each time that the income of
/// all time reaches a whole number, and lapses once the income has passed it by more than the capacity. The
/// first falls due by chance, so that many buckets that are filled alike give their tokens one after the
/// other.
#[derive(Clone, Copy, Default)]
pub(crate) struct EvenTokenBucket {
    bucket: TokenBucket,
    /// The fraction of the next token that has come in.
    fraction: Option<f64>,
}

impl EvenTokenBucket {
    pub(crate) fn new(now_ms: f64) -> Self {
        EvenTokenBucket { bucket: TokenBucket::new(0.0, now_ms), fraction: None }
    }

    pub(crate) fn has_token(&self) -> bool {
        self.bucket.tokens >= 1.0
    }

    pub(crate) fn take(&mut self, tokens: f64) {
        self.bucket.tokens -= tokens;
    }

    /// Adds the tokens that came in since the last call, at so many a millisecond, up to a capacity.
    pub(crate) fn refill(&mut self, now_ms: f64, rate: f64, capacity: f64, rng: &mut SeededRandom) {
        let income = self.bucket.income(now_ms, rate);
        let due = self.fraction.unwrap_or_else(|| rng.0.rand_float()) + income;
        self.fraction = Some(due.fract());
        if capacity >= 1.0 {
            self.bucket.tokens = (self.bucket.tokens + income).min(capacity);
        } else if due >= 1.0 || due >= capacity {
            let falls_due = due >= 1.0 && due.fract() < capacity;
            self.bucket.tokens = if falls_due { 1.0 } else { 0.0 };
        }
    }
}
