//! The routes of a record: an append of this node, the scheduler's node, or a refusal to its
//! caller.

use syc_types::Millis;

use super::Action;
use super::Admission;
use super::Append;
use crate::RecordKey;
use crate::View;
use crate::record::ForwardState;

/// Maximum number of times that the timeout of an append doubles.
const MAX_DOUBLINGS: u32 = 6;

impl Admission {
    /// Returns whether an append of this node would be late: the store is slow or leaves one
    /// unanswered.
    pub(super) fn is_slow(&self, view: View, now: Millis) -> bool {
        let slow_ms = self.options.slow_ms;
        let is_collector_slow = view.has_collector && view.collector_append_ms >= slow_ms;
        is_collector_slow
            || self.latency.estimate_ms() >= slow_ms
            || self.longest_wait_ms(now) >= self.overdue_ms()
    }

    /// Handles all records while the store does not answer.
    ///
    /// A record that was never sent is forwarded to the scheduler's node or refused at once. Its
    /// caller learns immediately that it was not accepted, instead of after a second that it may
    /// have been. Records in doubt wait a while for the store to recover.
    pub(super) fn bypass_store(&mut self, view: View, now: Millis) {
        let max_doubt_ms = self.options.max_doubt_ms;
        let records: Vec<_> = self.records.keys().collect();
        for record in records {
            if self.forward(record, view, now) {
                continue;
            }
            let entry = &self.records[record];
            let doubt_ms = entry.first_sent_at.map_or(u64::MAX, |at| now.since(at));
            if doubt_ms >= max_doubt_ms || !entry.is_in_flight() {
                self.answer_with_known_outcome(record, now);
            }
        }
    }

    /// Reroutes the records of overdue appends: to the scheduler's node, or else, within the retry
    /// budget, to another partition.
    pub(super) fn reroute_overdue_appends(&mut self, view: View, now: Millis) {
        let mut overdue = Vec::new();
        for (key, append) in &self.appends {
            if !append.is_rerouted && append.overdue_at <= now {
                overdue.push(key);
            }
        }
        for key in overdue {
            let append = &mut self.appends[key];
            append.is_rerouted = true;
            let records = append.records.clone();
            let is_answer_lost = self.is_answer_lost(&self.appends[key]);
            let mut is_forwarded = false;
            for record in &records {
                is_forwarded |= self.forward(*record, view, now);
            }
            if !is_forwarded && view.store_answers {
                self.resend(&records, is_answer_lost, view, now);
            }
        }
    }

    /// Appends records again.
    ///
    /// A resent append lengthens the queue of a slow store, so it is charged to the retry budget.
    /// It is free for the one node that collects, which sends few, and for an append whose answer
    /// was lost, since that one is not queued.
    fn resend(&mut self, records: &[RecordKey], is_answer_lost: bool, view: View, now: Millis) {
        let max_attempts = self.options.max_attempts;
        let mut resent = Vec::new();
        for record in records {
            let entry = self.records.get(*record);
            if entry.is_some_and(|entry| entry.attempts < max_attempts) {
                resent.push(*record);
            }
        }
        let is_free = is_answer_lost || view.is_collector;
        if resent.is_empty() || !(is_free || self.retry_budget.take(now)) {
            return;
        }
        self.partition_offset += 1;
        let timeout_ms = if is_answer_lost {
            self.overdue_ms()
        } else {
            self.timeout_ms(&resent)
        };
        self.append(resent, timeout_ms, view, now);
    }

    pub(super) fn forward_queued(&mut self, view: View, now: Millis) {
        let queued: Vec<_> = self.queue.iter().copied().collect();
        for record in queued {
            self.forward(record, view, now);
        }
    }

    /// Forwards a record to the scheduler's node if that accepts records and was not asked before.
    /// Returns whether it did.
    fn forward(&mut self, record: RecordKey, view: View, now: Millis) -> bool {
        let Some(entry) = self.records.get_mut(record) else {
            return false;
        };
        let may_forward = self.options.forwards_when_slow && view.has_collector;
        if !may_forward || entry.forward != ForwardState::NotForwarded {
            return false;
        }
        entry.forward = ForwardState::InFlight;
        entry.first_sent_at.get_or_insert(now);
        entry.is_queued = false;
        let timeout_ms = entry.deadline.since(now);
        self.actions.push(Action::Forward { record, timeout_ms });
        true
    }

    /// Queues unanswered forwarded records for an append of this node once the scheduler's node is
    /// no longer reachable. While that node is only slow, this node waits: further appends would
    /// add to the load.
    pub(super) fn requeue_unanswered_forwards(&mut self) {
        for (record, entry) in &mut self.records {
            let is_unanswered = entry.forward == ForwardState::InFlight;
            if is_unanswered && entry.attempts == 0 && !entry.is_queued {
                entry.is_queued = true;
                self.queue.push_back(record);
            }
        }
    }

    /// Refuses records that cannot be stored in time.
    ///
    /// The first record is always tried if nothing is in flight. Latency is known only from
    /// answers, so a node that sent nothing would keep refusing forever.
    pub(super) fn refuse_late_records(&mut self, now: Millis) {
        let is_free = self.appends_in_flight() == 0;
        let append_at = self.next_append_at(now);
        let mut refused = Vec::new();
        for (position, record) in self.queue.iter().enumerate() {
            let entry = &self.records[*record];
            let is_probe = is_free && position == 0;
            let is_exempt = entry.first_sent_at.is_some() || is_probe;
            let is_late =
                !is_exempt && self.expected_stored_at(append_at, position, now) > entry.deadline;
            let is_rejected = entry.refusals >= self.options.max_refusals && !entry.is_in_flight();
            if is_late || is_rejected {
                refused.push(*record);
            }
        }
        for record in refused {
            self.answer_with_known_outcome(record, now);
        }
        self.prune_queue();
    }

    /// Appends queued records, up to the limit of concurrent appends.
    pub(super) fn append_queued(&mut self, view: View, now: Millis) {
        while !self.queue.is_empty() && self.may_append(now) {
            let batch = self.dequeue_batch();
            let timeout_ms = self.timeout_ms(&batch);
            self.append(batch, timeout_ms, view, now);
        }
    }

    fn may_append(&self, now: Millis) -> bool {
        if now < self.backoff_until || self.appends_in_flight() >= self.max_appends {
            return false;
        }
        let latest_sent_at = self.live_appends().map(|append| append.sent_at).max();
        latest_sent_at.is_none_or(|at| now.since(at) >= self.stagger_ms())
    }

    fn dequeue_batch(&mut self) -> Vec<RecordKey> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(record) = self.queue.front().copied() {
            bytes += self.records[record].bytes;
            let is_over = bytes > self.options.max_batch_bytes && !batch.is_empty();
            if is_over || batch.len() >= self.options.max_batch_records {
                break;
            }
            self.queue.pop_front();
            batch.push(record);
        }
        batch
    }

    /// Returns the time after which an append is overdue. It doubles with each attempt, since it is
    /// unknown whether the store is slow or has lost the answers.
    fn timeout_ms(&self, records: &[RecordKey]) -> u64 {
        let attempts = records.iter().map(|record| self.records[*record].attempts);
        self.overdue_ms() << attempts.max().unwrap_or(0).min(MAX_DOUBLINGS)
    }

    fn append(&mut self, records: Vec<RecordKey>, timeout_ms: u64, view: View, now: Millis) {
        for record in &records {
            let entry = &mut self.records[*record];
            entry.first_sent_at.get_or_insert(now);
            entry.is_queued = false;
            entry.appends_in_flight += 1;
            entry.attempts += 1;
        }
        let partition = self.free_partition(view);
        let append = self.appends.insert(Append {
            records: records.clone(),
            partition,
            sent_at: now,
            overdue_at: now.plus(timeout_ms),
            is_rerouted: false,
        });
        self.actions.push(Action::Append {
            append,
            partition,
            records,
        });
    }

    /// Returns the first partition, counting from the node's own, without an append of this node in
    /// flight.
    fn free_partition(&self, view: View) -> u32 {
        let partitions = view.partitions.max(1);
        let first = view.partition + self.partition_offset % partitions;
        let is_free = |partition: &u32| {
            let mut in_flight = self.appends.values();
            !in_flight.any(|append| append.partition == *partition)
        };
        let mut all = (0..partitions).map(|step| (first + step) % partitions);
        all.find(is_free).unwrap_or(first % partitions)
    }
}
