//! What a worker does: tasks under leases within its capacity, usage with a lag, checkpoint, throttle, stop.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_platform::types::FinishedTask;
use syc_platform::types::PollReply;
use syc_platform::types::PollRequest;
use syc_platform::types::RunningTask;
use syc_platform::types::StartTask;
use syc_platform::types::TaskAction;
use syc_platform::types::TaskCommand;
use syc_platform::types::WorkerRefusal;
use syc_types::Epoch;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;

use crate::change_log::ChangeLog;
use crate::executions::Executions;
use crate::reply;

/// How much longer a throttled task takes.
const THROTTLE_FACTOR: u32 = 2;

/// What a worker is like.
#[derive(Debug, Clone, Copy)]
pub struct WorkerOptions {
    /// What it has.
    pub capacity: Resources,
    /// Age of the usage that it reports.
    pub usage_lag_ms: u64,
    /// Whether every task that it starts fails at once.
    pub fails_all: bool,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            capacity: Resources::ZERO,
            usage_lag_ms: 500,
            fails_all: false,
        }
    }
}

/// What a worker saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// What its tasks were granted when that was most.
    pub peak_granted: Resources,
    /// Starts that would have given it more than it has.
    pub over_given: u64,
    /// Commands of an epoch that is past.
    pub stale_commands: u64,
    /// Tasks that it stopped because their lease lapsed.
    pub lapsed: u64,
    /// Bytes of memory times milliseconds that its tasks held.
    pub memory_byte_ms: u128,
    /// Thousandths of a core times milliseconds that its tasks held.
    pub cpu_milli_ms: u128,
}

#[derive(Debug)]
pub(super) struct Running {
    start: StartTask,
    began: Instant,
    ends: Option<Instant>,
    lease_until: Instant,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) options: WorkerOptions,
    epoch: Epoch,
    pub(super) running: HashMap<TaskRef, Running>,
    finished: HashMap<TaskRef, FinishedTask>,
    changes: ChangeLog,
    pub(super) losing: bool,
    pub(super) keeping: bool,
    pub(super) counts: WorkerCounts,
    executions: Executions<TaskRef>,
}

impl State {
    pub(super) fn new(options: WorkerOptions, executions: Executions<TaskRef>) -> Self {
        Self {
            options,
            epoch: Epoch(0),
            running: HashMap::new(),
            finished: HashMap::new(),
            changes: ChangeLog::default(),
            losing: false,
            keeping: false,
            counts: WorkerCounts::default(),
            executions,
        }
    }

    fn granted(&self) -> Resources {
        let mut sum = Resources::ZERO;
        for running in self.running.values() {
            sum = sum.checked_add(&running.start.resources).unwrap_or(sum);
        }
        sum
    }

    fn stale(&mut self, epoch: Epoch) -> Option<Response<BoxBody>> {
        if epoch >= self.epoch {
            self.epoch = epoch;
            return None;
        }
        self.counts.stale_commands += 1;
        Some(self.refuse(StatusCode::PRECONDITION_FAILED, "stale epoch"))
    }

    fn refuse(&self, status: StatusCode, reason: &str) -> Response<BoxBody> {
        let refusal = WorkerRefusal {
            epoch: self.epoch,
            reason: SmolStr::new(reason),
        };
        reply::json(status, &refusal)
    }

    pub(super) fn start(&mut self, start: StartTask) -> Response<BoxBody> {
        if let Some(refused) = self.stale(start.epoch) {
            return refused;
        }
        if let Some(running) = self.running.get(&start.task) {
            if running.start.attempt == start.attempt {
                return reply::empty(StatusCode::OK);
            }
            return self.refuse(StatusCode::CONFLICT, "another attempt runs");
        }
        let total = self.granted().checked_add(&start.resources);
        let Ok(total) = total else {
            return self.refuse(StatusCode::CONFLICT, "over capacity");
        };
        if !total.fits_in(&self.options.capacity) {
            self.counts.over_given += 1;
            return self.refuse(StatusCode::CONFLICT, "over capacity");
        }
        let peak = &mut self.counts.peak_granted;
        peak.cpu_millis = peak.cpu_millis.max(total.cpu_millis);
        peak.memory_bytes = peak.memory_bytes.max(total.memory_bytes);
        peak.accelerators = peak.accelerators.max(total.accelerators);
        let now = Instant::now();
        let run_time = Duration::from_millis(start.run_time_ms);
        self.executions.begin(start.task);
        self.changes.note(start.task);
        self.running.insert(
            start.task,
            Running {
                began: now,
                ends: (start.run_time_ms > 0).then(|| now + run_time),
                lease_until: now + Duration::from_millis(start.lease_ms),
                start,
            },
        );
        reply::empty(StatusCode::OK)
    }

    pub(super) fn command(&mut self, command: &TaskCommand) -> Response<BoxBody> {
        if let Some(refused) = self.stale(command.epoch) {
            return refused;
        }
        match command.action {
            TaskAction::Stop | TaskAction::Checkpoint => {
                self.end(command.task, Instant::now(), Some(TaskOutcome::Cancelled));
            }
            TaskAction::Throttle => {
                if let Some(running) = self.running.get_mut(&command.task) {
                    let now = Instant::now();
                    let slower = |ends: Instant| now + (ends - now) * THROTTLE_FACTOR;
                    running.ends = running.ends.map(slower);
                }
            }
        }
        reply::empty(StatusCode::OK)
    }

    pub(super) fn renew(&mut self, poll: &PollRequest) -> Option<Response<BoxBody>> {
        if let Some(refused) = self.stale(poll.epoch) {
            return Some(refused);
        }
        let now = Instant::now();
        // A renewal that comes too late renews nothing.
        self.end_due(now);
        let until = now + Duration::from_millis(poll.lease_ms);
        if poll.renew {
            for running in self.running.values_mut() {
                running.lease_until = until;
            }
        }
        for kept in &poll.acknowledged {
            let end = self.finished.get(&kept.task);
            if end.is_some_and(|end| end.attempt == kept.attempt) {
                self.finished.remove(&kept.task);
            }
        }
        None
    }

    pub(super) fn has_news(&self, seen: u64) -> bool {
        match self.changes.since(seen) {
            None => true,
            Some(changed) => changed.iter().any(|task| self.finished.contains_key(task)),
        }
    }

    pub(super) fn report(&self, now: Instant, seen: u64) -> PollReply {
        let lag = Duration::from_millis(self.options.usage_lag_ms);
        let changed = self.changes.since(seen);
        let wanted = |task: &TaskRef| changed.as_ref().is_none_or(|set| set.contains(task));
        let mut report = PollReply {
            version: self.changes.version(),
            full: changed.is_none(),
            ..PollReply::default()
        };
        for task in changed.iter().flatten() {
            if !self.running.contains_key(task) {
                report.gone.push(*task);
            }
        }
        for (task, running) in &self.running {
            if !wanted(task) {
                continue;
            }
            let seen = now.duration_since(running.began) >= lag;
            report.running.push(RunningTask {
                task: *task,
                attempt: running.start.attempt,
                granted: running.start.resources,
                used: if seen {
                    running.start.resources
                } else {
                    Resources::ZERO
                },
                origin: running.start.origin.clone(),
            });
        }
        for (task, end) in &self.finished {
            if wanted(task) {
                report.finished.push(end.clone());
            }
        }
        report
    }

    pub(super) fn end_due(&mut self, now: Instant) -> bool {
        let mut due = Vec::new();
        for (task, running) in &self.running {
            if running.lease_until <= now {
                due.push((*task, None));
            } else if self.options.fails_all {
                let reason = SmolStr::new("worker fails everything");
                due.push((*task, Some(TaskOutcome::Failed(reason))));
            } else if !self.keeping && running.ends.is_some_and(|ends| ends <= now) {
                let result = format_smolstr!("result:{}", running.start.payload);
                due.push((*task, Some(TaskOutcome::Done(result))));
            }
        }
        let any = !due.is_empty();
        for (task, outcome) in due {
            if outcome.is_none() {
                self.counts.lapsed += 1;
            }
            self.end(task, now, outcome);
        }
        any
    }

    fn end(&mut self, task: TaskRef, now: Instant, outcome: Option<TaskOutcome>) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.executions.end(&task);
        self.changes.note(task);
        let ran = now.duration_since(running.began).as_millis();
        let held = running.start.resources;
        self.counts.memory_byte_ms += u128::from(held.memory_bytes) * ran;
        self.counts.cpu_milli_ms += u128::from(held.cpu_millis) * ran;
        let Some(outcome) = outcome else { return };
        self.finished.insert(
            task,
            FinishedTask {
                task,
                attempt: running.start.attempt,
                outcome,
                ran_ms: u64::try_from(ran).unwrap_or(u64::MAX),
                origin: running.start.origin,
            },
        );
    }
}
