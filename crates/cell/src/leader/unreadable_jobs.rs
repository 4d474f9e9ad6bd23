//! Jobs of which something in the store can't be read: nothing of them starts here, and nobody hears that
//! they do not exist.
//!
//! A node of another version wrote it. Without its progress, a job would begin anew, with tasks that are done;
//! without its record, its submitter would hear that it was never accepted.

use std::cell::RefCell;
use std::collections::BTreeSet;

use syc_sched::JobId;

use crate::leader::Leader;
use crate::ports::Platform;
use crate::unreadable::Source;

/// The jobs that are held back.
#[derive(Debug, Default)]
pub(super) struct UnreadableJobs {
    /// Those whose record can't be read.
    specs: RefCell<BTreeSet<JobId>>,
    /// Those whose progress can't be read.
    progress: RefCell<BTreeSet<JobId>>,
}

impl UnreadableJobs {
    /// Says whether a job is held back.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.specs.borrow().contains(&id) || self.has_unreadable_progress(id)
    }

    /// Says whether what was done of a job is not known.
    pub(super) fn has_unreadable_progress(&self, id: JobId) -> bool {
        self.progress.borrow().contains(&id)
    }

    /// Takes note that what was done of a job is not known.
    pub(super) fn mark_progress_unreadable(&self, id: JobId) {
        self.progress.borrow_mut().insert(id);
    }

    /// Takes note that the record of a job can be read, or is gone.
    pub(super) fn mark_spec_readable(&self, id: JobId) {
        self.specs.borrow_mut().remove(&id);
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Takes note of a record of a job that can't be read.
    pub(super) fn mark_spec_unreadable(&self, key: &str, reason: &str) {
        self.node.report_unreadable(Source::Jobs, key, reason);
        if let Ok(id) = key.parse() {
            self.unreadable_jobs.specs.borrow_mut().insert(id);
        }
    }
}
