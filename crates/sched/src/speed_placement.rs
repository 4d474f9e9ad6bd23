//! Placement by the learned speeds of workers, where these differ clearly: work with little slack goes to fast workers,
//! patient work to slow ones as long as it ends in time there.
//!
//! Only the order of workers that fit anyway changes for single tasks, so none is left idle for it. A gang leaves slow
//! workers aside while it can still end in time on others that could hold it.

use syc_types::Millis;

use crate::Scheduler;
use crate::WorkerKey;
use crate::ids::JobKey;

/// The priority of urgent work.
const URGENT_PRIORITY: u32 = 0;

/// Which workers a task takes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    /// Those that fit best.
    None,
    FastFirst,
    SlowFirst,
}

impl SpeedPreference {
    /// Returns the rank of a worker; the least is preferred.
    pub(crate) const fn rank(self, is_slow: bool) -> u8 {
        match (self, is_slow) {
            (Self::FastFirst, true) | (Self::SlowFirst, false) => 1,
            _ => 0,
        }
    }
}

impl Scheduler {
    /// Returns whether placement regards the speeds of workers at the moment.
    pub(crate) const fn places_by_speed(&self) -> bool {
        self.options.placement_by_speed && self.speeds.is_uneven()
    }

    /// Returns whether a worker is permanently slow.
    pub(crate) fn is_slow_worker(&self, key: WorkerKey) -> bool {
        self.workers[key].speed.is_slow()
    }

    /// Returns which workers the tasks of a step take first.
    pub(crate) fn speed_preference(
        &self,
        job: JobKey,
        step: usize,
        now: Millis,
    ) -> SpeedPreference {
        let of_job = &self.jobs[job];
        if !self.places_by_speed() || of_job.steps[step].spec.long_running {
            return SpeedPreference::None;
        }
        let is_urgent = of_job.spec.policy.priority == URGENT_PRIORITY;
        if self.ends_in_time_on_slow(job, step, now) {
            return if is_urgent {
                SpeedPreference::None
            } else {
                SpeedPreference::SlowFirst
            };
        }
        if is_urgent || self.ends_in_time_on_fast(job, step, now) {
            return SpeedPreference::FastFirst;
        }
        SpeedPreference::None
    }

    /// Returns whether a step that starts now ends in time on slow workers.
    pub(crate) fn ends_in_time_on_slow(&self, job: JobKey, step: usize, now: Millis) -> bool {
        self.ends_in_time(job, step, self.speeds.slow_log(), now)
    }

    /// Returns whether a step that starts now ends in time on workers as fast as the median one.
    pub(crate) fn ends_in_time_on_fast(&self, job: JobKey, step: usize, now: Millis) -> bool {
        self.ends_in_time(job, step, 0.0, now)
    }

    /// Returns whether a gang should be placed on fast workers only, if they can hold it.
    pub(crate) fn gang_avoids_slow(&self, job: JobKey, step: usize, now: Millis) -> bool {
        self.places_by_speed()
            && !self.jobs[job].steps[step].spec.long_running
            && !self.ends_in_time_on_slow(job, step, now)
    }
}
