//! Three daemons, each on a thread of its own, and the stand-ins around them.

use std::collections::HashMap;
use std::time::Duration;

use actix_rt::Arbiter;
use awc::Client;
use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_config::Document;
use syc_config::EndpointDoc;
use syc_config::Inventory;
use syc_config::Listen;
use syc_config::PeerSettings;
use syc_config::PlatformSettings;
use syc_config::ServiceDoc;
use syc_config::Settings;
use syc_config::Timing;
use syc_config::WorkerDoc;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use syc_standin::EndpointOptions;
use syc_standin::EndpointStandIn;
use syc_standin::Executions;
use syc_standin::LogStandIn;
use syc_standin::VmListStandIn;
use syc_standin::WorkerOptions;
use syc_standin::WorkerStandIn;
use syc_types::EndpointId;
use syc_types::RackId;
use syc_types::ServiceName;
use syc_types::TaskRef;
use syc_types::WorkerId;
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
    /// The platform's log.
    pub log: LogStandIn,
    /// The workers.
    pub workers: Vec<WorkerStandIn>,
    /// The endpoints.
    pub endpoints: Vec<EndpointStandIn>,
    /// Executions of requests, by request id.
    pub requests: Executions<String>,
    /// Executions of tasks.
    pub tasks: Executions<TaskRef>,
    /// The daemons' addresses for callers.
    pub callers: Vec<SmolStr>,
    daemons: Vec<RunningDaemon>,
    _vms: VmListStandIn,
}

#[derive(Debug)]
struct RunningDaemon {
    arbiter: Arbiter,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

/// Starts the stand-ins and the daemons, and publishes the inventory.
pub async fn start(deployment: &Deployment) -> Result<Cluster> {
    let requests = Executions::default();
    let tasks = Executions::default();
    let log = LogStandIn::start().into_diagnostic()?;
    let endpoints = start_endpoints(deployment, &requests)?;
    let workers = start_workers(deployment, &tasks)?;
    let inventory = inventory(deployment, &endpoints, &workers);
    let names = inventory
        .workers
        .iter()
        .map(|worker| SmolStr::new(worker.id.as_str()));
    let vms = VmListStandIn::start(names, 500).into_diagnostic()?;
    let platform = PlatformSettings {
        log: log.address().into(),
        vms: vms.address().into(),
    };
    let (daemons, settings) = start_daemons(deployment, &platform)?;
    let callers: Vec<_> = settings
        .iter()
        .map(|settings| settings.listen.callers.clone())
        .collect();
    for address in &callers {
        await_ready(address).await?;
    }
    let control = &settings[0].listen.control;
    publish(control, Document::Inventory(inventory)).await?;
    for settings in &settings {
        await_config(&settings.listen.control).await?;
    }
    Ok(Cluster {
        log,
        workers,
        endpoints,
        requests,
        tasks,
        callers,
        daemons,
        _vms: vms,
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

fn start_endpoints(
    deployment: &Deployment,
    executions: &Executions<String>,
) -> Result<Vec<EndpointStandIn>> {
    let mut work_ms_by_path = HashMap::new();
    for workload in &deployment.workloads {
        if let Work::Request { work_ms, .. } = workload.work {
            work_ms_by_path.insert(path_of(workload.name), work_ms);
        }
    }
    let mut started = Vec::new();
    for _ in 0..deployment.endpoints {
        let options = EndpointOptions {
            slots: deployment.slots,
            work_ms_by_path: work_ms_by_path.clone(),
            ..EndpointOptions::default()
        };
        let endpoint = EndpointStandIn::start(options, executions.clone());
        started.push(endpoint.into_diagnostic()?);
    }
    Ok(started)
}

/// Returns the path under which a workload's requests are sent.
pub fn path_of(workload: &str) -> String {
    workload.replace(' ', "-")
}

fn start_workers(
    deployment: &Deployment,
    executions: &Executions<TaskRef>,
) -> Result<Vec<WorkerStandIn>> {
    let mut started = Vec::new();
    for _ in 0..deployment.workers {
        let options = WorkerOptions {
            capacity: deployment.worker_capacity,
            ..WorkerOptions::default()
        };
        let worker = WorkerStandIn::start(options, executions.clone());
        started.push(worker.into_diagnostic()?);
    }
    Ok(started)
}

fn inventory(
    deployment: &Deployment,
    endpoints: &[EndpointStandIn],
    workers: &[WorkerStandIn],
) -> Inventory {
    let zone = |number: usize| Zone::new(deployment.zones[number % deployment.zones.len()]);
    let mut worker_docs = Vec::new();
    for (number, worker) in workers.iter().enumerate() {
        let rack = number / deployment.rack_workers as usize;
        worker_docs.push(WorkerDoc {
            id: WorkerId::new(format_smolstr!("worker-{number}")),
            address: worker.address().into(),
            zone: zone(rack),
            rack: RackId::new(format_smolstr!("rack-{rack}")),
            capacity: deployment.worker_capacity,
        });
    }
    let mut endpoint_docs = Vec::new();
    for (number, endpoint) in endpoints.iter().enumerate() {
        endpoint_docs.push(EndpointDoc {
            id: EndpointId::new(format_smolstr!("endpoint-{number}")),
            address: endpoint.address().into(),
            zone: zone(number),
        });
    }
    Inventory {
        name: "register".into(),
        workers: worker_docs,
        services: vec![ServiceDoc {
            name: ServiceName::new(deployment.service),
            slots: deployment.slots,
            endpoints: endpoint_docs,
        }],
    }
}

fn start_daemons(
    deployment: &Deployment,
    platform: &PlatformSettings,
) -> Result<(Vec<RunningDaemon>, Vec<Settings>)> {
    let mut bound = Vec::new();
    for number in 0..DAEMONS {
        let settings = settings(deployment, number, platform);
        let listeners = Listeners::bind(&settings).into_diagnostic()?;
        let settings = listeners.resolve(settings).into_diagnostic()?;
        bound.push((settings, listeners));
    }
    let mut peers = Vec::new();
    for (settings, _) in &bound {
        peers.push(PeerSettings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.listen.peers.clone(),
        });
    }
    let mut daemons = Vec::new();
    let mut all_settings = Vec::new();
    for (mut settings, listeners) in bound {
        let others = peers.iter().filter(|peer| peer.name != settings.name);
        settings.peers = others.cloned().collect();
        all_settings.push(settings.clone());
        daemons.push(spawn_daemon(settings, listeners));
    }
    Ok((daemons, all_settings))
}

fn settings(deployment: &Deployment, number: usize, platform: &PlatformSettings) -> Settings {
    let any = SmolStr::new("127.0.0.1:0");
    Settings {
        name: format_smolstr!("entry-{number}"),
        zone: SmolStr::new(deployment.zones[number % deployment.zones.len()]),
        listen: Listen {
            callers: any.clone(),
            peers: any.clone(),
            control: any,
        },
        platform: platform.clone(),
        timing: Timing {
            log_poll_ms: 200,
            worker_poll_ms: 2_000,
            lease_ms: 6_000,
            drain_notice_ms: 50,
            ..Timing::default()
        },
        control_token: CONTROL_TOKEN.into(),
        ..Settings::default()
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

async fn await_config(control: &str) -> Result<()> {
    let client = Client::default();
    let url = format!("http://{control}/v1/config");
    for _ in 0..READY_CHECKS {
        if let Ok(mut answer) = client.get(&url).send().await {
            let body = answer.body().limit(16 * 1024 * 1024).await;
            if body.is_ok_and(|body| body.len() > 2) {
                return Ok(());
            }
        }
        actix_rt::time::sleep(READY_CHECK).await;
    }
    Err(miette!("the configuration is not in force at {control}"))
}
