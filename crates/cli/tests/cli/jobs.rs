//! Submitting jobs and reading their results.

use serde_json::Value;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::file;

fn job(name: &str, cpu_millis: u32) -> String {
    let value = serde_json::json!({
        "team": "freight",
        "name": "manifest",
        "tasks": 2,
        "resources": {"cpu_millis": cpu_millis, "memory_bytes": 1_000},
        "run_time_ms": 20,
        "payload": "p",
    });
    file(name, &value.to_string())
}

#[actix_rt::test]
async fn a_job_is_submitted_waited_for_and_shown() {
    let bed = Bed::start(2).await;
    bed.configure("jobs.json").await;
    let run = bed
        .operate(&["submit", &job("j1.json", 500), "--wait"])
        .await;
    assert_eq!(run.code, 0, "{}{}", run.stdout, run.stderr);
    let done = run.stdout.lines().filter(|line| line.contains("done"));
    assert_eq!(done.count(), 2, "{}", run.stdout);
    let run = bed.operate(&["submit", &job("j2.json", 500)]).await;
    let id = run.stdout.trim().to_owned();
    let run = bed.operate(&["result", &id, "--wait", "--json"]).await;
    let state: Value = serde_json::from_str(&run.stdout).expect("JSON");
    assert_eq!(
        (run.code, &state["tasks"][1]["ended"]["done"]),
        (0, &"result:p".into())
    );
}

#[actix_rt::test]
async fn a_job_that_fits_nowhere_is_explained() {
    let bed = Bed::start(1).await;
    bed.configure("explain.json").await;
    let run = bed.operate(&["submit", &job("j3.json", 900_000)]).await;
    assert_eq!(run.code, 0, "{}", run.stderr);
    let id = run.stdout.trim().to_owned();
    let run = bed.operate(&["explain", &id]).await;
    assert!(run.stdout.contains("home entry-0"), "{}", run.stdout);
    assert!(run.stdout.contains("fits on no worker"), "{}", run.stdout);
    let run = bed
        .operate(&["result", &id, "--wait", "--timeout", "0"])
        .await;
    assert_eq!(run.code, 4, "{}", run.stderr);
    assert!(run.stderr.contains("syc explain"), "{}", run.stderr);
}

#[actix_rt::test]
async fn a_job_that_nobody_knows_ends_with_1() {
    let bed = Bed::start(1).await;
    let id = Uuid::now_v7().to_string();
    let run = bed.operate(&["result", &id]).await;
    assert_eq!(run.code, 1, "{}", run.stderr);
}

#[actix_rt::test]
async fn a_cancelled_job_ends_with_1_and_says_so() {
    let bed = Bed::start(2).await;
    bed.configure("cancel.json").await;
    let run = bed.operate(&["submit", &job("j4.json", 900_000)]).await;
    let id = run.stdout.trim().to_owned();
    let run = bed.operate(&["cancel", &id]).await;
    assert_eq!(
        (run.code, run.stdout),
        (0, format!("cancelled {id}\n")),
        "{}",
        run.stderr
    );
    let run = bed.operate(&["result", &id, "--wait"]).await;
    assert_eq!(run.code, 1, "{}", run.stderr);
    assert_eq!(run.stdout.matches("cancelled").count(), 2, "{}", run.stdout);
}
