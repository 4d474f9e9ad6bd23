//! Why an offer was not taken.

use smol_str::SmolStr;
use syc_types::Resources;
use syc_types::WorkerId;
use thiserror::Error;

/// Says why none of an offer's tasks were started.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// There was no room within the time that the tasks could wait.
    #[error("no_room")]
    NoRoom,
    /// No worker of this owner could ever run such a task.
    #[error("never_fits: {0}")]
    NeverFits(NearMiss),
    /// The owner's workers could never run that many such tasks at once.
    #[error("too_many_at_once: {fitting} of {asked} tasks fit on the empty workers")]
    TooMany {
        /// Tasks that fit at once.
        fitting: u64,
        /// Tasks that were offered.
        asked: u64,
    },
    /// The offer has no tasks, or names one twice.
    #[error("malformed")]
    Malformed,
    /// A later attempt is known, or an earlier one has not ended.
    #[error("other_attempt")]
    OtherAttempt,
    /// The attempt has ended.
    #[error("already_ended")]
    AlreadyEnded,
    /// The tasks were cancelled while they waited.
    #[error("cancelled")]
    Cancelled,
    /// Some task may have been started by an owner that no longer is the owner.
    #[error("in_doubt")]
    InDoubt,
}

/// The worker that comes nearest to running a task that fits nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NearMiss {
    /// The worker; `None` where the owner has no worker at all.
    pub worker: Option<WorkerId>,
    /// What the empty worker lacks.
    pub lacking: Resources,
}

impl std::fmt::Display for NearMiss {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Some(worker) = &self.worker else {
            return f.write_str("there is no worker");
        };
        write!(f, "nearest is {worker}, which lacks")?;
        let lacking = &self.lacking;
        if lacking.cpu_millis > 0 {
            write!(f, " {} cpu_millis", lacking.cpu_millis)?;
        }
        if lacking.memory_bytes > 0 {
            write!(f, " {} memory_bytes", lacking.memory_bytes)?;
        }
        if lacking.accelerators > 0 {
            write!(f, " {} accelerators", lacking.accelerators)?;
        }
        Ok(())
    }
}

impl Refusal {
    /// Returns the stable code of the reason.
    #[must_use]
    pub fn code(&self) -> SmolStr {
        let text = self.to_string();
        SmolStr::new(text.split(':').next().unwrap_or_default())
    }
}
