//! The endpoints of one service as one entry VM sees them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use slotmap::SlotMap;
use slotmap::new_key_type;
use smol_str::SmolStr;
use syc_types::EndpointId;
use syc_types::Millis;
use syc_types::Zone;

use crate::AdaptiveLimit;
use crate::Finish;
use crate::HealthOptions;
use crate::SlotFacts;
use crate::SlotPolicy;
use crate::entry::Entry;
use crate::entry::MICROS_PER_MILLI;
use crate::entry::average;
use crate::free::FreeLists;
use crate::free::TIERS;

new_key_type! {
    /// Refers to an endpoint in one [`Endpoints`].
    pub struct EndpointKey;
}

/// What the inventory says of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The endpoint's name.
    pub id: EndpointId,
    /// Where it takes requests, `ip:port`.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// The endpoints of a service, with what this entry VM has in flight on each.
#[derive(Debug, Clone)]
pub struct Endpoints<P = AdaptiveLimit> {
    policy: P,
    options: HealthOptions,
    zone: Zone,
    entry_vms: u32,
    entries: SlotMap<EndpointKey, Entry>,
    by_id: HashMap<EndpointId, EndpointKey>,
    free: FreeLists,
    returns: BinaryHeap<Reverse<(Millis, EndpointKey)>>,
    latency_us: f32,
}

impl<P> Endpoints<P>
where
    P: SlotPolicy,
{
    /// Makes an empty set for an entry VM in `zone`.
    #[must_use]
    pub fn new(policy: P, options: HealthOptions, zone: Zone) -> Self {
        Self {
            policy,
            options,
            zone,
            entry_vms: 1,
            entries: SlotMap::with_key(),
            by_id: HashMap::new(),
            free: FreeLists::default(),
            returns: BinaryHeap::new(),
            latency_us: 0.0,
        }
    }

    /// Takes over the number of entry VMs that share the endpoints.
    pub fn set_entry_vms(&mut self, entry_vms: u32) {
        if self.entry_vms == entry_vms.max(1) {
            return;
        }
        self.entry_vms = entry_vms.max(1);
        let keys = self.entries.keys().collect::<Vec<_>>();
        for key in keys {
            self.settle(key);
        }
    }

    /// Adds an endpoint, or takes over the new facts of one that is there.
    ///
    /// One that is at a new address starts anew, without its history.
    pub fn upsert(&mut self, info: EndpointInfo) -> EndpointKey {
        let known = self.by_id.get(&info.id).copied();
        if let Some(key) = known {
            let entry = &mut self.entries[key];
            entry.update(info);
            self.settle(key);
            return key;
        }
        let id = info.id.clone();
        let key = self.entries.insert(Entry::new(info));
        self.by_id.insert(id, key);
        self.settle(key);
        key
    }

    /// Marks an endpoint as leaving or staying, as the VM list says.
    ///
    /// One that was listed as leaving and is listed as staying again is a new VM, so that an
    /// earlier drain answer holds no longer.
    pub fn set_leaving(&mut self, id: &EndpointId, leaving: bool) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        let signs = &mut self.entries[key].leaving;
        if signs.listed && !leaving {
            signs.drained_until = None;
        }
        signs.listed = leaving;
        self.settle(key);
    }

    /// Takes endpoints out that the inventory no longer names.
    pub fn retain<F>(&mut self, mut named: F)
    where
        F: FnMut(&EndpointId) -> bool,
    {
        let gone = self.by_id.iter().filter(|(id, _)| !named(id));
        let gone = gone.map(|(id, key)| (id.clone(), *key)).collect::<Vec<_>>();
        for (id, key) in gone {
            self.unlist(key);
            self.entries.remove(key);
            self.by_id.remove(&id);
        }
    }

    /// Returns the endpoint ids.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.by_id.keys()
    }

    /// Returns the number of endpoints that aren't leaving.
    #[must_use]
    pub fn staying(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.leaving.holds()).count()
    }

    /// Returns when the next endpoint returns from an ejection or a rest.
    #[must_use]
    pub fn next_return(&self) -> Option<Millis> {
        self.returns.peek().map(|Reverse((at, _))| *at)
    }

    /// Picks an endpoint with a free slot that isn't in `avoid`, this entry VM's zone first.
    ///
    /// Two random ones of the best tier are compared by requests in flight and latency, so the
    /// time to choose does not grow with the number of endpoints.
    pub fn choose<R>(
        &mut self,
        avoid: &[EndpointKey],
        now: Millis,
        random: &mut R,
    ) -> Option<EndpointKey>
    where
        R: Rng,
    {
        self.take_back(now);
        for tier in 0..TIERS {
            let list = self.free.tier(tier);
            if list.is_empty() {
                continue;
            }
            let one = list[random.random_range(0..list.len())];
            let other = list[random.random_range(0..list.len())];
            let best = if self.cost(other) < self.cost(one) {
                other
            } else {
                one
            };
            if !avoid.contains(&best) {
                return Some(best);
            }
            let rest = list.iter().find(|key| !avoid.contains(key));
            if let Some(&key) = rest {
                return Some(key);
            }
        }
        None
    }

    fn cost(&self, key: EndpointKey) -> f32 {
        let entry = &self.entries[key];
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let waiting = (entry.in_flight + 1) as f32;
        waiting * entry.latency_us.max(1.0)
    }

    /// Returns the facts of an endpoint.
    #[must_use]
    pub fn info(&self, key: EndpointKey) -> Option<&EndpointInfo> {
        self.entries.get(key).map(|entry| &entry.info)
    }

    /// Returns the requests in flight on an endpoint.
    #[must_use]
    pub fn in_flight(&self, key: EndpointKey) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.in_flight)
    }

    /// Takes a slot for a request.
    pub fn begin(&mut self, key: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight += 1;
            self.settle(key);
        }
    }

    /// Gives a slot back that was not used; nothing is learned from it.
    pub fn give_back(&mut self, key: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            self.settle(key);
        }
    }

    /// Returns the mean time of an answer of any endpoint, in milliseconds.
    #[must_use]
    pub fn typical_latency_ms(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a latency is positive, and the conversion saturates"
        )]
        let latency_ms = (self.latency_us / MICROS_PER_MILLI) as u64;
        latency_ms
    }

    /// Gives a slot back and learns from how the request ended.
    pub fn finish(&mut self, key: EndpointKey, finish: Finish, now: Millis) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        let failed = match finish {
            Finish::Answered { latency_us } => {
                entry.answered(latency_us);
                average(&mut self.latency_us, latency_us);
                false
            }
            Finish::Busy => {
                if let Some(until) = entry.refused_busy(&self.options, now) {
                    self.returns.push(Reverse((until, key)));
                }
                false
            }
            Finish::Draining => {
                let until = now.plus(self.options.drain_hold_ms);
                entry.leaving.drained_until = Some(until);
                self.returns.push(Reverse((until, key)));
                false
            }
            Finish::NotSent => entry.health.failed(self.options.failures, &self.options),
            Finish::Failed | Finish::Lost => entry.health.failed(1, &self.options),
            Finish::TimedOut { waited_ms } => {
                waited_ms >= self.options.hang_ms && entry.health.failed(1, &self.options)
            }
        };
        if failed && self.may_eject() {
            let until = self.entries[key].health.eject(&self.options, now);
            self.returns.push(Reverse((until, key)));
        }
        self.settle(key);
    }

    /// Says whether one more ejection leaves the floor in use.
    fn may_eject(&self) -> bool {
        let mut staying = 0_u32;
        let mut used = 0_u32;
        for entry in self.entries.values() {
            if entry.leaving.holds() {
                continue;
            }
            staying += 1;
            used += u32::from(entry.health.out_until.is_none());
        }
        f64::from(used) - 1.0 >= f64::from(staying) * f64::from(self.options.floor_share)
    }

    fn take_back(&mut self, now: Millis) {
        while let Some(&Reverse((at, key))) = self.returns.peek() {
            if at > now {
                return;
            }
            self.returns.pop();
            let Some(entry) = self.entries.get_mut(key) else {
                continue;
            };
            entry.take_back(now);
            self.settle(key);
        }
    }

    fn settle(&mut self, key: EndpointKey) {
        let entry = &self.entries[key];
        let facts = SlotFacts {
            slots: entry.info.slots,
            entry_vms: self.entry_vms,
            learned: entry.learned,
        };
        let returning = entry.health.returning.unwrap_or(u32::MAX);
        let soft = self.policy.soft(facts).min(returning);
        let hard = self.policy.hard(facts).min(returning);
        let far = usize::from(entry.info.zone != self.zone);
        let tier = if entry.is_out() || entry.in_flight >= hard {
            None
        } else if entry.in_flight < soft {
            Some(far)
        } else {
            Some(2 + far)
        };
        if entry.place.map(|place| place.tier) == tier {
            return;
        }
        self.unlist(key);
        if let Some(tier) = tier {
            let place = self.free.add(key, tier);
            self.entries[key].place = Some(place);
        }
    }

    fn unlist(&mut self, key: EndpointKey) {
        let Some(place) = self.entries[key].place.take() else {
            return;
        };
        if let Some(moved) = self.free.remove(place) {
            self.entries[moved].place = Some(place);
        }
    }
}
