//! Restricts job starts to jobs for which the scheduler has recently proved its leadership.
//!
//! A scheduler that has been replaced keeps running until it learns of its successor. If it started a job that was
//! stored after the successor had read the store, the successor would start the job as well. A job may therefore be
//! started only if the store accepted a write of this scheduler that was sent after the scheduler learned of the job,
//! or that was sent a short time ago ([`crate::Options::proof_validity_ms`]).
//!
//! A successor fences off writes of its predecessors before it reads the jobs. It has thus read every job that a
//! predecessor could have started on an older proof. Jobs that are stored within the validity of a proof wait like
//! the ones it has read.

use syc_types::Millis;

use crate::Scheduler;

/// The latest write of this scheduler that the store accepted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadershipProof {
    /// Number of jobs that had been added when it was sent.
    jobs_added: u64,
    /// When it was sent, or `None` before the first write.
    sent_at: Option<Millis>,
}

impl LeadershipProof {
    /// Allows every job to be started at any time.
    pub(crate) const NOT_REQUIRED: Self = Self {
        jobs_added: u64::MAX,
        sent_at: None,
    };
}

impl Scheduler {
    /// Returns the number of jobs added since this scheduler took over.
    #[must_use]
    pub const fn jobs_added(&self) -> u64 {
        self.jobs_added
    }

    /// Requires a proof of leadership for starting jobs. By default, none is required.
    pub const fn require_leadership_proof(&mut self) {
        self.leadership_proof = LeadershipProof {
            jobs_added: 0,
            sent_at: None,
        };
    }

    /// Records that the store accepted a write, sent at `sent_at` when `jobs_added` jobs had been added.
    pub const fn record_leadership_proof(&mut self, jobs_added: u64, sent_at: Millis) {
        self.leadership_proof = LeadershipProof {
            jobs_added,
            sent_at: Some(sent_at),
        };
    }

    /// Returns whether a job waits for a proof of leadership, or will soon.
    #[must_use]
    pub fn needs_leadership_proof(&self, now: Millis) -> bool {
        let renew_ms = self.options.proof_validity_ms / 2;
        let is_old = self
            .leadership_proof
            .sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= renew_ms);
        self.leadership_proof.jobs_added < self.jobs_added && is_old
    }

    /// Returns whether the job that was added as the given number may be started.
    pub(crate) fn may_start_job(&self, number: u64, now: Millis) -> bool {
        let is_fresh = self
            .leadership_proof
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) < self.options.proof_validity_ms);
        number <= self.leadership_proof.jobs_added || is_fresh
    }

    /// Sets whether all predecessors require a proof of leadership, which earlier versions do not.
    pub const fn set_predecessors_require_proof(&mut self, required: bool) {
        self.predecessors_require_proof = required;
    }
}
