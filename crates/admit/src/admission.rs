//! The records of one node on their way into the store.

mod ways;

use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;
use syc_retry::Budget;
use syc_retry::backoff_ms;
use syc_types::Millis;

use crate::AdmitOptions;
use crate::AppendAnswer;
use crate::HandedOver;
use crate::Outcome;
use crate::Pace;
use crate::RecordKey;
use crate::View;
use crate::record::Entry;
use crate::record::HandOver;

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
    HandOver {
        /// The record.
        record: RecordKey,
        /// Its caller is answered after this time at the latest.
        patience_ms: u64,
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
    due_at: Millis,
    /// Whether its records were sent on another way since.
    is_gone_round: bool,
}

/// Decides about the records of one node.
#[derive(Debug)]
pub struct Admission {
    options: AdmitOptions,
    pace: Pace,
    repeats: Budget,
    records: SlotMap<RecordKey, Entry>,
    /// Records that wait for an append of this node, in their order.
    waiting: VecDeque<RecordKey>,
    appends: SlotMap<AppendKey, Append>,
    /// Partitions beyond the node's own that the next append goes to: one that failed is left.
    shift: u32,
    /// When the latest of the calls that the store answered had been sent.
    answered_sent_at: Millis,
    /// Appends in a row that failed.
    failures: u32,
    /// Appends that this node may have under way, as of the last decision.
    appends_limit: usize,
    /// Whether the store answered, as of the last decision.
    store_answers: bool,
    /// No append of this node before this time.
    not_before: Millis,
    /// All callers are answered by then.
    stops_at: Option<Millis>,
    actions: Vec<Action>,
}

impl Admission {
    /// Begins with nothing to store.
    #[must_use]
    pub fn new(options: AdmitOptions) -> Self {
        Self {
            options,
            pace: Pace::new(options.first_usual_ms),
            repeats: Budget::new(options.repeats_burst, 0),
            records: SlotMap::with_key(),
            waiting: VecDeque::new(),
            appends: SlotMap::with_key(),
            shift: 0,
            answered_sent_at: Millis(0),
            failures: 0,
            appends_limit: 1,
            store_answers: true,
            not_before: Millis(0),
            stops_at: None,
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
        self.waited_ms(now).max(self.pace.usual_ms())
    }

    /// Answers all callers by a time, and those that come later at once.
    pub fn stop_by(&mut self, at: Millis) {
        self.stops_at = Some(at);
        for entry in self.records.values_mut() {
            entry.until = entry.until.min(at);
        }
    }

    /// Takes a record that is to be stored by a time. [`Admission::decide`] says what is to be done.
    pub fn offer(&mut self, bytes: usize, until: Millis) -> RecordKey {
        let until = self.stops_at.map_or(until, |at| until.min(at));
        let record = self.records.insert(Entry::new(bytes, until));
        self.records[record].is_waiting = true;
        self.waiting.push_back(record);
        record
    }

    /// The same for a record that another node hands over: it is not handed on.
    pub fn offer_of_other(&mut self, bytes: usize, until: Millis) -> RecordKey {
        let record = self.offer(bytes, until);
        self.records[record].hand_over = HandOver::Over;
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
                if !self.is_lost(&append) {
                    self.pace.took(now.since(append.sent_at));
                }
                self.answered_sent_at = self.answered_sent_at.max(append.sent_at);
                self.repeats.give_per_mille(self.options.repeats_per_mille);
                self.failures = 0;
            }
            AppendAnswer::Refused => self.note_failure(now),
            AppendAnswer::InDoubt => {
                if !self.is_lost(&append) {
                    self.pace.got_none();
                    self.note_failure(now);
                }
            }
        }
        for record in append.records.iter().rev() {
            self.take_append_answer(*record, answer, append.partition);
        }
    }

    /// Takes note of what the scheduler's node said of a record, and how long that took.
    pub fn handed_over(&mut self, record: RecordKey, said: HandedOver, took_ms: u64) {
        let Some(entry) = self.records.get_mut(record) else {
            return;
        };
        entry.hand_over = HandOver::Over;
        match said {
            HandedOver::Stored { partition } => {
                self.pace.is_no_slower_than(took_ms);
                self.answer(record, Outcome::Stored { partition });
                return;
            }
            HandedOver::Refused { come_back_ms } if entry.is_surely_not_stored() => {
                self.answer(record, Outcome::Refused { come_back_ms });
                return;
            }
            HandedOver::Refused { .. } | HandedOver::NotSent => {}
            HandedOver::InDoubt => entry.doubt = true,
        }
        self.wait_again(record);
    }

    /// Returns when [`Admission::decide`] is due, if nothing else happens.
    #[must_use]
    pub fn next_at(&self, now: Millis) -> Option<Millis> {
        let mut next_at: Option<Millis> = None;
        let mut sooner = |at: Millis| next_at = Some(next_at.map_or(at, |next| next.min(at)));
        let soonest = now.plus(self.stagger_ms());
        for entry in self.records.values() {
            sooner(entry.until);
            if let Some(sent_at) = entry.sent_at.filter(|_| !self.store_answers) {
                sooner(sent_at.plus(self.options.doubt_limit_ms).max(soonest));
            }
        }
        for append in self.appends.values() {
            if !append.is_gone_round {
                sooner(append.due_at);
            }
        }
        if !self.waiting.is_empty() && self.appends_under_way() < self.appends_limit {
            sooner(self.not_before.max(soonest));
        }
        next_at
    }

    /// Decides what is to be done now.
    #[must_use]
    pub fn decide(&mut self, view: View, now: Millis) -> Vec<Action> {
        self.appends_limit = self.appends_limit(view, now);
        self.store_answers = view.store_answers;
        self.answered_sent_at = self.answered_sent_at.max(view.answered_sent_at);
        self.answer_overdue(now);
        if !view.store_answers {
            self.go_round_the_store(view, now);
        }
        self.go_round_appends(view, now);
        if self.is_slow(view, now) {
            self.hand_over_waiting(view, now);
        }
        if !view.is_taken_over {
            self.append_what_was_handed_over();
        }
        self.drop_stale();
        if view.store_answers {
            self.turn_away_hopeless(now);
            self.append_waiting(view, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Answers those whose time is over with what is certain.
    fn answer_overdue(&mut self, now: Millis) {
        let mut overdue = Vec::new();
        for (record, entry) in &self.records {
            if entry.until <= now {
                overdue.push(record);
            }
        }
        for record in overdue {
            self.answer_with_what_is_certain(record, now);
        }
    }

    fn take_append_answer(&mut self, record: RecordKey, answer: AppendAnswer, partition: u32) {
        let Some(entry) = self.records.get_mut(record) else {
            return;
        };
        entry.appends -= 1;
        match answer {
            AppendAnswer::Stored => {
                self.answer(record, Outcome::Stored { partition });
                return;
            }
            AppendAnswer::Refused => entry.refusals += 1,
            AppendAnswer::InDoubt => entry.doubt = true,
        }
        self.wait_again(record);
    }

    /// Drops those from the row that do not wait any more.
    fn drop_stale(&mut self) {
        let records = &self.records;
        let is_waiting = |record: &RecordKey| records.get(*record).is_some_and(|of| of.is_waiting);
        self.waiting.retain(is_waiting);
    }

    /// Lets a record wait for another append, the first of those that wait, unless some way is still open.
    fn wait_again(&mut self, record: RecordKey) {
        let entry = &mut self.records[record];
        if !entry.is_under_way() && !entry.is_waiting {
            entry.is_waiting = true;
            self.waiting.push_front(record);
        }
    }

    fn note_failure(&mut self, now: Millis) {
        let options = &self.options;
        let seed = now.0;
        let wait_ms = backoff_ms(
            options.retry_ms,
            options.retry_limit_ms,
            self.failures,
            seed,
        );
        self.failures += 1;
        self.shift += 1;
        self.not_before = now.plus(wait_ms);
    }

    fn answer_with_what_is_certain(&mut self, record: RecordKey, now: Millis) {
        let outcome = self.records[record].outcome(self.come_back_ms(now));
        self.answer(record, outcome);
    }

    fn answer(&mut self, record: RecordKey, outcome: Outcome) {
        self.records.remove(record);
        self.actions.push(Action::Answer { record, outcome });
    }

    /// Returns when a caller that is turned away should come back: when what waits now is stored.
    fn come_back_ms(&self, now: Millis) -> u64 {
        let options = &self.options;
        let stored_at = self.expected_at(self.next_begin_at(now), self.waiting.len(), now);
        let row_ms = stored_at.since(now).max(self.append_ms(now));
        row_ms.clamp(options.come_back_least_ms, options.come_back_most_ms)
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
    fn is_lost(&self, append: &Append) -> bool {
        append.sent_at < self.answered_sent_at
    }

    fn appends_under_way(&self) -> usize {
        let live = self.live_appends();
        live.filter(|append| !(append.is_gone_round && self.is_lost(append)))
            .count()
    }

    /// Returns how many appends may be under way. Several help only where each takes long, and only while they are
    /// answered: what stands behind one without an answer is not sent, and its caller can be told so.
    fn appends_limit(&self, view: View, now: Millis) -> usize {
        let is_slow = self.pace.usual_ms() >= self.options.slow_ms;
        if view.collects && is_slow && self.waited_ms(now) < self.overdue_ms() {
            self.options.collector_appends.max(1)
        } else {
            1
        }
    }

    /// Returns how long the longest append of which somebody waits for the answer has been under way.
    fn waited_ms(&self, now: Millis) -> u64 {
        let unanswered = self.live_appends().filter(|append| !self.is_lost(append));
        let waits = unanswered.map(|append| now.since(append.sent_at));
        waits.max().unwrap_or(0)
    }

    fn overdue_ms(&self) -> u64 {
        let by_usual = self.pace.usual_ms() * self.options.overdue_factor;
        by_usual.max(self.options.overdue_least_ms)
    }

    /// Returns when the next append can begin.
    fn next_begin_at(&self, now: Millis) -> Millis {
        let usual_ms = self.append_ms(now);
        let mut begins_at = now.max(self.not_before);
        let mut under_way: Vec<_> = self.live_appends().map(|one| one.sent_at).collect();
        under_way.sort_unstable();
        if under_way.len() >= self.appends_limit
            && let Some(first) = under_way.first()
        {
            begins_at = begins_at.max(first.plus(usual_ms));
        }
        begins_at
    }

    /// Returns when a record will be stored before which so many others wait.
    fn expected_at(&self, begins_at: Millis, position: usize, now: Millis) -> Millis {
        let usual_ms = self.append_ms(now);
        let batches = u64::try_from(position / self.options.batch_records).unwrap_or(u64::MAX);
        let waits_ms = batches.saturating_mul(self.stagger_ms());
        let stored_at = begins_at.plus(waits_ms.saturating_add(usual_ms));
        // Appends differ in the time that they take.
        stored_at.plus(stored_at.since(now) / 4)
    }

    /// Returns how much later than one append the next of a node that collects may be sent.
    fn stagger_ms(&self) -> u64 {
        let appends = u64::try_from(self.appends_limit).unwrap_or(1);
        let by_usual = self.pace.usual_ms() / appends.max(1);
        by_usual.max(self.options.overdue_least_ms / 2)
    }
}
