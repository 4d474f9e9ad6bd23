//! Requests on their way between members.

use std::rc::Rc;

use bytes::Bytes;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_platform::types::EndpointAnswer;
use syc_route::Told;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::RequestId;
use syc_types::ServiceName;
use syc_types::TeamId;
use syc_wire::DecodeError;
use syc_wire::RequestRecord;
use syc_wire::RunReply;
use syc_wire::RunRequest;
use uuid::Uuid;

use super::CallerRequest;
use super::home;
use super::home::HomeAnswer;
use super::home::Kept;
use crate::node::Node;

const ANSWERED: u32 = 0;
const NOT_RUN: u32 = 1;
const UNKNOWN: u32 = 2;
const ELSEWHERE: u32 = 3;

const RECORD_NEVER: u32 = 0;
const RECORD_RUNNING: u32 = 1;
const RECORD_ANSWERED: u32 = 2;
const RECORD_UNKNOWN: u32 = 3;
const RECORD_FORGOTTEN: u32 = 4;

/// Status that stands for one that can't be read.
const BAD_GATEWAY: u16 = 502;

/// Runs a request that another member received.
pub async fn run_for_peer(node: &Rc<Node>, run: RunRequest) -> Result<RunReply, DecodeError> {
    let class = match run.class {
        0 => Class::Urgent,
        1 => Class::Normal,
        2 => Class::Patient,
        _ => return Err(DecodeError::field("class")),
    };
    let request = CallerRequest {
        id: request_id(&run.request_id)?,
        fresh: false,
        service: ServiceName::new(run.service),
        path: run.path,
        caller: CallerId::new(run.caller),
        team: TeamId::new(run.team),
        class,
        idempotent: false,
        deadline: node.now().plus(run.remaining_ms),
        body: run.body,
    };
    Ok(to_reply(home::run_here(node, &request).await))
}

/// Reads a request's id.
pub fn request_id(bytes: &[u8]) -> Result<RequestId, DecodeError> {
    let id = Uuid::from_slice(bytes);
    id.map(RequestId)
        .map_err(|_source| DecodeError::field("request_id"))
}

/// Makes the message that asks a home to run a request.
pub fn to_run(request: &CallerRequest, remaining_ms: u64) -> RunRequest {
    RunRequest {
        request_id: request.id.0.as_bytes().to_vec(),
        service: request.service.to_string(),
        path: request.path.clone(),
        caller: request.caller.to_string(),
        team: request.team.to_string(),
        class: request.class as u32,
        remaining_ms,
        body: request.body.clone(),
    }
}

fn to_reply(answer: HomeAnswer) -> RunReply {
    match answer {
        HomeAnswer::Elsewhere => RunReply {
            outcome: ELSEWHERE,
            ..RunReply::default()
        },
        HomeAnswer::Done(Ok(answer)) => RunReply {
            outcome: ANSWERED,
            status: u32::from(answer.status),
            body: answer.body,
            ..RunReply::default()
        },
        HomeAnswer::Done(Err(error)) => RunReply {
            outcome: match error.outcome {
                Outcome::NotRun => NOT_RUN,
                Outcome::Unknown => UNKNOWN,
            },
            body: Bytes::from(error.message),
            code: error.code.to_string(),
            retry_after_ms: error.retry_after_ms.unwrap_or(0),
            ..RunReply::default()
        },
    }
}

/// Reads a home's reply.
pub fn from_reply(reply: RunReply) -> HomeAnswer {
    let outcome = match reply.outcome {
        ELSEWHERE => return HomeAnswer::Elsewhere,
        ANSWERED => return HomeAnswer::Done(Ok(answer(reply.status, reply.body))),
        NOT_RUN => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    HomeAnswer::Done(Err(ErrorBody {
        outcome,
        code: reply.code.into(),
        message: String::from_utf8_lossy(&reply.body).into_owned(),
        retry_after_ms: (reply.retry_after_ms > 0).then_some(reply.retry_after_ms),
    }))
}

fn answer(status: u32, body: Bytes) -> EndpointAnswer {
    EndpointAnswer {
        status: u16::try_from(status).unwrap_or(BAD_GATEWAY),
        body,
    }
}

/// Makes the message of what a former home knows.
pub fn to_record(told: Told<Kept>) -> RequestRecord {
    let state = match &told {
        Told::Never => RECORD_NEVER,
        Told::Running => RECORD_RUNNING,
        Told::Answered(_) => RECORD_ANSWERED,
        Told::Unknown => RECORD_UNKNOWN,
        Told::Forgotten => RECORD_FORGOTTEN,
    };
    let mut record = RequestRecord {
        state,
        ..RequestRecord::default()
    };
    if let Told::Answered(kept) = told {
        record.status = u32::from(kept.0.status);
        record.body = kept.0.body;
    }
    record
}

/// Reads what a former home knows; what can't be read says nothing.
pub fn from_record(record: RequestRecord) -> Told<Kept> {
    match record.state {
        RECORD_NEVER => Told::Never,
        RECORD_RUNNING => Told::Running,
        RECORD_ANSWERED => Told::Answered(Kept(answer(record.status, record.body))),
        RECORD_UNKNOWN => Told::Unknown,
        _ => Told::Forgotten,
    }
}
