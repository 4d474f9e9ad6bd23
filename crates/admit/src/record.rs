//! A record waiting to be stored, and its outcome.

use slotmap::new_key_type;
use syc_types::Millis;

new_key_type! {
    /// Identifies a record that waits to be stored.
    pub struct RecordKey;
}

/// The outcome of a record, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record is stored.
    Stored {
        /// The partition that contains it.
        partition: u32,
    },
    /// The record is not stored and never will be.
    Refused {
        /// Delay after which the caller should retry.
        retry_after_ms: u64,
    },
    /// The record may be stored now or later.
    InDoubt,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendAnswer {
    /// All of its records are stored.
    Stored,
    /// None of its records is stored or ever will be.
    Refused,
    /// There was no answer, and none can arrive any more.
    InDoubt,
}

/// The answer of the scheduler's node to a forwarded record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardAnswer {
    /// The record is stored.
    Stored {
        /// The partition that contains it.
        partition: u32,
    },
    /// The scheduler's node did not store the record and will not.
    Refused {
        /// Delay after which the caller should retry.
        retry_after_ms: u64,
    },
    /// The record never reached the scheduler's node.
    NotSent,
    /// The record may have been stored.
    InDoubt,
}

/// The state of forwarding a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardState {
    /// It has not been forwarded.
    NotForwarded,
    /// It was sent to the scheduler's node, which has not answered.
    InFlight,
    /// Forwarding is over and did not settle it, or it was itself forwarded by another node.
    Finished,
}

/// A record that is to be stored.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) bytes: usize,
    /// Its caller is answered by this time.
    pub(crate) deadline: Millis,
    /// Whether it is queued for an append of this node.
    pub(crate) is_queued: bool,
    /// When it was first sent by any route.
    pub(crate) first_sent_at: Option<Millis>,
    pub(crate) forward: ForwardState,
    /// Appends in flight that contain it.
    pub(crate) appends_in_flight: u32,
    /// All appends so far that contained it.
    pub(crate) attempts: u32,
    /// Appends of it that the store rejected.
    pub(crate) refusals: u32,
    /// Whether some earlier attempt may have stored it.
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

    /// Returns whether some route may still bring an answer.
    pub(crate) const fn is_in_flight(&self) -> bool {
        self.appends_in_flight > 0 || matches!(self.forward, ForwardState::InFlight)
    }

    /// Returns whether the record is certainly not stored and nothing in flight can store it.
    pub(crate) const fn is_certainly_not_stored(&self) -> bool {
        !self.is_in_flight() && !self.may_be_stored
    }

    /// Returns the outcome that is certain now.
    pub(crate) const fn outcome(&self, retry_after_ms: u64) -> Outcome {
        if self.is_certainly_not_stored() {
            Outcome::Refused { retry_after_ms }
        } else {
            Outcome::InDoubt
        }
    }
}
