//! Taking over: what a predecessor started is found out before anything of it starts again.

use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::Note;
use crate::Scheduler;
use crate::ids::JobKey;
use crate::job::Outcome;
use crate::job::UnitState;
use crate::units::UnitRef;

/// A predecessor's clock may be slower than this one's by so much within the time that it starts jobs.
const CLOCK_SLACK_MS: u64 = 50;

/// How far a takeover is.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recovery {
    /// Workers that may run something unknown.
    unreported_workers: BTreeSet<WorkerId>,
    /// When everything unknown has surely ended.
    leases_expired_at: Millis,
    /// When this scheduler was chosen, where that is told.
    elected_at: Option<Millis>,
    /// When the predecessor surely gives no orders any more.
    authority_ends_at: Millis,
    /// When predecessors surely start nothing any more that they learned of since they were fenced off.
    new_job_starts_end_at: Millis,
    begun: bool,
    is_complete: bool,
    /// Whether some worker never told what ran on it: runs may have been started there that nobody knows of.
    is_partial: bool,
    pub(crate) adopted: usize,
}

impl Recovery {
    /// Takes note that a worker has told what runs on it.
    pub(crate) fn worker_reported(&mut self, worker: &WorkerId) {
        self.unreported_workers.remove(worker);
    }

    /// Takes note that nothing can run on a worker any more.
    pub(crate) fn worker_gone(&mut self, worker: &WorkerId) {
        let was_waited_for = self.unreported_workers.remove(worker);
        self.is_partial |= was_waited_for;
    }

    /// Says whether a predecessor may have read, and started, a job that comes after all jobs stored before a time
    /// have been read.
    fn predecessor_may_know(&self, jobs_read_at: Millis, prove: bool) -> bool {
        let over_at = if prove {
            self.new_job_starts_end_at
        } else {
            self.authority_ends_at
        };
        self.begun && jobs_read_at < over_at
    }

    /// Takes it for a moment that something that runs is unknown. Returns whether nothing was.
    pub(crate) const fn mark_incomplete(&mut self) -> bool {
        std::mem::replace(&mut self.is_complete, false)
    }

    /// Goes back to what was known before [`Recovery::mark_incomplete`].
    pub(crate) const fn restore_completion(&mut self, settled: bool) {
        self.is_complete = settled;
    }

    /// Says whether nothing that runs is unknown.
    pub(crate) const fn is_complete(&self) -> bool {
        self.is_complete
    }
}

impl Scheduler {
    /// Takes note of when this scheduler was chosen: its predecessor's authority ends a bounded time after that.
    /// Without a call, it counts from the beginning of the takeover on.
    pub const fn set_elected_at(&mut self, elected_at: Millis) {
        self.recovery.elected_at = Some(elected_at);
    }

    /// Begins the takeover, once the restored jobs and the registered workers are known.
    ///
    /// Jobs that were restored, or that the predecessor may know all the same, start nothing before every worker
    /// has told what runs on it, or the leases that a predecessor may have set have lapsed.
    pub fn begin_recovery(&mut self, now: Millis) {
        let mut unreported_workers = BTreeSet::new();
        for worker in self.workers.values() {
            if !worker.runs_known {
                unreported_workers.insert(worker.spec.id.clone());
            }
        }
        for key in &self.open_jobs {
            for step in &self.jobs[*key].steps {
                for unit in &step.units {
                    // What of an accounted start is left has been dealt with where its worker is gone.
                    if unit.last_started > unit.last_accounted {
                        let workers = unit.placed_before.workers.iter();
                        unreported_workers.extend(workers.flatten().cloned());
                    }
                }
            }
        }
        self.vms.orders_allowed_from = now.plus(self.options.vm_order_pause_ms);
        let bound_ms = self.options.authority_ms + self.options.lease_bound_ms;
        for worker in self.workers.values_mut() {
            worker.lapse_at = worker.lapse_at.max(now.plus(bound_ms));
        }
        let elected_at = self.recovery.elected_at;
        self.recovery = Recovery {
            unreported_workers,
            leases_expired_at: now.plus(bound_ms),
            elected_at,
            new_job_starts_end_at: now.plus(self.options.proof_validity_ms + CLOCK_SLACK_MS),
            authority_ends_at: elected_at.unwrap_or(now).plus(self.options.authority_ms),
            begun: true,
            is_complete: false,
            is_partial: false,
            adopted: self.recovery.adopted,
        };
        self.try_complete_recovery(now);
    }

    /// Says whether the takeover is complete.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovery.is_complete()
    }

    /// Completes the takeover when it can be.
    pub(crate) fn try_complete_recovery(&mut self, now: Millis) {
        let recovery = &mut self.recovery;
        if !recovery.begun || recovery.is_complete {
            return;
        }
        let unanswered = recovery.unreported_workers.len();
        if unanswered > 0 && now < recovery.leases_expired_at {
            return;
        }
        recovery.is_complete = true;
        recovery.is_partial |= unanswered > 0;
        let adopted = recovery.adopted;
        self.actions.push(Action::Note(Note::Recovered {
            adopted,
            unanswered,
        }));
        self.stop_incomplete_gangs(now);
        self.expire_unknown_runs(now);
    }

    /// Takes it that a predecessor may have started a job that has just been read, if it may have read it too.
    ///
    /// Such a job waits as those that were restored do. Started at once, its task ran on two workers.
    pub(crate) fn inherit_if_known_to_predecessor(&mut self, job: JobKey) {
        if self
            .recovery
            .predecessor_may_know(self.jobs_read_at, self.predecessors_require_proof)
        {
            self.jobs[job].inherited = true;
        }
    }

    /// Takes the runs as ended that a predecessor may have started where nobody can tell.
    ///
    /// Their leases have lapsed. A predecessor starts a task again only once the end of its run before is in the
    /// store, so there is at most one such run of a task, and its number is the one after the latest whose end is
    /// stored. It is stored as used before the next number is: so no number names two runs, also if this scheduler
    /// has a successor soon.
    fn expire_unknown_runs(&mut self, now: Millis) {
        if !self.recovery.is_partial {
            return;
        }
        let keys: Vec<_> = self.open_jobs.iter().copied().collect();
        for key in keys {
            self.expire_unknown_runs_of_job(key, now);
        }
    }

    /// Does so for one job, once the takeover is complete.
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
        let unit = self.unit_mut(unit_ref);
        if unit.state != UnitState::Pending {
            return;
        }
        let run = unit.last_accounted.next();
        unit.last_lapsed = run;
        self.jobs[unit_ref.job].steps[unit_ref.step].pending_units -= 1;
        self.record_outcome(unit_ref, run, Outcome::Interrupted, now);
    }

    /// Ends the gangs of which not every member was found.
    pub(crate) fn stop_incomplete_gangs(&mut self, now: Millis) {
        let mut torn = Vec::new();
        for key in &self.open_jobs {
            for (step_index, step) in self.jobs[*key].steps.iter().enumerate() {
                for (unit_index, unit) in step.units.iter().enumerate() {
                    let UnitState::Placed { run, members } = &unit.state else {
                        continue;
                    };
                    if members.iter().any(Option::is_none) {
                        let unit_ref = UnitRef {
                            job: *key,
                            step: step_index,
                            unit: unit_index,
                        };
                        torn.push((unit_ref, *run, members.clone()));
                    }
                }
            }
        }
        for (unit_ref, run, found) in torn {
            self.stop_gang(unit_ref, run, Outcome::Interrupted, found, now);
        }
    }
}
