//! The records that a cell keeps in the store, in JSON so that operators can read them.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::WorkerSpec;

use crate::ports::Record;

/// What follows a job's identity in the key of the record that cancels it.
const CANCEL_SUFFIX: &str = "/cancel";

/// Key of the record that says who is the scheduler.
pub const HOLDER_KEY: &str = "holder";

/// Key of the record that names the workers that may run something.
pub const ROSTER_KEY: &str = "workers";

/// What the topic of jobs holds.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRecord {
    /// A job was accepted.
    Submitted(Box<JobSpec>),
    /// A job was cancelled.
    Cancelled(JobId),
    /// A record was removed.
    Removed,
    /// The record can't be read.
    Unreadable {
        /// Its key.
        key: SmolStr,
        /// Why.
        reason: String,
    },
}

/// Says who is the scheduler.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Name of the node.
    pub node: SmolStr,
    /// Where it takes calls of other nodes, `ip:port`.
    pub address: SmolStr,
    /// Names one incarnation of the node's process.
    pub incarnation: u64,
    /// The fencing token that the holder acts with; 0 in a claim, whose own offset makes it.
    pub token: u64,
    /// Whether the holder gives the role up.
    #[serde(default)]
    pub released: bool,
}

/// Names the workers that may run something of a scheduler.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// The fencing token of the scheduler.
    pub token: u64,
    /// Number of the change since the scheduler began; of two records, the one with the greater token
    /// counts, and the greater number.
    pub change: u64,
    /// The workers.
    pub workers: Vec<WorkerSpec>,
}

/// Makes the record of an accepted job.
#[must_use]
pub fn submitted(spec: &JobSpec) -> Record {
    Record {
        key: SmolStr::from(spec.id),
        value: encode(spec),
    }
}

/// Makes the record that cancels a job.
#[must_use]
pub fn cancelled(id: JobId) -> Record {
    Record {
        key: cancel_key(id),
        value: Bytes::from_static(b"{}"),
    }
}

/// Makes the records that remove what was submitted of a job.
#[must_use]
pub fn removed(id: JobId) -> [Record; 2] {
    let key = SmolStr::from(id);
    [key, cancel_key(id)].map(|key| Record {
        key,
        value: Bytes::new(),
    })
}

/// Makes the record of a job's progress.
#[must_use]
pub fn progress(id: JobId, progress: &JobProgress) -> Record {
    Record {
        key: SmolStr::from(id),
        value: encode(progress),
    }
}

/// Makes the record that removes a job's progress.
#[must_use]
pub fn forgotten(id: JobId) -> Record {
    Record {
        key: SmolStr::from(id),
        value: Bytes::new(),
    }
}

/// Makes the record of a holder.
#[must_use]
pub fn holder(holder: &HolderRecord) -> Record {
    Record {
        key: SmolStr::new_static(HOLDER_KEY),
        value: encode(holder),
    }
}

/// Makes the record of a roster.
#[must_use]
pub fn roster(roster: &RosterRecord) -> Record {
    Record {
        key: SmolStr::new_static(ROSTER_KEY),
        value: encode(roster),
    }
}

/// Reads a record of the topic of jobs.
#[must_use]
pub fn read_job(record: &Record) -> JobRecord {
    if record.value.is_empty() {
        return JobRecord::Removed;
    }
    let unreadable = |reason: String| JobRecord::Unreadable {
        key: record.key.clone(),
        reason,
    };
    if let Some(id) = record.key.strip_suffix(CANCEL_SUFFIX) {
        return match id.parse() {
            Ok(id) => JobRecord::Cancelled(id),
            Err(error) => unreadable(format!("{error}")),
        };
    }
    match serde_json::from_slice(&record.value) {
        Ok(spec) => JobRecord::Submitted(Box::new(spec)),
        Err(error) => unreadable(error.to_string()),
    }
}

fn cancel_key(id: JobId) -> SmolStr {
    format_smolstr!("{id}{CANCEL_SUFFIX}")
}

fn encode<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    // The records are plain structures with text keys, which always have a JSON form.
    serde_json::to_vec(value).map_or_else(|_never| Bytes::new(), Bytes::from)
}
