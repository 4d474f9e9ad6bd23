//! Taking over: what a predecessor started is found out before anything of it starts again.

use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::Note;
use crate::Run;
use crate::Scheduler;
use crate::job::Outcome;
use crate::job::UnitState;
use crate::units::Place;

/// How far a takeover is.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recovery {
    /// Workers that may run something unknown.
    waiting: BTreeSet<WorkerId>,
    /// When everything unknown has surely ended.
    over_at: Millis,
    begun: bool,
    settled: bool,
    pub(crate) adopted: usize,
}

impl Recovery {
    /// Takes note that a worker has told what runs on it, or that nothing can.
    pub(crate) fn heard(&mut self, worker: &WorkerId) {
        self.waiting.remove(worker);
    }

    /// Takes it for a moment that something that runs is unknown. Returns whether nothing was.
    pub(crate) const fn reopen(&mut self) -> bool {
        std::mem::replace(&mut self.settled, false)
    }

    /// Goes back to what was known before [`Recovery::reopen`].
    pub(crate) const fn close_again(&mut self, settled: bool) {
        self.settled = settled;
    }

    /// Says whether nothing that runs is unknown.
    pub(crate) const fn is_settled(&self) -> bool {
        self.settled
    }
}

impl Scheduler {
    /// Begins the takeover, once the restored jobs and the registered workers are known.
    ///
    /// Jobs that were restored start nothing before every worker has told what runs on it, or the
    /// leases that a predecessor may have set have lapsed.
    pub fn begin_recovery(&mut self, now: Millis) {
        let mut waiting = BTreeSet::new();
        for worker in self.workers.values() {
            if !worker.answered {
                waiting.insert(worker.spec.id.clone());
            }
        }
        for key in &self.open {
            for step in &self.jobs[*key].steps {
                for unit in &step.units {
                    waiting.extend(unit.placed_before.iter().cloned());
                }
            }
        }
        self.vms.orders_from = now.plus(self.options.vm_order_pause_ms);
        let bound_ms = self.options.authority_ms + self.options.lease_bound_ms;
        for worker in self.workers.values_mut() {
            worker.lapse_at = worker.lapse_at.max(now.plus(bound_ms));
        }
        self.recovery = Recovery {
            waiting,
            over_at: now.plus(bound_ms),
            begun: true,
            settled: false,
            adopted: self.recovery.adopted,
        };
        self.recover(now);
    }

    /// Says whether the takeover is complete.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovery.is_settled()
    }

    /// Completes the takeover when it can be.
    pub(crate) fn recover(&mut self, now: Millis) {
        let recovery = &mut self.recovery;
        if !recovery.begun || recovery.settled {
            return;
        }
        let unanswered = recovery.waiting.len();
        if unanswered > 0 && now < recovery.over_at {
            return;
        }
        recovery.settled = true;
        let adopted = recovery.adopted;
        self.actions.push(Action::Note(Note::Recovered {
            adopted,
            unanswered,
        }));
        self.close_torn_gangs(now);
    }

    /// Ends the gangs of which not every member was found.
    pub(crate) fn close_torn_gangs(&mut self, now: Millis) {
        let mut torn = Vec::new();
        for key in &self.open {
            for (step_index, step) in self.jobs[*key].steps.iter().enumerate() {
                for (unit_index, unit) in step.units.iter().enumerate() {
                    let UnitState::Placed { run, members } = &unit.state else {
                        continue;
                    };
                    let found = members.iter().flatten().count();
                    if found < members.len() {
                        let place = Place {
                            job: *key,
                            step: step_index,
                            unit: unit_index,
                        };
                        torn.push((place, *run, found));
                    }
                }
            }
        }
        for (place, run, found) in torn {
            self.close_torn(place, run, found, now);
        }
    }

    fn close_torn(&mut self, place: Place, run: Run, found: usize, now: Millis) {
        self.close(place, run, Outcome::Interrupted, found, now);
    }
}
