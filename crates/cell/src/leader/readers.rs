//! Following the store: jobs that were submitted or cancelled, workers that come and go.

use std::collections::BTreeSet;
use std::rc::Rc;

use syc_obs::Stage;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_types::Millis;
use syc_types::WorkerId;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::log;
use crate::ports::Newest;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Record;
use crate::ports::Topic;
use crate::records::JobRecord;
use crate::records::read_job;
use crate::unreadable::Source;
use crate::unreadable::UNREADABLE_KEY;

/// Wait after a read that failed.
const RETRY_MS: u64 = 60;

/// What a read of a partition of jobs came to.
#[derive(Debug, Clone, Copy)]
struct JobsRead {
    /// Offset from which to read on.
    next: u64,
    /// Whether nothing was left to read when the store answered.
    reached_end: bool,
}

/// Follows one partition of the topic of jobs.
///
/// What is known of it is as old as the question, not as the answer: dated by the answer, "no such job" could
/// be said of a job that was accepted long enough ago to be known.
pub(super) async fn follow_jobs<P>(leader: Rc<Leader<P>>, partition: u32, mut from: u64)
where
    P: Platform,
{
    let interval_ms = leader.node.settings.jobs_interval_ms();
    loop {
        let asked_at = now();
        let Some(read) = read_jobs(&leader, partition, from).await else {
            pause(RETRY_MS).await;
            continue;
        };
        from = read.next;
        if !read.reached_end {
            continue;
        }
        leader.note_jobs_read(partition, asked_at);
        pause(interval_ms).await;
    }
}

/// Takes what a partition of jobs has from an offset on; none where the store does not tell, which the call
/// has logged.
async fn read_jobs<P>(leader: &Rc<Leader<P>>, partition: u32, from: u64) -> Option<JobsRead>
where
    P: Platform,
{
    let node = &leader.node;
    match node.read(Topic::Jobs, partition, from, 0).await {
        Ok(page) => {
            let count = u64::try_from(page.records.len()).unwrap_or(0);
            let next = page.first + count;
            apply_job_records(leader, partition, &page.records);
            let reached_end = next >= page.end;
            (reached_end || count > 0).then_some(JobsRead { next, reached_end })
        }
        Err(ReadError::Gone { .. }) => {
            let newest = node.newest(Topic::Jobs, partition).await.ok()?;
            let records: Vec<_> = newest.records.into_iter().map(|(_, r)| r).collect();
            apply_job_records(leader, partition, &records);
            Some(JobsRead {
                next: newest.read_from,
                reached_end: true,
            })
        }
        Err(_noted) => None,
    }
}

fn apply_job_records<P>(leader: &Rc<Leader<P>>, partition: u32, records: &[Record])
where
    P: Platform,
{
    for record in records {
        leader.apply_job_record(partition, record);
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Takes a record that the store has: a job, or the cancelling of one.
    pub(crate) fn apply_job_record(self: &Rc<Self>, partition: u32, record: &Record) {
        if !self.loaded.get() {
            // It will be read with all the others.
            return;
        }
        match read_job(record) {
            JobRecord::Submitted(spec) if self.unreadable_jobs.has_unreadable_progress(spec.id) => {
            }
            JobRecord::Submitted(spec) => {
                self.unreadable_jobs.mark_spec_readable(spec.id);
                self.track_job_partition(spec.id, partition);
                let known = self.scheduler.borrow().state_of(spec.id).is_some();
                let age_ms = self.age_ms(partition, &spec);
                if !known {
                    log::job_seen(&spec, age_ms);
                    let queue = &spec.policy.queue;
                    self.node.metrics.stage(queue, Stage::HandOver, age_ms);
                }
                self.apply(Event::JobStored { spec, age_ms });
                self.request_proof();
            }
            JobRecord::Cancelled(id) => {
                self.track_job_partition(id, partition);
                self.apply(Event::JobCancelled(id));
            }
            JobRecord::Removed => {
                if let Ok(id) = record.key.parse() {
                    self.unreadable_jobs.mark_spec_readable(id);
                }
            }
            JobRecord::Unreadable { key, reason } => self.mark_spec_unreadable(&key, &reason),
        }
    }

    /// Remembers where records of a job are, until they are removed.
    pub(super) fn track_job_partition(&self, id: JobId, partition: u32) {
        let mut partitions_by_job = self.partitions_by_job.borrow_mut();
        let partitions = partitions_by_job.entry(id).or_default();
        if !partitions.contains(&partition) {
            partitions.push(partition);
        }
    }

    /// Returns the time since a job was accepted: by the clocks of two nodes, yet no more than has passed
    /// since its partition was read without it.
    fn age_ms(&self, partition: u32, spec: &JobSpec) -> u64 {
        let index = usize::try_from(partition).unwrap_or(usize::MAX);
        let read_at = self.jobs_read_at.borrow().get(index).copied();
        let unread_ms = now().since(read_at.unwrap_or_default().max(self.started_at));
        let day = self.node.settings.wall_clock.read();
        day.ahead_of(spec.accepted_at_ms).min(unread_ms)
    }

    fn note_jobs_read(&self, partition: u32, asked_at: Millis) {
        let index = usize::try_from(partition).unwrap_or(usize::MAX);
        let mut read_at = self.jobs_read_at.borrow_mut();
        if let Some(partition_read_at) = read_at.get_mut(index) {
            *partition_read_at = asked_at;
        }
        let oldest = read_at.iter().min().copied().unwrap_or_default();
        self.scheduler.borrow_mut().set_jobs_read(oldest);
    }
}

/// Follows the list of workers.
pub(super) async fn follow_workers<P>(leader: Rc<Leader<P>>, mut from: u64)
where
    P: Platform,
{
    let node = Rc::clone(&leader.node);
    let interval_ms = node.settings.timing.workers_interval_ms;
    loop {
        pause(interval_ms).await;
        let asked_at = now();
        match node.read(Topic::Workers, 0, from, 0).await {
            Ok(page) => {
                let count = u64::try_from(page.records.len()).unwrap_or(0);
                from = page.first + count;
                for record in &page.records {
                    apply_worker_record(&leader, record);
                }
                if from >= page.end {
                    leader.apply(Event::WorkersRead { asked_at });
                }
            }
            Err(ReadError::Gone { .. }) => {
                if let Ok(newest) = node.newest(Topic::Workers, 0).await {
                    from = newest.read_from;
                    apply_worker_list(&leader, &newest);
                }
            }
            Err(_noted) => {}
        }
    }
}

/// Takes the whole list: who is not on it any more is registered no more.
fn apply_worker_list<P>(leader: &Rc<Leader<P>>, newest: &Newest)
where
    P: Platform,
{
    let mut listed = BTreeSet::new();
    for (_offset, record) in &newest.records {
        listed.extend(apply_worker_record(leader, record));
    }
    for id in leader.roster.ids() {
        if !listed.contains(&id) {
            leader.unlist_incarnation(id);
        }
    }
}

/// Takes one record of the list. Returns the life of a worker that it names, if that is to be used.
///
/// The list may have records of another writer. One that can't be read, or names a service that nobody
/// configured, names no worker to use: nothing new starts there, and what runs there is settled as for any
/// worker that is listed no more.
pub(super) fn apply_worker_record<P>(leader: &Rc<Leader<P>>, record: &Record) -> Option<WorkerId>
where
    P: Platform,
{
    let node = &leader.node;
    if record.is_placeholder() {
        node.report_unreadable(Source::Workers, "", UNREADABLE_KEY);
        return None;
    }
    if record.value.is_empty() {
        node.unreadable.forget(Source::Workers, &record.key);
        leader.unlist_worker(&record.key);
        return None;
    }
    let reason = match node.platform.worker(&record.key, &record.value) {
        Ok(spec) if node.names_service(&spec.service) => {
            node.unreadable.forget(Source::Workers, &record.key);
            let id = spec.id.clone();
            leader.list_worker(&record.key, spec);
            return Some(id);
        }
        Ok(spec) => format!("no service `{}` is configured", spec.service.as_str()),
        Err(error) => error.0,
    };
    node.report_unreadable(Source::Workers, &record.key, &reason);
    leader.unlist_worker(&record.key);
    None
}
