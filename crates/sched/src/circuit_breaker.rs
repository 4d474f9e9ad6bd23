//! Whether a worker takes orders, which says something else than whether it answers renewals.
//!
//! What it is given at once is little until it has taken an order, and less with each one that it has not.
//! One that leaves several orders in a row untaken gets no new starts, and one order at a time as a probe, until it
//! has taken one (a circuit breaker, half open for each probe). A doubt that outlasts its bound lets the lease of
//! the worker lapse on purpose, so that each doubt has an end that needs no answer of the worker.

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

/// Repeats that a worker may be sent at once, beside those that orders that it took pay for.
const RETRY_BURST: u64 = 8;

/// Repeats that a worker is sent a second at most, beside those that orders that it took pay for.
const RETRIES_PER_S: u64 = 2;

/// Starts without an answer that a worker has at most before it has taken an order.
const INITIAL_START_WINDOW: u32 = 2;

/// Starts without an answer that a worker has at most.
const MAX_START_WINDOW: u32 = 8;

/// Orders about a run, or probes of its worker, before a doubt lets the lease lapse. Where others use up what the
/// cell has for repeats, a sound worker would lose all that runs there over orders that were never sent again.
const MIN_ATTEMPTS: u32 = 3;

/// A doubt lasts at most so many times its usual limit, whatever serves on the worker and however few orders were
/// sent again.
const HARD_LIMIT_FACTOR: u64 = 4;

/// What is known of the orders to a worker.
#[derive(Debug, Clone)]
pub(crate) struct CircuitBreaker {
    /// Orders in a row that were not taken, each of them sent after the latest that was.
    consecutive_failures: u32,
    /// When the latest order that it took had been sent.
    last_accepted_sent_at: Option<Millis>,
    /// Starts without an answer that it may have, while it takes what it is sent.
    start_window: u32,
    /// Whether it is believed to take no orders.
    pub(crate) tripped: bool,
    /// Whether it gets one start all the same, where no other order can be sent again to find out.
    pub(crate) half_open: bool,
    /// Whether its lease is let lapse.
    pub(crate) withholds_lease: bool,
    pub(crate) retry_budget: Budget,
    /// Probes since it was believed to take no orders.
    probe_attempts: u32,
    next_probe_at: Millis,
    /// The latest probe, while it has no answer.
    probe_sent_at: Option<Millis>,
    /// The latest run of which an order was not taken: where no run is in doubt, a stop of it does no harm.
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

    /// Says whether it has taken an order that was sent at that time or later.
    fn has_accepted_since(&self, at: Millis) -> bool {
        self.last_accepted_sent_at
            .is_some_and(|accepted_at| accepted_at >= at)
    }

    /// Returns how many starts without an answer it may have.
    pub(crate) fn max_unanswered_starts(&self) -> u32 {
        let halved = self.start_window.checked_shr(self.consecutive_failures);
        halved.unwrap_or(0).max(1)
    }

    /// Takes note that the latest probe has come to something.
    pub(crate) const fn clear_probe(&mut self) {
        self.probe_sent_at = None;
    }

    /// Says whether it may be sent a start.
    pub(crate) const fn allows_starts(&self) -> bool {
        !self.withholds_lease && (!self.tripped || self.half_open)
    }

    /// Says whether an order that is in doubt was sent again often enough to be given up, or was never answered by
    /// the node that was to send it.
    fn retries_exhausted(&self, run: &WorkerRun, limit_ms: u64, now: Millis) -> bool {
        let is_unanswered = run.in_flight && now.since(run.ordered_at) > limit_ms;
        let was_probed = self.tripped && self.probe_attempts >= MIN_ATTEMPTS;
        is_unanswered || was_probed || run.orders_in_doubt() >= MIN_ATTEMPTS
    }

    /// Says whether the latest order that was answered was taken.
    pub(crate) const fn is_healthy(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Lets the next probe go at once.
    pub(crate) const fn probe_immediately(&mut self, now: Millis) {
        self.probe_attempts = 0;
        self.next_probe_at = now;
        self.probe_sent_at = None;
    }
}

impl Scheduler {
    /// Says whether renewals may set leases on a worker. Where they may not, its lease is let lapse on
    /// purpose: it is only asked what runs, and no [`crate::Event::Renewing`] is made.
    #[must_use]
    pub fn may_renew(&self, worker: WorkerKey) -> bool {
        self.workers
            .get(worker)
            .is_none_or(|worker| !worker.contact.withholds_lease)
    }

    /// Takes note that a worker took an order that was sent at that time.
    pub(crate) fn order_accepted(&mut self, key: WorkerKey, sent_at: Millis, now: Millis) {
        self.retry_budget.refund();
        let worker = &mut self.workers[key];
        let contact = &mut worker.contact;
        contact.retry_budget.refund();
        contact.consecutive_failures = 0;
        contact.start_window = MAX_START_WINDOW;
        contact.last_accepted_sent_at = contact.last_accepted_sent_at.max(Some(sent_at));
        contact.clear_probe();
        contact.half_open = false;
        if contact.tripped {
            contact.tripped = false;
            let note = status_note(worker, "takes_orders", now);
            self.actions.push(note);
        }
    }

    /// Takes note that a worker did not take an order about a run, the latest of which was sent at that time.
    pub(crate) fn order_failed(
        &mut self,
        key: WorkerKey,
        task_run: (TaskId, Run),
        sent_at: Millis,
        now: Millis,
    ) {
        let limit = self.options.order_failures_limit;
        let worker = &mut self.workers[key];
        let contact = &mut worker.contact;
        contact.clear_probe();
        contact.half_open = false;
        contact.last_failed = Some(task_run);
        // Of orders that were sent together, some may be lost: those that are taken speak for the rest.
        if contact.has_accepted_since(sent_at) {
            return;
        }
        contact.consecutive_failures += 1;
        if contact.tripped || contact.consecutive_failures < limit {
            return;
        }
        contact.tripped = true;
        contact.start_window = INITIAL_START_WINDOW;
        contact.probe_attempts = 0;
        let note = status_note(worker, "takes_no_orders", now);
        self.actions.push(note);
        self.schedule_next_probe(key, task_run, now);
    }

    fn schedule_next_probe(&mut self, key: WorkerKey, task_run: (TaskId, Run), now: Millis) {
        let options = &self.options;
        let contact = &mut self.workers[key].contact;
        contact.probe_attempts += 1;
        let wait_ms = backoff_ms(
            options.order_retry_ms,
            options.max_probe_delay_ms,
            contact.probe_attempts,
            jitter_seed(task_run.0, task_run.1),
        );
        contact.next_probe_at = now.plus(wait_ms);
    }

    /// Sends a worker that takes no orders one order again, or a stop of a run that is over.
    pub(crate) fn send_probe(&mut self, key: WorkerKey, now: Millis) {
        // A node answers each order itself in the end; that none did is taken for a miss.
        let wait_ms = self.options.in_doubt_limit_ms;
        let worker = &self.workers[key];
        let contact = &worker.contact;
        let is_sent = contact
            .probe_sent_at
            .is_some_and(|at| now.since(at) < wait_ms);
        if is_sent || now < contact.next_probe_at {
            return;
        }
        let in_doubt = worker.runs.iter().filter(|(_, run)| is_in_doubt(run));
        let oldest = in_doubt.min_by_key(|(_, run)| run.ordered_at);
        let oldest = oldest.map(|(task_run, _)| *task_run);
        let over = contact
            .last_failed
            .filter(|task_run| !worker.runs.contains_key(task_run));
        let Some(task_run) = oldest.or(over) else {
            // There is no order that could be sent again: the next start is the probe.
            self.workers[key].contact.half_open = true;
            return;
        };
        if !self.retry_budget.take(now) {
            return;
        }
        self.schedule_next_probe(key, task_run, now);
        self.workers[key].contact.probe_sent_at = Some(now);
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

    /// Lets the lease of a worker lapse while it holds something that has been in doubt for too long.
    pub(crate) fn check_in_doubt_orders(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.in_doubt_limit_ms;
        let worker = &self.workers[key];
        let contact = &worker.contact;
        let is_overdue = |run: &WorkerRun| {
            let Some(since) = unconfirmed_since(run) else {
                return false;
            };
            // One that takes orders is likely to take this one, too.
            let patience = 1 + u64::from(contact.has_accepted_since(since));
            let in_doubt_ms = now.since(since);
            let is_late =
                in_doubt_ms > limit_ms * patience && contact.retries_exhausted(run, limit_ms, now);
            is_late || in_doubt_ms > limit_ms * HARD_LIMIT_FACTOR
        };
        let is_past_hard_limit = |run: &WorkerRun| {
            let since = unconfirmed_since(run);
            since.is_some_and(|since| now.since(since) > limit_ms * HARD_LIMIT_FACTOR)
        };
        let should_withhold = worker.runs.values().any(is_overdue);
        // Once it has begun, what serves there counts as away. A task that waits for ever is worse than too many away.
        let may_change = contact.withholds_lease
            || self.may_end_serving(key)
            || worker.runs.values().any(is_past_hard_limit);
        let worker = &mut self.workers[key];
        if should_withhold == worker.contact.withholds_lease || !may_change {
            return;
        }
        worker.contact.withholds_lease = should_withhold;
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

/// Returns since when an order about a run has not had its effect.
fn unconfirmed_since(run: &WorkerRun) -> Option<Millis> {
    if run.phase == Phase::Stopping {
        // One that was taken has its effect within moments; the end is listed then.
        return run.stop_accepted_at.or(Some(run.doubt_since));
    }
    run.in_doubt_since()
}
