//! Minions: each has an address of its own, and tasks work as long as their payload says.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{NO_REPLY, Reply, Request, reply};
use crate::journal::Journal;
use crate::ledger::Ledger;
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

/// One life of a minion.
pub struct MinionState {
    /// Number of the life, from 0.
    pub life: u32,
    pub began: Instant,
    pub born_ms: u128,
    /// Whether it is lost for good.
    pub is_gone: bool,
    /// Whether it has crashed and not started again.
    pub is_down: bool,
    /// Whether the next renewal that takes note of ends is held up.
    pub holds_up: bool,
    /// A renewal that was held up, and will be carried out late.
    pub late: Option<String>,
    /// When the lease had last lapsed.
    pub lapsed_at: Option<Instant>,
    pub running: BTreeMap<String, Running>,
    pub ended: Vec<(u64, String, u64, &'static str)>,
    pub ends: u64,
    pub observed: u64,
    /// Highest run of each task that was stopped or has ended.
    pub over: HashMap<String, u64>,
    pub fence: u64,
    pub until_ms: u64,
}

impl MinionState {
    pub fn new(life: u32) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            life,
            began: Instant::now(),
            born_ms: born.as_millis(),
            is_gone: false,
            is_down: false,
            holds_up: false,
            late: None,
            lapsed_at: None,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            observed: 0,
            over: HashMap::new(),
            fence: 0,
            until_ms: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until_ms: Option<u64>) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        if let Some(until_ms) = until_ms {
            self.until_ms = self.until_ms.max(until_ms.min(most));
        }
    }

    fn refusal(&self, why: &str) -> Reply {
        reply(409, format!("{{\"ClockMs\":{},\"Reason\":\"{why}\"}}", self.clock_ms()))
    }

    fn accepted(&self) -> Reply {
        reply(200, format!("{{\"ClockMs\":{}}}", self.clock_ms()))
    }
}

pub struct Minion {
    pub number: u32,
    pub address: SocketAddr,
    /// Whether it starts again under its id, and says when each life was born.
    pub keeps_id: bool,
    pub cpu: u64,
    pub service: &'static str,
    pub kind: &'static str,
    pub state: Mutex<MinionState>,
    pub news: Condvar,
    pub journal: Arc<Journal>,
    pub starts: Arc<AtomicU64>,
    pub ledger: Arc<Ledger>,
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

/// A task's payload says how long it works and what it needs: `work=MS cpu=MILLIS`, with `spread=MS` so much longer for
/// each index.
pub fn word(spec: &str, name: &str) -> u64 {
    let mut words = spec.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap_or(0)
}

impl Minion {
    pub fn id(&self) -> String {
        format!("i-{:08x}", 0x7f3a_0000_u32 + 7_919 * self.number)
    }

    /// Loses it for good: it answers nothing and reports nothing any more.
    pub fn lose(&self) {
        let mut state = self.state.lock().unwrap();
        let tasks: Vec<_> = state.running.keys().collect();
        self.journal.note(&format!("minion {} is lost for good; it ran {tasks:?}", self.id()));
        *state = MinionState { is_gone: true, is_down: true, ..MinionState::new(state.life + 1) };
        drop(state);
        self.news.notify_all();
    }

    /// Holds the next renewal up that takes note of ends.
    pub fn hold_up_renewal(&self) {
        self.state.lock().unwrap().holds_up = true;
    }

    pub fn has_held_up(&self) -> bool {
        self.state.lock().unwrap().late.is_some()
    }

    /// Crashes it, and returns the renewal that it has not carried out.
    pub fn crash(&self) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        let late = state.late.take();
        self.journal.note(&format!(
            "minion {} crashes after {} ends, of which {} were taken note of; it runs {} tasks",
            self.id(),
            state.ends,
            state.observed,
            state.running.len()
        ));
        *state = MinionState { is_down: true, ..MinionState::new(state.life + 1) };
        drop(state);
        self.news.notify_all();
        late
    }

    pub fn start_again(&self) {
        let mut state = self.state.lock().unwrap();
        *state = MinionState::new(state.life);
        self.journal.note(&format!("minion {} starts again under its id, born {}", self.id(), state.born_ms));
    }

    /// Carries a renewal out that a former life did not.
    pub fn carry_out_late(&self, body: &str) {
        let mut state = self.state.lock().unwrap();
        let forgotten = state.ended.len();
        let observed = number_field(body, "Observed").unwrap_or(0);
        if state.is_down || number_field(body, "FencingToken").unwrap_or(0) < state.fence {
            self.journal.note("the late renewal is refused");
            return;
        }
        self.renew(&mut state, body);
        self.journal.note(&format!(
            "minion {} carries a renewal out late, with Observed {observed}: of its ends up to {}, {} are forgotten now",
            self.id(),
            state.ends,
            forgotten - state.ended.len()
        ));
    }

    fn renew(&self, state: &mut MinionState, body: &str) {
        let observed = number_field(body, "Observed").unwrap_or(0);
        state.observed = state.observed.max(observed);
        for (number, task, _, how) in &state.ended {
            if *number <= observed && *how == "done" {
                self.ledger.noted(task, &self.id(), state.life, state.lapsed_at);
            }
        }
        state.ended.retain(|(number, ..)| *number > observed);
        state.extend(number_field(body, "DeadlineMs"));
    }

    fn birth(&self, state: &MinionState) -> String {
        if self.keeps_id { format!(",\"born\":{}", state.born_ms) } else { String::new() }
    }

    pub fn entry(&self, sequence: u64) -> (String, String) {
        let id = self.id();
        let birth = self.birth(&self.state.lock().unwrap());
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z1\",\"Version\":\"1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":{sequence},\"Machine\":\"m-{}\",\"Capacity\":{{\"Cpu\":{},\"MemMb\":262144}},\"Labels\":[\"{}\",\"r1-{}\"]{birth}}}",
            self.service, self.address, self.number, self.cpu, self.kind, self.number / 8
        );
        (id, entry)
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
        if how == "done" {
            self.ledger.ended_done(&task, &self.id(), state.life);
        }
        state.ended.push((state.ends, task, running.run, how));
    }

    pub fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let mut ends = Vec::new();
        let lapsed = state.clock_ms() > state.until_ms;
        if lapsed {
            state.lapsed_at = Some(now);
        }
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

    pub fn answer(&self, request: &Request) -> Reply {
        if request.method == "GET" && request.path == "/healthz" {
            return reply(200, "{}".into());
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let fence = number_field(&body, "FencingToken").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            let is_gone = state.is_gone;
            drop(state);
            if is_gone {
                thread::sleep(SILENCE);
            }
            return NO_REPLY;
        }
        if request.headers.get("sycamorespur-expected-instance").is_some_and(|id| *id != self.id()) {
            return reply(421, "{}".into());
        }
        if fence < state.fence {
            return state.refusal("fence");
        }
        state.fence = fence;
        let task = text_field(&body, "Task");
        let run = number_field(&body, "Run").unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                let until_ms = number_field(&body, "DeadlineMs");
                if state.running.get(&task).is_some_and(|running| running.run == run) {
                    return state.accepted();
                }
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    state.extend(until_ms);
                    return state.refusal("old");
                }
                if until_ms.is_none_or(|until_ms| until_ms <= state.clock_ms()) {
                    return state.refusal("late");
                }
                state.extend(until_ms);
                let spec = text_field(&body, "Spec");
                let index: u64 = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
                let running = Running {
                    run,
                    began: Instant::now(),
                    work: ms(word(&spec, "work") + index * word(&spec, "spread")),
                    fails: run <= word(&spec, "fails"),
                    cpu: word(&spec, "cpu"),
                    is_quiet: word(&spec, "quiet") == 1,
                    stop_at: None,
                };
                if !running.is_quiet {
                    self.journal.note(&format!("minion {}: starts {task} run {run}", self.id()));
                }
                self.starts.fetch_add(1, Ordering::Relaxed);
                self.ledger.started(&task, run, &self.id());
                state.running.insert(task, running);
                state.accepted()
            }
            "/run-stop" => {
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                if let Some(running) = state.running.get_mut(&task).filter(|running| running.run <= run) {
                    running.stop_at.get_or_insert(Instant::now() + ms(STOP_MS / 10));
                }
                state.accepted()
            }
            "/hold" => {
                let life = state.life;
                if state.holds_up && number_field(&body, "Observed").unwrap_or(0) > 0 {
                    state.holds_up = false;
                    self.journal.note(&format!("minion {}: this renewal is held up: {body}", self.id()));
                    state.late = Some(body);
                    drop(state);
                    thread::sleep(SILENCE);
                    return NO_REPLY;
                }
                self.renew(&mut state, &body);
                let until = Instant::now() + ms(number_field(&body, "WaitMs").unwrap_or(0).min(2_000));
                while state.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.news.wait_timeout(state, left).unwrap().0;
                    if state.life != life {
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
                let birth = self.birth(&state);
                reply(200, format!("{{\"ClockMs\":{},\"Running\":[{running}],\"Ended\":[{ended}]{birth}}}", state.clock_ms()))
            }
            "/pace" => state.accepted(),
            _ => reply(404, "{}".into()),
        }
    }
}

