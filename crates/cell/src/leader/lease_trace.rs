//! What the calls to one life of a worker set there, as far as is known. Pure: no clock, no I/O.
//!
//! The fault that this makes visible: a call names the worker, not its life, so the next life may carry it out. The
//! lease that it sets then ends by the clock of the life before. Nothing is decided by what is kept here.

use std::cell::Cell;
use std::cell::RefCell;

use syc_sched::ClockReading;
use syc_types::Millis;

use crate::ports::OrderError;

/// A call that sets a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseCall {
    /// A renewal of all leases on the worker.
    Renewal,
    /// A start of a run.
    Start,
}

impl LeaseCall {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Renewal => "renewal",
            Self::Start => "start",
        }
    }
}

/// How a life was found to be over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LifeEnd {
    /// No answer told of another one: the worker is not listed any more, or not under this life.
    #[default]
    Unlisted,
    /// A later life answered.
    Reborn,
    /// The platform's list names another life.
    NextListed,
    /// Another worker answered at its address.
    Replaced,
}

impl LifeEnd {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Reborn => "reborn",
            Self::NextListed => "next_listed",
            Self::Replaced => "replaced",
        }
    }
}

/// The end of a lease on a worker's clock, and what it was computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The call that sets it.
    pub call: LeaseCall,
    /// End on the worker's clock.
    pub until_ms: u64,
    /// Reading of the worker's clock that the end was computed from.
    pub reading: ClockReading,
}

/// A lease of which the call was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentLease {
    /// What was sent.
    pub term: LeaseTerm,
    /// When it was sent.
    pub sent_at: Millis,
}

/// Calls since the last answer that named this life, which the next life may have got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnconfirmedCalls {
    /// Calls without an answer.
    pub in_doubt: u32,
    /// Calls that were answered without the life being named, or by another one.
    pub answered: u32,
}

/// What is remembered of the calls to one life of a worker.
#[derive(Debug)]
pub struct LeaseTrace {
    attached_at: Millis,
    /// Leases of calls that have no outcome yet: as many as calls to one worker at a time.
    under_way: RefCell<Vec<SentLease>>,
    /// Last lease of a call that has an outcome and may have been carried out.
    last_ended: Cell<Option<SentLease>>,
    unconfirmed: Cell<UnconfirmedCalls>,
    life_end: Cell<LifeEnd>,
}

impl LeaseTrace {
    /// Begins the trace of a life.
    #[must_use]
    pub fn new(attached_at: Millis) -> Self {
        Self {
            attached_at,
            under_way: RefCell::default(),
            last_ended: Cell::default(),
            unconfirmed: Cell::default(),
            life_end: Cell::default(),
        }
    }

    /// Returns when the session with this life began.
    #[must_use]
    pub const fn attached_at(&self) -> Millis {
        self.attached_at
    }

    /// Records that a call that sets a lease is sent now.
    pub fn begin_lease(&self, term: LeaseTerm, sent_at: Millis) -> SentLease {
        let lease = SentLease { term, sent_at };
        self.under_way.borrow_mut().push(lease);
        lease
    }

    /// Records the outcome of a call that sets a lease. One that never left this node sets none.
    pub fn end_lease(&self, lease: SentLease, error: Option<&OrderError>) {
        let mut under_way = self.under_way.borrow_mut();
        if let Some(at) = under_way.iter().position(|other| *other == lease) {
            under_way.swap_remove(at);
        }
        if !error.is_some_and(is_unsent) {
            let ended = self.last_ended.get().into_iter();
            self.last_ended.set(latest(ended.chain([lease])));
        }
    }

    /// Returns the lease that was sent last and may have been set.
    #[must_use]
    pub fn last_lease(&self) -> Option<SentLease> {
        let under_way = self.under_way.borrow();
        let ended = self.last_ended.get().into_iter();
        latest(ended.chain(under_way.iter().copied()))
    }

    /// Records the outcome of a renewal. An accepted one names the life that answers.
    pub fn record_renewal(&self, error: Option<&OrderError>) {
        match error {
            None => self.unconfirmed.set(UnconfirmedCalls::default()),
            Some(_) => self.record_order(error),
        }
    }

    /// Records the outcome of an order. Its answer doesn't name the life.
    pub fn record_order(&self, error: Option<&OrderError>) {
        let mut calls = self.unconfirmed.get();
        match error {
            Some(error) if is_unsent(error) => {}
            Some(OrderError::InDoubt(_)) => calls.in_doubt = calls.in_doubt.saturating_add(1),
            _ => calls.answered = calls.answered.saturating_add(1),
        }
        self.unconfirmed.set(calls);
    }

    /// Returns the calls since the last answer that named this life.
    #[must_use]
    pub const fn unconfirmed(&self) -> UnconfirmedCalls {
        self.unconfirmed.get()
    }

    /// Records how the life was found to be over.
    pub fn record_life_end(&self, end: LifeEnd) {
        self.life_end.set(end);
    }

    /// Returns how the life was found to be over.
    #[must_use]
    pub const fn life_end(&self) -> LifeEnd {
        self.life_end.get()
    }
}

/// Returns whether a call certainly never left this node.
const fn is_unsent(error: &OrderError) -> bool {
    matches!(error, OrderError::NotSent(_) | OrderError::NoConnection(_))
}

/// Returns the lease that was sent last.
fn latest(leases: impl Iterator<Item = SentLease>) -> Option<SentLease> {
    leases.max_by_key(|lease| lease.sent_at)
}
