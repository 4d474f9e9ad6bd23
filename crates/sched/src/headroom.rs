//! Room that patient work leaves free for urgent work.
//!
//! A full pool makes every urgent task wait until something was stopped for it, which takes a worker
//! up to a second; a little free room lets most of them start at once.

use syc_types::Millis;

use crate::Scheduler;
use crate::ids::JobKey;

/// Priority of urgent work.
const URGENT_PRIORITY: u32 = 0;

/// Share of the urgent work's usual room that is left free, in hundredths.
const LEVEL_PERCENT: u64 = 40;

/// Most that is left free of all workers together, in hundredths.
const CAPACITY_PERCENT: u64 = 7;

/// Part of the way that the level moves to the present use each time that it is looked at, in
/// hundredths: with a look every 100 ms it forgets within seconds.
const SMOOTHING_PERCENT: u64 = 3;

/// What urgent work uses, and what is free, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Headroom {
    /// Smoothed use of urgent work, in hundredths of the unit.
    level: u64,
    /// Processor of all workers.
    capacity: u64,
    /// What is free on usable workers.
    free: u64,
}

impl Headroom {
    const fn target(&self) -> u64 {
        let by_level = self.level / 100 * LEVEL_PERCENT / 100;
        let by_capacity = self.capacity * CAPACITY_PERCENT / 100;
        if by_level < by_capacity {
            by_level
        } else {
            by_capacity
        }
    }

    /// Takes note that free room was given away.
    pub(crate) const fn consume(&mut self, cpu_millis: u64) {
        self.free = self.free.saturating_sub(cpu_millis);
    }
}

impl Scheduler {
    /// Looks at how much urgent work there is.
    pub(crate) fn update_headroom_level(&mut self) {
        let mut used = 0;
        for worker in self.workers.values() {
            for run in worker.runs.values() {
                if run.priority == URGENT_PRIORITY {
                    used += run.resources.cpu_millis;
                }
            }
        }
        let level = &mut self.headroom.level;
        *level = (*level * (100 - SMOOTHING_PERCENT) + used * 100 * SMOOTHING_PERCENT) / 100;
    }

    /// Adds up what is free before a look at the waiting tasks.
    pub(crate) fn measure_headroom(&mut self, now: Millis) {
        let mut capacity = 0;
        let mut free = 0;
        for worker in self.workers.values() {
            capacity += worker.spec.capacity.cpu_millis;
            if worker.is_usable(now) {
                free += worker.available().cpu_millis;
            }
        }
        self.headroom.capacity = capacity;
        self.headroom.free = free;
    }

    /// Says whether a patient task would use what is left for urgent work; one that fills what others
    /// leave unused takes nothing of it.
    pub(crate) fn would_use_headroom(&self, job: JobKey, step: usize) -> bool {
        let job = &self.jobs[job];
        let spec = &job.steps[step].spec;
        if job.spec.policy.priority == URGENT_PRIORITY || spec.fills {
            return false;
        }
        let left = self
            .headroom
            .free
            .saturating_sub(spec.reserved_resources().cpu_millis);
        left < self.headroom.target()
    }
}
