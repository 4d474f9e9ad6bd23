//! Decisions that are written to the log.

use smol_str::SmolStr;
use syc_types::WorkerId;
use syc_types::WorkspaceName;
use syc_workspace::WorkspacePolicy;

use crate::JobId;
use crate::ListedAfterWriteOff;
use crate::Run;
use crate::StepId;
use crate::TaskId;
use crate::UnusableWorkers;
use crate::VmNote;
use crate::WriteOff;

/// The most recently started run of a worker that was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: Run,
    /// How long it had been on the worker when the worker last answered: short for a run that crashed its worker.
    pub seen_ms: u64,
}

/// A workspace has begun or ended sending beyond its guaranteed rate.
#[derive(Debug, Clone, PartialEq)]
pub struct RateUseChange {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Whether it sends beyond its rate.
    pub is_beyond: bool,
    /// Its guaranteed rate, in jobs a second.
    pub rate_per_s: f64,
    /// Jobs that it may send at once after a pause.
    pub burst_jobs: f64,
}

/// A decision that is written to the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A run has ended.
    RunEnded {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// How it ended: the name of a [`RunEnd`](crate::RunEnd) or the reason inferred without a report.
        end: &'static str,
        /// Number of failed runs of the unit so far.
        failures: u32,
        /// Time since it was started or adopted; none if this scheduler did not know of it.
        held_ms: Option<u64>,
    },
    /// A run was taken as over although its worker did not report its end.
    RunWrittenOff(Box<WriteOff>),
    /// A worker lists a run that was taken as over before.
    ListedAfterWriteOff(Box<ListedAfterWriteOff>),
    /// A task was recorded as running although no worker held its run, which only a fault of the scheduler causes. It
    /// was treated as ended without a result. Logged once for all members of a gang.
    RunMissing {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// The worker; none if it is not attached any more.
        worker: Option<WorkerId>,
        /// What was missing: the run, its worker, or all members.
        found: &'static str,
        /// How long that had stood when the task was treated as ended.
        missing_ms: u64,
    },
    /// The policy of a workspace changed.
    WorkspaceChanged(WorkspacePolicy),
    /// A workspace has begun or ended sending beyond its guaranteed rate.
    RateUseChanged(RateUseChange),
    /// What workers or workspaces count as occupied differs from what runs and reservations occupy, which only a fault
    /// of the scheduler causes. Logged once.
    UsageWrong,
    /// A task or gang has ended, as done or without an attempt left. That is neither shown nor acknowledged while a later
    /// start of it may still be carried out.
    EndHeld {
        /// The task, or the first member of the gang.
        task: TaskId,
        /// Number of the later start.
        later_run: Run,
        /// Whether it is done; otherwise it has no attempt left.
        is_done: bool,
    },
    /// A run that the predecessor had started was adopted.
    Adopted {
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// The worker.
        worker: WorkerId,
    },
    /// A worker crashed, possibly because of a task that it was running.
    TaskBlamed {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// Number of workers that have crashed while running it so far.
        crashes: u32,
        /// Whether it is the only possible cause.
        alone: bool,
        /// How long it had been on the worker; 0 if the worker never reported it.
        present_ms: u64,
    },
    /// A task or gang is not started again because it crashes its workers.
    TaskAbandoned {
        /// The task, or the first member of the gang.
        task: TaskId,
        /// Number of workers that crashed while running it.
        crashes: u32,
    },
    /// A job has reached a final state.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final state.
        state: crate::JobState,
        /// Time since the job was accepted.
        after_ms: u64,
        /// Objective of the job.
        objective_ms: u64,
    },
    /// A step is waiting.
    Waiting {
        /// The step.
        step: StepId,
        /// What it waits for.
        waits_for: &'static str,
        /// Number of workers that meet its requirements and accept work.
        eligible: usize,
        /// Label that its workers must have; empty for none.
        required_label: SmolStr,
        /// Number of workers that may run it, with valid tickets.
        allowed: usize,
        /// Number of workers that may not run it, according to advice.
        denied: usize,
        /// Number of workers with tickets, including expired ones.
        known: usize,
        /// Workers of its service that receive no new work, by reason.
        unusable: UnusableWorkers,
        /// Number of waiting tasks.
        tasks: u32,
    },
    /// A note about a worker.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The note.
        note: WorkerNote,
    },
    /// A note about VMs.
    Vm(VmNote),
    /// The takeover is complete: everything that runs is known.
    Recovered {
        /// Number of adopted runs.
        adopted: usize,
        /// Number of workers that never answered.
        unanswered: usize,
        /// The first of these workers.
        first_unanswered: Vec<WorkerId>,
        /// Time since this scheduler was elected.
        took_ms: u64,
    },
}

/// A log entry about a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerNote {
    /// The scheduler's assessment of whether the worker can run more has changed.
    StatusChanged {
        /// The new assessment.
        status: &'static str,
        /// Time since it last answered.
        silent_ms: u64,
    },
    /// The worker's runs take longer than other runs of their steps elsewhere, so it receives no new work for a
    /// while.
    Slow {
        /// How much longer they take, in percent.
        slowness_percent: u64,
        /// Number of steps for which this was observed.
        steps: usize,
        /// The step with the smallest slowdown.
        least: StepId,
        /// Slowdown of that step, in percent.
        least_percent: u64,
    },
    /// From what its runs show, the worker is permanently slower than most, or no longer is.
    SpeedChanged {
        /// Whether it is slow from now on.
        is_slow: bool,
        /// Its speed relative to the median worker, in percent.
        speed_percent: u64,
    },
    /// The worker is gone, and everything that ran on it has ended.
    Lost {
        /// Why it is considered gone.
        reason: &'static str,
        /// Time since it last answered.
        silent_ms: u64,
        /// Number of runs that ended with it.
        runs: usize,
        /// The most recently started of these runs.
        latest_run: Option<LatestRun>,
    },
    /// The pace of the filling runs on the worker has changed.
    Paced {
        /// Previous pace, 0 to 100.
        before_percent: u8,
        /// New pace, 0 to 100.
        percent: u8,
        /// Worst tail latency of the serving runs on the worker, as a percentage of its limit.
        tail_percent: Option<u64>,
        /// Number of filling runs.
        fills: usize,
    },
}
