//! What became of each task, for the rule TWICE.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::journal::Journal;

/// An end `done` of a task.
struct Done {
    minion: String,
    /// The life of the minion that listed it: what a later life is told says nothing of it.
    life: u32,
    at: Instant,
    /// Whether `Observed` has reached it.
    is_noted: bool,
    /// Starts of the task after it.
    starts_after: u32,
}

impl Done {
    /// Whether the task was started after this end, and note was taken of the end, before that or later.
    const fn is_repeated(&self) -> bool {
        self.is_noted && self.starts_after > 0
    }
}

pub struct Ledger {
    done: Mutex<HashMap<String, Vec<Done>>>,
    journal: Arc<Journal>,
}

impl Ledger {
    pub fn new(journal: Arc<Journal>) -> Self {
        Self { done: Mutex::default(), journal }
    }

    pub fn started(&self, task: &str, run: u64, minion: &str) {
        let mut all = self.done.lock().unwrap();
        for done in all.get_mut(task).into_iter().flatten() {
            done.starts_after += 1;
            let noted = if done.is_noted { "taken note of" } else { "not taken note of yet" };
            self.journal.note(&format!(
                "{task}: run {run} starts on {minion}, {} ms after a run ended done on {} (life {}), which is {noted}",
                done.at.elapsed().as_millis(),
                done.minion,
                done.life
            ));
        }
    }

    pub fn ended_done(&self, task: &str, minion: &str, life: u32) {
        let done = Done { minion: minion.to_owned(), life, at: Instant::now(), is_noted: false, starts_after: 0 };
        self.done.lock().unwrap().entry(task.to_owned()).or_default().push(done);
    }

    /// `Observed` has reached the end `done` of a task, listed by a life of a minion whose lease lapsed last at `lapsed_at`.
    pub fn noted(&self, task: &str, minion: &str, life: u32, lapsed_at: Option<Instant>) {
        let mut all = self.done.lock().unwrap();
        for done in all.get_mut(task).into_iter().flatten() {
            // "unless the minion's lease lapsed between the two"
            let is_void = lapsed_at.is_some_and(|lapsed_at| lapsed_at >= done.at);
            done.is_noted |= done.minion == minion && done.life == life && !is_void;
        }
    }

    /// The tasks that break the rule, and all that have ended done.
    pub fn repeated(&self) -> (usize, usize) {
        let all = self.done.lock().unwrap();
        let repeated = all.values().filter(|ends| ends.iter().any(Done::is_repeated));
        (repeated.count(), all.len())
    }
}
