//! Drives the workloads and counts what became of each piece of work.

use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::Connector;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use miette::IntoDiagnostic;
use miette::Result;
use smol_str::SmolStr;
use syc_types::Class;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::TaskRef;
use uuid::Uuid;

use crate::cluster;
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::deployment::Work;
use crate::deployment::Workload;
use crate::report::Report;
use crate::report::Row;

/// How often a job's state is asked for.
const JOB_CHECK: Duration = Duration::from_millis(25);

/// How long after its submit a job may end.
const JOB_LIMIT: Duration = Duration::from_secs(30);

/// Longest wait that is told apart, in microseconds.
const WAIT_LIMIT_US: u64 = 120_000_000;

/// What became of one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered { wait_us: u64 },
    NotRun,
    Unknown,
    Lost,
}

/// Runs a deployment for a time and reports on it.
pub async fn drive(deployment: &Deployment, seconds: u64) -> Result<Report> {
    let mut cluster = cluster::start(deployment).await?;
    let appends_before = cluster.cell.log.appends();
    let began = Instant::now();
    let rows = {
        let drivers = deployment
            .workloads
            .iter()
            .map(|workload| drive_workload(deployment, workload, &cluster, seconds));
        join_all(drivers).await
    };
    let elapsed = began.elapsed();
    let rows = rows.into_iter().collect::<Result<Vec<_>>>()?;
    let report = summarize(deployment, &cluster, rows, elapsed, appends_before);
    cluster.stop().await;
    Ok(report)
}

fn summarize(
    deployment: &Deployment,
    cluster: &Cluster,
    rows: Vec<Row>,
    elapsed: Duration,
    appends_before: u64,
) -> Report {
    let elapsed_s = elapsed.as_secs_f64();
    let mut cpu_milli_ms = 0;
    let mut over_given = 0;
    for worker in &cluster.cell.workers {
        let counts = worker.counts();
        cpu_milli_ms += counts.cpu_milli_ms;
        over_given += counts.over_given;
    }
    let mut slot_overruns = 0;
    for endpoint in &cluster.cell.endpoints {
        slot_overruns += endpoint.counts().overruns;
    }
    let all_cpu = to_f64(deployment.worker_capacity.cpu_millis) * to_f64(deployment.workers as u64);
    let appends = cluster.cell.log.appends() - appends_before;
    Report {
        deployment: deployment.name,
        rows,
        cpu_granted_share: to_f64(cpu_milli_ms) / (all_cpu * elapsed_s * 1_000.0),
        appends_per_second: to_f64(appends) / elapsed_s,
        over_given,
        slot_overruns,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the figures are far below the precision of a float"
)]
fn to_f64<T>(value: T) -> f64
where
    T: Into<u128>,
{
    value.into() as f64
}

async fn drive_workload(
    deployment: &Deployment,
    workload: &Workload,
    cluster: &Cluster,
    seconds: u64,
) -> Result<Row> {
    let client = Client::builder()
        .connector(Connector::new().limit(0))
        .disable_timeout()
        .finish();
    let count = u64::from(workload.per_second) * seconds;
    let interval = Duration::from_secs(1) / workload.per_second;
    let began = Instant::now();
    let mut pieces = Vec::new();
    for number in 0..count {
        let due = interval * u32::try_from(number).unwrap_or(u32::MAX);
        let entry = usize::try_from(number).unwrap_or(0) % cluster.callers.len();
        let entry = cluster.callers[entry].clone();
        let client = client.clone();
        let id = Uuid::now_v7();
        let work = workload.work.clone();
        let path = format!("{}/{}", deployment.service, cluster::path_of(workload.name));
        let piece = async move {
            actix_rt::time::sleep_until((began + due).into()).await;
            match work {
                Work::Request {
                    class,
                    idempotent,
                    work_ms,
                } => request(&client, &entry, &path, id, class, idempotent, work_ms).await,
                Work::Job(spec) => run_job(&client, &entry, id, spec).await,
            }
        };
        pieces.push((id, actix_rt::spawn(piece)));
    }
    let mut row = Row::new(workload.name);
    let mut waits = Histogram::<u64>::new_with_max(WAIT_LIMIT_US, 3).into_diagnostic()?;
    for (id, piece) in pieces {
        let fate = piece.await.unwrap_or(Fate::Lost);
        row.count += 1;
        match fate {
            Fate::Answered { wait_us } => {
                row.answered += 1;
                waits.saturating_record(wait_us);
            }
            Fate::NotRun => row.not_run += 1,
            Fate::Unknown => row.unknown += 1,
            Fate::Lost => row.lost += 1,
        }
        if doubled(cluster, workload, id) {
            row.doubled += 1;
        }
    }
    row.wait_p50_us = waits.value_at_quantile(0.50);
    row.wait_p99_us = waits.value_at_quantile(0.99);
    Ok(row)
}

fn doubled(cluster: &Cluster, workload: &Workload, id: Uuid) -> bool {
    match &workload.work {
        Work::Request { idempotent, .. } => {
            let counts = cluster.cell.requests.of(&id.to_string());
            !idempotent && counts.begun > 1
        }
        Work::Job(spec) => (0..spec.tasks).any(|index| {
            let job_id = JobId(id);
            let counts = cluster.cell.tasks.of(&TaskRef { job_id, index });
            counts.most_at_once > 1 || (!spec.idempotent && counts.begun > 1)
        }),
    }
}

async fn request(
    client: &Client,
    entry: &SmolStr,
    path: &str,
    id: Uuid,
    class: Class,
    idempotent: bool,
    work_ms: u64,
) -> Fate {
    let class = match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Patient => "patient",
    };
    let began = Instant::now();
    let body = format!("body of {id}");
    let sent = client
        .post(format!("http://{entry}/svc/{path}"))
        .insert_header(("x-request-id", id.to_string()))
        .insert_header(("x-caller", "tryout"))
        .insert_header(("x-class", class))
        .insert_header(("x-idempotent", if idempotent { "true" } else { "false" }))
        .send_body(body.clone())
        .await;
    let Ok(mut answer) = sent else {
        return Fate::Lost;
    };
    let Ok(received) = answer.body().await else {
        return Fate::Lost;
    };
    match answer.status().as_u16() {
        200 if received == format!("{id}:{body}") => Fate::Answered {
            wait_us: micros(
                began
                    .elapsed()
                    .saturating_sub(Duration::from_millis(work_ms)),
            ),
        },
        503 => Fate::NotRun,
        504 => Fate::Unknown,
        _ => Fate::Lost,
    }
}

async fn run_job(client: &Client, entry: &SmolStr, id: Uuid, mut spec: JobSpec) -> Fate {
    let run_time = Duration::from_millis(spec.run_time_ms);
    let began = Instant::now();
    spec.payload = SmolStr::new(id.to_string());
    let body = serde_json::json!({ "job_id": id, "spec": spec });
    let url = format!("http://{entry}/v1/jobs");
    let Ok(accepted) = client.post(url).send_json(&body).await else {
        return Fate::Lost;
    };
    match accepted.status().as_u16() {
        202 => {}
        503 => return Fate::NotRun,
        504 => return Fate::Unknown,
        _ => return Fate::Lost,
    }
    let url = format!("http://{entry}/v1/jobs/{id}");
    while began.elapsed() < JOB_LIMIT {
        actix_rt::time::sleep(JOB_CHECK).await;
        let Ok(mut answer) = client.get(&url).send().await else {
            continue;
        };
        let Ok(state) = answer.json::<serde_json::Value>().await else {
            continue;
        };
        if all_done(&state, id) {
            let wait = began.elapsed().saturating_sub(run_time);
            return Fate::Answered {
                wait_us: micros(wait),
            };
        }
    }
    Fate::Lost
}

fn all_done(state: &serde_json::Value, id: Uuid) -> bool {
    let expected = format!("result:{id}");
    let Some(tasks) = state["tasks"].as_array() else {
        return false;
    };
    !tasks.is_empty()
        && tasks
            .iter()
            .all(|task| task["ended"]["done"].as_str() == Some(&expected))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
