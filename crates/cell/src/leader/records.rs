//! Writing the jobs' progress: one append at a time, fenced, each change once.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_sched::Event;
use syc_sched::JobId;

use crate::clock::now;
use crate::clock::time_of_day_ms;
use crate::leader::Leader;
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
const BATCH_JOBS: usize = 200;

/// Wait after an append that failed.
const RETRY_MS: u64 = 50;

/// Records of jobs that have ended are removed this often: nothing waits for it.
const REMOVE_INTERVAL_MS: u64 = 500;

/// Most time that a scheduler that hands the role on takes to write what is left.
const LAST_WRITE_MS: u64 = 600;

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
    fn progress_condition(&self, sequence: u64) -> Condition {
        Condition::Producer {
            name: SmolStr::new_static(PRODUCER),
            epoch: self.token,
            sequence,
        }
    }

    /// Makes the store refuse what predecessors have still to write. Says whether that was possible.
    pub(super) async fn fence_progress(&self) -> bool {
        loop {
            let condition = self.progress_condition(0);
            let fenced = self.node.append(Topic::Progress, 0, &[], &condition).await;
            match fenced {
                Ok(_) => return true,
                Err(AppendError::Fenced) => {
                    self.end("fenced_by_store");
                    return false;
                }
                // The epoch was set by an earlier try whose answer was lost.
                Err(AppendError::OutOfSequence { expected }) => {
                    self.progress_sequence.set(expected);
                    return true;
                }
                Err(_noted) => pause(RETRY_MS).await,
            }
        }
    }

    /// Writes the progress of some jobs. Says whether there was any.
    async fn write_batch(self: &Rc<Self>) -> bool {
        let wall_ms = time_of_day_ms();
        let taken = self
            .scheduler
            .borrow_mut()
            .take_records(BATCH_JOBS, wall_ms);
        let forgets = std::mem::take(&mut *self.forgets.borrow_mut());
        if taken.is_empty() && forgets.is_empty() {
            return false;
        }
        let mut batch: Vec<Record> = Vec::with_capacity(taken.len());
        for (id, _change, progress) in &taken {
            batch.push(records::progress(*id, progress));
        }
        for id in forgets {
            batch.push(Record {
                key: SmolStr::from(id),
                value: bytes::Bytes::new(),
            });
        }
        let began = now();
        if !self.append_progress(&batch).await {
            return false;
        }
        let written_ms = now().since(began);
        for (id, _change, progress) in &taken {
            if progress.state.is_terminal() {
                log::job_shown(*id, progress.state, written_ms);
            }
        }
        let jobs: Vec<(JobId, u64)> = taken.iter().map(|(id, change, _)| (*id, *change)).collect();
        self.apply(Event::Recorded { jobs });
        self.written.notify_waiters();
        true
    }

    /// Appends until the store has it. Says whether it has.
    async fn append_progress(&self, batch: &[Record]) -> bool {
        loop {
            let sequence = self.progress_sequence.get();
            let condition = self.progress_condition(sequence);
            let appended = self
                .node
                .append(Topic::Progress, 0, batch, &condition)
                .await;
            match appended {
                Ok(_) => {
                    self.progress_sequence.set(sequence + 1);
                    return true;
                }
                Err(AppendError::Fenced) => {
                    self.end("fenced_by_store");
                    return false;
                }
                Err(AppendError::OutOfSequence { expected }) => {
                    self.progress_sequence.set(expected);
                }
                // The number stays: the store takes the same append once only.
                Err(_noted) => pause(RETRY_MS).await,
            }
        }
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
        let drops = std::mem::take(&mut *leader.drops.borrow_mut());
        let mut by_partition: BTreeMap<u32, Vec<JobId>> = BTreeMap::new();
        for id in drops {
            let partitions = leader.jobs_in.borrow_mut().remove(&id);
            for partition in partitions.unwrap_or_default() {
                by_partition.entry(partition).or_default().push(id);
            }
        }
        for (partition, ids) in by_partition {
            let removals: Vec<_> = ids.iter().flat_map(|id| records::removed(*id)).collect();
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

async fn pause(time_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(time_ms)).await;
}
