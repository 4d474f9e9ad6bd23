//! Workers that tasks take down, and rooms that shrink and grow while they run.

use rand::Rng;
use syc_sched::Event;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use super::CORES;
use super::Delivery;
use super::World;
use super::life_id;
use super::spec_of;
use crate::jobs::cpu;

/// Time from one word of a worker about itself to the next.
pub(super) const HEARTBEAT_MS: u64 = 1_500;

/// Workers are held to a room that shrank after this time, and one more heartbeat.
const ROOM_GRACE_MS: u64 = 3_000;

impl World {
    /// Lets the workers that tasks have taken down come back on their VMs.
    pub(super) fn meet_crashes(&mut self) {
        for id in self.fleet.take_crashed() {
            let Some(life) = self.registered.get(&id) else {
                continue;
            };
            if self.forgives {
                let leaving = WorkerSpec {
                    draining: true,
                    ..spec_of(&id, life)
                };
                self.apply(Event::WorkerListed(leaving));
            }
            let Some(life) = self.registered.get(&id) else {
                continue;
            };
            let back = Delivery::Back(life.vm.clone(), life.slot);
            let back_ms = self.rng.random_range(1_000..5_000);
            self.down_until.insert(id.clone(), self.now.plus(back_ms));
            self.later(back_ms, back);
            let silent_ms = self.rng.random_range(HEARTBEAT_MS..HEARTBEAT_MS * 3);
            self.later(silent_ms, Delivery::Unlisted(id));
        }
    }

    /// Says whether nothing is at a worker's address yet.
    pub(super) fn is_down(&self, id: &WorkerId) -> bool {
        self.down_until
            .get(id)
            .is_some_and(|until| self.now < *until)
    }

    pub(super) fn unlist(&mut self, id: &WorkerId) {
        if let Some(life) = self.registered.remove(id) {
            self.apply(Event::WorkerUnlisted(life_id(id, &life)));
        }
    }

    /// Gives a worker another room, for a while.
    pub(super) fn change_room(&mut self, id: &WorkerId) {
        let cores = self.rng.random_range(1..CORES);
        self.set_room(id, cores);
        let small_ms = self.rng.random_range(500..12_000);
        self.later(small_ms, Delivery::Room(id.clone(), CORES));
    }

    /// Gives a worker another room, of which it tells with its next heartbeat.
    pub(super) fn set_room(&mut self, id: &WorkerId, cores: u64) {
        let counts_until = self.now.plus(ROOM_GRACE_MS + HEARTBEAT_MS);
        self.fleet.resize(id, cpu(cores), counts_until);
        if let Some(life) = self.registered.get_mut(id) {
            life.cores = cores;
        }
        self.tell_soon(id.clone());
    }

    /// Lets a worker tell of itself within a heartbeat.
    pub(super) fn tell_soon(&mut self, id: WorkerId) {
        let told_ms = self.rng.random_range(0..HEARTBEAT_MS);
        self.later(told_ms, Delivery::Told(id));
    }

    /// A worker says what it has; one that is cut off does so once it is not.
    pub(super) fn tell(&mut self, id: &WorkerId) {
        if self.cut.contains_key(id) {
            return;
        }
        let Some(life) = self.registered.get_mut(id) else {
            return;
        };
        let before = life_id(id, life);
        life.told_cores = life.cores;
        if let Some(model) = self.fleet.workers.get(id) {
            life.told_birth = model.started_at;
        }
        let life = life.clone();
        let spec = spec_of(id, &life);
        if spec.id != before {
            self.roster.insert(spec.id.clone(), life);
            self.apply(Event::WorkerUnlisted(before));
        }
        self.apply(Event::WorkerListed(spec));
    }
}
