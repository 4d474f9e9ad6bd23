//! The setup of a replay: workers, nodes that ask for advice, kinds of request and a disruption.

use syc_fleet::JobKind;
use syc_fleet::LogNormal;
use syc_sched::AdvicePolicy;
use syc_types::Resources;
use syc_workspace::WorkspacePolicy;

/// Index of the gangs among the kinds of request.
pub const GANGS: usize = 0;

/// Index of the patient single tasks.
pub const BATCH: usize = 1;

/// Index of the urgent short tasks.
pub const LOOKUPS: usize = 2;

/// The workers, the nodes that ask for advice, and the load.
#[derive(Debug, Clone)]
pub struct Setup {
    pub workers: u64,
    pub advice_nodes: u32,
    pub kinds: Vec<JobKind>,
    pub load_until_ms: u64,
    pub end_ms: u64,
    /// How far workers, run times and estimates differ; none if all workers are alike.
    pub unevenness: Option<Unevenness>,
    pub placement_by_speed: bool,
    pub flood: Option<Flood>,
}

/// Each kind of request is the load of one workspace, and the first floods.
#[derive(Debug, Clone)]
pub struct Flood {
    pub policies: Vec<WorkspacePolicy>,
    pub from_ms: u64,
    pub until_ms: u64,
    /// Factor by which the load of the first workspace increases.
    pub factor: f64,
}

/// Workers of different speeds, runs that take far longer than others, and wrong estimates.
#[derive(Debug, Clone, Copy)]
pub struct Unevenness {
    pub slow_percent: u64,
    pub fast_percent: u64,
    /// One worker in this many is slow.
    pub slow_every: u64,
    /// Share of the runs that take `tail_factor` times as long.
    pub tail_share: f64,
    pub tail_factor: u64,
    /// Estimate of each kind in percent of the run time.
    pub estimate_percent: [u64; 3],
    /// Largest deviation of a job's estimate from that of its kind, in percent.
    pub job_deviation_percent: u64,
}

/// A quarter of the workers permanently runs at less than half of the speed of the others.
pub const UNEVEN: Unevenness = Unevenness {
    slow_percent: 55,
    fast_percent: 120,
    slow_every: 4,
    tail_share: 0.03,
    tail_factor: 7,
    estimate_percent: [70, 140, 120],
    job_deviation_percent: 50,
};

/// A temporary disruption: there are no scheduling passes, and some nodes can't ask for advice.
#[derive(Debug, Clone, Copy)]
pub struct Disruption {
    pub from_ms: u64,
    pub until_ms: u64,
    pub absent_advice_nodes: u32,
    /// Factor by which the urgent load increases.
    pub urgent_load_factor: f64,
}

impl Setup {
    /// Hundreds of workers, with an average load of 97% of their capacity.
    pub fn large() -> Self {
        Self {
            workers: 350,
            advice_nodes: 30,
            kinds: vec![gangs(), batch(), lookups()],
            load_until_ms: 55_000,
            end_ms: 70_000,
            flood: None,
            unevenness: None,
            placement_by_speed: true,
        }
    }

    /// Thousands of workers, of which a tenth is busy.
    pub fn fleet() -> Self {
        Self {
            workers: 6_000,
            advice_nodes: 580,
            load_until_ms: 8_000,
            end_ms: 9_000,
            ..Self::large()
        }
    }

    /// A smaller cell, with a load of about `load_percent` of its capacity.
    pub fn small(load_percent: u32, unevenness: Option<Unevenness>) -> Self {
        let workers = 120;
        let large = Self::large();
        let kinds = large.kinds.into_iter().map(|kind| JobKind {
            jobs_per_s: kind.jobs_per_s * 120.0 / 350.0 * f64::from(load_percent)
                / LARGE_LOAD_PERCENT,
            ..kind
        });
        Self {
            workers,
            kinds: kinds.collect(),
            load_until_ms: 30_000,
            end_ms: 40_000,
            unevenness,
            ..Self::large()
        }
    }

    /// Three workspaces, each within its rate, until the first sends several times what all workers can do. Its requests
    /// are urgent, as those of the second; those of the third are patient.
    pub fn flooded() -> Self {
        let weights = [("flooding", 10.0), ("urgent", 15.0), ("patient", 3.0)];
        let policies = weights.map(|(name, weight)| {
            let policy = WorkspacePolicy::unlimited(name.into()).with_weight(weight);
            policy.with_rate(None, Some(2.0 * weight))
        });
        Self {
            workers: 20,
            advice_nodes: 10,
            kinds: vec![
                JobKind {
                    jobs_per_s: 6.7,
                    work_ms: spread(800.0, 0.3, 1_500.0),
                    tasks: spread(3.0, 0.5, 8.0),
                    ..checks()
                },
                checks(),
                JobKind {
                    priority: 2,
                    jobs_per_s: 1.3,
                    tasks: spread(10.0, 0.5, 20.0),
                    work_ms: spread(2_000.0, 0.3, 4_000.0),
                    stretch: 2.0,
                    objective_ms: 2_000,
                    ..checks()
                },
            ],
            load_until_ms: 30_000,
            end_ms: 55_000,
            flood: Some(Flood {
                policies: policies.to_vec(),
                from_ms: 8_000,
                until_ms: 20_000,
                factor: 16.0,
            }),
            unevenness: None,
            placement_by_speed: true,
        }
    }

    /// More workers, and larger tasks relative to them, with a load of `load_percent` of their capacity.
    pub fn wide(load_percent: u32) -> Self {
        let kinds = [wide_gangs(), wide_batch(), wide_lookups()];
        let kinds = kinds.map(|kind| JobKind {
            jobs_per_s: kind.jobs_per_s * f64::from(load_percent) / WIDE_LOAD_PERCENT,
            ..kind
        });
        Self {
            workers: 540,
            advice_nodes: 97,
            kinds: kinds.to_vec(),
            load_until_ms: 30_000,
            end_ms: 42_000,
            flood: None,
            unevenness: None,
            placement_by_speed: true,
        }
    }
}

/// The load of the kinds of `Setup::large` on its workers, in percent of their capacity.
const LARGE_LOAD_PERCENT: f64 = 97.0;

/// The load of the kinds below on 540 workers, in percent of their capacity.
const WIDE_LOAD_PERCENT: f64 = 87.0;

/// The capacity of each worker.
pub fn capacity() -> Resources {
    Resources {
        cpu_millis: 32_000,
        memory_bytes: 128 << 30,
        ..Resources::ZERO
    }
}

/// Few large gangs with expensive advice: a call about one worker takes half a second, and one in four is allowed.
fn gangs() -> JobKind {
    JobKind {
        queue: "gangs",
        priority: 1,
        jobs_per_s: 4.67,
        second_step_share: 0.2,
        tasks: spread(20.0, 0.8, 120.0),
        cpu_millis: spread(9_000.0, 0.4, 15_000.0),
        memory_mib: spread(26_000.0, 0.5, 51_000.0),
        work_ms: spread(5_500.0, 0.5, 13_000.0),
        gang_share: 1.0,
        checkpointed_share: 0.5,
        stretch: 2.2,
        objective_ms: 1_000,
        advice: AdvicePolicy {
            decision_ms: 560.0,
            per_worker_ms: 8.0,
            validity_ms: 1_500,
        },
        allowed_per_mille: 250,
    }
}

/// Patient single tasks, some jobs with two steps, most of them checkpointed.
fn batch() -> JobKind {
    JobKind {
        queue: "batch",
        priority: 2,
        jobs_per_s: 9.66,
        second_step_share: 0.5,
        tasks: spread(25.0, 0.8, 150.0),
        cpu_millis: spread(3_500.0, 0.45, 10_000.0),
        memory_mib: spread(7_100.0, 0.6, 21_000.0),
        work_ms: spread(3_000.0, 0.5, 7_500.0),
        gang_share: 0.0,
        checkpointed_share: 0.8,
        stretch: 4.0,
        objective_ms: 3_000,
        advice: AdvicePolicy {
            decision_ms: 130.0,
            per_worker_ms: 1.8,
            validity_ms: 1_500,
        },
        allowed_per_mille: 450,
    }
}

/// Many urgent tasks with cheap advice.
fn lookups() -> JobKind {
    JobKind {
        queue: "lookups",
        priority: 0,
        jobs_per_s: 107.8,
        second_step_share: 0.0,
        tasks: spread(3.2, 0.8, 19.0),
        cpu_millis: spread(5_000.0, 0.45, 15_000.0),
        memory_mib: spread(14_000.0, 0.6, 43_000.0),
        work_ms: spread(880.0, 0.5, 2_200.0),
        gang_share: 0.3,
        checkpointed_share: 0.0,
        stretch: 1.5,
        objective_ms: 300,
        advice: AdvicePolicy {
            decision_ms: 11.7,
            per_worker_ms: 0.17,
            validity_ms: 1_500,
        },
        allowed_per_mille: 700,
    }
}

/// Small urgent tasks that any worker may run.
fn checks() -> JobKind {
    JobKind {
        queue: "checks",
        jobs_per_s: 10.0,
        tasks: spread(2.0, 0.5, 5.0),
        cpu_millis: spread(4_000.0, 0.2, 6_000.0),
        memory_mib: spread(4_000.0, 0.2, 8_000.0),
        work_ms: spread(500.0, 0.3, 900.0),
        gang_share: 0.0,
        advice: AdvicePolicy {
            decision_ms: 5.0,
            per_worker_ms: 0.1,
            validity_ms: 1_500,
        },
        allowed_per_mille: 1_000,
        ..lookups()
    }
}

fn wide_gangs() -> JobKind {
    JobKind {
        jobs_per_s: 9.15,
        tasks: spread(20.0, 0.8, 120.0),
        memory_mib: spread(34_000.0, 0.5, 68_000.0),
        work_ms: spread(4_000.0, 0.5, 10_000.0),
        advice: AdvicePolicy {
            decision_ms: 507.0,
            per_worker_ms: 7.28,
            validity_ms: 2_000,
        },
        allowed_per_mille: 300,
        ..gangs()
    }
}

fn wide_batch() -> JobKind {
    JobKind {
        jobs_per_s: 12.2,
        tasks: spread(19.0, 0.6, 96.0),
        cpu_millis: spread(5_500.0, 0.45, 17_000.0),
        memory_mib: spread(11_000.0, 0.6, 34_000.0),
        work_ms: spread(2_700.0, 0.5, 6_800.0),
        advice: AdvicePolicy {
            decision_ms: 182.0,
            per_worker_ms: 2.6,
            validity_ms: 2_000,
        },
        ..batch()
    }
}

fn wide_lookups() -> JobKind {
    JobKind {
        jobs_per_s: 108.0,
        cpu_millis: spread(7_900.0, 0.45, 24_000.0),
        memory_mib: spread(23_000.0, 0.6, 68_000.0),
        work_ms: spread(800.0, 0.5, 2_000.0),
        advice: AdvicePolicy {
            decision_ms: 20.8,
            per_worker_ms: 0.299,
            validity_ms: 2_000,
        },
        ..lookups()
    }
}

const fn spread(mean: f64, sigma: f64, max: f64) -> LogNormal {
    LogNormal { mean, sigma, max }
}
