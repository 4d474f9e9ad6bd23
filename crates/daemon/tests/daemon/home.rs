//! The home: cancelling, quotas and gangs through a whole daemon.

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use syc_config::Document;
use syc_config::Limits;
use syc_config::Team;
use syc_types::Resources;
use syc_types::TeamId;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::BedOptions;

fn options() -> BedOptions {
    BedOptions {
        daemons: 3,
        limits: Limits {
            appends_per_s: 100,
            ..Limits::default()
        },
        ..BedOptions::default()
    }
}

#[actix_rt::test]
async fn a_cancelled_job_ends_through_any_daemon_while_others_go_on() {
    let bed = Bed::start(options()).await;
    let never = Uuid::now_v7();
    let body = json!({
        "job_id": never,
        "spec": {
            "team": "freight",
            "tasks": 1_000,
            "resources": {"cpu_millis": 900_000, "memory_bytes": 1},
        },
    });
    let (status, text) = bed.submit(0, &body).await;
    assert_eq!(status, 202, "{text}");
    let other = Uuid::now_v7();
    let body = json!({
        "job_id": other,
        "spec": {
            "team": "liaison",
            "resources": {"cpu_millis": 1_000, "memory_bytes": 1},
            "run_time_ms": 10,
        },
    });
    bed.submit(1, &body).await;
    bed.await_job(1, other).await;
    let url = bed.callers_url(2, &format!("/v1/jobs/{never}/cancel"));
    let answer = bed.client.post(url).send().await.expect("answer");
    assert_eq!(answer.status(), 200);
    let state = bed.await_job(1, never).await;
    assert_eq!(state["tasks"][999]["ended"], "cancelled");
    let url = bed.callers_url(2, &format!("/v1/jobs/{}/cancel", Uuid::now_v7()));
    let answer = bed.client.post(url).send().await.expect("answer");
    assert_eq!(answer.status(), 404);
}

#[actix_rt::test]
async fn a_quota_holds_at_the_home_whatever_daemon_is_asked() {
    let bed = Bed::start(options()).await;
    let quota = Document::Team(Team {
        name: TeamId::new("freight"),
        weight: 1,
        quota: Some(Resources {
            cpu_millis: 2_000,
            memory_bytes: 1 << 30,
            accelerators: 0,
        }),
        ..Team::default()
    });
    let (status, text) = bed.publish(0, 0, quota).await;
    assert_eq!(status, 200, "{text}");
    for daemon in 0..3 {
        bed.await_config(daemon, 2).await;
    }
    let mut ids = Vec::new();
    for daemon in 0..3 {
        let id = Uuid::now_v7();
        let body = json!({
            "job_id": id,
            "spec": {
                "team": "freight",
                "tasks": 3,
                "resources": {"cpu_millis": 1_000, "memory_bytes": 1_000},
                "run_time_ms": 50,
            },
        });
        let (status, text) = bed.submit(daemon, &body).await;
        assert_eq!(status, 202, "{text}");
        ids.push(id);
    }
    for id in ids {
        bed.await_job(0, id).await;
    }
    let mut peak_cpu_millis = 0;
    for worker in &bed.workers {
        peak_cpu_millis += worker.counts().peak_granted.cpu_millis;
    }
    // Both workers' peaks may be of different moments; each alone keeps to the quota.
    assert!(peak_cpu_millis <= 2 * 2_000, "{peak_cpu_millis}");
    assert_eq!(bed.tasks.all().len(), 9);
}

#[actix_rt::test]
async fn a_gang_starts_whole_or_not_at_all() {
    let bed = Bed::start(options()).await;
    let id = Uuid::now_v7();
    let body = json!({
        "job_id": id,
        "spec": {
            "team": "freight",
            "kind": "gang",
            "tasks": 4,
            "idempotent": false,
            "resources": {"cpu_millis": 1_000, "memory_bytes": 1_000},
            "run_time_ms": 20,
        },
    });
    let (status, text) = bed.submit(0, &body).await;
    assert_eq!(status, 202, "{text}");
    bed.await_job(0, id).await;
    assert_eq!(bed.tasks.all().len(), 4);
}

fn long_job(id: Uuid, team: &str, tasks: u32, run_time_ms: u64, idempotent: bool) -> Value {
    json!({
        "job_id": id,
        "spec": {
            "team": team,
            "tasks": tasks,
            "resources": {"cpu_millis": 1_000, "memory_bytes": 1_000},
            "run_time_ms": run_time_ms,
            "idempotent": idempotent,
            "payload": "p",
        },
    })
}

#[actix_rt::test]
async fn all_daemons_restarted_at_once_lose_and_double_nothing() {
    let mut bed = Bed::start(options()).await;
    let ids = [Uuid::now_v7(), Uuid::now_v7(), Uuid::now_v7()];
    // The first two jobs fill both workers; the third waits without an intent.
    bed.submit_until_accepted(0, &long_job(ids[0], "freight", 4, 1_500, true))
        .await;
    bed.submit_until_accepted(1, &long_job(ids[1], "liaison", 4, 1_500, false))
        .await;
    bed.until("eight starts", |bed| bed.tasks.all().len() == 8)
        .await;
    bed.submit_until_accepted(2, &long_job(ids[2], "counters", 4, 20, false))
        .await;
    let mut stops = Vec::new();
    for daemon in &mut bed.daemons {
        stops.push(daemon.take().expect("daemon").stop());
    }
    join_all(stops).await;
    for daemon in 0..3 {
        bed.restart(daemon).await;
    }
    for id in ids {
        let state = bed.await_job(0, id).await;
        for task in state["tasks"].as_array().expect("tasks") {
            assert_eq!(task["ended"]["done"], "result:p", "{state}");
        }
    }
    assert_eq!(bed.tasks.all().len(), 12, "a task ran twice");
}

#[actix_rt::test]
async fn cancelling_a_job_stops_what_runs_and_frees_its_room() {
    let bed = Bed::start(options()).await;
    let id = Uuid::now_v7();
    // Both workers are full for a minute, but for what the owners keep for urgent work.
    bed.submit_until_accepted(0, &long_job(id, "freight", 8, 60_000, true))
        .await;
    bed.until("six starts", |bed| bed.tasks.all().len() >= 6)
        .await;
    let other = Uuid::now_v7();
    let mut gang = long_job(other, "liaison", 6, 20, false);
    gang["spec"]["kind"] = json!("gang");
    bed.submit_until_accepted(1, &gang).await;
    let url = bed.callers_url(2, &format!("/v1/jobs/{id}/cancel"));
    let answer = bed.client.post(url).send().await.expect("answer");
    assert_eq!(answer.status(), 200);
    let state = bed.await_job(1, other).await;
    assert_eq!(state["tasks"][5]["ended"]["done"], "result:p");
    let state = bed.await_job(0, id).await;
    assert_eq!(state["tasks"][7]["ended"], "cancelled");
}
