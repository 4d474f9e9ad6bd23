//! The scheduler's state and its event handling.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use slotmap::SlotMap;
use smol_str::SmolStr;
use syc_retry::Budget;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;
use syc_types::WorkspaceName;
use syc_workspace::may_access;

use crate::Action;
use crate::AdviceSlots;
use crate::Cancellation;
use crate::Event;
use crate::JobId;
use crate::JobState;
use crate::Options;
use crate::TaskId;
use crate::VmOperation;
use crate::WorkerCounts;
use crate::WorkerKey;
use crate::consistency::ConsistencyCheck;
use crate::durations::Durations;
use crate::forecast::Forecast;
use crate::headroom::Headroom;
use crate::ids::JobKey;
use crate::job::Job;
use crate::leadership_proof::LeadershipProof;
use crate::maintenance::Maintenance;
use crate::misdirected::MisdirectedRun;
use crate::orphans::OrphanedRun;
use crate::pacing::Interference;
use crate::pools::Pools;
use crate::recovery::Recovery;
use crate::retention::CellClock;
use crate::run_ends::UnitRef;
use crate::speed::SpeedComparison;
use crate::stale_capacity::RegistrationReads;
use crate::unsettled_starts::UnsettledStarts;
use crate::vms::VmInventory;
use crate::worker::Worker;
use crate::workspaces::Workspaces;
use crate::write_off_memory::WriteOffMemory;

/// Burst size of the cell-wide retry budget. Accepted orders refill the budget on top of this.
const RETRY_BURST: u64 = 64;

/// Rate at which the cell-wide retry budget refills by itself, in retries per second.
const RETRIES_PER_S: u64 = 20;

/// Wall-clock adjustments smaller than this do not change when timed jobs are due.
const MIN_WALL_CLOCK_CHANGE_MS: u64 = 20;

/// Advice statistics of a queue, from which the share of allowed workers is estimated.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct QueueStats {
    pub(crate) asked: f64,
    pub(crate) allowed: f64,
}

/// The scheduler of one cell.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) options: Options,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) worker_keys: HashMap<WorkerId, WorkerKey>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) job_keys: HashMap<JobId, JobKey>,
    pub(crate) registrations: RegistrationReads,
    /// Jobs that have not ended yet.
    pub(crate) open_jobs: BTreeSet<JobKey>,
    /// Jobs whose progress differs from what is stored.
    pub(crate) dirty: BTreeSet<JobKey>,
    /// Jobs that started since they were last written. They are written along with other records, so that a
    /// successor does not report a job as queued that was already reported as running.
    pub(crate) started_since_recorded: BTreeSet<JobKey>,
    /// Cancellations that arrived before their jobs, with the time of arrival.
    pub(crate) early_cancellations: BTreeMap<Cancellation, Millis>,
    pub(crate) queues: HashMap<SmolStr, QueueStats>,
    pub(crate) recovery: Recovery,
    /// Reported runs whose jobs have not been loaded yet.
    pub(crate) orphans: Vec<OrphanedRun>,
    /// All jobs that were stored before this time have been loaded.
    pub(crate) jobs_read_at: Millis,
    /// The latest times at which workers went silent that were lost afterwards.
    pub(crate) recent_silences: VecDeque<Millis>,
    /// Runs whose start may have reached an incarnation of the worker that is not registered yet.
    pub(crate) misdirected: Vec<MisdirectedRun>,
    /// Start orders that may still be carried out.
    pub(crate) unsettled_starts: UnsettledStarts,
    /// What starts without an answer may take of each worker's next life, by the worker's name, as of the beginning of the
    /// scheduling pass.
    pub(crate) room_in_doubt: BTreeMap<SmolStr, Resources>,
    /// Units that have ended, of which a later start may still be carried out.
    pub(crate) held_ends: Vec<UnitRef>,
    pub(crate) consistency: ConsistencyCheck,
    pub(crate) write_offs: WriteOffMemory,
    /// Number of jobs added since this scheduler took over.
    pub(crate) jobs_added: u64,
    pub(crate) leadership_proof: LeadershipProof,
    pub(crate) predecessors_require_proof: bool,
    pub(crate) cell_clock: CellClock,
    /// The wall clock, once it is known.
    pub(crate) wall_clock: Option<DayAnchor>,
    pub(crate) headroom: Headroom,
    pub(crate) forecast: Forecast,
    pub(crate) workspaces: Workspaces,
    pub(crate) interference: Interference,
    pub(crate) vms: VmInventory,
    pub(crate) maintenance: Maintenance,
    pub(crate) pools: Pools,
    pub(crate) advice_slots: AdviceSlots,
    /// Limits retries of orders to all workers together.
    pub(crate) retry_budget: Budget,
    /// Comparison of the learned speeds of the workers.
    pub(crate) speeds: SpeedComparison,
    /// Learned ratios of actual to estimated run times.
    pub(crate) durations: Durations,
    pub(crate) actions: Vec<Action>,
    /// Number of workers examined so far for advice calls and placement.
    pub(crate) examined: Cell<u64>,
    /// The tasks with a run on some worker, as of the first start of a scheduling pass.
    pub(crate) held_tasks: Option<HashSet<TaskId>>,
}

impl Scheduler {
    /// Creates a scheduler without workers or jobs.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            workers: SlotMap::with_key(),
            worker_keys: HashMap::new(),
            registrations: RegistrationReads::default(),
            jobs: SlotMap::with_key(),
            job_keys: HashMap::new(),
            open_jobs: BTreeSet::new(),
            dirty: BTreeSet::new(),
            started_since_recorded: BTreeSet::new(),
            early_cancellations: BTreeMap::new(),
            queues: HashMap::new(),
            recovery: Recovery::default(),
            orphans: Vec::new(),
            jobs_read_at: Millis(u64::MAX),
            recent_silences: VecDeque::new(),
            misdirected: Vec::new(),
            unsettled_starts: UnsettledStarts::default(),
            room_in_doubt: BTreeMap::new(),
            held_ends: Vec::new(),
            consistency: ConsistencyCheck::default(),
            write_offs: WriteOffMemory::default(),
            jobs_added: 0,
            leadership_proof: LeadershipProof::NOT_REQUIRED,
            predecessors_require_proof: false,
            cell_clock: CellClock::default(),
            wall_clock: None,
            headroom: Headroom::default(),
            forecast: Forecast::default(),
            workspaces: Workspaces::default(),
            interference: Interference::default(),
            vms: VmInventory::default(),
            maintenance: Maintenance::default(),
            pools: Pools::default(),
            advice_slots: AdviceSlots::UNBOUNDED,
            retry_budget: Budget::new(RETRY_BURST, RETRIES_PER_S),
            speeds: SpeedComparison::default(),
            durations: Durations::default(),
            actions: Vec::new(),
            examined: Cell::new(0),
            held_tasks: None,
        }
    }

    /// Returns the timeouts and limits in use.
    #[must_use]
    pub const fn options(&self) -> &Options {
        &self.options
    }

    /// Applies an event and returns the resulting actions.
    ///
    /// Waiting tasks are only placed by [`Scheduler::schedule`], so that several events can share one
    /// scheduling pass.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.held_tasks = None;
        match event {
            Event::WorkerListed(spec) => self.worker_listed(spec, now),
            Event::WorkerUnlisted(id) => self.worker_unlisted(&id, now),
            Event::WorkersRead { asked_at } => self.workers_read(asked_at, now),
            Event::JobStored { spec, age_ms } => self.add_job(*spec, age_ms, now),
            Event::JobCancelled(cancellation) => self.cancel(cancellation, now),
            Event::Renewed {
                worker,
                sent_at,
                report,
            } => self.renewed(worker, sent_at, &report, now),
            Event::Renewing { worker } => self.renewing(worker, now),
            Event::RenewalFailed { worker } => self.renewal_failed(worker, now),
            Event::Replaced { worker } => self.replaced(worker, now),
            Event::Restarted { worker } => self.worker_restarted(worker, now),
            Event::StartAnswered {
                worker,
                task,
                run,
                answer,
            } => self.start_answered(worker, task, run, answer, now),
            Event::StopAnswered {
                worker,
                task,
                run,
                accepted,
            } => self.stop_answered(worker, task, run, accepted, now),
            Event::PaceAnswered {
                worker,
                task,
                run,
                percent,
                accepted,
            } => self.pace_answered(worker, (task, run), percent, accepted, now),
            Event::Advised {
                step,
                asked,
                answer,
            } => self.advice_answered(step, &asked, answer, now),
            Event::WavePublished { wave, age_ms } => self.wave_published(wave, age_ms, now),
            Event::WaveRecorded { wave, change } => self.wave_recorded(wave, change),
            Event::WorkspacesSet(policies) => self.set_workspaces(policies),
            Event::StandbySet(services) => self.set_standby_pools(services),
            Event::VmsListed { asked_at, vms } => self.vms_listed(asked_at, vms),
            Event::VmOrderAnswered {
                vm,
                operation,
                answer,
            } => match operation {
                VmOperation::Maintenance { wave } => {
                    self.maintenance_answered(wave, &vm, answer, now);
                }
                VmOperation::Move { pool } => self.move_answered(&vm, &pool, answer, now),
            },
            Event::Recorded { jobs } => self.recorded(&jobs, now),
            Event::Ticked => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Sets how many advice calls the next scheduling pass may make.
    pub const fn set_advice_slots(&mut self, slots: AdviceSlots) {
        self.advice_slots = slots;
    }

    /// Returns the stored state of a job, or `None` if the job is unknown.
    ///
    /// A job that has started is reported as running even before that is stored.
    #[must_use]
    pub fn state_of(&self, id: JobId) -> Option<JobState> {
        let key = self.job_keys.get(&id)?;
        let job = &self.jobs[*key];
        if !job.visible_state.is_terminal() && job.has_started {
            return Some(JobState::Running);
        }
        Some(job.visible_state)
    }

    /// Returns whether a caller of a workspace, or of none, may access a job. Anyone may access an unknown one.
    #[must_use]
    pub fn may_access(&self, id: JobId, caller: Option<&WorkspaceName>) -> bool {
        let key = self.job_keys.get(&id);
        key.is_none_or(|key| may_access(self.jobs[*key].spec.workspace.as_ref(), caller))
    }

    /// Returns the workspace that a known job belongs to, if it belongs to one.
    #[must_use]
    pub fn owner_of(&self, id: JobId) -> Option<&WorkspaceName> {
        let key = self.job_keys.get(&id)?;
        self.jobs[*key].spec.workspace.as_ref()
    }

    /// Returns the queue that a job belongs to.
    #[must_use]
    pub fn queue_of(&self, id: JobId) -> Option<&SmolStr> {
        let key = self.job_keys.get(&id)?;
        Some(&self.jobs[*key].spec.policy.queue)
    }

    /// Counts the open jobs of a queue for which no worker has confirmed a start. Jobs whose first start is
    /// in doubt are included.
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let open = self.open_jobs.iter().map(|key| &self.jobs[*key]);
        open.filter(|job| !job.has_started && job.spec.policy.queue == queue)
            .count()
    }

    /// Returns the number of workers examined so far for advice calls and placement, which dominates the cost
    /// of a scheduling pass.
    #[must_use]
    pub const fn examined_workers(&self) -> u64 {
        self.examined.get()
    }

    /// Counts the workers that answer and those that do not.
    #[must_use]
    pub fn worker_counts(&self) -> WorkerCounts {
        let silent = self.workers.values().filter(|worker| worker.silent);
        let silent = silent.count();
        WorkerCounts {
            answering: self.workers.len() - silent,
            silent,
        }
    }

    /// Returns whether a worker left its latest renewal unanswered.
    #[must_use]
    pub fn is_silent(&self, worker: WorkerKey) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| worker.silent)
    }

    /// Returns whether some progress has not been stored yet.
    #[must_use]
    pub fn has_unrecorded_changes(&self) -> bool {
        !self.dirty.is_empty() || self.maintenance.has_changes()
    }

    /// Returns the number of the latest run end that a worker may forget, and whether there are ends that are not
    /// stored yet.
    ///
    /// The number is 0 if it was already acknowledged, or if the acknowledgement could reach another incarnation
    /// of the worker.
    pub fn acknowledged_ends(&mut self, worker: WorkerKey) -> (u64, bool) {
        let Self {
            workers,
            jobs,
            job_keys,
            orphans,
            unsettled_starts,
            ..
        } = self;
        let Some(worker) = workers.get_mut(worker) else {
            return (0, false);
        };
        let recorded = |id: JobId| {
            if let Some(key) = job_keys.get(&id) {
                return jobs[*key].recorded_change;
            }
            let mut orphans = orphans.iter();
            if orphans.any(|orphan| orphan.report.task().step.job == id) {
                return 0;
            }
            // The job was removed, so its ends need not be kept.
            u64::MAX
        };
        worker.advance_acknowledged(recorded, unsettled_starts);
        let has_unacknowledged = !worker.unacknowledged.is_empty();
        (worker.next_acknowledgement(), has_unacknowledged)
    }

    /// Sets the wall clock, which determines when timed jobs are due.
    pub fn set_wall_clock(&mut self, wall_clock: DayAnchor) {
        let moved = self
            .wall_clock
            .is_none_or(|known| known.differs_ms(wall_clock) >= MIN_WALL_CLOCK_CHANGE_MS);
        if !moved {
            return;
        }
        self.wall_clock = Some(wall_clock);
        for key in &self.open_jobs {
            self.jobs[*key].set_wall_clock(wall_clock);
        }
    }

    /// Returns the id of a worker.
    #[must_use]
    pub fn name_of(&self, worker: WorkerKey) -> Option<WorkerId> {
        let worker = self.workers.get(worker)?;
        Some(worker.spec.id.clone())
    }

    /// Returns the job, step, unit and gang member of a task.
    pub(crate) fn locate_task(&self, task: TaskId) -> Option<(JobKey, usize, usize, usize)> {
        let key = *self.job_keys.get(&task.step.job)?;
        let index = self.jobs[key].step_index(task.step)?;
        let step = self.jobs[key].steps.get(index)?;
        let (unit, member) = step.unit_of(task.index)?;
        Some((key, index, unit, member))
    }
}
