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

/// Heartbeats after which the registration of a worker lapses that tells nothing.
const HEARTBEATS_MISSED: u64 = 3;

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
        let now = self.now;
        if let Some(life) = self.registered.get_mut(id) {
            life.cores = cores;
            life.untold_since.get_or_insert(now);
        }
        self.tell_soon(id.clone());
    }

    /// Lets the registrations lapse of workers that have told nothing for three heartbeats, at the latest that may be:
    /// had one told anything since its room changed, it would have told that.
    pub(super) fn lapse_registrations(&mut self) {
        if self.profile.rooms == 0 {
            return;
        }
        let mut lapsed = Vec::new();
        for (id, cut_at) in &self.cut {
            let Some(life) = self.registered.get_mut(id) else {
                continue;
            };
            let told_at = life.untold_since.unwrap_or(*cut_at).min(*cut_at);
            if life.lapsed || self.now.since(told_at) <= HEARTBEATS_MISSED * HEARTBEAT_MS {
                continue;
            }
            life.lapsed = true;
            lapsed.push(life_id(id, life));
        }
        for id in lapsed {
            self.apply(Event::WorkerUnlisted(id));
        }
    }

    /// Says whether a worker has something to tell that its registration does not say.
    pub(super) fn has_news(&self, id: &WorkerId) -> bool {
        let Some(life) = self.registered.get(id) else {
            return false;
        };
        let model = self.fleet.workers.get(id);
        let is_reborn = model.is_some_and(|model| model.started_at != life.told_birth);
        is_reborn || life.lapsed || life.cores != life.told_cores
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
        life.untold_since = None;
        life.lapsed = false;
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
