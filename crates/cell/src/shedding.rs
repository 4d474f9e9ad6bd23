//! Decides which submits a node rejects because their jobs would end too late to be useful to the caller.
//!
//! This is for the load of workspaces that send many times their rate: without rejections, their backlog grows until
//! nothing of it ends in time. The scheduler lists such workspaces in a [`ShedView`]; a node decides on each submit by
//! that view. The decision is pure: no clock, no I/O.

use syc_sched::JobSpec;
use syc_sched::ShedRow;
use syc_sched::objective_ms;
use syc_types::Millis;
use syc_types::WorkspaceName;
use syc_types::hash::name_digest;
use syc_wire::cell::ContactReply;
use syc_wire::cell::SHED_ROWS_LIMIT;

/// A view older than this is not acted on. It covers six contacts, or one where contacts are rare.
pub const MAX_VIEW_AGE_MS: u64 = 1_000;

/// Append time from which the store counts as slow. With a slow store, a first attempt of the same job may still be on
/// its way to the scheduler, so nothing is rejected.
pub const SLOW_APPEND_MS: u64 = 50;

/// A job is no longer useful to its caller after this multiple of its objective.
const USEFUL_OBJECTIVES: u64 = 3;

/// Largest `Retry-After` before jitter. Jitter at most doubles it, so callers are told to wait for at most 10 s.
const MAX_BASE_RETRY_S: u64 = 5;

/// Milliseconds per second.
const MS_PER_S: u64 = 1_000;

/// The scheduler's view of the workspaces that send more than their rate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShedView {
    /// When the scheduler computed the rows, by this node's clock and no later than it did.
    pub computed_at: Millis,
    /// At most [`SHED_ROWS_LIMIT`] rows.
    pub rows: Vec<ShedRow>,
}

impl ShedView {
    /// Reads the view from a contact's reply. The contact was sent at `sent_at`.
    #[must_use]
    pub fn from_reply(reply: &ContactReply, sent_at: Millis) -> Self {
        let rows = reply.shed_rows.iter().take(SHED_ROWS_LIMIT);
        let rows = rows.map(|row| ShedRow {
            workspace: WorkspaceName::from(row.workspace.as_str()),
            queue: row.queue.as_str().into(),
            wait_ms: row.wait_ms,
        });
        Self {
            // The reply's own age counts from after the sending, so the view can only seem older than it is.
            computed_at: Millis(sent_at.since(Millis(reply.shed_rows_age_ms))),
            rows: rows.collect(),
        }
    }

    /// Writes the view into a contact's reply.
    pub fn write_to(&self, reply: &mut ContactReply, now: Millis) {
        let rows = self.rows.iter().take(SHED_ROWS_LIMIT);
        let rows = rows.map(|row| syc_wire::cell::ShedRow {
            workspace: row.workspace.to_string(),
            queue: row.queue.to_string(),
            wait_ms: row.wait_ms,
        });
        reply.shed_rows = rows.collect();
        reply.shed_rows_age_ms = now.since(self.computed_at);
    }

    /// Returns the wait of a job's workspace in its queue, if the view lists it.
    fn wait_ms(&self, spec: &JobSpec) -> Option<u64> {
        let workspace = spec.workspace.as_ref()?;
        let mut rows = self.rows.iter();
        let row = rows.find(|row| row.workspace == *workspace && row.queue == spec.policy.queue)?;
        Some(row.wait_ms)
    }
}

/// Append times of the store, in milliseconds; `None` where the store does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTimes {
    /// At this node.
    pub own_append_ms: Option<u64>,
    /// At the scheduler's node.
    pub scheduler_append_ms: Option<u64>,
}

impl StoreTimes {
    fn are_short(&self) -> bool {
        let mut times = [self.own_append_ms, self.scheduler_append_ms].into_iter();
        times.all(|time_ms| time_ms.is_some_and(|time_ms| time_ms < SLOW_APPEND_MS))
    }
}

/// Reason why a job would end too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedReason {
    /// The wait alone is too long.
    Wait,
    /// The wait and the job's own run time are too long together.
    WaitAndRun,
}

impl ShedReason {
    /// Returns the reason's name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::WaitAndRun => "wait_and_run",
        }
    }
}

/// Rejection of a submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why the job would end too late.
    pub reason: ShedReason,
    /// Lower bound of the job's wait.
    pub wait_ms: u64,
    /// Time after which the caller should retry: whole seconds, 1 to 10.
    pub retry_after_ms: u64,
}

/// Decision on a submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The job is to be stored.
    Admit,
    /// The job is to be rejected, if it is not stored already.
    Shed(Rejection),
}

/// Decides whether the job of a submit would end too late.
///
/// Jobs that run at set times are admitted, because the present wait says nothing about theirs, and so are jobs that
/// run until they are cancelled and jobs without an objective.
#[must_use]
pub fn decide(view: &ShedView, store: StoreTimes, spec: &JobSpec, now: Millis) -> Decision {
    if now.since(view.computed_at) > MAX_VIEW_AGE_MS || !store.are_short() {
        return Decision::Admit;
    }
    let Some(wait_ms) = view.wait_ms(spec) else {
        return Decision::Admit;
    };
    let objective_ms = objective_ms(spec);
    let has_end = !spec.steps.iter().any(|step| step.long_running);
    if objective_ms == 0 || !has_end || spec.schedule.occurrences > 0 {
        return Decision::Admit;
    }
    let useful_ms = objective_ms.saturating_mul(USEFUL_OBJECTIVES);
    let end_ms = wait_ms.saturating_add(spec.longest_chain_ms());
    if end_ms <= useful_ms {
        return Decision::Admit;
    }
    let reason = if wait_ms > useful_ms {
        ShedReason::Wait
    } else {
        ShedReason::WaitAndRun
    };
    Decision::Shed(Rejection {
        reason,
        wait_ms,
        retry_after_ms: retry_after_ms(end_ms - useful_ms, spec),
    })
}

/// Returns when a caller should retry.
///
/// A backlog to which nothing is added shrinks by at most one millisecond each millisecond, so a retry before `late_ms`
/// would be rejected as well. Jitter from the job's ID spreads the retries of many callers over as much time again.
fn retry_after_ms(late_ms: u64, spec: &JobSpec) -> u64 {
    let base_s = late_ms.div_ceil(MS_PER_S).clamp(1, MAX_BASE_RETRY_S);
    let jitter_s = name_digest(&spec.id.to_string()) % (base_s + 1);
    (base_s + jitter_s) * MS_PER_S
}
