//! What was sent, answered and run, as clients and minions saw it.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// What became of a submission.
#[derive(Debug, Clone, Default)]
pub struct Submission {
    /// When it was accepted.
    pub accepted_ms: Option<u64>,
    pub tasks: u64,
    pub first_start_ms: Option<u64>,
    pub last_end_ms: u64,
    /// Ends as done.
    pub done: u64,
    /// Tasks that run now.
    pub running: i64,
}

struct State {
    file: File,
    lines: u64,
    submissions: HashMap<String, Submission>,
    /// When the first task of each occurrence of a submission started.
    occurrences: HashMap<(String, u64), u64>,
    /// When an end as done of each task was taken note of.
    noted: HashMap<String, u64>,
    /// Starts of tasks of which a run had ended as done, which was taken note of.
    started_after_done: Vec<String>,
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    shared: Arc<Mutex<State>>,
}

/// Lines about starts and ends beyond this many are counted only.
const RUN_LINES: u64 = 2_000;

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            begun: Instant::now(),
            shared: Arc::new(Mutex::new(State {
                file,
                lines: 0,
                submissions: HashMap::new(),
                occurrences: HashMap::new(),
                noted: HashMap::new(),
                started_after_done: Vec::new(),
            })),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut state = self.shared.lock().unwrap();
        let _ = writeln!(state.file, "{now_ms:>6} {text}");
    }

    fn run_line(&self, state: &mut State, text: &str) {
        state.lines += 1;
        if state.lines <= RUN_LINES {
            let _ = writeln!(state.file, "{:>6} {text}", self.now_ms());
        }
    }

    pub fn started(&self, minion: &str, task: &str, run: u64, token: u64) {
        let now_ms = self.now_ms();
        let mut state = self.shared.lock().unwrap();
        let submission = state.submissions.entry(id_of(task)).or_default();
        submission.first_start_ms.get_or_insert(now_ms);
        submission.running += 1;
        if let Some(at_ms) = state.noted.get(task) {
            let text = format!(
                "{task} run {run} started on {minion} at {now_ms}, though its end as done was noted at {at_ms}"
            );
            state.started_after_done.push(text);
        }
        let occurrence = task.split('.').nth(1).and_then(|number| number.parse().ok());
        let occurrence = (id_of(task), occurrence.unwrap_or(0));
        state.occurrences.entry(occurrence).or_insert(now_ms);
        self.run_line(&mut state, &format!("start {task} run {run} on {minion} fence {token}"));
    }

    pub fn ended(&self, minion: &str, task: &str, run: u64, how: &str) {
        let now_ms = self.now_ms();
        let mut state = self.shared.lock().unwrap();
        let submission = state.submissions.entry(id_of(task)).or_default();
        submission.done += u64::from(how == "done");
        submission.running -= 1;
        submission.last_end_ms = now_ms;
        self.run_line(&mut state, &format!("end {task} run {run} on {minion} {how}"));
    }

    pub fn update<F>(&self, id: &str, change: F)
    where
        F: FnOnce(&mut Submission),
    {
        let mut state = self.shared.lock().unwrap();
        change(state.submissions.entry(id.to_owned()).or_default());
    }

    /// Records that `Observed` has reached an end as done.
    pub fn noted(&self, minion: &str, task: &str, run: u64) {
        let now_ms = self.now_ms();
        let mut state = self.shared.lock().unwrap();
        state.noted.entry(task.to_owned()).or_insert(now_ms);
        self.run_line(
            &mut state,
            &format!("the end of {task} run {run} on {minion} is taken note of"),
        );
    }

    pub fn started_after_done(&self) -> Vec<String> {
        self.shared.lock().unwrap().started_after_done.clone()
    }

    pub fn first_start_of_occurrence(&self, id: &str, occurrence: u64) -> Option<u64> {
        let state = self.shared.lock().unwrap();
        state.occurrences.get(&(id.to_owned(), occurrence)).copied()
    }

    pub fn submission(&self, id: &str) -> Option<Submission> {
        let state = self.shared.lock().unwrap();
        state.submissions.get(id).cloned()
    }
}

fn id_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}
