//! Applies the end of a run to its unit: outcomes, failure counts and gangs, which end as a whole.

use smol_str::SmolStr;
use syc_types::Millis;

use crate::Action;
use crate::EndReport;
use crate::JobState;
use crate::Note;
use crate::Run;
use crate::RunEnd;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::WriteOffReason;
use crate::ids::JobKey;
use crate::unit::Outcome;
use crate::unit::Unit;
use crate::unit::UnitState;
use crate::worker::Phase;
use crate::worker::WorkerRun;
use crate::write_offs::Whereabouts;

/// Refers to a unit by its job and the indexes of its step and of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnitRef {
    pub(crate) job: JobKey,
    pub(crate) step: usize,
    pub(crate) unit: usize,
}

/// How a run ended, as its worker reported it or as it was inferred without a report.
#[derive(Debug, Clone)]
pub(crate) struct RunTermination {
    pub(crate) reason: &'static str,
    /// Why it is taken as over without a report.
    pub(crate) write_off: Option<WriteOffReason>,
    pub(crate) end: Option<RunEnd>,
    pub(crate) checkpoint: SmolStr,
}

impl RunTermination {
    pub(crate) const fn inferred(reason: WriteOffReason) -> Self {
        Self {
            reason: reason.as_str(),
            write_off: Some(reason),
            end: None,
            checkpoint: SmolStr::new_static(""),
        }
    }

    pub(crate) const fn outcome(&self) -> Outcome {
        match self.end {
            Some(RunEnd::Done) => Outcome::Done,
            Some(RunEnd::Failed) => Outcome::Failed,
            _ => Outcome::Interrupted,
        }
    }
}

impl From<&EndReport> for RunTermination {
    fn from(report: &EndReport) -> Self {
        Self {
            reason: report.end.as_str(),
            write_off: None,
            end: Some(report.end),
            checkpoint: report.checkpoint.clone(),
        }
    }
}

impl Scheduler {
    /// Returns all units of the jobs that have not ended.
    pub(crate) fn open_units(&self) -> impl Iterator<Item = (UnitRef, &Unit)> {
        let jobs = self.open_jobs.iter().copied();
        let steps = jobs.flat_map(|job| {
            let steps = self.jobs[job].steps.iter().enumerate();
            steps.map(move |(step, of_step)| (job, step, of_step))
        });
        steps.flat_map(|(job, step, of_step)| {
            let units = of_step.units.iter().enumerate();
            units.map(move |(unit, of_unit)| (UnitRef { job, step, unit }, of_unit))
        })
    }

    /// Ends a run: releases its resources and applies the outcome to its unit.
    pub(crate) fn end_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        termination: RunTermination,
        now: Millis,
    ) {
        if let Some(reason) = termination.write_off {
            self.write_off((task, run), Whereabouts::Attached(key), reason, now);
        }
        let worker = &mut self.workers[key];
        let held = worker.remove(task, run);
        match termination.end {
            Some(RunEnd::Done) => worker.consecutive_failures = 0,
            Some(RunEnd::Failed) => worker.consecutive_failures += 1,
            _ => {}
        }
        let worker_id = worker.spec.id.clone();
        if let (Some(RunEnd::Done), Some(held)) = (termination.end, &held) {
            self.learn_from_end(key, task, held, now);
        }
        self.quarantine_if_failing(key, now);
        let held_ms = held.as_ref().map(|held| now.since(held.held_since));
        let outcome = termination.outcome();
        let mut checkpoint = termination.checkpoint;
        if checkpoint.is_empty() {
            checkpoint = held.map_or_else(SmolStr::default, |held| held.checkpoint);
        }
        let noted_at = self.actions.len();
        let failures = self.record_run_end(key, task, run, outcome, checkpoint, now);
        let note = Note::RunEnded {
            task,
            run,
            worker: worker_id,
            end: termination.reason,
            failures,
            held_ms,
        };
        // Logged before its consequences, such as the end of the job.
        self.actions.insert(noted_at, Action::Note(note));
    }

    /// Applies the end of a member's run to its unit. Returns the unit's number of failed runs.
    pub(crate) fn record_run_end(
        &mut self,
        worker: WorkerKey,
        task: TaskId,
        run: Run,
        outcome: Outcome,
        checkpoint: SmolStr,
        now: Millis,
    ) -> u32 {
        let Some((job_key, step_index, unit_index, member)) = self.locate_task(task) else {
            return 0;
        };
        let job = &mut self.jobs[job_key];
        // A long-running task is restarted however it ends.
        let is_long_running = job.steps[step_index].spec.long_running;
        let failed_here = outcome == Outcome::Failed;
        let outcome = if is_long_running {
            Outcome::Interrupted
        } else {
            outcome
        };
        let step = &mut job.steps[step_index];
        let unit = &mut step.units[unit_index];
        let was_named = unit.predecessor_placement.mark_ended(member, run);
        let is_stopping = unit.is_stopping_at(worker, member, run);
        if job.state.is_terminal() {
            return unit.failures;
        }
        if was_named {
            // The end must not be acknowledged before the store names the worker no more: a successor would lay its next
            // crash to this task.
            self.mark_changed(job_key);
        }
        let job = &mut self.jobs[job_key];
        let step = &mut job.steps[step_index];
        let unit = &mut step.units[unit_index];
        let unit_ref = UnitRef {
            job: job_key,
            step: step_index,
            unit: unit_index,
        };
        if outcome == Outcome::Done {
            self.complete_unit(unit_ref, worker, member, run, now);
            return self.unit_mut(unit_ref).failures;
        }
        if run <= unit.last_accounted && !is_stopping {
            return self.count_late_failure(unit_ref, run, outcome, now);
        }
        unit.last_started = unit.last_started.max(run);
        if !checkpoint.is_empty() {
            unit.checkpoint = checkpoint;
        }
        // A long-running task may fail at any time, so a failure says nothing about its worker.
        if failed_here && !is_long_running && !unit.avoided_workers.contains(&worker) {
            unit.avoided_workers.push(worker);
        }
        let is_placed = unit.is_placed_at(worker, member, run);
        match &mut unit.state {
            UnitState::Placed { members, .. } if is_placed => {
                members[member] = None;
                if members.iter().all(Option::is_none) {
                    self.record_outcome(unit_ref, run, outcome, now);
                } else {
                    let others = members.clone();
                    self.stop_gang(unit_ref, run, outcome, others, now);
                }
            }
            UnitState::Stopping { members, .. } if is_stopping => {
                members[member] = None;
                self.record_member_end(unit_ref, run, outcome, now);
            }
            // The run was started by a predecessor, or by a duplicate of an order that was presumed refused.
            UnitState::Pending => {
                step.pending_units -= 1;
                self.record_outcome(unit_ref, run, outcome, now);
            }
            // Another run is still active. Applying this end to that run caused the task to run twice.
            _ => return self.count_late_failure(unit_ref, run, outcome, now),
        }
        self.unit_mut(unit_ref).failures
    }

    /// Completes a unit, whichever of its runs was done: nothing of it may start once that end is acknowledged.
    ///
    /// The members of a gang end as done together, so one of them completes the gang, even while it is being stopped
    /// because the lease of another member's worker has expired.
    fn complete_unit(
        &mut self,
        unit_ref: UnitRef,
        worker: WorkerKey,
        member: usize,
        run: Run,
        now: Millis,
    ) {
        let unit = self.unit_mut(unit_ref);
        let is_stopping = unit.is_stopping_at(worker, member, run);
        if unit.is_done() || unit.is_completion_pending() && !is_stopping {
            return;
        }
        let other = match &unit.state {
            UnitState::Placed { run: placed, .. } if !unit.is_placed_at(worker, member, run) => {
                Some(*placed)
            }
            UnitState::Stopping { run: stopping, .. } if !is_stopping => Some(*stopping),
            _ => None,
        };
        let was_pending = unit.is_end_pending();
        let accounted = unit.predecessor_placement.accounted;
        if run <= accounted && self.may_be_started_late(unit_ref, now) {
            self.hold_end(unit_ref, Outcome::Done, now);
            return;
        }
        if let Some(other) = other
            && self.has_unconfirmed_start(unit_ref, other)
        {
            self.hold_end(unit_ref, Outcome::Done, now);
            return;
        }
        if self.unit_mut(unit_ref).state == UnitState::Pending {
            self.jobs[unit_ref.job].steps[unit_ref.step].pending_units -= 1;
            self.release_reservation(unit_ref.job, unit_ref.step, unit_ref.unit);
        }
        self.record_outcome(unit_ref, run, Outcome::Done, now);
        if was_pending {
            self.assign_end_changes(self.jobs[unit_ref.job].id(), now);
        }
        if let Some(other) = other {
            self.stop_members(unit_ref, other, StopReason::Unwanted, now);
        }
    }

    /// Returns whether a start order of a unit's run may not have been carried out yet.
    pub(crate) fn has_unconfirmed_start(&self, unit_ref: UnitRef, run: Run) -> bool {
        let step = self.step_id(unit_ref.job, unit_ref.step);
        let step_state = &self.jobs[unit_ref.job].steps[unit_ref.step];
        let is_unconfirmed = |((task, held_run), state): (&(TaskId, Run), &WorkerRun)| {
            let unit = step_state.unit_of(task.index).map(|(unit, _)| unit);
            unit == Some(unit_ref.unit) && *held_run == run && state.confirmed_at.is_none()
        };
        let is_set_aside = self.misdirected.iter().any(|misdirected| {
            let (task, held_run) = misdirected.name();
            let unit = step_state.unit_of(task.index).map(|(unit, _)| unit);
            task.step == step && unit == Some(unit_ref.unit) && held_run == run
        });
        let mut workers = self.workers.values();
        is_set_aside || workers.any(|worker| worker.runs_of(step).any(is_unconfirmed))
    }

    /// Returns whether a task has ended, as done or without an attempt left, and that is not recorded yet because a later
    /// run of it has to end first.
    pub(crate) fn is_end_pending(&self, task: TaskId) -> bool {
        let Some((job, step, unit, _member)) = self.locate_task(task) else {
            return false;
        };
        let job = &self.jobs[job];
        !job.state.is_terminal() && job.steps[step].units[unit].is_end_pending()
    }

    /// Counts a failure of a run whose end was already attributed to another reason: a worker can report the
    /// broken members of a gang before the failed one. Returns the unit's number of failed runs.
    fn count_late_failure(
        &mut self,
        unit_ref: UnitRef,
        run: Run,
        outcome: Outcome,
        now: Millis,
    ) -> u32 {
        let unit = self.unit_mut(unit_ref);
        if outcome != Outcome::Failed
            || unit.is_done()
            || unit.is_completion_pending()
            || !unit.count_failure(run)
        {
            return unit.failures;
        }
        let failures = unit.failures;
        self.mark_changed(unit_ref.job);
        if self.is_exhausted(unit_ref) && self.may_start_after(unit_ref, run, now) {
            self.hold_end(unit_ref, Outcome::Exhausted, now);
        } else {
            self.fail_if_exhausted(unit_ref, now);
        }
        failures
    }

    /// Stops the remaining members of a gang's run after one of them has ended.
    ///
    /// The outcome is recorded immediately, so that the member's worker can discard the end.
    pub(crate) fn stop_gang(
        &mut self,
        unit_ref: UnitRef,
        run: Run,
        outcome: Outcome,
        others: Vec<Option<WorkerKey>>,
        now: Millis,
    ) {
        self.unit_mut(unit_ref).state = UnitState::Stopping {
            run,
            members: others,
            outcome,
        };
        self.count_outcome(unit_ref, run, outcome);
        self.mark_changed(unit_ref.job);
        if !self.fail_if_exhausted(unit_ref, now) {
            self.stop_members(unit_ref, run, StopReason::GangBroken, now);
        }
    }

    /// Applies the end of another member of a gang that is being stopped.
    fn record_member_end(&mut self, unit_ref: UnitRef, run: Run, outcome: Outcome, now: Millis) {
        let unit = self.unit_mut(unit_ref);
        let UnitState::Stopping {
            members,
            outcome: so_far,
            ..
        } = &mut unit.state
        else {
            return;
        };
        let all_ended = members.iter().all(Option::is_none);
        let is_single = members.len() == 1;
        // The failed member may be reported after the members that its failure broke.
        if outcome == Outcome::Failed && *so_far == Outcome::Interrupted {
            *so_far = Outcome::Failed;
            self.count_outcome(unit_ref, run, outcome);
            self.mark_changed(unit_ref.job);
            if self.fail_if_exhausted(unit_ref, now) {
                return;
            }
        }
        if !all_ended {
            // Nor must it be acknowledged before the store has that the member is not there any more.
            self.mark_changed(unit_ref.job);
            return;
        }
        if self.unit_mut(unit_ref).is_end_pending() {
            // A start order of a single task goes to one worker.
            if is_single || !self.may_be_started_late(unit_ref, now) {
                self.record_pending_end(unit_ref, run, now);
            }
            return;
        }
        let change = self.mark_changed(unit_ref.job);
        let outcome = Outcome::Interrupted;
        self.unit_mut(unit_ref).state = UnitState::Recording { outcome, change };
    }

    pub(crate) fn unit_mut(&mut self, unit_ref: UnitRef) -> &mut Unit {
        &mut self.jobs[unit_ref.job].steps[unit_ref.step].units[unit_ref.unit]
    }

    fn count_outcome(&mut self, unit_ref: UnitRef, run: Run, outcome: Outcome) {
        let unit = self.unit_mut(unit_ref);
        unit.last_accounted = unit.last_accounted.max(run);
        unit.last_started = unit.last_started.max(run);
        unit.predecessor_placement.clear_if_older(run);
        if outcome == Outcome::Failed {
            unit.count_failure(run);
        }
    }

    /// Returns whether a unit has used up its attempts.
    pub(crate) fn is_exhausted(&self, unit_ref: UnitRef) -> bool {
        let job = &self.jobs[unit_ref.job];
        let unit = &job.steps[unit_ref.step].units[unit_ref.unit];
        unit.failures >= job.spec.policy.attempts_limit.max(1)
    }

    /// Fails the job if the unit has used up its attempts or is proven to crash its workers.
    pub(crate) fn fail_if_exhausted(&mut self, unit_ref: UnitRef, now: Millis) -> bool {
        let unit = self.unit_mut(unit_ref);
        let is_guilty = unit.exceeds_crash_limit();
        let crashes = unit.crashes();
        let spent = is_guilty || self.is_exhausted(unit_ref);
        if is_guilty {
            let step = self.step_id(unit_ref.job, unit_ref.step);
            let task = self.jobs[unit_ref.job].steps[unit_ref.step].task_at(step, unit_ref.unit, 0);
            let note = Note::TaskAbandoned { task, crashes };
            self.actions.push(Action::Note(note));
        }
        if spent {
            self.end_job(unit_ref.job, JobState::Failed, now);
        }
        spent
    }

    /// Records the outcome of a unit's run, which takes effect once the store has it.
    pub(crate) fn record_outcome(
        &mut self,
        unit_ref: UnitRef,
        run: Run,
        outcome: Outcome,
        now: Millis,
    ) {
        self.count_outcome(unit_ref, run, outcome);
        let change = self.mark_changed(unit_ref.job);
        self.unit_mut(unit_ref).state = UnitState::Recording { outcome, change };
        if outcome == Outcome::Done {
            let steps = &self.jobs[unit_ref.job].steps;
            let all_done = steps
                .iter()
                .all(|step| step.units.iter().all(Unit::is_done));
            if all_done {
                self.end_job(unit_ref.job, JobState::Completed, now);
            }
        } else {
            self.fail_if_exhausted(unit_ref, now);
        }
    }

    /// Stops the members of a unit's run that still hold resources.
    pub(crate) fn stop_members(
        &mut self,
        unit_ref: UnitRef,
        run: Run,
        reason: StopReason,
        now: Millis,
    ) {
        let step = self.step_id(unit_ref.job, unit_ref.step);
        let step_state = &self.jobs[unit_ref.job].steps[unit_ref.step];
        let mut stops = Vec::new();
        for (worker, held) in &self.workers {
            for ((task, held_run), state) in held.runs_of(step) {
                let is_of_unit = step_state
                    .unit_of(task.index)
                    .is_some_and(|(unit, _)| unit == unit_ref.unit);
                if is_of_unit && *held_run == run && state.phase != Phase::Stopping {
                    stops.push((worker, *task));
                }
            }
        }
        for (worker, task) in stops {
            self.stop_run(worker, task, run, reason, now);
        }
    }
}
