//! The operators' address: who may change something, the audit trail, metrics and status.

use serde_json::Value;
use serde_json::json;
use syc_config::CapacityRule;
use syc_config::Document;
use syc_config::Rules;
use syc_config::Team;
use syc_types::Resources;
use syc_types::TeamId;
use syc_types::WorkerId;
use test_case::test_case;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::BedOptions;
use crate::bed::TOKEN;

fn team(weight: u32) -> Document {
    Document::Team(Team {
        name: TeamId::new("freight"),
        weight,
        ..Team::default()
    })
}

async fn post(bed: &Bed, url: String, token: Option<&str>, body: &Value) -> (u16, Value) {
    let mut request = bed.client.post(url);
    if let Some(token) = token {
        request = request.insert_header((syc_api::TOKEN_HEADER, token));
    }
    let mut answer = request.send_json(body).await.expect("answer");
    let body = answer.json().await.unwrap_or(Value::Null);
    (answer.status().as_u16(), body)
}

#[test_case(None; "none")]
#[test_case(Some(""); "an empty one")]
#[test_case(Some("bee"); "a shorter one")]
#[test_case(Some("bedd"); "a longer one")]
#[actix_rt::test]
async fn without_the_token_nothing_changes(token: Option<&str>) {
    let bed = Bed::start(BedOptions::default()).await;
    for path in ["/v1/config", "/v1/drain"] {
        let body = json!({"actor": "x"});
        let (status, answer) = post(&bed, bed.control_url(0, path), token, &body).await;
        assert_eq!(status, 403, "{answer}");
        assert_eq!(answer["outcome"], "not_run");
    }
    let status = bed.get_json(bed.control_url(0, "/v1/status")).await;
    assert_eq!(status["draining"], false);
}

#[test_case("/v1/config")]
#[test_case("/v1/drain")]
#[actix_rt::test]
async fn callers_port_offers_no_operator_action(path: &str) {
    let bed = Bed::start(BedOptions::default()).await;
    let body = json!({"actor": "x"});
    let (status, _) = post(&bed, bed.callers_url(0, path), Some(TOKEN), &body).await;
    assert_eq!(status, 404);
    let read = bed.client.get(bed.callers_url(0, "/v1/audit")).send().await;
    assert_eq!(read.expect("answer").status(), 404);
}

#[actix_rt::test]
async fn a_document_with_findings_is_refused_with_all_of_them() {
    let bed = Bed::start(BedOptions::default()).await;
    let body = json!({
        "id": Uuid::now_v7(),
        "author": "bed",
        "base": 0,
        "document": {"kind": "team", "name": "", "weihgt": 3},
    });
    let url = bed.control_url(0, "/v1/config");
    let (status, answer) = post(&bed, url, Some(TOKEN), &body).await;
    assert_eq!(
        (status, &answer["code"]),
        (400, &json!("document_malformed"))
    );
    let message = answer["message"].as_str().expect("message");
    assert_eq!(message.lines().count(), 2, "{message}");
}

#[actix_rt::test]
async fn the_trail_says_who_changed_what_on_every_member() {
    let options = BedOptions {
        daemons: 3,
        ..BedOptions::default()
    };
    let bed = Bed::start(options).await;
    let appends = bed.get_json(bed.control_url(0, "/v1/status")).await["appends"].clone();
    bed.publish(0, 0, team(1)).await;
    bed.publish(0, 0, team(2)).await;
    let after = bed.get_json(bed.control_url(0, "/v1/status")).await["appends"].clone();
    // The trail costs no append of its own.
    assert_eq!(after.as_u64(), appends.as_u64().map(|count| count + 2));
    bed.await_config(2, 2).await;
    let path = "/v1/history?scope=team/freight";
    let mut history = Value::Null;
    for _ in 0..500 {
        history = bed.get_json(bed.control_url(2, path)).await;
        if history.as_array().is_some_and(|all| all.len() == 2) {
            break;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert_eq!(history[0]["accepted"], false);
    assert_eq!(history[0]["reason"], "revision 1 was in force, not 0");
    assert_eq!(history[1]["actor"], "bed");
    assert_eq!(
        (&history[1]["from"], &history[1]["to"]),
        (&json!(0), &json!(1))
    );
    let audit = bed.get_json(bed.control_url(0, "/v1/audit")).await;
    assert_eq!(audit.as_array().map(Vec::len), Some(3));
}

#[actix_rt::test]
async fn an_asked_drain_is_audited_and_wakes_the_process() {
    let options = BedOptions {
        daemons: 2,
        ..BedOptions::default()
    };
    let mut bed = Bed::start(options).await;
    let body = json!({"actor": "ana"});
    let url = bed.control_url(0, "/v1/drain");
    let (status, answer) = post(&bed, url, Some(TOKEN), &body).await;
    assert_eq!(status, 202);
    assert_eq!(answer["audited"], true);
    let daemon = bed.daemons[0].take().expect("daemon");
    daemon.drain_asked().await;
    daemon.stop().await;
    for _ in 0..500 {
        let audit = bed.get_json(bed.control_url(1, "/v1/audit")).await;
        if audit[0]["action"] == "drain" {
            assert_eq!(audit[0]["actor"], "ana");
            return;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("the drain is not in the trail");
}

#[actix_rt::test]
async fn the_page_of_metrics_shows_waiting_packing_and_cost() {
    let bed = Bed::start(BedOptions::default()).await;
    let request = bed.client.post(bed.callers_url(0, "/svc/intake/check"));
    let answer = request.send_body("pack").await.expect("answer");
    assert_eq!(answer.status(), 200);
    let id = Uuid::now_v7();
    let job = json!({
        "job_id": id,
        "spec": {
            "team": "freight",
            "class": "urgent",
            "resources": {"cpu_millis": 1_000, "memory_bytes": 1_000},
            "run_time_ms": 1,
        },
    });
    let (status, _) = post(&bed, bed.callers_url(0, "/v1/jobs"), None, &job).await;
    assert_eq!(status, 202);
    bed.await_job(0, id).await;
    let mut answer = bed
        .client
        .get(bed.control_url(0, "/metrics"))
        .send()
        .await
        .expect("answer");
    let page = answer.body().await.expect("body");
    let page = String::from_utf8_lossy(&page);
    for part in [
        "syc_request_waiting_time_seconds_count{class=\"normal\"",
        "syc_task_waiting_time_seconds_count{class=\"urgent\"",
        "syc_granted_ratio{",
        "syc_control_transferred_bytes_total{",
        "syc_log_appends_total{",
    ] {
        assert!(page.contains(part), "no {part} in {page}");
    }
}

#[actix_rt::test]
async fn rules_lower_the_capacity_that_is_granted() {
    let options = BedOptions {
        workers: 1,
        ..BedOptions::default()
    };
    let bed = Bed::start(options).await;
    let rules = Document::Rules(Rules {
        name: "half".into(),
        capacities: vec![CapacityRule {
            worker: WorkerId::new("worker-0"),
            capacity: Resources {
                cpu_millis: 2_000,
                memory_bytes: 1 << 30,
                accelerators: 0,
            },
        }],
        ..Rules::default()
    });
    let (status, text) = bed.publish(0, 0, rules).await;
    assert_eq!(status, 200, "{text}");
    let id = Uuid::now_v7();
    let body = json!({
        "job_id": id,
        "spec": {
            "team": "freight",
            "name": "too-large",
            "resources": {"cpu_millis": 3_000, "memory_bytes": 1_000},
        },
    });
    let (status, _) = post(&bed, bed.callers_url(0, "/v1/jobs"), None, &body).await;
    assert_eq!(status, 202);
    let url = bed.control_url(0, &format!("/v1/jobs/{id}/explain"));
    let explained = bed.get_json(url).await;
    assert!(
        explained["home"]
            .as_str()
            .is_some_and(|id| id.starts_with("entry-0"))
    );
    assert_eq!(explained["reasons"].as_array().map(Vec::len), Some(1));
    let status = bed.get_json(bed.control_url(0, "/v1/status")).await;
    assert_eq!(status["waiting_jobs"][0]["job_id"], json!(id));
    assert_eq!(status["racks"][0]["owner"], explained["home"]);
}
