//! Ends of units whose later start may still be carried out.
//!
//! A task that is started again because its run was presumed lost can still be reported as done, or as failed without an
//! attempt left. A caller must not be told of that, nor may the worker forget it, before it is certain that the later start
//! is not carried out any more. Until then the later run is being stopped.
//!
//! During a takeover, that start may be a predecessor's. A predecessor starts a task again only once the end of its
//! earlier run is stored. An end with a greater number than the stored one therefore rules out any later start. After an end
//! with that number or a smaller one, the next start may be on its way to a worker that has not answered this scheduler.
//! The first answer of a worker suffices: from then on it refuses the predecessor's orders, and it lists what it runs.

use std::collections::BTreeSet;

use syc_types::Millis;

use crate::Action;
use crate::JobState;
use crate::Note;
use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::drain_record::DrainRecord;
use crate::misdirected::MisdirectedRun;
use crate::orphans::UNKNOWN_CHANGE;
use crate::run_ends::UnitRef;
use crate::unit::Outcome;
use crate::unit::UnitState;
use crate::worker::Worker;

impl Scheduler {
    /// Returns whether a start of a unit later than a run may still be carried out.
    pub(crate) fn may_start_after(&self, unit_ref: UnitRef, run: Run, now: Millis) -> bool {
        let unit = &self.jobs[unit_ref.job].steps[unit_ref.step].units[unit_ref.unit];
        if let UnitState::Placed { run: later, .. } | UnitState::Stopping { run: later, .. } =
            &unit.state
            && *later > run
            && self.has_unconfirmed_start(unit_ref, *later)
        {
            return true;
        }
        run <= unit.predecessor_placement.accounted && self.may_be_started_late(unit_ref, now)
    }

    /// Returns whether a worker that has not answered may still carry out a predecessor's start of a unit.
    pub(crate) fn may_be_started_late(&self, unit_ref: UnitRef, now: Millis) -> bool {
        let job = &self.jobs[unit_ref.job];
        if !self.recovery.may_predecessor_orders_arrive() || !job.inherited {
            return false;
        }
        let step = &job.steps[unit_ref.step];
        let unit = &step.units[unit_ref.unit];
        let placement = &unit.predecessor_placement;
        // A start order of a single task goes to one worker, and none follows before its end is stored.
        let is_known = unit.is_located() || unit.last_accounted > placement.accounted;
        if step.members() == 1 && is_known {
            return false;
        }
        if self.recovery.awaits_unattached(placement) || self.recovery.awaits_next_life(placement) {
            return true;
        }
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let may_carry_out = self.may_carry_out_unheard(worker, now);
            let all_recorded = worker.drain_record == DrainRecord::Recorded;
            may_carry_out && placement.may_include(&worker.spec.id, all_recorded)
        })
    }

    /// Returns whether a worker that has not answered may still carry out a predecessor's start.
    fn may_carry_out_unheard(&self, worker: &Worker, now: Millis) -> bool {
        !worker.runs_known && self.unheard_leases_expire_at(worker) > now
    }

    /// Marks a unit as ended, as done or without an attempt left. That is recorded once its later run, which is stopped
    /// wherever it is found, has ended or can't start.
    pub(crate) fn hold_end(&mut self, unit_ref: UnitRef, outcome: Outcome, now: Millis) {
        let step = &mut self.jobs[unit_ref.job].steps[unit_ref.step];
        let member_count = usize::try_from(step.members()).unwrap_or(1);
        let unit = &mut step.units[unit_ref.unit];
        let (run, members) = match &unit.state {
            UnitState::Placed { run, members } | UnitState::Stopping { run, members, .. } => {
                (*run, members.clone())
            }
            _ => {
                let later = unit.predecessor_placement.accounted.next();
                (later, vec![None; member_count])
            }
        };
        let was_pending = unit.state == UnitState::Pending;
        unit.state = UnitState::Stopping {
            run,
            members,
            outcome,
        };
        if was_pending {
            step.pending_units -= 1;
            self.release_reservation(unit_ref.job, unit_ref.step, unit_ref.unit);
        }
        self.held_ends.push(unit_ref);
        let step_id = self.step_id(unit_ref.job, unit_ref.step);
        let step = &self.jobs[unit_ref.job].steps[unit_ref.step];
        self.actions.push(Action::Note(Note::EndHeld {
            task: step.task_at(step_id, unit_ref.unit, 0),
            later_run: run,
            is_done: outcome == Outcome::Done,
        }));
        self.stop_members(unit_ref, run, StopReason::Unwanted, now);
    }

    /// Records the ends of which no later start can be carried out any more.
    pub(crate) fn record_held_ends(&mut self, now: Millis) {
        for unit_ref in std::mem::take(&mut self.held_ends) {
            let Some((run, is_located)) = self.held_run(unit_ref) else {
                continue;
            };
            let may_start = self.may_be_started_late(unit_ref, now)
                || self.has_unconfirmed_start(unit_ref, run);
            if is_located || may_start {
                self.held_ends.push(unit_ref);
                continue;
            }
            self.record_pending_end(unit_ref, run, now);
        }
    }

    /// Records the end of a unit, now that its later run has ended or can't start.
    pub(crate) fn record_pending_end(&mut self, unit_ref: UnitRef, run: Run, now: Millis) {
        let is_done = self.unit_mut(unit_ref).is_completion_pending();
        if !is_done {
            self.end_job(unit_ref.job, JobState::Failed, now);
            return;
        }
        self.record_outcome(unit_ref, run, Outcome::Done, now);
        self.assign_end_changes(self.jobs[unit_ref.job].id(), now);
    }

    /// Returns whether an end must not be acknowledged yet because a later start of its task may still be carried out.
    pub(crate) fn is_end_withheld(&self, task: TaskId, is_done: bool, now: Millis) -> bool {
        let key = self.job_keys.get(&task.step.job);
        let Some(job) = key.map(|key| &self.jobs[*key]) else {
            return false;
        };
        match job.state {
            JobState::Queued | JobState::Running => self.is_end_pending(task),
            JobState::Completed => false,
            JobState::Failed | JobState::Cancelled => {
                is_done && self.may_start_after_job_end(task, now)
            }
        }
    }

    /// Returns whether a task of a job that was ended may still be started by an order that is on its way.
    fn may_start_after_job_end(&self, task: TaskId, now: Millis) -> bool {
        let awaits_orders = self.recovery.may_predecessor_orders_arrive();
        let is_set_aside = |run: &MisdirectedRun| run.name().0.step == task.step;
        let mut workers = self.workers.values();
        self.misdirected.iter().any(is_set_aside)
            || awaits_orders && self.recovery.awaits_any_next_life()
            || workers.any(|worker| {
                let mut runs = worker.runs_of(task.step);
                let is_unanswered = self.may_carry_out_unheard(worker, now);
                awaits_orders && is_unanswered || runs.any(|(_, run)| run.confirmed_at.is_none())
            })
    }

    /// Allows the ends of ended jobs to be acknowledged that no later start is awaited for any more.
    pub(crate) fn release_ends_of_ended_jobs(&mut self, now: Millis) {
        let ends = self
            .workers
            .values()
            .flat_map(|worker| &worker.unacknowledged);
        let withheld = ends.filter(|end| end.is_done && end.change == UNKNOWN_CHANGE);
        let jobs: BTreeSet<_> = withheld.map(|end| end.job).collect();
        for id in jobs {
            let job = self.job_keys.get(&id).map(|key| &self.jobs[*key]);
            if job.is_some_and(|job| job.state.is_terminal()) {
                self.assign_end_changes(id, now);
            }
        }
    }

    /// Holds the ends of units that had no attempt left when a predecessor was lost before it had ended their jobs.
    pub(crate) fn hold_exhausted_units(&mut self, now: Millis) {
        let mut exhausted = Vec::new();
        for (unit_ref, unit) in self.open_units() {
            if !unit.is_done() && self.is_exhausted(unit_ref) {
                exhausted.push(unit_ref);
            }
        }
        for unit_ref in exhausted {
            self.hold_end(unit_ref, Outcome::Exhausted, now);
        }
    }

    /// Returns the run that the end of a unit waits for, and whether a worker is known that reports its end.
    fn held_run(&self, unit_ref: UnitRef) -> Option<(Run, bool)> {
        let job = self.jobs.get(unit_ref.job)?;
        let unit = job.steps.get(unit_ref.step)?.units.get(unit_ref.unit)?;
        if job.state.is_terminal() || !unit.is_end_pending() {
            return None;
        }
        let UnitState::Stopping { run, members, .. } = &unit.state else {
            return None;
        };
        Some((*run, members.iter().any(Option::is_some)))
    }
}
