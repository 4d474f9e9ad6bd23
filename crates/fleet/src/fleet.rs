//! Model of the workers of a cell: fencing tokens, leases that expire by the worker's own clock, numbered end reports,
//! stops that also prevent a later start of the same run, and gangs that only progress when all members run.

mod crashes;
mod ends;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_cell::ports::OrderError;
use syc_cell::ports::PaceCommand;
use syc_cell::ports::Renewal;
use syc_cell::ports::RenewalReply;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_sched::RunningReport;
use syc_sched::StartRefusal;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_sched::WorkerReport;
use syc_types::Millis;
use syc_types::WorkerId;

use crate::InvariantChecker;
pub use crate::fleet::crashes::CrashPlan;
use crate::interference::FULL_SPEED_PERCENT;
use crate::interference::RunInterference;
use crate::interference::TailLatencyModel;
use crate::interference::TailLatencyModels;
use crate::worker::LiveRun;
use crate::worker::WorkerModel;
use crate::worker::checkpoint_of;

/// A task whose worker has crashed counts as unavailable only after this time. An order to stop another one may have been
/// given before the crash could be noticed.
const CRASH_NOTICE_MS: u64 = 4_500;

/// Predetermined behaviour of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPlan {
    /// Work that the task needs, as time at full speed.
    pub work_ms: u64,
    /// Number of runs that fail before one succeeds. A run that is stopped does not count.
    pub failing_runs: u32,
}

/// Limits that apply to all workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLimits {
    /// Longest lease. A longer one is shortened to this.
    pub lease_ms: u64,
    /// Duration of a stop. The run makes no progress during it, but keeps its resources.
    pub stop_ms: u64,
    /// Time that a gang member waits for the other members before it ends.
    pub gang_wait_ms: u64,
    /// Whether workers refuse starts that exceed their capacity.
    pub admission_control: bool,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            lease_ms: u64::MAX,
            stop_ms: 0,
            gang_wait_ms: u64::MAX,
            admission_control: false,
        }
    }
}

/// All workers and the planned behaviour of their tasks.
#[derive(Debug, Clone, Default)]
pub struct FleetModel {
    /// Workers that are running.
    pub workers: BTreeMap<WorkerId, WorkerModel>,
    /// Checks the starts and ends on all workers.
    pub checker: InvariantChecker,
    /// Limits that apply to all workers.
    pub limits: FleetLimits,
    /// Largest number of ends in one report, if limited.
    pub ends_per_report: Option<usize>,
    plans: BTreeMap<TaskId, TaskPlan>,
    tail_latencies: TailLatencyModels,
    failed_runs: BTreeMap<TaskId, u32>,
    crash_plans: BTreeMap<TaskId, CrashPlan>,
    /// Number of starts of each task that crashes its workers.
    crash_starts: BTreeMap<TaskId, u32>,
    /// Long-running tasks that were in service on a worker when it crashed, with the time of the crash.
    lost_in_service: Vec<(TaskId, Millis)>,
    /// Workers that crashed since the last call of [`FleetModel::take_crashed`].
    crashed: Vec<WorkerId>,
    advanced_to: Millis,
}

impl FleetModel {
    /// Returns the number of runs on a worker.
    #[must_use]
    pub fn runs_on(&self, id: &WorkerId) -> usize {
        let worker = self.workers.get(id);
        worker.map_or(0, |worker| worker.runs.len())
    }

    /// Sets the behaviour of a task.
    pub fn plan_task(&mut self, task: TaskId, plan: TaskPlan) {
        self.plans.insert(task, plan);
    }

    /// Sets the tail latency of an image.
    pub fn set_tail_latency(&mut self, image: &str, tail: TailLatencyModel) {
        self.tail_latencies.insert(SmolStr::new(image), tail);
    }

    /// Adds a worker.
    pub fn add(&mut self, worker: WorkerModel) {
        self.workers.insert(worker.id.clone(), worker);
    }

    /// Takes a worker down because of an operation on its VM.
    pub fn interrupt(&mut self, id: &WorkerId, now: Millis) {
        self.advance(now);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<_> = worker.runs.keys().copied().collect();
        let mut gone: BTreeMap<StepId, u32> = BTreeMap::new();
        for task in tasks {
            let before = gone.entry(task.step).or_default();
            if self.is_in_service(id, task) {
                *before += 1;
                let others = self.in_service_count(task.step).saturating_sub(*before)
                    + self.unnoticed_loss_count(task.step, now);
                self.checker.interrupted(task, others);
            }
        }
        // What an order ends is out of service at once.
        let lost_before = self.lost_in_service.len();
        self.crash(id);
        self.lost_in_service.truncate(lost_before);
    }

    fn is_in_service(&self, id: &WorkerId, task: TaskId) -> bool {
        let worker = self.workers.get(id);
        let live = worker.and_then(|worker| worker.runs.get(&task));
        live.is_some_and(|live| live.long_running && live.percent() == 100)
    }

    /// Counts the long-running tasks of a step that are in service.
    fn in_service_count(&self, step: StepId) -> u32 {
        let mut count = 0;
        for worker in self.workers.values() {
            for (task, live) in &worker.runs {
                count += u32::from(task.step == step && live.long_running && live.percent() == 100);
            }
        }
        count
    }

    /// Counts the tasks of a step that are out of service since a crash that nobody can have noticed yet.
    fn unnoticed_loss_count(&self, step: StepId, now: Millis) -> u32 {
        let mut lost = BTreeSet::new();
        for (task, lost_at) in &self.lost_in_service {
            let is_unnoticed = now.since(*lost_at) < CRASH_NOTICE_MS;
            let is_back = self.workers.keys().any(|id| self.is_in_service(id, *task));
            if task.step == step && is_unnoticed && !is_back {
                lost.insert(*task);
            }
        }
        u32::try_from(lost.len()).unwrap_or(u32::MAX)
    }

    /// Crashes a worker. All its runs end at once, without a report.
    pub fn crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        for (task, live) in &worker.runs {
            self.checker.crashed(id, *task, live.run);
            if live.long_running && live.percent() == 100 {
                self.lost_in_service.push((*task, self.advanced_to));
            }
        }
        self.checker.lost(id);
    }

    /// Takes a worker away that has announced its end. All its runs end at once, without a report.
    ///
    /// Such an end is no crash, so it is no cause to give up the tasks.
    pub fn leave(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        for (task, live) in &worker.runs {
            self.checker.left(id, *task, live.run);
        }
        self.checker.lost(id);
    }

    /// Returns the plan of a task. All members of a gang follow the plan of the first one.
    fn plan_for(&self, task: TaskId, step: Option<&StepSpec>) -> Option<TaskPlan> {
        let gang = step.is_some_and(|step| step.gang);
        let index = if gang { 0 } else { task.index };
        let planned = TaskId { index, ..task };
        self.plans.get(&planned).copied()
    }

    /// Executes a start command.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker refuses the command.
    pub fn start(
        &mut self,
        id: &WorkerId,
        command: &StartCommand,
        now: Millis,
    ) -> Result<(), OrderError> {
        self.advance(now);
        let step = self.checker.step_of(command.task).cloned();
        let plan = self.plan_for(command.task, step.as_ref());
        let worker = self.workers.get_mut(id).ok_or(OrderError::Replaced)?;
        worker.check_token(command.token)?;
        if command.lease_until_ms <= worker.clock_ms(now) {
            return Err(OrderError::Refused(StartRefusal::Late));
        }
        worker.extend_lease(command.lease_until_ms, self.limits.lease_ms, now);
        let known = worker.runs.get(&command.task);
        if known.is_some_and(|live| live.run == command.run && live.stop_done_at.is_none()) {
            return Ok(());
        }
        let latest = worker.latest_runs.get(&command.task);
        if latest.is_some_and(|latest| command.run <= *latest) || known.is_some() {
            return Err(OrderError::Refused(StartRefusal::OldRun));
        }
        let (Some(step), Some(plan)) = (step, plan) else {
            self.checker.started(id, command.task, command.run);
            return Ok(());
        };
        let wanted = worker.used().saturating_add(&step.reserved_resources());
        if self.limits.admission_control && !wanted.fits_in(&worker.capacity) {
            return Err(OrderError::Refused(StartRefusal::NoRoom));
        }
        let crashes_at = self.next_crash(command.task, now);
        let worker = self.workers.get_mut(id).ok_or(OrderError::Replaced)?;
        let work_done_ms = command.checkpoint.parse().unwrap_or(0);
        worker.runs.insert(
            command.task,
            LiveRun {
                run: command.run,
                resources: step.reserved_resources(),
                gang: step.gang,
                long_running: step.long_running,
                started_at: now,
                stop_done_at: None,
                work_done_ms,
                plan,
                checkpointed: step.checkpointed,
                interference: RunInterference::of_step(&step),
                crashes_at,
            },
        );
        self.checker.started(id, command.task, command.run);
        let used = worker.used();
        let capacity = worker.effective_capacity(now);
        self.checker.check_capacity(id, &used, &capacity);
        Ok(())
    }

    /// Executes a stop command.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker refuses the command.
    pub fn stop(
        &mut self,
        id: &WorkerId,
        command: &StopCommand,
        now: Millis,
    ) -> Result<(), OrderError> {
        self.advance(now);
        let is_in_service = self.is_in_service(id, command.task);
        let others = self.in_service_count(command.task.step).saturating_sub(1)
            + self.unnoticed_loss_count(command.task.step, now);
        let worker = self.workers.get_mut(id).ok_or(OrderError::Replaced)?;
        worker.check_token(command.token)?;
        let live = worker.runs.get_mut(&command.task);
        if let Some(live) = live.filter(|live| live.run == command.run) {
            if is_in_service && live.stop_done_at.is_none() {
                self.checker.interrupted(command.task, others);
            }
            live.stop_done_at
                .get_or_insert(now.plus(self.limits.stop_ms));
            self.end_stopped(now);
            return Ok(());
        }
        // The stop may arrive before the start of the same run, which must then be refused.
        let latest = worker.latest_runs.entry(command.task).or_default();
        *latest = (*latest).max(command.run);
        Ok(())
    }

    /// Limits a run to a percentage of its full speed.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker refuses the command.
    pub fn pace(
        &mut self,
        id: &WorkerId,
        command: &PaceCommand,
        now: Millis,
    ) -> Result<(), OrderError> {
        self.advance(now);
        let worker = self.workers.get_mut(id).ok_or(OrderError::Replaced)?;
        worker.check_token(command.token)?;
        let live = worker.runs.get_mut(&command.task);
        let Some(live) = live.filter(|live| live.run == command.run) else {
            return Err(OrderError::Refused(StartRefusal::OldRun));
        };
        live.interference.pace_percent = command.percent;
        Ok(())
    }

    /// Renews the lease of a worker and returns its current runs and unacknowledged ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker refuses the command.
    pub fn renew(
        &mut self,
        id: &WorkerId,
        renewal: &Renewal,
        now: Millis,
    ) -> Result<RenewalReply, OrderError> {
        self.advance(now);
        let worker = self.workers.get_mut(id).ok_or(OrderError::Replaced)?;
        worker.check_token(renewal.token)?;
        if let Some(until_ms) = renewal.lease_until_ms {
            worker.extend_lease(until_ms, self.limits.lease_ms, now);
        }
        for ended in &worker.ends {
            if ended.number <= renewal.acknowledged {
                let void = ended.number <= worker.last_void_end;
                self.checker.acknowledged(id, ended, void);
            }
        }
        worker
            .ends
            .retain(|ended| ended.number > renewal.acknowledged);
        let ends_per_report = self.ends_per_report.unwrap_or(usize::MAX);
        let mut report = WorkerReport {
            ended: worker.ends.iter().take(ends_per_report).cloned().collect(),
            has_more_ends: worker.ends.len() > ends_per_report,
            ..WorkerReport::default()
        };
        let interfering_cpu_millis = worker.interfering_cpu_millis();
        for (task, live) in &worker.runs {
            report.running.push(RunningReport {
                task: *task,
                run: live.run,
                checkpoint: checkpoint_of(live),
                percent: live.percent(),
                load: live
                    .interference
                    .tail_latency_ms(&self.tail_latencies, interfering_cpu_millis),
            });
        }
        Ok(RenewalReply {
            clock_ms: worker.clock_ms(now),
            born_ms: Some(worker.started_at.0),
            report,
            ..RenewalReply::default()
        })
    }

    /// Advances the model to `now`: runs make progress and end, and leases expire.
    pub fn advance(&mut self, now: Millis) {
        let passed_ms = now.since(self.advanced_to);
        if passed_ms == 0 {
            return;
        }
        self.advanced_to = now;
        self.crash_due_workers(now);
        self.expire_leases(now);
        self.end_stopped(now);
        self.end_incomplete_gangs(now);
        let slowest = self.slowest_members();
        let mut finished = Vec::new();
        for worker in self.workers.values_mut() {
            let interfering_cpu_millis = worker.interfering_cpu_millis();
            let speed_percent = worker.speed_percent;
            for (task, live) in &mut worker.runs {
                if live.interference.exceeds_tail_limit(
                    &self.tail_latencies,
                    interfering_cpu_millis,
                    now,
                ) {
                    self.checker.tail_latency_exceeded(*task);
                }
                let slowest_member = slowest.get(&(task.step, live.run));
                let waits = live.gang && slowest_member.is_none();
                if waits || live.stop_done_at.is_some() {
                    continue;
                }
                let worked_ms = passed_ms.min(now.since(live.started_at));
                live.work_done_ms +=
                    worked_ms * speed_percent * u64::from(live.interference.pace_percent)
                        / u64::from(FULL_SPEED_PERCENT).pow(2);
                // The progress of the slowest member decides when the gang completes, the first one among equals.
                let decides = !live.gang || slowest_member == Some(&(speed_percent, task.index));
                if decides && live.work_done_ms >= live.plan.work_ms {
                    finished.push((worker.id.clone(), *task, live.run, live.gang));
                }
            }
        }
        for (id, task, run, gang) in finished {
            self.finish_run(&id, task, run, gang, now);
        }
    }
}
