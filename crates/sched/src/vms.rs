//! The VMs under the workers, as the platform listed them last.

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

/// While something is to be done with VMs, they are listed this often.
const LIST_INTERVAL_MS: u64 = 500;

/// A list that was asked for and did not come is asked for again after this time; one that is older says
/// nothing any more.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// What is known of the VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct VmInventory {
    pub(crate) known: BTreeMap<VmId, VmInfo>,
    /// When the latest list was asked for that has come.
    pub(crate) listed_at: Option<Millis>,
    asked_at: Option<Millis>,
    /// No orders about VMs before this time: a predecessor's must be old by then.
    pub(crate) orders_allowed_from: Millis,
}

impl VmInventory {
    /// Says whether the list is young enough to act on, and no predecessor's orders are.
    pub(crate) fn can_order(&self, now: Millis) -> bool {
        let listed_at = self.listed_at;
        let is_fresh = listed_at.is_some_and(|at| now.since(at) < LIST_TIMEOUT_MS);
        is_fresh && now >= self.orders_allowed_from
    }

    /// Returns what a VM is doing, where the platform listed it since a time.
    pub(crate) fn seen_since(&self, id: &VmId, since: Millis) -> Option<&VmInfo> {
        let listed_at = self.listed_at?;
        self.known.get(id).filter(|_| listed_at > since)
    }
}

impl Scheduler {
    /// Asks for the list of VMs if the last one is old.
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
        // An earlier list that comes late answers an earlier question: dated by the latest one, it would show a
        // VM as back that has only just gone down, and the next one of its wave would follow.
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

    /// Returns the worker on a VM.
    pub(crate) fn worker_on(&self, vm: &VmId) -> Option<WorkerKey> {
        let mut workers = self.workers.iter();
        let found =
            workers.find(|(_, worker)| worker.registered && worker.spec.vm.as_ref() == Some(vm));
        found.map(|(key, _)| key)
    }

    /// Moves the work off a worker: what is saved goes on elsewhere, what lasts is started elsewhere as
    /// far as its users can bear it, the rest may end. Says whether nothing is left.
    pub(crate) fn evacuate_worker(&mut self, key: WorkerKey, now: Millis) -> bool {
        self.workers[key].evacuating = true;
        let mut saved = Vec::new();
        let mut lasting = Vec::new();
        for ((task, run), of_run) in &self.workers[key].runs {
            if of_run.phase != Phase::Running {
                continue;
            }
            if of_run.checkpointed {
                saved.push((*task, *run));
            } else if of_run.long_running {
                lasting.push((*task, *run));
            }
        }
        for (task, run) in saved {
            self.stop_run(key, task, run, StopReason::Emptying, now);
        }
        for (task, run) in lasting {
            if self.may_interrupt(task.step, 1) {
                self.stop_run(key, task, run, StopReason::Emptying, now);
            }
        }
        self.workers[key].runs.is_empty()
    }

    /// Says whether what is left on a worker may be ended with the VM.
    pub(crate) fn may_end_rest(&self, key: WorkerKey) -> bool {
        let mut steps: BTreeMap<_, u32> = BTreeMap::new();
        for (task, _) in self.workers[key].runs.keys() {
            *steps.entry(task.step).or_default() += 1;
        }
        self.may_interrupt_all(steps)
    }

    /// Says whether all that serves on a worker may be missing for a while.
    pub(crate) fn may_end_serving(&self, key: WorkerKey) -> bool {
        let mut steps: BTreeMap<_, u32> = BTreeMap::new();
        for ((task, _), run) in &self.workers[key].runs {
            if run.is_in_service() {
                *steps.entry(task.step).or_default() += 1;
            }
        }
        self.may_interrupt_all(steps)
    }

    /// Says whether so many tasks of each of these steps may be taken out of service now, where their number has
    /// a bound.
    fn may_interrupt_all(&self, steps: BTreeMap<StepId, u32>) -> bool {
        let is_bounded = |step| {
            let spec = self.step_spec(step);
            spec.is_some_and(|spec| spec.unavailable_limit.is_some())
        };
        steps
            .into_iter()
            .all(|(step, count)| !is_bounded(step) || self.may_interrupt(step, count))
    }

    /// Lets a worker have work again.
    pub(crate) fn cancel_evacuation(&mut self, vm: &VmId) {
        if let Some(key) = self.worker_on(vm) {
            self.workers[key].evacuating = false;
        }
    }

    /// Returns a step of a job that has not ended for good.
    fn step_spec(&self, step: StepId) -> Option<&StepSpec> {
        let job = &self.jobs[*self.job_keys.get(&step.job)?];
        let of_step = job.steps.get(job.step_index(step)?)?;
        Some(&of_step.spec)
    }

    /// Says whether so many tasks of a step may be taken out of service now. Without a bound of its
    /// own, one is at a time.
    fn may_interrupt(&self, step: StepId, count: u32) -> bool {
        let Some(spec) = self.step_spec(step) else {
            return true;
        };
        let mut in_service = 0;
        for worker in self.workers.values() {
            // What a silent one told last may be as old as its lease, and nobody is served there meanwhile; what
            // runs on one whose lease is let lapse ends.
            if worker.silent || worker.contact.withholds_lease {
                continue;
            }
            let runs = worker.runs_of(step);
            let serving = runs.filter(|(_, run)| run.is_in_service());
            in_service += u32::try_from(serving.count()).unwrap_or(u32::MAX);
        }
        let away = spec.tasks.saturating_sub(in_service);
        let limit = spec.unavailable_limit.unwrap_or(1);
        away.saturating_add(count) <= limit
    }
}
