//! Which jobs may be started, since no successor can have read the store without them.
//!
//! A scheduler that has a successor goes on until it learns so. A job that it starts then is unknown to the successor
//! if it was stored after that read the store: the successor starts it too. So a job is started only once the store
//! has taken something of this scheduler that was sent after it learned of the job. A successor makes the store
//! refuse that before it reads the jobs, so it has read each job that was started.

use crate::Scheduler;

impl Scheduler {
    /// Counts the jobs that were added since it began.
    #[must_use]
    pub const fn jobs_added(&self) -> u64 {
        self.jobs_added
    }

    /// Takes note that the store took something that was sent when so many jobs had been added. Without a call,
    /// all jobs may be started.
    pub const fn set_jobs_proved(&mut self, added: u64) {
        self.jobs_proved = added;
    }

    /// Says whether some job waits until the store takes something.
    #[must_use]
    pub const fn has_unproved_jobs(&self) -> bool {
        self.jobs_proved < self.jobs_added
    }

    /// Tells whether the predecessors start jobs only by this rule, as those of earlier versions don't.
    pub const fn set_predecessors_prove(&mut self, prove: bool) {
        self.predecessors_prove = prove;
    }
}
