//! Messages between the nodes of a cell: contact with the scheduler, queries to it, calls for advice and to workers on
//! its behalf, and relayed appends.

use bytes::Bytes;
use prost::Message as _;

use crate::DecodeError;
use crate::worker_call::WorkerCall;
use crate::worker_call::WorkerCallReply;

/// Largest number of [`ShedRow`]s in a [`ContactReply`]. Rows beyond it are neither sent nor read.
pub const SHED_ROWS_LIMIT: usize = 64;

/// A message: a call or its reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CellMessage {
    /// The call or the reply.
    #[prost(
        oneof = "CellBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub body: Option<CellBody>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum CellBody {
    /// Reports to the scheduler that a node is alive.
    #[prost(message, tag = "1")]
    Contact(Contact),
    /// Reply to [`CellBody::Contact`].
    #[prost(message, tag = "2")]
    ContactReply(ContactReply),
    /// Queries a job's state.
    #[prost(message, tag = "3")]
    JobStateQuery(JobStateQuery),
    /// Reply to [`CellBody::JobStateQuery`].
    #[prost(message, tag = "4")]
    JobStateReply(JobStateReply),
    /// Queries the number of jobs in a queue that have not started.
    #[prost(message, tag = "5")]
    PendingQuery(PendingQuery),
    /// Reply to [`CellBody::PendingQuery`].
    #[prost(message, tag = "6")]
    PendingReply(PendingReply),
    /// Asks a node to request advice on behalf of the scheduler.
    #[prost(message, tag = "7")]
    AdviceQuery(AdviceQuery),
    /// Reply to [`CellBody::AdviceQuery`].
    #[prost(message, tag = "8")]
    AdviceReply(AdviceReply),
    /// Asks a node to append a record on behalf of a node that the store rejects.
    #[prost(message, tag = "9")]
    Relay(Relay),
    /// Reply to [`CellBody::Relay`].
    #[prost(message, tag = "10")]
    RelayReply(RelayReply),
    /// Notifies the scheduler of a newly stored record.
    #[prost(message, tag = "11")]
    StoredNotice(StoredNotice),
    /// Reply to [`CellBody::StoredNotice`].
    #[prost(message, tag = "12")]
    NoticeReply(NoticeReply),
    /// Asks a node to call a worker on behalf of the scheduler.
    #[prost(message, tag = "13")]
    WorkerCall(WorkerCall),
    /// Reply to [`CellBody::WorkerCall`].
    #[prost(message, tag = "14")]
    WorkerCallReply(WorkerCallReply),
    /// Asks for the configuration in force.
    #[prost(message, tag = "15")]
    ConfigurationQuery(ConfigurationQuery),
    /// Reply to [`CellBody::ConfigurationQuery`].
    #[prost(message, tag = "16")]
    ConfigurationReply(ConfigurationReply),
}

/// Reports to the scheduler that a node is alive.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a statement of its own, and a message has no type for two of them"
)]
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Contact {
    /// The node's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address for calls from other nodes, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether the store responds to the sender.
    #[prost(bool, tag = "3")]
    pub store_answers: bool,
    /// Fencing token of the scheduler that the node follows.
    #[prost(uint64, tag = "4")]
    pub token: u64,
    /// Time on the node's clock, in milliseconds since the Unix epoch; 0 from earlier versions.
    #[prost(uint64, tag = "5")]
    pub day_ms: u64,
    /// Time of that scheduler's latest reply, on the scheduler's clock; 0 if there was none, and from earlier
    /// versions.
    #[prost(uint64, tag = "6")]
    pub heard_at_ms: u64,
    /// If the contact tells a scheduler that the one with `token` has replaced it: the incarnation of the replaced
    /// scheduler's process. Otherwise 0, also from earlier versions. Earlier versions ignore it.
    #[prost(uint64, tag = "7")]
    pub predecessor_incarnation: u64,
    /// If the contact tells a scheduler that it was replaced: the one that replaced it. Absent from earlier versions,
    /// which ignore it.
    #[prost(message, optional, tag = "8")]
    pub elected: Option<ElectedScheduler>,
    /// Maximum number of open files of the sender's process; 0 if unknown, and from earlier versions, which relay no
    /// calls to workers.
    #[prost(uint64, tag = "9")]
    pub files_limit: u64,
    /// Availability zone of the sender; empty if unknown, and from earlier versions.
    #[prost(string, tag = "10")]
    pub zone: String,
    /// Whether the sender's link is fast enough to read the state of a predecessor without delay; false from earlier
    /// versions.
    #[prost(bool, tag = "11")]
    pub has_fast_link: bool,
    /// Whether the sender relies on the scheduler to learn of a successor, and has not looked for one in the store
    /// itself since. False from earlier versions, which follow the store all the time.
    #[prost(bool, tag = "12")]
    pub is_informed: bool,
    /// Whether the sender has read the state that a takeover needs; false from earlier versions.
    #[prost(bool, tag = "13")]
    pub has_read_ahead: bool,
    /// Version of the configuration in force at the sender; 0 if there is none, and from earlier versions.
    #[prost(uint64, tag = "14")]
    pub configuration_version: u64,
    /// Time since the sender last had evidence that this version is the newest one, in milliseconds; absent from
    /// earlier versions.
    #[prost(uint64, optional, tag = "15")]
    pub configuration_age_ms: Option<u64>,
}

/// A scheduler that was elected, as it is named to nodes that may be unable to read its claim.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ElectedScheduler {
    /// Name of its node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address for calls from other nodes, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Incarnation of its process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Its fencing token.
    #[prost(uint64, tag = "4")]
    pub token: u64,
}

/// Reply to [`Contact`].
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a statement of its own, and a message has no type for two of them"
)]
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ContactReply {
    /// Whether the replying node is the scheduler.
    #[prost(bool, tag = "1")]
    pub leading: bool,
    /// The replying node's fencing token, if it is the scheduler.
    #[prost(uint64, tag = "2")]
    pub token: u64,
    /// Whether the store responds to the replying node.
    #[prost(bool, tag = "3")]
    pub store_answers: bool,
    /// The partition to which the calling node should write jobs.
    #[prost(uint32, tag = "4")]
    pub partition: u32,
    /// The scheduler's estimate of the time, in milliseconds since the Unix epoch; 0 if the replying node is not the
    /// scheduler.
    #[prost(uint64, tag = "5")]
    pub day_ms: u64,
    /// Number of clocks on which the estimate is based.
    #[prost(uint32, tag = "6")]
    pub day_clocks: u32,
    /// Time that an append to the store takes at the replying node, in milliseconds; 0 from earlier versions.
    #[prost(uint64, tag = "7")]
    pub append_ms: u64,
    /// Time of the reply, on the replying node's clock; 0 from earlier versions.
    #[prost(uint64, tag = "8")]
    pub answered_at_ms: u64,
    /// Incarnation of the replying process; 0 from earlier versions.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// The scheduler that the replying node knows, if its token is greater than that of the contact. Earlier versions
    /// ignore it.
    #[prost(message, optional, tag = "10")]
    pub elected: Option<ElectedScheduler>,
    /// If the replying node is the scheduler: the workspaces whose jobs may be rejected at submit, by queue; at most
    /// [`SHED_ROWS_LIMIT`]. Empty from earlier versions, which ignore it.
    #[prost(message, repeated, tag = "11")]
    pub shed_rows: Vec<ShedRow>,
    /// Age of these rows, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub shed_rows_age_ms: u64,
    /// Time until the calling node's next contact, in milliseconds; 0 from earlier versions, which leave it to the
    /// node.
    #[prost(uint64, tag = "13")]
    pub next_contact_ms: u64,
    /// Position of the calling node among the candidates for the scheduler role, from 1; 0 if it is none, and from
    /// earlier versions.
    #[prost(uint32, tag = "14")]
    pub candidate_rank: u32,
    /// Whether the calling node need not follow the claims and the configuration in the store while the replying node
    /// answers it. False from earlier versions.
    #[prost(bool, tag = "15")]
    pub informs: bool,
    /// Version of the configuration in force at the replying node; 0 if there is none, and from earlier versions.
    #[prost(uint64, tag = "16")]
    pub configuration_version: u64,
    /// Whether the replying scheduler hands over its role soon; false from earlier versions.
    #[prost(bool, tag = "17")]
    pub hands_over_soon: bool,
    /// Time since the replying node last had evidence that its configuration is the newest one, in milliseconds; absent
    /// from earlier versions.
    #[prost(uint64, optional, tag = "18")]
    pub configuration_age_ms: Option<u64>,
}

/// A workspace that sends more than its rate, and a queue in which its jobs wait too long.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShedRow {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The queue.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Lower bound of the wait of a job that is submitted now, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// Asks for the configuration in force. Earlier versions send an empty reply.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigurationQuery {
    /// Version of the configuration in force at the asking node; 0 if there is none.
    #[prost(uint64, tag = "1")]
    pub known_version: u64,
    /// Whether the asking node does not get it from the store; false from earlier versions, which read the store if the
    /// asked node sends none.
    #[prost(bool, tag = "2")]
    pub lacks_store: bool,
}

/// Reply to [`ConfigurationQuery`]: the record as operators published it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigurationReply {
    /// Key of the record; empty if the replying node has no newer configuration or can't send it.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the record.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Queries a job's state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobStateQuery {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The caller's workspace, without which it sees only jobs of no workspace. Absent from earlier versions.
    #[prost(string, optional, tag = "2")]
    pub workspace: Option<String>,
}

/// Reply to [`JobStateQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobStateReply {
    /// What is known of the job, as a number of [`Knowledge`].
    #[prost(enumeration = "Knowledge", tag = "1")]
    pub knowledge: i32,
}

/// What a scheduler knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Knowledge {
    /// The scheduler can't tell at the moment.
    Unsure = 0,
    /// There is no such job.
    NoSuchJob = 1,
    /// No task has started.
    Queued = 2,
    /// Some task has started.
    Running = 3,
    /// All tasks are done.
    Completed = 4,
    /// A task failed more often than allowed.
    Failed = 5,
    /// The job was cancelled.
    Cancelled = 6,
}

/// Queries the number of jobs in a queue that have not started.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PendingQuery {
    /// The queue.
    #[prost(string, tag = "1")]
    pub queue: String,
}

/// Reply to [`PendingQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PendingReply {
    /// Whether the replying node knows the number.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// Number of jobs that have not started.
    #[prost(uint64, tag = "2")]
    pub jobs: u64,
}

/// Asks a node to request advice on behalf of the scheduler.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AdviceQuery {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Number of the step in the job.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// The workers to name in the call.
    #[prost(string, repeated, tag = "3")]
    pub workers: Vec<String>,
    /// Timeout of the call, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub timeout_ms: u64,
    /// Which occurrence of the job's steps.
    #[prost(uint32, tag = "5")]
    pub occurrence: u32,
}

/// Reply to [`AdviceQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AdviceReply {
    /// Whether advice was given.
    #[prost(bool, tag = "1")]
    pub given: bool,
    /// The workers that may run the step.
    #[prost(message, repeated, tag = "2")]
    pub allowed: Vec<AllowedWorker>,
    /// Validity of the tickets, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub validity_ms: u64,
}

/// A worker that is allowed to run a step.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AllowedWorker {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Ticket that the start order must contain.
    #[prost(string, tag = "2")]
    pub ticket: String,
}

/// Asks a node to append a record on behalf of a node that the store rejects.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Relay {
    /// Key of the record.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the record.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// Time for which the caller waits, in milliseconds; 0 from earlier versions.
    #[prost(uint64, tag = "3")]
    pub patience_ms: u64,
}

/// Reply to [`Relay`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each has been on the wire since the version that added it"
)]
pub struct RelayReply {
    /// Whether the store has the record.
    #[prost(bool, tag = "1")]
    pub stored: bool,
    /// Whether the record is certainly not in the store and will not be stored.
    #[prost(bool, tag = "2")]
    pub refused: bool,
    /// The partition that has the record.
    #[prost(uint32, tag = "3")]
    pub partition: u32,
    /// Time after which a rejected caller should retry, in milliseconds; 0 from earlier versions.
    #[prost(uint64, tag = "4")]
    pub come_back_ms: u64,
    /// Whether the scheduler has processed the record.
    #[prost(bool, tag = "5")]
    pub taken: bool,
    /// Whether the record was refused because another workspace has a job with this ID.
    #[prost(bool, tag = "6")]
    pub id_taken: bool,
}

/// Notifies the scheduler of a newly stored record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredNotice {
    /// Key of the record.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the record.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// The partition that has the record.
    #[prost(uint32, tag = "3")]
    pub partition: u32,
}

/// Reply to [`StoredNotice`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct NoticeReply {
    /// Whether the replying node is the scheduler and now knows the job.
    #[prost(bool, tag = "1")]
    pub taken: bool,
}

impl CellMessage {
    /// Encodes a message with this body.
    #[must_use]
    pub fn encode_body(body: CellBody) -> Bytes {
        let message = Self { body: Some(body) };
        Bytes::from(message.encode_to_vec())
    }

    /// Decodes a message and returns its body.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid message, or if this version does not know its body.
    pub fn decode_body(bytes: &[u8]) -> Result<CellBody, DecodeError> {
        let message = Self::decode(bytes)?;
        message.body.ok_or(DecodeError::NoBody)
    }
}
