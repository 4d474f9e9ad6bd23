//! Starting over from a snapshot where the log no longer holds what comes next, and writing one.

use std::rc::Rc;

use syc_coord::LogState;
use syc_coord::records::Content;
use syc_coord::snapshot;
use syc_coord::snapshot::Snapshot;
use syc_coord::snapshot::SnapshotItem;
use syc_coord::snapshot::SnapshotOptions;
use syc_coord::snapshot::SnapshotPart;
use syc_coord::snapshot::SnapshotReader;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::LogService;
use syc_platform::ReadError;
use syc_types::hash;
use uuid::Uuid;

use crate::follower;
use crate::follower::PAGE_ENTRIES;
use crate::follower::group_of;
use crate::home;
use crate::members;
use crate::node::Node;

/// Looks through the whole retained log for the newest snapshot of which nothing after it is gone.
pub async fn find(node: &Rc<Node>, oldest: u64) -> Result<Option<Snapshot>, ReadError> {
    let mut reader = SnapshotReader::default();
    let mut newest: Option<Snapshot> = None;
    let mut next = oldest;
    loop {
        let page = node.platform.read(next, PAGE_ENTRIES).await?;
        for entry in &page.entries {
            next = entry.offset + 1;
            let Ok(group) = group_of(entry) else { continue };
            for record in &group.records {
                let Content::Snapshot(part) = &record.content else {
                    continue;
                };
                let Some(found) = reader.observe(part) else {
                    continue;
                };
                if newest
                    .as_ref()
                    .is_none_or(|last| found.covers >= last.covers)
                {
                    newest = Some(found);
                }
            }
        }
        if page.entries.is_empty() || next >= page.end {
            return Ok(newest.filter(|found| found.covers >= page.oldest));
        }
    }
}

/// Takes over what a snapshot holds; what is in force only moves on.
pub fn restore(node: &Rc<Node>, found: &Snapshot) {
    for item in &found.items {
        match item {
            SnapshotItem::Views(views) => members::adopt_views(node, views.clone()),
            SnapshotItem::Config(in_force) => {
                let document = in_force.document.clone();
                let moved = node.config.borrow_mut().restore(in_force.clone());
                if moved {
                    node.apply_document(&document);
                }
            }
            SnapshotItem::Verdict {
                publication,
                verdict,
            } => {
                let mut config = node.config.borrow_mut();
                config.restore_verdict(*publication, verdict.clone());
            }
            SnapshotItem::Audit(entry) => {
                let mut trail = node.operators.audit.borrow_mut();
                trail.restore(entry.clone());
            }
            SnapshotItem::Tombstone { of } => node.tombstones.borrow_mut().add(*of),
            SnapshotItem::Job { .. } | SnapshotItem::Tasks { .. } => {}
        }
    }
    home::restore_jobs(node, snapshot::jobs_of(&found.items));
    let covers = found.covers;
    emit(catalogue::SNAPSHOT_READ, format_args!("covers={covers}"));
}

/// Begins to write a snapshot if one is due and this member is the one to write it.
pub fn spawn_if_due(node: &Rc<Node>) {
    let options = SnapshotOptions {
        entries: node.settings.limits.snapshot_entries,
        age_ms: node.settings.timing.snapshot_age_ms,
    };
    let (last, at) = node.last_snapshot.get();
    let entries = node.log_next.get().saturating_sub(last);
    let age_ms = node.now().since(at);
    let due = snapshot::due(&options, rank(node, last), entries, age_ms);
    if !due || !node.caught_up.get() || node.writing_snapshot.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    actix_rt::spawn(async move {
        write(&node).await;
        node.writing_snapshot.set(false);
    });
}

async fn write(node: &Rc<Node>) {
    let covers = node.log_next.get();
    let parts = cut(node);
    let count = parts.len();
    for part in parts {
        let appended = node.log_writer.append(Content::Snapshot(part)).await;
        if appended.is_err() {
            return;
        }
    }
    let _applied = follower::read_now(node).await;
    emit(
        catalogue::SNAPSHOT_WRITTEN,
        format_args!("covers={covers} parts={count}"),
    );
}

/// Cuts this daemon's state into parts.
pub fn cut(node: &Rc<Node>) -> Vec<SnapshotPart> {
    let config = node.config.borrow();
    let jobs = node.jobs.borrow();
    let views = members::views(node);
    let tombstones = node.tombstones.borrow();
    let audit = node.operators.audit.borrow();
    let state = LogState {
        config: &config,
        audit: &audit,
        jobs: &jobs,
        views: &views,
        tombstones: &tombstones,
    };
    snapshot::cut(Uuid::now_v7(), node.log_next.get(), &state)
}

// The order in which the members write the snapshot after the one at `last`.
fn rank(node: &Rc<Node>, last: u64) -> u64 {
    let view = node.view.borrow();
    let mut names: Vec<_> = view
        .members
        .iter()
        .map(|member| member.id.as_str())
        .collect();
    let mut rank = 0;
    while let Some(first) = hash::rendezvous(&format!("snapshot/{last}"), names.iter().copied()) {
        if first == node.id.as_str() {
            return rank;
        }
        let first = first.to_owned();
        names.retain(|name| *name != first);
        rank += 1;
    }
    rank
}
