//! Backoff of elections that replace schedulers which are alive.
//!
//! Load pattern: more work than the scheduler's node has processor time for. It answers other nodes and writes its
//! heartbeats late, and is replaced although it is alive. Its successor inherits the load and a longer takeover. If
//! each of them were replaced as fast as a failed scheduler, none would ever work off the backlog.

use syc_types::Millis;

use crate::Tenure;

/// After this time without another replacement of a live scheduler, elections are as fast as usual.
const WINDOW_MS: u64 = 10_000;

/// Replacements of live schedulers within the window that do not slow elections down. A single one is usually right:
/// the scheduler was paused, or cut off from the store.
const FREE_REPLACEMENTS: u32 = 1;

/// Maximum number of times that the timeouts are doubled. A scheduler that fails meanwhile must still be replaced
/// within seconds.
const DOUBLINGS_LIMIT: u32 = 2;

/// Counts replacements of live schedulers, and lengthens the heartbeat timeouts while they follow each other.
#[derive(Debug, Clone, Default)]
pub struct ElectionBackoff {
    /// The latest scheduler that was alive when it had been replaced, and when that was learned.
    latest: Option<(Tenure, Millis)>,
    /// Number of such schedulers, each within the window after the one before.
    replacements: u32,
}

impl ElectionBackoff {
    /// Records that a replaced scheduler has answered, so that it was alive. Reports of the same one count once.
    /// Returns whether it is the first report.
    pub fn record_live_predecessor(&mut self, predecessor: Tenure, now: Millis) -> bool {
        if self.latest.is_some_and(|(known, _)| known == predecessor) {
            return false;
        }
        self.replacements = self.replacements_in_window(now).saturating_add(1);
        self.latest = Some((predecessor, now));
        true
    }

    /// Returns the factor by which heartbeat timeouts are longer than usual, at least 1.
    #[must_use]
    pub fn timeout_factor(&self, now: Millis) -> u64 {
        let counted = self.replacements_in_window(now);
        let doublings = counted.saturating_sub(FREE_REPLACEMENTS);
        1 << doublings.min(DOUBLINGS_LIMIT)
    }

    fn replacements_in_window(&self, now: Millis) -> u32 {
        let is_recent = |(_, at): (Tenure, Millis)| now.since(at) < WINDOW_MS;
        if self.latest.is_some_and(is_recent) {
            self.replacements
        } else {
            0
        }
    }
}
