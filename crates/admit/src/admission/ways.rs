//! The ways of a record: an append of this node, the scheduler's node, or back to its caller.

use syc_types::Millis;

use super::Action;
use super::Admission;
use super::Append;
use crate::RecordKey;
use crate::View;
use crate::record::HandOver;

/// Most times that the patience with an append doubles.
const DOUBLINGS_LIMIT: u32 = 6;

impl Admission {
    /// Says whether an append of this node would come late: the store is slow, or leaves one unanswered.
    pub(super) fn is_slow(&self, view: View, now: Millis) -> bool {
        let slow_ms = self.options.slow_ms;
        let is_told = view.is_taken_over && view.told_append_ms >= slow_ms;
        is_told || self.pace.usual_ms() >= slow_ms || self.waited_ms(now) >= self.overdue_ms()
    }

    /// Lets no record wait for a store that does not answer.
    ///
    /// What was never sent goes to the scheduler's node or back to its caller at once, who hears that it surely was
    /// not accepted, and not after a second that it may have been. What is in doubt waits a while for the store.
    pub(super) fn go_round_the_store(&mut self, view: View, now: Millis) {
        let doubt_limit_ms = self.options.doubt_limit_ms;
        let records: Vec<_> = self.records.keys().collect();
        for record in records {
            if self.hand_over(record, view, now) {
                continue;
            }
            let entry = &self.records[record];
            let doubt_ms = entry.sent_at.map_or(u64::MAX, |at| now.since(at));
            if doubt_ms >= doubt_limit_ms || !entry.is_under_way() {
                self.answer_with_what_is_certain(record, now);
            }
        }
    }

    /// Sends the records of appends that are overdue on another way: to the scheduler's node, or else, within the
    /// budget, to another partition.
    pub(super) fn go_round_appends(&mut self, view: View, now: Millis) {
        let mut overdue = Vec::new();
        for (key, append) in &self.appends {
            if !append.is_gone_round && append.due_at <= now {
                overdue.push(key);
            }
        }
        for key in overdue {
            let append = &mut self.appends[key];
            append.is_gone_round = true;
            let records = append.records.clone();
            let is_lost = self.is_lost(&self.appends[key]);
            let mut is_handed_over = false;
            for record in &records {
                is_handed_over |= self.hand_over(*record, view, now);
            }
            if !is_handed_over && view.store_answers {
                self.repeat(&records, is_lost, view, now);
            }
        }
    }

    /// Appends records again.
    ///
    /// A repeat makes the row of a slow store longer, and is paid for. Those of the one node that collects are few,
    /// and an append whose answer was lost stands in no row.
    fn repeat(&mut self, records: &[RecordKey], is_lost: bool, view: View, now: Millis) {
        let tries = self.options.tries;
        let mut repeated = Vec::new();
        for record in records {
            let entry = self.records.get(*record);
            if entry.is_some_and(|entry| entry.tries < tries) {
                repeated.push(*record);
            }
        }
        let is_free = is_lost || view.collects;
        if repeated.is_empty() || !(is_free || self.repeats.take(now)) {
            return;
        }
        self.shift += 1;
        let patience_ms = if is_lost {
            self.overdue_ms()
        } else {
            self.patience_ms(&repeated)
        };
        self.append(repeated, patience_ms, view, now);
    }

    pub(super) fn hand_over_waiting(&mut self, view: View, now: Millis) {
        let waiting: Vec<_> = self.waiting.iter().copied().collect();
        for record in waiting {
            self.hand_over(record, view, now);
        }
    }

    /// Hands a record to the scheduler's node, if that takes it and was not asked before. Says whether it did.
    fn hand_over(&mut self, record: RecordKey, view: View, now: Millis) -> bool {
        let Some(entry) = self.records.get_mut(record) else {
            return false;
        };
        let may = self.options.hands_over && view.is_taken_over;
        if !may || entry.hand_over != HandOver::Not {
            return false;
        }
        entry.hand_over = HandOver::UnderWay;
        entry.sent_at.get_or_insert(now);
        entry.is_waiting = false;
        let patience_ms = entry.until.since(now);
        self.actions.push(Action::HandOver {
            record,
            patience_ms,
        });
        true
    }

    /// Lets what the scheduler's node has not answered wait for an append of this node, once that node is not heard
    /// of any more. One that is only slow is waited for: further appends would add to what makes it slow.
    pub(super) fn append_what_was_handed_over(&mut self) {
        for (record, entry) in &mut self.records {
            let is_unheard = entry.hand_over == HandOver::UnderWay;
            if is_unheard && entry.tries == 0 && !entry.is_waiting {
                entry.is_waiting = true;
                self.waiting.push_back(record);
            }
        }
    }

    /// Turns away at once what can't be stored in time.
    ///
    /// The first is tried where nothing is under way: how long the store takes is known from answers alone, and a
    /// node that tried nothing would turn away for ever.
    pub(super) fn turn_away_hopeless(&mut self, now: Millis) {
        let is_free = self.appends_under_way() == 0;
        let begins_at = self.next_begin_at(now);
        let mut hopeless = Vec::new();
        for (position, record) in self.waiting.iter().enumerate() {
            let entry = &self.records[*record];
            let is_probe = is_free && position == 0;
            let may_go = entry.sent_at.is_some() || is_probe;
            let is_late = !may_go && self.expected_at(begins_at, position, now) > entry.until;
            let is_refused = entry.refusals >= self.options.refusals && !entry.is_under_way();
            if is_late || is_refused {
                hopeless.push(*record);
            }
        }
        for record in hopeless {
            self.answer_with_what_is_certain(record, now);
        }
        self.drop_stale();
    }

    /// Appends what waits, as far as appends may be under way.
    pub(super) fn append_waiting(&mut self, view: View, now: Millis) {
        while !self.waiting.is_empty() && self.may_append(now) {
            let batch = self.take_batch();
            let patience_ms = self.patience_ms(&batch);
            self.append(batch, patience_ms, view, now);
        }
    }

    fn may_append(&self, now: Millis) -> bool {
        if now < self.not_before || self.appends_under_way() >= self.appends_limit {
            return false;
        }
        let youngest_at = self.live_appends().map(|append| append.sent_at).max();
        youngest_at.is_none_or(|at| now.since(at) >= self.stagger_ms())
    }

    fn take_batch(&mut self) -> Vec<RecordKey> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(record) = self.waiting.front().copied() {
            bytes += self.records[record].bytes;
            let is_over = bytes > self.options.batch_bytes && !batch.is_empty();
            if is_over || batch.len() >= self.options.batch_records {
                break;
            }
            self.waiting.pop_front();
            batch.push(record);
        }
        batch
    }

    /// Returns how long an append may take: twice as long with each try, as long as it is not known whether the store
    /// is slow or has lost the answers.
    fn patience_ms(&self, records: &[RecordKey]) -> u64 {
        let tries = records.iter().map(|record| self.records[*record].tries);
        self.overdue_ms() << tries.max().unwrap_or(0).min(DOUBLINGS_LIMIT)
    }

    fn append(&mut self, records: Vec<RecordKey>, patience_ms: u64, view: View, now: Millis) {
        for record in &records {
            let entry = &mut self.records[*record];
            entry.sent_at.get_or_insert(now);
            entry.is_waiting = false;
            entry.appends += 1;
            entry.tries += 1;
        }
        let partition = self.free_partition(view);
        let append = self.appends.insert(Append {
            records: records.clone(),
            partition,
            sent_at: now,
            due_at: now.plus(patience_ms),
            is_gone_round: false,
        });
        self.actions.push(Action::Append {
            append,
            partition,
            records,
        });
    }

    /// Returns the first partition, from the node's own on, that no append of this node is under way to.
    fn free_partition(&self, view: View) -> u32 {
        let partitions = view.partitions.max(1);
        let first = view.partition + self.shift % partitions;
        let is_free = |partition: &u32| {
            let mut under_way = self.appends.values();
            !under_way.any(|append| append.partition == *partition)
        };
        let mut all = (0..partitions).map(|step| (first + step) % partitions);
        all.find(is_free).unwrap_or(first % partitions)
    }
}
