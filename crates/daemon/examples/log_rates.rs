//! Appends a second and records of an append at several rates of submits, over three daemons:
//! `cargo run --release -p syc-daemon --example log_rates`.

#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../tests/daemon/bed.rs"]
mod bed;

use std::time::Duration;
use std::time::Instant;

use bed::Bed;
use bed::BedOptions;
use serde_json::json;
use uuid::Uuid;

const DAEMONS: usize = 3;
const SECONDS: u64 = 6;
const TEAMS: u64 = 21;

#[actix_rt::main]
async fn main() {
    println!("submits/s  accepted  appends/s  records/append  records/s");
    for rate in [1, 10, 50, 200] {
        measure(rate).await;
    }
}

async fn measure(rate: u64) {
    let bed = Bed::start(BedOptions {
        daemons: DAEMONS,
        workers: 8,
        ..BedOptions::default()
    })
    .await;
    let before = totals(&bed).await;
    let began = Instant::now();
    let mut sent = Vec::new();
    for number in 0..rate * SECONDS {
        let due = Duration::from_micros(number * 1_000_000 / rate);
        actix_rt::time::sleep(due.saturating_sub(began.elapsed())).await;
        let body = json!({
            "job_id": Uuid::now_v7(),
            "spec": {
                "team": format!("team-{}", number % TEAMS),
                "resources": {"cpu_millis": 50, "memory_bytes": 1_000},
                "run_time_ms": 20,
                "idempotent": number % 2 == 0,
            },
        });
        let daemon = usize::try_from(number).unwrap_or(0) % DAEMONS;
        let url = bed.callers_url(daemon, "/v1/jobs");
        let request = bed.client.post(url).timeout(Duration::from_secs(20));
        sent.push(actix_rt::spawn(request.send_json(&body)));
    }
    let mut accepted = 0;
    for answer in sent {
        let answer = answer.await.expect("task");
        accepted += u64::from(answer.is_ok_and(|answer| answer.status() == 202));
    }
    let elapsed_s = began.elapsed().as_secs_f64();
    let after = totals(&bed).await;
    let appends = after.0 - before.0;
    let records = after.1 - before.1;
    println!(
        "{rate:>9}  {accepted:>8}  {:>9.1}  {:>14.1}  {:>9.1}",
        appends / elapsed_s,
        records / appends,
        records / elapsed_s
    );
}

async fn totals(bed: &Bed) -> (f64, f64) {
    let mut appends = 0.0;
    let mut records = 0.0;
    for daemon in 0..DAEMONS {
        let status = bed.get_json(bed.control_url(daemon, "/v1/status")).await;
        appends += status["appends"].as_f64().unwrap_or(0.0);
        records += status["appended_records"].as_f64().unwrap_or(0.0);
    }
    (appends, records)
}
