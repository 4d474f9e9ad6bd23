//! Requests that may run only once: to their home, and there at most one run for all sendings.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_member::Key;
use syc_member::View;
use syc_net::CallError;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::types::EndpointAnswer;
use syc_route::AnswerSize;
use syc_route::NotRunReason;
use syc_route::OnceAnswer;
use syc_route::RunEnd;
use syc_route::Told;
use syc_route::UnknownReason;
use syc_route::created_at;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::RequestId;
use syc_wire::Body;
use syc_wire::DecodeError;
use syc_wire::RequestRecord;
use syc_wire::RequestRecordQuery;
use tokio::sync::watch;

use super::Answer;
use super::CallerRequest;
use super::InProgress;
use super::run;
use super::services;
use super::wall_now;
use super::wire;
use crate::members;
use crate::node::Node;
use crate::peers;

/// How often an entry VM tries to find a home that has authority.
const HOME_TRIES: u32 = 20;

/// Time between two tries, in which a change of the view may arrive.
const HOME_TRY_MS: u64 = 50;

/// When a caller whose request's home can't be reached may come back.
const HOME_RETRY_MS: u64 = 1_000;

/// Longest time that former homes are asked for.
const ASK_LIMIT_MS: u64 = 5_000;

/// Runs that go on here, with where their outcome is heard.
pub type Runs = HashMap<RequestId, watch::Receiver<Option<Answer>>>;

/// An endpoint's answer as it is kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kept(pub EndpointAnswer);

impl AnswerSize for Kept {
    fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.0.body.len()
    }
}

/// What a member that was taken for a request's home answers.
#[derive(Debug)]
pub enum HomeAnswer {
    /// The request's outcome.
    Done(Answer),
    /// Another member is the home.
    Elsewhere,
}

/// Serves a request that may run only once, through its home.
pub async fn serve(node: &Rc<Node>, request: CallerRequest) -> Answer {
    for attempt in 0..HOME_TRIES {
        if attempt > 0 {
            actix_rt::time::sleep(Duration::from_millis(HOME_TRY_MS)).await;
        }
        if node.now() >= request.deadline {
            break;
        }
        let home = home_of(&node.view.borrow(), request.id);
        let answered = match home {
            None => HomeAnswer::Elsewhere,
            Some(home) if home == node.id => run_here(node, &request).await,
            Some(home) => forward(node, &home, &request).await,
        };
        if let HomeAnswer::Done(answer) = answered {
            return answer;
        }
    }
    let message = "the request's home can't be reached";
    Err(request.given_up("home_unreachable", message, HOME_RETRY_MS))
}

async fn forward(node: &Rc<Node>, home: &MemberId, request: &CallerRequest) -> HomeAnswer {
    let remaining_ms = request.deadline.since(node.now());
    let body = Body::RunRequest(wire::to_run(request, remaining_ms));
    let lost = || {
        let message = "the request's home did not answer";
        HomeAnswer::Done(Err(ErrorBody::unknown("home_silent", message)))
    };
    match peers::call(node, home, body, remaining_ms).await {
        Ok(Body::RunReply(reply)) => wire::from_reply(reply),
        Ok(_) | Err(CallError::NoReply) => lost(),
        Err(CallError::NotSent) => HomeAnswer::Elsewhere,
    }
}

/// Runs a request as its home, at most once over all its arrivals.
pub async fn run_here(node: &Rc<Node>, request: &CallerRequest) -> HomeAnswer {
    view_changed(node);
    let Some(created) = created_at(request.id) else {
        let message = "the id of a non-idempotent request must be a UUID of version 7";
        let error = ErrorBody::not_run("request_id_malformed", message, None);
        return HomeAnswer::Done(Err(error));
    };
    let begun = {
        let may_act = members::may_act_for(node, Key::Request(request.id));
        let homes = node.requests.homes.borrow();
        let home_of = |view: &View| home_of(view, request.id);
        let standing = homes.standing(created, may_act, home_of);
        let mut once = node.requests.once.borrow_mut();
        once.begin(request.id, created, standing, wall_now(node))
    };
    match begun {
        OnceAnswer::Run => start(node, request, Vec::new()),
        OnceAnswer::Ask(former) => start(node, request, former),
        OnceAnswer::Wait => {}
        OnceAnswer::Elsewhere | OnceAnswer::Unknown(UnknownReason::NotActing) => {
            return HomeAnswer::Elsewhere;
        }
        other => return HomeAnswer::Done(settled(other)),
    }
    match outcome(node, request).await {
        // It surely did not run here; a home with authority may still take it.
        Err(error) if error.code == run::NO_AUTHORITY => HomeAnswer::Elsewhere,
        answer => HomeAnswer::Done(answer),
    }
}

/// Waits for the outcome of the run of a request, until its deadline.
async fn outcome(node: &Rc<Node>, request: &CallerRequest) -> Answer {
    let heard = node.requests.runs.borrow().get(&request.id).cloned();
    let Some(mut heard) = heard else {
        return Err(ErrorBody::unknown("internal", "the run was lost"));
    };
    let left = Duration::from_millis(request.deadline.since(node.now()));
    let ended = tokio::time::timeout(left, heard.wait_for(Option::is_some)).await;
    match ended {
        Ok(Ok(answer)) => answer
            .clone()
            .unwrap_or_else(|| Err(ErrorBody::unknown("internal", "the run was lost"))),
        Ok(Err(_closed)) => Err(ErrorBody::unknown("internal", "the run was lost")),
        Err(_elapsed) => Err(ErrorBody::unknown(
            "still_running",
            "another sending of this request still runs",
        )),
    }
}

/// Starts the run; it goes on when the caller leaves, so that a later sending finds its outcome.
fn start(node: &Rc<Node>, request: &CallerRequest, former: Vec<MemberId>) {
    let (sender, receiver) = watch::channel(None);
    node.requests.runs.borrow_mut().insert(request.id, receiver);
    let counted = InProgress::new(node);
    let node = Rc::clone(node);
    let request = request.clone();
    actix_rt::spawn(async move {
        let asked = ask(&node, &request, former).await;
        let answer = match asked {
            OnceAnswer::Run => run_and_keep(&node, &request).await,
            other => settled(other),
        };
        node.requests.runs.borrow_mut().remove(&request.id);
        let _ = sender.send(Some(answer));
        drop(counted);
    });
}

async fn run_and_keep(node: &Rc<Node>, request: &CallerRequest) -> Answer {
    let answer = run::run(node, request).await;
    let end = match &answer {
        Ok(answer) => {
            let kept = Kept(answer.clone());
            let bytes = kept.size_bytes();
            RunEnd::Answered(kept, bytes)
        }
        Err(error) if error.outcome == Outcome::NotRun => RunEnd::NotRun,
        Err(_) => RunEnd::Unknown,
    };
    let mut once = node.requests.once.borrow_mut();
    once.end(request.id, end, wall_now(node));
    answer
}

async fn ask(node: &Rc<Node>, request: &CallerRequest, former: Vec<MemberId>) -> OnceAnswer<Kept> {
    if former.is_empty() {
        return OnceAnswer::Run;
    }
    let mut told = Vec::with_capacity(former.len());
    for home in &former {
        let left_ms = request.deadline.since(node.now()).min(ASK_LIMIT_MS);
        let body = Body::RequestRecordQuery(RequestRecordQuery {
            request_id: request.id.0.as_bytes().to_vec(),
            wait_ms: left_ms / 2,
        });
        let address = former_address(node, home);
        let Some(address) = address else {
            told.push(Told::Forgotten);
            continue;
        };
        let reply = peers::call_address(node, &address, body, left_ms).await;
        let Ok(Body::RequestRecord(record)) = reply else {
            told.push(Told::Forgotten);
            continue;
        };
        let first_home = record.first_home;
        let known = wire::from_record(record);
        let settled = first_home && known == Told::Never;
        told.push(known);
        // The latest homes come first: those that are left are earlier ones.
        if settled {
            break;
        }
    }
    let mut once = node.requests.once.borrow_mut();
    once.asked(request.id, told, wall_now(node))
}

/// Finds where a former home listens, which may have left the view.
///
/// Returns `None` where another incarnation listens there now, which knows nothing of it.
fn former_address(node: &Rc<Node>, home: &MemberId) -> Option<SmolStr> {
    let homes = node.requests.homes.borrow();
    let mut found = homes.views().filter_map(|view| view.member(home));
    let address = found.next().map(|member| member.peer_address.clone())?;
    let view = node.view.borrow();
    let mut current = view.members.iter();
    let replaced = current.any(|member| member.peer_address == address && member.id != *home);
    (!replaced).then_some(address)
}

/// Says what this member, as a former home, knows of a request to a member in view `epoch`.
pub async fn tell(
    node: &Rc<Node>,
    epoch: u64,
    asked: RequestRecordQuery,
) -> Result<RequestRecord, DecodeError> {
    let id = wire::request_id(&asked.request_id)?;
    let created = created_at(id).ok_or(DecodeError::field("request_id"))?;
    let first_home = is_first_home(node, epoch, id, created);
    let until = node.now().plus(asked.wait_ms);
    loop {
        let told = {
            let mut once = node.requests.once.borrow_mut();
            once.tell(id, created, wall_now(node))
        };
        if told != Told::Running || !wait_for_end(node, id, until).await {
            return Ok(RequestRecord {
                first_home,
                ..wire::to_record(told)
            });
        }
    }
}

// A member that lags behind the asker's view may have been the home once more than it knows.
fn is_first_home(node: &Rc<Node>, epoch: u64, id: RequestId, created: Millis) -> bool {
    view_changed(node);
    if node.view.borrow().epoch.0 < epoch {
        return false;
    }
    let homes = node.requests.homes.borrow();
    homes.is_first_home(created, |view| home_of(view, id))
}

/// Waits for the end of a run here; says whether it came in time.
async fn wait_for_end(node: &Rc<Node>, id: RequestId, until: Millis) -> bool {
    let heard = node.requests.runs.borrow().get(&id).cloned();
    let Some(mut heard) = heard else {
        return false;
    };
    let left = Duration::from_millis(until.since(node.now()));
    let ended = tokio::time::timeout(left, heard.wait_for(Option::is_some)).await;
    matches!(ended, Ok(Ok(_)))
}

fn settled(answer: OnceAnswer<Kept>) -> Answer {
    match answer {
        OnceAnswer::Repeat(kept) => Ok(kept.0),
        OnceAnswer::NotRun(NotRunReason::FromFuture) => {
            let message = "the id's time lies in the future";
            Err(ErrorBody::not_run("request_id_early", message, None))
        }
        OnceAnswer::NotRun(NotRunReason::Full) => {
            let message = "no further request ids can be remembered now";
            Err(ErrorBody::not_run("ids_full", message, Some(HOME_RETRY_MS)))
        }
        OnceAnswer::Unknown(reason) => Err(unknown(reason)),
        OnceAnswer::Run | OnceAnswer::Ask(_) | OnceAnswer::Wait | OnceAnswer::Elsewhere => {
            Err(ErrorBody::unknown("internal", "the run was lost"))
        }
    }
}

fn unknown(reason: UnknownReason) -> ErrorBody {
    let (code, message, retry_after_ms) = match reason {
        UnknownReason::AnswerLost => ("answer_lost", "it may have run; the answer is lost", None),
        UnknownReason::TooOld => ("request_id_old", "the id is older than what is kept", None),
        UnknownReason::HomeLost => (
            "home_lost",
            "a member that may have run it can't say",
            Some(HOME_RETRY_MS),
        ),
        UnknownReason::NotActing => (
            run::NO_AUTHORITY,
            "the request's home may not act now",
            Some(HOME_RETRY_MS),
        ),
        UnknownReason::Full => (
            "ids_full",
            "no further request ids can be remembered now",
            Some(HOME_RETRY_MS),
        ),
    };
    ErrorBody {
        retry_after_ms,
        ..ErrorBody::unknown(code, message)
    }
}

fn home_of(view: &View, id: RequestId) -> Option<MemberId> {
    view.request_home(id).map(|member| member.id.clone())
}

/// Takes over the current view, where it is a new one.
pub fn view_changed(node: &Rc<Node>) {
    if install_view(node) {
        services::share_slots(node);
    }
}

fn install_view(node: &Rc<Node>) -> bool {
    let view = node.view.borrow();
    let known = node.requests.epoch.get();
    if view.epoch.0 == known {
        return false;
    }
    let mut homes = node.requests.homes.borrow_mut();
    if known != 0 && view.epoch.0 != known + 1 {
        homes.forget();
    }
    homes.install(view.clone(), view.epoch.0 == 1);
    node.requests.epoch.set(view.epoch.0);
    emit(
        catalogue::REQUEST_HOMES,
        format_args!("epoch={} members={}", view.epoch.0, view.members.len()),
    );
    true
}

/// Notes authority, and forgets what is older than the window.
pub fn tick(node: &Rc<Node>) {
    view_changed(node);
    let now = wall_now(node);
    let may_act = members::may_act(node);
    let mut homes = node.requests.homes.borrow_mut();
    if may_act {
        homes.activate(now);
    }
    homes.expire(now, node.requests.once_options.window_ms);
    node.requests.once.borrow_mut().expire(now);
}
