//! Starting the tasks of a placement: at one owner at once, or reserved first and then committed.
//!
//! A reservation comes first where several owners must all have room, and where a task is not
//! idempotent: its intent is written only once there is room, so that a task which waits for room
//! has no intent and can be started by any later home.

use std::rc::Rc;

use futures_util::future::join_all;
use syc_coord::Urgency;
use syc_coord::home::Part;
use syc_coord::home::Placement;
use syc_coord::home::StartOutcome;
use syc_coord::records::Content;
use syc_member::Key;
use syc_net::CallError;
use syc_types::JobSpec;
use syc_types::TaskRef;
use syc_types::WorkerId;
use syc_wire::Ack;
use syc_wire::Body;
use syc_wire::Offer;
use syc_wire::ResolveReservation;
use uuid::Uuid;

use crate::log_writer::record;
use crate::members;
use crate::metrics;
use crate::node::Node;
use crate::peers;

/// Time that an owner has to start tasks.
const OFFER_TIMEOUT_MS: u64 = 5_000;

/// Time that an owner may keep tasks in its queue.
const QUEUE_MS: u64 = 1_000;

/// Time after which a reservation lapses; longer than the append of an intent may take.
const HOLD_MS: u64 = 8_000;

/// Says why an offer was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OfferError {
    /// The owner never got it.
    NotSent,
    /// The owner may have taken it.
    NoReply,
    /// The owner refused it.
    Refused,
}

type Outcomes = Vec<(u32, StartOutcome)>;

// Counts a placement as in progress until it is dropped; a planned stop waits for it.
#[derive(Debug)]
struct InProgress(Rc<Node>);

impl InProgress {
    fn new(node: &Rc<Node>) -> Self {
        node.placements.set(node.placements.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.placements.set(self.0.placements.get() - 1);
    }
}

/// Carries out a placement and tells the home what came of it.
pub async fn run(node: Rc<Node>, placement: Placement) {
    let _counted = InProgress::new(&node);
    let outcomes = place(&node, &placement).await;
    let started = outcomes.iter().filter(|(_, outcome)| outcome.is_started());
    metrics::tasks_started(&node, placement.job_id, started.count());
    let jobs = node.jobs.borrow();
    let mut home = node.home.borrow_mut();
    home.placed(&placement, &outcomes, &jobs, node.now());
    node.jobs_wake.notify_one();
}

async fn place(node: &Rc<Node>, placement: &Placement) -> Outcomes {
    let spec = {
        let jobs = node.jobs.borrow();
        jobs.get(placement.job_id).map(|job| job.spec.clone())
    };
    let leaving = node.handing_over.get();
    let Some(spec) = spec.filter(|spec| !leaving && acting(node, placement, spec)) else {
        return not_started(&placement.parts);
    };
    match placement.parts.as_slice() {
        [only] if spec.idempotent || placement.pinned => start(node, placement, &spec, only).await,
        parts => reserve_and_commit(node, placement, &spec, parts).await,
    }
}

// Asked again right before each command.
fn acting(node: &Rc<Node>, placement: &Placement, spec: &JobSpec) -> bool {
    let same_epoch = node.view.borrow().epoch == placement.epoch;
    same_epoch && members::may_act_for(node, Key::Team(&spec.team))
}

fn not_started(parts: &[Part]) -> Outcomes {
    let indexes = parts.iter().flat_map(|part| &part.indexes);
    let refused = |index: &u32| (*index, StartOutcome::NotStarted);
    indexes.map(refused).collect()
}

async fn start(node: &Rc<Node>, placement: &Placement, spec: &JobSpec, part: &Part) -> Outcomes {
    let indexes = part.indexes.iter().copied();
    match offer(node, placement, spec, part, 0).await {
        Ok(workers) => indexes
            .zip(workers.into_iter().map(|worker| StartOutcome::Started {
                owner: part.owner.clone(),
                worker,
            }))
            .collect(),
        Err(OfferError::NotSent) if placement.pinned => in_doubt(part),
        Err(OfferError::NotSent | OfferError::Refused) => not_started(std::slice::from_ref(part)),
        Err(OfferError::NoReply) => in_doubt(part),
    }
}

fn in_doubt(part: &Part) -> Outcomes {
    let owner = &part.owner;
    let doubt = |index: &u32| {
        let owner = owner.clone();
        (*index, StartOutcome::InDoubt { owner })
    };
    part.indexes.iter().map(doubt).collect()
}

async fn reserve_and_commit(
    node: &Rc<Node>,
    placement: &Placement,
    spec: &JobSpec,
    parts: &[Part],
) -> Outcomes {
    let offers = parts
        .iter()
        .map(|part| offer(node, placement, spec, part, HOLD_MS));
    let reserved = join_all(offers).await;
    let mut workers = Vec::new();
    for answer in reserved {
        workers.extend(answer.ok());
    }
    let ready = workers.len() == parts.len()
        && (spec.idempotent || record_intents(node, placement).await)
        && acting(node, placement, spec);
    if !ready {
        // Where this does not arrive, the reservation lapses.
        let given_up = parts.iter().map(|part| held(node, placement, part, false));
        join_all(given_up).await;
        if !spec.idempotent {
            let withdrawals = parts
                .iter()
                .map(|part| withdraw_intents(node, placement, part));
            join_all(withdrawals).await;
        }
        return not_started(parts);
    }
    let pairs = parts.iter().zip(workers);
    let commits = pairs.map(|(part, workers)| commit(node, placement, part, workers));
    join_all(commits).await.concat()
}

async fn commit(
    node: &Rc<Node>,
    placement: &Placement,
    part: &Part,
    workers: Vec<WorkerId>,
) -> Outcomes {
    match held(node, placement, part, true).await {
        Ok(ack) if ack.accepted => {
            let started = workers.into_iter().map(|worker| StartOutcome::Started {
                owner: part.owner.clone(),
                worker,
            });
            part.indexes.iter().copied().zip(started).collect()
        }
        Ok(ack) if ack.in_doubt => in_doubt(part),
        Ok(_) | Err(CallError::NotSent) => {
            withdraw_intents(node, placement, part).await;
            not_started(std::slice::from_ref(part))
        }
        Err(CallError::NoReply) => in_doubt(part),
    }
}

async fn held(
    node: &Rc<Node>,
    placement: &Placement,
    part: &Part,
    commit: bool,
) -> Result<Ack, CallError> {
    let body = Body::ResolveReservation(ResolveReservation {
        job_id: placement.job_id.0.as_bytes().to_vec(),
        attempt: placement.attempt,
        commit,
    });
    match peers::call(node, &part.owner, body, OFFER_TIMEOUT_MS).await? {
        Body::Ack(ack) => Ok(ack),
        _ => Err(CallError::NoReply),
    }
}

async fn record_intents(node: &Rc<Node>, placement: &Placement) -> bool {
    let indexes = placement.parts.iter().flat_map(|part| &part.indexes);
    let appends = indexes.map(|index| record_intent(node, placement, *index));
    join_all(appends).await.into_iter().all(|done| done)
}

async fn record_intent(node: &Rc<Node>, placement: &Placement, index: u32) -> bool {
    let task = TaskRef {
        job_id: placement.job_id,
        index,
    };
    let known = {
        let jobs = node.jobs.borrow();
        let job = jobs.get(task.job_id);
        job.and_then(|job| job.intents.get(index as usize).copied())
    };
    if known == Some(true) {
        return true;
    }
    let urgency = if placement.urgent {
        Urgency::Urgent
    } else {
        Urgency::Prompt
    };
    let id = Uuid::now_v7();
    let intent = record(id, Content::Intent { task });
    let appended = node.log_writer.append_record(intent, urgency).await;
    if appended.is_ok() {
        node.jobs.borrow_mut().intend_by(task, id);
    }
    appended.is_ok()
}

// A home that leaves with intents of tasks that it surely did not start would let the next home
// report them as unknown.
async fn withdraw_intents(node: &Rc<Node>, placement: &Placement, part: &Part) {
    let withdrawals = part
        .indexes
        .iter()
        .map(|index| withdraw_intent(node, placement, *index));
    join_all(withdrawals).await;
}

async fn withdraw_intent(node: &Rc<Node>, placement: &Placement, index: u32) {
    let task = TaskRef {
        job_id: placement.job_id,
        index,
    };
    let intent = node.jobs.borrow().intent_of(task);
    let Some(of) = intent else {
        return;
    };
    let withdrawal = record(Uuid::now_v7(), Content::IntentWithdrawn { task, of });
    let appended = node
        .log_writer
        .append_record(withdrawal, Urgency::Urgent)
        .await;
    // Where it was not taken the intent stands, which is safe.
    if appended.is_ok() {
        node.jobs.borrow_mut().withdraw_early(task, of);
    }
}

async fn offer(
    node: &Rc<Node>,
    placement: &Placement,
    spec: &JobSpec,
    part: &Part,
    hold_ms: u64,
) -> Result<Vec<WorkerId>, OfferError> {
    let body = Body::Offer(Offer {
        job_id: placement.job_id.0.as_bytes().to_vec(),
        spec: spec.into(),
        indexes: part.indexes.clone(),
        attempt: placement.attempt,
        wait_ms: QUEUE_MS,
        hold_ms,
    });
    let reply = peers::call(node, &part.owner, body, OFFER_TIMEOUT_MS).await;
    let reply = reply.map_err(|error| match error {
        CallError::NotSent => OfferError::NotSent,
        CallError::NoReply => OfferError::NoReply,
    })?;
    match reply {
        Body::OfferReply(reply) if reply.workers.len() == part.indexes.len() => {
            Ok(reply.workers.into_iter().map(WorkerId::new).collect())
        }
        Body::OfferReply(reply) => Err(refusal(&reply.reason)),
        _ => Err(OfferError::NoReply),
    }
}

fn refusal(reason: &str) -> OfferError {
    let code = reason.split(':').next().unwrap_or_default();
    match code {
        "not_acting" | "other_epoch" => OfferError::NotSent,
        "no_room" | "never_fits" | "too_many_at_once" | "malformed" | "cancelled" => {
            OfferError::Refused
        }
        // The tasks run or have run there, or may: their ends will tell.
        _ => OfferError::NoReply,
    }
}
