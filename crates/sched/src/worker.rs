//! What a scheduler knows of one worker: its room, its runs and how far it is to be trusted.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Resources;

use crate::Action;
use crate::JobId;
use crate::Note;
use crate::Run;
use crate::StepId;
use crate::StepSpec;
use crate::TaskId;
use crate::WorkerNote;
use crate::WorkerSpec;
use crate::circuit_breaker::CircuitBreaker;
use crate::crash_history::CrashHistory;
use crate::crash_history::Probation;
use crate::pacing::Backfill;
use crate::pacing::PaceControl;
use crate::stale_capacity::StaleCapacity;

/// How far a run is on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start order has no answer yet.
    Starting,
    /// It runs.
    Running,
    /// It was told to stop, or not to start.
    Stopping,
}

/// One run that may hold room on a worker.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a run"
)]
pub(crate) struct WorkerRun {
    pub(crate) resources: Resources,
    pub(crate) phase: Phase,
    /// When its start was decided, or it was adopted.
    pub(crate) held_since: Millis,
    /// When the latest order about it was sent.
    pub(crate) ordered_at: Millis,
    /// Orders of that kind sent so far.
    pub(crate) orders: u32,
    /// Copies of its start order that may be under way, or were carried out.
    pub(crate) copies: u32,
    /// Whether the latest order has no answer yet.
    pub(crate) in_flight: bool,
    /// Since when it has been in doubt, while it is.
    pub(crate) doubt_since: Millis,
    /// When the worker first said that it runs.
    pub(crate) confirmed_at: Option<Millis>,
    /// Whether some report listed it.
    pub(crate) reported: bool,
    /// When the worker took the stop order.
    pub(crate) stop_accepted_at: Option<Millis>,
    pub(crate) percent: u8,
    pub(crate) percent_at: Millis,
    /// When it was first listed, or had been restored, and how far it was.
    pub(crate) progress_baseline: Option<(Millis, u8)>,
    /// Whether it went on from a checkpoint, or may have.
    pub(crate) resumed: bool,
    pub(crate) checkpoint: SmolStr,
    pub(crate) ticket: SmolStr,
    pub(crate) priority: u32,
    /// Whether it saves its progress, so that stopping it loses next to nothing.
    pub(crate) checkpointed: bool,
    /// Whether other runs end with it.
    pub(crate) gang: bool,
    /// Whether it runs until its job is cancelled.
    pub(crate) long_running: bool,
    pub(crate) share: CpuShare,
    pub(crate) probation: Probation,
}

/// What part of a worker a run gets, beside its room.
#[derive(Debug, Clone)]
pub(crate) enum CpuShare {
    /// What it asked for. The processor time that it uses, in thousandths of a core, as reported last.
    Reserved { used_cpu_millis: Option<u64> },
    /// What it asked for. The tail of its response times, as reported last, must stay below the limit.
    LatencyBound { limit_ms: u64, tail_ms: Option<u64> },
    /// What the others leave unused.
    Fills(Backfill),
}

impl CpuShare {
    fn of_step(spec: &StepSpec) -> Self {
        if spec.fills {
            return Self::Fills(Backfill::started(spec.resources.cpu_millis));
        }
        match spec.tail_limit_ms {
            Some(limit_ms) => Self::LatencyBound {
                limit_ms,
                tail_ms: None,
            },
            None => Self::Reserved {
                used_cpu_millis: None,
            },
        }
    }
}

impl WorkerRun {
    /// Makes the run of a step's task that holds room from now on and has no answer yet.
    pub(crate) fn starting(spec: &StepSpec, priority: u32, now: Millis) -> Self {
        Self {
            resources: spec.reserved_resources(),
            phase: Phase::Starting,
            held_since: now,
            ordered_at: now,
            orders: 1,
            copies: 1,
            in_flight: true,
            doubt_since: now,
            confirmed_at: None,
            reported: false,
            stop_accepted_at: None,
            percent: 0,
            percent_at: now,
            progress_baseline: None,
            resumed: false,
            checkpoint: SmolStr::default(),
            ticket: SmolStr::default(),
            priority,
            checkpointed: spec.checkpointed && !spec.long_running,
            gang: spec.gang,
            long_running: spec.long_running,
            share: CpuShare::of_step(spec),
            probation: Probation::of(CrashHistory::default()),
        }
    }

    /// Says whether it serves users of its own, whose response times have a limit.
    pub(crate) const fn is_latency_bound(&self) -> bool {
        matches!(self.share, CpuShare::LatencyBound { .. })
    }

    /// Says whether it runs until its job is cancelled, and is at work.
    pub(crate) fn is_in_service(&self) -> bool {
        self.long_running && self.phase == Phase::Running && self.percent >= 100
    }

    /// Says whether it gets what others leave unused.
    pub(crate) const fn fills(&self) -> bool {
        matches!(self.share, CpuShare::Fills(_))
    }

    /// Takes note that it is listed, and how far it is.
    pub(crate) fn record_progress(&mut self, percent: u8, now: Millis) {
        let is_first = !self.reported;
        let moved = self.percent != percent;
        self.reported = true;
        // What is restored first makes no progress: it counts from its first step on.
        let counts = !self.resumed || (moved && !is_first);
        if self.progress_baseline.is_none() && counts {
            self.progress_baseline = Some((now, percent));
        }
        if moved {
            self.percent = percent;
            self.percent_at = now;
        }
    }

    /// Returns since when it has not been known whether it runs: its start or its stop has no answer.
    pub(crate) fn in_doubt_since(&self) -> Option<Millis> {
        let is_open = match self.phase {
            Phase::Starting => true,
            Phase::Running => false,
            Phase::Stopping => self.stop_accepted_at.is_none(),
        };
        is_open.then_some(self.doubt_since)
    }

    /// Counts the orders since the doubt about it began.
    pub(crate) const fn orders_in_doubt(&self) -> u32 {
        let includes_starts = matches!(self.phase, Phase::Stopping) && self.confirmed_at.is_none();
        let starts = if includes_starts { self.copies } else { 0 };
        self.orders.saturating_add(starts)
    }

    /// Takes note that it is to be stopped from now on.
    pub(crate) fn begin_stop(&mut self, now: Millis) {
        // The doubt whether it was started goes on.
        if self.phase != Phase::Starting {
            self.doubt_since = now;
        }
        self.phase = Phase::Stopping;
        self.orders = 0;
        self.ordered_at = now;
        self.in_flight = false;
    }

    /// Returns the processor time that it takes from others, in thousandths of a core.
    fn used_cpu_millis(&self) -> u64 {
        match &self.share {
            CpuShare::Reserved { used_cpu_millis } => {
                used_cpu_millis.unwrap_or(self.resources.cpu_millis)
            }
            CpuShare::LatencyBound { .. } => self.resources.cpu_millis,
            CpuShare::Fills(fill) => fill.wanted_cpu_millis,
        }
    }
}

/// An end that the worker must not forget before it is kept in the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnacknowledgedEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    /// The change of the job that includes the end.
    pub(crate) change: u64,
}

/// One worker.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent belief about a worker"
)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether it is registered.
    pub(crate) registered: bool,
    /// Whether it has told what runs on it.
    pub(crate) runs_known: bool,
    /// Whether its latest renewal went without an answer.
    pub(crate) silent: bool,
    pub(crate) last_answer_at: Millis,
    /// When it last told what it has.
    pub(crate) capacity_reported_at: Millis,
    /// The doubt whether it has less than it told last, as it was silent for long before.
    pub(crate) stale_capacity: Option<StaleCapacity>,
    /// When its latest silence began to show.
    pub(crate) silent_since: Millis,
    /// When the last of its leases has surely lapsed.
    pub(crate) lapse_at: Millis,
    pub(crate) runs: BTreeMap<(TaskId, Run), WorkerRun>,
    used: Resources,
    pub(crate) reserved: Resources,
    /// Number of the latest end that was handled.
    pub(crate) handled_end: u64,
    pub(crate) unacknowledged: VecDeque<UnacknowledgedEnd>,
    /// Number of the latest end that may be forgotten, as told last, and as told in a call that was answered.
    pub(crate) acknowledged: u64,
    acknowledgement_in_flight: u64,
    acknowledgement_delivered: u64,
    /// Failed ends since the last good one.
    pub(crate) consecutive_failures: u32,
    /// It gets nothing new before this time.
    pub(crate) quarantined_until: Millis,
    /// Times that it was quarantined lately.
    pub(crate) quarantines: u32,
    /// It counts as slow until then.
    pub(crate) slow_until: Millis,
    /// Suspected tasks that room is kept for.
    pub(crate) reserved_suspects: u32,
    /// Those of them for which it is to take nothing else.
    pub(crate) reserved_isolations: u32,
    /// Runs there whose tasks were suspected when they began.
    pub(crate) suspected_runs: u32,
    /// Whether its work moves off, since its VM is about to be taken.
    pub(crate) evacuating: bool,
    /// How fast the runs may go that fill what is left over.
    pub(crate) pace: PaceControl,
    pub(crate) contact: CircuitBreaker,
}

impl Worker {
    pub(crate) const fn new(spec: WorkerSpec, now: Millis) -> Self {
        Self {
            spec,
            registered: true,
            runs_known: false,
            silent: false,
            last_answer_at: now,
            capacity_reported_at: Millis(0),
            stale_capacity: None,
            silent_since: now,
            lapse_at: now,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            reserved: Resources::ZERO,
            handled_end: 0,
            unacknowledged: VecDeque::new(),
            acknowledged: 0,
            acknowledgement_in_flight: 0,
            acknowledgement_delivered: 0,
            consecutive_failures: 0,
            quarantined_until: Millis(0),
            quarantines: 0,
            slow_until: Millis(0),
            reserved_suspects: 0,
            reserved_isolations: 0,
            suspected_runs: 0,
            evacuating: false,
            pace: PaceControl::new(),
            contact: CircuitBreaker::new(),
        }
    }

    /// Returns what the log should tell of it.
    pub(crate) fn note(&self, note: WorkerNote) -> Action {
        let worker = self.spec.id.clone();
        Action::Note(Note::Worker { worker, note })
    }

    /// Says whether it may be sent another start before it has answered those under way.
    pub(crate) fn may_take_start(&self) -> bool {
        let starting = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Starting);
        let limit = usize::try_from(self.contact.max_unanswered_starts()).unwrap_or(usize::MAX);
        starting.take(limit).count() < limit
    }

    /// Returns what no run holds and no reservation claims.
    pub(crate) fn available(&self) -> Resources {
        self.available_without(&Resources::ZERO)
    }

    /// Returns what no run would hold and no reservation claim, were so much of it freed: of a worker whose room shrank
    /// under its runs, some of that was never there.
    pub(crate) fn available_without(&self, freed: &Resources) -> Resources {
        let taken = self.used.saturating_add(&self.reserved);
        let taken = taken.saturating_sub(freed);
        self.spec.capacity.saturating_sub(&taken)
    }

    /// Returns what no run holds.
    pub(crate) fn free(&self) -> Resources {
        self.spec.capacity.saturating_sub(&self.used)
    }

    /// Says whether its runs take more than it has: its room shrank under them.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits_in(&self.spec.capacity)
    }

    /// Returns the processor time that no run uses or waits for, in thousandths of a core.
    pub(crate) fn idle_cpu_millis(&self) -> u64 {
        let used = self.runs.values().map(WorkerRun::used_cpu_millis);
        self.spec.capacity.cpu_millis.saturating_sub(used.sum())
    }

    /// Counts the runs that serve users of their own.
    pub(crate) fn latency_bound_runs(&self) -> usize {
        self.runs
            .values()
            .filter(|run| run.is_latency_bound())
            .count()
    }

    /// Adds a run; its room is taken from now on.
    pub(crate) fn insert(&mut self, task: TaskId, run: Run, held: WorkerRun) {
        self.remove(task, run);
        self.used = self.used.saturating_add(&held.resources);
        self.suspected_runs += u32::from(held.probation.began_suspected);
        self.runs.insert((task, run), held);
    }

    /// Removes a run and frees its room.
    pub(crate) fn remove(&mut self, task: TaskId, run: Run) -> Option<WorkerRun> {
        let removed = self.runs.remove(&(task, run))?;
        self.suspected_runs -= u32::from(removed.probation.began_suspected);
        self.used = self.used.saturating_sub(&removed.resources);
        Some(removed)
    }

    /// Returns what the next call tells of ends that may be forgotten; 0 for nothing new.
    ///
    /// A later life of a worker counts its ends anew, and would forget its own. So nothing is told twice, nor to one
    /// that has not answered the last call.
    pub(crate) const fn next_acknowledgement(&mut self) -> u64 {
        if self.silent || self.acknowledged <= self.acknowledgement_delivered {
            self.acknowledgement_in_flight = 0;
            return 0;
        }
        self.acknowledgement_in_flight = self.acknowledged;
        self.acknowledged
    }

    /// Takes note that the latest call was answered.
    pub(crate) const fn confirm_acknowledgement(&mut self) {
        if self.acknowledgement_in_flight > self.acknowledgement_delivered {
            self.acknowledgement_delivered = self.acknowledgement_in_flight;
        }
    }

    /// Finds out up to which end the worker may forget.
    pub(crate) fn advance_acknowledged<F>(&mut self, recorded: F)
    where
        F: Fn(JobId) -> u64,
    {
        while let Some(first) = self.unacknowledged.front() {
            if recorded(first.job) < first.change {
                break;
            }
            self.acknowledged = first.number;
            self.unacknowledged.pop_front();
        }
    }

    /// Returns the runs of a step on it.
    pub(crate) fn runs_of(
        &self,
        step: StepId,
    ) -> impl Iterator<Item = (&(TaskId, Run), &WorkerRun)> {
        let first = TaskId { step, index: 0 };
        let from_first = self.runs.range((first, Run(0))..);
        from_first.take_while(move |((task, _), _)| task.step == step)
    }

    /// Counts the runs of a step on it.
    pub(crate) fn count_runs_of(&self, step: StepId) -> u32 {
        u32::try_from(self.runs_of(step).count()).unwrap_or(u32::MAX)
    }

    /// Says whether any run of a task holds room on it.
    pub(crate) fn has_run_of(&self, task: TaskId) -> bool {
        let mut from_first = self.runs.range((task, Run(0))..);
        from_first
            .next()
            .is_some_and(|((first, _), _)| *first == task)
    }
}

/// Returns how many times `need` fits in `room`, at most `limit`.
pub(crate) fn fit_count(room: &Resources, need: &Resources, limit: u32) -> u32 {
    let mut count = limit;
    let pairs = [
        (room.cpu_millis, need.cpu_millis),
        (room.memory_bytes, need.memory_bytes),
        (u64::from(room.accelerators), u64::from(need.accelerators)),
    ];
    for (room, need) in pairs {
        if need == 0 {
            continue;
        }
        let times = u32::try_from(room / need).unwrap_or(u32::MAX);
        count = count.min(times);
    }
    count
}
