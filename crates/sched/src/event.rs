//! What happens to a scheduler, and what it wants done.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::Duty;
use crate::DutyAnswer;
use crate::JobId;
use crate::JobSpec;
use crate::Run;
use crate::StepId;
use crate::TaskId;
use crate::VmInfo;
use crate::VmNote;
use crate::Wave;
use crate::WorkerKey;

/// What a worker says of itself where workers register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Names one incarnation of the worker.
    pub id: WorkerId,
    /// The service whose tasks it runs.
    pub service: ServiceName,
    /// Where it takes orders, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: RackId,
    /// Everything that a step can ask it to have, the rack included.
    pub labels: Vec<SmolStr>,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The VM that it runs on, where that is told.
    #[serde(default)]
    pub vm: Option<VmId>,
}

/// How a run ended, as its worker lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

impl RunEnd {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningReport {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// The latest checkpoint; empty where there is none.
    pub checkpoint: SmolStr,
    /// How far it is; of a task that lasts, 100 once it is at work.
    pub percent: u8,
    /// A rough figure of the last half second: of a task whose response times have a limit, their
    /// tail in milliseconds; of any other, the processor time in use, in thousandths of a core.
    pub load: Option<u64>,
}

/// An end that a worker lists until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndReport {
    /// Number of the end in this incarnation of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// How it ended.
    pub end: RunEnd,
    /// The latest checkpoint; empty where there is none.
    pub checkpoint: SmolStr,
}

/// What a worker lists when its leases are renewed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// What runs.
    pub running: Vec<RunningReport>,
    /// What ended and is not acknowledged.
    pub ended: Vec<EndReport>,
}

/// What a start order came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// The worker refused, and nothing runs.
    Refused(StartRefusal),
    /// It may run, now or later.
    InDoubt,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a later fencing token.
    Fenced,
    /// A run as late as this one was stopped or ended there.
    OldRun,
    /// The lease had lapsed when the order arrived.
    Late,
    /// There is no room.
    NoRoom,
    /// The ticket is missing, wrong or too old.
    Ticket,
    /// The worker is not well.
    Unhealthy,
    /// The order was malformed.
    Malformed,
}

impl StartRefusal {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::NoRoom => "no_room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::Malformed => "malformed",
        }
    }
}

/// A worker that may run a step, with the proof of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowed {
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
        allowed: Vec<Allowed>,
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
    VmsListed(Option<Vec<VmInfo>>),
    /// An order about a VM came to something.
    VmOrderAnswered {
        /// The VM.
        vm: VmId,
        /// What was ordered.
        duty: Duty,
        /// What it came to.
        answer: DutyAnswer,
    },
    /// The store has taken the progress of jobs.
    Recorded {
        /// The jobs, each with the number of the change up to which its progress was written.
        jobs: Vec<(JobId, u64)>,
    },
    /// Time passed.
    Ticked,
}

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
    Ask {
        /// The step.
        step: StepId,
        /// The workers to name.
        workers: Vec<WorkerKey>,
        /// Time that the call is expected to be served.
        expected_ms: f64,
    },
    /// List the VMs.
    ListVms,
    /// Do something with a VM.
    OrderVm {
        /// The VM.
        vm: VmId,
        /// What to do.
        duty: Duty,
    },
    /// Tell the operators how far a wave is.
    TellWave {
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
        }
    }
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
        /// Tasks that wait.
        tasks: u32,
    },
    /// A worker is believed unable to run more, or able again.
    WorkerBelief {
        /// The worker.
        worker: WorkerId,
        /// What is believed.
        belief: &'static str,
        /// Time since it last answered.
        silent_ms: u64,
    },
    /// The runs that fill a worker go at another pace.
    Paced {
        /// The worker.
        worker: WorkerId,
        /// The pace before, 0 to 100.
        before_percent: u8,
        /// The pace from now on.
        percent: u8,
        /// The worst tail of the runs that serve there, as a share of its limit.
        tail_percent: Option<u64>,
        /// Runs that fill.
        fills: usize,
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
