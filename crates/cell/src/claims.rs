//! Leader election: the order of claims in the store decides which node is the scheduler.
//!
//! A claim is appended only if the partition still ends where the claimant has read to, so a claim can't
//! follow a heartbeat that the claimant has not seen. The fencing token is derived from the claim's offset.

use std::rc::Rc;

use smol_str::SmolStr;
use syc_types::Millis;

use crate::Node;
use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::log;
use crate::node::Holder;
use crate::ports::AppendError;
use crate::ports::Condition;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Record;
use crate::ports::Topic;
use crate::recent_elections::RecentElections;
use crate::records;
use crate::records::HOLDER_KEY;
use crate::records::HolderRecord;
use crate::succession;
use crate::unreadable::Source;

/// Delay after a failed read or claim.
const RETRY_MS: u64 = 60;

/// Longest wait of a read for new records. Its answer also shows that the connection still works.
const LONG_POLL_MS: u64 = 800;

/// Factor for the heartbeat timeout while the scheduler answers calls of this node.
const REACHABLE_TIMEOUT_FACTOR: u64 = 4;

/// Interval at which a node that the scheduler keeps informed checks whether it still does.
const INFORMED_POLL_MS: u64 = 200;

/// Shortest wait of a read for new records.
const MIN_POLL_MS: u64 = 20;

/// A holder without the `proves` flag sends no more orders once no record of it was read for this long.
const UNPROVEN_HOLDER_MS: u64 = 15_000;

/// State that a node derives from the claims and heartbeats in the store.
#[derive(Debug, Default)]
struct ClaimLog {
    /// Offset of the next read. `None` until the newest records were read.
    position: Option<u64>,
    /// Holder of the newest claim, unless it released the role.
    holder: Option<Holder>,
    /// Token of the newest claim that was released.
    released_token: u64,
    /// Time at which the newest claim or heartbeat was read.
    heartbeat_seen_at: Millis,
    /// Time at which the first configuration was known. Without a configuration, no node may claim.
    configured_at: Option<Millis>,
    /// Time at which the newest record without the `proves` flag was read.
    unproven_seen_at: Option<Millis>,
    /// Number of workers of the cell that a heartbeat last stated.
    workers: u64,
    /// Node that should take the released role; empty if any may.
    successor: SmolStr,
    elections: RecentElections,
}

/// Follows the claims and heartbeats, and claims the role when there is no scheduler.
pub(crate) async fn follow_claims<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut claims = ClaimLog {
        heartbeat_seen_at: now(),
        ..ClaimLog::default()
    };
    loop {
        if node.is_informed() {
            claims.rely_on_scheduler(&node);
            wait_while_informed(&node).await;
        } else {
            poll_claims(&node, &mut claims).await;
            node.has_looked_for_claims.set(true);
        }
        claims.record_configured(&node);
        claims.take_report(&node);
        update_holder(&node, &claims);
        if claim_is_due(&node, &claims) {
            claim(&node, &mut claims).await;
        }
    }
}

/// Waits until something may have changed for a node that the scheduler keeps informed.
async fn wait_while_informed<P>(node: &Node<P>)
where
    P: Platform,
{
    tokio::select! {
        () = pause(INFORMED_POLL_MS) => {}
        () = node.holder_changed.notified() => {}
    }
}

async fn poll_claims<P>(node: &Rc<Node<P>>, claims: &mut ClaimLog)
where
    P: Platform,
{
    let Some(from) = claims.position else {
        match node.newest_claim().await {
            Ok(newest) => {
                for (offset, record) in &newest.records {
                    claims.apply(node, *offset, record);
                }
                claims.position = Some(newest.read_from);
            }
            Err(_recorded) => pause(RETRY_MS).await,
        }
        return;
    };
    let wait_ms = wait_ms(node, claims);
    let read = tokio::select! {
        read = node.read(Topic::Holders, 0, from, wait_ms) => Some(read),
        () = node.holder_changed.notified() => None,
    };
    match read {
        Some(Ok(page)) => {
            let mut offset = page.first;
            for record in &page.records {
                claims.apply(node, offset, record);
                offset += 1;
            }
            claims.position = Some(offset);
        }
        Some(Err(ReadError::Gone { .. })) => claims.position = None,
        Some(Err(_recorded)) => pause(RETRY_MS).await,
        None => {}
    }
}

/// Returns how long a read may wait without delaying a claim.
fn wait_ms<P>(node: &Rc<Node<P>>, claims: &ClaimLog) -> u64
where
    P: Platform,
{
    let due_at = silent_since(node, claims).plus(election_timeout_ms(node, claims));
    let until_due_ms = due_at.since(now());
    until_due_ms.clamp(MIN_POLL_MS, LONG_POLL_MS)
}

impl ClaimLog {
    /// Returns whether no holder without the `proves` flag can still send orders.
    fn predecessors_require_proof(&self) -> bool {
        self.unproven_seen_at
            .is_none_or(|at| now().since(at) > UNPROVEN_HOLDER_MS)
    }

    /// Forgets the position in the store. A node that is no longer kept informed looks for the newest claim first, and
    /// waits for a heartbeat from then on.
    fn rely_on_scheduler<P>(&mut self, node: &Node<P>)
    where
        P: Platform,
    {
        node.has_looked_for_claims.set(false);
        self.position = None;
        self.heartbeat_seen_at = now();
    }

    fn record_configured<P>(&mut self, node: &Node<P>)
    where
        P: Platform,
    {
        if self.configured_at.is_none() && node.configuration().is_some() {
            self.configured_at = Some(now());
        }
    }

    /// Follows a scheduler that another node reported. It does not count as a heartbeat.
    fn take_report<P>(&mut self, node: &Node<P>)
    where
        P: Platform,
    {
        let Some(reported) = node.reported_holder.borrow_mut().take() else {
            return;
        };
        let known = self.holder.as_ref().map_or(0, |holder| holder.token);
        if reported.token > known.max(self.released_token) {
            self.holder = Some(reported);
        }
    }

    fn apply<P>(&mut self, node: &Node<P>, offset: u64, record: &Record)
    where
        P: Platform,
    {
        if record.key != HOLDER_KEY {
            return;
        }
        let read = match serde_json::from_slice::<HolderRecord>(&record.value) {
            Ok(read) => read,
            Err(error) => {
                let reason = error.to_string();
                node.report_unreadable(Source::Holders, &record.key, &reason);
                return;
            }
        };
        if !read.proves {
            self.unproven_seen_at = Some(now());
        }
        let is_claim = read.token == 0;
        let token = if is_claim { offset + 1 } else { read.token };
        let known = self.holder.as_ref().map_or(0, |holder| holder.token);
        if token < known || token <= self.released_token {
            // A heartbeat of a predecessor, or one that arrived after the holder released the role.
            return;
        }
        if read.released {
            self.released_token = token;
        }
        if read.workers > 0 {
            self.workers = read.workers;
        }
        self.successor = read.successor;
        self.elections.record(token, now());
        self.heartbeat_seen_at = now();
        self.holder = (!read.released).then_some(Holder {
            node: read.node,
            address: read.address,
            incarnation: read.incarnation,
            token,
        });
    }
}

/// Returns the start of the election timeout: the latest heartbeat, store failure or first configuration.
///
/// All nodes wait for the first configuration at the same time. If that wait counted, their timeouts would have
/// expired together, and a node with a slow link would be as likely to win as any other.
fn silent_since<P>(node: &Rc<Node<P>>, claims: &ClaimLog) -> Millis
where
    P: Platform,
{
    let configured_at = claims.configured_at.unwrap_or_else(now);
    let last_sign_at = claims.heartbeat_seen_at.max(node.store_failed_at());
    last_sign_at.max(configured_at)
}

/// Returns how long this node waits for a heartbeat before it claims the role. It is longer while live schedulers are
/// replaced one after the other, see [`syc_sched::ElectionBackoff`].
fn election_timeout_ms<P>(node: &Rc<Node<P>>, claims: &ClaimLog) -> u64
where
    P: Platform,
{
    let timing = &node.settings.timing;
    let backoff_factor = node.election_backoff.borrow().timeout_factor(now());
    let heartbeat_timeout_ms = match &claims.holder {
        None => 0,
        // An earlier process of this node held the role, and it has ended.
        Some(holder) if is_own_predecessor(node, holder) => 0,
        // The scheduler reported that the store answers other nodes, but not its own.
        Some(_) if node.holder_yields.get() && may_replace_yielding(node) => 0,
        Some(_) if node.holder_suspected.get() => {
            timing.suspected_heartbeat_timeout_ms * backoff_factor
        }
        // A slow store delays heartbeats of a scheduler that is alive.
        Some(_) if is_scheduler_reachable(node) => {
            timing.heartbeat_timeout_ms * REACHABLE_TIMEOUT_FACTOR.max(backoff_factor)
        }
        Some(_) => timing.heartbeat_timeout_ms * backoff_factor,
    };
    heartbeat_timeout_ms + claim_delay_ms(node, claims)
}

fn may_replace_yielding<P>(node: &Node<P>) -> bool
where
    P: Platform,
{
    let has_fast_link = node.settings.has_fast_link();
    syc_sched::may_replace_yielding(node.candidate_rank.get(), has_fast_link)
}

/// Returns how long this node leaves the role to others that suit it better.
///
/// A scheduler that is cut off from its workers names the node that reaches them. Else, the last scheduler named the
/// candidates, in an order. Without that, a node judges by its own link and descriptors.
fn claim_delay_ms<P>(node: &Node<P>, claims: &ClaimLog) -> u64
where
    P: Platform,
{
    let settings = &node.settings;
    let timing = &settings.timing;
    let successor_ms = if claims.successor.is_empty() {
        0
    } else if claims.successor == settings.name {
        return 0;
    } else {
        timing.other_claim_delay_ms
    };
    let jitter_up_to = |limit_ms: u64| node.incarnation % limit_ms.max(1);
    let order_ms = match node.candidate_rank.get() {
        None => {
            settings.files_claim_delay_ms(claims.workers) + jitter_up_to(timing.claim_jitter_ms)
        }
        Some(0) => timing.other_claim_delay_ms + jitter_up_to(timing.other_claim_jitter_ms),
        Some(rank) => {
            let preparation_ms = if node.read_ahead.is_begun() {
                0
            } else {
                timing.unprepared_claim_delay_ms
            };
            timing.candidate_spacing_ms * u64::from(rank - 1) + preparation_ms
        }
    };
    settings.claim_delay_ms() + order_ms + successor_ms
}

/// Returns whether the scheduler's last reply was recent and reported that the store answers it.
fn is_scheduler_reachable<P>(node: &Node<P>) -> bool
where
    P: Platform,
{
    let link = node.link.borrow();
    link.as_ref().is_some_and(|link| link.is_healthy())
}

fn is_own_predecessor<P>(node: &Node<P>, holder: &Holder) -> bool
where
    P: Platform,
{
    holder.node == node.settings.name && holder.incarnation != node.incarnation
}

fn claim_is_due<P>(node: &Rc<Node<P>>, claims: &ClaimLog) -> bool
where
    P: Platform,
{
    let now = now();
    let may_claim = claims.position.is_some()
        && node.store_answers()
        && node.configuration().is_some()
        && !node.stopping.get()
        && node.leader().is_none()
        && node.claim_not_before.get() <= now;
    may_claim && now.since(silent_since(node, claims)) >= election_timeout_ms(node, claims)
}

async fn claim<P>(node: &Rc<Node<P>>, claims: &mut ClaimLog)
where
    P: Platform,
{
    let Some(end) = claims.position else {
        return;
    };
    let silent_ms = now().since(claims.heartbeat_seen_at);
    let record = records::holder(&HolderRecord {
        node: node.settings.name.clone(),
        address: node.settings.peer_address.to_string().into(),
        incarnation: node.incarnation,
        proves: true,
        ..HolderRecord::default()
    });
    let condition = Condition::EndsAt(end);
    match node
        .append(Topic::Holders, 0, std::slice::from_ref(&record), &condition)
        .await
    {
        Ok(appended) => {
            let timeout_factor = node.election_backoff.borrow().timeout_factor(now());
            let before = claims.holder.as_ref().map_or(0, |before| before.token);
            claims.apply(node, appended.offset, &record);
            log::claim_won(&log::Election {
                token: appended.offset + 1,
                before,
                silent_ms,
                timeout_factor,
                elections: claims.elections.count(now()),
            });
            claims.position = Some(appended.end);
            update_holder(node, claims);
        }
        Err(error @ AppendError::EndMismatch { .. }) => log::claim_lost(&error),
        Err(error) => {
            // If the append was carried out after all, the claim will be read from the store like any other.
            log::claim_lost(&error);
            pause(RETRY_MS).await;
        }
    }
}

/// Updates the node's view of the scheduler, and starts or ends its own role.
fn update_holder<P>(node: &Rc<Node<P>>, claims: &ClaimLog)
where
    P: Platform,
{
    let known = node.holder.borrow().clone();
    if known == claims.holder {
        return;
    }
    node.holder.borrow_mut().clone_from(&claims.holder);
    node.holder_suspected.set(false);
    node.holder_yields.set(false);
    if let (Some(before), Some(elected)) = (&known, &claims.holder) {
        succession::notify_predecessor(node, before, elected);
    }
    let leader = node.leader();
    let own = claims
        .holder
        .as_ref()
        .filter(|holder| holder.incarnation == node.incarnation);
    if let Some(leader) = leader
        && own.is_none_or(|own| own.token != leader.token)
    {
        leader.step_down("another_was_chosen");
    }
    match own {
        Some(own) if node.leader().is_none() => {
            Leader::start(node, own.token, claims.predecessors_require_proof());
        }
        Some(_) => {}
        None => log::holder_changed(claims.holder.as_ref()),
    }
    node.holder_changed.notify_waiters();
}
