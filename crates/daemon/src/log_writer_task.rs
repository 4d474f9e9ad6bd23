//! The appending task: one append at a time, and none after one in doubt until that is settled.

use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_coord::AppendPace;
use syc_coord::Doubt;
use syc_coord::Settled;
use syc_coord::records::Group;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use syc_platform::LogService;
use syc_platform::ReadError;
use uuid::Uuid;

use crate::log_writer::Queued;
use crate::log_writer::Shared;
use crate::log_writer::record;

/// Most entries of one read.
const PAGE_ENTRIES: u32 = 256;

/// Jitter is drawn from 0 to this.
const JITTER: u64 = 1_000;

/// Appends groups until the arbiter ends.
pub async fn run<L>(log: L, shared: Rc<Shared>)
where
    L: LogService,
{
    let mut pace = AppendPace::new(shared.options, shared.now());
    loop {
        wait_until_due(&shared, &mut pace).await;
        let group = shared.take_group();
        if !group.is_empty() {
            append_group(&log, &shared, &mut pace, group).await;
        }
    }
}

async fn wait_until_due(shared: &Shared, pace: &mut AppendPace) {
    loop {
        let now = shared.now();
        pace.set_rate(shared.appends_per_s.get(), now);
        let Some(due) = pace.due(&shared.waiting(), now) else {
            shared.wake.notified().await;
            continue;
        };
        if due <= now {
            return;
        }
        let wait = Duration::from_millis(due.since(now));
        let _woken = tokio::time::timeout(wait, shared.wake.notified()).await;
    }
}

async fn append_group<L>(log: &L, shared: &Shared, pace: &mut AppendPace, queued: Vec<Queued>)
where
    L: LogService,
{
    let records = queued.iter().map(|queued| queued.record.clone());
    let group = Group {
        records: records.collect(),
    };
    let from = shared.known_end.get();
    match append(log, shared, pace, &group).await {
        Ok(offset) => answer(shared, queued, offset),
        Err(AppendError::Refused(_)) => {
            pace.failed(shared.now(), jitter());
            shared.put_back(queued);
        }
        Err(AppendError::InDoubt(reason)) => {
            emit(catalogue::APPEND_IN_DOUBT, format_args!("{reason}"));
            let doubt = Doubt::new(&group, from);
            match settle(log, shared, pace, doubt).await {
                Some(Settled::Counts { offset }) => answer(shared, queued, offset),
                Some(Settled::Void) => refuse(queued),
                None => give_up(queued),
            }
        }
    }
}

async fn append<L>(
    log: &L,
    shared: &Shared,
    pace: &mut AppendPace,
    group: &Group,
) -> Result<u64, AppendError>
where
    L: LogService,
{
    let bytes = group
        .to_bytes()
        .map_err(|source| AppendError::Refused(source.to_string()))?;
    pace.started(shared.now());
    shared.appends.set(shared.appends.get() + 1);
    let outcome = log.append(Bytes::from(bytes)).await;
    shared.available.set(outcome.is_ok());
    if let Ok(offset) = outcome {
        pace.succeeded();
        shared.saw_end(offset + 1);
    }
    outcome
}

// Reads on from before the append; where the log's end is reached without a trace of it, a
// tombstone makes sure that it does not count later. Returns `None` where the entries are gone.
async fn settle<L>(
    log: &L,
    shared: &Shared,
    pace: &mut AppendPace,
    mut doubt: Doubt,
) -> Option<Settled>
where
    L: LogService,
{
    loop {
        match read_on(log, &mut doubt).await {
            Ok(()) => {}
            Err(ReadError::Trimmed { .. }) => return None,
            Err(_unavailable) => {
                back_off(shared, pace).await;
                continue;
            }
        }
        if let Some(settled) = doubt.settled() {
            return Some(settled);
        }
        let tombstones = doubt.tombstones();
        let group = Group {
            records: tombstones
                .map(|content| record(Uuid::now_v7(), content))
                .collect(),
        };
        if append(log, shared, pace, &group).await.is_err() {
            back_off(shared, pace).await;
        }
    }
}

async fn read_on<L>(log: &L, doubt: &mut Doubt) -> Result<(), ReadError>
where
    L: LogService,
{
    loop {
        let page = log.read(doubt.next(), PAGE_ENTRIES).await?;
        for entry in &page.entries {
            let bytes = STANDARD.decode(&entry.data).ok();
            let group = bytes.and_then(|bytes| Group::from_bytes(&bytes).ok());
            doubt.observe(entry.offset, group.as_ref());
        }
        let done = doubt.settled().is_some() || page.entries.is_empty();
        if done || doubt.next() >= page.end {
            return Ok(());
        }
    }
}

async fn back_off(shared: &Shared, pace: &mut AppendPace) {
    let pause_ms = pace.failed(shared.now(), jitter());
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

fn jitter() -> u64 {
    SmallRng::from_os_rng().random_range(0..=JITTER)
}

fn answer(shared: &Shared, queued: Vec<Queued>, offset: u64) {
    let records = queued.len() as u64;
    let answered = shared.appended_records.get();
    shared.appended_records.set(answered + records);
    for queued in queued {
        let _gone = queued.reply.send(Ok(offset));
    }
}

fn refuse(queued: Vec<Queued>) {
    for queued in queued {
        let reason = "the log lost the record".to_owned();
        let _gone = queued.reply.send(Err(AppendError::Refused(reason)));
    }
}

fn give_up(queued: Vec<Queued>) {
    for queued in queued {
        let reason = "the log no longer holds the entries that would tell".to_owned();
        let _gone = queued.reply.send(Err(AppendError::InDoubt(reason)));
    }
}
