//! Workers that may have less room than they told last.
//!
//! A worker tells what it has where workers register, and its room may shrink while it is cut off. After a long silence
//! it gets nothing new before it is known what it has now. A registration is written again only where something in it
//! is new, and lapses where the worker tells nothing: so one that is still there after a time says what holds.

use syc_types::Millis;

use crate::Scheduler;
use crate::WorkerKey;
use crate::reports::belief;
use crate::worker::Worker;

/// Registrations that could not be read for longer may have outlasted a worker that told nothing.
const UNREAD_LIMIT_MS: u64 = 1_500;

impl Scheduler {
    /// Doubts what a worker has that has just answered again, where it was silent for long.
    pub(crate) fn doubt_room(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.room_told_ms;
        let worker = &mut self.workers[key];
        if worker.room_doubt_since.is_some() || !worker.may_have_shrunk(limit_ms, now) {
            return;
        }
        worker.room_doubt_since = Some(now);
        let note = belief(worker, "room_in_doubt", now);
        self.actions.push(note);
    }

    /// Takes note that all that was told where workers register before a time has been read.
    ///
    /// Without an end of its own, the doubt about a worker with nothing new to tell kept all work from it for good.
    pub(crate) fn workers_read(&mut self, asked_at: Millis, now: Millis) {
        let was_unread = asked_at.since(self.workers_read_at) > UNREAD_LIMIT_MS;
        self.workers_read_at = asked_at;
        for worker in self.workers.values_mut() {
            let Some(since) = worker.room_doubt_since else {
                continue;
            };
            if was_unread {
                worker.room_doubt_since = Some(since.max(asked_at));
                continue;
            }
            if !worker.listed || asked_at < since.plus(self.options.told_within_ms) {
                continue;
            }
            worker.room_doubt_since = None;
            let note = belief(worker, "room_known", now);
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
