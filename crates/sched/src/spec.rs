//! What a submitter asks for, and the policy of the queue that it came through.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TimeOfDay;

use crate::JobId;

/// Most tasks that a step may have.
pub const STEP_TASKS_LIMIT: u32 = 10_000;

/// Most tasks that all steps and occurrences of a job may have together: the other two limits alone would
/// let one job take gigabytes of a scheduler.
pub const JOB_TASKS_LIMIT: u64 = 50_000;

/// Most steps that a job may have.
pub const STEPS_LIMIT: usize = 1_000;

/// One step of a job: equal tasks that become ready together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property that a submitter declares"
)]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What each task asks for.
    pub resources: Resources,
    /// Declared run time of a task; often far off.
    pub estimate_ms: u64,
    /// Earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether a task saves its progress and can go on from there.
    pub checkpointed: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether the tasks run until the job is cancelled, and are started again however they end.
    pub long_running: bool,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks should share a rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// Rack where the data is; elsewhere the tasks take longer.
    pub data_rack: Option<SmolStr>,
    /// Most tasks of the step that may run on one worker; no bound where missing.
    pub tasks_per_worker: Option<u32>,
    /// What the tasks run; tasks of one image behave alike. Empty where it is not told.
    pub image: SmolStr,
    /// The tail of the response times that the users of each task see must stay below this.
    pub tail_limit_ms: Option<u64>,
    /// Whether the tasks get only the processor time that the others on a worker leave unused; what
    /// they ask for is not counted against the worker then.
    pub fills: bool,
    /// Most tasks that may be out of service at a time through what the scheduler does; no bound
    /// where missing.
    pub unavailable_limit: Option<u32>,
}

impl Default for StepSpec {
    fn default() -> Self {
        Self {
            tasks: 1,
            resources: Resources::ZERO,
            estimate_ms: 0,
            after: Vec::new(),
            checkpointed: false,
            gang: false,
            long_running: false,
            speculative: false,
            same_rack: false,
            required_label: None,
            data_rack: None,
            tasks_per_worker: None,
            image: SmolStr::new_static(""),
            tail_limit_ms: None,
            fills: false,
            unavailable_limit: None,
        }
    }
}

impl StepSpec {
    /// Returns what a task takes of a worker's room.
    #[must_use]
    pub fn reserved_resources(&self) -> Resources {
        if self.fills {
            return Resources {
                cpu_millis: 0,
                ..self.resources
            };
        }
        self.resources
    }

    /// Returns how many of its tasks one worker may run.
    pub(crate) fn max_tasks_per_worker(&self) -> u32 {
        self.tasks_per_worker.unwrap_or(self.tasks).min(self.tasks)
    }
}

/// What it takes to learn which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time that each call takes.
    pub decision_ms: f64,
    /// Time that each worker named in the call adds.
    pub per_worker_ms: f64,
    /// Time that a ticket is valid.
    pub validity_ms: u64,
}

impl AdvicePolicy {
    /// Returns how long a call for so many workers is served.
    #[must_use]
    pub fn call_ms(&self, workers: usize) -> f64 {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.decision_ms + self.per_worker_ms * f64::from(workers)
    }
}

/// How the jobs of a queue are to be served, as it was when a job was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: SmolStr,
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// 0 goes first, and may preempt what has a greater number.
    pub priority: u32,
    /// Failed runs of a task, or of a gang, after which the job has failed.
    pub attempts_limit: u32,
    /// Factor of the objective over the longest chain of work.
    pub stretch: f64,
    /// Part of the objective that does not depend on the work.
    pub objective_ms: u64,
    /// Whether advice is needed before a start, and what it takes.
    pub advice: Option<AdvicePolicy>,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            queue: SmolStr::default(),
            service: ServiceName::new(""),
            priority: 0,
            attempts_limit: 1,
            stretch: 1.0,
            objective_ms: 0,
            advice: None,
        }
    }
}

/// At which times of day the steps of a job run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Schedule {
    /// How often they run; 0 for once, as soon as possible.
    pub occurrences: u32,
    /// When the first is due.
    pub first_at_ms: TimeOfDay,
    /// Time from one to the next; they may overlap.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns how often the steps run.
    #[must_use]
    pub const fn occurrence_count(&self) -> u32 {
        if self.occurrences == 0 {
            1
        } else {
            self.occurrences
        }
    }

    /// Returns when an occurrence is due; none for as soon as possible.
    #[must_use]
    pub fn due_at(&self, occurrence: u32) -> Option<TimeOfDay> {
        if self.occurrences == 0 {
            return None;
        }
        let later_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        Some(self.first_at_ms.plus(later_ms))
    }
}

/// A job as it was accepted. It is also the form in which it is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's identity.
    pub id: JobId,
    /// Passed to each task as it is.
    pub payload: SmolStr,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// The policy of its queue.
    pub policy: QueuePolicy,
    /// When its steps run.
    #[serde(default)]
    pub schedule: Schedule,
    /// When it was accepted, by the clock of the node that did.
    pub accepted_at_ms: TimeOfDay,
}

impl JobSpec {
    /// Returns the declared run time of the longest chain of steps.
    #[must_use]
    pub fn longest_chain_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let mut begin_ms = 0;
            for after in &step.after {
                let before_ms = ends_ms.get(usize::from(*after)).copied();
                begin_ms = begin_ms.max(before_ms.unwrap_or(0));
            }
            ends_ms.push(begin_ms + step.estimate_ms);
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Lists what is wrong with the job, each finding with its place; empty for a sound job.
    #[must_use]
    pub fn findings(&self) -> Vec<SpecFinding> {
        let mut findings = Vec::new();
        if self.steps.is_empty() || self.steps.len() > STEPS_LIMIT {
            findings.push(SpecFinding::new(None, "a job has 1 to 1,000 steps"));
        }
        let times = usize::try_from(self.schedule.occurrence_count()).unwrap_or(usize::MAX);
        if self.steps.len().saturating_mul(times) > STEPS_LIMIT {
            let text = "the steps of all occurrences together are 1,000 at most";
            findings.push(SpecFinding::new(None, text));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks.saturating_mul(u64::from(self.schedule.occurrence_count())) > JOB_TASKS_LIMIT {
            let text = "the tasks of all steps and occurrences together are 50,000 at most";
            findings.push(SpecFinding::new(None, text));
        }
        for (index, step) in self.steps.iter().enumerate() {
            let place = Some(index);
            if step.tasks == 0 || step.tasks > STEP_TASKS_LIMIT {
                findings.push(SpecFinding::new(place, "a step has 1 to 10,000 tasks"));
            }
            if step.after.iter().any(|after| usize::from(*after) >= index) {
                findings.push(SpecFinding::new(place, "a step follows earlier steps only"));
            }
            if step.tasks_per_worker == Some(0) {
                findings.push(SpecFinding::new(
                    place,
                    "no worker may run any of the tasks",
                ));
            }
        }
        findings
    }
}

/// Something that is wrong with a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecFinding {
    /// The step, or none for the job as a whole.
    pub step: Option<usize>,
    /// What is wrong.
    pub text: &'static str,
}

impl SpecFinding {
    const fn new(step: Option<usize>, text: &'static str) -> Self {
        Self { step, text }
    }
}
