//! Three daemons, each on a thread of its own, and the stand-ins around them.

use std::collections::HashMap;
use std::time::Duration;

use actix_rt::Arbiter;
use awc::Client;
use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;
use smol_str::SmolStr;
use syc_config::Document;
use syc_config::Settings;
use syc_config::Timing;
use syc_config::parse_document;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use syc_standin::Cell;
use syc_standin::CellOptions;
use syc_standin::EndpointOptions;
use syc_standin::WorkerOptions;
use syc_standin::introduce;
use syc_types::ServiceName;
use syc_types::Zone;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::deployment::Deployment;
use crate::deployment::Work;

/// Daemons that are started.
const DAEMONS: usize = 3;

/// Token that the try-out publishes with.
const CONTROL_TOKEN: &str = "tryout";

/// How often the try-out looks whether a daemon is ready.
const READY_CHECK: Duration = Duration::from_millis(20);

/// How long a daemon may take to be ready.
const READY_CHECKS: usize = 500;

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The platform, the workers and the endpoints.
    pub cell: Cell,
    /// The daemons' addresses for callers.
    pub callers: Vec<SmolStr>,
    daemons: Vec<RunningDaemon>,
}

#[derive(Debug)]
struct RunningDaemon {
    arbiter: Arbiter,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

/// Starts the stand-ins and the daemons, and publishes the configuration.
pub async fn start(deployment: &Deployment) -> Result<Cluster> {
    let cell = start_cell(deployment).into_diagnostic()?;
    let (daemons, settings) = start_daemons(&cell)?;
    let callers: Vec<_> = settings
        .iter()
        .map(|settings| settings.listen.callers.clone())
        .collect();
    for address in &callers {
        await_ready(address).await?;
    }
    let control = &settings[0].listen.control;
    for text in deployment.documents {
        let document = parse_document(deployment.name, text);
        publish(control, document?).await?;
    }
    publish(control, Document::Inventory(cell.inventory())).await?;
    for settings in &settings {
        await_config(&settings.listen.control, deployment.documents.len() + 1).await?;
    }
    Ok(Cluster {
        cell,
        callers,
        daemons,
    })
}

impl Cluster {
    /// Stops every daemon as planned.
    pub async fn stop(&mut self) {
        for daemon in self.daemons.drain(..) {
            let _ = daemon.stop.send(());
            let _ = daemon.stopped.await;
            daemon.arbiter.stop();
        }
    }
}

fn start_cell(deployment: &Deployment) -> std::io::Result<Cell> {
    let mut work_ms_by_path = HashMap::new();
    for workload in &deployment.workloads {
        if let Work::Request { work_ms, .. } = workload.work {
            work_ms_by_path.insert(path_of(workload.name), work_ms);
        }
    }
    Cell::start(CellOptions {
        zones: deployment.zones.iter().copied().map(Zone::new).collect(),
        service: ServiceName::new(deployment.service),
        entry_vms: DAEMONS,
        endpoints: deployment.endpoints,
        endpoint: EndpointOptions {
            slots: deployment.slots,
            work_ms_by_path,
            ..EndpointOptions::default()
        },
        workers: deployment.workers,
        rack_workers: deployment.rack_workers,
        worker: WorkerOptions {
            capacity: deployment.worker_capacity,
            ..WorkerOptions::default()
        },
        ..CellOptions::default()
    })
}

/// Returns the path under which a workload's requests are sent.
pub fn path_of(workload: &str) -> String {
    workload.replace(' ', "-")
}

fn start_daemons(cell: &Cell) -> Result<(Vec<RunningDaemon>, Vec<Settings>)> {
    let mut bound = Vec::new();
    for number in 0..DAEMONS {
        let settings = settings(cell, number);
        let listeners = Listeners::bind(&settings).into_diagnostic()?;
        let settings = listeners.resolve(settings).into_diagnostic()?;
        bound.push((settings, listeners));
    }
    introduce(bound.iter_mut().map(|(settings, _)| settings));
    let mut daemons = Vec::new();
    let mut all_settings = Vec::new();
    for (settings, listeners) in bound {
        all_settings.push(settings.clone());
        daemons.push(spawn_daemon(settings, listeners));
    }
    Ok((daemons, all_settings))
}

fn settings(cell: &Cell, number: usize) -> Settings {
    Settings {
        timing: Timing {
            log_poll_ms: 200,
            worker_poll_ms: 2_000,
            lease_ms: 6_000,
            drain_notice_ms: 50,
            drain_linger_ms: 10,
            ..Timing::default()
        },
        control_token: CONTROL_TOKEN.into(),
        ..cell.settings(number)
    }
}

fn spawn_daemon(settings: Settings, listeners: Listeners) -> RunningDaemon {
    let arbiter = Arbiter::new();
    let (stop, stopping) = oneshot::channel();
    let (done, stopped) = oneshot::channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            match Daemon::start(settings, listeners) {
                Ok(daemon) => {
                    let _ = stopping.await;
                    daemon.stop().await;
                }
                Err(error) => eprintln!("{error}"),
            }
            let _ = done.send(());
        });
    });
    RunningDaemon {
        arbiter,
        stop,
        stopped,
    }
}

async fn await_ready(address: &str) -> Result<()> {
    let client = Client::default();
    let url = format!("http://{address}/ready");
    for _ in 0..READY_CHECKS {
        let answer = client.get(&url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        actix_rt::time::sleep(READY_CHECK).await;
    }
    Err(miette!("the daemon at {address} is not ready"))
}

async fn publish(control: &str, document: Document) -> Result<()> {
    let client = Client::default();
    let body = serde_json::json!({
        "id": Uuid::now_v7(),
        "author": "tryout",
        "base": 0,
        "document": document,
    });
    let request = client
        .post(format!("http://{control}/v1/config"))
        .insert_header(("x-control-token", CONTROL_TOKEN));
    let answer = request.send_json(&body).await;
    let answer = answer.map_err(|error| miette!("publishing failed: {error}"))?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(miette!("publishing was refused: {}", answer.status()))
}

async fn await_config(control: &str, documents: usize) -> Result<()> {
    let client = Client::default();
    let url = format!("http://{control}/v1/config");
    for _ in 0..READY_CHECKS {
        if let Ok(mut answer) = client.get(&url).send().await {
            let body = answer.body().limit(16 * 1024 * 1024).await;
            let body = body.unwrap_or_default();
            let entries = serde_json::from_slice::<Vec<serde_json::Value>>(&body);
            if entries.is_ok_and(|entries| entries.len() >= documents) {
                return Ok(());
            }
        }
        actix_rt::time::sleep(READY_CHECK).await;
    }
    Err(miette!("the configuration is not in force at {control}"))
}
