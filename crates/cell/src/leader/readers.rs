//! Follows the store: submitted and cancelled jobs, and changes to the worker list.

use std::collections::BTreeSet;
use std::rc::Rc;

use smol_str::SmolStr;
use syc_obs::Stage;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_types::Millis;
use syc_types::WorkerId;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::leader::StoredRecord;
use crate::log;
use crate::ports::Newest;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Record;
use crate::ports::Topic;
use crate::records;
use crate::records::JobRecord;
use crate::records::read_job;
use crate::unreadable::Source;
use crate::unreadable::UNREADABLE_KEY;

/// Delay before a failed read is retried.
const RETRY_MS: u64 = 60;

/// Outcome of reading a jobs partition.
#[derive(Debug, Clone, Copy)]
struct JobsRead {
    /// Offset of the next read.
    next: u64,
    /// Whether the read reached the end of the partition.
    reached_end: bool,
}

/// Follows one partition of the jobs topic.
///
/// A read counts as of when it was sent. If it counted as of its answer, a job that was accepted in
/// between, and long enough ago to be known, could be reported as nonexistent.
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

/// Reads a jobs partition from an offset and applies the records. Returns `None` if the read
/// failed, which the call has already logged.
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
        Err(_error) => None,
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
    /// Applies a stored record: a job or a cancellation.
    pub(crate) fn apply_job_record(self: &Rc<Self>, partition: u32, record: &Record) {
        if !self.loaded.get() {
            // The takeover will read it along with all other records.
            return;
        }
        match read_job(record) {
            JobRecord::Submitted(spec) if self.unreadable_jobs.has_unreadable_progress(spec.id) => {
            }
            JobRecord::Submitted(spec) => {
                self.unreadable_jobs.mark_spec_readable(spec.id);
                self.track_job_record(spec.id, partition, &record.key);
                if self.is_id_taken(spec.id, spec.workspace.as_ref()) {
                    log::job_id_taken(&spec);
                    return;
                }
                let known = self.scheduler.borrow().state_of(spec.id).is_some();
                let age_ms = self.age_ms(partition, &spec);
                if !known {
                    log::job_seen(&spec, age_ms);
                    let queue = &spec.policy.queue;
                    self.node.metrics.stage(queue, Stage::HandOver, age_ms);
                }
                self.apply(Event::JobStored { spec, age_ms });
                self.request_leadership_proof();
            }
            JobRecord::Cancelled(cancellation) => {
                self.track_job_record(cancellation.job, partition, &record.key);
                self.apply(Event::JobCancelled(cancellation));
            }
            JobRecord::Removed => {
                if let Some(id) = records::submitted_job(&record.key) {
                    self.unreadable_jobs.mark_spec_readable(id);
                }
            }
            JobRecord::Unreadable { key, reason } => self.mark_spec_unreadable(&key, &reason),
        }
    }

    /// Remembers a record of a job until it is removed.
    pub(super) fn track_job_record(&self, id: JobId, partition: u32, key: &SmolStr) {
        let mut records_by_job = self.records_by_job.borrow_mut();
        let records = records_by_job.entry(id).or_default();
        let key = key.clone();
        let record = StoredRecord { partition, key };
        if !records.contains(&record) {
            records.push(record);
        }
    }

    /// Returns the age of a job. It is the difference between the clocks of two nodes, so it is
    /// capped by the time since the job's partition was last read without it.
    fn age_ms(&self, partition: u32, spec: &JobSpec) -> u64 {
        let index = usize::try_from(partition).unwrap_or(usize::MAX);
        let read_at = self.jobs_read_at.borrow().get(index).copied();
        let since_read_ms = now().since(read_at.unwrap_or_default().max(self.started_at));
        let day = self.node.settings.wall_clock.read();
        day.ahead_of(spec.accepted_at_ms).min(since_read_ms)
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

/// Follows the worker list.
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
            Err(_error) => {}
        }
    }
}

/// Applies a complete worker list. Workers missing from it are no longer registered.
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

/// Applies one record of the worker list. Returns the id of the worker incarnation it describes, if
/// usable.
///
/// Other software may write to the list. An entry that is unreadable or names an unconfigured
/// service is treated as if the worker were no longer listed: nothing new starts there, and its
/// current runs are settled as usual.
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
        Ok(spec) if node.allows_service(&spec.service) => {
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
