//! Standby pools: VMs are moved to services that lack capacity for their waiting tasks, and returned when idle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;

use crate::Action;
use crate::Note;
use crate::Scheduler;
use crate::VmNote;
use crate::VmOperation;
use crate::VmOrderAnswer;
use crate::VmState;

/// A service gets VMs after lacking capacity for this long. A move takes longer than most bursts of small tasks, and
/// has to be paid for.
const SHORTAGE_MS: u64 = 1_000;

/// A borrowed VM is returned after it was idle for this long while half of the service's capacity is available.
const IDLE_MS: u64 = 10_000;

/// Maximum number of VMs that are being moved at the same time.
const CONCURRENT_MOVES_LIMIT: usize = 6;

/// A completed move shows up in a VM list within this time. Otherwise it did not take place.
const MOVE_TIMEOUT_MS: u64 = 10_000;

/// A VM that is being moved to a pool.
#[derive(Debug, Clone)]
struct PendingMove {
    pool: ServiceName,
    ordered_at: Millis,
    /// Whether the latest order is unanswered.
    awaiting_answer: bool,
    /// When the platform reported the move as done.
    done_at: Option<Millis>,
}

/// The state of services and their VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pools {
    standby: BTreeSet<ServiceName>,
    /// Since when each service has lacked capacity.
    lacking_since: BTreeMap<ServiceName, Millis>,
    pending_moves: BTreeMap<VmId, PendingMove>,
    /// VMs borrowed from a standby pool, with that pool.
    borrowed: BTreeMap<VmId, ServiceName>,
    idle_since: BTreeMap<VmId, Millis>,
    /// VMs that can't be moved to a pool.
    ineligible: BTreeSet<(VmId, ServiceName)>,
}

/// The demand of a service, and the capacity of its workers.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    waiting: Resources,
    free: Resources,
    capacity: Resources,
}

impl Scheduler {
    pub(crate) fn set_standby_pools(&mut self, services: Vec<ServiceName>) {
        self.pools.standby = services.into_iter().collect();
    }

    /// Moves VMs to services that lack capacity, and returns idle ones.
    pub(crate) fn balance_pools(&mut self, now: Millis) {
        if self.pools.standby.is_empty() || !self.recovery.is_complete() {
            return;
        }
        let demands = self.demands(now);
        let lacks = |demand: &Demand| !demand.waiting.fits_in(&demand.free);
        let is_quiet = self.pools.pending_moves.is_empty() && self.pools.borrowed.is_empty();
        if is_quiet && !demands.values().any(lacks) {
            self.pools.lacking_since.clear();
            return;
        }
        self.request_vm_list(now);
        if !self.vms.can_order(now) {
            return;
        }
        self.finish_moves(now);
        for (service, demand) in &demands {
            if lacks(demand) {
                self.borrow_vms(service, demand, now);
            } else {
                self.pools.lacking_since.remove(service);
            }
        }
        self.return_idle_vms(&demands, now);
        self.retry_moves(now);
    }

    /// Sums up the waiting tasks and the capacity of each service. VMs being moved to it count as free.
    fn demands(&self, now: Millis) -> BTreeMap<ServiceName, Demand> {
        let mut demands: BTreeMap<ServiceName, Demand> = BTreeMap::new();
        for worker in self.workers.values() {
            if !worker.is_usable(now) {
                continue;
            }
            let demand = demands.entry(worker.spec.service.clone()).or_default();
            demand.free = demand.free.saturating_add(&worker.available());
            demand.capacity = demand.capacity.saturating_add(&worker.spec.capacity);
        }
        for (vm, pending) in &self.pools.pending_moves {
            let Some(info) = self.vms.known.get(vm) else {
                continue;
            };
            let demand = demands.entry(pending.pool.clone()).or_default();
            demand.free = demand.free.saturating_add(&info.capacity);
        }
        for key in &self.open_jobs {
            let job = &self.jobs[*key];
            for (index, step) in job.steps.iter().enumerate() {
                if step.pending_units == 0 || !job.is_ready(index, now) {
                    continue;
                }
                let tasks = step.pending_units.saturating_mul(step.members());
                let waiting = step.spec.reserved_resources().saturating_mul(tasks);
                let service = job.spec.policy.service.clone();
                let demand = demands.entry(service).or_default();
                demand.waiting = demand.waiting.saturating_add(&waiting);
            }
        }
        demands.retain(|service, _| !self.pools.standby.contains(service));
        demands
    }

    /// Removes moves that the VM list confirms, and those that did not take place in time.
    fn finish_moves(&mut self, now: Millis) {
        let vms = &self.vms;
        self.pools.pending_moves.retain(|vm, pending| {
            let Some(done_at) = pending.done_at else {
                return vms.known.contains_key(vm);
            };
            let seen = vms.seen_since(vm, done_at);
            let has_arrived =
                seen.is_some_and(|info| info.pool == pending.pool && info.state == VmState::Up);
            !has_arrived && now.since(done_at) < MOVE_TIMEOUT_MS
        });
    }

    fn borrow_vms(&mut self, service: &ServiceName, demand: &Demand, now: Millis) {
        let since = *self
            .pools
            .lacking_since
            .entry(service.clone())
            .or_insert(now);
        if now.since(since) < SHORTAGE_MS {
            return;
        }
        let mut lacking = demand.waiting.saturating_sub(&demand.free);
        let candidates: Vec<_> = self
            .vms
            .known
            .values()
            .filter(|info| info.state == VmState::Up && self.pools.standby.contains(&info.pool))
            .cloned()
            .collect();
        for info in candidates {
            let is_busy = self.pools.pending_moves.contains_key(&info.id);
            let is_ineligible = self
                .pools
                .ineligible
                .contains(&(info.id.clone(), service.clone()));
            if is_busy || is_ineligible {
                continue;
            }
            if self.pools.pending_moves.len() >= CONCURRENT_MOVES_LIMIT
                || lacking == Resources::ZERO
            {
                return;
            }
            lacking = lacking.saturating_sub(&info.capacity);
            self.pools
                .borrowed
                .insert(info.id.clone(), info.pool.clone());
            self.note_pool_change(service, &info.id, demand, true);
            self.order_move(info.id, service.clone(), now);
        }
    }

    /// Returns borrowed VMs that have been idle for long enough.
    fn return_idle_vms(&mut self, demands: &BTreeMap<ServiceName, Demand>, now: Millis) {
        let borrowed: Vec<_> = self.pools.borrowed.clone().into_iter().collect();
        for (vm, home) in borrowed {
            if self.pools.pending_moves.contains_key(&vm) {
                continue;
            }
            let Some(worker) = self.worker_on(&vm) else {
                continue;
            };
            let of_worker = &self.workers[worker];
            let demand = demands.get(&of_worker.spec.service).copied();
            let demand = demand.unwrap_or_default();
            let half_free = demand.capacity.fits_in(&demand.free.saturating_mul(2));
            if !of_worker.runs.is_empty() || !half_free {
                self.pools.idle_since.remove(&vm);
                continue;
            }
            let since = *self.pools.idle_since.entry(vm.clone()).or_insert(now);
            if now.since(since) < IDLE_MS {
                continue;
            }
            let service = of_worker.spec.service.clone();
            self.workers[worker].evacuating = true;
            self.pools.borrowed.remove(&vm);
            self.pools.idle_since.remove(&vm);
            self.note_pool_change(&service, &vm, &demand, false);
            self.order_move(vm, home, now);
        }
    }

    fn note_pool_change(&mut self, service: &ServiceName, vm: &VmId, demand: &Demand, comes: bool) {
        let note = VmNote::PoolChange {
            service: service.clone(),
            vm: vm.clone(),
            comes,
            waiting_cpu_millis: demand.waiting.cpu_millis,
            free_cpu_millis: demand.free.cpu_millis,
        };
        self.actions.push(Action::Note(Note::Vm(note)));
    }

    fn order_move(&mut self, vm: VmId, pool: ServiceName, now: Millis) {
        let pending = PendingMove {
            pool: pool.clone(),
            ordered_at: now,
            awaiting_answer: true,
            done_at: None,
        };
        self.pools.pending_moves.insert(vm.clone(), pending);
        self.actions.push(Action::OrderVm {
            vm,
            operation: VmOperation::Move { pool },
        });
    }

    fn retry_moves(&mut self, now: Millis) {
        let mut retries = Vec::new();
        for (vm, pending) in &self.pools.pending_moves {
            let is_unanswered = pending.done_at.is_none() && !pending.awaiting_answer;
            if is_unanswered && now.since(pending.ordered_at) >= self.options.order_retry_ms {
                retries.push((vm.clone(), pending.pool.clone()));
            }
        }
        for (vm, pool) in retries {
            self.order_move(vm, pool, now);
        }
    }

    /// Handles the answer to an order to move a VM to a pool.
    pub(crate) fn move_answered(
        &mut self,
        vm: &VmId,
        pool: &ServiceName,
        answer: VmOrderAnswer,
        now: Millis,
    ) {
        let Some(pending) = self.pools.pending_moves.get_mut(vm) else {
            return;
        };
        pending.awaiting_answer = false;
        match answer {
            VmOrderAnswer::Done => pending.done_at = Some(now),
            VmOrderAnswer::Busy | VmOrderAnswer::InDoubt => {}
            VmOrderAnswer::NotApplicable => {
                self.pools.ineligible.insert((vm.clone(), pool.clone()));
                self.pools.pending_moves.remove(vm);
                self.pools.borrowed.remove(vm);
                self.cancel_evacuation(vm);
            }
        }
    }
}
