//! The world of a generated schedule: jobs come, orders travel, things break.

mod counts;
mod crashes;
mod faults;
mod orders;
mod rebirths;
mod sessions;
mod travel;

use std::collections::BTreeMap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use syc_cell::ports::PaceCommand;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_cell::ports::VmCommand;
use syc_fleet::Fault;
use syc_fleet::FleetModel;
use syc_fleet::Judge;
use syc_fleet::VmsModel;
use syc_fleet::WorkerModel;
use syc_sched::Action;
use syc_sched::EndedJob;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Scheduler;
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

use crate::jobs::Given;
use crate::jobs::SERVICE;
use crate::jobs::cpu;
use crate::jobs::generate;
use crate::jobs::generate_guilty;
use crate::jobs::generate_lasting;
use crate::jobs::generate_sharing;

const TICK_MS: u64 = 10;
const FAULTS_UNTIL_MS: u64 = 25_000;
const END_MS: u64 = 180_000;
const JOBS: u64 = 30;
const WORKERS: u64 = 5;
const CORES: u64 = 8;
const LEASE_MS: u64 = 6_000;
const RENEW_MS: u64 = 200;
/// The scheduler reads the registrations of workers this often.
const READ_MS: u64 = 250;
const ORDER_TIMEOUT_MS: u64 = 300;
const FIRST_MS: u64 = 1_000;
const VM_ORDER_MS: u64 = 1_500;
const WAVE_AT_MS: u64 = 6_000;
const WAVE_LIMIT_MS: u64 = 30_000;

/// How much goes wrong; counts are a schedule's, shares are in thousandths of the orders.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a schedule"
)]
pub struct Profile {
    pub scheduler_ends: u32,
    pub cuts: u32,
    pub crashes: u32,
    pub lost: u32,
    pub late: u32,
    pub store_pauses: u32,
    /// Workers that answer renewals and reset each order for a while, some of which they carry out later.
    pub shuts: u32,
    /// Jobs with a task that takes its workers down.
    pub guilty: u32,
    /// Workers whose room shrinks or grows while they run.
    pub rooms: u32,
    /// Times that a worker, or all of them, start again under their names.
    pub rebirths: u32,
    /// Workers have less than they say: the judge must see it.
    pub understated: bool,
    /// Jobs that serve users of their own, and others that fill what they leave unused.
    pub sharing: bool,
    /// Orders to go slower reach no worker: the judge must see it.
    pub unpaced: bool,
    /// Operators want all VMs to have their upkeep, so many at a time.
    pub wave_at_once: u32,
    /// The scheduler hears of no bound on VMs that are down, nor that any task lasts: the judge must see
    /// it.
    pub reckless: bool,
}

impl Profile {
    pub const CALM: Self = Self {
        scheduler_ends: 0,
        cuts: 0,
        crashes: 0,
        lost: 0,
        late: 0,
        store_pauses: 0,
        shuts: 0,
        guilty: 0,
        rooms: 0,
        rebirths: 0,
        understated: false,
        sharing: false,
        unpaced: false,
        wave_at_once: 0,
        reckless: false,
    };
    pub const ALL: Self = Self {
        scheduler_ends: 4,
        cuts: 4,
        crashes: 3,
        lost: 40,
        late: 30,
        store_pauses: 2,
        ..Self::CALM
    };
}

#[derive(Debug)]
enum Delivery {
    Start(WorkerId, StartCommand),
    Stop(WorkerId, StopCommand),
    Pace(WorkerId, PaceCommand),
    /// Only the scheduler that gave the order hears the answer.
    Answer(u64, Event),
    Recorded(
        u64,
        Vec<(JobId, u64, JobProgress)>,
        Vec<(WaveProgress, u64)>,
        Vec<WorkerId>,
    ),
    Restored(WorkerId),
    VmOrder(VmCommand),
    Listed(u64, Millis),
    /// A worker that was taken down is back, on the same VM.
    Back(VmId, u64),
    /// The entry of a worker that was taken down has lapsed.
    Unlisted(WorkerId),
    /// A worker ends, to start again at once.
    EndLife(WorkerId),
    /// A worker starts again under its name.
    Reborn(WorkerModel),
    /// A worker has so many cores from now on.
    Room(WorkerId, u64),
    /// A worker tells of itself.
    Told(WorkerId),
    NewIncarnation,
    NextScheduler,
}

#[derive(Debug)]
struct Session {
    id: WorkerId,
    renew_at: Millis,
    clock_read: bool,
    failed: bool,
}

pub struct World {
    rng: SmallRng,
    profile: Profile,
    options: Options,
    now: Millis,
    fleet: FleetModel,
    given: Vec<Given>,
    next_job: usize,
    scheduler: Option<Scheduler>,
    token: u64,
    sessions: BTreeMap<WorkerKey, Session>,
    deliveries: Vec<(Millis, Delivery)>,
    faults_at: Vec<(Millis, Trouble)>,
    kept: HashMap<JobId, JobProgress>,
    cancelled: Vec<JobId>,
    writing: bool,
    store_paused_until: Millis,
    cut: BTreeMap<WorkerId, Millis>,
    shut_until: BTreeMap<WorkerId, Millis>,
    registered: BTreeMap<WorkerId, Life>,
    /// Workers that may run something of a scheduler, as a successor finds them in the store.
    roster: BTreeMap<WorkerId, Life>,
    /// Workers of the roster that are gone: the store is told so with what was concluded of it.
    gone: Vec<WorkerId>,
    /// Until when nothing is at the address of a worker that was taken down.
    down_until: BTreeMap<WorkerId, Millis>,
    lives: u64,
    vms: VmsModel,
    wave: Option<Wave>,
    kept_waves: BTreeMap<u64, WaveProgress>,
    /// Whether schedulers are told that workers that crashed had said that they leave.
    forgives: bool,
}

/// Which life of a worker it is, and the VM that it is on.
#[derive(Debug, Clone)]
struct Life {
    number: u64,
    /// What advice goes by: of a worker that is back on its VM, that of the one before.
    slot: u64,
    /// Times that it started again under its name, each time as another kind of worker.
    rebirths: u64,
    /// When the life of it began that it told of last.
    told_birth: Millis,
    vm: VmId,
    /// What it has.
    cores: u64,
    /// What it said last that it has.
    told_cores: u64,
    /// Since when it has something else than that.
    untold_since: Option<Millis>,
    /// Whether its registration has lapsed, as it is cut off.
    lapsed: bool,
}

#[derive(Debug, Clone, Copy)]
enum Trouble {
    SchedulerEnds,
    Cut,
    Crash,
    StorePauses,
    Shut,
    Room,
    Rebirth,
}

impl World {
    pub fn new(seed: u64, profile: Profile, options: Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = FleetModel::default();
        let mut given: Vec<_> = (1..=JOBS)
            .map(|id| generate(&mut rng, id, &mut fleet))
            .collect();
        if profile.wave_at_once > 0 {
            given.push(generate_lasting(&mut rng, &mut fleet));
        }
        for id in 1..=u64::from(profile.guilty) {
            given.push(generate_guilty(&mut rng, JOBS + id, &mut fleet));
        }
        if profile.sharing {
            given = generate_sharing(&mut rng, &mut fleet);
        }
        given.sort_by_key(|given| given.at_ms);
        for given in &given {
            fleet.judge.submitted(given.spec.clone());
        }
        let mut faults_at = Vec::new();
        let troubles = [
            (Trouble::SchedulerEnds, profile.scheduler_ends),
            (Trouble::Cut, profile.cuts),
            (Trouble::Crash, profile.crashes),
            (Trouble::StorePauses, profile.store_pauses),
            (Trouble::Shut, profile.shuts),
            (Trouble::Room, profile.rooms),
            (Trouble::Rebirth, profile.rebirths),
        ];
        for (trouble, count) in troubles {
            for _ in 0..count {
                let at_ms = rng.random_range(FIRST_MS..FAULTS_UNTIL_MS);
                faults_at.push((Millis(at_ms), trouble));
            }
        }
        faults_at.sort_by_key(|(at, _)| *at);
        let mut world = Self {
            rng,
            profile,
            options,
            now: Millis(FIRST_MS),
            fleet,
            given,
            next_job: 0,
            scheduler: None,
            token: 0,
            sessions: BTreeMap::new(),
            deliveries: Vec::new(),
            faults_at,
            kept: HashMap::new(),
            cancelled: Vec::new(),
            writing: false,
            store_paused_until: Millis(0),
            cut: BTreeMap::new(),
            shut_until: BTreeMap::new(),
            registered: BTreeMap::new(),
            roster: BTreeMap::new(),
            gone: Vec::new(),
            down_until: BTreeMap::new(),
            lives: 0,
            vms: VmsModel::new(VM_ORDER_MS),
            wave: None,
            kept_waves: BTreeMap::new(),
            forgives: false,
        };
        for _ in 0..WORKERS {
            world.new_incarnation();
        }
        world.start_scheduler();
        world
    }

    pub fn play(&mut self) {
        while self.now.0 < END_MS {
            self.now = self.now.plus(TICK_MS);
            self.fleet.advance(self.now);
            self.meet_crashes();
            self.lapse_registrations();
            self.strike();
            self.deliver();
            self.bring_vms();
            self.bring_jobs();
            self.renew();
            self.look();
            self.check_count();
            self.write();
            let all_ended = self.wrong_ends().is_empty() && self.vms.all_completed();
            let over = self.now.0 > FAULTS_UNTIL_MS + 15_000 && all_ended;
            if over {
                return;
            }
        }
    }

    pub fn faults(&self) -> Vec<Fault> {
        let mut judge = self.fleet.judge.clone();
        for (id, progress) in &self.kept {
            if progress.state == JobState::Failed {
                judge.given_up(*id);
            }
        }
        let mut faults = judge.faults().to_vec();
        faults.extend_from_slice(self.vms.faults());
        faults
    }

    /// Returns how many workers each task took down that does so.
    pub fn taken_down(&self) -> Vec<u32> {
        let judge = &self.fleet.judge;
        judge.taken_down().map(|(_, workers)| workers).collect()
    }

    pub fn judge(&self) -> Judge {
        self.fleet.judge.clone()
    }

    /// Returns the jobs that are kept as completed.
    pub fn completed(&self) -> impl Iterator<Item = JobId> {
        let kept = self.kept.iter();
        let completed = kept.filter(|(_, progress)| progress.state == JobState::Completed);
        completed.map(|(id, _)| *id)
    }

    /// Has schedulers told that each worker that crashed had said that it leaves, which blames nobody.
    pub fn forgive_crashes(&mut self) {
        self.forgives = true;
    }

    pub fn waves_are_completed(&self) -> bool {
        self.vms.all_completed()
    }

    /// Returns the jobs that ended otherwise than they must, with the state that is kept.
    pub fn wrong_ends(&self) -> Vec<(JobId, JobState, Option<JobState>)> {
        let mut wrong = Vec::new();
        for given in &self.given {
            let id = given.spec.id;
            let kept = self.kept.get(&id).map(|progress| progress.state);
            // A job that was cancelled late may have ended by itself before.
            let ended = kept.is_some_and(JobState::is_terminal);
            let right = match given.ends_as {
                JobState::Cancelled => ended,
                _ if given.may_fail && kept == Some(JobState::Failed) => true,
                other => kept == Some(other),
            };
            if !right {
                wrong.push((id, given.ends_as, kept));
            }
        }
        wrong
    }

    /// Starts a worker on a VM of its own.
    fn new_incarnation(&mut self) {
        let vm = VmId::new(format!("vm-{}", self.lives + 1));
        self.vms
            .add(vm.clone(), ServiceName::new(SERVICE), cpu(CORES));
        self.new_life(&vm);
    }

    fn new_life(&mut self, vm: &VmId) {
        let slot = self.lives + 1;
        self.new_life_of(vm, slot);
    }

    fn new_life_of(&mut self, vm: &VmId, slot: u64) {
        self.lives += 1;
        let id = WorkerId::new(format!("w-{}", self.lives));
        let cores = if self.profile.understated {
            CORES / 2
        } else {
            CORES
        };
        let slow_per_mille = self.rng.random_range(0..=20);
        self.fleet
            .add(WorkerModel::new(id.clone(), cpu(cores), slow_per_mille));
        let life = Life {
            number: self.lives,
            slot,
            rebirths: 0,
            told_birth: Millis(0),
            vm: vm.clone(),
            cores: CORES,
            told_cores: CORES,
            untold_since: None,
            lapsed: false,
        };
        self.vms.set_worker(vm, id.clone());
        self.registered.insert(id.clone(), life.clone());
        self.roster.insert(life_id(&id, &life), life.clone());
        let spec = spec_of(&id, &life);
        self.apply(Event::WorkerListed(spec));
    }

    fn start_scheduler(&mut self) {
        self.token += 1;
        self.sessions.clear();
        self.gone.clear();
        self.writing = false;
        let mut scheduler = Scheduler::new(self.options);
        let ended = self.kept.iter().filter_map(|(id, progress)| {
            progress.state.is_terminal().then_some(EndedJob {
                id: *id,
                state: progress.state,
                ended_at: progress.ended_at_cell_ms,
            })
        });
        let ended: Vec<_> = ended.collect();
        scheduler.restore_ended_jobs(&ended, self.now);
        for given in &self.given[..self.next_job] {
            let progress = self.kept.get(&given.spec.id);
            if progress.is_some_and(|progress| progress.state.is_terminal()) {
                continue;
            }
            let age_ms = self.now.0 - given.at_ms.min(self.now.0);
            scheduler.restore_job(given.spec.clone(), progress, age_ms, self.now);
        }
        self.scheduler = Some(scheduler);
        let mut registered = self.registered.clone();
        registered.retain(|_, life| !life.lapsed);
        for (id, life) in &registered {
            self.apply(Event::WorkerListed(spec_of(id, life)));
        }
        let mut left = self.roster.clone();
        // Other schedules know of those alone that are registered.
        let listed: Vec<_> = registered
            .iter()
            .map(|(id, life)| life_id(id, life))
            .collect();
        let keeps = self.profile.guilty > 0 || self.profile.rebirths > 0 || self.profile.rooms > 0;
        left.retain(|id, _| keeps && !listed.contains(id));
        for (id, life) in &left {
            self.apply(Event::WorkerListed(spec_of(
                &WorkerId::new(id.name()),
                life,
            )));
        }
        for left in self.kept_waves.values().cloned() {
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.restore_wave(left);
            }
        }
        if let Some(wave) = self.wave.clone() {
            self.apply(Event::WavePublished { wave, age_ms: 0 });
        }
        for id in self.cancelled.clone() {
            self.apply(Event::JobCancelled(id));
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.begin_recovery(self.now);
        }
        for id in left.into_keys() {
            self.apply(Event::WorkerUnlisted(id));
        }
    }

    /// Publishes the wave when its time has come, and starts workers on VMs that are back.
    fn bring_vms(&mut self) {
        let is_due = self.profile.wave_at_once > 0 && self.now.0 >= WAVE_AT_MS;
        if is_due && self.wave.is_none() {
            let vms = self.registered.values().map(|life| life.vm.clone());
            let wave = Wave {
                number: 3,
                vms: vms.collect(),
                limit_ms: WAVE_LIMIT_MS,
                at_once: self.profile.wave_at_once,
            };
            self.vms.publish(wave.clone());
            let told = Wave {
                at_once: if self.profile.reckless {
                    u32::MAX
                } else {
                    wave.at_once
                },
                ..wave
            };
            self.wave = Some(told.clone());
            self.apply(Event::WavePublished {
                wave: told,
                age_ms: 0,
            });
        }
        for id in self.vms.take_ended() {
            self.unlist(&id);
        }
        for (vm, _pool) in self.vms.advance(self.now) {
            self.new_life(&vm);
        }
    }

    fn apply(&mut self, event: Event) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let actions = scheduler.handle(event, self.now);
        self.perform(actions);
    }

    fn look(&mut self) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let mut actions = scheduler.handle(Event::Ticked, self.now);
        if self.now.0.is_multiple_of(READ_MS) {
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
                    let session = Session {
                        id: spec.id,
                        renew_at: self.now,
                        clock_read: false,
                        failed: false,
                    };
                    self.sessions.insert(worker, session);
                }
                Action::Detach { worker } => {
                    if let Some(session) = self.sessions.remove(&worker) {
                        self.gone.push(session.id);
                    }
                }
                Action::Start(order) => self.send_start(&order),
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
                    self.later(delay_ms, Delivery::Listed(self.token, asked_at));
                }
                Action::OrderVm { vm, duty } => self.send_vm_order(vm, duty),
                Action::ReportWave { wave, completed } => self.vms.told(wave, completed),
                Action::DropSpec(_) | Action::Forget(_) | Action::Note(_) => {}
            }
        }
    }

    fn bring_jobs(&mut self) {
        while let Some(given) = self.given.get(self.next_job) {
            if given.at_ms + FIRST_MS > self.now.0 {
                break;
            }
            self.next_job += 1;
            let mut spec = Box::new(given.spec.clone());
            for step in &mut spec.steps {
                if self.profile.reckless {
                    step.unavailable_limit = None;
                    step.long_running = false;
                }
            }
            self.apply(Event::JobStored { spec, age_ms: 0 });
        }
        let mut cancels = Vec::new();
        for given in &self.given[..self.next_job] {
            let due = given
                .cancel_at_ms
                .is_some_and(|at_ms| at_ms + FIRST_MS <= self.now.0);
            if due && !self.cancelled.contains(&given.spec.id) {
                cancels.push(given.spec.id);
            }
        }
        for id in cancels {
            self.cancelled.push(id);
            self.fleet.judge.release(id);
            self.apply(Event::JobCancelled(id));
        }
    }
}

/// Names the life of a worker that it told of last.
fn life_id(name: &WorkerId, life: &Life) -> WorkerId {
    WorkerId::of_life(name.as_str(), Some(life.told_birth.0))
}

fn spec_of(id: &WorkerId, life: &Life) -> WorkerSpec {
    WorkerSpec {
        id: life_id(id, life),
        service: ServiceName::new(SERVICE),
        address: SmolStr::new_static("10.0.0.1:1"),
        zone: Zone::new("zone"),
        rack: RackId::new(format!("r-{}", life.number % 2)),
        labels: Vec::new(),
        capacity: cpu(life.told_cores),
        draining: false,
        vm: Some(life.vm.clone()),
    }
}
