//! What a task is suspected of under which workers crashed, and which runs may still take their workers down.

use syc_types::Millis;
use syc_types::WorkerId;

use crate::CrashCount;
use crate::Run;
use crate::TaskId;
use crate::job::Unit;
use crate::worker::Worker;
use crate::worker::WorkerRun;

/// A run that its worker lists after this time did not take it down with its start.
const PROBATION_MS: u64 = 500;

/// Where each run on a lost worker was there for longer than that, those that were there for less than this are
/// suspected. A task that runs for longer is cleared of what it was suspected of.
pub(crate) const RECENT_RUN_MS: u64 = 10_000;

/// Workers that crash under a task before it is started only where nothing else can be blamed.
const ISOLATE_AFTER_CRASHES: u32 = 2;

/// Workers that crash under a task before it is given up.
const GIVE_UP_AFTER_CRASHES: u32 = 3;

/// Those of them for which nothing else could be blamed: workers also crash for reasons of their own.
const GIVE_UP_AFTER_SOLE_CRASHES: u32 = 2;

/// Workers that crash under a task before it is given up in any case. One that had been there for longer than its
/// probation is given up only then: but for its start, it looks like one whose workers crash by themselves.
const CRASHES_LIMIT: u32 = 5;

/// What a task is suspected of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CrashHistory {
    pub(crate) count: CrashCount,
    /// Longest time that it had been there when its worker went silent.
    longest_confirmed_ms: u64,
}

/// What a crash says of a task that was there.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) worker: WorkerId,
    /// Whether nothing else can be blamed.
    pub(crate) sole_suspect: bool,
    /// Whether it had outlived its probation.
    pub(crate) late: bool,
    /// Time for which it had been there when the worker went silent.
    pub(crate) confirmed_ms: u64,
}

impl CrashHistory {
    /// Returns what a predecessor wrote of a task.
    pub(crate) const fn restored(count: CrashCount) -> Self {
        Self {
            count,
            longest_confirmed_ms: 0,
        }
    }

    /// Counts a crash under it.
    pub(crate) fn add(&mut self, crash: &Crash) {
        self.count.workers += 1;
        self.count.sole_suspect += u32::from(crash.sole_suspect);
        self.count.after_startup |= crash.late;
        self.longest_confirmed_ms = self.longest_confirmed_ms.max(crash.confirmed_ms);
    }

    const fn exceeds_limit(self) -> bool {
        let CrashCount {
            workers,
            sole_suspect,
            after_startup,
            ..
        } = self.count;
        let is_certain =
            workers >= GIVE_UP_AFTER_CRASHES && sole_suspect >= GIVE_UP_AFTER_SOLE_CRASHES;
        workers >= CRASHES_LIMIT || is_certain && !after_startup
    }

    /// Returns the time after which a run of the task is no longer expected to take its worker down.
    fn probation_ms(self) -> u64 {
        PROBATION_MS.max(self.longest_confirmed_ms * 2)
    }
}

/// How long a run has to be there before it is no longer suspected, and what its task is suspected of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probation {
    /// Workers that crashed under its task before.
    pub(crate) crashes: u32,
    pub(crate) limit_ms: u64,
    /// Whether it has been there for that long.
    pub(crate) is_over: bool,
    /// Whether its task was suspected when it began.
    pub(crate) began_suspected: bool,
}

impl Probation {
    /// Begins that of a run of a task.
    pub(crate) fn of(history: CrashHistory) -> Self {
        Self {
            crashes: history.count.workers,
            limit_ms: history.probation_ms(),
            is_over: false,
            began_suspected: history.count.workers > 0,
        }
    }
}

impl Unit {
    /// Returns what that of its members is suspected of that most workers crashed under.
    pub(crate) fn worst_crash_history(&self) -> CrashHistory {
        let worst = self
            .blames
            .values()
            .max_by_key(|history| history.count.workers);
        worst.copied().unwrap_or_default()
    }

    /// Returns how many workers have crashed under one of its members at most.
    pub(crate) fn crashes(&self) -> u32 {
        self.worst_crash_history().count.workers
    }

    /// Says whether it is to be started where nothing else can be blamed for a crash.
    pub(crate) fn is_isolated(&self) -> bool {
        self.crashes() >= ISOLATE_AFTER_CRASHES
    }

    /// Says whether it surely takes its workers down.
    pub(crate) fn exceeds_crash_limit(&self) -> bool {
        self.blames.values().any(|history| history.exceeds_limit())
    }
}

impl WorkerRun {
    /// Says whether it may still take its worker down with its start.
    pub(crate) const fn is_on_probation(&self) -> bool {
        !self.probation.is_over
    }

    fn is_suspected(&self) -> bool {
        self.is_on_probation() && self.probation.crashes > 0
    }

    /// Says whether nothing else is to be blamed for what it may still do.
    pub(crate) fn is_isolated(&self) -> bool {
        self.is_on_probation() && self.probation.crashes >= ISOLATE_AFTER_CRASHES
    }

    /// Returns for how long it has been there, as far as its worker has told.
    pub(crate) fn confirmed_ms(&self, now: Millis) -> u64 {
        self.confirmed_at.map_or(0, |at| now.since(at))
    }
}

impl Worker {
    /// Says whether some run may still take it down with its start.
    pub(crate) fn has_run_on_probation(&self) -> bool {
        self.runs.values().any(WorkerRun::is_on_probation)
    }

    /// Says whether some suspected run may still do so, or is about to be started.
    pub(crate) fn has_suspect(&self) -> bool {
        let may_include = self.suspected_runs > 0;
        self.reserved_suspects > 0 || may_include && self.runs.values().any(WorkerRun::is_suspected)
    }

    /// Says whether it takes nothing else, so that nothing else can be blamed if it crashes.
    pub(crate) fn is_kept_clear(&self) -> bool {
        let may_include = self.suspected_runs > 0;
        self.reserved_isolations > 0
            || may_include && self.runs.values().any(WorkerRun::is_isolated)
    }

    /// Returns the runs that may have taken it down.
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
