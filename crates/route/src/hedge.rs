//! When a request that has no answer yet is sent to a second endpoint too.

/// How late a request must be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeOptions {
    /// Share of the answers that come earlier than a late one.
    pub share: f32,
    /// Answers that must have been seen before any request counts as late.
    pub answers: u32,
    /// Shortest time after which a request counts as late.
    pub least_us: u64,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self {
            share: 0.95,
            answers: 100,
            least_us: 2_000,
        }
    }
}

/// Part of the estimate by which one answer moves it at most.
const STEP: f32 = 0.05;

/// Follows the time within which most answers come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeTimer {
    options: HedgeOptions,
    late_us: f32,
    answers: u32,
}

impl HedgeTimer {
    /// Makes a timer that has seen no answer.
    #[must_use]
    pub const fn new(options: HedgeOptions) -> Self {
        Self {
            options,
            late_us: 0.0,
            answers: 0,
        }
    }

    /// Notes the time of an answer.
    ///
    /// The estimate rests where the wanted share of the answers comes earlier.
    pub fn note(&mut self, latency_us: u64) {
        #[expect(clippy::cast_precision_loss, reason = "an estimate needs no more")]
        let latency_us = latency_us as f32;
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            self.late_us = latency_us;
            return;
        }
        let step_us = (self.late_us * STEP).max(1.0);
        if latency_us > self.late_us {
            self.late_us += step_us * self.options.share;
        } else {
            self.late_us -= step_us * (1.0 - self.options.share);
        }
    }

    /// Returns the time after which a request counts as late, in microseconds.
    #[must_use]
    pub fn after_us(&self) -> Option<u64> {
        if self.answers < self.options.answers {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the estimate stays positive, and the conversion saturates"
        )]
        let late_us = self.late_us as u64;
        Some(late_us.max(self.options.least_us))
    }
}
