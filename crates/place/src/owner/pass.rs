//! One look through the queue: who is next, and where its tasks go.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use syc_types::Class;
use syc_types::JobId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskRef;

use crate::Action;
use crate::Owner;
use crate::Spread;
use crate::Tier;
use crate::WorkerKey;
use crate::owner::Phase;
use crate::owner::Task;
use crate::owner::Unit;
use crate::owner::UnitKey;
use crate::owner::queue::Cursor;

/// Offers of a lane that are looked at while those before them find no room.
const LOOK_AHEAD: usize = 8;

/// Interval at which the queue is looked through although no room was freed: waits grow.
const LOOK_INTERVAL_MS: u64 = 500;

/// Orders offers: less goes first.
type Turn = (u8, bool, u128, Millis);

type Turns = BinaryHeap<Reverse<(Turn, Cursor)>>;

/// Amounts that found no room in this pass; what needs as much finds none either.
#[derive(Debug, Default)]
struct Misses(Vec<(Tier, Resources)>);

impl Misses {
    fn cover(&self, tier: Tier, need: &Resources) -> bool {
        let mut misses = self.0.iter();
        misses.any(|(missed, amount)| *missed == tier && amount.fits_in(need))
    }
}

impl Owner {
    /// Places what has room: all that waits after room was freed, else only what is new.
    pub(super) fn place_waiting(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let fresh = std::mem::take(&mut self.fresh);
        let overdue = now.since(self.looked_at) >= LOOK_INTERVAL_MS;
        if self.room_freed || overdue {
            self.room_freed = false;
            self.looked_at = now;
            self.pass(now, actions);
            return;
        }
        // For the others there was no room before, so there is none now.
        let mut misses = Misses::default();
        for key in fresh {
            let waits = self.units.get(key).map(|unit| !unit.waiting.is_empty());
            if waits == Some(true) && !self.try_unit(key, now, &mut misses, actions) {
                self.blocked(key, now, actions);
            }
        }
    }

    /// Places what has room, in the order of class, age, fair share and arrival.
    fn pass(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        self.review_guards(now);
        let mut turns = BinaryHeap::new();
        for cursor in self.queue.cursors() {
            self.push_turn(cursor, now, &mut turns);
        }
        let mut misses = Misses::default();
        while let Some(Reverse((turn, mut cursor))) = turns.pop() {
            let Some(key) = self.live_unit(&cursor) else {
                continue;
            };
            if self.turn(key, now) > turn {
                // Its team has been given more since.
                self.push_turn(cursor, now, &mut turns);
                continue;
            }
            if self.try_unit(key, now, &mut misses, actions) {
                self.queue.remove(&cursor);
            } else {
                self.blocked(key, now, actions);
                cursor.position += 1;
            }
            self.push_turn(cursor, now, &mut turns);
        }
    }

    fn push_turn(&mut self, cursor: Cursor, now: Millis, turns: &mut Turns) {
        if let Some(key) = self.live_unit(&cursor) {
            turns.push(Reverse((self.turn(key, now), cursor)));
        }
    }

    /// Does what can be done for an offer that finds no room.
    fn blocked(&mut self, key: UnitKey, now: Millis, actions: &mut Vec<Action>) {
        let unit = &self.units[key];
        if unit.spec.class == Class::Urgent {
            self.preempt_for(key, now, actions);
        } else if now.since(unit.queued_at) >= self.options.guard_after_ms {
            self.make_guard(key, now);
        }
    }

    /// Returns the offer at a cursor, after dropping those that are no longer there.
    fn live_unit(&mut self, cursor: &Cursor) -> Option<UnitKey> {
        if cursor.position >= LOOK_AHEAD {
            return None;
        }
        loop {
            let key = self.queue.at(cursor)?;
            let waits = self.units.get(key).map(|unit| !unit.waiting.is_empty());
            if waits == Some(true) {
                return Some(key);
            }
            self.queue.remove(cursor);
        }
    }

    fn turn(&self, key: UnitKey, now: Millis) -> Turn {
        let unit = &self.units[key];
        let aged = now.since(unit.queued_at) >= self.options.ageing_ms;
        let level = match unit.spec.class {
            Class::Urgent => 0,
            Class::Normal => 1,
            Class::Patient if aged => 1,
            Class::Patient => 2,
        };
        let share = self.shares.dominant(&unit.spec.team);
        (level, !aged, share, unit.queued_at)
    }

    fn try_unit(
        &mut self,
        key: UnitKey,
        now: Millis,
        misses: &mut Misses,
        actions: &mut Vec<Action>,
    ) -> bool {
        let unit = &self.units[key];
        let need = unit.spec.resources;
        let tier = self.tier_of(unit);
        let ordinary = unit.avoid.is_empty() && !self.passes_guard(key);
        if ordinary && misses.cover(tier, &need) {
            return false;
        }
        let Some(places) = self.grant_unit(key, tier, now) else {
            if ordinary && self.units[key].waiting.len() == 1 {
                misses.0.push((tier, need));
            }
            return false;
        };
        self.begin_unit(key, &places, now, actions);
        true
    }

    /// Returns the part of the room that an offer may use.
    pub(super) fn tier_of(&self, unit: &Unit) -> Tier {
        if unit.spec.class == Class::Urgent {
            return Tier::Urgent;
        }
        // What would not even fit on an empty worker beside its headroom may use all of it.
        let need = &unit.spec.resources;
        if self.ledger.fits_when_empty(need, Tier::Ordinary) {
            return Tier::Ordinary;
        }
        Tier::Urgent
    }

    /// Grants room to every waiting task of an offer, or to none.
    fn grant_unit(
        &mut self,
        key: UnitKey,
        tier: Tier,
        now: Millis,
    ) -> Option<Vec<(TaskRef, WorkerKey)>> {
        let unit = self.units[key].clone();
        let passes = self.passes_guard(key);
        if passes {
            self.lift_guards(key);
        }
        let mut places = Vec::new();
        for &index in &unit.waiting {
            let task = TaskRef {
                job_id: unit.job_id,
                index,
            };
            let granted = self.grant_task(&unit, task, tier, now);
            let Some(worker) = granted else { break };
            places.push((task, worker));
        }
        let complete = places.len() == unit.waiting.len();
        if !complete {
            for (task, worker) in &places {
                self.ledger.release(*task);
                self.forget_spread(&unit, *worker);
                self.refresh_open(*worker);
            }
        }
        if complete {
            self.drop_guard(key);
        }
        if passes {
            self.restore_guards();
        }
        complete.then_some(places)
    }

    fn grant_task(
        &mut self,
        unit: &Unit,
        task: TaskRef,
        tier: Tier,
        now: Millis,
    ) -> Option<WorkerKey> {
        let need = unit.spec.resources;
        let chosen = if self.spread_kinds.contains(&unit.spec.kind) && unit.avoid.is_empty() {
            let none = Spread::default();
            let spread = self.spreads.get(&unit.job_id).unwrap_or(&none);
            self.ledger.spread_fit(&need, tier, spread)
        } else {
            self.ledger.best_fit_avoiding(&need, tier, &unit.avoid)
        };
        let Some(worker) = chosen else {
            return self.backfill(unit, task, tier, now);
        };
        self.ledger.grant_in(task, worker, need, tier).ok()?;
        if self.spread_kinds.contains(&unit.spec.kind) {
            let spread = self.spreads.entry(unit.job_id).or_default();
            spread.add(&self.ledger, worker);
        }
        self.refresh_open(worker);
        Some(worker)
    }

    pub(super) fn forget_spread(&mut self, unit: &Unit, worker: WorkerKey) {
        if self.spread_kinds.contains(&unit.spec.kind) {
            self.remove_spread(unit.job_id, worker);
        }
    }

    pub(super) fn remove_spread(&mut self, job_id: JobId, worker: WorkerKey) {
        let Some(spread) = self.spreads.get_mut(&job_id) else {
            return;
        };
        spread.remove(&self.ledger, worker);
        if spread.is_empty() {
            self.spreads.remove(&job_id);
        }
    }

    fn begin_unit(
        &mut self,
        key: UnitKey,
        places: &[(TaskRef, WorkerKey)],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let hold_ms = self.units[key].hold_ms;
        for &(task, worker) in places {
            self.begin_task(key, task, worker, now);
            if hold_ms == 0 {
                actions.push(self.start_action(task));
            }
        }
        self.units[key].waiting.clear();
        if hold_ms > 0 {
            self.answer_unit(key, actions);
        }
    }

    fn begin_task(&mut self, key: UnitKey, task: TaskRef, worker: WorkerKey, now: Millis) {
        let unit = &mut self.units[key];
        let phase = if unit.hold_ms == 0 {
            Phase::Starting
        } else {
            let until = now.plus(unit.hold_ms);
            self.holds.insert((until, task));
            Phase::Held { until }
        };
        if let Some(info) = self.ledger.worker(worker) {
            unit.placed.insert(task.index, info.id.clone());
        }
        let state = Task {
            attempt: unit.attempt,
            team: unit.spec.team.clone(),
            name: unit.spec.name.clone(),
            idempotent: unit.spec.idempotent,
            resources: unit.spec.resources,
            worker,
            phase,
            since: now,
            spec: Some(Rc::clone(&unit.spec)),
            unit: (unit.hold_ms == 0).then_some(key),
            stopping: None,
            refused_by: Vec::new(),
        };
        self.shares.hold(&state.team, &state.resources);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.tasks.insert(task);
            worker.unlisted.insert(task);
        }
        self.ended.remove(&task);
        self.tasks.insert(task, state);
    }

    /// Makes the start command of a granted task.
    pub(super) fn start_action(&self, task: TaskRef) -> Action {
        let state = &self.tasks[&task];
        Action::Start {
            worker: state.worker,
            task,
            attempt: state.attempt,
            spec: state.spec.clone().unwrap_or_default(),
        }
    }
}
