//! Tasks that crash their worker, and workers whose capacity changes.

use syc_cell::ports::OrderError;
use syc_cell::ports::StartCommand;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use super::FleetModel;

/// When a task crashes its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashPlan {
    /// The first of every `every` starts crashes the worker; with 1, every start does.
    pub every: u32,
    /// Time between the start and the crash.
    pub after_ms: u64,
}

impl FleetModel {
    /// Makes a task crash its workers.
    pub fn plan_crash(&mut self, task: TaskId, plan: CrashPlan) {
        self.crash_plans.insert(task, plan);
    }

    /// Returns the workers that tasks have crashed since the last call.
    pub fn take_crashed(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.crashed)
    }

    /// Returns whether a current run will crash the worker by `until`, or the worker is already down.
    #[must_use]
    pub fn crashes_by(&self, id: &WorkerId, until: Millis) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let mut crashes = worker.runs.values().filter_map(|live| live.crashes_at);
        crashes.any(|at| at <= until)
    }

    /// Counts a start of a task and returns the time at which it crashes its worker, if it does.
    pub(super) fn next_crash(&mut self, task: TaskId, now: Millis) -> Option<Millis> {
        let plan = self.crash_plans.get(&task)?;
        let starts = self.crash_starts.entry(task).or_default();
        let crashes = starts.is_multiple_of(plan.every.max(1));
        *starts += 1;
        crashes.then(|| now.plus(plan.after_ms))
    }

    /// Crashes the workers whose planned crash is due.
    pub(super) fn crash_due_workers(&mut self, now: Millis) {
        let mut due = Vec::new();
        for worker in self.workers.values() {
            for (task, live) in &worker.runs {
                if live.crashes_at.is_some_and(|at| at <= now) {
                    due.push((worker.id.clone(), *task));
                }
            }
        }
        for (id, task) in due {
            self.checker.crashed_worker(task);
            if self.workers.contains_key(&id) {
                self.crash(&id);
                self.crashed.push(id);
            }
        }
    }

    /// Executes a start command that was delayed for a long time. Any earlier capacity of the worker is accepted,
    /// since the sender may have relied on it.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker refuses the command.
    pub fn start_late(
        &mut self,
        id: &WorkerId,
        command: &StartCommand,
        now: Millis,
    ) -> Result<(), OrderError> {
        if let Some(worker) = self.workers.get_mut(id) {
            let counts_until = now.plus(1);
            for (_, until) in &mut worker.previous_capacities {
                *until = (*until).max(counts_until);
            }
        }
        self.start(id, command, now)
    }

    /// Changes the capacity of a worker. Starts are checked against a larger previous capacity until `counts_until`,
    /// because the scheduler cannot learn of the change sooner.
    pub fn resize(&mut self, id: &WorkerId, capacity: Resources, counts_until: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker
            .previous_capacities
            .push((worker.capacity, counts_until));
        worker.capacity = capacity;
    }
}
