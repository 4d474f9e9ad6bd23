//! What the end of a run means for its unit: outcomes, failures, gangs that end as a whole.

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
use crate::ids::JobKey;
use crate::job::Outcome;
use crate::job::Unit;
use crate::job::UnitState;
use crate::worker::Phase;

/// Where a unit is: its job, and the positions of its step and of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnitRef {
    pub(crate) job: JobKey,
    pub(crate) step: usize,
    pub(crate) unit: usize,
}

/// How a run ended, by report or by conclusion.
#[derive(Debug, Clone)]
pub(crate) struct RunTermination {
    pub(crate) reason: &'static str,
    pub(crate) end: Option<RunEnd>,
    pub(crate) checkpoint: SmolStr,
}

impl RunTermination {
    pub(crate) const fn inferred(reason: &'static str) -> Self {
        Self {
            reason,
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
            end: Some(report.end),
            checkpoint: report.checkpoint.clone(),
        }
    }
}

impl Scheduler {
    /// Ends a run: its room is free, and its unit takes note of the outcome.
    pub(crate) fn end_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        ending: RunTermination,
        now: Millis,
    ) {
        let worker = &mut self.workers[key];
        let held = worker.remove(task, run);
        match ending.end {
            Some(RunEnd::Done) => worker.consecutive_failures = 0,
            Some(RunEnd::Failed) => worker.consecutive_failures += 1,
            _ => {}
        }
        let worker_id = worker.spec.id.clone();
        self.quarantine_if_failing(key, now);
        let held_ms = held.as_ref().map(|held| now.since(held.held_since));
        let outcome = ending.outcome();
        let mut checkpoint = ending.checkpoint;
        if checkpoint.is_empty() {
            checkpoint = held.map_or_else(SmolStr::default, |held| held.checkpoint);
        }
        let noted_at = self.actions.len();
        let failures = self.record_run_end(key, task, run, outcome, checkpoint, now);
        let note = Note::RunEnded {
            task,
            run,
            worker: worker_id,
            end: ending.reason,
            failures,
            held_ms,
        };
        // An end is told before what follows from it, such as the end of its job.
        self.actions.insert(noted_at, Action::Note(note));
    }

    /// Tells a unit that a member's run has ended. Returns the unit's failed runs.
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
        // A task that lasts is started again however it ends.
        let lasts = job.steps[step_index].spec.long_running;
        let failed_here = outcome == Outcome::Failed;
        let outcome = if lasts { Outcome::Interrupted } else { outcome };
        let step = &mut job.steps[step_index];
        let unit = &mut step.units[unit_index];
        unit.placed_before.mark_ended(member, run);
        let is_closing =
            matches!(unit.state, UnitState::Stopping { run: closing, .. } if closing == run);
        if job.state.is_terminal() {
            return unit.failures;
        }
        let unit_ref = UnitRef {
            job: job_key,
            step: step_index,
            unit: unit_index,
        };
        if outcome == Outcome::Done {
            self.complete_unit(unit_ref, worker, member, run, now);
            return self.unit_mut(unit_ref).failures;
        }
        if run <= unit.last_accounted && !is_closing {
            return self.count_late_failure(unit_ref, run, outcome, now);
        }
        unit.last_started = unit.last_started.max(run);
        if !checkpoint.is_empty() {
            unit.checkpoint = checkpoint;
        }
        // Tasks that last may fail at any time; where one failed says nothing of the next.
        if failed_here && !lasts && !unit.avoided_workers.contains(&worker) {
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
            UnitState::Stopping { members, .. } if is_closing => {
                members[member] = None;
                self.record_member_end(unit_ref, run, outcome, now);
            }
            // A predecessor started it, or a copy of an order that was taken as refused: it ran all the same.
            UnitState::Pending => {
                step.pending_units -= 1;
                self.record_outcome(unit_ref, run, outcome, now);
            }
            // Another run of it goes on. Taken for the end of that one, this end had the task run twice.
            _ => return self.count_late_failure(unit_ref, run, outcome, now),
        }
        self.unit_mut(unit_ref).failures
    }

    /// Takes a unit as done, whichever of its runs was: nothing of it may start once that end is acknowledged.
    ///
    /// An end that is acknowledged only after the lease has lapsed proves nothing.
    fn complete_unit(
        &mut self,
        unit_ref: UnitRef,
        worker: WorkerKey,
        member: usize,
        run: Run,
        now: Millis,
    ) {
        let unit = self.unit_mut(unit_ref);
        if unit.is_done() || run <= unit.last_lapsed {
            return;
        }
        let other = match &unit.state {
            UnitState::Placed { run: placed, .. } if !unit.is_placed_at(worker, member, run) => {
                Some(*placed)
            }
            _ => None,
        };
        if unit.state == UnitState::Pending {
            self.jobs[unit_ref.job].steps[unit_ref.step].pending_units -= 1;
            self.release_reservation(unit_ref.job, unit_ref.step, unit_ref.unit);
        }
        self.record_outcome(unit_ref, run, Outcome::Done, now);
        if let Some(other) = other {
            self.stop_members(unit_ref, other, StopReason::Unwanted, now);
        }
    }

    /// Counts a failure of a run that was taken as ended for another reason: of a gang, the broken
    /// members can be listed before the failed one. Returns the unit's failed runs.
    fn count_late_failure(
        &mut self,
        unit_ref: UnitRef,
        run: Run,
        outcome: Outcome,
        now: Millis,
    ) -> u32 {
        let unit = self.unit_mut(unit_ref);
        if outcome != Outcome::Failed || run <= unit.last_failed || unit.is_done() {
            return unit.failures;
        }
        unit.last_failed = run;
        unit.failures += 1;
        let failures = unit.failures;
        self.mark_changed(unit_ref.job);
        self.fail_if_exhausted(unit_ref, now);
        failures
    }

    /// Begins to end a gang's run, a member of which has ended.
    ///
    /// The outcome is recorded at once, so that the member's worker may forget the end.
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

    /// Takes the end of a further member into account.
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
        // The end of one member breaks the others: the failed one may be listed after them.
        if outcome == Outcome::Failed && *so_far == Outcome::Interrupted {
            *so_far = Outcome::Failed;
            self.count_outcome(unit_ref, run, outcome);
            self.mark_changed(unit_ref.job);
            if self.fail_if_exhausted(unit_ref, now) {
                return;
            }
        }
        if all_ended {
            let change = self.mark_changed(unit_ref.job);
            let outcome = Outcome::Interrupted;
            self.unit_mut(unit_ref).state = UnitState::Recording { outcome, change };
        }
    }

    pub(crate) fn unit_mut(&mut self, unit_ref: UnitRef) -> &mut Unit {
        &mut self.jobs[unit_ref.job].steps[unit_ref.step].units[unit_ref.unit]
    }

    fn count_outcome(&mut self, unit_ref: UnitRef, run: Run, outcome: Outcome) {
        let unit = self.unit_mut(unit_ref);
        unit.last_accounted = unit.last_accounted.max(run);
        unit.last_started = unit.last_started.max(run);
        unit.placed_before.clear_if_older(run);
        if outcome == Outcome::Failed && run > unit.last_failed {
            unit.last_failed = run;
            unit.failures += 1;
        }
    }

    /// Ends the job if a unit of it has failed too often, or surely takes its workers down.
    pub(crate) fn fail_if_exhausted(&mut self, unit_ref: UnitRef, now: Millis) -> bool {
        let limit = self.jobs[unit_ref.job].spec.policy.attempts_limit.max(1);
        let unit = self.unit_mut(unit_ref);
        let is_guilty = unit.exceeds_crash_limit();
        let crashes = unit.crashes();
        let spent = unit.failures >= limit || is_guilty;
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

    /// Notes the outcome of a unit's run; it takes effect once the store has it.
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

    /// Stops what still holds room of a run of a unit.
    fn stop_members(&mut self, unit_ref: UnitRef, run: Run, reason: StopReason, now: Millis) {
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
