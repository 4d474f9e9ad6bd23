//! What happens to a scheduler.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;

use crate::JobId;
use crate::JobSpec;
use crate::Run;
use crate::StartAnswer;
use crate::StepId;
use crate::TaskId;
use crate::VmInfo;
use crate::VmOperation;
use crate::VmOrderAnswer;
use crate::Wave;
use crate::WorkerKey;
use crate::WorkerReport;
use crate::WorkerSpec;

/// A worker that may run a step, with the proof of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedWorker {
    /// The worker.
    pub worker: WorkerKey,
    /// What the start order must carry.
    pub ticket: SmolStr,
}

/// What a call for advice came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdviceAnswer {
    /// These of the workers may run the step.
    Given {
        /// The workers that may.
        allowed: Vec<AllowedWorker>,
        /// Time for which the tickets are valid, from when the call was answered.
        validity_ms: u64,
    },
    /// Nothing is known.
    Failed,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A worker registered, or what it says of itself changed.
    WorkerListed(WorkerSpec),
    /// A worker is registered no more.
    WorkerUnlisted(WorkerId),
    /// All that was told where workers register before a time has been read.
    WorkersRead {
        /// When that was asked for.
        asked_at: Millis,
    },
    /// A job is in the store.
    JobStored {
        /// The job.
        spec: Box<JobSpec>,
        /// Time since it was accepted.
        age_ms: u64,
    },
    /// The cancelling of a job is in the store.
    JobCancelled(JobId),
    /// A worker answered a renewal of its leases.
    Renewed {
        /// The worker.
        worker: WorkerKey,
        /// When the renewal was sent.
        sent_at: Millis,
        /// What it lists.
        report: WorkerReport,
    },
    /// A renewal of leases is about to be sent; it may arrive whether or not it is answered.
    Renewing {
        /// The worker.
        worker: WorkerKey,
    },
    /// A worker did not answer a renewal of its leases.
    RenewalFailed {
        /// The worker.
        worker: WorkerKey,
    },
    /// Another incarnation of the worker answers at its address: all that ran on this one has ended.
    Replaced {
        /// The worker.
        worker: WorkerKey,
    },
    /// A later life of the worker answers under its name: all that ran on this one has ended, but what this scheduler
    /// ordered lately may have reached that one.
    Restarted {
        /// The worker.
        worker: WorkerKey,
    },
    /// A start order came to something.
    StartAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// What it came to.
        answer: StartAnswer,
    },
    /// A stop order was answered, or not.
    StopAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// Whether the worker took it: the run ends soon, or will never start.
        taken: bool,
    },
    /// An order to go at a pace was answered, or not.
    PaceAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: Run,
        /// The pace that was ordered.
        percent: u8,
        /// Whether the worker took it.
        taken: bool,
    },
    /// A call for advice came to something.
    Advised {
        /// The step.
        step: StepId,
        /// The workers that were named.
        asked: Vec<WorkerKey>,
        /// What it came to.
        answer: AdviceAnswer,
    },
    /// Operators want VMs to have their upkeep.
    WavePublished {
        /// The VMs, and how it is to be done.
        wave: Wave,
        /// Time since this node read of it.
        age_ms: u64,
    },
    /// The store has taken how far a wave is.
    WaveRecorded {
        /// The wave.
        wave: u64,
        /// Number of the change up to which it was written.
        change: u64,
    },
    /// The services whose VMs are off until they are moved to another pool.
    StandbySet(Vec<ServiceName>),
    /// The platform listed the VMs, or did not.
    VmsListed {
        /// When the list was asked for.
        asked_at: Millis,
        /// The list, if it came.
        vms: Option<Vec<VmInfo>>,
    },
    /// An order about a VM came to something.
    VmOrderAnswered {
        /// The VM.
        vm: VmId,
        /// What was ordered.
        duty: VmOperation,
        /// What it came to.
        answer: VmOrderAnswer,
    },
    /// The store has taken the progress of jobs.
    Recorded {
        /// The jobs, each with the number of the change up to which its progress was written.
        jobs: Vec<(JobId, u64)>,
    },
    /// Time passed.
    Ticked,
}
