//! Operations on whole VMs: maintenance in waves, and moves between pools.

use serde::Deserialize;
use serde::Serialize;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;

/// A set of VMs for which operators requested maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// The number of the wave.
    pub number: u64,
    /// The VMs in the wave.
    pub vms: Vec<VmId>,
    /// Time after publication within which maintenance should have begun on all VMs.
    pub limit_ms: u64,
    /// Largest number of VMs that may be down at the same time.
    pub at_once: u32,
}

/// The stored progress of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Number of the wave.
    pub number: u64,
    /// VMs for which maintenance was ordered, and may have begun.
    pub ordered: Vec<VmId>,
    /// VMs for which maintenance has begun.
    pub begun: Vec<VmId>,
    /// Whether maintenance has begun on every remaining VM.
    pub completed: bool,
}

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is running or ready to run.
    Up,
    /// The VM is moving to another pool.
    Moving,
    /// The VM is under maintenance.
    Maintenance,
    /// The VM is down.
    Down,
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmInfo {
    /// The id of the VM.
    pub id: VmId,
    /// The service whose pool the VM is in.
    pub pool: ServiceName,
    /// The state of the VM.
    pub state: VmState,
    /// The resources of the VM.
    pub capacity: Resources,
    /// The worker on the VM, if any.
    pub worker: Option<WorkerId>,
}

/// An operation on a VM. All runs on the VM end immediately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmOperation {
    /// Maintenance as part of a wave, called `upkeep` on the wire and in logs.
    Maintenance {
        /// The number of the wave.
        wave: u64,
    },
    /// A move to the pool of another service.
    Move {
        /// The service that gets the VM.
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

/// The answer to a VM order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmOrderAnswer {
    /// The operation was carried out, by this order or an earlier one.
    Done,
    /// The VM is not up, or is about to leave.
    Busy,
    /// The VM does not exist, is not part of the wave, or is not eligible for the pool.
    NotApplicable,
    /// The operation may have been carried out, or may be later.
    InDoubt,
}

impl VmOrderAnswer {
    /// Returns the name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Busy => "busy",
            Self::NotApplicable => "unfit",
            Self::InDoubt => "in_doubt",
        }
    }
}

/// A decision about VMs to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmNote {
    /// A published wave was seen for the first time.
    WaveSeen {
        /// The number of the wave.
        wave: u64,
        /// Number of VMs in the wave.
        vms: usize,
        /// Largest number of VMs that may be down at the same time.
        at_once: u32,
        /// Time within which maintenance should have begun on all VMs.
        limit_ms: u64,
        /// Number of VMs on which maintenance had begun under a predecessor.
        begun: usize,
    },
    /// A service has had too little or too much capacity for long enough that a VM is moved.
    PoolChange {
        /// The service.
        service: ServiceName,
        /// The VM that moves.
        vm: VmId,
        /// Whether the VM is lent to the service, or goes back.
        comes: bool,
        /// CPU that waiting tasks request, in thousandths of a core.
        waiting_cpu_millis: u64,
        /// Free CPU, in thousandths of a core.
        free_cpu_millis: u64,
    },
}
