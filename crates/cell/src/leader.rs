//! The scheduler role of a cell: executes the decisions of `syc-sched`.

mod adaptive_timeout;
mod advice;
mod append_date;
pub mod call_fences;
pub mod carriers;
mod handover;
mod heartbeat;
pub mod lease_trace;
mod orders;
mod peers;
pub mod progress_batches;
pub mod progress_partitions;
mod progress_writer;
mod readers;
pub(crate) mod retry_report;
mod roster;
mod sessions;
mod stages;
mod takeover;
pub mod task_lines;
mod unreadable_jobs;
mod vms;
mod worker_calls;
mod worker_link;
mod worker_lives;
mod worker_reach;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use adaptive_timeout::AdaptiveTimeout;
use call_fences::CallFences;
use carriers::Carriers;
use progress_writer::ProgressWriter;
use sessions::Session;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use syc_net::PeerClient;
use syc_obs::RateReading;
use syc_obs::WorkspaceReading;
use syc_sched::Action;
use syc_sched::AdviceNodes;
use syc_sched::Authority;
use syc_sched::ContactPlans;
use syc_sched::Counts;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::Options;
use syc_sched::Scheduler;
use syc_sched::SpeedCounts;
use syc_sched::WorkerIsolation;
use syc_sched::WorkerKey;
use syc_sched::clock_drift_ms;
use syc_types::Millis;
use syc_types::WorkspaceName;
use syc_workspace::UNLIMITED;
use task_lines::TaskLines;
use tokio::sync::Notify;
use unreadable_jobs::UnreadableJobs;
use worker_calls::LineLimit;

use crate::Node;
use crate::PendingAnswer;
use crate::StateAnswer;
use crate::clock::now;
use crate::clock::pause;
use crate::clock_agreement::AgreedTime;
use crate::clock_agreement::ClockAgreement;
use crate::log;
use crate::ports::Condition;
use crate::ports::Platform;
use crate::ports::Record;
use crate::records;
use crate::roster::Roster;
use crate::shedding::ShedView;

/// Minimum time between two scheduling passes, so that events in between share one pass.
const SCHEDULE_INTERVAL_MS: u64 = 3;

/// Assumed maximum delay of an order before its lease takes effect.
const MAX_ORDER_DELAY_MS: u64 = 150;

/// Heartbeats a worker may miss before its registration expires.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Maximum additional delay before the store shows a worker's heartbeat.
const MAX_HEARTBEAT_DELAY_MS: u64 = 500;

/// Maximum age of a read of the jobs for the scheduler to assert that a job does not exist,
/// measured from when the read was sent.
const MAX_JOBS_READ_AGE_MS: u64 = 2_500;

/// Time for which a node that gave up the role does not claim it again.
const RECLAIM_DELAY_MS: u64 = 5_000;

/// Maximum pause after a scheduling pass, so that placement goes on even if each pass takes long.
const MAX_SCHEDULE_PAUSE_MS: u64 = 100;

/// A place in the store with a submit or a cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StoredRecord {
    partition: u32,
    key: SmolStr,
}

/// The scheduler role, held by this node.
#[derive(Debug)]
pub(crate) struct Leader<P>
where
    P: Platform,
{
    node: Rc<Node<P>>,
    /// Fencing token of this scheduler.
    pub(crate) token: u64,
    /// Fencing tokens of its calls to workers.
    call_fences: CallFences,
    scheduler: RefCell<Scheduler>,
    /// Jobs with records that this node cannot read.
    unreadable_jobs: UnreadableJobs,
    /// Whether this node had read the state in the store ahead of its election.
    had_read_ahead: Cell<bool>,
    /// Whether jobs and workers have been loaded from the store.
    loaded: Cell<bool>,
    ended: Cell<bool>,
    /// Whether the role will be handed over as soon as a candidate is prepared.
    hands_over_soon: Cell<bool>,
    /// Notifies that a candidate has read the state that a takeover needs.
    successor_prepared: Notify,
    /// Whether the role is being handed over; no new tasks are started then.
    handing_over: Cell<bool>,
    started_at: Millis,
    /// State of the progress partitions in the store.
    progress: ProgressWriter,
    /// Workers that may be running tasks, as recorded in the store.
    roster: Roster,
    /// Requests a scheduling pass over the waiting tasks.
    schedule_notify: Notify,
    /// Wakes the task that writes progress.
    progress_notify: Notify,
    /// Signals that a batch of progress was written.
    progress_written: Notify,
    sessions: RefCell<SecondaryMap<WorkerKey, Session>>,
    advice_nodes: RefCell<AdviceNodes>,
    /// Adaptive slack beyond the expected duration of advice calls.
    advice_timeout: AdaptiveTimeout,
    /// Clients for the other nodes, which make calls on behalf of this one.
    peer_clients: RefCell<BTreeMap<SmolStr, Rc<PeerClient>>>,
    /// Nodes through which calls to workers are relayed.
    carriers: RefCell<Carriers>,
    carrier_lines: LineLimit,
    task_lines: RefCell<TaskLines>,
    /// Wakes calls through carriers when one is lost.
    carrier_lost: Notify,
    /// For each jobs partition, when the last read that reached its end was sent.
    jobs_read_at: RefCell<Vec<Millis>>,
    /// Where the store has submits and cancellations of each job; in several places if a submit was
    /// retried.
    records_by_job: RefCell<HashMap<JobId, Vec<StoredRecord>>>,
    /// Jobs whose submitted records are to be removed from the store.
    specs_to_remove: RefCell<Vec<JobId>>,
    /// Jobs whose progress is to be removed once their submitted records are gone.
    progress_to_remove: RefCell<Vec<JobId>>,
    /// Status records for operators that are still to be written.
    statuses: RefCell<VecDeque<Record>>,
    /// Wakes the task that writes status records.
    status_notify: Notify,
    /// When another node was last in contact; `None` before the first contact.
    peer_heard_at: Cell<Option<Millis>>,
    /// Tracks for how long no successor can have been chosen.
    authority: RefCell<Authority>,
    /// Whether the store has accepted a heartbeat of this scheduler.
    heartbeat_accepted: Cell<bool>,
    heartbeat_notify: Notify,
    clock_agreement: RefCell<ClockAgreement>,
    /// Agreed time of day as of the last tick.
    agreed_time: Cell<AgreedTime>,
    /// How the other nodes contact this one.
    contact_plans: RefCell<ContactPlans>,
    /// Determines when the workers that this node reaches are compared with those that others reach.
    worker_isolation: RefCell<WorkerIsolation>,
    /// Whether such a comparison is in progress.
    is_comparing_reach: Cell<bool>,
    /// Workspaces that send more than their rate, computed at the last tick.
    shed_view: RefCell<Option<Rc<ShedView>>>,
    tasks: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Starts the scheduler role with the fencing token of a successful claim.
    ///
    /// `predecessors_require_proof` says whether all predecessors start jobs only with a leadership
    /// proof.
    pub(crate) fn start(node: &Rc<Node<P>>, token: u64, predecessors_require_proof: bool) {
        let partitions = usize::try_from(node.settings.job_partitions()).unwrap_or(1);
        let options = options(node);
        let mut scheduler = Scheduler::new(options);
        scheduler.set_jobs_read(Millis(0));
        scheduler.set_elected_at(now());
        scheduler.require_leadership_proof();
        scheduler.set_predecessors_require_proof(predecessors_require_proof);
        let mut clock_agreement = ClockAgreement::resume(node.reported_time.get());
        let agreed_time = clock_agreement.update(node.read_wall_clock());
        let contact_plans = ContactPlans::new(node.settings.timing.contact_interval_ms);
        let leader = Rc::new(Self {
            node: Rc::clone(node),
            token,
            call_fences: CallFences::new(token),
            scheduler: RefCell::new(scheduler),
            unreadable_jobs: UnreadableJobs::default(),
            had_read_ahead: Cell::new(false),
            loaded: Cell::new(false),
            ended: Cell::new(false),
            hands_over_soon: Cell::new(false),
            successor_prepared: Notify::new(),
            handing_over: Cell::new(false),
            started_at: now(),
            progress: ProgressWriter::default(),
            roster: Roster::default(),
            schedule_notify: Notify::new(),
            progress_notify: Notify::new(),
            progress_written: Notify::new(),
            sessions: RefCell::default(),
            advice_nodes: RefCell::new(AdviceNodes::with_local(node.settings.name.clone(), now())),
            advice_timeout: AdaptiveTimeout::default(),
            peer_clients: RefCell::default(),
            carriers: RefCell::new(Carriers::new(node.settings.files_limit)),
            carrier_lines: LineLimit::default(),
            task_lines: RefCell::default(),
            carrier_lost: Notify::new(),
            jobs_read_at: RefCell::new(vec![Millis(0); partitions]),
            records_by_job: RefCell::default(),
            specs_to_remove: RefCell::default(),
            progress_to_remove: RefCell::default(),
            statuses: RefCell::default(),
            status_notify: Notify::new(),
            peer_heard_at: Cell::new(None),
            authority: RefCell::new(Authority::new(options.authority_ms)),
            heartbeat_accepted: Cell::new(false),
            heartbeat_notify: Notify::new(),
            clock_agreement: RefCell::new(clock_agreement),
            agreed_time: Cell::new(agreed_time),
            contact_plans: RefCell::new(contact_plans),
            worker_isolation: RefCell::new(WorkerIsolation::new(now())),
            is_comparing_reach: Cell::new(false),
            shed_view: RefCell::default(),
            tasks: RefCell::default(),
        });
        leader.update_agreed_time();
        node.partition.set(0);
        *node.leader.borrow_mut() = Some(Rc::clone(&leader));
        leader.spawn(heartbeat::send_heartbeats(Rc::clone(&leader)));
        leader.spawn(takeover::take_over(Rc::clone(&leader)));
    }

    /// Returns the append condition that makes the store reject predecessors: the fencing token is
    /// the producer's epoch.
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

    /// Gives up the role immediately; no further orders are sent.
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

    /// Passes an event to the scheduler and performs the resulting actions.
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

    /// Runs a scheduling pass whenever something has changed.
    async fn run_scheduling(self: Rc<Self>) {
        loop {
            self.schedule_notify.notified().await;
            if self.handing_over.get() {
                continue;
            }
            let started_at = now();
            let slots = self.advice_nodes.borrow().slots(started_at);
            let actions = {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.set_advice_slots(slots);
                scheduler.schedule(started_at)
            };
            self.perform(actions);
            self.record_wait_errors();
            if self.scheduler.borrow().has_unrecorded_changes() {
                self.progress_notify.notify_one();
            }
            // A pause as long as the pass, within bounds, leaves time for heartbeats, contacts and workers. Without it,
            // other nodes would suspect this one to have failed while it works off a large backlog.
            let pass_ms = now().since(started_at);
            pause(pass_ms.clamp(SCHEDULE_INTERVAL_MS, MAX_SCHEDULE_PAUSE_MS)).await;
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
                Action::ForgetWorker(id) => self.forget_worker(&id),
                Action::RecordDrain(id) => self.record_drain(&id),
                Action::DeleteSpec(id) => self.specs_to_remove.borrow_mut().push(id),
                Action::DeleteJob(id) => self.progress_to_remove.borrow_mut().push(id),
                Action::Note(note) => {
                    self.record_note_metrics(&note);
                    self.log_note(&note);
                }
            }
        }
    }

    /// Returns whether another workspace than the caller's has a job with this ID.
    pub(crate) fn is_id_taken(&self, id: JobId, caller: Option<&WorkspaceName>) -> bool {
        self.loaded.get() && !self.scheduler.borrow().may_access(id, caller)
    }

    /// Returns whether the key of a submit or cancellation names the job of another workspace than
    /// that of its caller.
    pub(crate) fn is_key_of_another(&self, key: &str) -> bool {
        let Some(id) = records::job_of_key(key) else {
            return false;
        };
        let scheduler = self.scheduler.borrow();
        let owner = scheduler.owner_of(id);
        owner.is_some_and(|owner| !records::is_key_for(key, id, owner))
    }

    /// Returns the state of a job, as a caller of a workspace may know it: the job of another
    /// workspace does not exist for it. The answer is `Unsure` if the jobs read from the store are
    /// not current.
    pub(crate) fn job_state(&self, id: JobId, caller: Option<&WorkspaceName>) -> StateAnswer {
        if !self.loaded.get() {
            return StateAnswer::Unsure;
        }
        if self.is_id_taken(id, caller) {
            return StateAnswer::NoSuchJob;
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

    /// Returns whether every jobs partition was read recently, so that an unknown job does not
    /// exist.
    fn knows_all_jobs(&self) -> bool {
        let now = now();
        let read_at = self.jobs_read_at.borrow();
        read_at
            .iter()
            .all(|at| now.since(*at) < MAX_JOBS_READ_AGE_MS)
    }

    /// Computes the view of the workspaces whose submits may be rejected. There is none before the jobs were loaded,
    /// and once a successor may have been chosen.
    pub(crate) fn update_shed_view(&self) {
        let now = now();
        let may_decide = self.loaded.get() && !self.handing_over.get() && !self.ended.get();
        let may_decide = may_decide && self.lease_from(now).is_some();
        let view = may_decide.then(|| ShedView {
            computed_at: now,
            rows: self.scheduler.borrow_mut().shed_rows(now),
        });
        *self.shed_view.borrow_mut() = view.map(Rc::new);
    }

    /// Returns the view of the workspaces whose submits may be rejected.
    pub(crate) fn shed_view(&self) -> Option<Rc<ShedView>> {
        self.shed_view.borrow().clone()
    }

    /// Returns the number of jobs in a queue that have not started.
    pub(crate) fn pending_jobs(&self, queue: &str) -> PendingAnswer {
        if !self.loaded.get() || !self.knows_all_jobs() {
            return PendingAnswer::Unsure;
        }
        let jobs = self.scheduler.borrow().pending_jobs(queue);
        PendingAnswer::Known(u64::try_from(jobs).unwrap_or(u64::MAX))
    }

    /// Returns whether this node had read the state in the store ahead of its election.
    pub(crate) const fn had_read_ahead(&self) -> bool {
        self.had_read_ahead.get()
    }

    /// Returns whether jobs and workers have been loaded from the store.
    pub(crate) const fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Returns the scheduler's current counts of jobs, runs and workers.
    pub(crate) fn counts(&self) -> Counts {
        self.scheduler.borrow().counts(now())
    }

    /// Returns the number of workers by learned speed.
    pub(crate) fn speed_counts(&self) -> SpeedCounts {
        self.scheduler.borrow().speed_counts(now())
    }

    /// Returns the median error of the predicted run times by queue, in thousandths.
    pub(crate) fn duration_errors(&self) -> Vec<(String, u64)> {
        let errors = self.scheduler.borrow().duration_errors();
        let named = errors.into_iter();
        named
            .map(|(queue, error)| (queue.to_string(), error))
            .collect()
    }

    /// Returns what the workspaces have running.
    pub(crate) fn workspace_readings(&self) -> Vec<WorkspaceReading> {
        let usages = self.scheduler.borrow().workspace_usage(now());
        let readings = usages.into_iter().map(|usage| {
            let cap = usage.cap.cpu_millis;
            WorkspaceReading {
                name: usage.name.to_string(),
                running_cpu_millis: usage.running.cpu_millis,
                cap_cpu_millis: (cap < UNLIMITED.cpu_millis).then_some(cap),
            }
        });
        readings.collect()
    }

    /// Returns how the workspaces use their rates. Those without a rate are left out.
    pub(crate) fn rate_readings(&self) -> Vec<RateReading> {
        let usages = self.scheduler.borrow().workspace_usage(now());
        let limited = usages
            .into_iter()
            .filter(|usage| usage.rate_per_s.is_finite());
        let readings = limited.map(|usage| RateReading {
            name: usage.name.to_string(),
            rate_per_s: usage.rate_per_s,
            burst_left_jobs: usage.burst_left_jobs,
            excess_jobs: usage.excess_jobs,
            predicted_wait_ms: usage.predicted_wait_ms,
        });
        readings.collect()
    }

    /// Records that the store accepted an append sent at `sent_at` under this fencing token.
    fn note_append_accepted(&self, sent_at: Millis) {
        self.authority.borrow_mut().note_append(sent_at);
    }

    /// Returns the time from which a lease decided on at `decided_at` counts, or `None` if a
    /// successor may already have been chosen, in which case this node must not send orders.
    fn lease_from(&self, decided_at: Millis) -> Option<Millis> {
        self.authority.borrow().lease_start(decided_at, now())
    }
}

fn options<P>(node: &Node<P>) -> Options
where
    P: Platform,
{
    let settings = &node.settings;
    let lease_ms = settings.lease_ms();
    let drift_ms = clock_drift_ms(lease_ms);
    let longest_ms = settings.lease_limit_ms;
    let longest_drift_ms = clock_drift_ms(longest_ms);
    let status_drift_ms = clock_drift_ms(settings.status_ms);
    Options {
        lease_bound_ms: lease_ms + drift_ms + MAX_ORDER_DELAY_MS,
        max_lease_ms: longest_ms + longest_drift_ms + MAX_ORDER_DELAY_MS,
        max_stop_ms: settings.stop_limit_ms,
        ended_job_retention_ms: settings.status_ms + status_drift_ms,
        maintenance_ms: settings.maintenance_ms,
        vm_order_pause_ms: settings.vm_order_pause_ms,
        order_retry_ms: settings.timing.order_timeout_ms,
        capacity_report_deadline_ms: settings.worker_heartbeat_ms * MAX_MISSED_HEARTBEATS
            + MAX_HEARTBEAT_DELAY_MS,
        ..Options::default()
    }
}
