//! Job states as the log's records and the owners' reports make them.

use std::collections::HashMap;

use serde::Serialize;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::WorkerId;

/// State of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Not placed.
    Pending,
    /// An owner is being asked to start it.
    Offered,
    /// Runs on this worker.
    Running(WorkerId),
    /// Ended, and the record of it is in the log.
    Ended(TaskOutcome),
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// Its declaration.
    pub spec: JobSpec,
    /// Its tasks' states, by index.
    pub tasks: Vec<TaskState>,
    /// Whether a start of each task may have happened already.
    #[serde(skip)]
    pub intents: Vec<bool>,
}

impl Job {
    /// Says whether every task has ended.
    #[must_use]
    pub fn ended(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.all(|task| matches!(task, TaskState::Ended(_)))
    }

    /// Returns the indexes of the tasks that wait for a place.
    #[must_use]
    pub fn pending(&self) -> Vec<u32> {
        let indexed = (0..).zip(&self.tasks);
        indexed
            .filter(|(_, task)| **task == TaskState::Pending)
            .map(|(index, _)| index)
            .collect()
    }
}

/// Every accepted job that is known.
#[derive(Debug, Clone, Default)]
pub struct Jobs {
    jobs: HashMap<JobId, Job>,
}

impl Jobs {
    /// Adds an accepted job; one that is known stays as it is. Returns whether it is new.
    pub fn accept(&mut self, id: JobId, spec: &JobSpec) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        let count = spec.tasks as usize;
        let job = Job {
            id,
            spec: spec.clone(),
            tasks: vec![TaskState::Pending; count],
            intents: vec![false; count],
        };
        self.jobs.insert(id, job);
        true
    }

    /// Notes that a task may be started from now on.
    pub fn intend(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        if let Some(intent) = job.intents.get_mut(task.index as usize) {
            *intent = true;
        }
    }

    /// Moves a task to another state, unless it has ended. Returns whether it moved.
    pub fn set(&mut self, task: TaskRef, state: TaskState) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return false;
        };
        let Some(current) = job.tasks.get_mut(task.index as usize) else {
            return false;
        };
        if matches!(current, TaskState::Ended(_)) {
            return false;
        }
        *current = state;
        true
    }

    /// Returns a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns every job.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }
}
