//! Reads the log from where it stopped and applies every record in order.

use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use syc_coord::records::Content;
use syc_coord::records::Group;
use syc_coord::records::Record;
use syc_coord::snapshot::SnapshotPart;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::LogService;
use syc_platform::ReadError;
use syc_platform::types::LogEntry;

use crate::audit;
use crate::follower_peers;
use crate::follower_snapshot;
use crate::home;
use crate::home_cancel;
use crate::members;
use crate::node::Node;
use crate::publish;

/// Most entries of one read.
pub const PAGE_ENTRIES: u32 = 256;

/// Follows the log until the arbiter ends.
pub async fn run(node: Rc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.log_poll_ms);
    loop {
        match read_to_end(&node).await {
            Ok(()) => {
                if !node.log_available.replace(true) {
                    emit(catalogue::LOG_AVAILABLE, format_args!("reading again"));
                }
                follower_snapshot::spawn_if_due(&node);
            }
            Err(error) => {
                if node.log_available.replace(false) {
                    emit(catalogue::LOG_UNAVAILABLE, format_args!("{error}"));
                }
                follower_peers::catch_up(&node).await;
            }
        }
        let _ = tokio::time::timeout(interval, node.log_wake.notified()).await;
    }
}

/// Takes note of how far a peer has read the log; a peer that is ahead of this daemon's reader
/// shows that the log has more.
pub fn peer_is_at(node: &Rc<Node>, offset: u64) {
    node.log_peers.set(node.log_peers.get().max(offset));
    if offset > node.log_next.get() {
        node.log_wake.notify_one();
    }
}

/// Waits until everything that stands in the log now is applied, or the log does not answer.
pub async fn read_now(node: &Rc<Node>) -> bool {
    read_to_end(node).await.is_ok()
}

async fn read_to_end(node: &Rc<Node>) -> Result<(), ReadError> {
    loop {
        let from = node.log_next.get();
        let page = match node.platform.read(from, PAGE_ENTRIES).await {
            Err(ReadError::Trimmed { oldest }) => {
                start_over(node, oldest).await?;
                continue;
            }
            other => other?,
        };
        node.log_writer.saw_end(page.end);
        node.operators.log_end.set(page.end);
        for entry in &page.entries {
            // Another read may have been quicker.
            if entry.offset < node.log_next.get() {
                continue;
            }
            apply_entry(node, entry);
            node.log_next.set(entry.offset + 1);
        }
        node.log_applied.notify_waiters();
        if node.log_next.get() >= page.end || page.entries.is_empty() {
            break;
        }
    }
    // A reader that lags behind the peers' has not seen everything yet.
    if node.log_next.get() >= node.log_peers.get() {
        note_caught_up(node);
    }
    Ok(())
}

/// Notes that the state is as far as the log, or a peer, could give it.
pub fn note_caught_up(node: &Rc<Node>) {
    if !node.caught_up.replace(true) {
        members::caught_up(node);
    }
}

async fn start_over(node: &Rc<Node>, oldest: u64) -> Result<(), ReadError> {
    if let Some(found) = follower_snapshot::find(node, oldest).await? {
        follower_snapshot::restore(node, &found);
        node.log_next.set(found.covers);
        node.last_snapshot.set((found.covers, node.now()));
        return Ok(());
    }
    if follower_peers::fetch(node, oldest).await {
        return Ok(());
    }
    emit(catalogue::SNAPSHOT_MISSING, format_args!("oldest={oldest}"));
    let reason = "no snapshot covers the entries that are gone".to_owned();
    Err(ReadError::Unavailable(reason))
}

/// Decodes an entry's records.
///
/// # Errors
///
/// Fails with the reason where the entry is no group of this version.
pub fn group_of(entry: &LogEntry) -> Result<Group, String> {
    let bytes = STANDARD.decode(&entry.data);
    let bytes = bytes.map_err(|source| source.to_string())?;
    Group::from_bytes(&bytes).map_err(|source| source.to_string())
}

fn apply_entry(node: &Rc<Node>, entry: &LogEntry) {
    match group_of(entry) {
        Ok(group) => {
            for record in &group.records {
                if node.tombstones.borrow().void(record.id) {
                    continue;
                }
                apply_record(node, entry, record);
                audit::note(node, entry.offset, record);
            }
        }
        Err(reason) => emit(
            catalogue::RECORD_UNREADABLE,
            format_args!("offset={} reason={reason}", entry.offset),
        ),
    }
    let kept_ms = node.settings.timing.ended_jobs_ms;
    let before_ms = entry.at_ms.saturating_sub(kept_ms);
    node.jobs.borrow_mut().forget_before(before_ms);
}

fn apply_record(node: &Rc<Node>, entry: &LogEntry, record: &Record) {
    match &record.content {
        Content::Config(config) => publish::apply(node, entry.offset, config),
        Content::JobAccepted { job_id, spec } => home::apply_accepted(node, *job_id, spec),
        Content::Intent { task } => node.jobs.borrow_mut().intend_by(*task, record.id),
        Content::IntentWithdrawn { task, of } => node.jobs.borrow_mut().withdraw(*task, *of),
        Content::TaskEnded { task, outcome } => {
            home::apply_ended(node, *task, outcome);
            let mut jobs = node.jobs.borrow_mut();
            jobs.note_end(task.job_id, entry.at_ms);
        }
        Content::JobCancelled { job_id } => {
            home_cancel::apply(node, *job_id);
            node.jobs.borrow_mut().note_end(*job_id, entry.at_ms);
        }
        Content::View(view) => members::apply_view(node, view),
        Content::Snapshot(part) => apply_part(node, part),
        Content::Tombstone { of } => node.tombstones.borrow_mut().add(*of),
        Content::Audit(_) => {}
    }
}

fn apply_part(node: &Rc<Node>, part: &SnapshotPart) {
    let complete = node.snapshots.borrow_mut().observe(part);
    if let Some(covers) = complete {
        node.last_snapshot.set((covers, node.now()));
    }
}
