//! The owner: what it knows of its workers and tasks, and how each event changes that.
//!
//! [`Owner::handle`] is a pure function of the owner's state, an event and the time; whoever calls
//! it carries the actions out and feeds back what came of them.

mod adopt;
mod ends;
mod explain;
mod guard;
mod holds;
mod offers;
mod pass;
mod preempt;
mod queue;
mod starts;
mod workers;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

pub use explain::Explanation;
use guard::Guard;
use preempt::LossBudget;
use queue::Queue;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;
use smol_str::SmolStr;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;

use crate::Action;
use crate::Event;
use crate::History;
use crate::KeptEnd;
use crate::Ledger;
use crate::OfferKey;
use crate::Spread;
use crate::Tier;
use crate::WorkerKey;
use crate::event::Reported;
use crate::health::Health;
use crate::shares::Shares;

new_key_type! {
    /// Refers to an offer in an owner's queue.
    pub(crate) struct UnitKey;
}

/// Times that an owner goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerOptions {
    /// Length of a task's lease on a worker.
    pub lease_ms: u64,
    /// Added to a lease before it has surely lapsed: clocks drift, and a command may be under way.
    pub drift_ms: u64,
    /// Wait after which a task goes before others of its class, and a patient one before normal
    /// ones that have waited less.
    pub ageing_ms: u64,
    /// Wait after which workers are kept clear for a task that finds no room.
    pub guard_after_ms: u64,
    /// Time that the end of an attempt is remembered after its home has kept it.
    pub remember_ms: u64,
}

impl Default for OwnerOptions {
    fn default() -> Self {
        Self {
            lease_ms: 30_000,
            drift_ms: 1_000,
            ageing_ms: 60_000,
            guard_after_ms: 2_000,
            remember_ms: 600_000,
        }
    }
}

/// Where a task is between its grant and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Reserved; lapses by itself.
    Held { until: Millis },
    /// The start command is under way.
    Starting,
    /// It may run: no poll that began after poll `seq` has told yet.
    InDoubt { since: Millis, seq: u64 },
    /// It runs; polls up to `seq` may not list it yet.
    Running { seq: u64 },
}

/// Why a task is being ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stopping {
    /// Its home cancelled it.
    Cancelled,
    /// Urgent work needs its room.
    Preempted,
    /// Another task of its offer could not be started.
    RolledBack,
}

#[derive(Debug, Clone)]
struct Task {
    attempt: u32,
    team: TeamId,
    name: SmolStr,
    idempotent: bool,
    resources: Resources,
    worker: WorkerKey,
    phase: Phase,
    since: Millis,
    /// `None` for a task that was adopted from a report.
    spec: Option<Rc<JobSpec>>,
    unit: Option<UnitKey>,
    stopping: Option<(Stopping, Millis)>,
    /// Workers that refused it after its reservation was committed.
    refused_by: Vec<WorkerKey>,
}

/// An offer that is not yet answered.
#[derive(Debug, Clone)]
struct Unit {
    job_id: JobId,
    spec: Rc<JobSpec>,
    attempt: u32,
    indexes: Vec<u32>,
    waiting: Vec<u32>,
    placed: HashMap<u32, WorkerId>,
    confirmed: usize,
    queued_at: Millis,
    deadline: Millis,
    hold_ms: u64,
    offers: Vec<OfferKey>,
    avoid: Vec<WorkerKey>,
    preempt_after: Millis,
}

/// What is certain of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    /// It has not told what it runs since it became this owner's.
    Unheard,
    /// It has.
    Heard,
    /// Every lease on it has surely lapsed.
    Lapsed,
}

#[derive(Debug, Clone)]
struct WorkerState {
    contact: Contact,
    retired: bool,
    lease_until: Millis,
    last_answer: Millis,
    failed_polls: u32,
    seq: u64,
    version: u64,
    reported: HashMap<TaskRef, Reported>,
    tasks: BTreeSet<TaskRef>,
    /// Those of the tasks that no report has listed yet.
    unlisted: BTreeSet<TaskRef>,
    /// Whether some listed task runs beside the books, or is being ended.
    watched: bool,
    renewing: bool,
    acks: Vec<KeptEnd>,
    sent_acks: Vec<KeptEnd>,
    health: Health,
}

/// The end of an attempt that its home has not kept, or has kept lately.
#[derive(Debug, Clone)]
struct Remembered {
    attempt: u32,
    worker: WorkerKey,
    team: TeamId,
    kept: bool,
}

/// Capacity, tasks and queue of one owner.
#[derive(Debug, Clone, Default)]
pub struct Owner {
    options: OwnerOptions,
    ledger: Ledger,
    workers: SecondaryMap<WorkerKey, WorkerState>,
    tasks: HashMap<TaskRef, Task>,
    units: SlotMap<UnitKey, Unit>,
    unit_of: HashMap<TaskRef, UnitKey>,
    deadlines: BTreeSet<(Millis, UnitKey)>,
    holds: BTreeSet<(Millis, TaskRef)>,
    queue: Queue,
    guards: Vec<Guard>,
    ended: HashMap<TaskRef, Remembered>,
    forget: BTreeSet<(Millis, TaskRef, u32)>,
    spreads: HashMap<JobId, Spread>,
    spread_kinds: Vec<JobKind>,
    shares: Shares,
    history: History,
    losses: LossBudget,
    headroom_permille: u32,
    /// Whether room was freed since the queue was last looked through.
    room_freed: bool,
    /// Offers that came or came back since then.
    fresh: Vec<UnitKey>,
    looked_at: Millis,
}

/// A task that an owner knows of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownTask {
    /// Which task, and of which job.
    pub task: TaskRef,
    /// Which attempt.
    pub attempt: u32,
    /// Where it runs, or ran.
    pub worker: WorkerId,
}

/// What an owner has to give.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Thousandths of a core that ordinary tasks can be granted.
    pub free_cpu_millis: u64,
    /// Bytes of memory that ordinary tasks can be granted.
    pub free_memory_bytes: u64,
    /// Accelerators that can be granted.
    pub free_accelerators: u64,
    /// Tasks in the queue.
    pub queued_tasks: u64,
}

impl Owner {
    /// Makes an owner without workers.
    #[must_use]
    pub fn new(options: OwnerOptions) -> Self {
        let mut owner = Self {
            options,
            spread_kinds: vec![JobKind::Service],
            ..Self::default()
        };
        owner.set_weights(1, 1);
        owner
    }

    /// Replaces what was learned; a history that ignores everything serves for comparison.
    pub fn set_history(&mut self, history: History) {
        self.history = history;
    }

    /// Changes the state by an event and adds what is to be done to `actions`.
    pub fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::Offered { offer, order } => self.offered(offer, order, now, actions),
            Event::Held {
                offer,
                job_id,
                attempt,
                commit,
            } => self.held(offer, (job_id, attempt), commit, actions),
            Event::Stopped { job_id, indexes } => {
                self.stopped(job_id, &indexes, now, actions);
            }
            Event::HomeChanged { team } => self.home_changed(&team, actions),
            Event::StartAnswered {
                task,
                attempt,
                answer,
            } => self.start_answered(task, attempt, answer, now, actions),
            Event::Polled {
                worker,
                seq,
                report,
            } => self.polled(worker, seq, report, now, actions),
            Event::PollFailed {
                worker,
                seq,
                in_doubt,
            } => self.poll_failed(worker, seq, in_doubt, now),
            Event::EndKept { task, attempt } => self.end_kept(task, attempt, now),
            Event::Workers { workers } => self.set_workers(workers, now, actions),
            Event::Disowned { workers } => self.disown(&workers, actions),
            Event::Shares {
                teams,
                waiting_weight,
                packing_weight,
                spread_kinds,
            } => {
                self.spread_kinds = spread_kinds;
                self.shares.set_weights(&teams);
                self.set_weights(waiting_weight, packing_weight);
            }
            Event::Ticked { acting } => self.tick(acting, now, actions),
        }
        self.place_waiting(now, actions);
        self.expire_units(now, actions);
    }

    /// Returns the ledger.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns what there is to give.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load {
            queued_tasks: self.queued_tasks(),
            ..Load::default()
        };
        for (key, _) in self.ledger.workers() {
            if !self.ledger.is_open(key) {
                continue;
            }
            let room = self.ledger.room_for(key, Tier::Ordinary);
            let room = room.unwrap_or_default();
            load.free_cpu_millis += room.cpu_millis;
            load.free_memory_bytes += room.memory_bytes;
            load.free_accelerators += u64::from(room.accelerators);
        }
        load
    }

    /// Returns the number of tasks that wait for room.
    #[must_use]
    pub fn queued_tasks(&self) -> u64 {
        let waiting = self.units.values().map(|unit| unit.waiting.len() as u64);
        waiting.sum()
    }

    /// Says whether every worker has told what it runs, or its leases have surely lapsed.
    #[must_use]
    pub fn settled(&self) -> bool {
        let mut workers = self.workers.values();
        workers.all(|worker| worker.contact != Contact::Unheard)
    }

    /// Returns the tasks of a team that may run, or whose end its home has not kept.
    #[must_use]
    pub fn known_tasks(&self, team: &TeamId) -> Vec<KnownTask> {
        let mut known = Vec::new();
        for (task, state) in &self.tasks {
            let held = matches!(state.phase, Phase::Held { .. });
            if state.team != *team || held {
                continue;
            }
            let Some(info) = self.ledger.worker(state.worker) else {
                continue;
            };
            known.push(KnownTask {
                task: *task,
                attempt: state.attempt,
                worker: info.id.clone(),
            });
        }
        known.extend(self.unkept_ends(team));
        known.sort_by_key(|known| known.task);
        known
    }

    fn set_weights(&mut self, waiting: u32, packing: u32) {
        let both = u64::from(waiting) + u64::from(packing);
        let share = |most: u64| most * u64::from(waiting) / both.max(1);
        let headroom = share(guard::MOST_HEADROOM_PERMILLE);
        self.headroom_permille = u32::try_from(headroom).unwrap_or(0);
        self.ledger.set_headroom(self.headroom_permille);
        self.room_freed = true;
        self.losses.set_share(share(preempt::MOST_LOSS_PERMILLE));
    }
}
