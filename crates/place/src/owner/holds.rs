//! Reservations: room that tasks hold until their home starts them or gives them up.

use syc_types::JobId;
use syc_types::Millis;
use syc_types::TaskRef;
use syc_types::WorkerId;

use crate::Action;
use crate::OfferKey;
use crate::Order;
use crate::Owner;
use crate::Refusal;
use crate::owner::Phase;

impl Owner {
    /// Starts the reserved tasks of an attempt, or gives them up, and answers the home.
    pub(super) fn held(
        &mut self,
        offer: OfferKey,
        (job_id, attempt): (JobId, u32),
        commit: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut tasks = Vec::new();
        let mut known = false;
        for (task, state) in &self.tasks {
            if task.job_id != job_id || state.attempt != attempt {
                continue;
            }
            known = true;
            if matches!(state.phase, Phase::Held { .. }) {
                tasks.push(*task);
            }
        }
        tasks.sort_unstable();
        if !commit {
            for task in &tasks {
                self.drop_task(*task);
            }
            let outcome = Ok(Vec::new());
            actions.push(Action::Answer { offer, outcome });
            return;
        }
        if !known {
            let outcome = Err(Refusal::NoRoom);
            actions.push(Action::Answer { offer, outcome });
            return;
        }
        let mut workers = Vec::new();
        for task in tasks {
            workers.extend(self.start_held(task, actions));
        }
        let outcome = Ok(workers);
        actions.push(Action::Answer { offer, outcome });
    }

    /// Does with reservations what a repeated offer asks for: keeps them longer, or starts them.
    pub(super) fn renew_holds(&mut self, order: &Order, now: Millis, actions: &mut Vec<Action>) {
        for &index in &order.indexes {
            let task = TaskRef {
                job_id: order.job_id,
                index,
            };
            if order.hold_ms == 0 {
                self.start_held(task, actions);
                continue;
            }
            let Some(state) = self.tasks.get_mut(&task) else {
                continue;
            };
            let Phase::Held { until } = state.phase else {
                continue;
            };
            let later = now.plus(order.hold_ms);
            state.phase = Phase::Held { until: later };
            self.holds.remove(&(until, task));
            self.holds.insert((later, task));
        }
    }

    fn start_held(&mut self, task: TaskRef, actions: &mut Vec<Action>) -> Option<WorkerId> {
        let state = self.tasks.get_mut(&task)?;
        let Phase::Held { until } = state.phase else {
            return None;
        };
        self.holds.remove(&(until, task));
        state.phase = Phase::Starting;
        let info = self.ledger.worker(state.worker);
        let worker = info.map(|info| info.id.clone());
        actions.push(self.start_action(task));
        worker
    }

    /// Lets reservations lapse.
    pub(super) fn lapse_holds(&mut self, now: Millis) {
        while let Some(&(until, task)) = self.holds.first() {
            if until > now {
                return;
            }
            self.holds.pop_first();
            self.drop_task(task);
        }
    }
}
