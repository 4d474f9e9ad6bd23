//! What calls that were meant for one life of a worker may have done on its next one.
//!
//! A call names the worker and not its life, so the next life may carry it out. Each life is called with a higher fencing
//! token than those before it. From its first answer on, a life therefore refuses the calls that were meant for former ones,
//! and a predecessor's. What such calls may have done until then is bounded here:
//!
//! - Leases: the end of a lease is a time on the former life's clock. The next life's clock has begun anew, so the lease may
//!   be the longest that a worker grants, counted from the first answer.
//! - Starts: a former life that is over is not called any more. Its unconfirmed starts are set aside for the next life, see
//!   `misdirected`. Those of a worker that is silent and not registered any more may be on a life that nobody has heard of,
//!   and hold the longest lease. A worker that is still registered when its own leases have expired has not restarted since
//!   it was called last.
//! - Starts that a successor does not know of: its takeover waits for the first report of the next life.
//!
//! A worker that does not tell when its life began gets another name with each life, so calls reach no other life of it.

use std::collections::BTreeMap;

use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use crate::LeaseBasis;
use crate::Scheduler;
use crate::WorkerKey;
use crate::predecessor_placement::PredecessorPlacement;
use crate::worker::Worker;

/// Former lives of workers whose next lives may run something that this scheduler does not know, with their capacity.
#[derive(Debug, Clone, Default)]
pub(crate) struct AwaitedLives {
    former: BTreeMap<WorkerId, Resources>,
}

impl AwaitedLives {
    /// Waits for the first report of the life that follows a former one.
    pub(crate) fn insert(&mut self, former: WorkerId, capacity: Resources) {
        self.former.insert(former, capacity);
    }

    /// Records that a life has reported what runs on it. Returns whether a former life of that worker was the last one
    /// whose next life was waited for.
    pub(crate) fn life_reported(&mut self, id: &WorkerId) -> bool {
        let before = self.former.len();
        self.former.retain(|former, _| former.name() != id.name());
        before > 0 && self.former.is_empty()
    }

    /// Returns whether the next life of a worker may carry out an unknown start of a unit.
    pub(crate) fn may_carry_out(&self, placement: &PredecessorPlacement) -> bool {
        let mut former = self.former.keys();
        former.any(|id| placement.may_include(id, false))
    }

    pub(crate) fn len(&self) -> usize {
        self.former.len()
    }

    /// Returns the former lives.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &WorkerId> {
        self.former.keys()
    }

    /// Returns the capacity of the workers.
    pub(crate) fn capacities(&self) -> impl Iterator<Item = &Resources> {
        self.former.values()
    }
}

impl Scheduler {
    /// Bounds the leases that calls for former lives, or those of a predecessor, may have set on a worker that answers for
    /// the first time.
    pub(crate) fn bound_leases_at_first_answer(&mut self, key: WorkerKey, now: Millis) {
        let tells_birth = self.workers[key].spec.id.born_ms().is_some();
        let bound = now.plus(self.options.lease_bound_ms + self.next_life_extra_ms(tells_birth));
        let worker = &mut self.workers[key];
        if worker.runs.is_empty() && bound < worker.leases_expire_at {
            worker.leases_expire_at = bound;
            worker.lease_basis = LeaseBasis::FirstAnswer;
        } else if tells_birth {
            worker.extend_leases(bound, LeaseBasis::FirstAnswer);
        }
    }

    /// Returns by how much the lease of a next life may outlast the lease that a call was meant to set.
    const fn next_life_extra_ms(&self, tells_birth: bool) -> u64 {
        if tells_birth {
            let options = &self.options;
            options.max_lease_ms.saturating_sub(options.lease_bound_ms)
        } else {
            0
        }
    }

    /// Returns when leases on a worker have certainly expired, those of a next life that was never heard of included.
    pub(crate) fn unheard_leases_expire_at(&self, worker: &Worker) -> Millis {
        let extra_ms = self.next_life_extra_ms(self.may_have_restarted(worker));
        worker.leases_expire_at.plus(extra_ms)
    }

    /// Returns whether a worker may have started again unheard. One whose address is not known stands for any worker.
    fn may_have_restarted(&self, worker: &Worker) -> bool {
        let is_same_life = worker.registered && self.has_registration_outlasted_calls(worker);
        let tells_birth = worker.spec.id.born_ms().is_some();
        !is_same_life && (tells_birth || worker.spec.address.is_empty())
    }

    /// Returns whether the registration of a worker would have expired by now if the worker had ended before the latest call.
    ///
    /// That takes a list that could be read for so long: while the store is away, registrations outlive their workers.
    fn has_registration_outlasted_calls(&self, worker: &Worker) -> bool {
        let predecessor_ms = if worker.runs_known {
            0
        } else {
            self.options.authority_ms
        };
        let expires_after_ms = self.options.capacity_report_deadline_ms + predecessor_ms;
        let readable_ms = self.registrations.readable_ms;
        readable_ms.saturating_sub(worker.list_readable_at_lease_ms) >= expires_after_ms
    }

    /// Returns whether nothing of a worker that a takeover waits for can hold a lease any more.
    pub(crate) fn has_unreported_lease_expired(&self, id: &WorkerId, now: Millis) -> bool {
        let key = self.worker_keys.get(id);
        let worker = key.and_then(|key| self.workers.get(*key));
        let expires_at = match worker {
            Some(worker) if worker.runs_known => worker.leases_expire_at,
            Some(worker) => self.unheard_leases_expire_at(worker),
            None => self.unheard_predecessor_leases_expire_at(id),
        };
        expires_at <= now
    }

    /// Returns whether nothing that a predecessor started on a life that follows a former one can hold a lease any more.
    ///
    /// A life that has answered, but has more ends to report, keeps its lease by this scheduler's renewals.
    pub(crate) fn has_awaited_lease_expired(&self, former: &WorkerId, now: Millis) -> bool {
        let holds_lease = |worker: &Worker| {
            let is_next = worker.spec.id.name() == former.name();
            is_next && worker.runs_known && worker.leases_expire_at > now
        };
        let is_held = self.workers.values().any(holds_lease);
        !is_held && self.unheard_predecessor_leases_expire_at(former) <= now
    }

    /// Returns when leases have certainly expired that a predecessor may have set on a life of a worker that this scheduler
    /// never heard of.
    fn unheard_predecessor_leases_expire_at(&self, former: &WorkerId) -> Millis {
        let extra_ms = self.next_life_extra_ms(former.born_ms().is_some());
        self.recovery.leases_expired_at().plus(extra_ms)
    }
}
