//! How long the store takes for an append, as its answers show.

/// Units of the usual time in a millisecond.
const UNITS_PER_MS: u64 = 100;

/// Part of the way that the usual time moves down to a shorter one, in hundredths. It moves up at once: the row of
/// a slow store is there from its first answer on.
const DOWN_PERCENT: u64 = 25;

/// How much more time an append is taken to need after one that was not answered.
const UNANSWERED_FACTOR: u64 = 3;

/// However many were not answered, an append is not taken to need more than this.
const UNANSWERED_LIMIT_MS: u64 = 1_500;

/// The usual time of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Ten microseconds each, so that the smoothing keeps fractions of a millisecond.
    usual_ten_us: u64,
}

impl Pace {
    /// Begins with a time that appends are taken to need before any was answered.
    #[must_use]
    pub const fn new(usual_ms: u64) -> Self {
        Self {
            usual_ten_us: usual_ms * UNITS_PER_MS,
        }
    }

    /// Returns the usual time.
    #[must_use]
    pub const fn usual_ms(&self) -> u64 {
        self.usual_ten_us / UNITS_PER_MS
    }

    /// Takes note of how long an answer took.
    pub fn took(&mut self, time_ms: u64) {
        let moved =
            self.usual_ten_us * (100 - DOWN_PERCENT) + time_ms * UNITS_PER_MS * DOWN_PERCENT;
        self.usual_ten_us = (moved / 100).max(time_ms * UNITS_PER_MS);
    }

    /// Takes note that an append was not answered at all.
    ///
    /// Once that is a lost answer; several times in a row, the store is slower than it is given time for.
    pub fn got_none(&mut self) {
        let slower = self.usual_ten_us * UNANSWERED_FACTOR;
        self.usual_ten_us = slower
            .min(UNANSWERED_LIMIT_MS * UNITS_PER_MS)
            .max(self.usual_ten_us);
    }

    /// Takes note that another node, which makes its appends elsewhere, was answered that soon.
    pub const fn is_no_slower_than(&mut self, time_ms: u64) {
        let halved = self.usual_ten_us / 2;
        let least = time_ms * UNITS_PER_MS;
        if halved > least {
            self.usual_ten_us = halved;
        }
    }
}
