//! Counts of a scheduler's jobs, runs and workers, for metrics.

use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkspaceName;

use crate::Scheduler;
use crate::worker::Worker;
use crate::workspaces::RunOwner;

/// Counts of a scheduler's jobs, runs and workers, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Ready tasks waiting to be started.
    pub waiting_tasks: u64,
    /// Runs that hold resources on a worker.
    pub runs: usize,
    /// Workers that accept new work.
    pub usable_workers: usize,
    /// Workers that did not answer the latest renewal.
    pub silent_workers: usize,
    /// Attached workers.
    pub workers: usize,
    /// Tasks and gangs whose end is held because a later start of them may still be carried out.
    pub held_ends: usize,
    /// Tasks with a start that got no answer and may still be carried out.
    pub late_start_tasks: usize,
    /// Runs whose latest order has not been answered yet, so that it is unknown whether they run.
    pub doubtful_runs: usize,
    /// Time since the oldest unanswered order.
    pub oldest_doubt_ms: u64,
    /// Longest time for which a silent worker has not answered.
    pub longest_silence_ms: u64,
    /// Time until the last lease on a silent worker with runs has certainly expired.
    pub longest_lease_ms: u64,
}

/// What a workspace has running, the most that it may have, and how it uses its rate.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub name: WorkspaceName,
    /// What its runs requested.
    pub running: Resources,
    /// Its cap; a kind without a limit has the largest value.
    pub cap: Resources,
    /// Its guaranteed rate, in jobs a second; infinite if it has none.
    pub rate_per_s: f64,
    /// Jobs that it may send now before it is beyond its rate; infinite without a rate.
    pub burst_left_jobs: f64,
    /// Its waiting jobs that were submitted beyond its rate.
    pub excess_jobs: u64,
    /// Lower bound of the wait of its next job, in the queue in which that waits longest.
    pub predicted_wait_ms: u64,
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
            let lease_ms = worker.leases_expire_at.since(now);
            self.longest_lease_ms = self.longest_lease_ms.max(lease_ms);
        }
    }
}

impl Scheduler {
    /// Returns the use of each workspace, the largest amount of processor time first.
    #[must_use]
    pub fn workspace_usage(&self, now: Millis) -> Vec<WorkspaceUsage> {
        let mut usages = Vec::new();
        for (key, workspace) in self.workspaces.iter() {
            let (excess_jobs, predicted_wait_ms) = self.excess_and_wait_of(key, now);
            usages.push(WorkspaceUsage {
                name: workspace.policy.name.clone(),
                running: self.running_of(RunOwner::Workspace(key)),
                cap: workspace.policy.cap,
                rate_per_s: workspace.policy.rate_per_s,
                burst_left_jobs: workspace.rate_use.burst_left(&workspace.policy, now),
                excess_jobs,
                predicted_wait_ms,
            });
        }
        usages.sort_by_key(|usage| std::cmp::Reverse(usage.running.cpu_millis));
        usages
    }

    /// Returns the current counts.
    #[must_use]
    pub fn counts(&self, now: Millis) -> Counts {
        let mut counts = Counts {
            open_jobs: self.open_jobs.len(),
            workers: self.workers.len(),
            held_ends: self.held_ends.len(),
            late_start_tasks: self.unsettled_starts.tasks_in_doubt(),
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
