//! Jobs with unreadable records in the store. They are not started here, and are not reported as
//! nonexistent.
//!
//! Such records were written by a node of another version. Without its progress, a job would
//! restart tasks that are already done; without its specification, its submitter would be told that
//! it was never accepted.

use std::cell::RefCell;
use std::collections::BTreeSet;

use syc_sched::JobId;

use crate::leader::Leader;
use crate::ports::Platform;
use crate::records;
use crate::unreadable::Source;

/// The jobs that are held back.
#[derive(Debug, Default)]
pub(super) struct UnreadableJobs {
    /// Jobs with an unreadable specification.
    specs: RefCell<BTreeSet<JobId>>,
    /// Jobs with unreadable progress.
    progress: RefCell<BTreeSet<JobId>>,
}

impl UnreadableJobs {
    /// Returns whether a job is held back.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.specs.borrow().contains(&id) || self.has_unreadable_progress(id)
    }

    /// Returns whether the progress of a job is unreadable.
    pub(super) fn has_unreadable_progress(&self, id: JobId) -> bool {
        self.progress.borrow().contains(&id)
    }

    /// Marks the progress of a job as unreadable.
    pub(super) fn mark_progress_unreadable(&self, id: JobId) {
        self.progress.borrow_mut().insert(id);
    }

    /// Clears the mark of a job whose specification is readable or was removed.
    pub(super) fn mark_spec_readable(&self, id: JobId) {
        self.specs.borrow_mut().remove(&id);
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Marks the specification of a job as unreadable and reports it.
    pub(super) fn mark_spec_unreadable(&self, key: &str, reason: &str) {
        self.node.report_unreadable(Source::Jobs, key, reason);
        if let Some(id) = records::submitted_job(key) {
            self.unreadable_jobs.specs.borrow_mut().insert(id);
        }
    }
}
