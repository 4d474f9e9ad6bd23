//! Daemons, stand-ins, and a way to run the tool.

use std::process::Command;
use std::process::Output;
use std::time::Duration;

use awc::Client;
use syc_config::Document;
use syc_config::Settings;
use syc_config::Timing;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use syc_standin::Cell;
use syc_standin::CellOptions;
use syc_standin::EndpointOptions;
use syc_standin::WorkerOptions;
use syc_standin::introduce;
use syc_types::Resources;

/// The control token of every daemon here.
pub const TOKEN: &str = "bed";

/// How often something awaited is looked at.
pub const CHECK: Duration = Duration::from_millis(20);

/// How often it is looked at before the test gives up.
pub const CHECKS: usize = 1_000;

/// What the tool did.
#[derive(Debug)]
pub struct Run {
    /// Its exit code.
    pub code: i32,
    /// What it printed.
    pub stdout: String,
    /// What it complained of.
    pub stderr: String,
}

/// Runs the tool with these arguments; the calling arbiter goes on meanwhile.
pub async fn syc(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_syc"));
    command.args(arguments);
    for variable in ["SYC_CONTROL", "SYC_CALLERS", "SYC_CONTROL_TOKEN"] {
        command.env_remove(variable);
    }
    command.env("USER", "ana");
    let done = tokio::task::spawn_blocking(move || command.output()).await;
    let Output {
        status,
        stdout,
        stderr,
    } = done.expect("thread").expect("syc");
    Run {
        code: status.code().expect("code"),
        stdout: String::from_utf8(stdout).expect("text"),
        stderr: String::from_utf8(stderr).expect("text"),
    }
}

/// Writes a file for the tool to read.
pub fn file(name: &str, text: &str) -> String {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).expect("file");
    path.display().to_string()
}

/// Daemons and stand-ins that run.
pub struct Bed {
    pub cell: Cell,
    pub settings: Vec<Settings>,
    pub daemons: Vec<Option<Daemon>>,
}

impl Bed {
    /// Starts so many daemons, two endpoints and two workers, without any configuration.
    pub async fn start(count: usize) -> Self {
        let cell = Cell::start(CellOptions {
            entry_vms: count,
            endpoints: 2,
            endpoint: EndpointOptions {
                work_ms: 20,
                ..EndpointOptions::default()
            },
            workers: 2,
            rack_workers: 1,
            worker: WorkerOptions {
                capacity: Resources {
                    cpu_millis: 4_000,
                    memory_bytes: 1 << 30,
                    accelerators: 0,
                },
                ..WorkerOptions::default()
            },
            ..CellOptions::default()
        });
        let cell = cell.expect("stand-ins");
        let (settings, daemons) = start_daemons(&cell, count);
        let bed = Self {
            cell,
            settings,
            daemons,
        };
        for number in 0..count {
            bed.await_ready(number).await;
        }
        bed
    }

    /// Writes the inventory of the stand-ins, as a file for the tool.
    pub fn inventory(&self, name: &str) -> String {
        let document = Document::Inventory(self.cell.inventory());
        file(name, &serde_json::to_string(&document).expect("JSON"))
    }

    /// Publishes the inventory and waits until every daemon has it.
    pub async fn configure(&self, name: &str) {
        let inventory = self.inventory(name);
        let run = self.operate(&["publish", &inventory]).await;
        assert_eq!(run.code, 0, "{}", run.stderr);
        for number in 0..self.daemons.len() {
            self.await_config(number).await;
        }
    }

    /// Returns the addresses for operators.
    pub fn control(&self) -> String {
        let all = self.settings.iter();
        let all: Vec<_> = all.map(|one| one.listen.control.as_str()).collect();
        all.join(",")
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> String {
        let all = self.settings.iter();
        let all: Vec<_> = all.map(|one| one.listen.callers.as_str()).collect();
        all.join(",")
    }

    /// Runs the tool with the addresses and the token.
    pub async fn operate(&self, arguments: &[&str]) -> Run {
        let (control, callers) = (self.control(), self.callers());
        let mut all = arguments.to_vec();
        all.extend([
            "--control",
            &control,
            "--callers",
            &callers,
            "--token",
            TOKEN,
        ]);
        syc(&all).await
    }

    /// Starts a daemon again on its addresses, once the former one has let them go.
    pub async fn restart(&mut self, number: usize) {
        let settings = self.settings[number].clone();
        for _ in 0..CHECKS {
            if let Ok(listeners) = Listeners::bind(&settings) {
                let daemon = Daemon::start(settings, listeners).expect("daemon");
                self.daemons[number] = Some(daemon);
                self.await_ready(number).await;
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("the addresses of daemon {number} are still taken");
    }

    async fn await_ready(&self, number: usize) {
        for _ in 0..CHECKS {
            if is_ready(&self.settings[number].listen.callers).await {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {number} is not ready");
    }

    async fn await_config(&self, number: usize) {
        let url = format!("http://{}/v1/config", self.settings[number].listen.control);
        for _ in 0..CHECKS {
            let answer = Client::default().get(&url).send().await;
            let body = answer.expect("answer").body().await;
            if body.expect("body").len() > 2 {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {number} lacks configuration");
    }
}

/// Asks what a balancer asks.
pub async fn is_ready(callers: &str) -> bool {
    let url = format!("http://{callers}/ready");
    let answer = Client::default().get(url).force_close().send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

fn start_daemons(cell: &Cell, count: usize) -> (Vec<Settings>, Vec<Option<Daemon>>) {
    let mut bound = Vec::new();
    for number in 0..count {
        let settings = Settings {
            timing: Timing {
                log_poll_ms: 50,
                worker_poll_ms: 1_000,
                lease_ms: 5_000,
                drain_notice_ms: 300,
                drain_linger_ms: 10,
                ..Timing::default()
            },
            control_token: TOKEN.into(),
            ..cell.settings(number)
        };
        let listeners = Listeners::bind(&settings).expect("sockets");
        bound.push((listeners.resolve(settings).expect("addresses"), listeners));
    }
    introduce(bound.iter_mut().map(|(settings, _)| settings));
    let mut all = Vec::new();
    let mut daemons = Vec::new();
    for (settings, listeners) in bound {
        all.push(settings.clone());
        daemons.push(Some(Daemon::start(settings, listeners).expect("daemon")));
    }
    (all, daemons)
}
