//! A lower bound of the time on another node's clock.

use syc_types::Millis;

/// Largest difference between the speeds of two clocks, as a divisor: 5%, above the 2% that VMs are known to have.
const MAX_DRIFT_DIVISOR: u64 = 20;

/// What the replies of another node tell about its monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RemoteClock {
    /// Time on both clocks, the other node's first, that gives the greatest lower bound.
    reading: Option<(Millis, Millis)>,
}

impl RemoteClock {
    /// Records that a reply with the other node's time was read at `now`.
    ///
    /// A reply that waited here while this process was stopped gives a lower bound that is far too low, so it does not
    /// replace a better one.
    pub fn record(&mut self, remote: Millis, now: Millis) {
        if remote == Millis(0) {
            // Earlier versions do not state the time.
            return;
        }
        if self.earliest(now).is_none_or(|earliest| remote >= earliest) {
            self.reading = Some((remote, now));
        }
    }

    /// Returns a time that the other node's clock has reached by `now`, or none before the first reading.
    #[must_use]
    pub fn earliest(&self, now: Millis) -> Option<Millis> {
        let (remote, read_at) = self.reading?;
        let elapsed_ms = now.since(read_at);
        Some(remote.plus(elapsed_ms - elapsed_ms / MAX_DRIFT_DIVISOR))
    }
}
