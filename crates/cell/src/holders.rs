//! Who is the scheduler: the store's order of claims decides.
//!
//! A claim is appended on the condition that nothing came after what the claimant has read, so a
//! claim never overtakes a heartbeat of the holder. Its offset makes the fencing token.

use std::rc::Rc;

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
use crate::records;
use crate::records::HOLDER_KEY;
use crate::records::HolderRecord;
use crate::unreadable::Source;

/// Wait after a read that failed.
const RETRY_MS: u64 = 60;

/// Longest wait of a read for news: it also shows that the connection still works.
const WAIT_MS: u64 = 800;

/// A scheduler that is heard of otherwise is waited for so many times as long.
const SILENCES_IN_TOUCH: u64 = 4;

/// Shortest wait of a read.
const SHORT_WAIT_MS: u64 = 20;

/// A holder of which nothing was read for this long gives no orders any more.
const UNPROVING_MS: u64 = 15_000;

/// What a node has read of the claims.
#[derive(Debug, Default)]
struct Watch {
    /// Offset to read on from; none before the first read.
    position: Option<u64>,
    /// The newest claim, unless its holder gave the role up.
    holder: Option<Holder>,
    /// Token of the newest claim whose holder gave the role up.
    released: u64,
    /// When the newest heartbeat was read.
    seen_at: Millis,
    /// When the first configuration was known; without one, no node may claim.
    configured_at: Option<Millis>,
    /// When the newest record was read of a holder that starts jobs without a proof.
    unproving_at: Option<Millis>,
}

/// Follows the claims, and claims when there is no scheduler.
pub(crate) async fn watch_holders<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut watch = Watch {
        seen_at: now(),
        ..Watch::default()
    };
    loop {
        read_news(&node, &mut watch).await;
        watch.note_configured(&node);
        show_holder(&node, &watch);
        if claim_is_due(&node, &watch) {
            claim(&node, &mut watch).await;
        }
    }
}

async fn read_news<P>(node: &Rc<Node<P>>, watch: &mut Watch)
where
    P: Platform,
{
    let Some(from) = watch.position else {
        match node.newest(Topic::Holders, 0).await {
            Ok(newest) => {
                for (offset, record) in &newest.records {
                    watch.take(node, *offset, record);
                }
                watch.position = Some(newest.read_from);
            }
            Err(_noted) => pause(RETRY_MS).await,
        }
        return;
    };
    let wait_ms = wait_ms(node, watch);
    let read = tokio::select! {
        read = node.read(Topic::Holders, 0, from, wait_ms) => Some(read),
        () = node.holder_news.notified() => None,
    };
    match read {
        Some(Ok(page)) => {
            let mut offset = page.first;
            for record in &page.records {
                watch.take(node, offset, record);
                offset += 1;
            }
            watch.position = Some(offset);
        }
        Some(Err(ReadError::Gone { .. })) => watch.position = None,
        Some(Err(_noted)) => pause(RETRY_MS).await,
        None => {}
    }
}

/// Returns how long a read may wait without a due claim coming late.
fn wait_ms<P>(node: &Rc<Node<P>>, watch: &Watch) -> u64
where
    P: Platform,
{
    let due_at = quiet_since(node, watch).plus(patience_ms(node, watch));
    let until_due_ms = due_at.since(now());
    until_due_ms.clamp(SHORT_WAIT_MS, WAIT_MS)
}

impl Watch {
    /// Says whether no holder that starts jobs without a proof can give orders any more.
    fn predecessors_prove(&self) -> bool {
        self.unproving_at
            .is_none_or(|at| now().since(at) > UNPROVING_MS)
    }

    fn note_configured<P>(&mut self, node: &Node<P>)
    where
        P: Platform,
    {
        if self.configured_at.is_none() && node.configuration().is_some() {
            self.configured_at = Some(now());
        }
    }

    fn take<P>(&mut self, node: &Node<P>, offset: u64, record: &Record)
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
                node.note_unreadable(Source::Holders, &record.key, &reason);
                return;
            }
        };
        if !read.proves {
            self.unproving_at = Some(now());
        }
        let is_claim = read.token == 0;
        let token = if is_claim { offset + 1 } else { read.token };
        let known = self.holder.as_ref().map_or(0, |holder| holder.token);
        if token < known || token <= self.released {
            // A heartbeat of a predecessor, or one that came after its last word.
            return;
        }
        if read.released {
            self.released = token;
        }
        self.seen_at = now();
        self.holder = (!read.released).then_some(Holder {
            node: read.node,
            address: read.address,
            incarnation: read.incarnation,
            token,
        });
    }
}

/// Returns the time since which this node could have claimed, and the store has answered without any heartbeat.
///
/// Nodes wait for the first configuration at the same time. Were that wait a part of their patience, it would be over
/// for all of them at once, and a node with a thin link would be as likely to be chosen as any.
fn quiet_since<P>(node: &Rc<Node<P>>, watch: &Watch) -> Millis
where
    P: Platform,
{
    let configured_at = watch.configured_at.unwrap_or_else(now);
    let heard_at = watch.seen_at.max(node.store_failed_at());
    heard_at.max(configured_at)
}

/// Returns how long a node waits for a heartbeat before it claims.
fn patience_ms<P>(node: &Rc<Node<P>>, watch: &Watch) -> u64
where
    P: Platform,
{
    let timing = &node.settings.timing;
    let spread_ms = node.incarnation % timing.claim_spread_ms.max(1);
    let delay_ms = node.settings.claim_delay_ms();
    let silence_ms = match &watch.holder {
        None => 0,
        // An earlier incarnation of this very node held the role, and it is over.
        Some(holder) if is_earlier_incarnation(node, holder) => 0,
        Some(_) if node.holder_gone.get() => timing.gone_silence_ms,
        // Its heartbeats are late where the store is slow.
        Some(_) if is_in_touch(node) => timing.silence_ms * SILENCES_IN_TOUCH,
        Some(_) => timing.silence_ms,
    };
    silence_ms + spread_ms + delay_ms
}

/// Says whether the scheduler itself tells this node that it is there and that the store answers it.
fn is_in_touch<P>(node: &Node<P>) -> bool
where
    P: Platform,
{
    let link = node.link.borrow();
    link.as_ref().is_some_and(|link| link.is_sound())
}

fn is_earlier_incarnation<P>(node: &Node<P>, holder: &Holder) -> bool
where
    P: Platform,
{
    holder.node == node.settings.name && holder.incarnation != node.incarnation
}

fn claim_is_due<P>(node: &Rc<Node<P>>, watch: &Watch) -> bool
where
    P: Platform,
{
    let now = now();
    let is_able = watch.position.is_some()
        && node.store_answers()
        && node.configuration().is_some()
        && !node.stopping.get()
        && node.leader().is_none()
        && node.claim_not_before.get() <= now;
    is_able && now.since(quiet_since(node, watch)) >= patience_ms(node, watch)
}

async fn claim<P>(node: &Rc<Node<P>>, watch: &mut Watch)
where
    P: Platform,
{
    let Some(end) = watch.position else {
        return;
    };
    let silent_ms = now().since(watch.seen_at);
    let record = records::holder(&HolderRecord {
        node: node.settings.name.clone(),
        address: node.settings.peer_address.to_string().into(),
        incarnation: node.incarnation,
        token: 0,
        released: false,
        proves: true,
    });
    let condition = Condition::EndsAt(end);
    match node
        .append(Topic::Holders, 0, std::slice::from_ref(&record), &condition)
        .await
    {
        Ok(appended) => {
            log::chosen(appended.offset + 1, watch.holder.as_ref(), silent_ms);
            watch.take(node, appended.offset, &record);
            watch.position = Some(appended.end);
            show_holder(node, watch);
        }
        Err(error @ AppendError::EndsElsewhere { .. }) => log::claim_lost(&error),
        Err(error) => {
            // If it was carried out after all, the claim will be read like any other.
            log::claim_lost(&error);
            pause(RETRY_MS).await;
        }
    }
}

/// Lets the node act on who is the scheduler now.
fn show_holder<P>(node: &Rc<Node<P>>, watch: &Watch)
where
    P: Platform,
{
    let known = node.holder.borrow().clone();
    if known == watch.holder {
        return;
    }
    node.holder.borrow_mut().clone_from(&watch.holder);
    node.holder_gone.set(false);
    let leading = node.leader();
    let own = watch
        .holder
        .as_ref()
        .filter(|holder| holder.incarnation == node.incarnation);
    if let Some(leading) = leading
        && own.is_none_or(|own| own.token != leading.token)
    {
        leading.step_down("another_was_chosen");
    }
    match own {
        Some(own) if node.leader().is_none() => {
            Leader::start(node, own.token, watch.predecessors_prove());
        }
        Some(_) => {}
        None => log::holder(watch.holder.as_ref()),
    }
    node.holder_news.notify_waiters();
}
