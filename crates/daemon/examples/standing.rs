//! Stand-ins and load for daemons that run as processes of their own, so that one can be stopped
//! and continued by hand: writes `entry-N.json` into the directory that it is given, waits for the
//! daemons, submits jobs for the seconds that it is given, and reports each second. With `idle` as
//! third argument it submits nothing.

use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use awc::Client;
use serde_json::Value;
use smol_str::SmolStr;
use syc_config::Document;
use syc_config::Listen;
use syc_config::Settings;
use syc_daemon::Listeners;
use syc_standin::Cell;
use syc_standin::CellOptions;
use syc_standin::WorkerOptions;
use syc_standin::introduce;
use syc_types::Resources;
use uuid::Uuid;

/// Daemons that are expected.
const DAEMONS: usize = 3;

/// Pause between two jobs.
const PAUSE: Duration = Duration::from_millis(20);

/// Time that a daemon has to answer.
const ANSWER: Duration = Duration::from_millis(500);

/// Teams in whose names jobs are submitted.
const TEAMS: u64 = 12;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let directory = arguments.next().expect("a directory");
    let seconds = arguments.next().and_then(|text| text.parse().ok());
    let idle = arguments.next().is_some_and(|text| text == "idle");
    let seconds = seconds.unwrap_or(30);
    actix_rt::System::new().block_on(stand(&directory, seconds, idle));
}

async fn stand(directory: &str, seconds: u64, idle: bool) {
    let cell = Cell::start(CellOptions {
        workers: 8,
        rack_workers: 1,
        worker: WorkerOptions {
            capacity: Resources {
                cpu_millis: 32_000,
                memory_bytes: 1 << 37,
                accelerators: 0,
            },
            ..WorkerOptions::default()
        },
        ..CellOptions::default()
    });
    let cell = cell.expect("stand-ins");
    let all = write_settings(&cell, directory);
    let client = Client::builder().disable_timeout().finish();
    for settings in &all {
        while status(&client, settings).await["may_act"] != true {
            sleep(PAUSE).await;
        }
    }
    publish(&client, &cell, &all[0]).await;
    println!("ready");
    let began = Instant::now();
    let mut submitted = 0;
    let mut accepted = 0;
    for second in 1..=seconds {
        let mut refused = 0;
        while began.elapsed() < Duration::from_secs(second) {
            if idle {
                sleep(PAUSE).await;
                continue;
            }
            submitted += 1;
            let through = &all[usize::try_from(submitted).unwrap_or(0) % DAEMONS];
            if submit(&client, through, submitted % TEAMS).await {
                accepted += 1;
            } else {
                refused += 1;
            }
            sleep(PAUSE).await;
        }
        let mut seen = Vec::new();
        for settings in &all {
            let status = status(&client, settings).await;
            let epoch = &status["epoch"];
            let members = status["members"].as_array().map_or(0, Vec::len);
            let acts = &status["may_act"];
            seen.push(format!(
                "{} epoch {epoch} of {members}, acts {acts}",
                settings.name
            ));
        }
        println!("{second} s: accepted {accepted}, refused or silent {refused}; {seen:?}");
    }
    let tasks = cell.tasks.all();
    let doubled = tasks.iter().filter(|(_, counts)| counts.most_at_once > 1);
    let repeated = tasks.iter().filter(|(_, counts)| counts.begun > 1);
    println!(
        "tasks begun {}, more than once {}, at once {}",
        tasks.len(),
        repeated.count(),
        doubled.count()
    );
}

fn write_settings(cell: &Cell, directory: &str) -> Vec<Settings> {
    let any = SmolStr::new("127.0.0.1:0");
    let mut all = Vec::new();
    let mut sockets = Vec::new();
    for number in 0..DAEMONS {
        let own = Settings {
            listen: Listen {
                callers: any.clone(),
                peers: any.clone(),
                control: any.clone(),
            },
            control_token: "standing".into(),
            ..cell.settings(number)
        };
        let listeners = Listeners::bind(&own).expect("sockets");
        all.push(listeners.resolve(own).expect("addresses"));
        sockets.push(listeners);
    }
    // The daemons open the same ports again.
    drop(sockets);
    introduce(&mut all);
    for settings in &all {
        let text = serde_json::to_string_pretty(settings).expect("JSON");
        let path = format!("{directory}/{}.json", settings.name);
        std::fs::write(path, text).expect("a file");
    }
    all
}

async fn status(client: &Client, settings: &Settings) -> Value {
    let url = format!("http://{}/v1/status", settings.listen.control);
    let answer = tokio::time::timeout(ANSWER, client.get(url).send()).await;
    let Ok(Ok(mut answer)) = answer else {
        return Value::Null;
    };
    answer.json().await.unwrap_or_default()
}

async fn publish(client: &Client, cell: &Cell, settings: &Settings) {
    let body = serde_json::json!({
        "id": Uuid::now_v7(),
        "author": "standing",
        "base": 0,
        "document": Document::Inventory(cell.inventory()),
    });
    let url = format!("http://{}/v1/config", settings.listen.control);
    let request = client.post(url);
    let request = request.insert_header(("x-control-token", "standing"));
    let answer = request.send_json(&body).await.expect("answer");
    assert!(answer.status().is_success(), "{}", answer.status());
}

async fn submit(client: &Client, settings: &Settings, team: u64) -> bool {
    let body = serde_json::json!({
        "job_id": Uuid::now_v7(),
        "spec": {
            "team": format!("team-{team}"),
            "name": "manifest",
            "tasks": 1,
            "resources": {"cpu_millis": 100, "memory_bytes": 1_000},
            "run_time_ms": 50,
        },
    });
    let url = format!("http://{}/v1/jobs", settings.listen.callers);
    let answer = tokio::time::timeout(ANSWER, client.post(url).send_json(&body)).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
}
