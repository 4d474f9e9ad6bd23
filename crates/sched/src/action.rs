//! Outputs of a scheduler.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::VmId;
use syc_types::WorkerId;

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
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: Run,
    /// The job's payload.
    pub payload: SmolStr,
    /// Ticket that allows the worker to run it; empty if none is needed.
    pub ticket: SmolStr,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: SmolStr,
    /// When the start was decided. Its lease counts from then, however much later the order is sent.
    pub decided_at: Millis,
    /// How often the same order has been sent before.
    pub retries: u32,
    /// Time since the step became ready.
    pub ready_ms: u64,
}

/// An output of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start renewing the leases of a worker.
    Attach {
        /// The worker.
        worker: WorkerKey,
        /// Registration of the worker.
        spec: WorkerSpec,
    },
    /// Stop renewing the leases of a worker.
    Detach {
        /// The worker.
        worker: WorkerKey,
    },
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, or prevent it from ever starting.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// Reason, for the log.
        reason: StopReason,
    },
    /// Limit a run to a share of its full speed.
    Pace {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// The share, 0 to 100.
        percent: u8,
    },
    /// Call the advice service for the workers that may run a step.
    RequestAdvice {
        /// The step.
        step: StepId,
        /// The workers to name in the call.
        workers: Vec<WorkerKey>,
        /// Expected duration of the call.
        expected_ms: f64,
    },
    /// List the VMs.
    ListVms {
        /// Time of the request, from which the age of the list is measured.
        asked_at: Millis,
    },
    /// Send an order for a VM.
    OrderVm {
        /// The VM.
        vm: VmId,
        /// The order.
        operation: VmOperation,
    },
    /// Report the progress of a maintenance wave to the operators.
    ReportWave {
        /// The wave.
        wave: u64,
        /// Whether maintenance has begun on every VM that stays.
        completed: bool,
    },
    /// Store that the progress of the jobs names a draining worker for each run that may be on it. A successor then knows
    /// that no other task can be there, even if the worker does not answer.
    RecordDrain(WorkerId),
    /// Remove a worker from the roster, since nothing that was ordered can still run on it.
    ForgetWorker(WorkerId),
    /// Delete the stored specification of a job: only its state can still be queried.
    DeleteSpec(JobId),
    /// Delete everything that is stored of a job.
    DeleteJob(JobId),
    /// Write a decision to the log.
    Note(Note),
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or has failed.
    JobEnded,
    /// Another member of its gang cannot run.
    GangBroken,
    /// More urgent work needs its resources.
    Preempted,
    /// It makes no progress.
    Stalled,
    /// Its worker is draining.
    Draining,
    /// The scheduler does not want it to run there.
    Unwanted,
    /// Its start order was not answered.
    StartInDoubt,
    /// Its worker's VM is about to go down for maintenance.
    Evacuating,
    /// Its worker is slow, and it would finish sooner elsewhere.
    Slow,
    /// The run is over; the order only probes whether the worker accepts orders.
    Probe,
}

impl StopReason {
    /// Returns the name used in logs.
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
            Self::Evacuating => "emptying",
            Self::Slow => "slow",
            Self::Probe => "probe",
        }
    }
}
