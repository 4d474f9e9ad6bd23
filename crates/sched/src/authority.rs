//! Until when a scheduler may give orders: what it is told that shows that it has no successor, and how old that is.
//!
//! A successor takes it that its predecessor's leases end a bounded time after its own takeover. The predecessor may
//! stand still at any point, also between a look at the time and the sending of what that allowed, and what others had
//! told it before comes out of its buffers when it goes on. So a lease counts from the time of the evidence, not from
//! that at which it is sent, and evidence is as old as what this node itself had sent before it:
//!
//! - an append under the fencing token that the store took, as old as the append;
//! - where the store takes none of anybody, what the other nodes tell that still follow this scheduler: each tells of the
//!   last answer of this node that it had, and is as old as that. Half of those that were in touch when the store last
//!   answered have to tell so: one that is cut off from the store beside this node can't know of a successor.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Millis;

/// A node that told nothing for this long before the store last answered is not one of those that were in touch.
const IN_TOUCH_MS: u64 = 10_000;

/// The evidence that a scheduler has no successor.
#[derive(Debug, Clone)]
pub struct Authority {
    /// Time for which a piece of evidence lasts.
    lasts_ms: u64,
    /// When the latest append was sent that the store took.
    taken_sent_at: Option<Millis>,
    /// The latest answer of this node that each other one had.
    followers: BTreeMap<SmolStr, Millis>,
}

impl Authority {
    /// Begins without any evidence; each piece of it lasts for so long.
    #[must_use]
    pub const fn new(lasts_ms: u64) -> Self {
        Self {
            lasts_ms,
            taken_sent_at: None,
            followers: BTreeMap::new(),
        }
    }

    /// Takes note that the store took an append under the fencing token that was sent at a time.
    pub fn note_taken(&mut self, sent_at: Millis) {
        self.taken_sent_at = self.taken_sent_at.max(Some(sent_at));
        self.followers
            .retain(|_, told_at| sent_at.since(*told_at) < IN_TOUCH_MS);
    }

    /// Takes note that another node follows this scheduler and had an answer of it that was sent at a time.
    pub fn note_follower(&mut self, node: &SmolStr, answered_at: Millis) {
        let told_at = self.followers.entry(node.clone()).or_default();
        *told_at = (*told_at).max(answered_at);
    }

    /// Returns when the latest evidence was sent for.
    fn shown_at(&self) -> Option<Millis> {
        let mut told_at: Vec<_> = self.followers.values().copied().collect();
        told_at.sort_unstable();
        // The later half has told at that time or since.
        let by_half = told_at.get(told_at.len() / 2).copied();
        let by_half = by_half.filter(|at| *at > Millis(0));
        self.taken_sent_at.max(by_half)
    }

    /// Returns when the evidence gets too old for any order; none where there is none yet.
    #[must_use]
    pub fn ends_at(&self) -> Option<Millis> {
        Some(self.shown_at()?.plus(self.lasts_ms))
    }

    /// Says whether there was evidence, which is too old now.
    #[must_use]
    pub fn is_over(&self, now: Millis) -> bool {
        self.ends_at().is_some_and(|ends_at| ends_at <= now)
    }

    /// Returns the time from which a lease counts that was decided on at a time; none where the evidence is missing or
    /// too old.
    #[must_use]
    pub fn lease_from(&self, decided_at: Millis, now: Millis) -> Option<Millis> {
        let ends_at = self.ends_at().filter(|ends_at| now < *ends_at)?;
        Some(decided_at.min(ends_at))
    }
}
