//! Workers, owners and a log as simple as they can be, and the rules that are checked in them.

mod calls;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use syc_coord::Home;
use syc_coord::HomeOptions;
use syc_coord::Job;
use syc_coord::Jobs;
use syc_coord::TaskState;
use syc_coord::home::Action;
use syc_coord::home::Placement;
use syc_coord::home::StartOutcome;
use syc_types::Epoch;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use uuid::Uuid;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Arrives,
    CallLost,
    ReplyLost,
    ReplyLate,
    Refused,
}

/// What happens next.
#[derive(Debug, Clone)]
pub enum Op {
    Accept {
        idempotent: bool,
        kind: u8,
        tasks: u32,
    },
    Decide,
    Deliver {
        which: u8,
        fate: Fate,
    },
    LateReply(u8),
    TaskEnds {
        which: u8,
        outcome: u8,
    },
    Report {
        which: u8,
        answered: bool,
    },
    WorkerDies(u8),
    OwnerRestarts(u8),
    OwnerSettles(u8),
    HomeRestarts,
    Log(bool),
    Cancel(u8),
    Time(u64),
}

#[derive(Debug, Clone)]
struct Run {
    task: TaskRef,
    attempt: u32,
    owner: usize,
}

#[derive(Debug, Clone)]
struct End {
    run: Run,
    outcome: TaskOutcome,
}

#[derive(Debug, Clone)]
struct Call {
    // The epoch it was sent in, and the home that waits for its reply.
    epoch: u64,
    incarnation: u32,
    action: Action,
}

type Reply = (Placement, Vec<(u32, StartOutcome)>);

/// Everything outside the home, and the home.
#[derive(Debug)]
pub struct World {
    home: Home,
    jobs: Jobs,
    accepted: Vec<JobId>,
    epoch: u64,
    restarts: [u32; 3],
    settled: [bool; 3],
    log_up: bool,
    now: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    incarnation: u32,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    starts: BTreeMap<TaskRef, u32>,
    attempts: BTreeSet<(TaskRef, u32)>,
}

fn team() -> TeamId {
    TeamId::new("freight")
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            home: Home::new(HomeOptions::default()),
            jobs: Jobs::default(),
            accepted: Vec::new(),
            epoch: 0,
            restarts: [0; 3],
            settled: [true; 3],
            log_up: true,
            now: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            incarnation: 0,
            calls: Vec::new(),
            replies: Vec::new(),
            starts: BTreeMap::new(),
            attempts: BTreeSet::new(),
        };
        world.enter();
        world
    }

    fn owner(&self, number: usize) -> MemberId {
        MemberId::new(format!("entry-{number}.{}", self.restarts[number]))
    }

    fn number(&self, owner: &MemberId) -> Option<usize> {
        (0..3).find(|number| self.owner(*number) == *owner)
    }

    fn enter(&mut self) {
        self.epoch += 1;
        let members = (0..3).map(|number| self.owner(number)).collect();
        let epoch = Epoch(self.epoch);
        self.home
            .enter(epoch, members, |_| true, &self.jobs, Millis(self.now));
    }

    pub fn step(&mut self, op: &Op) -> Result<(), String> {
        let now = Millis(self.now);
        match op {
            Op::Accept {
                idempotent,
                kind,
                tasks,
            } => self.accept(*idempotent, *kind, *tasks),
            Op::Decide => self.decide(),
            Op::Deliver { which, fate } => {
                if let Some(at) = pick(*which, self.calls.len()) {
                    let call = self.calls.remove(at);
                    self.deliver(call, *fate)?;
                }
            }
            Op::LateReply(which) => {
                if let Some(at) = pick(*which, self.replies.len()) {
                    let (placement, outcomes) = self.replies.remove(at);
                    self.home.placed(&placement, &outcomes, &self.jobs, now);
                }
            }
            Op::TaskEnds { which, outcome } => {
                if let Some(at) = pick(*which, self.runs.len()) {
                    let run = self.runs.remove(at);
                    let outcome = match outcome {
                        0 | 1 => TaskOutcome::Done("r".into()),
                        _ => TaskOutcome::Failed("f".into()),
                    };
                    self.ends.push(End { run, outcome });
                }
            }
            Op::Report { which, answered } => {
                if let Some(at) = pick(*which, self.ends.len()) {
                    self.report(at, *answered);
                }
            }
            Op::WorkerDies(which) => {
                if let Some(at) = pick(*which, self.runs.len()) {
                    let run = self.runs.remove(at);
                    let outcome = TaskOutcome::Unknown;
                    self.ends.push(End { run, outcome });
                }
            }
            Op::OwnerRestarts(number) => self.restart_owner(usize::from(*number)),
            Op::OwnerSettles(number) => self.settled[usize::from(*number)] = true,
            Op::HomeRestarts => {
                // Calls on their way stay so; nobody is left to hear their replies.
                self.replies.clear();
                self.incarnation += 1;
                self.home = Home::new(HomeOptions::default());
                self.enter();
            }
            Op::Log(up) => self.log_up = *up,
            Op::Cancel(which) => self.cancel(*which),
            Op::Time(ms) => self.now += ms,
        }
        Ok(())
    }

    fn accept(&mut self, idempotent: bool, kind: u8, tasks: u32) {
        if !self.log_up {
            return;
        }
        let id = JobId(Uuid::from_u128(self.accepted.len() as u128 + 1));
        let kind = match kind {
            0 | 1 => JobKind::Batch,
            _ => JobKind::Gang,
        };
        let spec = JobSpec {
            team: team(),
            kind,
            tasks,
            idempotent,
            ..JobSpec::default()
        };
        self.home.accepting(id);
        self.jobs.accept(id, &spec);
        self.accepted.push(id);
        if let Some(job) = self.jobs.get(id) {
            self.home.learn(job, true, Millis(self.now));
        }
    }

    fn decide(&mut self) {
        let now = Millis(self.now);
        let actions = self
            .home
            .actions(|_| true, &self.jobs, &[], self.log_up, now);
        for action in actions {
            self.calls.push(Call {
                epoch: self.epoch,
                incarnation: self.incarnation,
                action,
            });
        }
    }

    // The rules: never two attempts at once, never a second start of what is not idempotent.

    fn restart_owner(&mut self, number: usize) {
        self.restarts[number] += 1;
        self.settled[number] = false;
        // Results stay at the workers; that a worker is gone was known to the owner alone.
        self.ends
            .retain(|end| end.run.owner != number || end.outcome != TaskOutcome::Unknown);
        self.enter();
    }

    fn cancel(&mut self, which: u8) {
        let Some(at) = pick(which, self.accepted.len()).filter(|_| self.log_up) else {
            return;
        };
        let id = self.accepted[at];
        for index in self.jobs.cancel(id) {
            let task = TaskRef { job_id: id, index };
            self.home.recorded(task, &self.jobs, Millis(self.now));
        }
    }

    /// Lets everything work again; then every accepted task must end, and nothing is left over.
    pub fn calm_down(&mut self) -> Result<(), String> {
        self.log_up = true;
        self.settled = [true; 3];
        for _ in 0..400 {
            self.now += 3_000;
            self.decide();
            for call in std::mem::take(&mut self.calls) {
                self.deliver(call, Fate::Arrives)?;
            }
            for (placement, outcomes) in std::mem::take(&mut self.replies) {
                let now = Millis(self.now);
                self.home.placed(&placement, &outcomes, &self.jobs, now);
            }
            for run in std::mem::take(&mut self.runs) {
                let outcome = TaskOutcome::Done("r".into());
                self.ends.push(End { run, outcome });
            }
            for at in (0..self.ends.len()).rev() {
                self.report(at, true);
            }
            let done = self.jobs.iter().all(Job::ended) && self.home.task_count() == 0;
            if done && self.ends.is_empty() {
                return self.check_ended();
            }
        }
        Err(format!(
            "not ended: {} tasks, {} ends, home {:?}",
            self.home.task_count(),
            self.ends.len(),
            self.home
        ))
    }

    fn check_ended(&self) -> Result<(), String> {
        for id in &self.accepted {
            let Some(job) = self.jobs.get(*id) else {
                return Err(format!("{id} was accepted and is lost"));
            };
            for (index, state) in (0..).zip(&job.tasks) {
                let task = TaskRef { job_id: *id, index };
                let unknown = *state == TaskState::Ended(TaskOutcome::Unknown);
                if unknown && job.spec.idempotent {
                    return Err(format!("{task} could have been run again"));
                }
                let done = matches!(state, TaskState::Ended(TaskOutcome::Done(_)));
                if done && !self.starts.contains_key(&task) {
                    return Err(format!("{task} has a result and never started"));
                }
            }
        }
        let quota = self.home.used(&team());
        if quota != syc_types::Resources::ZERO {
            return Err(format!("{quota:?} is held by nothing"));
        }
        Ok(())
    }
}

fn pick(which: u8, of: usize) -> Option<usize> {
    usize::from(which).checked_rem(of)
}
