//! Callers that keep sending, and come back through another entry VM when they must.

use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::Connector;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_bench::cluster::SERVICE;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Resources;
use syc_types::TeamId;
use uuid::Uuid;

/// Pieces of work of each kind that are sent a second.
const PER_SECOND: u32 = 10;

/// Time that a caller waits for one answer.
const ATTEMPT: Duration = Duration::from_secs(6);

/// Time that a caller keeps coming back.
const PATIENCE: Duration = Duration::from_secs(25);

/// Time that an accepted job has to end.
const JOB_LIMIT: Duration = Duration::from_mins(1);

/// Pause before a caller comes back.
const COME_BACK: Duration = Duration::from_millis(400);

/// What was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once only.
    Once,
    /// A batch job whose tasks may run again.
    Batch,
    /// A batch job whose tasks may run once only.
    OnceBatch,
    /// A gang.
    Gang,
}

/// Every kind.
pub const KINDS: [Kind; 5] = [
    Kind::Idempotent,
    Kind::Once,
    Kind::Batch,
    Kind::OnceBatch,
    Kind::Gang,
];

/// What the caller knows in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The whole answer, or every result.
    Answered,
    /// Every attempt was answered "not run".
    NotRun,
    /// At least one attempt had an unknown outcome, and no answer came.
    Unknown,
    /// An accepted job did not end in time.
    NotEnded,
    /// An answer was wrong.
    Wrong,
}

/// One piece of work and what became of it.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Its id.
    pub id: Uuid,
    /// Its kind.
    pub kind: Kind,
    /// Its tasks, for a job.
    pub tasks: u32,
    /// What the caller knows.
    pub fate: Fate,
    /// How long it took.
    pub took: Duration,
}

/// Callers at work.
pub type Driving = actix_rt::task::JoinHandle<Vec<actix_rt::task::JoinHandle<Sent>>>;

/// Begins to send through all daemons in turn.
pub fn drive(callers: Vec<SmolStr>, seconds: u64) -> Driving {
    actix_rt::spawn(async move {
        let client = Client::builder()
            .connector(Connector::new().limit(0).timeout(Duration::from_secs(1)))
            .disable_timeout()
            .finish();
        let rounds = u64::from(PER_SECOND) * seconds;
        let mut ticks = actix_rt::time::interval(Duration::from_secs(1) / PER_SECOND);
        let mut pieces = Vec::new();
        for round in 0..rounds {
            ticks.tick().await;
            for (offset, kind) in KINDS.into_iter().enumerate() {
                let first = usize::try_from(round).unwrap_or(0) + offset;
                let caller = Caller {
                    client: client.clone(),
                    callers: callers.clone(),
                    next: first,
                };
                pieces.push(actix_rt::spawn(caller.send(kind, round)));
            }
        }
        pieces
    })
}

/// Waits until the fate of everything sent is known.
pub async fn finish(driving: Driving) -> Vec<Sent> {
    let mut all = Vec::new();
    for piece in driving.await.unwrap_or_default() {
        if let Ok(sent) = piece.await {
            all.push(sent);
        }
    }
    all
}

struct Caller {
    client: Client,
    callers: Vec<SmolStr>,
    next: usize,
}

/// What one attempt came to.
enum Attempt {
    Success(Vec<u8>),
    NotRun,
    Unknown,
}

impl Caller {
    async fn send(mut self, kind: Kind, round: u64) -> Sent {
        let id = Uuid::now_v7();
        let began = Instant::now();
        let (fate, tasks) = match kind {
            Kind::Idempotent => (self.request(id, true).await, 0),
            Kind::Once => (self.request(id, false).await, 0),
            Kind::Batch | Kind::OnceBatch | Kind::Gang => {
                let spec = job(kind, id, round);
                (self.job(id, &spec).await, spec.tasks)
            }
        };
        Sent {
            id,
            kind,
            tasks,
            fate,
            took: began.elapsed(),
        }
    }

    async fn request(&mut self, id: Uuid, idempotent: bool) -> Fate {
        let body = format!("body of {id}");
        let path = format!("/svc/{SERVICE}/work");
        let expected = format!("{id}:{body}").into_bytes();
        let attempt = |request: awc::ClientRequest| {
            request
                .insert_header(("x-request-id", id.to_string()))
                .insert_header(("x-idempotent", idempotent.to_string()))
                .insert_header(("x-timeout-ms", "5000"))
                .send_body(body.clone())
        };
        match self.until_answered(&path, attempt).await {
            Ok(answer) if answer == expected => Fate::Answered,
            Ok(_) => Fate::Wrong,
            Err(fate) => fate,
        }
    }

    async fn job(&mut self, id: Uuid, spec: &JobSpec) -> Fate {
        let body = serde_json::json!({ "job_id": id, "spec": spec });
        let attempt = |request: awc::ClientRequest| request.send_json(&body);
        match self.until_answered("/v1/jobs", attempt).await {
            Ok(_) => self.await_end(id).await,
            Err(fate) => fate,
        }
    }

    async fn until_answered<F>(&mut self, path: &str, attempt: F) -> Result<Vec<u8>, Fate>
    where
        F: Fn(awc::ClientRequest) -> awc::SendClientRequest,
    {
        let began = Instant::now();
        let mut unknown = false;
        while began.elapsed() < PATIENCE {
            let url = self.url(path);
            let request = self.client.post(url);
            match outcome(attempt(request)).await {
                Attempt::Success(answer) => return Ok(answer),
                Attempt::NotRun => {}
                Attempt::Unknown => unknown = true,
            }
            actix_rt::time::sleep(COME_BACK).await;
        }
        Err(if unknown { Fate::Unknown } else { Fate::NotRun })
    }

    async fn await_end(&mut self, id: Uuid) -> Fate {
        let began = Instant::now();
        while began.elapsed() < JOB_LIMIT {
            actix_rt::time::sleep(COME_BACK).await;
            let url = self.url(&format!("/v1/jobs/{id}"));
            let request = self.client.get(url);
            let Attempt::Success(answer) = outcome(request.send()).await else {
                continue;
            };
            let Ok(state) = serde_json::from_slice::<serde_json::Value>(&answer) else {
                continue;
            };
            if let Some(fate) = job_fate(&state, id) {
                return fate;
            }
        }
        Fate::NotEnded
    }

    fn url(&mut self, path: &str) -> String {
        let entry = &self.callers[self.next % self.callers.len()];
        self.next += 1;
        format!("http://{entry}{path}")
    }
}

async fn outcome(request: awc::SendClientRequest) -> Attempt {
    let exchange = async {
        let mut answer = match request.await {
            Ok(answer) => answer,
            Err(awc::error::SendRequestError::Connect(_)) => return Attempt::NotRun,
            Err(error) => {
                eprintln!("unknown outcome: {error}");
                return Attempt::Unknown;
            }
        };
        let status = answer.status().as_u16();
        let Ok(body) = answer.body().await else {
            return Attempt::Unknown;
        };
        match status {
            200 | 202 => Attempt::Success(body.to_vec()),
            503 | 429 => Attempt::NotRun,
            _ => {
                eprintln!(
                    "unknown outcome: {status} {}",
                    String::from_utf8_lossy(&body)
                );
                Attempt::Unknown
            }
        }
    };
    let limited = actix_rt::time::timeout(ATTEMPT, exchange).await;
    limited.unwrap_or(Attempt::Unknown)
}

fn job_fate(state: &serde_json::Value, id: Uuid) -> Option<Fate> {
    let expected = format!("result:{id}");
    let tasks = state["tasks"].as_array()?;
    let mut fate = Fate::Answered;
    for task in tasks {
        let ended = task.get("ended")?;
        if ended.as_str() == Some("unknown") {
            fate = Fate::Unknown;
            continue;
        }
        if ended["done"].as_str() != Some(&expected) {
            return Some(Fate::Wrong);
        }
    }
    Some(fate)
}

fn job(kind: Kind, id: Uuid, round: u64) -> JobSpec {
    JobSpec {
        team: TeamId::new(format_smolstr!("team-{}", round % 21)),
        name: "faults".into(),
        kind: if kind == Kind::Gang {
            JobKind::Gang
        } else {
            JobKind::Batch
        },
        tasks: if kind == Kind::Gang { 4 } else { 2 },
        resources: Resources {
            cpu_millis: 2_000,
            memory_bytes: 1 << 30,
            accelerators: 0,
        },
        run_time_ms: 1_500,
        idempotent: kind != Kind::OnceBatch,
        payload: SmolStr::new(id.to_string()),
        ..JobSpec::default()
    }
}
