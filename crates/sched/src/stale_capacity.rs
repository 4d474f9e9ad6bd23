//! Workers that may have less room than they told last.
//!
//! A worker tells what it has where workers register, and its room may shrink while it is cut off. After a long silence
//! it gets nothing new before it is known what it has now. A registration is written again only where something in it
//! is new, and lapses where the worker tells nothing: so one that is still there after a time says what holds.

use syc_types::Millis;

use crate::Scheduler;
use crate::WorkerKey;
use crate::reports::status_note;
use crate::worker::Worker;

/// Most of the time between two reads in which registrations are taken to lapse: for longer, the store may have been
/// away, and they outlast a worker that tells nothing.
const BETWEEN_READS_MS: u64 = 1_500;

/// How far the registrations of workers have been read.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegistrationReads {
    /// When those were asked for that were read last.
    asked_at: Millis,
    /// Time in which they could be read so far.
    readable_ms: u64,
}

/// A doubt about the room of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StaleCapacity {
    since: Millis,
    /// Time in which registrations could be read until the first read that was asked for since.
    read_from_ms: Option<u64>,
}

impl StaleCapacity {
    /// Takes note of a read that found the worker registered. Says whether the doubt is over.
    fn is_refreshed_by(&mut self, read: RegistrationReads, told_within_ms: u64) -> bool {
        if read.asked_at < self.since {
            return false;
        }
        let from_ms = *self.read_from_ms.get_or_insert(read.readable_ms);
        read.readable_ms - from_ms >= told_within_ms
    }
}

impl Scheduler {
    /// Doubts what a worker has that has just answered again, where it was silent for long.
    pub(crate) fn mark_capacity_stale(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.capacity_report_ttl_ms;
        let worker = &mut self.workers[key];
        if worker.stale_capacity.is_some() || !worker.capacity_may_be_stale(limit_ms, now) {
            return;
        }
        worker.stale_capacity = Some(StaleCapacity {
            since: now,
            read_from_ms: None,
        });
        let note = status_note(worker, "room_in_doubt", now);
        self.actions.push(note);
    }

    /// Takes note that all that was told where workers register before a time has been read.
    ///
    /// Without an end of its own, the doubt about a worker with nothing new to tell kept all work from it for good.
    pub(crate) fn workers_read(&mut self, asked_at: Millis, now: Millis) {
        let registrations = &mut self.registrations;
        let between_ms = asked_at.since(registrations.asked_at);
        registrations.readable_ms += between_ms.min(BETWEEN_READS_MS);
        registrations.asked_at = asked_at;
        let told_within_ms = self.options.capacity_report_deadline_ms;
        for worker in self.workers.values_mut() {
            let Some(stale) = &mut worker.stale_capacity else {
                continue;
            };
            if !worker.registered || !stale.is_refreshed_by(self.registrations, told_within_ms) {
                continue;
            }
            worker.stale_capacity = None;
            let note = status_note(worker, "room_known", now);
            self.actions.push(note);
        }
    }
}

impl Worker {
    /// Says whether its room may have shrunk in a silence that has just ended without being told.
    fn capacity_may_be_stale(&self, limit_ms: u64, now: Millis) -> bool {
        // How old the entry was that a new scheduler found, it does not know.
        let was_long_silence = !self.runs_known || now.since(self.last_answer_at) > limit_ms;
        was_long_silence && now.since(self.capacity_reported_at) > limit_ms
    }
}
