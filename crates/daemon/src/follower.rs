//! Reads the log from where it stopped and applies every record in order.

use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use syc_coord::records::Content;
use syc_coord::records::Group;
use syc_coord::records::Record;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::LogService;
use syc_platform::ReadError;
use syc_platform::types::LogEntry;

use crate::home;
use crate::members;
use crate::node::Node;
use crate::publish;

/// Most entries of one read.
const PAGE_ENTRIES: u32 = 256;

/// Follows the log until the arbiter ends.
pub async fn run(node: Rc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.log_poll_ms);
    let mut available = true;
    loop {
        match read_to_end(&node).await {
            Ok(()) => {
                if !available {
                    emit(catalogue::LOG_AVAILABLE, format_args!("reading again"));
                }
                available = true;
                if !node.caught_up.replace(true) {
                    members::caught_up(&node);
                }
            }
            Err(error) => {
                if available {
                    emit(catalogue::LOG_UNAVAILABLE, format_args!("{error}"));
                }
                available = false;
            }
        }
        let _ = tokio::time::timeout(interval, node.log_wake.notified()).await;
    }
}

async fn read_to_end(node: &Rc<Node>) -> Result<(), ReadError> {
    loop {
        let from = node.log_next.get();
        let page = match node.platform.read(from, PAGE_ENTRIES).await {
            Err(ReadError::Trimmed { oldest }) => {
                node.log_next.set(oldest);
                continue;
            }
            other => other?,
        };
        for entry in &page.entries {
            apply_entry(node, entry);
            node.log_next.set(entry.offset + 1);
        }
        node.log_applied.notify_waiters();
        if node.log_next.get() >= page.end || page.entries.is_empty() {
            return Ok(());
        }
    }
}

fn apply_entry(node: &Rc<Node>, entry: &LogEntry) {
    let decoded = STANDARD.decode(&entry.data);
    let group = decoded
        .map_err(|source| source.to_string())
        .and_then(|bytes| Group::from_bytes(&bytes).map_err(|source| source.to_string()));
    match group {
        Ok(group) => {
            for record in &group.records {
                apply_record(node, entry.offset, record);
            }
        }
        Err(reason) => emit(
            catalogue::RECORD_UNREADABLE,
            format_args!("offset={} reason={reason}", entry.offset),
        ),
    }
}

fn apply_record(node: &Rc<Node>, offset: u64, record: &Record) {
    match &record.content {
        Content::Config(config) => publish::apply(node, record.id, offset, config),
        Content::JobAccepted { job_id, spec } => home::apply_accepted(node, *job_id, spec),
        Content::Intent { task } => node.jobs.borrow_mut().intend(*task),
        Content::TaskEnded { task, outcome } => home::apply_ended(node, *task, outcome),
        Content::JobCancelled { job_id } => home::apply_cancelled(node, *job_id),
        Content::View(view) => members::apply_view(node, view),
        Content::Audit(_) | Content::Tombstone { .. } => {}
    }
}
