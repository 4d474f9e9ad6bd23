//! What the platform's services exchange, in their published JSON form.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Epoch;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;

/// Header that names the request towards an endpoint.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header by which an endpoint says that it did not act on the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Value of [`NOT_RUN_HEADER`] of an endpoint that is leaving.
pub const NOT_RUN_DRAINING: &str = "draining";

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub offset: u64,
    /// When the log took it, in its own milliseconds.
    pub at_ms: u64,
    /// The entry's bytes, in base64.
    pub data: String,
}

/// Entries read from the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The entries, by offset.
    pub entries: Vec<LogEntry>,
    /// The offset that the next append will get.
    pub end: u64,
    /// The oldest offset that can still be read.
    pub oldest: u64,
}

/// The log's answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new entry.
    pub offset: u64,
}

/// What the platform says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is there.
    Live,
    /// The VM will be gone soon.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name; endpoints and workers carry the name of their VM.
    pub name: SmolStr,
    /// Whether it stays.
    pub state: VmState,
}

/// Whose a task is and how it may be treated; the worker echoes it, so that an owner that has
/// never heard of the task can take it over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrigin {
    /// The team that pays for the task.
    pub team: SmolStr,
    /// Name of its job.
    pub name: SmolStr,
    /// Whether it may be run again after an attempt whose outcome is unknown.
    pub idempotent: bool,
    /// Whether it was granted out of the room that is kept for urgent tasks.
    pub urgent: bool,
}

/// One attempt at a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt it is.
    pub attempt: u32,
}

/// Starts a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt at the task this is.
    pub attempt: u32,
    /// The commanding owner's epoch.
    pub epoch: Epoch,
    /// Time after which the task stops unless its lease is renewed.
    pub lease_ms: u64,
    /// What the task is granted.
    pub resources: Resources,
    /// Declared run time; 0 for a task that runs until it is stopped.
    pub run_time_ms: u64,
    /// What the task works on.
    pub payload: SmolStr,
    /// Echoed in every report about the task.
    #[serde(default)]
    pub origin: TaskOrigin,
}

/// Renews the leases of a worker's tasks and asks for news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The polling owner's epoch.
    pub epoch: Epoch,
    /// New length of every lease on the worker.
    pub lease_ms: u64,
    /// Time that the worker may hold the answer while nothing ends.
    pub wait_ms: u64,
    /// Whether the poll renews the leases; one that does not only asks for news.
    #[serde(default = "yes")]
    pub renew: bool,
    /// Version of the worker's news that the owner has; 0 for none, which is answered at once.
    #[serde(default)]
    pub seen: u64,
    /// Results that are safe and may be forgotten.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acknowledged: Vec<TaskAttempt>,
}

const fn yes() -> bool {
    true
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer passes a reference"
)]
const fn is_true(value: &bool) -> bool {
    *value
}

/// A task that runs on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt it is.
    pub attempt: u32,
    /// What it was granted.
    pub granted: Resources,
    /// What it used when last looked at.
    pub used: Resources,
    /// What its start said of it.
    #[serde(default)]
    pub origin: TaskOrigin,
}

/// A task that ended on a worker and is not yet acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedTask {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt it was.
    pub attempt: u32,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// How long it ran.
    pub ran_ms: u64,
    /// What its start said of it.
    #[serde(default)]
    pub origin: TaskOrigin,
}

/// A worker's news.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Version of this news, for the next poll; 0 from a worker that counts none.
    #[serde(default)]
    pub version: u64,
    /// Whether this is everything, or what changed since the version that the poll named.
    #[serde(default = "yes", skip_serializing_if = "is_true")]
    pub full: bool,
    /// What runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningTask>,
    /// Tasks that no longer run, where this is not everything.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<TaskRef>,
    /// What ended and is not acknowledged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<FinishedTask>,
}

/// What to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskAction {
    /// End it.
    Stop,
    /// Save its progress and end it.
    Checkpoint,
    /// Slow it down.
    Throttle,
}

/// Commands something of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// The commanding owner's epoch.
    pub epoch: Epoch,
    /// What to do.
    pub action: TaskAction,
}

/// A worker's refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRefusal {
    /// The latest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Why it refused.
    pub reason: SmolStr,
}

/// A request on its way to an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// The path below the service.
    pub path: String,
    /// The request's id as text.
    pub request_id: String,
    /// The request's body.
    pub body: Bytes,
    /// Time that the answer may take.
    pub timeout_ms: u64,
}

/// An endpoint's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}
