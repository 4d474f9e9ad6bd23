//! Tasks that a worker reports as done during a takeover while a predecessor's later start of them may still be carried
//! out.
//!
//! A predecessor starts a task again only once the end of its earlier run is stored. An end as done with a greater number
//! than the stored one therefore rules out any later start, and is recorded immediately. An end with that number or a
//! smaller one is of a run that had been presumed lost, so the next start may be on its way to a worker that has not
//! answered this scheduler. Until that is ruled out, the unit is neither recorded as done, nor is its end acknowledged. The
//! first answer of a worker suffices: from then on it refuses the predecessor's orders, and it lists what it runs.

use syc_types::Millis;

use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::drain_record::DrainRecord;
use crate::run_ends::UnitRef;
use crate::unit::Outcome;
use crate::unit::UnitState;

impl Scheduler {
    /// Returns whether a worker that has not answered may still carry out a predecessor's start of a unit.
    pub(crate) fn may_be_started_late(&self, unit_ref: UnitRef, now: Millis) -> bool {
        let job = &self.jobs[unit_ref.job];
        if !self.recovery.may_orders_arrive() || !job.inherited {
            return false;
        }
        let step = &job.steps[unit_ref.step];
        let unit = &step.units[unit_ref.unit];
        // A start order of a single task goes to one worker.
        if step.members() == 1 && unit.is_located() {
            return false;
        }
        let placement = &unit.predecessor_placement;
        let mut workers = self.workers.values();
        workers.any(|worker| {
            let may_carry_out = !worker.runs_known && worker.leases_expire_at > now;
            let all_recorded = worker.drain_record == DrainRecord::Recorded;
            may_carry_out && placement.may_include(&worker.spec.id, all_recorded)
        })
    }

    /// Marks a unit as done, and stops its later run wherever that is found, before this is recorded.
    pub(crate) fn hold_completion(&mut self, unit_ref: UnitRef, now: Millis) {
        let step = &mut self.jobs[unit_ref.job].steps[unit_ref.step];
        let member_count = usize::try_from(step.members()).unwrap_or(1);
        let unit = &mut step.units[unit_ref.unit];
        let (run, members) = match &unit.state {
            UnitState::Placed { run, members } | UnitState::Stopping { run, members, .. } => {
                (*run, members.clone())
            }
            _ => {
                let later = unit.predecessor_placement.accounted.next();
                (later, vec![None; member_count])
            }
        };
        let was_pending = unit.state == UnitState::Pending;
        unit.state = UnitState::Stopping {
            run,
            members,
            outcome: Outcome::Done,
        };
        if was_pending {
            step.pending_units -= 1;
            self.release_reservation(unit_ref.job, unit_ref.step, unit_ref.unit);
        }
        self.recovery.hold_completion(unit_ref);
        self.stop_members(unit_ref, run, StopReason::Unwanted, now);
    }

    /// Records the units as done of which no later start can be carried out any more.
    pub(crate) fn record_held_completions(&mut self, now: Millis) {
        for unit_ref in self.recovery.take_held_completions() {
            let Some(run) = self.held_run(unit_ref) else {
                continue;
            };
            let is_unconfirmed = self.has_unconfirmed_start(unit_ref, run);
            if self.may_be_started_late(unit_ref, now) {
                self.recovery.hold_completion(unit_ref);
            } else if !is_unconfirmed {
                self.record_pending_completion(unit_ref, run, now);
            }
        }
    }

    /// Returns the run that a unit which is done waits for, or `None` if it does not wait for any, or for one that a
    /// worker holds and whose end is awaited there.
    fn held_run(&self, unit_ref: UnitRef) -> Option<Run> {
        let job = self.jobs.get(unit_ref.job)?;
        let unit = job.steps.get(unit_ref.step)?.units.get(unit_ref.unit)?;
        if job.state.is_terminal() || !unit.is_completion_pending() {
            return None;
        }
        let UnitState::Stopping { run, members, .. } = &unit.state else {
            return None;
        };
        members.iter().all(Option::is_none).then_some(*run)
    }
}
