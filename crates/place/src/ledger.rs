//! The only record of what an owner has granted on its workers.

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
    /// Its rack.
    pub rack: RackId,
    /// What it has.
    pub capacity: Resources,
}

/// What a task holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The worker that it holds it on.
    pub worker: WorkerKey,
    /// How much.
    pub resources: Resources,
}

#[derive(Debug, Clone)]
struct Entry {
    info: WorkerInfo,
    granted: Resources,
}

/// Capacities and grants of the workers of one owner.
///
/// The sum of the grants on a worker never exceeds its capacity, except where the inventory shrinks
/// a worker below what it has granted; then it grants nothing until enough has ended.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    workers: SlotMap<WorkerKey, Entry>,
    by_id: HashMap<WorkerId, WorkerKey>,
    grants: HashMap<TaskRef, Grant>,
}

impl Ledger {
    /// Makes an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker, or takes over the new facts of one that is there.
    pub fn upsert_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        if let Some(&key) = self.by_id.get(&info.id) {
            self.workers[key].info = info;
            return key;
        }
        let id = info.id.clone();
        let key = self.workers.insert(Entry {
            info,
            granted: Resources::ZERO,
        });
        self.by_id.insert(id, key);
        key
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

    /// Returns what a worker has granted.
    #[must_use]
    pub fn granted(&self, key: WorkerKey) -> Option<Resources> {
        self.workers.get(key).map(|entry| entry.granted)
    }

    /// Returns what a worker can still grant.
    #[must_use]
    pub fn room(&self, key: WorkerKey) -> Option<Resources> {
        let entry = self.workers.get(key)?;
        Some(entry.info.capacity.saturating_sub(&entry.granted))
    }

    /// Returns the grant of a task.
    #[must_use]
    pub fn grant_of(&self, task: TaskRef) -> Option<Grant> {
        self.grants.get(&task).copied()
    }

    /// Picks the worker on which `resources` leave the least room (best fit).
    #[must_use]
    pub fn best_fit(&self, resources: &Resources) -> Option<WorkerKey> {
        let mut best = None;
        for (key, entry) in &self.workers {
            let room = entry.info.capacity.saturating_sub(&entry.granted);
            if !resources.fits_in(&room) {
                continue;
            }
            let left = room.saturating_sub(resources);
            let rank = (left.cpu_millis, left.memory_bytes, left.accelerators);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Grants `resources` on a worker to a task.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, where the worker is unknown, has no room, or the task holds a
    /// grant already.
    pub fn grant(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        resources: Resources,
    ) -> Result<(), GrantError> {
        if self.grants.contains_key(&task) {
            return Err(GrantError::Duplicate(task));
        }
        let entry = self.workers.get_mut(worker).ok_or(GrantError::NoWorker)?;
        let total = entry
            .granted
            .checked_add(&resources)
            .map_err(|_overflow| GrantError::NoRoom)?;
        if !total.fits_in(&entry.info.capacity) {
            return Err(GrantError::NoRoom);
        }
        entry.granted = total;
        self.grants.insert(task, Grant { worker, resources });
        Ok(())
    }

    /// Ends the grant of a task and returns it.
    pub fn release(&mut self, task: TaskRef) -> Option<Grant> {
        let grant = self.grants.remove(&task)?;
        if let Some(entry) = self.workers.get_mut(grant.worker) {
            entry.granted = entry.granted.saturating_sub(&grant.resources);
        }
        Some(grant)
    }
}
