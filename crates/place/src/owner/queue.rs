//! Offers that wait for room, by class and team.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use syc_types::Class;
use syc_types::TeamId;

use crate::owner::UnitKey;

/// Offers of one class of one team.
pub(super) type Lane = (Class, TeamId);

/// Offers in the order in which they came, by class and team.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    lanes: BTreeMap<Lane, VecDeque<UnitKey>>,
}

/// A position in one lane.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cursor {
    /// The lane.
    pub(super) lane: Lane,
    /// Offers before the position.
    pub(super) position: usize,
}

impl Queue {
    /// Adds an offer behind the others of its lane.
    pub(super) fn push(&mut self, lane: Lane, unit: UnitKey) {
        self.lanes.entry(lane).or_default().push_back(unit);
    }

    /// Adds an offer before the others of its lane.
    pub(super) fn push_front(&mut self, lane: Lane, unit: UnitKey) {
        self.lanes.entry(lane).or_default().push_front(unit);
    }

    /// Says whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the beginning of each lane.
    pub(super) fn cursors(&self) -> Vec<Cursor> {
        let mut cursors = Vec::new();
        for lane in self.lanes.keys() {
            cursors.push(Cursor {
                lane: lane.clone(),
                position: 0,
            });
        }
        cursors
    }

    /// Returns the offer at a position.
    pub(super) fn at(&self, cursor: &Cursor) -> Option<UnitKey> {
        let lane = self.lanes.get(&cursor.lane)?;
        lane.get(cursor.position).copied()
    }

    /// Takes out the offer at a position.
    pub(super) fn remove(&mut self, cursor: &Cursor) {
        let Some(lane) = self.lanes.get_mut(&cursor.lane) else {
            return;
        };
        lane.remove(cursor.position);
        if lane.is_empty() {
            self.lanes.remove(&cursor.lane);
        }
    }
}
