//! Applies what [`crate::unsettled_starts`] tells of: what is stored of starts in doubt, which ends wait for them, and where
//! their tasks may be started.

use syc_types::CellTime;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use crate::EndReport;
use crate::JobId;
use crate::JobProgress;
use crate::Run;
use crate::RunEnd;
use crate::Scheduler;
use crate::StartAnswer;
use crate::StartInDoubtProgress;
use crate::TaskId;
use crate::WorkerKey;
use crate::ids::JobKey;
use crate::run_ends::UnitRef;
use crate::unsettled_starts::StartInDoubt;
use crate::worker::EndScope;
use crate::worker::Phase;
use crate::worker::Worker;

impl Scheduler {
    /// Records what the answer to a copy of a start tells, or that there is none. The latter is stored with the job.
    pub(crate) fn settle_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        answer: StartAnswer,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let id = &worker.spec.id;
        if answer != StartAnswer::InDoubt {
            self.unsettled_starts.answered(task, run, id);
            return;
        }
        let until = now.plus(self.options.late_call_ms);
        self.unsettled_starts.unanswered(task, run, id, until);
        if !self.unsettled_starts.may_start_late(task) {
            return;
        }
        let Some(job) = self.job_keys.get(&task.step.job).copied() else {
            return;
        };
        let change = self.mark_changed(job);
        if let Some(run_state) = self.workers[key].runs.get_mut(&(task, run)) {
            run_state.doubt_change = change;
        }
    }

    /// Returns the starts in doubt of a job, to be stored with it.
    pub(crate) fn starts_in_doubt_of(&self, job: JobId, now: Millis) -> Vec<StartInDoubtProgress> {
        let cell_now = self.cell_clock.read(now);
        let in_doubt = self.unsettled_starts.in_doubt_of(job);
        let stored = in_doubt.map(|start| StartInDoubtProgress {
            occurrence: start.task.step.occurrence,
            step: start.task.step.step,
            index: start.task.index,
            run: start.run,
            worker: start.worker.clone(),
            until_cell_ms: cell_now.plus(start.until.since(now)),
        });
        stored.collect()
    }

    /// Marks the units of which the latest start has no answer yet in a record that is about to be stored.
    pub(crate) fn mark_unanswered_starts(
        &self,
        job: JobKey,
        progress: &mut JobProgress,
        now: Millis,
    ) {
        let until = self.cell_clock.read(now).plus(self.options.late_call_ms);
        for (task, run) in self.unsettled_starts.in_flight_of(self.jobs[job].id()) {
            let Some((_job, step, unit, _member)) = self.locate_task(task) else {
                continue;
            };
            let unit = u32::try_from(unit).unwrap_or(u32::MAX);
            let step = progress.steps.get_mut(step);
            let stored = step.and_then(|step| step.units.get_mut(&unit));
            if let Some(stored) = stored.filter(|stored| stored.last_started == run) {
                stored.unanswered_until_cell_ms = Some(until);
            }
        }
    }

    /// Restores the starts in doubt that a predecessor stored with a job.
    pub(crate) fn restore_starts_in_doubt(
        &mut self,
        job: JobId,
        stored: &[StartInDoubtProgress],
        now: Millis,
    ) {
        for start in stored {
            let task = start.task(job);
            let until = if self.may_be_repeated(task, start.run) {
                // The predecessor may have sent the latest copy just now.
                now.plus(self.options.late_call_ms)
            } else {
                self.late_until(start.until_cell_ms, now)
            };
            if until <= now {
                continue;
            }
            let in_doubt = StartInDoubt {
                task,
                run: start.run,
                worker: &start.worker,
                until,
            };
            let room = self.room_of_task(task);
            self.unsettled_starts.restore(in_doubt, room, None);
        }
    }

    /// Returns whether a run has not ended, so that its start may have been repeated.
    fn may_be_repeated(&self, task: TaskId, run: Run) -> bool {
        let located = self.locate_task(task);
        located.is_some_and(|(job, step, unit, _member)| {
            run > self.jobs[job].steps[step].units[unit].last_accounted
        })
    }

    /// Converts the time until which a predecessor's start may be carried out.
    fn late_until(&self, until: CellTime, now: Millis) -> Millis {
        let left_ms = until.since(self.cell_clock.read(now));
        // Cell time stands still while nothing is stored.
        now.plus(left_ms.min(self.options.late_call_ms))
    }

    /// Takes the starts of a predecessor as unsettled that had no answer when it stored them, until their workers list them.
    pub(crate) fn restore_unanswered_starts(&mut self, now: Millis) {
        let mut recorded = Vec::new();
        for (unit_ref, unit) in self.open_units() {
            let placement = &unit.predecessor_placement;
            let Some(unanswered_until) = placement.unanswered_until else {
                continue;
            };
            let until = self.late_until(unanswered_until, now);
            if placement.run <= unit.last_accounted || until <= now {
                continue;
            }
            for (member, worker) in placement.workers.iter().enumerate() {
                if let Some(worker) = worker {
                    let task = self.task_of_member(unit_ref, member);
                    recorded.push((task, placement.run, worker.clone(), until));
                }
            }
        }
        for (task, run, worker, until) in recorded {
            let in_doubt = StartInDoubt {
                task,
                run,
                worker: &worker,
                until,
            };
            let room = self.room_of_task(task);
            self.unsettled_starts.restore(in_doubt, room, Some(1));
        }
    }

    /// Takes the starts of a predecessor as unsettled that it may have given without storing them: the next one of each unit
    /// whose turn has come.
    pub(crate) fn assume_unrecorded_starts(&mut self, now: Millis) {
        let until = now.plus(self.options.late_call_ms);
        let mut unrecorded = Vec::new();
        for (unit_ref, unit) in self.open_units() {
            let job = &self.jobs[unit_ref.job];
            let is_recorded = unit.predecessor_placement.run > unit.last_accounted;
            if !job.inherited || is_recorded || !job.is_ready(unit_ref.step, now) || unit.is_done()
            {
                continue;
            }
            let members = job.steps[unit_ref.step].members();
            for member in 0..usize::try_from(members).unwrap_or(1) {
                let task = self.task_of_member(unit_ref, member);
                unrecorded.push((task, unit.last_accounted.next()));
            }
        }
        let anywhere = WorkerId::new("");
        for (task, run) in unrecorded {
            let in_doubt = StartInDoubt {
                task,
                run,
                worker: &anywhere,
                until,
            };
            self.unsettled_starts
                .restore(in_doubt, Resources::ZERO, Some(1));
        }
    }

    fn task_of_member(&self, unit_ref: UnitRef, member: usize) -> TaskId {
        let step = self.step_id(unit_ref.job, unit_ref.step);
        let of_step = &self.jobs[unit_ref.job].steps[unit_ref.step];
        of_step.task_at(step, unit_ref.unit, member)
    }

    /// Returns what a run of a task takes of a worker; nothing if its job has ended.
    fn room_of_task(&self, task: TaskId) -> Resources {
        let located = self.locate_task(task);
        located.map_or(Resources::ZERO, |(job, step, _unit, _member)| {
            self.jobs[job].steps[step].spec.reserved_resources()
        })
    }

    /// Settles the starts that a listed end proves to be carried out.
    pub(crate) fn settle_by_end(&mut self, key: WorkerKey, ended: &EndReport) {
        let id = &self.workers[key].spec.id;
        self.unsettled_starts.listed(ended.task, ended.run, id);
        let is_gang = self
            .locate_task(ended.task)
            .is_some_and(|(job, step, ..)| self.jobs[job].steps[step].members() > 1);
        if is_gang && ended.end == RunEnd::Done {
            self.unsettled_starts.gang_done(ended.task.step, ended.run);
        }
    }

    /// Returns of which tasks no start may be carried out after an end is acknowledged; none if the end does not count.
    pub(crate) fn scope_of_end(&self, ended: &EndReport) -> Option<EndScope> {
        if !matches!(ended.end, RunEnd::Done | RunEnd::Failed) {
            return None;
        }
        let located = self.locate_task(ended.task);
        let is_single = located
            .is_some_and(|(job, step, _unit, _member)| self.jobs[job].steps[step].members() == 1);
        Some(if is_single {
            EndScope::Task
        } else {
            EndScope::Step
        })
    }

    /// Returns whether a unit has an unsettled start on a known worker, of any member.
    pub(crate) fn has_unsettled_start(&self, job: JobKey, step: usize, unit: usize) -> bool {
        let id = self.step_id(job, step);
        let of_step = &self.jobs[job].steps[step];
        if of_step.members() > 1 {
            return self.unsettled_starts.has_step_on_worker(id);
        }
        let task = of_step.task_at(id, unit, 0);
        self.unsettled_starts.has_task_on_worker(task)
    }

    /// Returns whether a single task with an unsettled start may be started on a worker.
    pub(crate) fn may_start_beside_unsettled(&self, task: TaskId, key: WorkerKey) -> bool {
        let id = &self.workers[key].spec.id;
        self.unsettled_starts.may_start_on(task, id)
    }

    /// Returns what a worker may be sent in addition, so that its next life could hold all starts that it may carry out
    /// before it answers.
    pub(crate) fn room_of_next_life(&self, worker: &Worker) -> Resources {
        let capacity = worker.spec.capacity;
        let Some(in_doubt) = self.room_in_doubt.get(worker.spec.id.name()) else {
            return capacity;
        };
        let mut left = capacity.saturating_sub(in_doubt);
        let unanswered = worker.runs.values();
        for run in unanswered.filter(|run| run.phase == Phase::Starting) {
            left = left.saturating_sub(&run.resources);
        }
        left
    }
}
