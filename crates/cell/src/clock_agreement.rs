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
const MAX_SLEW_MS: u64 = 250;

/// A step counts once it has lasted this long.
const STEP_SETTLE_MS: u64 = 30_000;

/// A node that has not told its time of day for this long is not counted: many contacts have failed.
const REPORT_MAX_AGE_MS: u64 = 3_000;

/// A time of day, and how many clocks it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgreedTime {
    /// The time of day.
    pub anchor: DayAnchor,
    /// Clocks that were heard, at most at any time.
    pub clocks: u32,
}

/// Follows the clocks of all nodes.
#[derive(Debug, Clone, Default)]
pub struct ClockAgreement {
    reports: BTreeMap<SmolStr, DayAnchor>,
    agreed: Option<AgreedTime>,
    /// The first look at which the clocks showed something else.
    pending_step: Option<DayAnchor>,
}

impl ClockAgreement {
    /// Goes on from what a predecessor believed, where that was heard.
    #[must_use]
    pub fn resume(agreed: Option<AgreedTime>) -> Self {
        Self {
            agreed,
            ..Self::default()
        }
    }

    /// Takes what the clock of another node shows.
    pub fn report(&mut self, node: SmolStr, day: DayAnchor) {
        self.reports.insert(node, day);
    }

    /// Takes what the scheduler's own clock shows, and returns what counts.
    pub fn update(&mut self, own: DayAnchor) -> AgreedTime {
        let seen = self.median(own);
        let known = self.agreed.filter(|known| seen.clocks <= known.clocks);
        let Some(known) = known else {
            // What more clocks agree on counts at once.
            return self.accept(seen);
        };
        let followed = AgreedTime {
            anchor: seen.anchor,
            ..known
        };
        if known.anchor.differs_ms(seen.anchor) <= MAX_SLEW_MS {
            return self.accept(followed);
        }
        let same_step = self
            .pending_step
            .filter(|first| first.differs_ms(seen.anchor) <= MAX_SLEW_MS);
        let first = *self.pending_step.insert(same_step.unwrap_or(seen.anchor));
        if seen.anchor.at.since(first.at) >= STEP_SETTLE_MS {
            return self.accept(followed);
        }
        known
    }

    fn accept(&mut self, agreed: AgreedTime) -> AgreedTime {
        self.pending_step = None;
        self.agreed = Some(agreed);
        agreed
    }

    /// Returns the time of day in the middle; of two, the earlier, so that nothing starts before its time.
    fn median(&mut self, own: DayAnchor) -> AgreedTime {
        let now = own.at;
        self.reports
            .retain(|_, day| now.since(day.at) <= REPORT_MAX_AGE_MS);
        let reported = self.reports.values().map(|day| day.day_at(now));
        let mut days: Vec<TimeOfDay> = reported.collect();
        days.push(own.day);
        days.sort_unstable();
        AgreedTime {
            anchor: DayAnchor {
                at: now,
                day: days[(days.len() - 1) / 2],
            },
            clocks: u32::try_from(days.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Returns what another node told of the time of day; none where it told nothing.
pub(crate) fn reported_anchor(at: Millis, day_ms: u64) -> Option<DayAnchor> {
    let day = TimeOfDay(day_ms);
    (day_ms > 0).then_some(DayAnchor { at, day })
}
