//! Stand-ins of minions. The payload of a submission says how long each of its tasks runs, and whether it fails then:
//! `ms=N` or `ms=N fail`; with `ms=N spread`, they run for half to one and a half times as long. With the payload `lasting`, they run until they are stopped.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Reply;
use crate::http::Request;
use crate::http::serve;
use crate::json::parse;
use crate::json::quoted;
use crate::record::Record;

/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;

/// Longest wait of a call for an end.
const WAIT_MAX_MS: u64 = 2_000;

/// Ends that are listed at a time.
const ENDS_LISTED: usize = 500;

/// How often a minion looks whether its tasks have ended.
const LOOK: Duration = Duration::from_millis(10);

struct Run {
    run: u64,
    begun: Instant,
    length: Duration,
    /// Whether it runs until it is stopped. It is at work after its length.
    lasts: bool,
    fails: bool,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    /// When this life began, which is also when its clock did.
    begun: Instant,
    born_ms: u64,
    token: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    ended: VecDeque<End>,
    ends: u64,
    /// Lives that are over.
    lives: u64,
    is_down: bool,
    /// The highest run of each task that was stopped or has ended here.
    past_runs: HashMap<String, u64>,
}

impl State {
    fn new_life(lives: u64) -> Self {
        Self {
            begun: Instant::now(),
            born_ms: unix_ms(),
            token: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            ends: 0,
            lives,
            is_down: false,
            past_runs: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 + 1_000
    }
}

/// An order to start that gets no answer and is carried out late: the first one of a submission.
#[derive(Clone, Default)]
pub struct Trap {
    shared: Arc<Mutex<Option<TrapState>>>,
}

struct TrapState {
    submission: String,
    /// The order, once it has come, with the number of the minion.
    order: Option<(usize, Vec<u8>)>,
}

impl Trap {
    /// Waits for the first order to start a task of a submission.
    pub fn set(&self, submission: &str) {
        *self.shared.lock().unwrap() = Some(TrapState {
            submission: submission.to_owned(),
            order: None,
        });
    }

    /// Returns the number of the minion that the order came to, if it has come.
    pub fn minion(&self) -> Option<usize> {
        let state = self.shared.lock().unwrap();
        state.as_ref()?.order.as_ref().map(|(minion, _)| *minion)
    }

    fn takes(&self, minion: usize, request: &Request) -> bool {
        let mut state = self.shared.lock().unwrap();
        let Some(state) = state.as_mut().filter(|state| state.order.is_none()) else {
            return false;
        };
        let body = parse(&request.body);
        let is_its = body.get("Task").text().starts_with(&state.submission);
        if is_its {
            state.order = Some((minion, request.body.clone()));
        }
        is_its
    }
}

/// A minion.
#[derive(Clone)]
pub struct Minion {
    number: usize,
    /// Whether it starts again under the id that it had, and tells when each life began.
    keeps_id: bool,
    trap: Trap,
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Minion {
    /// Starts a minion on a free port of the loopback.
    pub fn start(number: usize, keeps_id: bool, trap: Trap, record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let minion = Self {
            number,
            keeps_id,
            trap,
            address: listener.local_addr().expect("an address"),
            shared: Arc::new((Mutex::new(State::new_life(0)), Condvar::new())),
            record,
        };
        let served = minion.clone();
        serve(listener, move |request| served.answer(&request));
        let ticking = minion.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LOOK);
                ticking.end_due_runs();
            }
        });
        minion
    }

    /// Returns its id and the number of its life, or `None` while it is down.
    pub fn life(&self) -> Option<(String, u64)> {
        let state = self.shared.0.lock().unwrap();
        (!state.is_down).then(|| (self.id_of(&state), state.lives))
    }

    /// Returns its id, or `None` while it is down.
    pub fn id(&self) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        (!state.is_down).then(|| self.id_of(&state))
    }

    fn id_of(&self, state: &State) -> String {
        let lives = if self.keeps_id { 0 } else { state.lives };
        format!("i-{lives:04x}{:04x}", self.number)
    }

    /// Ends its life: what runs on it is gone, and nothing is answered.
    pub fn crash(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let id = self.id_of(&state);
        for (task, run) in std::mem::take(&mut state.running) {
            self.record.ended(&id, &task, run.run, "lost with its minion");
        }
        self.record.line(&format!("minion {id} crashes"));
        *state = State::new_life(state.lives + 1);
        state.is_down = true;
        self.shared.1.notify_all();
    }

    /// Begins its next life.
    pub fn restart(&self) {
        let mut state = self.shared.0.lock().unwrap();
        *state = State::new_life(state.lives);
        self.record.line(&format!("minion {} starts", self.id_of(&state)));
    }

    /// Carries the order out that got no answer.
    pub fn carry_out_late(&self) {
        let order = self
            .trap
            .shared
            .lock()
            .unwrap()
            .as_ref()
            .and_then(|trap| trap.order.clone());
        let Some((_, body)) = order else {
            return;
        };
        self.record.line(&format!(
            "minion {} carries the order out that got no answer",
            self.number
        ));
        let request = Request {
            path: "/run-start".to_owned(),
            query: HashMap::new(),
            headers: HashMap::new(),
            body,
        };
        self.start_run(&request);
    }

    /// Returns the numbers of running tasks and of ends that it still lists.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.shared.0.lock().unwrap();
        (state.running.len(), state.ended.len())
    }

    fn end_due_runs(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let has_lapsed = state.deadline_ms <= state.clock_ms();
        let due: Vec<_> = state
            .running
            .iter()
            .filter(|(_, run)| has_lapsed || !run.lasts && run.begun.elapsed() >= run.length)
            .map(|(task, run)| {
                let is_over = !run.lasts && run.begun.elapsed() >= run.length;
                let how = match (is_over, run.fails) {
                    (false, _) => "lapsed",
                    (true, false) => "done",
                    (true, true) => "failed",
                };
                (task.clone(), how)
            })
            .collect();
        if due.is_empty() {
            return;
        }
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
        self.shared.1.notify_all();
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.ends += 1;
        state.past_runs.insert(task.to_owned(), run.run);
        let number = state.ends;
        state.ended.push_back(End {
            number,
            task: task.to_owned(),
            run: run.run,
            how,
        });
        self.record.ended(&self.id_of(state), task, run.run, how);
    }

    fn answer(&self, request: &Request) -> Reply {
        let Some(id) = self.id() else {
            return Reply::Reset;
        };
        let expected = request.headers.get("sycamorespur-expected-instance");
        if expected.is_some_and(|expected| *expected != id) {
            return Reply::json(421, "{}".to_owned());
        }
        match request.path.as_str() {
            "/run-start" if self.trap.takes(self.number, request) => {
                self.record
                    .line(&format!("an order to start at minion {} gets no answer", self.number));
                std::thread::sleep(Duration::from_secs(2));
                Reply::Reset
            }
            "/run-start" => self.start_run(request),
            "/run-stop" => self.stop_run(request),
            "/hold" => self.hold(request),
            "/pace" | "/healthz" => Self::accepted(&self.shared.0.lock().unwrap()),
            _ => Reply::json(400, "{}".to_owned()),
        }
    }

    fn accepted(state: &State) -> Reply {
        let clock_ms = state.clock_ms();
        Reply::json(200, format!("{{\"ClockMs\":{clock_ms}}}"))
    }

    fn refused(state: &State, reason: &str) -> Reply {
        let clock_ms = state.clock_ms();
        Reply::json(409, format!("{{\"ClockMs\":{clock_ms},\"Reason\":\"{reason}\"}}"))
    }

    fn extend(state: &mut State, until_ms: Option<u64>) {
        if let Some(until_ms) = until_ms {
            let until_ms = until_ms.min(state.clock_ms() + HOLD_MAX_MS);
            state.deadline_ms = state.deadline_ms.max(until_ms);
        }
    }

    fn start_run(&self, request: &Request) -> Reply {
        let body = parse(&request.body);
        let task = body.get("Task").text().to_owned();
        let run = body.get("Run").number().unwrap_or(0);
        let token = body.get("FencingToken").number().unwrap_or(0);
        let until_ms = body.get("DeadlineMs").number();
        let payload = body.get("Spec").text();
        let mut state = self.shared.0.lock().unwrap();
        if token < state.token {
            return Self::refused(&state, "fence");
        }
        state.token = token;
        if until_ms.is_some_and(|until_ms| until_ms <= state.clock_ms()) {
            return Self::refused(&state, "late");
        }
        Self::extend(&mut state, until_ms);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return Self::accepted(&state);
        }
        let is_past = state.past_runs.get(&task).is_some_and(|past| run <= *past);
        if is_past || state.running.contains_key(&task) {
            return Self::refused(&state, "old");
        }
        let mut length_ms = written_length_ms(payload).unwrap_or(500);
        if payload.ends_with(" spread") {
            let index = task.rsplit('.').next().and_then(|index| index.parse::<u64>().ok());
            length_ms = length_ms / 2 + length_ms * (index.unwrap_or(0) * 37 % 100) / 100;
        }
        let begun = Run {
            run,
            begun: Instant::now(),
            length: Duration::from_millis(length_ms),
            lasts: payload == "lasting",
            fails: payload.ends_with(" fail"),
        };
        state.running.insert(task.clone(), begun);
        self.record.started(&self.id_of(&state), &task, run, token);
        Self::accepted(&state)
    }

    fn stop_run(&self, request: &Request) -> Reply {
        let body = parse(&request.body);
        let task = body.get("Task").text().to_owned();
        let run = body.get("Run").number().unwrap_or(0);
        let token = body.get("FencingToken").number().unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        if token < state.token {
            return Self::refused(&state, "fence");
        }
        state.token = token;
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            self.end(&mut state, &task, "stopped");
            self.shared.1.notify_all();
        } else {
            let past = state.past_runs.entry(task).or_insert(0);
            *past = (*past).max(run);
        }
        Self::accepted(&state)
    }

    fn hold(&self, request: &Request) -> Reply {
        let body = parse(&request.body);
        let token = body.get("FencingToken").number().unwrap_or(0);
        let observed = body.get("Observed").number().unwrap_or(0);
        let wait_ms = body.get("WaitMs").number().unwrap_or(0).min(WAIT_MAX_MS);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        let life = state.lives;
        if token < state.token {
            return Self::refused(&state, "fence");
        }
        state.token = token;
        Self::extend(&mut state, body.get("DeadlineMs").number());
        while state.ended.front().is_some_and(|end| end.number <= observed) {
            let noted = state.ended.pop_front();
            if let Some(end) = noted.filter(|end| end.how == "done") {
                self.record.noted(&self.id_of(&state), &end.task, end.run);
            }
        }
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        if state.is_down || state.lives != life {
            return Reply::Reset;
        }
        let running = state.running.iter().map(|(task, run)| {
            let percent = run.begun.elapsed().as_secs_f64() / run.length.as_secs_f64() * 100.0;
            let most = if run.lasts { 100.0 } else { 99.0 };
            format!("[{},{},\"\",{},100]", quoted(task), run.run, percent.min(most) as u64)
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = state.ended.iter().take(ENDS_LISTED).map(|end| {
            let task = quoted(&end.task);
            format!("[{},{task},{},\"{}\",\"\"]", end.number, end.run, end.how)
        });
        let ended = ended.collect::<Vec<_>>().join(",");
        let clock_ms = state.clock_ms();
        let born = self.born(&state);
        Reply::json(
            200,
            format!("{{{born}\"ClockMs\":{clock_ms},\"Running\":[{running}],\"Ended\":[{ended}]}}"),
        )
    }

    /// Returns the field that tells when its life began, if it tells that.
    fn born(&self, state: &State) -> String {
        if self.keeps_id {
            format!("\"born\":{},", state.born_ms)
        } else {
            String::new()
        }
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, rack: &str, cpu: u64, sequence: u64) -> String {
        let state = self.shared.0.lock().unwrap();
        format!(
            "{{{}\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{cpu},\"MemMb\":131072,\"Gpu\":0}},\
             \"Labels\":[\"a\",\"{rack}\"],\"ClockMs\":{},\"Sequence\":{sequence}}}",
            self.born(&state),
            self.address,
            state.clock_ms()
        )
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn written_length_ms(payload: &str) -> Option<u64> {
    let rest = payload.strip_prefix("ms=")?;
    rest.split(' ').next()?.parse().ok()
}
