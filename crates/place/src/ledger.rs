//! The only record of what an owner has granted on its workers.

mod inventory;

use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;
use smol_str::SmolStr;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::GrantError;
use crate::index::RoomIndex;

new_key_type! {
    /// Refers to a worker in one [`Ledger`].
    pub struct WorkerKey;
}

/// What the inventory says of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The worker's name.
    pub id: WorkerId,
    /// Where it takes commands, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
    /// Which rack it is in; each rack has one owner.
    pub rack: RackId,
    /// What it has.
    pub capacity: Resources,
}

/// Which part of a worker's room a task may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Tier {
    /// All but the headroom.
    #[default]
    Ordinary,
    /// The headroom as well.
    Urgent,
}

/// What a task holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The worker that it holds it on.
    pub worker: WorkerKey,
    /// How much.
    pub resources: Resources,
    /// Which part of the room it came from.
    pub tier: Tier,
}

#[derive(Debug, Clone)]
struct Entry {
    info: WorkerInfo,
    ordinary: Resources,
    urgent: Resources,
    stray: Resources,
    /// What is kept of it for urgent tasks.
    kept: Resources,
    /// What is kept of it for an offer that has waited long.
    guarded: Resources,
    open: bool,
    removed: bool,
    grants: u32,
}

/// Capacities and grants of the workers of one owner.
///
/// The sum of the grants on a worker never exceeds its capacity, except where the inventory shrinks
/// a worker below what it has granted, or a worker reports tasks that the ledger did not grant; then
/// it grants nothing until enough has ended.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    workers: SlotMap<WorkerKey, Entry>,
    by_id: HashMap<WorkerId, WorkerKey>,
    grants: HashMap<TaskRef, Grant>,
    zones: BTreeMap<Zone, ZoneIndex>,
    /// Workers in the inventory by capacity, with and without what is kept for urgent tasks.
    capacities: HashMap<Resources, u64>,
    ordinary_capacities: HashMap<Resources, u64>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneIndex {
    ordinary: RoomIndex,
    urgent: RoomIndex,
}

impl ZoneIndex {
    pub(crate) const fn of(&self, tier: Tier) -> &RoomIndex {
        match tier {
            Tier::Ordinary => &self.ordinary,
            Tier::Urgent => &self.urgent,
        }
    }
}

impl Entry {
    fn total(&self) -> Resources {
        let granted = self.ordinary.saturating_add(&self.urgent);
        granted.saturating_add(&self.stray)
    }

    /// Says whether it may grant anything, even a task that asks for nothing.
    fn grants_now(&self) -> bool {
        self.open && !self.removed && self.total().fits_in(&self.info.capacity)
    }

    fn room(&self, tier: Tier) -> Resources {
        let free = self.info.capacity.saturating_sub(&self.total());
        if tier == Tier::Urgent {
            return free;
        }
        let kept = self.kept.saturating_sub(&self.urgent);
        free.saturating_sub(&kept).saturating_sub(&self.guarded)
    }
}

impl Ledger {
    /// Makes an empty ledger without headroom.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether a worker may grant: it is open, in the inventory, and not over its capacity.
    #[must_use]
    pub fn is_open(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(Entry::grants_now)
    }

    /// Finds a worker by its name.
    #[must_use]
    pub fn key_of(&self, id: &WorkerId) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the facts of a worker.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(key).map(|entry| &entry.info)
    }

    /// Returns the workers and their facts.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerInfo)> {
        self.workers.iter().map(|(key, entry)| (key, &entry.info))
    }

    /// Returns the number of grants on a worker.
    #[must_use]
    pub fn grant_count(&self, key: WorkerKey) -> u32 {
        self.workers.get(key).map_or(0, |entry| entry.grants)
    }

    /// Returns what a worker has granted, with what it runs without a grant.
    #[must_use]
    pub fn granted(&self, key: WorkerKey) -> Option<Resources> {
        self.workers.get(key).map(Entry::total)
    }

    /// Returns what a worker can still grant to urgent tasks, which is all that no task holds.
    #[must_use]
    pub fn room(&self, key: WorkerKey) -> Option<Resources> {
        self.room_for(key, Tier::Urgent)
    }

    /// Returns what a worker can still grant to tasks of a tier.
    #[must_use]
    pub fn room_for(&self, key: WorkerKey, tier: Tier) -> Option<Resources> {
        let entry = self.workers.get(key)?;
        Some(entry.room(tier))
    }

    /// Returns the grant of a task.
    #[must_use]
    pub fn grant_of(&self, task: TaskRef) -> Option<Grant> {
        self.grants.get(&task).copied()
    }

    /// Returns every grant.
    pub fn grants(&self) -> impl Iterator<Item = (TaskRef, Grant)> + '_ {
        self.grants.iter().map(|(task, grant)| (*task, *grant))
    }

    pub(crate) const fn zones(&self) -> &BTreeMap<Zone, ZoneIndex> {
        &self.zones
    }

    /// Grants `resources` on a worker to a task, out of all the worker's room.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, where the worker is unknown, is closed, has no room, or the task
    /// holds a grant already.
    pub fn grant(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        resources: Resources,
    ) -> Result<(), GrantError> {
        self.grant_in(task, worker, resources, Tier::Urgent)
    }

    /// Grants `resources` on a worker to a task, out of the room of its tier.
    ///
    /// # Errors
    ///
    /// Fails as [`Ledger::grant`] does.
    pub fn grant_in(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        resources: Resources,
        tier: Tier,
    ) -> Result<(), GrantError> {
        if self.grants.contains_key(&task) {
            return Err(GrantError::Duplicate(task));
        }
        let entry = self.workers.get(worker).ok_or(GrantError::NoWorker)?;
        if !entry.open || entry.removed {
            return Err(GrantError::Closed);
        }
        if !entry.grants_now() || !resources.fits_in(&entry.room(tier)) {
            return Err(GrantError::NoRoom);
        }
        let grant = Grant {
            worker,
            resources,
            tier,
        };
        self.record(task, grant);
        Ok(())
    }

    /// Records that a task runs on a worker, whether or not there is room for it.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, where the worker is unknown or the task holds a grant already.
    pub fn adopt(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        resources: Resources,
        tier: Tier,
    ) -> Result<(), GrantError> {
        if self.grants.contains_key(&task) {
            return Err(GrantError::Duplicate(task));
        }
        if !self.workers.contains_key(worker) {
            return Err(GrantError::NoWorker);
        }
        let grant = Grant {
            worker,
            resources,
            tier,
        };
        self.record(task, grant);
        Ok(())
    }

    /// Sets what a worker runs without a grant; it is taken off the worker's room. Returns whether
    /// that changed.
    pub fn set_stray(&mut self, key: WorkerKey, resources: Resources) -> bool {
        let entry = self.workers.get(key);
        if entry.is_none_or(|entry| entry.stray == resources) {
            return false;
        }
        self.unindex(key);
        self.workers[key].stray = resources;
        self.index(key);
        true
    }

    /// Keeps a part of a worker's room from ordinary tasks, whether it is free yet or not.
    pub fn set_guarded(&mut self, key: WorkerKey, resources: Resources) {
        let entry = self.workers.get(key);
        if entry.is_none_or(|entry| entry.guarded == resources) {
            return;
        }
        self.unindex(key);
        self.workers[key].guarded = resources;
        self.index(key);
    }

    /// Ends the grant of a task and returns it.
    pub fn release(&mut self, task: TaskRef) -> Option<Grant> {
        let grant = self.grants.remove(&task)?;
        self.unindex(grant.worker);
        if let Some(entry) = self.workers.get_mut(grant.worker) {
            let held = entry.held(grant.tier);
            *held = held.saturating_sub(&grant.resources);
            entry.grants -= 1;
        }
        self.index(grant.worker);
        Some(grant)
    }

    fn record(&mut self, task: TaskRef, grant: Grant) {
        self.unindex(grant.worker);
        let entry = &mut self.workers[grant.worker];
        let held = entry.held(grant.tier);
        *held = held.saturating_add(&grant.resources);
        entry.grants += 1;
        self.grants.insert(task, grant);
        self.index(grant.worker);
    }

    fn index(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get(key) else {
            return;
        };
        if !entry.grants_now() {
            return;
        }
        let zone = match self.zones.get_mut(&entry.info.zone) {
            Some(zone) => zone,
            None => self.zones.entry(entry.info.zone.clone()).or_default(),
        };
        zone.ordinary.insert(key, &entry.room(Tier::Ordinary));
        zone.urgent.insert(key, &entry.room(Tier::Urgent));
    }

    fn unindex(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get(key) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&entry.info.zone) else {
            return;
        };
        zone.ordinary.remove(key, &entry.room(Tier::Ordinary));
        zone.urgent.remove(key, &entry.room(Tier::Urgent));
    }
}

impl Entry {
    const fn held(&mut self, tier: Tier) -> &mut Resources {
        match tier {
            Tier::Ordinary => &mut self.ordinary,
            Tier::Urgent => &mut self.urgent,
        }
    }
}
