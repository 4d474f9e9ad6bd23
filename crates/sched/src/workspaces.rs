//! The workspaces of a scheduler: their policies, what they have running, and what their caps still allow.
//!
//! The usage of a workspace is the sum over the runs that the workers hold, so it includes whatever may run: orders
//! that are unanswered, runs that are being stopped, and runs on workers that are silent or leave. It is summed up at the
//! beginning of each scheduling pass, and grows with each start in the pass.

use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkspaceName;
use syc_workspace::UNLIMITED;
use syc_workspace::WorkspacePolicy;

use crate::Action;
use crate::Note;
use crate::Scheduler;
use crate::ids::JobKey;
use crate::ids::WorkspaceKey;
use crate::rates::RateUse;
use crate::worker::Phase;
use crate::worker::Worker;

/// Whose usage a run counts towards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOwner {
    /// That of a workspace.
    Workspace(WorkspaceKey),
    /// Nobody's: its job belongs to no workspace.
    Nobody,
    /// That of each workspace, because its job is not known.
    Unknown,
}

/// A fault of the count of what workspaces have running, for tests of the checks that must find it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlantedUsageFault {
    /// Starts that are unanswered don't count.
    UnansweredStarts,
    /// What a predecessor may have started on workers that have not reported doesn't count.
    UnreportedWorkers,
}

/// Excess work that has waited for this long has claims like guaranteed work. Otherwise, a steady stream of small
/// guaranteed tasks could keep an excess gang from ever starting. It is longer than a short flood, during which the
/// excess work of a workspace must not hold up its guaranteed work.
const EXCESS_CLAIM_MS: u64 = 20_000;

/// A step whose next unit waits for the cap of its workspace, and what the unit needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Claim {
    job: JobKey,
    step: usize,
    need: Resources,
    /// Since when it has waited.
    since: Millis,
    /// Whether it is for excess work, which guaranteed work does not wait for.
    is_excess: bool,
}

impl Claim {
    fn is_of(&self, job: JobKey, step: usize) -> bool {
        (self.job, self.step) == (job, step)
    }
}

/// A workspace, with what it occupies and waits for in the current scheduling pass.
#[derive(Debug, Clone)]
pub(crate) struct Workspace {
    pub(crate) policy: WorkspacePolicy,
    /// What its runs occupy.
    pub(crate) used: Resources,
    /// What is reserved for its units that are about to start. It is kept over all passes.
    pub(crate) reserved: Resources,
    /// The most urgent unit that its cap did not allow. Less urgent units of the workspace leave free what it needs, so
    /// that small tasks don't keep a gang from starting.
    first_capped: Option<Claim>,
    /// A gang that was not allowed for long. All other units of the workspace leave free what it needs.
    overdue: Option<Claim>,
    /// What it has sent compared with its rate.
    pub(crate) rate_use: RateUse,
}

impl Workspace {
    const fn new(policy: WorkspacePolicy) -> Self {
        Self {
            policy,
            used: Resources::ZERO,
            reserved: Resources::ZERO,
            first_capped: None,
            overdue: None,
            rate_use: RateUse::new(),
        }
    }

    const fn begin_pass(&mut self) {
        self.used = Resources::ZERO;
        self.first_capped = None;
        self.overdue = None;
    }

    /// Returns what a unit of a step has to leave free for others that wait.
    fn claimed_by_others(&self, job: JobKey, step: usize, is_excess: bool) -> Resources {
        // Nothing goes before the overdue gang. If it left anything free, it could wait for ever.
        let own = self.overdue.filter(|claim| claim.is_of(job, step));
        if own.is_some_and(|claim| !claim.is_excess) {
            return Resources::ZERO;
        }
        // A workspace under half of its cap always moves, whatever it waits for.
        let first_capped = self.first_capped.filter(|_| !self.is_under_half());
        let claims = [first_capped, self.overdue];
        let others = claims.iter().flatten();
        let waits_for_excess = is_excess && own.is_none();
        let others = others
            .filter(|claim| !claim.is_of(job, step) && (waits_for_excess || !claim.is_excess));
        others.fold(Resources::ZERO, |sum, claim| {
            sum.saturating_add(&claim.need)
        })
    }

    fn is_under_half(&self) -> bool {
        let taken = self.used.saturating_add(&self.reserved);
        taken.saturating_mul(2).fits_in(&self.policy.cap)
    }

    /// Returns whether its cap allows a start beside `taken`, which is what others may occupy or are to get before.
    ///
    /// A task that alone exceeds the cap, because it was accepted before the cap fell, starts if nothing else runs. It
    /// would never start otherwise.
    fn allows(&self, taken: &Resources, need: &Resources, is_single: bool) -> bool {
        if taken.saturating_add(need).fits_in(&self.policy.cap) {
            return true;
        }
        is_single && *taken == Resources::ZERO && !need.fits_in(&self.policy.cap)
    }
}

/// All workspaces that are configured or that jobs belong to.
#[derive(Debug, Clone, Default)]
pub(crate) struct Workspaces {
    by_key: SlotMap<WorkspaceKey, Workspace>,
    keys: HashMap<WorkspaceName, WorkspaceKey>,
    /// Whether the policies have been set. Until then, no cap is known.
    are_set: bool,
    /// What may run for any workspace in the current pass: runs of unknown jobs, and workers that have not reported.
    unknown: Resources,
    planted_fault: Option<PlantedUsageFault>,
    /// Workspaces whose buckets have to be recomputed.
    pub(crate) to_recount: BTreeSet<WorkspaceKey>,
}

impl Workspaces {
    /// Returns the key of a workspace. One that is not configured has no cap and a weight of one.
    pub(crate) fn key_of(&mut self, name: &WorkspaceName) -> WorkspaceKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let policy = WorkspacePolicy::unlimited(name.clone());
        let key = self.by_key.insert(Workspace::new(policy));
        self.keys.insert(name.clone(), key);
        key
    }

    pub(crate) fn get(&self, key: WorkspaceKey) -> &Workspace {
        &self.by_key[key]
    }

    pub(crate) fn get_mut(&mut self, key: WorkspaceKey) -> &mut Workspace {
        &mut self.by_key[key]
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Workspace> {
        self.by_key.values_mut()
    }

    /// Iterates over all workspaces.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkspaceKey, &Workspace)> {
        self.by_key.iter()
    }

    /// Sets a policy. Returns whether it differs from the previous one.
    fn set(&mut self, policy: WorkspacePolicy) -> bool {
        let key = self.key_of(&policy.name);
        let workspace = &mut self.by_key[key];
        let differs = workspace.policy != policy;
        workspace.policy = policy;
        differs
    }

    pub(crate) fn reserve(&mut self, key: Option<WorkspaceKey>, need: &Resources) {
        if let Some(key) = key {
            let workspace = &mut self.by_key[key];
            workspace.reserved = workspace.reserved.saturating_add(need);
        }
    }

    pub(crate) fn release(&mut self, key: Option<WorkspaceKey>, need: &Resources) {
        if let Some(key) = key {
            let workspace = &mut self.by_key[key];
            workspace.reserved = workspace.reserved.saturating_sub(need);
        }
    }

    /// Counts a start in the current pass.
    pub(crate) fn consume(&mut self, key: Option<WorkspaceKey>, need: &Resources) {
        if let Some(key) = key {
            let workspace = &mut self.by_key[key];
            workspace.used = workspace.used.saturating_add(need);
        }
    }

    fn add_use(&mut self, owner: RunOwner, resources: &Resources) {
        match owner {
            RunOwner::Workspace(key) => self.consume(Some(key), resources),
            RunOwner::Unknown => self.unknown = self.unknown.saturating_add(resources),
            RunOwner::Nobody => {}
        }
    }
}

impl Scheduler {
    /// Applies the policies of a configuration.
    ///
    /// A workspace that is not among them keeps the policy that it had, since its jobs are still to be run: what is
    /// missing can't raise its cap.
    pub(crate) fn set_workspaces(&mut self, policies: Vec<WorkspacePolicy>) {
        // Jobs that were loaded before the first configuration were counted without rates.
        if !std::mem::replace(&mut self.workspaces.are_set, true) {
            let known = self.workspaces.by_key.keys();
            self.workspaces.to_recount = known.collect();
        }
        for policy in policies {
            let note = Note::WorkspaceChanged(policy.clone());
            if self.workspaces.set(policy) {
                self.actions.push(Action::Note(note));
            }
        }
    }

    /// Returns the owner of a job's runs.
    pub(crate) fn owner_of_runs(&self, job: Option<JobKey>) -> RunOwner {
        let Some(job) = job else {
            return RunOwner::Unknown;
        };
        self.jobs[job]
            .workspace
            .map_or(RunOwner::Nobody, RunOwner::Workspace)
    }

    /// Sums up at the beginning of a scheduling pass what each workspace may have running.
    pub(crate) fn measure_workspaces(&mut self) {
        if self.workspaces.by_key.is_empty() {
            return;
        }
        for workspace in self.workspaces.by_key.values_mut() {
            workspace.begin_pass();
        }
        if self.workspaces.planted_fault != Some(PlantedUsageFault::UnreportedWorkers) {
            self.workspaces.unknown = self.unreported_capacity();
        }
        for worker in self.workers.values() {
            for (owner, resources) in worker.used_by_owner() {
                self.workspaces.add_use(*owner, resources);
            }
        }
        for misdirected in &self.misdirected {
            let (owner, resources) = misdirected.usage();
            self.workspaces.add_use(owner, &resources);
        }
        if self.workspaces.planted_fault == Some(PlantedUsageFault::UnansweredStarts) {
            self.forget_unanswered_starts();
        }
    }

    /// Applies the planted fault of that name.
    fn forget_unanswered_starts(&mut self) {
        for worker in self.workers.values() {
            let runs = worker.runs.values();
            for run in runs.filter(|run| run.phase == Phase::Starting) {
                if let RunOwner::Workspace(key) = run.owner {
                    let used = &mut self.workspaces.by_key[key].used;
                    *used = used.saturating_sub(&run.requested);
                }
            }
        }
    }

    /// Plants a fault, so that tests can observe that it is found.
    #[doc(hidden)]
    pub const fn plant_usage_fault(&mut self, fault: PlantedUsageFault) {
        self.workspaces.planted_fault = Some(fault);
    }

    /// Returns whether the owner of a run has more running than its cap allows, because the cap fell.
    pub(crate) fn is_over_cap(&self, owner: RunOwner) -> bool {
        let RunOwner::Workspace(key) = owner else {
            return false;
        };
        let running = self.running_of(owner);
        !running.fits_in(&self.workspaces.get(key).policy.cap)
    }

    /// Sums up what the runs of an owner requested on all workers.
    pub(crate) fn running_of(&self, owner: RunOwner) -> Resources {
        let mut running = Resources::ZERO;
        for worker in self.workers.values() {
            let of_owner = worker.used_by_owner().iter();
            for (_, resources) in of_owner.filter(|(other, _)| *other == owner) {
                running = running.saturating_add(resources);
            }
        }
        running
    }

    /// Returns what a unit needs of its workspace's cap. Processor time that a task only fills counts too: the cap is on
    /// what runs, not on the room that it takes from others.
    pub(crate) fn cap_need(&self, job: JobKey, step: usize) -> Resources {
        let step = &self.jobs[job].steps[step];
        step.spec.resources.saturating_mul(step.members())
    }

    /// Returns whether the cap of a job's workspace allows a unit of a step to start or to get a reservation, beside what
    /// is reserved for others and claimed by them.
    pub(crate) fn cap_allows(&self, job: JobKey, step: usize) -> bool {
        self.cap_allows_beside(job, step, |workspace| {
            let is_excess = self.jobs[job].is_excess;
            let claimed = workspace.claimed_by_others(job, step, is_excess);
            workspace.reserved.saturating_add(&claimed)
        })
    }

    /// Returns whether the cap allows a unit to start beside what runs. That suffices for a unit with a reservation: if it
    /// waited for claims of others, these would wait for its reservation.
    pub(crate) fn cap_allows_start(&self, job: JobKey, step: usize) -> bool {
        self.cap_allows_beside(job, step, |_workspace| Resources::ZERO)
    }

    /// `others` is what waiting units of the workspace are to get before.
    fn cap_allows_beside<F>(&self, job: JobKey, step: usize, others: F) -> bool
    where
        F: Fn(&Workspace) -> Resources,
    {
        let Some(key) = self.jobs[job].workspace else {
            return true;
        };
        if !self.workspaces.are_set {
            return false;
        }
        let workspace = &self.workspaces.by_key[key];
        if workspace.policy.cap == UNLIMITED {
            return true;
        }
        let taken = workspace.used.saturating_add(&others(workspace));
        let taken = taken.saturating_add(&self.workspaces.unknown);
        let is_single = !self.jobs[job].steps[step].spec.gang;
        workspace.allows(&taken, &self.cap_need(job, step), is_single)
    }

    /// Keeps what a unit needs of its workspace's cap free of less urgent units in the current pass, unless that is done
    /// for a more urgent one.
    pub(crate) fn claim_cap(&mut self, job: JobKey, step: usize, now: Millis) {
        let has_claim = |workspace: &Workspace| workspace.first_capped.is_some();
        if let Some((key, claim)) = self.new_claim(job, step, has_claim, now) {
            self.workspaces.by_key[key].first_capped = Some(claim);
        }
    }

    /// Keeps what a gang needs of its workspace's cap free of all others in the current pass, unless one has waited
    /// longer.
    pub(crate) fn claim_cap_first(&mut self, job: JobKey, step: usize, now: Millis) {
        let since = self.jobs[job].steps[step].claims_since.unwrap_or(now);
        let is_excess = self.claims_as_excess(job, step, now);
        let has_claim = |workspace: &Workspace| {
            let overdue = workspace.overdue;
            overdue.is_some_and(|claim| (claim.is_excess, claim.since) <= (is_excess, since))
        };
        if let Some((key, claim)) = self.new_claim(job, step, has_claim, now) {
            self.workspaces.by_key[key].overdue = Some(claim);
        }
    }

    /// Returns whether a unit's claim holds back only excess work.
    fn claims_as_excess(&self, job: JobKey, step: usize, now: Millis) -> bool {
        let ready_at = self.jobs[job].steps[step].ready_at.unwrap_or(now);
        self.jobs[job].is_excess && now.since(ready_at) < EXCESS_CLAIM_MS
    }

    /// Returns the claim of a unit. There is none if the unit can't start under the cap at all or on no worker, since
    /// nothing would ever end the claim.
    fn new_claim<C>(
        &self,
        job: JobKey,
        step: usize,
        is_claimed: C,
        now: Millis,
    ) -> Option<(WorkspaceKey, Claim)>
    where
        C: Fn(&Workspace) -> bool,
    {
        let key = self.jobs[job].workspace?;
        let workspace = &self.workspaces.by_key[key];
        let need = self.cap_need(job, step);
        if is_claimed(workspace) || !need.fits_in(&workspace.policy.cap) {
            return None;
        }
        let since = self.jobs[job].steps[step].claims_since.unwrap_or(now);
        let claim = Claim {
            job,
            step,
            need,
            since,
            is_excess: self.claims_as_excess(job, step, now),
        };
        self.is_runnable(job, step, now).then_some((key, claim))
    }

    /// Returns whether some usable worker could run a task of a step if it were idle.
    fn is_runnable(&self, job: JobKey, step: usize, now: Millis) -> bool {
        let of_job = &self.jobs[job];
        let spec = &of_job.steps[step].spec;
        let need = spec.reserved_resources();
        let eligible = self.eligible_workers(spec.required_label.as_ref(), of_job, now);
        let mut eligible = eligible.iter();
        eligible.any(|key| need.fits_in(&self.workers[*key].spec.capacity))
    }

    /// Returns whether what the workspaces and the workers count agrees with the runs and the reservations.
    pub(crate) fn has_consistent_usage(&self) -> bool {
        let mut reserved = Resources::ZERO;
        for (unit_ref, unit) in self.open_units() {
            let is_counted = self.jobs[unit_ref.job].workspace.is_some();
            if is_counted && unit.reservation.is_some() {
                reserved = reserved.saturating_add(&self.cap_need(unit_ref.job, unit_ref.step));
            }
        }
        let mut counted = Resources::ZERO;
        for (_, workspace) in self.workspaces.iter() {
            counted = counted.saturating_add(&workspace.reserved);
        }
        let mut workers = self.workers.values();
        reserved == counted && workers.all(Worker::has_consistent_usage)
    }
}
