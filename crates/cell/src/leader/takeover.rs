//! Takeover: fences predecessors, then loads the state they left in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::join;
use futures_util::future::join_all;
use futures_util::future::join4;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_sched::EndedJob;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::WorkerSpec;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::clock::now;
use crate::clock::pause;
use crate::follow;
use crate::leader::Leader;
use crate::leader::progress_writer::remove_ended_jobs;
use crate::leader::progress_writer::write_progress;
use crate::leader::readers;
use crate::leader::retry_report::RetryReport;
use crate::leader::vms::write_statuses;
use crate::log;
use crate::log::LoadedState;
use crate::ports::Newest;
use crate::ports::Platform;
use crate::ports::Topic;
use crate::records;
use crate::records::JobRecord;
use crate::records::read_job;
use crate::stored_state::PROGRESS_PARTITIONS;
use crate::stored_state::StoredState;
use crate::unreadable::Source;

/// Delay before a failed step is retried.
const RETRY_MS: u64 = 60;

/// Cap on the age difference between jobs, since the clocks of VMs differ.
const MAX_AGE_DIFFERENCE_MS: u64 = 600_000;

/// The state that predecessors left in the store.
#[derive(Debug)]
struct LoadedRecords {
    progress: Vec<Newest>,
    jobs: Vec<Newest>,
    workers: Newest,
    published: Newest,
}

/// Takes over the role and starts the tasks that serve it.
pub(super) async fn take_over<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    let started_at = now();
    let (is_fenced, ()) = join(leader.fence_progress(), leader.fence_heartbeats()).await;
    if !is_fenced {
        return;
    }
    let fenced_ms = now().since(started_at);
    let stored = read_stored_state(&leader).await;
    let read_ms = now().since(started_at) - fenced_ms;
    let progress_records = restore_all(&leader, &stored);
    let loaded = LoadedState {
        counts: leader.counts(),
        progress_records,
        fenced_ms,
        read_ms,
        read_ahead: leader.had_read_ahead.get(),
    };
    log::state_loaded(leader.token, &loaded);
    leader.spawn(readers::follow_workers(
        Rc::clone(&leader),
        stored.workers.read_from,
    ));
    for (partition, newest) in (0..).zip(&stored.jobs) {
        let from = newest.read_from;
        leader.spawn(readers::follow_jobs(Rc::clone(&leader), partition, from));
    }
    leader.spawn(write_progress(Rc::clone(&leader)));
    leader.spawn(remove_ended_jobs(Rc::clone(&leader)));
    leader.spawn(write_statuses(Rc::clone(&leader)));
    follow::apply_newest(&leader.node, &stored.published);
    leader.loaded.set(true);
    leader.apply_published();
    leader.schedule_notify.notify_one();
    leader.spawn(Rc::clone(&leader).run_scheduling());
}

/// Reads everything concurrently. Predecessors are fenced, so they record no further ends meanwhile.
async fn read_stored_state<P>(leader: &Leader<P>) -> LoadedRecords
where
    P: Platform,
{
    let partitions = leader.node.settings.job_partitions();
    let ahead = &leader.node.read_ahead.take().await;
    leader.had_read_ahead.set(!ahead.is_empty());
    let all_jobs = read_partitions(leader, Topic::Jobs, partitions, ahead);
    let all_progress = read_partitions(leader, Topic::Progress, PROGRESS_PARTITIONS, ahead);
    let workers = read_partition(leader, Topic::Workers, 0, ahead);
    // Caps may have fallen since this node last reached the store.
    let published = read_partition(leader, Topic::Operators, 0, ahead);
    let (progress, workers, jobs, published) =
        join4(all_progress, workers, all_jobs, published).await;
    LoadedRecords {
        progress,
        jobs,
        workers,
        published,
    }
}

async fn read_partitions<P>(
    leader: &Leader<P>,
    topic: Topic,
    count: u32,
    ahead: &StoredState,
) -> Vec<Newest>
where
    P: Platform,
{
    let reads = (0..count).map(|partition| read_partition(leader, topic, partition, ahead));
    join_all(reads).await
}

/// Reads a partition. Of what was read ahead, only what follows is read, unless that fails.
async fn read_partition<P>(
    leader: &Leader<P>,
    topic: Topic,
    partition: u32,
    ahead: &StoredState,
) -> Newest
where
    P: Platform,
{
    if let Some(ahead) = ahead.take(topic, partition) {
        let caught_up = leader.node.catch_up(topic, partition, ahead).await;
        if let Ok(newest) = caught_up {
            return newest;
        }
    }
    read_with_retries(leader, topic, partition).await
}

/// Reads a partition, retrying until it answers. Only this partition is read again, not the others.
///
/// An unanswered read is kept open alongside the next, and the first answer wins. A store that was
/// unavailable never answers requests sent before it recovered.
async fn read_with_retries<P>(leader: &Leader<P>, topic: Topic, partition: u32) -> Newest
where
    P: Platform,
{
    let mut retries = RetryReport::new(topic, partition);
    let mut hedge_ms = leader.node.settings.timing.full_read_hedge_ms;
    let mut reads = FuturesUnordered::new();
    loop {
        reads.push(leader.node.newest(topic, partition));
        let hedge_at = pause(hedge_ms);
        tokio::pin!(hedge_at);
        while !reads.is_empty() {
            tokio::select! {
                biased;
                Some(read) = reads.next() => match read {
                    Ok(newest) => return newest,
                    Err(error) => retries.report_failure(leader.token, "read", &error),
                },
                () = &mut hedge_at => {
                    hedge_ms += hedge_ms / 2;
                    break;
                }
            }
        }
        if reads.is_empty() {
            pause(RETRY_MS).await;
        }
    }
}

/// Restores the scheduler from the stored state. Returns the number of jobs with progress.
fn restore_all<P>(leader: &Rc<Leader<P>>, stored: &LoadedRecords) -> usize
where
    P: Platform,
{
    let progress = read_progress(leader, &stored.progress);
    let mut cancelled = BTreeSet::new();
    let mut specs: Vec<JobSpec> = Vec::new();
    for (partition, newest) in (0..).zip(&stored.jobs) {
        for (_offset, record) in &newest.records {
            match read_job(record) {
                JobRecord::Submitted(spec)
                    if leader.unreadable_jobs.has_unreadable_progress(spec.id) => {}
                JobRecord::Submitted(spec) => {
                    leader.track_job_record(spec.id, partition, &record.key);
                    specs.push(*spec);
                }
                JobRecord::Cancelled(cancellation) => {
                    leader.track_job_record(cancellation.job, partition, &record.key);
                    cancelled.insert(cancellation);
                }
                JobRecord::Removed => {}
                JobRecord::Unreadable { key, reason } => leader.mark_spec_unreadable(&key, &reason),
            }
        }
    }
    restore_jobs(leader, specs, &progress);
    restore_waves(leader, &stored.progress);
    let unlisted = restore_workers(leader, stored);
    for cancellation in cancelled {
        leader.apply(Event::JobCancelled(cancellation));
    }
    leader.scheduler.borrow_mut().begin_recovery(now());
    for id in unlisted {
        leader.end_if_former(&id);
        leader.report_unlisted(id);
    }
    progress.len()
}

/// Restores listed workers and the roster of a predecessor. Returns the workers of the roster that
/// are not listed; they are queried for running tasks all the same.
fn restore_workers<P>(leader: &Rc<Leader<P>>, stored: &LoadedRecords) -> Vec<WorkerId>
where
    P: Platform,
{
    // An append in doubt may have left the same roster in both partitions.
    let (roster, unreadable) = read_roster(leader, &stored.progress);
    let mut roster: BTreeMap<_, _> = roster
        .into_iter()
        .map(|spec| (spec.id.clone(), spec))
        .collect();
    // The roster may have been written before they began to drain.
    for id in read_draining(&stored.progress) {
        if let Some(spec) = roster.get_mut(&id) {
            spec.draining = true;
        }
    }
    leader.roster.restore(roster.values());
    leader
        .roster
        .restore_recorded_drains(read_drains(leader, &stored.progress));
    let mut listed = BTreeSet::new();
    for (_offset, record) in &stored.workers.records {
        listed.extend(readers::apply_worker_record(leader, record));
    }
    let mut unlisted = Vec::new();
    let recorded_drains = leader.roster.recorded_drains();
    for (id, mut spec) in roster {
        if listed.contains(&id) {
            continue;
        }
        spec.draining |= recorded_drains.contains(&id);
        unlisted.push(id);
        leader.apply(Event::WorkerListed(spec));
    }
    leader
        .scheduler
        .borrow_mut()
        .restore_drains(&recorded_drains);
    for key in unreadable {
        let placeholder = placeholder_worker(&key);
        unlisted.push(placeholder.id.clone());
        leader.apply(Event::WorkerListed(placeholder));
    }
    unlisted
}

/// Creates a placeholder for workers in an unreadable part of the roster. As with any silent
/// worker, the scheduler waits until no lease can remain before it starts tasks that may run there.
fn placeholder_worker(key: &str) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(format_smolstr!("unreadable {key}")),
        service: ServiceName::new(""),
        address: SmolStr::default(),
        zone: Zone::new(""),
        rack: RackId::new(""),
        labels: Vec::new(),
        capacity: Resources::ZERO,
        draining: false,
        vm: None,
    }
}

/// Reads the latest roster. Returns its workers and the keys of unreadable parts.
fn read_roster<P>(leader: &Leader<P>, partitions: &[Newest]) -> (Vec<WorkerSpec>, BTreeSet<SmolStr>)
where
    P: Platform,
{
    let all = partitions.iter().flat_map(|newest| &newest.records);
    let (workers, unreadable) = records::read_roster(all.map(|(_offset, record)| record));
    let mut keys = BTreeSet::new();
    for (key, error) in unreadable {
        let reason = error.to_string();
        leader
            .node
            .report_unreadable(Source::Progress, &key, &reason);
        keys.insert(key);
    }
    (workers, keys)
}

/// Reads which draining workers the store names for each run that may be on them. Without a readable record, a draining
/// worker is waited for like any silent one.
fn read_drains<P>(leader: &Leader<P>, partitions: &[Newest]) -> Vec<WorkerId>
where
    P: Platform,
{
    let all = partitions.iter().flat_map(|newest| &newest.records);
    let (workers, unreadable) = records::read_drains(all.map(|(_offset, record)| record));
    for error in unreadable {
        let reason = error.to_string();
        leader
            .node
            .report_unreadable(Source::Progress, records::DRAINS_KEY, &reason);
    }
    workers
}

/// Reads which workers were draining. What can't be read is reported with the recorded drains.
fn read_draining(partitions: &[Newest]) -> Vec<WorkerId> {
    let all = partitions.iter().flat_map(|newest| &newest.records);
    records::read_draining(all.map(|(_offset, record)| record))
}

/// Restores the progress of waves that a predecessor worked on.
fn restore_waves<P>(leader: &Rc<Leader<P>>, partitions: &[Newest])
where
    P: Platform,
{
    let all = partitions.iter().flat_map(|newest| &newest.records);
    let (waves, unreadable) = records::read_waves(all.map(|(_offset, record)| record));
    for (key, error) in unreadable {
        let reason = error.to_string();
        leader
            .node
            .report_unreadable(Source::Progress, &key, &reason);
    }
    for wave in waves {
        leader.scheduler.borrow_mut().restore_wave(wave);
    }
}

/// Reads the latest progress of each job. A job with any unreadable record is held back, since that
/// record may be the latest, unless it has ended: no later record changes that.
fn read_progress<P>(leader: &Leader<P>, partitions: &[Newest]) -> HashMap<JobId, JobProgress>
where
    P: Platform,
{
    let mut progress: HashMap<JobId, JobProgress> = HashMap::new();
    let mut unreadable = BTreeSet::new();
    let all = partitions.iter().flat_map(|newest| &newest.records);
    for (_offset, record) in all {
        if record.value.is_empty() || !records::is_job_progress(record) {
            continue;
        }
        let (id, read) = match records::read_progress(record) {
            Ok(read) => read,
            Err(fault) => {
                let node = &leader.node;
                node.report_unreadable(Source::Progress, &record.key, &fault.reason);
                unreadable.extend(fault.job);
                continue;
            }
        };
        let known = progress.get(&id).map(|known| known.version);
        if known.is_none_or(|known| read.version > known) {
            progress.insert(id, read);
        }
    }
    for id in unreadable {
        let ended = progress
            .get(&id)
            .is_some_and(|job_progress| job_progress.state.is_terminal());
        if !ended {
            progress.remove(&id);
            leader.unreadable_jobs.mark_progress_unreadable(id);
        }
    }
    progress
}

fn restore_jobs<P>(
    leader: &Rc<Leader<P>>,
    specs: Vec<JobSpec>,
    progress: &HashMap<JobId, JobProgress>,
) where
    P: Platform,
{
    let mut scheduler = leader.scheduler.borrow_mut();
    let now = now();
    let ended: Vec<_> = progress.iter().filter_map(ended_job).collect();
    scheduler.restore_ended_jobs(&ended, now);
    // Only the relative ages matter, so this node's clock is not used.
    let newest = specs.iter().map(|spec| spec.accepted_at_ms).max();
    let newest = newest.unwrap_or_default();
    for spec in choose_specs(specs, progress) {
        let job_progress = progress.get(&spec.id);
        if job_progress.is_some_and(|job_progress| job_progress.state.is_terminal()) {
            leader.specs_to_remove.borrow_mut().push(spec.id);
            continue;
        }
        let age_ms = newest
            .ahead_of(spec.accepted_at_ms)
            .min(MAX_AGE_DIFFERENCE_MS);
        scheduler.restore_job(spec, job_progress, age_ms, now);
    }
}

/// Chooses one specification of each job. Several have the same ID if callers of other workspaces submitted it too.
///
/// It is the one whose workspace the progress names, or otherwise the one that was accepted first, which is the one that
/// the predecessor knew first unless the clocks of two nodes differ by more than the time in between.
fn choose_specs(
    mut specs: Vec<JobSpec>,
    progress: &HashMap<JobId, JobProgress>,
) -> impl Iterator<Item = JobSpec> {
    let is_foreign = |spec: &JobSpec| {
        let progress = progress.get(&spec.id);
        progress.is_some_and(|progress| progress.workspace != spec.workspace)
    };
    specs.sort_by_key(|spec| (spec.id, is_foreign(spec), spec.accepted_at_ms));
    specs.dedup_by_key(|spec| spec.id);
    specs.into_iter()
}

fn ended_job((id, progress): (&JobId, &JobProgress)) -> Option<EndedJob> {
    progress.state.is_terminal().then_some(EndedJob {
        id: *id,
        state: progress.state,
        workspace: progress.workspace.clone(),
        ended_at: progress.ended_at_cell_ms,
        starts_in_doubt: progress.starts_in_doubt.clone(),
    })
}
