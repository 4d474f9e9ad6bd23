//! Lives of a worker that have one name.

use smol_str::format_smolstr;

use crate::WorkerId;

/// Stands between the name of a worker and the time at which this life of it began.
const SEPARATOR: char = '@';

impl WorkerId {
    /// Names one life of a worker. Where the time at which it began is not told, all lives of that name are one.
    #[must_use]
    pub fn of_life(name: &str, born_ms: Option<u64>) -> Self {
        match born_ms {
            Some(born_ms) => Self::new(format_smolstr!("{name}{SEPARATOR}{born_ms}")),
            // What follows the last separator is never a part of the name.
            None if name.contains(SEPARATOR) => Self::new(format_smolstr!("{name}{SEPARATOR}")),
            None => Self::new(name),
        }
    }

    /// Returns the name that the worker has in all its lives: orders go by it.
    #[must_use]
    pub fn name(&self) -> &str {
        self.split().0
    }

    /// Returns when this life of it began, in milliseconds since 1970 on its own clock, where that is told.
    #[must_use]
    pub fn born_ms(&self) -> Option<u64> {
        self.split().1.parse().ok()
    }

    /// Says whether an answer is of this life. One that does not say so is.
    #[must_use]
    pub fn is_of_life(&self, born_ms: Option<u64>) -> bool {
        match (self.born_ms(), born_ms) {
            (Some(this), Some(other)) => this == other,
            _ => true,
        }
    }

    /// Says whether another life of the same worker began later than this one, as far as both tell when they began.
    #[must_use]
    pub fn is_followed_by(&self, other: &Self) -> bool {
        let births = self.born_ms().zip(other.born_ms());
        let is_later = births.is_some_and(|(this, other)| this < other);
        is_later && self.name() == other.name()
    }

    fn split(&self) -> (&str, &str) {
        self.as_str()
            .rsplit_once(SEPARATOR)
            .unwrap_or((self.as_str(), ""))
    }
}
