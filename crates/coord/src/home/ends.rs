//! What the end of an attempt means for its task.

use syc_types::JobKind;
use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TaskRef;

use super::Home;
use super::Phase;
use crate::Job;
use crate::Jobs;
use crate::TaskState;

/// What to do with the report of an attempt's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndVerdict {
    /// The worker may forget it.
    Forget,
    /// The worker is to keep it, and it is reported again.
    Keep,
    /// The task has ended so; the worker may forget it once the record is in the log.
    Record(TaskOutcome),
    /// The job is not known; the log is to be read to its end before anything is said.
    UnknownJob,
}

impl Home {
    /// Takes in the report that an attempt ended.
    pub fn done(
        &mut self,
        task: TaskRef,
        attempt: u32,
        outcome: &TaskOutcome,
        jobs: &Jobs,
        now: Millis,
    ) -> EndVerdict {
        let Some(job) = jobs.get(task.job_id) else {
            return EndVerdict::UnknownJob;
        };
        let team = &job.spec.team;
        let phase = self.task(team, task).map(|state| &state.phase);
        if matches!(phase, Some(Phase::Placing { .. })) {
            // An offer on its way would start it again at an owner that has forgotten it.
            return EndVerdict::Keep;
        }
        if let Some(TaskState::Ended(_)) = job.tasks.get(task.index as usize) {
            self.remove_task(team, task);
            return EndVerdict::Forget;
        }
        let Some(state) = self.task(team, task) else {
            // Not the home, or not yet.
            return EndVerdict::Keep;
        };
        if attempt < state.attempt {
            return EndVerdict::Forget;
        }
        let failures = state.failures;
        let settled = !matches!(
            state.phase,
            Phase::Unsettled { .. } | Phase::Running { round: Some(_), .. }
        );
        if !settled && !matches!(outcome, TaskOutcome::Done(_)) {
            // The round tells whether a later attempt runs.
            return EndVerdict::Keep;
        }
        if let Some(state) = self.task_mut(team, task) {
            state.attempt = attempt;
        }
        if let Some(pause_step) = self.again(job, outcome, failures) {
            self.start_again(team, task, job, now, pause_step);
            return EndVerdict::Forget;
        }
        self.set_phase(team, task, Phase::Ending);
        EndVerdict::Record(outcome.clone())
    }

    // Returns the number of failures so far if the task is to be started again.
    fn again(&self, job: &Job, outcome: &TaskOutcome, failures: u32) -> Option<u32> {
        if job.spec.kind == JobKind::Service {
            return Some(failures.saturating_add(1));
        }
        if !job.spec.idempotent {
            return None;
        }
        match outcome {
            TaskOutcome::Done(_) => None,
            TaskOutcome::Failed(_) => (failures < self.options.retries).then_some(failures + 1),
            TaskOutcome::Cancelled | TaskOutcome::Unknown => Some(failures),
        }
    }

    /// Takes in that the record of a task's end is in the log.
    pub fn recorded(&mut self, task: TaskRef, jobs: &Jobs, now: Millis) {
        if let Some(job) = jobs.get(task.job_id) {
            self.ended_in_log(&job.spec.team, task, now);
        }
    }
}
