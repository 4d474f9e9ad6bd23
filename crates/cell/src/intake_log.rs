//! Logs that clients are refused, so that a crowd of them is seen and costs few lines.

use std::cell::Cell;

use syc_net::Intake;
use syc_net::RefusalCounts;
use syc_obs::Line;
use syc_obs::catalogue;
use syc_types::Millis;

/// Least time between two lines.
const LINE_INTERVAL_MS: u64 = 1_000;

/// Refusals that were logged already.
#[derive(Debug, Default)]
pub(crate) struct IntakeLog {
    logged: Cell<RefusalCounts>,
    logged_at: Cell<Option<Millis>>,
}

impl IntakeLog {
    /// Logs the refusals since the last line, if there are any.
    pub(crate) fn review(&self, intake: &Intake, now: Millis) {
        let readings = intake.readings();
        let before = self.logged.get();
        if readings.refusals == before {
            return;
        }
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) < LINE_INTERVAL_MS) {
            return;
        }
        self.logged.set(readings.refusals);
        self.logged_at.set(Some(now));
        let mut line = Line::new(catalogue::CLIENTS_REFUSED);
        let reasons = readings.refusals.by_reason();
        for ((reason, count), (_, before)) in reasons.into_iter().zip(before.by_reason()) {
            line = line.number(reason, count - before);
        }
        line.number("connections", readings.connections)
            .number("held_bytes", readings.pooled_bytes)
            .number("held_limit_bytes", readings.pool_bytes)
            .emit();
    }
}
