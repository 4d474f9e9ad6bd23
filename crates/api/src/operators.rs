//! What the operators' address answers.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Class;
use syc_types::Epoch;
use syc_types::JobId;
use syc_types::MemberId;
use syc_types::RackId;
use syc_types::Revision;
use syc_types::TeamId;
use syc_types::Zone;
use uuid::Uuid;

/// State of a daemon and of what it sees.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own that operators ask for"
)]
pub struct StatusBody {
    /// The daemon.
    pub member: MemberId,
    /// Number of its view.
    pub epoch: Epoch,
    /// The members of its view.
    pub members: Vec<MemberStatus>,
    /// Whether it has read the log to its end once.
    pub caught_up: bool,
    /// Whether it may act as owner and home of all that it holds, now.
    pub may_act: bool,
    /// What the owners that it hears have left and queue.
    pub heard: Vec<OwnerStatus>,
    /// Bytes of its heartbeats and their answers so far.
    pub heartbeat_bytes: u64,
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Offset of the next entry that it reads from the log.
    pub log_next: u64,
    /// Entries that it has still to read, as of its last look at the log.
    pub log_lag_entries: u64,
    /// Whether the log took its last append.
    pub log_available: bool,
    /// Appends that it has tried.
    pub appends: u64,
    /// Records that these held.
    pub appended_records: u64,
    /// Requests in progress here.
    pub requests_in_progress: usize,
    /// Requests that wait for an endpoint here.
    pub requests_waiting: usize,
    /// Accepted jobs that have not ended, of all teams.
    pub open_jobs: usize,
    /// Workers that it owns.
    pub owned_workers: usize,
    /// Thousandths of a core that no task holds on these.
    pub free_cpu_millis: u64,
    /// Tasks in this owner's queue.
    pub queued_tasks: u64,
    /// The owner of each rack.
    pub racks: Vec<RackStatus>,
    /// Jobs with tasks that wait, the most urgent first; cut to the first ones.
    pub waiting_jobs: Vec<WaitingJob>,
}

/// A member of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub id: MemberId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address for other daemons, `ip:port`.
    pub peer_address: SmolStr,
}

/// What an owner has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerStatus {
    /// The owner.
    pub id: MemberId,
    /// Thousandths of a core that no task holds.
    pub free_cpu_millis: u64,
    /// Bytes of memory that no task holds.
    pub free_memory_bytes: u64,
    /// Accelerators that no task holds.
    pub free_accelerators: u64,
    /// Tasks in its queue.
    pub queued_tasks: u64,
}

/// Who owns a rack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackStatus {
    /// Name in the inventory.
    pub rack: RackId,
    /// Its owner; none where there is no view.
    pub owner: Option<MemberId>,
    /// Its workers that may get work.
    pub workers: usize,
}

/// A job with tasks that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// The id that its submitter chose.
    pub job_id: JobId,
    /// Whose quota its tasks are taken from.
    pub team: TeamId,
    /// Its team's home.
    pub home: Option<MemberId>,
    /// How urgent it is.
    pub class: Class,
    /// Its tasks that wait.
    pub tasks: usize,
    /// Why they wait, in words.
    pub reason: String,
}

/// One change in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntryBody {
    /// Id of the change.
    pub id: Uuid,
    /// Offset of its record in the log.
    pub offset: u64,
    /// When it was written, in Unix milliseconds.
    pub at_ms: u64,
    /// Who made it.
    pub actor: SmolStr,
    /// What was done: `publish`, or the code of another action such as `drain`.
    pub action: SmolStr,
    /// To what: a scope, a member.
    pub target: SmolStr,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The revision that it went from; 0 for none.
    pub from: Revision,
    /// The revision that is in force after it.
    pub to: Revision,
    /// Why it was refused; empty where it was accepted.
    pub reason: String,
}

/// Body of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainBody {
    /// Who drains.
    pub actor: SmolStr,
}

/// Answer to a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The daemon that stops.
    pub member: MemberId,
    /// Whether the audit trail has it; the daemon stops all the same.
    pub audited: bool,
}

/// Why a job is where it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainBody {
    /// The daemon that answers.
    pub member: MemberId,
    /// The id that was asked about.
    pub job_id: JobId,
    /// Its team's home.
    pub home: Option<MemberId>,
    /// Its state as its home knows it.
    pub state: serde_json::Value,
    /// Why tasks wait, one sentence a reason; empty where none waits.
    pub reasons: Vec<String>,
    /// What this daemon's own workers have for a task that waits, one sentence a reason.
    pub workers: Vec<String>,
}
