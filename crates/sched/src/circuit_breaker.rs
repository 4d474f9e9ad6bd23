//! A circuit breaker for the orders to each worker.
//!
//! A worker may answer lease renewals and still accept no orders, so the two are tracked separately. The number of
//! unanswered starts that a worker may have is small until it has accepted an order, and is halved by each failed
//! order. After several consecutive failures the breaker trips: the worker gets no new starts and only one order at a
//! time, as a probe, until it accepts one.
//!
//! If an order stays in doubt for too long, the lease of the worker is withheld. Every order in doubt is thereby
//! resolved eventually, even if the worker never answers.

use syc_retry::Budget;
use syc_retry::backoff_ms;
use syc_types::Millis;

use crate::Action;
use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::jitter::jitter_seed;
use crate::reports::status_note;
use crate::worker::Phase;
use crate::worker::WorkerRun;

/// Burst size of a worker's retry budget. Orders that the worker accepts refill the budget on top of this.
const RETRY_BURST: u64 = 8;

/// Rate at which a worker's retry budget refills by itself, in retries per second.
const RETRIES_PER_S: u64 = 2;

/// Unanswered starts that a worker may have before it has accepted an order.
const INITIAL_START_WINDOW: u32 = 2;

/// Unanswered starts that a worker may have once it has accepted an order.
const MAX_START_WINDOW: u32 = 8;

/// Orders about a run, or probes of its worker, that must have been sent before the lease is withheld. Without this
/// minimum, a healthy worker could lose all its runs over orders that were never retried because other workers had
/// used up the retry budget of the cell.
const MIN_ATTEMPTS: u32 = 3;

/// An order may stay in doubt for this multiple of the usual limit, no matter what runs on the worker and how few
/// retries were sent.
const HARD_LIMIT_FACTOR: u64 = 4;

/// Tracks whether a worker accepts orders.
#[derive(Debug, Clone)]
pub(crate) struct CircuitBreaker {
    /// Consecutive failed orders, each sent after the latest accepted one.
    consecutive_failures: u32,
    /// When the latest accepted order was sent.
    last_accepted_sent_at: Option<Millis>,
    /// Unanswered starts that the worker may have while it accepts orders.
    start_window: u32,
    /// Whether the worker is believed to accept no orders.
    pub(crate) tripped: bool,
    /// Whether one start is allowed as a probe, because no other order can be sent again.
    pub(crate) half_open: bool,
    /// Whether the lease is no longer renewed, so that it expires.
    pub(crate) withholds_lease: bool,
    pub(crate) retry_budget: Budget,
    /// Probes since the breaker tripped.
    probe_attempts: u32,
    next_probe_at: Millis,
    /// When the latest probe was sent, while it is unanswered.
    probe_sent_at: Option<Millis>,
    /// The run whose order failed last. If no run is in doubt and this one is over, stopping it is a harmless probe.
    last_failed: Option<(TaskId, Run)>,
}

impl CircuitBreaker {
    pub(crate) const fn new() -> Self {
        Self {
            consecutive_failures: 0,
            last_accepted_sent_at: None,
            start_window: INITIAL_START_WINDOW,
            tripped: false,
            half_open: false,
            withholds_lease: false,
            retry_budget: Budget::new(RETRY_BURST, RETRIES_PER_S),
            probe_attempts: 0,
            next_probe_at: Millis(0),
            probe_sent_at: None,
            last_failed: None,
        }
    }

    /// Returns whether an order that was sent at that time or later was accepted.
    fn has_accepted_since(&self, at: Millis) -> bool {
        self.last_accepted_sent_at
            .is_some_and(|accepted_at| accepted_at >= at)
    }

    /// Returns how many unanswered starts the worker may have.
    pub(crate) fn max_unanswered_starts(&self) -> u32 {
        let halved = self.start_window.checked_shr(self.consecutive_failures);
        halved.unwrap_or(0).max(1)
    }

    /// Records that the latest probe was answered.
    pub(crate) const fn clear_probe(&mut self) {
        self.probe_sent_at = None;
    }

    /// Returns whether a start may be sent to the worker.
    pub(crate) const fn allows_starts(&self) -> bool {
        !self.withholds_lease && (!self.tripped || self.half_open)
    }

    /// Returns whether an order in doubt was retried often enough to be abandoned, or was never answered by the node
    /// that was to send it.
    fn retries_exhausted(&self, run: &WorkerRun, limit_ms: u64, now: Millis) -> bool {
        let is_unanswered = run.in_flight && now.since(run.ordered_at) > limit_ms;
        let was_probed = self.tripped && self.probe_attempts >= MIN_ATTEMPTS;
        is_unanswered || was_probed || run.orders_in_doubt() >= MIN_ATTEMPTS
    }

    /// Returns whether there is no failed order since the latest accepted one.
    pub(crate) const fn is_healthy(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Resets the backoff, so that the next probe is sent immediately.
    pub(crate) const fn probe_immediately(&mut self, now: Millis) {
        self.probe_attempts = 0;
        self.next_probe_at = now;
        self.probe_sent_at = None;
    }
}

impl Scheduler {
    /// Returns whether renewals may extend the lease of a worker.
    ///
    /// If not, the lease is being withheld: renewals only ask what runs on the worker, and no
    /// [`crate::Event::Renewing`] must be sent.
    #[must_use]
    pub fn may_renew(&self, worker: WorkerKey) -> bool {
        self.workers
            .get(worker)
            .is_none_or(|worker| !worker.breaker.withholds_lease)
    }

    /// Records that a worker accepted an order that was sent at `sent_at`.
    pub(crate) fn order_accepted(&mut self, key: WorkerKey, sent_at: Millis, now: Millis) {
        self.retry_budget.refund();
        let worker = &mut self.workers[key];
        let breaker = &mut worker.breaker;
        breaker.retry_budget.refund();
        breaker.consecutive_failures = 0;
        breaker.start_window = MAX_START_WINDOW;
        breaker.last_accepted_sent_at = breaker.last_accepted_sent_at.max(Some(sent_at));
        breaker.clear_probe();
        breaker.half_open = false;
        if breaker.tripped {
            breaker.tripped = false;
            let note = status_note(worker, "takes_orders", now);
            self.actions.push(note);
        }
    }

    /// Records that a worker did not accept an order about a run. The latest order about it was sent at `sent_at`.
    pub(crate) fn order_failed(
        &mut self,
        key: WorkerKey,
        task_run: (TaskId, Run),
        sent_at: Millis,
        now: Millis,
    ) {
        let limit = self.options.order_failures_limit;
        let worker = &mut self.workers[key];
        let breaker = &mut worker.breaker;
        breaker.clear_probe();
        breaker.half_open = false;
        breaker.last_failed = Some(task_run);
        // Some of several concurrent orders may be lost. An accepted one shows that the worker accepts orders.
        if breaker.has_accepted_since(sent_at) {
            return;
        }
        breaker.consecutive_failures += 1;
        if breaker.tripped || breaker.consecutive_failures < limit {
            return;
        }
        breaker.tripped = true;
        breaker.start_window = INITIAL_START_WINDOW;
        breaker.probe_attempts = 0;
        let note = status_note(worker, "takes_no_orders", now);
        self.actions.push(note);
        self.schedule_next_probe(key, task_run, now);
    }

    fn schedule_next_probe(&mut self, key: WorkerKey, task_run: (TaskId, Run), now: Millis) {
        let options = &self.options;
        let breaker = &mut self.workers[key].breaker;
        breaker.probe_attempts += 1;
        let wait_ms = backoff_ms(
            options.order_retry_ms,
            options.max_probe_delay_ms,
            breaker.probe_attempts,
            jitter_seed(task_run.0, task_run.1),
        );
        breaker.next_probe_at = now.plus(wait_ms);
    }

    /// Probes a worker that accepts no orders, with its oldest order in doubt or a stop of a run that is over.
    pub(crate) fn send_probe(&mut self, key: WorkerKey, now: Millis) {
        // The sending node answers every order eventually, so a probe that is unanswered for this long has failed.
        let wait_ms = self.options.in_doubt_limit_ms;
        let worker = &self.workers[key];
        let breaker = &worker.breaker;
        let is_sent = breaker
            .probe_sent_at
            .is_some_and(|at| now.since(at) < wait_ms);
        if is_sent || now < breaker.next_probe_at {
            return;
        }
        let in_doubt = worker.runs.iter().filter(|(_, run)| is_in_doubt(run));
        let oldest = in_doubt.min_by_key(|(_, run)| run.ordered_at);
        let oldest = oldest.map(|(task_run, _)| *task_run);
        let over = breaker
            .last_failed
            .filter(|task_run| !worker.runs.contains_key(task_run));
        let Some(task_run) = oldest.or(over) else {
            // No order can be sent again, so the next start serves as the probe.
            self.workers[key].breaker.half_open = true;
            return;
        };
        if !self.retry_budget.take(now) {
            return;
        }
        self.schedule_next_probe(key, task_run, now);
        self.workers[key].breaker.probe_sent_at = Some(now);
        if oldest.is_some() {
            self.retry_order(key, task_run, now);
            return;
        }
        self.actions.push(Action::Stop {
            worker: key,
            task: task_run.0,
            run: task_run.1,
            reason: StopReason::Probe,
        });
    }

    /// Withholds the lease of a worker while one of its runs has been in doubt for too long.
    pub(crate) fn check_in_doubt_orders(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.in_doubt_limit_ms;
        let worker = &self.workers[key];
        let breaker = &worker.breaker;
        let is_overdue = |run: &WorkerRun| {
            let Some(since) = unconfirmed_since(run) else {
                return false;
            };
            // A worker that has accepted later orders is likely to accept this one, too.
            let patience = 1 + u64::from(breaker.has_accepted_since(since));
            let in_doubt_ms = now.since(since);
            let is_late =
                in_doubt_ms > limit_ms * patience && breaker.retries_exhausted(run, limit_ms, now);
            is_late || in_doubt_ms > limit_ms * HARD_LIMIT_FACTOR
        };
        let is_past_hard_limit = |run: &WorkerRun| {
            let since = unconfirmed_since(run);
            since.is_some_and(|since| now.since(since) > limit_ms * HARD_LIMIT_FACTOR)
        };
        let should_withhold = worker.runs.values().any(is_overdue);
        // Once the lease is withheld, long-running tasks on the worker already count as unavailable. Past the hard
        // limit, exceeding the unavailability limit is preferred to a task that waits forever.
        let may_change = breaker.withholds_lease
            || self.may_end_serving(key)
            || worker.runs.values().any(is_past_hard_limit);
        let worker = &mut self.workers[key];
        if should_withhold == worker.breaker.withholds_lease || !may_change {
            return;
        }
        worker.breaker.withholds_lease = should_withhold;
        let event = if should_withhold {
            "lease_let_lapse"
        } else {
            "lease_renewed"
        };
        let note = status_note(worker, event, now);
        self.actions.push(note);
    }
}

fn is_in_doubt(run: &WorkerRun) -> bool {
    run.in_doubt_since().is_some()
}

/// Returns the time since which an order about a run has had no effect.
fn unconfirmed_since(run: &WorkerRun) -> Option<Millis> {
    if run.phase == Phase::Stopping {
        // An accepted stop takes effect quickly, and the end is listed then.
        return run.stop_accepted_at.or(Some(run.doubt_since));
    }
    run.in_doubt_since()
}
