//! Whether a worker may get new work, and the reason if not.

use std::collections::BTreeMap;
use std::fmt;

use syc_types::Millis;

use crate::worker::Worker;

/// Why a worker gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnusableReason {
    /// It is not registered.
    Unlisted,
    /// It has not reported its runs yet.
    Unheard,
    /// Its latest renewal was unanswered.
    Silent,
    /// Its capacity may be lower than last reported.
    RoomInDoubt,
    /// It does not accept orders, or its lease is being let lapse.
    TakesNoOrders,
    /// It is draining, or its VM is about to be taken.
    Leaving,
    /// Recent starts or runs on it failed, or it was slow.
    Quarantined,
    /// It is reserved for an isolated suspect, or running one.
    KeptClear,
}

impl UnusableReason {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Unheard => "unheard",
            Self::Silent => "silent",
            Self::RoomInDoubt => "room_in_doubt",
            Self::TakesNoOrders => "takes_no_orders",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
            Self::KeptClear => "kept_clear",
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
        self.is_usable_for_isolation(now) && !self.is_kept_clear()
    }

    /// Returns whether it may get the isolated task that it is reserved for.
    pub(crate) fn is_usable_for_isolation(&self, now: Millis) -> bool {
        self.unusable_reason_except_isolation(now).is_none()
    }

    /// Returns the first reason why it gets no new work, if any.
    pub(crate) fn unusable_reason(&self, now: Millis) -> Option<UnusableReason> {
        let kept_clear = self.is_kept_clear().then_some(UnusableReason::KeptClear);
        self.unusable_reason_except_isolation(now).or(kept_clear)
    }

    fn unusable_reason_except_isolation(&self, now: Millis) -> Option<UnusableReason> {
        let reasons = [
            (!self.registered, UnusableReason::Unlisted),
            (!self.runs_known, UnusableReason::Unheard),
            (self.silent, UnusableReason::Silent),
            (self.stale_capacity.is_some(), UnusableReason::RoomInDoubt),
            (!self.breaker.allows_starts(), UnusableReason::TakesNoOrders),
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
