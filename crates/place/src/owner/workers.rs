//! Workers: taking them over, polling them, and giving them up.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use syc_types::Millis;
use syc_types::TaskOutcome;

use crate::Action;
use crate::Owner;
use crate::PollPlan;
use crate::Refusal;
use crate::WorkerInfo;
use crate::WorkerKey;
use crate::health::Health;
use crate::owner::Contact;
use crate::owner::Phase;
use crate::owner::WorkerState;

impl Owner {
    /// Returns when leases that may have been renewed at `now` have surely lapsed.
    pub(super) const fn lapse_after(&self, now: Millis) -> Millis {
        Millis(
            now.0
                .saturating_add(self.options.lease_ms)
                .saturating_add(self.options.drift_ms),
        )
    }

    pub(super) fn set_workers(
        &mut self,
        workers: Vec<WorkerInfo>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let mut listed = HashSet::new();
        for info in workers {
            let key = self.ledger.upsert_worker(info);
            listed.insert(key);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.retired = false;
                self.refresh_open(key);
                continue;
            }
            self.take_over(key, now);
            actions.push(Action::Poll { worker: key });
        }
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            if !listed.contains(&key) {
                self.ledger.retire_worker(key);
                self.workers[key].retired = true;
                self.refresh_open(key);
            }
        }
        self.ledger.set_headroom(self.headroom_permille);
        self.shares.set_pool(self.ledger.pool());
        self.room_freed = true;
    }

    /// Takes a worker over: a former owner may have renewed its leases up to this moment.
    fn take_over(&mut self, key: WorkerKey, now: Millis) {
        let worker = WorkerState {
            contact: Contact::Unheard,
            retired: false,
            lease_until: self.lapse_after(now),
            last_answer: now,
            failed_polls: 0,
            seq: 0,
            version: 0,
            reported: HashMap::new(),
            tasks: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            watched: false,
            renewing: false,
            acks: Vec::new(),
            sent_acks: Vec::new(),
            health: Health::default(),
        };
        self.workers.insert(key, worker);
        self.refresh_open(key);
    }

    /// Lets go of workers that have another owner: nothing of theirs is acted on any more.
    pub(super) fn disown(&mut self, keys: &[WorkerKey], actions: &mut Vec<Action>) {
        for &key in keys {
            let Some(worker) = self.workers.remove(key) else {
                continue;
            };
            for task in worker.tasks {
                let unit = self.tasks.get(&task).and_then(|state| state.unit);
                self.drop_task(task);
                if let Some(unit) = unit {
                    self.close_unit(unit, &Err(Refusal::InDoubt), actions);
                }
            }
            self.ended.retain(|_, end| end.kept || end.worker != key);
            self.ledger.remove_worker(key);
        }
        self.shares.set_pool(self.ledger.pool());
    }

    /// Says whether a worker may be given tasks, guarded or not.
    pub(super) fn is_usable(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.workers.get(key) else {
            return false;
        };
        let grants = self.ledger.grant_count(key);
        worker.contact == Contact::Heard && !worker.retired && worker.health.usable(grants)
    }

    /// Opens or closes a worker in the ledger as its state says.
    pub(super) fn refresh_open(&mut self, key: WorkerKey) {
        let open = self.is_usable(key);
        self.room_freed |= open && !self.ledger.is_open(key);
        self.ledger.set_open(key, open);
    }

    /// Plans the next poll of a worker; `None` once it is no longer this owner's.
    pub fn plan_poll(&mut self, key: WorkerKey, now: Millis) -> Option<PollPlan> {
        let lease_ms = self.options.lease_ms;
        let worker = self.workers.get_mut(key)?;
        worker.seq += 1;
        // A renewal whose answer is lost puts the sure lapse off, so there is an end to those.
        let recent = now.since(worker.last_answer) < lease_ms / 2;
        worker.renewing = worker.failed_polls == 0 || recent;
        worker.sent_acks = std::mem::take(&mut worker.acks);
        Some(PollPlan {
            seq: worker.seq,
            renew: worker.renewing,
            seen: worker.version,
            acknowledged: worker.sent_acks.clone(),
        })
    }

    /// Notes that a former owner may still renew the leases of a worker.
    pub fn note_former_owner(&mut self, key: WorkerKey, now: Millis) {
        let lapse = self.lapse_after(now);
        if let Some(worker) = self.workers.get_mut(key)
            && worker.contact == Contact::Unheard
        {
            worker.lease_until = worker.lease_until.max(lapse);
        }
    }

    /// Says whether a poll of a worker should answer at once, because its state is not known.
    #[must_use]
    pub fn wants_quick_poll(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| worker.contact == Contact::Unheard || worker.failed_polls > 0)
    }

    pub(super) fn poll_failed(&mut self, key: WorkerKey, seq: u64, in_doubt: bool, now: Millis) {
        let lapse = self.lapse_after(now);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.seq != seq {
            return;
        }
        if in_doubt && worker.renewing {
            worker.lease_until = worker.lease_until.max(lapse);
        }
        worker.failed_polls = worker.failed_polls.saturating_add(1);
        // The list may have been lost under way.
        worker.version = 0;
        let mut acks = std::mem::take(&mut worker.sent_acks);
        acks.append(&mut worker.acks);
        worker.acks = acks;
    }

    pub(super) fn tick(&mut self, acting: bool, now: Millis, actions: &mut Vec<Action>) {
        self.lapse_holds(now);
        self.forget_ends(now);
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            if self.workers[key].health.tick(now) {
                self.refresh_open(key);
            }
            let worker = &self.workers[key];
            let lapses = acting && worker.contact != Contact::Lapsed;
            if lapses && now >= worker.lease_until {
                self.lapse(key, now, actions);
            }
            let worker = &self.workers[key];
            if worker.retired && worker.tasks.is_empty() {
                self.disown(&[key], actions);
            }
        }
    }

    /// Ends every attempt on a worker whose leases have surely lapsed.
    fn lapse(&mut self, key: WorkerKey, now: Millis, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[key];
        worker.contact = Contact::Lapsed;
        worker.version = 0;
        worker.reported.clear();
        let tasks = worker.tasks.clone();
        self.ledger.set_stray(key, syc_types::Resources::ZERO);
        for task in tasks {
            let phase = self.tasks.get(&task).map(|state| state.phase);
            match phase {
                // Its start command is under way, and its lease begins with the answer.
                Some(Phase::Starting) | None => {}
                Some(Phase::Held { .. }) => {
                    self.drop_task(task);
                }
                Some(Phase::InDoubt { .. } | Phase::Running { .. }) => {
                    self.end_task(task, TaskOutcome::Unknown, 0, now, actions);
                }
            }
        }
        self.refresh_open(key);
    }
}
