//! Calls between the nodes of a cell. Every node exchanges periodic contacts with the scheduler's node, and with
//! no other. Notices to a scheduler that was replaced are sent in addition.
//!
//! The scheduler states in its replies when a node makes the next contact and whether it keeps that node informed of
//! claims and configurations, see [`syc_sched::ContactPlans`].

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_net::CallError;
use syc_net::PeerClient;
use syc_net::PeerOptions;
use syc_sched::jittered_interval_ms;
use syc_types::Millis;
use syc_wire::cell::CellBody;
use syc_wire::cell::CellMessage;
use syc_wire::cell::Contact;
use syc_wire::cell::ContactReply;
use syc_wire::cell::NoticeReply;
use syc_wire::cell::StoredNotice;

use crate::Node;
use crate::advice_query;
use crate::carrier;
use crate::clock::now;
use crate::clock::pause;
use crate::configuration_relay;
use crate::log;
use crate::node::Holder;
use crate::ports::Platform;
use crate::ports::Record;
use crate::queries;
use crate::remote_clock::RemoteClock;
use crate::shedding::ShedView;
use crate::succession;
use crate::unreadable::Source;

/// Timeout of a connection attempt to another node.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// A scheduler counts as cut off from the store when it has had no answer from it for this long while another node
/// has. Two heartbeats and their repeats have failed by then.
const STORE_UNREACHABLE_MS: u64 = 300;

/// A scheduler counts as healthy for this long after its last reply. This covers a few contacts.
const HEALTHY_WITHIN_MS: u64 = 600;

/// Where contacts are rarer, it counts as healthy until the next contact is late by this much.
const CONTACT_LATE_MS: u64 = 450;

/// Longest time until the next contact that a scheduler may state.
const MAX_CONTACT_INTERVAL_MS: u64 = 5_000;

/// A node reports that the store answers only if the latest answer is not older than this. An informed node makes few
/// calls, so it may not know.
const FRESH_ANSWER_MS: u64 = 1_000;

/// Consecutive unanswered calls after which the scheduler is suspected to have failed.
pub(crate) const SUSPECTED_MISSES: u32 = 2;

/// Link to the node that is the scheduler.
#[derive(Debug)]
pub(crate) struct HolderLink {
    client: PeerClient,
    pub(crate) token: u64,
    /// Whether the store answers the scheduler's node.
    store_answers: Cell<bool>,
    /// Append time at the scheduler's node.
    append_ms: Cell<u64>,
    /// The scheduler's newest view of the workspaces whose submits may be rejected.
    shed_view: RefCell<Option<Rc<ShedView>>>,
    /// Time of the scheduler's last reply.
    answered_at: Cell<Millis>,
    /// Time of that reply on the scheduler's own clock.
    remote_answered_at: Cell<Millis>,
    remote_clock: Cell<RemoteClock>,
    answers: Cell<bool>,
    /// Whether the scheduler keeps this node informed of claims and configurations.
    informs: Cell<bool>,
    /// Time between two contacts that the scheduler stated; 0 if it stated none.
    stated_interval_ms: Cell<u64>,
    /// Consecutive calls without an answer.
    misses: Cell<u32>,
}

impl HolderLink {
    fn new(holder: &Holder) -> Option<Self> {
        let address = holder.address.parse().ok()?;
        Some(Self {
            client: PeerClient::new(address, peer_options()),
            token: holder.token,
            store_answers: Cell::new(false),
            append_ms: Cell::new(0),
            shed_view: RefCell::default(),
            answered_at: Cell::new(now()),
            remote_answered_at: Cell::new(Millis(0)),
            remote_clock: Cell::default(),
            answers: Cell::new(true),
            informs: Cell::new(false),
            stated_interval_ms: Cell::new(0),
            misses: Cell::new(0),
        })
    }

    /// Returns whether the scheduler's node can store records for this node.
    pub(crate) fn can_relay(&self) -> bool {
        self.store_answers.get() && self.answers.get()
    }

    /// Returns whether the scheduler answered the latest contact.
    pub(crate) const fn answers(&self) -> bool {
        self.answers.get()
    }

    /// Returns whether the scheduler has replied recently and reported that the store answers it.
    pub(crate) fn is_healthy(&self) -> bool {
        let within_ms = HEALTHY_WITHIN_MS.max(self.stated_interval_ms.get() + CONTACT_LATE_MS);
        self.can_relay() && now().since(self.answered_at.get()) < within_ms
    }

    /// Returns whether the scheduler keeps this node informed of claims and configurations.
    pub(crate) fn is_informing(&self) -> bool {
        self.informs.get() && self.is_healthy()
    }

    /// Returns the time until the next contact. A scheduler that did not answer is contacted at the shortest interval.
    fn next_contact_ms(&self, min_interval_ms: u64, rng: &mut SmallRng) -> u64 {
        let stated_ms = self.stated_interval_ms.get();
        if self.misses.get() > 0 || stated_ms <= min_interval_ms {
            return min_interval_ms;
        }
        jittered_interval_ms(stated_ms, rng.random())
    }

    fn record_plan(&self, reply: &ContactReply) {
        self.informs.set(reply.leading && reply.informs);
        let interval_ms = reply.next_contact_ms.min(MAX_CONTACT_INTERVAL_MS);
        self.stated_interval_ms.set(interval_ms);
    }

    /// Returns the append time that the scheduler's node last reported.
    pub(crate) const fn append_ms(&self) -> u64 {
        self.append_ms.get()
    }

    /// Returns the view of the workspaces whose submits may be rejected that the scheduler last sent.
    pub(crate) fn shed_view(&self) -> Option<Rc<ShedView>> {
        self.shed_view.borrow().clone()
    }

    fn set_shed_view(&self, reply: &ContactReply, sent_at: Millis) {
        let view = reply.leading.then(|| ShedView::from_reply(reply, sent_at));
        *self.shed_view.borrow_mut() = view.map(Rc::new);
    }

    /// Returns a time that the scheduler's clock has reached by `now`, or none if it has not told its time.
    pub(crate) fn scheduler_time(&self, now: Millis) -> Option<Millis> {
        self.remote_clock.get().earliest(now)
    }

    fn record_remote_time(&self, remote: Millis) {
        self.remote_answered_at.set(remote);
        let mut clock = self.remote_clock.get();
        clock.record(remote, now());
        self.remote_clock.set(clock);
    }

    /// Makes a call that the scheduler's node may answer late. A timeout does not reset the link, because it does not
    /// show that the link is broken.
    pub(crate) async fn call_without_reset(
        &self,
        query: CellBody,
        timeout_ms: u64,
    ) -> Result<CellBody, CallError> {
        let query = CellMessage::encode_body(query);
        let reply = self.client.call(&query, timeout_ms).await?;
        decode(&reply)
    }

    /// Makes a call to the scheduler's node. A timeout resets the link.
    pub(crate) async fn call(
        &self,
        query: CellBody,
        timeout_ms: u64,
    ) -> Result<CellBody, CallError> {
        call(&self.client, query, timeout_ms).await
    }
}

pub(crate) fn peer_options() -> PeerOptions {
    PeerOptions {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        ..PeerOptions::default()
    }
}

/// Makes a call to a node, and resets the connection if the call fails.
pub(crate) async fn call(
    client: &PeerClient,
    query: CellBody,
    timeout_ms: u64,
) -> Result<CellBody, CallError> {
    let reply = client
        .call(&CellMessage::encode_body(query), timeout_ms)
        .await;
    decode(&reply.inspect_err(|_| client.reset())?)
}

/// Decodes a reply. A node that can't decode the call sends an empty reply and logs the error itself.
fn decode(reply: &[u8]) -> Result<CellBody, CallError> {
    CellMessage::decode_body(reply).map_err(|_unreadable| CallError::NoReply)
}

/// Contacts the scheduler periodically, so that both nodes know that the other is alive.
pub(crate) async fn run_contact_loop<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let min_interval_ms = node.settings.timing.contact_interval_ms;
    let mut rng = SmallRng::from_os_rng();
    loop {
        let Some(link) = current_link(&node) else {
            wait_for_change(&node, min_interval_ms).await;
            continue;
        };
        contact_scheduler(&node, &link).await;
        // A contact soon after the first look for claims tells the scheduler that this node would know of a successor.
        let was_informed = !node.has_looked_for_claims.get();
        let next_contact_ms = if was_informed && !node.is_informed() {
            min_interval_ms
        } else {
            link.next_contact_ms(min_interval_ms, &mut rng)
        };
        tokio::select! {
            () = wait_for_change(&node, next_contact_ms) => {}
            () = node.contact_wanted.notified() => {}
            // The scheduler's process has ended, or its node closed the connection.
            () = link.client.closed() => pause(min_interval_ms.min(next_contact_ms)).await,
        }
    }
}

/// Waits for this time, or until the scheduler has changed or is suspected to have failed.
async fn wait_for_change<P>(node: &Node<P>, limit_ms: u64)
where
    P: Platform,
{
    tokio::select! {
        () = pause(limit_ms) => {}
        () = node.holder_changed.notified() => {}
    }
}

/// Returns the link to the scheduler. Creates a new one if the scheduler has changed.
fn current_link<P>(node: &Rc<Node<P>>) -> Option<Rc<HolderLink>>
where
    P: Platform,
{
    let holder = node.holder.borrow().clone();
    let other = holder.filter(|holder| holder.incarnation != node.incarnation);
    let Some(holder) = other else {
        node.link.borrow_mut().take();
        return None;
    };
    let mut link = node.link.borrow_mut();
    let same = link.as_ref().is_some_and(|link| link.token == holder.token);
    if !same {
        *link = HolderLink::new(&holder).map(Rc::new);
    }
    link.clone()
}

async fn contact_scheduler<P>(node: &Rc<Node<P>>, link: &HolderLink)
where
    P: Platform,
{
    let query = CellBody::Contact(Contact {
        node: node.settings.name.to_string(),
        address: node.settings.peer_address.to_string(),
        store_answers: node.store_answers() && node.store_view().answered_ms < FRESH_ANSWER_MS,
        token: link.token,
        day_ms: node.read_wall_clock().day.0,
        heard_at_ms: link.remote_answered_at.get().0,
        predecessor_incarnation: 0,
        elected: None,
        files_limit: node.settings.files_limit,
        zone: node.settings.zone.to_string(),
        has_fast_link: node.settings.has_fast_link(),
        is_informed: !node.has_looked_for_claims.get(),
        has_read_ahead: node.read_ahead.is_done(),
        configuration_version: node.configuration_version(),
        configuration_age_ms: Some(node.configuration_age().unconfirmed_ms),
    });
    let min_timeout_ms = node.settings.timing.contact_timeout_ms;
    let timeout_ms = node.contact_timeout.get().timeout_ms(min_timeout_ms);
    let sent_at = now();
    let reply = link.call(query, timeout_ms).await;
    if let Ok(CellBody::ContactReply(reply)) = &reply {
        let mut timeout = node.contact_timeout.get();
        timeout.record_answer(now().since(sent_at), link.misses.get(), min_timeout_ms);
        node.contact_timeout.set(timeout);
        let partitions = node.settings.job_partitions();
        node.partition.set(reply.partition % partitions);
        node.record_reported_time(reply);
        link.append_ms.set(reply.append_ms);
        link.set_shed_view(reply, sent_at);
        link.record_plan(reply);
        if reply.leading {
            node.candidate_rank.set(Some(reply.candidate_rank));
        }
        if reply.hands_over_soon && !node.read_ahead.is_done() {
            node.read_ahead.request();
        }
        note_configuration_of_scheduler(node, reply, sent_at);
        succession::apply_reply(node, reply);
    }
    let (answers, store_answers) = match &reply {
        Ok(CellBody::ContactReply(reply)) => (reply.leading, reply.store_answers),
        Ok(_) | Err(_) => (false, false),
    };
    link.store_answers.set(store_answers);
    if link.answers.replace(answers) != answers {
        let silent_ms = now().since(link.answered_at.get());
        log::scheduler_health(answers, link.token, silent_ms);
        node.holder_changed.notify_waiters();
    }
    if answers {
        link.answered_at.set(now());
    }
    if let Ok(CellBody::ContactReply(reply)) = &reply {
        link.record_remote_time(Millis(reply.answered_at_ms));
    }
    // Whether pending records can be relayed may have changed.
    node.submit_queue.decide_soon();
    update_suspicion(node, link, &reply);
}

/// Records which version of the configuration the scheduler's node has, and as of when it is the newest one.
fn note_configuration_of_scheduler<P>(node: &Node<P>, reply: &ContactReply, sent_at: Millis)
where
    P: Platform,
{
    // Earlier versions do not state the age. They inform nodes only while the store answers them.
    let unstated_ms = (reply.leading && reply.store_answers).then_some(0);
    let Some(age_ms) = reply.configuration_age_ms.or(unstated_ms) else {
        return;
    };
    let version = reply.configuration_version;
    if node.hear_of_version(version, Millis(sent_at.0.saturating_sub(age_ms))) {
        node.configuration_wanted.notify_one();
    }
}

/// Records which version of the configuration a node has that contacts this scheduler.
fn note_configuration_of_follower<P>(node: &Node<P>, contact: &Contact)
where
    P: Platform,
{
    let Some(age_ms) = contact.configuration_age_ms else {
        return;
    };
    // The contact may have been queued here while this node was paused.
    let sent_after = Millis(contact.heard_at_ms).min(now());
    let at = Millis(sent_after.0.saturating_sub(age_ms));
    if node.hear_of_version(contact.configuration_version, at) {
        node.newer_peer.set(contact.address.parse().ok());
        node.configuration_wanted.notify_one();
    }
}

/// Updates whether the scheduler is suspected to have failed. It is if its process accepts no connections, does not
/// hold the role, or gave no answer twice in a row.
///
/// A suspicion only shortens the heartbeat timeout after which another node claims the role.
fn update_suspicion<P>(node: &Rc<Node<P>>, link: &HolderLink, reply: &Result<CellBody, CallError>)
where
    P: Platform,
{
    let misses = match reply {
        Ok(CellBody::ContactReply(reply)) if !reply.leading => SUSPECTED_MISSES,
        Ok(_) => 0,
        Err(CallError::NotSent) => SUSPECTED_MISSES,
        Err(CallError::NoReply) => link.misses.get() + 1,
    };
    link.misses.set(misses);
    // A scheduler that has ended its role states no token.
    let yields = matches!(
        reply,
        Ok(CellBody::ContactReply(reply)) if !reply.leading && reply.token == link.token
    );
    if node.holder_yields.replace(yields) != yields && yields {
        node.holder_changed.notify_waiters();
    }
    let suspected = misses >= SUSPECTED_MISSES;
    if node.holder_suspected.replace(suspected) != suspected && suspected {
        node.read_ahead.request();
        node.holder_changed.notify_waiters();
    }
}

/// Handles a call of another node and returns the reply.
pub(crate) async fn handle_call<P>(node: &Rc<Node<P>>, call: &[u8]) -> Bytes
where
    P: Platform,
{
    let query = match CellMessage::decode_body(call) {
        Ok(query) => query,
        Err(error) => {
            node.report_unreadable(Source::Peers, "call", &error.to_string());
            return Bytes::new();
        }
    };
    let reply = match query {
        CellBody::Contact(contact) => CellBody::ContactReply(handle_contact(node, &contact)),
        CellBody::JobStateQuery(query) => queries::answer_state(node, &query),
        CellBody::PendingQuery(query) => queries::answer_pending(node, &query),
        CellBody::AdviceQuery(query) => advice_query::handle(node, query).await,
        CellBody::WorkerCall(call) => carrier::handle(node, call).await,
        CellBody::ConfigurationQuery(query) => {
            CellBody::ConfigurationReply(configuration_relay::answer(node, &query))
        }
        CellBody::StoredNotice(notice) => {
            let taken = record_stored_notice(node, notice);
            CellBody::NoticeReply(NoticeReply { taken })
        }
        CellBody::Relay(relay) => {
            let reply = node.store_relayed(relay).await;
            CellBody::RelayReply(reply)
        }
        _reply => {
            node.report_unreadable(Source::Peers, "reply", "received a reply instead of a call");
            return Bytes::new();
        }
    };
    CellMessage::encode_body(reply)
}

/// Passes a record that another node has stored to the scheduler. Returns whether this node is the scheduler.
fn record_stored_notice<P>(node: &Rc<Node<P>>, notice: StoredNotice) -> bool
where
    P: Platform,
{
    if notice.partition >= node.settings.job_partitions() {
        // Removing the job later would create the partition, and with it a topic.
        let reason = "the partition does not exist";
        node.report_unreadable(Source::Peers, "notice", reason);
        return false;
    }
    let Some(leader) = node.leader() else {
        return false;
    };
    let record = Record {
        key: notice.key.into(),
        value: notice.value,
    };
    leader.apply_job_record(notice.partition, &record);
    true
}

fn handle_contact<P>(node: &Rc<Node<P>>, contact: &Contact) -> ContactReply
where
    P: Platform,
{
    succession::apply_notice(node, contact);
    let leader = node.leader();
    let is_notice = contact.predecessor_incarnation != 0;
    let plan = leader
        .as_ref()
        .filter(|_| !is_notice)
        .map(|leader| leader.register_peer(contact));
    // A scheduler that is cut off from the store can't record ended runs. A node that the store answers should replace
    // it without waiting for the full heartbeat timeout.
    let store = node.store_view();
    let unanswered = !store.answers && store.answered_ms > STORE_UNREACHABLE_MS;
    if leader.is_some() && !is_notice {
        note_configuration_of_follower(node, contact);
    }
    let cut_off_from_store = contact.store_answers && unanswered;
    let agreed = leader.as_ref().map(|leader| leader.agreed_time());
    let shed_view = leader.as_ref().and_then(|leader| leader.shed_view());
    let mut reply = ContactReply {
        leading: leader.is_some() && !cut_off_from_store,
        token: leader.as_ref().map_or(0, |leader| leader.token),
        store_answers: store.answers,
        partition: plan.map_or(0, |plan| 1 + plan.index),
        day_ms: agreed.map_or(0, |agreed| agreed.anchor.day_at(now()).0),
        day_clocks: agreed.map_or(0, |agreed| agreed.clocks),
        append_ms: node.submit_queue.append_ms(),
        answered_at_ms: now().0,
        incarnation: node.incarnation,
        elected: succession::newer_scheduler(node, contact.token),
        next_contact_ms: plan.map_or(0, |plan| plan.interval_ms),
        candidate_rank: plan.map_or(0, |plan| plan.candidate_rank),
        informs: plan.is_some_and(|plan| !plan.follows_store),
        configuration_version: node.configuration_version(),
        configuration_age_ms: Some(node.configuration_age().unconfirmed_ms),
        hands_over_soon: leader
            .as_ref()
            .is_some_and(|leader| leader.hands_over_soon()),
        ..ContactReply::default()
    };
    if let Some(view) = shed_view {
        view.write_to(&mut reply, now());
    }
    reply
}
