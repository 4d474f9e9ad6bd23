//! Decisions a second and the slowest hundredth, by index and by full scan, in one run.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_place::Ledger;
use syc_place::Tier;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_types::JobId;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_types::Zone;
use uuid::Uuid;

/// Tasks that run while decisions are made.
const RUNNING: u32 = 13_000;

/// Decisions of each kind.
const DECISIONS: u32 = 30_000;

/// Longest time that each kind is measured.
const LIMIT: Duration = Duration::from_secs(4);

/// Longest decision that is told apart.
const LONGEST_NS: u64 = 1_000_000_000;

type Choose = fn(&Ledger, &Resources) -> Option<WorkerKey>;

fn main() {
    println!("workers choice decisions_per_s p50_us p99_us max_us");
    for workers in [50, 990, 10_000] {
        measure(workers, "index", |ledger, need| {
            ledger.best_fit_in(need, Tier::Ordinary)
        });
        measure(workers, "scan", |ledger, need| {
            ledger.best_fit_by_scan(need, Tier::Ordinary)
        });
    }
}

fn measure(workers: u32, name: &str, choose: Choose) {
    let mut random = SmallRng::seed_from_u64(7);
    let mut ledger = ledger(workers);
    let mut running = Vec::new();
    for number in 0..RUNNING {
        let need = need(&mut random, workers);
        if let Some(key) = ledger.best_fit_in(&need, Tier::Ordinary) {
            let granted = ledger.grant_in(task(number), key, need, Tier::Ordinary);
            running.extend(granted.ok().map(|()| task(number)));
        }
    }
    let mut times = Histogram::<u64>::new_with_max(LONGEST_NS, 3).expect("histogram");
    let began = Instant::now();
    let mut decided = 0;
    while decided < DECISIONS && began.elapsed() < LIMIT {
        let ended = running.swap_remove(random.random_range(0..running.len()));
        let need = need(&mut random, workers);
        let next = task(RUNNING + decided);
        let start = Instant::now();
        ledger.release(ended);
        if let Some(key) = choose(&ledger, &need) {
            let granted = ledger.grant_in(next, key, need, Tier::Ordinary);
            running.extend(granted.ok().map(|()| next));
        }
        let took = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times.saturating_record(took);
        decided += 1;
    }
    let total_ns: f64 = times.mean() * f64::from(decided);
    let micros = |quantile| {
        f64::from(u32::try_from(times.value_at_quantile(quantile)).unwrap_or(u32::MAX)) / 1_000.0
    };
    println!(
        "{workers} {name} {:.0} {:.2} {:.2} {:.2}",
        f64::from(decided) / total_ns * 1e9,
        micros(0.5),
        micros(0.99),
        micros(1.0),
    );
}

fn ledger(workers: u32) -> Ledger {
    let mut ledger = Ledger::new();
    ledger.set_headroom(50);
    for number in 0..workers {
        ledger.upsert_worker(WorkerInfo {
            id: WorkerId::new(format!("worker-{number}")),
            address: "127.0.0.1:1".into(),
            zone: Zone::new(format!("zone-{}", number / 8 % 5)),
            rack: RackId::new(format!("rack-{}", number / 8)),
            capacity: Resources {
                cpu_millis: 64_000,
                memory_bytes: 256 << 30,
                accelerators: (number % 2) * 4,
            },
        });
    }
    ledger
}

/// Sizes whose sum fills about nine tenths of the workers.
fn need(random: &mut SmallRng, workers: u32) -> Resources {
    let mean_cpu = u64::from(workers) * 64_000 * 9 / 10 / u64::from(RUNNING);
    let mean_memory = u64::from(workers) * (256 << 30) * 8 / 10 / u64::from(RUNNING);
    Resources {
        cpu_millis: random
            .random_range(mean_cpu / 4..mean_cpu * 7 / 4)
            .min(60_000),
        memory_bytes: random
            .random_range(mean_memory / 4..mean_memory * 7 / 4)
            .min(240 << 30),
        accelerators: u32::from(random.random_ratio(1, 20)),
    }
}

fn task(number: u32) -> TaskRef {
    TaskRef {
        job_id: JobId(Uuid::from_u128(u128::from(number / 4))),
        index: number % 4,
    }
}
