//! Simulation of up to three schedulers in a row, one job, and a worker that drains, leaves the list and is cut off.
//!
//! The worker that carries out the first start is cut off from all schedulers for a while. The first start of each
//! scheduler that follows a write-off may be answered late or be carried out late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_cell::ports::Renewal;
use syc_cell::ports::StartCommand;
use syc_cell::ports::StopCommand;
use syc_fleet::FleetModel;
use syc_fleet::TaskPlan;
use syc_fleet::WorkerModel;
use syc_sched::EndedJob;
use syc_sched::Event;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Schedule;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_types::WorkerId;

use crate::choices::Choices;
use crate::node::Order;
use crate::node::SchedulerNode;
use crate::simulation::JOB;
use crate::simulation::LEASE_MS;
use crate::simulation::STOP_MS;
use crate::simulation::cpu;
use crate::simulation::first_task;
use crate::simulation::policy;
use crate::simulation::worker;

const SLOT_MS: u64 = 1_000;

/// By this slot every order has arrived and every lease has expired.
const SLOTS: u64 = 90;

/// Slot from which the worker of the first start is cut off.
const CUT_SLOT: u64 = 2;

/// Number of slots for which it is: less than a lease, more than one, more than a takeover, and longer than that.
const CUT_SLOTS: [u64; 4] = [3, 9, 14, 24];

/// Slots of the first takeover: before and after the first run is written off.
const TAKEOVER_SLOTS: [u64; 4] = [3, 9, 10, 11];

/// Number of slots after which a second takeover follows; 0 for none.
const SECOND_TAKEOVERS: [u64; 3] = [0, 2, 12];

/// Number of slots after each takeover in which the other workers can't be reached.
const UNREACHABLE_SLOTS: [u64; 2] = [0, 3];

/// Run time of tasks.
const WORK_MS: [u64; 2] = [500, 12_000];

/// What becomes of the worker that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Stays,
    /// It drains and leaves the list, but goes on until it can be reached again.
    DrainsCutOff,
    /// It drains and has left.
    DrainsLeft,
}

const FATES: [Fate; 3] = [Fate::Stays, Fate::DrainsCutOff, Fate::DrainsLeft];

/// Number of slots by which a start is carried out late; none if it is answered.
const DELAYS: [Option<u64>; 3] = [None, Some(1), Some(4)];

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Each class of fault, with what became of the worker that was cut off and the scheduler that caused it.
    pub faults: BTreeSet<String>,
    pub state: Option<JobState>,
    /// The choices and the events, in order.
    pub trace: Vec<String>,
}

#[derive(Debug)]
pub struct Succession<'a> {
    choices: &'a mut Choices,
    now: Millis,
    spec: JobSpec,
    workers: u64,
    fleet: FleetModel,
    /// The schedulers; the last one is in office.
    nodes: Vec<SchedulerNode>,
    stored: Option<JobProgress>,
    cut_off: Option<WorkerId>,
    /// The worker of the other member of a gang, which may be cut off as well.
    other_member: Option<WorkerId>,
    fate: Fate,
    unlisted: bool,
    reachable_at: BTreeMap<WorkerId, Millis>,
    /// Workers that did not answer the scheduler in office last time, so that renewals set no lease on them.
    failing: BTreeSet<WorkerId>,
    delayed_starts: Vec<(Millis, WorkerId, StartCommand)>,
    /// The scheduler that has shown the job as ended.
    shown_by: Option<u64>,
    faults: BTreeSet<String>,
    trace: Vec<String>,
}

impl<'a> Succession<'a> {
    pub fn new(
        choices: &'a mut Choices,
        step: StepSpec,
        failing_runs: u32,
        attempts_limit: u32,
    ) -> Self {
        let workers = u64::from(step.tasks) * 2 + 1;
        let mut limited = policy();
        limited.attempts_limit = attempts_limit;
        let spec = JobSpec {
            id: JOB,
            payload: SmolStr::new_static("payload"),
            steps: vec![step],
            policy: limited,
            schedule: Schedule::default(),
            accepted_at_ms: TimeOfDay(0),
            workspace: None,
        };
        let mut fleet = FleetModel::default();
        fleet.limits.lease_ms = LEASE_MS;
        fleet.limits.stop_ms = STOP_MS;
        fleet.checker.submitted(spec.clone());
        let work_ms = choices.pick(&WORK_MS);
        fleet.plan_task(
            first_task(),
            TaskPlan {
                work_ms,
                failing_runs,
            },
        );
        for index in 0..workers {
            fleet.add(WorkerModel::new(worker(index).id, cpu(1), 0));
        }
        Self {
            choices,
            now: Millis(SLOT_MS),
            spec,
            workers,
            fleet,
            nodes: Vec::new(),
            stored: None,
            cut_off: None,
            other_member: None,
            fate: Fate::Stays,
            unlisted: false,
            reachable_at: BTreeMap::new(),
            failing: BTreeSet::new(),
            delayed_starts: Vec::new(),
            shown_by: None,
            faults: BTreeSet::new(),
            trace: vec![format!("work {work_ms} ms")],
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        self.fate = self.choices.pick(&FATES);
        let cut_slots = self.choices.pick(&CUT_SLOTS);
        let first = self.choices.pick(&TAKEOVER_SLOTS);
        let second = match self.choices.pick(&SECOND_TAKEOVERS) {
            0 => SLOTS,
            slots => first + slots,
        };
        self.log(&format!(
            "{:?}, cut {cut_slots}, takeovers {first} {second}",
            self.fate
        ));
        self.add_node();
        for slot in 1..SLOTS {
            self.now = Millis(slot * SLOT_MS);
            self.fleet.advance(self.now);
            self.deliver();
            if slot == CUT_SLOT {
                self.cut(cut_slots);
            }
            if slot == CUT_SLOT + 1 && self.fate != Fate::Stays {
                self.unlist();
            }
            if slot == first || slot == second {
                self.take_over();
            }
            self.act();
            self.record();
            if slot > second.min(first + 30) + 15 && self.is_finished() {
                break;
            }
        }
        let state = self.node().scheduler.state_of(JOB);
        Outcome {
            faults: self.faults,
            state,
            trace: self.trace,
        }
    }

    fn log(&mut self, text: &str) {
        self.trace.push(format!("{} s: {text}", self.now.0 / 1_000));
    }

    fn fault(&mut self, name: &str, token: u64) {
        let fate = self.fate;
        self.faults
            .insert(format!("{name} ({fate:?}, scheduler {token})"));
    }

    fn token(&self) -> u64 {
        u64::try_from(self.nodes.len()).unwrap_or(0)
    }

    fn node(&mut self) -> &mut SchedulerNode {
        self.nodes.last_mut().expect("there is a scheduler")
    }

    fn is_finished(&mut self) -> bool {
        let state = self.node().scheduler.state_of(JOB);
        state.is_some_and(JobState::is_terminal) && self.delayed_starts.is_empty()
    }

    fn spec_of(&self, index: u64) -> WorkerSpec {
        let spec = worker(index);
        let drains = self.fate != Fate::Stays && self.cut_off.as_ref() == Some(&spec.id);
        WorkerSpec {
            draining: drains,
            ..spec
        }
    }

    /// Adds a scheduler that restores the stored progress and the roster of the one before.
    fn add_node(&mut self) {
        let roster: Option<Vec<_>> = self
            .nodes
            .last()
            .map(|node| node.workers.values().cloned().collect());
        let (now, spec, stored) = (self.now, self.spec.clone(), self.stored.clone());
        let mut node = SchedulerNode::new();
        let ended = stored.as_ref().filter(|stored| stored.state.is_terminal());
        match ended {
            Some(stored) => {
                let ended = EndedJob {
                    id: JOB,
                    state: stored.state,
                    workspace: stored.workspace.clone(),
                    ended_at: stored.ended_at_cell_ms,
                    starts_in_doubt: stored.starts_in_doubt.clone(),
                };
                node.scheduler.restore_ended_jobs(&[ended], now);
            }
            None => node.scheduler.restore_job(spec, stored.as_ref(), 0, now),
        }
        let mut unlisted = None;
        for index in 0..self.workers {
            let spec = self.spec_of(index);
            let is_unlisted = self.unlisted && self.cut_off.as_ref() == Some(&spec.id);
            let is_known = roster.as_ref().is_none_or(|ids| ids.contains(&spec.id));
            if is_unlisted && !is_known {
                continue;
            }
            let id = spec.id.clone();
            node.apply(Event::WorkerListed(spec), now);
            if is_unlisted {
                unlisted = Some(id);
            }
        }
        node.scheduler.begin_recovery(now);
        if let Some(id) = unlisted {
            node.apply(Event::WorkerUnlisted(id), now);
        }
        self.nodes.push(node);
    }

    fn take_over(&mut self) {
        let now = self.now;
        self.node().has_ended = true;
        self.add_node();
        self.failing.clear();
        let slots = self.choices.pick(&UNREACHABLE_SLOTS);
        self.log(&format!(
            "takeover, others unreachable {slots}, stored {:?}",
            self.stored
        ));
        for index in 0..self.workers {
            let id = worker(index).id;
            if self.cut_off.as_ref() == Some(&id) {
                continue;
            }
            let until = self.reachable_at.entry(id).or_default();
            *until = (*until).max(now.plus(slots * SLOT_MS));
        }
    }

    fn cut(&mut self, slots: u64) {
        let Some(id) = self.cut_off.clone() else {
            return;
        };
        let until = self.now.plus(slots * SLOT_MS);
        self.reachable_at.insert(id.clone(), until);
        if let Some(other) = self.other_member.clone() {
            let is_cut = self.choices.pick(&[false, true]);
            self.log(&format!("{other} is cut off as well: {is_cut}"));
            if is_cut {
                self.reachable_at.insert(other, until);
            }
        }
        if self.fate == Fate::Stays {
            return;
        }
        let now = self.now;
        for index in 0..self.workers {
            let spec = self.spec_of(index);
            if spec.id == id {
                self.node().apply(Event::WorkerListed(spec), now);
            }
        }
        if self.fate == Fate::DrainsLeft {
            self.fleet.crash(&id);
        }
    }

    fn unlist(&mut self) {
        let Some(id) = self.cut_off.clone() else {
            return;
        };
        self.unlisted = true;
        let now = self.now;
        self.node().apply(Event::WorkerUnlisted(id), now);
    }

    fn act(&mut self) {
        let now = self.now;
        self.node().authority.note_append(now);
        for (key, id) in self.node().workers.clone() {
            self.renew(key, &id);
        }
        self.node().apply(Event::WorkersRead { asked_at: now }, now);
        self.node().schedule(now);
        self.send_orders();
    }

    fn is_reachable(&self, id: &WorkerId) -> bool {
        let at = self.reachable_at.get(id);
        self.fleet.workers.contains_key(id) && at.is_none_or(|at| *at <= self.now)
    }

    fn renew(&mut self, worker: WorkerKey, id: &WorkerId) {
        let (now, token) = (self.now, self.token());
        let knows_clock = self.node().contacted.contains(&worker);
        let is_answering = knows_clock && !self.failing.contains(id);
        let renews = is_answering && self.node().scheduler.may_renew(worker);
        let (acknowledged, _) = self.node().scheduler.acknowledged_ends(worker);
        if renews {
            self.node().apply(Event::Renewing { worker }, now);
        }
        if !self.is_reachable(id) {
            self.failing.insert(id.clone());
            self.node().apply(Event::RenewalFailed { worker }, now);
            return;
        }
        self.failing.remove(id);
        let renewal = Renewal {
            lease_until_ms: renews.then_some(now.0 + LEASE_MS),
            acknowledged,
            wait_ms: 0,
            token,
        };
        let Ok(renewed) = self.fleet.renew(id, &renewal, now) else {
            panic!("only predecessors are refused");
        };
        for end in &renewed.report.ended {
            self.log(&format!("{id} tells {} {:?}", end.run.0, end.end));
        }
        let node = self.node();
        node.contacted.insert(worker);
        let event = Event::Renewed {
            worker,
            sent_at: now,
            report: renewed.report,
        };
        node.apply(event, now);
    }

    fn send_orders(&mut self) {
        loop {
            let orders = self.node().take_orders();
            if orders.is_empty() {
                return;
            }
            for order in orders {
                match order {
                    Order::Start(order) => self.start(&order),
                    Order::Stop(worker, task, run) => {
                        let Some(id) = self.node().workers.get(&worker).cloned() else {
                            continue;
                        };
                        let token = self.token();
                        let command = StopCommand { task, run, token };
                        let now = self.now;
                        let accepted =
                            self.is_reachable(&id) && self.fleet.stop(&id, &command, now).is_ok();
                        let event = Event::StopAnswered {
                            worker,
                            task,
                            run,
                            accepted,
                        };
                        self.node().apply(event, now);
                    }
                }
            }
        }
    }

    fn start(&mut self, order: &StartOrder) {
        let now = self.now;
        let Some(id) = self.node().workers.get(&order.worker).cloned() else {
            return;
        };
        let is_first = self.cut_off.is_none();
        if is_first {
            self.cut_off = Some(id.clone());
        } else if self.now.0 == SLOT_MS {
            self.other_member = Some(id.clone());
        }
        let may_be_late = !is_first && self.now.0 > SLOT_MS && self.node().start_count == 0;
        self.node().start_count += u32::from(may_be_late);
        let delay = if may_be_late {
            self.choices.pick(&DELAYS)
        } else {
            None
        };
        self.log(&format!(
            "scheduler {} starts {}.{} on {id}, late {delay:?}",
            self.token(),
            order.task.index,
            order.run.0
        ));
        let command = StartCommand {
            task: order.task,
            run: order.run,
            payload: order.payload.clone(),
            lease_until_ms: now.0 + LEASE_MS,
            token: self.token(),
            ticket: order.ticket.clone(),
            checkpoint: order.checkpoint.clone(),
        };
        let answer = if let Some(slots) = delay {
            let at = now.plus(slots * SLOT_MS);
            self.delayed_starts.push((at, id, command));
            StartAnswer::InDoubt
        } else if !self.is_reachable(&id) {
            StartAnswer::InDoubt
        } else if self.carry_out(&id, &command) {
            StartAnswer::Started
        } else {
            StartAnswer::InDoubt
        };
        let event = Event::StartAnswered {
            worker: order.worker,
            task: order.task,
            run: order.run,
            answer,
        };
        self.node().apply(event, now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_starts)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.delayed_starts = rest;
        for (_, id, command) in due {
            self.carry_out(&id, &command);
        }
    }

    fn carry_out(&mut self, id: &WorkerId, command: &StartCommand) -> bool {
        let faults = self.fleet.checker.violations().len();
        if !self.fleet.workers.contains_key(id) || self.fleet.start(id, command, self.now).is_err()
        {
            return false;
        }
        let new_faults = self.fleet.checker.violations()[faults..].to_vec();
        for fault in &new_faults {
            let text = format!("{fault:?}");
            let name = text.split('(').next().unwrap_or(&text);
            self.fault(name, command.token);
        }
        if let Some(token) = self.shown_by {
            self.fault("StartedAfterShown", token);
        }
        self.log(&format!(
            "{id} carries out {}.{} of scheduler {}, shown as ended by {:?}, {new_faults:?}",
            command.task.index, command.run.0, command.token, self.shown_by
        ));
        true
    }

    fn record(&mut self) {
        let now = self.now;
        let records = self
            .node()
            .scheduler
            .take_records(usize::MAX, now, TimeOfDay(1));
        let mut jobs = Vec::new();
        for (id, change, progress) in records {
            self.stored = Some(progress);
            jobs.push((id, change));
        }
        self.node().apply(Event::Recorded { jobs }, now);
        self.send_orders();
        let state = self.node().scheduler.state_of(JOB);
        if state.is_some_and(JobState::is_terminal) && self.shown_by.is_none() {
            self.shown_by = Some(self.token());
            self.log(&format!("shown as {state:?}"));
        }
    }
}
