//! Records as they stand in the log: one JSON object per append, holding a group of records.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_config::Document;
use syc_member::Member;
use syc_types::Epoch;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::Revision;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use uuid::Uuid;

use crate::snapshot::SnapshotPart;

/// What one append holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The records, in order.
    pub records: Vec<Record>,
}

/// One record, with an id by which it can be found when the log's answer was lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the record; a second record of the same id changes nothing.
    pub id: Uuid,
    /// When it was written, on the writer's wall clock, in Unix milliseconds; for people only.
    #[serde(default)]
    pub at_ms: u64,
    /// What it says.
    #[serde(flatten)]
    pub content: Content,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Content {
    /// A document was published; the log's order decides whether it is accepted.
    Config(ConfigRecord),
    /// A job was accepted.
    JobAccepted {
        /// The id that its submitter chose.
        job_id: JobId,
        /// What was submitted.
        spec: JobSpec,
    },
    /// A non-idempotent task is about to be started.
    Intent {
        /// Which task, and of which job.
        task: TaskRef,
    },
    /// A task whose intent was written was surely not started after all.
    IntentWithdrawn {
        /// Which task, and of which job.
        task: TaskRef,
        /// The record of the intent.
        of: Uuid,
    },
    /// A job is to be ended, whatever its state.
    JobCancelled {
        /// Which job.
        job_id: JobId,
    },
    /// The member list changes, if `base` is the epoch in force when the log's order reaches it.
    View(ViewRecord),
    /// An operator did something that is no configuration.
    Audit(AuditRecord),
    /// The record of this id is not to count, should it still appear.
    Tombstone {
        /// The record's id.
        of: Uuid,
    },
    /// A part of what was live when the log had been applied up to some offset.
    Snapshot(SnapshotPart),
    /// A task ended.
    TaskEnded {
        /// Which task, and of which job.
        task: TaskRef,
        /// How it ended.
        outcome: TaskOutcome,
    },
}

/// A published document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Identifies the publication over every retry, through whichever daemon; each retry is a
    /// record of its own.
    pub publication: Uuid,
    /// Who published it.
    pub author: SmolStr,
    /// The revision that the author had seen of this scope; 0 for none.
    pub base: Revision,
    /// What is to be in force in place of that revision.
    pub document: Document,
}

/// A change of the member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRecord {
    /// The epoch that the proposer had seen; the new one is the next.
    pub base: Epoch,
    /// The members of the new view; none where the last member has stopped acting.
    pub members: Vec<Member>,
}

/// Something that an operator did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Who did it.
    pub actor: SmolStr,
    /// What was done, as a stable code.
    pub action: SmolStr,
    /// To what, and what came of it.
    pub detail: SmolStr,
}

impl Group {
    /// Encodes the group for the log.
    ///
    /// # Errors
    ///
    /// Fails where a value has no JSON form.
    pub fn to_bytes(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Decodes what stands in the log.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no group of records of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
