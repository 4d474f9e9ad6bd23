//! What a scheduler knows of one worker: its room, its runs and how far it is to be trusted.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Resources;

use crate::JobId;
use crate::Run;
use crate::StepId;
use crate::TaskId;
use crate::event::WorkerSpec;

/// How far a run is on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start order has no answer yet.
    Starting,
    /// It runs.
    Running,
    /// It was told to stop, or not to start.
    Stopping,
}

/// One run that may hold room on a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerRun {
    pub(crate) resources: Resources,
    pub(crate) phase: Phase,
    /// When its start was decided, or it was adopted.
    pub(crate) held_since: Millis,
    /// When the latest order about it was sent.
    pub(crate) ordered_at: Millis,
    /// Orders of that kind sent so far.
    pub(crate) orders: u32,
    /// When the worker first said that it runs.
    pub(crate) confirmed_at: Option<Millis>,
    /// Whether some report listed it.
    pub(crate) listed: bool,
    /// When the worker took the stop order.
    pub(crate) stop_taken_at: Option<Millis>,
    pub(crate) percent: u8,
    pub(crate) percent_at: Millis,
    pub(crate) checkpoint: SmolStr,
    pub(crate) ticket: SmolStr,
    pub(crate) priority: u32,
    /// Whether it saves its progress, so that stopping it loses next to nothing.
    pub(crate) checkpointed: bool,
    /// Whether other runs end with it.
    pub(crate) gang: bool,
}

/// An end that the worker must not forget before it is kept in the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnacknowledgedEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    /// The change of the job that includes the end.
    pub(crate) change: u64,
}

/// One worker.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether it is registered.
    pub(crate) listed: bool,
    /// Whether it has told what runs on it.
    pub(crate) answered: bool,
    /// Whether its latest renewal went without an answer.
    pub(crate) silent: bool,
    pub(crate) last_answer_at: Millis,
    /// When the last of its leases has surely lapsed.
    pub(crate) lapse_at: Millis,
    pub(crate) runs: BTreeMap<(TaskId, Run), WorkerRun>,
    used: Resources,
    pub(crate) reserved: Resources,
    /// Number of the latest end that was handled.
    pub(crate) handled_end: u64,
    pub(crate) unacknowledged: VecDeque<UnacknowledgedEnd>,
    /// Number of the latest end that may be forgotten.
    pub(crate) acknowledged: u64,
    /// Failed ends since the last good one.
    pub(crate) failures_in_row: u32,
    /// It gets nothing new before this time.
    pub(crate) quarantined_until: Millis,
    /// Times that it was quarantined lately.
    pub(crate) quarantines: u32,
}

impl Worker {
    pub(crate) const fn new(spec: WorkerSpec, now: Millis) -> Self {
        Self {
            spec,
            listed: true,
            answered: false,
            silent: false,
            last_answer_at: now,
            lapse_at: now,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            reserved: Resources::ZERO,
            handled_end: 0,
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            failures_in_row: 0,
            quarantined_until: Millis(0),
            quarantines: 0,
        }
    }

    /// Says whether it may get new work.
    pub(crate) fn usable(&self, now: Millis) -> bool {
        self.listed
            && self.answered
            && !self.silent
            && !self.spec.draining
            && self.quarantined_until <= now
    }

    /// Returns what no run holds and no reservation claims.
    pub(crate) fn room(&self) -> Resources {
        let free = self.spec.capacity.saturating_sub(&self.used);
        free.saturating_sub(&self.reserved)
    }

    /// Returns what no run holds.
    pub(crate) fn free(&self) -> Resources {
        self.spec.capacity.saturating_sub(&self.used)
    }

    /// Adds a run; its room is taken from now on.
    pub(crate) fn insert(&mut self, task: TaskId, run: Run, held: WorkerRun) {
        self.used = self.used.saturating_add(&held.resources);
        let replaced = self.runs.insert((task, run), held);
        if let Some(replaced) = replaced {
            self.used = self.used.saturating_sub(&replaced.resources);
        }
    }

    /// Removes a run and frees its room.
    pub(crate) fn remove(&mut self, task: TaskId, run: Run) -> Option<WorkerRun> {
        let removed = self.runs.remove(&(task, run))?;
        self.used = self.used.saturating_sub(&removed.resources);
        Some(removed)
    }

    /// Returns the number of the latest end that the worker may forget.
    pub(crate) fn acknowledge_ends<F>(&mut self, recorded: F) -> u64
    where
        F: Fn(JobId) -> u64,
    {
        while let Some(first) = self.unacknowledged.front() {
            if recorded(first.job) < first.change {
                break;
            }
            self.acknowledged = first.number;
            self.unacknowledged.pop_front();
        }
        self.acknowledged
    }

    /// Returns the runs of a step on it.
    pub(crate) fn runs_of(
        &self,
        step: StepId,
    ) -> impl Iterator<Item = (&(TaskId, Run), &WorkerRun)> {
        let first = TaskId { step, index: 0 };
        let from_first = self.runs.range((first, Run(0))..);
        from_first.take_while(move |((task, _), _)| task.step == step)
    }

    /// Counts the runs of a step on it.
    pub(crate) fn tasks_of(&self, step: StepId) -> u32 {
        u32::try_from(self.runs_of(step).count()).unwrap_or(u32::MAX)
    }

    /// Says whether any run of a task holds room on it.
    pub(crate) fn has_run_of(&self, task: TaskId) -> bool {
        let mut from_first = self.runs.range((task, Run(0))..);
        from_first
            .next()
            .is_some_and(|((first, _), _)| *first == task)
    }
}

/// Returns how many times `need` fits in `room`, at most `limit`.
pub(crate) fn fits(room: &Resources, need: &Resources, limit: u32) -> u32 {
    let mut count = limit;
    let pairs = [
        (room.cpu_millis, need.cpu_millis),
        (room.memory_bytes, need.memory_bytes),
        (u64::from(room.accelerators), u64::from(need.accelerators)),
    ];
    for (room, need) in pairs {
        if need == 0 {
            continue;
        }
        let times = u32::try_from(room / need).unwrap_or(u32::MAX);
        count = count.min(times);
    }
    count
}
