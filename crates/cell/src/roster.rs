//! The roster: workers that may be running tasks, recorded in the store for a successor.
//!
//! The platform's worker list is not enough: entries of live workers expire while the store is unavailable, and a successor
//! that does not query such a worker starts its tasks a second time. A worker therefore gets no order before the store has
//! it in the roster, and it stays there until nothing that was ordered can still run on it.
//!
//! Of a draining worker, the roster also says whether the store names it for each run that may be on it. While it says so,
//! the worker gets no orders, even if it stops draining.
//!
//! It also names all workers that drain: one that leaves while there is no scheduler has left as it announced, and its
//! end says nothing about the tasks that were on it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::ports::Record;
use crate::records;
use crate::records::DrainsRecord;
use crate::records::RosterRecord;

/// The workers of the roster and which of them are recorded in the store.
#[derive(Debug, Default)]
pub struct Roster {
    members: RefCell<BTreeMap<WorkerId, Member>>,
    /// The incarnation in the platform's list, by the worker's key there.
    incarnations: RefCell<BTreeMap<SmolStr, WorkerId>>,
    /// Draining workers that the store names for each run that may be on them.
    recorded_drains: RefCell<BTreeSet<WorkerId>>,
    /// Number of the latest change.
    latest_change: Cell<u64>,
    /// Number of the latest change of the members.
    members_changed_in: Cell<u64>,
    /// Number of the latest change that is recorded in the store.
    recorded: Cell<u64>,
}

#[derive(Debug)]
struct Member {
    spec: WorkerSpec,
    /// Whether it was last seen in the platform's list.
    listed: bool,
    /// Number of the change that added it.
    added_in: u64,
    /// Number of the change that removed it from the recorded drains.
    used_again_in: u64,
}

/// How a listed worker may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// As it is listed.
    Usable,
    /// Only as a draining worker, until the store no longer says that its drain is recorded.
    StillDraining,
    /// Not at all before the store has it in the roster.
    Unrecorded,
}

/// A version of the roster to be written.
#[derive(Debug)]
pub struct RosterChange {
    /// The records.
    pub records: Vec<Record>,
    /// Number of the change.
    pub number: u64,
}

impl Roster {
    /// Adds the workers that a predecessor recorded in the store.
    pub fn restore<'a, I>(&self, stored: I)
    where
        I: IntoIterator<Item = &'a WorkerSpec>,
    {
        let mut members = self.members.borrow_mut();
        for spec in stored {
            let member = Member {
                spec: spec.clone(),
                listed: false,
                added_in: 0,
                used_again_in: 0,
            };
            members.insert(spec.id.clone(), member);
        }
    }

    /// Adds the draining workers that a predecessor had recorded.
    pub fn restore_recorded_drains(&self, stored: Vec<WorkerId>) {
        self.recorded_drains.borrow_mut().extend(stored);
    }

    /// Returns the draining workers that the store names for each run that may be on them.
    #[must_use]
    pub fn recorded_drains(&self) -> BTreeSet<WorkerId> {
        self.recorded_drains.borrow().clone()
    }

    /// Adds a draining worker that the store names for each run that may be on it. Returns whether it is added.
    pub fn add_recorded_drain(&self, id: WorkerId) -> bool {
        // It may have stopped draining, which the scheduler learns only once the store has that.
        let is_draining = |member: &Member| member.spec.draining || !member.listed;
        let is_draining = self.members.borrow().get(&id).is_some_and(is_draining);
        let is_added = is_draining && self.recorded_drains.borrow_mut().insert(id);
        if is_added {
            self.next_change();
        }
        is_added
    }

    /// Adds or updates a listed worker. Returns how it may be used.
    pub fn list(&self, spec: &WorkerSpec) -> Listing {
        let mut members = self.members.borrow_mut();
        let Some(member) = members.get_mut(&spec.id) else {
            self.recorded_drains.borrow_mut().remove(&spec.id);
            let member = Member {
                spec: spec.clone(),
                listed: true,
                added_in: self.next_member_change(),
                used_again_in: 0,
            };
            members.insert(spec.id.clone(), member);
            return Listing::Unrecorded;
        };
        if member.spec.draining != spec.draining {
            self.next_change();
        }
        member.spec = spec.clone();
        member.listed = true;
        if !spec.draining && self.recorded_drains.borrow_mut().remove(&spec.id) {
            member.used_again_in = self.next_change();
        }
        let recorded = self.recorded.get();
        if member.added_in > recorded {
            Listing::Unrecorded
        } else if member.used_again_in > recorded {
            Listing::StillDraining
        } else {
            Listing::Usable
        }
    }

    /// Marks a worker as not listed, and removes it if it was never recorded and thus got no
    /// orders. Returns whether it was listed before.
    pub fn unlist(&self, id: &WorkerId) -> bool {
        let mut members = self.members.borrow_mut();
        let Some(member) = members.get_mut(id) else {
            return false;
        };
        let was_listed = std::mem::take(&mut member.listed);
        if member.added_in > self.recorded.get() {
            members.remove(id);
            self.next_member_change();
        }
        was_listed
    }

    /// Removes a worker on which no task can be running.
    pub fn remove(&self, id: &WorkerId) {
        self.recorded_drains.borrow_mut().remove(id);
        if self.members.borrow_mut().remove(id).is_some() {
            self.next_member_change();
        }
    }

    /// Sets the incarnation listed under a key. Returns the previous one if it differs.
    pub fn set_incarnation(&self, key: &str, id: Option<&WorkerId>) -> Option<WorkerId> {
        let mut incarnations = self.incarnations.borrow_mut();
        let previous = match id {
            Some(id) => incarnations.insert(SmolStr::new(key), id.clone()),
            None => incarnations.remove(key),
        };
        previous.filter(|previous| Some(previous) != id)
    }

    /// Returns the life of a worker that the platform's list names.
    #[must_use]
    pub fn listed_life(&self, name: &str) -> Option<WorkerId> {
        self.incarnations.borrow().get(name).cloned()
    }

    fn next_member_change(&self) -> u64 {
        let number = self.next_change();
        self.members_changed_in.set(number);
        number
    }

    fn next_change(&self) -> u64 {
        self.latest_change.set(self.latest_change.get() + 1);
        self.latest_change.get()
    }

    /// Returns the ids of all workers in the roster.
    #[must_use]
    pub fn ids(&self) -> Vec<WorkerId> {
        self.members.borrow().keys().cloned().collect()
    }

    /// Returns the current roster if the store does not have it yet.
    #[must_use]
    pub fn pending_change(&self, token: u64) -> Option<RosterChange> {
        let number = self.latest_change.get();
        if number == self.recorded.get() {
            return None;
        }
        let mut written = Vec::new();
        let members = self.members.borrow();
        if self.members_changed_in.get() > self.recorded.get() {
            written = records::roster(&RosterRecord {
                token,
                change: number,
                workers: members.values().map(|member| member.spec.clone()).collect(),
            });
        }
        written.push(records::drains(&DrainsRecord {
            token,
            change: number,
            workers: self.recorded_drains.borrow().iter().cloned().collect(),
            draining: draining_ids(&members),
        }));
        Some(RosterChange {
            records: written,
            number,
        })
    }

    /// Marks a change as stored. Returns the workers that may now get orders.
    pub fn mark_recorded(&self, number: u64) -> Vec<WorkerSpec> {
        let previous = self.recorded.replace(number);
        let members = self.members.borrow();
        let usable = members.values().filter(|member| {
            let usable_from = member.added_in.max(member.used_again_in);
            member.listed && usable_from > previous && usable_from <= number
        });
        usable.map(|member| member.spec.clone()).collect()
    }
}

fn draining_ids(members: &BTreeMap<WorkerId, Member>) -> Vec<WorkerId> {
    let draining = members.iter().filter(|(_, member)| member.spec.draining);
    draining.map(|(id, _)| id.clone()).collect()
}
