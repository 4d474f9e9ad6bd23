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
pub(crate) struct Registrations {
    /// When those were asked for that were read last.
    asked_at: Millis,
    /// Time in which they could be read so far.
    readable_ms: u64,
}

/// A doubt about the room of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoomDoubt {
    since: Millis,
    /// Time in which registrations could be read until the first read that was asked for since.
    read_from_ms: Option<u64>,
}

impl RoomDoubt {
    /// Takes note of a read that found the worker registered. Says whether the doubt is over.
    fn ends_with(&mut self, read: Registrations, told_within_ms: u64) -> bool {
        if read.asked_at < self.since {
            return false;
        }
        let from_ms = *self.read_from_ms.get_or_insert(read.readable_ms);
        read.readable_ms - from_ms >= told_within_ms
    }
}

impl Scheduler {
    /// Doubts what a worker has that has just answered again, where it was silent for long.
    pub(crate) fn doubt_room(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.room_told_ms;
        let worker = &mut self.workers[key];
        if worker.room_doubt.is_some() || !worker.may_have_shrunk(limit_ms, now) {
            return;
        }
        worker.room_doubt = Some(RoomDoubt {
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
        let told_within_ms = self.options.told_within_ms;
        for worker in self.workers.values_mut() {
            let Some(doubt) = &mut worker.room_doubt else {
                continue;
            };
            if !worker.listed || !doubt.ends_with(self.registrations, told_within_ms) {
                continue;
            }
            worker.room_doubt = None;
            let note = status_note(worker, "room_known", now);
            self.actions.push(note);
        }
    }
}

impl Worker {
    /// Says whether its room may have shrunk in a silence that has just ended without being told.
    fn may_have_shrunk(&self, limit_ms: u64, now: Millis) -> bool {
        // How old the entry was that a new scheduler found, it does not know.
        let was_long = !self.answered || now.since(self.last_answer_at) > limit_ms;
        was_long && now.since(self.told_at) > limit_ms
    }
}
