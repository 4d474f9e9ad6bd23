//! Applies the platform's worker list to the roster and the scheduler.

use std::rc::Rc;

use syc_sched::Event;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::leader::Leader;
use crate::leader::lease_trace::LifeEnd;
use crate::log;
use crate::ports::Platform;
use crate::roster::Listing;
use crate::roster::RosterChange;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Handles a worker listed under a key. It gets orders once the store has it in the roster.
    pub(super) fn list_worker(self: &Rc<Self>, key: &str, spec: WorkerSpec) {
        let is_new = self.roster.listed_life(key).as_ref() != Some(&spec.id);
        if let Some(previous) = self.roster.set_incarnation(key, Some(&spec.id)) {
            self.unlist_incarnation(previous);
        }
        // Entries are written again with each heartbeat.
        if is_new {
            self.end_former_lives(&spec.id);
        }
        match self.roster.list(&spec) {
            Listing::Usable => {
                if spec.draining {
                    self.progress_notify.notify_one();
                }
                self.apply(Event::WorkerListed(spec));
            }
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

    /// Ends the calls to the lives of a worker that began before the one that the list names.
    ///
    /// A list can be read again from an earlier entry, and clocks can jump back: only a later birth shows another life.
    fn end_former_lives(self: &Rc<Self>, listed: &WorkerId) {
        if !self.call_fences.is_in_use(listed.name()) {
            return;
        }
        for worker in self.sessions_with_former_lives(listed) {
            self.record_life_end(worker, LifeEnd::NextListed);
            self.apply(Event::Restarted { worker });
        }
    }

    /// Ends the calls to a life from a predecessor's roster if the list names a later one.
    pub(super) fn end_if_former(self: &Rc<Self>, id: &WorkerId) {
        let listed = self.roster.listed_life(id.name());
        if let Some(listed) = listed.filter(|listed| id.is_followed_by(listed)) {
            self.end_former_lives(&listed);
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

    /// Stores that the progress of the jobs names a draining worker for each run that may be on it.
    pub(super) fn record_drain(&self, id: &WorkerId) {
        if self.roster.add_recorded_drain(id.clone()) {
            log::worker_listed(id, "drain_recorded");
            self.progress_notify.notify_one();
        }
    }

    /// Handles a roster change that has been stored.
    pub(super) fn apply_roster_recorded(self: &Rc<Self>, change: &RosterChange) {
        for spec in self.roster.mark_recorded(change.number) {
            self.apply(Event::WorkerListed(spec));
        }
    }
}
