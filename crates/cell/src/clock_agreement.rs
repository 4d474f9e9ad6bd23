//! Wall-clock time that the nodes of a cell agree on. It decides when timed jobs are due, and nothing else.
//!
//! Every node reports its wall clock to the scheduler, which uses the median. A step of the median is followed only
//! after it has lasted for a while: a clock that was set is followed, one that jumps back and forth is not. Nodes
//! receive the agreed time from the scheduler and resume from it when they become the scheduler.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::TimeOfDay;

/// Smaller differences are followed at once, because clocks drift.
const MAX_SLEW_MS: u64 = 250;

/// A step is followed after it has lasted this long.
const STEP_SETTLE_MS: u64 = 30_000;

/// Reports older than this are ignored. Many contacts of the node have failed by then.
const REPORT_MAX_AGE_MS: u64 = 3_000;

/// Agreed wall-clock time and the number of clocks that support it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgreedTime {
    /// Wall-clock time at a point of the monotonic clock.
    pub anchor: DayAnchor,
    /// Greatest number of clocks that contributed to the median so far.
    pub clocks: u32,
}

/// Derives the agreed time from the clocks of all nodes.
#[derive(Debug, Clone, Default)]
pub struct ClockAgreement {
    reports: BTreeMap<SmolStr, DayAnchor>,
    agreed: Option<AgreedTime>,
    /// First median of a step that has not lasted long enough yet.
    pending_step: Option<DayAnchor>,
}

impl ClockAgreement {
    /// Resumes from the time that a predecessor reported, if any.
    #[must_use]
    pub fn resume(agreed: Option<AgreedTime>) -> Self {
        Self {
            agreed,
            ..Self::default()
        }
    }

    /// Records the reading of another node's clock.
    pub fn report(&mut self, node: SmolStr, anchor: DayAnchor) {
        self.reports.insert(node, anchor);
    }

    /// Records the reading of the scheduler's own clock and returns the agreed time.
    pub fn update(&mut self, own: DayAnchor) -> AgreedTime {
        let median = self.median(own);
        let current = self
            .agreed
            .filter(|current| median.clocks <= current.clocks);
        let Some(current) = current else {
            // A median of more clocks than before is accepted at once.
            return self.accept(median);
        };
        let followed = AgreedTime {
            anchor: median.anchor,
            ..current
        };
        if current.anchor.differs_ms(median.anchor) <= MAX_SLEW_MS {
            return self.accept(followed);
        }
        let same_step = self
            .pending_step
            .filter(|first| first.differs_ms(median.anchor) <= MAX_SLEW_MS);
        let first = *self.pending_step.insert(same_step.unwrap_or(median.anchor));
        if median.anchor.at.since(first.at) >= STEP_SETTLE_MS {
            return self.accept(followed);
        }
        current
    }

    fn accept(&mut self, agreed: AgreedTime) -> AgreedTime {
        self.pending_step = None;
        self.agreed = Some(agreed);
        agreed
    }

    /// Returns the median. Of two middle values it uses the earlier, so that no job starts before its time.
    fn median(&mut self, own: DayAnchor) -> AgreedTime {
        let now = own.at;
        self.reports
            .retain(|_, anchor| now.since(anchor.at) <= REPORT_MAX_AGE_MS);
        let reported = self.reports.values().map(|anchor| anchor.day_at(now));
        let mut times: Vec<TimeOfDay> = reported.collect();
        times.push(own.day);
        times.sort_unstable();
        AgreedTime {
            anchor: DayAnchor {
                at: now,
                day: times[(times.len() - 1) / 2],
            },
            clocks: u32::try_from(times.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Returns the wall-clock time that another node reported at `at`. A report of 0 means that there is none.
pub(crate) fn reported_anchor(at: Millis, day_ms: u64) -> Option<DayAnchor> {
    let day = TimeOfDay(day_ms);
    (day_ms > 0).then_some(DayAnchor { at, day })
}
