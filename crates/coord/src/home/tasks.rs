//! Keeping the tasks of a team and what they hold together in step.

use syc_types::Class;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskRef;
use syc_types::TeamId;

use super::Home;
use super::Phase;
use super::Task;
use super::Team;
use super::Unit;
use super::queue::class_index;
use crate::Job;
use crate::TaskState;

/// Units that are tried again when some of the quota is given back.
const UNBLOCKED: usize = 16;

impl Home {
    /// Takes note that this daemon is about to append the acceptance of a job as its home: none of
    /// its tasks can run anywhere when the log's order reaches the record.
    pub fn accepting(&mut self, job_id: JobId) {
        self.accepting.insert(job_id);
    }

    /// Takes note that the acceptance surely does not count.
    pub fn not_accepted(&mut self, job_id: JobId) {
        self.accepting.remove(&job_id);
    }

    /// Takes in a job that is accepted; it may run already unless this daemon accepted it.
    pub fn learn(&mut self, job: &Job, is_home: bool, now: Millis) {
        let own = self.accepting.remove(&job.id);
        if !is_home {
            return;
        }
        self.ensure_team(&job.spec.team);
        let first_attempt = self.first_attempt();
        let Some(team) = self.teams.get_mut(&job.spec.team) else {
            return;
        };
        if team.resources.contains_key(&job.id) {
            return;
        }
        let open = job.open();
        if open.is_empty() {
            return;
        }
        team.resources.insert(job.id, job.spec.resources);
        let round = if own { 0 } else { team.next_round() };
        for &index in &open {
            let task_ref = TaskRef {
                job_id: job.id,
                index,
            };
            let phase = if own {
                Phase::Waiting
            } else {
                Phase::Unsettled { round }
            };
            let task = Task {
                // Of what another home started, any attempt may be the one that runs.
                attempt: if own { first_attempt } else { 0 },
                failures: 0,
                phase,
                cancelled: false,
            };
            team.insert(task_ref, task);
        }
        if own {
            self.queue_all(job, &open, now);
        }
    }

    /// Returns where a task stands, as callers see it.
    #[must_use]
    pub fn state(&self, team: &TeamId, task: TaskRef) -> TaskState {
        match self.task(team, task).map(|task| &task.phase) {
            None | Some(Phase::Waiting) => TaskState::Pending,
            Some(Phase::Running { worker, .. }) => TaskState::Running(worker.clone()),
            Some(_) => TaskState::Offered,
        }
    }

    pub(super) fn ensure_team(&mut self, name: &TeamId) {
        if self.teams.contains_key(name) {
            return;
        }
        let team = Team {
            quota: self.quotas.get(name).copied().unwrap_or_default(),
            rounds_begun: self.round_base,
            round_needed: self.round_base,
            ..Team::default()
        };
        self.teams.insert(name.clone(), team);
    }

    pub(super) fn queue_all(&mut self, job: &Job, indexes: &[u32], now: Millis) {
        if job.spec.kind == JobKind::Gang {
            self.queue_at(job.id, &job.spec, indexes.to_vec(), now);
            return;
        }
        for &index in indexes {
            self.queue_at(job.id, &job.spec, vec![index], now);
        }
    }

    pub(super) fn queue_at(
        &mut self,
        job_id: JobId,
        spec: &JobSpec,
        indexes: Vec<u32>,
        at: Millis,
    ) {
        let unit = Unit {
            job_id,
            indexes,
            class: spec.class,
            tries: 0,
            asked: Vec::new(),
            pinned: None,
        };
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.queue.push_at(at, unit);
        }
    }

    /// Queues a task that surely does not run for another attempt, after a pause that grows with
    /// `failures`.
    pub(super) fn start_again(
        &mut self,
        team: &TeamId,
        task: TaskRef,
        job: &Job,
        now: Millis,
        failures: u32,
    ) {
        let pause_ms = if failures == 0 {
            0
        } else {
            let doubled = self.options.retry_min_ms << (failures - 1).min(16);
            doubled.min(self.options.retry_max_ms)
        };
        if let Some(state) = self.task_mut(team, task) {
            state.failures = failures;
        }
        self.next_attempt(team, task);
        self.queue_at(job.id, &job.spec, vec![task.index], now.plus(pause_ms));
    }

    pub(super) fn next_attempt(&mut self, team: &TeamId, task: TaskRef) {
        let least = self.first_attempt();
        if let Some(state) = self.task_mut(team, task) {
            state.attempt = least.max(state.attempt.saturating_add(1));
        }
        self.set_phase(team, task, Phase::Waiting);
    }

    pub(super) fn task(&self, team: &TeamId, task: TaskRef) -> Option<&Task> {
        self.teams.get(team)?.tasks.get(&task)
    }

    pub(super) fn task_mut(&mut self, team: &TeamId, task: TaskRef) -> Option<&mut Task> {
        self.teams.get_mut(team)?.tasks.get_mut(&task)
    }

    pub(super) fn set_phase(&mut self, team: &TeamId, task: TaskRef, phase: Phase) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        let Some(mut changed) = state.remove(task) else {
            return;
        };
        changed.phase = phase;
        state.insert(task, changed);
        self.rotate_in(team);
    }

    pub(super) fn remove_task(&mut self, team: &TeamId, task: TaskRef) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        state.remove(task);
        let first = TaskRef { index: 0, ..task };
        let last = TaskRef {
            index: u32::MAX,
            ..task
        };
        if state.tasks.range(first..=last).next().is_none() {
            state.resources.remove(&task.job_id);
        }
        self.rotate_in(team);
    }

    // Lets a team with ready units take part in the rotation of their class.
    pub(super) fn rotate_in(&mut self, name: &TeamId) {
        let Some(team) = self.teams.get(name) else {
            return;
        };
        for class in [Class::Urgent, Class::Normal, Class::Patient] {
            let class = class_index(class);
            if team.queue.has(class) && !self.rotation[class].contains(name) {
                self.rotation[class].push_back(name.clone());
            }
        }
    }
}

impl Team {
    pub(super) fn insert(&mut self, task: TaskRef, state: Task) {
        if state.holds()
            && let Some(used) = self.used.checked_add(&self.size_of(task.job_id)).ok()
        {
            self.used = used;
            self.held_tasks += 1;
        }
        self.tasks.insert(task, state);
    }

    pub(super) fn remove(&mut self, task: TaskRef) -> Option<Task> {
        let removed = self.tasks.remove(&task)?;
        if removed.holds() {
            self.used = self.used.saturating_sub(&self.size_of(task.job_id));
            self.held_tasks = self.held_tasks.saturating_sub(1);
            self.queue.unblock(UNBLOCKED);
        }
        Some(removed)
    }

    pub(super) fn size_of(&self, job_id: JobId) -> Resources {
        let size = self.resources.get(&job_id);
        size.copied().unwrap_or(Resources::ZERO)
    }
}
