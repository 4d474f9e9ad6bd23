//! The owner's part: grants on its workers, starts, lease renewal and ends of tasks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use smol_str::SmolStr;
use syc_config::WorkerDoc;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_place::Ledger;
use syc_place::WorkerInfo;
use syc_place::WorkerKey;
use syc_platform::WorkerError;
use syc_platform::WorkerPort;
use syc_platform::types::FinishedTask;
use syc_platform::types::PollRequest;
use syc_platform::types::StartTask;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskRef;
use syc_types::WorkerId;

use crate::home_ends;
use crate::members;
use crate::node::Node;

/// Pause after a worker that can't be polled.
const POLL_RETRY: Duration = Duration::from_millis(200);

/// What an owner keeps.
#[derive(Debug, Default)]
pub struct Owner {
    /// Grants on the owned workers.
    pub ledger: RefCell<Ledger>,
    /// The home's facts of each task that was started here.
    specs: RefCell<HashMap<JobId, JobSpec>>,
    polled: RefCell<HashSet<WorkerId>>,
    holds: RefCell<HashMap<(JobId, u32), Hold>>,
}

type Hold = (StartOrder, Vec<(TaskRef, WorkerKey)>);

/// Tasks to be started, all or none.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The job.
    pub job_id: JobId,
    /// Its declaration.
    pub spec: JobSpec,
    /// Its tasks to start.
    pub indexes: Vec<u32>,
    /// Which attempt this is.
    pub attempt: u32,
}

/// Takes over the owned part of an inventory's workers.
pub fn apply_workers(node: &Rc<Node>, workers: &[WorkerDoc]) {
    for worker in workers {
        let owned = {
            let view = node.view.borrow();
            let owner = view.rack_owner(&worker.rack);
            owner.is_some_and(|member| member.id == node.id)
        };
        if !owned {
            continue;
        }
        let key = node.owner.ledger.borrow_mut().upsert_worker(WorkerInfo {
            id: worker.id.clone(),
            address: worker.address.clone(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            capacity: worker.capacity,
        });
        if node.owner.polled.borrow_mut().insert(worker.id.clone()) {
            actix_rt::spawn(poll_worker(Rc::clone(node), key));
        }
    }
}

/// Takes over the racks that the new view gives to this daemon.
pub fn view_changed(node: &Rc<Node>) {
    apply_workers(node, &node.effective_inventory().workers);
}

/// Starts all tasks of an order, or none; returns the worker of each.
pub async fn start_tasks(node: &Rc<Node>, order: &StartOrder) -> Result<Vec<WorkerId>, SmolStr> {
    if !members::may_act(node) {
        return Err(SmolStr::new("not_acting"));
    }
    let keys = grant_all(node, order)?;
    start_granted(node, order, keys).await
}

/// Reserves room for all tasks of an order, or none; the reservation lapses after `hold_ms`.
pub fn hold_tasks(
    node: &Rc<Node>,
    order: &StartOrder,
    hold_ms: u64,
) -> Result<Vec<WorkerId>, SmolStr> {
    if !members::may_act(node) {
        return Err(SmolStr::new("not_acting"));
    }
    let keys = grant_all(node, order)?;
    let mut workers = Vec::new();
    for (_, key) in &keys {
        let ledger = node.owner.ledger.borrow();
        workers.extend(ledger.worker(*key).map(|info| info.id.clone()));
    }
    let hold = (order.job_id, order.attempt);
    let mut holds = node.owner.holds.borrow_mut();
    holds.insert(hold, (order.clone(), keys));
    let lapsing = Rc::clone(node);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(Duration::from_millis(hold_ms)).await;
        end_hold(&lapsing, hold.0, hold.1, false).await;
    });
    Ok(workers)
}

/// Starts the tasks of a reservation, or gives it up; returns whether there was one.
pub async fn end_hold(node: &Rc<Node>, job_id: JobId, attempt: u32, commit: bool) -> bool {
    let held = node.owner.holds.borrow_mut().remove(&(job_id, attempt));
    let Some((order, keys)) = held else {
        return false;
    };
    if commit {
        return start_granted(node, &order, keys).await.is_ok();
    }
    for (task, _) in keys {
        node.owner.ledger.borrow_mut().release(task);
    }
    true
}

async fn start_granted(
    node: &Rc<Node>,
    order: &StartOrder,
    keys: Vec<(TaskRef, WorkerKey)>,
) -> Result<Vec<WorkerId>, SmolStr> {
    node.owner
        .specs
        .borrow_mut()
        .insert(order.job_id, order.spec.clone());
    let starts = keys
        .iter()
        .map(|(task, key)| start_one(node, order, *task, *key));
    let outcomes = join_all(starts).await;
    let mut workers = Vec::new();
    let mut failure = None;
    for outcome in outcomes {
        match outcome {
            Ok(worker) => workers.push(worker),
            Err(reason) => failure = Some(reason),
        }
    }
    match failure {
        None => Ok(workers),
        Some(reason) => {
            stop_all(node, &keys).await;
            Err(reason)
        }
    }
}

fn grant_all(node: &Rc<Node>, order: &StartOrder) -> Result<Vec<(TaskRef, WorkerKey)>, SmolStr> {
    let mut ledger = node.owner.ledger.borrow_mut();
    let mut keys = Vec::new();
    for &index in &order.indexes {
        let task = TaskRef {
            job_id: order.job_id,
            index,
        };
        let granted = ledger.best_fit(&order.spec.resources).and_then(|key| {
            let granted = ledger.grant(task, key, order.spec.resources);
            granted.ok().map(|()| key)
        });
        let Some(key) = granted else {
            for (task, _) in keys {
                ledger.release(task);
            }
            return Err(SmolStr::new("no_room"));
        };
        keys.push((task, key));
    }
    Ok(keys)
}

async fn start_one(
    node: &Rc<Node>,
    order: &StartOrder,
    task: TaskRef,
    key: WorkerKey,
) -> Result<WorkerId, SmolStr> {
    let info = node.owner.ledger.borrow().worker(key).cloned();
    let info = info.ok_or_else(|| SmolStr::new("no_worker"))?;
    let start = StartTask {
        task,
        attempt: order.attempt,
        epoch: node.view.borrow().epoch,
        lease_ms: node.settings.timing.lease_ms,
        resources: order.spec.resources,
        run_time_ms: order.spec.run_time_ms,
        payload: order.spec.payload.clone(),
    };
    let started = node.platform.start(&info.id, &info.address, &start).await;
    match started {
        // In doubt: it may run; the next poll tells, and the grant stays until then.
        Ok(()) | Err(WorkerError::InDoubt(_)) => Ok(info.id),
        Err(error) => {
            let id = info.id;
            emit(catalogue::WORKER_FAULT, format_args!("worker={id} {error}"));
            node.owner.ledger.borrow_mut().release(task);
            Err(SmolStr::new("worker_refused"))
        }
    }
}

async fn stop_all(node: &Rc<Node>, keys: &[(TaskRef, WorkerKey)]) {
    for (task, key) in keys {
        let info = node.owner.ledger.borrow().worker(*key).cloned();
        let Some(info) = info else { continue };
        let command = syc_platform::types::TaskCommand {
            task: *task,
            epoch: node.view.borrow().epoch,
            action: syc_platform::types::TaskAction::Stop,
        };
        let stopped = node
            .platform
            .command(&info.id, &info.address, &command)
            .await;
        if stopped.is_ok() {
            node.owner.ledger.borrow_mut().release(*task);
        }
    }
}

async fn poll_worker(node: Rc<Node>, key: WorkerKey) {
    let mut acknowledged = Vec::new();
    loop {
        let info = node.owner.ledger.borrow().worker(key).cloned();
        let Some(info) = info else { return };
        let request = PollRequest {
            epoch: node.view.borrow().epoch,
            lease_ms: node.settings.timing.lease_ms,
            wait_ms: node.settings.timing.worker_poll_ms,
            acknowledged: acknowledged.clone(),
        };
        match node.platform.poll(&info.id, &info.address, &request).await {
            Ok(reply) => {
                acknowledged.clear();
                let ends = reply.finished.iter().map(|end| report_end(&node, end));
                let safe = join_all(ends).await;
                acknowledged.extend(safe.into_iter().flatten());
            }
            Err(error) => {
                let id = info.id;
                emit(catalogue::WORKER_FAULT, format_args!("worker={id} {error}"));
                actix_rt::time::sleep(POLL_RETRY).await;
            }
        }
    }
}

async fn report_end(node: &Rc<Node>, end: &FinishedTask) -> Option<TaskRef> {
    let spec = node.owner.specs.borrow().get(&end.task.job_id).cloned();
    let team = spec.map(|spec| spec.team)?;
    // The capacity is free as soon as the task has ended, whatever becomes of its result.
    node.owner.ledger.borrow_mut().release(end.task);
    let kept = home_ends::report_end(node, &team, end.task, end.attempt, &end.outcome).await;
    kept.then_some(end.task)
}
