//! What happens to runs on workers, for whoever keeps a record of it.

use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::WorkerId;

/// Something that happened to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// It began.
    Started {
        /// Where.
        worker: WorkerId,
        /// Of which task.
        task: TaskId,
        /// Its number.
        run: Run,
    },
    /// It ended, and its room is free.
    Ended {
        /// Where.
        worker: WorkerId,
        /// Of which task.
        task: TaskId,
        /// Its number.
        run: Run,
        /// How.
        end: RunEnd,
        /// When.
        at: Millis,
    },
    /// A scheduler has noted its end.
    Acknowledged {
        /// Where.
        worker: WorkerId,
        /// Of which task.
        task: TaskId,
        /// Its number.
        run: Run,
        /// How it had ended.
        end: RunEnd,
        /// Whether a lease of the worker lapsed in between.
        void: bool,
    },
}
