//! What homes ask of the owner, from this daemon or from another.

use std::collections::HashSet;
use std::rc::Rc;

use smol_str::SmolStr;
use smol_str::ToSmolStr;
use syc_member::Key;
use syc_place::Event;
use syc_place::Order;
use syc_place::Refusal;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_wire::Ack;
use syc_wire::DecodeError;
use syc_wire::Offer;
use syc_wire::OfferReply;
use syc_wire::OwnerLoad;
use syc_wire::ResolveReservation;
use syc_wire::RunningTask;
use syc_wire::RunningTasks;
use syc_wire::RunningTasksQuery;
use syc_wire::StopTasks;
use syc_wire::job::decode_job_id;

use crate::members;
use crate::node::Node;
use crate::owner::handle;

/// Tasks whose cancellation is decided before others get a turn.
const STOPS_IN_A_TURN: usize = 256;

/// Places the tasks of an order; returns the worker of each, or the reason why none was started,
/// `in_doubt` where some may have been started all the same.
async fn place(node: &Rc<Node>, order: Order) -> Result<Vec<WorkerId>, SmolStr> {
    if !may_place(node) {
        return Err(SmolStr::new("not_acting"));
    }
    let (offer, answered) = node.owner.expect_answer();
    handle(node, Event::Offered { offer, order });
    let outcome = answered.await.unwrap_or(Err(Refusal::InDoubt));
    outcome.map_err(|refusal| refusal.to_smolstr())
}

/// Says whether this daemon may act for the workers of some rack now.
fn may_place(node: &Rc<Node>) -> bool {
    if members::may_act(node) {
        return true;
    }
    // Racks are told apart outside of the borrow: a clock that jumped changes the owner's state.
    let mut racks = HashSet::new();
    for (_, info) in node.owner.state.borrow().ledger().workers() {
        racks.insert(info.rack.clone());
    }
    let mut racks = racks.iter();
    racks.any(|rack| members::may_act_for(node, Key::Rack(rack)))
}

/// Answers an offer of a home.
///
/// # Errors
///
/// Fails where the offer is malformed.
pub async fn offered(node: &Rc<Node>, offer: Offer) -> Result<OfferReply, DecodeError> {
    let order = Order {
        job_id: decode_job_id(&offer.job_id)?,
        spec: Rc::new(offer.spec.try_into()?),
        indexes: offer.indexes,
        attempt: offer.attempt,
        wait_ms: offer.wait_ms,
        hold_ms: offer.hold_ms,
    };
    let reply = match place(node, order).await {
        Ok(workers) => OfferReply {
            workers: workers.iter().map(ToString::to_string).collect(),
            reason: String::new(),
        },
        Err(reason) => OfferReply {
            workers: Vec::new(),
            reason: reason.to_string(),
        },
    };
    Ok(reply)
}

/// Starts reserved tasks of a home, or gives them up; accepted if the reservations were there.
///
/// # Errors
///
/// Fails where the call is malformed.
pub async fn held(node: &Rc<Node>, call: &ResolveReservation) -> Result<Ack, DecodeError> {
    let job_id = decode_job_id(&call.job_id)?;
    if !members::may_act(node) {
        return Ok(Ack::new(false));
    }
    let (offer, answered) = node.owner.expect_answer();
    handle(
        node,
        Event::Held {
            offer,
            job_id,
            attempt: call.attempt,
            commit: call.commit,
        },
    );
    let ack = match answered.await {
        Ok(Ok(_workers)) => Ack::new(true),
        Ok(Err(Refusal::InDoubt)) | Err(_) => Ack::in_doubt(),
        Ok(Err(_refusal)) => Ack::new(false),
    };
    Ok(ack)
}

/// Cancels tasks, running or queued; their ends are reported as usual.
///
/// # Errors
///
/// Fails where the call is malformed.
pub async fn stop(node: &Rc<Node>, call: &StopTasks) -> Result<Ack, DecodeError> {
    let job_id = decode_job_id(&call.job_id)?;
    if !members::may_act(node) {
        return Ok(Ack::new(false));
    }
    for indexes in call.indexes.chunks(STOPS_IN_A_TURN) {
        handle(
            node,
            Event::Stopped {
                job_id,
                indexes: indexes.to_vec(),
            },
        );
        actix_rt::task::yield_now().await;
    }
    Ok(Ack::new(true))
}

/// Tells a home what it may find running; what a home of an earlier epoch queued or reserved is
/// dropped.
#[must_use]
pub fn what_runs(node: &Rc<Node>, epoch: u64, call: &RunningTasksQuery) -> RunningTasks {
    let team = TeamId::new(call.team.as_str());
    if node.owner.hears_from_home(&team, epoch) {
        handle(node, Event::HomeChanged { team: team.clone() });
    }
    let state = node.owner.state.borrow();
    let mut tasks = Vec::new();
    for known in state.known_tasks(&team) {
        tasks.push(RunningTask {
            job_id: known.task.job_id.0.as_bytes().to_vec(),
            index: known.task.index,
            attempt: known.attempt,
            worker: known.worker.to_string(),
        });
    }
    RunningTasks {
        settled: state.settled() && members::may_act(node),
        tasks,
    }
}

/// Returns what this owner has to give.
#[must_use]
pub fn load(node: &Rc<Node>) -> OwnerLoad {
    let load = node.owner.state.borrow().load();
    OwnerLoad {
        free_cpu_millis: load.free_cpu_millis,
        free_memory_bytes: load.free_memory_bytes,
        free_accelerators: load.free_accelerators,
        queued_tasks: load.queued_tasks,
    }
}
