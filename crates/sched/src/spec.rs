//! The specification of a job and the policy of the queue that it was submitted to.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TimeOfDay;
use syc_types::WorkspaceName;

use crate::JobId;

/// Maximum number of tasks of a step.
pub const STEP_TASKS_LIMIT: u32 = 10_000;

/// Maximum number of tasks over all steps and occurrences of a job. The other two limits alone would let a
/// single job use gigabytes of the scheduler's memory.
pub const JOB_TASKS_LIMIT: u64 = 50_000;

/// Maximum number of steps of a job, over all occurrences.
pub const STEPS_LIMIT: usize = 1_000;

/// Maximum number of violations that are returned.
const FINDINGS_LIMIT: usize = 20;

/// Bytes of a step's record without its texts and dependencies.
const STEP_RECORD_BYTES: usize = 400;

/// Bytes of a dependency of a step, in memory and in its record.
const AFTER_BYTES: usize = 8;

/// One step of a job: identical tasks that become ready together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property that a submitter declares"
)]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task requests.
    pub resources: Resources,
    /// Declared run time of a task. The estimate is often inaccurate.
    pub estimate_ms: u64,
    /// Indexes of earlier steps that must complete before this one starts.
    pub after: Vec<u16>,
    /// Whether a task saves checkpoints and can resume from them.
    pub checkpointed: bool,
    /// Whether the tasks form a gang: all of them run at the same time, or none does.
    pub gang: bool,
    /// Whether the tasks run until the job is cancelled and are restarted however they end.
    pub long_running: bool,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether to prefer a single rack for all tasks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// Rack that holds the input data. The tasks take longer on other racks.
    pub data_rack: Option<SmolStr>,
    /// Maximum number of the step's tasks on one worker; unlimited if absent.
    pub tasks_per_worker: Option<u32>,
    /// Image that the tasks run; tasks of the same image behave alike. Empty if unknown.
    pub image: SmolStr,
    /// Upper bound for the tail latency that the users of each task see.
    pub tail_limit_ms: Option<u64>,
    /// Whether the tasks use only the processor time that other tasks on the worker leave idle. Their CPU
    /// request is then not counted against the worker.
    pub fills: bool,
    /// Maximum number of tasks that the scheduler's own actions may make unavailable at the same time;
    /// unlimited if absent.
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
    /// Returns the resources that a task reserves on its worker.
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

    /// Returns the maximum number of its tasks on one worker.
    pub(crate) fn max_tasks_per_worker(&self) -> u32 {
        self.tasks_per_worker.unwrap_or(self.tasks).min(self.tasks)
    }
}

/// Cost and validity of calls to the advice service, which tells which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed duration of a call.
    pub decision_ms: f64,
    /// Additional duration for each worker named in the call.
    pub per_worker_ms: f64,
    /// Validity of a ticket.
    pub validity_ms: u64,
}

impl AdvicePolicy {
    /// Returns the duration of a call that names this many workers.
    #[must_use]
    pub fn call_ms(&self, workers: usize) -> f64 {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.decision_ms + self.per_worker_ms * f64::from(workers)
    }
}

/// Policy of a queue, as it was when the job was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: SmolStr,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// 0 is the highest priority and may preempt work with a larger number.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which the job fails.
    pub attempts_limit: u32,
    /// Factor of the objective relative to the job's longest chain of steps.
    pub stretch: f64,
    /// Fixed part of the objective.
    pub objective_ms: u64,
    /// Parameters of the advice calls; none if a start needs no advice.
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

/// Times at which the steps of a job run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Schedule {
    /// Number of occurrences; 0 runs the steps once, as soon as possible.
    pub occurrences: u32,
    /// Due time of the first occurrence.
    pub first_at_ms: TimeOfDay,
    /// Time between occurrences, which may overlap.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the number of occurrences, at least 1.
    #[must_use]
    pub const fn occurrence_count(&self) -> u32 {
        if self.occurrences == 0 {
            1
        } else {
            self.occurrences
        }
    }

    /// Returns when an occurrence is due; none if it runs as soon as possible.
    #[must_use]
    pub fn due_at(&self, occurrence: u32) -> Option<TimeOfDay> {
        if self.occurrences == 0 {
            return None;
        }
        let later_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        Some(self.first_at_ms.plus(later_ms))
    }
}

/// A job as it was accepted, in the form in which it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier of the job.
    pub id: JobId,
    /// Opaque data that is passed to each task.
    pub payload: SmolStr,
    /// Steps of one occurrence.
    pub steps: Vec<StepSpec>,
    /// Policy of the queue that it was submitted to.
    pub policy: QueuePolicy,
    /// Times at which the steps run.
    #[serde(default)]
    pub schedule: Schedule,
    /// When it was accepted, by the clock of the accepting node.
    pub accepted_at_ms: TimeOfDay,
    /// The workspace that it belongs to; none if its queue needs no key, or an earlier version stored it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
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

    /// Returns the index of a step that can't run under a cap on what the job's workspace has running: one of its tasks
    /// alone exceeds it, or the tasks of a gang together.
    #[must_use]
    pub fn step_beyond_cap(&self, cap: &Resources) -> Option<usize> {
        self.steps.iter().position(|step| {
            let at_once = if step.gang { step.tasks } else { 1 };
            !step.resources.saturating_mul(at_once).fits_in(cap)
        })
    }

    /// Returns about how many bytes it takes while it is being stored: itself, and as a record.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let mut bytes = 2 * self.payload.len();
        for step in &self.steps {
            let texts = step.image.len()
                + step.data_rack.as_ref().map_or(0, SmolStr::len)
                + step.required_label.as_ref().map_or(0, SmolStr::len);
            bytes += size_of::<StepSpec>() + STEP_RECORD_BYTES;
            bytes += 2 * texts + AFTER_BYTES * step.after.len();
        }
        bytes
    }

    /// Validates the job and returns its violations, the first ones if there are many.
    #[must_use]
    pub fn findings(&self) -> Vec<SpecFinding> {
        let mut findings = self.all_findings();
        findings.truncate(FINDINGS_LIMIT);
        findings
    }

    fn all_findings(&self) -> Vec<SpecFinding> {
        let mut findings = Vec::new();
        if self.steps.is_empty() || self.steps.len() > STEPS_LIMIT {
            findings.push(SpecFinding::new(None, "a job must have 1 to 1,000 steps"));
        }
        let times = usize::try_from(self.schedule.occurrence_count()).unwrap_or(usize::MAX);
        if self.steps.len().saturating_mul(times) > STEPS_LIMIT {
            let text = "all occurrences together must have at most 1,000 steps";
            findings.push(SpecFinding::new(None, text));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks.saturating_mul(u64::from(self.schedule.occurrence_count())) > JOB_TASKS_LIMIT {
            let text = "all steps and occurrences together must have at most 50,000 tasks";
            findings.push(SpecFinding::new(None, text));
        }
        for (index, step) in self.steps.iter().enumerate() {
            let place = Some(index);
            if step.tasks == 0 || step.tasks > STEP_TASKS_LIMIT {
                findings.push(SpecFinding::new(
                    place,
                    "a step must have 1 to 10,000 tasks",
                ));
            }
            if step.after.iter().any(|after| usize::from(*after) >= index) {
                findings.push(SpecFinding::new(
                    place,
                    "a step may depend only on earlier steps",
                ));
            }
            if step.tasks_per_worker == Some(0) {
                findings.push(SpecFinding::new(
                    place,
                    "tasks_per_worker must be at least 1",
                ));
            }
        }
        findings
    }
}

/// A violation found when validating a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecFinding {
    /// Index of the step; none for the job as a whole.
    pub step: Option<usize>,
    /// Description of the violation.
    pub text: &'static str,
}

impl SpecFinding {
    const fn new(step: Option<usize>, text: &'static str) -> Self {
        Self { step, text }
    }
}
