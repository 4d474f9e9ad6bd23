//! Writing the jobs' progress: one append at a time, fenced, each change once.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::future::join_all;
use syc_obs::Stage;
use syc_sched::Event;
use syc_sched::JobId;
use syc_types::Millis;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::leader::waits::Waits;
use crate::log;
use crate::ports::AppendError;
use crate::ports::Condition;
use crate::ports::Platform;
use crate::ports::Record;
use crate::ports::Topic;
use crate::records;

/// Name of the producer of progress.
const PRODUCER: &str = "scheduler";

/// Most jobs whose progress shares one append.
const BATCH_JOBS: usize = 1_000;

/// Wait after an append that failed.
const RETRY_MS: u64 = 50;

/// Records of jobs that have ended are removed this often: nothing waits for it.
const REMOVE_INTERVAL_MS: u64 = 500;

/// Most time that a scheduler that hands the role over takes to write what is left.
const LAST_WRITE_MS: u64 = 600;

/// Partitions of the topic of progress. Where one takes nothing, the other does; a successor fences
/// and reads both.
pub(super) const PROGRESS_PARTITIONS: u32 = 2;

/// Appends that a partition refuses before the other is tried.
const REFUSALS_LIMIT: u32 = 2;

/// A partition with an append in doubt is not written to again for this long: the store may carry an
/// append out seconds late, and would then take the next of the same number for a repeat of it.
const RETURN_MS: u64 = 15_000;

/// Where progress is written.
#[derive(Debug, Default)]
pub(super) struct ProgressWriter {
    partition: Cell<u32>,
    lanes: [Lane; 2],
}

/// What is known of a partition of the topic of progress.
#[derive(Debug)]
struct Lane {
    /// Number of the next append.
    sequence: Cell<u64>,
    /// Not to be written to before this time.
    closed_until: Cell<Millis>,
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            sequence: Cell::new(1),
            closed_until: Cell::new(Millis(0)),
        }
    }
}

impl ProgressWriter {
    fn lane(&self, partition: u32) -> &Lane {
        &self.lanes[usize::from(partition > 0)]
    }

    /// Leaves a partition for the other, where that may be written to. Says whether it did.
    fn switch(&self, in_doubt: bool) -> bool {
        let partition = self.partition.get();
        let other = (partition + 1) % PROGRESS_PARTITIONS;
        let now = now();
        if self.lane(other).closed_until.get() > now {
            return false;
        }
        if in_doubt {
            let lane = self.lane(partition);
            lane.closed_until.set(now.plus(RETURN_MS));
            // The append in doubt may have used the number.
            lane.sequence.set(lane.sequence.get() + 1);
        }
        self.partition.set(other);
        log::progress_moved(partition, other, in_doubt);
        true
    }
}

/// Writes progress whenever there is any.
pub(super) async fn write_records<P>(leader: Rc<Leader<P>>)
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
        leader.write.notified().await;
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Makes the store refuse what predecessors have still to write. Says whether that was possible.
    pub(super) async fn fence_progress(&self) -> bool {
        let fences = (0..PROGRESS_PARTITIONS).map(|partition| self.fence(partition));
        join_all(fences).await.into_iter().all(|fenced| fenced)
    }

    async fn fence(&self, partition: u32) -> bool {
        let mut waits = Waits::new(Topic::Progress, partition);
        loop {
            let condition = self.fenced(PRODUCER, 0);
            let node = &self.node;
            let sent_at = now();
            let fenced = node
                .append(Topic::Progress, partition, &[], &condition)
                .await;
            match fenced {
                Ok(_) => {
                    self.note_taken(sent_at);
                    return true;
                }
                Err(AppendError::Fenced) => {
                    self.end("fenced_by_store");
                    return false;
                }
                // The epoch was set by an earlier try whose answer was lost.
                Err(AppendError::OutOfSequence { expected }) => {
                    self.progress.lane(partition).sequence.set(expected);
                    return true;
                }
                Err(error) => waits.note(self.token, "fence", &error),
            }
            pause(RETRY_MS).await;
        }
    }

    /// Writes the progress of some jobs. Says whether there was any.
    async fn write_batch(self: &Rc<Self>) -> bool {
        let day = self.node.settings.wall_clock.read();
        let mut taken = self
            .scheduler
            .borrow_mut()
            .take_records(BATCH_JOBS, now(), day);
        // A worker that is gone leaves the roster no sooner than what was concluded of it is stored: a successor that
        // does not know its name can't conclude it again.
        let all_taken = taken.len() < BATCH_JOBS;
        let roster = if all_taken {
            self.roster.change(self.token)
        } else {
            None
        };
        let waves = self.scheduler.borrow().wave_records();
        if taken.is_empty() && roster.is_none() && waves.is_empty() {
            return self.prove_jobs().await;
        }
        let mut batch: Vec<Record> = Vec::with_capacity(taken.len() + 1);
        if let Some(change) = &roster {
            batch.extend_from_slice(&change.records);
        }
        for (progress, change) in &waves {
            batch.push(records::wave(self.token, *change, progress));
        }
        for (id, _change, progress) in &mut taken {
            progress.version.token = self.token;
            batch.push(records::progress(*id, progress));
        }
        let began = now();
        let jobs_added = self.scheduler.borrow().jobs_added();
        let Some(sent_at) = self.append_progress(&batch).await else {
            return false;
        };
        self.take_proof(jobs_added, sent_at);
        let written_ms = now().since(began);
        for (id, _change, progress) in &taken {
            if progress.state.is_terminal() {
                log::job_shown(*id, progress.state, written_ms);
                self.measure(*id, Stage::Write, written_ms);
            }
        }
        let jobs: Vec<(JobId, u64)> = taken.iter().map(|(id, change, _)| (*id, *change)).collect();
        self.apply(Event::Recorded { jobs });
        if let Some(change) = roster {
            self.take_recorded(&change);
        }
        for (progress, change) in waves {
            let wave = progress.number;
            self.apply(Event::WaveRecorded { wave, change });
        }
        self.written.notify_waiters();
        true
    }

    /// Has the store take something where nothing else is to be written, if jobs wait for that. Says whether it did.
    async fn prove_jobs(self: &Rc<Self>) -> bool {
        let sent_at = now();
        if !self.scheduler.borrow().wants_proof(sent_at) {
            return false;
        }
        let jobs_added = self.scheduler.borrow().jobs_added();
        // It appends nothing, so its number is not one of those of the appends.
        let condition = self.fenced(PRODUCER, 0);
        let partition = self.progress.partition.get();
        let taken = self
            .node
            .append(Topic::Progress, partition, &[], &condition)
            .await;
        match taken {
            Ok(_) | Err(AppendError::OutOfSequence { .. }) => {
                self.take_proof(jobs_added, sent_at);
            }
            Err(AppendError::Fenced) => {
                self.end("fenced_by_store");
                return false;
            }
            Err(_noted) => {
                self.progress.switch(false);
                pause(RETRY_MS).await;
            }
        }
        true
    }

    /// Asks for a proof if jobs wait for one, or soon will.
    pub(crate) fn renew_proof(&self) {
        if self.scheduler.borrow().wants_proof(now()) {
            self.write.notify_one();
        }
    }

    fn take_proof(&self, jobs_added: u64, sent_at: Millis) {
        self.note_taken(sent_at);
        let mut scheduler = self.scheduler.borrow_mut();
        let had_waiting = scheduler.wants_proof(now());
        scheduler.set_proof(jobs_added, sent_at);
        if had_waiting {
            self.look.notify_one();
        }
    }

    /// Appends until the store has it. Returns when what it took was sent; none where the role is over.
    async fn append_progress(&self, batch: &[Record]) -> Option<Millis> {
        let writer = &self.progress;
        let mut refusals = 0;
        loop {
            let partition = writer.partition.get();
            let lane = writer.lane(partition);
            let sequence = lane.sequence.get();
            let condition = self.fenced(PRODUCER, sequence);
            let sent_at = now();
            let appended = self
                .node
                .append(Topic::Progress, partition, batch, &condition)
                .await;
            match appended {
                Ok(_) => {
                    lane.sequence.set(sequence + 1);
                    return Some(sent_at);
                }
                Err(AppendError::Fenced) => {
                    self.end("fenced_by_store");
                    return None;
                }
                Err(AppendError::OutOfSequence { expected }) => {
                    lane.sequence.set(expected);
                    continue;
                }
                Err(AppendError::InDoubt(_)) => {
                    // Elsewhere the number stays: the store takes the same append once only.
                    if writer.switch(true) {
                        continue;
                    }
                }
                Err(AppendError::Refused(_) | AppendError::EndMismatch { .. }) => {
                    refusals += 1;
                    if refusals >= REFUSALS_LIMIT && writer.switch(false) {
                        refusals = 0;
                    }
                }
            }
            pause(RETRY_MS).await;
        }
    }

    /// Removes the progress of jobs that nobody can ask for any more.
    ///
    /// What was submitted of a job must be gone before: a successor that read it without its progress would
    /// run the job again.
    async fn remove_forgotten(&self) {
        let forgets = self.take_forgets();
        if forgets.is_empty() {
            return;
        }
        let removals: Vec<_> = forgets
            .iter()
            .map(|id| records::progress_tombstone(*id))
            .collect();
        for partition in 0..PROGRESS_PARTITIONS {
            let removed = self
                .node
                .append(Topic::Progress, partition, &removals, &Condition::None)
                .await;
            if removed.is_err() {
                // The next round removes them; until then they take a little of the store's room.
                self.forgets.borrow_mut().extend(forgets);
                return;
            }
        }
    }

    fn take_forgets(&self) -> Vec<JobId> {
        let jobs_in = self.jobs_in.borrow();
        let scheduler = self.scheduler.borrow();
        let mut forgets = self.forgets.borrow_mut();
        // A job that was submitted once more is the scheduler's to forget again.
        forgets.retain(|id| scheduler.state_of(*id).is_none());
        forgets
            .extract_if(.., |id| !jobs_in.contains_key(id))
            .collect()
    }

    /// Waits until what is known now is written, or the time for that is over.
    pub(super) async fn write_rest(self: &Rc<Self>) {
        let until = now().plus(LAST_WRITE_MS);
        while now() < until && self.scheduler.borrow().has_records() {
            self.write.notify_one();
            pause(RETRY_MS / 5).await;
        }
    }
}

/// Removes what was submitted of jobs that have ended.
pub(super) async fn write_removals<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    loop {
        pause(REMOVE_INTERVAL_MS).await;
        leader.remove_forgotten().await;
        let drops = std::mem::take(&mut *leader.drops.borrow_mut());
        let mut by_partition: BTreeMap<u32, Vec<JobId>> = BTreeMap::new();
        for id in drops {
            let partitions = leader.jobs_in.borrow_mut().remove(&id);
            for partition in partitions.unwrap_or_default() {
                by_partition.entry(partition).or_default().push(id);
            }
        }
        for (partition, ids) in by_partition {
            let removals: Vec<_> = ids
                .iter()
                .flat_map(|id| records::job_tombstones(*id))
                .collect();
            let removed = leader
                .node
                .append(Topic::Jobs, partition, &removals, &Condition::None)
                .await;
            if removed.is_err() {
                // A later removal does no harm, and none is needed before the job is forgotten.
                for id in ids {
                    leader.note_partition(id, partition);
                    leader.drops.borrow_mut().push(id);
                }
            }
        }
    }
}
