//! How tasks ended: told to the home by their owners, kept there in the log.

use std::rc::Rc;

use syc_coord::home::EndVerdict;
use syc_coord::records::Content;
use syc_member::Key;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_wire::Body;
use syc_wire::TaskDone;

use crate::follower;
use crate::home;
use crate::members;
use crate::node::Node;
use crate::peers;

/// Time that a home has to keep the end of a task.
const REPORT_TIMEOUT_MS: u64 = 5_000;

/// Tells a task's end to its team's home; returns whether it is safe there.
pub async fn report_end(
    node: &Rc<Node>,
    team: &TeamId,
    task: TaskRef,
    attempt: u32,
    outcome: &TaskOutcome,
) -> bool {
    let Ok(home) = home::home_of(node, team) else {
        return false;
    };
    let body = Body::TaskDone(TaskDone::new(task, attempt, outcome));
    let reply = peers::call(node, &home, body, REPORT_TIMEOUT_MS).await;
    matches!(reply, Ok(Body::Ack(ack)) if ack.accepted)
}

/// Keeps the end of an attempt here; returns whether the worker may forget it.
pub async fn keep_end(node: &Rc<Node>, task: TaskRef, attempt: u32, outcome: &TaskOutcome) -> bool {
    if !acting(node, task) {
        return false;
    }
    let mut verdict = judge(node, task, attempt, outcome);
    if verdict == EndVerdict::UnknownJob {
        // The job's record may stand in the log and not be read yet.
        if !follower::read_now(node).await {
            return false;
        }
        if !acting(node, task) {
            return false;
        }
        verdict = judge(node, task, attempt, outcome);
    }
    match verdict {
        EndVerdict::Forget | EndVerdict::UnknownJob => true,
        EndVerdict::Keep => false,
        EndVerdict::Record(outcome) => append_end(node, task, &outcome).await,
    }
}

// A home whose lease has lapsed keeps nothing and acknowledges nothing.
fn acting(node: &Rc<Node>, task: TaskRef) -> bool {
    let jobs = node.jobs.borrow();
    match jobs.get(task.job_id) {
        Some(job) => members::may_act_for(node, Key::Team(&job.spec.team)),
        None => members::may_act(node),
    }
}

fn judge(node: &Rc<Node>, task: TaskRef, attempt: u32, outcome: &TaskOutcome) -> EndVerdict {
    let jobs = node.jobs.borrow();
    let mut home = node.home.borrow_mut();
    node.jobs_wake.notify_one();
    home.done(task, attempt, outcome, &jobs, node.now())
}

/// Appends the record of a task's end; returns whether it is in the log.
pub async fn append_end(node: &Rc<Node>, task: TaskRef, outcome: &TaskOutcome) -> bool {
    let content = Content::TaskEnded {
        task,
        outcome: outcome.clone(),
    };
    if node.log_writer.append(content).await.is_err() {
        return false;
    }
    home::apply_ended(node, task, outcome);
    true
}
