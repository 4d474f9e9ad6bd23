//! A record that is to be stored, and what becomes of it.

use slotmap::new_key_type;
use syc_types::Millis;

new_key_type! {
    /// Names a record that waits to be stored.
    pub struct RecordKey;
}

/// What becomes of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The store has it.
    Stored {
        /// The partition that has it.
        partition: u32,
    },
    /// The store does not have it and never will.
    Refused {
        /// When its caller should come back.
        retry_after_ms: u64,
    },
    /// It may be in the store, or come into it.
    InDoubt,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendAnswer {
    /// The store has all of its records.
    Stored,
    /// The store has none and never will.
    Refused,
    /// There was no answer, and none can come any more.
    InDoubt,
}

/// What the scheduler's node said of a record that was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardAnswer {
    /// The store has it.
    Stored {
        /// The partition that has it.
        partition: u32,
    },
    /// It surely was not stored there and will not be.
    Refused {
        /// When the caller should come back.
        retry_after_ms: u64,
    },
    /// The record never got there.
    NotSent,
    /// It may have been stored.
    InDoubt,
}

/// How far the handing over of a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardState {
    /// It was not handed over.
    NotForwarded,
    /// The scheduler's node has it, and has not answered.
    InFlight,
    /// It was, and that did not settle it.
    Finished,
}

/// A record that is to be stored.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) bytes: usize,
    /// Its caller hears what is certain by then.
    pub(crate) deadline: Millis,
    /// Whether it waits for an append of this node.
    pub(crate) is_queued: bool,
    /// When something of it was first sent.
    pub(crate) first_sent_at: Option<Millis>,
    pub(crate) forward: ForwardState,
    /// Appends under way that contain it.
    pub(crate) appends_in_flight: u32,
    /// Appends that have contained it.
    pub(crate) attempts: u32,
    /// Appends of it that the store refused.
    pub(crate) refusals: u32,
    /// Whether a way that it went may have stored it.
    pub(crate) may_be_stored: bool,
}

impl Entry {
    pub(crate) const fn new(bytes: usize, deadline: Millis) -> Self {
        Self {
            bytes,
            deadline,
            is_queued: false,
            first_sent_at: None,
            forward: ForwardState::NotForwarded,
            appends_in_flight: 0,
            attempts: 0,
            refusals: 0,
            may_be_stored: false,
        }
    }

    /// Says whether some way may still bring an answer.
    pub(crate) const fn is_in_flight(&self) -> bool {
        self.appends_in_flight > 0 || matches!(self.forward, ForwardState::InFlight)
    }

    /// Says whether the store surely does not have it, whatever comes.
    pub(crate) const fn is_certainly_not_stored(&self) -> bool {
        !self.is_in_flight() && !self.may_be_stored
    }

    /// Says what is certain now.
    pub(crate) const fn outcome(&self, retry_after_ms: u64) -> Outcome {
        if self.is_certainly_not_stored() {
            Outcome::Refused { retry_after_ms }
        } else {
            Outcome::InDoubt
        }
    }
}
