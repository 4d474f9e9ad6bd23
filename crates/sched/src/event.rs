//! Inputs of a scheduler.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::WorkspaceName;
use syc_workspace::WorkspacePolicy;

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

/// A worker that may run a step, with its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedWorker {
    /// The worker.
    pub worker: WorkerKey,
    /// Ticket that the start order must carry.
    pub ticket: SmolStr,
}

/// Result of an advice call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdviceAnswer {
    /// The call was answered.
    Given {
        /// The workers that may run the step.
        allowed: Vec<AllowedWorker>,
        /// Validity of the tickets, from the answer on.
        validity_ms: u64,
    },
    /// The call failed.
    Failed,
}

/// A request to cancel a job, which is heeded only if its caller may access the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cancellation {
    /// The job.
    pub job: JobId,
    /// The workspace of the caller; none if the job's queue needs no key.
    pub workspace: Option<WorkspaceName>,
}

impl From<JobId> for Cancellation {
    fn from(job: JobId) -> Self {
        Self {
            job,
            workspace: None,
        }
    }
}

/// An input of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A worker registered, or its registration changed.
    WorkerListed(WorkerSpec),
    /// A worker is no longer registered.
    WorkerUnlisted(WorkerId),
    /// Everything that was registered before a time has been read.
    WorkersRead {
        /// When the read was requested.
        asked_at: Millis,
    },
    /// A job has been stored.
    JobStored {
        /// The job.
        spec: Box<JobSpec>,
        /// Time since it was accepted.
        age_ms: u64,
    },
    /// The cancellation of a job has been stored.
    JobCancelled(Cancellation),
    /// A worker answered a renewal of its leases.
    Renewed {
        /// The worker.
        worker: WorkerKey,
        /// When the renewal was sent.
        sent_at: Millis,
        /// The worker's report.
        report: WorkerReport,
    },
    /// A renewal of leases is about to be sent. It may arrive even if it is not answered.
    Renewing {
        /// The worker.
        worker: WorkerKey,
    },
    /// A worker did not answer a renewal of its leases.
    RenewalFailed {
        /// The worker.
        worker: WorkerKey,
    },
    /// Another incarnation of the worker answers at its address: everything that ran on this one has ended.
    Replaced {
        /// The worker.
        worker: WorkerKey,
    },
    /// A later incarnation of the worker answers under its name or is listed: everything that ran on this one has ended,
    /// but recent orders of this scheduler may have reached the new one.
    Restarted {
        /// The worker.
        worker: WorkerKey,
    },
    /// A start order was answered or has failed.
    StartAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// The result.
        answer: StartAnswer,
    },
    /// A stop order was answered or has failed.
    StopAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// Whether the worker accepted it: the run ends soon or will never start.
        accepted: bool,
    },
    /// An order to change a run's pace was answered or has failed.
    PaceAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// The ordered pace.
        percent: u8,
        /// Whether the worker accepted it.
        accepted: bool,
    },
    /// An advice call was answered or has failed.
    Advised {
        /// The step.
        step: StepId,
        /// The workers named in the call.
        asked: Vec<WorkerKey>,
        /// The result.
        answer: AdviceAnswer,
    },
    /// Operators published a maintenance wave.
    WavePublished {
        /// The VMs and the parameters of the wave.
        wave: Wave,
        /// Time since this node read it.
        age_ms: u64,
    },
    /// The progress of a wave has been stored.
    WaveRecorded {
        /// The wave.
        wave: u64,
        /// Number of the latest change that was written.
        change: u64,
    },
    /// Sets the policies of the configured workspaces.
    WorkspacesSet(Vec<WorkspacePolicy>),
    /// Sets the services whose VMs are powered off until they are moved to another pool.
    StandbySet(Vec<ServiceName>),
    /// A request for the list of VMs was answered or has failed.
    VmsListed {
        /// When the list was requested.
        asked_at: Millis,
        /// The VMs; none if the request failed.
        vms: Option<Vec<VmInfo>>,
    },
    /// An order for a VM was answered or has failed.
    VmOrderAnswered {
        /// The VM.
        vm: VmId,
        /// The order.
        operation: VmOperation,
        /// The result.
        answer: VmOrderAnswer,
    },
    /// The progress of jobs has been stored.
    Recorded {
        /// The jobs, each with the number of the latest change that was written.
        jobs: Vec<(JobId, u64)>,
    },
    /// Time has passed.
    Ticked,
}
