//! Events in the life of a run, for recording.

use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::WorkerId;

/// Something that happened to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// The run started.
    Started {
        /// Worker that the run belongs to.
        worker: WorkerId,
        /// Task that the run belongs to.
        task: TaskId,
        /// Run number.
        run: Run,
    },
    /// The run ended and released its resources.
    Ended {
        /// Worker that the run belongs to.
        worker: WorkerId,
        /// Task that the run belongs to.
        task: TaskId,
        /// Run number.
        run: Run,
        /// Reason for the end.
        end: RunEnd,
        /// Time of the end.
        at: Millis,
    },
    /// A scheduler acknowledged the end of the run.
    Acknowledged {
        /// Worker that the run belongs to.
        worker: WorkerId,
        /// Task that the run belongs to.
        task: TaskId,
        /// Run number.
        run: Run,
        /// Reason for the end.
        end: RunEnd,
        /// Whether a lease of the worker expired between the end and its acknowledgement.
        void: bool,
    },
}
