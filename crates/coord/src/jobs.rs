//! Job states as the log's records and the owners' reports make them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use serde::Serialize;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::WorkerId;
use uuid::Uuid;

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
    /// When its last task ended, in the log's own milliseconds.
    #[serde(skip)]
    pub ended_at_ms: Option<u64>,
}

impl Job {
    /// Makes a job none of whose tasks has started.
    #[must_use]
    pub fn new(id: JobId, spec: JobSpec) -> Self {
        let count = spec.tasks as usize;
        Self {
            id,
            spec,
            tasks: vec![TaskState::Pending; count],
            intents: vec![false; count],
            ended_at_ms: None,
        }
    }

    /// Says whether every task has ended.
    #[must_use]
    pub fn ended(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.all(|task| matches!(task, TaskState::Ended(_)))
    }

    /// Returns the indexes of the tasks that have not ended.
    #[must_use]
    pub fn open(&self) -> Vec<u32> {
        let indexed = (0..).zip(&self.tasks);
        indexed
            .filter(|(_, task)| !matches!(task, TaskState::Ended(_)))
            .map(|(index, _)| index)
            .collect()
    }
}

/// Every accepted job that is known.
#[derive(Debug, Clone, Default)]
pub struct Jobs {
    by_id: HashMap<JobId, Job>,
    // Ended jobs by the log's time of their end.
    ended: BTreeSet<(u64, JobId)>,
    // The latest intent of each task that is known by its record.
    intents: HashMap<TaskRef, Uuid>,
    // Intents that this member has withdrawn and may read from the log only now.
    withdrawn: HashSet<Uuid>,
}

impl Jobs {
    /// Adds an accepted job; one that is known stays as it is. Returns whether it is new.
    pub fn accept(&mut self, id: JobId, spec: &JobSpec) -> bool {
        if self.by_id.contains_key(&id) {
            return false;
        }
        self.by_id.insert(id, Job::new(id, spec.clone()));
        true
    }

    /// Notes that a task may be started from now on.
    pub fn intend(&mut self, task: TaskRef) {
        let Some(job) = self.by_id.get_mut(&task.job_id) else {
            return;
        };
        if let Some(intent) = job.intents.get_mut(task.index as usize) {
            *intent = true;
        }
    }

    /// Notes the record that says that a task may be started from now on.
    pub fn intend_by(&mut self, task: TaskRef, intent: Uuid) {
        if self.withdrawn.contains(&intent) {
            return;
        }
        self.intents.insert(task, intent);
        self.intend(task);
    }

    /// Returns the latest intent of a task, if it is known by its record.
    #[must_use]
    pub fn intent_of(&self, task: TaskRef) -> Option<Uuid> {
        self.intents.get(&task).copied()
    }

    /// Notes that this member has withdrawn an intent, before it reads that from the log: when the
    /// intent itself is read later, it counts no more.
    pub fn withdraw_early(&mut self, task: TaskRef, intent: Uuid) {
        self.withdrawn.insert(intent);
        self.clear_intent(task, intent);
    }

    /// Notes the record that says that an intent was withdrawn.
    pub fn withdraw(&mut self, task: TaskRef, intent: Uuid) {
        self.withdrawn.remove(&intent);
        self.clear_intent(task, intent);
    }

    // A later intent of the same task stays.
    fn clear_intent(&mut self, task: TaskRef, intent: Uuid) {
        if self.intents.get(&task) != Some(&intent) {
            return;
        }
        self.intents.remove(&task);
        let job = self.by_id.get_mut(&task.job_id);
        if let Some(intent) = job.and_then(|job| job.intents.get_mut(task.index as usize)) {
            *intent = false;
        }
    }

    /// Moves a task to another state, unless it has ended. Returns whether it moved.
    pub fn set(&mut self, task: TaskRef, state: TaskState) -> bool {
        let Some(job) = self.by_id.get_mut(&task.job_id) else {
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

    /// Ends every task that has not ended, as cancelled; returns their indexes.
    pub fn cancel(&mut self, id: JobId) -> Vec<u32> {
        let open = self.by_id.get(&id).map(Job::open).unwrap_or_default();
        for &index in &open {
            let task = TaskRef { job_id: id, index };
            self.set(task, TaskState::Ended(TaskOutcome::Cancelled));
        }
        open
    }

    /// Notes the log's time at which a job ended, if it has.
    pub fn note_end(&mut self, id: JobId, at_ms: u64) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if job.ended_at_ms.is_some() || !job.ended() {
            return;
        }
        job.ended_at_ms = Some(at_ms);
        self.ended.insert((at_ms, id));
    }

    /// Forgets the jobs that ended before `at_ms` on the log's clock.
    pub fn forget_before(&mut self, at_ms: u64) {
        while let Some(&(ended_at_ms, id)) = self.ended.first() {
            if ended_at_ms >= at_ms {
                return;
            }
            self.ended.pop_first();
            self.by_id.remove(&id);
            self.intents.retain(|task, _| task.job_id != id);
        }
    }

    /// Takes over a job from a snapshot or a peer, in place of what is known of it.
    pub fn restore(&mut self, job: Job) {
        if let Some(at_ms) = job.ended_at_ms {
            self.ended.insert((at_ms, job.id));
        }
        self.by_id.insert(job.id, job);
    }

    /// Returns a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// Returns every job.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }
}
