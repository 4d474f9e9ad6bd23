//! The worker crashes that a task is suspected of, and the probation of runs that may still crash their workers.

use syc_types::Millis;
use syc_types::WorkerId;

use crate::CrashCount;
use crate::Run;
use crate::TaskId;
use crate::unit::Unit;
use crate::worker::Worker;
use crate::worker::WorkerRun;

/// A run that its worker still reports after this time did not crash it by starting.
const PROBATION_MS: u64 = 500;

/// If all runs on a lost worker had passed their probation, those that were there for less than this are suspected. A
/// run that lasts longer clears its task of all suspicion.
pub(crate) const RECENT_RUN_MS: u64 = 10_000;

/// After this many crashes under a task, it is started only isolated, so that nothing else can be the cause.
const ISOLATE_AFTER_CRASHES: u32 = 2;

/// After this many crashes under a task, it is given up, if enough of them have it as the sole suspect.
const GIVE_UP_AFTER_CRASHES: u32 = 3;

/// How many of these crashes must have the task as the sole suspect, since workers also crash for unrelated reasons.
const GIVE_UP_AFTER_SOLE_CRASHES: u32 = 2;

/// After this many crashes under a task, it is given up in any case. A task under which a worker crashed after the
/// probation is given up only then, because such a crash can't be told from one that has an unrelated reason.
/// Unrecorded starts that may have crashed their workers count too.
const CRASHES_LIMIT: u32 = 5;

/// How many of these crashes must be known to have happened under the task.
const KNOWN_CRASHES_LIMIT: u32 = 4;

/// The crashes that a task is suspected of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CrashHistory {
    pub(crate) count: CrashCount,
    /// Longest time that a run had been confirmed when its worker went silent.
    longest_confirmed_ms: u64,
}

/// What a crash says about a task that was on the worker.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) worker: WorkerId,
    /// Whether nothing else can be the cause, if the run was still there.
    pub(crate) sole_suspect: bool,
    /// Whether only the stored placement shows that the run was there, so that it may have ended before the crash.
    pub(crate) inferred: bool,
    /// Whether the run had passed its probation.
    pub(crate) late: bool,
    /// For how long the run had been confirmed when the worker went silent.
    pub(crate) confirmed_ms: u64,
}

impl CrashHistory {
    /// Restores what a predecessor recorded about a task.
    pub(crate) const fn restored(count: CrashCount) -> Self {
        Self {
            count,
            longest_confirmed_ms: 0,
        }
    }

    /// Adds a crash. Returns whether it counts as one with the task as the sole suspect.
    ///
    /// For an inferred crash, that requires that each earlier one was such a crash: a task under which workers crashed
    /// for unrelated reasons may have ended before the next such crash.
    pub(crate) fn add(&mut self, crash: &Crash) -> bool {
        let is_consistent = self.count.sole_suspect == self.count.workers;
        let sole_suspect = crash.sole_suspect && (is_consistent || !crash.inferred);
        self.count.workers += 1;
        self.count.sole_suspect += u32::from(sole_suspect);
        self.count.after_startup |= crash.late;
        self.longest_confirmed_ms = self.longest_confirmed_ms.max(crash.confirmed_ms);
        sole_suspect
    }

    /// `possible_crashes` is the number of unrecorded starts that may have crashed their workers too.
    const fn exceeds_limit(self, possible_crashes: u32) -> bool {
        let CrashCount {
            workers,
            sole_suspect,
            after_startup,
            ..
        } = self.count;
        let may_reach_limit = workers.saturating_add(possible_crashes) >= CRASHES_LIMIT;
        let is_certain = sole_suspect >= GIVE_UP_AFTER_SOLE_CRASHES;
        let is_likely = sole_suspect > 0 && may_reach_limit;
        let is_guilty = workers >= GIVE_UP_AFTER_CRASHES && (is_certain || is_likely);
        may_reach_limit && workers >= KNOWN_CRASHES_LIMIT || is_guilty && !after_startup
    }

    /// Returns the time after which a run of the task is no longer expected to crash its worker.
    fn probation_ms(self) -> u64 {
        PROBATION_MS.max(self.longest_confirmed_ms * 2)
    }
}

/// The probation of a run: how long it has to be there before it is no longer suspected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probation {
    /// Earlier crashes under its task.
    pub(crate) crashes: u32,
    pub(crate) limit_ms: u64,
    /// Whether the run has passed it.
    pub(crate) is_over: bool,
    /// Whether the task was suspected when the run began.
    pub(crate) began_suspected: bool,
    /// Whether the task has crashes, known or possible, that are forgotten once the run has been there for long enough.
    pub(crate) may_clear_history: bool,
}

impl Probation {
    /// Begins the probation of a run of a unit.
    pub(crate) fn of(unit: &Unit) -> Self {
        let history = unit.worst_crash_history();
        Self {
            may_clear_history: history.count.workers > 0 || unit.possible_crashes > 0,
            ..Self::with_history(history)
        }
    }

    /// Begins the probation of a run of a task without earlier crashes.
    pub(crate) fn without_crashes() -> Self {
        Self::with_history(CrashHistory::default())
    }

    fn with_history(history: CrashHistory) -> Self {
        Self {
            crashes: history.count.workers,
            limit_ms: history.probation_ms(),
            is_over: false,
            began_suspected: history.count.workers > 0,
            may_clear_history: false,
        }
    }
}

impl Unit {
    /// Returns the history of the member with the most crashes.
    pub(crate) fn worst_crash_history(&self) -> CrashHistory {
        let worst = self
            .crash_histories
            .values()
            .max_by_key(|history| history.count.workers);
        worst.copied().unwrap_or_default()
    }

    /// Returns the largest number of crashes under any of its members.
    pub(crate) fn crashes(&self) -> u32 {
        self.worst_crash_history().count.workers
    }

    /// Returns whether it has to be started isolated, so that nothing else can be the cause of a crash.
    pub(crate) fn is_isolated(&self) -> bool {
        self.crashes() >= ISOLATE_AFTER_CRASHES
    }

    /// Returns whether it has caused enough crashes to be given up.
    pub(crate) fn exceeds_crash_limit(&self) -> bool {
        self.crash_histories
            .values()
            .any(|history| history.exceeds_limit(self.possible_crashes))
    }
}

impl WorkerRun {
    /// Returns whether it may still crash its worker by starting.
    pub(crate) const fn is_on_probation(&self) -> bool {
        !self.probation.is_over
    }

    fn is_suspected(&self) -> bool {
        self.is_on_probation() && self.probation.crashes > 0
    }

    /// Returns whether it has to stay isolated, so that nothing else can be the cause of a crash.
    pub(crate) fn is_isolated(&self) -> bool {
        self.is_on_probation() && self.probation.crashes >= ISOLATE_AFTER_CRASHES
    }

    /// Returns for how long it has been there, counted from when its worker confirmed it.
    pub(crate) fn confirmed_ms(&self, now: Millis) -> u64 {
        self.confirmed_at.map_or(0, |at| now.since(at))
    }
}

impl Worker {
    /// Returns whether some run may still crash it by starting.
    pub(crate) fn has_run_on_probation(&self) -> bool {
        self.runs.values().any(WorkerRun::is_on_probation)
    }

    /// Returns whether a suspected run may still crash it, or is about to be started on it.
    pub(crate) fn has_suspect(&self) -> bool {
        let may_include = self.suspected_runs > 0;
        self.reserved_suspects > 0 || may_include && self.runs.values().any(WorkerRun::is_suspected)
    }

    /// Returns whether it takes no other starts, so that nothing else can be the cause of a crash.
    pub(crate) fn is_isolated(&self) -> bool {
        let may_include = self.suspected_runs > 0;
        self.reserved_isolations > 0
            || may_include && self.runs.values().any(WorkerRun::is_isolated)
    }

    /// Returns the runs of suspected tasks that may still crash it by starting.
    pub(crate) fn suspects_on_probation(&self) -> Vec<(TaskId, Run)> {
        self.runs_where(WorkerRun::is_suspected)
    }

    /// Returns the runs that may have crashed it.
    pub(crate) fn crash_suspects(&self, silent_at: Millis) -> Vec<(TaskId, Run)> {
        let on_probation = self.runs_where(WorkerRun::is_on_probation);
        if on_probation.is_empty() {
            return self.runs_where(|run| run.confirmed_ms(silent_at) < RECENT_RUN_MS);
        }
        on_probation
    }

    fn runs_where<F>(&self, holds: F) -> Vec<(TaskId, Run)>
    where
        F: Fn(&WorkerRun) -> bool,
    {
        let runs = self.runs.iter().filter(|(_, run)| holds(run));
        runs.map(|(name, _)| *name).collect()
    }
}
