//! The endpoints of one service as one entry VM sees them.

use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;
use smol_str::SmolStr;
use syc_types::EndpointId;
use syc_types::Zone;

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

#[derive(Debug, Clone)]
struct Entry {
    info: EndpointInfo,
    in_flight: u32,
    leaving: bool,
}

/// The endpoints of a service, with what this entry VM has in flight on each.
#[derive(Debug, Clone, Default)]
pub struct Endpoints {
    entries: SlotMap<EndpointKey, Entry>,
    by_id: HashMap<EndpointId, EndpointKey>,
}

impl Endpoints {
    /// Adds an endpoint, or takes over the new facts of one that is there.
    pub fn upsert(&mut self, info: EndpointInfo) -> EndpointKey {
        if let Some(&key) = self.by_id.get(&info.id) {
            self.entries[key].info = info;
            return key;
        }
        let id = info.id.clone();
        let key = self.entries.insert(Entry {
            info,
            in_flight: 0,
            leaving: false,
        });
        self.by_id.insert(id, key);
        key
    }

    /// Marks an endpoint as leaving or staying.
    pub fn set_leaving(&mut self, id: &EndpointId, leaving: bool) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        self.entries[key].leaving = leaving;
    }

    /// Picks the endpoint with the fewest requests in flight that has a free slot, `zone` first.
    #[must_use]
    pub fn choose(&self, zone: &Zone) -> Option<EndpointKey> {
        let mut best = None;
        for (key, entry) in &self.entries {
            if entry.leaving || entry.in_flight >= entry.info.slots {
                continue;
            }
            let rank = (entry.info.zone != *zone, entry.in_flight);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the facts of an endpoint.
    #[must_use]
    pub fn info(&self, key: EndpointKey) -> Option<&EndpointInfo> {
        self.entries.get(key).map(|entry| &entry.info)
    }

    /// Takes a slot for a request.
    pub fn begin(&mut self, key: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight += 1;
        }
    }

    /// Gives a slot back.
    pub fn end(&mut self, key: EndpointKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }
}
