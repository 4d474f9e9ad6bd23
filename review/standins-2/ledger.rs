//! What became of each task, for the rule TWICE.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::journal::Journal;

/// An end `done` of a task.
struct Done {
    minion: String,
    at: Instant,
    /// Whether `Observed` has reached it.
    is_noted: bool,
    /// Starts of the task after it.
    starts_after: u32,
}

#[derive(Default)]
struct State {
    done: HashMap<String, Done>,
    /// Tasks that were started after an end `done` of which note was taken, then or later.
    repeated: u32,
}

pub struct Ledger {
    state: Mutex<State>,
    journal: Arc<Journal>,
}

impl Ledger {
    pub fn new(journal: Arc<Journal>) -> Self {
        Self { state: Mutex::default(), journal }
    }

    pub fn started(&self, task: &str, run: u64, minion: &str) {
        let mut state = self.state.lock().unwrap();
        let State { done, repeated } = &mut *state;
        let Some(done) = done.get_mut(task) else { return };
        done.starts_after += 1;
        let noted = if done.is_noted { "taken note of" } else { "not yet taken note of" };
        self.journal.note(&format!(
            "{task}: run {run} starts on {minion}, {} ms after a run ended done on {}, which is {noted}",
            done.at.elapsed().as_millis(),
            done.minion
        ));
        *repeated += u32::from(done.is_noted && done.starts_after == 1);
    }

    pub fn ended_done(&self, task: &str, minion: &str) {
        let mut state = self.state.lock().unwrap();
        let done = Done { minion: minion.to_owned(), at: Instant::now(), is_noted: false, starts_after: 0 };
        state.done.entry(task.to_owned()).or_insert(done);
    }

    /// `Observed` has reached the end `done` of a task on a minion whose lease lapsed last at `lapsed_at`.
    pub fn noted(&self, task: &str, minion: &str, lapsed_at: Option<Instant>) {
        let mut state = self.state.lock().unwrap();
        let State { done, repeated } = &mut *state;
        let Some(done) = done.get_mut(task) else { return };
        // "unless the minion's lease lapsed between the two"
        let is_void = lapsed_at.is_some_and(|lapsed_at| lapsed_at >= done.at);
        if done.minion != minion || is_void || done.is_noted {
            return;
        }
        done.is_noted = true;
        *repeated += u32::from(done.starts_after > 0);
    }

    /// The tasks that break the rule, and all that have ended done.
    pub fn repeated(&self) -> (u32, usize) {
        let state = self.state.lock().unwrap();
        (state.repeated, state.done.len())
    }
}
