//! Takeover from a predecessor: determines what it started before starting any of that again.

use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;
use syc_workspace::UNLIMITED;

use crate::Action;
use crate::LeaseBasis;
use crate::Note;
use crate::Run;
use crate::Scheduler;
use crate::WorkerKey;
use crate::WriteOffReason;
use crate::drain_record::DrainRecord;
use crate::ids::JobKey;
use crate::job::Step;
use crate::next_lives::AwaitedLives;
use crate::predecessor_placement::PredecessorPlacement;
use crate::run_ends::UnitRef;
use crate::unit::Outcome;
use crate::unit::UnitState;
use crate::write_offs::Whereabouts;

/// Allowance for the drift between a predecessor's clock and this one's during the time in which the
/// predecessor may still start jobs.
const CLOCK_SLACK_MS: u64 = 50;

/// Number of workers that never answered whose names are logged.
const NAMED_WORKERS_LIMIT: usize = 5;

/// Progress of a takeover.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recovery {
    /// Workers that may run something unknown and have not reported yet.
    unreported_workers: BTreeSet<WorkerId>,
    /// Those of them that are named by recorded starts alone, so that their addresses are not known.
    unattached_workers: BTreeSet<WorkerId>,
    /// Workers that started again before they reported anything, of which the next life has not reported either.
    awaited_lives: AwaitedLives,
    /// When all leases that a predecessor may have set have expired.
    leases_expired_at: Millis,
    /// When this scheduler was elected, if known.
    elected_at: Option<Millis>,
    /// When the takeover began.
    begun_at: Millis,
    /// When the predecessor's authority to give orders has ended.
    authority_ends_at: Millis,
    /// When predecessors no longer start jobs that they learned of after they were fenced off.
    new_job_starts_end_at: Millis,
    begun: bool,
    is_complete: bool,
    /// Whether some worker never reported, so unknown runs may have been started on it.
    is_partial: bool,
    /// Number of workers that crashed before they reported what runs on them.
    unreported_crashes: u32,
    /// Workers that were detached before they reported anything. They stay in the roster until their possible crashes are
    /// counted: a successor that did not know them could not count these.
    detached: Vec<WorkerId>,
    pub(crate) adopted: usize,
}

impl Recovery {
    /// Keeps a worker in the roster that was detached unreported. Returns whether it is kept.
    pub(crate) fn keep_in_roster(&mut self, worker: &WorkerId) -> bool {
        let keeps = self.may_predecessor_orders_arrive();
        if keeps {
            self.detached.push(worker.clone());
        }
        keeps
    }

    /// Returns whether a worker that was detached unreported is kept in the roster until the takeover is complete.
    pub(crate) fn is_kept_in_roster(&self, worker: &WorkerId) -> bool {
        self.detached.contains(worker)
    }

    /// Returns whether a recorded start was ordered on a worker that is in no readable part of the roster, and whose lease
    /// may still hold.
    pub(crate) fn awaits_unattached(&self, placement: &PredecessorPlacement) -> bool {
        let mut workers = placement.workers.iter().flatten();
        workers.any(|id| self.unattached_workers.contains(id))
    }

    /// Returns whether a worker that started again may carry out a predecessor's start of a unit on its next life.
    pub(crate) fn awaits_next_life(&self, placement: &PredecessorPlacement) -> bool {
        self.awaited_lives.may_carry_out(placement)
    }

    /// Returns whether the next life of some worker has not reported yet.
    pub(crate) fn awaits_any_next_life(&self) -> bool {
        self.awaited_lives.len() > 0
    }

    /// Waits for the next life of a worker that started again before it reported what runs on it.
    pub(crate) fn await_next_life(&mut self, former: &WorkerId, capacity: Resources) {
        if self.unreported_workers.remove(former) {
            self.is_partial = true;
            self.awaited_lives.insert(former.clone(), capacity);
        }
    }

    /// Returns whether the orders of predecessors may still be carried out on workers that have not answered.
    pub(crate) const fn may_predecessor_orders_arrive(&self) -> bool {
        self.begun && !self.is_complete
    }

    /// Records that a worker has reported what runs on it. Returns whether it was the last one that was waited for.
    pub(crate) fn worker_reported(&mut self, worker: &WorkerId) -> bool {
        let was_waited_for = self.unreported_workers.remove(worker);
        let was_awaited = self.awaited_lives.life_reported(worker);
        (was_waited_for || was_awaited) && self.unanswered() == 0
    }

    /// Returns the number of workers that are waited for.
    fn unanswered(&self) -> usize {
        self.unreported_workers.len() + self.awaited_lives.len()
    }

    /// Records that nothing can run on a worker any more.
    pub(crate) fn worker_gone(&mut self, worker: &WorkerId) {
        let was_waited_for = self.unreported_workers.remove(worker);
        self.is_partial |= was_waited_for;
    }

    /// Records that a worker crashed before it reported what runs on it.
    pub(crate) const fn count_unreported_crash(&mut self) {
        self.unreported_crashes = self.unreported_crashes.saturating_add(1);
    }

    /// Returns whether a predecessor may have read and started a job that is read only now, after all jobs stored
    /// before `jobs_read_at`.
    fn predecessor_may_know(&self, jobs_read_at: Millis, prove: bool) -> bool {
        let over_at = if prove {
            self.new_job_starts_end_at
        } else {
            self.authority_ends_at
        };
        self.begun && jobs_read_at < over_at
    }

    /// Temporarily marks the takeover as incomplete. Returns whether it was complete.
    pub(crate) const fn mark_incomplete(&mut self) -> bool {
        std::mem::replace(&mut self.is_complete, false)
    }

    /// Restores the state that [`Recovery::mark_incomplete`] returned.
    pub(crate) const fn restore_completion(&mut self, was_complete: bool) {
        self.is_complete = was_complete;
    }

    /// Returns when a lease has certainly expired that a predecessor may have set on a worker that is listed now.
    pub(crate) fn inherited_leases_expire_at(&self, now: Millis) -> Millis {
        if self.begun && !self.is_complete {
            self.leases_expired_at.max(now)
        } else {
            now
        }
    }

    /// Returns the time since this scheduler was elected, or `None` before its takeover has begun.
    pub(crate) fn in_office_ms(&self, now: Millis) -> Option<u64> {
        let since = self.elected_at.unwrap_or(self.begun_at);
        self.begun.then(|| now.since(since))
    }

    /// Returns when all leases have expired that a predecessor meant to set.
    pub(crate) const fn leases_expired_at(&self) -> Millis {
        self.leases_expired_at
    }

    /// Returns when all leases have expired that a predecessor may have set, or `None` before the takeover has begun.
    pub(crate) fn predecessor_leases_end(&self) -> Option<Millis> {
        self.begun.then_some(self.leases_expired_at)
    }

    /// Returns whether everything that runs is known.
    pub(crate) const fn is_complete(&self) -> bool {
        self.is_complete
    }
}

impl Scheduler {
    /// Sets when this scheduler was elected: its predecessor's authority ends a bounded time after that. If it is
    /// not called, that time is measured from the beginning of the takeover.
    pub const fn set_elected_at(&mut self, elected_at: Millis) {
        self.recovery.elected_at = Some(elected_at);
    }

    /// Begins the takeover, once the stored jobs have been restored and the registered workers are known.
    ///
    /// Jobs that were restored, or that the predecessor may know of nevertheless, start nothing until every worker
    /// has reported what runs on it or all leases that a predecessor may have set have expired.
    pub fn begin_recovery(&mut self, now: Millis) {
        let mut unreported_workers = BTreeSet::new();
        for worker in self.workers.values() {
            if !worker.runs_known && worker.drain_record != DrainRecord::Recorded {
                unreported_workers.insert(worker.spec.id.clone());
            }
        }
        for (_, unit) in self.open_units() {
            // Members of an accounted start whose worker is gone need not be waited for.
            if unit.last_started <= unit.last_accounted {
                continue;
            }
            for id in unit.predecessor_placement.workers.iter().flatten() {
                if !self.is_drain_recorded(id) {
                    unreported_workers.insert(id.clone());
                }
            }
        }
        self.vms.orders_allowed_from = now.plus(self.options.vm_order_pause_ms);
        let bound_ms = self.options.authority_ms + self.options.lease_bound_ms;
        for worker in self.workers.values_mut() {
            worker.extend_leases(now.plus(bound_ms), LeaseBasis::TakeoverBound);
        }
        let elected_at = self.recovery.elected_at;
        let is_unattached = |id: &&WorkerId| !self.worker_keys.contains_key(*id);
        let unattached_workers = unreported_workers.iter().filter(is_unattached);
        let unattached_workers = unattached_workers.cloned().collect();
        self.recovery = Recovery {
            unreported_workers,
            unattached_workers,
            awaited_lives: AwaitedLives::default(),
            leases_expired_at: now.plus(bound_ms),
            elected_at,
            begun_at: now,
            new_job_starts_end_at: now.plus(self.options.proof_validity_ms + CLOCK_SLACK_MS),
            authority_ends_at: elected_at.unwrap_or(now).plus(self.options.authority_ms),
            begun: true,
            is_complete: false,
            is_partial: false,
            unreported_crashes: 0,
            detached: Vec::new(),
            adopted: self.recovery.adopted,
        };
        self.restore_unanswered_starts(now);
        self.assume_unrecorded_starts(now);
        self.assume_recorded_placements(now);
        self.hold_exhausted_units(now);
        self.try_complete_recovery(now);
    }

    /// Returns what may run, unknown to this scheduler, on workers that have not reported since the takeover began.
    ///
    /// A predecessor keeps each worker within its capacity, so it is at most that of these workers. Of a worker that is
    /// named by a recorded start alone, or in a part of the roster that can't be read, the capacity is not known.
    pub(crate) fn unreported_capacity(&self) -> Resources {
        if !self.recovery.may_predecessor_orders_arrive() {
            return Resources::ZERO;
        }
        let mut capacity = Resources::ZERO;
        for id in &self.recovery.unreported_workers {
            let key = self.worker_keys.get(id);
            let of_worker = key.map(|key| self.workers[*key].spec.capacity);
            let known = of_worker.filter(|of_worker| *of_worker != Resources::ZERO);
            capacity = capacity.saturating_add(&known.unwrap_or(UNLIMITED));
        }
        for of_former in self.recovery.awaited_lives.capacities() {
            capacity = capacity.saturating_add(of_former);
        }
        capacity
    }

    /// Returns whether the takeover is complete.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovery.is_complete()
    }

    /// Completes the takeover if all workers have reported or all leases have expired.
    pub(crate) fn try_complete_recovery(&mut self, now: Millis) {
        if !self.recovery.begun || self.recovery.is_complete {
            return;
        }
        self.expire_absent_runs(now);
        let unanswered = self.recovery.unanswered();
        if unanswered > 0 && !self.have_unreported_leases_expired(now) {
            return;
        }
        let recovery = &mut self.recovery;
        recovery.is_complete = true;
        recovery.is_partial |= unanswered > 0;
        let first_unanswered = recovery.unreported_workers.iter();
        let first_unanswered = first_unanswered.chain(recovery.awaited_lives.ids());
        let first_unanswered = first_unanswered.take(NAMED_WORKERS_LIMIT);
        self.actions.push(Action::Note(Note::Recovered {
            adopted: recovery.adopted,
            unanswered,
            first_unanswered: first_unanswered.cloned().collect(),
            took_ms: recovery.in_office_ms(now).unwrap_or(0),
        }));
        self.record_held_ends(now);
        self.stop_incomplete_gangs(now);
        self.expire_unknown_runs(now);
        self.expire_absent_runs(now);
        for worker in std::mem::take(&mut self.recovery.detached) {
            if !self.worker_keys.contains_key(&worker) && !self.may_reach_next_life(&worker) {
                self.actions.push(Action::ForgetWorker(worker));
            }
        }
    }

    /// Returns whether a unit must not be started because a predecessor may have started it unknown to this scheduler.
    ///
    /// Of a single task, that is ruled out once the end of the only run that it may have started is known.
    pub(crate) fn is_unit_awaited(&self, job: JobKey, step: usize, unit: usize) -> bool {
        let job = &self.jobs[job];
        if !job.inherited || self.recovery.is_complete {
            return false;
        }
        !has_only_start_ended(&job.steps[step], unit)
    }

    /// Treats recorded runs as ended that their workers don't have, once these have reported everything.
    ///
    /// That is stored before the next start: a successor has to know on which workers each start was ordered.
    fn expire_absent_runs(&mut self, now: Millis) {
        let mut absent = Vec::new();
        for (unit_ref, unit) in self.open_units() {
            let placement = &unit.predecessor_placement;
            let is_accounted = unit.last_accounted >= placement.run;
            if unit.state != UnitState::Pending || is_accounted || !self.is_absent(placement) {
                continue;
            }
            absent.push((unit_ref, placement.run));
        }
        for (unit_ref, run) in absent {
            self.write_off_unit(unit_ref, run, WriteOffReason::NotOnRecordedWorker, now);
            self.jobs[unit_ref.job].steps[unit_ref.step].pending_units -= 1;
            self.record_outcome(unit_ref, run, Outcome::Interrupted, now);
        }
    }

    /// Returns whether a recorded start is on none of its workers, given that it was not found.
    fn is_absent(&self, placement: &PredecessorPlacement) -> bool {
        if self.recovery.is_complete {
            return true;
        }
        match placement.workers.as_slice() {
            [Some(worker)] => self.has_reported_everything(worker),
            _ => false,
        }
    }

    fn has_reported_everything(&self, id: &WorkerId) -> bool {
        let key = self.worker_keys.get(id);
        let worker = key.and_then(|key| self.workers.get(*key));
        let is_unreported = self.recovery.unreported_workers.contains(id);
        worker.is_some_and(|worker| worker.runs_known && !is_unreported)
    }

    /// Returns whether no worker that has not reported everything can hold a lease any more.
    ///
    /// A worker that has answered, but has more ends to report, keeps its lease by this scheduler's renewals. If it
    /// were given up together with those that never answered, tasks that it has done would be started again.
    fn have_unreported_leases_expired(&self, now: Millis) -> bool {
        if now < self.recovery.leases_expired_at {
            return false;
        }
        let mut unreported = self.recovery.unreported_workers.iter();
        let mut awaited = self.recovery.awaited_lives.ids();
        unreported.all(|id| self.has_unreported_lease_expired(id, now))
            && awaited.all(|id| self.has_awaited_lease_expired(id, now))
    }

    /// Marks a job that has just been read as inherited if a predecessor may have read and started it too.
    ///
    /// Such a job waits like the restored ones. Starting it immediately caused its task to run on two workers.
    pub(crate) fn inherit_if_known_to_predecessor(&mut self, job: JobKey) {
        if self
            .recovery
            .predecessor_may_know(self.jobs_read_at, self.predecessors_require_proof)
        {
            self.jobs[job].inherited = true;
        }
    }

    /// Treats runs that a predecessor may have started on unreachable workers as ended.
    ///
    /// Their leases have expired. A predecessor restarts a task only once the end of its previous run is stored, so
    /// each task has at most one such run, numbered one above the latest run whose end is stored. That number is
    /// stored as used before the next one is assigned, so no number refers to two runs even if this scheduler is
    /// replaced soon.
    ///
    /// If a worker crashed unreported, such a run may have been there and may have crashed it. It counts as a possible
    /// crash if its placement is unknown because the store accepted nothing while it was started. A suspected unit is
    /// not started in that case.
    fn expire_unknown_runs(&mut self, now: Millis) {
        if !self.recovery.is_partial {
            return;
        }
        let keys: Vec<_> = self.open_jobs.iter().copied().collect();
        for key in keys {
            self.expire_unknown_runs_of_job(key, now);
        }
    }

    /// Does the same for one job, once the takeover is complete.
    pub(crate) fn expire_unknown_runs_of_job(&mut self, job: JobKey, now: Millis) {
        let is_over = self.recovery.is_complete && self.recovery.is_partial;
        let job_state = &self.jobs[job];
        if !is_over || !job_state.inherited || job_state.state.is_terminal() {
            return;
        }
        for step in 0..self.jobs[job].steps.len() {
            if !self.jobs[job].is_ready(step, now) {
                continue;
            }
            for unit in 0..self.jobs[job].steps[step].units.len() {
                let unit_ref = UnitRef { job, step, unit };
                self.expire_unknown_run(unit_ref, now);
            }
        }
    }

    fn expire_unknown_run(&mut self, unit_ref: UnitRef, now: Millis) {
        // Its next start may have been announced since, or ordered.
        let step = &self.jobs[unit_ref.job].steps[unit_ref.step];
        if has_only_start_ended(step, unit_ref.unit) {
            return;
        }
        let unit = self.unit_mut(unit_ref);
        if unit.state != UnitState::Pending {
            return;
        }
        let run = unit.last_accounted.next();
        if unit.last_started < run {
            self.count_possible_crash(unit_ref, run);
        }
        self.write_off_unit(unit_ref, run, WriteOffReason::NeverReported, now);
        self.jobs[unit_ref.job].steps[unit_ref.step].pending_units -= 1;
        self.record_outcome(unit_ref, run, Outcome::Interrupted, now);
    }

    /// Counts a possible crash under a start of which the store has no placement.
    fn count_possible_crash(&mut self, unit_ref: UnitRef, run: Run) {
        let worker_crashed = self.recovery.unreported_crashes > 0;
        let unit = self.unit_mut(unit_ref);
        if worker_crashed && unit.crashes() == 0 && unit.predecessor_placement.run < run {
            unit.possible_crashes = unit.possible_crashes.saturating_add(1);
        }
    }

    /// Logs that all members of a unit's run are taken as over. None of them was found.
    fn write_off_unit(&mut self, unit_ref: UnitRef, run: Run, reason: WriteOffReason, now: Millis) {
        let members = self.jobs[unit_ref.job].steps[unit_ref.step].members();
        for member in 0..usize::try_from(members).unwrap_or(1) {
            self.write_off_member(unit_ref, member, run, reason, now);
        }
    }

    /// Logs that the members of a gang that were not found are taken as over.
    fn write_off_missing_members(
        &mut self,
        unit_ref: UnitRef,
        run: Run,
        found: &[Option<WorkerKey>],
        now: Millis,
    ) {
        for (member, worker) in found.iter().enumerate() {
            if worker.is_none() {
                self.write_off_member(unit_ref, member, run, WriteOffReason::MemberNotFound, now);
            }
        }
    }

    fn write_off_member(
        &mut self,
        unit_ref: UnitRef,
        member: usize,
        run: Run,
        reason: WriteOffReason,
        now: Millis,
    ) {
        let step = self.step_id(unit_ref.job, unit_ref.step);
        let step_state = &self.jobs[unit_ref.job].steps[unit_ref.step];
        let task = step_state.task_at(step, unit_ref.unit, member);
        let placement = &step_state.units[unit_ref.unit].predecessor_placement;
        let recorded = placement.workers.get(member).cloned().flatten();
        let place = recorded.filter(|_| placement.run == run);
        let place = place.map_or(Whereabouts::Unknown, Whereabouts::Recorded);
        self.write_off((task, run), place, reason, now);
    }

    /// Stops the gangs of which not every member was found. The members that were not may have crashed their workers.
    pub(crate) fn stop_incomplete_gangs(&mut self, now: Millis) {
        let mut incomplete = Vec::new();
        for (unit_ref, unit) in self.open_units() {
            let UnitState::Placed { run, members } = &unit.state else {
                continue;
            };
            if members.iter().any(Option::is_none) {
                incomplete.push((unit_ref, *run, members.clone()));
            }
        }
        for (unit_ref, run, found) in incomplete {
            self.count_possible_crash(unit_ref, run);
            self.write_off_missing_members(unit_ref, run, &found, now);
            self.stop_gang(unit_ref, run, Outcome::Interrupted, found, now);
        }
    }
}

/// Returns whether the only start of a single task that a predecessor may have ordered is known to have ended.
fn has_only_start_ended(step: &Step, unit: usize) -> bool {
    let unit = &step.units[unit];
    step.members() == 1 && unit.last_accounted > unit.predecessor_placement.accounted
}
