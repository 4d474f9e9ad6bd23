//! The durable record of a job's progress, one for each job, always written whole.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::CellTime;
use syc_types::TimeOfDay;
use syc_types::WorkerId;

use crate::Run;

/// What a submitter hears of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// Some task has started.
    Running,
    /// All tasks ended as done.
    Completed,
    /// A task, or a gang, failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Says whether the job changes no more.
    #[must_use]
    pub const fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Tells later records of a job from earlier ones, wherever they were written.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version {
    /// Fencing token of the scheduler that wrote it.
    #[serde(rename = "t")]
    pub token: u64,
    /// Number of the change under that scheduler.
    #[serde(rename = "c")]
    pub change: u64,
}

/// What is kept of a job beside what was submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobProgress {
    /// Of two records of a job, the one with the greater version counts.
    #[serde(rename = "v")]
    pub version: Version,
    /// The job's state.
    pub state: JobState,
    /// Progress of each step; empty once the job has ended.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
    /// When the job ended, by the clock of the node that wrote it; for people, and for earlier versions.
    #[serde(skip_serializing_if = "is_no_day")]
    pub ended_at_ms: TimeOfDay,
    /// When the job ended, by the cell's own time; none where an earlier version wrote it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended_at_cell_ms: Option<CellTime>,
}

/// What is kept of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Whether every unit is done.
    #[serde(skip_serializing_if = "is_false")]
    pub done: bool,
    /// Units that have begun, unless the whole step is done.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub units: BTreeMap<u32, UnitProgress>,
}

/// What is kept of a unit: a task, or the whole step where it is a gang.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UnitProgress {
    /// Whether it ended as done.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero_u32")]
    pub failures: u32,
    /// Number of its latest start.
    #[serde(rename = "r", skip_serializing_if = "is_no_run")]
    pub last_started: Run,
    /// Number of the latest start whose end is in this record.
    #[serde(rename = "a", skip_serializing_if = "is_no_run")]
    pub last_accounted: Run,
    /// Number of the latest start that counts as failed.
    #[serde(rename = "x", skip_serializing_if = "is_no_run")]
    pub last_failed: Run,
    /// Where it can go on from.
    #[serde(rename = "c", skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
    /// Workers of its latest start, of each member that has not ended; an empty name for one that has.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerId>,
    /// Members under which workers crashed.
    #[serde(rename = "k", skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, CrashCount>,
}

/// Workers that crashed under a task, as far as it may have taken them down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CrashCount {
    /// All of them.
    #[serde(rename = "n")]
    pub workers: u32,
    /// Number of the latest start that one crashed under: each counts once, whoever learns of it.
    #[serde(rename = "r")]
    pub run: Run,
    /// Those for which nothing else could be blamed.
    #[serde(rename = "a", skip_serializing_if = "is_zero_u32")]
    pub sole_suspect: u32,
    /// Whether the task had been on one of them for longer than a start takes to show what it does.
    #[serde(rename = "l", skip_serializing_if = "is_false")]
    pub after_startup: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer calls it with a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer calls it with a reference"
)]
const fn is_no_day(value: &TimeOfDay) -> bool {
    value.0 == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer calls it with a reference"
)]
const fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer calls it with a reference"
)]
const fn is_no_run(value: &Run) -> bool {
    value.0 == 0
}
