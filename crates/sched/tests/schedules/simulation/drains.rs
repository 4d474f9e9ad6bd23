//! Workers that announce that they drain, go on running for a while, and then leave.

use rand::Rng;
use syc_sched::Event;
use syc_types::Millis;
use syc_types::WorkerId;

use super::Delivery;
use super::Simulation;
use super::spec_of;

/// Shortest time between the announcement and the end of a draining worker.
const DRAIN_MS: u64 = 2_000;

/// How much later a worker leaves that is partitioned when it is about to.
const LEAVE_AGAIN_MS: u64 = 500;

impl Simulation {
    /// Has a worker announce that it drains. Half of these workers are partitioned before they leave, most of them for
    /// longer than their registration lasts.
    pub(super) fn drain_worker(&mut self) {
        let Some(id) = self.any_worker() else {
            return;
        };
        // A worker that is unreachable can't announce anything.
        if self.partitioned.contains_key(&id) {
            return;
        }
        let Some(model) = self.fleet.workers.get(&id) else {
            return;
        };
        let started_at = model.started_at;
        let Some(incarnation) = self.registered.get_mut(&id) else {
            return;
        };
        if incarnation.draining_since.is_some() {
            return;
        }
        incarnation.draining_since = Some(self.now);
        let spec = spec_of(&id, incarnation);
        self.apply(Event::WorkerListed(spec));
        let mut leaves_ms = self.rng.random_range(DRAIN_MS..9_000);
        if self.rng.random() {
            let begins_ms = self.rng.random_range(0..DRAIN_MS);
            let duration_ms = self.rng.random_range(500..12_000);
            self.schedule(
                begins_ms,
                Delivery::PartitionBegins(id.clone(), duration_ms),
            );
            leaves_ms = leaves_ms.max(begins_ms + duration_ms);
        }
        self.schedule(leaves_ms, Delivery::WorkerLeaves(id, started_at));
    }

    /// Ends a draining worker and everything on it, and removes its registration at once. Another worker starts later.
    pub(super) fn leave(&mut self, id: &WorkerId, started_at: Millis) {
        let model = self.fleet.workers.get(id);
        if model.is_none_or(|model| model.started_at != started_at) {
            return;
        }
        if self.partitioned.contains_key(id) {
            let again = Delivery::WorkerLeaves(id.clone(), started_at);
            self.schedule(LEAVE_AGAIN_MS, again);
            return;
        }
        self.note_announced_end(id);
        self.fleet.leave(id);
        if let Some(incarnation) = self.registered.get(id) {
            self.vms.remove(&incarnation.vm);
        }
        self.unregister(id);
        let down_ms = self.rng.random_range(0..4_000);
        self.down_until.insert(id.clone(), self.now.plus(down_ms));
        let delay_ms = self.rng.random_range(500..4_000);
        self.schedule(delay_ms, Delivery::WorkerStarts);
    }

    /// Stores which workers drain.
    pub(super) fn store_draining(&mut self, draining: &[WorkerId]) {
        let now = self.now;
        for id in draining {
            if let Some(recorded) = self.roster.get_mut(id) {
                recorded.draining_since.get_or_insert(now);
            }
        }
    }

    /// Brings the stored roster up to date. It is written only when a worker joins or is removed. Which workers drain is
    /// stored by itself.
    pub(super) fn write_roster(&mut self) {
        if self.scheduler.is_none() {
            return;
        }
        for (id, recorded) in &mut self.roster {
            let registered = self.registered.get(&WorkerId::new(id.name()));
            let same_life = registered.filter(|registered| {
                registered.reported_started_at == recorded.reported_started_at
            });
            if let Some(registered) = same_life {
                recorded.draining_since = registered.draining_since;
            }
        }
    }
}
