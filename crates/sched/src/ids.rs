//! Identifiers of jobs, steps, tasks and runs, and the keys of the scheduler's arenas.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use smol_str::SmolStr;
use smol_str::format_smolstr;

new_key_type! {
    /// Key of a worker in one [`crate::Scheduler`].
    pub struct WorkerKey;

    /// Key of a job in one [`crate::Scheduler`].
    pub(crate) struct JobKey;

    /// Key of a workspace in one [`crate::Scheduler`].
    pub(crate) struct WorkspaceKey;
}

/// Identifies a job. The submitter chooses it, which makes a repeated submit idempotent.
///
/// Its text form is 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "SmolStr", try_from = "SmolStr")]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let lower_case = !text.bytes().any(|byte| byte.is_ascii_uppercase());
        // Parsing the empty string always fails, so it stands in for every malformed identifier.
        let text = if digits && lower_case { text } else { "" };
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<SmolStr> for JobId {
    type Error = ParseIntError;

    fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<JobId> for SmolStr {
    fn from(id: JobId) -> Self {
        format_smolstr!("{id}")
    }
}

/// Identifies a step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// Occurrence of the job's schedule, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.occurrence == 0 {
            return write!(f, "{}/{}", self.job, self.step);
        }
        write!(f, "{}@{}/{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The step that the task belongs to.
    pub step: StepId,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.step, self.index)
    }
}

/// Number of a start of a task, from 1. The members of a gang share it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Run(pub u32);

impl Run {
    /// Returns the number of the start after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
