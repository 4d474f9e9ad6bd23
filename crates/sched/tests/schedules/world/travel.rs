//! What is under way: orders, answers and events that come to pass later.

use syc_sched::Event;

use super::Delivery;
use super::World;

impl World {
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for (at, delivery) in std::mem::take(&mut self.deliveries) {
            if at <= now {
                due.push((at, delivery));
            } else {
                rest.push((at, delivery));
            }
        }
        self.deliveries = rest;
        due.sort_by_key(|(at, _)| *at);
        for (_, delivery) in due {
            self.deliver_one(delivery);
        }
    }

    pub(super) fn deliver_one(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Start(id, command) => {
                // Whether it was refused or carried out, nobody hears of it.
                let _unheard = self.fleet.start_late(&id, &command, self.now);
            }
            Delivery::Stop(id, command) => {
                let _unheard = self.fleet.stop(&id, &command, self.now);
            }
            Delivery::Pace(id, command) => {
                let _unheard = self.fleet.pace(&id, &command, self.now);
            }
            Delivery::Answer(token, event) => {
                if token == self.token {
                    self.apply(event);
                }
            }
            Delivery::Recorded(token, records, waves, gone) => {
                // The store refuses what a predecessor had still to write.
                if token != self.token {
                    return;
                }
                let mut jobs = Vec::new();
                for (id, change, progress) in records {
                    self.kept.insert(id, progress);
                    jobs.push((id, change));
                }
                self.writing = false;
                for id in gone {
                    self.roster.remove(&id);
                }
                self.apply(Event::Recorded { jobs });
                for (progress, change) in waves {
                    let wave = progress.number;
                    self.kept_waves.insert(wave, progress);
                    self.apply(Event::WaveRecorded { wave, change });
                }
            }
            Delivery::Restored(id) => {
                self.cut.remove(&id);
                // The entry of a worker that has nothing new to say is not written again.
                if self.has_news(&id) {
                    self.tell_soon(id);
                }
            }
            Delivery::VmOrder(command) => {
                let _unheard = self.vms.order(&mut self.fleet, &command, self.now);
            }
            Delivery::Listed(token, asked_at) => {
                let lost = self.is_lost();
                let listed = self.vms.list();
                if token == self.token {
                    let vms = (!lost).then_some(listed);
                    self.apply(Event::VmsListed { asked_at, vms });
                }
            }
            Delivery::Back(vm, slot) => self.new_life_of(&vm, slot),
            Delivery::Unlisted(id) => self.unlist(&id),
            Delivery::EndLife(id) => self.end_life(&id, 5),
            Delivery::Reborn(model) => self.reborn(&model),
            Delivery::Room(id, cores) => self.set_room(&id, cores),
            Delivery::Told(id) => self.tell(&id),
            Delivery::NewIncarnation => self.new_incarnation(),
            Delivery::NextScheduler => self.start_scheduler(),
        }
    }

    pub(super) fn later(&mut self, delay_ms: u64, delivery: Delivery) {
        self.deliveries.push((self.now.plus(delay_ms), delivery));
    }

    pub(super) fn answer(&mut self, delay_ms: u64, event: Event) {
        let token = self.token;
        self.later(delay_ms, Delivery::Answer(token, event));
    }

    pub(super) fn is_lost(&mut self) -> bool {
        let share = self.profile.lost;
        self.chance(share)
    }

    pub(super) fn is_late(&mut self) -> bool {
        let share = self.profile.late;
        self.chance(share)
    }
}
