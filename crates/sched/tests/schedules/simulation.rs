//! The simulation of a generated schedule, with jobs, workers, message delays and faults.

mod calls;
mod caps;
mod counts;
mod cuts;
mod delivery;
mod drains;
mod evidence;
mod faults;
mod late_workers;
mod orders;
mod renewals;
mod restarts;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use caps::Caps;
use evidence::Evidence;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use syc_cell::ports::PaceCommand;
use syc_cell::ports::Renewal;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_cell::ports::VmCommand;
use syc_fleet::FleetModel;
use syc_fleet::InvariantChecker;
use syc_fleet::Violation;
use syc_fleet::VmsModel;
use syc_fleet::WorkerModel;
use syc_sched::Action;
use syc_sched::ClockReading;
use syc_sched::EndedJob;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobState;
use syc_sched::Note;
use syc_sched::Options;
use syc_sched::PlantedUsageFault;
use syc_sched::Run;
use syc_sched::Scheduler;
use syc_sched::TaskId;
use syc_sched::Wave;
use syc_sched::WaveProgress;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::jobs::GeneratedJob;
use crate::jobs::SERVICE;
use crate::jobs::cpu;
use crate::jobs::generate;
use crate::jobs::generate_crashing;
use crate::jobs::generate_gangs;
use crate::jobs::generate_long_running;
use crate::jobs::generate_long_tasks;
use crate::jobs::generate_mixed_workload;

const TICK_MS: u64 = 10;
const FAULTS_UNTIL_MS: u64 = 25_000;
/// Time between the last of the other faults and the late crash of a scheduler, by which all leases of unreachable workers
/// have expired.
const LATE_CRASH_AFTER_MS: u64 = 13_000;
const END_MS: u64 = 180_000;
const JOBS: u64 = 30;
const GANG_JOBS: u64 = 14;
const LONG_JOBS: u64 = 12;
const WORKERS: u64 = 5;
const CORES: u64 = 8;
const LEASE_MS: u64 = 6_000;
/// Longest lease that a worker grants.
const LEASE_LIMIT_MS: u64 = 10_000;
const RENEWAL_INTERVAL_MS: u64 = 200;
/// Interval at which the scheduler reads the worker registrations.
const REGISTRY_READ_MS: u64 = 250;
const ORDER_TIMEOUT_MS: u64 = 300;
const START_MS: u64 = 1_000;
const VM_ORDER_MS: u64 = 1_500;
const WAVE_AT_MS: u64 = 6_000;
const WAVE_LIMIT_MS: u64 = 30_000;

/// The faults in a schedule. Numbers of events are per schedule, and the `per_mille` fields are shares of the orders.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a schedule"
)]
pub struct Profile {
    pub scheduler_crashes: u32,
    pub partitions: u32,
    pub worker_crashes: u32,
    pub lost_per_mille: u32,
    pub late_per_mille: u32,
    pub store_pauses: u32,
    /// Times that a worker answers renewals but resets all orders for a while, some of which it carries out later.
    pub resetting_workers: u32,
    /// Jobs with a task that crashes its workers.
    pub crashing_jobs: u32,
    /// Times that the capacity of a worker shrinks and grows again.
    pub capacity_changes: u32,
    /// Times that a worker, or all of them, restart under the same name.
    pub worker_restarts: u32,
    /// Times that a few workers restart under the same names and are partitioned soon after, for longer than any lease.
    pub cut_restarts: u32,
    /// Number of lives of each that begin before that partition.
    pub lives_per_cut: u32,
    /// Number of schedulers in a row that crash between such a restart and a time soon after the partition.
    pub schedulers_per_cut: u32,
    /// Whether the tokens of calls name the life that they are meant for, and the next life may carry calls out late.
    pub calls_outlive_lives: bool,
    /// Whether the next life may also carry out another copy of a start that a former one had carried out.
    pub copies_outlive_lives: bool,
    /// Times that a worker drains and leaves. Some of these workers are partitioned meanwhile.
    pub worker_drains: u32,
    /// Times that the cap of a workspace changes. The jobs belong to workspaces if there are any.
    pub cap_changes: u32,
    /// A fault of the scheduler's count of what workspaces have running, which the checker must detect.
    pub planted_usage_fault: Option<PlantedUsageFault>,
    /// Whether the scheduler never hears of changed caps, which the checker must detect.
    pub hides_cap_changes: bool,
    /// Whether workers have less capacity than they report, which the checker must detect.
    pub overstates_capacity: bool,
    /// Whether the schedule consists of a latency-bound job and backfill jobs instead of the usual ones.
    pub mixed_workload: bool,
    /// Whether the schedule consists of tasks that run for longer than a lease instead of the usual ones.
    pub long_workload: bool,
    /// Whether the schedule consists of jobs of gangs, with members on several workers, instead of the usual ones.
    pub gang_workload: bool,
    /// Times that the workers of a gang are partitioned one after another.
    pub gang_partitions: u32,
    /// Whether a scheduler crashes after all other faults, so that a successor starts what its predecessor took for lost.
    pub late_scheduler_crash: bool,
    /// Largest number of ends in one report, if limited.
    pub ends_per_report: Option<usize>,
    /// Whether pace orders are not carried out, which the checker must detect.
    pub ignores_pace: bool,
    /// Number of VMs that may be down at a time in a maintenance wave over all VMs, or 0 for no wave.
    pub wave_concurrency: u32,
    /// Whether the scheduler is not told how many VMs may be down nor that tasks are long-running, which the checker
    /// must detect.
    pub hides_limits: bool,
}

impl Profile {
    pub const FAULT_FREE: Self = Self {
        scheduler_crashes: 0,
        partitions: 0,
        worker_crashes: 0,
        lost_per_mille: 0,
        late_per_mille: 0,
        store_pauses: 0,
        resetting_workers: 0,
        crashing_jobs: 0,
        capacity_changes: 0,
        worker_restarts: 0,
        cut_restarts: 0,
        lives_per_cut: 1,
        schedulers_per_cut: 0,
        calls_outlive_lives: false,
        copies_outlive_lives: false,
        worker_drains: 0,
        cap_changes: 0,
        planted_usage_fault: None,
        hides_cap_changes: false,
        overstates_capacity: false,
        mixed_workload: false,
        long_workload: false,
        gang_workload: false,
        gang_partitions: 0,
        late_scheduler_crash: false,
        ends_per_report: None,
        ignores_pace: false,
        wave_concurrency: 0,
        hides_limits: false,
    };
    pub const ALL_FAULTS: Self = Self {
        scheduler_crashes: 4,
        partitions: 4,
        worker_crashes: 3,
        lost_per_mille: 40,
        late_per_mille: 30,
        store_pauses: 2,
        ..Self::FAULT_FREE
    };
}

#[derive(Debug)]
enum Delivery {
    Start(WorkerId, StartCommand),
    Stop(WorkerId, StopCommand),
    Pace(WorkerId, PaceCommand),
    Renewal(WorkerId, Renewal),
    /// An answer, which is delivered only to the scheduler with this token.
    Answer(u64, Event),
    Recorded(
        u64,
        Vec<(JobId, u64, JobProgress)>,
        Vec<(WaveProgress, u64)>,
        Vec<WorkerId>,
        Vec<WorkerId>,
        Vec<WorkerId>,
    ),
    PartitionBegins(WorkerId, u64),
    PartitionHealed(WorkerId),
    VmOrder(VmCommand),
    VmsListed(u64, Millis),
    /// A crashed worker is back on the same VM, under another name.
    WorkerBack(VmId, u64),
    /// The registration of a crashed worker expires.
    RegistrationExpired(WorkerId),
    /// A worker ends and restarts at once.
    IncarnationEnds(WorkerId),
    /// A worker starts again under the same name.
    IncarnationStarts(WorkerModel),
    /// The capacity of a worker changes to this number of cores.
    CapacityChanges(WorkerId, u64),
    /// The scheduler reads the caps that are published.
    CapsRead(u64),
    /// A draining worker that began its life at this time leaves.
    WorkerLeaves(WorkerId, Millis),
    /// A worker updates its registration.
    WorkerReports(WorkerId),
    WorkerStarts,
    SchedulerStarts,
    SchedulerEnds,
}

#[derive(Debug)]
struct Session {
    id: WorkerId,
    renew_at: Millis,
    /// Last reading of this life's clock.
    reading: Option<ClockReading>,
    failed: bool,
}

pub struct Simulation {
    rng: SmallRng,
    profile: Profile,
    options: Options,
    now: Millis,
    fleet: FleetModel,
    jobs: Vec<GeneratedJob>,
    next_job: usize,
    scheduler: Option<Scheduler>,
    /// Token of the scheduler.
    token: u64,
    /// Epoch of the calls to each worker, by its name.
    call_epochs: BTreeMap<WorkerId, u32>,
    last_call_epoch: u32,
    sessions: BTreeMap<WorkerKey, Session>,
    deliveries: Vec<(Millis, Delivery)>,
    planned_faults: Vec<(Millis, FaultKind)>,
    stored: HashMap<JobId, JobProgress>,
    cancelled: Vec<JobId>,
    /// Runs that were started on any worker.
    started_runs: BTreeSet<(TaskId, Run)>,
    /// Notes of schedulers about runs that no worker held.
    missing_runs: Vec<Note>,
    write_in_flight: bool,
    store_paused_until: Millis,
    partitioned: BTreeMap<WorkerId, Millis>,
    resetting_until: BTreeMap<WorkerId, Millis>,
    registered: BTreeMap<WorkerId, Incarnation>,
    /// Workers that may have runs of a scheduler, as stored for its successors.
    roster: BTreeMap<WorkerId, Incarnation>,
    /// Detached workers, which are removed from the roster together with the next write.
    detached: Vec<WorkerId>,
    /// Draining workers of which all runs are recorded, to be stored together with the next write.
    drains_to_store: Vec<WorkerId>,
    /// Draining workers that the scheduler was told of, to be stored together with the next write.
    announced_drains: Vec<WorkerId>,
    /// Draining workers of which all runs are recorded, as stored for the scheduler's successors.
    drained: BTreeSet<WorkerId>,
    /// Until when the addresses of crashed workers do not respond.
    down_until: BTreeMap<WorkerId, Millis>,
    incarnations: u64,
    vms: VmsModel,
    wave: Option<Wave>,
    stored_waves: BTreeMap<u64, WaveProgress>,
    /// Jobs that stood still although enough workers were allowed to run them, with their stored state.
    stood_still: Vec<(JobId, Option<JobState>)>,
    evidence: Evidence,
    caps: Caps,
    /// Until when no call for advice is answered.
    advice_withheld_until: Millis,
    /// Whether crashed workers are reported to the scheduler as draining before the crash.
    crashes_reported_as_draining: bool,
}

/// An incarnation of a worker, and the VM that it runs on.
#[derive(Debug, Clone)]
struct Incarnation {
    number: u64,
    /// Determines which steps are allowed. A worker that is back on its VM inherits the slot.
    slot: u64,
    /// Number of restarts under the same name, each of which changes what steps are allowed.
    restarts: u64,
    /// Start time of the incarnation that is registered.
    reported_started_at: Millis,
    vm: VmId,
    /// Actual number of cores.
    cores: u64,
    /// Registered number of cores.
    reported_cores: u64,
    /// Since when the actual number differs from the registered one.
    unreported_since: Option<Millis>,
    /// Whether the registration has expired during a partition.
    expired: bool,
    /// When it announced that it drains.
    draining_since: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
enum FaultKind {
    SchedulerCrash,
    Partition,
    WorkerCrash,
    StorePause,
    OrderResets,
    CapacityChange,
    WorkerRestart,
    CutRestart,
    GangPartition,
    WorkerDrain,
    CapChange,
}

impl Simulation {
    pub fn new(seed: u64, profile: Profile, options: Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = FleetModel::default();
        fleet.ends_per_report = profile.ends_per_report;
        fleet.limits.lease_ms = LEASE_LIMIT_MS;
        let mut jobs = generate_workload(&mut rng, &profile, &mut fleet);
        if profile.cap_changes > 0 {
            for job in &mut jobs {
                job.spec.workspace = Some(caps::workspace_of(job.spec.id));
            }
        }
        jobs.sort_by_key(|job| job.at_ms);
        for job in &jobs {
            fleet.checker.submitted(job.spec.clone());
        }
        let mut planned_faults = Vec::new();
        let fault_counts = [
            (FaultKind::SchedulerCrash, profile.scheduler_crashes),
            (FaultKind::Partition, profile.partitions),
            (FaultKind::WorkerCrash, profile.worker_crashes),
            (FaultKind::StorePause, profile.store_pauses),
            (FaultKind::OrderResets, profile.resetting_workers),
            (FaultKind::CapacityChange, profile.capacity_changes),
            (FaultKind::WorkerRestart, profile.worker_restarts),
            (FaultKind::CutRestart, profile.cut_restarts),
            (FaultKind::GangPartition, profile.gang_partitions),
            (FaultKind::WorkerDrain, profile.worker_drains),
            (FaultKind::CapChange, profile.cap_changes),
        ];
        for (fault, count) in fault_counts {
            for _ in 0..count {
                let at_ms = rng.random_range(START_MS..FAULTS_UNTIL_MS);
                planned_faults.push((Millis(at_ms), fault));
            }
        }
        if profile.late_scheduler_crash {
            let at = Millis(FAULTS_UNTIL_MS + LATE_CRASH_AFTER_MS);
            planned_faults.push((at, FaultKind::SchedulerCrash));
        }
        planned_faults.sort_by_key(|(at, _)| *at);
        let mut simulation = Self {
            rng,
            profile,
            options,
            now: Millis(START_MS),
            fleet,
            jobs,
            next_job: 0,
            scheduler: None,
            token: 0,
            call_epochs: BTreeMap::new(),
            last_call_epoch: 0,
            sessions: BTreeMap::new(),
            deliveries: Vec::new(),
            planned_faults,
            stored: HashMap::new(),
            cancelled: Vec::new(),
            started_runs: BTreeSet::new(),
            missing_runs: Vec::new(),
            write_in_flight: false,
            store_paused_until: Millis(0),
            partitioned: BTreeMap::new(),
            resetting_until: BTreeMap::new(),
            registered: BTreeMap::new(),
            roster: BTreeMap::new(),
            detached: Vec::new(),
            drains_to_store: Vec::new(),
            announced_drains: Vec::new(),
            drained: BTreeSet::new(),
            down_until: BTreeMap::new(),
            incarnations: 0,
            vms: VmsModel::new(VM_ORDER_MS),
            wave: None,
            stored_waves: BTreeMap::new(),
            stood_still: Vec::new(),
            evidence: Evidence::default(),
            caps: Caps::default(),
            advice_withheld_until: Millis(0),
            crashes_reported_as_draining: false,
        };
        simulation.fleet.checker.record_events();
        simulation.publish_first_caps();
        for _ in 0..WORKERS {
            simulation.start_worker_on_new_vm();
        }
        simulation.start_scheduler();
        simulation
    }

    pub fn run(&mut self) {
        while self.now.0 < END_MS {
            self.now = self.now.plus(TICK_MS);
            self.observe_workers();
            self.fleet.advance(self.now);
            self.schedule_crash_recoveries();
            self.expire_registrations();
            self.observe_workers();
            self.inject_faults();
            self.enforce_caps();
            self.deliver();
            self.advance_vms();
            self.submit_due_jobs();
            self.add_late_workers();
            self.renew();
            self.run_scheduler();
            self.check_count();
            self.write();
            let all_ended = self.unexpected_states().is_empty() && self.vms.all_completed();
            let is_finished = self.now.0 > FAULTS_UNTIL_MS + 15_000 && all_ended;
            if is_finished {
                return;
            }
        }
    }

    pub fn faults(&self) -> Vec<Violation> {
        let mut checker = self.fleet.checker.clone();
        for (id, progress) in &self.stored {
            if progress.state == JobState::Failed {
                checker.job_failed(*id);
            }
        }
        let mut faults = checker.violations().to_vec();
        faults.extend_from_slice(self.vms.violations());
        faults
    }

    /// Returns what the schedulers noted about runs that no worker held, which only a fault of theirs causes.
    pub fn missing_runs(&self) -> &[Note] {
        &self.missing_runs
    }

    /// Returns the number of crashed workers for each task that crashes workers.
    pub fn crashed_workers_per_task(&self) -> Vec<u32> {
        let checker = &self.fleet.checker;
        checker
            .crashes_by_task()
            .map(|(_, workers)| workers)
            .collect()
    }

    pub fn checker(&self) -> InvariantChecker {
        self.fleet.checker.clone()
    }

    /// Returns the jobs that are stored as completed.
    pub fn completed(&self) -> impl Iterator<Item = JobId> {
        let stored = self.stored.iter();
        let completed = stored.filter(|(_, progress)| progress.state == JobState::Completed);
        completed.map(|(id, _)| *id)
    }

    /// Reports each crashed worker as draining, so that no task is blamed for the crash.
    pub fn report_crashes_as_draining(&mut self) {
        self.crashes_reported_as_draining = true;
    }

    /// Leaves calls for advice unanswered until then.
    pub fn withhold_advice_until(&mut self, until: Millis) {
        self.advice_withheld_until = until;
    }

    pub fn waves_are_completed(&self) -> bool {
        self.vms.all_completed()
    }

    /// Returns the jobs that did not end as expected, with the expected and the stored state.
    pub fn unexpected_states(&self) -> Vec<(JobId, JobState, Option<JobState>)> {
        let mut unexpected = Vec::new();
        for job in &self.jobs {
            let id = job.spec.id;
            let stored = self.stored.get(&id).map(|progress| progress.state);
            // A job that was cancelled late may have ended before.
            let ended = stored.is_some_and(JobState::is_terminal);
            let as_expected = match job.expected_state {
                JobState::Cancelled => ended,
                _ if job.may_fail && stored == Some(JobState::Failed) => true,
                other => stored == Some(other),
            };
            if !as_expected {
                unexpected.push((id, job.expected_state, stored));
            } else if let Some((_, state)) = self.stood_still.iter().find(|(still, _)| *still == id)
            {
                unexpected.push((id, job.expected_state, *state));
            }
        }
        unexpected
    }

    /// Starts a worker on a new VM.
    fn start_worker_on_new_vm(&mut self) {
        let vm = VmId::new(format!("vm-{}", self.incarnations + 1));
        self.vms
            .add(vm.clone(), ServiceName::new(SERVICE), cpu(CORES));
        self.start_worker(&vm);
    }

    fn start_worker(&mut self, vm: &VmId) {
        let slot = self.incarnations + 1;
        self.start_worker_in_slot(vm, slot);
    }

    fn start_worker_in_slot(&mut self, vm: &VmId, slot: u64) {
        self.incarnations += 1;
        let id = WorkerId::new(format!("w-{}", self.incarnations));
        let cores = if self.profile.overstates_capacity {
            CORES / 2
        } else {
            CORES
        };
        let slow_per_mille = self.rng.random_range(0..=20);
        self.fleet
            .add(WorkerModel::new(id.clone(), cpu(cores), slow_per_mille));
        let incarnation = Incarnation {
            number: self.incarnations,
            slot,
            restarts: 0,
            reported_started_at: Millis(0),
            vm: vm.clone(),
            cores: CORES,
            reported_cores: CORES,
            unreported_since: None,
            expired: false,
            draining_since: None,
        };
        self.vms.set_worker(vm, id.clone());
        self.registered.insert(id.clone(), incarnation.clone());
        self.roster
            .insert(incarnation_id(&id, &incarnation), incarnation.clone());
        self.write_roster();
        let spec = spec_of(&id, &incarnation);
        self.apply(Event::WorkerListed(spec));
    }

    fn start_scheduler(&mut self) {
        self.token += 1;
        self.last_call_epoch = 0;
        self.call_epochs.clear();
        self.sessions.clear();
        self.detached.clear();
        self.drains_to_store.clear();
        self.announced_drains.clear();
        self.write_in_flight = false;
        let mut scheduler = Scheduler::new(self.options);
        let ended = self.stored.iter().filter_map(|(id, progress)| {
            progress.state.is_terminal().then_some(EndedJob {
                id: *id,
                state: progress.state,
                workspace: progress.workspace.clone(),
                ended_at: progress.ended_at_cell_ms,
                starts_in_doubt: progress.starts_in_doubt.clone(),
            })
        });
        let ended: Vec<_> = ended.collect();
        scheduler.restore_ended_jobs(&ended, self.now);
        for job in &self.jobs[..self.next_job] {
            let progress = self.stored.get(&job.spec.id);
            if progress.is_some_and(|progress| progress.state.is_terminal()) {
                continue;
            }
            let age_ms = self.now.0 - job.at_ms.min(self.now.0);
            scheduler.restore_job(job.spec.clone(), progress, age_ms, self.now);
        }
        self.scheduler = Some(scheduler);
        self.read_caps();
        let mut registered = self.registered.clone();
        registered.retain(|_, incarnation| !incarnation.expired);
        for (id, incarnation) in &registered {
            self.apply(Event::WorkerListed(spec_of(id, incarnation)));
        }
        let mut unregistered = self.roster.clone();
        // In schedules without these faults, a successor only knows the registered workers.
        let listed: Vec<_> = registered
            .iter()
            .map(|(id, incarnation)| incarnation_id(id, incarnation))
            .collect();
        let restores_roster = self.profile.crashing_jobs > 0
            || self.profile.worker_restarts > 0
            || self.profile.cut_restarts > 0
            || self.profile.capacity_changes > 0
            || self.profile.worker_drains > 0;
        unregistered.retain(|id, _| restores_roster && !listed.contains(id));
        for (id, incarnation) in &unregistered {
            let mut spec = spec_of(&WorkerId::new(id.name()), incarnation);
            spec.draining |= self.drained.contains(id);
            self.apply(Event::WorkerListed(spec));
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.restore_drains(&self.drained);
        }
        for progress in self.stored_waves.values().cloned() {
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.restore_wave(progress);
            }
        }
        if let Some(wave) = self.wave.clone() {
            self.apply(Event::WavePublished { wave, age_ms: 0 });
        }
        for id in self.cancelled.clone() {
            self.apply(Event::JobCancelled(self.cancellation_of(id)));
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.begin_recovery(self.now);
        }
        for id in unregistered.into_keys() {
            self.end_life_if_succeeded(&id);
            self.apply(Event::WorkerUnlisted(id));
        }
    }

    /// Publishes the wave when it is due, and starts workers on VMs that are back.
    fn advance_vms(&mut self) {
        let is_due = self.profile.wave_concurrency > 0 && self.now.0 >= WAVE_AT_MS;
        if is_due && self.wave.is_none() {
            let vms = self
                .registered
                .values()
                .map(|incarnation| incarnation.vm.clone());
            let wave = Wave {
                number: 3,
                vms: vms.collect(),
                limit_ms: WAVE_LIMIT_MS,
                at_once: self.profile.wave_concurrency,
            };
            self.vms.publish(wave.clone());
            let announced = Wave {
                at_once: if self.profile.hides_limits {
                    u32::MAX
                } else {
                    wave.at_once
                },
                ..wave
            };
            self.wave = Some(announced.clone());
            self.apply(Event::WavePublished {
                wave: announced,
                age_ms: 0,
            });
        }
        for id in self.vms.take_ended_workers() {
            self.unregister(&id);
        }
        for (vm, _pool) in self.vms.advance(self.now) {
            self.start_worker(&vm);
        }
    }

    fn apply(&mut self, event: Event) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if let Event::WorkerListed(spec) = &event
            && spec.draining
        {
            self.announced_drains.push(spec.id.clone());
        }
        let actions = scheduler.handle(event, self.now);
        self.perform(actions);
    }

    fn run_scheduler(&mut self) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let mut actions = scheduler.handle(Event::Ticked, self.now);
        if self.now.0.is_multiple_of(REGISTRY_READ_MS) {
            let asked_at = self.now;
            actions.extend(scheduler.handle(Event::WorkersRead { asked_at }, asked_at));
        }
        actions.extend(scheduler.schedule(self.now));
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attach { worker, spec } => {
                    self.raise_call_epoch(&spec.id);
                    let session = Session {
                        id: spec.id,
                        renew_at: self.now,
                        reading: None,
                        failed: false,
                    };
                    self.sessions.insert(worker, session);
                }
                Action::Detach { worker } => {
                    self.sessions.remove(&worker);
                }
                Action::Start(order) => {
                    if let Some(session) = self.sessions.get(&order.worker) {
                        self.note_placement(order.task, session.id.clone(), order.run);
                    }
                    self.send_start(&order);
                }
                Action::Stop {
                    worker, task, run, ..
                } => self.send_stop(worker, task, run),
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => self.send_pace(worker, (task, run), percent),
                Action::RequestAdvice { step, workers, .. } => self.advise(step, &workers),
                Action::ListVms { asked_at } => {
                    let delay_ms = self.rng.random_range(2..20);
                    self.schedule(delay_ms, Delivery::VmsListed(self.token, asked_at));
                }
                Action::OrderVm { vm, operation } => self.send_vm_order(vm, operation),
                Action::ReportWave { wave, completed } => self.vms.wave_reported(wave, completed),
                Action::Note(note @ Note::RunMissing { .. }) => self.missing_runs.push(note),
                Action::Note(note) => self.check_note(&note),
                Action::ForgetWorker(id) => self.detached.push(id),
                Action::RecordDrain(id) => self.drains_to_store.push(id),
                Action::DeleteSpec(_) | Action::DeleteJob(_) => {}
            }
        }
    }

    fn submit_due_jobs(&mut self) {
        while let Some(job) = self.jobs.get(self.next_job) {
            if job.at_ms + START_MS > self.now.0 {
                break;
            }
            self.next_job += 1;
            let mut spec = Box::new(job.spec.clone());
            for step in &mut spec.steps {
                if self.profile.hides_limits {
                    step.unavailable_limit = None;
                    step.long_running = false;
                }
            }
            let id = spec.id;
            self.cancel_as_another(id);
            self.apply(Event::JobStored { spec, age_ms: 0 });
            self.cancel_as_another(id);
        }
        let mut cancels = Vec::new();
        for job in &self.jobs[..self.next_job] {
            let due = job
                .cancel_at_ms
                .is_some_and(|at_ms| at_ms + START_MS <= self.now.0);
            if due && !self.cancelled.contains(&job.spec.id) {
                cancels.push(job.spec.id);
            }
        }
        for id in cancels {
            self.cancelled.push(id);
            self.fleet.checker.ignore_availability(id);
            self.apply(Event::JobCancelled(self.cancellation_of(id)));
        }
    }
}

/// Generates the jobs of a schedule.
fn generate_workload(
    rng: &mut SmallRng,
    profile: &Profile,
    fleet: &mut FleetModel,
) -> Vec<GeneratedJob> {
    let mut jobs: Vec<_> = (1..=JOBS).map(|id| generate(rng, id, fleet)).collect();
    if profile.wave_concurrency > 0 {
        jobs.push(generate_long_running(rng, fleet));
    }
    for id in 1..=u64::from(profile.crashing_jobs) {
        jobs.push(generate_crashing(rng, JOBS + id, fleet));
    }
    if profile.mixed_workload {
        jobs = generate_mixed_workload(rng, fleet);
    }
    if profile.long_workload {
        jobs = (1..=LONG_JOBS)
            .map(|id| generate_long_tasks(rng, id, fleet))
            .collect();
    }
    if profile.gang_workload {
        jobs = (1..=GANG_JOBS)
            .map(|id| generate_gangs(rng, id, fleet))
            .collect();
    }
    jobs
}

/// Returns the id of the registered incarnation of a worker.
fn incarnation_id(name: &WorkerId, incarnation: &Incarnation) -> WorkerId {
    WorkerId::of_life(name.as_str(), Some(incarnation.reported_started_at.0))
}

fn spec_of(id: &WorkerId, incarnation: &Incarnation) -> WorkerSpec {
    WorkerSpec {
        id: incarnation_id(id, incarnation),
        service: ServiceName::new(SERVICE),
        address: SmolStr::new_static("10.0.0.1:1"),
        zone: Zone::new("zone"),
        rack: RackId::new(format!("r-{}", incarnation.number % 2)),
        labels: Vec::new(),
        capacity: cpu(incarnation.reported_cores),
        draining: incarnation.draining_since.is_some(),
        vm: Some(incarnation.vm.clone()),
    }
}
