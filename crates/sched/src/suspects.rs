//! Tasks that crash the workers on which they start: how they are identified, and how they are started until then.
//!
//! A worker does not report why it crashed. Runs that had been there for long enough are not suspected if there were
//! others that had not. So one crash leaves few suspects, and each further crash fewer: suspects of the same crash are
//! started on separate workers, and a task suspected of two crashes is started isolated, so that nothing else can be
//! the cause.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::Note;
use crate::Run;
use crate::Scheduler;
use crate::StepId;
use crate::TaskId;
use crate::WorkerKey;
use crate::crash_history::Crash;
use crate::crash_history::RECENT_RUN_MS;
use crate::ids::JobKey;
use crate::job::Step;
use crate::run_ends::UnitRef;
use crate::unit::StartIntent;
use crate::unit::UnitState;

/// A run that was not isolated counts as the sole suspect only if its worker went silent within this time of
/// confirming it.
const SUDDEN_SILENCE_MS: u64 = 100;

/// Workers whose silences began within this time of each other went silent simultaneously.
const SIMULTANEOUS_MS: u64 = 500;

/// If at least this many other workers go silent simultaneously, a shared cause such as a power loss in a rack or a
/// failed switch is more likely than a task.
const SIMULTANEOUS_OTHERS: usize = 2;

/// Maximum number of remembered silences of lost workers. More than a rack loses at once.
const SILENCES_LIMIT: usize = 64;

/// Which units of a step may be started now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartableUnits {
    All,
    Only(usize),
    None,
}

impl StartableUnits {
    /// Returns whether a unit may be started.
    pub(crate) const fn includes(self, unit: usize) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) => only == unit,
            Self::None => false,
        }
    }
}

impl Step {
    /// Clears the suspicion against the step as a whole, once a run that was started after it arose has not crashed
    /// its worker.
    fn clear_suspicion(&mut self, started_at: Millis) {
        self.suspected_at = self.suspected_at.filter(|at| *at > started_at);
    }
}

impl Scheduler {
    /// Records a crash for the suspects on a worker that is gone, unless the worker had announced that it leaves.
    pub(crate) fn record_worker_crash(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.spec.draining || worker.evacuating {
            return;
        }
        let id = worker.spec.id.clone();
        if !worker.runs_known {
            self.record_unreported_crash(&id, now);
            return;
        }
        let silent_at = if worker.silent {
            worker.silent_since
        } else {
            now
        };
        let suspects = worker.crash_suspects(silent_at);
        let has_shared_cause =
            self.count_simultaneous_silences(key, silent_at) >= SIMULTANEOUS_OTHERS;
        self.recent_silences.push_back(silent_at);
        if self.recent_silences.len() > SILENCES_LIMIT {
            self.recent_silences.pop_front();
        }
        let units: BTreeSet<_> = suspects
            .iter()
            .map(|(task, _)| self.unit_key(*task))
            .collect();
        let is_single_unit = units.len() == 1;
        for (task, number) in suspects {
            let run = &self.workers[key].runs[&(task, number)];
            let is_sudden = run.confirmed_ms(silent_at) <= SUDDEN_SILENCE_MS;
            let is_only_cause = is_single_unit && !has_shared_cause;
            let sole_suspect = is_only_cause && (run.is_isolated() || is_sudden);
            let crash = Crash {
                worker: id.clone(),
                sole_suspect,
                inferred: false,
                late: !run.is_on_probation(),
                confirmed_ms: run.confirmed_ms(silent_at),
            };
            self.record_task_crash(task, number, crash, now);
        }
    }

    /// Counts the other workers, including lost ones, whose silence began simultaneously.
    fn count_simultaneous_silences(&self, key: WorkerKey, silent_at: Millis) -> usize {
        let is_simultaneous =
            |at: Millis| at.since(silent_at).max(silent_at.since(at)) <= SIMULTANEOUS_MS;
        let gone = self
            .recent_silences
            .iter()
            .filter(|at| is_simultaneous(**at))
            .count();
        let others = self.workers.iter().filter(|(other, _)| *other != key);
        let silent =
            others.filter(|(_, worker)| worker.silent && is_simultaneous(worker.silent_since));
        gone + silent.count()
    }

    /// Identifies the unit of a task; all members of a gang share one.
    fn unit_key(&self, task: TaskId) -> (StepId, usize) {
        let unit = self.locate_task(task).map(|(_, _, unit, _)| unit);
        (task.step, unit.unwrap_or(usize::MAX))
    }

    /// Records a crash for what a predecessor had started on a worker that is gone before it reported its runs.
    fn record_unreported_crash(&mut self, worker: &WorkerId, now: Millis) {
        self.recovery.count_unreported_crash();
        let mut suspects = Vec::new();
        for key in &self.open_jobs {
            for (index, step) in self.jobs[*key].steps.iter().enumerate() {
                let id = self.step_id(*key, index);
                for (unit_index, unit) in step.units.iter().enumerate() {
                    let before = &unit.predecessor_placement;
                    let members = before.workers.iter().enumerate();
                    let here = members.filter(|(_, at)| at.as_ref() == Some(worker));
                    let tasks = here.map(|(member, _)| step.task_at(id, unit_index, member));
                    // The predecessor announced suspected tasks before it started them, and isolated them by the same
                    // rule.
                    let sole_suspect = unit.is_isolated();
                    let inferred = unit.silent_run < before.run;
                    suspects.extend(tasks.map(|task| (task, before.run, sole_suspect, inferred)));
                }
            }
        }
        for (task, run, sole_suspect, inferred) in suspects {
            let crash = Crash {
                worker: worker.clone(),
                sole_suspect,
                inferred,
                late: false,
                confirmed_ms: 0,
            };
            self.record_task_crash(task, run, crash, now);
        }
    }

    fn record_task_crash(&mut self, task: TaskId, run: Run, crash: Crash, now: Millis) {
        let Some((job, step, unit, member)) = self.locate_task(task) else {
            return;
        };
        let of_job = &self.jobs[job];
        let known = of_job
            .steps
            .get(step)
            .map(|step| &step.units[unit].crash_histories);
        let known = known.and_then(|crash_histories| crash_histories.get(&member));
        if of_job.state.is_terminal() || known.is_some_and(|history| history.count.run >= run) {
            return;
        }
        // The reservations were chosen together, before this crash was known.
        for unit in 0..self.jobs[job].steps[step].units.len() {
            self.release_reservation(job, step, unit);
        }
        let of_step = &mut self.jobs[job].steps[step];
        of_step.suspected_at = Some(now);
        let history = of_step.units[unit]
            .crash_histories
            .entry(member)
            .or_default();
        history.count.run = run;
        let alone = history.add(&crash);
        let note = Note::TaskBlamed {
            task,
            worker: crash.worker,
            crashes: history.count.workers,
            alone,
            present_ms: crash.confirmed_ms,
        };
        self.actions.push(Action::Note(note));
        self.mark_changed(job);
    }

    /// Notes for a successor that the worker of suspected runs went silent during their probation, so that a crash is
    /// not taken for one that came after they had ended.
    pub(crate) fn note_silence_on_probation(&mut self, key: WorkerKey) {
        let runs = self.workers[key].suspects_on_probation();
        for (task, run) in runs {
            let Some((job, step, unit, _)) = self.locate_task(task) else {
                continue;
            };
            if self.jobs[job].state.is_terminal() {
                continue;
            }
            let unit = &mut self.jobs[job].steps[step].units[unit];
            if unit.silent_run < run {
                unit.silent_run = run;
                self.mark_changed(job);
            }
        }
    }

    /// Retracts such a note once the worker reports the run again.
    pub(crate) fn forget_silence(&mut self, (task, run): (TaskId, Run)) {
        let Some((job, step, unit, _)) = self.locate_task(task) else {
            return;
        };
        if self.jobs[job].state.is_terminal() {
            return;
        }
        let unit = &mut self.jobs[job].steps[step].units[unit];
        if unit.silent_run == run {
            unit.silent_run = Run(0);
            self.mark_changed(job);
        }
    }

    /// Updates the probation of a run that its worker reports. A run that has been there for long enough is no longer
    /// suspected.
    pub(crate) fn update_probation(&mut self, key: WorkerKey, name: (TaskId, Run), now: Millis) {
        let Some(run) = self.workers[key].runs.get_mut(&name) else {
            return;
        };
        let confirmed_ms = run.confirmed_ms(now);
        let held_since = run.held_since;
        let probation = &mut run.probation;
        let ends = !probation.is_over && confirmed_ms >= probation.limit_ms;
        let is_cleared =
            probation.may_clear_history && confirmed_ms >= probation.limit_ms.max(RECENT_RUN_MS);
        probation.is_over |= ends;
        if is_cleared {
            probation.may_clear_history = false;
            probation.crashes = 0;
        }
        if ends {
            self.clear_step(name.0, held_since);
        }
        if is_cleared {
            self.clear_crash_history(name.0);
        }
    }

    /// Records that a run that was started at `started_at` did not crash its worker.
    pub(crate) fn clear_step(&mut self, task: TaskId, started_at: Millis) {
        if let Some((job, step, _, _)) = self.locate_task(task)
            && let Some(of_step) = self.jobs[job].steps.get_mut(step)
        {
            of_step.clear_suspicion(started_at);
        }
    }

    fn clear_crash_history(&mut self, task: TaskId) {
        let Some((job, step, unit, _)) = self.locate_task(task) else {
            return;
        };
        let unit = &mut self.jobs[job].steps[step].units[unit];
        if !unit.crash_histories.is_empty() || unit.possible_crashes > 0 {
            unit.crash_histories.clear();
            unit.possible_crashes = 0;
            self.mark_changed(job);
        }
    }

    /// Returns which units of a step may be started now.
    ///
    /// While the step is suspected, one unit starts at a time, beginning with the one with the most crashes, since all
    /// tasks of a step may have the same fault.
    pub(crate) fn startable_units(&self, job: JobKey, step: usize) -> StartableUnits {
        let of_step = &self.jobs[job].steps[step];
        if of_step.suspected_at.is_none() {
            return StartableUnits::All;
        }
        if self.has_run_on_probation(job, step) {
            return StartableUnits::None;
        }
        let units = of_step.units.iter().enumerate();
        let pending = units.filter(|(_, unit)| unit.state == UnitState::Pending);
        let first = pending.max_by_key(|(index, unit)| {
            let is_expected = unit.reservation.is_some();
            (is_expected, unit.crashes(), Reverse(*index))
        });
        first.map_or(StartableUnits::None, |(index, _)| {
            StartableUnits::Only(index)
        })
    }

    /// Returns whether some run of a step may still crash its worker.
    fn has_run_on_probation(&self, job: JobKey, step: usize) -> bool {
        let id = self.step_id(job, step);
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let mut runs = worker.runs_of(id);
            runs.any(|(_, run)| run.is_on_probation())
        })
    }

    /// Reserves a worker for a suspected task, preferring the one with the least to lose in a crash.
    pub(crate) fn place_suspect(&mut self, place: UnitRef, fitting: &[WorkerKey], now: Millis) {
        let UnitRef { job, step, unit } = place;
        let open = fitting
            .iter()
            .filter(|key| self.workers[**key].may_take_start());
        let least_loaded = open.min_by_key(|key| {
            let worker = &self.workers[**key];
            (worker.has_run_on_probation(), worker.runs.len())
        });
        let Some(worker) = least_loaded.copied() else {
            return;
        };
        self.reserve(job, step, unit, vec![(worker, 1)], now);
        self.place_reserved_task(job, step, unit, now);
    }

    /// Returns whether a unit may be started on the workers reserved for it. The placement of a suspected unit has to
    /// be stored first, so that a successor can attribute a crash that happens while no scheduler is acting. Announces
    /// the placement if that has not been done.
    pub(crate) fn ensure_announced(&mut self, place: UnitRef) -> bool {
        let UnitRef { job, step, unit } = place;
        let of_unit = &self.jobs[job].steps[step].units[unit];
        if of_unit.crashes() == 0 {
            return true;
        }
        if let Some(announced) = of_unit.start_intent {
            return self.jobs[job].recorded_change >= announced.change;
        }
        let before = of_unit.last_started;
        let change = self.mark_changed(job);
        let of_unit = self.unit_mut(place);
        of_unit.last_started = before.max(of_unit.last_accounted).next();
        of_unit.start_intent = Some(StartIntent {
            previous_run: before,
            change,
        });
        false
    }

    /// Retracts the announced placement of a unit that is not started there.
    pub(crate) fn retract_announcement(&mut self, place: UnitRef) {
        let of_unit = self.unit_mut(place);
        let Some(announced) = of_unit.start_intent.take() else {
            return;
        };
        of_unit.last_started = announced.previous_run;
        self.mark_changed(place.job);
    }
}
