//! Carrying out what the home decides.

use std::rc::Rc;
use std::time::Duration;

use syc_coord::home::Action;
use syc_coord::home::KnownTask;
use syc_coord::home::OwnerRoom;
use syc_coord::home::Stop;
use syc_coord::home::Told;
use syc_member::Key;
use syc_types::MemberId;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_wire::Body;
use syc_wire::RunningTasksQuery;
use syc_wire::StopTasks;

use crate::home;
use crate::home_ends;
use crate::home_place;
use crate::members;
use crate::node::Node;
use crate::peers;

/// Longest time between two looks at what is due.
const LOOK: Duration = Duration::from_secs(1);

/// Time that an owner has to say what runs, or to take a stop.
const OWNER_TIMEOUT_MS: u64 = 2_000;

/// Decides and acts until the arbiter ends.
pub async fn run(node: Rc<Node>) {
    home::view_changed(&node);
    loop {
        if node.caught_up.get() {
            act(&node);
        }
        let now = node.now();
        let next = node.home.borrow().next_at();
        let wait = next.map_or(LOOK, |at| Duration::from_millis(at.since(now)).min(LOOK));
        // Several events of one moment are decided on together.
        tokio::task::yield_now().await;
        let _woken = tokio::time::timeout(wait, node.jobs_wake.notified()).await;
    }
}

fn act(node: &Rc<Node>) {
    let rooms = rooms(node);
    let log_up = node.log_writer.available();
    let actions = {
        let jobs = node.jobs.borrow();
        let mut home = node.home.borrow_mut();
        let acting = |team: &TeamId| members::may_act_for(node, Key::Team(team));
        home.actions(acting, &jobs, &rooms, log_up, node.now())
    };
    for action in actions {
        let node = Rc::clone(node);
        match action {
            Action::Place(placement) => {
                actix_rt::spawn(home_place::run(node, placement));
            }
            Action::Ask { team, owner, round } => {
                actix_rt::spawn(ask(node, team, owner, round));
            }
            Action::Stop(stop) => {
                actix_rt::spawn(send_stop(node, stop));
            }
            Action::RecordEnd { task, outcome } => {
                actix_rt::spawn(record_end(node, task, outcome));
            }
        }
    }
}

/// Returns what the owners last said they have to give.
fn rooms(node: &Rc<Node>) -> Vec<OwnerRoom> {
    let loads = members::loads(node).into_iter();
    let rooms = loads.map(|(owner, load)| OwnerRoom {
        owner,
        free: Resources {
            cpu_millis: load.free_cpu_millis,
            memory_bytes: load.free_memory_bytes,
            accelerators: u32::try_from(load.free_accelerators).unwrap_or(u32::MAX),
        },
        queued_tasks: load.queued_tasks,
    });
    rooms.collect()
}

async fn ask(node: Rc<Node>, team: TeamId, owner: MemberId, round: u64) {
    let body = Body::RunningTasksQuery(RunningTasksQuery {
        team: team.to_string(),
    });
    let reply = peers::call(&node, &owner, body, OWNER_TIMEOUT_MS).await;
    let mut told = Told {
        round,
        owner,
        settled: false,
        known: Vec::new(),
    };
    if let Ok(Body::RunningTasks(running)) = reply {
        told.settled = running.settled;
        for task in running.tasks {
            let Ok(job_id) = syc_wire::job::decode_job_id(&task.job_id) else {
                told.settled = false;
                continue;
            };
            told.known.push(KnownTask {
                task: TaskRef {
                    job_id,
                    index: task.index,
                },
                attempt: task.attempt,
                worker: WorkerId::new(task.worker),
            });
        }
    }
    let jobs = node.jobs.borrow();
    let mut home = node.home.borrow_mut();
    home.told(&team, &told, &jobs, node.now());
    node.jobs_wake.notify_one();
}

async fn send_stop(node: Rc<Node>, stop: Stop) {
    let body = Body::StopTasks(StopTasks {
        job_id: stop.job_id.0.as_bytes().to_vec(),
        indexes: stop.indexes.clone(),
    });
    let reply = peers::call(&node, &stop.owner, body, OWNER_TIMEOUT_MS).await;
    let reached = matches!(reply, Ok(Body::Ack(ack)) if ack.accepted);
    let mut home = node.home.borrow_mut();
    home.stop_sent(&stop, reached, node.now());
    node.jobs_wake.notify_one();
}

// Nobody reports this end again, so it is tried until it is in the log or another is the home.
async fn record_end(node: Rc<Node>, task: TaskRef, outcome: TaskOutcome) {
    loop {
        let team = {
            let jobs = node.jobs.borrow();
            jobs.get(task.job_id).map(|job| job.spec.team.clone())
        };
        let here = team.is_some_and(|team| home::is_home(&node, &team));
        if !here || home_ends::append_end(&node, task, &outcome).await {
            return;
        }
        actix_rt::time::sleep(LOOK).await;
    }
}
