//! Polls of workers, and reports of ended tasks to their homes.

use std::rc::Rc;
use std::time::Duration;

use syc_member::Key;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_place::Ended;
use syc_place::Event;
use syc_place::PollPlan;
use syc_place::Report;
use syc_place::Reported;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_platform::WorkerError;
use syc_platform::WorkerPort;
use syc_platform::types::FinishedTask;
use syc_platform::types::PollReply;
use syc_platform::types::PollRequest;
use syc_platform::types::RunningTask;
use syc_platform::types::TaskAttempt;
use syc_types::TeamId;

use crate::home_ends;
use crate::members;
use crate::node::Node;
use crate::owner::handle;
use crate::owner::worker_info;

/// Pause after a worker that can't be polled.
const POLL_RETRY: Duration = Duration::from_millis(200);

/// How often it is looked whether a worker may be polled.
const ACT_CHECK: Duration = Duration::from_millis(20);

/// First pause after an end that the home did not keep.
const REPORT_RETRY: Duration = Duration::from_millis(100);

/// Longest pause after an end that the home did not keep.
const REPORT_RETRY_LIMIT: Duration = Duration::from_secs(5);

/// Polls a worker for as long as it is this owner's.
pub async fn poll_worker(node: Rc<Node>, worker: WorkerKey) {
    while !node.owner.is_stopped() {
        let Some(info) = worker_info(&node, worker) else {
            return;
        };
        let acting = members::may_act_for(&node, Key::Rack(&info.rack));
        let now = node.now();
        if !acting {
            node.owner.state.borrow_mut().note_former_owner(worker, now);
            actix_rt::time::sleep(ACT_CHECK).await;
            continue;
        }
        let plan = node.owner.state.borrow_mut().plan_poll(worker, now);
        let Some(plan) = plan else { return };
        let seq = plan.seq;
        match poll_once(&node, worker, &info, plan).await {
            Ok(reply) => {
                let report = report(reply);
                handle(
                    &node,
                    Event::Polled {
                        worker,
                        seq,
                        report,
                    },
                );
            }
            Err(error) => {
                let id = info.id;
                emit(catalogue::WORKER_FAULT, format_args!("worker={id} {error}"));
                let in_doubt = matches!(error, WorkerError::InDoubt(_));
                handle(
                    &node,
                    Event::PollFailed {
                        worker,
                        seq,
                        in_doubt,
                    },
                );
                actix_rt::time::sleep(POLL_RETRY).await;
            }
        }
    }
}

async fn poll_once(
    node: &Rc<Node>,
    worker: WorkerKey,
    info: &WorkerInfo,
    plan: PollPlan,
) -> Result<PollReply, WorkerError> {
    let timing = node.settings.timing;
    let quick = node.owner.state.borrow().wants_quick_poll(worker);
    let mut acknowledged = Vec::new();
    for kept in plan.acknowledged {
        acknowledged.push(TaskAttempt {
            task: kept.task,
            attempt: kept.attempt,
        });
    }
    let request = PollRequest {
        epoch: node.view.borrow().epoch,
        lease_ms: timing.lease_ms,
        wait_ms: if quick { 0 } else { timing.worker_poll_ms },
        renew: plan.renew,
        seen: plan.seen,
        acknowledged,
    };
    node.platform.poll(&info.id, &info.address, &request).await
}

fn report(reply: PollReply) -> Report {
    Report {
        version: reply.version,
        full: reply.full,
        running: reply.running.into_iter().map(reported).collect(),
        gone: reply.gone,
        finished: reply.finished.into_iter().map(ended).collect(),
    }
}

fn reported(running: RunningTask) -> Reported {
    Reported {
        task: running.task,
        attempt: running.attempt,
        team: TeamId::new(running.origin.team),
        name: running.origin.name,
        idempotent: running.origin.idempotent,
        urgent: running.origin.urgent,
        resources: running.granted,
    }
}

fn ended(finished: FinishedTask) -> Ended {
    Ended {
        task: finished.task,
        attempt: finished.attempt,
        team: TeamId::new(finished.origin.team),
        name: finished.origin.name,
        outcome: finished.outcome,
        ran_ms: finished.ran_ms,
    }
}

/// Tells the end of an attempt to its team's home until the home has kept it.
pub async fn report_end(node: Rc<Node>, ended: Ended) {
    let mut pause = REPORT_RETRY;
    while !node.owner.is_stopped() {
        let Ended { task, attempt, .. } = ended;
        let kept = home_ends::report_end(&node, &ended.team, task, attempt, &ended.outcome);
        if kept.await {
            handle(&node, Event::EndKept { task, attempt });
            return;
        }
        actix_rt::time::sleep(pause).await;
        pause = REPORT_RETRY_LIMIT.min(pause * 2);
    }
}
