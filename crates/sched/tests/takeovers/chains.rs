//! Simulation of up to three schedulers in a row that overlap and reach different workers.
//!
//! Two tasks run on a worker that the first scheduler reaches until its authority ends, and its successors only later or
//! never. Time advances from one event to the next, and to each moment at which a lease is assumed to have expired, so that
//! a task is started again at the first possible millisecond.

mod calls;
pub mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_fleet::FleetModel;
use syc_fleet::TaskPlan;
use syc_fleet::WorkerModel;
use syc_sched::Authority;
use syc_sched::EndedJob;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::QueuePolicy;
use syc_sched::Schedule;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_sched::clock_drift_ms;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_types::WorkerId;

use crate::chains::calls::Message;
use crate::chains::calls::Session;
use crate::chains::plan::Defect;
use crate::chains::plan::Evidence;
use crate::chains::plan::Fate;
use crate::chains::plan::Plan;
use crate::chains::plan::Work;
use crate::choices::Choices;
use crate::node::SchedulerNode;
use crate::simulation::LEASE_MS;
use crate::simulation::STOP_MS;
use crate::simulation::cpu;
use crate::simulation::policy;
use crate::simulation::worker;

/// By then every lease has expired and all work is done.
const END_MS: u64 = 100_000;

/// When the workers are listed that the tasks do not run on at first.
const OTHERS_LISTED_MS: u64 = 2_000;

/// When an urgent job is read.
const URGENT_MS: u64 = 2_600;

/// When a worker begins to drain.
const DRAIN_MS: u64 = 2_200;

/// When a worker that was in no roster is listed, after the beginning of a takeover, and when it is unlisted again.
const LISTED_LATE_MS: u64 = 500;
const UNLISTED_AGAIN_MS: u64 = 1_500;

const WORKERS: u64 = 4;

const URGENT: JobId = JobId(3);

const URGENT_WORK_MS: u64 = 1_500;

/// Until then, tasks that last are watched.
const LASTING_END_MS: u64 = 45_000;

/// Longest lease that workers grant.
const LEASE_LIMIT_MS: u64 = 10_000;

const AUTHORITY_MS: u64 = 3_000;

/// Number of times that a scheduler decides and records at a time.
const DECISIONS: u32 = 2;

/// Allowance for the transit of an order.
const ORDER_DELAY_MS: u64 = 150;

/// A scheduler with its sessions.
#[derive(Debug)]
struct Member {
    node: SchedulerNode,
    sessions: BTreeMap<WorkerKey, Session>,
    begun_at_ms: u64,
    /// When it last renewed leases and scheduled waiting steps.
    acted_at_ms: u64,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    pub faults: BTreeSet<String>,
    pub trace: Vec<String>,
}

/// State of one simulation.
#[derive(Debug)]
pub struct Chain<'a> {
    choices: &'a mut Choices,
    defect: Defect,
    work: Work,
    plan: Plan,
    now: Millis,
    fleet: FleetModel,
    jobs: Vec<JobSpec>,
    members: Vec<Member>,
    stored: BTreeMap<JobId, JobProgress>,
    roster: BTreeSet<WorkerId>,
    listed: BTreeMap<WorkerId, WorkerSpec>,
    messages: BTreeMap<(u64, u64), Message>,
    /// Moments at which a lease is assumed to have expired.
    bounds_ms: BTreeMap<(usize, Option<WorkerKey>), u64>,
    next_number: u64,
    are_all_read: bool,
    is_draining: bool,
    drained: BTreeSet<WorkerId>,
    /// Jobs that have been shown as ended.
    shown: BTreeSet<JobId>,
    faults: BTreeSet<String>,
    trace: Vec<String>,
}

impl<'a> Chain<'a> {
    pub fn new(choices: &'a mut Choices, work: Work, defect: Defect) -> Self {
        let plan = Plan::choose(choices);
        let mut fleet = FleetModel::default();
        fleet.limits.lease_ms = LEASE_LIMIT_MS;
        fleet.limits.stop_ms = STOP_MS;
        fleet.ends_per_report = Some(plan.ends_per_report);
        let jobs = jobs(work);
        for job in &jobs {
            fleet.checker.submitted(job.clone());
            let work_ms = match job.id {
                URGENT => URGENT_WORK_MS,
                _ if job.steps[0].long_running => END_MS,
                _ => plan.work_ms,
            };
            for index in 0..job.steps[0].tasks {
                let step = StepId {
                    job: job.id,
                    occurrence: 0,
                    step: 0,
                };
                let planned = TaskPlan {
                    work_ms,
                    failing_runs: 0,
                };
                fleet.plan_task(TaskId { step, index }, planned);
            }
        }
        for index in 0..WORKERS {
            let capacity = spec_of(index).capacity;
            let model = WorkerModel::new(worker(index).id, capacity, plan.slow_per_mille);
            fleet.add(model);
        }
        Self {
            choices,
            defect,
            work,
            plan,
            now: Millis(0),
            fleet,
            jobs,
            members: Vec::new(),
            stored: BTreeMap::new(),
            roster: BTreeSet::new(),
            listed: BTreeMap::new(),
            messages: BTreeMap::new(),
            bounds_ms: BTreeMap::new(),
            next_number: 0,
            are_all_read: false,
            is_draining: false,
            drained: BTreeSet::new(),
            shown: BTreeSet::new(),
            faults: BTreeSet::new(),
            trace: vec![format!("{work:?} {plan:?}")],
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        self.now = Millis(10);
        self.take_over(0);
        self.list(0);
        while self.now.0 < END_MS {
            self.happen();
            self.fleet.advance(self.now);
            self.deliver();
            for index in 0..self.members.len() {
                self.act(index);
            }
            if self.is_finished() {
                break;
            }
            self.now = self.next_time();
        }
        let mut faults = std::mem::take(&mut self.faults);
        for violation in self.fleet.checker.violations() {
            let text = format!("{violation:?}");
            faults.insert(text.split('(').next().unwrap_or_default().to_owned());
        }
        if !self.is_finished() {
            faults.insert("Unfinished".to_owned());
        }
        Outcome {
            faults,
            trace: self.trace,
        }
    }

    fn log(&mut self, text: &str) {
        self.trace.push(format!("{} ms: {text}", self.now.0));
    }

    /// Returns whether the last scheduler has shown all jobs as ended that end by themselves.
    fn is_finished(&self) -> bool {
        let Some(last) = self.members.last() else {
            return false;
        };
        let is_last = self.next_election_ms(self.members.len() - 1) == u64::MAX;
        let lasts = |job: &JobSpec| job.steps[0].long_running;
        let ended = |job: &JobSpec| {
            let state = last.node.scheduler.state_of(job.id);
            state == Some(JobState::Completed)
        };
        let lasting_is_over = self.work != Work::Lasting || self.now.0 > LASTING_END_MS;
        is_last && lasting_is_over && self.jobs.iter().all(|job| lasts(job) || ended(job))
    }

    /// Returns when the successor of a scheduler is elected.
    fn next_election_ms(&self, index: usize) -> u64 {
        let next = self.plan.elected_at_ms.get(index + 1);
        next.copied().unwrap_or(u64::MAX)
    }

    /// Returns the next time at which something happens.
    fn next_time(&self) -> Millis {
        let now_ms = self.now.0;
        let mut times_ms = vec![now_ms - now_ms % self.plan.step_ms + self.plan.step_ms];
        times_ms.extend(self.messages.keys().next().map(|(at_ms, _)| *at_ms));
        times_ms.extend(self.bounds_ms.values().copied());
        for index in 1..self.plan.elected_at_ms.len() {
            times_ms.push(self.begins_at_ms(index));
        }
        times_ms.retain(|at_ms| *at_ms > now_ms);
        Millis(times_ms.into_iter().min().unwrap_or(END_MS))
    }

    fn begins_at_ms(&self, index: usize) -> u64 {
        self.plan.elected_at_ms[index].saturating_add(self.plan.loading_ms)
    }

    /// Applies what the plan has at this time.
    fn happen(&mut self) {
        let now_ms = self.now.0;
        if now_ms >= OTHERS_LISTED_MS && self.listed.len() == 1 && self.members.len() == 1 {
            for index in 1..WORKERS {
                self.list(index);
            }
        }
        if now_ms >= URGENT_MS && !self.are_all_read {
            self.are_all_read = true;
            let urgent: Vec<_> = self
                .jobs
                .iter()
                .filter(|job| job.id == URGENT)
                .cloned()
                .collect();
            for job in urgent {
                self.read_job(job);
            }
        }
        if now_ms >= DRAIN_MS && self.plan.fate == Fate::Drains && !self.is_draining {
            self.is_draining = true;
            self.list(0);
        }
        if self.plan.fate == Fate::ListedLate {
            self.list_late();
        }
        let next = self.members.len();
        if self.plan.elected_at_ms.get(next).is_some() && now_ms >= self.begins_at_ms(next) {
            self.change_worker();
            self.take_over(next);
        }
    }

    /// Lists the worker for a moment during each takeover.
    fn list_late(&mut self) {
        let Some(last) = self.members.last() else {
            return;
        };
        if self.members.len() == 1 {
            return;
        }
        let id = worker(0).id;
        let since_ms = self.now.0 - last.begun_at_ms;
        let is_listed = self.listed.contains_key(&id);
        if !is_listed && (LISTED_LATE_MS..UNLISTED_AGAIN_MS).contains(&since_ms) {
            self.list(0);
        }
        if is_listed && since_ms >= UNLISTED_AGAIN_MS {
            self.listed.remove(&id);
            let now = self.now;
            if let Some(last) = self.members.last_mut() {
                last.node.apply(Event::WorkerUnlisted(id), now);
            }
        }
    }

    /// Lets the plan's fate of the worker begin, at the first takeover.
    fn change_worker(&mut self) {
        let id = worker(0).id;
        match self.plan.fate {
            Fate::Stays => {}
            Fate::Restarts => {
                if self.members.len() == 1 {
                    self.log("the worker crashes");
                    self.fleet.crash(&id);
                    let mut spec = spec_of(0);
                    spec.id = WorkerId::new("w-0-again");
                    let slow = self.plan.slow_per_mille;
                    let mut model = WorkerModel::new(spec.id.clone(), spec.capacity, slow);
                    model.started_at = self.now;
                    self.fleet.add(model);
                    self.listed.remove(&id);
                    self.listed.insert(spec.id.clone(), spec);
                }
            }
            Fate::Drains | Fate::Unlisted => {
                self.listed.remove(&id);
            }
            Fate::InRecordsOnly | Fate::ListedLate => {
                self.listed.remove(&id);
                self.roster.remove(&id);
            }
        }
    }

    fn list(&mut self, index: u64) {
        let mut spec = spec_of(index);
        spec.draining = index == 0 && self.is_draining;
        self.roster.insert(spec.id.clone());
        self.listed.insert(spec.id.clone(), spec.clone());
        let now = self.now;
        if let Some(last) = self.members.last_mut() {
            last.node.apply(Event::WorkerListed(spec), now);
        }
    }

    fn read_job(&mut self, spec: JobSpec) {
        let stored = Event::JobStored {
            spec: Box::new(spec),
            age_ms: 0,
        };
        let now = self.now;
        if let Some(last) = self.members.last_mut() {
            last.node.apply(stored, now);
        }
    }

    /// Lets the next scheduler begin its takeover with what is stored.
    fn take_over(&mut self, index: usize) {
        let now = self.now;
        let authority_ms = if self.defect == Defect::AuthorityIgnored {
            0
        } else {
            AUTHORITY_MS
        };
        let mut node = SchedulerNode::with_options(Options {
            lease_bound_ms: lease_bound_ms(),
            max_lease_ms: LEASE_LIMIT_MS + clock_drift_ms(LEASE_LIMIT_MS) + ORDER_DELAY_MS,
            authority_ms,
            ..Options::default()
        });
        node.authority = Authority::new(AUTHORITY_MS);
        node.scheduler
            .set_elected_at(Millis(self.plan.elected_at_ms[index]));
        node.scheduler.require_leadership_proof();
        node.scheduler.set_predecessors_require_proof(true);
        let roster: Vec<_> = self.roster.iter().cloned().collect();
        if index > 0 {
            self.restore_jobs(&mut node);
            let ids: BTreeSet<_> = roster.iter().chain(self.listed.keys()).cloned().collect();
            for id in ids {
                let spec = self.known_spec(&id);
                node.apply(Event::WorkerListed(spec), now);
            }
            node.scheduler.restore_drains(&self.drained);
        }
        node.scheduler.begin_recovery(now);
        for id in roster {
            if !self.listed.contains_key(&id) {
                node.apply(Event::WorkerUnlisted(id), now);
            }
        }
        if self.defect == Defect::WorkerTakenAsGone && index > 0 {
            let first = node.workers.iter().find(|(_, id)| **id == worker(0).id);
            if let Some(worker) = first.map(|(key, _)| *key) {
                node.apply(Event::Replaced { worker }, now);
            }
        }
        self.log(&format!("takeover {index}, stored {:?}", self.stored));
        self.roster.extend(node.workers.values().cloned());
        self.bounds_ms
            .insert((index, None), now.0 + AUTHORITY_MS + lease_bound_ms());
        self.members.push(Member {
            node,
            sessions: BTreeMap::new(),
            begun_at_ms: now.0,
            acted_at_ms: 0,
        });
        if index == 0 {
            let ordinary: Vec<_> = self
                .jobs
                .iter()
                .filter(|job| job.id != URGENT)
                .cloned()
                .collect();
            for job in ordinary {
                self.read_job(job);
            }
        }
    }

    fn restore_jobs(&self, node: &mut SchedulerNode) {
        for job in &self.jobs {
            let stored = self.stored.get(&job.id);
            let Some(ended) = stored.filter(|stored| stored.state.is_terminal()) else {
                node.scheduler.restore_job(job.clone(), stored, 0, self.now);
                continue;
            };
            let ended = EndedJob {
                id: job.id,
                state: ended.state,
                workspace: ended.workspace.clone(),
                ended_at: ended.ended_at_cell_ms,
                starts_in_doubt: ended.starts_in_doubt.clone(),
            };
            node.scheduler.restore_ended_jobs(&[ended], self.now);
        }
    }

    fn known_spec(&self, id: &WorkerId) -> WorkerSpec {
        let mut specs = (0..WORKERS).map(spec_of);
        let known = specs.find(|spec| spec.id == *id);
        let listed = self.listed.get(id).cloned();
        let mut spec = listed.or(known).unwrap_or_else(|| spec_of(0));
        spec.draining = self.is_draining && *id == worker(0).id;
        spec
    }

    /// Lets a scheduler act, if it is its time.
    fn act(&mut self, index: usize) {
        let now = self.now;
        let elected_ms = self.next_election_ms(index);
        self.end_replaced(index, elected_ms);
        let is_bound =
            |((of, _), at_ms): (&(usize, Option<WorkerKey>), &u64)| *of == index && *at_ms == now.0;
        let is_due = self.bounds_ms.iter().any(is_bound);
        let step_ms = self.plan.step_ms;
        let member = &mut self.members[index];
        if member.node.has_ended {
            return;
        }
        let is_step = member.acted_at_ms == 0 || member.acted_at_ms / step_ms != now.0 / step_ms;
        if is_due || is_step {
            member.acted_at_ms = now.0;
            self.note_evidence(index, elected_ms);
            let keys = self.members[index].node.workers.clone();
            for (key, id) in keys {
                self.renew(index, key, &id);
            }
            let node = &mut self.members[index].node;
            node.apply(Event::WorkersRead { asked_at: now }, now);
        }
        // What is recorded may be started at once.
        for _ in 0..DECISIONS {
            self.members[index].node.schedule(now);
            self.record(index, elected_ms);
            self.send_orders(index);
        }
    }

    /// Ends a scheduler that knows of its successor, or that has no evidence that there is none.
    fn end_replaced(&mut self, index: usize, elected_ms: u64) {
        let now = self.now;
        let is_lost = index == 1 && self.plan.is_second_lost && now.0 >= elected_ms;
        let told_at_ms = if self.defect == Defect::NeverTold {
            u64::MAX
        } else {
            elected_ms.saturating_add(self.plan.overlap_ms)
        };
        let node = &mut self.members[index].node;
        let ends = is_lost || now.0 >= told_at_ms || node.authority.is_expired(now);
        if ends && !node.has_ended {
            node.has_ended = true;
            self.log(&format!("scheduler {index} ends"));
        }
    }

    fn note_evidence(&mut self, index: usize, elected_ms: u64) {
        let now = self.now;
        let is_taken = self.takes_appends(index, elected_ms);
        let evidence = self.plan.evidence;
        let node = &mut self.members[index].node;
        if is_taken {
            node.authority.note_append(now);
            let added = node.scheduler.jobs_added();
            node.scheduler.record_leadership_proof(added, now);
        }
        if evidence == Evidence::Followers {
            let follower = SmolStr::new_static("follower");
            node.authority.note_follower(&follower, now);
        }
        if now.0 < elected_ms {
            node.scheduler.set_jobs_read(now);
        }
    }

    /// Returns whether the store takes appends of a scheduler.
    fn takes_appends(&self, index: usize, elected_ms: u64) -> bool {
        let now_ms = self.now.0;
        let begun_ms = self.members[index].begun_at_ms;
        // The election itself is an append.
        let is_down = index > 0 && now_ms > begun_ms && now_ms < begun_ms + self.plan.store_down_ms;
        !is_down && now_ms < elected_ms.saturating_sub(self.plan.outage_ms)
    }

    /// Stores the progress of the jobs, unless the store takes nothing from this scheduler.
    fn record(&mut self, index: usize, elected_ms: u64) {
        let now = self.now;
        if !self.takes_appends(index, elected_ms) {
            return;
        }
        let node = &mut self.members[index].node;
        let mut jobs = Vec::new();
        for (id, change, progress) in node.scheduler.take_records(usize::MAX, now, TimeOfDay(1)) {
            if progress.state.is_terminal() {
                self.shown.insert(id);
            }
            self.stored.insert(id, progress);
            jobs.push((id, change));
        }
        node.apply(Event::Recorded { jobs }, now);
        for id in std::mem::take(&mut node.forgotten) {
            self.roster.remove(&id);
        }
        self.drained.extend(std::mem::take(&mut node.drained));
    }
}

/// Returns after which time a lease has expired that was decided on now.
const fn lease_bound_ms() -> u64 {
    LEASE_MS + clock_drift_ms(LEASE_MS) + ORDER_DELAY_MS
}

fn spec_of(index: u64) -> WorkerSpec {
    WorkerSpec {
        capacity: cpu(if index == 0 { 2 } else { 1 }),
        ..worker(index)
    }
}

fn jobs(work: Work) -> Vec<JobSpec> {
    let task = StepSpec {
        tasks: 1,
        resources: cpu(1),
        estimate_ms: 11_000,
        ..StepSpec::default()
    };
    let first = match work {
        Work::Long => task.clone(),
        Work::Preempted => StepSpec {
            checkpointed: true,
            ..task.clone()
        },
        Work::Gang => StepSpec {
            tasks: 2,
            gang: true,
            ..task.clone()
        },
        Work::Lasting => StepSpec {
            long_running: true,
            ..task.clone()
        },
    };
    let second = if work == Work::Preempted {
        first.clone()
    } else {
        task.clone()
    };
    let mut jobs = vec![job(JobId(1), first, 5), job(JobId(2), second, 5)];
    if work == Work::Preempted {
        let urgent = StepSpec {
            tasks: 4,
            estimate_ms: URGENT_WORK_MS,
            ..task
        };
        jobs.push(job(URGENT, urgent, 0));
    }
    jobs
}

fn job(id: JobId, step: StepSpec, priority: u8) -> JobSpec {
    JobSpec {
        id,
        payload: SmolStr::new_static("payload"),
        steps: vec![step],
        policy: QueuePolicy {
            priority: priority.into(),
            ..policy()
        },
        schedule: Schedule::default(),
        accepted_at_ms: TimeOfDay(0),
        workspace: None,
    }
}
