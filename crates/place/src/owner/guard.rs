//! Keeps workers clear for an offer that has waited long, and fills the gap with short tasks.

use syc_types::Class;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskRef;

use crate::Owner;
use crate::Tier;
use crate::WorkerKey;
use crate::owner::Task;
use crate::owner::Unit;
use crate::owner::UnitKey;

/// Share of each worker kept for urgent tasks where only waiting time has weight.
pub(super) const MOST_HEADROOM_PERMILLE: u64 = 100;

/// Time past a guard's estimate after which it is estimated anew.
const GUARD_OVERDUE_MS: u64 = 5_000;

/// Workers that are kept clear until an offer has its room.
#[derive(Debug, Clone)]
pub(super) struct Guard {
    unit: UnitKey,
    workers: Vec<WorkerKey>,
    at: Millis,
}

impl Owner {
    /// Says whether an offer may use guarded workers at any rate.
    pub(super) fn passes_guard(&self, key: UnitKey) -> bool {
        if self.guard.is_none() {
            return false;
        }
        self.guards_for(key) || self.units[key].spec.class == Class::Urgent
    }

    /// Says whether workers are kept clear for this offer.
    pub(super) fn guards_for(&self, key: UnitKey) -> bool {
        self.guard.as_ref().is_some_and(|guard| guard.unit == key)
    }

    /// Says whether a worker is kept clear.
    pub(super) fn is_guarded(&self, worker: WorkerKey) -> bool {
        let guard = self.guard.as_ref();
        guard.is_some_and(|guard| guard.workers.contains(&worker))
    }

    /// Drops the guard of an offer that is gone, and renews one whose estimate was wrong.
    pub(super) fn review_guard(&mut self, now: Millis) {
        let Some(guard) = &self.guard else { return };
        let waits = self.units.get(guard.unit);
        let waits = waits.is_some_and(|unit| !unit.waiting.is_empty());
        let overdue = now > guard.at.plus(GUARD_OVERDUE_MS);
        if waits && !overdue {
            return;
        }
        let unit = guard.unit;
        self.drop_guard();
        if waits {
            self.make_guard(unit, now);
        }
    }

    /// Ends the guard and lets its workers grant again.
    pub(super) fn drop_guard(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        for worker in guard.workers {
            self.refresh_open(worker);
        }
    }

    /// Lets the guarded workers grant for a moment.
    pub(super) fn lift_guard(&mut self) {
        let Some(guard) = self.guard.clone() else {
            return;
        };
        for worker in guard.workers {
            let usable = self.is_usable(worker);
            self.ledger.set_open(worker, usable);
        }
    }

    /// Ends [`Owner::lift_guard`].
    pub(super) fn restore_guard(&mut self) {
        let Some(guard) = self.guard.clone() else {
            return;
        };
        for worker in guard.workers {
            self.refresh_open(worker);
        }
    }

    /// Keeps the workers clear on which an offer will have its room soonest.
    pub(super) fn make_guard(&mut self, key: UnitKey, now: Millis) {
        let unit = &self.units[key];
        if self.guard.is_some() || unit.spec.class == Class::Urgent {
            return;
        }
        let tier = self.tier_of(unit);
        let need = unit.spec.resources;
        let count = unit.waiting.len();
        let mut soonest = Vec::new();
        for (worker, _) in self.ledger.workers() {
            if !self.is_usable(worker) {
                continue;
            }
            let Some(at) = self.room_at(worker, &need, tier, now) else {
                continue;
            };
            soonest.push((at, worker));
        }
        soonest.sort_unstable();
        soonest.truncate(count);
        let Some(&(at, _)) = soonest.last() else {
            return;
        };
        if soonest.len() < count {
            return;
        }
        let workers: Vec<_> = soonest.into_iter().map(|(_, worker)| worker).collect();
        self.guard = Some(Guard {
            unit: key,
            workers: workers.clone(),
            at,
        });
        for worker in workers {
            self.refresh_open(worker);
        }
    }

    /// Places a task on a guarded worker if it will likely have ended in time.
    pub(super) fn backfill(
        &mut self,
        unit: &Unit,
        task: TaskRef,
        tier: Tier,
        now: Millis,
    ) -> Option<WorkerKey> {
        let guard = self.guard.clone()?;
        let spec = &unit.spec;
        let run_ms = self
            .history
            .run_time_ms(&spec.team, &spec.name, spec.run_time_ms);
        if spec.run_time_ms == 0 || now.plus(run_ms) > guard.at {
            return None;
        }
        for worker in guard.workers {
            if unit.avoid.contains(&worker) || !self.is_usable(worker) {
                continue;
            }
            self.ledger.set_open(worker, true);
            let granted = self.ledger.grant_in(task, worker, spec.resources, tier);
            self.refresh_open(worker);
            if granted.is_ok() {
                return Some(worker);
            }
        }
        None
    }

    fn room_at(
        &self,
        worker: WorkerKey,
        need: &Resources,
        tier: Tier,
        now: Millis,
    ) -> Option<Millis> {
        let mut room = self.ledger.room_for(worker, tier)?;
        if need.fits_in(&room) {
            return Some(now);
        }
        let mut ends = Vec::new();
        for task in &self.workers.get(worker)?.tasks {
            let Some(state) = self.tasks.get(task) else {
                continue;
            };
            if let Some(at) = self.likely_end(state, now) {
                ends.push((at, state.resources));
            }
        }
        ends.sort_by_key(|(at, _)| *at);
        for (at, freed) in ends {
            room = room.checked_add(&freed).ok()?;
            if need.fits_in(&room) {
                return Some(at);
            }
        }
        None
    }

    fn likely_end(&self, state: &Task, now: Millis) -> Option<Millis> {
        let spec = state.spec.as_ref()?;
        if spec.run_time_ms == 0 {
            return None;
        }
        let run_ms = self
            .history
            .run_time_ms(&state.team, &state.name, spec.run_time_ms);
        let at = state.since.plus(run_ms);
        if at > now {
            return Some(at);
        }
        // It runs longer than thought: half as long again as so far.
        Some(now.plus(now.since(state.since) / 2))
    }
}
