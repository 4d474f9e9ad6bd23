//! What the scheduler of a cell does: it carries out the decisions of `syc-sched`.

mod advice;
mod heartbeat;
mod held_back;
mod links;
mod load;
mod orders;
mod patience;
mod readers;
mod records;
mod roster;
mod sessions;
mod stages;
mod vms;
pub(crate) mod waits;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use held_back::HeldBack;
use patience::Patience;
use records::ProgressWriter;
use roster::Roster;
use sessions::Session;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_sched::Action;
use syc_sched::Advisers;
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
const LOOK_SPACING_MS: u64 = 3;

/// Part of a worker's lease by which its clock may run slow, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 25;

/// Longest time that an order is taken to be under way before its lease counts.
const ORDER_TRAVEL_MS: u64 = 150;

/// Heartbeats that a worker may miss before its registration lapses.
const HEARTBEATS_MISSED: u64 = 3;

/// Longest time from a worker's heartbeat until the store shows it, beside that.
const HEARTBEAT_TRAVEL_MS: u64 = 500;

/// What the store shows counts as current for this long after it was asked.
const FRESH_MS: u64 = 2_500;

/// A scheduler that hears no other node for this long hands the role over, and one that hears no worker for as long
/// beyond the time that workers are given.
const CUT_OFF_MS: u64 = 1_500;

/// A node that handed the role over does not claim it again for this long.
const CLAIM_PAUSE_MS: u64 = 5_000;

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
    held_back: HeldBack,
    /// Whether the jobs and workers were read from the store.
    loaded: Cell<bool>,
    ended: Cell<bool>,
    /// Whether new starts are held back because the role is being handed over.
    handing_over: Cell<bool>,
    began_at: Millis,
    /// Where progress is written.
    progress: ProgressWriter,
    /// The workers that may run something, as the store has them.
    roster: Roster,
    /// Asks for a look at the waiting tasks.
    look: Notify,
    /// Asks for progress to be written.
    write: Notify,
    /// Tells that progress was written.
    written: Notify,
    sessions: RefCell<SecondaryMap<WorkerKey, Session>>,
    advisers: RefCell<Advisers>,
    /// Time beyond the expected that answers of the advice service take.
    advice_patience: Patience,
    /// Links to the nodes that call for advice, but for the scheduler's own.
    adviser_clients: RefCell<BTreeMap<SmolStr, Rc<PeerClient>>>,
    /// When each partition of the topic of jobs was last asked for what proved to reach its end.
    jobs_read_at: RefCell<Vec<Millis>>,
    /// Partitions that hold what was submitted of a job; several where its submit was repeated.
    jobs_in: RefCell<HashMap<JobId, Vec<u32>>>,
    /// Jobs whose specification is to be removed, and jobs to be forgotten.
    drops: RefCell<Vec<JobId>>,
    forgets: RefCell<Vec<JobId>>,
    /// What operators are to be told.
    statuses: RefCell<VecDeque<Record>>,
    /// Asks for that to be written.
    tell: Notify,
    met_others_at: Cell<Option<Millis>>,
    /// What shows that there is no successor.
    authority: RefCell<Authority>,
    /// Tells that the store took the first heartbeat.
    heartbeat_taken: Cell<bool>,
    heartbeat: Notify,
    day: RefCell<ClockAgreement>,
    heard_workers_at: Cell<Millis>,
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
        scheduler.require_proof();
        scheduler.set_predecessors_prove(predecessors_prove);
        let leader = Rc::new(Self {
            node: Rc::clone(node),
            token,
            scheduler: RefCell::new(scheduler),
            held_back: HeldBack::default(),
            loaded: Cell::new(false),
            ended: Cell::new(false),
            handing_over: Cell::new(false),
            began_at: now(),
            progress: ProgressWriter::default(),
            roster: Roster::default(),
            look: Notify::new(),
            write: Notify::new(),
            written: Notify::new(),
            sessions: RefCell::default(),
            advisers: RefCell::new(Advisers::with_own(node.settings.name.clone(), now())),
            advice_patience: Patience::default(),
            adviser_clients: RefCell::default(),
            jobs_read_at: RefCell::new(vec![Millis(0); partitions]),
            jobs_in: RefCell::default(),
            drops: RefCell::default(),
            forgets: RefCell::default(),
            statuses: RefCell::default(),
            tell: Notify::new(),
            met_others_at: Cell::new(None),
            authority: RefCell::new(Authority::new(options.authority_ms)),
            heartbeat_taken: Cell::new(false),
            heartbeat: Notify::new(),
            day: RefCell::new(ClockAgreement::resume(node.reported_time.get())),
            heard_workers_at: Cell::new(now()),
            tasks: RefCell::default(),
        });
        leader.follow_day();
        node.partition.set(0);
        *node.leader.borrow_mut() = Some(Rc::clone(&leader));
        leader.spawn(heartbeat::send_heartbeats(Rc::clone(&leader)));
        leader.spawn(load::run(Rc::clone(&leader)));
    }

    /// Returns the condition that refuses appends of a predecessor, by the token as the epoch.
    fn fenced(&self, producer: &'static str, sequence: u64) -> Condition {
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
    pub(crate) fn end(&self, reason: &'static str) {
        if self.ended.replace(true) {
            return;
        }
        log::role_ended(self.token, reason, now().since(self.began_at));
        for task in self.tasks.borrow().iter() {
            task.abort();
        }
        for session in self.sessions.borrow().values() {
            session.end();
        }
        self.node.platform.close_connections();
        let mut leader = self.node.leader.borrow_mut();
        if leader
            .as_ref()
            .is_some_and(|leader| leader.token == self.token)
        {
            *leader = None;
        }
        let pause_until = now().plus(CLAIM_PAUSE_MS);
        if reason != "another_was_chosen" {
            self.node.claim_not_before.set(pause_until);
        }
    }

    /// Hands the role on: what is known is written, then the store is told that nobody holds it.
    pub(crate) async fn hand_over(self: &Rc<Self>, reason: &'static str) {
        if self.handing_over.replace(true) || self.ended.get() {
            return;
        }
        self.write_rest().await;
        self.release(reason).await;
    }

    /// Takes an event to the scheduler, and carries out what it wants.
    pub(crate) fn apply(self: &Rc<Self>, event: Event) {
        if self.ended.get() {
            return;
        }
        let actions = self.scheduler.borrow_mut().handle(event, now());
        self.perform(actions);
        self.look.notify_one();
        if self.scheduler.borrow().has_records() {
            self.write.notify_one();
        }
    }

    /// Looks at the waiting tasks whenever something has changed.
    async fn look_at_waiting(self: Rc<Self>) {
        loop {
            self.look.notified().await;
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
            if self.scheduler.borrow().has_records() {
                self.write.notify_one();
            }
            pause(LOOK_SPACING_MS).await;
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
                } => self.ask(step, workers, expected_ms),
                Action::ListVms { asked_at } => self.list_vms(asked_at),
                Action::OrderVm { vm, duty } => self.order_vm(vm, duty),
                Action::ReportWave { wave, completed } => self.tell_wave(wave, completed),
                Action::DropSpec(id) => self.drops.borrow_mut().push(id),
                Action::Forget(id) => self.forgets.borrow_mut().push(id),
                Action::Note(note) => {
                    self.measure_note(&note);
                    log::note(&note);
                }
            }
        }
    }

    /// Tells the state of a job, where what was read of the jobs is current.
    pub(crate) fn state(&self, id: JobId) -> StateAnswer {
        if !self.loaded.get() {
            return StateAnswer::Unsure;
        }
        if let Some(state) = self.scheduler.borrow().state_of(id) {
            return StateAnswer::Known(state);
        }
        if self.knows_all_jobs() && !self.held_back.has(id) {
            StateAnswer::NoSuchJob
        } else {
            StateAnswer::Unsure
        }
    }

    /// Says whether every partition of jobs was read lately: a job that is not known does not exist.
    fn knows_all_jobs(&self) -> bool {
        let now = now();
        let read_at = self.jobs_read_at.borrow();
        read_at.iter().all(|at| now.since(*at) < FRESH_MS)
    }

    /// Tells how many jobs of a queue have not begun.
    pub(crate) fn pending(&self, queue: &str) -> PendingAnswer {
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
    pub(crate) fn met(&self, contact: &Contact) -> u32 {
        self.met_others_at.set(Some(now()));
        self.meet_adviser(contact);
        self.note_follower(contact);
        if let Some(day) = reported_anchor(now(), contact.day_ms) {
            let name = SmolStr::from(contact.node.as_str());
            self.day.borrow_mut().report(name, day);
        }
        1 + self.advisers.borrow().others_before(&contact.node)
    }

    /// Returns the time of day that timed jobs are due by.
    pub(crate) fn agreed_day(&self) -> AgreedTime {
        self.day.borrow_mut().update(self.node.read_wall_clock())
    }

    /// Has timed jobs due by the time of day that the nodes agree on.
    pub(crate) fn follow_day(&self) {
        let agreed = self.agreed_day();
        self.scheduler.borrow_mut().set_day(agreed.anchor);
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
    fn note_taken(&self, sent_at: Millis) {
        self.authority.borrow_mut().note_taken(sent_at);
    }

    /// Returns the time from which a lease counts that was decided on at a time; none where a successor may have been
    /// chosen so long ago that this node must give no orders any more.
    fn lease_from(&self, decided_at: Millis) -> Option<Millis> {
        self.authority.borrow().lease_from(decided_at, now())
    }

    /// Says whether half of the workers have been silent for longer than they are given to answer.
    ///
    /// With a fixed time, nodes handed the role round over workers that are all slow to answer.
    fn is_cut_from_workers(&self, now: Millis) -> bool {
        if self.scheduler.borrow().hears_half() {
            self.heard_workers_at.set(now);
            return false;
        }
        now.since(self.heard_workers_at.get()) > CUT_OFF_MS + self.usual_slack_ms()
    }

    /// Hands the role on if this node seems cut off while the store, and so the others, may not be.
    pub(crate) fn watch_self(self: &Rc<Self>) {
        if self.authority.borrow().is_over(now()) {
            self.end("isolated");
            return;
        }
        if !self.loaded.get() || self.handing_over.get() || !self.node.store_answers() {
            return;
        }
        let now = now();
        let cut_from_nodes = self
            .met_others_at
            .get()
            .is_some_and(|at| now.since(at) > CUT_OFF_MS);
        let cut_from_workers = self.is_cut_from_workers(now);
        if !cut_from_nodes && !cut_from_workers {
            return;
        }
        let leader = Rc::clone(self);
        let reason = if cut_from_nodes {
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
        lease_bound_ms: lease_ms + drift_ms + ORDER_TRAVEL_MS,
        longest_lease_ms: longest_ms + longest_drift_ms + ORDER_TRAVEL_MS,
        stop_ms: settings.stop_limit_ms,
        status_ms: settings.status_ms + status_drift_ms,
        upkeep_ms: settings.upkeep_ms,
        vm_order_pause_ms: settings.vm_order_pause_ms,
        order_retry_ms: settings.timing.order_timeout_ms,
        told_within_ms: settings.worker_heartbeat_ms * HEARTBEATS_MISSED + HEARTBEAT_TRAVEL_MS,
        ..Options::default()
    }
}
