//! Keeps room for an offer that has waited long, and fills the gap with short tasks.

use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskRef;

use crate::Owner;
use crate::Tier;
use crate::WorkerKey;
use crate::owner::Task;
use crate::owner::Unit;
use crate::owner::UnitKey;

/// Share of the pool kept for urgent tasks where only waiting time has weight.
pub(super) const MOST_HEADROOM_PERMILLE: u64 = 40;

/// Time past a guard's estimate after which it is estimated anew.
const GUARD_OVERDUE_MS: u64 = 5_000;

/// Offers that room is kept for at once.
const GUARDS_LIMIT: usize = 8;

/// Guards beside which one for a single task may be made.
const GUARDS_BESIDE_SINGLE: usize = 4;

/// Room that is kept until an offer has all that it needs.
#[derive(Debug, Clone)]
pub(super) struct Guard {
    unit: UnitKey,
    /// The workers, and what is kept on each.
    parts: Vec<(WorkerKey, Resources)>,
    at: Millis,
}

impl Owner {
    /// Says whether room is kept for an offer.
    pub(super) fn passes_guard(&self, key: UnitKey) -> bool {
        let mut guards = self.guards.iter();
        guards.any(|guard| guard.unit == key)
    }

    /// Says whether some room of a worker is kept for an offer.
    pub(super) fn is_guarded(&self, worker: WorkerKey) -> bool {
        let mut guards = self.guards.iter();
        guards.any(|guard| guard.parts.iter().any(|part| part.0 == worker))
    }

    /// Drops the guards of offers that are gone, and renews those whose estimate was wrong.
    pub(super) fn review_guards(&mut self, now: Millis) {
        let mut over = Vec::new();
        for guard in &self.guards {
            let unit = self.units.get(guard.unit);
            let waits = unit.is_some_and(|unit| !unit.waiting.is_empty());
            if !waits || now > guard.at.plus(GUARD_OVERDUE_MS) {
                over.push((guard.unit, waits));
            }
        }
        for (unit, waits) in over {
            self.drop_guard(unit);
            if waits {
                self.make_guard(unit, now);
            }
        }
    }

    /// Ends the guard for an offer, if there is one, and frees the room that was kept.
    pub(super) fn drop_guard(&mut self, unit: UnitKey) {
        let Some(number) = self.guards.iter().position(|guard| guard.unit == unit) else {
            return;
        };
        let guard = self.guards.swap_remove(number);
        for (worker, _) in guard.parts {
            self.ledger.set_guarded(worker, Resources::ZERO);
        }
        self.room_freed = true;
    }

    /// Lets an offer use the room that is kept for it, for a moment.
    pub(super) fn lift_guards(&mut self, key: UnitKey) {
        for guard in &self.guards {
            if guard.unit != key {
                continue;
            }
            for (worker, _) in &guard.parts {
                self.ledger.set_guarded(*worker, Resources::ZERO);
            }
        }
    }

    /// Ends [`Owner::lift_guards`].
    pub(super) fn restore_guards(&mut self) {
        for guard in &self.guards {
            for (worker, kept) in &guard.parts {
                self.ledger.set_guarded(*worker, *kept);
            }
        }
    }

    /// Keeps the room that an offer will have soonest.
    pub(super) fn make_guard(&mut self, key: UnitKey, now: Millis) {
        let unit = &self.units[key];
        let known = self.guards.iter().any(|guard| guard.unit == key);
        let most = if unit.waiting.len() > 1 {
            GUARDS_LIMIT
        } else {
            GUARDS_BESIDE_SINGLE
        };
        if known || self.guards.len() >= most {
            return;
        }
        let tier = self.tier_of(unit);
        let need = unit.spec.resources;
        let count = unit.waiting.len();
        let mut soonest = Vec::new();
        for (worker, _) in self.ledger.workers() {
            if !self.is_usable(worker) || self.is_guarded(worker) {
                continue;
            }
            for at in self.room_times(worker, &need, tier, now, count) {
                soonest.push((at, worker));
            }
        }
        soonest.sort_unstable();
        soonest.truncate(count);
        let Some(&(at, _)) = soonest.last() else {
            return;
        };
        if soonest.len() < count {
            return;
        }
        soonest.sort_unstable_by_key(|(_, worker)| *worker);
        let mut parts: Vec<(WorkerKey, Resources)> = Vec::new();
        for (_, worker) in soonest {
            match parts.last_mut() {
                Some((last, kept)) if *last == worker => {
                    *kept = kept.checked_add(&need).unwrap_or(*kept);
                }
                _ => parts.push((worker, need)),
            }
        }
        for (worker, kept) in &parts {
            self.ledger.set_guarded(*worker, *kept);
        }
        self.guards.push(Guard {
            unit: key,
            parts,
            at,
        });
    }

    /// Places a task on a guarded worker if it will likely have ended in time.
    pub(super) fn backfill(
        &mut self,
        unit: &Unit,
        task: TaskRef,
        tier: Tier,
        now: Millis,
    ) -> Option<WorkerKey> {
        let spec = &unit.spec;
        if spec.run_time_ms == 0 || self.guards.is_empty() {
            return None;
        }
        let run_ms = self
            .history
            .run_time_ms(&spec.team, &spec.name, spec.run_time_ms);
        let mut workers = Vec::new();
        for guard in &self.guards {
            if now.plus(run_ms) <= guard.at {
                workers.extend_from_slice(&guard.parts);
            }
        }
        for (worker, kept) in workers {
            if unit.avoid.contains(&worker) || !self.is_usable(worker) {
                continue;
            }
            self.ledger.set_guarded(worker, Resources::ZERO);
            let granted = self.ledger.grant_in(task, worker, spec.resources, tier);
            self.ledger.set_guarded(worker, kept);
            if granted.is_ok() {
                return Some(worker);
            }
        }
        None
    }

    /// Returns when a worker will likely have room for one task, for two, and so on.
    fn room_times(
        &self,
        worker: WorkerKey,
        need: &Resources,
        tier: Tier,
        now: Millis,
        most: usize,
    ) -> Vec<Millis> {
        let mut room = self.ledger.room_for(worker, tier).unwrap_or_default();
        let mut ends = vec![(now, Resources::ZERO)];
        for task in self
            .workers
            .get(worker)
            .iter()
            .flat_map(|state| &state.tasks)
        {
            let state = self.tasks.get(task);
            let end = state.and_then(|state| Some((self.likely_end(state, now)?, state.resources)));
            ends.extend(end);
        }
        ends.sort_by_key(|(at, _)| *at);
        let mut times = Vec::new();
        let mut used = Resources::ZERO;
        for (at, freed) in ends {
            room = room.checked_add(&freed).unwrap_or(room);
            while times.len() < most {
                let Ok(with_one_more) = used.checked_add(need) else {
                    break;
                };
                if !with_one_more.fits_in(&room) {
                    break;
                }
                used = with_one_more;
                times.push(at);
            }
        }
        times
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
