//! Room that patient work leaves free for urgent work.
//!
//! A full pool makes every urgent task wait until something was stopped for it, which takes a worker
//! up to a second; a little free room lets most of them start at once.

use syc_types::Millis;

use crate::Scheduler;
use crate::ids::JobKey;

/// Priority of urgent work.
const URGENT: u32 = 0;

/// Share of the urgent work's usual room that is left free, in hundredths.
const SHARE_OF_LEVEL: u64 = 40;

/// Most that is left free of all workers together, in hundredths.
const SHARE_OF_CAPACITY: u64 = 7;

/// Part of the way that the level moves to the present use each time that it is looked at, in
/// hundredths: with a look every 100 ms it forgets within seconds.
const LEVEL_STEP: u64 = 3;

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
    const fn wanted(&self) -> u64 {
        let of_level = self.level / 100 * SHARE_OF_LEVEL / 100;
        let most = self.capacity * SHARE_OF_CAPACITY / 100;
        if of_level < most { of_level } else { most }
    }

    /// Takes note that free room was given away.
    pub(crate) const fn take(&mut self, cpu_millis: u64) {
        self.free = self.free.saturating_sub(cpu_millis);
    }
}

impl Scheduler {
    /// Looks at how much urgent work there is.
    pub(crate) fn watch_headroom(&mut self) {
        let mut used = 0;
        for worker in self.workers.values() {
            for run in worker.runs.values() {
                if run.priority == URGENT {
                    used += run.resources.cpu_millis;
                }
            }
        }
        let level = &mut self.headroom.level;
        *level = (*level * (100 - LEVEL_STEP) + used * 100 * LEVEL_STEP) / 100;
    }

    /// Adds up what is free before a look at the waiting tasks.
    pub(crate) fn measure_headroom(&mut self, now: Millis) {
        let mut capacity = 0;
        let mut free = 0;
        for worker in self.workers.values() {
            capacity += worker.spec.capacity.cpu_millis;
            if worker.usable(now) {
                free += worker.room().cpu_millis;
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
        if job.spec.policy.priority == URGENT || spec.fills {
            return false;
        }
        let left = self
            .headroom
            .free
            .saturating_sub(spec.reserved_resources().cpu_millis);
        left < self.headroom.wanted()
    }
}
