//! Minions: each has an address of its own, and tasks work as long as their payload says.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{NO_REPLY, Reply, Request, reply};
use crate::journal::Journal;
use crate::ms;

/// Longest lease.
pub const HOLD_MAX_MS: u64 = 10_000;

/// A stop takes at most this long.
pub const STOP_MS: u64 = 900;

/// A channel to a minion that is gone stays silent for this long.
const SILENCE: Duration = Duration::from_secs(5);

/// Ends in one answer.
const ENDS_LISTED: usize = 500;

pub struct Running {
    pub run: u64,
    pub began: Instant,
    pub work: Duration,
    pub fails: bool,
    pub cpu: u64,
    /// Whether its start and end are counted only, and not written down one by one.
    pub is_quiet: bool,
    pub stop_at: Option<Instant>,
}

#[derive(Default)]
pub struct MinionState {
    /// Whether it has crashed, for good.
    pub is_down: bool,
    pub running: BTreeMap<String, Running>,
    pub ended: Vec<(u64, String, u64, &'static str)>,
    pub ends: u64,
    pub observed: u64,
    /// Highest run of each task that was stopped or has ended.
    pub over: HashMap<String, u64>,
    pub fence: u64,
    pub until_ms: u64,
}

pub struct Minion {
    pub number: u32,
    pub address: SocketAddr,
    pub began: Instant,
    pub cpu: u64,
    pub service: &'static str,
    pub kind: &'static str,
    pub state: Mutex<MinionState>,
    pub news: Condvar,
    pub journal: Arc<Journal>,
    pub starts: Arc<AtomicU64>,
}

pub fn text_field(body: &str, name: &str) -> String {
    let Some((_, rest)) = body.split_once(&format!("\"{name}\":\"")) else { return String::new() };
    rest.split('"').next().unwrap_or_default().to_owned()
}

pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// A task's payload says how long it works and what it needs: `work=MS cpu=MILLIS`.
pub fn word(spec: &str, name: &str) -> u64 {
    let mut words = spec.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap_or(0)
}

impl Minion {
    pub fn id(&self) -> String {
        format!("i-{:08x}", 0x7f3a_0000_u32 + 7_919 * self.number)
    }

    /// Loses it for good: it answers nothing and reports nothing any more.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let tasks: Vec<_> = state.running.keys().collect();
        self.journal.note(&format!("minion {} is lost for good; it ran {tasks:?}", self.id()));
        *state = MinionState { is_down: true, ..MinionState::default() };
        drop(state);
        self.news.notify_all();
    }

    pub fn entry(&self, sequence: u64) -> (String, String) {
        let id = self.id();
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z1\",\"Version\":\"1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":{sequence},\"Machine\":\"m-{}\",\"Capacity\":{{\"Cpu\":{},\"MemMb\":262144}},\"Labels\":[\"{}\",\"r1-{}\"]}}",
            self.service, self.address, self.number, self.cpu, self.kind, self.number / 8
        );
        (id, entry)
    }

    pub fn clock_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    pub fn refusal(&self, why: &str) -> Reply {
        reply(409, format!("{{\"ClockMs\":{},\"Reason\":\"{why}\"}}", self.clock_ms()))
    }

    pub fn accepted(&self) -> Reply {
        reply(200, format!("{{\"ClockMs\":{}}}", self.clock_ms()))
    }

    pub fn end(&self, state: &mut MinionState, task: String, how: &'static str) {
        let Some(running) = state.running.remove(&task) else { return };
        state.ends += 1;
        let over = state.over.entry(task.clone()).or_default();
        *over = (*over).max(running.run);
        if !running.is_quiet {
            let id = self.id();
            self.journal.note(&format!("minion {id}: {task} run {} ended {how}", running.run));
        }
        state.ended.push((state.ends, task, running.run, how));
    }

    pub fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let mut ends = Vec::new();
        let lapsed = self.clock_ms() > state.until_ms;
        for (task, running) in &state.running {
            if lapsed {
                ends.push((task.clone(), "lapsed"));
            } else if running.stop_at.is_some_and(|at| at <= now) {
                ends.push((task.clone(), "stopped"));
            } else if now.duration_since(running.began) >= running.work {
                ends.push((task.clone(), if running.fails { "failed" } else { "done" }));
            }
        }
        if ends.is_empty() {
            return;
        }
        for (task, how) in ends {
            self.end(&mut state, task, how);
        }
        drop(state);
        self.news.notify_all();
    }

    pub fn extend(&self, state: &mut MinionState, until_ms: Option<u64>) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        if let Some(until_ms) = until_ms {
            state.until_ms = state.until_ms.max(until_ms.min(most));
        }
    }

    pub fn answer(&self, request: &Request) -> Reply {
        if request.method == "GET" && request.path == "/healthz" {
            return reply(200, "{}".into());
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let fence = number_field(&body, "FencingToken").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            drop(state);
            thread::sleep(SILENCE);
            return NO_REPLY;
        }
        if request.headers.get("sycamorespur-expected-instance").is_some_and(|id| *id != self.id()) {
            return reply(421, "{}".into());
        }
        if fence < state.fence {
            return self.refusal("fence");
        }
        state.fence = fence;
        let task = text_field(&body, "Task");
        let run = number_field(&body, "Run").unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                let until_ms = number_field(&body, "DeadlineMs");
                if state.running.get(&task).is_some_and(|running| running.run == run) {
                    return self.accepted();
                }
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    self.extend(&mut state, until_ms);
                    return self.refusal("old");
                }
                if until_ms.is_none_or(|until_ms| until_ms <= self.clock_ms()) {
                    return self.refusal("late");
                }
                self.extend(&mut state, until_ms);
                let spec = text_field(&body, "Spec");
                let running = Running {
                    run,
                    began: Instant::now(),
                    work: ms(word(&spec, "work")),
                    fails: run <= word(&spec, "fails"),
                    cpu: word(&spec, "cpu"),
                    is_quiet: word(&spec, "quiet") == 1,
                    stop_at: None,
                };
                if !running.is_quiet {
                    self.journal.note(&format!("minion {}: starts {task} run {run}", self.id()));
                }
                self.starts.fetch_add(1, Ordering::Relaxed);
                state.running.insert(task, running);
                self.accepted()
            }
            "/run-stop" => {
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                if let Some(running) = state.running.get_mut(&task).filter(|running| running.run <= run) {
                    running.stop_at.get_or_insert(Instant::now() + ms(STOP_MS / 10));
                }
                self.accepted()
            }
            "/hold" => {
                let observed = number_field(&body, "Observed").unwrap_or(0);
                state.observed = state.observed.max(observed);
                state.ended.retain(|(number, ..)| *number > observed);
                self.extend(&mut state, number_field(&body, "DeadlineMs"));
                let until = Instant::now() + ms(number_field(&body, "WaitMs").unwrap_or(0).min(2_000));
                while state.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.news.wait_timeout(state, left).unwrap().0;
                    if state.is_down {
                        return NO_REPLY;
                    }
                }
                let running: Vec<_> = state
                    .running
                    .iter()
                    .map(|(task, running)| {
                        let share = running.began.elapsed().as_secs_f64() / running.work.as_secs_f64().max(0.001);
                        let percent = (share * 100.0).min(99.0) as u64;
                        format!("[\"{task}\",{},\"\",{percent},{}]", running.run, running.cpu)
                    })
                    .collect();
                let ended: Vec<_> = state
                    .ended
                    .iter()
                    .take(ENDS_LISTED)
                    .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
                    .collect();
                let (running, ended) = (running.join(","), ended.join(","));
                reply(200, format!("{{\"ClockMs\":{},\"Running\":[{running}],\"Ended\":[{ended}]}}", self.clock_ms()))
            }
            "/pace" => self.accepted(),
            _ => reply(404, "{}".into()),
        }
    }
}

