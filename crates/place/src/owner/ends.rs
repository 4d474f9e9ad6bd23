//! Ends of attempts: what is given back, what is learned, and what the home hears.

use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;

use crate::Action;
use crate::Ended;
use crate::KeptEnd;
use crate::KnownTask;
use crate::Owner;
use crate::WorkerKey;
use crate::owner::Phase;
use crate::owner::Remembered;
use crate::owner::Stopping;
use crate::owner::Task;

impl Owner {
    /// Ends an attempt: gives its room back and tells its home, unless it never counted.
    pub(super) fn end_task(
        &mut self,
        task: TaskRef,
        outcome: TaskOutcome,
        ran_ms: u64,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        // A task that ended before its start was answered was started.
        self.confirm(task, actions);
        let Some(state) = self.drop_task(task) else {
            return;
        };
        self.learn(&state, &outcome, ran_ms, now);
        let why = state.stopping.map(|(why, _)| why);
        let outcome = match (why, outcome) {
            (Some(Stopping::RolledBack), _) if state.idempotent => {
                // Its offer was refused as a whole, so its home waits for no end.
                self.acknowledge(state.worker, task, state.attempt);
                return;
            }
            (Some(Stopping::Preempted | Stopping::RolledBack), TaskOutcome::Cancelled) => {
                TaskOutcome::Unknown
            }
            (_, outcome) => outcome,
        };
        let remembered = Remembered {
            attempt: state.attempt,
            worker: state.worker,
            team: state.team.clone(),
            kept: false,
        };
        self.ended.insert(task, remembered);
        let ended = Ended {
            task,
            attempt: state.attempt,
            team: state.team,
            name: state.name,
            outcome,
            ran_ms,
        };
        actions.push(Action::Report { ended });
    }

    /// Takes a task out of the books and gives its room back.
    pub(super) fn drop_task(&mut self, task: TaskRef) -> Option<Task> {
        let state = self.tasks.remove(&task)?;
        if let Phase::Held { until } = state.phase {
            self.holds.remove(&(until, task));
        }
        self.shares.give_back(&state.team, &state.resources);
        if state.spec.is_some() {
            self.remove_spread(task.job_id, state.worker);
        }
        self.ledger.release(task);
        self.room_freed = true;
        if let Some(worker) = self.workers.get_mut(state.worker) {
            worker.tasks.remove(&task);
            worker.unlisted.remove(&task);
        }
        self.refresh_open(state.worker);
        Some(state)
    }

    fn learn(&mut self, state: &Task, outcome: &TaskOutcome, ran_ms: u64, now: Millis) {
        match outcome {
            TaskOutcome::Done(_) => {
                self.history.ran(&state.team, &state.name, ran_ms);
                if let Some(worker) = self.workers.get_mut(state.worker) {
                    worker.health.succeeded();
                }
                self.refresh_open(state.worker);
            }
            TaskOutcome::Failed(_) => self.note_failure(state, now),
            TaskOutcome::Cancelled | TaskOutcome::Unknown => {}
        }
    }

    /// Counts a failure against a worker, unless the job fails everywhere.
    pub(super) fn note_failure(&mut self, state: &Task, now: Millis) {
        let Some(info) = self.ledger.worker(state.worker) else {
            return;
        };
        let id = info.id.clone();
        if !self.history.failed(&state.team, &state.name, &id) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(state.worker) {
            let kind = (state.team.clone(), state.name.clone());
            worker.health.failed(kind, now);
        }
        self.refresh_open(state.worker);
    }

    /// Takes over an end that a worker reports.
    pub(super) fn take_end(
        &mut self,
        worker: WorkerKey,
        ended: Ended,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if let Some(known) = self.ended.get(&ended.task)
            && known.attempt == ended.attempt
        {
            let kept = known.kept;
            if kept {
                self.acknowledge(worker, ended.task, ended.attempt);
            }
            return;
        }
        let state = self.tasks.get(&ended.task);
        let ours = state.is_some_and(|state| {
            let held = matches!(state.phase, Phase::Held { .. });
            state.worker == worker && state.attempt == ended.attempt && !held
        });
        if ours {
            self.end_task(ended.task, ended.outcome, ended.ran_ms, now, actions);
            return;
        }
        if state.is_none() {
            let remembered = Remembered {
                attempt: ended.attempt,
                worker,
                team: ended.team.clone(),
                kept: false,
            };
            self.ended.insert(ended.task, remembered);
        }
        actions.push(Action::Report { ended });
    }

    pub(super) fn end_kept(&mut self, task: TaskRef, attempt: u32, now: Millis) {
        let Some(end) = self.ended.get_mut(&task) else {
            self.acknowledge_anywhere(task, attempt);
            return;
        };
        if end.attempt != attempt {
            self.acknowledge_anywhere(task, attempt);
            return;
        }
        end.kept = true;
        let worker = end.worker;
        let at = now.plus(self.options.remember_ms);
        self.forget.insert((at, task, attempt));
        self.acknowledge(worker, task, attempt);
    }

    fn acknowledge(&mut self, worker: WorkerKey, task: TaskRef, attempt: u32) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let kept = KeptEnd { task, attempt };
        if !worker.acks.contains(&kept) {
            worker.acks.push(kept);
        }
    }

    /// Acknowledges an end of an attempt that is not in the books to whichever worker reports it.
    fn acknowledge_anywhere(&mut self, task: TaskRef, attempt: u32) {
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            self.acknowledge(key, task, attempt);
        }
    }

    /// Forgets ends that their homes kept long ago.
    pub(super) fn forget_ends(&mut self, now: Millis) {
        while let Some(&(at, task, attempt)) = self.forget.first() {
            if at > now {
                return;
            }
            self.forget.pop_first();
            let end = self.ended.get(&task);
            if end.is_some_and(|end| end.kept && end.attempt == attempt) {
                self.ended.remove(&task);
            }
        }
    }

    /// Returns the ends of a team's tasks that its home has not kept.
    pub(super) fn unkept_ends(&self, team: &TeamId) -> Vec<KnownTask> {
        let mut known = Vec::new();
        for (task, end) in &self.ended {
            let Some(info) = self.ledger.worker(end.worker) else {
                continue;
            };
            if end.kept || end.team != *team {
                continue;
            }
            known.push(KnownTask {
                task: *task,
                attempt: end.attempt,
                worker: info.id.clone(),
            });
        }
        known
    }
}
