//! Whether a worker may get new work, and why not.

use std::collections::BTreeMap;
use std::fmt;

use syc_types::Millis;

use crate::worker::Worker;

/// Why a worker gets nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hindrance {
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

impl Hindrance {
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
pub struct Hindered(BTreeMap<Hindrance, usize>);

impl Hindered {
    /// Counts one more.
    pub(crate) fn add(&mut self, hindrance: Hindrance) {
        *self.0.entry(hindrance).or_default() += 1;
    }

    /// Counts those that get nothing new for a reason.
    #[must_use]
    pub fn count(&self, hindrance: Hindrance) -> usize {
        self.0.get(&hindrance).copied().unwrap_or(0)
    }
}

impl fmt::Display for Hindered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (hindrance, count)) in self.0.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(f, "{separator}{}={count}", hindrance.as_str())?;
        }
        Ok(())
    }
}

impl Worker {
    /// Says whether it may get new work.
    pub(crate) fn usable(&self, now: Millis) -> bool {
        self.is_sound(now) && !self.is_kept_clear()
    }

    /// Says whether it may get what it is kept clear for.
    pub(crate) fn is_sound(&self, now: Millis) -> bool {
        self.fault(now).is_none()
    }

    /// Returns why it gets nothing new, if so.
    pub(crate) fn hindrance(&self, now: Millis) -> Option<Hindrance> {
        let kept_clear = self.is_kept_clear().then_some(Hindrance::KeptClear);
        self.fault(now).or(kept_clear)
    }

    fn fault(&self, now: Millis) -> Option<Hindrance> {
        let reasons = [
            (!self.listed, Hindrance::Unlisted),
            (!self.answered, Hindrance::Unheard),
            (self.silent, Hindrance::Silent),
            (self.room_doubt.is_some(), Hindrance::RoomInDoubt),
            (!self.contact.allows_starts(), Hindrance::TakesNoOrders),
            (self.spec.draining || self.emptying, Hindrance::Leaving),
            (self.quarantined_until > now, Hindrance::Quarantined),
        ];
        let mut reasons = reasons.into_iter();
        reasons.find_map(|(holds, reason)| holds.then_some(reason))
    }
}
