//! What a node needs of the platform that it runs on, in the project's own words.
//!
//! An adapter implements these traits; it translates names and formats and decides nothing.

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

/// No VM has more: a million cores, a petabyte, a million accelerators. Amounts of many VMs are added up.
pub const MAX_VM_CAPACITY: Resources = Resources {
    cpu_millis: 1_000_000_000,
    memory_bytes: 1 << 50,
    accelerators: 1_000_000,
};

/// The topics of the store that a cell uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Jobs as they were submitted, and their cancelling; written by every node.
    Jobs,
    /// Progress of the jobs; written by the scheduler only.
    Progress,
    /// Who is the scheduler.
    Holders,
    /// Registered workers; read only.
    Workers,
    /// What operators publish; read only.
    Operators,
    /// What operators are told.
    Status,
}

impl Topic {
    /// Returns the name for logs.
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

/// A record with a key; the store keeps the newest of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: SmolStr,
    /// The value; without one, the key is removed.
    pub value: Bytes,
}

impl Record {
    /// Returns what stands in the place of a record that can't be read: it names nothing and says nothing.
    #[must_use]
    pub const fn placeholder() -> Self {
        Self {
            key: SmolStr::new_static(""),
            value: Bytes::new(),
        }
    }

    /// Returns the bytes of its key and its value.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }

    /// Says whether it stands in the place of one that can't be read.
    #[must_use]
    pub fn is_placeholder(&self) -> bool {
        self.key.is_empty() && self.value.is_empty()
    }
}

/// Under which condition an append is carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// Under any.
    None,
    /// Only if the partition ends at this offset.
    EndsAt(u64),
    /// Only if no greater epoch of this producer was seen, and once only.
    Producer {
        /// Name of the producer.
        name: SmolStr,
        /// Its epoch: the fencing token.
        epoch: u64,
        /// Number of the append within the epoch.
        sequence: u64,
    },
}

/// Where appended records are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first of them.
    pub offset: u64,
    /// End of the partition after them.
    pub end: u64,
}

/// Why an append was not carried out, or not for certain.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AppendError {
    /// It surely was not and never will be.
    #[error("the store refused: {0}")]
    Refused(SmolStr),
    /// The partition ends elsewhere.
    #[error("the partition ends at {end}")]
    EndMismatch {
        /// Where it ends.
        end: u64,
    },
    /// A greater epoch was seen.
    #[error("a later epoch was seen")]
    Fenced,
    /// The number does not follow the last one.
    #[error("append {expected} was expected")]
    OutOfSequence {
        /// The number that does.
        expected: u64,
    },
    /// It may have been carried out, or may be later.
    #[error("the store's answer was lost: {0}")]
    InDoubt(SmolStr),
}

/// A part of a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the first record.
    pub first: u64,
    /// End of the partition.
    pub end: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// The newest record of each key of a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Newest {
    /// The records, with their offsets.
    pub records: Vec<(u64, Record)>,
    /// Offset from which to read on: nothing after it is missing from the records.
    pub read_from: u64,
}

/// Why nothing could be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The records were removed; the newest of each key is still there.
    #[error("records before offset {first} are gone")]
    Gone {
        /// The oldest offset that can be read.
        first: u64,
    },
    /// The store did not answer, or refused.
    #[error("the store is not available: {0}")]
    Unavailable(SmolStr),
    /// The answer is not in the published form.
    #[error("the store's answer can't be read: {0}")]
    Malformed(SmolStr),
}

/// The platform's store.
pub trait Store {
    /// Appends records, all or none.
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: &[Record],
        condition: &Condition,
    ) -> impl Future<Output = Result<Appended, AppendError>>;

    /// Reads from an offset on; waits for a record for at most `wait_ms`.
    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, ReadError>>;

    /// Reads the newest record of each key.
    fn newest(
        &self,
        topic: Topic,
        partition: u32,
    ) -> impl Future<Output = Result<Newest, ReadError>>;
}

/// Where a worker takes orders, and which incarnation of it is meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Names one incarnation of the worker.
    pub id: WorkerId,
    /// `ip:port`.
    pub address: SmolStr,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCommand {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// The job's payload.
    pub payload: SmolStr,
    /// Until when the lease lasts, on the worker's clock.
    pub lease_until_ms: u64,
    /// Fencing token of the scheduler.
    pub token: u64,
    /// Proof that the worker may run it; empty where none is needed.
    pub ticket: SmolStr,
    /// Where it goes on from; empty to begin.
    pub checkpoint: SmolStr,
}

/// An order to end a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCommand {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// Fencing token of the scheduler.
    pub token: u64,
}

/// An order to work at a share of its speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceCommand {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// The share, 0 to 100.
    pub percent: u8,
    /// Fencing token of the scheduler.
    pub token: u64,
}

/// Renews the leases of all runs on a worker, and asks for its lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// Until when the leases last, on the worker's clock; none to leave them as they are.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are kept and may be forgotten.
    pub acknowledged: u64,
    /// The worker may wait this long for an end before it answers.
    pub wait_ms: u64,
    /// Fencing token of the scheduler.
    pub token: u64,
}

/// Parts of an answer that can't be read, and are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Skipped {
    /// How many.
    pub parts: u64,
    /// What is wrong with the first; empty where there is none.
    pub reason: SmolStr,
}

impl Skipped {
    /// Takes note of one more.
    pub fn note<T>(&mut self, reason: T)
    where
        T: fmt::Display,
    {
        if self.parts == 0 {
            self.reason = format_smolstr!("{reason}");
        }
        self.parts += 1;
    }

    /// Takes note of those of another part of the answer.
    pub fn add(&mut self, other: Self) {
        if self.parts == 0 {
            self.reason = other.reason;
        }
        self.parts += other.parts;
    }
}

/// What a worker answers to a renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Renewed {
    /// The worker's clock.
    pub clock_ms: u64,
    /// When the life of the worker began that answered, in milliseconds since 1970, where that is told.
    pub born_ms: Option<u64>,
    /// What it lists.
    pub report: WorkerReport,
    /// What of it can't be read.
    pub skipped: Skipped,
    /// Number of the latest end among that; 0 where there is none.
    pub skipped_end: u64,
}

/// Why a worker did not do as it was told.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// Another incarnation of the worker answers at its address.
    #[error("another incarnation of the worker is at its address")]
    Replaced,
    /// A later life of the worker answers under its name.
    #[error("a later life of the worker answers under its name")]
    Reborn,
    /// The worker has seen a greater fencing token.
    #[error("the worker has seen a greater fencing token")]
    Fenced,
    /// It refused, and did nothing.
    #[error("the worker refused: {}", .0.as_str())]
    Refused(StartRefusal),
    /// It surely did not and never will: the order has not left this node.
    #[error("the order was not sent: {0}")]
    NotSent(SmolStr),
    /// The same, as no connection to it was free and no other may be opened now.
    #[error("the order was not sent: {0}")]
    NoConnection(SmolStr),
    /// It may have done it, now or later.
    #[error("the worker's answer was lost: {0}")]
    InDoubt(SmolStr),
}

/// Connections to workers, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Those that were opened.
    pub opened: u64,
    /// Those that were not, as too many were opened to their worker lately.
    pub withheld: u64,
}

/// The workers' task interface.
pub trait WorkerPort {
    /// Starts a run.
    fn start(
        &self,
        worker: &WorkerAddress,
        command: &StartCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Ends a run.
    fn stop(
        &self,
        worker: &WorkerAddress,
        command: &StopCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Lets a run work at a share of its speed.
    fn pace(
        &self,
        worker: &WorkerAddress,
        command: &PaceCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), OrderError>>;

    /// Renews leases.
    fn renew(
        &self,
        worker: &WorkerAddress,
        renewal: &Renewal,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Renewed, OrderError>>;

    /// Returns what became of connections to workers so far.
    fn connections(&self) -> ConnectionCounts {
        ConnectionCounts::default()
    }

    /// Returns how many connections to one worker were opened so far.
    fn connections_opened_to(&self, _worker: &WorkerAddress) -> u64 {
        0
    }

    /// Closes the idle connections to workers: a node that gives no more orders keeps none of what they take.
    fn close_connections(&self) {}
}

/// The workers of those asked about that may run a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Advice {
    /// Each with its ticket.
    pub allowed: Vec<(WorkerId, SmolStr)>,
    /// Time for which the tickets are valid.
    pub validity_ms: u64,
    /// What of the answer can't be read.
    pub skipped: Skipped,
}

/// Why no advice was given.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no advice: {0}")]
pub struct AdviceError(pub SmolStr);

/// The service that knows which workers may run a step.
pub trait AdvicePort {
    /// Asks about workers; the service serves one call at a time for each calling VM.
    fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Advice, AdviceError>>;
}

/// A part of the list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmPage {
    /// The VMs.
    pub vms: Vec<VmInfo>,
    /// Where the next part begins, if there is one.
    pub next: Option<SmolStr>,
    /// What of the answer can't be read.
    pub skipped: Skipped,
}

/// Why the VMs could not be listed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the VMs can't be listed: {0}")]
pub struct ListVmsError(pub SmolStr);

/// An order about a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmCommand {
    /// The VM.
    pub vm: VmId,
    /// What to do with it.
    pub duty: VmOperation,
    /// The node that orders it.
    pub holder: SmolStr,
    /// Fencing token of the scheduler.
    pub token: u64,
}

/// What an order about a VM came to, where nothing is wrong with the one who gave it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum VmOrderError {
    /// A greater fencing token was used for this VM.
    #[error("a greater fencing token was used for the VM")]
    Fenced,
    /// The VM is not up, or leaves.
    #[error("the VM is not up, or leaves")]
    Busy,
    /// It is not one of the wave, or can't be in the pool, or there is no such VM.
    #[error("the VM does not fit: {0}")]
    Unfit(SmolStr),
    /// It may be done, now or later.
    #[error("the answer was lost: {0}")]
    InDoubt(SmolStr),
}

/// The platform's VMs.
pub trait VmPort {
    /// Lists a part of the VMs.
    fn list_vms(
        &self,
        from: Option<&str>,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<VmPage, ListVmsError>>;

    /// Does something with a VM; it is also done if it was done before.
    fn order_vm(
        &self,
        command: &VmCommand,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), VmOrderError>>;
}

/// What operators publish.
#[derive(Debug, Clone, PartialEq)]
pub enum Published {
    /// The configuration.
    Configuration(Configuration),
    /// VMs that are to have their upkeep.
    Wave(Wave),
    /// Something that is of no interest here.
    Other,
}

/// Why a record of the platform can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct FormatError(pub String);

/// The platform's own records.
pub trait RecordFormats {
    /// Reads the record of a registered worker.
    ///
    /// # Errors
    ///
    /// Fails where the record is not in the published form.
    fn worker(&self, key: &str, value: &[u8]) -> Result<WorkerSpec, FormatError>;

    /// Reads a record of the operators.
    ///
    /// # Errors
    ///
    /// Fails where the record is not in the published form.
    fn published(&self, key: &str, value: &[u8]) -> Result<Published, FormatError>;

    /// Makes the record that tells operators how far a wave is.
    fn wave_status(&self, wave: u64, completed: bool) -> Record;
}

/// Everything that a node needs of its platform.
pub trait Platform: Store + WorkerPort + AdvicePort + VmPort + RecordFormats + 'static {}

impl<P> Platform for P where P: Store + WorkerPort + AdvicePort + VmPort + RecordFormats + 'static {}
