//! Budget for stops that make room for more urgent work.
//!
//! Load pattern: full workers and a steady stream of urgent work. Each stop costs an order, a restore and perhaps a call
//! for advice, and what was stopped competes for room again, which causes further stops.

use syc_types::Millis;

/// Share of the recent starts that may be stopped, in percent.
const STOPS_PERCENT: u64 = 3;

/// Number of stops that are always allowed within the window, so that a cell with few starts can preempt at all.
const BURST: u64 = 16;

/// Number of seconds over which starts and stops are counted.
const WINDOW_S: u64 = 10;

/// Number of counters, one for each second of the window.
const SECONDS: usize = 10;

/// Starts and stops within one second.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    number: u64,
    starts: u64,
    stops: u64,
}

/// Counts starts and stops over the last ten seconds. A new budget is full.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StopBudget {
    seconds: [Second; SECONDS],
}

impl StopBudget {
    /// Counts a start, which pays for a fraction of a stop.
    pub(crate) fn record_start(&mut self, now: Millis) {
        self.second(now).starts += 1;
    }

    /// Counts stops.
    pub(crate) fn record_stops(&mut self, stops: u64, now: Millis) {
        self.second(now).stops += stops;
    }

    /// Returns the number of stops that are allowed now.
    pub(crate) fn left(&self, now: Millis) -> u64 {
        let first = (now.0 / 1_000 + 1).saturating_sub(WINDOW_S);
        let recent = self.seconds.iter().filter(|second| second.number >= first);
        let (starts, stops) = recent.fold((0, 0), |(starts, stops), second| {
            (starts + second.starts, stops + second.stops)
        });
        BURST
            .max(starts * STOPS_PERCENT / 100)
            .saturating_sub(stops)
    }

    fn second(&mut self, now: Millis) -> &mut Second {
        let number = now.0 / 1_000;
        let index = usize::try_from(number % WINDOW_S).unwrap_or(0);
        let second = &mut self.seconds[index];
        if second.number != number {
            *second = Second {
                number,
                ..Second::default()
            };
        }
        second
    }
}
