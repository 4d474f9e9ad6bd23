//! What a scheduler wants done.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::VmId;

use crate::JobId;
use crate::Note;
use crate::Run;
use crate::StepId;
use crate::TaskId;
use crate::VmOperation;
use crate::WorkerKey;
use crate::WorkerSpec;

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Where.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// The job's payload.
    pub payload: SmolStr,
    /// Proof that the worker may run it; empty where none is needed.
    pub ticket: SmolStr,
    /// Where it goes on from; empty to begin.
    pub checkpoint: SmolStr,
    /// When it was decided on: the lease that it sets counts from then, however much later it is sent.
    pub decided_at: Millis,
    /// How often the same order was sent before.
    pub retries: u32,
    /// Time since the step could first start.
    pub ready_ms: u64,
}

/// What a scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Renew the leases of a worker from now on.
    Attach {
        /// The worker.
        worker: WorkerKey,
        /// What it says of itself.
        spec: WorkerSpec,
    },
    /// Renew the leases of a worker no longer.
    Detach {
        /// The worker.
        worker: WorkerKey,
    },
    /// Start a run.
    Start(StartOrder),
    /// End a run, or keep it from ever starting.
    Stop {
        /// Where.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// Why, for the log.
        reason: StopReason,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// Where.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// The share, 0 to 100.
        percent: u8,
    },
    /// Ask which workers may run a step.
    RequestAdvice {
        /// The step.
        step: StepId,
        /// The workers to name.
        workers: Vec<WorkerKey>,
        /// Time that the call is expected to be served.
        expected_ms: f64,
    },
    /// List the VMs.
    ListVms {
        /// When that is asked for: the list is as old.
        asked_at: Millis,
    },
    /// Do something with a VM.
    OrderVm {
        /// The VM.
        vm: VmId,
        /// What to do.
        duty: VmOperation,
    },
    /// Tell the operators how far a wave is.
    ReportWave {
        /// The wave.
        wave: u64,
        /// Whether every VM that stays has begun its upkeep.
        completed: bool,
    },
    /// Remove what is kept of a job's specification: its state says all that is still asked.
    DropSpec(JobId),
    /// Remove everything that is kept of a job.
    Forget(JobId),
    /// Write a line to the log of decisions.
    Note(Note),
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or has failed.
    JobEnded,
    /// Another member of its gang can't run.
    GangBroken,
    /// More urgent work takes its room.
    Preempted,
    /// It makes no progress.
    Stalled,
    /// Its worker is about to leave.
    Draining,
    /// The scheduler does not want it there.
    Unwanted,
    /// Its start was not answered.
    StartInDoubt,
    /// Its worker's VM is about to be taken.
    Emptying,
    /// Its worker is slow, and it would end sooner elsewhere.
    Slow,
    /// It is over: whether its worker takes orders is to be seen.
    Probe,
}

impl StopReason {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::JobEnded => "job_ended",
            Self::GangBroken => "gang_broken",
            Self::Preempted => "preempted",
            Self::Stalled => "stalled",
            Self::Draining => "draining",
            Self::Unwanted => "unwanted",
            Self::StartInDoubt => "start_in_doubt",
            Self::Emptying => "emptying",
            Self::Slow => "slow",
            Self::Probe => "probe",
        }
    }
}
