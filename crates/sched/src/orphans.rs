//! Orphaned runs: runs reported by workers whose jobs have not been read yet.
//!
//! A job can be stored after a successor has read that partition of jobs, and be started by a predecessor that
//! has not noticed yet that it was replaced. Reports of such a run are held until the job is read. If the job
//! were treated as forgotten, the end of the run would be dropped and the task would run again.

use std::collections::BTreeSet;

use syc_types::Millis;

use crate::EndReport;
use crate::JobId;
use crate::Run;
use crate::RunningReport;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::WriteOffReason;
use crate::run_ends::RunTermination;
use crate::worker::UnacknowledgedEnd;
use crate::write_offs::Whereabouts;

/// Placeholder for a change that does not exist yet, so that the end is not acknowledged.
pub(crate) const UNKNOWN_CHANGE: u64 = u64::MAX;

/// The latest report of a worker about a run.
#[derive(Debug, Clone)]
pub(crate) enum RunReport {
    Running(RunningReport),
    Ended(EndReport),
}

impl RunReport {
    pub(crate) const fn task(&self) -> TaskId {
        match self {
            Self::Running(report) => report.task,
            Self::Ended(report) => report.task,
        }
    }

    pub(crate) const fn run(&self) -> Run {
        match self {
            Self::Running(report) => report.run,
            Self::Ended(report) => report.run,
        }
    }
}

/// A run whose job is not known.
#[derive(Debug, Clone)]
pub(crate) struct OrphanedRun {
    pub(crate) worker: WorkerKey,
    pub(crate) report: RunReport,
    reported_at: Millis,
}

impl Scheduler {
    /// Records that everything stored before `asked_at` has been read: a job that is still unknown then was
    /// forgotten or never existed. If it is not called, everything counts as read.
    pub const fn set_jobs_read(&mut self, asked_at: Millis) {
        self.jobs_read_at = asked_at;
    }

    /// Holds a report about a run if its job may not have been read yet. Returns whether it does.
    pub(crate) fn hold_orphan(
        &mut self,
        worker: WorkerKey,
        report: RunReport,
        now: Millis,
    ) -> bool {
        let (task, run) = (report.task(), report.run());
        let job = task.step.job;
        if self.job_keys.contains_key(&job) || now < self.jobs_read_at {
            return false;
        }
        let same = |orphan: &OrphanedRun| {
            let name = (orphan.report.task(), orphan.report.run());
            orphan.worker == worker && name == (task, run)
        };
        self.orphans.retain(|orphan| !same(orphan));
        self.orphans.push(OrphanedRun {
            worker,
            report,
            reported_at: now,
        });
        true
    }

    /// Returns whether a run is held because its job may not have been read yet.
    pub(crate) fn is_orphan(&self, task: TaskId, run: Run) -> bool {
        let mut orphans = self.orphans.iter();
        orphans.any(|orphan| (orphan.report.task(), orphan.report.run()) == (task, run))
    }

    /// Returns the change that covers an end, or [`UNKNOWN_CHANGE`] until its job is known or certainly forgotten.
    pub(crate) fn change_covering_end(&self, job: JobId) -> u64 {
        if let Some(key) = self.job_keys.get(&job) {
            return self.jobs[*key].latest_change;
        }
        let waits = self
            .orphans
            .iter()
            .any(|orphan| orphan.report.task().step.job == job);
        if waits { UNKNOWN_CHANGE } else { 0 }
    }

    /// Applies the held reports about the runs of a job that has just been read.
    pub(crate) fn resolve_orphans(&mut self, id: JobId, now: Millis) {
        let is_of_job = |orphan: &OrphanedRun| orphan.report.task().step.job == id;
        let orphans: Vec<_> = self
            .orphans
            .iter()
            .filter(|s| is_of_job(s))
            .cloned()
            .collect();
        if orphans.is_empty() {
            return;
        }
        self.orphans.retain(|orphan| !is_of_job(orphan));
        self.jobs[self.job_keys[&id]].inherited = true;
        // As during a takeover, the reports are all that is known of the job's runs.
        let was_complete = self.recovery.mark_incomplete();
        for orphan in &orphans {
            self.resolve_orphan(orphan, now);
        }
        self.assign_end_changes(id, now);
        self.recovery.restore_completion(was_complete);
        if was_complete {
            self.stop_incomplete_gangs(now);
        }
    }

    fn resolve_orphan(&mut self, orphan: &OrphanedRun, now: Millis) {
        let (task, run) = (orphan.report.task(), orphan.report.run());
        self.mark_job_started(task.step.job, now);
        let worker = self.workers.get(orphan.worker);
        let is_held = worker.is_some_and(|worker| worker.runs.contains_key(&(task, run)));
        let termination = match &orphan.report {
            RunReport::Running(listed) if is_held => {
                self.adopt_or_stop(orphan.worker, listed, now);
                return;
            }
            RunReport::Running(_) => RunTermination::inferred(WriteOffReason::Absent),
            RunReport::Ended(ended) => RunTermination::from(ended),
        };
        let is_attached = worker.is_some();
        if let RunReport::Ended(ended) = &orphan.report {
            self.note_listed_end(orphan.worker, ended, now);
        }
        if is_attached {
            self.end_run(orphan.worker, task, run, termination, now);
        } else {
            if let Some(reason) = termination.write_off {
                let place = Whereabouts::Attached(orphan.worker);
                self.write_off((task, run), place, reason, now);
            }
            let outcome = termination.outcome();
            self.record_run_end(
                orphan.worker,
                task,
                run,
                outcome,
                termination.checkpoint,
                now,
            );
        }
    }

    /// Discards the runs that were reported before the time up to which all jobs have been read: their jobs do not
    /// exist any more.
    pub(crate) fn discard_orphans(&mut self, now: Millis) {
        let read_at = self.jobs_read_at;
        let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.orphans)
            .into_iter()
            .partition(|orphan| orphan.reported_at < read_at);
        self.orphans = waiting;
        for orphan in over {
            let (task, run) = (orphan.report.task(), orphan.report.run());
            if self.workers.contains_key(orphan.worker) {
                self.stop_run(orphan.worker, task, run, StopReason::Unwanted, now);
            }
            self.assign_end_changes(task.step.job, now);
        }
    }

    /// Allows the ends of a job to be acknowledged once the store has the changes that resulted from them.
    pub(crate) fn assign_end_changes(&mut self, job: JobId, now: Millis) {
        let change = self.change_covering_end(job);
        let is_waiting = |end: &UnacknowledgedEnd| end.job == job && end.change == UNKNOWN_CHANGE;
        let ends = self
            .workers
            .values()
            .flat_map(|worker| &worker.unacknowledged);
        let waiting = ends.filter(|end| is_waiting(end));
        let withheld = waiting.filter(|end| self.is_end_withheld(end.task, end.is_done, now));
        let withheld: BTreeSet<_> = withheld.map(|end| (end.task, end.is_done)).collect();
        for worker in self.workers.values_mut() {
            for end in &mut worker.unacknowledged {
                if is_waiting(end) && !withheld.contains(&(end.task, end.is_done)) {
                    end.change = change;
                }
            }
        }
    }
}
