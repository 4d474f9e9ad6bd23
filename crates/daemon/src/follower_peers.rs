//! Taking the state from a peer while the log can't give it, and giving it to one.

use std::collections::BTreeSet;
use std::rc::Rc;

use smol_str::SmolStr;
use syc_coord::snapshot::Snapshot;
use syc_coord::snapshot::SnapshotPart;
use syc_coord::snapshot::SnapshotReader;
use syc_wire::Body;
use syc_wire::StatePart;
use syc_wire::StateQuery;
use uuid::Uuid;

use crate::follower;
use crate::follower_snapshot;
use crate::node::Node;
use crate::peers;

/// Time that a peer has for one part.
const PART_TIMEOUT_MS: u64 = 2_000;

/// Snapshots that are kept for peers that fetch them.
const KEPT: usize = 4;

/// Takes the state from a peer if this daemon has none, or knows less than its peers.
pub async fn catch_up(node: &Rc<Node>) {
    let behind = node.log_next.get() < node.log_peers.get();
    if node.caught_up.get() && !behind {
        return;
    }
    if fetch(node, node.log_next.get()).await {
        follower::note_caught_up(node);
        node.log_applied.notify_waiters();
    }
}

/// Takes the state from the first peer that has read the log up to `least`; returns whether one
/// had.
pub async fn fetch(node: &Rc<Node>, least: u64) -> bool {
    for address in addresses(node) {
        let Some(found) = fetch_from(node, &address).await else {
            continue;
        };
        if found.covers < least {
            continue;
        }
        follower_snapshot::restore(node, &found);
        node.log_next.set(found.covers);
        return true;
    }
    false
}

// The members of the view, and before there is one, the daemons of the settings.
fn addresses(node: &Rc<Node>) -> BTreeSet<SmolStr> {
    let settings = node.settings.peers.iter();
    let mut addresses: BTreeSet<_> = settings.map(|peer| peer.address.clone()).collect();
    let view = node.view.borrow();
    addresses.extend(view.members.iter().map(|it| it.peer_address.clone()));
    addresses.remove(&node.settings.listen.peers);
    addresses
}

async fn fetch_from(node: &Rc<Node>, peer: &SmolStr) -> Option<Snapshot> {
    let mut reader = SnapshotReader::default();
    let mut query = StateQuery::default();
    loop {
        let body = Body::StateQuery(query.clone());
        let reply = peers::call_address(node, peer, body, PART_TIMEOUT_MS).await;
        let Ok(Body::StatePart(StatePart { json })) = reply else {
            return None;
        };
        let part = serde_json::from_str::<SnapshotPart>(&json).ok()?;
        if let Some(found) = reader.observe(&part) {
            return Some(found);
        }
        query = StateQuery {
            snapshot: part.snapshot.as_bytes().to_vec(),
            part: part.part + 1,
        };
    }
}

/// Answers a peer that asks for a part of this daemon's state.
pub fn answer(node: &Rc<Node>, query: &StateQuery) -> StatePart {
    let json = part_json(node, query).unwrap_or_default();
    StatePart { json }
}

fn part_json(node: &Rc<Node>, query: &StateQuery) -> Option<String> {
    if !node.caught_up.get() {
        return None;
    }
    let mut kept = node.peer_snapshots.borrow_mut();
    if query.snapshot.is_empty() {
        kept.push_back(follower_snapshot::cut(node));
        if kept.len() > KEPT {
            kept.pop_front();
        }
        let part = kept.back()?.first()?;
        return serde_json::to_string(part).ok();
    }
    let id = Uuid::from_slice(&query.snapshot).ok()?;
    for parts in &*kept {
        let Some(part) = parts.get(query.part as usize) else {
            continue;
        };
        if part.snapshot == id {
            return serde_json::to_string(part).ok();
        }
    }
    None
}
