//! The records that a cell keeps in the store, in JSON so that operators can read them.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::Error as _;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::WaveProgress;
use syc_sched::WorkerSpec;

use crate::ports::MAX_VM_CAPACITY;
use crate::ports::Record;
use crate::unreadable::UNREADABLE_KEY;

/// What follows a job's identity in the key of the record that cancels it.
const CANCEL_SUFFIX: &str = "/cancel";

/// Key of the record that says who is the scheduler.
pub const HOLDER_KEY: &str = "holder";

/// What the keys of the records begin with that name the workers that may run something.
const ROSTER_PREFIX: &str = "workers/";

/// What the keys of the records begin with that say how far a wave of upkeep is.
const WAVE_PREFIX: &str = "waves/";

/// Most workers that one record names: some fifty kilobytes, well within what the store takes.
const WORKERS_PER_RECORD: usize = 200;

/// Longest time that a step of a job may declare: a day, as callers are read.
const STEP_LIMIT_MS: u64 = 86_400_000;

/// Longest time that a call for advice, or a worker named in it, may take: a day.
const ADVICE_LIMIT_MS: f64 = 86_400_000.0;

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
    /// Whether the holder starts jobs only once the store has taken something after it learned of them.
    #[serde(default)]
    pub proves: bool,
}

/// Names the workers that may run something of a scheduler.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// The fencing token of the scheduler.
    pub token: u64,
    /// Number of the change since the scheduler began.
    pub change: u64,
    /// The workers.
    pub workers: Vec<WorkerSpec>,
}

impl RosterRecord {
    /// Of two rosters, the one with the greater version counts.
    const fn version(&self) -> (u64, u64) {
        (self.token, self.change)
    }
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
pub fn job_tombstones(id: JobId) -> [Record; 2] {
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
pub fn progress_tombstone(id: JobId) -> Record {
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

/// Makes the records of a roster; they count only together.
#[must_use]
pub fn roster(roster: &RosterRecord) -> Vec<Record> {
    let parts = roster.workers.chunks(WORKERS_PER_RECORD);
    let parts = (0..).zip(parts).map(|(number, workers)| {
        let part = RosterRecord {
            workers: workers.to_vec(),
            ..*roster
        };
        roster_part(number, &part)
    });
    let parts: Vec<_> = parts.collect();
    if parts.is_empty() {
        return vec![roster_part(0, roster)];
    }
    parts
}

fn roster_part(number: usize, part: &RosterRecord) -> Record {
    Record {
        key: format_smolstr!("{ROSTER_PREFIX}{number}"),
        value: encode(part),
    }
}

/// Says how far a wave of upkeep is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// The fencing token of the scheduler.
    pub token: u64,
    /// Number of the change since the scheduler began.
    pub change: u64,
    /// How far it is.
    pub progress: WaveProgress,
}

/// Makes the record of how far a wave is.
#[must_use]
pub fn wave(token: u64, change: u64, progress: &WaveProgress) -> Record {
    let number = progress.number;
    let record = WaveRecord {
        token,
        change,
        progress: progress.clone(),
    };
    Record {
        key: format_smolstr!("{WAVE_PREFIX}{number}"),
        value: encode(&record),
    }
}

/// Reads how far each wave is, by its latest record, and what can't be read.
#[must_use]
pub fn read_waves<'a, I>(records: I) -> (Vec<WaveProgress>, Vec<(SmolStr, serde_json::Error)>)
where
    I: IntoIterator<Item = &'a Record>,
{
    let mut latest: BTreeMap<SmolStr, WaveRecord> = BTreeMap::new();
    let mut unreadable = Vec::new();
    for record in records {
        if !record.key.starts_with(WAVE_PREFIX) || record.value.is_empty() {
            continue;
        }
        let read = match serde_json::from_slice::<WaveRecord>(&record.value) {
            Ok(read) => read,
            Err(error) => {
                unreadable.push((record.key.clone(), error));
                continue;
            }
        };
        let known = latest.entry(record.key.clone()).or_default();
        if (read.token, read.change) >= (known.token, known.change) {
            *known = read;
        }
    }
    let waves = latest.into_values().map(|record| record.progress);
    (waves.collect(), unreadable)
}

/// Says whether a record of the topic of progress is that of a job.
#[must_use]
pub fn is_job_progress(record: &Record) -> bool {
    !is_roster(record) && !record.key.starts_with(WAVE_PREFIX)
}

/// Says whether a record is part of a roster.
#[must_use]
pub fn is_roster(record: &Record) -> bool {
    record.key.starts_with(ROSTER_PREFIX)
}

/// Reads the workers of the latest roster, and what of any roster can't be read.
#[must_use]
pub fn read_roster<'a, I>(records: I) -> (Vec<WorkerSpec>, Vec<(SmolStr, serde_json::Error)>)
where
    I: IntoIterator<Item = &'a Record>,
{
    let mut latest = RosterRecord::default();
    let mut unreadable = Vec::new();
    for record in records {
        if !is_roster(record) {
            continue;
        }
        let read = match read_roster_part(&record.value) {
            Ok(read) => read,
            Err(error) => {
                unreadable.push((record.key.clone(), error));
                continue;
            }
        };
        match read.version().cmp(&latest.version()) {
            Ordering::Less => {}
            Ordering::Equal => latest.workers.extend(read.workers),
            Ordering::Greater => latest = read,
        }
    }
    (latest.workers, unreadable)
}

fn read_roster_part(value: &[u8]) -> Result<RosterRecord, serde_json::Error> {
    let read: RosterRecord = serde_json::from_slice(value)?;
    let mut workers = read.workers.iter();
    if workers.all(|worker| worker.capacity.fits_in(&MAX_VM_CAPACITY)) {
        return Ok(read);
    }
    Err(serde_json::Error::custom("more than any VM has"))
}

/// Reads a record of the topic of jobs.
#[must_use]
pub fn read_job(record: &Record) -> JobRecord {
    if record.is_placeholder() {
        return JobRecord::Unreadable {
            key: SmolStr::default(),
            reason: UNREADABLE_KEY.to_owned(),
        };
    }
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
    let spec: JobSpec = match serde_json::from_slice(&record.value) {
        Ok(spec) => spec,
        Err(error) => return unreadable(error.to_string()),
    };
    if SmolStr::from(spec.id) != record.key {
        return unreadable(format!("it is that of {}", spec.id));
    }
    match find_invalid(&spec) {
        Some(finding) => unreadable(finding),
        None => JobRecord::Submitted(Box::new(spec)),
    }
}

/// Says what the scheduler could not bear of a job: each node checks what it stores, but another version
/// may check something else.
fn find_invalid(spec: &JobSpec) -> Option<String> {
    if let Some(finding) = spec.findings().first() {
        return Some(finding.text.to_owned());
    }
    let mut times_ms = spec.steps.iter().map(|step| step.estimate_ms);
    if times_ms.any(|time_ms| time_ms > STEP_LIMIT_MS) {
        return Some("a step takes longer than any may".to_owned());
    }
    let advice = spec.policy.advice?;
    let is_time = |time_ms: f64| (0.0..=ADVICE_LIMIT_MS).contains(&time_ms);
    let sound = is_time(advice.decision_ms) && is_time(advice.per_worker_ms);
    (!sound).then(|| "advice takes longer than any may".to_owned())
}

/// What is wrong with a record of progress.
#[derive(Debug)]
pub struct ProgressError {
    /// The job, where its key says which.
    pub job: Option<JobId>,
    /// Why it can't be read.
    pub reason: String,
}

/// Reads the record of a job's progress.
///
/// # Errors
///
/// Fails where the key names no job, or the value is not in the form that is written.
pub fn read_progress(record: &Record) -> Result<(JobId, JobProgress), ProgressError> {
    let fault = |job, reason| ProgressError { job, reason };
    let id: JobId = match record.key.parse() {
        Ok(id) => id,
        Err(error) => return Err(fault(None, format!("{error}"))),
    };
    match serde_json::from_slice(&record.value) {
        Ok(progress) => Ok((id, progress)),
        Err(error) => Err(fault(Some(id), error.to_string())),
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
