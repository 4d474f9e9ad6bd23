//! The VMs that workers run on, as last listed by the platform.

use std::collections::BTreeMap;

use syc_types::Millis;
use syc_types::VmId;

use crate::Action;
use crate::Scheduler;
use crate::StepId;
use crate::StepSpec;
use crate::StopReason;
use crate::VmInfo;
use crate::WorkerKey;
use crate::worker::Phase;

/// How often VMs are listed while there is something to do with them.
const LIST_INTERVAL_MS: u64 = 500;

/// A list that was requested and has not arrived is requested again after this time, and an older list is not acted
/// on.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// The known state of the VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct VmInventory {
    pub(crate) known: BTreeMap<VmId, VmInfo>,
    /// When the latest received list was requested.
    pub(crate) listed_at: Option<Millis>,
    asked_at: Option<Millis>,
    /// No orders about VMs are sent before this time, when those of a predecessor are no longer recent.
    pub(crate) orders_allowed_from: Millis,
}

impl VmInventory {
    /// Returns whether the list is recent enough to act on, and no orders of a predecessor are recent.
    pub(crate) fn can_order(&self, now: Millis) -> bool {
        let listed_at = self.listed_at;
        let is_fresh = listed_at.is_some_and(|at| now.since(at) < LIST_TIMEOUT_MS);
        is_fresh && now >= self.orders_allowed_from
    }

    /// Returns the state of a VM if the latest list was requested after `since`.
    pub(crate) fn seen_since(&self, id: &VmId, since: Millis) -> Option<&VmInfo> {
        let listed_at = self.listed_at?;
        self.known.get(id).filter(|_| listed_at > since)
    }
}

impl Scheduler {
    /// Requests the list of VMs if the last one is old.
    pub(crate) fn request_vm_list(&mut self, now: Millis) {
        let vms = &mut self.vms;
        let waits = vms
            .asked_at
            .is_some_and(|at| now.since(at) < LIST_TIMEOUT_MS);
        let fresh = vms
            .listed_at
            .is_some_and(|at| now.since(at) < LIST_INTERVAL_MS);
        if waits || fresh {
            return;
        }
        vms.asked_at = Some(now);
        self.actions.push(Action::ListVms { asked_at: now });
    }

    pub(crate) fn vms_listed(&mut self, asked_at: Millis, listed: Option<Vec<VmInfo>>) {
        // A list that arrives late answers an earlier request. Dated by the latest request, it would show a VM as back
        // up that has only just gone down, and the next VM of its wave would be taken down too.
        if self.vms.asked_at == Some(asked_at) {
            self.vms.asked_at = None;
        }
        let Some(listed) = listed else {
            return;
        };
        if self.vms.listed_at > Some(asked_at) {
            return;
        }
        self.vms.listed_at = Some(asked_at);
        let listed = listed.into_iter().map(|vm| (vm.id.clone(), vm));
        self.vms.known = listed.collect();
    }

    /// Returns the registered worker on a VM.
    pub(crate) fn worker_on(&self, vm: &VmId) -> Option<WorkerKey> {
        let mut workers = self.workers.iter();
        let found =
            workers.find(|(_, worker)| worker.registered && worker.spec.vm.as_ref() == Some(vm));
        found.map(|(key, _)| key)
    }

    /// Moves the work off a worker. Checkpointed runs continue elsewhere, long-running ones are restarted elsewhere
    /// within the limit of their step, and the rest may complete. Returns whether nothing is left.
    pub(crate) fn evacuate_worker(&mut self, key: WorkerKey, now: Millis) -> bool {
        self.workers[key].evacuating = true;
        let mut checkpointed = Vec::new();
        let mut long_running = Vec::new();
        for ((task, run), of_run) in &self.workers[key].runs {
            if of_run.phase != Phase::Running {
                continue;
            }
            if of_run.checkpointed {
                checkpointed.push((*task, *run));
            } else if of_run.long_running {
                long_running.push((*task, *run));
            }
        }
        for (task, run) in checkpointed {
            self.stop_run(key, task, run, StopReason::Evacuating, now);
        }
        for (task, run) in long_running {
            if self.may_interrupt(task.step, 1) {
                self.stop_run(key, task, run, StopReason::Evacuating, now);
            }
        }
        self.workers[key].runs.is_empty()
    }

    /// Returns whether the runs left on a worker may be ended together with the VM.
    pub(crate) fn may_end_rest(&self, key: WorkerKey) -> bool {
        let mut steps: BTreeMap<_, u32> = BTreeMap::new();
        for (task, _) in self.workers[key].runs.keys() {
            *steps.entry(task.step).or_default() += 1;
        }
        self.may_interrupt_all(steps)
    }

    /// Returns whether all long-running tasks that serve on a worker may be unavailable for a while.
    pub(crate) fn may_end_serving(&self, key: WorkerKey) -> bool {
        let mut steps: BTreeMap<_, u32> = BTreeMap::new();
        for ((task, _), run) in &self.workers[key].runs {
            if run.is_in_service() {
                *steps.entry(task.step).or_default() += 1;
            }
        }
        self.may_interrupt_all(steps)
    }

    /// Returns whether these numbers of tasks may be taken out of service now, counting only steps with a limit.
    fn may_interrupt_all(&self, steps: BTreeMap<StepId, u32>) -> bool {
        let is_bounded = |step| {
            let spec = self.step_spec(step);
            spec.is_some_and(|spec| spec.unavailable_limit.is_some())
        };
        steps
            .into_iter()
            .all(|(step, count)| !is_bounded(step) || self.may_interrupt(step, count))
    }

    /// Lets a worker get work again.
    pub(crate) fn cancel_evacuation(&mut self, vm: &VmId) {
        if let Some(key) = self.worker_on(vm) {
            self.workers[key].evacuating = false;
        }
    }

    /// Returns the specification of a step of a known job.
    fn step_spec(&self, step: StepId) -> Option<&StepSpec> {
        let job = &self.jobs[*self.job_keys.get(&step.job)?];
        let of_step = job.steps.get(job.step_index(step)?)?;
        Some(&of_step.spec)
    }

    /// Returns whether `count` tasks of a step may be taken out of service now. Steps without a limit of their own
    /// allow one at a time.
    fn may_interrupt(&self, step: StepId, count: u32) -> bool {
        let Some(spec) = self.step_spec(step) else {
            return true;
        };
        let mut in_service = 0;
        for worker in self.workers.values() {
            // The last report of a silent worker may be as old as its lease, and nobody is served there meanwhile.
            // Runs on a worker whose lease is deliberately left to expire are about to end.
            if worker.silent || worker.breaker.withholds_lease {
                continue;
            }
            let runs = worker.runs_of(step);
            let serving = runs.filter(|(_, run)| run.is_in_service());
            in_service += u32::try_from(serving.count()).unwrap_or(u32::MAX);
        }
        let unavailable = spec.tasks.saturating_sub(in_service);
        let limit = spec.unavailable_limit.unwrap_or(1);
        unavailable.saturating_add(count) <= limit
    }
}
