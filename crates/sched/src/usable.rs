//! Whether a worker may get new work, and why not.

use std::collections::BTreeMap;
use std::fmt;

use syc_types::Millis;

use crate::worker::Worker;

/// Why a worker gets nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnusableReason {
    /// It is not registered.
    Unlisted,
    /// It has not told yet what runs on it.
    Unheard,
    /// Its latest renewal went without an answer.
    Silent,
    /// It may have less room than it told last.
    RoomInDoubt,
    /// It leaves orders untaken, or its lease is let lapse.
    TakesNoOrders,
    /// It drains, or its VM is about to be taken.
    Leaving,
    /// What it was given lately went wrong.
    Quarantined,
    /// It is kept clear for a suspected task.
    KeptClear,
}

impl UnusableReason {
    /// Returns its name in logs.
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

/// Workers that get nothing new, by the reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnusableWorkers(BTreeMap<UnusableReason, usize>);

impl UnusableWorkers {
    /// Counts one more.
    pub(crate) fn add(&mut self, unusable_reason: UnusableReason) {
        *self.0.entry(unusable_reason).or_default() += 1;
    }

    /// Counts those that get nothing new for a reason.
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
    /// Says whether it may get new work.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.is_usable_for_isolation(now) && !self.is_kept_clear()
    }

    /// Says whether it may get what it is kept clear for.
    pub(crate) fn is_usable_for_isolation(&self, now: Millis) -> bool {
        self.unusable_reason_except_isolation(now).is_none()
    }

    /// Returns why it gets nothing new, if so.
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
            (!self.contact.allows_starts(), UnusableReason::TakesNoOrders),
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
