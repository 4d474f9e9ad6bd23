//! The latest changes of a worker's tasks, so that a poll is answered with what is new.

use std::collections::HashSet;
use std::collections::VecDeque;

use syc_types::TaskRef;
use uuid::Uuid;

/// Changes that are kept.
const CHANGES_KEPT: usize = 1_024;

/// Changed tasks, each with the version that the change made.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    version: u64,
    changes: VecDeque<(u64, TaskRef)>,
}

impl Default for ChangeLog {
    /// Begins at a version that no earlier life of the worker has reached.
    fn default() -> Self {
        Self {
            version: Uuid::now_v7().as_u64_pair().0,
            changes: VecDeque::new(),
        }
    }
}

impl ChangeLog {
    /// Returns the version that the latest change made.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Notes that a task began or ended.
    pub(crate) fn note(&mut self, task: TaskRef) {
        self.version += 1;
        self.changes.push_back((self.version, task));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    /// Returns the tasks that changed after a version, or `None` if that is not known any more.
    pub(crate) fn since(&self, seen: u64) -> Option<HashSet<TaskRef>> {
        let oldest = self
            .changes
            .front()
            .map_or(self.version, |first| first.0 - 1);
        if seen < oldest || seen > self.version {
            return None;
        }
        let later = self.changes.iter().filter(|change| change.0 > seen);
        Some(later.map(|change| change.1).collect())
    }
}
