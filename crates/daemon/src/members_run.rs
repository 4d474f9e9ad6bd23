//! Carries out what membership decides: heartbeats, proposals, and the reading of the VM list.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_coord::records::Content;
use syc_coord::records::ViewRecord;
use syc_member::Action;
use syc_member::Event;
use syc_member::Views;
use syc_net::CallError;
use syc_net::PeerClient;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use syc_platform::VmList;
use syc_wire::Body;
use syc_wire::Heartbeat;
use syc_wire::HeartbeatAck;
use syc_wire::Message;
use syc_wire::OwnerLoad;
use syc_wire::ViewQuery;
use syc_wire::ViewState;

use crate::follower;
use crate::home;
use crate::members;
use crate::node::Node;
use crate::owner;
use crate::requests;

/// Of the heartbeat interval, the time between two looks at what is due.
const TICKS: u64 = 10;

/// Longest time between two looks at what is due.
const TICK_LIMIT_MS: u64 = 100;

/// Time that a leaver gives the others to hear that it acts no more.
const FAREWELL: Duration = Duration::from_millis(20);

/// Time that a peer has to tell its views.
const VIEWS_TIMEOUT_MS: u64 = 1_000;

/// Sends what is due until the arbiter ends.
pub async fn run(node: Rc<Node>) {
    let tick_ms = (node.settings.timing.heartbeat_ms / TICKS).clamp(1, TICK_LIMIT_MS);
    let tick = Duration::from_millis(tick_ms);
    loop {
        members::check_clock(&node);
        tell(&node, Event::Tick);
        let _ = tokio::time::timeout(tick, node.members.wake.notified()).await;
    }
}

/// Reads the VM list until the arbiter ends.
pub async fn watch_vms(node: Rc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.vm_poll_ms.max(1));
    loop {
        // Without an answer the last list stands.
        if let Ok(vms) = node.platform.list().await {
            requests::vms_listed(&node, &vms);
            let names = vms.into_iter().map(|vm| vm.name).collect();
            tell(&node, Event::VmsListed(names));
        }
        actix_rt::time::sleep(interval).await;
    }
}

/// Tells the decisions of an event and carries out what follows.
pub fn tell(node: &Rc<Node>, event: Event) {
    let now = node.now();
    let actions = node.members.state.borrow_mut().handle(event, now);
    carry_out(node, actions);
}

/// Drops every lease that was measured on a clock that jumped.
pub fn clock_jumped(node: &Rc<Node>) {
    emit(
        catalogue::CLOCK_JUMPED,
        format_args!("now={}", node.now().0),
    );
    tell(node, Event::ClockJumped);
}

/// Answers a heartbeat of another daemon; the answer carries the epoch in front.
pub fn receive(node: &Rc<Node>, epoch: u64, heartbeat: Heartbeat) -> (u64, HeartbeatAck) {
    members::check_clock(node);
    let told = heartbeat.load;
    follower::peer_is_at(node, heartbeat.log_next);
    let behind = heartbeat.config_revisions > config_revisions(node);
    let heartbeat = heartbeat.into_heartbeat(epoch);
    if let Some(load) = told {
        let mut loads = node.members.loads.borrow_mut();
        loads.insert(heartbeat.from.clone(), load);
    }
    if behind {
        node.log_wake.notify_one();
    }
    let now = node.now();
    let (ack, actions) = node.members.state.borrow_mut().receive(heartbeat, now);
    carry_out(node, actions);
    (ack.epoch.0, HeartbeatAck::from(&ack))
}

/// Returns this daemon's views for a peer that lacks them.
pub fn view_state(node: &Rc<Node>) -> ViewState {
    let json = serde_json::to_string(&members::views(node));
    ViewState {
        json: json.unwrap_or_default(),
    }
}

/// Lets the last round of heartbeats leave.
pub async fn farewell(node: &Rc<Node>) {
    let gap = Duration::from_millis(node.settings.timing.heartbeat_ms / TICKS);
    actix_rt::time::sleep(gap).await;
    tell(node, Event::Tick);
    actix_rt::time::sleep(FAREWELL).await;
}

fn carry_out(node: &Rc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, heartbeat } => {
                actix_rt::spawn(send(Rc::clone(node), to, heartbeat));
            }
            Action::Propose { base, members } => {
                let record = ViewRecord { base, members };
                actix_rt::spawn(propose(Rc::clone(node), record));
            }
            Action::FetchViews { from } => {
                node.log_wake.notify_one();
                actix_rt::spawn(fetch_views(Rc::clone(node), from));
            }
            Action::ViewChanged => view_changed(node),
            Action::BecomeActive => {
                let epoch = node.view.borrow().epoch.0;
                emit(catalogue::ACTING, format_args!("epoch={epoch}"));
                notify(node);
            }
            Action::StepDown => {
                let epoch = node.view.borrow().epoch.0;
                emit(catalogue::NOT_ACTING, format_args!("epoch={epoch}"));
            }
        }
    }
}

fn view_changed(node: &Rc<Node>) {
    let view = node.members.state.borrow().view().clone();
    let epoch = view.epoch.0;
    let count = view.members.len();
    node.members
        .loads
        .borrow_mut()
        .retain(|id, _| view.member(id).is_some());
    *node.view.borrow_mut() = view;
    node.members.told.borrow_mut().clear();
    emit(
        catalogue::VIEW_CHANGED,
        format_args!("epoch={epoch} members={count}"),
    );
    notify(node);
}

fn notify(node: &Rc<Node>) {
    requests::view_changed(node);
    owner::view_changed(node);
    home::view_changed(node);
}

async fn send(node: Rc<Node>, to: SmolStr, heartbeat: syc_member::Heartbeat) {
    let Some(link) = node.members.link(&to) else {
        return;
    };
    let sent_at = heartbeat.sent_at;
    let load = owner::load(&node);
    let payload = encode(&node, &to, load, &heartbeat);
    let before = link.transferred_bytes();
    let reply = link.call(&payload, node.settings.timing.authority_ms).await;
    match reply {
        Ok(bytes) => {
            count(&node, payload.len());
            count(&node, bytes.len());
            node.members.told.borrow_mut().insert(to, load);
            if let Ok((epoch, Body::HeartbeatAck(ack))) = Message::from_bytes(bytes) {
                members::check_clock(&node);
                tell(&node, Event::Acked(ack.into_ack(epoch, sent_at)));
            }
        }
        Err(error) => {
            count(&node, payload.len());
            node.members.told.borrow_mut().remove(&to);
            lost(&link, error, before);
        }
    }
}

/// A link on which nothing came back may be dead without having been closed.
fn lost(link: &PeerClient, error: CallError, before: u64) {
    if error == CallError::NoReply && link.transferred_bytes() == before {
        link.reset();
    }
}

fn encode(
    node: &Rc<Node>,
    to: &SmolStr,
    load: OwnerLoad,
    heartbeat: &syc_member::Heartbeat,
) -> bytes::Bytes {
    let known = node.members.told.borrow().get(to) == Some(&load);
    let mut wire = Heartbeat::from(heartbeat);
    wire.log_next = node.log_next.get();
    wire.config_revisions = config_revisions(node);
    wire.load = (!known).then_some(load);
    Message::new(heartbeat.epoch.0, Body::Heartbeat(wire)).to_bytes()
}

/// Counts a payload that was sent or received, with its frame.
pub fn count(node: &Rc<Node>, payload_bytes: usize) {
    let framed = payload_bytes + syc_net::FRAME_OVERHEAD_BYTES;
    let total = node.members.heartbeat_bytes.get() + framed as u64;
    node.members.heartbeat_bytes.set(total);
}

fn config_revisions(node: &Rc<Node>) -> u64 {
    let config = node.config.borrow();
    let documents = config.documents();
    documents.map(|(_, in_force)| in_force.revision.0).sum()
}

async fn propose(node: Rc<Node>, record: ViewRecord) {
    let base = record.base.0;
    let count = record.members.len();
    emit(
        catalogue::VIEW_PROPOSED,
        format_args!("base={base} members={count}"),
    );
    let appended = node.log_writer.append(Content::View(record)).await;
    node.log_wake.notify_one();
    let appended = matches!(appended, Ok(_) | Err(AppendError::InDoubt(_)));
    tell(&node, Event::ProposalEnded { appended });
}

async fn fetch_views(node: Rc<Node>, from: SmolStr) {
    let Some(link) = node.members.link(&from) else {
        return;
    };
    let epoch = node.view.borrow().epoch.0;
    let payload = Message::new(epoch, Body::ViewQuery(ViewQuery { epoch })).to_bytes();
    let Ok(reply) = link.call(&payload, VIEWS_TIMEOUT_MS).await else {
        return;
    };
    let Ok((_epoch, Body::ViewState(state))) = Message::from_bytes(reply) else {
        return;
    };
    if let Ok(views) = serde_json::from_str::<Views>(&state.json) {
        members::adopt_views(&node, views);
    }
}
