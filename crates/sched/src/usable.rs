//! Whether a worker may get new work, and the reason if not.

use std::collections::BTreeMap;
use std::fmt;

use syc_types::Millis;

use crate::worker::Worker;

/// Why a worker gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnusableReason {
    /// It is not registered.
    Unregistered,
    /// It has not reported its runs yet.
    RunsUnknown,
    /// Its latest renewal was unanswered.
    Silent,
    /// Its capacity may be lower than last reported.
    StaleCapacity,
    /// It does not accept orders, or its lease is deliberately left to expire.
    AcceptsNoOrders,
    /// It is draining, or its VM is about to go down or to move to another pool.
    Leaving,
    /// Recent starts or runs on it failed, or it was slow.
    Quarantined,
    /// It is reserved for an isolated suspect or runs one.
    Isolated,
}

impl UnusableReason {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unregistered => "unlisted",
            Self::RunsUnknown => "unheard",
            Self::Silent => "silent",
            Self::StaleCapacity => "room_in_doubt",
            Self::AcceptsNoOrders => "takes_no_orders",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
            Self::Isolated => "kept_clear",
        }
    }
}

/// Number of workers that get no new work, by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnusableWorkers(BTreeMap<UnusableReason, usize>);

impl UnusableWorkers {
    /// Counts one more worker.
    pub(crate) fn add(&mut self, unusable_reason: UnusableReason) {
        *self.0.entry(unusable_reason).or_default() += 1;
    }

    /// Returns the number of workers that get no new work for a reason.
    #[must_use]
    pub fn count(&self, unusable_reason: UnusableReason) -> usize {
        self.0.get(&unusable_reason).copied().unwrap_or(0)
    }
}

impl fmt::Display for UnusableWorkers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (unusable_reason, count)) in self.0.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(f, "{separator}{}={count}", unusable_reason.as_str())?;
        }
        Ok(())
    }
}

impl Worker {
    /// Returns whether it may get new work.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.is_usable_for_isolation(now) && !self.is_isolated()
    }

    /// Returns whether it may get the isolated task that it is reserved for.
    pub(crate) fn is_usable_for_isolation(&self, now: Millis) -> bool {
        self.unusable_reason_except_isolation(now).is_none()
    }

    /// Returns the first reason why it gets no new work, if any.
    pub(crate) fn unusable_reason(&self, now: Millis) -> Option<UnusableReason> {
        let isolated = self.is_isolated().then_some(UnusableReason::Isolated);
        self.unusable_reason_except_isolation(now).or(isolated)
    }

    fn unusable_reason_except_isolation(&self, now: Millis) -> Option<UnusableReason> {
        let reasons = [
            (!self.registered, UnusableReason::Unregistered),
            (!self.runs_known, UnusableReason::RunsUnknown),
            (self.silent, UnusableReason::Silent),
            (self.stale_capacity.is_some(), UnusableReason::StaleCapacity),
            (
                !self.breaker.allows_starts(),
                UnusableReason::AcceptsNoOrders,
            ),
            (
                self.spec.draining || self.evacuating,
                UnusableReason::Leaving,
            ),
            (self.quarantined_until > now, UnusableReason::Quarantined),
        ];
        let mut reasons = reasons.into_iter();
        reasons.find_map(|(holds, reason)| holds.then_some(reason))
    }
}
