//! Workers: fencing tokens, leases by a deadline on their own clock, numbered ends, stops that also
//! forbid a later start, gangs that work only together.

mod crashes;
mod ends;

use std::collections::BTreeMap;

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

/// How a task goes, whatever is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPlan {
    /// Time that it takes.
    pub work_ms: u64,
    /// Its first runs that end as failed; a run that is stopped does not count.
    pub failing_runs: u32,
}

/// What holds for all workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLimits {
    /// Longest lease; a longer one is shortened.
    pub lease_ms: u64,
    /// Time that a stop takes; the run does no work in it, and keeps its room.
    pub stop_ms: u64,
    /// Time that a member of a gang waits for the others.
    pub gang_wait_ms: u64,
    /// Whether workers refuse what does not fit.
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

/// All workers, and how their tasks go.
#[derive(Debug, Clone, Default)]
pub struct FleetModel {
    /// Workers that are up.
    pub workers: BTreeMap<WorkerId, WorkerModel>,
    /// Watches all of them.
    pub checker: InvariantChecker,
    /// What holds for all of them.
    pub limits: FleetLimits,
    plans: BTreeMap<TaskId, TaskPlan>,
    tail_latencies: TailLatencyModels,
    failed_runs: BTreeMap<TaskId, u32>,
    crash_plans: BTreeMap<TaskId, CrashPlan>,
    /// Starts so far of the tasks that take their workers down.
    crash_starts: BTreeMap<TaskId, u32>,
    /// Workers that were taken down and that nobody has asked for yet.
    crashed: Vec<WorkerId>,
    advanced_to: Millis,
}

impl FleetModel {
    /// Returns the number of tasks that run on a worker.
    #[must_use]
    pub fn runs_on(&self, id: &WorkerId) -> usize {
        let worker = self.workers.get(id);
        worker.map_or(0, |worker| worker.runs.len())
    }

    /// Says how a task goes.
    pub fn plan_task(&mut self, task: TaskId, plan: TaskPlan) {
        self.plans.insert(task, plan);
    }

    /// Says how long the users of an image wait.
    pub fn set_tail_latency(&mut self, image: &str, tail: TailLatencyModel) {
        self.tail_latencies.insert(SmolStr::new(image), tail);
    }

    /// Adds a worker.
    pub fn add(&mut self, worker: WorkerModel) {
        self.workers.insert(worker.id.clone(), worker);
    }

    /// Takes a worker down by an order about its VM.
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
                let others = self.in_service_count(task.step).saturating_sub(*before);
                self.checker.interrupted(task, others);
            }
        }
        self.crash(id);
    }

    fn is_in_service(&self, id: &WorkerId, task: TaskId) -> bool {
        let worker = self.workers.get(id);
        let live = worker.and_then(|worker| worker.runs.get(&task));
        live.is_some_and(|live| live.long_running && live.percent() == 100)
    }

    /// Counts the tasks of a step that last and are at work.
    fn in_service_count(&self, step: StepId) -> u32 {
        let mut count = 0;
        for worker in self.workers.values() {
            for (task, live) in &worker.runs {
                count += u32::from(task.step == step && live.long_running && live.percent() == 100);
            }
        }
        count
    }

    /// Takes a worker down: everything on it ends at once, without a report.
    pub fn crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        for (task, live) in &worker.runs {
            self.checker.crashed(id, *task, live.run);
        }
    }

    /// Returns how a task goes: the members of a gang all go as the first one.
    fn plan_for(&self, task: TaskId, step: Option<&StepSpec>) -> Option<TaskPlan> {
        let gang = step.is_some_and(|step| step.gang);
        let index = if gang { 0 } else { task.index };
        let planned = TaskId { index, ..task };
        self.plans.get(&planned).copied()
    }

    /// Carries a start order out, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails as a worker refuses.
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

    /// Carries a stop order out.
    ///
    /// # Errors
    ///
    /// Fails as a worker refuses.
    pub fn stop(
        &mut self,
        id: &WorkerId,
        command: &StopCommand,
        now: Millis,
    ) -> Result<(), OrderError> {
        self.advance(now);
        let is_in_service = self.is_in_service(id, command.task);
        let others = self.in_service_count(command.task.step).saturating_sub(1);
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
        // A run that is not there yet must never begin.
        let latest = worker.latest_runs.entry(command.task).or_default();
        *latest = (*latest).max(command.run);
        Ok(())
    }

    /// Lets a run work at a share of its speed.
    ///
    /// # Errors
    ///
    /// Fails as a worker refuses.
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

    /// Renews the leases of a worker and returns its lists.
    ///
    /// # Errors
    ///
    /// Fails as a worker refuses.
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
        let mut report = WorkerReport {
            ended: worker.ends.clone(),
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

    /// Lets the time pass: work is done, runs end, leases lapse.
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
        let complete = self.complete_gangs();
        let mut finished = Vec::new();
        for worker in self.workers.values_mut() {
            let interfering_cpu_millis = worker.interfering_cpu_millis();
            for (task, live) in &mut worker.runs {
                if live.interference.exceeds_tail_limit(
                    &self.tail_latencies,
                    interfering_cpu_millis,
                    now,
                ) {
                    self.checker.tail_latency_exceeded(*task);
                }
                let waits = live.gang && !complete.contains(&(task.step, live.run));
                if waits || live.stop_done_at.is_some() {
                    continue;
                }
                let worked_ms = passed_ms.min(now.since(live.started_at));
                live.work_done_ms += worked_ms * u64::from(live.interference.pace_percent)
                    / u64::from(FULL_SPEED_PERCENT);
                // The first member's plan is that of the whole gang.
                let decides = !live.gang || task.index == 0;
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
