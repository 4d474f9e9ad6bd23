//! Notices that tell a scheduler directly that another one has been elected.
//!
//! A scheduler that the store refuses cannot read of its successor there. While the store refuses most of the nodes,
//! they cannot either, and the nodes that still follow the refused scheduler count as evidence that it has not been
//! replaced (see [`crate::Authority`]). It would renew leases on workers that its successor cannot reach for longer
//! than the successor waits. Every node that reads of a new scheduler therefore tells the one that it followed before,
//! and repeats this until it is confirmed.

use syc_retry::backoff_ms;
use syc_types::Millis;

/// The interval between two notices is extended once a notice has not been confirmed for this long. A predecessor that
/// answers nobody by then has most likely ended.
const FREQUENT_NOTICES_MS: u64 = 3_000;

/// First extended interval between two notices.
const RARE_NOTICE_INTERVAL_MS: u64 = 1_000;

/// Longest interval between two notices. With the call, a predecessor that becomes reachable is told within the 3 s
/// for which it stays in office without evidence and for which its successor waits.
const MAX_NOTICE_INTERVAL_MS: u64 = 2_500;

/// A notice that was not confirmed for this long is given up.
const NOTICE_LIMIT_MS: u64 = 60_000;

/// Identifies one tenure of a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// Identifies the run of the node's process.
    pub incarnation: u64,
    /// Fencing token.
    pub token: u64,
}

/// A notice to a scheduler that another one has been elected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessionNotice {
    /// Incarnation of the process that the notice is meant for. Its address may belong to another process by now, even
    /// to one of another cell, whose tokens cannot be compared.
    pub predecessor_incarnation: u64,
    /// Fencing token of the elected scheduler.
    pub token: u64,
}

impl SuccessionNotice {
    /// Returns the notice to send to a scheduler that was replaced; none if it need not be told.
    #[must_use]
    pub fn to_predecessor(before: Tenure, elected: Tenure, own_incarnation: u64) -> Option<Self> {
        let is_own = before.incarnation == own_incarnation;
        let is_newer = elected.token > before.token;
        (is_newer && !is_own).then_some(Self {
            predecessor_incarnation: before.incarnation,
            token: elected.token,
        })
    }

    /// Returns whether the receiver of this notice has been replaced.
    #[must_use]
    pub const fn ends(&self, receiver: Tenure) -> bool {
        self.predecessor_incarnation == receiver.incarnation && self.token > receiver.token
    }
}

/// Determines when a notice is sent and when it is no longer needed.
#[derive(Debug, Clone)]
pub struct PendingNotice {
    predecessor: Tenure,
    since: Millis,
    interval_ms: u64,
    /// Seed of the jitter.
    seed: u64,
    /// Number of repeats so far at the usual interval.
    frequent_repeats: u32,
    /// Number of repeats so far at an extended interval.
    rare_repeats: u32,
}

impl PendingNotice {
    /// Creates a notice that is first sent at `since` and at first repeated at least every `interval_ms`. `seed` is
    /// random, such as the sender's incarnation, so that the nodes of a cell do not repeat their notices in step.
    #[must_use]
    pub const fn new(predecessor: Tenure, since: Millis, interval_ms: u64, seed: u64) -> Self {
        Self {
            predecessor,
            since,
            interval_ms,
            seed,
            frequent_repeats: 0,
            rare_repeats: 0,
        }
    }

    /// Returns whether a reply confirms that the predecessor has stepped down, given the token that it contains: that of
    /// the scheduler at the replying node, or 0 if there is none.
    ///
    /// An earlier version ignores the notice and replies with its old token.
    #[must_use]
    pub const fn is_confirmed_by(&self, replied_token: u64) -> bool {
        replied_token != self.predecessor.token
    }

    /// Returns how long to wait before the notice is repeated, or `None` if it is given up. Counts as a repeat.
    #[must_use]
    pub fn repeat_after_ms(&mut self, now: Millis) -> Option<u64> {
        let unconfirmed_ms = now.since(self.since);
        if unconfirmed_ms >= NOTICE_LIMIT_MS {
            return None;
        }
        if unconfirmed_ms < FREQUENT_NOTICES_MS {
            let repeat = self.frequent_repeats;
            self.frequent_repeats += 1;
            return Some(backoff_ms(
                self.interval_ms,
                self.interval_ms,
                repeat,
                self.seed,
            ));
        }
        let repeat = self.rare_repeats;
        self.rare_repeats += 1;
        let (base_ms, max_ms) = (RARE_NOTICE_INTERVAL_MS, MAX_NOTICE_INTERVAL_MS);
        Some(backoff_ms(base_ms, max_ms, repeat, self.seed))
    }
}
