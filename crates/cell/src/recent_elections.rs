//! Counts recent elections, so that the log shows whether the scheduler role settles.

use std::collections::VecDeque;

use syc_types::Millis;

/// Elections are counted for this long.
const WINDOW_MS: u64 = 60_000;

/// Largest number of elections that are counted.
const MAX_ELECTIONS: usize = 100;

/// The elections of the last minute that this node has seen.
#[derive(Debug, Default)]
pub(crate) struct RecentElections {
    /// Token and time of each.
    seen: VecDeque<(u64, Millis)>,
}

impl RecentElections {
    /// Records a record of the scheduler with this token.
    pub(crate) fn record(&mut self, token: u64, now: Millis) {
        if self.seen.back().is_some_and(|(latest, _)| *latest >= token) {
            return;
        }
        if self.seen.len() >= MAX_ELECTIONS {
            self.seen.pop_front();
        }
        self.seen.push_back((token, now));
    }

    /// Returns the number of schedulers elected within the last minute.
    pub(crate) fn count(&self, now: Millis) -> usize {
        let recent = self.seen.iter();
        recent.filter(|(_, at)| now.since(*at) < WINDOW_MS).count()
    }
}
