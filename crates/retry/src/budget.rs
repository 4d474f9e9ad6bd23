//! A budget for retries.

use syc_types::Millis;

/// Units of account per token.
const UNITS_PER_TOKEN: u64 = 1_000;

/// A token bucket that pays for retries. It refills over time and with each success.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    burst: u64,
    refill_per_s: u64,
    /// Tokens left, in thousandths.
    tokens: u64,
    refilled_at: Millis,
}

impl Budget {
    /// Creates a full bucket of `burst` tokens that refills at `refill_per_s` tokens per second.
    #[must_use]
    pub const fn new(burst: u64, refill_per_s: u64) -> Self {
        Self {
            burst,
            refill_per_s,
            tokens: burst * UNITS_PER_TOKEN,
            refilled_at: Millis(0),
        }
    }

    /// Refills the bucket up to now and returns whether a token is left.
    pub fn has_token(&mut self, now: Millis) -> bool {
        let refilled = now
            .since(self.refilled_at)
            .saturating_mul(self.refill_per_s);
        self.refilled_at = now;
        self.add(refilled);
        self.tokens >= UNITS_PER_TOKEN
    }

    /// Takes a token if one is left. Returns whether it did.
    pub fn take(&mut self, now: Millis) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.tokens -= UNITS_PER_TOKEN;
        }
        has_token
    }

    /// Returns a token to the bucket.
    pub fn refund(&mut self) {
        self.add(UNITS_PER_TOKEN);
    }

    /// Returns a fraction of a token to the bucket, in thousandths.
    pub fn refund_per_mille(&mut self, per_mille: u64) {
        self.add(per_mille);
    }

    fn add(&mut self, amount: u64) {
        self.tokens = self
            .tokens
            .saturating_add(amount)
            .min(self.burst * UNITS_PER_TOKEN);
    }
}
