//! Measures what membership costs and how long a takeover and a handover take, with the default
//! timing, on loopback; run it with `--release`.

use std::time::Duration;
use std::time::Instant;

use actix_rt::Arbiter;
use actix_rt::time::sleep;
use awc::Client;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_config::Document;
use syc_config::Settings;
use syc_config::Timing;
use syc_daemon::Daemon;
use syc_daemon::Listeners;
use syc_member::Member;
use syc_member::View;
use syc_standin::Cell;
use syc_standin::CellOptions;
use syc_standin::WorkerOptions;
use syc_standin::introduce;
use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Resources;
use syc_types::TeamId;
use syc_types::Zone;
use tokio::sync::oneshot;
use uuid::Uuid;

/// Sizes of which the cost is measured.
const SIZES: [usize; 4] = [3, 5, 7, 9];

/// How long the cost is measured.
const IDLE: Duration = Duration::from_secs(8);

/// How often something awaited is looked at.
const CHECK: Duration = Duration::from_millis(2);

struct Running {
    arbiter: Arbiter,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

struct Cluster {
    cell: Cell,
    settings: Vec<Settings>,
    running: Vec<Option<Running>>,
    client: Client,
}

fn main() {
    actix_rt::System::new().block_on(measure());
}

async fn measure() {
    println!("heartbeats, with the default timing, without any work");
    for size in SIZES {
        let cluster = Cluster::start(size).await;
        let before = cluster.bytes().await;
        let began = Instant::now();
        sleep(IDLE).await;
        let bytes = cluster.bytes().await - before;
        let elapsed_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let each = bytes * 1_000 / elapsed_ms.max(1) / size as u64;
        println!("  {size} members: {each} bytes/s for each, both ways, with frames");
        cluster.end();
    }
    takeover().await;
    handover().await;
}

async fn takeover() {
    let mut cluster = Cluster::start(3).await;
    let team = cluster.team_of(2).await;
    cluster.accepted(0, &team).await;
    let killed = cluster.running[2].take().expect("a running daemon");
    killed.arbiter.stop();
    killed.arbiter.join().expect("the end of its thread");
    let died = Instant::now();
    while cluster.status(0).await["members"].as_array().map(Vec::len) != Some(2) {
        sleep(CHECK).await;
    }
    let viewed = died.elapsed().as_millis();
    while cluster.status(0).await["may_act"] != true {
        sleep(CHECK).await;
    }
    let acting = died.elapsed().as_millis();
    let id = cluster.accepted(0, &team).await;
    let accepted = died.elapsed().as_millis();
    cluster.ended(0, id).await;
    let placed = died.elapsed().as_millis();
    println!("takeover after a death, 3 members, from the death on");
    println!("  view without the dead: {viewed} ms");
    println!("  successor may act:     {acting} ms");
    println!("  job accepted:          {accepted} ms");
    println!("  its task placed:       {placed} ms");
    cluster.end();
}

async fn handover() {
    let mut cluster = Cluster::start(3).await;
    let team = cluster.team_of(2).await;
    cluster.accepted(0, &team).await;
    let leaver = cluster.running[2].take().expect("a running daemon");
    leaver.stop.send(()).expect("a daemon that waits");
    let mut stopped = leaver.stopped;
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    let mut refused = 0;
    let mut accepted = 0;
    while stopped.try_recv().is_err() {
        if cluster.submit(0, Uuid::now_v7(), &team).await {
            longest = longest.max(last.elapsed());
            last = Instant::now();
            accepted += 1;
        } else {
            refused += 1;
        }
        sleep(CHECK).await;
    }
    println!("handover at a planned stop, 3 members, jobs of one team submitted all the while");
    println!("  accepted {accepted}, refused {refused}, longest time between two: {longest:.0?}");
    leaver.arbiter.stop();
    cluster.end();
}

impl Cluster {
    async fn start(daemons: usize) -> Self {
        let cell = Cell::start(CellOptions {
            entry_vms: daemons,
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
        let mut settings = Vec::new();
        let mut sockets = Vec::new();
        for number in 0..daemons {
            let own = own_settings(&cell, number);
            let listeners = Listeners::bind(&own).expect("sockets");
            settings.push(listeners.resolve(own).expect("addresses"));
            sockets.push(listeners);
        }
        introduce(&mut settings);
        let all = settings.iter().cloned().zip(sockets);
        let running = all.map(|(settings, listeners)| Some(run(settings, listeners)));
        let cluster = Self {
            running: running.collect(),
            cell,
            settings,
            client: Client::builder().disable_timeout().finish(),
        };
        for number in 0..daemons {
            while cluster.status(number).await["may_act"] != true {
                sleep(CHECK).await;
            }
        }
        cluster.publish().await;
        cluster
    }

    async fn publish(&self) {
        let body = serde_json::json!({
            "id": Uuid::now_v7(),
            "author": "takeover",
            "base": 0,
            "document": Document::Inventory(self.cell.inventory()),
        });
        let url = format!("http://{}/v1/config", self.settings[0].listen.control);
        let request = self.client.post(url);
        let request = request.insert_header(("x-control-token", "takeover"));
        let answer = request.send_json(&body).await.expect("answer");
        assert!(answer.status().is_success(), "{}", answer.status());
    }

    async fn get(&self, url: String) -> Value {
        let Ok(mut answer) = self.client.get(url).send().await else {
            return Value::Null;
        };
        answer.json().await.unwrap_or_default()
    }

    async fn status(&self, number: usize) -> Value {
        let address = &self.settings[number].listen.control;
        self.get(format!("http://{address}/v1/status")).await
    }

    async fn bytes(&self) -> u64 {
        let mut total = 0;
        for number in 0..self.settings.len() {
            let status = self.status(number).await;
            total += status["heartbeat_bytes"].as_u64().unwrap_or(0);
        }
        total
    }

    /// Returns a team whose home is the daemon `number`.
    async fn team_of(&self, number: usize) -> TeamId {
        let status = self.status(0).await;
        let mut members = Vec::new();
        for member in status["members"].as_array().expect("members") {
            members.push(Member {
                id: MemberId::new(member["id"].as_str().unwrap_or_default()),
                peer_address: SmolStr::default(),
                zone: Zone::new("a"),
            });
        }
        let view = View::new(Epoch(1), members);
        let teams = (0..1_000).map(|team| TeamId::new(format_smolstr!("team-{team}")));
        let name = &self.settings[number].name;
        let mut owned = teams.filter(|team| {
            let home = view.team_home(team);
            home.is_some_and(|home| syc_member::vm_name(&home.id) == name)
        });
        owned.next().expect("a team")
    }

    async fn submit(&self, through: usize, id: Uuid, team: &TeamId) -> bool {
        let body = serde_json::json!({
            "job_id": id,
            "spec": {
                "team": team,
                "name": "manifest",
                "tasks": 1,
                "resources": {"cpu_millis": 100, "memory_bytes": 1_000},
                "run_time_ms": 1,
            },
        });
        let address = &self.settings[through].listen.callers;
        let request = self.client.post(format!("http://{address}/v1/jobs"));
        let answer = request.send_json(&body).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn accepted(&self, through: usize, team: &TeamId) -> Uuid {
        let id = Uuid::now_v7();
        while !self.submit(through, id, team).await {
            sleep(CHECK).await;
        }
        id
    }

    async fn ended(&self, through: usize, id: Uuid) {
        let address = &self.settings[through].listen.callers;
        loop {
            let state = self.get(format!("http://{address}/v1/jobs/{id}")).await;
            if state["tasks"][0]["ended"].is_object() {
                return;
            }
            sleep(CHECK).await;
        }
    }

    fn end(self) {
        for running in self.running.into_iter().flatten() {
            running.arbiter.stop();
            let _ = running.arbiter.join();
        }
    }
}

fn own_settings(cell: &Cell, number: usize) -> Settings {
    Settings {
        timing: Timing {
            drain_notice_ms: 100,
            ..Timing::default()
        },
        control_token: "takeover".into(),
        ..cell.settings(number)
    }
}

fn run(settings: Settings, listeners: Listeners) -> Running {
    let arbiter = Arbiter::new();
    let (stop, stopping) = oneshot::channel();
    let (done, stopped) = oneshot::channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let daemon = Daemon::start(settings, listeners).expect("daemon");
            if stopping.await.is_ok() {
                daemon.stop().await;
            }
            let _ = done.send(());
        });
    });
    Running {
        arbiter,
        stop,
        stopped,
    }
}
