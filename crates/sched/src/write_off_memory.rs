//! The latest write-offs, to recognize a run that a worker lists after it was taken as over.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use syc_types::Millis;
use syc_types::WorkerId;

use crate::JobId;
use crate::LeaseBasis;
use crate::Run;
use crate::StepId;
use crate::TaskId;
use crate::WriteOff;
use crate::WriteOffReason;

/// Number of write-offs that are remembered.
const REMEMBERED_LIMIT: usize = 4_096;

/// What is remembered of a write-off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlierWriteOff {
    /// The worker that the run was on then; none if it was not known.
    pub worker: Option<WorkerId>,
    /// Why it was taken as over.
    pub reason: WriteOffReason,
    /// What the end of the lease was counted from.
    pub lease_basis: LeaseBasis,
    /// When it was taken as over.
    pub written_off_at: Millis,
}

/// The latest write-offs. The first one of a run is kept: the start that followed rests on it.
#[derive(Debug, Default)]
pub(crate) struct WriteOffMemory {
    by_run: BTreeMap<(TaskId, Run), EarlierWriteOff>,
    /// The remembered runs, the oldest first.
    order: VecDeque<(TaskId, Run)>,
}

impl WriteOffMemory {
    pub(crate) fn remember(&mut self, write_off: &WriteOff, now: Millis) {
        let name = (write_off.task, write_off.run);
        if self.by_run.contains_key(&name) {
            return;
        }
        if self.order.len() >= REMEMBERED_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_run.remove(&oldest);
        }
        self.order.push_back(name);
        let earlier = EarlierWriteOff {
            worker: write_off.worker.clone(),
            reason: write_off.reason,
            lease_basis: write_off.lease_basis,
            written_off_at: now,
        };
        self.by_run.insert(name, earlier);
    }

    pub(crate) fn get(&self, task: TaskId, run: Run) -> Option<&EarlierWriteOff> {
        self.by_run.get(&(task, run))
    }

    /// Forgets the runs of a job.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        let step = StepId {
            job,
            occurrence: 0,
            step: 0,
        };
        let first = (TaskId { step, index: 0 }, Run(0));
        let mut from_first = self.by_run.range(first..);
        let is_remembered = from_first
            .next()
            .is_some_and(|((task, _), _)| task.step.job == job);
        if !is_remembered {
            return;
        }
        self.order.retain(|(task, _)| task.step.job != job);
        self.by_run.retain(|(task, _), _| task.step.job != job);
    }
}
