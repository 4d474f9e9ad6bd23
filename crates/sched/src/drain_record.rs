//! Draining workers of which all runs are recorded, so that a successor knows what may run on them.
//!
//! A worker that drains soon leaves, and is then neither registered nor answers. To a successor it looks like a worker that
//! is cut off, on which any task may run that the predecessor had started without recording that. Since a draining worker
//! gets no new starts, the scheduler stores its runs once, and then that it has done so. A successor then knows that no
//! other task can be on such a worker.

use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::Scheduler;
use crate::WorkerKey;
use crate::ids::JobKey;
use crate::run_ends::UnitRef;
use crate::unit::Outcome;
use crate::unit::UnitState;
use crate::worker::Phase;
use crate::worker::WorkerRun;

/// Whether the store names a draining worker for each run that may be on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum DrainRecord {
    /// It does not, or the worker is not draining.
    #[default]
    Incomplete,
    /// It does once these changes of the jobs concerned are stored.
    Writing(Vec<(JobKey, u64)>),
    /// It does.
    Recorded,
}

impl Scheduler {
    /// Restores that a predecessor had recorded all runs of draining workers. Called before
    /// [`Scheduler::begin_recovery`], once the workers are known.
    pub fn restore_drains<'a, I>(&mut self, workers: I)
    where
        I: IntoIterator<Item = &'a WorkerId>,
    {
        for id in workers {
            let key = self.worker_keys.get(id).copied();
            let worker = key.and_then(|key| self.workers.get_mut(key));
            if let Some(worker) = worker.filter(|worker| worker.spec.draining) {
                worker.drain_record = DrainRecord::Recorded;
            }
        }
    }

    pub(crate) fn is_drain_recorded(&self, id: &WorkerId) -> bool {
        let key = self.worker_keys.get(id);
        let worker = key.and_then(|key| self.workers.get(*key));
        worker.is_some_and(|worker| worker.drain_record == DrainRecord::Recorded)
    }

    /// Stores the runs on workers that drain, and then that these are all.
    pub(crate) fn record_drains(&mut self) {
        let mut draining = Vec::new();
        for (key, worker) in &self.workers {
            let is_recorded = worker.drain_record == DrainRecord::Recorded;
            // An end that is not listed yet may be of a run that no scheduler knows of.
            let has_all_ends = worker.all_ends_reported_at >= worker.last_answer_at;
            let is_known = worker.runs_known && has_all_ends;
            if worker.spec.draining && is_known && !is_recorded {
                draining.push(key);
            }
        }
        for key in draining {
            self.record_drain(key);
        }
    }

    fn record_drain(&mut self, key: WorkerKey) {
        let Some(jobs) = self.jobs_to_record(key) else {
            self.workers[key].drain_record = DrainRecord::Incomplete;
            return;
        };
        if let DrainRecord::Writing(changes) = &self.workers[key].drain_record
            && jobs
                .iter()
                .all(|job| changes.iter().any(|(written, _)| written == job))
        {
            let is_stored = |(job, change): &(JobKey, u64)| {
                let job = self.jobs.get(*job);
                job.is_none_or(|job| job.recorded_change >= *change)
            };
            if changes.iter().all(is_stored) {
                let worker = &mut self.workers[key];
                worker.drain_record = DrainRecord::Recorded;
                let id = worker.spec.id.clone();
                self.actions.push(Action::RecordDrain(id));
            }
            return;
        }
        let changes = jobs.into_iter().map(|job| (job, self.mark_changed(job)));
        let changes = changes.collect();
        self.workers[key].drain_record = DrainRecord::Writing(changes);
    }

    /// Returns the jobs whose progress names a worker for each run that may be on it, or `None` if that of some run does
    /// not: its job is not known, or another run of its unit is recorded.
    fn jobs_to_record(&self, key: WorkerKey) -> Option<Vec<JobKey>> {
        let worker = &self.workers[key];
        let name = worker.spec.id.name();
        if self.misdirected.iter().any(|run| run.worker_name() == name) {
            return None;
        }
        let mut jobs = Vec::new();
        for (task, run) in worker.runs.keys() {
            if self.is_orphan(*task, *run) {
                return None;
            }
            let Some((job, step, unit, member)) = self.locate_task(*task) else {
                continue;
            };
            if self.jobs[job].state.is_terminal() {
                continue;
            }
            let unit = &self.jobs[job].steps[step].units[unit];
            if !unit.names_member(key, member, *run) {
                return None;
            }
            if !jobs.contains(&job) {
                jobs.push(job);
            }
        }
        Some(jobs)
    }

    /// Assumes that what a predecessor recorded on draining workers still runs there, until they report or their leases
    /// have expired.
    pub(crate) fn assume_recorded_placements(&mut self, now: Millis) {
        let drained: BTreeSet<_> = self
            .workers
            .values()
            .filter(|worker| worker.drain_record == DrainRecord::Recorded)
            .map(|worker| worker.spec.id.clone())
            .collect();
        self.assume_placements(now, |at| drained.contains(at));
    }

    fn assume_placements<F>(&mut self, now: Millis, is_on: F)
    where
        F: Fn(&WorkerId) -> bool,
    {
        let mut placed = Vec::new();
        for (unit_ref, unit) in self.open_units() {
            for (member, id) in unit.predecessor_placement.workers.iter().enumerate() {
                let Some(id) = id.as_ref().filter(|id| is_on(id)) else {
                    continue;
                };
                placed.push((unit_ref, member, self.worker_keys[id]));
            }
        }
        for (unit_ref, member, worker) in placed {
            self.assume_placed(unit_ref, member, worker, now);
        }
    }

    /// Assumes that what a predecessor recorded on a worker was ordered there, if the worker has not reported anything.
    pub(crate) fn assume_unreported_placements(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.runs_known || !self.recovery.may_predecessor_orders_arrive() {
            return;
        }
        let id = worker.spec.id.clone();
        self.assume_placements(now, |at| *at == id);
    }

    fn assume_placed(&mut self, unit_ref: UnitRef, member: usize, worker: WorkerKey, now: Millis) {
        let step_id = self.step_id(unit_ref.job, unit_ref.step);
        let step = &mut self.jobs[unit_ref.job].steps[unit_ref.step];
        let task = step.task_at(step_id, unit_ref.unit, member);
        let member_count = usize::try_from(step.members()).unwrap_or(1);
        let unit = &mut step.units[unit_ref.unit];
        let run = unit.predecessor_placement.run;
        if unit.state == UnitState::Pending {
            let members = vec![None; member_count];
            // Of a gang whose end is stored, the other members have ended or are being stopped.
            unit.state = if run > unit.last_accounted {
                UnitState::Placed { run, members }
            } else {
                UnitState::Stopping {
                    run,
                    members,
                    outcome: Outcome::Interrupted,
                }
            };
            step.pending_units -= 1;
        }
        let (UnitState::Placed {
            run: current,
            members,
        }
        | UnitState::Stopping {
            run: current,
            members,
            ..
        }) = &mut step.units[unit_ref.unit].state
        else {
            return;
        };
        // A unit that has ended by the recorded run waits for the next one.
        if *current != run {
            return;
        }
        // A record of another writer may name more workers than there are members.
        let Some(at) = members.get_mut(member) else {
            return;
        };
        *at = Some(worker);
        // It is not confirmed: the order may still be on its way.
        let held = WorkerRun {
            phase: Phase::Running,
            orders: 0,
            start_copies: 0,
            in_flight: false,
            reported: true,
            resumed: true,
            ..self.unordered_run(worker, task, now)
        };
        self.workers[worker].insert(task, run, held);
    }
}
