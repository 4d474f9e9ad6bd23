//! What workers report: their specification, their runs and ends, and the answers to orders.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::Run;
use crate::TaskId;

/// A worker's own description, as it registers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Identifies one incarnation of the worker.
    pub id: WorkerId,
    /// The service whose tasks it runs.
    pub service: ServiceName,
    /// Where it accepts orders, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: RackId,
    /// All labels that a step can require, the rack included.
    pub labels: Vec<SmolStr>,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether it is draining and about to leave.
    pub draining: bool,
    /// The VM that it runs on, if known.
    #[serde(default)]
    pub vm: Option<VmId>,
}

/// How a run ended, as reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It completed its work.
    Done,
    /// It failed, whether the task or the worker was at fault.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

impl RunEnd {
    /// Returns the name used in logs.
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

/// A run that a worker reports as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningReport {
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub run: Run,
    /// The latest checkpoint, or empty if there is none.
    pub checkpoint: SmolStr,
    /// Its progress; for a long-running task, 100 once it is ready.
    pub percent: u8,
    /// Approximate load over the last half second: the tail latency in milliseconds for a task with a latency limit,
    /// otherwise the processor time in use in thousandths of a core.
    pub load: Option<u64>,
}

/// An end that a worker reports until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndReport {
    /// Number of the end within this incarnation of the worker, starting at 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub run: Run,
    /// How it ended.
    pub end: RunEnd,
    /// The latest checkpoint, or empty if there is none.
    pub checkpoint: SmolStr,
}

/// What a worker reports when its leases are renewed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The runs in progress.
    pub running: Vec<RunningReport>,
    /// Ends that are not acknowledged yet, oldest first.
    pub ended: Vec<EndReport>,
    /// Whether there are more ends than fit in one report.
    pub has_more_ends: bool,
}

/// The outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run started.
    Started,
    /// The worker refused, and nothing runs.
    Refused(StartRefusal),
    /// It is unknown whether it runs or will run.
    InDoubt,
    /// The order certainly never left this node: it waited too long in the queue, or no connection could be opened.
    NotSent,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has seen a later fencing token.
    Fenced,
    /// A run with the same or a later number was stopped or ended there.
    OldRun,
    /// The lease had expired when the order arrived.
    Late,
    /// The worker does not have enough free resources.
    NoRoom,
    /// The ticket is missing, invalid or expired.
    Ticket,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order was malformed.
    Malformed,
}

impl StartRefusal {
    /// Returns the name used in logs.
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
