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
const FOLLOWER_TIMEOUT_MS: u64 = 10_000;

/// The evidence that a scheduler has no successor.
#[derive(Debug, Clone)]
pub struct Authority {
    /// Time for which a piece of evidence lasts.
    validity_ms: u64,
    /// When the latest append was sent that the store took.
    last_append_sent_at: Option<Millis>,
    /// The latest answer of this node that each other one had.
    followers: BTreeMap<SmolStr, Millis>,
}

impl Authority {
    /// Begins without any evidence; each piece of it lasts for so long.
    #[must_use]
    pub const fn new(validity_ms: u64) -> Self {
        Self {
            validity_ms,
            last_append_sent_at: None,
            followers: BTreeMap::new(),
        }
    }

    /// Takes note that the store took an append under the fencing token that was sent at a time.
    pub fn note_append(&mut self, sent_at: Millis) {
        self.last_append_sent_at = self.last_append_sent_at.max(Some(sent_at));
        self.followers
            .retain(|_, acked_at| sent_at.since(*acked_at) < FOLLOWER_TIMEOUT_MS);
    }

    /// Takes note that another node follows this scheduler and had an answer of it that was sent at a time.
    pub fn note_follower(&mut self, node: &SmolStr, answered_at: Millis) {
        let acked_at = self.followers.entry(node.clone()).or_default();
        *acked_at = (*acked_at).max(answered_at);
    }

    /// Returns when the latest evidence was sent for.
    fn evidence_at(&self) -> Option<Millis> {
        let mut acked_at: Vec<_> = self.followers.values().copied().collect();
        acked_at.sort_unstable();
        // The later half has told at that time or since.
        let half_acked_at = acked_at.get(acked_at.len() / 2).copied();
        let half_acked_at = half_acked_at.filter(|at| *at > Millis(0));
        self.last_append_sent_at.max(half_acked_at)
    }

    /// Returns when the evidence gets too old for any order; none where there is none yet.
    #[must_use]
    pub fn expires_at(&self) -> Option<Millis> {
        Some(self.evidence_at()?.plus(self.validity_ms))
    }

    /// Says whether there was evidence, which is too old now.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        self.expires_at()
            .is_some_and(|expires_at| expires_at <= now)
    }

    /// Returns the time from which a lease counts that was decided on at a time; none where the evidence is missing or
    /// too old.
    #[must_use]
    pub fn lease_start(&self, decided_at: Millis, now: Millis) -> Option<Millis> {
        let expires_at = self.expires_at().filter(|expires_at| now < *expires_at)?;
        Some(decided_at.min(expires_at))
    }
}
