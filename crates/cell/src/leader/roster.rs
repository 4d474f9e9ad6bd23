//! The roster: workers that may be running tasks, recorded in the store for a successor.
//!
//! The platform's worker list is not enough: entries of live workers expire while the store is
//! unavailable, and a successor that does not query such a worker starts its tasks a second time. A
//! worker therefore gets no order before the store has it in the roster, and it stays there until
//! nothing that was ordered can still run on it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use smol_str::SmolStr;
use syc_sched::Event;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::leader::Leader;
use crate::log;
use crate::ports::Platform;
use crate::ports::Record;
use crate::records;
use crate::records::DrainsRecord;
use crate::records::RosterRecord;

/// The workers of the roster and which of them are recorded in the store.
#[derive(Debug, Default)]
pub(super) struct Roster {
    members: RefCell<BTreeMap<WorkerId, Member>>,
    /// The incarnation in the platform's list, by the worker's key there.
    incarnations: RefCell<BTreeMap<SmolStr, WorkerId>>,
    /// Draining workers of which all runs are recorded.
    drained: RefCell<BTreeSet<WorkerId>>,
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
    /// Number of the change that removed it from the drained workers.
    used_again_in: u64,
}

/// How a listed worker may be used.
#[derive(Debug)]
enum Listing {
    /// As it is listed.
    Usable,
    /// Only as a draining worker, until the store has it that its runs are no longer all recorded.
    StillDraining,
    /// Not at all before the store has it in the roster.
    Unrecorded,
}

/// A version of the roster to be written.
#[derive(Debug)]
pub(super) struct RosterChange {
    pub(super) records: Vec<Record>,
    number: u64,
}

impl Roster {
    /// Adds the workers that a predecessor recorded in the store.
    pub(super) fn restore<'a, I>(&self, stored: I)
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

    /// Adds the draining workers of which a predecessor recorded all runs.
    pub(super) fn restore_drained(&self, stored: Vec<WorkerId>) {
        self.drained.borrow_mut().extend(stored);
    }

    /// Returns the draining workers of which all runs are recorded.
    pub(super) fn drained(&self) -> BTreeSet<WorkerId> {
        self.drained.borrow().clone()
    }

    /// Adds a draining worker of which all runs are recorded.
    pub(super) fn add_drained(&self, id: WorkerId) {
        // It may have stopped draining, which the scheduler learns only once the store has that.
        let is_draining = |member: &Member| member.spec.draining || !member.listed;
        let is_draining = self.members.borrow().get(&id).is_some_and(is_draining);
        if is_draining && self.drained.borrow_mut().insert(id) {
            self.next_change();
        }
    }

    /// Adds or updates a listed worker. Returns whether it may get orders: only if the store has it.
    fn list(&self, spec: &WorkerSpec) -> Listing {
        let mut members = self.members.borrow_mut();
        let Some(member) = members.get_mut(&spec.id) else {
            self.drained.borrow_mut().remove(&spec.id);
            let member = Member {
                spec: spec.clone(),
                listed: true,
                added_in: self.next_member_change(),
                used_again_in: 0,
            };
            members.insert(spec.id.clone(), member);
            return Listing::Unrecorded;
        };
        member.spec = spec.clone();
        member.listed = true;
        if !spec.draining && self.drained.borrow_mut().remove(&spec.id) {
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
    fn unlist(&self, id: &WorkerId) -> bool {
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
    pub(super) fn remove(&self, id: &WorkerId) {
        self.drained.borrow_mut().remove(id);
        if self.members.borrow_mut().remove(id).is_some() {
            self.next_member_change();
        }
    }

    /// Sets the incarnation listed under a key. Returns the previous one if it differs.
    fn set_incarnation(&self, key: &str, id: Option<&WorkerId>) -> Option<WorkerId> {
        let mut incarnations = self.incarnations.borrow_mut();
        let previous = match id {
            Some(id) => incarnations.insert(SmolStr::new(key), id.clone()),
            None => incarnations.remove(key),
        };
        previous.filter(|previous| Some(previous) != id)
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
    pub(super) fn ids(&self) -> Vec<WorkerId> {
        self.members.borrow().keys().cloned().collect()
    }

    /// Returns the current roster if the store does not have it yet.
    pub(super) fn pending_change(&self, token: u64) -> Option<RosterChange> {
        let number = self.latest_change.get();
        if number == self.recorded.get() {
            return None;
        }
        let mut written = Vec::new();
        if self.members_changed_in.get() > self.recorded.get() {
            let members = self.members.borrow();
            written = records::roster(&RosterRecord {
                token,
                change: number,
                workers: members.values().map(|member| member.spec.clone()).collect(),
            });
        }
        written.push(records::drains(&DrainsRecord {
            token,
            change: number,
            workers: self.drained.borrow().iter().cloned().collect(),
        }));
        Some(RosterChange {
            records: written,
            number,
        })
    }

    /// Marks a change as stored. Returns the workers that may now get orders.
    fn mark_recorded(&self, number: u64) -> Vec<WorkerSpec> {
        let previous = self.recorded.replace(number);
        let members = self.members.borrow();
        let usable = members.values().filter(|member| {
            let usable_from = member.added_in.max(member.used_again_in);
            member.listed && usable_from > previous && usable_from <= number
        });
        usable.map(|member| member.spec.clone()).collect()
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Handles a worker listed under a key. It gets orders once the store has it in the roster.
    pub(super) fn list_worker(self: &Rc<Self>, key: &str, spec: WorkerSpec) {
        if let Some(previous) = self.roster.set_incarnation(key, Some(&spec.id)) {
            self.unlist_incarnation(previous);
        }
        match self.roster.list(&spec) {
            Listing::Usable => self.apply(Event::WorkerListed(spec)),
            Listing::StillDraining => {
                self.progress_notify.notify_one();
                self.apply(Event::WorkerListed(WorkerSpec {
                    draining: true,
                    ..spec
                }));
            }
            Listing::Unrecorded => self.progress_notify.notify_one(),
        }
    }

    /// Handles a key under which no usable worker is listed any more.
    pub(super) fn unlist_worker(self: &Rc<Self>, key: &str) {
        let previous = self.roster.set_incarnation(key, None);
        // A predecessor may have recorded it under an id without incarnation.
        self.unlist_incarnation(previous.unwrap_or_else(|| WorkerId::of_life(key, None)));
    }

    /// Handles an incarnation that is no longer listed. It is reported only once: an unusable entry
    /// is rewritten with every heartbeat of its writer.
    pub(super) fn unlist_incarnation(self: &Rc<Self>, id: WorkerId) {
        if self.roster.unlist(&id) {
            self.report_unlisted(id);
        }
    }

    /// Reports to the scheduler that a worker is not listed.
    pub(super) fn report_unlisted(self: &Rc<Self>, id: WorkerId) {
        log::worker_listed(&id, "unlisted");
        self.apply(Event::WorkerUnlisted(id));
    }

    /// Removes a worker from the roster on which no task can be running.
    pub(super) fn forget_worker(&self, id: &WorkerId) {
        self.roster.remove(id);
        self.progress_notify.notify_one();
    }

    /// Records that all runs on a draining worker are recorded.
    pub(super) fn record_drain(&self, id: WorkerId) {
        self.roster.add_drained(id);
        self.progress_notify.notify_one();
    }

    /// Handles a roster change that has been stored.
    pub(super) fn apply_roster_recorded(self: &Rc<Self>, change: &RosterChange) {
        for spec in self.roster.mark_recorded(change.number) {
            self.apply(Event::WorkerListed(spec));
        }
    }
}
