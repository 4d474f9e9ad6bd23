//! Runs the decision core against models of the workers and of the advice service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::ports::OrderError;
use syc_cell::ports::Renewal;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_fleet::AdviceModel;
use syc_fleet::FleetModel;
use syc_fleet::GeneratedJob;
use syc_fleet::JobKind;
use syc_fleet::TaskPlan;
use syc_fleet::Violation;
use syc_fleet::WorkerModel;
use syc_sched::Action;
use syc_sched::AdviceAnswer;
use syc_sched::AdviceNodes;
use syc_sched::AllowedWorker;
use syc_sched::CallLength;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobState;
use syc_sched::Note;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::Scheduler;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepId;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::ServiceName;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::setup::Disruption;
use crate::setup::Setup;
use crate::setup::capacity;

const SERVICE: &str = "service";
const TICK_MS: u64 = 20;
/// `TICK_MS` in seconds.
const TICK_S: f64 = 0.02;
const RENEW_MS: u64 = 1_000;
const LEASE_MS: u64 = 6_000;

#[derive(Debug)]
enum Delivery {
    Event(Event),
    Advised {
        step: StepId,
        advice_node: SmolStr,
        length: CallLength,
        asked: Vec<WorkerKey>,
    },
}

/// Admission and outcome of a job.
#[derive(Debug, Clone, Copy)]
struct JobRecord {
    kind: usize,
    accepted_at: Millis,
    objective_ms: u64,
    /// The work of all of its tasks, in thousandths of a core times milliseconds.
    core_ms: u64,
    ended_after_ms: Option<u64>,
}

impl JobRecord {
    fn met_objective(&self) -> bool {
        let ended = self.ended_after_ms;
        ended.is_some_and(|after_ms| after_ms <= self.objective_ms)
    }
}

pub struct Replay {
    rng: SmallRng,
    setup: Setup,
    disruption: Option<Disruption>,
    now: Millis,
    fleet: FleetModel,
    scheduler: Scheduler,
    advice_nodes: AdviceNodes,
    advice: AdviceModel,
    sessions: BTreeMap<WorkerKey, (WorkerId, Millis)>,
    stop_sent: BTreeSet<WorkerKey>,
    deliveries: BTreeMap<(Millis, u64), Delivery>,
    sent: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    due_jobs: Vec<f64>,
    starts: u64,
    /// The number of preemptions of each task.
    preempted: BTreeMap<TaskId, u32>,
}

/// Preemption counters.
#[derive(Debug, Clone, Copy)]
pub struct Preemptions {
    /// Number of runs started.
    pub starts: u64,
    /// Number of runs preempted.
    pub stops: u64,
    /// Largest number of preemptions of one task.
    pub max_per_task: u32,
}

impl Replay {
    pub fn new(seed: u64, setup: Setup, disruption: Option<Disruption>) -> Self {
        let now = Millis(1_000);
        let options = Options {
            placement_by_speed: setup.placement_by_speed,
            ..Options::default()
        };
        let mut replay = Self {
            rng: SmallRng::seed_from_u64(seed),
            due_jobs: vec![0.0; setup.kinds.len()],
            setup,
            disruption,
            now,
            fleet: FleetModel::default(),
            scheduler: Scheduler::new(options),
            advice_nodes: AdviceNodes::with_local(SmolStr::new_static("node-00"), now),
            advice: AdviceModel::default(),
            sessions: BTreeMap::new(),
            stop_sent: BTreeSet::new(),
            deliveries: BTreeMap::new(),
            sent: 0,
            jobs: BTreeMap::new(),
            starts: 0,
            preempted: BTreeMap::new(),
        };
        for number in 0..replay.setup.workers {
            let id = WorkerId::new(format!("w-{number:03}"));
            let mut model = WorkerModel::new(id.clone(), capacity(), 0);
            model.speed_percent = replay.speed_percent(number);
            replay.fleet.add(model);
            let spec = WorkerSpec {
                id,
                service: ServiceName::new(SERVICE),
                address: SmolStr::new_static("10.0.0.1:1"),
                zone: Zone::new("zone"),
                rack: RackId::new(format!("r-{}", number / 12)),
                labels: Vec::new(),
                capacity: capacity(),
                draining: false,
                vm: None,
            };
            replay.apply(Event::WorkerListed(spec));
        }
        if let Some(flood) = &replay.setup.flood {
            let policies = flood.policies.clone();
            replay.apply(Event::WorkspacesSet(policies));
        }
        replay.scheduler.begin_recovery(now);
        replay
    }

    /// Runs to the end of the setup, by which all jobs should have ended.
    pub fn run(&mut self) {
        self.run_until(self.setup.end_ms);
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now.0 < until_ms {
            self.now = self.now.plus(TICK_MS);
            self.fleet.advance(self.now);
            self.refresh_advice_nodes();
            self.submit_jobs();
            self.deliver();
            self.renew();
            self.apply(Event::Ticked);
            if self.active_disruption().is_none() {
                self.schedule();
            }
            self.write_records();
        }
    }

    fn active_disruption(&self) -> Option<Disruption> {
        self.disruption
            .filter(|disruption| (disruption.from_ms..disruption.until_ms).contains(&self.now.0))
    }

    fn refresh_advice_nodes(&mut self) {
        let absent = self
            .active_disruption()
            .map_or(0, |disruption| disruption.absent_advice_nodes);
        for number in 1..self.setup.advice_nodes - absent {
            self.advice_nodes
                .note_heartbeat(&format_smolstr!("node-{number:02}"), self.now);
        }
    }

    fn submit_jobs(&mut self) {
        if self.now.0 > self.setup.load_until_ms {
            return;
        }
        let load_factor = self
            .active_disruption()
            .map_or(1.0, |disruption| disruption.urgent_load_factor);
        for index in 0..self.setup.kinds.len() {
            let kind = self.setup.kinds[index].clone();
            let rate = if kind.priority == 0 { load_factor } else { 1.0 } * kind.jobs_per_s;
            let rate = rate * self.flood_factor(index);
            self.due_jobs[index] += rate * self.rng.random_range(0.0..=2.0) * TICK_S;
            while self.due_jobs[index] >= 1.0 {
                self.due_jobs[index] -= 1.0;
                self.submit_job(index, &kind);
            }
        }
    }

    fn flood_factor(&self, index: usize) -> f64 {
        let flood = self.setup.flood.as_ref().filter(|_| index == 0);
        let active = flood.filter(|flood| (flood.from_ms..flood.until_ms).contains(&self.now.0));
        active.map_or(1.0, |flood| flood.factor)
    }

    fn submit_job(&mut self, index: usize, kind: &JobKind) {
        let id = JobId(u64::try_from(self.jobs.len()).unwrap_or(0) + 1);
        let mut drawn = kind.sample(id, SERVICE, &mut self.rng);
        let flood = self.setup.flood.as_ref();
        drawn.spec.workspace = flood.map(|flood| flood.policies[index].name.clone());
        self.distort_estimates(index, &mut drawn);
        for (step, work_ms) in drawn.work_ms.iter().enumerate() {
            for task in 0..drawn.spec.steps[step].tasks {
                let step = StepId {
                    job: id,
                    occurrence: 0,
                    step: u16::try_from(step).unwrap_or(0),
                };
                let plan = TaskPlan {
                    work_ms: *work_ms * self.sample_tail_factor(),
                    failing_runs: 0,
                };
                self.fleet.plan_task(TaskId { step, index: task }, plan);
            }
        }
        self.fleet.checker.submitted(drawn.spec.clone());
        let record = JobRecord {
            kind: index,
            accepted_at: self.now,
            objective_ms: objective_ms(kind, &drawn),
            core_ms: core_ms(&drawn),
            ended_after_ms: None,
        };
        self.jobs.insert(id, record);
        let spec = Box::new(drawn.spec);
        self.apply(Event::JobStored { spec, age_ms: 0 });
    }

    fn speed_percent(&self, worker: u64) -> u64 {
        match self.setup.unevenness {
            Some(uneven) if worker.is_multiple_of(uneven.slow_every) => uneven.slow_percent,
            Some(uneven) => uneven.fast_percent,
            None => 100,
        }
    }

    fn distort_estimates(&mut self, kind: usize, drawn: &mut GeneratedJob) {
        let Some(uneven) = self.setup.unevenness else {
            return;
        };
        let deviation = uneven.job_deviation_percent;
        let of_job = self.rng.random_range(100 - deviation..=100 + deviation);
        for (step, work_ms) in drawn.spec.steps.iter_mut().zip(&drawn.work_ms) {
            step.estimate_ms = work_ms * uneven.estimate_percent[kind] * of_job / 10_000;
        }
    }

    fn sample_tail_factor(&mut self) -> u64 {
        match self.setup.unevenness {
            Some(uneven) if self.rng.random_bool(uneven.tail_share) => uneven.tail_factor,
            _ => 1,
        }
    }

    /// Returns the share of the workers whose speed is known, and the share for which it is within 10% of the true one.
    /// Speeds are relative to the fast workers.
    pub fn learned_speeds(&self) -> (f64, f64) {
        let uneven = self.setup.unevenness.expect("workers differ");
        let percent = |speed: u64| f64::from(u32::try_from(speed).expect("small"));
        let mut known = 0;
        let mut right = 0;
        for (number, key) in (0..).zip(self.sessions.keys()) {
            let Some(speed) = self.scheduler.learned_speed(*key) else {
                continue;
            };
            let actual = percent(self.speed_percent(number)) / percent(uneven.fast_percent);
            known += 1;
            right += u32::from((speed / actual - 1.0).abs() <= 0.1);
        }
        let workers = f64::from(u32::try_from(self.sessions.len()).expect("few"));
        (f64::from(known) / workers, f64::from(right) / workers)
    }

    fn apply(&mut self, event: Event) {
        let actions = self.scheduler.handle(event, self.now);
        self.perform(actions);
    }

    /// Runs a scheduling pass.
    pub fn schedule(&mut self) {
        self.scheduler
            .set_advice_slots(self.advice_nodes.slots(self.now));
        let actions = self.scheduler.schedule(self.now);
        self.perform(actions);
    }

    fn write_records(&mut self) {
        let records = self.scheduler.take_records(10_000, self.now, TimeOfDay(1));
        if records.is_empty() {
            return;
        }
        let jobs = records.into_iter().map(|(id, change, _)| (id, change));
        let event = Event::Recorded {
            jobs: jobs.collect(),
        };
        self.deliver_after(TICK_MS, Delivery::Event(event));
    }

    fn deliver_after(&mut self, delay_ms: u64, delivery: Delivery) {
        self.sent += 1;
        let at = self.now.plus(delay_ms);
        self.deliveries.insert((at, self.sent), delivery);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::Event(event) => self.apply(event),
                Delivery::Advised {
                    step,
                    advice_node,
                    length,
                    asked,
                } => {
                    self.advice_nodes
                        .release(&advice_node, length, true, self.now);
                    self.advised(step, asked);
                }
            }
        }
    }

    fn advised(&mut self, step: StepId, asked: Vec<WorkerKey>) {
        let kind = &self.setup.kinds[self.jobs[&step.job].kind];
        let mut allowed = Vec::new();
        for worker in &asked {
            let id = &self.sessions[worker].0;
            if AdviceModel::allows(step, id, kind.allowed_per_mille) {
                allowed.push(AllowedWorker {
                    worker: *worker,
                    ticket: SmolStr::new_static("ticket"),
                });
            }
        }
        let validity_ms = kind.advice.validity_ms;
        let answer = AdviceAnswer::Given {
            allowed,
            validity_ms,
        };
        self.apply(Event::Advised {
            step,
            asked,
            answer,
        });
    }

    /// Renews the leases of workers that have ends or a stop to report at once, and of the others once a second.
    fn renew(&mut self) {
        let mut due = Vec::new();
        for (key, (id, renew_at)) in &self.sessions {
            let has_news = self.fleet.workers[id].has_ends() || self.stop_sent.contains(key);
            if has_news || *renew_at <= self.now {
                due.push((*key, id.clone()));
            }
        }
        self.stop_sent.clear();
        for (key, id) in due {
            let (acknowledged, _) = self.scheduler.acknowledged_ends(key);
            let renewal = Renewal {
                lease_until_ms: self
                    .scheduler
                    .may_renew(key)
                    .then_some(self.now.0 + LEASE_MS),
                acknowledged,
                token: 1,
                wait_ms: 0,
            };
            let renewed = self.fleet.renew(&id, &renewal, self.now);
            let report = renewed.expect("the worker answers").report;
            self.sessions.insert(key, (id, self.now.plus(RENEW_MS)));
            self.apply(Event::Renewed {
                worker: key,
                sent_at: self.now,
                report,
            });
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attach { worker, spec } => {
                    self.sessions.insert(worker, (spec.id, self.now));
                }
                Action::Start(order) => {
                    self.starts += 1;
                    self.send_start(&order);
                }
                Action::Stop {
                    worker,
                    task,
                    run,
                    reason,
                } => {
                    if reason == StopReason::Preempted {
                        *self.preempted.entry(task).or_default() += 1;
                    }
                    self.send_stop(worker, task, run);
                }
                Action::RequestAdvice { step, workers, .. } => self.ask(step, workers),
                Action::Note(Note::JobEnded {
                    job,
                    state: JobState::Completed,
                    after_ms,
                    ..
                }) => {
                    if let Some(record) = self.jobs.get_mut(&job) {
                        record.ended_after_ms = Some(after_ms);
                    }
                }
                _ => {}
            }
        }
    }

    fn send_start(&mut self, order: &StartOrder) {
        let id = self.sessions[&order.worker].0.clone();
        let command = StartCommand {
            task: order.task,
            run: order.run,
            payload: order.payload.clone(),
            lease_until_ms: self.now.0 + LEASE_MS,
            token: 1,
            ticket: order.ticket.clone(),
            checkpoint: order.checkpoint.clone(),
        };
        let answer = match self.fleet.start(&id, &command, self.now) {
            Ok(()) => StartAnswer::Started,
            Err(OrderError::Refused(refusal)) => StartAnswer::Refused(refusal),
            Err(_) => StartAnswer::InDoubt,
        };
        let event = Event::StartAnswered {
            worker: order.worker,
            task: order.task,
            run: order.run,
            answer,
        };
        self.deliver_after(1, Delivery::Event(event));
    }

    fn send_stop(&mut self, worker: WorkerKey, task: TaskId, run: Run) {
        let id = self.sessions[&worker].0.clone();
        let command = StopCommand {
            task,
            run,
            token: 1,
        };
        let accepted = self.fleet.stop(&id, &command, self.now).is_ok();
        self.stop_sent.insert(worker);
        let event = Event::StopAnswered {
            worker,
            task,
            run,
            accepted,
        };
        self.deliver_after(1, Delivery::Event(event));
    }

    fn ask(&mut self, step: StepId, workers: Vec<WorkerKey>) {
        let kind = self.jobs[&step.job].kind;
        let policy = self.setup.kinds[kind].advice;
        let expected_ms = policy.call_ms(workers.len());
        let length = Options::default().length_of_call(expected_ms);
        let Some(advice_node) = self.advice_nodes.acquire(length, self.now) else {
            let answer = AdviceAnswer::Failed;
            let event = Event::Advised {
                step,
                asked: workers,
                answer,
            };
            self.apply(event);
            return;
        };
        let until = self
            .advice
            .call(&advice_node, &policy, workers.len(), self.now);
        let delivery = Delivery::Advised {
            step,
            advice_node,
            length,
            asked: workers,
        };
        self.deliver_after(until.since(self.now) + 2, delivery);
    }

    /// Returns the share of a kind's jobs accepted in a time range that met their objective.
    pub fn served(&self, kind: usize, from_ms: u64, until_ms: u64) -> f64 {
        let mut accepted = 0;
        let mut met = 0;
        for record in self.jobs.values() {
            let in_time = (from_ms..until_ms).contains(&record.accepted_at.0);
            if record.kind != kind || !in_time {
                continue;
            }
            accepted += 1;
            met += u32::from(record.met_objective());
        }
        f64::from(met) / f64::from(accepted)
    }

    /// Returns the number of jobs of a kind that have not ended.
    pub fn unended(&self, kind: usize) -> usize {
        let of_kind = self.jobs.values().filter(|record| record.kind == kind);
        of_kind
            .filter(|record| record.ended_after_ms.is_none())
            .count()
    }

    /// Returns the workspaces whose excess jobs are to be rejected.
    pub fn shedding(&mut self) -> Vec<SmolStr> {
        let rows = self.scheduler.shed_rows(self.now);
        let names = rows.iter().map(|row| SmolStr::new(row.workspace.as_str()));
        names.collect()
    }

    /// Like `served`, for the largest tenth of a kind's jobs.
    pub fn served_of_largest(&self, kind: usize, from_ms: u64, until_ms: u64) -> f64 {
        let in_time = |record: &&JobRecord| {
            record.kind == kind && (from_ms..until_ms).contains(&record.accepted_at.0)
        };
        let mut records: Vec<_> = self.jobs.values().filter(in_time).collect();
        records.sort_by_key(|record| std::cmp::Reverse(record.core_ms));
        records.truncate(records.len().div_ceil(10));
        let is_met = |record: &&&JobRecord| record.met_objective();
        let met = u32::try_from(records.iter().filter(is_met).count()).unwrap_or(0);
        let all = u32::try_from(records.len()).unwrap_or(1);
        f64::from(met) / f64::from(all)
    }

    /// Returns the preemption counters.
    pub fn preemptions(&self) -> Preemptions {
        Preemptions {
            starts: self.starts,
            stops: self.preempted.values().map(|times| u64::from(*times)).sum(),
            max_per_task: self.preempted.values().copied().max().unwrap_or(0),
        }
    }

    /// Returns the violations that the fleet model found.
    pub fn faults(&self) -> &[Violation] {
        self.fleet.checker.violations()
    }

    /// Returns the number of tasks that wait for a start.
    pub fn waiting_tasks(&self) -> u64 {
        self.scheduler.counts(self.now).waiting_tasks
    }

    /// Returns the number of workers examined so far, to ask for advice or to place a task.
    pub const fn examined_workers(&self) -> u64 {
        self.scheduler.examined_workers()
    }
}

fn core_ms(drawn: &GeneratedJob) -> u64 {
    let mut core_ms = 0;
    for (step, work_ms) in drawn.spec.steps.iter().zip(&drawn.work_ms) {
        core_ms += u64::from(step.tasks) * step.resources.cpu_millis * work_ms;
    }
    core_ms
}

/// Returns the time limit of a job: the objective of its kind plus its stretched run time.
fn objective_ms(kind: &JobKind, drawn: &GeneratedJob) -> u64 {
    let chain_ms: u64 = drawn.work_ms.iter().sum();
    let stretched = Duration::from_millis(chain_ms).mul_f64(kind.stretch);
    u64::try_from(stretched.as_millis()).unwrap_or(u64::MAX) + kind.objective_ms
}
