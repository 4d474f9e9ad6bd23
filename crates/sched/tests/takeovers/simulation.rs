//! Simulation of two overlapping schedulers, one job, and a few workers more than it needs.

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
use syc_fleet::FleetModel;
use syc_fleet::RunEvent;
use syc_fleet::TaskPlan;
use syc_fleet::Violation;
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

use crate::choices::Choices;
use crate::node::Order;
use crate::node::SchedulerNode;

const SERVICE: &str = "intake";
pub const JOB: JobId = JobId(1);
pub const LEASE_MS: u64 = 6_000;
pub const STOP_MS: u64 = 900;

/// Duration of a slot, in which both schedulers act once.
const SLOT_MS: u64 = 1_000;

/// Slot in which the successor has read everything that is stored.
const TAKEOVER_SLOT: u64 = 3;

/// By this slot every order has arrived and every lease of an unanswered order has expired.
const SLOTS: u64 = 60;

/// Number of slots for which the successor cannot reach a worker: none, less than a lease, and more than a lease.
const UNREACHABLE_SLOTS: [u64; 3] = [0, 2, 12];

/// Slots in which the predecessor reads the job, counted from the slot before the takeover.
const PREDECESSOR_READ_OFFSETS: [u64; 4] = [0, 1, 2, 3];

/// Number of slots after the takeover at which the successor reads the job; 0 is the takeover itself.
const SUCCESSOR_READ_DELAYS: [u64; 4] = [0, 1, 4, 13];

/// Number of slots after the takeover at which the predecessor ends: all that its authority allows.
const PREDECESSOR_END_DELAYS: [u64; 3] = [1, 2, 3];

/// Number of slots for which the predecessor is paused from the takeover on.
const PAUSE_SLOTS: [u64; 3] = [0, 5, 8];

/// Run time of tasks.
const WORK_MS: [u64; 2] = [500, 4_500];

/// What happens to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Answered,
    AnswerLost,
    Delayed(u64),
}

const DELIVERIES: [Delivery; 4] = [
    Delivery::Answered,
    Delivery::AnswerLost,
    Delivery::Delayed(2),
    Delivery::Delayed(12),
];

/// Result of a simulation.
#[derive(Debug)]
pub struct SimulationResult {
    pub faults: Vec<Violation>,
    /// Number of runs that started on more than one worker under the same task and run number.
    pub duplicate_run_numbers: usize,
    pub state: Option<JobState>,
}

/// Rules that the schedulers follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    pub start_rule: StartRule,
    pub lease_start: LeaseStart,
    pub evidence: Evidence,
}

/// When a scheduler starts a job that was stored recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRule {
    /// As soon as it has read the job; its successor waits until everything that runs is known.
    OnceRead,
    /// Once the store has accepted a request that was sent after the job was read; its successor need not wait.
    OnceConfirmed,
}

/// Point at which the predecessor is paused. Afterwards it continues once before it checks for a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PausePoint {
    /// Before it renews leases and makes decisions.
    BeforeDecisions,
    /// After its decisions are made and before an order is sent.
    BeforeOrders,
}

const PAUSE_POINTS: [PausePoint; 2] = [PausePoint::BeforeDecisions, PausePoint::BeforeOrders];

/// Start of the leases that a paused predecessor grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStart {
    /// The predecessor is not paused.
    NoPause,
    /// From the decision, but no later than its evidence of having no successor allows.
    FromDecision,
    /// From the sending of the order: deliberately wrong, so that the checker must detect it.
    FromSend,
}

/// For how long the predecessor keeps its evidence, and whether its workers are also those of the successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// From the store, until the takeover. Both schedulers reach the workers.
    Appends,
    /// From followers that cannot read of the successor, until it is told of it. From the takeover on, it reaches only
    /// the workers that the successor does not reach.
    FollowersUntilTold,
    /// The same, but it is never told: deliberately wrong, so that the checker must detect it.
    FollowersForever,
}

/// State of one simulation.
#[derive(Debug)]
pub struct Simulation<'a> {
    start_rule: StartRule,
    lease_start: LeaseStart,
    evidence: Evidence,
    /// Number of jobs known when the predecessor last sent a request to the store.
    jobs_sent: u64,
    choices: &'a mut Choices,
    now: Millis,
    spec: JobSpec,
    workers: u64,
    fleet: FleetModel,
    predecessor: SchedulerNode,
    successor: SchedulerNode,
    stored: Option<JobProgress>,
    /// Time from which the successor can reach each worker.
    unreachable_until: BTreeMap<WorkerId, Millis>,
    /// Start orders that arrive late.
    delayed_starts: Vec<(Millis, WorkerId, StartCommand)>,
    /// Answers that the scheduler with a token receives in the next slot.
    delayed_answers: Vec<(u64, Event)>,
    /// Whether it has been chosen if the first answer that reports an end to the successor is lost.
    first_end_reported: bool,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation in which the predecessor knows all workers and no job.
    pub fn new(choices: &'a mut Choices, step: StepSpec, failing_runs: u32, rules: Rules) -> Self {
        let Rules {
            start_rule,
            lease_start,
            evidence,
        } = rules;
        let tasks = u64::from(step.tasks);
        // Schedulers that reach no worker in common each need enough for all tasks.
        let spare_workers = if evidence == Evidence::Appends {
            1
        } else {
            tasks
        };
        let workers = tasks + spare_workers;
        let spec = JobSpec {
            id: JOB,
            payload: SmolStr::new_static("payload"),
            steps: vec![step],
            policy: policy(),
            schedule: Schedule::default(),
            accepted_at_ms: TimeOfDay(0),
            workspace: None,
        };
        let mut fleet = FleetModel::default();
        fleet.limits.lease_ms = LEASE_MS;
        fleet.limits.stop_ms = STOP_MS;
        fleet.checker.submitted(spec.clone());
        fleet.checker.record_events();
        let work_ms = choices.pick(&WORK_MS);
        let plan = TaskPlan {
            work_ms,
            failing_runs,
        };
        fleet.plan_task(first_task(), plan);
        for index in 0..workers {
            fleet.add(WorkerModel::new(worker(index).id, cpu(1), 0));
        }
        let mut simulation = Self {
            start_rule,
            lease_start,
            evidence,
            jobs_sent: 0,
            choices,
            now: Millis(SLOT_MS),
            spec,
            workers,
            fleet,
            predecessor: SchedulerNode::new(),
            successor: SchedulerNode::new(),
            stored: None,
            unreachable_until: BTreeMap::new(),
            delayed_starts: Vec::new(),
            delayed_answers: Vec::new(),
            first_end_reported: false,
        };
        for index in 0..workers {
            let listed = Event::WorkerListed(worker(index));
            simulation.predecessor.apply(listed, simulation.now);
        }
        simulation
            .predecessor
            .scheduler
            .begin_recovery(simulation.now);
        if start_rule == StartRule::OnceConfirmed {
            simulation.predecessor.scheduler.require_leadership_proof();
            simulation.successor.scheduler.require_leadership_proof();
            let successor = &mut simulation.successor.scheduler;
            successor.set_predecessors_require_proof(true);
        }
        simulation
    }

    /// Runs to the end and adds each state to `seen`.
    pub fn run(mut self, seen: &mut BTreeSet<u64>) -> SimulationResult {
        let read_before = self.choices.pick(&PREDECESSOR_READ_OFFSETS) + TAKEOVER_SLOT - 1;
        // A job that the predecessor has read by then is found when the successor reads everything that is stored.
        let is_stored = read_before < TAKEOVER_SLOT;
        let read_after = if is_stored {
            TAKEOVER_SLOT
        } else {
            TAKEOVER_SLOT + self.choices.pick(&SUCCESSOR_READ_DELAYS)
        };
        let pause = self.pick_pause();
        let ends_in = match pause {
            Some((slots, _)) => TAKEOVER_SLOT + slots + 1,
            None if self.evidence == Evidence::FollowersForever => SLOTS,
            None => TAKEOVER_SLOT + self.choices.pick(&PREDECESSOR_END_DELAYS),
        };
        for slot in 1..SLOTS {
            self.now = Millis(slot * SLOT_MS);
            self.fleet.advance(self.now);
            self.deliver();
            if slot == read_before {
                self.read_job(1);
            }
            if slot == ends_in {
                self.predecessor.has_ended = true;
            }
            self.confirm_sent_jobs(slot);
            match pause {
                Some((slots, at)) => self.act_with_pause(slot, TAKEOVER_SLOT + slots, at),
                None => self.act(1),
            }
            if slot < TAKEOVER_SLOT {
                self.record(1);
            }
            if slot == TAKEOVER_SLOT {
                self.take_over(read_after == TAKEOVER_SLOT);
            }
            if slot >= TAKEOVER_SLOT {
                self.successor.authority.note_append(self.now);
                // At most everything stored before the job has been read by then.
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
                if self.start_rule == StartRule::OnceConfirmed {
                    let scheduler = &mut self.successor.scheduler;
                    scheduler.record_leadership_proof(scheduler.jobs_added(), self.now);
                }
            }
            seen.insert(self.digest());
            if slot > TAKEOVER_SLOT + 20 && self.is_finished() {
                break;
            }
        }
        SimulationResult {
            faults: self.fleet.checker.violations().to_vec(),
            duplicate_run_numbers: duplicate_run_numbers(&self.fleet.checker.take_events()),
            state: self.successor.scheduler.state_of(JOB),
        }
    }

    /// Chooses for how long and at which point the predecessor is paused; none if it is not.
    fn pick_pause(&mut self) -> Option<(u64, PausePoint)> {
        if self.lease_start == LeaseStart::NoPause {
            return None;
        }
        let slots = self.choices.pick(&PAUSE_SLOTS);
        let at = self.choices.pick(&PAUSE_POINTS);
        Some((slots, at))
    }

    /// Lets a predecessor act that is paused from the takeover until a slot.
    fn act_with_pause(&mut self, slot: u64, until: u64, at: PausePoint) {
        if slot < TAKEOVER_SLOT || slot == until {
            self.act(1);
        } else if slot == TAKEOVER_SLOT && at == PausePoint::BeforeOrders {
            self.decide(1);
        }
    }

    /// Confirms to the predecessor the request that it sent to the store a slot ago, and lets it send another.
    fn confirm_sent_jobs(&mut self, slot: u64) {
        let is_taken = slot <= TAKEOVER_SLOT;
        if is_taken {
            // The last request that is accepted: from then on a successor makes the store refuse them.
            self.predecessor.authority.note_append(self.now);
        }
        if self.evidence != Evidence::Appends {
            let follower = SmolStr::new_static("follower");
            self.predecessor
                .authority
                .note_follower(&follower, self.now);
        }
        if self.start_rule == StartRule::OnceRead {
            return;
        }
        if is_taken {
            let scheduler = &mut self.predecessor.scheduler;
            let sent_at = Millis(self.now.0 - SLOT_MS);
            scheduler.record_leadership_proof(self.jobs_sent, sent_at);
        }
        self.jobs_sent = self.predecessor.scheduler.jobs_added();
    }

    fn is_finished(&self) -> bool {
        let state = self.successor.scheduler.state_of(JOB);
        state.is_some_and(JobState::is_terminal) && self.delayed_starts.is_empty()
    }

    /// Returns a hash of the state: what runs, what is in transit, and what the schedulers know.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let known = (
            &self.stored,
            &self.delayed_starts,
            &self.delayed_answers,
            self.predecessor.has_ended,
            self.predecessor.has_read_job,
            self.successor.has_read_job,
            self.successor.scheduler.is_recovered(),
        );
        format!("{:?} {:?} {known:?}", self.now, self.fleet).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the scheduler with a token: 1 is the predecessor, 2 its successor.
    fn node(&mut self, token: u64) -> &mut SchedulerNode {
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
        let node = self.node(token);
        node.apply(stored, now);
        node.has_read_job = true;
    }

    fn take_over(&mut self, reads_job: bool) {
        let now = self.now;
        if reads_job {
            let scheduler = &mut self.successor.scheduler;
            scheduler.restore_job(self.spec.clone(), self.stored.as_ref(), 0, now);
            self.successor.has_read_job = true;
        }
        for index in 0..self.workers {
            let slots = self.choices.pick(&UNREACHABLE_SLOTS);
            let until = now.plus(slots * SLOT_MS);
            self.unreachable_until.insert(worker(index).id, until);
            self.successor
                .apply(Event::WorkerListed(worker(index)), now);
        }
        self.successor.scheduler.begin_recovery(now);
    }

    /// Lets a scheduler renew leases, handle the reports, schedule waiting steps and send its orders.
    fn act(&mut self, token: u64) {
        self.decide(token);
        self.send_orders(token);
    }

    /// Does the same without sending the orders.
    fn decide(&mut self, token: u64) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.delayed_answers)
            .into_iter()
            .partition(|(of, _)| *of == token);
        self.delayed_answers = rest;
        for (_, event) in due {
            self.node(token).apply(event, now);
        }
        for (key, id) in self.node(token).workers.clone() {
            self.renew(token, key, &id);
        }
        let asked_at = now;
        self.node(token).apply(Event::WorkersRead { asked_at }, now);
        self.node(token).schedule(now);
    }

    fn is_reachable(&self, token: u64, id: &WorkerId) -> bool {
        let until = self.unreachable_until.get(id);
        let successor_reaches = until.is_none_or(|until| *until <= self.now);
        if token == 2 {
            return successor_reaches;
        }
        let is_taken_over = until.is_some();
        self.evidence == Evidence::Appends || !is_taken_over || !successor_reaches
    }

    fn renew(&mut self, token: u64, worker: WorkerKey, id: &WorkerId) {
        let now = self.now;
        if self.node(token).has_ended {
            return;
        }
        let knows_clock = self.node(token).contacted.contains(&worker);
        let (acknowledged, _) = self.node(token).scheduler.acknowledged_ends(worker);
        if knows_clock {
            self.node(token).apply(Event::Renewing { worker }, now);
        }
        if !self.is_reachable(token, id) {
            self.node(token).apply(Event::RenewalFailed { worker }, now);
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
            .is_ok_and(|renewed| self.loses_answer(token, renewed))
        {
            self.node(token).apply(Event::RenewalFailed { worker }, now);
            return;
        }
        let node = self.node(token);
        match renewed {
            Ok(renewed) => {
                node.contacted.insert(worker);
                let report = renewed.report;
                let event = Event::Renewed {
                    worker,
                    sent_at: now,
                    report,
                };
                node.apply(event, now);
            }
            Err(_fenced) => node.has_ended = true,
        }
    }

    /// Returns whether an answer of a worker is lost. Only the first answer that reports an end to the successor can
    /// be.
    fn loses_answer(&mut self, token: u64, renewed: &RenewalReply) -> bool {
        if token == 1 || self.first_end_reported || renewed.report.ended.is_empty() {
            return false;
        }
        self.first_end_reported = true;
        self.choices.pick(&[false, true])
    }

    fn send_orders(&mut self, token: u64) {
        loop {
            let orders = self.node(token).take_orders();
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
        let Some(id) = self.node(token).workers.get(&order.worker).cloned() else {
            return;
        };
        self.node(token).start_count += 1;
        // Later orders are answered at once, because only the first can overlap with the other scheduler's.
        let is_first = self.node(token).start_count == 1;
        let delivery = if is_first {
            self.choices.pick(&DELIVERIES)
        } else {
            Delivery::Answered
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
        if let Delivery::Delayed(slots) = delivery {
            let at = now.plus(slots * SLOT_MS);
            self.delayed_starts.push((at, id, command));
            self.delayed_answers.push(in_doubt);
            return;
        }
        let answer = match self.fleet.start(&id, &command, now) {
            _ if delivery == Delivery::AnswerLost => {
                self.delayed_answers.push(in_doubt);
                return;
            }
            Ok(()) => StartAnswer::Started,
            Err(OrderError::Refused(refusal)) => StartAnswer::Refused(refusal),
            Err(_fenced) => {
                self.node(token).has_ended = true;
                return;
            }
        };
        self.node(token).apply(answered(answer), now);
    }

    /// Returns the end of a lease that was decided at a time; none if the scheduler may have a successor.
    fn lease_until_ms(&mut self, token: u64, decided_at: Millis) -> Option<u64> {
        let now = self.now;
        let from = match self.lease_start {
            LeaseStart::FromSend => Some(now),
            LeaseStart::NoPause | LeaseStart::FromDecision => {
                self.node(token).authority.lease_start(decided_at, now)
            }
        };
        from.map(|from| from.0 + LEASE_MS)
    }

    /// Reports to a scheduler that an order was not sent.
    fn withhold(&mut self, token: u64, order: &StartOrder) {
        let event = Event::StartAnswered {
            worker: order.worker,
            task: order.task,
            run: order.run,
            answer: StartAnswer::NotSent,
        };
        let now = self.now;
        self.node(token).apply(event, now);
    }

    fn stop(&mut self, token: u64, worker: WorkerKey, task: TaskId, run: Run) {
        let now = self.now;
        let Some(id) = self.node(token).workers.get(&worker).cloned() else {
            return;
        };
        let command = StopCommand { task, run, token };
        let is_reached = self.is_reachable(token, &id);
        let was_accepted = is_reached && self.fleet.stop(&id, &command, now).is_ok();
        let event = Event::StopAnswered {
            worker,
            task,
            run,
            accepted: was_accepted,
        };
        self.node(token).apply(event, now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_starts)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.delayed_starts = rest;
        for (_, id, command) in due {
            // The sender no longer waits for the answer.
            let _unheard = self.fleet.start(&id, &command, now);
        }
    }

    /// Stores a scheduler's progress of the job.
    fn record(&mut self, token: u64) {
        let now = self.now;
        if self.node(token).has_ended {
            return;
        }
        let records = self
            .node(token)
            .scheduler
            .take_records(usize::MAX, now, TimeOfDay(1));
        let mut jobs = Vec::new();
        for (id, change, progress) in records {
            self.stored = Some(progress);
            jobs.push((id, change));
        }
        self.node(token).apply(Event::Recorded { jobs }, now);
        self.send_orders(token);
    }
}

fn duplicate_run_numbers(events: &[RunEvent]) -> usize {
    let mut workers: BTreeMap<(TaskId, Run), BTreeSet<&WorkerId>> = BTreeMap::new();
    for event in events {
        if let RunEvent::Started { worker, task, run } = event {
            workers.entry((*task, *run)).or_default().insert(worker);
        }
    }
    workers.values().filter(|workers| workers.len() > 1).count()
}

pub fn first_task() -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskId { step, index: 0 }
}

pub fn policy() -> QueuePolicy {
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

pub fn worker(index: u64) -> WorkerSpec {
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
