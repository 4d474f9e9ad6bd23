//! This daemon's membership: the view that it is in, and whether it may act in it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use smol_str::SmolStr;
use syc_config::Settings;
use syc_config::Timing;
use syc_coord::records::ViewRecord;
use syc_member::Event;
use syc_member::Key;
use syc_member::Member;
use syc_member::Membership;
use syc_member::Options;
use syc_member::Seed;
use syc_member::Views;
use syc_member::incarnation;
use syc_net::PeerClient;
use syc_net::PeerOptions;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Zone;
use syc_wire::OwnerLoad;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::members_run;
use crate::node::Node;
use crate::owner;

/// How often a leaver looks whether it has left.
const LEAVE_CHECK: Duration = Duration::from_millis(10);

/// Delay between proposers of successive rank.
const STAGGER_MS: u64 = 150;

/// What a daemon keeps of its membership.
#[derive(Debug)]
pub struct Members {
    /// The decisions.
    pub state: RefCell<Membership>,
    /// Links by the address that they lead to.
    links: RefCell<HashMap<SmolStr, Rc<PeerClient>>>,
    /// The latest load that each member told.
    pub loads: RefCell<BTreeMap<MemberId, OwnerLoad>>,
    /// The load that each address was last told.
    pub told: RefCell<HashMap<SmolStr, OwnerLoad>>,
    /// Bytes of heartbeats and their answers, both ways.
    pub heartbeat_bytes: Cell<u64>,
    /// Wakes the sending of what is due.
    pub wake: Notify,
    clocks: Cell<Option<(Millis, u64)>>,
}

impl Members {
    /// Makes the membership of a daemon that starts.
    pub fn new(settings: &Settings) -> Self {
        let me = Member {
            id: incarnation(&settings.name, wall_ms(), random_part()),
            peer_address: settings.listen.peers.clone(),
            zone: Zone::new(settings.zone.clone()),
        };
        let seeds = settings.peers.iter().map(|peer| Seed {
            address: peer.address.clone(),
        });
        let options = options(&settings.timing);
        let state = Membership::new(me, seeds.collect(), options, Millis(0));
        Self {
            state: RefCell::new(state),
            links: RefCell::default(),
            loads: RefCell::default(),
            told: RefCell::default(),
            heartbeat_bytes: Cell::new(0),
            wake: Notify::new(),
            clocks: Cell::new(None),
        }
    }

    /// Returns the link to an address, which is connected when first used.
    pub fn link(&self, address: &SmolStr) -> Option<Rc<PeerClient>> {
        if let Some(link) = self.links.borrow().get(address) {
            return Some(Rc::clone(link));
        }
        let parsed = address.parse::<SocketAddr>().ok()?;
        let link = Rc::new(PeerClient::new(parsed, PeerOptions::default()));
        let mut links = self.links.borrow_mut();
        links.insert(address.clone(), Rc::clone(&link));
        Some(link)
    }

    /// Returns the payload bytes exchanged with other daemons so far.
    pub fn transferred_bytes(&self) -> u64 {
        let links = self.links.borrow();
        links.values().map(|link| link.transferred_bytes()).sum()
    }

    /// Says whether the wall clock and the monotonic clock went apart since the last look.
    fn clock_jumped(&self, now: Millis, drift_ms: u64) -> bool {
        let wall = wall_ms();
        let Some((last, last_wall)) = self.clocks.replace(Some((now, wall))) else {
            return false;
        };
        let elapsed_ms = now.since(last);
        let Some(wall_elapsed_ms) = wall.checked_sub(last_wall) else {
            return true;
        };
        elapsed_ms.abs_diff(wall_elapsed_ms) > drift_ms
    }
}

fn options(timing: &Timing) -> Options {
    Options {
        heartbeat_ms: timing.heartbeat_ms,
        authority_ms: timing.authority_ms,
        drift_ms: timing.drift_ms,
        suspect_ms: timing.suspect_ms,
        vm_lag_ms: timing.vm_lag_ms,
        stagger_ms: STAGGER_MS.min(timing.heartbeat_ms),
        ..Options::default()
    }
}

fn random_part() -> u16 {
    let random = Uuid::new_v4();
    let bytes = random.as_bytes();
    u16::from_be_bytes([bytes[0], bytes[1]])
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(elapsed_ms).unwrap_or(u64::MAX)
}

/// Notes a clock that did not run evenly; asked before every decision on a lease.
pub fn check_clock(node: &Rc<Node>) {
    let drift_ms = node.settings.timing.drift_ms;
    if node.members.clock_jumped(node.now(), drift_ms) {
        members_run::clock_jumped(node);
    }
}

/// Says whether this daemon may act as owner and home of all that it holds, now.
///
/// Asked again right before each command is written.
pub fn may_act(node: &Rc<Node>) -> bool {
    check_clock(node);
    node.members.state.borrow().may_act(node.now())
}

/// Says whether this daemon holds `key` in the current view and may act for it, now.
///
/// It says so earlier than [`may_act`] where only the former holder of something else may still
/// act.
pub fn may_act_for(node: &Rc<Node>, key: Key<'_>) -> bool {
    check_clock(node);
    node.members.state.borrow().may_act_for(key, node.now())
}

/// Says whether this daemon takes work: it has the configuration, and is a member that may act.
///
/// In an outage of the log a joiner can't become a member. It is ready all the same once it knows
/// the view: it routes requests, and hands what needs a home to the members.
pub fn ready(node: &Rc<Node>) -> bool {
    if node.draining.get() || !node.caught_up.get() {
        return false;
    }
    let knows_view = !node.view.borrow().members.is_empty();
    let outage = !node.log_available.get();
    let member = node.members.state.borrow().holds_lease(node.now());
    member || (outage && knows_view)
}

/// Returns what the owners in the view have left, this daemon included.
pub fn loads(node: &Rc<Node>) -> Vec<(MemberId, OwnerLoad)> {
    let state = node.members.state.borrow();
    let told = node.members.loads.borrow();
    let mut loads = Vec::new();
    for id in state.heard(node.now()) {
        if *id == node.id {
            loads.push((id.clone(), owner::load(node)));
        } else if let Some(load) = told.get(id) {
            loads.push((id.clone(), *load));
        }
    }
    loads
}

/// Returns the other members of the view.
pub fn others(node: &Rc<Node>) -> Vec<MemberId> {
    let view = node.view.borrow();
    let others = view.members.iter().filter(|member| member.id != node.id);
    others.map(|member| member.id.clone()).collect()
}

/// Returns the current view and the unsettled former ones, as a snapshot needs them.
pub fn views(node: &Rc<Node>) -> Views {
    node.members.state.borrow().views().clone()
}

/// Takes over the views of a snapshot or of a peer.
pub fn adopt_views(node: &Rc<Node>, views: Views) {
    members_run::tell(node, Event::ViewsLearned(views));
}

/// Applies a change of the member list that the log's order has reached.
pub fn apply_view(node: &Rc<Node>, record: &ViewRecord) {
    let event = Event::ViewRecorded {
        base: record.base,
        members: record.members.clone(),
    };
    members_run::tell(node, event);
}

/// Notes that the log was read to its end for the first time.
pub fn caught_up(node: &Rc<Node>) {
    members_run::tell(node, Event::CaughtUp);
}

/// Leaves the view and hands over what this daemon holds; afterwards it acts no more.
///
/// Waits for the new view at most as long as a lease lasts, as the log may be down.
pub async fn leave(node: &Rc<Node>) {
    members_run::tell(node, Event::Leave);
    let alone = others(node).is_empty();
    let limit = Duration::from_millis(node.settings.timing.authority_ms);
    let left = async {
        while !node.members.state.borrow().retired() {
            actix_rt::time::sleep(LEAVE_CHECK).await;
        }
    };
    if alone || tokio::time::timeout(limit, left).await.is_err() {
        members_run::tell(node, Event::Retire);
    }
    members_run::farewell(node).await;
    let closed = async {
        while alone && node.view.borrow().member(&node.id).is_some() {
            actix_rt::time::sleep(LEAVE_CHECK).await;
        }
    };
    let _ = tokio::time::timeout(limit, closed).await;
}
