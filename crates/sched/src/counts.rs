//! What a scheduler holds, for metrics.

use syc_types::Millis;

use crate::Scheduler;
use crate::worker::Worker;

/// What a scheduler holds, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Tasks that wait for a start.
    pub waiting_tasks: u64,
    /// Runs that hold room.
    pub runs: usize,
    /// Workers that may get work.
    pub usable_workers: usize,
    /// Workers whose latest renewal went without an answer.
    pub silent_workers: usize,
    /// Workers that are attached.
    pub workers: usize,
    /// Runs whose latest order has no answer yet: they may run, or not.
    pub doubtful_runs: usize,
    /// Time for which the oldest of these has been in doubt.
    pub oldest_doubt_ms: u64,
    /// Time for which the worker that has been silent longest has not answered.
    pub longest_silence_ms: u64,
    /// Time until the last lease that holds room on a silent worker has surely lapsed.
    pub longest_lease_ms: u64,
}

impl Counts {
    fn add_doubts(&mut self, worker: &Worker, now: Millis) {
        for run in worker.runs.values() {
            let Some(since) = run.in_doubt_since() else {
                continue;
            };
            self.doubtful_runs += 1;
            self.oldest_doubt_ms = self.oldest_doubt_ms.max(now.since(since));
        }
    }

    fn add_silence(&mut self, worker: &Worker, now: Millis) {
        self.silent_workers += 1;
        let silent_ms = now.since(worker.last_answer_at);
        self.longest_silence_ms = self.longest_silence_ms.max(silent_ms);
        if !worker.runs.is_empty() {
            let lease_ms = worker.lapse_at.since(now);
            self.longest_lease_ms = self.longest_lease_ms.max(lease_ms);
        }
    }
}

impl Scheduler {
    /// Returns what a scheduler holds.
    #[must_use]
    pub fn counts(&self, now: Millis) -> Counts {
        let mut counts = Counts {
            open_jobs: self.open_jobs.len(),
            workers: self.workers.len(),
            ..Counts::default()
        };
        for key in &self.open_jobs {
            for (index, step) in self.jobs[*key].steps.iter().enumerate() {
                if step.pending_units > 0 && self.jobs[*key].is_ready(index, now) {
                    counts.waiting_tasks += u64::from(step.pending_units * step.members());
                }
            }
        }
        for worker in self.workers.values() {
            counts.runs += worker.runs.len();
            counts.usable_workers += usize::from(worker.is_usable(now));
            counts.add_doubts(worker, now);
            if worker.silent {
                counts.add_silence(worker, now);
            }
        }
        counts
    }
}
