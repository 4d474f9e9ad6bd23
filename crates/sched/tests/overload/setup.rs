//! The setup of a replay: workers, nodes that ask for advice, kinds of request and a disruption.

use syc_fleet::JobKind;
use syc_fleet::LogNormal;
use syc_sched::AdvicePolicy;
use syc_sched::Options;
use syc_types::Resources;

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
    pub stop_cost: StopCost,
    pub options: Options,
}

/// What a stop costs on the workers; with zeros, it is free.
#[derive(Debug, Clone, Copy, Default)]
#[expect(
    clippy::struct_field_names,
    reason = "each is a time and carries its unit"
)]
pub struct StopCost {
    pub stop_ms: u64,
    pub restore_ms: u64,
    pub checkpoint_interval_ms: u64,
}

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
            stop_cost: StopCost::default(),
            options: Options::default(),
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
            stop_cost: StopCost::default(),
            options: Options::default(),
        }
    }

    /// Like `wide`, with stops that cost what was seen on deployments: 200 ms or more for the stop, 100 to 600 ms for the
    /// restore, and up to a second of work.
    pub fn with_costly_stops(load_percent: u32) -> Self {
        Self {
            stop_cost: StopCost {
                stop_ms: 200,
                restore_ms: 300,
                checkpoint_interval_ms: 1_000,
            },
            ..Self::wide(load_percent)
        }
    }
}

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
