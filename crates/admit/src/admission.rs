//! The state machine that decides on the records of one node.

mod routing;

use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;
use syc_retry::Budget;
use syc_retry::backoff_ms;
use syc_types::Millis;

use crate::AdmitOptions;
use crate::AppendAnswer;
use crate::ForwardAnswer;
use crate::LatencyEstimate;
use crate::Outcome;
use crate::RecordKey;
use crate::View;
use crate::record::Entry;
use crate::record::ForwardState;

new_key_type! {
    /// Identifies an append.
    pub struct AppendKey;
}

/// An action to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append records to a partition atomically.
    Append {
        /// Identifies the append in [`Admission::append_answered`].
        append: AppendKey,
        /// The partition.
        partition: u32,
        /// The records, in order.
        records: Vec<RecordKey>,
    },
    /// Forward a record to the scheduler's node.
    Forward {
        /// The record.
        record: RecordKey,
        /// Time left until its caller has to be answered.
        timeout_ms: u64,
    },
    /// Answer the caller of a record. The record is removed.
    Answer {
        /// The record.
        record: RecordKey,
        /// The outcome.
        outcome: Outcome,
    },
}

/// An append in flight.
#[derive(Debug)]
struct Append {
    records: Vec<RecordKey>,
    partition: u32,
    sent_at: Millis,
    /// When it becomes overdue.
    overdue_at: Millis,
    /// Whether its records have been rerouted since.
    is_rerouted: bool,
}

/// Decides on the records of one node.
#[derive(Debug)]
pub struct Admission {
    options: AdmitOptions,
    latency: LatencyEstimate,
    retry_budget: Budget,
    records: SlotMap<RecordKey, Entry>,
    /// Records queued for an append of this node, in order.
    queue: VecDeque<RecordKey>,
    appends: SlotMap<AppendKey, Append>,
    /// Offset of the next append's partition from the node's own; a partition whose append failed
    /// is skipped.
    partition_offset: u32,
    /// The latest time at which a store call was sent that has since been answered.
    answered_sent_at: Millis,
    /// Consecutive failed appends.
    failures: u32,
    /// Maximum concurrent appends of this node, as of the last decision.
    max_appends: usize,
    /// Whether the store was answering, as of the last decision.
    store_answers: bool,
    /// End of the backoff; no append is sent before it.
    backoff_until: Millis,
    /// Time by which all callers are answered, once the node is stopping.
    stop_deadline: Option<Millis>,
    actions: Vec<Action>,
}

impl Admission {
    /// Creates an admission without records.
    #[must_use]
    pub fn new(options: AdmitOptions) -> Self {
        Self {
            options,
            latency: LatencyEstimate::new(options.initial_append_ms),
            retry_budget: Budget::new(options.retry_burst, 0),
            records: SlotMap::with_key(),
            queue: VecDeque::new(),
            appends: SlotMap::with_key(),
            partition_offset: 0,
            answered_sent_at: Millis(0),
            failures: 0,
            max_appends: 1,
            store_answers: true,
            backoff_until: Millis(0),
            stop_deadline: None,
            actions: Vec::new(),
        }
    }

    /// Returns whether no caller waits for an answer.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the current append latency: the estimate, or the time that an unanswered append has
    /// taken so far if that is longer.
    #[must_use]
    pub fn append_ms(&self, now: Millis) -> u64 {
        self.longest_wait_ms(now).max(self.latency.estimate_ms())
    }

    /// Sets a time by which all callers are answered. Callers that arrive after it are answered at
    /// once.
    pub fn stop_by(&mut self, at: Millis) {
        self.stop_deadline = Some(at);
        for entry in self.records.values_mut() {
            entry.deadline = entry.deadline.min(at);
        }
    }

    /// Adds a record with the time by which its caller must be answered. [`Admission::decide`]
    /// returns what is to be done.
    pub fn offer(&mut self, bytes: usize, deadline: Millis) -> RecordKey {
        let deadline = self.stop_deadline.map_or(deadline, |at| deadline.min(at));
        let record = self.records.insert(Entry::new(bytes, deadline));
        self.records[record].is_queued = true;
        self.queue.push_back(record);
        record
    }

    /// Adds a record forwarded by another node. It is not forwarded again.
    pub fn offer_forwarded(&mut self, bytes: usize, deadline: Millis) -> RecordKey {
        let record = self.offer(bytes, deadline);
        self.records[record].forward = ForwardState::Finished;
        record
    }

    /// Handles the result of an append.
    pub fn append_answered(&mut self, append: AppendKey, answer: AppendAnswer, now: Millis) {
        let Some(append) = self.appends.remove(append) else {
            return;
        };
        match answer {
            AppendAnswer::Stored => {
                // A single late answer says nothing about the current latency.
                if !self.is_answer_lost(&append) {
                    self.latency.record(now.since(append.sent_at));
                }
                self.answered_sent_at = self.answered_sent_at.max(append.sent_at);
                self.retry_budget
                    .refund_per_mille(self.options.retry_refund_per_mille);
                self.failures = 0;
            }
            AppendAnswer::Refused => self.back_off(now),
            AppendAnswer::InDoubt => {
                if !self.is_answer_lost(&append) {
                    self.latency.record_timeout();
                    self.back_off(now);
                }
            }
        }
        for record in append.records.iter().rev() {
            self.apply_append_answer(*record, answer, append.partition);
        }
    }

    /// Handles the answer to a forwarded record and how long it took.
    pub fn forward_answered(&mut self, record: RecordKey, answer: ForwardAnswer, took_ms: u64) {
        let Some(entry) = self.records.get_mut(record) else {
            return;
        };
        entry.forward = ForwardState::Finished;
        match answer {
            ForwardAnswer::Stored { partition } => {
                self.latency.record_forwarded(took_ms);
                self.answer(record, Outcome::Stored { partition });
                return;
            }
            ForwardAnswer::Refused { retry_after_ms } if entry.is_certainly_not_stored() => {
                self.answer(record, Outcome::Refused { retry_after_ms });
                return;
            }
            ForwardAnswer::Refused { .. } | ForwardAnswer::NotSent => {}
            ForwardAnswer::InDoubt => entry.may_be_stored = true,
        }
        self.requeue(record);
    }

    /// Returns when [`Admission::decide`] has to be called if nothing else happens.
    #[must_use]
    pub fn next_decision_at(&self, now: Millis) -> Option<Millis> {
        let mut next_decision_at: Option<Millis> = None;
        let mut consider =
            |at: Millis| next_decision_at = Some(next_decision_at.map_or(at, |next| next.min(at)));
        let earliest = now.plus(self.stagger_ms());
        for entry in self.records.values() {
            consider(entry.deadline);
            if let Some(sent_at) = entry.first_sent_at.filter(|_| !self.store_answers) {
                consider(sent_at.plus(self.options.max_doubt_ms).max(earliest));
            }
        }
        for append in self.appends.values() {
            if !append.is_rerouted {
                consider(append.overdue_at);
            }
        }
        if !self.queue.is_empty() && self.appends_in_flight() < self.max_appends {
            consider(self.backoff_until.max(earliest));
        }
        next_decision_at
    }

    /// Returns the actions that are due now.
    #[must_use]
    pub fn decide(&mut self, view: View, now: Millis) -> Vec<Action> {
        self.max_appends = self.max_appends(view, now);
        self.store_answers = view.store_answers;
        self.answered_sent_at = self.answered_sent_at.max(view.answered_sent_at);
        self.answer_expired(now);
        if !view.store_answers {
            self.bypass_store(view, now);
        }
        self.reroute_overdue_appends(view, now);
        if self.is_slow(view, now) {
            self.forward_queued(view, now);
        }
        if !view.has_collector {
            self.requeue_unanswered_forwards();
        }
        self.prune_queue();
        if view.store_answers {
            self.refuse_late_records(now);
            self.append_queued(view, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Answers callers whose deadline has passed.
    fn answer_expired(&mut self, now: Millis) {
        let mut overdue = Vec::new();
        for (record, entry) in &self.records {
            if entry.deadline <= now {
                overdue.push(record);
            }
        }
        for record in overdue {
            self.answer_with_known_outcome(record, now);
        }
    }

    fn apply_append_answer(&mut self, record: RecordKey, answer: AppendAnswer, partition: u32) {
        let Some(entry) = self.records.get_mut(record) else {
            return;
        };
        entry.appends_in_flight -= 1;
        match answer {
            AppendAnswer::Stored => {
                self.answer(record, Outcome::Stored { partition });
                return;
            }
            AppendAnswer::Refused => entry.refusals += 1,
            AppendAnswer::InDoubt => entry.may_be_stored = true,
        }
        self.requeue(record);
    }

    /// Removes records from the queue that are no longer waiting.
    fn prune_queue(&mut self) {
        let records = &self.records;
        let is_queued =
            |record: &RecordKey| records.get(*record).is_some_and(|entry| entry.is_queued);
        self.queue.retain(is_queued);
    }

    /// Puts a record at the front of the queue unless some route is still open.
    fn requeue(&mut self, record: RecordKey) {
        let entry = &mut self.records[record];
        if !entry.is_in_flight() && !entry.is_queued {
            entry.is_queued = true;
            self.queue.push_front(record);
        }
    }

    fn back_off(&mut self, now: Millis) {
        let options = &self.options;
        let seed = now.0;
        let wait_ms = backoff_ms(
            options.backoff_base_ms,
            options.backoff_max_ms,
            self.failures,
            seed,
        );
        self.failures += 1;
        self.partition_offset += 1;
        self.backoff_until = now.plus(wait_ms);
    }

    fn answer_with_known_outcome(&mut self, record: RecordKey, now: Millis) {
        let outcome = self.records[record].outcome(self.retry_after_ms(now));
        self.answer(record, outcome);
    }

    fn answer(&mut self, record: RecordKey, outcome: Outcome) {
        self.records.remove(record);
        self.actions.push(Action::Answer { record, outcome });
    }

    /// Returns the delay after which a refused caller should retry: the time until the current
    /// queue is stored.
    fn retry_after_ms(&self, now: Millis) -> u64 {
        let options = &self.options;
        let stored_at = self.expected_stored_at(self.next_append_at(now), self.queue.len(), now);
        let queue_ms = stored_at.since(now).max(self.append_ms(now));
        queue_ms.clamp(options.min_retry_after_ms, options.max_retry_after_ms)
    }

    /// Returns the appends with a caller that still waits for an answer. The others do not hold up
    /// anything.
    fn live_appends(&self) -> impl Iterator<Item = &Append> {
        let is_live = |append: &&Append| {
            let mut records = append.records.iter();
            records.any(|record| self.records.contains_key(*record))
        };
        self.appends.values().filter(is_live)
    }

    /// Returns whether the answer of an append was lost. It was if a call that was sent later has
    /// been answered: then the cause is not a slow store.
    fn is_answer_lost(&self, append: &Append) -> bool {
        append.sent_at < self.answered_sent_at
    }

    fn appends_in_flight(&self) -> usize {
        let live = self.live_appends();
        live.filter(|append| !(append.is_rerouted && self.is_answer_lost(append)))
            .count()
    }

    /// Returns the maximum number of concurrent appends. Several help only if each takes long, and
    /// only while they are answered: records queued behind an unanswered append are not sent, so
    /// their callers can be told so with certainty.
    fn max_appends(&self, view: View, now: Millis) -> usize {
        let is_slow = self.latency.estimate_ms() >= self.options.slow_ms;
        if view.is_collector && is_slow && self.longest_wait_ms(now) < self.overdue_ms() {
            self.options.max_collector_appends.max(1)
        } else {
            1
        }
    }

    /// Returns the time in flight of the oldest unanswered append with a waiting caller, not
    /// counting lost answers.
    fn longest_wait_ms(&self, now: Millis) -> u64 {
        let unanswered = self
            .live_appends()
            .filter(|append| !self.is_answer_lost(append));
        let waits = unanswered.map(|append| now.since(append.sent_at));
        waits.max().unwrap_or(0)
    }

    fn overdue_ms(&self) -> u64 {
        let scaled_ms = self.latency.estimate_ms() * self.options.overdue_factor;
        scaled_ms.max(self.options.min_overdue_ms)
    }

    /// Returns when the next append can be sent.
    fn next_append_at(&self, now: Millis) -> Millis {
        let estimate_ms = self.append_ms(now);
        let mut append_at = now.max(self.backoff_until);
        let mut in_flight: Vec<_> = self.live_appends().map(|append| append.sent_at).collect();
        in_flight.sort_unstable();
        if in_flight.len() >= self.max_appends
            && let Some(first) = in_flight.first()
        {
            append_at = append_at.max(first.plus(estimate_ms));
        }
        append_at
    }

    /// Returns when a record at a position in the queue will probably be stored.
    fn expected_stored_at(&self, append_at: Millis, position: usize, now: Millis) -> Millis {
        let estimate_ms = self.append_ms(now);
        let batches = u64::try_from(position / self.options.max_batch_records).unwrap_or(u64::MAX);
        let queued_ms = batches.saturating_mul(self.stagger_ms());
        let stored_at = append_at.plus(queued_ms.saturating_add(estimate_ms));
        // A margin, since append latencies vary.
        stored_at.plus(stored_at.since(now) / 4)
    }

    /// Returns the minimum time between consecutive appends of a node that collects records.
    fn stagger_ms(&self) -> u64 {
        let appends = u64::try_from(self.max_appends).unwrap_or(1);
        let scaled_ms = self.latency.estimate_ms() / appends.max(1);
        scaled_ms.max(self.options.min_overdue_ms / 2)
    }
}
