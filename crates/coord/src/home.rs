//! The home of a team: which of its tasks may be started, where each may run, and what an owner's
//! word means for it. Nothing here reads a clock or does I/O.

mod cancel;
mod ends;
mod offers;
mod placed;
mod queue;
mod rooms;
mod round;
mod tasks;
mod view;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

pub use ends::EndVerdict;
use queue::ReadyQueue;
pub use queue::Unit;
pub use rooms::OwnerRoom;
pub use rooms::rank_owners;
pub use rooms::split;
use round::Round;
pub use round::Told;
use syc_types::Epoch;
use syc_types::JobId;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;

/// Attempts of one epoch; their numbers begin at the epoch times this, so that a new home, which
/// does not know the attempts of the former one, never uses a number twice.
pub const ATTEMPTS_PER_EPOCH: u32 = 1 << 12;

/// Bounds of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeOptions {
    /// How often a failed idempotent task is started again.
    pub retries: u32,
    /// First pause before a task is started again.
    pub retry_min_ms: u64,
    /// Longest pause before a task is started again.
    pub retry_max_ms: u64,
    /// First pause before a task that found no room is offered again.
    pub no_room_min_ms: u64,
    /// Longest pause before a task that found no room is offered again.
    pub no_room_max_ms: u64,
    /// Offers in progress at once; urgent ones may be twice as many.
    pub offers: usize,
    /// Stops in progress at once.
    pub stops: usize,
    /// Pause before an owner that did not settle is asked again.
    pub ask_again_ms: u64,
}

impl Default for HomeOptions {
    fn default() -> Self {
        Self {
            retries: 3,
            retry_min_ms: 100,
            retry_max_ms: 10_000,
            no_room_min_ms: 50,
            no_room_max_ms: 2_000,
            offers: 64,
            stops: 16,
            ask_again_ms: 200,
        }
    }
}

/// What a team's tasks may hold together; unlimited where missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Quota {
    /// Resources.
    pub resources: Option<Resources>,
    /// Number of tasks.
    pub tasks: Option<u32>,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start tasks; [`Home::placed`] takes what came of it.
    Place(Placement),
    /// Ask an owner what runs; [`Home::told`] takes the answer.
    Ask {
        /// Whose tasks are asked for.
        team: TeamId,
        /// Who is asked.
        owner: MemberId,
        /// The round of questions that this belongs to.
        round: u64,
    },
    /// Tell an owner to end tasks; [`Home::stop_sent`] takes what came of it.
    Stop(Stop),
    /// Append the end of a task that nobody will report; then [`Home::recorded`].
    RecordEnd {
        /// Which task, and of which job.
        task: TaskRef,
        /// How it ended.
        outcome: TaskOutcome,
    },
}

/// Tasks to be started together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Whose tasks they are.
    pub job_id: JobId,
    /// The epoch that it was decided in; in no other may a command of it be sent.
    pub epoch: Epoch,
    /// Which attempt this is.
    pub attempt: u32,
    /// How often the tasks were offered in vain.
    pub tries: u32,
    /// The owners that were asked in vain in this turn, before these.
    pub asked: Vec<MemberId>,
    /// Whether they are urgent.
    pub urgent: bool,
    /// Whether the one owner may have started them already. That it was not reached now says
    /// nothing then, and that it refuses them now is to be confirmed by asking what runs.
    pub pinned: bool,
    /// Which owner is to start which tasks; several parts are reserved first, then committed.
    pub parts: Vec<Part>,
}

/// The tasks that one owner is to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Who is to start them.
    pub owner: MemberId,
    /// Positions of the tasks in the job.
    pub indexes: Vec<u32>,
}

/// Tasks that an owner is to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Who is to end them.
    pub owner: MemberId,
    /// Whose tasks they are.
    pub job_id: JobId,
    /// Positions of the tasks in the job.
    pub indexes: Vec<u32>,
}

/// What came of the start of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs there.
    Started {
        /// The owner of the worker.
        owner: MemberId,
        /// Where it runs.
        worker: WorkerId,
    },
    /// It surely was not started.
    NotStarted,
    /// It may have been started by this owner.
    InDoubt {
        /// Who may have started it.
        owner: MemberId,
    },
}

impl StartOutcome {
    /// Says whether the task surely runs.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        matches!(self, Self::Started { .. })
    }
}

/// A task that an owner knows of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownTask {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt runs.
    pub attempt: u32,
    /// Where it runs.
    pub worker: WorkerId,
}

/// Where a task that has not ended stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// It may run; the round of this number tells.
    Unsettled { round: u64 },
    /// It runs nowhere and is to be offered.
    Waiting,
    /// It is being offered; `stale` since an earlier epoch.
    Placing { stale: bool },
    /// This owner may have started it.
    Doubtful { owner: MemberId },
    /// It runs, unless the round of this number does not find it.
    Running {
        owner: MemberId,
        worker: WorkerId,
        round: Option<u64>,
    },
    /// It ended, and the record of that is being appended.
    Ending,
}

#[derive(Debug, Clone)]
struct Task {
    attempt: u32,
    failures: u32,
    phase: Phase,
    // Cancelled in the log; the entry stays until it surely does not run.
    cancelled: bool,
}

impl Task {
    const fn holds(&self) -> bool {
        !matches!(self.phase, Phase::Waiting | Phase::Ending)
    }
}

#[derive(Debug, Default)]
struct Team {
    quota: Quota,
    used: Resources,
    held_tasks: u32,
    tasks: BTreeMap<TaskRef, Task>,
    resources: HashMap<JobId, Resources>,
    queue: ReadyQueue,
    round: Option<Round>,
    rounds_begun: u64,
    round_needed: u64,
}

/// The homes that a daemon is, in the current epoch.
#[derive(Debug)]
pub struct Home {
    options: HomeOptions,
    epoch: Epoch,
    members: Vec<MemberId>,
    teams: BTreeMap<TeamId, Team>,
    quotas: HashMap<TeamId, Quota>,
    rotation: [VecDeque<TeamId>; 3],
    placing: usize,
    placing_urgent: usize,
    stops: VecDeque<(Millis, Stop)>,
    stopping: usize,
    ends: Vec<(TaskRef, TaskOutcome)>,
    accepting: HashSet<JobId>,
    // No answer of an earlier tenure has a round of a later number than this.
    round_base: u64,
}

impl Home {
    /// Makes a daemon that is no team's home yet.
    #[must_use]
    pub fn new(options: HomeOptions) -> Self {
        Self {
            options,
            epoch: Epoch(0),
            members: Vec::new(),
            teams: BTreeMap::new(),
            quotas: HashMap::new(),
            rotation: Default::default(),
            placing: 0,
            placing_urgent: 0,
            stops: VecDeque::new(),
            stopping: 0,
            ends: Vec::new(),
            accepting: HashSet::new(),
            round_base: 0,
        }
    }

    /// Sets what a team's tasks may hold together.
    pub fn set_quota(&mut self, team: &TeamId, quota: Quota) {
        self.quotas.insert(team.clone(), quota);
        if let Some(state) = self.teams.get_mut(team) {
            state.quota = quota;
            state.queue.unblock(usize::MAX);
        }
        self.rotate_in(team);
    }

    /// Returns what a team's tasks hold, or may hold.
    #[must_use]
    pub fn used(&self, team: &TeamId) -> Resources {
        let state = self.teams.get(team);
        state.map_or(Resources::ZERO, |state| state.used)
    }

    /// Returns the number of tasks that are kept in mind.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.teams.values().map(|team| team.tasks.len()).sum()
    }

    fn first_attempt(&self) -> u32 {
        let epoch = u32::try_from(self.epoch.0).unwrap_or(u32::MAX);
        epoch.saturating_mul(ATTEMPTS_PER_EPOCH).saturating_add(1)
    }
}
