//! Calls to the other members, and the answers to theirs.

use std::rc::Rc;

use bytes::Bytes;
use syc_net::CallError;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_wire::Ack;
use syc_wire::Body;
use syc_wire::DecodeError;
use syc_wire::Message;
use syc_wire::job::job_id;

use crate::home;
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
    let address = {
        let view = node.view.borrow();
        view.member(member)
            .map(|member| member.peer_address.clone())
    };
    let link = address.and_then(|address| node.members.link(&address));
    let Some(peer) = link else {
        return Err(CallError::NotSent);
    };
    let epoch = node.view.borrow().epoch.0;
    let payload = Message::new(epoch, body).to_bytes();
    let reply = peer.call(&payload, timeout_ms).await;
    if let Err(error) = reply {
        emit(
            catalogue::PEER_SILENT,
            format_args!("peer={member} {error}"),
        );
    }
    let decoded = Message::from_bytes(reply?);
    decoded
        .map(|(_epoch, body)| body)
        .map_err(|_malformed| CallError::NoReply)
}

/// Answers a call of another member; a malformed one gets a refusal.
pub async fn answer(node: Rc<Node>, payload: Bytes) -> Bytes {
    let reply = match Message::from_bytes(payload) {
        Ok((epoch, Body::Heartbeat(heartbeat))) => {
            let (epoch, ack) = members_run::receive(&node, epoch, heartbeat);
            return Message::new(epoch, Body::HeartbeatAck(ack)).to_bytes();
        }
        Ok((epoch, body)) => dispatch(&node, epoch, body).await,
        Err(error) => Err(error),
    };
    let body = reply.unwrap_or(Body::Ack(Ack { accepted: false }));
    let epoch = node.view.borrow().epoch.0;
    Message::new(epoch, body).to_bytes()
}

async fn dispatch(node: &Rc<Node>, epoch: u64, body: Body) -> Result<Body, DecodeError> {
    let reply = match body {
        Body::Submit(submit) => {
            let id = job_id(&submit.job_id)?;
            let spec = JobSpec::try_from(submit.spec)?;
            let outcome = home::accept(node, id, &spec).await;
            Body::SubmitReply(home::submit_reply(outcome))
        }
        Body::Offer(offer) => {
            if epoch != node.view.borrow().epoch.0 {
                // A former home, or one whose view is ahead; it asks again when both agree.
                return Ok(Body::OfferReply(home::offer_reply(Err(
                    "other_epoch".into()
                ))));
            }
            Body::OfferReply(owner::offered(node, offer).await?)
        }
        Body::TaskDone(done) => {
            let (task, outcome) = done.try_into()?;
            let accepted = home::keep_end(node, task, &outcome).await;
            Body::Ack(Ack { accepted })
        }
        Body::JobQuery(query) => {
            let id = job_id(&query.job_id)?;
            let json = home::state_json(node, id).unwrap_or_default();
            Body::JobState(syc_wire::JobState { json })
        }
        Body::RunRequest(run) => Body::RunReply(requests::run_for_peer(node, run).await?),
        Body::ViewQuery(_) => Body::ViewState(members_run::view_state(node)),
        Body::HeldTasks(call) => Body::Ack(owner::held(node, &call).await?),
        Body::StopTasks(call) => Body::Ack(owner::stop(node, &call).await?),
        Body::WhatRuns(call) => Body::RunningTasks(owner::what_runs(node, &call)),
        Body::Heartbeat(_)
        | Body::HeartbeatAck(_)
        | Body::ViewState(_)
        | Body::SubmitReply(_)
        | Body::OfferReply(_)
        | Body::Ack(_)
        | Body::JobState(_)
        | Body::RunningTasks(_)
        | Body::RunReply(_) => Body::Ack(Ack { accepted: false }),
    };
    Ok(reply)
}
