//! Tasks that take down the workers that start them: which task it was, and how it is started until that is known.
//!
//! A worker does not say why it crashed. What had been there long enough before is not suspected, where anything was
//! there that had not. So one crash leaves few suspects, and the next one fewer: suspects of one crash are started
//! apart from each other, and one that two workers have crashed under is started where nothing else can be blamed.

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
use crate::job::StartIntent;
use crate::job::Step;
use crate::job::UnitState;
use crate::units::UnitRef;

/// Of a run that was not isolated, nothing else is blamed only where its worker went silent within this time.
const SUDDEN_SILENCE_MS: u64 = 100;

/// Workers that go silent within this time of each other have done so at one moment.
const SIMULTANEOUS_MS: u64 = 500;

/// Others that go silent at one moment with a worker, from which on something else than a task is the likelier cause: a
/// rack without power, a switch.
const SIMULTANEOUS_OTHERS: usize = 2;

/// Silences of workers that are gone that are remembered: more than go at one moment in a rack.
const SILENCES_LIMIT: usize = 64;

/// Which units of a step may be started now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartableUnits {
    All,
    Only(usize),
    None,
}

impl StartableUnits {
    /// Says whether a unit may be.
    pub(crate) const fn includes(self, unit: usize) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) => only == unit,
            Self::None => false,
        }
    }
}

impl Step {
    /// Clears its tasks in general, once one that was started after they were suspected has not taken its worker
    /// down.
    fn clear_suspicion(&mut self, started_at: Millis) {
        self.suspected_at = self.suspected_at.filter(|at| *at > started_at);
    }
}

impl Scheduler {
    /// Blames what may have taken down a worker that is gone without having said that it leaves.
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
        let is_one_of_many =
            self.count_simultaneous_silences(key, silent_at) >= SIMULTANEOUS_OTHERS;
        self.recent_silences.push_back(silent_at);
        if self.recent_silences.len() > SILENCES_LIMIT {
            self.recent_silences.pop_front();
        }
        let units: BTreeSet<_> = suspects
            .iter()
            .map(|(task, _)| self.unit_key(*task))
            .collect();
        let is_one = units.len() == 1;
        for (task, number) in suspects {
            let run = &self.workers[key].runs[&(task, number)];
            let is_sudden = run.confirmed_ms(silent_at) <= SUDDEN_SILENCE_MS && !is_one_of_many;
            let sole_suspect = is_one && (run.is_isolated() || is_sudden);
            let crash = Crash {
                worker: id.clone(),
                sole_suspect,
                late: !run.is_on_probation(),
                confirmed_ms: run.confirmed_ms(silent_at),
            };
            self.record_task_crash(task, number, crash, now);
        }
    }

    /// Counts the other workers that are silent, or are gone, since the same moment.
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

    /// Names the unit of a task: of a gang, all members are one.
    fn unit_key(&self, task: TaskId) -> (StepId, usize) {
        let unit = self.locate_task(task).map(|(_, _, unit, _)| unit);
        (task.step, unit.unwrap_or(usize::MAX))
    }

    /// Blames what a predecessor had started on a worker that is gone before it told what ran on it.
    fn record_unreported_crash(&mut self, worker: &WorkerId, now: Millis) {
        let mut suspects = Vec::new();
        for key in &self.open_jobs {
            for (index, step) in self.jobs[*key].steps.iter().enumerate() {
                let id = self.step_id(*key, index);
                for (unit_index, unit) in step.units.iter().enumerate() {
                    let before = &unit.placed_before;
                    let members = before.workers.iter().enumerate();
                    let here = members.filter(|(_, at)| at.as_ref() == Some(worker));
                    let tasks = here.map(|(member, _)| step.task_at(id, unit_index, member));
                    // What is suspected was announced before it was started, and isolated as it would be here.
                    let sole_suspect = unit.is_isolated();
                    suspects.extend(tasks.map(|task| (task, before.run, sole_suspect)));
                }
            }
        }
        for (task, run, sole_suspect) in suspects {
            let crash = Crash {
                worker: worker.clone(),
                sole_suspect,
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
        let known = of_job.steps.get(step).map(|step| &step.units[unit].blames);
        let known = known.and_then(|blames| blames.get(&member));
        if of_job.state.is_terminal() || known.is_some_and(|history| history.count.run >= run) {
            return;
        }
        // Room that was found for the others was found for all of them at once.
        for unit in 0..self.jobs[job].steps[step].units.len() {
            self.release_reservation(job, step, unit);
        }
        let of_step = &mut self.jobs[job].steps[step];
        of_step.suspected_at = Some(now);
        let history = of_step.units[unit].blames.entry(member).or_default();
        history.count.run = run;
        history.add(&crash);
        let note = Note::TaskBlamed {
            task,
            worker: crash.worker,
            crashes: history.count.workers,
            alone: crash.sole_suspect,
            present_ms: crash.confirmed_ms,
        };
        self.actions.push(Action::Note(note));
        self.mark_changed(job);
    }

    /// Takes note that a worker lists a run: what has been there for long enough is no longer suspected.
    pub(crate) fn update_probation(&mut self, key: WorkerKey, name: (TaskId, Run), now: Millis) {
        let Some(run) = self.workers[key].runs.get_mut(&name) else {
            return;
        };
        let confirmed_ms = run.confirmed_ms(now);
        let held_since = run.held_since;
        let probation = &mut run.probation;
        let ends = !probation.is_over && confirmed_ms >= probation.limit_ms;
        let is_cleared =
            probation.crashes > 0 && confirmed_ms >= probation.limit_ms.max(RECENT_RUN_MS);
        probation.is_over |= ends;
        if is_cleared {
            probation.crashes = 0;
        }
        if ends {
            self.clear_step(name.0, held_since);
        }
        if is_cleared {
            self.clear_crash_history(name.0);
        }
    }

    /// Takes note that a run did not take its worker down that was started at a time.
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
        if !unit.blames.is_empty() {
            unit.blames.clear();
            self.mark_changed(job);
        }
    }

    /// Returns which units of a step may be started now.
    ///
    /// While its tasks are suspected, that is one at a time, the one first that most workers have crashed under: all
    /// of them may be alike.
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

    /// Says whether some run of a step may still take its worker down.
    fn has_run_on_probation(&self, job: JobKey, step: usize) -> bool {
        let id = self.step_id(job, step);
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let mut runs = worker.runs_of(id);
            runs.any(|(_, run)| run.is_on_probation())
        })
    }

    /// Keeps room for a task that workers crashed under on the worker that has least to lose.
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

    /// Says whether a unit may be started where room is kept for it: of one that is suspected, the store has to know
    /// where. So a successor knows what to blame if a worker crashes under it while nobody is the scheduler.
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

    /// Takes back what was announced of a unit: it is not started there.
    pub(crate) fn retract_announcement(&mut self, place: UnitRef) {
        let of_unit = self.unit_mut(place);
        let Some(announced) = of_unit.start_intent.take() else {
            return;
        };
        of_unit.last_started = announced.previous_run;
        self.mark_changed(place.job);
    }
}
