//! The workers that may run something of a scheduler, as its successor reads them in the store.
//!
//! The platform's list alone won't do: entries of workers that live lapse while the store is away.
//! A successor that does not ask such a worker starts its tasks a second time. So a worker gets no
//! order before the store has its name here, and it stays here until nothing that was ordered can
//! still run on it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
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
use crate::records::RosterRecord;

/// The workers, and how much of them the store has.
#[derive(Debug, Default)]
pub(super) struct Roster {
    members: RefCell<BTreeMap<WorkerId, Member>>,
    /// The life that the platform's list has of each worker, by the worker's key there.
    incarnations: RefCell<BTreeMap<SmolStr, WorkerId>>,
    /// Number of the latest change.
    latest_change: Cell<u64>,
    /// Number of the latest change that the store has.
    recorded: Cell<u64>,
}

#[derive(Debug)]
struct Member {
    spec: WorkerSpec,
    /// Whether the platform's list names it, as far as is known.
    listed: bool,
    /// Number of the change that added it.
    added_in: u64,
}

/// A roster that is to be written.
#[derive(Debug)]
pub(super) struct RosterChange {
    pub(super) records: Vec<Record>,
    number: u64,
}

impl Roster {
    /// Takes what a predecessor left in the store.
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
            };
            members.insert(spec.id.clone(), member);
        }
    }

    /// Takes a worker that is listed. Says whether the store has it, so that it may get orders.
    fn list(&self, spec: &WorkerSpec) -> bool {
        let mut members = self.members.borrow_mut();
        if let Some(member) = members.get_mut(&spec.id) {
            member.spec = spec.clone();
            member.listed = true;
            return member.added_in <= self.recorded.get();
        }
        let member = Member {
            spec: spec.clone(),
            listed: true,
            added_in: self.next_change(),
        };
        members.insert(spec.id.clone(), member);
        false
    }

    /// Takes note that a worker is not listed: one that never got an order is of no interest. Says whether
    /// that is news.
    fn unlist(&self, id: &WorkerId) -> bool {
        let mut members = self.members.borrow_mut();
        let Some(member) = members.get_mut(id) else {
            return false;
        };
        let was_listed = std::mem::take(&mut member.listed);
        if member.added_in > self.recorded.get() {
            members.remove(id);
            self.next_change();
        }
        was_listed
    }

    /// Removes a worker on which nothing can run.
    pub(super) fn remove(&self, id: &WorkerId) {
        if self.members.borrow_mut().remove(id).is_some() {
            self.next_change();
        }
    }

    /// Takes note of the life that is listed of a worker. Returns the one that was listed before, if it is another.
    fn set_incarnation(&self, key: &str, id: Option<&WorkerId>) -> Option<WorkerId> {
        let mut incarnations = self.incarnations.borrow_mut();
        let previous = match id {
            Some(id) => incarnations.insert(SmolStr::new(key), id.clone()),
            None => incarnations.remove(key),
        };
        previous.filter(|previous| Some(previous) != id)
    }

    fn next_change(&self) -> u64 {
        self.latest_change.set(self.latest_change.get() + 1);
        self.latest_change.get()
    }

    /// Returns all of its workers.
    pub(super) fn ids(&self) -> Vec<WorkerId> {
        self.members.borrow().keys().cloned().collect()
    }

    /// Returns what the store does not have yet, if there is anything.
    pub(super) fn pending_change(&self, token: u64) -> Option<RosterChange> {
        let number = self.latest_change.get();
        if number == self.recorded.get() {
            return None;
        }
        let members = self.members.borrow();
        let record = RosterRecord {
            token,
            change: number,
            workers: members.values().map(|member| member.spec.clone()).collect(),
        };
        Some(RosterChange {
            records: records::roster(&record),
            number,
        })
    }

    /// Takes note that the store has a change. Returns the workers that may get orders now.
    fn mark_recorded(&self, number: u64) -> Vec<WorkerSpec> {
        let previous = self.recorded.replace(number);
        let members = self.members.borrow();
        let added = members
            .values()
            .filter(|member| member.added_in > previous && member.added_in <= number);
        added.map(|member| member.spec.clone()).collect()
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Takes a worker that is listed under a key; it gets orders once the store has it in the roster.
    pub(super) fn list_worker(self: &Rc<Self>, key: &str, spec: WorkerSpec) {
        if let Some(previous) = self.roster.set_incarnation(key, Some(&spec.id)) {
            self.unlist_incarnation(previous);
        }
        if self.roster.list(&spec) {
            self.apply(Event::WorkerListed(spec));
        } else {
            self.progress_notify.notify_one();
        }
    }

    /// Takes note that no worker is listed under a key.
    pub(super) fn unlist_worker(self: &Rc<Self>, key: &str) {
        let previous = self.roster.set_incarnation(key, None);
        // A predecessor may have listed one whose life nobody told.
        self.unlist_incarnation(previous.unwrap_or_else(|| WorkerId::of_life(key, None)));
    }

    /// Takes note that a life of a worker is not listed. Only the first time is news: an entry that can't be used is
    /// written again with every heartbeat of its writer.
    pub(super) fn unlist_incarnation(self: &Rc<Self>, id: WorkerId) {
        if self.roster.unlist(&id) {
            self.report_unlisted(id);
        }
    }

    /// Tells the scheduler that a worker is not listed.
    pub(super) fn report_unlisted(self: &Rc<Self>, id: WorkerId) {
        log::worker_listed(&id, "unlisted");
        self.apply(Event::WorkerUnlisted(id));
    }

    /// Takes note that the store has a change of the roster.
    pub(super) fn apply_roster_recorded(self: &Rc<Self>, change: &RosterChange) {
        for spec in self.roster.mark_recorded(change.number) {
            self.apply(Event::WorkerListed(spec));
        }
    }
}
