//! Which records never count since their tombstone stands before them.

use std::collections::HashSet;
use std::collections::VecDeque;

use uuid::Uuid;

/// Most tombstones that are kept; older ones are forgotten first.
const KEPT: usize = 8_192;

/// The tombstones read so far, the latest of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tombstones {
    order: VecDeque<Uuid>,
    ids: HashSet<Uuid>,
}

impl Tombstones {
    /// Takes note that the record `of` does not count from here on.
    pub fn add(&mut self, of: Uuid) {
        if !self.ids.insert(of) {
            return;
        }
        self.order.push_back(of);
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Says whether a record that is read now is void.
    #[must_use]
    pub fn void(&self, id: Uuid) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the tombstones, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = Uuid> {
        self.order.iter().copied()
    }
}
