//! The tasks of one team that wait to be offered: by class, in order, some of them later.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use syc_types::Class;
use syc_types::JobId;
use syc_types::MemberId;
use syc_types::Millis;

/// Tasks that are offered together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unit {
    /// Whose tasks they are.
    pub job_id: JobId,
    /// The tasks: all of a gang, or one.
    pub indexes: Vec<u32>,
    /// How urgent they are.
    pub class: Class,
    /// How often they were offered in vain.
    pub tries: u32,
    /// The owners that were asked in vain in this turn.
    pub asked: Vec<MemberId>,
    /// The owner that may have started them; no other may be asked.
    pub pinned: Option<MemberId>,
}

/// The units of a team that wait.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    ready: [VecDeque<Unit>; 3],
    later: BTreeMap<(Millis, u64), Unit>,
    blocked: VecDeque<Unit>,
    next: u64,
}

pub(super) const fn class_index(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Patient => 2,
    }
}

impl ReadyQueue {
    pub(super) fn push(&mut self, unit: Unit) {
        self.ready[class_index(unit.class)].push_back(unit);
    }

    pub(super) fn push_at(&mut self, at: Millis, unit: Unit) {
        self.next += 1;
        self.later.insert((at, self.next), unit);
    }

    /// Sets a unit aside until capacity under the quota is given back.
    pub(super) fn block(&mut self, unit: Unit) {
        self.blocked.push_back(unit);
    }

    pub(super) fn unblock(&mut self, most: usize) {
        for _ in 0..most.min(self.blocked.len()) {
            let Some(unit) = self.blocked.pop_front() else {
                return;
            };
            self.push(unit);
        }
    }

    /// Makes the units ready whose time has come.
    pub(super) fn advance(&mut self, now: Millis) {
        while let Some(entry) = self.later.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let unit = entry.remove();
            self.push(unit);
        }
    }

    pub(super) fn pop(&mut self, class: usize) -> Option<Unit> {
        self.ready[class].pop_front()
    }

    pub(super) fn has(&self, class: usize) -> bool {
        !self.ready[class].is_empty()
    }

    pub(super) fn next_at(&self) -> Option<Millis> {
        self.later.first_key_value().map(|((at, _), _)| *at)
    }
}
