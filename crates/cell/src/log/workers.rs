//! Log events about one worker.

use syc_obs::Line;
use syc_obs::catalogue;
use syc_sched::WorkerNote;
use syc_types::WorkerId;

use crate::clock::now;
use crate::leader::lease_trace::SentLease;
use crate::leader::lease_trace::UnconfirmedCalls;

/// The end of a session with one life of a worker.
#[derive(Debug)]
pub(crate) struct LifeOver<'a> {
    pub(crate) worker: &'a WorkerId,
    pub(crate) how: &'static str,
    /// Calls since the last answer that named this life.
    pub(crate) calls: UnconfirmedCalls,
    /// Orders without an outcome.
    pub(crate) under_way: usize,
    /// Age of the last reading of its clock.
    pub(crate) clock_age_ms: Option<u64>,
    /// Last lease that it was sent.
    pub(crate) lease: Option<SentLease>,
    pub(crate) token: u64,
}

/// Logs the end of a session with one life of a worker.
pub(crate) fn worker_life_over(over: &LifeOver<'_>) {
    let mut line = Line::new(catalogue::WORKER_LIFE_OVER)
        .text("worker", over.worker.as_str())
        .text("how", over.how)
        .number("in_doubt", over.calls.in_doubt)
        .number("answered", over.calls.answered)
        .number("under_way", over.under_way)
        .number("token", over.token);
    if let Some(clock_age_ms) = over.clock_age_ms {
        line = line.number("clock_age_ms", clock_age_ms);
    }
    with_lease(line, over.lease).emit();
}

/// Logs the first answer of one life of a worker to this scheduler.
pub(crate) fn worker_answered_first(
    worker: &WorkerId,
    clock_ms: u64,
    attached_ms: u64,
    token: u64,
) {
    Line::new(catalogue::WORKER_ANSWERED_FIRST)
        .text("worker", worker.as_str())
        .number("clock_ms", clock_ms)
        .number("attached_ms", attached_ms)
        .number("token", token)
        .emit();
}

/// Adds the last lease that a worker was sent, and the reading of its clock that the end was computed from.
pub(super) fn with_lease(line: Line, lease: Option<SentLease>) -> Line {
    let Some(SentLease { term, sent_at }) = lease else {
        return line;
    };
    let now = now();
    line.text("lease_call", term.call.as_str())
        .number("lease_until_ms", term.until_ms)
        .number("lease_sent_ms", now.since(sent_at))
        .number("lease_clock_ms", term.reading.clock_ms)
        .number("lease_clock_age_ms", now.since(term.reading.read_at))
}

/// Logs a note of the scheduler about a worker.
pub(super) fn note(worker: &WorkerId, note: &WorkerNote) {
    let line = match note {
        WorkerNote::StatusChanged { status, silent_ms } => Line::new(catalogue::WORKER_BELIEF)
            .text("belief", status)
            .number("silent_ms", *silent_ms),
        WorkerNote::Slow {
            slowness_percent,
            steps,
            least,
            least_percent,
        } => Line::new(catalogue::WORKER_SLOW)
            .number("slowness_percent", *slowness_percent)
            .number("steps", *steps)
            .display("least_step", least)
            .number("least_percent", *least_percent),
        WorkerNote::SpeedChanged {
            is_slow,
            speed_percent,
        } => Line::new(catalogue::WORKER_SPEED)
            .flag("slow", *is_slow)
            .number("speed_percent", *speed_percent),
        WorkerNote::Lost {
            reason,
            silent_ms,
            runs,
            latest_run,
        } => {
            let line = Line::new(catalogue::WORKER_LOST)
                .text("how", reason)
                .number("silent_ms", *silent_ms)
                .number("runs", *runs);
            match latest_run {
                Some(youngest) => line
                    .display("job", youngest.task.step.job)
                    .display("youngest", youngest.task)
                    .number("run", youngest.run.0)
                    .number("seen_ms", youngest.seen_ms),
                None => line,
            }
        }
        WorkerNote::Paced {
            before_percent,
            percent,
            tail_percent,
            fills,
        } => Line::new(catalogue::PACE_CHANGED)
            .number("before_percent", *before_percent)
            .number("percent", *percent)
            .number("tail_percent", tail_percent.unwrap_or(0))
            .flag("serves", tail_percent.is_some())
            .number("fills", *fills),
    };
    line.text("worker", worker.as_str()).emit();
}
