//! Points in time as the decisions see them.
//!
//! Three kinds, which can't be compared or mixed: [`Millis`] on a clock that never jumps, by which lapses of
//! time are measured; [`TimeOfDay`], which may jump; and [`CellTime`], which outlasts a process. The only way
//! from one of the first two to the other is a [`DayAnchor`].

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds since an origin that the clock's owner chooses.
///
/// Decisions receive it as `now`; they never read a clock of their own.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the point `duration_ms` later, stopping at the greatest one.
    #[must_use]
    pub fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Milliseconds since 1970 on the clock of some VM; it may jump either way, and clocks of VMs differ.
///
/// It says when something is due, and tells people when something was. No lapse of time is measured by it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeOfDay(pub u64);

impl TimeOfDay {
    /// Returns the point `duration_ms` later, stopping at the greatest one.
    #[must_use]
    pub fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds by which `earlier` is earlier, or zero if it is not.
    ///
    /// Where the two are of different VMs, or of different moments, steps of the clocks are part of it.
    #[must_use]
    pub fn ahead_of(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Milliseconds for which the schedulers of a cell have worked, one after the other, each by its own steady
/// clock.
///
/// A successor goes on from the latest that its predecessors wrote. So it never runs faster than time itself,
/// whatever the time of day does, and stands still while nobody is seen to work.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CellTime(pub u64);

impl CellTime {
    /// Returns the point `duration_ms` later, stopping at the greatest one.
    #[must_use]
    pub fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The time of day at a point of the steady clock: the one place where one becomes the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DayAnchor {
    /// The point of the steady clock.
    pub at: Millis,
    /// The time of day there.
    pub day: TimeOfDay,
}

impl DayAnchor {
    /// Returns the time of day at a point of the steady clock.
    #[must_use]
    pub fn day_at(self, at: Millis) -> TimeOfDay {
        if at < self.at {
            return TimeOfDay(self.day.0.saturating_sub(self.at.since(at)));
        }
        self.day.plus(at.since(self.at))
    }

    /// Returns the point of the steady clock at a time of day, or its origin where that lies before it.
    #[must_use]
    pub fn steady_at(self, day: TimeOfDay) -> Millis {
        if day < self.day {
            return Millis(self.at.0.saturating_sub(self.day.ahead_of(day)));
        }
        self.at.plus(day.ahead_of(self.day))
    }

    /// Returns the milliseconds by which the time of day was set between the two, either way.
    #[must_use]
    pub fn differs_ms(self, other: Self) -> u64 {
        self.day_at(other.at).0.abs_diff(other.day.0)
    }
}
