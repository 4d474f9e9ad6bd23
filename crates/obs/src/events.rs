//! The numbered log events; `docs/EVENTS.md` is their catalogue.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use spdlog::Level;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number, which never changes its meaning.
    pub code: u16,
    /// How much it matters.
    pub level: Level,
    /// What happened.
    pub text: &'static str,
}

/// Writes an event to the log with what is particular to this time.
pub fn emit(event: Event, detail: fmt::Arguments<'_>) {
    count_event(event);
    spdlog::log!(
        event.level,
        "SYC{:04} {}: {}",
        event.code,
        event.text,
        detail
    );
}

/// Counts an event that was written in another form than [`emit`]'s.
pub(crate) fn count_event(event: Event) {
    if let Some(index) = ALL.iter().position(|known| known.code == event.code) {
        COUNTS[index].fetch_add(1, Ordering::Relaxed);
    }
}

/// How often each event of [`ALL`] was written by this process.
static COUNTS: [AtomicU64; ALL.len()] = [const { AtomicU64::new(0) }; ALL.len()];

/// Returns how often the event at `index` of [`ALL`] was written by this process.
pub(crate) fn count(index: usize) -> u64 {
    COUNTS[index].load(Ordering::Relaxed)
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident, $text:literal;)*) => {
        /// The events themselves.
        pub mod catalogue {
            use super::Event;
            use super::Level;

            $($(#[$doc])* pub const $name: Event = Event {
                code: $code,
                level: Level::$level,
                text: $text,
            };)*
        }

        /// Every event, by number.
        pub const ALL: &[Event] = &[$(catalogue::$name),*];
    };
}

events! {
    /// The daemon listens on all its addresses.
    STARTED = 100, Info, "daemon started";
    /// A planned stop began.
    DRAINING = 101, Info, "planned stop began";
    /// The daemon ended in an orderly way.
    STOPPED = 102, Info, "daemon stopped";
    /// A planned stop took longer than its limit.
    DRAIN_LIMIT = 103, Warn, "planned stop gave up on requests in progress";
    /// An operator asked for a planned stop.
    DRAIN_ASKED = 104, Info, "planned stop asked for";
    /// A configuration document came into force.
    CONFIG_APPLIED = 200, Info, "configuration in force";
    /// A published document was refused by the log's order.
    CONFIG_REFUSED = 201, Warn, "configuration refused";
    /// A record of the log can't be read.
    RECORD_UNREADABLE = 202, Error, "unreadable log record skipped";
    /// An operator's tool showed no token, or a wrong one.
    CONTROL_DENIED = 203, Warn, "control action denied";
    /// A document with findings was sent to the control address.
    DOCUMENT_MALFORMED = 204, Warn, "malformed document refused";
    /// The log does not answer.
    LOG_UNAVAILABLE = 300, Warn, "log unavailable";
    /// The log answers again.
    LOG_AVAILABLE = 301, Info, "log available again";
    /// An append's fate is not known.
    APPEND_IN_DOUBT = 302, Warn, "append in doubt";
    /// The state was taken from a snapshot, of the log or of a peer.
    SNAPSHOT_READ = 303, Info, "state taken from a snapshot";
    /// A snapshot was appended.
    SNAPSHOT_WRITTEN = 304, Info, "snapshot appended";
    /// Entries are gone from the log, and no snapshot tells what they made.
    SNAPSHOT_MISSING = 305, Error, "no snapshot covers the entries that are gone";
    /// A job was accepted.
    JOB_ACCEPTED = 400, Info, "job accepted";
    /// A job ended.
    JOB_ENDED = 401, Info, "job ended";
    /// A worker did not do as commanded.
    WORKER_FAULT = 402, Warn, "worker did not do as commanded";
    /// A job was cancelled.
    JOB_CANCELLED = 403, Info, "job cancelled";
    /// A peer did not answer.
    PEER_SILENT = 500, Warn, "peer did not answer";
    /// Another view of the entry VMs is current.
    VIEW_CHANGED = 501, Info, "view changed";
    /// This daemon appends a new view to the log.
    VIEW_PROPOSED = 502, Info, "view proposed";
    /// This daemon acts as owner and home from now on.
    ACTING = 503, Info, "acting as owner and home";
    /// This daemon acts no more as owner and home, for now.
    NOT_ACTING = 504, Warn, "not acting as owner and home";
    /// The wall clock and the monotonic clock went apart.
    CLOCK_JUMPED = 505, Warn, "clock jumped, leases dropped";
    /// The homes of requests follow a new view.
    REQUEST_HOMES = 600, Info, "request homes follow a new view";
    /// A node of a cell listens on all its addresses.
    NODE_STARTED = 700, Info, "node started";
    /// A node of a cell begins a planned stop.
    NODE_STOPPING = 701, Info, "node stopping";
    /// A node of a cell has stopped.
    NODE_STOPPED = 702, Info, "node stopped";
    /// A node of a cell was asked to read its settings again.
    NODE_RELOADED = 703, Info, "settings read again";
    /// The store or a peer answers no more.
    DEPENDENCY_LOST = 704, Warn, "dependency lost";
    /// The store or a peer answers again.
    DEPENDENCY_REGAINED = 705, Info, "dependency regained";
    /// Lines were dropped to bound the volume.
    LINES_DROPPED = 706, Warn, "log lines dropped";
    /// Another node is the scheduler.
    HOLDER_SEEN = 710, Info, "scheduler known";
    /// This node was chosen as the scheduler.
    HOLDER_CHOSEN = 711, Info, "chosen as scheduler";
    /// Another node was chosen first.
    CLAIM_LOST = 712, Info, "claim lost";
    /// This node is the scheduler no more.
    HOLDER_LEFT = 713, Warn, "scheduler no more";
    /// The jobs and workers were read from the store.
    STATE_LOADED = 714, Info, "state loaded";
    /// Nothing that runs is unknown any more.
    TAKEOVER_COMPLETE = 715, Info, "takeover complete";
    /// Progress is written to another partition from now on.
    PROGRESS_MOVED = 716, Warn, "progress written elsewhere";
    /// A takeover waits for a partition of the store.
    TAKEOVER_WAITS = 717, Warn, "takeover waits";
    /// Most workers are silent, and other nodes were asked to query some of them.
    REACH_COMPARED = 718, Warn, "reach of workers compared";
    /// A submit was accepted.
    SUBMIT_ACCEPTED = 720, Info, "submit accepted";
    /// A submit was refused.
    SUBMIT_REFUSED = 721, Warn, "submit refused";
    /// It is not known whether a submit was accepted.
    SUBMIT_IN_DOUBT = 722, Warn, "submit in doubt";
    /// The cancelling of a job was stored, or not.
    CANCEL_ANSWERED = 723, Info, "cancel answered";
    /// The scheduler read a job from the store.
    JOB_SEEN = 724, Info, "job seen";
    /// A job changes no more.
    JOB_DECIDED = 725, Info, "job decided";
    /// A job's state could not be told.
    STATE_UNKNOWN = 726, Warn, "state unknown";
    /// The store has taken the final state of a job.
    JOB_SHOWN = 727, Info, "job state shown";
    /// A call was denied for want of a known key.
    CALL_DENIED = 728, Warn, "call denied";
    /// A submit has the ID of another workspace's job.
    JOB_ID_TAKEN = 729, Warn, "job ID taken";
    /// A start order was sent.
    RUN_ORDERED = 730, Info, "run ordered";
    /// A start order was refused or not answered.
    START_FAILED = 731, Warn, "start not taken";
    /// A run has ended.
    RUN_ENDED = 732, Info, "run ended";
    /// A stop order was sent.
    STOP_ORDERED = 733, Info, "stop ordered";
    /// A run of the predecessor goes on.
    RUN_ADOPTED = 734, Info, "run adopted";
    /// Tasks of a step wait.
    STEP_WAITS = 735, Info, "step waits";
    /// Advice was given or not.
    ADVICE_ANSWERED = 736, Info, "advice answered";
    /// An order to go at another pace was refused or not answered.
    PACE_FAILED = 737, Warn, "pace not taken";
    /// A stop order was refused or not answered.
    STOP_FAILED = 738, Warn, "stop not taken";
    /// A worker is believed to be able or not.
    WORKER_BELIEF = 740, Warn, "belief about worker changed";
    /// A worker registered or left.
    WORKER_LISTED = 741, Info, "worker list changed";
    /// What fills a worker goes at another pace.
    PACE_CHANGED = 742, Info, "pace of a worker's filling changed";
    /// Operators want VMs to have their upkeep.
    WAVE_SEEN = 743, Info, "wave of upkeep seen";
    /// Operators were told how far a wave of upkeep is.
    WAVE_TOLD = 744, Info, "wave of upkeep told";
    /// An order about a VM was answered, or not.
    VM_ORDERED = 745, Info, "order about a VM answered";
    /// A VM comes to a service, or goes back.
    POOL_CHANGE = 746, Info, "pool of a service changes";
    /// The VMs could not be listed.
    VMS_UNLISTED = 747, Warn, "VMs not listed";
    /// A worker's runs take longer than others of their steps.
    WORKER_SLOW = 748, Warn, "worker taken as slow";
    /// A worker is gone, and what ran on it with it.
    WORKER_LOST = 749, Warn, "worker lost with its runs";
    /// A configuration came into force, or was held back.
    CONFIGURATION_SEEN = 750, Info, "configuration seen";
    /// A record of the store can't be read.
    STORE_RECORD_UNREADABLE = 751, Error, "unreadable record of the store skipped";
    /// A worker crashed while a task was there that may have taken it down.
    TASK_BLAMED = 752, Warn, "task blamed for a crash";
    /// A task is not started again since it takes its workers down.
    TASK_GIVEN_UP = 753, Warn, "task given up";
    /// A task was recorded as running, and no worker held its run.
    RUN_MISSING = 754, Error, "run missing";
    /// The end of a task is not shown before a later start of it is ruled out.
    END_HELD = 755, Info, "end held";
    /// The cap or the weight of a workspace changed.
    WORKSPACE_CHANGED = 756, Info, "workspace changed";
    /// What is counted as occupied is not what the runs occupy.
    USAGE_WRONG = 757, Error, "usage wrong";
    /// A workspace began or ended sending beyond its guaranteed rate.
    WORKSPACE_RATE_USE = 758, Info, "use of workspace rate changed";
    /// A submit was rejected because its job would end too late for its caller.
    SUBMIT_SHED = 759, Warn, "submit shed";
    /// The configuration in force may not be the newest one.
    CONFIGURATION_UNCONFIRMED = 760, Warn, "configuration may be old";
    /// There is evidence again that the configuration in force is the newest one.
    CONFIGURATION_CONFIRMED = 761, Info, "configuration confirmed again";
    /// A run was taken as over although its worker did not report its end.
    RUN_WRITTEN_OFF = 762, Info, "run taken as over";
    /// A worker lists a run as running that was taken as over.
    RUNNING_AFTER_WRITE_OFF = 763, Warn, "run goes on that was taken as over";
    /// A worker is permanently slower than most, or no longer is.
    WORKER_SPEED = 764, Info, "learned speed of worker changed";
    /// A worker lists the end of a run that was taken as over.
    ENDED_AFTER_WRITE_OFF = 765, Info, "run ended that was taken as over";
    /// The session with one life of a worker has ended.
    WORKER_LIFE_OVER = 766, Info, "life of worker over";
    /// One life of a worker has answered this scheduler for the first time.
    WORKER_ANSWERED_FIRST = 767, Info, "first answer of worker";
    /// Calls to workers are relayed through other nodes, or no more.
    RELAYING_CHANGED = 770, Info, "relaying of worker calls changed";
    /// A node relays no calls for a while since it left some unanswered, or may again.
    CARRIER_CHANGED = 771, Warn, "carrier changed";
    /// A candidate has read what a takeover needs.
    STATE_READ_AHEAD = 772, Info, "state read ahead";
    /// Clients were refused for what they made the process hold.
    CLIENTS_REFUSED = 780, Warn, "clients refused";
}
