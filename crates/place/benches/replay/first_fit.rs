//! Replays over first-fit, for comparison.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use syc_types::Resources;

use crate::workload::GIB;
use crate::workload::Job;
use crate::workload::Pool;
use crate::workload::Result;

/// Places in order of arrival on the first worker with room; what finds none is passed over.
pub fn by_first_fit(pool: Pool, jobs: &[Job]) -> Result {
    let capacity = Resources {
        cpu_millis: pool.cores * 1_000,
        memory_bytes: 128 * GIB,
        accelerators: 0,
    };
    let mut free = vec![capacity; usize::try_from(pool.workers).unwrap_or(0)];
    let mut queue = BTreeSet::new();
    let mut ends = BinaryHeap::new();
    let mut result = Result::new();
    let mut next = 0;
    loop {
        let arrival = jobs.get(next).map_or(u64::MAX, |job| job.at);
        let end = ends.peek().map_or(
            u64::MAX,
            |Reverse((at, ..)): &Reverse<(u64, usize, usize)>| *at,
        );
        let now = arrival.min(end);
        if now >= pool.window_ms {
            return result;
        }
        if end == now {
            let Some(Reverse((_, worker, job))) = ends.pop() else {
                continue;
            };
            free[worker] = free[worker]
                .checked_add(&jobs[job].spec.resources)
                .expect("small");
        } else {
            queue.insert(next);
            next += 1;
        }
        let mut missed: Option<Resources> = None;
        queue.retain(|&number| {
            let job = &jobs[number];
            let need = job.spec.resources;
            if job.spec.tasks == 1 && missed.is_some_and(|least| least.fits_in(&need)) {
                return true;
            }
            let before = free.clone();
            let mut places = Vec::new();
            for _ in 0..job.spec.tasks {
                let Some(worker) = free.iter().position(|room| need.fits_in(room)) else {
                    break;
                };
                free[worker] = free[worker].saturating_sub(&need);
                places.push(worker);
            }
            if places.len() < job.spec.tasks as usize {
                free = before;
                if job.spec.tasks == 1 {
                    missed = Some(need);
                }
                return true;
            }
            for worker in places {
                ends.push(Reverse((now + job.run_ms, worker, number)));
                result.started(job, now, pool);
            }
            false
        });
    }
}
