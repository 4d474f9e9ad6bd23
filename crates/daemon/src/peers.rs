//! Calls to the other members, and the answers to theirs.

use std::rc::Rc;

use bytes::Bytes;
use smol_str::SmolStr;
use syc_net::CallError;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_wire::Ack;
use syc_wire::Body;
use syc_wire::DecodeError;
use syc_wire::Message;
use syc_wire::OfferReply;
use syc_wire::job::decode_job_id;

use crate::follower_peers;
use crate::home;
use crate::home_cancel;
use crate::home_ends;
use crate::members_run;
use crate::node::Node;
use crate::owner;
use crate::requests;

/// Calls a member and waits for its reply.
pub async fn call(
    node: &Rc<Node>,
    member: &MemberId,
    body: Body,
    timeout_ms: u64,
) -> Result<Body, CallError> {
    if *member == node.id {
        let epoch = node.view.borrow().epoch.0;
        let reply = Box::pin(dispatch(node, epoch, body)).await;
        return reply.map_err(|_malformed| CallError::NoReply);
    }
    let address = {
        let view = node.view.borrow();
        let known = view.member(member);
        known.map(|member| member.peer_address.clone())
    };
    let Some(address) = address else {
        return Err(CallError::NotSent);
    };
    call_address(node, &address, body, timeout_ms).await
}

/// Calls the daemon at an address, which need not be a member, and waits for its reply.
pub async fn call_address(
    node: &Rc<Node>,
    address: &SmolStr,
    body: Body,
    timeout_ms: u64,
) -> Result<Body, CallError> {
    let Some(peer) = node.members.link(address) else {
        return Err(CallError::NotSent);
    };
    let epoch = node.view.borrow().epoch.0;
    let payload = Message::new(epoch, body).to_bytes();
    let reply = peer.call(&payload, timeout_ms).await;
    if let Err(error) = reply {
        emit(
            catalogue::PEER_SILENT,
            format_args!("peer={address} {error}"),
        );
    }
    let decoded = Message::from_bytes(reply?);
    decoded
        .map(|(_epoch, body)| body)
        .map_err(|_malformed| CallError::NoReply)
}

/// Answers a call of another member; a malformed one gets a refusal.
pub async fn answer(node: Rc<Node>, payload: Bytes) -> Bytes {
    let payload_bytes = payload.len();
    let reply = match Message::from_bytes(payload) {
        Ok((epoch, Body::Heartbeat(heartbeat))) => {
            let (epoch, ack) = members_run::receive(&node, epoch, heartbeat);
            let reply = Message::new(epoch, Body::HeartbeatAck(ack)).to_bytes();
            members_run::count(&node, payload_bytes);
            members_run::count(&node, reply.len());
            return reply;
        }
        Ok((epoch, body)) => dispatch(&node, epoch, body).await,
        Err(error) => Err(error),
    };
    let body = reply.unwrap_or(Body::Ack(Ack::new(false)));
    let epoch = node.view.borrow().epoch.0;
    Message::new(epoch, body).to_bytes()
}

async fn dispatch(node: &Rc<Node>, epoch: u64, body: Body) -> Result<Body, DecodeError> {
    let reply = match body {
        // A command of a home of an earlier epoch, late on its way: the homes have asked since what
        // runs here.
        Body::Offer(_) | Body::ResolveReservation(_) if epoch < node.view.borrow().epoch.0 => {
            Body::Ack(Ack::new(false))
        }
        Body::Submit(submit) => {
            let id = decode_job_id(&submit.job_id)?;
            let spec = JobSpec::try_from(submit.spec)?;
            let outcome = home::accept(node, id, &spec).await;
            Body::SubmitReply(home::submit_reply(outcome))
        }
        Body::Offer(offer) => {
            if epoch != node.view.borrow().epoch.0 {
                // A former home, or one whose view is ahead; it asks again when both agree.
                return Ok(Body::OfferReply(OfferReply {
                    workers: Vec::new(),
                    reason: "other_epoch".to_owned(),
                }));
            }
            Body::OfferReply(owner::offered(node, offer).await?)
        }
        Body::CancelJob(cancel) => {
            let outcome = home_cancel::cancel_here(node, decode_job_id(&cancel.job_id)?).await;
            Body::SubmitReply(home::submit_reply(outcome))
        }
        Body::TaskDone(done) => {
            let attempt = done.attempt;
            let (task, outcome) = done.try_into()?;
            let accepted = home_ends::keep_end(node, task, attempt, &outcome).await;
            Body::Ack(Ack::new(accepted))
        }
        Body::JobQuery(query) => {
            let id = decode_job_id(&query.job_id)?;
            let json = home::state_json(node, id).unwrap_or_default();
            Body::JobState(syc_wire::JobState { json })
        }
        Body::RunRequest(run) => Body::RunReply(requests::run_for_peer(node, run).await?),
        Body::ViewQuery(_) => Body::ViewState(members_run::view_state(node)),
        Body::StateQuery(query) => Body::StatePart(follower_peers::answer(node, &query)),
        Body::ResolveReservation(call) => Body::Ack(owner::held(node, &call).await?),
        Body::StopTasks(call) => Body::Ack(owner::stop(node, &call).await?),
        Body::RequestRecordQuery(asked) => {
            Body::RequestRecord(requests::tell(node, epoch, asked).await?)
        }
        Body::RunningTasksQuery(call) => Body::RunningTasks(owner::what_runs(node, epoch, &call)),
        Body::Heartbeat(_)
        | Body::HeartbeatAck(_)
        | Body::ViewState(_)
        | Body::SubmitReply(_)
        | Body::OfferReply(_)
        | Body::Ack(_)
        | Body::JobState(_)
        | Body::StatePart(_)
        | Body::RunningTasks(_)
        | Body::RequestRecord(_)
        | Body::RunReply(_) => Body::Ack(Ack::new(false)),
    };
    Ok(reply)
}
