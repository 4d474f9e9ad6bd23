//! What a submitter asks for: jobs, their kinds and classes, and how a task may end.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Resources;
use crate::TeamId;

/// How urgent a job or a request is.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Must start within about a second; goes before everything else.
    Urgent,
    /// Somebody waits for it.
    #[default]
    Normal,
    /// May wait, yet must finish.
    Patient,
}

/// The shape of a job, which decides its placement policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Tasks that end by themselves and may start one by one.
    #[default]
    Batch,
    /// Tasks that must all run at once, or none.
    Gang,
    /// Tasks that are kept running until the job is cancelled.
    Service,
}

/// What a submitter declares about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct JobSpec {
    /// The team that pays for the job.
    pub team: TeamId,
    /// A name for the operators, also the key under which run times are learned.
    pub name: SmolStr,
    /// The shape of the job.
    pub kind: JobKind,
    /// How urgent it is.
    pub class: Class,
    /// Number of equal tasks, at least 1.
    pub tasks: u32,
    /// What each task asks for.
    pub resources: Resources,
    /// Declared run time of a task in milliseconds; often far off.
    pub run_time_ms: u64,
    /// Whether a task may be started again after an attempt whose outcome is unknown.
    pub idempotent: bool,
    /// Passed to each task as it is.
    pub payload: SmolStr,
}

impl Default for JobSpec {
    fn default() -> Self {
        Self {
            team: TeamId::new(""),
            name: SmolStr::default(),
            kind: JobKind::Batch,
            class: Class::Normal,
            tasks: 1,
            resources: Resources::ZERO,
            run_time_ms: 0,
            idempotent: true,
            payload: SmolStr::default(),
        }
    }
}

/// How a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ran to its end and left this result.
    Done(SmolStr),
    /// It ran and failed, for this reason.
    Failed(SmolStr),
    /// It was cancelled.
    Cancelled,
    /// It may or may not have run; it is not run again by itself.
    Unknown,
}
