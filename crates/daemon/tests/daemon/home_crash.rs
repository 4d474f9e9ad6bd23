//! Daemons that end at once while jobs run.

use std::collections::BTreeSet;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use syc_config::Limits;
use syc_config::Settings;
use syc_config::Timing;
use syc_coord::records::Content;
use syc_coord::records::Group;
use syc_standin::LogFaults;
use syc_standin::WorkerStandIn;
use syc_types::JobId;
use syc_types::TaskRef;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::TOKEN;
use crate::cluster::Cluster;
use crate::cluster::DAEMONS;

/// Workers of every test here.
const WORKERS: usize = 2;

fn settings(bed: &Bed, number: usize) -> Settings {
    Settings {
        timing: Timing {
            log_poll_ms: 50,
            vm_poll_ms: 100,
            worker_poll_ms: 500,
            lease_ms: 3_000,
            heartbeat_ms: 100,
            authority_ms: 1_000,
            suspect_ms: 1_100,
            ..Timing::default()
        },
        limits: Limits {
            appends_per_s: 300,
            ..Limits::default()
        },
        control_token: TOKEN.into(),
        ..bed.cell.settings(number)
    }
}

fn job(id: Uuid, team: &str, run_time_ms: u64, idempotent: bool) -> Value {
    json!({
        "job_id": id,
        "spec": {
            "team": team,
            "tasks": 4,
            "resources": {"cpu_millis": 1_000, "memory_bytes": 1_000},
            "run_time_ms": run_time_ms,
            "idempotent": idempotent,
            "payload": "p",
        },
    })
}

// What is kept for urgent tasks would leave one or two of eight without room.
async fn keep_no_headroom(bed: &Bed) {
    bed.keep_no_headroom().await;
    for number in 0..DAEMONS {
        bed.await_config(number, 2).await;
    }
}

fn keep_tasks(bed: &Bed, keeping: bool) {
    for worker in &bed.workers {
        worker.set_keeping(keeping);
    }
}

fn running_tasks(bed: &Bed) -> usize {
    bed.workers.iter().map(WorkerStandIn::running).sum()
}

// The tasks that have an intent in the log, and those whose end is there.
fn logged_tasks(bed: &Bed) -> (BTreeSet<TaskRef>, BTreeSet<TaskRef>) {
    let mut intents = BTreeSet::new();
    let mut ends = BTreeSet::new();
    for entry in bed.log.entries() {
        let data = STANDARD.decode(&entry.data).expect("base64");
        let group: Group = serde_json::from_slice(&data).expect("records");
        for record in group.records {
            match record.content {
                Content::Intent { task } => intents.insert(task),
                Content::TaskEnded { task, .. } => ends.insert(task),
                _ => false,
            };
        }
    }
    (intents, ends)
}

fn tasks_of(id: Uuid) -> BTreeSet<TaskRef> {
    let job_id = JobId(id);
    let tasks = (0..4).map(|index| TaskRef { job_id, index });
    tasks.collect()
}

#[actix_rt::test]
async fn all_daemons_that_die_at_once_lose_and_double_nothing() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    keep_no_headroom(&cluster.bed).await;
    keep_tasks(&cluster.bed, true);
    let ids = [Uuid::now_v7(), Uuid::now_v7(), Uuid::now_v7()];
    // The first two jobs fill both workers until the test lets them end; the third waits without
    // an intent.
    for (number, idempotent) in [(0, true), (1, false)] {
        let team = format!("team-{number}");
        let body = job(ids[number], &team, 2_500, idempotent);
        cluster.bed.submit_until_accepted(number, &body).await;
    }
    let full = |bed: &Bed| bed.tasks.all().len() == 8;
    cluster.bed.until("eight starts", full).await;
    let body = job(ids[2], "team-2", 20, false);
    cluster.bed.submit_until_accepted(2, &body).await;
    cluster.kill_all();
    assert_eq!(cluster.bed.tasks.all().len(), 8, "it was to wait");
    assert_eq!(
        running_tasks(&cluster.bed),
        8,
        "the workers were to be full"
    );
    cluster.restart_all();
    for number in 0..DAEMONS {
        cluster.bed.await_ready(number).await;
    }
    // The log has now taken what was on its way when the daemons died.
    assert_eq!(running_tasks(&cluster.bed), 8, "they were to stay full");
    let (intents, ends) = logged_tasks(&cluster.bed);
    assert_eq!(intents, tasks_of(ids[1]), "it was to wait without one");
    assert!(ends.is_empty(), "nothing was to end: {ends:?}");
    keep_tasks(&cluster.bed, false);
    for id in ids {
        let state = cluster.bed.await_job(0, id).await;
        for task in state["tasks"].as_array().expect("tasks") {
            assert_eq!(task["ended"]["done"], "result:p", "{state}");
        }
    }
    let all = cluster.bed.tasks.all();
    assert_eq!(all.len(), 12, "a task was lost");
    for (task, counts) in all {
        assert_eq!(counts.begun, 1, "a task ran twice: {task:?}");
    }
}

#[actix_rt::test]
async fn daemons_that_die_in_an_outage_of_the_log_start_nothing_before_it_returns() {
    let mut cluster = Cluster::start(WORKERS, settings).await;
    let id = Uuid::now_v7();
    let body = job(id, "team-1", 1_000, false);
    cluster.bed.submit_until_accepted(0, &body).await;
    let started = |bed: &Bed| bed.tasks.all().len() == 4;
    cluster.bed.until("four starts", started).await;
    cluster.bed.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    cluster.kill_all();
    let refused = cluster.bed.log.refused();
    cluster.restart_all();
    let read = |bed: &Bed| bed.log.refused() >= refused + 9;
    cluster.bed.until("some reads", read).await;
    cluster.bed.log.set_faults(LogFaults::default());
    let state = cluster.bed.await_job(0, id).await;
    assert_eq!(state["tasks"].as_array().map(Vec::len), Some(4));
    let all = cluster.bed.tasks.all();
    assert_eq!(all.len(), 4, "a task was lost: {state}");
    for (task, counts) in all {
        assert_eq!(counts.begun, 1, "a task ran twice: {task:?}");
    }
}
