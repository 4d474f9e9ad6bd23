//! What a member knows of another one.

use std::collections::BTreeMap;

use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Millis;

use crate::Contact;
use crate::Silence;

/// What is known of one incarnation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peer {
    pub contact: Option<Contact>,
    pub heard_at: Option<Millis>,
    /// It acts in no earlier epoch, and acknowledges none.
    pub epoch: Epoch,
    /// Epoch and bits of its last heartbeat, where it could say whom it hears.
    pub heard: Option<(Epoch, u64)>,
    pub joining: bool,
    pub retired: bool,
    /// Epoch and time of sending of the latest own heartbeat that it acknowledged.
    pub acked: Option<(Epoch, Millis)>,
    /// When its lease was last acknowledged here.
    pub last_granted: Option<Millis>,
    /// When what it granted to each member before its epoch has surely lapsed.
    pub lapses: BTreeMap<MemberId, Millis>,
    pub gone_at: Option<Millis>,
}

impl Peer {
    /// Takes over what any message of the peer says.
    pub fn hear(&mut self, epoch: Epoch, retired: bool, now: Millis) {
        self.heard_at = Some(now);
        self.retired |= retired;
        if epoch > self.epoch {
            self.epoch = epoch;
            self.lapses.clear();
        }
    }

    /// Takes over how long ago the peer last granted leases to others.
    pub fn hear_silences(&mut self, silences: Vec<Silence>, lapse_ms: u64, now: Millis) {
        for silence in silences {
            let left_ms = lapse_ms.saturating_sub(silence.silent_ms);
            let lapse = now.plus(left_ms);
            let known = self.lapses.entry(silence.of).or_insert(lapse);
            *known = lapse.min(*known);
        }
    }

    /// Says whether something of it came within `limit_ms`.
    pub fn fresh(&self, limit_ms: u64, now: Millis) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < limit_ms)
    }
}
