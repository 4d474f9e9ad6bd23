//! A small deployment: the store, the minions, and nodes started with the command of the deploy file.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, listen, serve};
use crate::journal::Journal;
use crate::ledger::Ledger;
use crate::minion::{HOLD_MAX_MS, Minion, MinionState, STOP_MS, number_field, text_field};
use crate::ms;
use crate::store::{PARTS, Store};

/// Interval of the minions' status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Option<Child>,
    pub settings: String,
    pub log: String,
}

pub struct World {
    pub journal: Arc<Journal>,
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    pub nodes: Vec<Node>,
    pub starts: Arc<AtomicU64>,
    pub ledger: Arc<Ledger>,
    repository: String,
    folder: String,
    next: u64,
}

/// Minions of one service and kind.
pub struct Pool {
    pub service: &'static str,
    pub kind: &'static str,
    pub minions: u32,
    pub cpu: u64,
}

pub struct Size {
    pub nodes: u8,
    pub pools: Vec<Pool>,
    /// Whether minions start again under their ids.
    pub keeps_ids: bool,
}

pub const HOST: &str = "jobs.example";

pub fn register(store: &Store, minion: &Minion, sequence: u64) {
    if minion.state.lock().unwrap().is_down {
        return;
    }
    let (id, entry) = minion.entry(sequence);
    store.put("keyed.servers", &id, &entry);
}

impl World {
    pub fn new(size: &Size, repository: &str, journal: Arc<Journal>, folder: &str) -> Self {
        let store = Arc::new(Store {
            state: Mutex::default(),
            news: Condvar::new(),
            appending: Mutex::default(),
            journal: Arc::clone(&journal),
            refused: AtomicU64::new(0),
        });
        let listener = listen("127.0.0.1");
        let store_address = listener.local_addr().unwrap();
        let answering = Arc::clone(&store);
        serve(listener, move |request| answering.answer(&request));
        let starts = Arc::new(AtomicU64::new(0));
        let ledger = Arc::new(Ledger::new(Arc::clone(&journal)));
        let mut minions: Vec<Arc<Minion>> = Vec::new();
        for pool in &size.pools {
            for _ in 0..pool.minions {
                let listener = listen("127.0.0.1");
                let minion = Arc::new(Minion {
                    number: minions.len() as u32,
                    address: listener.local_addr().unwrap(),
                    cpu: pool.cpu,
                    service: pool.service,
                    kind: pool.kind,
                    keeps_id: size.keeps_ids,
                    state: Mutex::new(MinionState::new(0)),
                    news: Condvar::new(),
                    journal: Arc::clone(&journal),
                    starts: Arc::clone(&starts),
                    ledger: Arc::clone(&ledger),
                });
                let answering = Arc::clone(&minion);
                serve(listener, move |request| answering.answer(&request));
                minions.push(minion);
            }
        }
        let ticking = minions.clone();
        thread::spawn(move || {
            loop {
                ticking.iter().for_each(|minion| minion.tick());
                thread::sleep(ms(10));
            }
        });
        let (registering, registry) = (minions.clone(), Arc::clone(&store));
        thread::spawn(move || {
            let mut expired: HashMap<String, Instant> = HashMap::new();
            for sequence in 1_u64.. {
                for minion in &registering {
                    register(&registry, minion, sequence);
                    if !minion.state.lock().unwrap().is_down {
                        expired.insert(minion.id(), Instant::now());
                    }
                }
                // "It is removed [...] after three status report intervals of silence."
                expired.retain(|id, seen| {
                    let is_kept = seen.elapsed() < 3 * HEARTBEAT;
                    if !is_kept {
                        registry.put("keyed.servers", id, "");
                    }
                    is_kept
                });
                thread::sleep(HEARTBEAT);
            }
        });
        let mut nodes = Vec::new();
        for number in 0..size.nodes {
            let ip = format!("127.0.0.{}", 11 + number);
            let held = [listen(&ip), listen(&ip), listen(&ip)];
            let port = |at: usize| held[at].local_addr().unwrap();
            let peers = loop {
                let first = listen(&ip);
                let port = first.local_addr().unwrap().port();
                if port < u16::MAX && TcpListener::bind((ip.as_str(), port + 1)).is_ok() {
                    break port;
                }
            };
            let settings = format!(
                "{{\"node\":\"edge-{number}\",\"ip\":\"{ip}\",\"callers_address\":\"{}\",\"ready_address\":\"{}\",\"peer_port\":{peers},\"store_address\":\"{store_address}\",\"store_partitions\":{PARTS},\"advice_address\":null,\"vms_address\":null,\"worker_heartbeat_ms\":1500,\"upkeep_s\":2,\"vm_order_pause_ms\":3000,\"orders\":\"invocation\",\"lease_limit_ms\":{HOLD_MAX_MS},\"stop_limit_ms\":{STOP_MS},\"status_s\":120,\"grace_s\":6,\"files_limit\":4100,\"zone\":\"z1\",\"link_mbps\":1000.0}}",
                port(0), port(1)
            );
            let path = format!("{folder}/edge-{number}.json");
            std::fs::write(&path, settings).expect("settings are written");
            nodes.push(Node { front: port(0), ready: port(1), child: None, settings: path, log: format!("{folder}/edge-{number}.log") });
        }
        let route = |name: &str, service: &str, priority: u32, aim_ms: u32, stretch: f64| {
            format!("{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"Service\":\"{service}\",\"TimeoutMs\":3000,\"TargetLatencyMs\":{aim_ms},\"Priority\":{priority},\"MaxAttempts\":3,\"Stretch\":{stretch}}}")
        };
        let routes = [
            route("serving", "intake", 0, 250, 1.5),
            route("batch", "intake", 2, 3_000, 4.0),
            route("lookup", "intake", 1, 250, 1.5),
            route("archive", "archive", 1, 3_000, 4.0),
        ]
        .join(",");
        let configuration = format!(
            "{{\"Version\":3,\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"intake\",\"AdmissionControl\":false}},{{\"Name\":\"archive\",\"AdmissionControl\":false}}],\"Limits\":{{\"MaxBodyBytes\":262144}}}}"
        );
        store.put("keyed.op", "config", &configuration);
        Self { journal, store, minions, nodes, starts, ledger, repository: repository.to_owned(), folder: folder.to_owned(), next: 0x5c0e_7a21_0000_0001 }
    }

    pub fn start_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&node.log).expect("a log file");
        let child = Command::new("target/release/sycamorespur-edge")
            .current_dir(&self.repository)
            .env("SYCAMORESPUR_SETTINGS", &node.settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                // The script ends what is left of these, whatever becomes of this process.
                let pids = std::fs::OpenOptions::new().create(true).append(true).open(format!("{}/pids", self.folder));
                let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
                node.child = Some(child);
            }
            Err(error) => {
                self.journal.say(&format!("the node can't be started: {error}"));
                std::process::exit(2);
            }
        }
    }

    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            let ready = |node: &Node| call(node.ready, "GET", "/readyz", HOST, "", ms(500)).is_some_and(|(status, _)| status == 200);
            if self.nodes.iter().all(ready) {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }

    pub fn new_id(&mut self) -> String {
        self.next += 0x9e37;
        format!("{:016x}", self.next)
    }

    /// Hands a submission in until it is accepted, as clients do.
    pub fn submit(&self, queue: &str, id: &str, body: &str) -> bool {
        for attempt in 0..8 {
            let node = &self.nodes[(attempt + id.as_bytes()[15] as usize) % self.nodes.len()];
            let answer = call(node.front, "POST", &format!("/{queue}/{id}"), HOST, body, ms(3_000));
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.journal.note(&format!("client: POST /{queue}/{id} ({} bytes): {}", body.len(), shown(status)));
            if (200..300).contains(&status) {
                return true;
            }
            thread::sleep(ms(500));
        }
        false
    }

    pub fn state_of(&self, queue: &str, id: &str) -> String {
        for node in &self.nodes {
            let answer = call(node.front, "GET", &format!("/{queue}/{id}"), HOST, "", ms(3_000));
            match answer {
                Some((200, body)) => return text_field(&body, "State"),
                Some((410, _)) => return "410".into(),
                _ => {}
            }
        }
        "no answer".into()
    }

    /// Tasks of a submission that are at work.
    pub fn at_work(&self, id: &str) -> usize {
        let of = |minion: &Arc<Minion>| {
            let state = minion.state.lock().unwrap();
            state.running.keys().filter(|task| task.starts_with(id)).count()
        };
        self.minions.iter().map(of).sum()
    }

    /// What is in use of the capacity of a service's minions that are up, and all of it, in thousandths of a core.
    pub fn cpu_in_use(&self, service: &str) -> (u64, u64) {
        let mut used = 0;
        let mut all = 0;
        for minion in self.minions.iter().filter(|minion| minion.service == service) {
            let state = minion.state.lock().unwrap();
            if state.is_down {
                continue;
            }
            used += state.running.values().map(|running| running.cpu).sum::<u64>();
            all += minion.cpu;
        }
        (used, all)
    }

    /// How many tasks that need `cpu` there is room for on the minions of a service.
    pub fn room_for(&self, service: &str, cpu: u64) -> u64 {
        let mut room = 0;
        for minion in self.minions.iter().filter(|minion| minion.service == service) {
            let state = minion.state.lock().unwrap();
            if state.is_down {
                continue;
            }
            let used: u64 = state.running.values().map(|running| running.cpu).sum();
            room += minion.cpu.saturating_sub(used) / cpu;
        }
        room
    }

    pub fn ends(&self) -> (u64, u64) {
        let mut all = (0, 0);
        for minion in &self.minions {
            let state = minion.state.lock().unwrap();
            all.0 += state.ends;
            all.1 += state.observed;
        }
        all
    }

    pub fn end(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    pub fn say_load(&self, what: &str) {
        let (used, all) = self.cpu_in_use("intake");
        let (ends, observed) = self.ends();
        self.journal.say(&format!(
            "{what}: {} starts, {used} of {all} thousandths of a core in use, {ends} ends listed, {observed} taken note of, {} appends refused by the store for their size",
            self.starts.load(Ordering::Relaxed),
            self.store.refused.load(Ordering::Relaxed)
        ));
    }
}

pub fn shown(status: u16) -> String {
    if status == 0 { "no answer".into() } else { status.to_string() }
}

pub fn step(count: usize, cpu: u64, mem_mb: u64, estimate_ms: u64, more: &str) -> String {
    format!("{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":{mem_mb},\"EstimateMs\":{estimate_ms}{more}}}")
}

/// A submission whose tasks work for `work_ms`. Where a step has very many of them, they are not written down one by one.
pub fn submission(work_ms: u64, cpu: u64, steps: &[String]) -> String {
    let has_many = steps.iter().any(|step| number_field(step, "Count").unwrap_or(0) >= 100);
    let quiet = u8::from(has_many);
    format!("{{\"Spec\":\"work={work_ms} cpu={cpu} quiet={quiet}\",\"Steps\":[{}]}}", steps.join(","))
}

