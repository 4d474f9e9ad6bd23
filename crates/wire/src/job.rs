//! Messages about jobs and their tasks.

use smol_str::SmolStr;
use syc_types::Class;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use uuid::Uuid;

use crate::DecodeError;

/// Wire type of [`JobSpec`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireJobSpec {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Job name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Job kind: 0 batch, 1 gang, 2 service.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// Priority class: 0 urgent, 1 normal, 2 patient.
    #[prost(uint32, tag = "4")]
    pub class: u32,
    /// Number of tasks.
    #[prost(uint32, tag = "5")]
    pub tasks: u32,
    /// CPU per task, in thousandths of a core.
    #[prost(uint64, tag = "6")]
    pub cpu_millis: u64,
    /// Memory per task, in bytes.
    #[prost(uint64, tag = "7")]
    pub memory_bytes: u64,
    /// Accelerators per task.
    #[prost(uint32, tag = "8")]
    pub accelerators: u32,
    /// Declared run time of a task, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub run_time_ms: u64,
    /// Whether a task may be run more than once.
    #[prost(bool, tag = "10")]
    pub idempotent: bool,
    /// Payload of each task.
    #[prost(string, tag = "11")]
    pub payload: String,
}

impl From<&JobSpec> for WireJobSpec {
    fn from(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.as_str().to_owned(),
            name: spec.name.to_string(),
            kind: match spec.kind {
                JobKind::Batch => 0,
                JobKind::Gang => 1,
                JobKind::Service => 2,
            },
            class: match spec.class {
                Class::Urgent => 0,
                Class::Normal => 1,
                Class::Patient => 2,
            },
            tasks: spec.tasks,
            cpu_millis: spec.resources.cpu_millis,
            memory_bytes: spec.resources.memory_bytes,
            accelerators: spec.resources.accelerators,
            run_time_ms: spec.run_time_ms,
            idempotent: spec.idempotent,
            payload: spec.payload.to_string(),
        }
    }
}

impl TryFrom<WireJobSpec> for JobSpec {
    type Error = DecodeError;

    fn try_from(wire: WireJobSpec) -> Result<Self, Self::Error> {
        let kind = match wire.kind {
            0 => JobKind::Batch,
            1 => JobKind::Gang,
            2 => JobKind::Service,
            _ => return Err(DecodeError::field("kind")),
        };
        let class = match wire.class {
            0 => Class::Urgent,
            1 => Class::Normal,
            2 => Class::Patient,
            _ => return Err(DecodeError::field("class")),
        };
        Ok(Self {
            team: TeamId::new(wire.team),
            name: SmolStr::new(wire.name),
            kind,
            class,
            tasks: wire.tasks,
            resources: Resources {
                cpu_millis: wire.cpu_millis,
                memory_bytes: wire.memory_bytes,
                accelerators: wire.accelerators,
            },
            run_time_ms: wire.run_time_ms,
            idempotent: wire.idempotent,
            payload: SmolStr::new(wire.payload),
        })
    }
}

/// Asks a team's home to accept a job.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Submit {
    /// The job's id, 16 bytes, chosen by the submitter.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
    /// The job's specification.
    #[prost(message, required, tag = "2")]
    pub spec: WireJobSpec,
}

/// Reply to [`Submit`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SubmitReply {
    /// True once the job's record is in the log.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Stable code of the reason, if the job was not accepted.
    #[prost(string, tag = "2")]
    pub code: String,
    /// Human-readable reason, if the job was not accepted.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Asks an owner to start either all of the given tasks of a job, or none.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Offer {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
    /// The job's specification.
    #[prost(message, required, tag = "2")]
    pub spec: WireJobSpec,
    /// Indexes of the tasks to start.
    #[prost(uint32, repeated, tag = "3")]
    pub indexes: Vec<u32>,
    /// Number of the attempt, from 1.
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
    /// Milliseconds that the owner may queue the tasks before it replies that there is no capacity.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
    /// If not 0, only reserve the capacity: the reservation expires after this many milliseconds unless a
    /// [`ResolveReservation`] arrives first. If 0, start the tasks.
    #[prost(uint64, tag = "6")]
    pub hold_ms: u64,
}

/// Tells an owner to start the tasks it holds reservations for, or to release the reservations.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResolveReservation {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
    /// The attempt that the reservations are for.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// True to start the tasks, false to release the reservations.
    #[prost(bool, tag = "3")]
    pub commit: bool,
}

/// Tells an owner to stop running or queued tasks.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StopTasks {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
    /// Indexes of the tasks.
    #[prost(uint32, repeated, tag = "2")]
    pub indexes: Vec<u32>,
}

/// Queries the tasks of a team that an owner knows of. A new home sends it to every owner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningTasksQuery {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
}

/// Reply to [`RunningTasksQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningTasks {
    /// Whether each of the owner's workers has reported its tasks, or its leases have certainly expired. A task that no
    /// settled owner knows of is not running.
    #[prost(bool, tag = "1")]
    pub settled: bool,
    /// Tasks that are running, or whose end has not been recorded yet.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<RunningTask>,
}

/// A task in [`RunningTasks`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningTask {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
    /// The task's index in the job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of the running attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The worker that runs the task.
    #[prost(string, tag = "4")]
    pub worker: String,
}

/// An owner's free capacity, sent in heartbeats.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OwnerLoad {
    /// Free CPU of all owned workers, in thousandths of a core.
    #[prost(uint64, tag = "1")]
    pub free_cpu_millis: u64,
    /// Free memory of all owned workers, in bytes.
    #[prost(uint64, tag = "2")]
    pub free_memory_bytes: u64,
    /// Free accelerators of all owned workers.
    #[prost(uint64, tag = "3")]
    pub free_accelerators: u64,
    /// Tasks in the owner's queue.
    #[prost(uint64, tag = "4")]
    pub queued_tasks: u64,
}

/// Reply to [`Offer`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OfferReply {
    /// The worker of each started task, in the order of the offer; empty if nothing was started.
    #[prost(string, repeated, tag = "1")]
    pub workers: Vec<String>,
    /// Why nothing was started.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Reports to a home that a task ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TaskDone {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
    /// The task's index in the job.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// 0 done, 1 failed, 2 cancelled, 3 unknown (the attempt has certainly ended).
    #[prost(uint32, tag = "3")]
    pub outcome: u32,
    /// The result, or the reason for the failure.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Number of the attempt that ended. The end of an earlier attempt has no effect.
    #[prost(uint32, tag = "5")]
    pub attempt: u32,
}

impl TaskDone {
    /// Creates the message for the end of `task`.
    #[must_use]
    pub fn new(task: TaskRef, attempt: u32, outcome: &TaskOutcome) -> Self {
        let (code, text) = match outcome {
            TaskOutcome::Done(text) => (0, text.to_string()),
            TaskOutcome::Failed(text) => (1, text.to_string()),
            TaskOutcome::Cancelled => (2, String::new()),
            TaskOutcome::Unknown => (3, String::new()),
        };
        Self {
            job_id: task.job_id.0.as_bytes().to_vec(),
            index: task.index,
            outcome: code,
            text,
            attempt,
        }
    }
}

impl TryFrom<TaskDone> for (TaskRef, TaskOutcome) {
    type Error = DecodeError;

    fn try_from(wire: TaskDone) -> Result<Self, Self::Error> {
        let task = TaskRef {
            job_id: decode_job_id(&wire.job_id)?,
            index: wire.index,
        };
        let outcome = match wire.outcome {
            0 => TaskOutcome::Done(SmolStr::new(wire.text)),
            1 => TaskOutcome::Failed(SmolStr::new(wire.text)),
            2 => TaskOutcome::Cancelled,
            3 => TaskOutcome::Unknown,
            _ => return Err(DecodeError::field("outcome")),
        };
        Ok((task, outcome))
    }
}

/// Queries a job's state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobQuery {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
}

/// Reply to [`JobQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobState {
    /// The state as JSON in the format of the callers' API; empty if the job is unknown.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Decodes a job id.
///
/// # Errors
///
/// Fails if `bytes` is not 16 bytes long.
pub fn decode_job_id(bytes: &[u8]) -> Result<JobId, DecodeError> {
    let uuid = Uuid::from_slice(bytes).map_err(|_source| DecodeError::field("job_id"))?;
    Ok(JobId(uuid))
}
