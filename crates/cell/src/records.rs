//! Records that a cell keeps in the store. They are JSON so that operators can read them.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::Error as _;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_sched::Cancellation;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::WaveProgress;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use syc_types::WorkspaceName;
use syc_types::hash::name_digest;

use crate::ports::MAX_VM_CAPACITY;
use crate::ports::Record;
use crate::unreadable::UNREADABLE_KEY;

/// Suffix after the job's key in the key of a cancellation record.
const CANCEL_SUFFIX: &str = "/cancel";

/// Separates the job ID from the digest of the workspace's name in a key.
const WORKSPACE_SEPARATOR: char = '.';

/// Key of claims and heartbeats.
pub const HOLDER_KEY: &str = "holder";

/// Prefix of the keys of roster records.
const ROSTER_PREFIX: &str = "workers/";

/// Prefix of the keys of records with the progress of an maintenance wave.
const WAVE_PREFIX: &str = "waves/";

/// Key of the record of drains.
pub const DRAINS_KEY: &str = "drains";

/// Most workers in one roster record: about 50 kB, well below the store's size limit.
const WORKERS_PER_RECORD: usize = 200;

/// Longest estimate of a step: a day, the same limit as for submitted jobs.
const STEP_LIMIT_MS: u64 = 86_400_000;

/// Longest expected time of an advice call, and of each worker in it: a day.
const ADVICE_LIMIT_MS: f64 = 86_400_000.0;

/// Decoded record of the jobs topic.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRecord {
    /// A job was submitted.
    Submitted(Box<JobSpec>),
    /// A job was cancelled.
    Cancelled(Cancellation),
    /// The record was removed.
    Removed,
    /// The record can't be decoded or is invalid.
    Unreadable {
        /// Key of the record.
        key: SmolStr,
        /// Reason why it can't be used.
        reason: String,
    },
}

/// Claim, heartbeat or release of the scheduler role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Name of the node.
    pub node: SmolStr,
    /// Address on which the node accepts calls from other nodes, `ip:port`.
    pub address: SmolStr,
    /// Identifies one run of the node's process.
    pub incarnation: u64,
    /// Fencing token of the holder. 0 in a claim, whose token is derived from its offset.
    pub token: u64,
    /// Whether the holder releases the role.
    #[serde(default)]
    pub released: bool,
    /// Node that should take a released role, since it reaches the most workers; empty if any may.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub successor: SmolStr,
    /// Whether the holder starts a job only after the store has accepted an append that was sent after the holder
    /// learned of the job.
    #[serde(default)]
    pub proves: bool,
    /// Number of workers that the holder is connected to; 0 in claims, and from earlier versions.
    #[serde(default)]
    pub workers: u64,
}

/// Workers that may run tasks of a scheduler.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Fencing token of the scheduler.
    pub token: u64,
    /// Number of the change, counted since the scheduler took over.
    pub change: u64,
    /// Workers in this part of the roster.
    pub workers: Vec<WorkerSpec>,
}

impl RosterRecord {
    /// Returns the version of the roster. The roster with the greatest version is in force.
    const fn version(&self) -> (u64, u64) {
        (self.token, self.change)
    }
}

/// Draining workers, and those that the progress of the jobs names for each run that may be on them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainsRecord {
    /// Fencing token of the scheduler.
    pub token: u64,
    /// Number of the change of the roster with which it was written.
    pub change: u64,
    /// Workers that are named for each run that may be on them.
    pub workers: Vec<WorkerId>,
    /// All workers that are draining; none from earlier versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<WorkerId>,
}

/// The caller of a cancellation, as it is stored.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct CancelRecord {
    /// The workspace; none if the job's queue needs no key, or an earlier version wrote the record.
    #[serde(skip_serializing_if = "Option::is_none")]
    workspace: Option<WorkspaceName>,
}

/// Creates the record of a submitted job.
#[must_use]
pub fn submitted(spec: &JobSpec) -> Record {
    Record {
        key: job_key(spec.id, spec.workspace.as_ref()),
        value: encode(spec),
    }
}

/// Creates the record that cancels a job.
#[must_use]
pub fn cancelled(cancellation: &Cancellation) -> Record {
    let workspace = cancellation.workspace.clone();
    Record {
        key: cancel_key(cancellation.job, workspace.as_ref()),
        value: encode(&CancelRecord { workspace }),
    }
}

/// Creates the record that removes a submitted job or a cancellation.
#[must_use]
pub const fn job_tombstone(key: SmolStr) -> Record {
    Record {
        key,
        value: Bytes::new(),
    }
}

/// Returns the key of a submitted job.
///
/// It differs by workspace: the store keeps only the newest record of a key, so a caller of another workspace could
/// otherwise replace the record of a job whose ID it knows. It has no name of a workspace, since keys are short.
#[must_use]
pub fn job_key(id: JobId, workspace: Option<&WorkspaceName>) -> SmolStr {
    workspace.map_or_else(
        || SmolStr::from(id),
        |name| {
            let digest = name_digest(name.as_str());
            format_smolstr!("{id}{WORKSPACE_SEPARATOR}{digest:016x}")
        },
    )
}

/// Returns the job ID in the key of a submitted job or of a cancellation, if the key has one.
#[must_use]
pub fn job_of_key(key: &str) -> Option<JobId> {
    let key = without_cancel_suffix(key);
    let id = key.split(WORKSPACE_SEPARATOR).next()?;
    id.parse().ok()
}

/// Returns the job ID in the key of a submitted job, and none for the key of a cancellation.
#[must_use]
pub fn submitted_job(key: &str) -> Option<JobId> {
    let is_cancellation = key.ends_with(CANCEL_SUFFIX);
    job_of_key(key).filter(|_| !is_cancellation)
}

/// Returns whether a record with this key, which names the job, was written for a caller of the workspace.
#[must_use]
pub fn is_key_for(key: &str, id: JobId, workspace: &WorkspaceName) -> bool {
    job_key(id, Some(workspace)) == without_cancel_suffix(key)
}

fn without_cancel_suffix(key: &str) -> &str {
    key.strip_suffix(CANCEL_SUFFIX).unwrap_or(key)
}

/// Creates the record of a job's progress.
#[must_use]
pub fn progress(id: JobId, progress: &JobProgress) -> Record {
    Record {
        key: SmolStr::from(id),
        value: encode(progress),
    }
}

/// Creates the record that removes a job's progress.
#[must_use]
pub fn progress_tombstone(id: JobId) -> Record {
    Record {
        key: SmolStr::from(id),
        value: Bytes::new(),
    }
}

/// Creates a claim, heartbeat or release.
#[must_use]
pub fn holder(holder: &HolderRecord) -> Record {
    Record {
        key: SmolStr::new_static(HOLDER_KEY),
        value: encode(holder),
    }
}

/// Creates the records of a roster. The roster is complete only with all of them.
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

/// Creates the record of drains.
#[must_use]
pub fn drains(drains: &DrainsRecord) -> Record {
    Record {
        key: SmolStr::new_static(DRAINS_KEY),
        value: encode(drains),
    }
}

/// Progress of a maintenance wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Fencing token of the scheduler.
    pub token: u64,
    /// Number of the change, counted since the scheduler took over.
    pub change: u64,
    /// Progress of the wave.
    pub progress: WaveProgress,
}

/// Creates the record of a wave's progress.
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

/// Decodes the latest progress of each wave. Also returns the keys and errors of unreadable records.
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

/// Returns whether a record of the progress topic belongs to a job.
#[must_use]
pub fn is_job_progress(record: &Record) -> bool {
    !is_roster(record) && !record.key.starts_with(WAVE_PREFIX) && record.key != DRAINS_KEY
}

/// Returns whether a record is part of a roster.
#[must_use]
pub fn is_roster(record: &Record) -> bool {
    record.key.starts_with(ROSTER_PREFIX)
}

/// Decodes which draining workers are named for each run that may be on them. Also returns the errors of unreadable
/// records.
#[must_use]
pub fn read_drains<'a, I>(records: I) -> (Vec<WorkerId>, Vec<serde_json::Error>)
where
    I: IntoIterator<Item = &'a Record>,
{
    let (latest, unreadable) = read_latest_drains(records);
    (latest.workers, unreadable)
}

/// Decodes which workers were draining.
#[must_use]
pub fn read_draining<'a, I>(records: I) -> Vec<WorkerId>
where
    I: IntoIterator<Item = &'a Record>,
{
    let (latest, _reported_with_the_drains) = read_latest_drains(records);
    latest.draining
}

/// Decodes the latest record of drains. Also returns the errors of unreadable ones.
///
/// It holds only for the scheduler that wrote the latest roster: a later one may have used these workers again. For the same
/// reason, nothing holds if some record of either kind can't be read, since that may be the latest.
fn read_latest_drains<'a, I>(records: I) -> (DrainsRecord, Vec<serde_json::Error>)
where
    I: IntoIterator<Item = &'a Record>,
{
    let mut latest = DrainsRecord::default();
    let mut roster_token = 0;
    let mut unreadable = Vec::new();
    for record in records {
        if is_roster(record) {
            // An unreadable part is reported by the reader of the roster.
            let roster = read_roster_part(&record.value);
            roster_token = roster_token.max(roster.map_or(u64::MAX, |roster| roster.token));
            continue;
        }
        if record.key != DRAINS_KEY || record.value.is_empty() {
            continue;
        }
        match serde_json::from_slice::<DrainsRecord>(&record.value) {
            Ok(read) if (read.token, read.change) > (latest.token, latest.change) => latest = read,
            Ok(_older) => {}
            Err(error) => unreadable.push(error),
        }
    }
    if latest.token < roster_token || !unreadable.is_empty() {
        latest = DrainsRecord::default();
    }
    (latest, unreadable)
}

/// Decodes the workers of the latest roster. Also returns the keys and errors of unreadable records of any roster.
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
    Err(serde_json::Error::custom(
        "the capacity of a worker exceeds the limit for one VM",
    ))
}

/// Decodes and validates a record of the jobs topic.
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
    if record.key.ends_with(CANCEL_SUFFIX) {
        return match read_cancellation(record) {
            Ok(cancellation) => JobRecord::Cancelled(cancellation),
            Err(reason) => unreadable(reason),
        };
    }
    let spec: JobSpec = match serde_json::from_slice(&record.value) {
        Ok(spec) => spec,
        Err(error) => return unreadable(error.to_string()),
    };
    if job_key(spec.id, spec.workspace.as_ref()) != record.key {
        return unreadable(format!("the value is that of job {}", spec.id));
    }
    match find_invalid(&spec) {
        Some(finding) => unreadable(finding),
        None => JobRecord::Submitted(Box::new(spec)),
    }
}

fn read_cancellation(record: &Record) -> Result<Cancellation, String> {
    let job = job_of_key(&record.key).ok_or("the key names no job")?;
    let read: CancelRecord =
        serde_json::from_slice(&record.value).map_err(|error| error.to_string())?;
    let workspace = read.workspace;
    if cancel_key(job, workspace.as_ref()) != record.key {
        return Err("the value is that of another workspace".to_owned());
    }
    Ok(Cancellation { job, workspace })
}

/// Returns why the scheduler can't process a job, if it can't. Nodes validate jobs before storing them, but a node
/// of another version may apply other rules.
fn find_invalid(spec: &JobSpec) -> Option<String> {
    if let Some(finding) = spec.findings().first() {
        return Some(finding.text.to_owned());
    }
    let mut times_ms = spec.steps.iter().map(|step| step.estimate_ms);
    if times_ms.any(|time_ms| time_ms > STEP_LIMIT_MS) {
        return Some("the estimate of a step exceeds one day".to_owned());
    }
    let advice = spec.policy.advice?;
    let is_time = |time_ms: f64| (0.0..=ADVICE_LIMIT_MS).contains(&time_ms);
    let is_valid = is_time(advice.decision_ms) && is_time(advice.per_worker_ms);
    (!is_valid).then(|| "the expected time of an advice call exceeds one day".to_owned())
}

/// Reason why a progress record can't be decoded.
#[derive(Debug)]
pub struct ProgressError {
    /// Job named by the key, if the key is valid.
    pub job: Option<JobId>,
    /// Description of the error.
    pub reason: String,
}

/// Decodes the record of a job's progress.
///
/// # Errors
///
/// Fails if the key is not a job ID or the value can't be decoded.
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

fn cancel_key(id: JobId, workspace: Option<&WorkspaceName>) -> SmolStr {
    let key = job_key(id, workspace);
    format_smolstr!("{key}{CANCEL_SUFFIX}")
}

fn encode<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    // Serialization can't fail: the records are plain structures with string keys.
    serde_json::to_vec(value).map_or_else(|_never| Bytes::new(), Bytes::from)
}
