//! Runs of jobs that have not been read yet.
//!
//! A job can be stored, and started by a predecessor that does not know of its end yet, after a successor has
//! read that partition of jobs. What a worker tells of such a run waits for the job: taken as a forgotten one's,
//! its end would be dropped, and the task would run once more.

use syc_types::Millis;

use crate::EndReport;
use crate::JobId;
use crate::Run;
use crate::RunningReport;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::units::Ending;

/// Change that stands for one whose number is not known yet: its end is not acknowledged.
const UNKNOWN_CHANGE: u64 = u64::MAX;

/// The last that a worker told of a run.
#[derive(Debug, Clone)]
pub(crate) enum Told {
    Running(RunningReport),
    Ended(EndReport),
}

impl Told {
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

/// A run of a job that is not known.
#[derive(Debug, Clone)]
pub(crate) struct Stray {
    pub(crate) worker: WorkerKey,
    pub(crate) told: Told,
    heard_at: Millis,
}

impl Scheduler {
    /// Takes note that everything that was stored before a time has been read: a job that is not known
    /// then was forgotten, or never was. Without a call, everything counts as read.
    pub const fn set_jobs_read(&mut self, asked_at: Millis) {
        self.jobs_read_at = asked_at;
    }

    /// Keeps what a worker told of a run if its job may only not have been read yet. Says whether it does.
    pub(crate) fn keep_stray(&mut self, worker: WorkerKey, told: Told, now: Millis) -> bool {
        let (task, run) = (told.task(), told.run());
        let job = task.step.job;
        if self.job_keys.contains_key(&job) || now < self.jobs_read_at {
            return false;
        }
        let same = |stray: &Stray| {
            let name = (stray.told.task(), stray.told.run());
            stray.worker == worker && name == (task, run)
        };
        self.strays.retain(|stray| !same(stray));
        self.strays.push(Stray {
            worker,
            told,
            heard_at: now,
        });
        true
    }

    /// Says whether a run is of a job that may only not have been read yet.
    pub(crate) fn is_stray(&self, task: TaskId, run: Run) -> bool {
        let mut strays = self.strays.iter();
        strays.any(|stray| (stray.told.task(), stray.told.run()) == (task, run))
    }

    /// Returns the change that includes an end, once its job is known or surely forgotten.
    pub(crate) fn change_with_end(&self, job: JobId) -> u64 {
        if let Some(key) = self.job_keys.get(&job) {
            return self.jobs[*key].changes;
        }
        let waits = self
            .strays
            .iter()
            .any(|stray| stray.told.task().step.job == job);
        if waits { UNKNOWN_CHANGE } else { 0 }
    }

    /// Takes what was told of the runs of a job that has just been read.
    pub(crate) fn meet_strays(&mut self, id: JobId, now: Millis) {
        let is_of_job = |stray: &Stray| stray.told.task().step.job == id;
        let strays: Vec<_> = self
            .strays
            .iter()
            .filter(|s| is_of_job(s))
            .cloned()
            .collect();
        if strays.is_empty() {
            return;
        }
        self.strays.retain(|stray| !is_of_job(stray));
        self.jobs[self.job_keys[&id]].inherited = true;
        // As while taking over: what is told of the job's runs is all that is known of them.
        let settled = self.recovery.reopen();
        for stray in &strays {
            self.meet_stray(stray, now);
        }
        self.settle_changes(id);
        self.recovery.close_again(settled);
        if settled {
            self.close_torn_gangs(now);
        }
    }

    fn meet_stray(&mut self, stray: &Stray, now: Millis) {
        let (task, run) = (stray.told.task(), stray.told.run());
        self.note_begun(task.step.job);
        let worker = self.workers.get(stray.worker);
        let is_held = worker.is_some_and(|worker| worker.runs.contains_key(&(task, run)));
        let ending = match &stray.told {
            Told::Running(listed) if is_held => {
                self.adopt_or_stop(stray.worker, listed, now);
                return;
            }
            Told::Running(_) => Ending::without_report("absent"),
            Told::Ended(ended) => Ending::from(ended),
        };
        if worker.is_some() {
            self.end_run(stray.worker, task, run, ending, now);
        } else {
            let outcome = ending.outcome();
            self.account(stray.worker, task, run, outcome, ending.checkpoint, now);
        }
    }

    /// Gives up waiting for the jobs of runs that were told of before all that is stored was read.
    pub(crate) fn give_up_strays(&mut self, now: Millis) {
        let read_at = self.jobs_read_at;
        let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.strays)
            .into_iter()
            .partition(|stray| stray.heard_at < read_at);
        self.strays = waiting;
        for stray in over {
            let (task, run) = (stray.told.task(), stray.told.run());
            if self.workers.contains_key(stray.worker) {
                self.stop_run(stray.worker, task, run, StopReason::Unwanted, now);
            }
            self.settle_changes(task.step.job);
        }
    }

    /// Lets the ends of a job be acknowledged once the store has what followed from them.
    fn settle_changes(&mut self, job: JobId) {
        let change = self.change_with_end(job);
        for worker in self.workers.values_mut() {
            let waiting = worker.unacknowledged.iter_mut();
            for end in waiting.filter(|end| end.job == job && end.change == UNKNOWN_CHANGE) {
                end.change = change;
            }
        }
    }
}
