//! The whole path: a request, a job, configuration, and a planned stop.

use std::time::Duration;

use syc_config::Document;
use syc_config::Team;
use syc_standin::EndpointOptions;
use syc_types::TeamId;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::BedOptions;

#[actix_rt::test]
async fn a_request_gets_its_whole_answer() {
    let bed = Bed::start(BedOptions::default()).await;
    let id = Uuid::now_v7();
    let request = bed.client.post(bed.callers_url(0, "/svc/intake/check"));
    let request = request.insert_header(("x-request-id", id.to_string()));
    let mut answer = request.send_body("pack").await.expect("answer");
    assert_eq!(answer.status(), 200);
    let body = answer.body().await.expect("body");
    assert_eq!(body, format!("{id}:pack"));
}

#[actix_rt::test]
async fn a_repeated_non_idempotent_request_runs_once_through_any_daemon() {
    let options = BedOptions {
        daemons: 3,
        ..BedOptions::default()
    };
    let bed = Bed::start(options).await;
    let id = Uuid::now_v7();
    for daemon in [0, 1, 2, 0] {
        let request = bed.client.post(bed.callers_url(daemon, "/svc/intake/bill"));
        let request = request
            .insert_header(("x-request-id", id.to_string()))
            .insert_header(("x-idempotent", "false"));
        let mut answer = request.send_body("once").await.expect("answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.body().await.expect("body"), format!("{id}:once"));
    }
    assert_eq!(bed.requests.of(&id.to_string()).begun, 1);
}

#[actix_rt::test]
async fn a_job_is_accepted_runs_and_leaves_its_results() {
    let options = BedOptions {
        daemons: 3,
        ..BedOptions::default()
    };
    let bed = Bed::start(options).await;
    let id = Uuid::now_v7();
    let body = serde_json::json!({
        "job_id": id,
        "spec": {
            "team": "freight",
            "name": "manifest",
            "tasks": 3,
            "resources": {"cpu_millis": 1_000, "memory_bytes": 1_000},
            "run_time_ms": 20,
            "payload": "p",
        },
    });
    let request = bed.client.post(bed.callers_url(1, "/v1/jobs"));
    let answer = request.send_json(&body).await.expect("answer");
    assert_eq!(answer.status(), 202);
    let state = bed.await_job(2, id).await;
    for task in state["tasks"].as_array().expect("tasks") {
        assert_eq!(task["ended"]["done"], "result:p");
    }
}

#[actix_rt::test]
async fn of_two_racing_publications_one_is_accepted() {
    let bed = Bed::start(BedOptions::default()).await;
    let team = |weight| {
        Document::Team(Team {
            name: TeamId::new("freight"),
            weight,
            ..Team::default()
        })
    };
    let (first, _) = bed.publish(0, 0, team(1)).await;
    let (second, text) = bed.publish(0, 0, team(2)).await;
    assert_eq!((first, second), (200, 409), "{text}");
    let (third, _) = bed.publish(0, 1, team(2)).await;
    assert_eq!(third, 200);
}

#[actix_rt::test]
async fn a_planned_stop_cuts_no_request() {
    let options = BedOptions {
        endpoint: EndpointOptions {
            work_ms: 300,
            ..EndpointOptions::default()
        },
        ..BedOptions::default()
    };
    let mut bed = Bed::start(options).await;
    let request = bed.client.post(bed.callers_url(0, "/svc/intake/slow"));
    let sent = actix_rt::spawn(request.send_body("x"));
    while bed.requests.all().is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let daemon = bed.daemons[0].take().expect("daemon");
    daemon.stop().await;
    let answer = sent.await.expect("task").expect("answer");
    assert_eq!(answer.status(), 200);
}
