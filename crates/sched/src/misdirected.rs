//! Workers that restart under the same name: orders meant for the previous incarnation may have reached the next one.
//!
//! Orders address the worker by name, not by incarnation. Runs that the old incarnation had reported ended with it. A
//! run that it had not reported may be running on the next incarnation or may still arrive there, so it keeps
//! occupying resources there until it has been stopped. Until then, the store names the old incarnation for it, so that a
//! successor waits for the next one, too.

use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use crate::Action;
use crate::LeaseBasis;
use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::WriteOffReason;
use crate::unit::Outcome;
use crate::unit::UnitState;
use crate::worker::WorkerRun;
use crate::workspaces::RunOwner;
use crate::write_offs::Whereabouts;

/// A run that may have reached a later incarnation of its worker.
#[derive(Debug, Clone)]
pub(crate) struct MisdirectedRun {
    /// The incarnation that the order was meant for.
    intended_worker: WorkerKey,
    /// The id of that incarnation.
    intended_id: WorkerId,
    task: TaskId,
    run: Run,
    held: WorkerRun,
    /// When it has certainly ended, whatever the later incarnation does.
    ended_at: Millis,
}

impl MisdirectedRun {
    /// Returns the name of the worker, without its incarnation.
    pub(crate) fn worker_name(&self) -> &str {
        self.intended_id.name()
    }

    /// Returns what it may occupy on the later incarnation, and whose usage that is.
    pub(crate) const fn usage(&self) -> (RunOwner, Resources) {
        (self.held.owner, self.held.requested)
    }

    pub(crate) const fn name(&self) -> (TaskId, Run) {
        (self.task, self.run)
    }
}

impl Scheduler {
    pub(crate) fn worker_restarted(&mut self, key: WorkerKey, now: Millis) {
        if !self.workers.contains_key(key) {
            return;
        }
        self.record_worker_crash(key, now);
        self.assume_unreported_placements(key, now);
        self.set_unreported_runs_aside(key, now.plus(self.options.max_lease_ms));
        let worker = &self.workers[key];
        if !worker.runs_known {
            let capacity = worker.spec.capacity;
            self.recovery.await_next_life(&worker.spec.id, capacity);
        }
        self.lose_runs(key, WriteOffReason::Restarted, now);
        self.detach(key, now);
        self.resolve_misdirected(now);
    }

    /// Sets runs of a silent worker aside whose leases have expired on it, if a next life that was never heard of may have
    /// taken their orders and hold a longer lease.
    pub(crate) fn set_starts_on_unheard_life_aside(&mut self, key: WorkerKey, now: Millis) {
        let ended_at = self.unheard_leases_expire_at(&self.workers[key]);
        if ended_at > now {
            self.set_unreported_runs_aside(key, ended_at);
            self.resolve_misdirected(now);
        }
    }

    /// Sets runs aside that another life of their worker may have, until they have certainly ended.
    fn set_unreported_runs_aside(&mut self, key: WorkerKey, ended_at: Millis) {
        let worker = &mut self.workers[key];
        let intended_id = worker.spec.id.clone();
        let may_arrive =
            |run: &WorkerRun| !run.reported || run.confirmed_at.is_none() || run.start_copies > 1;
        let unreported = worker.runs.iter().filter(|(_, run)| may_arrive(run));
        let unreported: Vec<_> = unreported.map(|(name, _)| *name).collect();
        for (task, run) in unreported {
            let Some(held) = worker.remove(task, run) else {
                continue;
            };
            self.misdirected.push(MisdirectedRun {
                intended_worker: key,
                intended_id: intended_id.clone(),
                task,
                run,
                held,
                ended_at,
            });
        }
    }

    /// Stops misdirected runs on the current incarnations of their workers, where these are registered.
    pub(crate) fn resolve_misdirected(&mut self, now: Millis) {
        let mut resolved = BTreeSet::new();
        for misdirected in std::mem::take(&mut self.misdirected) {
            let name = misdirected.worker_name();
            let mut workers = self.workers.iter();
            let found = workers.find(|(key, worker)| {
                *key != misdirected.intended_worker
                    && worker.registered
                    && worker.spec.id.name() == name
            });
            match found.map(|(key, _)| key) {
                Some(key) => {
                    resolved.insert(misdirected.intended_id.clone());
                    self.stop_misdirected(key, misdirected, now);
                }
                None => self.misdirected.push(misdirected),
            }
        }
        self.forget_past_lives(resolved);
    }

    /// Returns whether a run is set aside, since a later incarnation of its worker may have it.
    pub(crate) fn is_set_aside(&self, task: TaskId, run: Run) -> bool {
        let mut misdirected = self.misdirected.iter();
        misdirected.any(|set_aside| set_aside.name() == (task, run))
    }

    /// Returns whether a later incarnation of a worker may carry out an order that was meant for this one.
    pub(crate) fn may_reach_next_life(&self, id: &WorkerId) -> bool {
        let mut misdirected = self.misdirected.iter();
        misdirected.any(|run| run.intended_id == *id)
    }

    /// Returns the id of a worker as the store has it, also of an incarnation that is over, while a later one may carry out
    /// its orders.
    pub(crate) fn recorded_name_of(&self, worker: WorkerKey) -> Option<WorkerId> {
        self.name_of(worker).or_else(|| {
            let mut misdirected = self.misdirected.iter();
            let run = misdirected.find(|run| run.intended_worker == worker)?;
            Some(run.intended_id.clone())
        })
    }

    /// Lets a successor forget incarnations whose orders can't reach a later one any more.
    fn forget_past_lives(&mut self, ids: BTreeSet<WorkerId>) {
        for id in ids {
            let is_attached = self.worker_keys.contains_key(&id);
            let is_kept = self.recovery.is_kept_in_roster(&id);
            if is_attached || is_kept || self.may_reach_next_life(&id) {
                continue;
            }
            self.actions.push(Action::ForgetWorker(id));
        }
    }

    fn stop_misdirected(&mut self, key: WorkerKey, misdirected: MisdirectedRun, now: Millis) {
        let MisdirectedRun {
            intended_worker,
            task,
            run,
            held,
            ended_at,
            ..
        } = misdirected;
        self.reassign_member(task, run, intended_worker, key);
        let worker = &mut self.workers[key];
        worker.extend_leases(ended_at, LeaseBasis::Misdirected);
        worker.insert(task, run, held.into_unconfirmed(now));
        self.stop_run(key, task, run, StopReason::StartInDoubt, now);
    }

    /// Records that a member of a unit is on another incarnation of its worker, if it is placed at all.
    fn reassign_member(&mut self, task: TaskId, run: Run, from: WorkerKey, to: WorkerKey) {
        let Some((job, step, unit, member)) = self.locate_task(task) else {
            return;
        };
        let Some(step) = self.jobs[job].steps.get_mut(step) else {
            return;
        };
        let (UnitState::Placed {
            run: placed,
            members,
        }
        | UnitState::Stopping {
            run: placed,
            members,
            ..
        }) = &mut step.units[unit].state
        else {
            return;
        };
        if *placed == run && members[member] == Some(from) {
            members[member] = Some(to);
            // The earlier incarnation leaves the roster.
            self.mark_changed(job);
        }
    }

    /// Treats runs as ended if no new incarnation of their worker appeared before the longest lease ended.
    pub(crate) fn expire_misdirected(&mut self, now: Millis) {
        let (expired, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.misdirected)
            .into_iter()
            .partition(|misdirected| misdirected.ended_at <= now);
        self.misdirected = waiting;
        let ended = expired.iter().map(|run| run.intended_id.clone());
        let ended = ended.collect();
        for MisdirectedRun {
            intended_worker,
            intended_id,
            task,
            run,
            held,
            ended_at,
            ..
        } in expired
        {
            let place = Whereabouts::Misdirected(intended_id, ended_at);
            self.write_off((task, run), place, WriteOffReason::Misdirected, now);
            let checkpoint = held.checkpoint;
            self.record_run_end(
                intended_worker,
                task,
                run,
                Outcome::Interrupted,
                checkpoint,
                now,
            );
        }
        self.forget_past_lives(ended);
    }
}

impl WorkerRun {
    /// Converts it to a run whose start is unconfirmed.
    fn into_unconfirmed(self, now: Millis) -> Self {
        Self {
            phase: crate::worker::Phase::Starting,
            confirmed_at: None,
            stop_accepted_at: None,
            doubt_since: now,
            in_flight: false,
            ..self
        }
    }
}
