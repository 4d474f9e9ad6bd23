//! A unit of a step: a task, or all tasks of a gang, which are started together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_types::Millis;

use crate::Run;
use crate::WorkerKey;
use crate::crash_history::CrashHistory;
use crate::predecessor_placement::PredecessorPlacement;

/// Outcome of a unit's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    Failed,
    /// Ended for a reason that does not count against the unit.
    Interrupted,
    /// No attempt is left. Only used while a later run is being stopped before the job fails.
    Exhausted,
}

/// State of a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum UnitState {
    /// Waiting to be started.
    Pending,
    /// Started, with the worker of each member; none for members not found after a takeover.
    Placed {
        run: Run,
        members: Vec<Option<WorkerKey>>,
    },
    /// A member has ended and the others are being stopped. With the outcome `Done` or `Exhausted`, the unit has ended by
    /// an earlier run, and this one is being stopped before that is recorded.
    Stopping {
        run: Run,
        /// Workers of the members that have not ended.
        members: Vec<Option<WorkerKey>>,
        outcome: Outcome,
    },
    /// The run has ended, and that is not confirmed by the store yet.
    Recording { outcome: Outcome, change: u64 },
    /// Done, and the store has it.
    Done,
}

/// A task, or all tasks of a gang.
#[derive(Debug, Clone)]
pub(crate) struct Unit {
    pub(crate) state: UnitState,
    pub(crate) failures: u32,
    /// Number of the latest start.
    pub(crate) last_started: Run,
    /// Number of the latest start whose end has been accounted for.
    pub(crate) last_accounted: Run,
    /// Number of the latest start that counted as failed.
    pub(crate) last_failed: Run,
    /// Starts that counted as failed. Ends are not reported in the order of starts, so the latest one is not enough.
    pub(crate) failed_runs: BTreeSet<Run>,
    /// The latest start that an earlier version counted as failed. It stored no others, so any failure of an earlier start
    /// may have been counted.
    pub(crate) failed_before: Run,
    pub(crate) checkpoint: SmolStr,
    /// Total run time of the latest run, extrapolated from its observed speed.
    pub(crate) expected_run_ms: Option<u64>,
    /// Number of times it was moved off a slow worker.
    pub(crate) moves: u32,
    /// Workers to avoid if possible, because it failed on them.
    pub(crate) avoided_workers: Vec<WorkerKey>,
    /// Worker crashes attributed to its members, by member index.
    pub(crate) crash_histories: BTreeMap<usize, CrashHistory>,
    /// Number of the latest start whose worker went silent during its probation, if the unit was suspected.
    pub(crate) silent_run: Run,
    /// Number of its unrecorded starts that may have crashed their workers.
    pub(crate) possible_crashes: u32,
    /// Workers of the latest start by a predecessor.
    pub(crate) predecessor_placement: PredecessorPlacement,
    /// Capacity reserved for it.
    pub(crate) reservation: Option<Reservation>,
    /// Start that is recorded in the store before it is ordered.
    pub(crate) start_intent: Option<StartIntent>,
}

/// Capacity that is reserved for a unit until the runs that occupy it have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) workers: Vec<(WorkerKey, u32)>,
    pub(crate) until: Millis,
    /// Whether workers have crashed while running the unit.
    pub(crate) suspected: bool,
    /// Whether the workers accept no other work meanwhile.
    pub(crate) isolated: bool,
}

impl Reservation {
    /// Returns the worker of each member.
    pub(crate) fn members(&self) -> impl Iterator<Item = WorkerKey> {
        let workers = self.workers.iter();
        workers.flat_map(|(worker, count)| {
            std::iter::repeat_n(*worker, usize::try_from(*count).unwrap_or(0))
        })
    }
}

/// A start that must be in the store before it is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartIntent {
    /// Number of the previous start.
    pub(crate) previous_run: Run,
    /// Change of the job that records it.
    pub(crate) change: u64,
}

impl Unit {
    pub(crate) const fn new() -> Self {
        Self {
            state: UnitState::Pending,
            failures: 0,
            last_started: Run(0),
            last_accounted: Run(0),
            last_failed: Run(0),
            failed_runs: BTreeSet::new(),
            failed_before: Run(0),
            checkpoint: SmolStr::new_static(""),
            expected_run_ms: None,
            moves: 0,
            avoided_workers: Vec::new(),
            crash_histories: BTreeMap::new(),
            silent_run: Run(0),
            possible_crashes: 0,
            predecessor_placement: PredecessorPlacement::NONE,
            reservation: None,
            start_intent: None,
        }
    }

    /// Counts a start as failed, unless it has been counted before. Returns whether it counts now.
    pub(crate) fn count_failure(&mut self, run: Run) -> bool {
        if run <= self.failed_before || !self.failed_runs.insert(run) {
            return false;
        }
        self.last_failed = self.last_failed.max(run);
        self.failures += 1;
        true
    }

    /// Returns whether a run on a worker is the current run of a member. Runs with the same number on different
    /// workers are different runs.
    ///
    /// The worker of a member that was not found after a takeover is unknown and matches any.
    pub(crate) fn is_placed_at(&self, worker: WorkerKey, member: usize, run: Run) -> bool {
        let UnitState::Placed {
            run: placed,
            members,
        } = &self.state
        else {
            return false;
        };
        *placed == run && members[member].is_none_or(|at| at == worker)
    }

    /// Returns whether its record names a worker as that of a member's run.
    pub(crate) fn names_member(&self, worker: WorkerKey, member: usize, run: Run) -> bool {
        let (UnitState::Placed {
            run: current,
            members,
        }
        | UnitState::Stopping {
            run: current,
            members,
            ..
        }) = &self.state
        else {
            return false;
        };
        *current == run && members[member] == Some(worker)
    }

    /// Returns whether it is done, and a later run of it is being stopped before that is recorded.
    pub(crate) const fn is_completion_pending(&self) -> bool {
        matches!(
            self.state,
            UnitState::Stopping {
                outcome: Outcome::Done,
                ..
            }
        )
    }

    /// Returns whether a worker is known on which its latest start is, or was until it ended.
    pub(crate) fn is_located(&self) -> bool {
        match &self.state {
            UnitState::Pending => false,
            UnitState::Placed { members, .. } | UnitState::Stopping { members, .. } => {
                members.iter().any(Option::is_some)
            }
            UnitState::Recording { .. } | UnitState::Done => true,
        }
    }

    /// Returns whether it has ended, as done or without an attempt left, and a later run of it is being stopped before that
    /// is recorded.
    pub(crate) const fn is_end_pending(&self) -> bool {
        matches!(
            self.state,
            UnitState::Stopping {
                outcome: Outcome::Done | Outcome::Exhausted,
                ..
            }
        )
    }

    /// Returns whether a run on a worker is the run of a member that is being stopped. Runs with the same number on
    /// different workers are different runs.
    pub(crate) fn is_stopping_at(&self, worker: WorkerKey, member: usize, run: Run) -> bool {
        let UnitState::Stopping {
            run: stopping,
            members,
            ..
        } = &self.state
        else {
            return false;
        };
        *stopping == run && members[member].is_none_or(|at| at == worker)
    }

    /// Returns whether it is done, even if the store does not have that yet.
    pub(crate) const fn is_done(&self) -> bool {
        matches!(
            self.state,
            UnitState::Done
                | UnitState::Recording {
                    outcome: Outcome::Done,
                    ..
                }
        )
    }
}
