//! Orders that were not taken, and are sent again.

use syc_retry::backoff_ms;
use syc_types::Millis;

use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::scatter::seed_of;
use crate::worker::Phase;

impl Scheduler {
    /// Sends orders again that a worker did not take, as far as the budgets reach.
    pub(crate) fn repeat_orders(&mut self, key: WorkerKey, now: Millis) {
        // Nothing reaches one that is silent; what it was told is looked at once it answers.
        if self.workers[key].silent {
            return;
        }
        if self.workers[key].contact.shut {
            self.probe(key, now);
            return;
        }
        let mut due = Vec::new();
        for (name, of_run) in &self.workers[key].runs {
            if of_run.in_doubt_since().is_some() && self.is_due(key, *name, now) {
                due.push((of_run.ordered_at, *name));
            }
        }
        due.sort_unstable();
        for (_, name) in due {
            let has_token = self.repeats.has_token(now);
            if !has_token || !self.workers[key].contact.repeats.take(now) {
                return;
            }
            self.repeats.take(now);
            self.repeat_order(key, name, now);
        }
    }

    /// Says whether the latest order about a run was not taken, and it is time to send it again.
    fn is_due(&self, key: WorkerKey, name: (TaskId, Run), now: Millis) -> bool {
        let options = &self.options;
        let Some(of_run) = self.workers[key].runs.get(&name) else {
            return false;
        };
        let repeats = of_run.orders.saturating_sub(1);
        let wait_ms = backoff_ms(
            options.order_retry_ms,
            options.repeat_limit_ms,
            repeats,
            seed_of(name.0, name.1),
        );
        !of_run.in_flight && now.since(of_run.ordered_at) >= wait_ms
    }

    /// Sends the order about a run again; a start that was sent often enough gives way to a stop.
    pub(crate) fn repeat_order(&mut self, key: WorkerKey, name: (TaskId, Run), now: Millis) {
        let (task, run) = name;
        let worker = &mut self.workers[key];
        let lapsing = worker.contact.lapsing;
        let is_overfull = worker.is_overfull() || worker.room_doubt.is_some();
        let Some(of_run) = worker.runs.get_mut(&name) else {
            return;
        };
        if of_run.phase == Phase::Stopping {
            self.order_stop(key, task, run, StopReason::Unwanted, now);
            return;
        }
        // A start would set a lease, and what has no room any more must not be started.
        if lapsing || is_overfull || of_run.orders >= self.options.start_orders_limit {
            of_run.begin_stop(now);
            self.order_stop(key, task, run, StopReason::StartInDoubt, now);
            return;
        }
        of_run.orders += 1;
        of_run.copies += 1;
        of_run.ordered_at = now;
        of_run.in_flight = true;
        let retries = of_run.orders - 1;
        let ticket = of_run.ticket.clone();
        self.order_start(key, task, run, ticket, retries, now);
    }
}
