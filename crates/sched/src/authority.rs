//! Determines until when a scheduler may send orders, from evidence that it has not been replaced.
//!
//! A successor assumes that the leases set by its predecessor expire within a bounded time after its own takeover. The
//! predecessor may be paused at any point, even between checking the time and sending the order that the check allowed,
//! and may find old messages in its buffers when it resumes. A lease therefore starts when it is decided on, and no
//! later than its evidence expires, regardless of when it is sent. Evidence is dated by the message of this node that
//! it answers:
//!
//! - an append under the fencing token that the store accepted, dated by when the append was sent;
//! - while the store accepts no appends, nodes that still follow this scheduler. Each reports the last answer of this
//!   node that it received, and its evidence is dated by that answer. Half of the nodes that were in contact when the
//!   store last answered must report, since a node that is cut off from the store together with this one cannot know of
//!   a successor. A node that learns of successors from this scheduler alone can't know of one either, so it counts among
//!   the nodes, but its reports are no evidence.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Millis;

/// A follower is dropped if it reported nothing for this long before an append that the store accepted.
const FOLLOWER_TIMEOUT_MS: u64 = 10_000;

/// Evidence that a scheduler has not been replaced.
#[derive(Debug, Clone)]
pub struct Authority {
    /// Time for which evidence is valid.
    validity_ms: u64,
    /// When the latest append that the store accepted was sent.
    last_append_sent_at: Option<Millis>,
    followers: BTreeMap<SmolStr, Follower>,
}

/// A node that follows this scheduler.
#[derive(Debug, Clone, Copy, Default)]
struct Follower {
    /// When the latest answer of this node was sent that it received.
    seen_at: Millis,
    /// The same, of the answers that it received while it looked for a successor in the store itself.
    acked_at: Millis,
}

impl Authority {
    /// Creates an authority without evidence. Evidence will be valid for `validity_ms`.
    #[must_use]
    pub const fn new(validity_ms: u64) -> Self {
        Self {
            validity_ms,
            last_append_sent_at: None,
            followers: BTreeMap::new(),
        }
    }

    /// Records that the store accepted an append under the fencing token.
    pub fn note_append(&mut self, sent_at: Millis) {
        self.last_append_sent_at = self.last_append_sent_at.max(Some(sent_at));
        self.followers
            .retain(|_, follower| sent_at.since(follower.seen_at) < FOLLOWER_TIMEOUT_MS);
    }

    /// Records that another node follows this scheduler and received an answer that was sent at `answered_at`.
    pub fn note_follower(&mut self, node: &SmolStr, answered_at: Millis) {
        let follower = self.note_informed(node, answered_at);
        follower.acked_at = follower.acked_at.max(answered_at);
    }

    /// Records the same of a node that learns of successors from this scheduler alone.
    pub fn note_informed_follower(&mut self, node: &SmolStr, answered_at: Millis) {
        self.note_informed(node, answered_at);
    }

    fn note_informed(&mut self, node: &SmolStr, answered_at: Millis) -> &mut Follower {
        let follower = self.followers.entry(node.clone()).or_default();
        follower.seen_at = follower.seen_at.max(answered_at);
        follower
    }

    /// Returns the date of the latest evidence.
    fn evidence_at(&self) -> Option<Millis> {
        let acked_at = self.followers.values().map(|follower| follower.acked_at);
        let mut acked_at: Vec<_> = acked_at.collect();
        acked_at.sort_unstable();
        // At least half of the followers received an answer that was sent at this time or later.
        let half_acked_at = acked_at.get(acked_at.len() / 2).copied();
        let half_acked_at = half_acked_at.filter(|at| *at > Millis(0));
        self.last_append_sent_at.max(half_acked_at)
    }

    /// Returns when the evidence expires, or `None` if there is none yet.
    #[must_use]
    pub fn expires_at(&self) -> Option<Millis> {
        Some(self.evidence_at()?.plus(self.validity_ms))
    }

    /// Returns whether there was evidence that has expired.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        self.expires_at()
            .is_some_and(|expires_at| expires_at <= now)
    }

    /// Returns the start of a lease that was decided on at `decided_at`, or `None` if the evidence is missing or has
    /// expired.
    #[must_use]
    pub fn lease_start(&self, decided_at: Millis, now: Millis) -> Option<Millis> {
        // While the store accepts appends, the followers need not be looked at. There are many, and orders ask often.
        let by_append = self.last_append_sent_at;
        let by_append = by_append.map(|sent_at| sent_at.plus(self.validity_ms));
        if by_append.is_some_and(|expires_at| now.max(decided_at) < expires_at) {
            return Some(decided_at);
        }
        let expires_at = self.expires_at().filter(|expires_at| now < *expires_at)?;
        Some(decided_at.min(expires_at))
    }
}
