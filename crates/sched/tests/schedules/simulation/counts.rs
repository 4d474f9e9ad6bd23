//! Checks the number of waiting jobs that callers are told.

use syc_sched::JobState;

use super::Simulation;
use crate::jobs::QUEUE;

impl Simulation {
    /// Queries the number of waiting jobs, as a caller may at any time.
    pub(super) fn check_count(&mut self) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let mut open = Vec::new();
        for job in &self.jobs[..self.next_job] {
            let id = job.spec.id;
            let ended = scheduler.state_of(id).is_some_and(JobState::is_terminal);
            if !ended && !self.cancelled.contains(&id) {
                open.push(id);
            }
        }
        let said = scheduler.pending_jobs(QUEUE);
        self.fleet.checker.check_waiting_count(said, &open);
    }
}
