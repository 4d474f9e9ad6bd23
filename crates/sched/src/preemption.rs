//! Preemption: which runs are stopped for more urgent work, and when waiting for them to end is better.
//!
//! Load pattern: workers that are nearly full, with urgent work among patient work. A stop takes up to a second, throws
//! away the work since the last checkpoint, and what was stopped has to be started and restored again. So a run is stopped
//! only if the unit can't wait for runs to end by themselves and can start once the run has been stopped, and the runs
//! with the least loss are stopped.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::Resources;

use crate::Run;
use crate::Scheduler;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::headroom::URGENT_PRIORITY;
use crate::ids::JobKey;
use crate::ids::WorkspaceKey;
use crate::run_ends::UnitRef;
use crate::run_times::chain_after_ms;
use crate::stop_budget::StopBudget;
use crate::waiting::EXPIRY_FACTOR;
use crate::waiting::WaitingStep;
use crate::worker::Phase;
use crate::worker::WorkerRun;
use crate::worker::fit_count;
use crate::workspaces::RunOwner;

/// Time that a resumed run takes to restore its checkpoint: the middle of the 100 to 600 ms seen on deployments.
const RESTORE_MS: u64 = 300;

/// Duration of a stop that is assumed until one has been measured.
const INITIAL_STOP_MS: u64 = 300;

/// Divisor of a sample's weight in the moving average of the duration of stops.
const STOP_SMOOTHING_DIVISOR: u64 = 8;

/// Longest time for which capacity is reserved for a gang until runs end by themselves. With 500 ms, 2% to 5% fewer gangs met their
/// objective in the replay at 87% load; with 3 s, urgent tasks lacked the capacity that gangs were holding.
const MAX_GANG_WAIT_MS: u64 = 1_000;

/// Shortest time for which it is. Each longer one that is considered is twice as long.
const MIN_GANG_WAIT_MS: u64 = 250;

/// How long an adopted run is protected: its predecessor may just have resumed it, and the age of its checkpoint is
/// unknown.
const ADOPTED_PROTECTION_MS: u64 = 1_000;

/// What preemption has done since the scheduler began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PreemptionCounts {
    /// Units that runs were stopped for.
    pub units: u64,
    /// Runs that were stopped.
    pub stops: u64,
    /// Reservations of such units that were released without a start.
    pub unused_reservations: u64,
}

/// State of preemption.
#[derive(Debug, Clone)]
pub(crate) struct Preemption {
    pub(crate) counts: PreemptionCounts,
    pub(crate) budget: StopBudget,
    /// Moving average of the time from the order to stop a run to its end.
    stop_ms: u64,
    pass: Pass,
}

impl Default for Preemption {
    fn default() -> Self {
        Self {
            counts: PreemptionCounts::default(),
            budget: StopBudget::default(),
            stop_ms: INITIAL_STOP_MS,
            pass: Pass::default(),
        }
    }
}

impl Preemption {
    /// Records how long a stop took, from the order to the end of the run.
    pub(crate) const fn record_stop(&mut self, took_ms: u64) {
        let kept = self.stop_ms * (STOP_SMOOTHING_DIVISOR - 1);
        self.stop_ms = (kept + took_ms) / STOP_SMOOTHING_DIVISOR;
    }
}

/// What is known during one scheduling pass.
#[derive(Debug, Clone, Default)]
struct Pass {
    at: Millis,
    /// Capacity of runs about to end that units wait for. Otherwise all of them would wait for the same ends.
    awaited: BTreeMap<WorkerKey, Resources>,
    /// Workspaces over their share of the workers.
    over_share: BTreeSet<WorkspaceKey>,
}

/// What a waiting unit needs, and how urgently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    priority: u32,
    /// How long it can wait and still meet its objective.
    slack_ms: u64,
    /// Whether completing it is of no value any more.
    is_expired: bool,
    /// Whether it is of the highest priority, which the budget does not bind.
    is_urgent: bool,
    /// Whether the budget is spent, so that only preferred victims may be stopped.
    is_restricted: bool,
}

/// A run that may be stopped.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    name: (TaskId, Run),
    resources: Resources,
    loss: Loss,
}

/// What is lost by stopping runs; the least is stopped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Loss {
    /// Number of runs that miss the objective of their job because of the stop.
    missed_objectives: u32,
    /// Number of runs that are not preferred and whose workspace is within its share.
    within_share: u32,
    /// Processor time, in thousandths of a core times milliseconds: the work since the last checkpoint, the stop and the
    /// restore.
    cpu_time: u64,
}

impl Loss {
    const fn plus(self, other: Self) -> Self {
        Self {
            missed_objectives: self.missed_objectives + other.missed_objectives,
            within_share: self.within_share + other.within_share,
            cpu_time: self.cpu_time.saturating_add(other.cpu_time),
        }
    }
}

/// The runs to stop on a worker, and the loss.
#[derive(Debug, Clone, Default)]
pub(crate) struct Victims {
    pub(crate) runs: Vec<(TaskId, Run)>,
    loss: Loss,
}

impl Victims {
    fn of(candidates: &[Candidate]) -> Self {
        let mut victims = Self::default();
        for candidate in candidates {
            victims.runs.push(candidate.name);
            victims.loss = victims.loss.plus(candidate.loss);
        }
        victims
    }
}

/// Selects the runs with the least loss whose end makes room, as `has_room` tells from what they free. The result is
/// empty if nothing has to stop.
fn select_victims<F>(mut candidates: Vec<Candidate>, has_room: F) -> Option<Victims>
where
    F: Fn(&Resources) -> bool,
{
    candidates.sort_by_key(|candidate| (candidate.loss, candidate.name));
    let mut freed = Resources::ZERO;
    let mut chosen: Vec<Candidate> = Vec::new();
    for candidate in &candidates {
        if has_room(&freed) {
            break;
        }
        freed = freed.saturating_add(&candidate.resources);
        chosen.push(*candidate);
    }
    if !has_room(&freed) {
        return None;
    }
    // Runs chosen first may be unnecessary beside a larger one that was chosen later.
    for index in (0..chosen.len()).rev() {
        let without = freed.saturating_sub(&chosen[index].resources);
        if has_room(&without) {
            freed = without;
            chosen.remove(index);
        }
    }
    let together = Victims::of(&chosen);
    let alone = candidates
        .iter()
        .find(|candidate| has_room(&candidate.resources));
    let alone = alone.map(|candidate| Victims::of(&[*candidate]));
    Some(match alone {
        Some(alone) if alone.loss < together.loss => alone,
        _ => together,
    })
}

/// Selects the fewest runs by stopping the largest ones first, whatever is lost.
fn select_largest<F>(mut candidates: Vec<Candidate>, has_room: F) -> Option<Victims>
where
    F: Fn(&Resources) -> bool,
{
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.resources.cpu_millis));
    let mut freed = Resources::ZERO;
    let mut victims = Victims::default();
    for candidate in candidates {
        if has_room(&freed) {
            break;
        }
        freed = freed.saturating_add(&candidate.resources);
        victims.runs.push(candidate.name);
        victims.loss.cpu_time += 1;
    }
    has_room(&freed).then_some(victims)
}

impl WorkerRun {
    /// Returns whether it is protected because it has not made up for an earlier stop yet: it has run as long as the stop
    /// and the restore took, or saved a new checkpoint.
    fn is_protected(&self, stop_ms: u64, now: Millis) -> bool {
        if !self.resumed || self.checkpoint_at.is_some() {
            return false;
        }
        let is_adopted = self.start_copies == 0;
        let protection_ms = if is_adopted {
            ADOPTED_PROTECTION_MS
        } else {
            RESTORE_MS + stop_ms + RESTORE_MS
        };
        now.since(self.held_since) < protection_ms
    }

    /// Returns the time that is lost if it is stopped.
    fn loss_ms(&self, stop_ms: u64, now: Millis) -> u64 {
        let saved_at = self.checkpoint_at.unwrap_or(self.held_since);
        now.since(saved_at) + stop_ms + RESTORE_MS
    }
}

impl Scheduler {
    /// Returns what preemption has done so far.
    #[must_use]
    pub const fn preemption_counts(&self) -> PreemptionCounts {
        self.preemption.counts
    }

    /// Begins a scheduling pass over the waiting steps.
    pub(crate) fn begin_preemption_pass(&mut self, waiting: &[WaitingStep], now: Millis) {
        let workspaces: BTreeSet<_> = waiting.iter().filter_map(|step| step.workspace).collect();
        let over_share = if workspaces.is_empty() {
            BTreeSet::new()
        } else {
            self.over_share(&workspaces)
        };
        self.preemption.pass = Pass {
            at: now,
            awaited: BTreeMap::new(),
            over_share,
        };
    }

    /// Returns how urgently the next unit of a step needs room.
    pub(crate) fn demand_of(&self, job: JobKey, step: usize) -> Demand {
        let now = self.preemption.pass.at;
        let of_job = &self.jobs[job];
        let passed_ms = now.since(of_job.objective_from(step));
        let expires_after_ms = of_job.objective_ms.saturating_mul(EXPIRY_FACTOR);
        let run_ms = self.expected_median_ms(job, step) + chain_after_ms(of_job, step);
        let used_ms = passed_ms.saturating_add(run_ms);
        let is_long_running = of_job.steps[step].spec.long_running;
        let is_urgent = of_job.spec.policy.priority == URGENT_PRIORITY;
        Demand {
            priority: of_job.spec.policy.priority,
            slack_ms: if is_long_running {
                0
            } else {
                of_job.objective_ms.saturating_sub(used_ms)
            },
            is_expired: !is_long_running && passed_ms > expires_after_ms,
            is_restricted: !is_urgent && self.preemption.budget.left(now) == 0,
            is_urgent,
        }
    }

    /// Returns the runs on a worker to stop so that `need` fits; none if that is not possible or not worth it.
    pub(crate) fn find_victims(
        &self,
        key: WorkerKey,
        need: &Resources,
        demand: &Demand,
        within_ms: u64,
    ) -> Option<Victims> {
        let worker = &self.workers[key];
        let by_itself = self.freed_by_itself(key, within_ms);
        let has_room = |freed: &Resources| {
            let freed = freed.saturating_add(&by_itself);
            need.fits_in(&worker.available_without(&freed))
        };
        if has_room(&Resources::ZERO) {
            return Some(Victims::default());
        }
        let candidates = self.candidates_on(key, demand);
        if self.options.weigh_preemption {
            select_victims(candidates, has_room)
        } else {
            select_largest(candidates, has_room)
        }
    }

    /// Returns the runs on a worker that may be stopped: checkpointed ones of lower urgency.
    ///
    /// Members of gangs are never stopped: stopping one ends the whole gang, which needs room on all its workers at once
    /// to continue. Making room for single tasks would cost a gang's work again and again.
    fn candidates_on(&self, key: WorkerKey, demand: &Demand) -> Vec<Candidate> {
        let now = self.preemption.pass.at;
        let stop_ms = self.preemption.stop_ms;
        let mut candidates = Vec::new();
        for (name, run) in &self.workers[key].runs {
            let is_preemptible = run.checkpointed && !run.gang && run.phase == Phase::Running;
            if !is_preemptible || run.priority <= demand.priority {
                continue;
            }
            let mut loss = Loss::default();
            if self.options.weigh_preemption {
                let left_ms = self.expected_remaining_ms(key, *name, now);
                let ends_sooner = left_ms.is_some_and(|ms| ms <= stop_ms);
                let is_preferred = self.is_preferred_victim(name.0);
                let is_excluded = demand.is_expired || demand.is_restricted && !is_preferred;
                if is_excluded || ends_sooner || run.is_protected(stop_ms, now) {
                    continue;
                }
                loss = self.loss_of(run, name.0, left_ms, is_preferred);
            }
            candidates.push(Candidate {
                name: *name,
                resources: run.resources,
                loss,
            });
        }
        candidates
    }

    /// Returns what is lost by stopping a run.
    fn loss_of(
        &self,
        run: &WorkerRun,
        task: TaskId,
        left_ms: Option<u64>,
        is_preferred: bool,
    ) -> Loss {
        let now = self.preemption.pass.at;
        let loss_ms = run.loss_ms(self.preemption.stop_ms, now);
        let cpu_time = loss_ms * run.resources.cpu_millis;
        if is_preferred {
            return Loss {
                cpu_time,
                ..Loss::default()
            };
        }
        let is_over_share = match run.owner {
            RunOwner::Workspace(key) => self.preemption.pass.over_share.contains(&key),
            RunOwner::Nobody | RunOwner::Unknown => false,
        };
        Loss {
            missed_objectives: u32::from(self.would_miss_objective(task, left_ms, loss_ms)),
            within_share: u32::from(!is_over_share),
            cpu_time,
        }
    }

    /// Returns whether a run is stopped before others, because its job has expired or is beyond the rate of its workspace.
    fn is_preferred_victim(&self, task: TaskId) -> bool {
        let Some((job, step, _unit, _member)) = self.locate_task(task) else {
            return false;
        };
        let job = &self.jobs[job];
        let passed_ms = self.preemption.pass.at.since(job.objective_from(step));
        job.is_excess || passed_ms > job.objective_ms.saturating_mul(EXPIRY_FACTOR)
    }

    /// Returns whether a run that ends after `left_ms` would meet the objective of its job, but not if it is delayed.
    fn would_miss_objective(&self, task: TaskId, left_ms: Option<u64>, delay_ms: u64) -> bool {
        let now = self.preemption.pass.at;
        let Some((job, step, _unit, _member)) = self.locate_task(task) else {
            return false;
        };
        let job = &self.jobs[job];
        let Some(left_ms) = left_ms else {
            return false;
        };
        let after_ms = now.since(job.objective_from(step)) + left_ms + chain_after_ms(job, step);
        after_ms <= job.objective_ms && after_ms + delay_ms > job.objective_ms
    }

    /// Returns what runs on a worker are expected to free by themselves within a time.
    fn freed_by_itself(&self, key: WorkerKey, within_ms: u64) -> Resources {
        let mut freed = Resources::ZERO;
        if within_ms == 0 {
            return freed;
        }
        let now = self.preemption.pass.at;
        for (name, run) in &self.workers[key].runs {
            let left_ms = if run.phase == Phase::Stopping {
                let begun_ms = now.since(run.doubt_since);
                run.stop_accepted_at
                    .map(|_| self.preemption.stop_ms.saturating_sub(begun_ms))
            } else {
                self.expected_remaining_ms(key, *name, now)
            };
            if left_ms.is_some_and(|ms| ms <= within_ms) {
                freed = freed.saturating_add(&run.resources);
            }
        }
        freed
    }

    /// Returns how many times a need is expected to fit on a worker within a time because runs end by themselves.
    pub(crate) fn fits_by_itself(
        &self,
        key: WorkerKey,
        need: &Resources,
        limit: u32,
        within_ms: u64,
    ) -> u32 {
        let freed = self.freed_by_itself(key, within_ms);
        let mut available = self.workers[key].available_without(&freed);
        if let Some(awaited) = self.preemption.pass.awaited.get(&key) {
            available = available.saturating_sub(awaited);
        }
        fit_count(&available, need, limit)
    }

    /// Returns how long a gang may wait for runs to end by themselves, the shortest time first.
    pub(crate) fn waiting_times_ms(&self, job: JobKey, step: usize) -> Vec<u64> {
        let mut times = vec![0];
        if !self.options.weigh_preemption {
            return times;
        }
        let limit_ms = self.demand_of(job, step).slack_ms.min(MAX_GANG_WAIT_MS);
        let mut time_ms = MIN_GANG_WAIT_MS;
        while time_ms <= limit_ms {
            times.push(time_ms);
            time_ms *= 2;
        }
        times
    }

    /// Returns the usual time from the order to stop a run to its end.
    pub(crate) const fn time_of_stop_ms(&self) -> u64 {
        if self.options.weigh_preemption {
            self.preemption.stop_ms
        } else {
            0
        }
    }

    /// Returns whether a single task can wait until runs on one of the workers end by themselves. If so, what it waits for
    /// is not available to other tasks that wait in the same pass.
    fn can_wait_for_ends(&mut self, job: JobKey, step: usize, workers: &[WorkerKey]) -> bool {
        let demand = self.demand_of(job, step);
        if !self.options.weigh_preemption || demand.slack_ms == 0 {
            return false;
        }
        let need = self.jobs[job].steps[step].spec.reserved_resources();
        let mut workers = workers.iter();
        let soon = workers.find(|key| self.fits_by_itself(**key, &need, 1, demand.slack_ms) > 0);
        let Some(worker) = soon else {
            return false;
        };
        let awaited = self.preemption.pass.awaited.entry(*worker);
        let awaited = awaited.or_insert(Resources::ZERO);
        *awaited = awaited.saturating_add(&need);
        true
    }

    /// Returns whether a worker's ticket for a step outlasts a stop.
    pub(crate) fn has_ticket_after_stop(
        &self,
        job: JobKey,
        step: usize,
        worker: WorkerKey,
    ) -> bool {
        let Preemption { stop_ms, pass, .. } = &self.preemption;
        !self.options.weigh_preemption || self.has_ticket(job, step, worker, pass.at.plus(*stop_ms))
    }

    /// Returns whether the budget allows a number of stops.
    pub(crate) fn budget_allows(&self, stops: usize, demand: &Demand) -> bool {
        let stops = u64::try_from(stops).unwrap_or(u64::MAX);
        let allowed = self.preemption.budget.left(self.preemption.pass.at);
        // Beyond the budget, only preferred victims are found, and only for units that would miss their objective.
        let is_exempt = demand.is_urgent || demand.is_restricted && demand.slack_ms == 0;
        !self.options.weigh_preemption || stops <= allowed || is_exempt
    }

    /// Makes room for a single task on one worker, by waiting for runs to end or by stopping some. Returns whether there
    /// will be room.
    pub(crate) fn preempt_for(
        &mut self,
        unit: UnitRef,
        allowed: &[WorkerKey],
        now: Millis,
    ) -> bool {
        let UnitRef { job, step, .. } = unit;
        let avoid = self.avoided_workers(job, step, unit.unit, now).to_vec();
        let mut usable = Vec::new();
        for key in allowed {
            let is_avoided = avoid.contains(key) || !self.workers[*key].may_take_start();
            if !is_avoided && self.is_below_task_limit(*key, job, step, unit.unit) {
                usable.push(*key);
            }
        }
        if self.can_wait_for_ends(job, step, &usable) {
            return true;
        }
        if self.options.weigh_preemption && self.is_earlier_run_held(unit) {
            return false;
        }
        let demand = self.demand_of(job, step);
        let need = self.jobs[job].steps[step].spec.reserved_resources();
        let mut best: Option<(WorkerKey, Victims)> = None;
        for key in usable {
            if !self.has_ticket_after_stop(job, step, key) {
                continue;
            }
            let Some(victims) = self.find_victims(key, &need, &demand, 0) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(_, least)| victims.loss < least.loss)
            {
                best = Some((key, victims));
            }
        }
        let Some((worker, victims)) = best else {
            return false;
        };
        if !self.budget_allows(victims.runs.len(), &demand) {
            return false;
        }
        let victims = victims.runs.into_iter();
        let victims = victims.map(|(task, run)| (worker, task, run)).collect();
        self.reserve(job, step, unit.unit, vec![(worker, 1)], now);
        self.preempt_runs(unit, victims, now);
        true
    }

    /// Returns whether a worker still holds an earlier run of a unit, which has to end before the unit can start.
    pub(crate) fn is_earlier_run_held(&self, unit: UnitRef) -> bool {
        let of_step = &self.jobs[unit.job].steps[unit.step];
        if of_step.units[unit.unit].last_started == Run(0) {
            return false;
        }
        let id = self.step_id(unit.job, unit.step);
        let members = usize::try_from(of_step.members()).unwrap_or(usize::MAX);
        let mut tasks = (0..members).map(|member| of_step.task_at(id, unit.unit, member));
        tasks.any(|task| self.workers.values().any(|worker| worker.has_run_of(task)))
    }

    /// Stops runs to make room for a unit, which has a reservation for it.
    pub(crate) fn preempt_runs(
        &mut self,
        unit: UnitRef,
        victims: Vec<(WorkerKey, TaskId, Run)>,
        now: Millis,
    ) {
        if victims.is_empty() {
            return;
        }
        let stops = u64::try_from(victims.len()).unwrap_or(u64::MAX);
        let counts = &mut self.preemption.counts;
        counts.units += 1;
        counts.stops += stops;
        self.preemption.budget.record_stops(stops, now);
        if let Some(reservation) = &mut self.unit_mut(unit).reservation {
            reservation.preempted = true;
        }
        let priority = self.jobs[unit.job].spec.policy.priority;
        for (worker, task, run) in victims {
            if let Some(held) = self.workers[worker].runs.get_mut(&(task, run)) {
                held.preempted_for = Some(priority);
            }
            self.stop_run(worker, task, run, StopReason::Preempted, now);
        }
    }
}
