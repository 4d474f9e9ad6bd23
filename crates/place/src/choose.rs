//! The choice of a worker for a task.

use std::collections::HashMap;

use syc_types::RackId;
use syc_types::Resources;
use syc_types::Zone;

use crate::Ledger;
use crate::Tier;
use crate::WorkerKey;

/// Fitting workers of a zone that are looked at for a rack with fewer tasks of the job.
const SPREAD_CANDIDATES: usize = 32;

/// Where the tasks of a job are, to keep the next one away from them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spread {
    zones: HashMap<Zone, u32>,
    racks: HashMap<RackId, u32>,
}

impl Spread {
    /// Counts a task of the job on a worker.
    pub fn add(&mut self, ledger: &Ledger, worker: WorkerKey) {
        let Some(info) = ledger.worker(worker) else {
            return;
        };
        *self.zones.entry(info.zone.clone()).or_default() += 1;
        *self.racks.entry(info.rack.clone()).or_default() += 1;
    }

    /// Counts a task of the job on a worker no longer.
    pub fn remove(&mut self, ledger: &Ledger, worker: WorkerKey) {
        let Some(info) = ledger.worker(worker) else {
            return;
        };
        if let Some(count) = self.zones.get_mut(&info.zone) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.racks.get_mut(&info.rack) {
            *count = count.saturating_sub(1);
        }
        self.zones.retain(|_, count| *count > 0);
        self.racks.retain(|_, count| *count > 0);
    }

    /// Says whether no task is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the tasks of the job in a zone.
    #[must_use]
    pub fn in_zone(&self, zone: &Zone) -> u32 {
        self.zones.get(zone).copied().unwrap_or(0)
    }

    /// Returns the tasks of the job in a rack.
    #[must_use]
    pub fn in_rack(&self, rack: &RackId) -> u32 {
        self.racks.get(rack).copied().unwrap_or(0)
    }
}

impl Ledger {
    /// Picks the open worker that `resources` fit best, out of all its room.
    #[must_use]
    pub fn best_fit(&self, resources: &Resources) -> Option<WorkerKey> {
        self.best_fit_in(resources, Tier::Urgent)
    }

    /// Picks the open worker that `resources` fit best, out of the room of a tier.
    ///
    /// Best is a worker with the fewest free accelerators, then with the least free processor by
    /// grade, then with the least free memory.
    #[must_use]
    pub fn best_fit_in(&self, resources: &Resources, tier: Tier) -> Option<WorkerKey> {
        self.best_fit_avoiding(resources, tier, &[])
    }

    /// Picks as [`Ledger::best_fit_in`] does, but none of the workers in `avoid`.
    #[must_use]
    pub fn best_fit_avoiding(
        &self,
        resources: &Resources,
        tier: Tier,
        avoid: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let mut best = None;
        for zone in self.zones().values() {
            let mut fitting = zone.of(tier).fitting(*resources);
            let Some(rank) = fitting.find(|rank| !avoid.contains(&rank.key())) else {
                continue;
            };
            if best.is_none_or(|least| rank < least) {
                best = Some(rank);
            }
        }
        best.map(|rank| rank.key())
    }

    /// Picks an open worker in the zone, then the rack, with the fewest tasks of the job.
    #[must_use]
    pub fn spread_fit(
        &self,
        resources: &Resources,
        tier: Tier,
        spread: &Spread,
    ) -> Option<WorkerKey> {
        let mut zones: Vec<_> = self.zones().iter().collect();
        zones.sort_by_key(|(zone, _)| spread.in_zone(zone));
        for (_, index) in zones {
            let mut best = None;
            let fitting = index.of(tier).fitting(*resources);
            for rank in fitting.take(SPREAD_CANDIDATES) {
                let Some(info) = self.worker(rank.key()) else {
                    continue;
                };
                let tasks = spread.in_rack(&info.rack);
                if best.is_none_or(|(least, _)| tasks < least) {
                    best = Some((tasks, rank.key()));
                }
                if tasks == 0 {
                    break;
                }
            }
            if let Some((_, key)) = best {
                return Some(key);
            }
        }
        None
    }

    /// Picks the best worker by looking at every one; the index is checked against it.
    #[must_use]
    pub fn best_fit_by_scan(&self, resources: &Resources, tier: Tier) -> Option<WorkerKey> {
        let mut best = None;
        for (key, _) in self.workers() {
            if !self.is_open(key) {
                continue;
            }
            let room = self.room_for(key, tier).unwrap_or(Resources::ZERO);
            if !resources.fits_in(&room) {
                continue;
            }
            let rank = crate::index::Rank::new(&room, key);
            if best.is_none_or(|least| rank < least) {
                best = Some(rank);
            }
        }
        best.map(|rank| rank.key())
    }
}
