//! Snapshots: what is live, appended again in parts before the log's retention drops its records.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use syc_member::Views;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskOutcome;
use uuid::Uuid;

use crate::AuditEntry;
use crate::Job;
use crate::TaskState;
use crate::Verdict;
use crate::config_store::InForce;
use crate::log_state::LogState;

/// Size after which a part takes no further item, in bytes.
const PART_BYTES: usize = 128 * 1024;

/// Most tasks of one item.
const ITEM_TASKS: usize = 128;

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Identifies the snapshot.
    pub snapshot: Uuid,
    /// The position of the part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The snapshot holds what every record before this offset has made.
    pub covers: u64,
    /// What is live.
    pub items: Vec<SnapshotItem>,
}

/// One live thing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "item", rename_all = "snake_case")]
pub enum SnapshotItem {
    /// The current view, and the former ones that are not settled.
    Views(Views),
    /// A document in force.
    Config(InForce),
    /// What became of a recent publication.
    Verdict {
        /// Which publication, as its record named it.
        publication: Uuid,
        /// Whether it was accepted.
        verdict: Verdict,
    },
    /// An entry of the audit trail.
    Audit(AuditEntry),
    /// A job; its tasks follow.
    Job {
        /// The id that its submitter chose.
        job_id: JobId,
        /// What was submitted.
        spec: JobSpec,
        /// When it ended, in the log's own milliseconds.
        ended_at_ms: Option<u64>,
    },
    /// Tasks of a job that have ended, or may have been started without being idempotent.
    Tasks {
        /// Whose tasks they are.
        job_id: JobId,
        /// Which ended, and how.
        ends: Vec<(u32, TaskOutcome)>,
        /// Which have an intent.
        intents: Vec<u32>,
    },
    /// A record that does not count, should it still appear.
    Tombstone {
        /// The record's id.
        of: Uuid,
    },
}

/// Cuts a state into the parts of a snapshot.
#[must_use]
pub fn cut(snapshot: Uuid, covers: u64, state: &LogState<'_>) -> Vec<SnapshotPart> {
    let mut groups = vec![Vec::new()];
    let mut bytes = 0;
    for item in items(state) {
        let size = serde_json::to_vec(&item).map_or(0, |json| json.len());
        if bytes > 0 && bytes + size > PART_BYTES {
            groups.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = groups.last_mut() {
            last.push(item);
        }
    }
    let parts = u32::try_from(groups.len()).unwrap_or(u32::MAX);
    let numbered = (0..).zip(groups);
    let made = numbered.map(|(part, items)| SnapshotPart {
        snapshot,
        part,
        parts,
        covers,
        items,
    });
    made.collect()
}

fn items(state: &LogState<'_>) -> Vec<SnapshotItem> {
    let mut items = vec![SnapshotItem::Views(state.views.clone())];
    for (_, in_force) in state.config.documents() {
        items.push(SnapshotItem::Config(in_force.clone()));
    }
    for (publication, verdict) in state.config.verdicts() {
        items.push(SnapshotItem::Verdict {
            publication,
            verdict: verdict.clone(),
        });
    }
    for entry in state.audit.entries() {
        items.push(SnapshotItem::Audit(entry.clone()));
    }
    for of in state.tombstones.iter() {
        items.push(SnapshotItem::Tombstone { of });
    }
    let mut jobs: Vec<_> = state.jobs.iter().collect();
    jobs.sort_by_key(|job| job.id);
    for job in jobs {
        items.push(SnapshotItem::Job {
            job_id: job.id,
            spec: job.spec.clone(),
            ended_at_ms: job.ended_at_ms,
        });
        push_tasks(job, &mut items);
    }
    items
}

fn push_tasks(job: &Job, items: &mut Vec<SnapshotItem>) {
    let indexed: Vec<_> = (0..).zip(job.tasks.iter().zip(&job.intents)).collect();
    for chunk in indexed.chunks(ITEM_TASKS) {
        let mut ends = Vec::new();
        let mut intents = Vec::new();
        for (index, (task, intent)) in chunk {
            if let TaskState::Ended(outcome) = task {
                ends.push((*index, outcome.clone()));
            }
            if **intent {
                intents.push(*index);
            }
        }
        if ends.is_empty() && intents.is_empty() {
            continue;
        }
        items.push(SnapshotItem::Tasks {
            job_id: job.id,
            ends,
            intents,
        });
    }
}

/// Puts jobs together again from the items of a snapshot, in their order.
#[must_use]
pub fn jobs_of(items: &[SnapshotItem]) -> Vec<Job> {
    let mut jobs: BTreeMap<JobId, Job> = BTreeMap::new();
    for item in items {
        match item {
            SnapshotItem::Job {
                job_id,
                spec,
                ended_at_ms,
            } => {
                let mut job = Job::new(*job_id, spec.clone());
                job.ended_at_ms = *ended_at_ms;
                jobs.insert(*job_id, job);
            }
            SnapshotItem::Tasks {
                job_id,
                ends,
                intents,
            } => {
                let Some(job) = jobs.get_mut(job_id) else {
                    continue;
                };
                restore_tasks(job, ends, intents);
            }
            _ => {}
        }
    }
    jobs.into_values().collect()
}

fn restore_tasks(job: &mut Job, ends: &[(u32, TaskOutcome)], intents: &[u32]) {
    for (index, outcome) in ends {
        if let Some(task) = job.tasks.get_mut(*index as usize) {
            *task = TaskState::Ended(outcome.clone());
        }
    }
    for index in intents {
        if let Some(intent) = job.intents.get_mut(*index as usize) {
            *intent = true;
        }
    }
}

/// A snapshot of which every part was read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// It holds what every record before this offset has made.
    pub covers: u64,
    /// What was live.
    pub items: Vec<SnapshotItem>,
}

/// Collects the parts of snapshots as the log is read.
#[derive(Debug, Clone, Default)]
pub struct SnapshotReader {
    open: BTreeMap<Uuid, BTreeMap<u32, SnapshotPart>>,
}

impl SnapshotReader {
    /// Takes in a part; returns the snapshot that it completes.
    pub fn observe(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        let parts = self.open.entry(part.snapshot).or_default();
        parts.insert(part.part, part.clone());
        if parts.len() < part.parts as usize {
            return None;
        }
        let parts = self.open.remove(&part.snapshot)?;
        let items = parts.into_values().flat_map(|part| part.items);
        Some(Snapshot {
            covers: part.covers,
            items: items.collect(),
        })
    }
}

/// Counts the parts that were read, without keeping them.
#[derive(Debug, Clone, Default)]
pub struct SnapshotProgress {
    seen: BTreeMap<Uuid, u32>,
}

impl SnapshotProgress {
    /// Takes in a part; returns what its snapshot covers where that is complete now.
    pub fn observe(&mut self, part: &SnapshotPart) -> Option<u64> {
        let seen = self.seen.entry(part.snapshot).or_default();
        *seen += 1;
        if *seen < part.parts {
            return None;
        }
        // One that began earlier and is not complete by now will not be.
        self.seen = self.seen.split_off(&part.snapshot);
        self.seen.remove(&part.snapshot);
        Some(part.covers)
    }
}

/// When a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotOptions {
    /// Entries after the last snapshot.
    pub entries: u64,
    /// Time after the last snapshot.
    pub age_ms: u64,
}

impl Default for SnapshotOptions {
    fn default() -> Self {
        Self {
            entries: 20_000,
            age_ms: 3_600_000,
        }
    }
}

/// Says whether the member of this rank is to write a snapshot; each further rank waits a quarter
/// longer, so that one suffices and the others stand in for it.
#[must_use]
pub fn due(options: &SnapshotOptions, rank: u64, entries: u64, age_ms: u64) -> bool {
    let later = |bound: u64| bound.saturating_add(bound / 4 * rank);
    entries > 0 && (entries >= later(options.entries) || age_ms >= later(options.age_ms))
}
