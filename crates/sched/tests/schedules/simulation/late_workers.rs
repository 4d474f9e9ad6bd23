//! Workers that join late, for jobs that may run on too few of those that are left.
//!
//! Advice denies each step one in five consecutive slots. After crashes and restarts, the workers that are left can be in
//! slots most of which a step is denied, and no scheduler can start it then.

use syc_sched::JobState;
use syc_sched::StepId;
use syc_sched::StepSpec;

use super::Simulation;
use super::WORKERS;
use super::orders::is_allowed;
use crate::jobs::GeneratedJob;

/// Time by which each job has ended that enough workers may run.
const LATE_WORKERS_AT_MS: u64 = 120_000;

impl Simulation {
    /// Starts workers in consecutive slots if a job waits for workers that may run it, and notes the jobs that have not
    /// ended for another reason.
    pub(super) fn add_late_workers(&mut self) {
        if self.now.0 != LATE_WORKERS_AT_MS {
            return;
        }
        let mut needs_workers = false;
        let mut stood_still = Vec::new();
        for (id, _, stored) in self.unexpected_states() {
            if stored.is_some_and(JobState::is_terminal) {
                continue;
            }
            let Some(job) = self.jobs.iter().find(|job| job.spec.id == id) else {
                continue;
            };
            if self.lacks_allowed_workers(job) {
                needs_workers = true;
            } else {
                stood_still.push((id, stored));
            }
        }
        self.stood_still = stood_still;
        if needs_workers {
            for _ in 0..WORKERS {
                self.start_worker_on_new_vm();
            }
        }
    }

    /// Returns whether a job waits only for workers that may run it: each of its steps whose turn has come has no room on
    /// those that may, even if nothing else runs on them.
    fn lacks_allowed_workers(&self, job: &GeneratedJob) -> bool {
        let mut lacking = 0;
        for (index, spec) in (0..).zip(&job.spec.steps) {
            let step = StepId {
                job: job.spec.id,
                occurrence: 0,
                step: index,
            };
            let is_done = |step| self.fleet.checker.is_step_done(step);
            let may_start = |after: &u16| {
                is_done(StepId {
                    step: *after,
                    ..step
                })
            };
            if is_done(step) || !spec.after.iter().all(may_start) {
                continue;
            }
            let needed = if spec.gang { u64::from(spec.tasks) } else { 1 };
            if job.spec.policy.advice.is_none() || self.allowed_room(step, spec) >= needed {
                return false;
            }
            lacking += 1;
        }
        lacking > 0
    }

    /// Returns how many tasks of a step the workers that may run it can hold if nothing else runs on them.
    fn allowed_room(&self, step: StepId, spec: &StepSpec) -> u64 {
        let mut room = 0;
        for (id, incarnation) in &self.registered {
            if self.fleet.workers.contains_key(id) && is_allowed(step, Some(incarnation)) {
                room += incarnation.cores * 1_000 / spec.resources.cpu_millis;
            }
        }
        room
    }
}
