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
        come_back_ms: u64,
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
pub enum HandedOver {
    /// The store has it.
    Stored {
        /// The partition that has it.
        partition: u32,
    },
    /// It surely was not stored there and will not be.
    Refused {
        /// When the caller should come back.
        come_back_ms: u64,
    },
    /// The record never got there.
    NotSent,
    /// It may have been stored.
    InDoubt,
}

/// How far the handing over of a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandOver {
    /// It was not handed over.
    Not,
    /// The scheduler's node has it, and has not answered.
    UnderWay,
    /// It was, and that did not settle it.
    Over,
}

/// A record that is to be stored.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) bytes: usize,
    /// Its caller hears what is certain by then.
    pub(crate) until: Millis,
    /// Whether it waits for an append of this node.
    pub(crate) is_waiting: bool,
    /// When something of it was first sent.
    pub(crate) sent_at: Option<Millis>,
    pub(crate) hand_over: HandOver,
    /// Appends under way that contain it.
    pub(crate) appends: u32,
    /// Appends that have contained it.
    pub(crate) tries: u32,
    /// Appends of it that the store refused.
    pub(crate) refusals: u32,
    /// Whether a way that it went may have stored it.
    pub(crate) doubt: bool,
}

impl Entry {
    pub(crate) const fn new(bytes: usize, until: Millis) -> Self {
        Self {
            bytes,
            until,
            is_waiting: false,
            sent_at: None,
            hand_over: HandOver::Not,
            appends: 0,
            tries: 0,
            refusals: 0,
            doubt: false,
        }
    }

    /// Says whether some way may still bring an answer.
    pub(crate) const fn is_under_way(&self) -> bool {
        self.appends > 0 || matches!(self.hand_over, HandOver::UnderWay)
    }

    /// Says whether the store surely does not have it, whatever comes.
    pub(crate) const fn is_surely_not_stored(&self) -> bool {
        !self.is_under_way() && !self.doubt
    }

    /// Says what is certain now.
    pub(crate) const fn outcome(&self, come_back_ms: u64) -> Outcome {
        if self.is_surely_not_stored() {
            Outcome::Refused { come_back_ms }
        } else {
            Outcome::InDoubt
        }
    }
}
