//! The owner's part: carries out what [`syc_place::Owner`] decides for the owned workers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use syc_config::Document;
use syc_config::Layout;
use syc_config::WorkerDoc;
use syc_member::Key;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_place::Action;
use syc_place::Event;
use syc_place::OfferKey;
use syc_place::OwnerOptions;
use syc_place::Refusal;
use syc_place::StartAnswer;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_platform::WorkerError;
use syc_platform::WorkerPort;
use syc_platform::types::StartTask;
use syc_platform::types::TaskAction;
use syc_platform::types::TaskCommand;
use syc_platform::types::TaskOrigin;
use syc_types::Class;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::RackId;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::members;
use crate::node::Node;
pub use crate::owner_calls::held;
pub use crate::owner_calls::load;
pub use crate::owner_calls::offered;
pub use crate::owner_calls::stop;
pub use crate::owner_calls::what_runs;
use crate::owner_polls;

/// Interval at which waits, reservations and leases are looked at.
const TICK: Duration = Duration::from_millis(50);

/// Commands to end tasks that are under way at once.
const STOPS_AT_ONCE: usize = 32;

/// Name of the policy that is in force.
const POLICY_IN_FORCE: &str = "default";

type Answer = Result<Vec<WorkerId>, Refusal>;

/// What an owner keeps.
#[derive(Debug)]
pub struct Owner {
    /// The decisions and what they are made on.
    pub state: RefCell<syc_place::Owner>,
    answers: RefCell<HashMap<OfferKey, oneshot::Sender<Answer>>>,
    offers: Cell<u64>,
    stops: Semaphore,
    stopped: Cell<bool>,
    /// Epoch of the home that asked last, by team.
    homes: RefCell<HashMap<TeamId, u64>>,
}

impl Owner {
    /// Makes an owner without workers.
    pub fn new(lease_ms: u64) -> Self {
        let options = OwnerOptions {
            lease_ms,
            ..OwnerOptions::default()
        };
        Self {
            state: RefCell::new(syc_place::Owner::new(options)),
            answers: RefCell::default(),
            offers: Cell::new(0),
            stops: Semaphore::new(STOPS_AT_ONCE),
            stopped: Cell::new(false),
            homes: RefCell::default(),
        }
    }

    /// Notes that a team's home asks in an epoch; returns whether it is the first time.
    pub fn hears_from_home(&self, team: &TeamId, epoch: u64) -> bool {
        let mut homes = self.homes.borrow_mut();
        let last = homes.entry(team.clone()).or_default();
        let first = epoch > *last;
        *last = epoch.max(*last);
        first
    }

    /// Says whether the daemon has stopped and its owner commands nothing any more.
    pub const fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Returns a new name for an offer, and where its answer will arrive.
    pub fn expect_answer(&self) -> (OfferKey, oneshot::Receiver<Answer>) {
        self.offers.set(self.offers.get() + 1);
        let offer = OfferKey(self.offers.get());
        let (answer, answered) = oneshot::channel();
        self.answers.borrow_mut().insert(offer, answer);
        (offer, answered)
    }
}

/// Lets time pass for the owner until the arbiter ends.
pub async fn run(node: Rc<Node>) {
    loop {
        actix_rt::time::sleep(TICK).await;
        let acting = members::may_act(&node);
        handle(&node, Event::Ticked { acting });
    }
}

/// Ends all polls, starts and reports of this owner.
pub fn stop_acting(node: &Rc<Node>) {
    node.owner.stopped.set(true);
}

/// Feeds an event to the decisions and carries their actions out.
pub fn handle(node: &Rc<Node>, event: Event) {
    if node.owner.is_stopped() {
        return;
    }
    let mut actions = Vec::new();
    let mut state = node.owner.state.borrow_mut();
    state.handle(event, node.now(), &mut actions);
    drop(state);
    for action in actions {
        carry_out(node, action);
    }
}

fn carry_out(node: &Rc<Node>, action: Action) {
    let node = Rc::clone(node);
    match action {
        Action::Start {
            worker,
            task,
            attempt,
            spec,
        } => {
            actix_rt::spawn(start(node, worker, (task, attempt), spec));
        }
        Action::Stop {
            worker,
            task,
            checkpoint,
        } => {
            actix_rt::spawn(end(node, worker, task, checkpoint));
        }
        Action::Answer { offer, outcome } => {
            if let Some(answer) = node.owner.answers.borrow_mut().remove(&offer) {
                // Whoever asked may have given up waiting.
                let _ = answer.send(outcome);
            }
        }
        Action::Report { ended } => {
            actix_rt::spawn(owner_polls::report_end(node, ended));
        }
        Action::Poll { worker } => {
            actix_rt::spawn(owner_polls::poll_worker(node, worker));
        }
    }
}

async fn start(
    node: Rc<Node>,
    worker: WorkerKey,
    (task, attempt): (TaskRef, u32),
    spec: Rc<JobSpec>,
) {
    let answer = command_start(&node, worker, (task, attempt), &spec).await;
    handle(
        &node,
        Event::StartAnswered {
            task,
            attempt,
            answer,
        },
    );
}

async fn command_start(
    node: &Rc<Node>,
    worker: WorkerKey,
    (task, attempt): (TaskRef, u32),
    spec: &JobSpec,
) -> StartAnswer {
    let Some(info) = worker_info(node, worker) else {
        return StartAnswer::NotSent;
    };
    let start = StartTask {
        task,
        attempt,
        epoch: node.view.borrow().epoch,
        lease_ms: node.settings.timing.lease_ms,
        resources: spec.resources,
        run_time_ms: spec.run_time_ms,
        payload: spec.payload.clone(),
        origin: TaskOrigin {
            team: spec.team.as_str().into(),
            name: spec.name.clone(),
            idempotent: spec.idempotent,
            urgent: spec.class == Class::Urgent,
        },
    };
    if !members::may_act_for(node, Key::Rack(&info.rack)) {
        return StartAnswer::NotSent;
    }
    let started = node.platform.start(&info.id, &info.address, &start).await;
    let Err(error) = started else {
        return StartAnswer::Started;
    };
    let id = info.id;
    emit(catalogue::WORKER_FAULT, format_args!("worker={id} {error}"));
    match error {
        WorkerError::InDoubt(_) => StartAnswer::InDoubt,
        WorkerError::Refused(_) => StartAnswer::Refused,
        WorkerError::NotSent(_) | WorkerError::StaleEpoch { .. } => StartAnswer::NotSent,
    }
}

async fn end(node: Rc<Node>, worker: WorkerKey, task: TaskRef, checkpoint: bool) {
    let Ok(_permit) = node.owner.stops.acquire().await else {
        return;
    };
    let Some(info) = worker_info(&node, worker) else {
        return;
    };
    let command = TaskCommand {
        task,
        epoch: node.view.borrow().epoch,
        action: if checkpoint {
            TaskAction::Checkpoint
        } else {
            TaskAction::Stop
        },
    };
    if !members::may_act_for(&node, Key::Rack(&info.rack)) {
        return;
    }
    let ended = node.platform.command(&info.id, &info.address, &command);
    // A command that is lost is repeated when the next poll still lists the task.
    if let Err(error) = ended.await {
        let id = info.id;
        emit(catalogue::WORKER_FAULT, format_args!("worker={id} {error}"));
    }
}

/// Returns the facts of a worker that is still owned.
pub fn worker_info(node: &Rc<Node>, worker: WorkerKey) -> Option<WorkerInfo> {
    let state = node.owner.state.borrow();
    state.ledger().worker(worker).cloned()
}

fn owns(node: &Rc<Node>, rack: &RackId) -> bool {
    let view = node.view.borrow();
    let owner = view.rack_owner(rack);
    owner.is_some_and(|member| member.id == node.id)
}

/// Takes over the owned part of an inventory's workers.
pub fn apply_workers(node: &Rc<Node>, workers: &[WorkerDoc]) {
    let mut owned = Vec::new();
    for worker in workers {
        if !owns(node, &worker.rack) {
            continue;
        }
        owned.push(WorkerInfo {
            id: worker.id.clone(),
            address: worker.address.clone(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            capacity: worker.capacity,
        });
    }
    handle(node, Event::Workers { workers: owned });
}

/// Takes over the weights of teams and of policy, and the layout of kinds of jobs.
pub fn apply_shares(node: &Rc<Node>) {
    let mut teams = Vec::new();
    let mut waiting_weight = 1;
    let mut packing_weight = 1;
    let mut spread_kinds = vec![JobKind::Service];
    for (_, in_force) in node.config.borrow().documents() {
        match &in_force.document {
            Document::Team(team) => teams.push((team.name.clone(), team.weight)),
            Document::Policy(policy) if policy.name == POLICY_IN_FORCE => {
                waiting_weight = policy.waiting_weight;
                packing_weight = policy.packing_weight;
                for kind in &policy.kinds {
                    spread_kinds.retain(|spread| *spread != kind.kind);
                    if kind.layout == Layout::Spread {
                        spread_kinds.push(kind.kind);
                    }
                }
            }
            _ => {}
        }
    }
    handle(
        node,
        Event::Shares {
            teams,
            waiting_weight,
            packing_weight,
            spread_kinds,
        },
    );
}

/// Lets go of the racks that the new view gives to others, at once, and takes over those that it
/// gives to this daemon.
pub fn view_changed(node: &Rc<Node>) {
    let mut lost = Vec::new();
    for (key, info) in node.owner.state.borrow().ledger().workers() {
        if !owns(node, &info.rack) {
            lost.push(key);
        }
    }
    handle(node, Event::Disowned { workers: lost });
    apply_workers(node, &node.effective_inventory().workers);
}
