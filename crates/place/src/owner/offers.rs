//! What homes ask for: offers and cancellations.

use std::collections::HashMap;
use std::collections::HashSet;

use syc_types::JobId;
use syc_types::Millis;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;

use crate::Action;
use crate::OfferKey;
use crate::Order;
use crate::Owner;
use crate::Refusal;
use crate::owner::Phase;
use crate::owner::Stopping;
use crate::owner::Unit;
use crate::owner::UnitKey;

/// Starts that workers may refuse before an offer is given up.
pub(super) const REFUSALS_LIMIT: usize = 3;

/// What is known already of an offer's tasks.
enum Known {
    /// Nothing.
    New,
    /// All of them have these workers.
    Placed(Vec<WorkerId>),
    /// They are in the queue, or being started, as this unit.
    Queued(UnitKey),
    /// It can't be taken.
    Refused(Refusal),
}

impl Owner {
    pub(super) fn offered(
        &mut self,
        offer: OfferKey,
        order: Order,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let known = self.known(&order);
        if matches!(known, Known::Placed(_)) {
            self.renew_holds(&order, now, actions);
        }
        let outcome = match known {
            Known::New => {
                self.enqueue(offer, order, now);
                return;
            }
            Known::Queued(unit) => {
                self.units[unit].offers.push(offer);
                return;
            }
            Known::Placed(workers) => Ok(workers),
            Known::Refused(refusal) => Err(refusal),
        };
        actions.push(Action::Answer { offer, outcome });
    }

    fn known(&self, order: &Order) -> Known {
        let mut seen = HashSet::new();
        let distinct = order.indexes.iter().all(|index| seen.insert(*index));
        if order.indexes.is_empty() || !distinct {
            return Known::Refused(Refusal::Malformed);
        }
        let mut workers = Vec::new();
        let mut units = HashSet::new();
        for &index in &order.indexes {
            let task = TaskRef {
                job_id: order.job_id,
                index,
            };
            if let Some(&unit) = self.unit_of.get(&task) {
                if self.units[unit].attempt != order.attempt {
                    return Known::Refused(Refusal::OtherAttempt);
                }
                units.insert(unit);
                continue;
            }
            match self.known_worker(task, order.attempt) {
                Ok(Some(worker)) => workers.push(worker),
                Ok(None) => {}
                Err(refusal) => return Known::Refused(refusal),
            }
        }
        let count = order.indexes.len();
        let unit = units.iter().next().copied();
        if let Some(unit) = unit
            && units.len() == 1
            && workers.is_empty()
            && self.units[unit].indexes == order.indexes
        {
            return Known::Queued(unit);
        }
        if units.is_empty() && workers.len() == count {
            return Known::Placed(workers);
        }
        if !units.is_empty() || !workers.is_empty() {
            // All or none would not hold for a part of what is known.
            return Known::Refused(Refusal::OtherAttempt);
        }
        if self.ledger.workers().next().is_some()
            && let Some(refusal) = self.never_fits(&order.spec, count)
        {
            return Known::Refused(refusal);
        }
        Known::New
    }

    fn known_worker(&self, task: TaskRef, attempt: u32) -> Result<Option<WorkerId>, Refusal> {
        if let Some(state) = self.tasks.get(&task) {
            if state.attempt != attempt {
                return Err(Refusal::OtherAttempt);
            }
            let info = self.ledger.worker(state.worker);
            return Ok(info.map(|info| info.id.clone()));
        }
        match self.ended.get(&task) {
            Some(end) if end.attempt == attempt => Err(Refusal::AlreadyEnded),
            Some(end) if end.attempt > attempt => Err(Refusal::OtherAttempt),
            Some(_) | None => Ok(None),
        }
    }

    fn enqueue(&mut self, offer: OfferKey, order: Order, now: Millis) {
        let deadline = now.plus(order.wait_ms);
        let lane = (order.spec.class, order.spec.team.clone());
        let unit = self.units.insert(Unit {
            job_id: order.job_id,
            spec: order.spec,
            attempt: order.attempt,
            waiting: order.indexes.clone(),
            indexes: order.indexes,
            placed: HashMap::new(),
            confirmed: 0,
            queued_at: now,
            deadline,
            hold_ms: order.hold_ms,
            offers: vec![offer],
            avoid: Vec::new(),
            preempt_after: now,
        });
        for &index in &self.units[unit].indexes {
            let task = TaskRef {
                job_id: order.job_id,
                index,
            };
            self.unit_of.insert(task, unit);
        }
        self.deadlines.insert((deadline, unit));
        self.queue.push(lane, unit);
        self.fresh.push(unit);
    }

    /// Answers the offers of a unit with its workers, and forgets the unit.
    pub(super) fn answer_unit(&mut self, key: UnitKey, actions: &mut Vec<Action>) {
        let unit = &self.units[key];
        let mut workers = Vec::new();
        for index in &unit.indexes {
            workers.extend(unit.placed.get(index).cloned());
        }
        self.close_unit(key, &Ok(workers), actions);
    }

    /// Answers the offers of a unit, and forgets the unit.
    pub(super) fn close_unit(
        &mut self,
        key: UnitKey,
        outcome: &Result<Vec<WorkerId>, Refusal>,
        actions: &mut Vec<Action>,
    ) {
        let Some(unit) = self.units.remove(key) else {
            return;
        };
        self.deadlines.remove(&(unit.deadline, key));
        for index in unit.indexes {
            let task = TaskRef {
                job_id: unit.job_id,
                index,
            };
            self.unit_of.remove(&task);
            if let Some(state) = self.tasks.get_mut(&task) {
                state.unit = None;
            }
        }
        for offer in unit.offers {
            let outcome = outcome.clone();
            actions.push(Action::Answer { offer, outcome });
        }
    }

    /// Gives up the offers whose wait is over.
    pub(super) fn expire_units(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for &(deadline, key) in &self.deadlines {
            if deadline > now {
                break;
            }
            due.push(key);
        }
        for key in due {
            if self.units[key].waiting.is_empty() {
                continue;
            }
            self.roll_back(key, now, actions);
            self.close_unit(key, &Err(Refusal::NoRoom), actions);
        }
    }

    /// Gives up an offer that workers keep refusing to start.
    pub(super) fn refused_too_often(&self, key: UnitKey) -> bool {
        self.units[key].avoid.len() >= REFUSALS_LIMIT
    }

    /// Ends what was started of a unit that can't be started as a whole.
    pub(super) fn roll_back(&mut self, key: UnitKey, now: Millis, actions: &mut Vec<Action>) {
        let unit = &self.units[key];
        let mut placed = Vec::new();
        for &index in unit.placed.keys() {
            placed.push(TaskRef {
                job_id: unit.job_id,
                index,
            });
        }
        placed.sort_unstable();
        for task in placed {
            self.stop_task(task, Stopping::RolledBack, now, actions);
        }
    }

    /// Commands the end of a task that runs or may run; a reserved one just gives its room back.
    pub(super) fn stop_task(
        &mut self,
        task: TaskRef,
        why: Stopping,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        if let Phase::Held { .. } = state.phase {
            self.drop_task(task);
            return;
        }
        state.stopping = Some((why, now));
        if let Some(worker) = self.workers.get_mut(state.worker) {
            worker.watched = true;
        }
        if state.phase != Phase::Starting {
            actions.push(Action::Stop {
                worker: state.worker,
                task,
                checkpoint: false,
            });
        }
    }

    pub(super) fn stopped(
        &mut self,
        job_id: JobId,
        indexes: &[u32],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        for &index in indexes {
            let task = TaskRef { job_id, index };
            let unit = self.unit_of.get(&task).copied();
            if let Some(key) = unit
                && !self.units[key].waiting.is_empty()
            {
                self.roll_back(key, now, actions);
                self.close_unit(key, &Err(Refusal::Cancelled), actions);
                continue;
            }
            let state = self.tasks.get(&task);
            if state.is_some_and(|state| state.stopping.is_none()) {
                self.stop_task(task, Stopping::Cancelled, now, actions);
            }
        }
    }

    /// Drops what the former home of a team queued or reserved; its new home offers it again.
    pub(super) fn home_changed(&mut self, team: &TeamId, actions: &mut Vec<Action>) {
        let mut queued = Vec::new();
        for (key, unit) in &self.units {
            if unit.spec.team == *team && unit.placed.is_empty() {
                queued.push(key);
            }
        }
        for key in queued {
            self.close_unit(key, &Err(Refusal::Cancelled), actions);
        }
        let mut held = Vec::new();
        for (_, task) in &self.holds {
            if self
                .tasks
                .get(task)
                .is_some_and(|state| state.team == *team)
            {
                held.push(*task);
            }
        }
        for task in held {
            self.drop_task(task);
        }
    }
}
