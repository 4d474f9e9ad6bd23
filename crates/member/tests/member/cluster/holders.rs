//! Who may act for which rack, and whether two ever may at once.

use smol_str::format_smolstr;
use syc_member::Key;
use syc_types::RackId;

use super::Cluster;
use super::Run;

/// Racks whose holders are compared.
const RACKS: usize = 6;

impl Cluster {
    pub(super) fn held_by(&self, slot: usize) -> u32 {
        let node = &self.nodes[slot];
        if node.run != Run::Up && node.run != Run::Paused {
            return 0;
        }
        let now = self.clock(slot);
        let mut bits = 0;
        if !node.member.holds_lease(now) {
            return bits;
        }
        for (index, rack) in self.racks.iter().enumerate() {
            if node.member.may_act_for(Key::Rack(rack), now) {
                bits |= 1 << index;
            }
        }
        bits
    }

    /// Looks at one slot after it learned something.
    pub(super) fn check(&mut self, slot: usize) {
        self.held[slot] = self.held_by(slot);
        self.compare(slot);
    }

    fn compare(&mut self, slot: usize) {
        for other in 0..self.nodes.len() {
            let both = self.held[slot] & self.held[other];
            if other != slot && both != 0 {
                let found = format!("{} ms: {slot} and {other} hold {both:b}", self.now);
                self.violations.push(found);
            }
        }
    }

    /// Looks at all slots after time has passed.
    pub(super) fn check_all(&mut self) {
        for slot in 0..self.nodes.len() {
            self.held[slot] = self.held_by(slot);
        }
        for slot in 0..self.nodes.len() {
            self.compare(slot);
        }
    }

    /// Says whether every rack has its one holder.
    pub fn all_held(&self) -> bool {
        let slots = 0..self.nodes.len();
        let held = slots.fold(0, |all, slot| all | self.held_by(slot));
        held == (1 << RACKS) - 1
    }

    /// Returns the racks that a slot may act for at this instant.
    pub fn racks_of(&self, slot: usize) -> Vec<RackId> {
        let bits = self.held_by(slot);
        let mine = self.racks.iter().enumerate();
        let mine = mine.filter(|(index, _)| bits & (1 << index) != 0);
        mine.map(|(_, rack)| rack.clone()).collect()
    }
}

/// Returns the racks whose holders are compared.
pub(super) fn racks() -> Vec<RackId> {
    let names = (0..RACKS).map(|rack| format_smolstr!("rack-{rack}"));
    names.map(RackId::new).collect()
}
