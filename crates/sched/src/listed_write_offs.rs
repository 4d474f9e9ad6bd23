//! Notices runs that a worker lists after they were taken as over, by this scheduler or by a predecessor.
//!
//! A run that is listed as running although it was taken as over may run beside a later start of its task.

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::EarlierWriteOff;
use crate::EndReport;
use crate::Note;
use crate::Run;
use crate::RunEnd;
use crate::Scheduler;
use crate::TaskId;
use crate::WorkerKey;
use crate::unit::Unit;
use crate::unit::UnitState;

/// A run that a worker lists after it was taken as over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedAfterWriteOff {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: Run,
    /// The worker that lists it.
    pub worker: WorkerId,
    /// How it ended; none if it is still running.
    pub end: Option<RunEnd>,
    /// The later start of its task, if there is one.
    pub later_run: Option<Run>,
    /// The worker of the later start, if that is known and has not ended.
    pub later_worker: Option<WorkerId>,
    /// How it was taken as over; none if a predecessor did so, or if that is not remembered any more.
    pub earlier: Option<EarlierWriteOff>,
    /// Time since it was taken as over; none without `earlier`.
    pub ago_ms: Option<u64>,
}

impl Scheduler {
    /// Logs a run that a worker lists as running and that is not wanted, if it was taken as over before.
    ///
    /// From then on the scheduler holds the run, so that this is called once until it is taken as over again.
    pub(crate) fn note_listed_run(&mut self, key: WorkerKey, task: TaskId, run: Run, now: Millis) {
        let is_remembered = self.write_offs.get(task, run).is_some();
        if is_remembered || self.was_accounted_while_running(key, task, run) {
            self.note_listed(key, (task, run), None, now);
        }
    }

    /// Logs an end of a run that the scheduler does not hold, if that was taken as over before.
    pub(crate) fn note_listed_end(&mut self, key: WorkerKey, ended: &EndReport, now: Millis) {
        let is_remembered = self.write_offs.get(ended.task, ended.run).is_some();
        if is_remembered || self.was_accounted_otherwise(ended) {
            self.note_listed(key, (ended.task, ended.run), Some(ended.end), now);
        }
    }

    fn note_listed(
        &mut self,
        key: WorkerKey,
        (task, run): (TaskId, Run),
        end: Option<RunEnd>,
        now: Millis,
    ) {
        let Some(worker) = self.name_of(key) else {
            return;
        };
        let earlier = self.write_offs.get(task, run).cloned();
        let (later_run, later_worker) = self.later_start(key, task, run);
        let note = Note::ListedAfterWriteOff(Box::new(ListedAfterWriteOff {
            task,
            run,
            worker,
            end,
            later_run,
            later_worker,
            ago_ms: earlier.as_ref().map(|it| now.since(it.written_off_at)),
            earlier,
        }));
        self.actions.push(Action::Note(note));
    }

    /// Returns whether a run that is still running counts as ended although no worker can have reported its end.
    ///
    /// A gang counts as ended with the first of its members, and the others are listed until they are stopped.
    fn was_accounted_while_running(&self, key: WorkerKey, task: TaskId, run: Run) -> bool {
        let Some((unit, member, is_gang)) = self.unit_of_open_job(task) else {
            return false;
        };
        let before = &unit.predecessor_placement;
        // An end that this scheduler was told of one member says nothing about the others.
        let accounted = if is_gang {
            before.accounted
        } else {
            unit.last_accounted
        };
        if run > accounted || unit.is_done() {
            return false;
        }
        let recorded = before.workers.get(member).and_then(Option::as_ref);
        let id = self.workers.get(key).map(|worker| &worker.spec.id);
        let is_recorded_member = run == before.run && recorded.is_some() && recorded == id;
        !is_gang || !is_recorded_member && !unit.is_stopping_at(key, member, run)
    }

    /// Returns whether a run of a single task counts as ended in another way than its worker reports now. Other ends may
    /// have been stored by a predecessor that did not acknowledge them.
    fn was_accounted_otherwise(&self, ended: &EndReport) -> bool {
        let Some((unit, _member, is_gang)) = self.unit_of_open_job(ended.task) else {
            return false;
        };
        if is_gang || ended.run > unit.last_accounted || unit.is_done() || unit.is_end_pending() {
            return false;
        }
        let is_counted = ended.run <= unit.failed_before || unit.failed_runs.contains(&ended.run);
        match ended.end {
            RunEnd::Done => true,
            RunEnd::Failed => !is_counted,
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => false,
        }
    }

    fn later_start(
        &self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
    ) -> (Option<Run>, Option<WorkerId>) {
        let Some((unit, member, _is_gang)) = self.unit_of_open_job(task) else {
            return (None, None);
        };
        match &unit.state {
            UnitState::Placed {
                run: later,
                members,
            }
            | UnitState::Stopping {
                run: later,
                members,
                ..
            } if *later != run || members[member].is_some_and(|at| at != key) => {
                let worker = members[member].and_then(|at| self.name_of(at));
                (Some(*later), worker)
            }
            _ => {
                let later = Some(unit.last_started).filter(|later| *later > run);
                (later, None)
            }
        }
    }

    /// Returns the unit of a task, its member and whether it is a gang, unless the job has ended.
    fn unit_of_open_job(&self, task: TaskId) -> Option<(&Unit, usize, bool)> {
        let (job, step, unit, member) = self.locate_task(task)?;
        let job = &self.jobs[job];
        if job.state.is_terminal() {
            return None;
        }
        let step = &job.steps[step];
        Some((&step.units[unit], member, step.members() > 1))
    }
}
