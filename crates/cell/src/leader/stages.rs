//! Metrics of the time jobs spend in each stage, by queue, and the log lines about single runs.

use syc_obs::Stage;
use syc_sched::JobId;
use syc_sched::Note;
use syc_sched::Run;
use syc_sched::StartOrder;
use syc_sched::WriteOff;

use crate::clock::now;
use crate::leader::Leader;
use crate::log;
use crate::ports::Platform;

/// Ends of runs that are no failure.
const USUAL_ENDS: [&str; 2] = ["done", "stopped"];

impl<P> Leader<P>
where
    P: Platform,
{
    /// Records how long a job spent in a stage.
    pub(super) fn record_stage(&self, job: JobId, stage: Stage, time_ms: u64) {
        let scheduler = self.scheduler.borrow();
        // A job that has already been forgotten has no queue to attribute the time to.
        if let Some(queue) = scheduler.queue_of(job) {
            self.node.metrics.stage(queue, stage, time_ms);
        }
    }

    /// Records how long a task waited for its first run.
    pub(super) fn record_room_stage(&self, order: &StartOrder) {
        if order.run == Run(1) && order.retries == 0 {
            self.record_stage(order.task.step.job, Stage::Room, order.ready_ms);
        }
    }

    /// Records how far the waits of the jobs that have started were from the predicted ones.
    pub(super) fn record_wait_errors(&self) {
        let errors = self.scheduler.borrow_mut().take_wait_errors();
        for error in errors {
            let (predicted_ms, seen_ms) = (error.predicted_ms, error.seen_ms);
            let metrics = &self.node.metrics;
            metrics.wait_error(&error.queue, predicted_ms, seen_ms);
        }
    }

    /// Records the durations contained in scheduler notes, and counts the runs that were missing or taken as over.
    pub(super) fn record_note_metrics(&self, note: &Note) {
        match note {
            Note::RunEnded {
                task,
                held_ms: Some(held_ms),
                ..
            } => self.record_stage(task.step.job, Stage::Run, *held_ms),
            Note::JobEnded { job, after_ms, .. } => {
                self.record_stage(*job, Stage::Whole, *after_ms);
            }
            Note::RunMissing { found, .. } => self.node.metrics.missing_run(found),
            Note::RunWrittenOff(write_off) => {
                let reason = write_off.reason.as_str();
                self.node.metrics.written_off_run(reason);
            }
            Note::ListedAfterWriteOff(listed) => {
                let is_running = listed.end.is_none();
                self.node.metrics.listed_after_write_off(is_running);
            }
            _ => {}
        }
    }

    /// Returns whether lines about single runs of a job are written now.
    pub(super) fn logs_runs_of(&self, job: JobId) -> bool {
        self.task_lines.borrow_mut().admits(job, now())
    }

    /// Logs a note of the scheduler. Runs that went as usual are logged of a share of the jobs only.
    pub(super) fn log_note(&self, note: &Note) {
        let usual_run = match note {
            Note::RunEnded { task, end, .. } if USUAL_ENDS.contains(end) => Some(task),
            Note::Adopted { task, .. } => Some(task),
            Note::RunWrittenOff(write_off) if !write_off.reason.is_loss() => Some(&write_off.task),
            _ => None,
        };
        if usual_run.is_none_or(|task| self.logs_runs_of(task.step.job)) {
            match note {
                Note::RunWrittenOff(write_off) => self.log_write_off(write_off),
                _ => log::note(note),
            }
        }
    }

    fn log_write_off(&self, write_off: &WriteOff) {
        let link = write_off.key.and_then(|key| self.link_to(key));
        let clock_age_ms = link.as_ref().and_then(|link| link.clock_age_ms());
        let lease = link.and_then(|link| link.trace.last_lease());
        log::run_written_off(write_off, clock_age_ms, lease, self.token);
    }
}
