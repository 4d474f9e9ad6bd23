//! Endpoints that can take a request, in tiers, with additions and removals in constant time.

use crate::EndpointKey;

/// Number of tiers; lower ones are chosen first.
pub(crate) const TIERS: usize = 4;

/// Where an endpoint stands in the lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) tier: usize,
    pub(crate) index: usize,
}

/// The lists, one a tier.
#[derive(Debug, Clone, Default)]
pub(crate) struct FreeLists {
    tiers: [Vec<EndpointKey>; TIERS],
}

impl FreeLists {
    /// Appends an endpoint to a tier.
    pub(crate) fn add(&mut self, key: EndpointKey, tier: usize) -> Place {
        let list = &mut self.tiers[tier];
        list.push(key);
        Place {
            tier,
            index: list.len() - 1,
        }
    }

    /// Takes an endpoint out; returns the one that moved into its place.
    pub(crate) fn remove(&mut self, place: Place) -> Option<EndpointKey> {
        let list = &mut self.tiers[place.tier];
        list.swap_remove(place.index);
        list.get(place.index).copied()
    }

    /// Returns the endpoints of a tier.
    pub(crate) fn tier(&self, tier: usize) -> &[EndpointKey] {
        &self.tiers[tier]
    }
}
