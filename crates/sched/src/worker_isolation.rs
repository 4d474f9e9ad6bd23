//! Decides whether a scheduler that no longer hears most of its workers hands over the role.
//!
//! Workers that do not answer are lost, or this node is cut off from them. A successor helps only in the second case. In
//! the first it would wait for the same workers again, and hand over the role as well. So other nodes are asked to query
//! some of the silent workers, and the role is handed over only if one of them reaches more workers than this node.
//!
//! Load pattern: most workers of a cell are silent, for seconds or for good. A comparison asks a bounded number of nodes
//! for a bounded number of workers, whatever their total, and comparisons become rarer while nothing changes.

use syc_types::Millis;

/// Half of the workers must be silent for this long, beyond the time that they are given to answer.
const SILENCE_MS: u64 = 1_500;

/// First interval between two comparisons.
const MIN_INTERVAL_MS: u64 = 1_000;

/// Longest interval between two comparisons.
const MAX_INTERVAL_MS: u64 = 4_000;

/// How many workers answer this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Workers that answer, or have not been given up on yet.
    pub answering: usize,
    /// Workers whose latest renewal was unanswered.
    pub silent: usize,
}

impl WorkerCounts {
    const fn are_most_silent(self) -> bool {
        self.silent > self.answering
    }
}

/// What another node found out about workers that are silent to this one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// Workers that it was asked to query and that are still silent to this node.
    pub asked: usize,
    /// Those of them that answered it.
    pub reached: usize,
}

impl Reach {
    /// Returns whether this is a larger share of the workers asked for.
    #[must_use]
    pub const fn is_better_than(self, other: Self) -> bool {
        self.asked > 0
            && (other.asked == 0 || self.reached * other.asked > other.reached * self.asked)
    }

    /// Returns whether the other node reaches more workers than this one, even if it reaches none of those that answer
    /// here. The workers that it was asked for stand for all silent ones.
    #[must_use]
    pub const fn exceeds(self, counts: WorkerCounts) -> bool {
        self.reached * counts.silent > self.asked * counts.answering
    }
}

/// Determines when the reach of this node is compared with that of others.
#[derive(Debug, Clone)]
pub struct WorkerIsolation {
    /// When at least half of the workers were last answering.
    heard_at: Millis,
    /// Time of the next comparison; none before the first.
    next_at: Option<Millis>,
    interval_ms: u64,
    /// Number of workers that answered at the latest comparison.
    answering: usize,
}

impl WorkerIsolation {
    /// Creates the state of a scheduler that begins its tenure at `now`.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            heard_at: now,
            next_at: None,
            interval_ms: MIN_INTERVAL_MS,
            answering: 0,
        }
    }

    /// Returns whether to compare now. `slack_ms` computes how long workers are given to answer, which follows how fast
    /// they do: with a fixed time, slow workers would count as silent.
    pub fn is_comparison_due<F>(&mut self, counts: WorkerCounts, slack_ms: F, now: Millis) -> bool
    where
        F: FnOnce() -> u64,
    {
        if !counts.are_most_silent() {
            *self = Self::new(now);
            return false;
        }
        if now.since(self.heard_at) <= SILENCE_MS + slack_ms() {
            return false;
        }
        if counts.answering < self.answering {
            // This node may have been cut off since, from workers that were not lost.
            self.next_at = None;
            self.interval_ms = MIN_INTERVAL_MS;
        }
        if self.next_at.is_some_and(|next_at| now < next_at) {
            return false;
        }
        self.answering = counts.answering;
        self.next_at = Some(now.plus(self.interval_ms));
        self.interval_ms = (2 * self.interval_ms).min(MAX_INTERVAL_MS);
        true
    }

    /// Records that no other node replied, so that the latest comparison showed nothing.
    pub fn note_unanswered(&mut self, now: Millis) {
        self.next_at = Some(now.plus(MIN_INTERVAL_MS));
        self.interval_ms = MIN_INTERVAL_MS;
    }
}
