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
use crate::reports::belief;
use crate::scatter::seed_of;
use crate::worker::Phase;
use crate::worker::WorkerRun;

/// Repeats that a worker may be sent at once, beside those that orders that it took pay for.
const REPEATS_BURST: u64 = 8;

/// Repeats that a worker is sent a second at most, beside those that orders that it took pay for.
const REPEATS_PER_S: u64 = 2;

/// Starts without an answer that a worker has at most before it has taken an order.
const FIRST_STARTS: u32 = 2;

/// Starts without an answer that a worker has at most.
const STARTS_LIMIT: u32 = 8;

/// Orders about a run, or probes of its worker, before a doubt lets the lease lapse. Where others use up what the
/// cell has for repeats, a sound worker would lose all that runs there over orders that were never sent again.
const ORDERS_TRIED: u32 = 3;

/// A doubt lasts at most so many times its usual limit, whatever serves on the worker and however few orders were
/// sent again.
const DOUBT_LIMITS: u64 = 4;

/// What is known of the orders to a worker.
#[derive(Debug, Clone)]
pub(crate) struct Contact {
    /// Orders in a row that were not taken, each of them sent after the latest that was.
    misses: u32,
    /// When the latest order that it took had been sent.
    taken_sent_at: Option<Millis>,
    /// Starts without an answer that it may have, while it takes what it is sent.
    window: u32,
    /// Whether it is believed to take no orders.
    pub(crate) shut: bool,
    /// Whether it gets one start all the same, where no other order can be sent again to find out.
    pub(crate) half_open: bool,
    /// Whether its lease is let lapse.
    pub(crate) lapsing: bool,
    pub(crate) repeats: Budget,
    /// Probes since it was believed to take no orders.
    probes: u32,
    probe_at: Millis,
    /// The latest probe, while it has no answer.
    probe_sent_at: Option<Millis>,
    /// The latest run of which an order was not taken: where no run is in doubt, a stop of it does no harm.
    untaken: Option<(TaskId, Run)>,
}

impl Contact {
    pub(crate) const fn new() -> Self {
        Self {
            misses: 0,
            taken_sent_at: None,
            window: FIRST_STARTS,
            shut: false,
            half_open: false,
            lapsing: false,
            repeats: Budget::new(REPEATS_BURST, REPEATS_PER_S),
            probes: 0,
            probe_at: Millis(0),
            probe_sent_at: None,
            untaken: None,
        }
    }

    /// Says whether it has taken an order that was sent at that time or later.
    fn has_taken_since(&self, at: Millis) -> bool {
        self.taken_sent_at.is_some_and(|taken| taken >= at)
    }

    /// Returns how many starts without an answer it may have.
    pub(crate) fn starts_limit(&self) -> u32 {
        let halved = self.window.checked_shr(self.misses);
        halved.unwrap_or(0).max(1)
    }

    /// Takes note that the latest probe has come to something.
    pub(crate) const fn probe_over(&mut self) {
        self.probe_sent_at = None;
    }

    /// Says whether it may be sent a start.
    pub(crate) const fn is_open(&self) -> bool {
        !self.lapsing && (!self.shut || self.half_open)
    }

    /// Says whether an order that is in doubt was sent again often enough to be given up, or was never answered by
    /// the node that was to send it.
    fn was_tried(&self, run: &WorkerRun, limit_ms: u64, now: Millis) -> bool {
        let is_stuck = run.in_flight && now.since(run.ordered_at) > limit_ms;
        let was_probed = self.shut && self.probes >= ORDERS_TRIED;
        is_stuck || was_probed || run.doubtful_orders() >= ORDERS_TRIED
    }

    /// Says whether the latest order that was answered was taken.
    pub(crate) const fn is_sound(&self) -> bool {
        self.misses == 0
    }

    /// Lets the next probe go at once.
    pub(crate) const fn probe_soon(&mut self, now: Millis) {
        self.probes = 0;
        self.probe_at = now;
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
            .is_none_or(|worker| !worker.contact.lapsing)
    }

    /// Takes note that a worker took an order that was sent at that time.
    pub(crate) fn order_taken(&mut self, key: WorkerKey, sent_at: Millis, now: Millis) {
        self.repeats.refund();
        let worker = &mut self.workers[key];
        let contact = &mut worker.contact;
        contact.repeats.refund();
        contact.misses = 0;
        contact.window = STARTS_LIMIT;
        contact.taken_sent_at = contact.taken_sent_at.max(Some(sent_at));
        contact.probe_over();
        contact.half_open = false;
        if contact.shut {
            contact.shut = false;
            let note = belief(worker, "takes_orders", now);
            self.actions.push(note);
        }
    }

    /// Takes note that a worker did not take an order about a run, the latest of which was sent at that time.
    pub(crate) fn order_missed(
        &mut self,
        key: WorkerKey,
        name: (TaskId, Run),
        sent_at: Millis,
        now: Millis,
    ) {
        let limit = self.options.order_misses_limit;
        let worker = &mut self.workers[key];
        let contact = &mut worker.contact;
        contact.probe_over();
        contact.half_open = false;
        contact.untaken = Some(name);
        // Of orders that were sent together, some may be lost: those that are taken speak for the rest.
        if contact.has_taken_since(sent_at) {
            return;
        }
        contact.misses += 1;
        if contact.shut || contact.misses < limit {
            return;
        }
        contact.shut = true;
        contact.window = FIRST_STARTS;
        contact.probes = 0;
        let note = belief(worker, "takes_no_orders", now);
        self.actions.push(note);
        self.set_next_probe(key, name, now);
    }

    fn set_next_probe(&mut self, key: WorkerKey, name: (TaskId, Run), now: Millis) {
        let options = &self.options;
        let contact = &mut self.workers[key].contact;
        contact.probes += 1;
        let wait_ms = backoff_ms(
            options.order_retry_ms,
            options.probe_limit_ms,
            contact.probes,
            seed_of(name.0, name.1),
        );
        contact.probe_at = now.plus(wait_ms);
    }

    /// Sends a worker that takes no orders one order again, or a stop of a run that is over.
    pub(crate) fn probe(&mut self, key: WorkerKey, now: Millis) {
        // A node answers each order itself in the end; that none did is taken for a miss.
        let wait_ms = self.options.doubt_limit_ms;
        let worker = &self.workers[key];
        let contact = &worker.contact;
        let is_sent = contact
            .probe_sent_at
            .is_some_and(|at| now.since(at) < wait_ms);
        if is_sent || now < contact.probe_at {
            return;
        }
        let doubts = worker.runs.iter().filter(|(_, run)| is_doubtful(run));
        let oldest = doubts.min_by_key(|(_, run)| run.ordered_at);
        let oldest = oldest.map(|(name, _)| *name);
        let over = contact
            .untaken
            .filter(|name| !worker.runs.contains_key(name));
        let Some(name) = oldest.or(over) else {
            // There is no order that could be sent again: the next start is the probe.
            self.workers[key].contact.half_open = true;
            return;
        };
        if !self.repeats.take(now) {
            return;
        }
        self.set_next_probe(key, name, now);
        self.workers[key].contact.probe_sent_at = Some(now);
        if oldest.is_some() {
            self.repeat_order(key, name, now);
            return;
        }
        self.actions.push(Action::Stop {
            worker: key,
            task: name.0,
            run: name.1,
            reason: StopReason::Probe,
        });
    }

    /// Lets the lease of a worker lapse while it holds something that has been in doubt for too long.
    pub(crate) fn watch_doubts(&mut self, key: WorkerKey, now: Millis) {
        let limit_ms = self.options.doubt_limit_ms;
        let worker = &self.workers[key];
        let contact = &worker.contact;
        let is_overdue = |run: &WorkerRun| {
            let Some(since) = unsettled_since(run) else {
                return false;
            };
            // One that takes orders is likely to take this one, too.
            let patience = 1 + u64::from(contact.has_taken_since(since));
            let doubt_ms = now.since(since);
            let is_late = doubt_ms > limit_ms * patience && contact.was_tried(run, limit_ms, now);
            is_late || doubt_ms > limit_ms * DOUBT_LIMITS
        };
        let is_endless = |run: &WorkerRun| {
            let since = unsettled_since(run);
            since.is_some_and(|since| now.since(since) > limit_ms * DOUBT_LIMITS)
        };
        let lapses = worker.runs.values().any(is_overdue);
        // Once it has begun, what serves there counts as away. A task that waits for ever is worse than too many away.
        let may_begin =
            contact.lapsing || self.may_end_serving(key) || worker.runs.values().any(is_endless);
        let worker = &mut self.workers[key];
        if lapses == worker.contact.lapsing || !may_begin {
            return;
        }
        worker.contact.lapsing = lapses;
        let name = if lapses {
            "lease_let_lapse"
        } else {
            "lease_renewed"
        };
        let note = belief(worker, name, now);
        self.actions.push(note);
    }
}

fn is_doubtful(run: &WorkerRun) -> bool {
    run.in_doubt_since().is_some()
}

/// Returns since when an order about a run has not had its effect.
fn unsettled_since(run: &WorkerRun) -> Option<Millis> {
    if run.phase == Phase::Stopping {
        // One that was taken has its effect within moments; the end is listed then.
        return run.stop_taken_at.or(Some(run.doubt_since));
    }
    run.in_doubt_since()
}
