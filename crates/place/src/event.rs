//! What happens to an owner, and what it wants done about it.

use std::rc::Rc;

use smol_str::SmolStr;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;

use crate::Refusal;
use crate::WorkerInfo;
use crate::WorkerKey;

/// Names an offer that waits for its answer; the caller chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OfferKey(pub u64);

/// Tasks of a job that a home wants placed: all of them, or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whose tasks they are.
    pub job_id: JobId,
    /// What the job's submitter declared.
    pub spec: Rc<JobSpec>,
    /// Positions of the tasks in the job.
    pub indexes: Vec<u32>,
    /// Which attempt this is.
    pub attempt: u32,
    /// Time that the tasks may wait for room.
    pub wait_ms: u64,
    /// Reserve only, and let the reservation lapse after this time; 0: start.
    pub hold_ms: u64,
}

/// What a start command came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker runs it.
    Started,
    /// The worker refused it; it does not run.
    Refused,
    /// The command was never sent; it does not run, and the worker is not to blame.
    NotSent,
    /// It may run; a later poll tells.
    InDoubt,
}

/// A task as a worker reports or echoes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reported {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt it is.
    pub attempt: u32,
    /// The team that pays for it.
    pub team: TeamId,
    /// Name of its job.
    pub name: SmolStr,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// Whether it was granted out of the headroom.
    pub urgent: bool,
    /// What it was granted.
    pub resources: Resources,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt it was.
    pub attempt: u32,
    /// The team that pays for it.
    pub team: TeamId,
    /// Name of its job.
    pub name: SmolStr,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// How long it ran.
    pub ran_ms: u64,
}

/// A worker's news.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Version of the worker's list of running tasks.
    pub version: u64,
    /// Whether `running` is the whole list, or what was added since the version that was asked for.
    pub full: bool,
    /// Tasks that run.
    pub running: Vec<Reported>,
    /// Tasks that no longer run, where the list is not whole.
    pub gone: Vec<TaskRef>,
    /// Ends that are not acknowledged.
    pub finished: Vec<Ended>,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A home offers tasks.
    Offered {
        /// Names the answer.
        offer: OfferKey,
        /// The tasks.
        order: Order,
    },
    /// A home starts reserved tasks, or gives them up.
    Held {
        /// Names the answer.
        offer: OfferKey,
        /// Whose tasks they are.
        job_id: JobId,
        /// The attempt that the reservations are for.
        attempt: u32,
        /// True to start.
        commit: bool,
    },
    /// A home cancels tasks.
    Stopped {
        /// Whose tasks they are.
        job_id: JobId,
        /// Positions of the tasks in the job.
        indexes: Vec<u32>,
    },
    /// A team has a new home: what its former home queued or reserved is dropped.
    HomeChanged {
        /// Whose tasks the home keeps.
        team: TeamId,
    },
    /// A start command came to something.
    StartAnswered {
        /// Which task was to be started.
        task: TaskRef,
        /// Which attempt at it.
        attempt: u32,
        /// What it came to.
        answer: StartAnswer,
    },
    /// A worker answered a poll.
    Polled {
        /// Who answered.
        worker: WorkerKey,
        /// The poll, as [`PollPlan`] numbered it.
        seq: u64,
        /// Its news.
        report: Report,
    },
    /// A worker did not answer a poll.
    PollFailed {
        /// Who was asked.
        worker: WorkerKey,
        /// The poll, as [`PollPlan`] numbered it.
        seq: u64,
        /// Whether the worker may have received it.
        in_doubt: bool,
    },
    /// A home has kept the end of an attempt.
    EndKept {
        /// Which task has ended.
        task: TaskRef,
        /// Which attempt at it.
        attempt: u32,
    },
    /// The inventory of the owned racks changed, or racks were gained.
    Workers {
        /// All owned workers.
        workers: Vec<WorkerInfo>,
    },
    /// Workers belong to another owner from now on.
    Disowned {
        /// Keys of the workers that are given up.
        workers: Vec<WorkerKey>,
    },
    /// The weights of teams and of policy changed.
    Shares {
        /// Weight of each team.
        teams: Vec<(TeamId, u32)>,
        /// Weight of waiting time.
        waiting_weight: u32,
        /// Weight of packing.
        packing_weight: u32,
        /// Kinds of jobs whose tasks are spread over zones and racks.
        spread_kinds: Vec<JobKind>,
    },
    /// Time passed.
    Ticked {
        /// Whether nobody else may own the workers now. Leases are taken for lapsed only then:
        /// another owner may have renewed them while this one was paused.
        acting: bool,
    },
}

/// What an owner wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Start a task.
    Start {
        /// Where.
        worker: WorkerKey,
        /// Which task, and of which job.
        task: TaskRef,
        /// Which attempt at it.
        attempt: u32,
        /// Its job's declaration.
        spec: Rc<JobSpec>,
    },
    /// End a task.
    Stop {
        /// Where it runs.
        worker: WorkerKey,
        /// Which task, and of which job.
        task: TaskRef,
        /// Whether its progress is to be saved.
        checkpoint: bool,
    },
    /// Answer an offer with the worker of each task.
    Answer {
        /// Which offer, as its home named it.
        offer: OfferKey,
        /// The workers in the order of the offer, or the reason why nothing was started.
        outcome: Result<Vec<WorkerId>, Refusal>,
    },
    /// Tell the end of an attempt to the team's home until it has kept it.
    Report {
        /// The end.
        ended: Ended,
    },
    /// Poll a worker from now on, for as long as [`crate::Owner::plan_poll`] has a plan.
    Poll {
        /// Which worker, as the ledger names it.
        worker: WorkerKey,
    },
}

/// The next poll of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollPlan {
    /// Number of the poll.
    pub seq: u64,
    /// Whether the poll renews the leases on the worker.
    pub renew: bool,
    /// Version of the list that the owner has; 0: the whole list is wanted.
    pub seen: u64,
    /// Ends that the homes have kept.
    pub acknowledged: Vec<KeptEnd>,
}

/// An attempt whose end its home has kept, so that the worker may forget it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptEnd {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt at it.
    pub attempt: u32,
}
