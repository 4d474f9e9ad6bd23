//! Calls to workers that the scheduler's node sends through another node, the carrier.
//!
//! The values are decoded ones: only the platform's adapter knows the format that workers read.

/// Asks a node to call a worker on behalf of the scheduler.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WorkerCall {
    /// Identifies the worker's incarnation: its name, and its start time if the worker reports one.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Address of the worker, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Time that the worker has to answer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub timeout_ms: u64,
    /// Time on the scheduler's clock, in milliseconds, after which the call must not be sent any more.
    #[prost(uint64, tag = "4")]
    pub valid_until_ms: u64,
    /// Fencing token of the scheduler.
    #[prost(uint64, tag = "5")]
    pub token: u64,
    /// What the worker is asked for.
    #[prost(oneof = "WorkerCommandBody", tags = "6, 7, 8, 9")]
    pub command: Option<WorkerCommandBody>,
}

/// What a worker is asked for.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum WorkerCommandBody {
    /// Renews the leases and polls the worker's report.
    #[prost(message, tag = "6")]
    Renew(RenewBody),
    /// Starts a run.
    #[prost(message, tag = "7")]
    Start(StartBody),
    /// Stops a run.
    #[prost(message, tag = "8")]
    Stop(StopBody),
    /// Limits the speed of a run.
    #[prost(message, tag = "9")]
    Pace(PaceBody),
}

/// Renews the leases of all runs on a worker and polls its report.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RenewBody {
    /// New end of the leases on the worker's clock, in milliseconds. Absent if they stay unchanged.
    #[prost(uint64, optional, tag = "1")]
    pub lease_until_ms: Option<u64>,
    /// Reported ends up to this number are stored.
    #[prost(uint64, tag = "2")]
    pub acknowledged: u64,
    /// Longest time that the worker may wait for a run to end, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// A run of a task.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RunBody {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Occurrence of the job's schedule.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// Number of the step in the job.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Number of the task in the step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
    /// Number of the start of the task.
    #[prost(uint32, tag = "5")]
    pub run: u32,
}

/// Starts a run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StartBody {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<RunBody>,
    /// Payload of the job.
    #[prost(string, tag = "2")]
    pub payload: String,
    /// End of the run's lease on the worker's clock, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub lease_until_ms: u64,
    /// Ticket that permits the run on this worker; empty if none is needed.
    #[prost(string, tag = "4")]
    pub ticket: String,
    /// Checkpoint from which the run resumes; empty to start from the beginning.
    #[prost(string, tag = "5")]
    pub checkpoint: String,
}

/// Stops a run.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StopBody {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<RunBody>,
}

/// Limits the speed of a run.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PaceBody {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<RunBody>,
    /// Allowed share of full speed, 0 to 100.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
}

/// Reply to [`WorkerCall`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WorkerCallReply {
    /// The worker's answer, or why there is none.
    #[prost(oneof = "WorkerAnswerBody", tags = "1, 2, 3")]
    pub answer: Option<WorkerAnswerBody>,
}

/// Answer of a worker, or why there is none.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum WorkerAnswerBody {
    /// The worker renewed the leases.
    #[prost(message, tag = "1")]
    Renewed(RenewedBody),
    /// The worker accepted the order; always true.
    #[prost(bool, tag = "2")]
    Accepted(bool),
    /// The call failed.
    #[prost(message, tag = "3")]
    Failed(FailedBody),
}

/// Report of a worker that renewed the leases.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RenewedBody {
    /// Reading of the worker's clock, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub clock_ms: u64,
    /// Start time of the worker's process in milliseconds since 1970, if the worker reports it.
    #[prost(uint64, optional, tag = "2")]
    pub born_ms: Option<u64>,
    /// Runs in progress.
    #[prost(message, repeated, tag = "3")]
    pub running: Vec<RunningBody>,
    /// Ends that are not acknowledged yet, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub ended: Vec<EndedBody>,
    /// Whether there are more ends than fit in one report.
    #[prost(bool, tag = "5")]
    pub has_more_ends: bool,
    /// Number of parts of the report that were skipped.
    #[prost(uint64, tag = "6")]
    pub skipped_parts: u64,
    /// Reason why the first of them was skipped.
    #[prost(string, tag = "7")]
    pub skipped_reason: String,
    /// Number of the latest end among the skipped parts, or 0.
    #[prost(uint64, tag = "8")]
    pub skipped_end: u64,
}

/// A run in progress on a worker.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningBody {
    /// The run.
    #[prost(message, optional, tag = "1")]
    pub run: Option<RunBody>,
    /// The latest checkpoint; empty if there is none.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Progress in percent.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// Approximate load: milliseconds of tail latency, or thousandths of a core.
    #[prost(uint64, optional, tag = "4")]
    pub load: Option<u64>,
}

/// An end that a worker reports.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndedBody {
    /// Number of the end within this incarnation of the worker.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The run.
    #[prost(message, optional, tag = "2")]
    pub run: Option<RunBody>,
    /// How it ended.
    #[prost(enumeration = "EndKind", tag = "3")]
    pub end: i32,
    /// The latest checkpoint; empty if there is none.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EndKind {
    /// Not stated; no version sends it.
    Unspecified = 0,
    /// The run completed its work.
    Done = 1,
    /// The run failed.
    Failed = 2,
    /// The run was stopped by an order.
    Stopped = 3,
    /// Its lease expired.
    Lapsed = 4,
    /// Another member of its gang ended.
    Broken = 5,
    /// It waited too long for the other members of its gang.
    Alone = 6,
}

/// A call to a worker that failed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailedBody {
    /// What is known about the call.
    #[prost(enumeration = "FailureKind", tag = "1")]
    pub kind: i32,
    /// Why the worker refused, if it did.
    #[prost(enumeration = "RefusalKind", tag = "2")]
    pub refusal: i32,
    /// Description for the log.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// What is known about a failed call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum FailureKind {
    /// The outcome is unknown. A kind that a receiver does not know means the same.
    InDoubt = 0,
    /// Another incarnation of the worker answers at the address.
    Replaced = 1,
    /// The worker has restarted under the same name.
    Restarted = 2,
    /// The worker has seen a greater fencing token.
    Fenced = 3,
    /// The worker refused the order and did nothing.
    Refused = 4,
    /// The call was not sent to the worker.
    NotSent = 5,
    /// The call was not sent: no connection to the worker was free.
    NoConnection = 6,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RefusalKind {
    /// Not stated.
    Unspecified = 0,
    /// The worker has seen a later fencing token.
    Fenced = 1,
    /// A run with the same or a later number was stopped or ended there.
    OldRun = 2,
    /// The lease had expired when the order arrived.
    Late = 3,
    /// The worker does not have enough free resources.
    NoRoom = 4,
    /// The ticket is missing, invalid or expired.
    Ticket = 5,
    /// The worker is unhealthy.
    Unhealthy = 6,
    /// The order was malformed.
    Malformed = 7,
}
