//! What the scheduler of a cell does: it carries out the decisions of `syc-sched`.

mod adaptive_timeout;
mod advice;
mod heartbeat;
mod orders;
mod progress_writer;
mod readers;
pub(crate) mod retry_report;
mod roster;
mod sessions;
mod stages;
mod takeover;
mod unreadable_jobs;
mod vms;
mod worker_link;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use adaptive_timeout::AdaptiveTimeout;
use progress_writer::ProgressWriter;
use roster::Roster;
use sessions::Session;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_sched::Action;
use syc_sched::AdviceNodes;
use syc_sched::Authority;
use syc_sched::Counts;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::Options;
use syc_sched::Scheduler;
use syc_sched::WorkerKey;
use syc_types::Millis;
use syc_wire::cell::Contact;
use tokio::sync::Notify;
use unreadable_jobs::UnreadableJobs;

use crate::Node;
use crate::PendingAnswer;
use crate::StateAnswer;
use crate::clock::now;
use crate::clock::pause;
use crate::clock_agreement::AgreedTime;
use crate::clock_agreement::ClockAgreement;
use crate::clock_agreement::reported_anchor;
use crate::log;
use crate::ports::Condition;
use crate::ports::Platform;
use crate::ports::Record;

/// Events within this time share one look at the waiting tasks.
const SCHEDULE_INTERVAL_MS: u64 = 3;

/// Part of a worker's lease by which its clock may run slow, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 25;

/// Longest time that an order is taken to be under way before its lease counts.
const MAX_ORDER_DELAY_MS: u64 = 150;

/// Heartbeats that a worker may miss before its registration lapses.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Longest time from a worker's heartbeat until the store shows it, beside that.
const MAX_HEARTBEAT_DELAY_MS: u64 = 500;

/// What the store shows counts as current for this long after it was asked.
const MAX_JOBS_READ_AGE_MS: u64 = 2_500;

/// A scheduler that hears no other node for this long hands the role over, and one that hears no worker for as long
/// beyond the time that workers are given.
const ISOLATION_TIMEOUT_MS: u64 = 1_500;

/// A node that handed the role over does not claim it again for this long.
const RECLAIM_DELAY_MS: u64 = 5_000;

/// The role of scheduler, held by this node.
#[derive(Debug)]
pub(crate) struct Leader<P>
where
    P: Platform,
{
    node: Rc<Node<P>>,
    /// Fencing token of all its orders.
    pub(crate) token: u64,
    scheduler: RefCell<Scheduler>,
    /// Jobs that can't be read.
    unreadable_jobs: UnreadableJobs,
    /// Whether the jobs and workers were read from the store.
    loaded: Cell<bool>,
    ended: Cell<bool>,
    /// Whether new starts are held back because the role is being handed over.
    handing_over: Cell<bool>,
    started_at: Millis,
    /// Where progress is written.
    progress: ProgressWriter,
    /// The workers that may run something, as the store has them.
    roster: Roster,
    /// Asks for a look at the waiting tasks.
    schedule_notify: Notify,
    /// Asks for progress to be written.
    progress_notify: Notify,
    /// Tells that progress was written.
    progress_written: Notify,
    sessions: RefCell<SecondaryMap<WorkerKey, Session>>,
    advisers: RefCell<AdviceNodes>,
    /// Time beyond the expected that answers of the advice service take.
    advice_timeout: AdaptiveTimeout,
    /// Links to the nodes that call for advice, but for the scheduler's own.
    adviser_clients: RefCell<BTreeMap<SmolStr, Rc<PeerClient>>>,
    /// When each partition of the topic of jobs was last asked for what proved to reach its end.
    jobs_read_at: RefCell<Vec<Millis>>,
    /// Partitions that hold what was submitted of a job; several where its submit was repeated.
    partitions_by_job: RefCell<HashMap<JobId, Vec<u32>>>,
    /// Jobs whose specification is to be removed, and jobs to be forgotten.
    specs_to_remove: RefCell<Vec<JobId>>,
    progress_to_remove: RefCell<Vec<JobId>>,
    /// What operators are to be told.
    statuses: RefCell<VecDeque<Record>>,
    /// Asks for that to be written.
    status_notify: Notify,
    peer_heard_at: Cell<Option<Millis>>,
    /// What shows that there is no successor.
    authority: RefCell<Authority>,
    /// Tells that the store took the first heartbeat.
    heartbeat_accepted: Cell<bool>,
    heartbeat_notify: Notify,
    day: RefCell<ClockAgreement>,
    workers_heard_at: Cell<Millis>,
    tasks: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Takes the role, with the fencing token of the claim.
    pub(crate) fn start(node: &Rc<Node<P>>, token: u64, predecessors_prove: bool) {
        let partitions = usize::try_from(node.settings.job_partitions()).unwrap_or(1);
        let options = options(node);
        let mut scheduler = Scheduler::new(options);
        scheduler.set_jobs_read(Millis(0));
        scheduler.set_elected_at(now());
        scheduler.require_leadership_proof();
        scheduler.set_predecessors_require_proof(predecessors_prove);
        let leader = Rc::new(Self {
            node: Rc::clone(node),
            token,
            scheduler: RefCell::new(scheduler),
            unreadable_jobs: UnreadableJobs::default(),
            loaded: Cell::new(false),
            ended: Cell::new(false),
            handing_over: Cell::new(false),
            started_at: now(),
            progress: ProgressWriter::default(),
            roster: Roster::default(),
            schedule_notify: Notify::new(),
            progress_notify: Notify::new(),
            progress_written: Notify::new(),
            sessions: RefCell::default(),
            advisers: RefCell::new(AdviceNodes::with_local(node.settings.name.clone(), now())),
            advice_timeout: AdaptiveTimeout::default(),
            adviser_clients: RefCell::default(),
            jobs_read_at: RefCell::new(vec![Millis(0); partitions]),
            partitions_by_job: RefCell::default(),
            specs_to_remove: RefCell::default(),
            progress_to_remove: RefCell::default(),
            statuses: RefCell::default(),
            status_notify: Notify::new(),
            peer_heard_at: Cell::new(None),
            authority: RefCell::new(Authority::new(options.authority_ms)),
            heartbeat_accepted: Cell::new(false),
            heartbeat_notify: Notify::new(),
            day: RefCell::new(ClockAgreement::resume(node.reported_time.get())),
            workers_heard_at: Cell::new(now()),
            tasks: RefCell::default(),
        });
        leader.update_day();
        node.partition.set(0);
        *node.leader.borrow_mut() = Some(Rc::clone(&leader));
        leader.spawn(heartbeat::send_heartbeats(Rc::clone(&leader)));
        leader.spawn(takeover::take_over(Rc::clone(&leader)));
    }

    /// Returns the condition that refuses appends of a predecessor, by the token as the epoch.
    fn producer_condition(&self, producer: &'static str, sequence: u64) -> Condition {
        Condition::Producer {
            name: SmolStr::new_static(producer),
            epoch: self.token,
            sequence,
        }
    }

    fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.tasks.borrow_mut().push(actix_rt::spawn(task));
    }

    /// Gives the role up at once: nothing more is ordered.
    pub(crate) fn step_down(&self, reason: &'static str) {
        if self.ended.replace(true) {
            return;
        }
        log::role_ended(self.token, reason, now().since(self.started_at));
        for task in self.tasks.borrow().iter() {
            task.abort();
        }
        for session in self.sessions.borrow().values() {
            session.abort();
        }
        self.node.platform.close_connections();
        let mut leader = self.node.leader.borrow_mut();
        if leader
            .as_ref()
            .is_some_and(|leader| leader.token == self.token)
        {
            *leader = None;
        }
        let pause_until = now().plus(RECLAIM_DELAY_MS);
        if reason != "another_was_chosen" {
            self.node.claim_not_before.set(pause_until);
        }
    }

    /// Hands the role on: what is known is written, then the store is told that nobody holds it.
    pub(crate) async fn hand_over(self: &Rc<Self>, reason: &'static str) {
        if self.handing_over.replace(true) || self.ended.get() {
            return;
        }
        self.flush_progress().await;
        self.release(reason).await;
    }

    /// Takes an event to the scheduler, and carries out what it wants.
    pub(crate) fn apply(self: &Rc<Self>, event: Event) {
        if self.ended.get() {
            return;
        }
        let actions = self.scheduler.borrow_mut().handle(event, now());
        self.perform(actions);
        self.schedule_notify.notify_one();
        if self.scheduler.borrow().has_unrecorded_changes() {
            self.progress_notify.notify_one();
        }
    }

    /// Looks at the waiting tasks whenever something has changed.
    async fn run_scheduling(self: Rc<Self>) {
        loop {
            self.schedule_notify.notified().await;
            if self.handing_over.get() {
                continue;
            }
            let slots = self.advisers.borrow().slots(now());
            let actions = {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.set_advice_slots(slots);
                scheduler.schedule(now())
            };
            self.perform(actions);
            if self.scheduler.borrow().has_unrecorded_changes() {
                self.progress_notify.notify_one();
            }
            pause(SCHEDULE_INTERVAL_MS).await;
        }
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attach { worker, spec } => self.attach(worker, &spec),
                Action::Detach { worker } => self.detach(worker),
                Action::Start(order) => self.order_start(order),
                Action::Stop {
                    worker,
                    task,
                    run,
                    reason,
                } => self.order_stop(worker, task, run, reason),
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => self.order_pace(worker, task, run, percent),
                Action::RequestAdvice {
                    step,
                    workers,
                    expected_ms,
                } => self.request_advice(step, workers, expected_ms),
                Action::ListVms { asked_at } => self.list_vms(asked_at),
                Action::OrderVm { vm, operation } => self.order_vm(vm, operation),
                Action::ReportWave { wave, completed } => self.queue_wave_status(wave, completed),
                Action::DropSpec(id) => self.specs_to_remove.borrow_mut().push(id),
                Action::Forget(id) => self.progress_to_remove.borrow_mut().push(id),
                Action::Note(note) => {
                    self.record_note_stages(&note);
                    log::note(&note);
                }
            }
        }
    }

    /// Tells the state of a job, where what was read of the jobs is current.
    pub(crate) fn job_state(&self, id: JobId) -> StateAnswer {
        if !self.loaded.get() {
            return StateAnswer::Unsure;
        }
        if let Some(state) = self.scheduler.borrow().state_of(id) {
            return StateAnswer::Known(state);
        }
        if self.knows_all_jobs() && !self.unreadable_jobs.contains(id) {
            StateAnswer::NoSuchJob
        } else {
            StateAnswer::Unsure
        }
    }

    /// Says whether every partition of jobs was read lately: a job that is not known does not exist.
    fn knows_all_jobs(&self) -> bool {
        let now = now();
        let read_at = self.jobs_read_at.borrow();
        read_at
            .iter()
            .all(|at| now.since(*at) < MAX_JOBS_READ_AGE_MS)
    }

    /// Tells how many jobs of a queue have not begun.
    pub(crate) fn pending_jobs(&self, queue: &str) -> PendingAnswer {
        if !self.loaded.get() || !self.knows_all_jobs() {
            return PendingAnswer::Unsure;
        }
        let jobs = self.scheduler.borrow().pending_jobs(queue);
        PendingAnswer::Known(u64::try_from(jobs).unwrap_or(u64::MAX))
    }

    /// Says whether the jobs and workers were read from the store.
    pub(crate) const fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Returns what the scheduler holds.
    pub(crate) fn counts(&self) -> Counts {
        self.scheduler.borrow().counts(now())
    }

    /// Takes note that another node is there. Returns the partition that it should write jobs to:
    /// another one for each node, as far as they reach.
    pub(crate) fn register_peer(&self, contact: &Contact) -> u32 {
        self.peer_heard_at.set(Some(now()));
        self.register_adviser(contact);
        self.note_follower(contact);
        if let Some(day) = reported_anchor(now(), contact.day_ms) {
            let name = SmolStr::from(contact.node.as_str());
            self.day.borrow_mut().report(name, day);
        }
        1 + self.advisers.borrow().remote_nodes_before(&contact.node)
    }

    /// Returns the time of day that timed jobs are due by.
    pub(crate) fn agreed_day(&self) -> AgreedTime {
        self.day.borrow_mut().update(self.node.read_wall_clock())
    }

    /// Has timed jobs due by the time of day that the nodes agree on.
    pub(crate) fn update_day(&self) {
        let agreed = self.agreed_day();
        self.scheduler.borrow_mut().set_wall_clock(agreed.anchor);
    }

    /// Takes note that another node follows this scheduler.
    ///
    /// What it says is as old as the last answer that it had: it may have waited here while this node stood still.
    fn note_follower(&self, contact: &Contact) {
        if contact.token != self.token {
            return;
        }
        let name = SmolStr::from(contact.node.as_str());
        let heard_at = Millis(contact.heard_at_ms).min(now());
        self.authority.borrow_mut().note_follower(&name, heard_at);
    }

    /// Takes note that the store took an append under the fencing token that was sent at a time.
    fn note_append_accepted(&self, sent_at: Millis) {
        self.authority.borrow_mut().note_append(sent_at);
    }

    /// Returns the time from which a lease counts that was decided on at a time; none where a successor may have been
    /// chosen so long ago that this node must give no orders any more.
    fn lease_from(&self, decided_at: Millis) -> Option<Millis> {
        self.authority.borrow().lease_start(decided_at, now())
    }

    /// Says whether half of the workers have been silent for longer than they are given to answer.
    ///
    /// With a fixed time, nodes handed the role round over workers that are all slow to answer.
    fn is_isolated_from_workers(&self, now: Millis) -> bool {
        if self.scheduler.borrow().half_of_workers_respond() {
            self.workers_heard_at.set(now);
            return false;
        }
        now.since(self.workers_heard_at.get()) > ISOLATION_TIMEOUT_MS + self.median_slack_ms()
    }

    /// Hands the role on if this node seems cut off while the store, and so the others, may not be.
    pub(crate) fn hand_over_if_isolated(self: &Rc<Self>) {
        if self.authority.borrow().is_expired(now()) {
            self.step_down("isolated");
            return;
        }
        if !self.loaded.get() || self.handing_over.get() || !self.node.store_answers() {
            return;
        }
        let now = now();
        let isolated_from_nodes = self
            .peer_heard_at
            .get()
            .is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT_MS);
        let isolated_from_workers = self.is_isolated_from_workers(now);
        if !isolated_from_nodes && !isolated_from_workers {
            return;
        }
        let leader = Rc::clone(self);
        let reason = if isolated_from_nodes {
            "cut_off_from_nodes"
        } else {
            "cut_off_from_workers"
        };
        actix_rt::spawn(async move { leader.hand_over(reason).await });
    }
}

fn options<P>(node: &Node<P>) -> Options
where
    P: Platform,
{
    let settings = &node.settings;
    let lease_ms = settings.lease_ms();
    let drift_ms = lease_ms * CLOCK_DRIFT_PER_MILLE / 1_000;
    let longest_ms = settings.lease_limit_ms;
    let longest_drift_ms = longest_ms * CLOCK_DRIFT_PER_MILLE / 1_000;
    let status_drift_ms = settings.status_ms * CLOCK_DRIFT_PER_MILLE / 1_000;
    Options {
        lease_bound_ms: lease_ms + drift_ms + MAX_ORDER_DELAY_MS,
        max_lease_ms: longest_ms + longest_drift_ms + MAX_ORDER_DELAY_MS,
        max_stop_ms: settings.stop_limit_ms,
        ended_job_retention_ms: settings.status_ms + status_drift_ms,
        maintenance_ms: settings.upkeep_ms,
        vm_order_pause_ms: settings.vm_order_pause_ms,
        order_retry_ms: settings.timing.order_timeout_ms,
        capacity_report_deadline_ms: settings.worker_heartbeat_ms * MAX_MISSED_HEARTBEATS
            + MAX_HEARTBEAT_DELAY_MS,
        ..Options::default()
    }
}
