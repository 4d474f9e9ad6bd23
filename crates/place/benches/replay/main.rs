//! Replays seeded arrivals in virtual time over the pure decisions, against first-fit.

mod first_fit;
mod owner;
mod workload;

use std::time::Instant;

use syc_place::History;

use crate::first_fit::by_first_fit;
use crate::owner::by_owner;
use crate::workload::CLASSES;
use crate::workload::Job;
use crate::workload::Pool;
use crate::workload::Result;
use crate::workload::jobs;

fn show(pool: Pool, method: &str, jobs: &[Job], result: &Result, began: Instant) {
    let mut volume = 0;
    for job in jobs {
        let ran = job.run_ms.min(pool.window_ms.saturating_sub(job.at));
        volume += u128::from(job.spec.resources.cpu_millis)
            * u128::from(job.spec.tasks)
            * u128::from(ran);
    }
    let all = u128::from(pool.workers * pool.cores * 1_000) * u128::from(pool.window_ms);
    let share = result.granted * 1_000 / volume.min(all).max(1);
    print!(
        "{:8} {method:22} packing {}.{}%",
        pool.name,
        share / 10,
        share % 10
    );
    for (class, waits) in CLASSES.iter().zip(&result.waits) {
        print!(
            "  {class:?} n={} p50 {} p99 {} ms",
            waits.len(),
            waits.value_at_quantile(0.5),
            waits.value_at_quantile(0.99)
        );
    }
    println!("  ({} ms)", began.elapsed().as_millis());
}

fn main() {
    let derwent = Pool {
        name: "Derwent",
        workers: 50,
        cores: 32,
        window_ms: 3_600_000,
        waiting: 3,
        packing: 1,
    };
    let forages = Pool {
        name: "Forages",
        workers: 50,
        cores: 64,
        window_ms: 3_600_000,
        waiting: 1,
        packing: 3,
    };
    let letter = Pool {
        name: "990",
        workers: 990,
        cores: 64,
        window_ms: 600_000,
        waiting: 1,
        packing: 1,
    };
    for pool in [derwent, forages, letter] {
        let exact = jobs(pool, false);
        let off = jobs(pool, true);
        let began = Instant::now();
        show(
            pool,
            "first-fit",
            &exact,
            &by_first_fit(pool, &exact),
            began,
        );
        let runs = [
            ("owner, exact", &exact, true),
            ("owner, 3x off, learns", &off, true),
            ("owner, 3x off, as said", &off, false),
        ];
        for (method, jobs, learns) in runs {
            let history = if learns {
                History::default()
            } else {
                History::ignoring()
            };
            let began = Instant::now();
            show(pool, method, jobs, &by_owner(pool, jobs, history), began);
        }
    }
}
