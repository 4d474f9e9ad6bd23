//! Retries of orders that were not accepted.

use syc_retry::backoff_ms;
use syc_types::Millis;

use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::jitter::jitter_seed;
use crate::worker::Phase;

impl Scheduler {
    /// Retries the orders that a worker did not accept, as far as the retry budgets allow.
    pub(crate) fn retry_orders(&mut self, key: WorkerKey, now: Millis) {
        // Orders do not reach a silent worker. They are reviewed once it responds again.
        if self.workers[key].silent {
            return;
        }
        if self.workers[key].breaker.tripped {
            self.send_probe(key, now);
            return;
        }
        let mut due = Vec::new();
        for (task_run, run_state) in &self.workers[key].runs {
            if run_state.in_doubt_since().is_some() && self.is_retry_due(key, *task_run, now) {
                due.push((run_state.ordered_at, *task_run));
            }
        }
        due.sort_unstable();
        for (_, task_run) in due {
            let has_token = self.retry_budget.has_token(now);
            if !has_token || !self.workers[key].breaker.retry_budget.take(now) {
                return;
            }
            self.retry_budget.take(now);
            self.retry_order(key, task_run, now);
        }
    }

    /// Returns whether the latest order about a run has failed and its backoff has elapsed.
    fn is_retry_due(&self, key: WorkerKey, task_run: (TaskId, Run), now: Millis) -> bool {
        let options = &self.options;
        let Some(run_state) = self.workers[key].runs.get(&task_run) else {
            return false;
        };
        let retries = run_state.orders.saturating_sub(1);
        let wait_ms = backoff_ms(
            options.order_retry_ms,
            options.max_retry_delay_ms,
            retries,
            jitter_seed(task_run.0, task_run.1),
        );
        !run_state.in_flight && now.since(run_state.ordered_at) >= wait_ms
    }

    /// Sends the latest order about a run again. A start that reached its attempt limit is replaced by a stop.
    pub(crate) fn retry_order(&mut self, key: WorkerKey, task_run: (TaskId, Run), now: Millis) {
        let (task, run) = task_run;
        let worker = &self.workers[key];
        let withholds_lease = worker.breaker.withholds_lease;
        let is_overcommitted = worker.is_overcommitted() || worker.stale_capacity.is_some();
        let Some(run_state) = worker.runs.get(&task_run) else {
            return;
        };
        if run_state.phase == Phase::Stopping {
            self.send_stop(key, task, run, StopReason::Unwanted, now);
            return;
        }
        let has_recorded_doubt = self.has_recorded_doubt(task, run_state.doubt_change);
        let waits_long = now.since(run_state.doubt_since) > self.options.doubt_record_limit_ms;
        if !has_recorded_doubt && !waits_long {
            return;
        }
        let is_over_cap = self.is_over_cap(run_state.owner);
        let Some(run_state) = self.workers[key].runs.get_mut(&task_run) else {
            return;
        };
        // A start would set a lease, and a run whose capacity is gone, or that its workspace's cap no longer allows,
        // must not be started.
        if withholds_lease
            || !has_recorded_doubt
            || is_overcommitted
            || is_over_cap
            || run_state.orders >= self.options.start_attempts_limit
        {
            run_state.begin_stop(now);
            self.send_stop(key, task, run, StopReason::StartInDoubt, now);
            return;
        }
        run_state.orders += 1;
        run_state.start_copies += 1;
        run_state.ordered_at = now;
        run_state.in_flight = true;
        let retries = run_state.orders - 1;
        let ticket = run_state.ticket.clone();
        self.send_start(key, task, run, ticket, retries, now);
    }

    /// Returns whether the store has that the earlier copies of a start are in doubt. A successor that didn't know of them
    /// would take a repeated start for the only copy.
    fn has_recorded_doubt(&self, task: TaskId, change: u64) -> bool {
        let key = self.job_keys.get(&task.step.job);
        key.is_none_or(|key| self.jobs[*key].recorded_change >= change)
    }
}
