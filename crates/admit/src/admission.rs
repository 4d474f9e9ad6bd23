//! The records of one node on their way into the store.

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
    /// Names an append.
    pub struct AppendKey;
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append records to a partition, all or none.
    Append {
        /// Names the append in [`Admission::append_answered`].
        append: AppendKey,
        /// Where.
        partition: u32,
        /// What, in order.
        records: Vec<RecordKey>,
    },
    /// Hand a record to the scheduler's node.
    Forward {
        /// The record.
        record: RecordKey,
        /// Its caller is answered after this time at the latest.
        timeout_ms: u64,
    },
    /// Answer the caller of a record, which is forgotten.
    Answer {
        /// The record.
        record: RecordKey,
        /// What is certain.
        outcome: Outcome,
    },
}

/// An append under way.
#[derive(Debug)]
struct Append {
    records: Vec<RecordKey>,
    partition: u32,
    sent_at: Millis,
    /// When it is overdue.
    overdue_at: Millis,
    /// Whether its records were sent on another way since.
    is_rerouted: bool,
}

/// Decides about the records of one node.
#[derive(Debug)]
pub struct Admission {
    options: AdmitOptions,
    latency: LatencyEstimate,
    retry_budget: Budget,
    records: SlotMap<RecordKey, Entry>,
    /// Records that wait for an append of this node, in their order.
    queue: VecDeque<RecordKey>,
    appends: SlotMap<AppendKey, Append>,
    /// Partitions beyond the node's own that the next append goes to: one that failed is left.
    partition_offset: u32,
    /// When the latest of the calls that the store answered had been sent.
    answered_sent_at: Millis,
    /// Appends in a row that failed.
    failures: u32,
    /// Appends that this node may have under way, as of the last decision.
    max_appends: usize,
    /// Whether the store answered, as of the last decision.
    store_answers: bool,
    /// No append of this node before this time.
    backoff_until: Millis,
    /// All callers are answered by then.
    stop_deadline: Option<Millis>,
    actions: Vec<Action>,
}

impl Admission {
    /// Begins with nothing to store.
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

    /// Says whether no caller waits for an answer.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the time that an append takes now: the usual one, or what one without an answer has taken so far.
    #[must_use]
    pub fn append_ms(&self, now: Millis) -> u64 {
        self.longest_wait_ms(now).max(self.latency.estimate_ms())
    }

    /// Answers all callers by a time, and those that come later at once.
    pub fn stop_by(&mut self, at: Millis) {
        self.stop_deadline = Some(at);
        for entry in self.records.values_mut() {
            entry.deadline = entry.deadline.min(at);
        }
    }

    /// Takes a record that is to be stored by a time. [`Admission::decide`] says what is to be done.
    pub fn offer(&mut self, bytes: usize, deadline: Millis) -> RecordKey {
        let deadline = self.stop_deadline.map_or(deadline, |at| deadline.min(at));
        let record = self.records.insert(Entry::new(bytes, deadline));
        self.records[record].is_queued = true;
        self.queue.push_back(record);
        record
    }

    /// The same for a record that another node hands over: it is not handed on.
    pub fn offer_forwarded(&mut self, bytes: usize, deadline: Millis) -> RecordKey {
        let record = self.offer(bytes, deadline);
        self.records[record].forward = ForwardState::Finished;
        record
    }

    /// Takes note of how an append ended.
    pub fn append_answered(&mut self, append: AppendKey, answer: AppendAnswer, now: Millis) {
        let Some(append) = self.appends.remove(append) else {
            return;
        };
        match answer {
            AppendAnswer::Stored => {
                // A single late answer says nothing of how long appends take now.
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

    /// Takes note of what the scheduler's node said of a record, and how long that took.
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

    /// Returns when [`Admission::decide`] is due, if nothing else happens.
    #[must_use]
    pub fn next_decision_at(&self, now: Millis) -> Option<Millis> {
        let mut next_decision_at: Option<Millis> = None;
        let mut sooner =
            |at: Millis| next_decision_at = Some(next_decision_at.map_or(at, |next| next.min(at)));
        let soonest = now.plus(self.stagger_ms());
        for entry in self.records.values() {
            sooner(entry.deadline);
            if let Some(sent_at) = entry.first_sent_at.filter(|_| !self.store_answers) {
                sooner(sent_at.plus(self.options.max_doubt_ms).max(soonest));
            }
        }
        for append in self.appends.values() {
            if !append.is_rerouted {
                sooner(append.overdue_at);
            }
        }
        if !self.queue.is_empty() && self.appends_in_flight() < self.max_appends {
            sooner(self.backoff_until.max(soonest));
        }
        next_decision_at
    }

    /// Decides what is to be done now.
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

    /// Answers those whose time is over with what is certain.
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

    /// Drops those from the row that do not wait any more.
    fn prune_queue(&mut self) {
        let records = &self.records;
        let is_queued =
            |record: &RecordKey| records.get(*record).is_some_and(|entry| entry.is_queued);
        self.queue.retain(is_queued);
    }

    /// Lets a record wait for another append, the first of those that wait, unless some way is still open.
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

    /// Returns when a caller that is turned away should come back: when what waits now is stored.
    fn retry_after_ms(&self, now: Millis) -> u64 {
        let options = &self.options;
        let stored_at = self.expected_stored_at(self.next_append_at(now), self.queue.len(), now);
        let queue_ms = stored_at.since(now).max(self.append_ms(now));
        queue_ms.clamp(options.min_retry_after_ms, options.max_retry_after_ms)
    }

    /// Returns the appends whose answers somebody waits for; the others hold up nothing.
    fn live_appends(&self) -> impl Iterator<Item = &Append> {
        let is_live = |append: &&Append| {
            let mut records = append.records.iter();
            records.any(|record| self.records.contains_key(*record))
        };
        self.appends.values().filter(is_live)
    }

    /// Says whether the answer of an append was lost: one that was sent later was answered, so that it is not the
    /// store that is slow.
    fn is_answer_lost(&self, append: &Append) -> bool {
        append.sent_at < self.answered_sent_at
    }

    fn appends_in_flight(&self) -> usize {
        let live = self.live_appends();
        live.filter(|append| !(append.is_rerouted && self.is_answer_lost(append)))
            .count()
    }

    /// Returns how many appends may be under way. Several help only where each takes long, and only while they are
    /// answered: what stands behind one without an answer is not sent, and its caller can be told so.
    fn max_appends(&self, view: View, now: Millis) -> usize {
        let is_slow = self.latency.estimate_ms() >= self.options.slow_ms;
        if view.is_collector && is_slow && self.longest_wait_ms(now) < self.overdue_ms() {
            self.options.max_collector_appends.max(1)
        } else {
            1
        }
    }

    /// Returns how long the longest append of which somebody waits for the answer has been under way.
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

    /// Returns when the next append can begin.
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

    /// Returns when a record will be stored before which so many others wait.
    fn expected_stored_at(&self, append_at: Millis, position: usize, now: Millis) -> Millis {
        let estimate_ms = self.append_ms(now);
        let batches = u64::try_from(position / self.options.max_batch_records).unwrap_or(u64::MAX);
        let queued_ms = batches.saturating_mul(self.stagger_ms());
        let stored_at = append_at.plus(queued_ms.saturating_add(estimate_ms));
        // Appends differ in the time that they take.
        stored_at.plus(stored_at.since(now) / 4)
    }

    /// Returns how much later than one append the next of a node that collects may be sent.
    fn stagger_ms(&self) -> u64 {
        let appends = u64::try_from(self.max_appends).unwrap_or(1);
        let scaled_ms = self.latency.estimate_ms() / appends.max(1);
        scaled_ms.max(self.options.min_overdue_ms / 2)
    }
}
