//! Pools of workers, seeded jobs for them, and what a replay came to.

use std::rc::Rc;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_types::Class;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Resources;
use syc_types::TeamId;

pub const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Patient];
pub const GIB: u64 = 1 << 30;
/// Offered processor time as a share of what there is, in thousandths.
pub const LOAD_PERMILLE: u64 = 1_050;
/// Mean processor time of a job that the generator below draws, in core milliseconds.
pub const MEAN_VOLUME: u64 = 2_004_000;

#[derive(Clone, Copy)]
pub struct Pool {
    pub name: &'static str,
    pub workers: u64,
    pub cores: u64,
    pub window_ms: u64,
    pub waiting: u32,
    pub packing: u32,
}

pub struct Job {
    pub at: u64,
    pub run_ms: u64,
    pub spec: Rc<JobSpec>,
}

/// What a replay came to: processor time granted in the window, and each class's waits.
pub struct Result {
    pub granted: u128,
    pub waits: Vec<Histogram<u64>>,
}

impl Result {
    pub fn new() -> Self {
        let waits = CLASSES.map(|_| Histogram::new_with_max(1 << 40, 3).expect("histogram"));
        Self {
            granted: 0,
            waits: waits.into(),
        }
    }

    pub fn started(&mut self, job: &Job, now: u64, pool: Pool) {
        let class = CLASSES
            .iter()
            .position(|class| *class == job.spec.class)
            .unwrap_or(0);
        self.waits[class].saturating_record(now - job.at);
        self.ran(job, now, (now + job.run_ms).min(pool.window_ms));
    }

    pub fn ran(&mut self, job: &Job, from: u64, to: u64) {
        self.granted +=
            u128::from(job.spec.resources.cpu_millis) * u128::from(to.saturating_sub(from));
    }
}

pub fn jobs(pool: Pool, declared_off: bool) -> Vec<Job> {
    let mut random = SmallRng::seed_from_u64(11);
    let gap = MEAN_VOLUME * 1_000 / (pool.workers * pool.cores * LOAD_PERMILLE).max(1);
    let gap = gap.max(1);
    let mut jobs = Vec::new();
    let mut at_us = 0;
    while at_us / 1_000 < pool.window_ms {
        at_us += random.random_range(0..2 * gap * 1_000);
        let team = random.random_range(0..21_u32);
        let (class, kind, tasks, cores, seconds) = match random.random_range(0..100) {
            0..10 => (
                Class::Urgent,
                JobKind::Batch,
                1,
                random.random_range(1..9),
                2..10_u64,
            ),
            10..60 => (
                Class::Normal,
                JobKind::Batch,
                1,
                random.random_range(1..5),
                30..120,
            ),
            60..95 => (
                Class::Patient,
                JobKind::Batch,
                1,
                random.random_range(4..17),
                300..600,
            ),
            _ => (Class::Normal, JobKind::Gang, 8, 4, 120..300),
        };
        let run_ms = random.random_range(seconds) * 1_000;
        let declared = match (declared_off, team % 3) {
            (true, 0) => run_ms * 3,
            (true, 1) => run_ms / 3,
            _ => run_ms,
        };
        let spec = JobSpec {
            team: TeamId::new(format!("t{team}")),
            name: format!("{class:?}{kind:?}").into(),
            kind,
            class,
            tasks,
            resources: Resources {
                cpu_millis: cores * 1_000,
                memory_bytes: cores * 2 * GIB,
                accelerators: 0,
            },
            run_time_ms: declared,
            ..JobSpec::default()
        };
        jobs.push(Job {
            at: at_us / 1_000,
            run_ms,
            spec: Rc::new(spec),
        });
    }
    jobs
}
