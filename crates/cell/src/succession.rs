//! Tells a scheduler that was replaced, and the nodes that still follow it, about its successor, which they may be
//! unable to read in the store.

use std::net::SocketAddr;
use std::rc::Rc;

use syc_net::PeerClient;
use syc_sched::ElectionReport;
use syc_sched::KnownScheduler;
use syc_sched::PendingNotice;
use syc_sched::ReportOrigin;
use syc_sched::SuccessionNotice;
use syc_sched::Tenure;
use syc_wire::cell::CellBody;
use syc_wire::cell::Contact;
use syc_wire::cell::ContactReply;
use syc_wire::cell::ElectedScheduler;

use crate::Node;
use crate::clock::now;
use crate::clock::pause;
use crate::contact;
use crate::node::Holder;
use crate::ports::Platform;
use crate::unreadable::Source;

/// Timeout of a notice to a scheduler that was replaced. It is longer than that of a contact, since a scheduler that
/// was replaced because it answers late has to be recognized as alive.
const NOTICE_TIMEOUT_MS: u64 = 800;

impl Holder {
    pub(crate) const fn tenure(&self) -> Tenure {
        Tenure {
            incarnation: self.incarnation,
            token: self.token,
        }
    }

    fn to_wire(&self) -> ElectedScheduler {
        ElectedScheduler {
            node: self.node.to_string(),
            address: self.address.to_string(),
            incarnation: self.incarnation,
            token: self.token,
        }
    }

    fn from_wire(elected: &ElectedScheduler) -> Self {
        Self {
            node: elected.node.as_str().into(),
            address: elected.address.as_str().into(),
            incarnation: elected.incarnation,
            token: elected.token,
        }
    }
}

/// Starts to tell the former scheduler that another one was elected, unless it is this process.
pub(crate) fn notify_predecessor<P>(node: &Rc<Node<P>>, before: &Holder, elected: &Holder)
where
    P: Platform,
{
    let before_tenure = before.tenure();
    let notice =
        SuccessionNotice::to_predecessor(before_tenure, elected.tenure(), node.incarnation);
    let (Some(notice), Ok(address)) = (notice, before.address.parse()) else {
        return;
    };
    let client = PeerClient::new(address, contact::peer_options());
    let interval_ms = node.settings.timing.contact_interval_ms;
    let pending = PendingNotice::new(before_tenure, now(), interval_ms, node.incarnation);
    let elected = elected.to_wire();
    let sending = send_notice(
        Rc::clone(node),
        client,
        before_tenure,
        notice,
        elected,
        pending,
    );
    actix_rt::spawn(sending);
}

/// Repeats a notice until it is confirmed or given up.
async fn send_notice<P>(
    node: Rc<Node<P>>,
    client: PeerClient,
    before: Tenure,
    notice: SuccessionNotice,
    elected: ElectedScheduler,
    mut pending: PendingNotice,
) where
    P: Platform,
{
    loop {
        let query = CellBody::Contact(Contact {
            node: node.settings.name.to_string(),
            address: node.settings.peer_address.to_string(),
            store_answers: node.store_answers(),
            token: notice.token,
            day_ms: node.read_wall_clock().day.0,
            heard_at_ms: 0,
            predecessor_incarnation: notice.predecessor_incarnation,
            elected: Some(elected.clone()),
            ..Contact::default()
        });
        let timeout_ms = NOTICE_TIMEOUT_MS;
        let reply = contact::call(&client, query, timeout_ms).await;
        if let Ok(CellBody::ContactReply(reply)) = reply {
            if reply.incarnation == notice.predecessor_incarnation {
                record_live_predecessor(&node, before);
            }
            if pending.is_confirmed_by(reply.token) {
                return;
            }
        }
        let Some(repeat_after_ms) = pending.repeat_after_ms(now()) else {
            return;
        };
        pause(repeat_after_ms).await;
    }
}

/// Records that a replaced scheduler answers, so that its election may have been premature.
fn record_live_predecessor<P>(node: &Node<P>, predecessor: Tenure)
where
    P: Platform,
{
    let mut backoff = node.election_backoff.borrow_mut();
    let is_news = backoff.record_live_predecessor(predecessor, now());
    if is_news {
        let mut timeout = node.contact_timeout.get();
        let min_timeout_ms = node.settings.timing.contact_timeout_ms;
        timeout.record_unanswered(contact::SUSPECTED_MISSES, min_timeout_ms);
        node.contact_timeout.set(timeout);
    }
}

/// Returns the scheduler that this node knows, if it is newer than the one with this token.
pub(crate) fn newer_scheduler<P>(node: &Node<P>, token: u64) -> Option<ElectedScheduler>
where
    P: Platform,
{
    let holder = node.holder.borrow();
    let newer = holder.as_ref().filter(|holder| holder.token > token);
    newer.map(Holder::to_wire)
}

/// Follows a newer scheduler that a reply to a contact names.
pub(crate) fn apply_reply<P>(node: &Node<P>, reply: &ContactReply)
where
    P: Platform,
{
    let origin = ReportOrigin::Reply {
        sender_incarnation: reply.incarnation,
    };
    if let Some(elected) = &reply.elected {
        apply_report(node, origin, Holder::from_wire(elected));
    }
}

/// Follows a newer scheduler that a contact names, and ends this node's scheduler role if the contact reports that it
/// was replaced.
pub(crate) fn apply_notice<P>(node: &Node<P>, contact: &Contact)
where
    P: Platform,
{
    step_down_if_replaced(node, contact);
    let origin = ReportOrigin::Notice {
        addressee_incarnation: contact.predecessor_incarnation,
    };
    if let Some(elected) = &contact.elected {
        apply_report(node, origin, Holder::from_wire(elected));
    }
}

/// Records a reported scheduler that this node should follow. The task that follows the claims takes it up.
fn apply_report<P>(node: &Node<P>, origin: ReportOrigin, reported: Holder)
where
    P: Platform,
{
    let known = KnownScheduler {
        own_incarnation: node.incarnation,
        followed: node.holder.borrow().as_ref().map(Holder::tenure),
    };
    let report = ElectionReport {
        origin,
        elected: reported.tenure(),
    };
    if !known.accepts(report) {
        return;
    }
    if reported.address.parse::<SocketAddr>().is_err() {
        let reason = "the address of the scheduler can't be decoded";
        node.report_unreadable(Source::Peers, "scheduler", reason);
        return;
    }
    let mut pending = node.reported_holder.borrow_mut();
    if pending
        .as_ref()
        .is_none_or(|pending| pending.token < reported.token)
    {
        *pending = Some(reported);
    }
    node.holder_changed.notify_waiters();
}

fn step_down_if_replaced<P>(node: &Node<P>, contact: &Contact)
where
    P: Platform,
{
    let notice = SuccessionNotice {
        predecessor_incarnation: contact.predecessor_incarnation,
        token: contact.token,
    };
    let Some(leader) = node.leader() else {
        return;
    };
    let tenure = Tenure {
        incarnation: node.incarnation,
        token: leader.token,
    };
    if notice.ends(tenure) {
        leader.step_down("another_was_chosen");
    }
}
