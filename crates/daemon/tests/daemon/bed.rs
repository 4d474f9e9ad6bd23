//! Daemons and stand-ins for the tests of this binary.

use std::ops::Deref;
use std::time::Duration;

use awc::Client;
use syc_config::Document;
use syc_config::Limits;
use syc_config::Policy;
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
use syc_types::ServiceName;
use uuid::Uuid;

/// The control token of every daemon here.
pub const TOKEN: &str = "bed";

/// The service of every inventory here.
pub const SERVICE: &str = "intake";

/// How often something awaited is looked at.
const CHECK: Duration = Duration::from_millis(10);

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// How often it is looked at before the test gives up.
const CHECKS: usize = 1_500;

/// What a bed consists of.
#[derive(Debug, Clone)]
pub struct BedOptions {
    pub daemons: usize,
    pub endpoints: usize,
    pub workers: usize,
    pub endpoint: EndpointOptions,
    pub worker: WorkerOptions,
    pub timing: Timing,
    pub limits: Limits,
}

impl Default for BedOptions {
    fn default() -> Self {
        Self {
            daemons: 1,
            endpoints: 2,
            workers: 2,
            endpoint: EndpointOptions::default(),
            worker: WorkerOptions {
                capacity: Resources {
                    cpu_millis: 4_000,
                    memory_bytes: 1 << 30,
                    accelerators: 0,
                },
                ..WorkerOptions::default()
            },
            timing: Timing {
                log_poll_ms: 50,
                worker_poll_ms: 1_000,
                lease_ms: 5_000,
                drain_notice_ms: 10,
                drain_linger_ms: 10,
                ..Timing::default()
            },
            limits: Limits::default(),
        }
    }
}

/// Daemons and stand-ins that run.
pub struct Bed {
    pub cell: Cell,
    pub settings: Vec<Settings>,
    pub daemons: Vec<Option<Daemon>>,
    pub client: Client,
}

impl Deref for Bed {
    type Target = Cell;

    fn deref(&self) -> &Cell {
        &self.cell
    }
}

impl Bed {
    /// Starts everything and publishes the inventory.
    pub async fn start(options: BedOptions) -> Self {
        let bed = Self::start_unconfigured(&options);
        for number in 0..options.daemons {
            bed.await_ready(number).await;
        }
        let inventory = bed.inventory();
        let (status, text) = bed.publish(0, 0, Document::Inventory(inventory)).await;
        assert_eq!(status, 200, "{text}");
        for number in 0..options.daemons {
            bed.await_config(number, 1).await;
            bed.await_acting(number, options.daemons).await;
        }
        bed
    }

    /// Waits until a daemon may act in a view of so many members.
    pub async fn await_acting(&self, daemon: usize, members: usize) {
        for _ in 0..CHECKS {
            let status = self.get_json(self.control_url(daemon, "/v1/status")).await;
            let listed = status["members"].as_array().map_or(0, Vec::len);
            if listed == members && status["may_act"] == true {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {daemon} does not act in a view of {members}");
    }

    /// Starts everything without any configuration.
    pub fn start_unconfigured(options: &BedOptions) -> Self {
        let cell = Cell::start(CellOptions {
            service: ServiceName::new(SERVICE),
            entry_vms: options.daemons,
            endpoints: options.endpoints,
            endpoint: options.endpoint.clone(),
            workers: options.workers,
            rack_workers: 1,
            worker: options.worker,
            vm_lag_ms: 0,
            ..CellOptions::default()
        });
        let cell = cell.expect("stand-ins");
        let (settings, daemons) = start_daemons(options, &cell);
        Self {
            cell,
            settings,
            daemons,
            client: Client::builder().disable_timeout().finish(),
        }
    }

    /// Returns a URL on a daemon's address for callers.
    pub fn callers_url(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.settings[daemon].listen.callers)
    }

    /// Returns a URL on a daemon's address for operators.
    pub fn control_url(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.settings[daemon].listen.control)
    }

    /// Publishes a document; returns status and body.
    pub async fn publish(&self, daemon: usize, base: u64, document: Document) -> (u16, String) {
        self.publish_as(daemon, Uuid::now_v7(), base, document)
            .await
    }

    /// Publishes a policy that keeps nothing for urgent tasks, so that all that no task holds is free.
    pub async fn keep_no_headroom(&self) {
        let policy = Document::Policy(Policy {
            name: "default".into(),
            waiting_weight: 0,
            ..Policy::default()
        });
        let (status, text) = self.publish(0, 0, policy).await;
        assert_eq!(status, 200, "{text}");
    }

    /// Publishes a document under a publication id of its own choosing; returns status and body.
    pub async fn publish_as(
        &self,
        daemon: usize,
        id: Uuid,
        base: u64,
        document: Document,
    ) -> (u16, String) {
        let body = serde_json::json!({
            "id": id,
            "author": "bed",
            "base": base,
            "document": document,
        });
        let request = self.client.post(self.control_url(daemon, "/v1/config"));
        let request = request.insert_header((syc_api::TOKEN_HEADER, TOKEN));
        let mut answer = request.send_json(&body).await.expect("answer");
        let text = answer.body().await.expect("body");
        let text = String::from_utf8_lossy(&text).into_owned();
        (answer.status().as_u16(), text)
    }

    /// Submits a job; returns status and body.
    pub async fn submit(&self, daemon: usize, body: &serde_json::Value) -> (u16, String) {
        let url = self.callers_url(daemon, "/v1/jobs");
        let answer = self
            .client
            .post(url)
            .timeout(PATIENCE)
            .send_json(body)
            .await;
        let mut answer = answer.expect("answer");
        let text = answer.body().await.expect("body");
        let text = String::from_utf8_lossy(&text).into_owned();
        (answer.status().as_u16(), text)
    }

    /// Waits until a daemon has applied everything that is in the log now.
    pub async fn await_read(&self, daemon: usize) {
        let end = self.log.appends();
        for _ in 0..CHECKS {
            let status = self.get_json(self.control_url(daemon, "/v1/status")).await;
            if status["log_next"].as_u64() >= Some(end) {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {daemon} does not read the log");
    }

    /// Submits as a caller does who comes back when told that nothing was run.
    pub async fn submit_until_accepted(&self, daemon: usize, body: &serde_json::Value) {
        for _ in 0..CHECKS {
            let (status, text) = self.submit(daemon, body).await;
            if status == 202 {
                return;
            }
            assert!(text.contains("not_run"), "{status}: {text}");
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("the job is not accepted");
    }

    /// Replaces a daemon by one that knows nothing.
    pub async fn restart(&mut self, daemon: usize) {
        if let Some(running) = self.daemons[daemon].take() {
            running.stop().await;
        }
        let settings = self.settings[daemon].clone();
        let listeners = rebind(&settings).await;
        let started = Daemon::start(settings, listeners).expect("daemon");
        self.daemons[daemon] = Some(started);
        // The former daemon still answers on the connections that are open.
        self.client = Client::builder().disable_timeout().finish();
    }

    /// Replaces a daemon by one that reads the log only when it has something to append.
    pub async fn slowed(mut bed: Self, daemon: usize) -> Self {
        bed.settings[daemon].timing.log_poll_ms = 1_000_000;
        bed.restart(daemon).await;
        bed.await_ready(daemon).await;
        bed
    }

    /// Waits until a daemon has a revision of a scope in force.
    pub async fn await_revision(&self, daemon: usize, scope: &str, revision: u64) {
        for _ in 0..CHECKS {
            let entries = self.get_json(self.control_url(daemon, "/v1/config")).await;
            for entry in entries.as_array().expect("entries") {
                if entry["scope"] == scope && entry["revision"] == revision {
                    return;
                }
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {daemon} lacks revision {revision} of {scope}");
    }

    /// Says whether a daemon is ready.
    pub fn ready(&self, daemon: usize) -> bool {
        self.daemons[daemon].as_ref().is_some_and(Daemon::ready)
    }

    /// Waits until something holds.
    pub async fn until<F>(&self, what: &str, holds: F)
    where
        F: Fn(&Self) -> bool,
    {
        for _ in 0..CHECKS {
            if holds(self) {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!(
            "{what} does not come to pass; {} starts",
            self.tasks.all().len()
        );
    }

    /// Reads JSON from a URL.
    pub async fn get_json(&self, url: String) -> serde_json::Value {
        let answer = self.client.get(url).send().await;
        let mut answer = answer.expect("answer");
        answer.json().await.expect("JSON")
    }

    /// Waits until a daemon is ready.
    pub async fn await_ready(&self, daemon: usize) {
        let url = self.callers_url(daemon, "/ready");
        for _ in 0..CHECKS {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {daemon} is not ready");
    }

    /// Waits until a daemon has so many documents in force.
    pub async fn await_config(&self, daemon: usize, documents: usize) {
        for _ in 0..CHECKS {
            let url = self.control_url(daemon, "/v1/config");
            let entries = self.get_json(url).await;
            if entries.as_array().is_some_and(|all| all.len() >= documents) {
                return;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("daemon {daemon} lacks configuration");
    }

    /// Waits until a job has ended and returns its state.
    pub async fn await_job(&self, daemon: usize, id: Uuid) -> serde_json::Value {
        for _ in 0..CHECKS {
            let url = self.callers_url(daemon, &format!("/v1/jobs/{id}"));
            let state = self.get_json(url).await;
            let tasks = state["tasks"].as_array().cloned().unwrap_or_default();
            if !tasks.is_empty() && tasks.iter().all(|task| !task["ended"].is_null()) {
                return state;
            }
            actix_rt::time::sleep(CHECK).await;
        }
        panic!("job {id} does not end");
    }
}

// The sockets of a daemon that has just stopped close soon.
async fn rebind(settings: &Settings) -> Listeners {
    for _ in 0..CHECKS {
        if let Ok(listeners) = Listeners::bind(settings) {
            return listeners;
        }
        actix_rt::time::sleep(CHECK).await;
    }
    panic!("the former sockets stay open");
}

fn start_daemons(options: &BedOptions, cell: &Cell) -> (Vec<Settings>, Vec<Option<Daemon>>) {
    let mut bound = Vec::new();
    for number in 0..options.daemons {
        let settings = Settings {
            timing: options.timing,
            limits: options.limits,
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
