//! Headroom for urgent work, which less urgent work leaves free.
//!
//! On full workers every urgent task has to wait for a preemption, which takes a worker up to a second. A little free
//! room lets most of them start at once.

use syc_types::Millis;

use crate::Scheduler;
use crate::ids::JobKey;

/// The priority of urgent work.
const URGENT_PRIORITY: u32 = 0;

/// Share of the usual demand of urgent work that is left free, in percent.
const LEVEL_PERCENT: u64 = 40;

/// Upper limit of the headroom as a share of the total capacity, in percent.
const CAPACITY_PERCENT: u64 = 7;

/// Smoothing factor in percent: the share of the current use in each update of the level. Updated every 100 ms, the
/// level adapts within seconds.
const SMOOTHING_PERCENT: u64 = 3;

/// The demand of urgent work and the free capacity, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Headroom {
    /// Moving average of the use by urgent work, in hundredths of the unit.
    level: u64,
    /// Total processor capacity of all workers.
    capacity: u64,
    /// Processor time available on usable workers.
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

    /// Deducts capacity that was given to a started run.
    pub(crate) const fn consume(&mut self, cpu_millis: u64) {
        self.free = self.free.saturating_sub(cpu_millis);
    }
}

impl Scheduler {
    /// Updates the moving average of the use by urgent work.
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

    /// Measures the total and the available capacity at the beginning of a scheduling pass.
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

    /// Returns whether a unit that is not urgent, or is excess, would use up headroom.
    ///
    /// Tasks that fill unused processor time do not. Excess units that the whole capacity could not hold beside the
    /// headroom are exempt, since they would never start.
    pub(crate) fn would_use_headroom(&self, job: JobKey, step: usize) -> bool {
        let job = &self.jobs[job];
        let spec = &job.steps[step].spec;
        let is_urgent = job.spec.policy.priority == URGENT_PRIORITY && !job.is_excess;
        if is_urgent || spec.fills {
            return false;
        }
        let members = u64::from(job.steps[step].members());
        let need = spec.reserved_resources().cpu_millis.saturating_mul(members);
        let target = self.headroom.target();
        if job.is_excess && need.saturating_add(target) > self.headroom.capacity {
            return false;
        }
        self.headroom.free.saturating_sub(need) < target
    }

    /// Returns whether the free capacity beside the headroom covers a demand for processor time.
    pub(crate) const fn has_free_beside_headroom(&self, cpu_millis: u64) -> bool {
        let needed = cpu_millis.saturating_add(self.headroom.target());
        needed <= self.headroom.free
    }
}
