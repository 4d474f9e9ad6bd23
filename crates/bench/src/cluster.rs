//! Daemon processes and the stand-ins around them.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use awc::Client;
use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_config::Document;
use syc_config::Listen;
use syc_config::Settings;
use syc_config::Timing;
use syc_standin::Cell;
use syc_standin::CellOptions;
use syc_standin::WorkerOptions;
use syc_standin::WorkerStandIn;
use syc_standin::introduce;
use syc_types::JobSpec;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TeamId;
use syc_types::Zone;
use uuid::Uuid;

use crate::usage;
use crate::usage::Usage;

/// The service of every inventory.
pub const SERVICE: &str = "intake";

/// Token that the tool publishes with.
const CONTROL_TOKEN: &str = "slopes";

/// Availability zones that everything is spread over.
const ZONES: usize = 5;

/// Tasks of one job that fills the cluster.
const FILL_TASKS: u32 = 50;

/// Run time of a task that is to run all the time.
const LONG_MS: u64 = 3_600_000;

/// Run time of a short task.
const SHORT_MS: u64 = 500;

/// How often something awaited is looked at.
const CHECK: Duration = Duration::from_millis(100);

/// How often it is looked at before the tool gives up.
const CHECKS: u32 = 600;

/// What each worker has.
const CAPACITY: Resources = Resources {
    cpu_millis: 64_000,
    memory_bytes: 128 << 30,
    accelerators: 2,
};

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Entry VMs.
    pub daemons: usize,
    /// Workers in the cell.
    pub workers: usize,
    /// Endpoints of the service [`SERVICE`].
    pub endpoints: usize,
    /// Intervals and timeouts of every daemon.
    pub timing: Timing,
    /// Lag of the VM list.
    pub vm_lag_ms: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            workers: 60,
            endpoints: 0,
            timing: Timing::default(),
            vm_lag_ms: 500,
        }
    }
}

/// A running cluster; dropping it ends the daemons.
#[derive(Debug)]
pub struct Cluster {
    /// The platform, the workers and the endpoints.
    pub cell: Cell,
    /// Settings of each daemon.
    pub settings: Vec<Settings>,
    daemon: PathBuf,
    daemons: Vec<Child>,
    directory: PathBuf,
    keep: bool,
}

impl Cluster {
    /// Starts stand-ins and daemons, and publishes the inventory.
    ///
    /// # Errors
    ///
    /// Fails where a process or socket can't be had, or a daemon does not get ready.
    pub async fn start(daemon: &Path, options: &ClusterOptions) -> Result<Self> {
        let cell = Cell::start(cell_options(options)).into_diagnostic()?;
        let settings = all_settings(&cell, options)?;
        let directory = std::env::temp_dir().join(format!("syc-bench-{}", Uuid::now_v7()));
        std::fs::create_dir_all(&directory).into_diagnostic()?;
        let mut cluster = Self {
            cell,
            settings,
            daemon: daemon.to_owned(),
            daemons: Vec::new(),
            directory,
            keep: false,
        };
        for number in 0..cluster.settings.len() {
            let child = cluster.spawn(number)?;
            cluster.daemons.push(child);
        }
        cluster.configure().await?;
        Ok(cluster)
    }

    /// Starts the daemon of an entry VM again, after it has ended.
    ///
    /// # Errors
    ///
    /// Fails where the process can't be started.
    pub fn restart(&mut self, number: usize) -> Result<()> {
        let _ = self.daemons[number].wait();
        self.daemons[number] = self.spawn(number)?;
        Ok(())
    }

    /// Sends a signal to the daemon of an entry VM.
    ///
    /// # Errors
    ///
    /// Fails where the process is gone.
    pub fn signal(&self, number: usize, signal: Signal) -> Result<()> {
        let pid = Pid::from_child(&self.daemons[number]);
        kill_process(pid, signal).into_diagnostic()
    }

    fn spawn(&self, number: usize) -> Result<Child> {
        let settings = &self.settings[number];
        let file = self.directory.join(format!("{}.json", settings.name));
        let text = serde_json::to_string_pretty(settings).into_diagnostic()?;
        std::fs::write(&file, text).into_diagnostic()?;
        let log_file = self.directory.join(format!("{}.log", settings.name));
        let log_file = File::options().create(true).append(true).open(log_file);
        let log_file = log_file.into_diagnostic()?;
        let mut command = Command::new(&self.daemon);
        command.arg("--settings").arg(&file);
        command.stdout(log_file.try_clone().into_diagnostic()?);
        command.stderr(log_file);
        command.spawn().into_diagnostic()
    }

    /// Leaves the daemons' settings and logs where they are when the cluster is dropped.
    pub const fn keep_directory(&mut self) {
        self.keep = true;
    }

    /// Returns where the daemons' settings and logs are kept until the cluster is dropped.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns what each daemon used so far.
    #[must_use]
    pub fn usages(&self) -> Vec<Usage> {
        let pids = self.daemons.iter().map(Child::id);
        pids.map(usage::of_process).collect()
    }

    /// Returns the appends to the log so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.cell.log.appends()
    }

    /// Returns the number of tasks that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        let running = self.cell.workers.iter().map(WorkerStandIn::running);
        u32::try_from(running.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Submits tasks that run all the time and waits until they do.
    ///
    /// # Errors
    ///
    /// Fails where a submit is refused or the tasks do not all start.
    pub async fn fill(&self, tasks: u32, teams: u32) -> Result<()> {
        let client = Client::default();
        for job in 0..tasks / FILL_TASKS {
            let spec = JobSpec {
                team: TeamId::new(format_smolstr!("team-{}", job % teams)),
                tasks: FILL_TASKS,
                run_time_ms: LONG_MS,
                ..small_job()
            };
            self.submit(&client, job, &spec).await?;
        }
        for _ in 0..CHECKS {
            if self.running() >= tasks {
                return Ok(());
            }
            actix_rt::time::sleep(CHECK).await;
        }
        Err(miette!("{} of {tasks} tasks run", self.running()))
    }

    /// Submits short tasks at a steady rate for a time.
    pub async fn drive(&self, starts_per_s: u32, teams: u32, time: Duration) {
        if starts_per_s == 0 {
            return;
        }
        let client = Client::default();
        let interval = Duration::from_secs(1) / starts_per_s;
        let seconds = u32::try_from(time.as_secs()).unwrap_or(0);
        let mut ticks = actix_rt::time::interval(interval);
        for job in 0..starts_per_s * seconds {
            ticks.tick().await;
            let spec = JobSpec {
                team: TeamId::new(format_smolstr!("team-{}", job % teams)),
                run_time_ms: SHORT_MS,
                ..small_job()
            };
            let entry = job as usize % self.settings.len();
            let url = format!("http://{}/v1/jobs", self.settings[entry].listen.callers);
            let request = client.post(url);
            actix_rt::spawn(async move {
                let _ = request
                    .send_json(&serde_json::json!({ "spec": spec }))
                    .await;
            });
        }
    }

    async fn submit(&self, client: &Client, job: u32, spec: &JobSpec) -> Result<()> {
        let entry = job as usize % self.settings.len();
        let url = format!("http://{}/v1/jobs", self.settings[entry].listen.callers);
        let body = serde_json::json!({ "spec": spec });
        let answer = client.post(url).send_json(&body).await;
        let answer = answer.map_err(|error| miette!("submit failed: {error}"))?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(miette!("submit was refused: {}", answer.status()))
    }

    async fn configure(&self) -> Result<()> {
        let client = Client::default();
        for settings in &self.settings {
            await_ok(&client, &settings.listen.callers, "/ready").await?;
        }
        let control = &self.settings[0].listen.control;
        let body = serde_json::json!({
            "id": Uuid::now_v7(),
            "author": "slopes",
            "base": 0,
            "document": Document::Inventory(self.cell.inventory()),
        });
        let request = client.post(format!("http://{control}/v1/config"));
        let request = request.insert_header((syc_api::TOKEN_HEADER, CONTROL_TOKEN));
        let answer = request.send_json(&body).await;
        let answer = answer.map_err(|error| miette!("publishing failed: {error}"))?;
        if !answer.status().is_success() {
            return Err(miette!("publishing was refused: {}", answer.status()));
        }
        // Every daemon reads the log at least this often.
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn cell_options(options: &ClusterOptions) -> CellOptions {
    let zones = (0..ZONES).map(|number| Zone::new(format_smolstr!("zone-{number}")));
    CellOptions {
        zones: zones.collect(),
        service: ServiceName::new(SERVICE),
        entry_vms: options.daemons,
        endpoints: options.endpoints,
        workers: options.workers,
        worker: WorkerOptions {
            capacity: CAPACITY,
            ..WorkerOptions::default()
        },
        vm_lag_ms: options.vm_lag_ms,
        ..CellOptions::default()
    }
}

fn small_job() -> JobSpec {
    JobSpec {
        name: "slope".into(),
        resources: Resources {
            cpu_millis: 500,
            memory_bytes: 256 << 20,
            accelerators: 0,
        },
        ..JobSpec::default()
    }
}

fn all_settings(cell: &Cell, options: &ClusterOptions) -> Result<Vec<Settings>> {
    let mut all = Vec::new();
    for number in 0..options.daemons {
        all.push(Settings {
            listen: Listen {
                callers: free_address()?,
                peers: free_address()?,
                control: free_address()?,
            },
            timing: options.timing,
            control_token: CONTROL_TOKEN.into(),
            ..cell.settings(number)
        });
    }
    introduce(&mut all);
    Ok(all)
}

/// Returns an address whose port was free a moment ago; the daemons must know their peers' ports.
fn free_address() -> Result<SmolStr> {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").into_diagnostic()?;
    let address = socket.local_addr().into_diagnostic()?;
    Ok(SmolStr::new(address.to_string()))
}

async fn await_ok(client: &Client, address: &str, path: &str) -> Result<()> {
    let url = format!("http://{address}{path}");
    for _ in 0..CHECKS {
        let answer = client.get(&url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        actix_rt::time::sleep(CHECK).await;
    }
    Err(miette!("the daemon at {address} is not ready"))
}
