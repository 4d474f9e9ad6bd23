//! Workers of the ledger: what the inventory says of them, and whether they may grant.

use std::collections::HashMap;

use syc_types::Resources;
use syc_types::TaskRef;

use crate::Ledger;
use crate::Tier;
use crate::WorkerInfo;
use crate::WorkerKey;
use crate::ledger::Entry;

/// Part that is kept of a worker that keeps anything, in thousandths.
const KEPT_PERMILLE: u64 = 250;

impl Ledger {
    /// Sets the share of the pool that is kept for urgent tasks, in thousandths.
    ///
    /// It is kept in large parts of few workers, so that urgent tasks of some size fit and the
    /// other workers can be filled. Workers that are added later keep nothing until this is set
    /// again.
    pub fn set_headroom(&mut self, permille: u32) {
        let permille = u64::from(permille).min(KEPT_PERMILLE);
        let mut keys: Vec<_> = self.workers.keys().collect();
        keys.sort_by(|a, b| self.workers[*a].info.id.cmp(&self.workers[*b].info.id));
        let mut due = KEPT_PERMILLE;
        for key in keys {
            self.unindex(key);
            self.uncount(key);
            let capacity = self.workers[key].info.capacity;
            let keeps = permille > 0 && due >= KEPT_PERMILLE;
            if keeps {
                due -= KEPT_PERMILLE;
            }
            due += permille;
            let kept = if keeps {
                kept_part(&capacity)
            } else {
                Resources::ZERO
            };
            self.workers[key].kept = kept;
            self.count(key);
            self.index(key);
        }
    }

    /// Adds a worker, or takes over the new facts of one that is there.
    pub fn upsert_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        if let Some(&key) = self.by_id.get(&info.id) {
            self.unindex(key);
            self.uncount(key);
            let entry = &mut self.workers[key];
            if entry.kept != Resources::ZERO {
                entry.kept = kept_part(&info.capacity);
            }
            entry.info = info;
            entry.removed = false;
            self.count(key);
            self.index(key);
            return key;
        }
        let id = info.id.clone();
        let key = self.workers.insert(Entry {
            info,
            ordinary: Resources::ZERO,
            urgent: Resources::ZERO,
            stray: Resources::ZERO,
            kept: Resources::ZERO,
            guarded: Resources::ZERO,
            open: true,
            removed: false,
            grants: 0,
        });
        self.by_id.insert(id, key);
        self.count(key);
        self.index(key);
        key
    }

    /// Lets a worker grant, or not; its grants stay as they are.
    pub fn set_open(&mut self, key: WorkerKey, open: bool) {
        if self.workers.get(key).is_none_or(|entry| entry.open == open) {
            return;
        }
        self.unindex(key);
        self.workers[key].open = open;
        self.index(key);
    }

    /// Marks a worker as no longer in the inventory: it grants nothing, and its grants stay until
    /// they end.
    pub fn retire_worker(&mut self, key: WorkerKey) {
        if self.workers.get(key).is_none_or(|entry| entry.removed) {
            return;
        }
        self.unindex(key);
        self.uncount(key);
        self.workers[key].removed = true;
    }

    /// Forgets a worker and returns the tasks that held grants on it.
    pub fn remove_worker(&mut self, key: WorkerKey) -> Vec<TaskRef> {
        self.unindex(key);
        self.uncount(key);
        let Some(entry) = self.workers.remove(key) else {
            return Vec::new();
        };
        self.by_id.remove(&entry.info.id);
        let mut tasks = Vec::new();
        for (task, grant) in &self.grants {
            if grant.worker == key {
                tasks.push(*task);
            }
        }
        tasks.sort_unstable();
        for task in &tasks {
            self.grants.remove(task);
        }
        tasks
    }

    /// Says whether `need` fits in a tier of some worker while nothing runs there.
    #[must_use]
    pub fn fits_when_empty(&self, need: &Resources, tier: Tier) -> bool {
        let capacities = match tier {
            Tier::Ordinary => &self.ordinary_capacities,
            Tier::Urgent => &self.capacities,
        };
        let mut capacities = capacities.keys();
        capacities.any(|capacity| need.fits_in(capacity))
    }

    /// Returns how many such tasks fit at once while nothing runs, counting no further than `most`.
    #[must_use]
    pub fn most_at_once(&self, need: &Resources, most: u64) -> u64 {
        let mut count = 0_u64;
        for (capacity, workers) in &self.capacities {
            let each = times(need.cpu_millis, capacity.cpu_millis, most)
                .min(times(need.memory_bytes, capacity.memory_bytes, most))
                .min(times(
                    u64::from(need.accelerators),
                    u64::from(capacity.accelerators),
                    most,
                ));
            count = count.saturating_add(each.saturating_mul(*workers));
        }
        count.min(most)
    }

    /// Returns the sum of the capacities in the inventory.
    #[must_use]
    pub fn pool(&self) -> Resources {
        let mut pool = Resources::ZERO;
        for entry in self.workers.values() {
            if !entry.removed {
                pool = pool.saturating_add(&entry.info.capacity);
            }
        }
        pool
    }

    fn count(&mut self, key: WorkerKey) {
        let entry = &self.workers[key];
        if entry.removed {
            return;
        }
        let capacity = entry.info.capacity;
        let ordinary = capacity.saturating_sub(&entry.kept);
        *self.capacities.entry(capacity).or_default() += 1;
        *self.ordinary_capacities.entry(ordinary).or_default() += 1;
    }

    fn uncount(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get(key) else {
            return;
        };
        if entry.removed {
            return;
        }
        let capacity = entry.info.capacity;
        let ordinary = capacity.saturating_sub(&entry.kept);
        take_one(&mut self.capacities, &capacity);
        take_one(&mut self.ordinary_capacities, &ordinary);
    }
}

fn times(need: u64, capacity: u64, most: u64) -> u64 {
    capacity.checked_div(need).unwrap_or(most)
}

fn take_one(counts: &mut HashMap<Resources, u64>, capacity: &Resources) {
    let Some(count) = counts.get_mut(capacity) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(capacity);
    }
}

fn kept_part(capacity: &Resources) -> Resources {
    Resources {
        cpu_millis: capacity.cpu_millis / 1_000 * KEPT_PERMILLE,
        memory_bytes: capacity.memory_bytes / 1_000 * KEPT_PERMILLE,
        accelerators: 0,
    }
}
