//! Workers whose capacity may be lower than last reported.
//!
//! A worker reports its capacity when it registers, and the capacity may shrink while the worker is cut off. After a
//! long silence it therefore gets no new starts until its current capacity is known. A registration is only rewritten
//! when its content changes, and it expires when the worker stops refreshing it. So a registration that is still
//! present after a while confirms the recorded capacity.

use syc_types::Millis;

use crate::Scheduler;
use crate::WorkerKey;
use crate::reports::status_note;
use crate::worker::Worker;

/// Maximum time between two reads that counts towards the expiry of registrations. After a longer gap the store may
/// have been unavailable, in which case registrations outlive a worker that stopped refreshing them.
const READ_GAP_LIMIT_MS: u64 = 1_500;

/// Progress of the reads of worker registrations.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegistrationReads {
    /// When the latest completed read was requested.
    pub(crate) asked_at: Millis,
    /// Total time so far during which registrations could be read.
    pub(crate) readable_ms: u64,
}

/// State of a worker whose capacity may be lower than recorded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StaleCapacity {
    since: Millis,
    /// Value of `readable_ms` at the first read that was requested after `since`.
    readable_at_first_read_ms: Option<u64>,
}

impl StaleCapacity {
    /// Records a read that found the worker registered. Returns whether this confirms the recorded capacity.
    fn is_refreshed_by(&mut self, read: RegistrationReads, confirm_after_ms: u64) -> bool {
        if read.asked_at < self.since {
            return false;
        }
        let from_ms = *self
            .readable_at_first_read_ms
            .get_or_insert(read.readable_ms);
        read.readable_ms - from_ms >= confirm_after_ms
    }
}

impl Scheduler {
    /// Marks the capacity of a worker as stale if it has just answered again after a long silence.
    pub(crate) fn mark_capacity_stale(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.capacity_report_ttl_ms;
        let worker = &mut self.workers[key];
        if worker.stale_capacity.is_some() || !worker.capacity_may_be_stale(limit_ms, now) {
            return;
        }
        worker.stale_capacity = Some(StaleCapacity {
            since: now,
            readable_at_first_read_ms: None,
        });
        let note = status_note(worker, "room_in_doubt", now);
        self.actions.push(note);
    }

    /// Records that all registrations made before `asked_at` have been read.
    ///
    /// A worker whose registration does not change never writes it again, so without this a stale capacity would keep
    /// new work from it forever.
    pub(crate) fn workers_read(&mut self, asked_at: Millis, now: Millis) {
        let registrations = &mut self.registrations;
        let gap_ms = asked_at.since(registrations.asked_at);
        registrations.readable_ms += gap_ms.min(READ_GAP_LIMIT_MS);
        registrations.asked_at = asked_at;
        let confirm_after_ms = self.options.capacity_report_deadline_ms;
        for worker in self.workers.values_mut() {
            let Some(stale) = &mut worker.stale_capacity else {
                continue;
            };
            if !worker.registered || !stale.is_refreshed_by(self.registrations, confirm_after_ms) {
                continue;
            }
            worker.stale_capacity = None;
            let note = status_note(worker, "room_known", now);
            self.actions.push(note);
        }
    }
}

impl Worker {
    /// Returns whether its capacity may have shrunk, unreported, during a silence that has just ended.
    fn capacity_may_be_stale(&self, limit_ms: u64, now: Millis) -> bool {
        // A new scheduler does not know the age of the registration that it found.
        let was_long_silence = !self.runs_known || now.since(self.last_answer_at) > limit_ms;
        was_long_silence && now.since(self.capacity_reported_at) > limit_ms
    }
}
