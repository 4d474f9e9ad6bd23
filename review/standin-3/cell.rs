//! A small deployment: nodes as processes, and stand-ins of the platform beside them.

use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::http::serve;
use crate::json::parse;
use crate::minion::Minion;
use crate::minion::Trap;
use crate::proxy;
use crate::record::Record;
use crate::store::Limits;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["hobart-hall", "launceston-hall", "burnie-hall"];
pub const HOST: &str = "nony24.example";

/// How often minions write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Node {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Lists the processes, for the script that ends them.
    processes: PathBuf,
    pub process: Option<Child>,
}

pub struct Cell {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub minions: Vec<Minion>,
    pub record: Record,
}

impl Cell {
    pub fn new(directory: &str, record: Record, node_count: usize, limits: Limits) -> Self {
        Self::with_links(directory, record, node_count, limits, None)
    }

    /// Makes a cell whose nodes have links of so many Mbit/s to the store.
    pub fn with_links(
        directory: &str,
        record: Record,
        node_count: usize,
        limits: Limits,
        link_mbps: Option<f64>,
    ) -> Self {
        let store = Store::new(limits);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store_address = listener.local_addr().expect("an address");
        let served = store.clone();
        serve(listener, move |request| served.answer(&request));
        let mut nodes = Vec::new();
        for number in 0..node_count {
            let address = link_mbps.map_or(store_address, |mbps| proxy::start(store_address, mbps));
            nodes.push(Node::new(directory, number, address, link_mbps.unwrap_or(1_000.0)));
        }
        Self {
            store,
            nodes,
            minions: Vec::new(),
            record,
        }
    }

    /// Starts minions of a service, which write their entries from now on.
    pub fn add_minions(&mut self, service: &str, count: usize, cpu: u64) {
        self.add_minions_of_kind(service, count, cpu, false, &Trap::default());
    }

    /// Starts minions that start again under the id that they had, if so asked, and share a trap for an order.
    pub fn add_minions_of_kind(&mut self, service: &str, count: usize, cpu: u64, keeps_id: bool, trap: &Trap) {
        let first = self.minions.len();
        for number in first..first + count {
            let minion = Minion::start(number, keeps_id, trap.clone(), self.record.clone());
            self.minions.push(minion.clone());
            let (store, service) = (self.store.clone(), service.to_owned());
            std::thread::spawn(move || keep_registered(&minion, &store, &service, number, cpu));
        }
    }

    /// Writes a configuration: rows of a route's prefix, its service and its priority, and the names of the services.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64)], services: &[&str]) {
        let routes = routes.iter().map(|(prefix, service, priority)| {
            format!(
                "{{\"Name\":\"r-{prefix}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{prefix}/\",\"Kind\":\"non_idempotent\",\
                 \"TimeoutMs\":3000,\"TargetLatencyMs\":1000,\"Priority\":{priority},\"Service\":\"{service}\",\
                 \"MaxAttempts\":3,\"Stretch\":2.2}}"
            )
        });
        let services = services.iter().map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\
                 \"AdmissionControl\":false,\"Standby\":false}}"
            )
        });
        let value = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
             \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.collect::<Vec<_>>().join(","),
            services.collect::<Vec<_>>().join(",")
        );
        self.store.put("keyed.op", "config", &value);
        self.record.line(&format!("configuration {version} acknowledged"));
    }

    pub fn start_nodes(&mut self) {
        for node in &mut self.nodes {
            node.start();
        }
    }

    /// Waits until all nodes report that they are ready, for some seconds.
    pub fn wait_until_ready(&self) -> bool {
        for _ in 0..100 {
            let timeout = Duration::from_secs(1);
            let answers = self
                .nodes
                .iter()
                .map(|node| call(node.ready, "GET", "/readyz", HOST, "", timeout));
            if answers
                .into_iter()
                .all(|answer| answer.is_some_and(|(status, _)| status == 200))
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Submits at the node of this number. Returns the status; 0 without an answer.
    pub fn submit(&self, node: usize, prefix: &str, id: &str, body: &str, tasks: u64) -> u16 {
        let node = &self.nodes[node % self.nodes.len()];
        let path = format!("/{prefix}/{id}");
        let answer = call(node.callers, "POST", &path, HOST, body, Duration::from_secs(3));
        let status = answer.map_or(0, |(status, _)| status);
        self.record.line(&format!("POST {path} ({tasks} tasks) -> {status}"));
        let now_ms = self.record.now_ms();
        self.record.update(id, |submission| {
            submission.tasks = tasks;
            if (200..300).contains(&status) {
                submission.accepted_ms.get_or_insert(now_ms);
            }
        });
        status
    }

    /// Submits until it is accepted, at another node each time, as clients do.
    pub fn submit_with_retries(&self, first: usize, prefix: &str, id: &str, body: &str, tasks: u64) -> u16 {
        let mut status = 0;
        for attempt in 0..4 {
            status = self.submit(first + attempt, prefix, id, body, tasks);
            if (200..300).contains(&status) || status == 404 || status == 400 {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        status
    }

    /// Asks for the state of a submission at each node in turn, until one tells it.
    pub fn state(&self, prefix: &str, id: &str) -> String {
        let path = format!("/{prefix}/{id}");
        let mut answer = "no answer".to_owned();
        for node in &self.nodes {
            let timeout = Duration::from_secs(3);
            match call(node.callers, "GET", &path, HOST, "", timeout) {
                Some((200, body)) => return parse(&body).get("State").text().to_owned(),
                Some((status, _)) => answer = format!("status {status}"),
                None => {}
            }
        }
        answer
    }

    /// Returns the number of the node that last wrote a heartbeat as the scheduler.
    pub fn scheduler(&self) -> usize {
        let value = self.store.newest("keyed.holders", 0, "holder").unwrap_or_default();
        let name = parse(&value).get("node").text().to_owned();
        name.rsplit('-')
            .next()
            .and_then(|number| number.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the numbers of running tasks and of listed ends on all minions.
    pub fn counts(&self) -> (usize, usize) {
        let counts = self.minions.iter().map(Minion::counts);
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Returns which nodes have ended by themselves.
    pub fn ended_nodes(&mut self) -> usize {
        let mut ended = 0;
        for node in &mut self.nodes {
            let process = node.process.as_mut();
            ended += usize::from(process.is_some_and(|child| !matches!(child.try_wait(), Ok(None))));
        }
        ended
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
    }
}

impl Node {
    fn new(directory: &str, number: usize, store: SocketAddr, link_mbps: f64) -> Self {
        let (callers, ready, peers) = free_ports();
        let settings = PathBuf::from(format!("{directory}/node-{number}.json"));
        let zone = ZONES[number % 3];
        let text = format!(
            "{{\"node\":\"edge-{zone}-{number}\",\"ip\":\"127.0.0.1\",\"callers_address\":\"127.0.0.1:{callers}\",\
             \"ready_address\":\"127.0.0.1:{ready}\",\"peer_port\":{peers},\"store_address\":\"{store}\",\
             \"store_partitions\":8,\"advice_address\":null,\"vms_address\":null,\"worker_heartbeat_ms\":1500,\
             \"upkeep_s\":2,\"vm_order_pause_ms\":3000,\"orders\":\"invocation\",\"lease_limit_ms\":10000,\
             \"stop_limit_ms\":900,\"status_s\":120,\"grace_s\":6,\"files_limit\":4100,\"memory_mb\":260,\
             \"zone\":\"{zone}\",\"link_mbps\":{link_mbps:.1}}}"
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        Self {
            callers: SocketAddr::from(([127, 0, 0, 1], callers)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            settings,
            log: PathBuf::from(format!("{directory}/node-{number}.log")),
            processes: PathBuf::from(format!("{directory}/processes")),
            process: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let started = Command::new("target/release/sycamorespur-edge")
            .env("SYCAMORESPUR_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn();
        match started {
            Ok(child) => {
                let list = File::options().create(true).append(true).open(&self.processes);
                let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
                self.process = Some(child);
            }
            Err(error) => {
                eprintln!("the node can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Writes the entries of a minion. That of a life that is over is removed after three heartbeats of silence.
fn keep_registered(minion: &Minion, store: &Store, service: &str, number: usize, cpu: u64) {
    let (zone, rack) = (ZONES[number % 3], format!("r{}-{}", number % 3, number / 24));
    let mut written: Vec<(String, Instant)> = Vec::new();
    let mut last_life = None;
    for sequence in 0.. {
        let life = minion.life();
        let is_new_life = life.is_some() && life != last_life;
        if let Some((id, _)) = &life {
            last_life.clone_from(&life);
            let is_fresh = |(known, at): &&(String, Instant)| known == id && at.elapsed() < HEARTBEAT;
            if is_new_life || !written.iter().any(|entry| is_fresh(&entry)) {
                store.put("keyed.servers", id, &minion.entry(service, zone, &rack, cpu, sequence));
                written.retain(|(known, _)| known != id);
                written.push((id.clone(), Instant::now()));
            }
        }
        written.retain(|(known, at)| {
            let is_silent = at.elapsed() > 3 * HEARTBEAT;
            if is_silent {
                store.put("keyed.servers", known, "");
            }
            !is_silent
        });
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Finds free ports for callers, readiness and other nodes; the one after the last is free too. They lie below those that
/// the system gives to channels, so that no channel takes one before the node listens.
fn free_ports() -> (u16, u16, u16) {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 800) as u16 * 16;
    let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    loop {
        let port = 16_000 + (offset + 4 * NEXT.fetch_add(1, Ordering::Relaxed)) % 14_000;
        if (port..port + 4).all(is_free) {
            return (port, port + 1, port + 2);
        }
    }
}
