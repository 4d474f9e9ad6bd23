//! The time of day that the nodes of a cell agree on: timed jobs are due by it, and nothing else is decided by it.
//!
//! The scheduler hears every node's clock and takes the one in the middle. A step of that counts only once it
//! has lasted: a clock that is set for good is followed, one that jumps there and back is not. Each node hears
//! what the scheduler believes, and goes on from it when it becomes the scheduler.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::TimeOfDay;

/// Clocks that went apart by less are followed at once: none runs as fast as another.
const SLEW_MS: u64 = 250;

/// A step counts once it has lasted this long.
const SETTLE_MS: u64 = 30_000;

/// A node that has not told its time of day for this long is not counted: many contacts have failed.
const FRESH_MS: u64 = 3_000;

/// A time of day, and how many clocks it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgreedDay {
    /// The time of day.
    pub day: DayAnchor,
    /// Clocks that were heard, at most at any time.
    pub clocks: u32,
}

/// Follows the clocks of all nodes.
#[derive(Debug, Clone, Default)]
pub struct CellDay {
    told: BTreeMap<SmolStr, DayAnchor>,
    agreed: Option<AgreedDay>,
    /// The first look at which the clocks showed something else.
    step: Option<DayAnchor>,
}

impl CellDay {
    /// Goes on from what a predecessor believed, where that was heard.
    #[must_use]
    pub fn after(agreed: Option<AgreedDay>) -> Self {
        Self {
            agreed,
            ..Self::default()
        }
    }

    /// Takes what the clock of another node shows.
    pub fn note(&mut self, node: SmolStr, day: DayAnchor) {
        self.told.insert(node, day);
    }

    /// Takes what the scheduler's own clock shows, and returns what counts.
    pub fn look(&mut self, own: DayAnchor) -> AgreedDay {
        let seen = self.middle(own);
        let known = self.agreed.filter(|known| seen.clocks <= known.clocks);
        let Some(known) = known else {
            // What more clocks agree on counts at once.
            return self.take(seen);
        };
        let followed = AgreedDay {
            day: seen.day,
            ..known
        };
        if known.day.differs_ms(seen.day) <= SLEW_MS {
            return self.take(followed);
        }
        let same_step = self
            .step
            .filter(|first| first.differs_ms(seen.day) <= SLEW_MS);
        let first = *self.step.insert(same_step.unwrap_or(seen.day));
        if seen.day.at.since(first.at) >= SETTLE_MS {
            return self.take(followed);
        }
        known
    }

    fn take(&mut self, agreed: AgreedDay) -> AgreedDay {
        self.step = None;
        self.agreed = Some(agreed);
        agreed
    }

    /// Returns the time of day in the middle; of two, the earlier, so that nothing starts before its time.
    fn middle(&mut self, own: DayAnchor) -> AgreedDay {
        let now = own.at;
        self.told.retain(|_, day| now.since(day.at) <= FRESH_MS);
        let told = self.told.values().map(|day| day.day_at(now));
        let mut days: Vec<TimeOfDay> = told.collect();
        days.push(own.day);
        days.sort_unstable();
        AgreedDay {
            day: DayAnchor {
                at: now,
                day: days[(days.len() - 1) / 2],
            },
            clocks: u32::try_from(days.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Returns what another node told of the time of day; none where it told nothing.
pub(crate) fn told_day(at: Millis, day_ms: u64) -> Option<DayAnchor> {
    let day = TimeOfDay(day_ms);
    (day_ms > 0).then_some(DayAnchor { at, day })
}
