//! The decisions that the log should tell.

use smol_str::SmolStr;
use syc_types::WorkerId;

use crate::JobId;
use crate::Run;
use crate::StepId;
use crate::TaskId;
use crate::UnusableWorkers;
use crate::VmNote;

/// The run of a worker that had been ordered last when the worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestRun {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// Time for which it was there when the worker last answered: little of one that took its worker down.
    pub seen_ms: u64,
}

/// A decision that the log should tell.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A run has ended, with the evidence for it.
    RunEnded {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// How it ended: a [`RunEnd`] or what was concluded without a report.
        end: &'static str,
        /// Failed runs of the unit so far.
        failures: u32,
        /// Time since its start was decided, or it was adopted; none where this scheduler did not
        /// know of it.
        held_ms: Option<u64>,
    },
    /// A run that the predecessor had started goes on.
    Adopted {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// The worker.
        worker: WorkerId,
    },
    /// A worker crashed while a task was there that may have taken it down.
    TaskBlamed {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// Workers that have crashed under it so far.
        crashes: u32,
        /// Whether nothing else can be blamed.
        alone: bool,
        /// Time for which it had been there; 0 where nothing told of it.
        present_ms: u64,
    },
    /// A task, or a gang, is not started again since it takes its workers down.
    TaskAbandoned {
        /// The task; of a gang, the first member.
        task: TaskId,
        /// Workers that crashed under it.
        crashes: u32,
    },
    /// A job changes no more.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its state, as `JobState` names it.
        state: crate::JobState,
        /// Time since it was accepted.
        after_ms: u64,
        /// Its objective.
        objective_ms: u64,
    },
    /// A unit waits, and for what.
    Waiting {
        /// The step.
        step: StepId,
        /// What is lacking.
        lacking: &'static str,
        /// Workers that have what it asks for and may get work.
        eligible: usize,
        /// Label that it asks a worker to have; empty for none.
        required_label: SmolStr,
        /// Workers that may run it and that tickets are held for.
        allowed: usize,
        /// Workers that were asked about and may not run it.
        denied: usize,
        /// Workers that might run it, with tickets that may be too old.
        known: usize,
        /// Workers of its service that get nothing new.
        hindered: UnusableWorkers,
        /// Tasks that wait.
        tasks: u32,
    },
    /// Something about one worker.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// What is told of it.
        note: WorkerNote,
    },
    /// Something about whole VMs.
    Vm(VmNote),
    /// The takeover is complete: nothing that runs is unknown any more.
    Recovered {
        /// Runs that were adopted.
        adopted: usize,
        /// Workers that never answered.
        unanswered: usize,
    },
}

/// What the log should tell of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerNote {
    /// A worker is believed unable to run more, or able again.
    StatusChanged {
        /// What is believed.
        status: &'static str,
        /// Time since it last answered.
        silent_ms: u64,
    },
    /// A worker's runs take longer than others of their steps elsewhere, so that it gets nothing new for
    /// a while.
    Slow {
        /// How much longer they take, in hundredths.
        slowness_percent: u64,
        /// Steps that say so.
        steps: usize,
        /// The step that says least.
        least: StepId,
        /// How much longer by that step, in hundredths.
        least_percent: u64,
    },
    /// A worker is gone, and what ran on it with it.
    Lost {
        /// What was concluded of it.
        reason: &'static str,
        /// Time since it last answered.
        silent_ms: u64,
        /// Runs that ended with it.
        runs: usize,
        /// The run of these that had been ordered last.
        latest_run: Option<LatestRun>,
    },
    /// The runs that fill a worker go at another pace.
    Paced {
        /// The pace before, 0 to 100.
        before_percent: u8,
        /// The pace from now on.
        percent: u8,
        /// The worst tail of the runs that serve there, as a share of its limit.
        tail_percent: Option<u64>,
        /// Runs that fill.
        fills: usize,
    },
}
