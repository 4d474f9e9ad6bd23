//! What a scheduler does with whole VMs: upkeep in waves, and moves between pools.

use serde::Deserialize;
use serde::Serialize;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;

/// VMs that operators want to have their upkeep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The VMs.
    pub vms: Vec<VmId>,
    /// Time in which all should have begun it, from when the wave was published.
    pub limit_ms: u64,
    /// Most of them that may be down at a time.
    pub at_once: u32,
}

/// How far a wave is; kept in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Number of the wave.
    pub number: u64,
    /// VMs whose upkeep was ordered, and may have begun.
    pub ordered: Vec<VmId>,
    /// VMs whose upkeep has begun.
    pub begun: Vec<VmId>,
    /// Whether nothing is left to do.
    pub completed: bool,
}

/// What a VM is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// It runs, or could.
    Up,
    /// It goes to another pool.
    Moving,
    /// It has its upkeep.
    Maintenance,
    /// It is down.
    Down,
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmInfo {
    /// Its name.
    pub id: VmId,
    /// The service whose pool it is in.
    pub pool: ServiceName,
    /// What it is doing.
    pub state: VmState,
    /// What it has.
    pub capacity: Resources,
    /// The worker on it, if any.
    pub worker: Option<WorkerId>,
}

/// What can be done with a VM. All that runs on it ends at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmOperation {
    /// It has its upkeep, as one of a wave.
    Maintenance {
        /// Number of the wave.
        wave: u64,
    },
    /// It goes to the pool of a service.
    Move {
        /// The service.
        pool: ServiceName,
    },
}

impl VmOperation {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Maintenance { .. } => "upkeep",
            Self::Move { .. } => "move",
        }
    }
}

/// What an order about a VM came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmOrderAnswer {
    /// It is done, now or by an earlier order.
    Done,
    /// The VM is not up, or leaves.
    Busy,
    /// It is not one of the wave, or can't be in the pool, or there is no such VM.
    Unfit,
    /// It may be done, now or later.
    InDoubt,
}

impl VmOrderAnswer {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Busy => "busy",
            Self::Unfit => "unfit",
            Self::InDoubt => "in_doubt",
        }
    }
}

/// A decision about whole VMs that the log should tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmNote {
    /// Operators want VMs to have their upkeep.
    WaveSeen {
        /// The wave.
        wave: u64,
        /// VMs in it.
        vms: usize,
        /// Most of them that may be down at a time.
        at_once: u32,
        /// Time in which all should have begun.
        limit_ms: u64,
        /// Those that have, under a predecessor.
        begun: usize,
    },
    /// A service has too little room, or more than it needs, for so long that VMs move.
    PoolChange {
        /// The service.
        service: ServiceName,
        /// The VM.
        vm: VmId,
        /// Whether it comes to the service, or goes back.
        comes: bool,
        /// Processor time that waiting tasks ask for, in thousandths of a core.
        waiting_cpu_millis: u64,
        /// Processor time that is free, in thousandths of a core.
        free_cpu_millis: u64,
    },
}
