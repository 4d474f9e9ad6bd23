//! Interfaces between a node and the platform that it runs on.
//!
//! An adapter implements these traits. It translates names and formats and makes no decisions.

use std::fmt;

use bytes::Bytes;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_sched::Run;
use syc_sched::StartRefusal;
use syc_sched::StepId;
use syc_sched::TaskId;
use syc_sched::VmInfo;
use syc_sched::VmOperation;
use syc_sched::Wave;
use syc_sched::WorkerReport;
use syc_sched::WorkerSpec;
use syc_types::Resources;
use syc_types::VmId;
use syc_types::WorkerId;
use thiserror::Error;

use crate::Configuration;

/// Largest capacity that a record of a VM may declare: a million cores, a pebibyte, a million accelerators.
/// Capacities of many VMs are summed, and this bound keeps the sum from overflowing.
pub const MAX_VM_CAPACITY: Resources = Resources {
    cpu_millis: 1_000_000_000,
    memory_bytes: 1 << 50,
    accelerators: 1_000_000,
};

/// Topics of the store that a cell uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Submitted jobs and cancellations. Written by every node.
    Jobs,
    /// Progress of jobs and waves, and the worker roster. Written by the scheduler only.
    Progress,
    /// Claims and heartbeats of schedulers.
    Holders,
    /// Registered workers. Read only.
    Workers,
    /// Configuration and maintenance waves that operators publish. Read only.
    Operators,
    /// Status records that operators read.
    Status,
}

impl Topic {
    /// Returns the topic's name for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Jobs => "jobs",
            Self::Progress => "progress",
            Self::Holders => "holders",
            Self::Workers => "workers",
            Self::Operators => "operators",
            Self::Status => "status",
        }
    }
}

/// A keyed record. The store keeps the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key under which the store compacts records.
    pub key: SmolStr,
    /// Value. An empty value removes the key.
    pub value: Bytes,
}

impl Record {
    /// Returns the empty record that takes the place of one that can't be decoded.
    #[must_use]
    pub const fn placeholder() -> Self {
        Self {
            key: SmolStr::new_static(""),
            value: Bytes::new(),
        }
    }

    /// Returns the size of key and value in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }

    /// Returns whether this record takes the place of one that can't be decoded.
    #[must_use]
    pub fn is_placeholder(&self) -> bool {
        self.key.is_empty() && self.value.is_empty()
    }
}

/// Precondition of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The append is unconditional.
    None,
    /// The partition must end at this offset.
    EndsAt(u64),
    /// The store must not have seen a greater epoch of this producer. Each sequence number is appended at
    /// most once.
    Producer {
        /// Producer whose epoch is compared.
        name: SmolStr,
        /// Epoch of the producer, which is the scheduler's fencing token.
        epoch: u64,
        /// Sequence number of the append within the epoch.
        sequence: u64,
    },
}

/// Position of appended records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
    /// End of the partition after the append.
    pub end: u64,
}

/// Reason why an append failed or has an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The store refused the append. It was not and will not be carried out.
    #[error("the store refused the append: {0}")]
    Refused(SmolStr),
    /// The partition does not end at the expected offset.
    #[error("the partition ends at {end}")]
    EndMismatch {
        /// Actual end of the partition.
        end: u64,
    },
    /// The store has seen a greater epoch of the producer.
    #[error("the store has seen a greater epoch")]
    Fenced,
    /// The sequence number does not follow the last one.
    #[error("sequence number {expected} was expected")]
    OutOfSequence {
        /// Sequence number that the store expects.
        expected: u64,
    },
    /// The outcome is unknown: the append may have been carried out, or may still be.
    #[error("the outcome of the append is unknown: {0}")]
    InDoubt(SmolStr),
}

/// Consecutive records of a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the first record in the page.
    pub first: u64,
    /// End of the partition when the page was read.
    pub end: u64,
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
}

/// Newest record of each key of a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Newest {
    /// Records with their offsets.
    pub records: Vec<(u64, Record)>,
    /// Offset at which to continue reading. All records before it are covered by this result.
    pub read_from: u64,
}

/// Reason why a read failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The records at this offset were compacted. The newest record of each key is still available.
    #[error("records before offset {first} were compacted")]
    Gone {
        /// Oldest offset that can be read.
        first: u64,
    },
    /// The store did not answer or refused the read.
    #[error("the store is not available: {0}")]
    Unavailable(SmolStr),
    /// The answer does not match the platform's published format.
    #[error("malformed answer of the store: {0}")]
    Malformed(SmolStr),
}

/// The platform's store.
pub trait Store {
    /// Appends records atomically.
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: &[Record],
        condition: &Condition,
    ) -> impl Future<Output = Result<Appended, AppendError>>;

    /// Reads records starting at an offset. If there are none, waits for one for at most `wait_ms`.
    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, ReadError>>;

    /// Reads the newest record of each key in a partition.
    fn newest(
        &self,
        topic: Topic,
        partition: u32,
    ) -> impl Future<Output = Result<Newest, ReadError>>;
}

/// Address at which one incarnation of a worker accepts orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Identifies the worker's incarnation.
    pub id: WorkerId,
    /// Address in the form `ip:port`.
    pub address: SmolStr,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run, counted for each task.
    pub run: Run,
    /// Payload of the job.
    pub payload: SmolStr,
    /// End of the run's lease, on the worker's clock.
    pub lease_until_ms: u64,
    /// Fencing token of the call, see [`call_token`](crate::call_token).
    pub token: u64,
    /// Ticket of the advice service that permits the run on this worker. Empty if none is needed.
    pub ticket: SmolStr,
    /// Checkpoint from which the run resumes. Empty to start from the beginning.
    pub checkpoint: SmolStr,
}

/// Order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCommand {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run, counted for each task.
    pub run: Run,
    /// Fencing token of the call, see [`call_token`](crate::call_token).
    pub token: u64,
}

/// Order to limit the speed of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceCommand {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run, counted for each task.
    pub run: Run,
    /// Allowed share of full speed, 0 to 100.
    pub percent: u8,
    /// Fencing token of the call, see [`call_token`](crate::call_token).
    pub token: u64,
}

/// Renews the leases of all runs on a worker and polls its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// New end of the leases, on the worker's clock. `None` leaves them unchanged.
    pub lease_until_ms: Option<u64>,
    /// Reported ends up to this number are stored, so the worker may drop them.
    pub acknowledged: u64,
    /// Longest time that the worker may wait for a run to end before it answers.
    pub wait_ms: u64,
    /// Fencing token of the call, see [`call_token`](crate::call_token).
    pub token: u64,
}

/// Parts of an answer that could not be decoded and were skipped.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Skipped {
    /// Number of skipped parts.
    pub parts: u64,
    /// Reason why the first part was skipped. Empty if there is none.
    pub reason: SmolStr,
}

impl Skipped {
    /// Counts one more skipped part.
    pub fn note<T>(&mut self, reason: T)
    where
        T: fmt::Display,
    {
        if self.parts == 0 {
            self.reason = format_smolstr!("{reason}");
        }
        self.parts += 1;
    }

    /// Adds the parts that were skipped elsewhere in the same answer.
    pub fn add(&mut self, other: Self) {
        if self.parts == 0 {
            self.reason = other.reason;
        }
        self.parts += other.parts;
    }
}

/// Answer of a worker to a renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RenewalReply {
    /// Reading of the worker's clock.
    pub clock_ms: u64,
    /// Start time of the worker's process in milliseconds since 1970, if the worker reports it.
    pub born_ms: Option<u64>,
    /// Runs and ends that the worker reports.
    pub report: WorkerReport,
    /// Parts of the report that were skipped.
    pub skipped: Skipped,
    /// Number of the latest end among the skipped parts, or 0.
    pub skipped_end: u64,
}

/// Reason why an order to a worker failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// Another worker incarnation answers at this address.
    #[error("another worker incarnation answers at this address")]
    Replaced,
    /// The worker has restarted under the same name.
    #[error("the worker has restarted under the same name")]
    Restarted,
    /// The worker has seen a greater fencing token.
    #[error("the worker has seen a greater fencing token")]
    Fenced,
    /// The worker refused the order and did nothing.
    #[error("the worker refused the order: {}", .0.as_str())]
    Refused(StartRefusal),
    /// The order never left this node, so it was not and will not be carried out.
    #[error("the order was not sent: {0}")]
    NotSent(SmolStr),
    /// The order never left this node: no connection to the worker was free, and no other may be opened now.
    #[error("the order was not sent: {0}")]
    NoConnection(SmolStr),
    /// The outcome is unknown: the order may have been carried out, or may still be.
    #[error("the outcome of the order is unknown: {0}")]
    InDoubt(SmolStr),
}

impl OrderError {
    /// Returns whether a process at the worker's address has answered. Otherwise the caller may be cut off from it.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        match self {
            Self::Replaced | Self::Restarted | Self::Fenced | Self::Refused(_) => true,
            Self::NotSent(_) | Self::NoConnection(_) | Self::InDoubt(_) => false,
        }
    }
}

/// Counts of connections to workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that were opened.
    pub opened: u64,
    /// Connections that were not opened because too many were opened to the same worker recently.
    pub withheld: u64,
}

/// Task interface of the workers.
pub trait WorkerPort {
    /// Starts a run on a worker.
    fn start(
        &self,
        worker: &WorkerAddress,
        command: &StartCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Stops a run on a worker.
    fn stop(
        &self,
        worker: &WorkerAddress,
        command: &StopCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Limits the speed of a run.
    fn pace(
        &self,
        worker: &WorkerAddress,
        command: &PaceCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Renews the leases on a worker and returns its report.
    fn renew(
        &self,
        worker: &WorkerAddress,
        renewal: &Renewal,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<RenewalReply, OrderError>>;

    /// Returns the counts of connections to all workers.
    fn connections(&self) -> ConnectionCounts {
        ConnectionCounts::default()
    }

    /// Returns the number of connections opened to one worker.
    fn connections_opened_to(&self, _worker: &WorkerAddress) -> u64 {
        0
    }

    /// Closes idle connections to workers. A node that sends no more orders should not occupy their connection
    /// slots.
    fn close_connections(&self) {}
}

/// Workers that the advice service allows to run a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Allowed workers, each with its ticket.
    pub allowed: Vec<(WorkerId, SmolStr)>,
    /// Validity of the tickets.
    pub validity_ms: u64,
    /// Parts of the answer that were skipped.
    pub skipped: Skipped,
}

/// Reason why the advice service gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no advice: {0}")]
pub struct AdviceError(pub SmolStr);

/// The advice service, which decides which workers may run a step.
pub trait AdvicePort {
    /// Asks which of the workers may run a step. The service handles one call at a time per calling VM.
    fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Advice, AdviceError>>;
}

/// One page of the list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmPage {
    /// VMs of this page.
    pub vms: Vec<VmInfo>,
    /// Token of the next page, if there is one.
    pub next: Option<SmolStr>,
    /// Parts of the answer that were skipped.
    pub skipped: Skipped,
}

/// Reason why the VMs could not be listed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("failed to list VMs: {0}")]
pub struct ListVmsError(pub SmolStr);

/// Order to perform an operation on a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmCommand {
    /// Target of the operation.
    pub vm: VmId,
    /// Operation to perform.
    pub operation: VmOperation,
    /// Node that sends the order.
    pub holder: SmolStr,
    /// Fencing token of the scheduler that sends the order.
    pub token: u64,
}

/// Reason why an order to a VM was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum VmOrderError {
    /// The platform has seen a greater fencing token for this VM.
    #[error("the platform has seen a greater fencing token for the VM")]
    Fenced,
    /// The VM is not running or is being removed.
    #[error("the VM is not running or is being removed")]
    Busy,
    /// The VM does not exist, is not part of the wave or can't be in the pool.
    #[error("the order does not apply to the VM: {0}")]
    NotApplicable(SmolStr),
    /// The outcome is unknown: the order may have been carried out, or may still be.
    #[error("the outcome of the order is unknown: {0}")]
    InDoubt(SmolStr),
}

/// VM management of the platform.
pub trait VmPort {
    /// Lists one page of VMs.
    fn list_vms(
        &self,
        from: Option<&str>,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<VmPage, ListVmsError>>;

    /// Performs an operation on a VM. Repeating an order that was carried out succeeds.
    fn order_vm(
        &self,
        command: &VmCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), VmOrderError>>;
}

/// Record that operators publish.
#[derive(Debug, Clone, PartialEq)]
pub enum Published {
    /// Configuration of the cell.
    Configuration(Configuration),
    /// Wave of VMs that are due for maintenance.
    Wave(Wave),
    /// Record of a kind that nodes ignore.
    Other,
}

/// Reason why a record of the platform can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct FormatError(pub String);

/// Formats of the platform's own records.
pub trait RecordFormats {
    /// Decodes the record of a registered worker.
    ///
    /// # Errors
    ///
    /// Fails if the record does not match the platform's published format.
    fn worker(&self, key: &str, value: &[u8]) -> Result<WorkerSpec, FormatError>;

    /// Decodes a record of the operators.
    ///
    /// # Errors
    ///
    /// Fails if the record does not match the platform's published format.
    fn published(&self, key: &str, value: &[u8]) -> Result<Published, FormatError>;

    /// Creates the record that reports the status of a wave to operators.
    fn wave_status(&self, wave: u64, completed: bool) -> Record;
}

/// All interfaces that a node needs from its platform.
pub trait Platform: Store + WorkerPort + AdvicePort + VmPort + RecordFormats + 'static {}

impl<P> Platform for P where P: Store + WorkerPort + AdvicePort + VmPort + RecordFormats + 'static {}
