//! What start commands come to.

use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TaskRef;

use crate::Action;
use crate::Owner;
use crate::Refusal;
use crate::StartAnswer;
use crate::owner::Phase;
use crate::owner::Stopping;
use crate::owner::Task;
use crate::owner::offers::REFUSALS_LIMIT;

impl Owner {
    pub(super) fn start_answered(
        &mut self,
        task: TaskRef,
        attempt: u32,
        answer: StartAnswer,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.tasks.get(&task) else {
            return;
        };
        if state.attempt != attempt || state.phase != Phase::Starting {
            return;
        }
        match answer {
            StartAnswer::Started | StartAnswer::InDoubt => {
                self.may_run(task, answer == StartAnswer::InDoubt, now, actions);
            }
            StartAnswer::Refused | StartAnswer::NotSent => {
                self.not_started(task, answer == StartAnswer::Refused, now, actions);
            }
        }
    }

    fn may_run(&mut self, task: TaskRef, in_doubt: bool, now: Millis, actions: &mut Vec<Action>) {
        let lease_until = self.lapse_after(now);
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        let seq = match self.workers.get_mut(state.worker) {
            Some(worker) => {
                worker.lease_until = worker.lease_until.max(lease_until);
                worker.seq
            }
            None => 0,
        };
        state.phase = if in_doubt {
            Phase::InDoubt { since: now, seq }
        } else {
            Phase::Running { seq }
        };
        state.since = now;
        if state.stopping.is_some() {
            actions.push(Action::Stop {
                worker: state.worker,
                task,
                checkpoint: false,
            });
        }
        self.confirm(task, actions);
    }

    /// Counts a task of a unit as started; answers the offer with the last one.
    pub(super) fn confirm(&mut self, task: TaskRef, actions: &mut Vec<Action>) {
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        let Some(key) = state.unit.take() else { return };
        let Some(unit) = self.units.get_mut(key) else {
            return;
        };
        unit.confirmed += 1;
        if unit.confirmed == unit.indexes.len() {
            self.answer_unit(key, actions);
        }
    }

    /// Starts a task elsewhere whose reservation was committed and whose worker did not start it.
    fn move_committed(&mut self, task: TaskRef, state: &Task, actions: &mut Vec<Action>) -> bool {
        let mut moved = state.clone();
        moved.refused_by.push(state.worker);
        if moved.refused_by.len() >= REFUSALS_LIMIT {
            return false;
        }
        let need = state.resources;
        let tier = self.ledger.grant_of(task).map(|grant| grant.tier);
        let tier = tier.unwrap_or_default();
        let chosen = self
            .ledger
            .best_fit_avoiding(&need, tier, &moved.refused_by);
        let Some(worker) = chosen else { return false };
        self.ledger.release(task);
        if self.ledger.grant_in(task, worker, need, tier).is_err() {
            // Not met, as the worker was chosen for its room; the grant goes back to where it was.
            let _ = self.ledger.adopt(task, state.worker, need, tier);
            return false;
        }
        self.remove_spread(task.job_id, state.worker);
        if let Some(worker) = self.workers.get_mut(state.worker) {
            worker.tasks.remove(&task);
            worker.unlisted.remove(&task);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.tasks.insert(task);
            worker.unlisted.insert(task);
        }
        self.refresh_open(state.worker);
        self.room_freed = true;
        moved.worker = worker;
        self.tasks.insert(task, moved);
        self.refresh_open(worker);
        actions.push(self.start_action(task));
        true
    }

    fn not_started(
        &mut self,
        task: TaskRef,
        refused: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let state = self.tasks[&task].clone();
        if refused {
            self.note_failure(&state, now);
        }
        let Some(key) = state.unit else {
            if state.stopping.is_none() && self.move_committed(task, &state, actions) {
                return;
            }
            // A committed reservation, or an offer that was given up: this attempt surely ended.
            if matches!(state.stopping, Some((Stopping::RolledBack, _))) {
                self.drop_task(task);
            } else {
                let cancelled = state.stopping.is_some();
                let outcome = if cancelled {
                    TaskOutcome::Cancelled
                } else {
                    TaskOutcome::Unknown
                };
                self.end_task(task, outcome, 0, now, actions);
            }
            return;
        };
        self.drop_task(task);
        if state.stopping.is_some() {
            // Cancelled while it was being started: it never ran.
            self.roll_back(key, now, actions);
            self.close_unit(key, &Err(Refusal::Cancelled), actions);
            return;
        }
        let unit = &mut self.units[key];
        unit.placed.remove(&task.index);
        unit.avoid.push(state.worker);
        let queued = !unit.waiting.is_empty();
        unit.waiting.push(task.index);
        if self.refused_too_often(key) {
            self.roll_back(key, now, actions);
            self.close_unit(key, &Err(Refusal::NoRoom), actions);
        } else if !queued {
            let spec = &self.units[key].spec;
            let lane = (spec.class, spec.team.clone());
            self.queue.push_front(lane, key);
            self.fresh.push(key);
        }
    }
}
