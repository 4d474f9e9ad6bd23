//! Two schedulers that overlap, one worker more than the job needs, and one job.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use smol_str::SmolStr;
use syc_cell::ports::OrderError;
use syc_cell::ports::Renewal;
use syc_cell::ports::RenewalReply;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_fleet::Fault;
use syc_fleet::FleetModel;
use syc_fleet::Plan;
use syc_fleet::RunEvent;
use syc_fleet::WorkerModel;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::QueuePolicy;
use syc_sched::Run;
use syc_sched::Schedule;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::search::Choices;
use crate::side::Order;
use crate::side::Side;

const SERVICE: &str = "intake";
const JOB: JobId = JobId(1);
const LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 900;

/// Both schedulers act once in each of these.
const SLOT_MS: u64 = 1_000;

/// The slot in which the successor has read what is stored.
const TAKEOVER: u64 = 3;

/// By then every order has arrived, and every lease that was set in doubt has lapsed.
const SLOTS: u64 = 60;

/// Slots for which a worker can't be reached by the successor: not at all, for less than leases last, and longer.
const SILENCES: [u64; 3] = [0, 2, 12];

/// Slots of the takeover in which the predecessor reads the job, from the one before it on.
const READS_BEFORE: [u64; 4] = [0, 1, 2, 3];

/// Slots after the takeover in which the successor reads the job; the first is the takeover itself.
const READS_AFTER: [u64; 4] = [0, 1, 4, 13];

/// Slots after the takeover in which the predecessor ends: all that its authority allows.
const ENDS: [u64; 3] = [1, 2, 3];

/// Slots for which the predecessor stands still from the takeover on.
const STILL: [u64; 3] = [0, 5, 8];

/// How long tasks take.
const WORK_MS: [u64; 2] = [500, 4_500];

/// What becomes of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    Late(u64),
}

const FATES: [Fate; 4] = [
    Fate::Answered,
    Fate::AnswerLost,
    Fate::Late(2),
    Fate::Late(12),
];

/// What a play came to.
#[derive(Debug)]
pub struct Played {
    pub faults: Vec<Fault>,
    /// Runs of one task and number that began on more than one worker.
    pub numbers_used_twice: usize,
    pub state: Option<JobState>,
}

/// The rules of a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    pub rule: Rule,
    pub leases: Leases,
}

/// By which rule a scheduler starts what was stored lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// As soon as it has read it; its successor waits until nothing unknown runs.
    Waits,
    /// Once the store has taken something that was sent after that; its successor need not wait.
    Proves,
}

/// Where the predecessor stands still, and then goes on once before it looks whether it has a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StandsStill {
    /// Before it renews leases and decides on anything.
    BeforeDecisions,
    /// With its decisions made, and no order sent.
    BeforeOrders,
}

const STAND_STILLS: [StandsStill; 2] = [StandsStill::BeforeDecisions, StandsStill::BeforeOrders];

/// From when the leases of a predecessor that stood still count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leases {
    /// It does not stand still.
    OfOneThatGoesOn,
    /// From the decision, and no later than what showed that it has no successor allows.
    FromEvidence,
    /// From the sending of the order, on purpose: the judge must see it.
    FromSending,
}

/// The world of one play.
#[derive(Debug)]
pub struct World<'a> {
    rule: Rule,
    leases: Leases,
    /// Jobs that were known when the predecessor last sent the store something.
    sent_with: u64,
    choices: &'a mut Choices,
    now: Millis,
    spec: JobSpec,
    workers: u64,
    fleet: FleetModel,
    predecessor: Side,
    successor: Side,
    kept: Option<JobProgress>,
    /// Time from which the successor reaches each worker.
    silent_until: BTreeMap<WorkerId, Millis>,
    /// Start orders that arrive late.
    late: Vec<(Millis, WorkerId, StartCommand)>,
    /// Answers to the scheduler of a token that come in the next slot.
    doubts: Vec<(u64, Event)>,
    /// Whether the successor's first answer that tells of an end has been decided on.
    has_told_end: bool,
}

impl<'a> World<'a> {
    /// Makes a world in which the predecessor knows all workers and no job.
    pub fn new(choices: &'a mut Choices, step: StepSpec, failing_runs: u32, rules: Rules) -> Self {
        let Rules { rule, leases } = rules;
        let workers = u64::from(step.tasks) + 1;
        let spec = JobSpec {
            id: JOB,
            payload: SmolStr::new_static("payload"),
            steps: vec![step],
            policy: policy(),
            schedule: Schedule::default(),
            accepted_at_ms: TimeOfDay(0),
        };
        let mut fleet = FleetModel::default();
        fleet.limits.lease_ms = LEASE_MS;
        fleet.limits.stop_ms = STOP_MS;
        fleet.judge.submitted(spec.clone());
        fleet.judge.keep_events();
        let work_ms = choices.pick(&WORK_MS);
        let plan = Plan {
            work_ms,
            failing_runs,
        };
        fleet.plan(first_task(), plan);
        for index in 0..workers {
            fleet.add(WorkerModel::new(worker(index).id, cpu(1), 0));
        }
        let mut world = Self {
            rule,
            leases,
            sent_with: 0,
            choices,
            now: Millis(SLOT_MS),
            spec,
            workers,
            fleet,
            predecessor: Side::new(),
            successor: Side::new(),
            kept: None,
            silent_until: BTreeMap::new(),
            late: Vec::new(),
            doubts: Vec::new(),
            has_told_end: false,
        };
        for index in 0..workers {
            let listed = Event::WorkerListed(worker(index));
            world.predecessor.apply(listed, world.now);
        }
        world.predecessor.scheduler.begin_recovery(world.now);
        if rule == Rule::Proves {
            world.predecessor.scheduler.require_proof();
            world.successor.scheduler.require_proof();
            let successor = &mut world.successor.scheduler;
            successor.set_predecessors_prove(true);
        }
        world
    }

    /// Plays it to the end. Takes note of each state in `seen`.
    pub fn play(mut self, seen: &mut BTreeSet<u64>) -> Played {
        let read_before = self.choices.pick(&READS_BEFORE) + TAKEOVER - 1;
        // What its predecessor has read by then is there when the successor reads all that is stored.
        let is_stored = read_before < TAKEOVER;
        let read_after = if is_stored {
            TAKEOVER
        } else {
            TAKEOVER + self.choices.pick(&READS_AFTER)
        };
        let still = self.pick_still();
        let ends_in = match still {
            Some((slots, _)) => TAKEOVER + slots + 1,
            None => TAKEOVER + self.choices.pick(&ENDS),
        };
        for slot in 1..SLOTS {
            self.now = Millis(slot * SLOT_MS);
            self.fleet.advance(self.now);
            self.deliver();
            if slot == read_before {
                self.read_job(1);
            }
            if slot == ends_in {
                self.predecessor.ended = true;
            }
            self.take_proof(slot);
            match still {
                Some((slots, at)) => self.act_still(slot, TAKEOVER + slots, at),
                None => self.act(1),
            }
            if slot < TAKEOVER {
                self.record(1);
            }
            if slot == TAKEOVER {
                self.take_over(read_after == TAKEOVER);
            }
            if slot >= TAKEOVER {
                self.successor.authority.note_taken(self.now);
                // All that was stored before the job may have been read by then, but no more.
                let read_at = Millis(slot.min(read_before) * SLOT_MS);
                self.successor.scheduler.set_jobs_read(read_at);
                if slot == read_after && !self.successor.has_read_job {
                    self.read_job(2);
                }
                if slot >= read_after {
                    self.successor.scheduler.set_jobs_read(self.now);
                }
                self.act(2);
                self.record(2);
                if self.rule == Rule::Proves {
                    let scheduler = &mut self.successor.scheduler;
                    scheduler.set_proof(scheduler.jobs_added(), self.now);
                }
            }
            seen.insert(self.digest());
            if slot > TAKEOVER + 20 && self.is_over() {
                break;
            }
        }
        Played {
            faults: self.fleet.judge.faults().to_vec(),
            numbers_used_twice: numbers_used_twice(&self.fleet.judge.take_events()),
            state: self.successor.scheduler.state_of(JOB),
        }
    }

    /// Decides for how long the predecessor stands still, and where; none where it goes on.
    fn pick_still(&mut self) -> Option<(u64, StandsStill)> {
        if self.leases == Leases::OfOneThatGoesOn {
            return None;
        }
        let slots = self.choices.pick(&STILL);
        let at = self.choices.pick(&STAND_STILLS);
        Some((slots, at))
    }

    /// Lets the predecessor act that stands still from the takeover until a slot.
    fn act_still(&mut self, slot: u64, until: u64, at: StandsStill) {
        if slot < TAKEOVER || slot == until {
            self.act(1);
        } else if slot == TAKEOVER && at == StandsStill::BeforeOrders {
            self.decide(1);
        }
    }

    /// Lets the predecessor hear that the store took what it sent a slot before, and send it something again.
    fn take_proof(&mut self, slot: u64) {
        let is_taken = slot <= TAKEOVER;
        if is_taken {
            // What was sent at the last moment: a successor refuses it from then on.
            self.predecessor.authority.note_taken(self.now);
        }
        if self.rule == Rule::Waits {
            return;
        }
        if is_taken {
            let scheduler = &mut self.predecessor.scheduler;
            let sent_at = Millis(self.now.0 - SLOT_MS);
            scheduler.set_proof(self.sent_with, sent_at);
        }
        self.sent_with = self.predecessor.scheduler.jobs_added();
    }

    fn is_over(&self) -> bool {
        let state = self.successor.scheduler.state_of(JOB);
        state.is_some_and(JobState::is_terminal) && self.late.is_empty()
    }

    /// Returns a number for what is running, under way and known.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let known = (
            &self.kept,
            &self.late,
            &self.doubts,
            self.predecessor.ended,
            self.predecessor.has_read_job,
            self.successor.has_read_job,
            self.successor.scheduler.is_recovered(),
        );
        format!("{:?} {:?} {known:?}", self.now, self.fleet).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the scheduler with a token: 1 is the predecessor, 2 its successor.
    fn side(&mut self, token: u64) -> &mut Side {
        if token == 1 {
            &mut self.predecessor
        } else {
            &mut self.successor
        }
    }

    fn read_job(&mut self, token: u64) {
        let stored = Event::JobStored {
            spec: Box::new(self.spec.clone()),
            age_ms: 0,
        };
        let now = self.now;
        let side = self.side(token);
        side.apply(stored, now);
        side.has_read_job = true;
    }

    fn take_over(&mut self, reads_job: bool) {
        let now = self.now;
        if reads_job {
            let scheduler = &mut self.successor.scheduler;
            scheduler.restore_job(self.spec.clone(), self.kept.as_ref(), 0, now);
            self.successor.has_read_job = true;
        }
        for index in 0..self.workers {
            let silence = self.choices.pick(&SILENCES);
            let until = now.plus(silence * SLOT_MS);
            self.silent_until.insert(worker(index).id, until);
            self.successor
                .apply(Event::WorkerListed(worker(index)), now);
        }
        self.successor.scheduler.begin_recovery(now);
    }

    /// Lets a scheduler renew the leases, hear what is reported and look at what waits.
    fn act(&mut self, token: u64) {
        self.decide(token);
        self.carry_out(token);
    }

    /// Does all that but the sending of the orders.
    fn decide(&mut self, token: u64) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.doubts)
            .into_iter()
            .partition(|(of, _)| *of == token);
        self.doubts = rest;
        for (_, event) in due {
            self.side(token).apply(event, now);
        }
        for (key, id) in self.side(token).workers.clone() {
            self.renew(token, key, &id);
        }
        let asked_at = now;
        self.side(token).apply(Event::WorkersRead { asked_at }, now);
        self.side(token).look(now);
    }

    fn is_reached(&self, token: u64, id: &WorkerId) -> bool {
        let until = self.silent_until.get(id).filter(|_| token == 2);
        until.is_none_or(|until| *until <= self.now)
    }

    fn renew(&mut self, token: u64, worker: WorkerKey, id: &WorkerId) {
        let now = self.now;
        if self.side(token).ended {
            return;
        }
        let knows_clock = self.side(token).heard.contains(&worker);
        let (acknowledged, _) = self.side(token).scheduler.acknowledged_ends(worker);
        if knows_clock {
            self.side(token).apply(Event::Renewing { worker }, now);
        }
        if !self.is_reached(token, id) {
            self.side(token).apply(Event::RenewalFailed { worker }, now);
            return;
        }
        let lease_until_ms = self.lease_until_ms(token, now).filter(|_| knows_clock);
        let renewal = Renewal {
            lease_until_ms,
            acknowledged,
            wait_ms: 0,
            token,
        };
        let renewed = self.fleet.renew(id, &renewal, now);
        if renewed
            .as_ref()
            .is_ok_and(|renewed| self.is_lost(token, renewed))
        {
            self.side(token).apply(Event::RenewalFailed { worker }, now);
            return;
        }
        let side = self.side(token);
        match renewed {
            Ok(renewed) => {
                side.heard.insert(worker);
                let report = renewed.report;
                let event = Event::Renewed {
                    worker,
                    sent_at: now,
                    report,
                };
                side.apply(event, now);
            }
            Err(_fenced) => side.ended = true,
        }
    }

    /// Says whether an answer of a worker gets lost: it may be the first in which the successor would hear of an end.
    fn is_lost(&mut self, token: u64, renewed: &RenewalReply) -> bool {
        if token == 1 || self.has_told_end || renewed.report.ended.is_empty() {
            return false;
        }
        self.has_told_end = true;
        self.choices.pick(&[false, true])
    }

    fn carry_out(&mut self, token: u64) {
        loop {
            let orders = self.side(token).take_orders();
            if orders.is_empty() {
                return;
            }
            for order in orders {
                match order {
                    Order::Start(order) => self.start(token, &order),
                    Order::Stop(worker, task, run) => self.stop(token, worker, task, run),
                }
            }
        }
    }

    fn start(&mut self, token: u64, order: &StartOrder) {
        let now = self.now;
        let Some(id) = self.side(token).workers.get(&order.worker).cloned() else {
            return;
        };
        self.side(token).starts += 1;
        // Later ones arrive at once: the first is what can overlap.
        let is_first = self.side(token).starts == 1;
        let fate = if is_first {
            self.choices.pick(&FATES)
        } else {
            Fate::Answered
        };
        let Some(lease_until_ms) = self.lease_until_ms(token, order.decided_at) else {
            self.withhold(token, order);
            return;
        };
        let command = StartCommand {
            task: order.task,
            run: order.run,
            payload: order.payload.clone(),
            lease_until_ms,
            token,
            ticket: order.ticket.clone(),
            checkpoint: order.checkpoint.clone(),
        };
        let answered = |answer| Event::StartAnswered {
            worker: order.worker,
            task: order.task,
            run: order.run,
            answer,
        };
        let in_doubt = (token, answered(StartAnswer::InDoubt));
        if let Fate::Late(slots) = fate {
            let at = now.plus(slots * SLOT_MS);
            self.late.push((at, id, command));
            self.doubts.push(in_doubt);
            return;
        }
        let answer = match self.fleet.start(&id, &command, now) {
            _ if fate == Fate::AnswerLost => {
                self.doubts.push(in_doubt);
                return;
            }
            Ok(()) => StartAnswer::Started,
            Err(OrderError::Refused(refusal)) => StartAnswer::Refused(refusal),
            Err(_fenced) => {
                self.side(token).ended = true;
                return;
            }
        };
        self.side(token).apply(answered(answer), now);
    }

    /// Returns when a lease ends that was decided on at a time; none where its scheduler may have a successor.
    fn lease_until_ms(&mut self, token: u64, decided_at: Millis) -> Option<u64> {
        let now = self.now;
        let from = match self.leases {
            Leases::FromSending => Some(now),
            Leases::OfOneThatGoesOn | Leases::FromEvidence => {
                self.side(token).authority.lease_from(decided_at, now)
            }
        };
        from.map(|from| from.0 + LEASE_MS)
    }

    /// Tells a scheduler that an order was not sent.
    fn withhold(&mut self, token: u64, order: &StartOrder) {
        let event = Event::StartAnswered {
            worker: order.worker,
            task: order.task,
            run: order.run,
            answer: StartAnswer::NotSent,
        };
        let now = self.now;
        self.side(token).apply(event, now);
    }

    fn stop(&mut self, token: u64, worker: WorkerKey, task: TaskId, run: Run) {
        let now = self.now;
        let Some(id) = self.side(token).workers.get(&worker).cloned() else {
            return;
        };
        let command = StopCommand { task, run, token };
        let is_reached = self.is_reached(token, &id);
        let was_taken = is_reached && self.fleet.stop(&id, &command, now).is_ok();
        let event = Event::StopAnswered {
            worker,
            task,
            run,
            taken: was_taken,
        };
        self.side(token).apply(event, now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.late = rest;
        for (_, id, command) in due {
            // Whoever sent it has given it up: its answer goes nowhere.
            let _unheard = self.fleet.start(&id, &command, now);
        }
    }

    /// Lets the store take what a scheduler has of the job.
    fn record(&mut self, token: u64) {
        let now = self.now;
        if self.side(token).ended {
            return;
        }
        let records = self
            .side(token)
            .scheduler
            .take_records(usize::MAX, now, TimeOfDay(1));
        let mut jobs = Vec::new();
        for (id, change, progress) in records {
            self.kept = Some(progress);
            jobs.push((id, change));
        }
        self.side(token).apply(Event::Recorded { jobs }, now);
        self.carry_out(token);
    }
}

fn numbers_used_twice(events: &[RunEvent]) -> usize {
    let mut workers: BTreeMap<(TaskId, Run), BTreeSet<&WorkerId>> = BTreeMap::new();
    for event in events {
        if let RunEvent::Started { worker, task, run } = event {
            workers.entry((*task, *run)).or_default().insert(worker);
        }
    }
    workers.values().filter(|workers| workers.len() > 1).count()
}

fn first_task() -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskId { step, index: 0 }
}

fn policy() -> QueuePolicy {
    QueuePolicy {
        queue: SmolStr::new_static("queue"),
        service: ServiceName::new(SERVICE),
        priority: 0,
        attempts_limit: 3,
        stretch: 2.0,
        objective_ms: 1_000,
        advice: None,
    }
}

fn worker(index: u64) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(format!("w-{index}")),
        service: ServiceName::new(SERVICE),
        address: SmolStr::new_static("10.0.0.1:1"),
        zone: Zone::new("zone"),
        rack: RackId::new("rack"),
        labels: Vec::new(),
        capacity: cpu(1),
        draining: false,
        vm: None,
    }
}

pub fn cpu(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        memory_bytes: cores << 30,
        accelerators: 0,
    }
}
