//! What goes wrong, and when.

use rand::Rng;
use syc_types::WorkerId;

use super::Delivery;
use super::FAULTS_UNTIL_MS;
use super::Trouble;
use super::World;

/// What becomes of an order that a worker resets.
#[derive(Debug, Clone, Copy)]
pub(super) enum Reset {
    Lost,
    CarriedOutAfter(u64),
}

impl World {
    pub(super) fn strike(&mut self) {
        while let Some((at, trouble)) = self.faults_at.first().copied() {
            if at > self.now {
                return;
            }
            self.faults_at.remove(0);
            match trouble {
                Trouble::SchedulerEnds => {
                    self.scheduler = None;
                    let delay_ms = self.rng.random_range(100..2_500);
                    self.later(delay_ms, Delivery::NextScheduler);
                }
                Trouble::Cut => {
                    let Some(id) = self.any_worker() else {
                        continue;
                    };
                    let delay_ms = self.rng.random_range(500..9_000);
                    self.cut.insert(id.clone(), self.now);
                    self.later(delay_ms, Delivery::Restored(id));
                }
                Trouble::Crash => {
                    let Some(id) = self.any_worker() else {
                        continue;
                    };
                    self.fleet.crash(&id);
                    if let Some(life) = self.registered.get(&id) {
                        self.vms.remove(&life.vm);
                    }
                    self.unlist(&id);
                    let delay_ms = self.rng.random_range(500..4_000);
                    self.later(delay_ms, Delivery::NewIncarnation);
                }
                Trouble::Shut => {
                    let Some(id) = self.any_worker() else {
                        continue;
                    };
                    let until = self.now.plus(self.rng.random_range(500..30_000));
                    self.shut_until.insert(id, until);
                }
                Trouble::Rebirth => self.strike_rebirths(),
                Trouble::Room => {
                    if let Some(id) = self.any_worker() {
                        self.change_room(&id);
                    }
                }
                Trouble::StorePauses => {
                    let pause_ms = self.rng.random_range(500..5_000);
                    self.store_paused_until = self.now.plus(pause_ms);
                }
            }
        }
    }

    /// Says what becomes of an order that a worker resets; none where it resets no orders.
    pub(super) fn reset(&mut self, id: &WorkerId) -> Option<Reset> {
        let until = self.shut_until.get(id)?;
        if *until <= self.now {
            return None;
        }
        if self.rng.random_ratio(2, 3) {
            return Some(Reset::Lost);
        }
        let late_ms = self.rng.random_range(100..8_000);
        Some(Reset::CarriedOutAfter(late_ms))
    }

    fn any_worker(&mut self) -> Option<WorkerId> {
        let ids: Vec<_> = self.registered.keys().cloned().collect();
        if ids.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..ids.len());
        ids.get(index).cloned()
    }

    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        let possible = self.now.0 < FAULTS_UNTIL_MS && per_mille > 0;
        possible && self.rng.random_ratio(per_mille, 1_000)
    }
}
