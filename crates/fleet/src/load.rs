//! A load of several kinds of request, drawn from their means.

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

/// Bytes of a mebibyte.
const MIB: u64 = 1 << 20;

/// Uniform draws whose sum comes near a normal distribution with a variance of one.
const UNIFORM_DRAWS: usize = 12;

/// A quantity that differs from job to job: most are small, and a few many times the mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LogNormal {
    /// The mean, before the bound is applied.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// What is drawn is at most this.
    pub max: f64,
}

impl LogNormal {
    /// Draws from a log-normal distribution.
    fn sample(self, rng: &mut SmallRng) -> f64 {
        let mut normal = 0.0;
        for _ in 0..UNIFORM_DRAWS {
            normal += rng.random_range(-0.5..0.5);
        }
        let factor = (self.sigma * normal - self.sigma * self.sigma / 2.0).exp();
        (self.mean * factor).min(self.max)
    }
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct JobKind {
    /// Name of its queue.
    pub queue: &'static str,
    /// Priority of the queue.
    pub priority: u32,
    /// Jobs that come in each second.
    pub jobs_per_s: f64,
    /// Share of jobs with a second step after the first.
    pub second_step_share: f64,
    /// Tasks of a step.
    pub tasks: LogNormal,
    /// Thousandths of a core that a task asks for.
    pub cpu_millis: LogNormal,
    /// Memory that a task asks for, in mebibytes.
    pub memory_mib: LogNormal,
    /// Time that a task works.
    pub work_ms: LogNormal,
    /// Share of jobs whose tasks work only all together.
    pub gang_share: f64,
    /// Share of jobs that save their progress.
    pub checkpointed_share: f64,
    /// Factor of the objective over the chain of work.
    pub stretch: f64,
    /// Part of the objective that does not depend on the work.
    pub objective_ms: u64,
    /// Time that calls for advice take, and that their answers are good for.
    pub advice: AdvicePolicy,
    /// Workers that may run a step, in thousandths.
    pub allowed_per_mille: u64,
}

/// A job that was drawn, and how long its tasks work.
#[derive(Debug, Clone)]
pub struct GeneratedJob {
    /// What is submitted.
    pub spec: JobSpec,
    /// Time that each task of a step works, a step at a time.
    pub work_ms: Vec<u64>,
}

impl JobKind {
    /// Draws a job.
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
                // Estimates are rough: a quarter off, either way.
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

/// Rounds a drawn quantity, which is never negative.
fn to_integer(drawn: f64) -> u64 {
    std::time::Duration::from_secs_f64(drawn.max(0.0)).as_secs()
}
