//! Decides through which nodes the scheduler's calls to workers are relayed. Pure: no clock, no I/O.
//!
//! The load that this handles: a scheduler's node needs at least two connections to each worker, which with thousands
//! of workers takes most of its descriptors. The assignment depends only on the names and zones of the nodes and
//! workers, so a successor computes the same one and the carriers' connections stay in use.

mod assignment;

use std::collections::BTreeMap;

use assignment::Candidate;
use assignment::Candidates;
use assignment::Fitness;
use assignment::take_best;
use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::WorkerId;
use syc_types::Zone;
use syc_types::hash::name_digest;

/// Connections to each worker that the scheduler's node would hold without carriers: one for renewals, one for orders.
const CONNECTIONS_PER_WORKER: u64 = 2;

/// Part of a node's descriptors, as a divisor, that connections to workers may take before calls are relayed.
const RELAYING_DIVISOR: u64 = 2;

/// Relaying ends once the number of workers is below this part, in percent, of that at which it begins. Without the
/// difference, a worker that comes and goes would open connections to all workers each time.
const RELAYING_END_PERCENT: u64 = 90;

/// A node relays for at most this part of its descriptor limit, as a divisor, in workers. With renewals and orders,
/// that is a quarter of its descriptors; callers, nodes and the store need the others.
const WORKERS_DIVISOR: u64 = 8;

/// A node whose contact is late by this long, when others were heard of, relays no calls.
const HEARD_WITHIN_MS: u64 = 1_000;

/// Time for which the scheduler may hear of no node before all count as lost. A busy or frozen scheduler reads contacts
/// late; if it took all carriers for lost then, it would connect to all workers at once.
const ALL_SILENT_MS: u64 = 2_000;

/// Nodes that were not heard of for this long are forgotten.
const FORGET_AFTER_MS: u64 = 60_000;

/// Shortest interval between two assignments, which bounds their cost while nodes come and go.
const ASSIGN_INTERVAL_MS: u64 = 250;

/// Consecutive calls without an answer after which a node relays no calls for a while.
const MAX_FAILURES: u32 = 3;

/// Time for which such a node relays no calls, and for which a worker that its carrier failed to reach repeatedly is
/// called directly.
const OFF_MS: u64 = 1_500;

/// The time for which such a worker is called directly doubles with each further failure, up to this many times.
const MAX_DOUBLINGS: u32 = 4;

/// How the next call to a worker is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// By the scheduler's node itself.
    Direct,
    /// Through this node.
    Through(SmolStr),
}

/// A change that operators should know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CarrierChange {
    /// Calls are relayed from now on.
    RelayingBegan,
    /// Calls are relayed no more.
    RelayingEnded,
    /// A node left calls without an answer and relays none for a while.
    TakenOff(SmolStr),
    /// Such a node may relay calls again.
    Back(SmolStr),
}

/// How many workers are assigned to carriers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CarrierLoad {
    /// Nodes that relay calls.
    pub carriers: usize,
    /// Workers that they relay for.
    pub workers: usize,
    /// Workers of the carrier that has most.
    pub most_workers: u64,
}

/// A node other than the scheduler's.
#[derive(Debug)]
struct Carrier {
    zone: Zone,
    digest: u64,
    files_limit: u64,
    heard_at: Millis,
    /// Consecutive calls without an answer.
    failures: u32,
    /// Set while the node relays nothing because of its failures.
    off_until: Option<Millis>,
}

impl Carrier {
    const fn max_workers(&self) -> u64 {
        self.files_limit / WORKERS_DIVISOR
    }

    fn is_off(&self, now: Millis) -> bool {
        self.off_until.is_some_and(|until| now < until)
    }
}

/// How a worker is called.
#[derive(Debug)]
struct WorkerRoute {
    zone: Zone,
    digest: u64,
    carrier: Option<SmolStr>,
    /// How well that carrier suits it.
    fitness: Fitness,
    /// Whether the next call goes directly.
    is_next_direct: bool,
    /// Consecutive failed calls through carriers.
    failures: u32,
    /// Until then, all calls go directly.
    direct_until: Millis,
}

/// The nodes that relay calls, and for which workers.
#[derive(Debug)]
pub struct Carriers {
    /// Descriptor limit of the scheduler's node; 0 if unknown, and then nothing is relayed.
    files_limit: u64,
    is_relaying: bool,
    nodes: BTreeMap<SmolStr, Carrier>,
    /// When any node was last heard of.
    newest_at: Millis,
    /// Longest interval between two contacts of a node.
    contact_interval_ms: u64,
    workers: BTreeMap<WorkerId, WorkerRoute>,
    /// Workers of each carrier of the last assignment.
    loads: BTreeMap<SmolStr, u64>,
    checked_at: Option<Millis>,
    /// Whether a node was lost since the last call of [`Self::take_lost`].
    has_lost: bool,
    changes: Vec<CarrierChange>,
    comparisons: u64,
}

impl Carriers {
    /// Creates the state of a scheduler on a node with this descriptor limit.
    #[must_use]
    pub const fn new(files_limit: u64) -> Self {
        Self {
            files_limit,
            is_relaying: false,
            nodes: BTreeMap::new(),
            newest_at: Millis(0),
            contact_interval_ms: 0,
            workers: BTreeMap::new(),
            loads: BTreeMap::new(),
            checked_at: None,
            has_lost: false,
            changes: Vec::new(),
            comparisons: 0,
        }
    }

    /// Returns whether calls are relayed.
    #[must_use]
    pub const fn is_relaying(&self) -> bool {
        self.is_relaying
    }

    /// Returns how many workers are assigned to carriers.
    #[must_use]
    pub fn load(&self) -> CarrierLoad {
        if !self.is_relaying {
            return CarrierLoad::default();
        }
        CarrierLoad {
            carriers: self.loads.values().filter(|load| **load > 0).count(),
            workers: self
                .loads
                .values()
                .fold(0, |sum, load| sum + usize::try_from(*load).unwrap_or(0)),
            most_workers: self.loads.values().copied().max().unwrap_or(0),
        }
    }

    /// Returns the number of comparisons of a worker with a carrier so far, which is what assignments cost.
    #[must_use]
    pub const fn comparisons(&self) -> u64 {
        self.comparisons
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CarrierChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records a contact of another node. A node without a known descriptor limit relays nothing.
    pub fn note_contact(&mut self, name: &SmolStr, files_limit: u64, zone: &str, now: Millis) {
        if files_limit == 0 {
            self.nodes.remove(name);
            return;
        }
        self.newest_at = self.newest_at.max(now);
        let new = || Carrier {
            zone: Zone::new(zone),
            digest: name_digest(name),
            files_limit,
            heard_at: now,
            failures: 0,
            off_until: None,
        };
        let carrier = self.nodes.entry(name.clone()).or_insert_with(new);
        carrier.heard_at = now;
        carrier.files_limit = files_limit;
        if carrier.zone.as_str() != zone {
            carrier.zone = Zone::new(zone);
        }
    }

    /// Adds a worker. If calls are relayed, it gets a carrier at once.
    pub fn add_worker(&mut self, id: &WorkerId, zone: &Zone, now: Millis) {
        self.remove_worker(id);
        let mut route = WorkerRoute {
            zone: zone.clone(),
            digest: name_digest(id.as_str()),
            carrier: None,
            fitness: Fitness::default(),
            is_next_direct: false,
            failures: 0,
            direct_until: Millis(0),
        };
        if self.is_relaying {
            let mut candidates = self.candidates(now);
            self.assign(&mut route, &mut candidates);
            self.comparisons += candidates.comparisons;
        }
        self.workers.insert(id.clone(), route);
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        let Some(removed) = self.workers.remove(id) else {
            return;
        };
        let load = removed.carrier.and_then(|name| self.loads.get_mut(&name));
        if let Some(load) = load {
            *load = load.saturating_sub(1);
        }
    }

    /// Returns how the next call to a worker is sent.
    pub fn route(&mut self, worker: &WorkerId, now: Millis) -> Route {
        self.refresh(now);
        if !self.is_relaying {
            return Route::Direct;
        }
        let Some(route) = self.workers.get_mut(worker) else {
            return Route::Direct;
        };
        if std::mem::take(&mut route.is_next_direct) || now < route.direct_until {
            return Route::Direct;
        }
        let carrier = route.carrier.clone();
        let usable = carrier.filter(|name| self.is_usable(name, now));
        usable.map_or(Route::Direct, Route::Through)
    }

    /// Returns whether calls may go through a node.
    #[must_use]
    pub fn is_usable(&self, name: &str, now: Millis) -> bool {
        let node = self.nodes.get(name);
        node.is_some_and(|node| self.may_relay(node, now))
    }

    /// Sets the longest interval between two contacts of a node.
    pub const fn set_contact_interval_ms(&mut self, interval_ms: u64) {
        self.contact_interval_ms = interval_ms;
    }

    fn may_relay(&self, node: &Carrier, now: Millis) -> bool {
        let heard_within_ms = HEARD_WITHIN_MS + self.contact_interval_ms;
        let is_heard = self.newest_at.since(node.heard_at) <= heard_within_ms
            && now.since(self.newest_at) <= ALL_SILENT_MS + self.contact_interval_ms;
        is_heard && node.max_workers() > 0 && !node.is_off(now)
    }

    /// Returns whether a carrier was lost since the last call, so that calls through it should not be waited for.
    pub const fn take_lost(&mut self) -> bool {
        std::mem::replace(&mut self.has_lost, false)
    }

    /// Records that a carrier answered a call. `is_reached` says whether the worker did, too.
    pub fn note_answer(&mut self, carrier: &str, worker: &WorkerId, is_reached: bool, now: Millis) {
        if let Some(carrier) = self.nodes.get_mut(carrier) {
            carrier.failures = 0;
        }
        if is_reached {
            if let Some(route) = self.workers.get_mut(worker) {
                route.failures = 0;
            }
        } else {
            self.avoid_carrier(worker, now);
        }
    }

    /// Records that a carrier left a call without an answer. Returns whether it relays nothing for a while because of
    /// it.
    pub fn note_failure(&mut self, carrier: &SmolStr, worker: &WorkerId, now: Millis) -> bool {
        self.avoid_carrier(worker, now);
        let Some(node) = self.nodes.get_mut(carrier) else {
            return false;
        };
        if node.is_off(now) {
            // Calls that were in progress when the node was taken off.
            return false;
        }
        node.failures += 1;
        if node.failures < MAX_FAILURES {
            return false;
        }
        node.failures = 0;
        node.off_until = Some(now.plus(OFF_MS));
        self.has_lost = true;
        self.changes.push(CarrierChange::TakenOff(carrier.clone()));
        true
    }

    /// Has the next call to a worker go directly, and after repeated failures all calls for a while: its carrier may be
    /// cut off from it.
    fn avoid_carrier(&mut self, worker: &WorkerId, now: Millis) {
        let Some(route) = self.workers.get_mut(worker) else {
            return;
        };
        route.is_next_direct = true;
        if route.failures > 0 {
            let doublings = (route.failures - 1).min(MAX_DOUBLINGS);
            route.direct_until = now.plus(OFF_MS << doublings);
        }
        route.failures += 1;
    }

    /// Updates whether calls are relayed, and the assignment if it may have changed.
    fn refresh(&mut self, now: Millis) {
        let needed = self.is_needed();
        let has_begun = needed && !self.is_relaying;
        if needed != self.is_relaying {
            self.is_relaying = needed;
            self.changes.push(if needed {
                CarrierChange::RelayingBegan
            } else {
                CarrierChange::RelayingEnded
            });
        }
        let is_checked = self
            .checked_at
            .is_some_and(|at| now.since(at) < ASSIGN_INTERVAL_MS);
        if !needed || is_checked && !has_begun {
            return;
        }
        self.checked_at = Some(now);
        self.note_returns(now);
        if has_begun {
            self.assign_all(now);
        } else {
            self.follow_nodes(now);
        }
    }

    /// Moves the workers of carriers that were lost, and those that a new carrier suits better.
    ///
    /// The cost grows with the workers and the changed carriers. Assigning every worker anew would grow with all workers
    /// times all carriers, several times a second while nodes come and go.
    fn follow_nodes(&mut self, now: Millis) {
        let loads = std::mem::take(&mut self.loads);
        let (kept, lost): (BTreeMap<_, _>, BTreeMap<_, _>) = loads
            .into_iter()
            .partition(|(name, _)| self.is_usable(name, now));
        self.loads = kept;
        self.has_lost |= !lost.is_empty();
        let mut workers = std::mem::take(&mut self.workers);
        let mut joined = self.joined(now);
        if !joined.by_zone.is_empty() {
            for route in workers.values_mut() {
                self.move_if_better(route, &mut joined);
            }
        }
        let mut candidates = self.candidates(now);
        for route in workers.values_mut() {
            let is_lost = |name: &SmolStr| lost.contains_key(name);
            if route.carrier.as_ref().is_none_or(is_lost) {
                self.assign(route, &mut candidates);
            }
        }
        self.comparisons += joined.comparisons + candidates.comparisons;
        self.workers = workers;
    }

    /// Adds the nodes that may relay calls since the last assignment, and returns them.
    fn joined(&mut self, now: Millis) -> Candidates {
        let mut joined = Candidates::default();
        for (name, node) in &self.nodes {
            if self.may_relay(node, now) && !self.loads.contains_key(name) {
                joined.add(Candidate::new(name, node));
            }
        }
        for candidate in joined.by_zone.values().flatten() {
            self.loads.insert(candidate.name.clone(), 0);
        }
        joined
    }

    /// Moves a worker to a new carrier that suits it better than its own.
    fn move_if_better(&mut self, route: &mut WorkerRoute, joined: &mut Candidates) {
        let current = route.fitness;
        let comparisons = &mut joined.comparisons;
        let of_zone = joined.by_zone.get_mut(&route.zone);
        let of_zone = of_zone.map_or(&mut [][..], Vec::as_mut_slice);
        *comparisons += u64::try_from(of_zone.len()).unwrap_or(u64::MAX);
        let better = of_zone.iter_mut();
        let better = better.filter(|candidate| candidate.fitness(route) > current);
        let Some((name, fitness)) = take_best(better, route, comparisons) else {
            return;
        };
        let load = route.carrier.as_ref();
        let load = load.and_then(|carrier| self.loads.get_mut(carrier));
        if let Some(load) = load {
            *load = load.saturating_sub(1);
        }
        self.count(&name);
        route.carrier = Some(name);
        route.fitness = fitness;
    }

    /// Returns whether two connections to each worker would take more than half of the descriptors.
    fn is_needed(&self) -> bool {
        let workers = u64::try_from(self.workers.len()).unwrap_or(u64::MAX);
        let connections = workers.saturating_mul(CONNECTIONS_PER_WORKER);
        let limit = self.files_limit / RELAYING_DIVISOR;
        if self.files_limit == 0 {
            return false;
        }
        if self.is_relaying {
            connections > limit * RELAYING_END_PERCENT / 100
        } else {
            connections > limit
        }
    }

    fn note_returns(&mut self, now: Millis) {
        self.nodes
            .retain(|_, node| now.since(node.heard_at) <= FORGET_AFTER_MS);
        for (name, node) in &mut self.nodes {
            if node.off_until.is_some_and(|until| until <= now) {
                node.off_until = None;
                self.changes.push(CarrierChange::Back(name.clone()));
            }
        }
    }

    /// Returns the nodes that may relay calls, with the room that they have left.
    fn candidates(&self, now: Millis) -> Candidates {
        let mut candidates = Candidates::default();
        for (name, node) in &self.nodes {
            if !self.may_relay(node, now) {
                continue;
            }
            let load = self.loads.get(name).copied().unwrap_or(0);
            let mut candidate = Candidate::new(name, node);
            candidate.room = candidate.room.saturating_sub(load);
            candidates.add(candidate);
        }
        candidates
    }

    /// Assigns each worker to the usable node with room that suits it best. While no node is full, the loss of a node
    /// moves only that node's workers.
    fn assign_all(&mut self, now: Millis) {
        self.loads.clear();
        let mut candidates = self.candidates(now);
        for candidate in candidates.by_zone.values().flatten() {
            self.loads.insert(candidate.name.clone(), 0);
        }
        let mut workers = std::mem::take(&mut self.workers);
        for route in workers.values_mut() {
            self.assign(route, &mut candidates);
        }
        self.comparisons += candidates.comparisons;
        self.workers = workers;
    }

    /// Assigns a worker to the candidate that suits it best.
    fn assign(&mut self, route: &mut WorkerRoute, candidates: &mut Candidates) {
        let best = candidates.take_best(route);
        let (carrier, fitness) = best.unzip();
        if let Some(name) = &carrier {
            self.count(name);
        }
        route.carrier = carrier;
        route.fitness = fitness.unwrap_or_default();
    }

    fn count(&mut self, name: &SmolStr) {
        *self.loads.entry(name.clone()).or_default() += 1;
    }
}
