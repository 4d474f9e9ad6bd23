//! Which jobs may be started, since no successor can take them for new while this scheduler starts them.
//!
//! A scheduler that has a successor goes on until it learns so. What it starts then of a job that was stored after the
//! successor read the store, the successor would start too. So a job is started only if the store took something of
//! this scheduler that was sent after it learned of the job, or was sent a short time ago. A successor has the store
//! refuse that before it reads the jobs: it has read each job that is older, and lets what is stored within that short
//! time wait, as what it has read.

use syc_types::Millis;

use crate::Scheduler;

/// What the store took of this scheduler last.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadershipProof {
    /// Jobs that had been added when it was sent.
    jobs_added: u64,
    /// When it was sent; none before the first.
    sent_at: Option<Millis>,
}

impl LeadershipProof {
    /// Stands for one that never gets old.
    pub(crate) const NOT_REQUIRED: Self = Self {
        jobs_added: u64::MAX,
        sent_at: None,
    };
}

impl Scheduler {
    /// Counts the jobs that were added since it began.
    #[must_use]
    pub const fn jobs_added(&self) -> u64 {
        self.jobs_added
    }

    /// Has jobs be started by proofs only. Without a call, all may be started at any time.
    pub const fn require_leadership_proof(&mut self) {
        self.leadership_proof = LeadershipProof {
            jobs_added: 0,
            sent_at: None,
        };
    }

    /// Takes note that the store took something that was sent at that time, when so many jobs had been added.
    pub const fn record_leadership_proof(&mut self, jobs_added: u64, sent_at: Millis) {
        self.leadership_proof = LeadershipProof {
            jobs_added,
            sent_at: Some(sent_at),
        };
    }

    /// Says whether some job waits for a proof, or soon will.
    #[must_use]
    pub fn needs_leadership_proof(&self, now: Millis) -> bool {
        let renew_ms = self.options.proof_validity_ms / 2;
        let is_old = self
            .leadership_proof
            .sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= renew_ms);
        self.leadership_proof.jobs_added < self.jobs_added && is_old
    }

    /// Says whether the job with a number among those added may be started.
    pub(crate) fn may_start_job(&self, number: u64, now: Millis) -> bool {
        let is_fresh = self
            .leadership_proof
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) < self.options.proof_validity_ms);
        number <= self.leadership_proof.jobs_added || is_fresh
    }

    /// Tells whether the predecessors start jobs only by this rule, as those of earlier versions don't.
    pub const fn set_predecessors_require_proof(&mut self, required: bool) {
        self.predecessors_require_proof = required;
    }
}
