//! Writes job progress: one fenced append at a time, each change exactly once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::future::join_all;
use smol_str::SmolStr;
use syc_obs::Stage;
use syc_sched::Event;
use syc_sched::JobId;
use syc_types::Millis;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::leader::StoredRecord;
use crate::leader::progress_batches::ProgressBatches;
use crate::leader::progress_partitions::PartitionSwitch;
use crate::leader::progress_partitions::ProgressPartitions;
use crate::leader::retry_report::RetryReport;
use crate::log;
use crate::ports::AppendError;
use crate::ports::Condition;
use crate::ports::Platform;
use crate::ports::Record;
use crate::ports::Topic;
use crate::records;
use crate::stored_state::PROGRESS_PARTITIONS;

/// Producer name of progress records.
const PRODUCER: &str = "scheduler";

/// Maximum number of jobs in one append.
const MAX_BATCH_JOBS: usize = 1_000;

/// Delay before a failed append is retried.
const RETRY_MS: u64 = 50;

/// Interval at which a handover checks whether pending progress is written.
const FLUSH_POLL_MS: u64 = 5;

/// Interval for removing records of ended jobs; nothing waits for it.
const REMOVE_INTERVAL_MS: u64 = 500;

/// Maximum time to write pending progress before handing over the role.
const FINAL_WRITE_TIMEOUT_MS: u64 = 600;

/// Rejected appends before switching to the other partition.
const MAX_REFUSALS: u32 = 2;

/// State of the writer of progress.
#[derive(Debug, Default)]
pub(super) struct ProgressWriter {
    partitions: RefCell<ProgressPartitions>,
    batches: Cell<ProgressBatches>,
}

impl ProgressWriter {
    fn begin_batch(&self, is_complete: bool) {
        let mut batches = self.batches.get();
        batches.begin(is_complete);
        self.batches.set(batches);
    }

    fn end_batch(&self, is_complete: bool) {
        let mut batches = self.batches.get();
        batches.end(is_complete);
        self.batches.set(batches);
    }

    /// Switches to the other partition unless it is blocked. Returns whether it switched.
    fn switch_partition(&self) -> bool {
        let switched = self.partitions.borrow_mut().switch(now());
        if let Some(PartitionSwitch { from, to, in_doubt }) = switched {
            log::progress_moved(from, to, in_doubt);
        }
        switched.is_some()
    }
}

/// Writes pending progress until the role ends.
pub(super) async fn write_progress<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    loop {
        let spacing_ms = leader.node.settings.timing.progress_spacing_ms;
        while leader.write_batch().await {
            pause(spacing_ms).await;
        }
        if leader.ended.get() {
            return;
        }
        leader.progress_notify.notified().await;
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Makes the store reject further appends of predecessors. Returns false if this node was
    /// fenced itself.
    pub(super) async fn fence_progress(&self) -> bool {
        let fences = (0..PROGRESS_PARTITIONS).map(|partition| self.fence_partition(partition));
        join_all(fences).await.into_iter().all(|fenced| fenced)
    }

    async fn fence_partition(&self, partition: u32) -> bool {
        let mut retries = RetryReport::new(Topic::Progress, partition);
        loop {
            let condition = self.producer_condition(PRODUCER, 0);
            let node = &self.node;
            let sent_at = now();
            let fenced = node
                .append(Topic::Progress, partition, &[], &condition)
                .await;
            match fenced {
                Ok(_) => {
                    self.note_append_accepted(sent_at);
                    return true;
                }
                Err(AppendError::Fenced) => {
                    self.step_down("fenced_by_store");
                    return false;
                }
                // The epoch was already set by an earlier attempt whose response was lost.
                Err(AppendError::OutOfSequence { expected }) => {
                    let mut partitions = self.progress.partitions.borrow_mut();
                    partitions.set_sequence(partition, expected);
                    return true;
                }
                Err(error) => retries.report_failure(self.token, "fence", &error),
            }
            pause(RETRY_MS).await;
        }
    }

    /// Writes one batch of progress. Returns whether there was anything to write.
    async fn write_batch(self: &Rc<Self>) -> bool {
        let day = self.node.settings.wall_clock.read();
        let mut changed_jobs = self
            .scheduler
            .borrow_mut()
            .take_records(MAX_BATCH_JOBS, now(), day);
        // A worker is removed from the roster only after all conclusions about its runs are stored:
        // a successor that does not know the worker cannot reach them again.
        let is_last_batch = changed_jobs.len() < MAX_BATCH_JOBS;
        let roster = if is_last_batch {
            self.roster.pending_change(self.token)
        } else {
            None
        };
        let waves = self.scheduler.borrow().wave_records();
        if changed_jobs.is_empty() && roster.is_none() && waves.is_empty() {
            return self.append_leadership_proof().await;
        }
        let mut batch: Vec<Record> = Vec::with_capacity(changed_jobs.len() + 1);
        if let Some(change) = &roster {
            batch.extend_from_slice(&change.records);
        }
        for (progress, change) in &waves {
            batch.push(records::wave(self.token, *change, progress));
        }
        for (id, _change, progress) in &mut changed_jobs {
            progress.version.token = self.token;
            batch.push(records::progress(*id, progress));
        }
        let started_at = now();
        let jobs_added = self.scheduler.borrow().jobs_added();
        self.progress.begin_batch(is_last_batch);
        let Some(sent_at) = self.append_progress(&batch).await else {
            return false;
        };
        self.progress.end_batch(is_last_batch);
        self.record_leadership_proof(jobs_added, sent_at);
        let written_ms = now().since(started_at);
        for (id, _change, progress) in &changed_jobs {
            if progress.state.is_terminal() {
                log::job_shown(*id, progress.state, written_ms);
                self.record_stage(*id, Stage::Write, written_ms);
            }
        }
        let jobs: Vec<(JobId, u64)> = changed_jobs
            .iter()
            .map(|(id, change, _)| (*id, *change))
            .collect();
        self.apply(Event::Recorded { jobs });
        if let Some(change) = roster {
            self.apply_roster_recorded(&change);
        }
        for (progress, change) in waves {
            let wave = progress.number;
            self.apply(Event::WaveRecorded { wave, change });
        }
        self.progress_written.notify_waiters();
        true
    }

    /// Makes an empty append as a leadership proof if jobs wait for one and there is nothing else to
    /// write. Returns false if no proof is needed or this node was fenced.
    async fn append_leadership_proof(self: &Rc<Self>) -> bool {
        let sent_at = now();
        if !self.scheduler.borrow().needs_leadership_proof(sent_at) {
            return false;
        }
        let jobs_added = self.scheduler.borrow().jobs_added();
        // An empty append consumes no sequence number.
        let condition = self.producer_condition(PRODUCER, 0);
        let partition = self.progress.partitions.borrow().current();
        let appended = self
            .node
            .append(Topic::Progress, partition, &[], &condition)
            .await;
        match appended {
            Ok(_) | Err(AppendError::OutOfSequence { .. }) => {
                self.record_leadership_proof(jobs_added, sent_at);
            }
            Err(AppendError::Fenced) => {
                self.step_down("fenced_by_store");
                return false;
            }
            Err(_error) => {
                self.progress.switch_partition();
                pause(RETRY_MS).await;
            }
        }
        true
    }

    /// Requests a leadership proof if jobs need one now or soon.
    pub(crate) fn request_leadership_proof(&self) {
        if self.scheduler.borrow().needs_leadership_proof(now()) {
            self.progress_notify.notify_one();
        }
    }

    fn record_leadership_proof(&self, jobs_added: u64, sent_at: Millis) {
        self.note_append_accepted(sent_at);
        let mut scheduler = self.scheduler.borrow_mut();
        let was_needed = scheduler.needs_leadership_proof(now());
        scheduler.record_leadership_proof(jobs_added, sent_at);
        if was_needed {
            self.schedule_notify.notify_one();
        }
    }

    /// Appends a batch, retrying until the store has it. Returns when the first copy of the successful append
    /// was sent, or `None` if the role has ended.
    async fn append_progress(&self, batch: &[Record]) -> Option<Millis> {
        let writer = &self.progress;
        let mut refusals = 0;
        loop {
            let (partition, sequence) = {
                let partitions = writer.partitions.borrow();
                (partitions.current(), partitions.sequence())
            };
            let condition = self.producer_condition(PRODUCER, sequence);
            let sent_at = now();
            let appended = self
                .node
                .append(Topic::Progress, partition, batch, &condition)
                .await;
            match appended {
                Ok(_) => {
                    return Some(writer.partitions.borrow_mut().note_accepted(sent_at));
                }
                Err(AppendError::Fenced) => {
                    self.step_down("fenced_by_store");
                    return None;
                }
                Err(AppendError::OutOfSequence { expected }) => {
                    let mut partitions = writer.partitions.borrow_mut();
                    partitions.set_sequence(partition, expected);
                    continue;
                }
                Err(AppendError::InDoubt(_)) => {
                    writer.partitions.borrow_mut().note_in_doubt(sent_at);
                    // If it stays on this partition, it keeps the sequence number, so the store
                    // deduplicates the retry.
                    if writer.switch_partition() {
                        continue;
                    }
                }
                Err(AppendError::Refused(_) | AppendError::EndMismatch { .. }) => {
                    refusals += 1;
                    if refusals >= MAX_REFUSALS && writer.switch_partition() {
                        refusals = 0;
                    }
                }
            }
            pause(RETRY_MS).await;
        }
    }

    /// Removes the progress of jobs that can no longer be queried.
    ///
    /// The submitted records of a job must be removed first: a successor that reads them without
    /// its progress would run the job again.
    async fn remove_progress(&self) {
        let ids = self.take_removable_progress();
        if ids.is_empty() {
            return;
        }
        let removals: Vec<_> = ids
            .iter()
            .map(|id| records::progress_tombstone(*id))
            .collect();
        for partition in 0..PROGRESS_PARTITIONS {
            let removed = self
                .node
                .append(Topic::Progress, partition, &removals, &Condition::None)
                .await;
            if removed.is_err() {
                // Retried in the next round; until then they only take up space in the store.
                self.progress_to_remove.borrow_mut().extend(ids);
                return;
            }
        }
    }

    fn take_removable_progress(&self) -> Vec<JobId> {
        let records_by_job = self.records_by_job.borrow();
        let scheduler = self.scheduler.borrow();
        let mut progress_to_remove = self.progress_to_remove.borrow_mut();
        // A job that was submitted again is known to the scheduler, which will ask for its removal
        // later.
        progress_to_remove.retain(|id| scheduler.state_of(*id).is_none());
        progress_to_remove
            .extract_if(.., |id| !records_by_job.contains_key(id))
            .collect()
    }

    /// Waits until the progress that is pending now is written, up to a time limit.
    ///
    /// What changes after that need not be: workers report ends again that were not acknowledged. On a large cell, some
    /// progress is pending at any time.
    pub(super) async fn flush_progress(self: &Rc<Self>) {
        let until = now().plus(FINAL_WRITE_TIMEOUT_MS);
        let enough = self.progress.batches.get().next_complete();
        while now() < until {
            let has_changes = self.scheduler.borrow().has_unrecorded_changes();
            if self.progress.batches.get().is_written(enough, has_changes) {
                return;
            }
            self.progress_notify.notify_one();
            pause(FLUSH_POLL_MS).await;
        }
    }
}

/// Periodically removes the records of jobs that have ended.
pub(super) async fn remove_ended_jobs<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    loop {
        pause(REMOVE_INTERVAL_MS).await;
        leader.remove_progress().await;
        let specs_to_remove = std::mem::take(&mut *leader.specs_to_remove.borrow_mut());
        let mut by_partition: BTreeMap<u32, Vec<(JobId, SmolStr)>> = BTreeMap::new();
        for id in specs_to_remove {
            let stored = leader.records_by_job.borrow_mut().remove(&id);
            for StoredRecord { partition, key } in stored.unwrap_or_default() {
                by_partition.entry(partition).or_default().push((id, key));
            }
        }
        for (partition, stored) in by_partition {
            let removals: Vec<_> = stored
                .iter()
                .map(|(_id, key)| records::job_tombstone(key.clone()))
                .collect();
            let removed = leader
                .node
                .append(Topic::Jobs, partition, &removals, &Condition::None)
                .await;
            if removed.is_err() {
                // Retried in the next round. A late removal does no harm: it is only needed before
                // the job's progress is removed.
                for (id, key) in stored {
                    leader.track_job_record(id, partition, &key);
                    leader.specs_to_remove.borrow_mut().push(id);
                }
            }
        }
    }
}
