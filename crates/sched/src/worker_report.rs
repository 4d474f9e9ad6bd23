//! What workers say: of themselves, of what runs and ended, of orders.

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
    /// What ended and is not acknowledged, the earliest first.
    pub ended: Vec<EndReport>,
    /// Whether more has ended than is listed at a time.
    pub has_more_ends: bool,
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
    /// The order surely never left this node: it waited too long for its turn, or no connection could be
    /// opened.
    NotSent,
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
