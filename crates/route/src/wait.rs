//! How long a waiting request will still wait, from the pace of the queue.

use syc_types::Millis;

/// Weight of the newest interval in the moving average.
const WEIGHT: f64 = 0.1;

/// Pace at which waiting requests are served, measured only while some wait.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Pace {
    interval_ms: f64,
    last: Option<Millis>,
}

impl Pace {
    /// Notes that a request waits; the first one starts the measuring.
    pub(crate) fn waiting(&mut self, now: Millis) {
        self.last = self.last.or(Some(now));
    }

    /// Notes that one was served; `more` says whether others still wait.
    pub(crate) fn served(&mut self, now: Millis, more: bool) {
        let Some(last) = self.last else {
            return;
        };
        self.interval_ms += (to_f64(now.since(last)) - self.interval_ms) * WEIGHT;
        self.last = more.then_some(now);
    }

    /// Notes that none waits any more.
    pub(crate) fn idle(&mut self) {
        self.last = None;
    }

    /// Returns the expected wait of the request at `position`, in milliseconds.
    ///
    /// The first one is judged only by how long nothing was served, so that there is always one
    /// that measures the pace.
    pub(crate) fn expected_ms(&self, position: usize, now: Millis) -> u64 {
        let stalled_ms = self.last.map_or(0, |last| now.since(last));
        let stalled_ms = to_f64(stalled_ms);
        let interval_ms = self.interval_ms.max(stalled_ms);
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let ahead_ms = position as f64 * interval_ms;
        to_u64(ahead_ms + stalled_ms)
    }
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no more")]
const fn to_f64(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
const fn to_u64(value: f64) -> u64 {
    value as u64
}
