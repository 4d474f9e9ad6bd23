//! Tasks that take their worker down, and rooms that shrink.

use syc_cell::ports::OrderError;
use syc_cell::ports::StartCommand;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use super::FleetModel;

/// How a task takes its workers down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashPlan {
    /// Of so many starts in a row, the first does: of 1, each.
    pub every: u32,
    /// Time from the start to the crash.
    pub after_ms: u64,
}

impl FleetModel {
    /// Says that a task takes its workers down.
    pub fn plan_crash(&mut self, task: TaskId, plan: CrashPlan) {
        self.crash_plans.insert(task, plan);
    }

    /// Returns the workers that tasks have taken down since the last time.
    pub fn take_crashed(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.crashed)
    }

    /// Says whether a task takes a worker down until a time, as far as is known now.
    #[must_use]
    pub fn crashes_by(&self, id: &WorkerId, until: Millis) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let mut crashes = worker.runs.values().filter_map(|live| live.crashes_at);
        crashes.any(|at| at <= until)
    }

    /// Counts a start of a task, and returns when it takes its worker down.
    pub(super) fn next_crash(&mut self, task: TaskId, now: Millis) -> Option<Millis> {
        let plan = self.crash_plans.get(&task)?;
        let starts = self.crash_starts.entry(task).or_default();
        let crashes = starts.is_multiple_of(plan.every.max(1));
        *starts += 1;
        crashes.then(|| now.plus(plan.after_ms))
    }

    /// Takes the workers down whose tasks have come so far.
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

    /// Carries a start order out long after it was sent: how much room there was then is not held against its sender.
    ///
    /// # Errors
    ///
    /// Fails as a worker refuses.
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

    /// Gives a worker another room. What was more of the one before still counts until a time: nobody can know
    /// sooner.
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
