//! State of one worker: its runs, its unacknowledged ends, its lease and its fencing token.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::ports::OrderError;
use syc_sched::EndReport;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::TaskId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use crate::InvariantChecker;
use crate::TaskPlan;
use crate::interference::RunInterference;

/// Startup time of a long-running task, after which it is in service.
const STARTUP_MS: u64 = 200;

/// One incarnation of a worker.
#[derive(Debug, Clone)]
pub struct WorkerModel {
    /// Name of the worker.
    pub id: WorkerId,
    /// Start time, which distinguishes this incarnation from earlier ones with the same name.
    pub started_at: Millis,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Earlier capacities, each with the time until which starts may still rely on it.
    pub(crate) previous_capacities: Vec<(Resources, Millis)>,
    /// Rate by which the worker's clock is slow, in thousandths.
    pub clock_slow_per_mille: u64,
    /// Speed of its runs, in percent of the nominal one.
    pub speed_percent: u64,
    pub(crate) token: u64,
    pub(crate) lease_until_ms: u64,
    pub(crate) runs: BTreeMap<TaskId, LiveRun>,
    /// Latest run of each task that ended or was stopped on this worker.
    pub(crate) latest_runs: BTreeMap<TaskId, Run>,
    pub(crate) ends: Vec<EndReport>,
    /// Ends up to this number were reported before a lease expired, so their acknowledgement no longer counts.
    pub(crate) last_void_end: u64,
    pub(crate) last_end: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct LiveRun {
    pub(crate) run: Run,
    pub(crate) resources: Resources,
    pub(crate) gang: bool,
    /// Whether the task runs until it is stopped.
    pub(crate) long_running: bool,
    pub(crate) started_at: Millis,
    /// Time at which the stop completes, if one was requested.
    pub(crate) stop_done_at: Option<Millis>,
    /// Work done by this run, plus the work that its checkpoint restored.
    pub(crate) work_done_ms: u64,
    pub(crate) plan: TaskPlan,
    pub(crate) checkpointed: bool,
    pub(crate) interference: RunInterference,
    /// Time at which the run crashes the worker.
    pub(crate) crashes_at: Option<Millis>,
}

impl WorkerModel {
    /// Creates a worker without runs.
    #[must_use]
    pub const fn new(id: WorkerId, capacity: Resources, clock_slow_per_mille: u64) -> Self {
        Self {
            id,
            started_at: Millis(0),
            capacity,
            previous_capacities: Vec::new(),
            clock_slow_per_mille,
            speed_percent: 100,
            token: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            latest_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_void_end: 0,
            last_end: 0,
        }
    }

    /// Returns the capacity that starts are checked against. After a recent reduction, this is the previous capacity.
    pub(crate) fn effective_capacity(&self, now: Millis) -> Resources {
        let mut counts = self.capacity;
        for (before, until) in &self.previous_capacities {
            if now < *until && counts.fits_in(before) {
                counts = *before;
            }
        }
        counts
    }

    /// Returns the next incarnation of the worker, with empty state, restarted end numbers and a restarted clock.
    #[must_use]
    pub fn restarted(&self, now: Millis) -> Self {
        Self {
            started_at: now,
            speed_percent: self.speed_percent,
            ..Self::new(self.id.clone(), self.capacity, self.clock_slow_per_mille)
        }
    }

    /// Returns the reading of the worker's clock at `now`.
    #[must_use]
    pub fn clock_ms(&self, now: Millis) -> u64 {
        let passed_ms = now.since(self.started_at);
        passed_ms - passed_ms * self.clock_slow_per_mille / 1_000
    }

    /// Returns the time at which the lease expires by the worker's clock.
    #[must_use]
    pub fn lease_end(&self) -> Millis {
        let runs_per_mille = 1_000 - self.clock_slow_per_mille.min(999);
        let passed_ms = (self.lease_until_ms.saturating_mul(1_000)).div_ceil(runs_per_mille);
        Millis(self.started_at.0.saturating_add(passed_ms))
    }

    /// Extends the lease, by at most `limit_ms` from now. A lease is never shortened.
    pub(crate) fn extend_lease(&mut self, until_ms: u64, limit_ms: u64, now: Millis) {
        let last_ms = self.clock_ms(now).saturating_add(limit_ms);
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(last_ms));
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there are unacknowledged ends.
    #[must_use]
    pub const fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns the pace of a task's run, if it runs on this worker.
    #[must_use]
    pub fn pace_percent(&self, task: TaskId) -> Option<u8> {
        self.runs
            .get(&task)
            .map(|live| live.interference.pace_percent)
    }

    pub(crate) fn interfering_cpu_millis(&self) -> u64 {
        let runs = self.runs.values();
        runs.map(|live| live.interference.interfering_cpu_millis())
            .sum()
    }

    pub(crate) fn used(&self) -> Resources {
        let mut used = Resources::ZERO;
        for run in self.runs.values() {
            used = used.saturating_add(&run.resources);
        }
        used
    }

    pub(crate) fn check_token(&mut self, token: u64) -> Result<(), OrderError> {
        if token < self.token {
            return Err(OrderError::Fenced);
        }
        self.token = token;
        Ok(())
    }

    pub(crate) fn end(
        &mut self,
        task: TaskId,
        end: RunEnd,
        at: Millis,
        checker: &mut InvariantChecker,
    ) {
        let Some(live) = self.runs.remove(&task) else {
            return;
        };
        self.latest_runs.insert(task, live.run);
        self.last_end += 1;
        let checkpoint = checkpoint_of(&live);
        self.ends.push(EndReport {
            number: self.last_end,
            task,
            run: live.run,
            end,
            checkpoint,
        });
        checker.ended(&self.id, task, live.run, end, at);
    }
}

impl LiveRun {
    /// Returns the progress of the run. A long-running task is at 100 once it has started up.
    pub(crate) fn percent(&self) -> u8 {
        if self.long_running {
            return if self.work_done_ms >= STARTUP_MS {
                100
            } else {
                0
            };
        }
        let percent = self.work_done_ms * 100 / self.plan.work_ms.max(1);
        u8::try_from(percent.min(99)).unwrap_or(99)
    }
}

pub(crate) fn checkpoint_of(live: &LiveRun) -> SmolStr {
    if live.checkpointed && live.work_done_ms > 0 {
        format_smolstr!("{}", live.work_done_ms)
    } else {
        SmolStr::default()
    }
}
