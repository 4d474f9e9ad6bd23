//! The durable record of a job's progress. There is one for each job, and it is always written as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::CellTime;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use syc_types::WorkspaceName;

use crate::JobId;
use crate::Run;
use crate::StepId;
use crate::TaskId;

/// State of a job as reported to its submitter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang used up its attempts.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl JobState {
    /// Returns whether this state is final.
    #[must_use]
    pub const fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Orders the records of a job, across the schedulers that wrote them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version {
    /// Fencing token of the scheduler that wrote it.
    #[serde(rename = "t")]
    pub token: u64,
    /// Number of the change, counted by that scheduler.
    #[serde(rename = "c")]
    pub change: u64,
}

/// Stored progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobProgress {
    /// Version; the record with the greatest version is current.
    #[serde(rename = "v")]
    pub version: Version,
    /// State of the job.
    pub state: JobState,
    /// Progress of each step; empty once the job has ended.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
    /// The workspace that the job belongs to; none if it belongs to none, or an earlier version wrote the record.
    #[serde(rename = "o", skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Start orders that got no answer and may still be carried out.
    #[serde(rename = "u", skip_serializing_if = "Vec::is_empty")]
    pub starts_in_doubt: Vec<StartInDoubtProgress>,
    /// When the job ended, by the clock of the node that wrote the record; for display and for earlier versions.
    #[serde(skip_serializing_if = "is_no_day")]
    pub ended_at_ms: TimeOfDay,
    /// When the job ended, in cell time; none if an earlier version wrote the record.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended_at_cell_ms: Option<CellTime>,
}

/// A stored start order that got no answer and may still be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartInDoubtProgress {
    /// Occurrence of the job's schedule.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero_u32")]
    pub occurrence: u32,
    /// Index of the step in the job.
    #[serde(rename = "s")]
    pub step: u16,
    /// Index of the task in the step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: Run,
    /// The life of a worker that it was meant for; empty if that is not known.
    #[serde(rename = "w")]
    pub worker: WorkerId,
    /// Until when it may be carried out, in cell time.
    #[serde(rename = "b")]
    pub until_cell_ms: CellTime,
}

impl StartInDoubtProgress {
    /// Returns the task, given its job.
    pub(crate) const fn task(&self, job: JobId) -> TaskId {
        let step = StepId {
            job,
            occurrence: self.occurrence,
            step: self.step,
        };
        TaskId {
            step,
            index: self.index,
        }
    }
}

/// Stored progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepProgress {
    /// Whether every unit is done.
    #[serde(skip_serializing_if = "is_false")]
    pub done: bool,
    /// Units that have started; empty once the whole step is done.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub units: BTreeMap<u32, UnitProgress>,
}

/// Stored progress of a unit: a task, or the whole step if it is a gang.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UnitProgress {
    /// Whether it is done.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Number of failed runs.
    #[serde(rename = "f", skip_serializing_if = "is_zero_u32")]
    pub failures: u32,
    /// Number of the latest start.
    #[serde(rename = "r", skip_serializing_if = "is_no_run")]
    pub last_started: Run,
    /// Number of the latest start whose end this record accounts for.
    #[serde(rename = "a", skip_serializing_if = "is_no_run")]
    pub last_accounted: Run,
    /// Number of the latest start that counted as failed.
    #[serde(rename = "x", skip_serializing_if = "is_no_run")]
    pub last_failed: Run,
    /// Starts that counted as failed, but for those that an earlier version counted.
    #[serde(rename = "xs", skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_runs: BTreeSet<Run>,
    /// The latest start that an earlier version counted as failed.
    #[serde(rename = "xb", skip_serializing_if = "is_no_run")]
    pub failed_before: Run,
    /// Checkpoint to resume from; empty for none.
    #[serde(rename = "c", skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
    /// Worker of each member of the latest start; an empty name for a member that has ended.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerId>,
    /// Worker crashes attributed to each member.
    #[serde(rename = "k", skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, CrashCount>,
    /// Number of the latest start whose worker went silent during its probation; only kept for suspected units.
    #[serde(rename = "s", skip_serializing_if = "is_no_run")]
    pub silent_run: Run,
    /// Number of unrecorded starts that may have crashed their workers.
    #[serde(rename = "p", skip_serializing_if = "is_zero_u32")]
    pub possible_crashes: u32,
    /// Until when the latest start may be carried out, in cell time; none if it had an answer when this was written.
    #[serde(rename = "q", skip_serializing_if = "Option::is_none")]
    pub unanswered_until_cell_ms: Option<CellTime>,
}

impl UnitProgress {
    /// Returns the latest start that an earlier version counted as failed. Such a version stores only the latest failure.
    pub(crate) fn failed_before(&self) -> Run {
        if self.failed_runs.is_empty() {
            self.failed_before.max(self.last_failed)
        } else {
            self.failed_before
        }
    }
}

/// Number of workers that crashed while running a task and may have crashed because of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CrashCount {
    /// Total number of crashed workers.
    #[serde(rename = "n")]
    pub workers: u32,
    /// Number of the latest start during which a worker crashed. It ensures that each crash counts once, whichever
    /// scheduler learns of it.
    #[serde(rename = "r")]
    pub run: Run,
    /// Crashes for which this task is the only possible cause.
    #[serde(rename = "a", skip_serializing_if = "is_zero_u32")]
    pub sole_suspect: u32,
    /// Whether one of the crashes came after the task had run for longer than it takes a faulty start to show.
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
