//! The scheduler's state of one worker: its capacity, its runs and whether it can be relied on.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Resources;

use crate::Action;
use crate::JobId;
use crate::LeaseBasis;
use crate::Note;
use crate::Run;
use crate::StepId;
use crate::StepSpec;
use crate::TaskId;
use crate::WorkerNote;
use crate::WorkerSpec;
use crate::circuit_breaker::CircuitBreaker;
use crate::crash_history::Probation;
use crate::drain_record::DrainRecord;
use crate::pacing::Backfill;
use crate::pacing::PaceControl;
use crate::speed::WorkerSpeed;
use crate::stale_capacity::StaleCapacity;
use crate::unsettled_starts::UnsettledStarts;
use crate::workspaces::RunOwner;

/// The phase of a run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start order has not been answered yet.
    Starting,
    /// The worker runs it.
    Running,
    /// A stop was ordered, possibly before the start was answered.
    Stopping,
}

/// A run that may occupy resources on a worker.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a run"
)]
pub(crate) struct WorkerRun {
    pub(crate) resources: Resources,
    /// What its task requested, which counts towards the cap of its workspace.
    pub(crate) requested: Resources,
    /// Whose usage it counts towards.
    pub(crate) owner: RunOwner,
    pub(crate) phase: Phase,
    /// When the start was decided or the run was adopted.
    pub(crate) held_since: Millis,
    /// When the latest order about the run was sent.
    pub(crate) ordered_at: Millis,
    /// Number of orders of the current kind (start or stop) sent so far.
    pub(crate) orders: u32,
    /// Number of copies of the start order that may still arrive or were carried out.
    pub(crate) start_copies: u32,
    /// Whether the latest order is still unanswered.
    pub(crate) in_flight: bool,
    /// The change of the job's progress that includes the latest doubt about a start; 0 if there was none.
    pub(crate) doubt_change: u64,
    /// Start of the current doubt about whether it runs. Only meaningful while the run is in doubt.
    pub(crate) doubt_since: Millis,
    /// When the worker first confirmed that it runs.
    pub(crate) confirmed_at: Option<Millis>,
    /// Whether any report of the worker has listed it.
    pub(crate) reported: bool,
    /// When the worker accepted the stop order.
    pub(crate) stop_accepted_at: Option<Millis>,
    pub(crate) percent: u8,
    pub(crate) percent_at: Millis,
    /// Time and percentage from which its speed is measured: the first report, or the first progress after a restore.
    pub(crate) progress_baseline: Option<(Millis, u8)>,
    /// Whether it resumed from a checkpoint, or may have.
    pub(crate) resumed: bool,
    pub(crate) checkpoint: SmolStr,
    pub(crate) ticket: SmolStr,
    pub(crate) priority: u32,
    /// Whether it saves its progress, so that little is lost by stopping it.
    pub(crate) checkpointed: bool,
    /// Whether it is a member of a gang, whose runs end together.
    pub(crate) gang: bool,
    /// Whether it runs until its job is cancelled.
    pub(crate) long_running: bool,
    pub(crate) share: CpuShare,
    pub(crate) probation: Probation,
    /// Whether it was compared with other runs to learn the speed of its worker.
    pub(crate) is_compared: bool,
}

/// How a run is entitled to processor time.
#[derive(Debug, Clone)]
pub(crate) enum CpuShare {
    /// Gets what it requested. Holds the processor time in use as last reported, in thousandths of a core.
    Reserved { used_cpu_millis: Option<u64> },
    /// Gets what it requested, and its tail latency, as last reported, must stay below the limit.
    LatencyBound { limit_ms: u64, tail_ms: Option<u64> },
    /// Gets the processor time that the other runs leave unused.
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
    /// Creates the run for a task of a step, which occupies its resources from now on while the start is unanswered.
    pub(crate) fn starting(spec: &StepSpec, priority: u32, now: Millis) -> Self {
        Self {
            resources: spec.reserved_resources(),
            requested: spec.resources,
            owner: RunOwner::Unknown,
            phase: Phase::Starting,
            held_since: now,
            ordered_at: now,
            orders: 1,
            start_copies: 1,
            in_flight: true,
            doubt_change: 0,
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
            probation: Probation::without_crashes(),
            is_compared: false,
        }
    }

    /// Returns whether it serves requests with a latency limit.
    pub(crate) const fn is_latency_bound(&self) -> bool {
        matches!(self.share, CpuShare::LatencyBound { .. })
    }

    /// Returns whether it is a long-running task that is ready and serving.
    pub(crate) fn is_in_service(&self) -> bool {
        self.long_running && self.phase == Phase::Running && self.percent >= 100
    }

    /// Returns whether it only gets what the other runs leave unused.
    pub(crate) const fn fills(&self) -> bool {
        matches!(self.share, CpuShare::Fills(_))
    }

    /// Records that a report listed it, with its progress.
    pub(crate) fn record_progress(&mut self, percent: u8, now: Millis) {
        let is_first = !self.reported;
        let moved = self.percent != percent;
        self.reported = true;
        // A resumed run restores its checkpoint first, so its speed is measured from its first progress after that.
        let starts_measuring = !self.resumed || (moved && !is_first);
        if self.progress_baseline.is_none() && starts_measuring {
            self.progress_baseline = Some((now, percent));
        }
        if moved {
            self.percent = percent;
            self.percent_at = now;
        }
    }

    /// Returns since when it has been unknown whether it runs, because its start or its stop is unanswered.
    pub(crate) fn in_doubt_since(&self) -> Option<Millis> {
        let is_unanswered = match self.phase {
            Phase::Starting => true,
            Phase::Running => false,
            Phase::Stopping => self.stop_accepted_at.is_none(),
        };
        is_unanswered.then_some(self.doubt_since)
    }

    /// Returns the number of orders sent since the doubt about it began.
    pub(crate) const fn orders_in_doubt(&self) -> u32 {
        let includes_starts = matches!(self.phase, Phase::Stopping) && self.confirmed_at.is_none();
        let starts = if includes_starts {
            self.start_copies
        } else {
            0
        };
        self.orders.saturating_add(starts)
    }

    /// Marks it as being stopped.
    pub(crate) fn begin_stop(&mut self, now: Millis) {
        // If the start is unanswered, the doubt continues from then.
        if self.phase != Phase::Starting {
            self.doubt_since = now;
        }
        self.phase = Phase::Stopping;
        self.orders = 0;
        self.ordered_at = now;
        self.in_flight = false;
    }

    /// Returns the processor time that is unavailable to other runs, in thousandths of a core.
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

/// The tasks that an end counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndScope {
    /// The task itself.
    Task,
    /// All tasks of the step: they are members of one gang, or that is not known any more.
    Step,
}

/// An end that the worker has to keep until the store has it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnacknowledgedEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    pub(crate) task: TaskId,
    /// Whether the run ended as done.
    pub(crate) is_done: bool,
    /// Of which tasks no start may be carried out after the end is acknowledged; none if the end does not count.
    pub(crate) settles: Option<EndScope>,
    /// The change of the job's progress that includes the end.
    pub(crate) change: u64,
}

impl UnacknowledgedEnd {
    /// Returns whether a start that it counts for may still be carried out.
    fn awaits_starts(&self, unsettled: &UnsettledStarts) -> bool {
        match self.settles {
            None => false,
            Some(EndScope::Task) => unsettled.may_start_late(self.task),
            Some(EndScope::Step) => unsettled.may_start_step_late(self.task.step),
        }
    }
}

/// A worker.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a worker"
)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether it is registered.
    pub(crate) registered: bool,
    /// Whether it has reported its runs to this scheduler.
    pub(crate) runs_known: bool,
    /// Whether its latest renewal was unanswered.
    pub(crate) silent: bool,
    pub(crate) last_answer_at: Millis,
    /// When it last answered with all of its ends.
    pub(crate) all_ends_reported_at: Millis,
    /// When it last reported its capacity.
    pub(crate) capacity_reported_at: Millis,
    /// Set while its capacity may be lower than last reported, after a long silence.
    pub(crate) stale_capacity: Option<StaleCapacity>,
    /// When its latest silence was noticed.
    pub(crate) silent_since: Millis,
    /// The time by which the last of its leases has certainly expired.
    pub(crate) leases_expire_at: Millis,
    /// What that time was counted from.
    pub(crate) lease_basis: LeaseBasis,
    /// For how long this scheduler could read the worker list when it last sent a lease.
    pub(crate) list_readable_at_lease_ms: u64,
    pub(crate) runs: BTreeMap<(TaskId, Run), WorkerRun>,
    used: Resources,
    /// What its runs requested, by the owner of the runs. It holds few owners, so it is not sorted.
    used_by_owner: Vec<(RunOwner, Resources)>,
    pub(crate) reserved: Resources,
    /// Number of the latest end that was handled.
    pub(crate) handled_end: u64,
    pub(crate) unacknowledged: VecDeque<UnacknowledgedEnd>,
    /// Number of the latest end that the worker may discard.
    pub(crate) acknowledged: u64,
    /// The acknowledgement in the latest call, or 0 if it carried none.
    acknowledgement_in_flight: u64,
    /// The highest acknowledgement in a call that was answered.
    acknowledgement_delivered: u64,
    /// Failed runs since the last successful one.
    pub(crate) consecutive_failures: u32,
    /// It gets no new starts before this time.
    pub(crate) quarantined_until: Millis,
    /// Number of its recent quarantines.
    pub(crate) quarantines: u32,
    /// Until then it counts as slow.
    pub(crate) slow_until: Millis,
    /// Number of reservations on it for suspected tasks.
    pub(crate) reserved_suspects: u32,
    /// How many of these reservations are for isolated tasks, which rule out any other start.
    pub(crate) reserved_isolations: u32,
    /// Number of its runs whose tasks were suspected when they were started.
    pub(crate) suspected_runs: u32,
    /// Whether its runs are being moved off, because its VM is about to go down or to move to another pool.
    pub(crate) evacuating: bool,
    /// Whether a successor can learn from the store what may run on it, because it is draining.
    pub(crate) drain_record: DrainRecord,
    /// Controls the pace of the runs that fill unused processor time.
    pub(crate) pace: PaceControl,
    pub(crate) breaker: CircuitBreaker,
    /// What has been learned about its speed. A new incarnation starts without any evidence.
    pub(crate) speed: WorkerSpeed,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, now: Millis) -> Self {
        Self {
            spec,
            registered: true,
            runs_known: false,
            silent: false,
            last_answer_at: now,
            all_ends_reported_at: now,
            capacity_reported_at: Millis(0),
            stale_capacity: None,
            silent_since: now,
            leases_expire_at: now,
            lease_basis: LeaseBasis::None,
            list_readable_at_lease_ms: 0,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            used_by_owner: Vec::new(),
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
            drain_record: DrainRecord::Incomplete,
            pace: PaceControl::new(),
            breaker: CircuitBreaker::new(),
            speed: WorkerSpeed::default(),
        }
    }

    /// Records that a lease on it may end at this time.
    pub(crate) fn extend_leases(&mut self, until: Millis, basis: LeaseBasis) {
        if until > self.leases_expire_at {
            self.leases_expire_at = until;
            self.lease_basis = basis;
        }
    }

    /// Returns the action that logs a note about it.
    pub(crate) fn note(&self, note: WorkerNote) -> Action {
        let worker = self.spec.id.clone();
        Action::Note(Note::Worker { worker, note })
    }

    /// Returns whether it may be sent another start while earlier ones are unanswered.
    pub(crate) fn may_take_start(&self) -> bool {
        let starting = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Starting);
        let limit = usize::try_from(self.breaker.max_unanswered_starts()).unwrap_or(usize::MAX);
        starting.take(limit).count() < limit
    }

    /// Returns the capacity that is neither occupied by runs nor reserved.
    pub(crate) fn available(&self) -> Resources {
        self.available_without(&Resources::ZERO)
    }

    /// Returns the capacity that would be neither occupied nor reserved if `freed` were released. On an overcommitted
    /// worker this is less than `available() + freed`, since released resources first cover the deficit.
    pub(crate) fn available_without(&self, freed: &Resources) -> Resources {
        let taken = self.used.saturating_add(&self.reserved);
        let taken = taken.saturating_sub(freed);
        self.spec.capacity.saturating_sub(&taken)
    }

    /// Returns the capacity that is not occupied by runs; part of it may be reserved.
    pub(crate) fn free(&self) -> Resources {
        self.spec.capacity.saturating_sub(&self.used)
    }

    /// Returns whether its runs occupy more than its capacity, because the capacity shrank while they ran.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits_in(&self.spec.capacity)
    }

    /// Returns the processor time that no run uses or is waiting for, in thousandths of a core.
    pub(crate) fn idle_cpu_millis(&self) -> u64 {
        let used = self.runs.values().map(WorkerRun::used_cpu_millis);
        self.spec.capacity.cpu_millis.saturating_sub(used.sum())
    }

    /// Returns the number of runs with a latency limit.
    pub(crate) fn latency_bound_runs(&self) -> usize {
        self.runs
            .values()
            .filter(|run| run.is_latency_bound())
            .count()
    }

    /// Adds a run, which occupies its resources from now on.
    pub(crate) fn insert(&mut self, task: TaskId, run: Run, held: WorkerRun) {
        self.remove(task, run);
        self.used = self.used.saturating_add(&held.resources);
        self.add_requested(held.owner, &held.requested);
        self.suspected_runs += u32::from(held.probation.began_suspected);
        self.runs.insert((task, run), held);
    }

    /// Removes a run and releases its resources.
    pub(crate) fn remove(&mut self, task: TaskId, run: Run) -> Option<WorkerRun> {
        let removed = self.runs.remove(&(task, run))?;
        self.suspected_runs -= u32::from(removed.probation.began_suspected);
        self.used = self.used.saturating_sub(&removed.resources);
        self.subtract_requested(removed.owner, &removed.requested);
        Some(removed)
    }

    fn add_requested(&mut self, owner: RunOwner, requested: &Resources) {
        let mut used = self.used_by_owner.iter_mut();
        match used.find(|(other, _)| *other == owner) {
            Some((_, sum)) => *sum = sum.saturating_add(requested),
            None => self.used_by_owner.push((owner, *requested)),
        }
    }

    fn subtract_requested(&mut self, owner: RunOwner, requested: &Resources) {
        let mut used = self.used_by_owner.iter_mut();
        if let Some((_, sum)) = used.find(|(other, _)| *other == owner) {
            *sum = sum.saturating_sub(requested);
        }
        self.used_by_owner
            .retain(|(_, sum)| *sum != Resources::ZERO);
    }

    /// Returns what its runs requested, by the owner of the runs.
    pub(crate) fn used_by_owner(&self) -> &[(RunOwner, Resources)] {
        &self.used_by_owner
    }

    /// Returns whether what it counts as occupied is what its runs occupy.
    pub(crate) fn has_consistent_usage(&self) -> bool {
        let mut used = Resources::ZERO;
        let mut requested = Resources::ZERO;
        for run in self.runs.values() {
            used = used.saturating_add(&run.resources);
            requested = requested.saturating_add(&run.requested);
        }
        let mut by_owner = Resources::ZERO;
        for (_, sum) in &self.used_by_owner {
            by_owner = by_owner.saturating_add(sum);
        }
        used == self.used && requested == by_owner
    }

    /// Returns the number of the latest end that the next call tells the worker to discard, or 0 if there is nothing
    /// new.
    ///
    /// Each incarnation of a worker numbers its ends from 1, so a number meant for the previous incarnation would make
    /// the next one discard its own ends. Therefore no number is sent again after an answer, and none is sent to a
    /// worker that has not answered the last call.
    pub(crate) const fn next_acknowledgement(&mut self) -> u64 {
        if self.silent || self.acknowledged <= self.acknowledgement_delivered {
            self.acknowledgement_in_flight = 0;
            return 0;
        }
        self.acknowledgement_in_flight = self.acknowledged;
        self.acknowledged
    }

    /// Records that the latest call, and with it the acknowledgement, was answered.
    pub(crate) const fn confirm_acknowledgement(&mut self) {
        if self.acknowledgement_in_flight > self.acknowledgement_delivered {
            self.acknowledgement_delivered = self.acknowledgement_in_flight;
        }
    }

    /// Advances the acknowledgement to the last end before the first one that the store does not have yet, or of whose
    /// task a start may still be carried out.
    pub(crate) fn advance_acknowledged<F>(&mut self, recorded: F, unsettled: &UnsettledStarts)
    where
        F: Fn(JobId) -> u64,
    {
        while let Some(first) = self.unacknowledged.front() {
            if recorded(first.job) < first.change || first.awaits_starts(unsettled) {
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

    /// Returns the number of runs of a step on it.
    pub(crate) fn count_runs_of(&self, step: StepId) -> u32 {
        u32::try_from(self.runs_of(step).count()).unwrap_or(u32::MAX)
    }
}

/// Returns how many times `need` fits in `available`, at most `limit`.
pub(crate) fn fit_count(available: &Resources, need: &Resources, limit: u32) -> u32 {
    let mut count = limit;
    let pairs = [
        (available.cpu_millis, need.cpu_millis),
        (available.memory_bytes, need.memory_bytes),
        (
            u64::from(available.accelerators),
            u64::from(need.accelerators),
        ),
    ];
    for (available, need) in pairs {
        if need == 0 {
            continue;
        }
        let times = u32::try_from(available / need).unwrap_or(u32::MAX);
        count = count.min(times);
    }
    count
}
