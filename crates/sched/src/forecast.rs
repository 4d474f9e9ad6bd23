//! A lower bound of the time that a job submitted now would wait, for each workspace and queue.
//!
//! Load pattern: workspaces send more than the workers can process until the objectives of the jobs. The bound is the
//! work that is served before such a job, divided by what the usable workers, and the cap of its workspace, can
//! process. Running work and work that arrives later are left out, so a job hardly starts earlier than predicted. Run
//! times are the declared ones.
//!
//! [`Forecast::refresh`] sees the waiting work in the order in which it is served and performs no I/O. Where there are
//! no workspaces, nothing is computed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::WorkspaceName;

use crate::Scheduler;
use crate::ids::JobKey;
use crate::ids::WorkspaceKey;
use crate::job::Job;
use crate::waiting::WaitingStep;

/// Minimum time between two forecasts. Each takes a pass over the waiting steps.
const REFRESH_INTERVAL_MS: u64 = 100;

/// A forecast that is older than this is not used, since the backlog may be gone.
const MAX_AGE_MS: u64 = 1_000;

/// A workspace sheds from a wait of this many objectives on: a job that ends after three times its objective is no
/// longer useful to the caller.
const SHED_FROM_OBJECTIVES: u64 = 3;

/// It stops shedding once the wait is at most this many objectives, so that shedding does not alternate with each
/// forecast.
const SHED_UNTIL_OBJECTIVES: u64 = 2;

/// Maximum number of rows told to the nodes. They are part of every answer to a contact.
const SHED_ROWS_LIMIT: usize = 64;

/// Maximum number of compared waits that are kept until they are taken.
const WAIT_ERRORS_LIMIT: usize = 1_024;

/// A workspace beyond its rate whose further jobs of a queue would end too late to be useful.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShedRow {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The queue.
    pub queue: SmolStr,
    /// Lower bound of the time until such a job could start, in milliseconds.
    pub wait_ms: u64,
}

/// The wait of a job that was predicted when it arrived, and the wait until its first start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitError {
    /// The queue.
    pub queue: SmolStr,
    /// Predicted wait, in milliseconds.
    pub predicted_ms: u64,
    /// Time from its acceptance until a worker reported its first start, in milliseconds.
    pub seen_ms: u64,
}

/// Identifies the workers that a step may run on: those of a service, with the required label if there is one.
type PoolId = (ServiceName, Option<SmolStr>);

/// Identifies the jobs of a workspace in a queue.
type FlowId = (WorkspaceKey, SmolStr);

/// The workers of a pool, and the work that waits for them.
#[derive(Debug, Clone, Default)]
struct Pool {
    /// Processor capacity of its usable workers.
    cpu_millis: u64,
    /// What is available on each usable worker that has anything available.
    available: Vec<Resources>,
    /// Useful work added so far in the order of service, in thousandths of a core times milliseconds.
    work: u64,
    /// The work of each class and of the classes before it.
    work_by_class: BTreeMap<(bool, u32), u64>,
}

impl Pool {
    /// Returns the work that is served before a class.
    fn work_before(&self, class: (bool, u32)) -> u64 {
        let before = self.work_by_class.range(..class).next_back();
        before.map_or(0, |(_, work)| *work)
    }

    /// Returns whether its workers have room for a unit of `members` tasks now.
    fn has_room(&self, need: &Resources, members: u32) -> bool {
        let mut held = 0;
        for available in &self.available {
            held += crate::worker::fit_count(available, need, members - held);
        }
        held >= members
    }
}

/// Work that is served before a further job: all that waits for the pool, and that of its own workspace.
#[derive(Debug, Clone, Copy, Default)]
struct WorkAhead {
    of_pool: u64,
    of_workspace: u64,
}

/// The waiting jobs of a workspace in a queue, for one pool.
#[derive(Debug, Clone)]
struct Flow {
    /// Before a further guaranteed job and before an excess one, if such jobs wait already.
    ahead: [Option<WorkAhead>; 2],
    /// The smallest waiting unit: the need of a task and the number of tasks.
    least_unit: (Resources, u32),
    priority: u32,
    objectives_ms: u64,
    steps: u64,
}

/// Predicted waits of the jobs of a workspace in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outlook {
    /// Wait of a further guaranteed job and of an excess one.
    wait_ms: [u64; 2],
    /// Mean objective of the waiting jobs.
    objective_ms: u64,
}

/// The predicted waits, and what follows from them for shedding.
#[derive(Debug, Clone, Default)]
pub(crate) struct Forecast {
    refreshed_at: Option<Millis>,
    outlooks: BTreeMap<FlowId, Outlook>,
    shedding: BTreeSet<FlowId>,
    /// Waiting jobs that are excess, by workspace.
    excess_jobs: BTreeMap<WorkspaceKey, u64>,
    errors: Vec<WaitError>,
}

impl Outlook {
    const fn wait_ms(&self, is_excess: bool) -> u64 {
        let [guaranteed_ms, excess_ms] = self.wait_ms;
        if is_excess { excess_ms } else { guaranteed_ms }
    }
}

impl Forecast {
    fn is_current(&self, now: Millis) -> bool {
        self.refreshed_at
            .is_some_and(|at| now.since(at) <= MAX_AGE_MS)
    }

    fn refresh(&mut self, outlooks: BTreeMap<FlowId, Outlook>, now: Millis) {
        let mut shedding = BTreeSet::new();
        for (id, outlook) in &outlooks {
            let objectives = if self.shedding.contains(id) {
                SHED_UNTIL_OBJECTIVES
            } else {
                SHED_FROM_OBJECTIVES
            };
            if outlook.wait_ms(true) > outlook.objective_ms.saturating_mul(objectives) {
                shedding.insert(id.clone());
            }
        }
        self.shedding = shedding;
        self.outlooks = outlooks;
        self.refreshed_at = Some(now);
    }
}

/// The waiting work in the order of service.
#[derive(Debug, Default)]
struct Backlog {
    pools: BTreeMap<PoolId, Pool>,
    of_workspaces: BTreeMap<WorkspaceKey, u64>,
    flows: BTreeMap<(FlowId, PoolId), Flow>,
    excess: BTreeSet<(WorkspaceKey, JobKey)>,
}

impl Backlog {
    /// Adds a waiting step, which is served after those added before.
    fn add(&mut self, waiting: &WaitingStep, job: &Job) {
        let step = &job.steps[waiting.step];
        let (is_expired, is_excess, priority) = waiting.urgency.class();
        let need = step.spec.reserved_resources();
        let tasks = u64::from(step.pending_units * step.members());
        let task_ms = tasks.saturating_mul(step.spec.estimate_ms);
        let pool_id = pool_of(job, waiting.step);
        let pool = self.pools.entry(pool_id.clone()).or_default();
        // Expired work is served after all useful work, so nothing waits for it.
        if !is_expired {
            let work = need.cpu_millis.saturating_mul(task_ms);
            pool.work = pool.work.saturating_add(work);
            pool.work_by_class.insert((is_excess, priority), pool.work);
        }
        let Some(workspace) = waiting.workspace else {
            return;
        };
        let own = self.of_workspaces.entry(workspace).or_default();
        if !is_expired {
            let work = step.spec.resources.cpu_millis.saturating_mul(task_ms);
            *own = own.saturating_add(work);
        }
        if is_excess {
            self.excess.insert((workspace, waiting.job));
        }
        let flow_id = (workspace, job.spec.policy.queue.clone());
        let unit = (need, step.members());
        let flow = self.flows.entry((flow_id, pool_id));
        let flow = flow.or_insert(Flow {
            ahead: [None, None],
            least_unit: unit,
            priority,
            objectives_ms: 0,
            steps: 0,
        });
        flow.objectives_ms = flow.objectives_ms.saturating_add(job.objective_ms);
        flow.steps += 1;
        if unit_cpu(&unit) < unit_cpu(&flow.least_unit) {
            flow.least_unit = unit;
        }
        if !is_expired {
            flow.ahead[usize::from(is_excess)] = Some(WorkAhead {
                of_pool: pool.work,
                of_workspace: *own,
            });
        }
    }
}

const fn unit_cpu((need, members): &(Resources, u32)) -> u64 {
    need.cpu_millis.saturating_mul(*members as u64)
}

fn pool_of(job: &Job, step: usize) -> PoolId {
    let label = job.steps[step].spec.required_label.clone();
    (job.spec.policy.service.clone(), label)
}

impl Scheduler {
    /// Predicts the waits anew after a scheduling pass, if the last forecast is old enough.
    pub(crate) fn refresh_forecast(&mut self, waiting: &[WaitingStep], now: Millis) {
        let refreshed_at = self.forecast.refreshed_at;
        let is_recent = |at| now.since(at) < REFRESH_INTERVAL_MS;
        if self.workspaces.is_empty() || refreshed_at.is_some_and(is_recent) {
            return;
        }
        let mut backlog = Backlog::default();
        for step in waiting {
            let job = &self.jobs[step.job];
            let of_step = job.steps.get(step.step);
            if of_step.is_some_and(|of_step| of_step.pending_units > 0) {
                backlog.add(step, job);
            }
        }
        self.measure_pools(&mut backlog.pools, now);
        let mut outlooks = BTreeMap::new();
        for ((flow_id, pool_id), flow) in &backlog.flows {
            let outlook = self.outlook(flow_id, flow, &backlog.pools[pool_id]);
            // A further job of a queue may need any of the pools that its jobs wait for.
            let least = outlooks.entry(flow_id.clone()).or_insert(outlook);
            if outlook.wait_ms(true) < least.wait_ms(true) {
                *least = outlook;
            }
        }
        let excess_jobs = &mut self.forecast.excess_jobs;
        excess_jobs.clear();
        for (workspace, _) in backlog.excess {
            *excess_jobs.entry(workspace).or_default() += 1;
        }
        self.forecast.refresh(outlooks, now);
    }

    /// Determines what the usable workers of each pool can process and have available.
    fn measure_pools(&self, pools: &mut BTreeMap<PoolId, Pool>, now: Millis) {
        for worker in self.workers.values() {
            if !worker.is_usable(now) {
                continue;
            }
            let available = worker.available();
            for ((service, label), pool) in pools.iter_mut() {
                let is_labelled = label
                    .as_ref()
                    .is_none_or(|label| worker.spec.labels.contains(label));
                if worker.spec.service != *service || !is_labelled {
                    continue;
                }
                pool.cpu_millis += worker.spec.capacity.cpu_millis;
                if available.cpu_millis > 0 {
                    pool.available.push(available);
                }
            }
        }
    }

    fn outlook(&self, (workspace, _): &FlowId, flow: &Flow, pool: &Pool) -> Outlook {
        let (need, members) = &flow.least_unit;
        let cap = &self.workspaces.get(*workspace).policy.cap;
        let used = self.workspaces.get(*workspace).used;
        let all = need.saturating_mul(*members);
        let is_within_cap = used.saturating_add(&all).fits_in(cap);
        let is_free = is_within_cap
            && self.has_free_beside_headroom(all.cpu_millis)
            && pool.has_room(need, *members);
        let wait_ms = |is_excess: bool| {
            if is_free {
                return 0;
            }
            let ahead = flow.ahead[usize::from(is_excess)];
            let ahead = ahead.unwrap_or_else(|| WorkAhead {
                of_pool: pool.work_before((is_excess, flow.priority)),
                of_workspace: 0,
            });
            // Without usable workers nothing is known about the wait.
            let for_workers = ahead.of_pool.checked_div(pool.cpu_millis).unwrap_or(0);
            let for_cap = ahead.of_workspace.checked_div(cap.cpu_millis).unwrap_or(0);
            for_workers.max(for_cap)
        };
        Outlook {
            wait_ms: [wait_ms(false), wait_ms(true)],
            objective_ms: flow.objectives_ms / flow.steps,
        }
    }

    /// Returns the workspaces and queues whose excess jobs are to be rejected, the longest waits first.
    ///
    /// Only workspaces are listed whose buckets are empty, and none from a forecast that is too old.
    pub fn shed_rows(&mut self, now: Millis) -> Vec<ShedRow> {
        if !self.forecast.is_current(now) {
            self.forecast.shedding.clear();
            return Vec::new();
        }
        let mut rows = Vec::new();
        for id in &self.forecast.shedding {
            let (key, queue) = id;
            let workspace = self.workspaces.get(*key);
            if workspace.rate_use.burst_left(&workspace.policy, now) >= 1.0 {
                continue;
            }
            rows.push(ShedRow {
                workspace: workspace.policy.name.clone(),
                queue: queue.clone(),
                wait_ms: self.forecast.outlooks[id].wait_ms(true),
            });
        }
        rows.sort_by_key(|row| std::cmp::Reverse(row.wait_ms));
        rows.truncate(SHED_ROWS_LIMIT);
        rows
    }

    /// Notes the predicted wait of a job that has just arrived.
    pub(crate) fn predict_wait(&mut self, key: JobKey, now: Millis) {
        let job = &self.jobs[key];
        let Some(workspace) = job.workspace else {
            return;
        };
        // Inherited jobs arrived under a predecessor, and timed ones also wait for their due time.
        let is_timed = job.steps.iter().any(|step| step.due_at.is_some());
        if job.inherited || is_timed || !self.forecast.is_current(now) {
            return;
        }
        let id = (workspace, job.spec.policy.queue.clone());
        let outlook = self.forecast.outlooks.get(&id);
        let wait_ms = outlook.map_or(0, |outlook| outlook.wait_ms(job.is_excess));
        self.jobs[key].predicted_wait_ms = Some(wait_ms);
    }

    /// Compares the predicted wait of a job that has just started with the actual one.
    pub(crate) fn compare_wait(&mut self, key: JobKey, now: Millis) {
        let job = &self.jobs[key];
        let Some(predicted_ms) = job.predicted_wait_ms else {
            return;
        };
        if self.forecast.errors.len() >= WAIT_ERRORS_LIMIT {
            return;
        }
        self.forecast.errors.push(WaitError {
            queue: job.spec.policy.queue.clone(),
            predicted_ms,
            seen_ms: now.since(job.accepted_at),
        });
    }

    /// Takes the waits that were compared since the last call. The number is bounded, further ones are dropped.
    pub fn take_wait_errors(&mut self) -> Vec<WaitError> {
        std::mem::take(&mut self.forecast.errors)
    }

    /// Returns the number of waiting jobs of a workspace that are excess, and the longest predicted wait of a further
    /// job among its queues.
    pub(crate) fn excess_and_wait_of(&self, key: WorkspaceKey, now: Millis) -> (u64, u64) {
        if !self.forecast.is_current(now) {
            return (0, 0);
        }
        let workspace = self.workspaces.get(key);
        let is_beyond = workspace.rate_use.burst_left(&workspace.policy, now) < 1.0;
        let mut longest_ms = 0;
        for ((owner, _), outlook) in &self.forecast.outlooks {
            if *owner != key {
                continue;
            }
            longest_ms = longest_ms.max(outlook.wait_ms(is_beyond));
        }
        let excess = self.forecast.excess_jobs.get(&key).copied();
        (excess.unwrap_or(0), longest_ms)
    }
}
