//! Generator of random jobs with a realistic distribution of sizes.

use rand::Rng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use syc_sched::AdvicePolicy;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::QueuePolicy;
use syc_sched::Schedule;
use syc_sched::StepSpec;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TimeOfDay;

/// Bytes per mebibyte.
const MIB: u64 = 1 << 20;

/// Number of uniform samples whose sum approximates a normal distribution with a variance of one.
const UNIFORM_DRAWS: usize = 12;

/// Log-normal distribution with an upper bound: most values are small, and a few are many times the mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LogNormal {
    /// Mean before the bound is applied.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Upper bound of the samples.
    pub max: f64,
}

impl LogNormal {
    /// Returns a random sample.
    fn sample(self, rng: &mut SmallRng) -> f64 {
        let mut normal = 0.0;
        for _ in 0..UNIFORM_DRAWS {
            normal += rng.random_range(-0.5..0.5);
        }
        let factor = (self.sigma * normal - self.sigma * self.sigma / 2.0).exp();
        (self.mean * factor).min(self.max)
    }
}

/// Distribution of one kind of job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobKind {
    /// Name of the queue.
    pub queue: &'static str,
    /// Priority of the queue.
    pub priority: u32,
    /// Mean number of jobs per second.
    pub jobs_per_s: f64,
    /// Share of jobs with a second step after the first.
    pub second_step_share: f64,
    /// Number of tasks of a step.
    pub tasks: LogNormal,
    /// CPU that a task requests, in thousandths of a core.
    pub cpu_millis: LogNormal,
    /// Memory that a task requests, in mebibytes.
    pub memory_mib: LogNormal,
    /// Duration of a task.
    pub work_ms: LogNormal,
    /// Share of jobs whose steps are gangs.
    pub gang_share: f64,
    /// Share of jobs that save checkpoints.
    pub checkpointed_share: f64,
    /// Factor of the critical path in the objective.
    pub stretch: f64,
    /// Part of the objective that does not depend on the work.
    pub objective_ms: u64,
    /// Duration of advice calls and validity of their answers.
    pub advice: AdvicePolicy,
    /// Share of the workers that may run a step, in thousandths.
    pub allowed_per_mille: u64,
}

/// A generated job and the duration of its tasks.
#[derive(Debug, Clone)]
pub struct GeneratedJob {
    /// Specification to submit.
    pub spec: JobSpec,
    /// Duration of the tasks of each step.
    pub work_ms: Vec<u64>,
}

impl JobKind {
    /// Generates a random job.
    #[must_use]
    pub fn sample(&self, id: JobId, service: &str, rng: &mut SmallRng) -> GeneratedJob {
        let steps = if rng.random_bool(self.second_step_share) {
            2
        } else {
            1
        };
        let gang = rng.random_bool(self.gang_share);
        let checkpointed = rng.random_bool(self.checkpointed_share);
        let mut work_ms = Vec::new();
        let mut drawn = Vec::new();
        for step in 0..steps {
            let drawn_ms = to_integer(self.work_ms.sample(rng));
            work_ms.push(drawn_ms);
            drawn.push(StepSpec {
                tasks: u32::try_from(to_integer(self.tasks.sample(rng)).max(1)).unwrap_or(u32::MAX),
                resources: Resources {
                    cpu_millis: to_integer(self.cpu_millis.sample(rng)),
                    memory_bytes: to_integer(self.memory_mib.sample(rng)) * MIB,
                    ..Resources::ZERO
                },
                // Estimates deviate by up to 25% in either direction.
                estimate_ms: drawn_ms * rng.random_range(75..=125) / 100,
                after: if step == 0 {
                    Vec::new()
                } else {
                    vec![step - 1]
                },
                gang,
                checkpointed,
                ..StepSpec::default()
            });
        }
        let spec = JobSpec {
            id,
            payload: SmolStr::default(),
            steps: drawn,
            policy: self.policy(service),
            schedule: Schedule::default(),
            accepted_at_ms: TimeOfDay(0),
            workspace: None,
        };
        GeneratedJob { spec, work_ms }
    }

    fn policy(&self, service: &str) -> QueuePolicy {
        QueuePolicy {
            queue: SmolStr::new_static(self.queue),
            service: ServiceName::new(service),
            priority: self.priority,
            attempts_limit: 3,
            stretch: self.stretch,
            objective_ms: self.objective_ms,
            advice: Some(self.advice),
        }
    }
}

/// Rounds a non-negative sample down to an integer.
fn to_integer(drawn: f64) -> u64 {
    std::time::Duration::from_secs_f64(drawn.max(0.0)).as_secs()
}
