//! Timeouts and limits of the scheduler.

use crate::CallLength;

/// Timeouts and limits of a [`crate::Scheduler`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Time after sending a renewal by which the lease it set has expired for certain: the lease itself, the
    /// drift of the worker's clock, and the longest transit time of an order.
    pub lease_bound_ms: u64,
    /// The same bound if the worker's clock may have restarted, in which case the worker grants its longest lease.
    pub max_lease_ms: u64,
    /// Longest time between giving up the answer to a call and the moment at which a worker carries the call out.
    pub late_call_ms: u64,
    /// Time for which a predecessor may keep sending orders after its successor was elected.
    pub authority_ms: u64,
    /// Time after a successful write to the store for which the scheduler may start newly learned jobs.
    pub proof_validity_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub max_stop_ms: u64,
    /// Time for which the state of a job can be queried after it has ended.
    pub ended_job_retention_ms: u64,
    /// An unanswered start or stop order is sent again after this time, which is longer than an answer takes
    /// over a busy link.
    pub order_retry_ms: u64,
    /// A start order without an answer is sent again once the store has that it is in doubt. If the store takes longer
    /// than this, it is stopped instead.
    pub doubt_record_limit_ms: u64,
    /// The lease of a worker is withheld once a start or stop has been in doubt for longer than this. All other
    /// runs on the worker are lost with the lease, so the limit is longer than a few lost answers in a row take.
    pub in_doubt_limit_ms: u64,
    /// Number of consecutive failed orders after which a worker gets no new starts until it accepts an order.
    pub order_failures_limit: u32,
    /// Longest backoff before an order is sent again to a worker that accepts other orders.
    pub max_retry_delay_ms: u64,
    /// Longest backoff between probes of a worker that accepts no orders.
    pub max_probe_delay_ms: u64,
    /// Number of unanswered start orders after which a run is abandoned and stopped.
    pub start_attempts_limit: u32,
    /// A ticket is not used this close to its expiry, since the order has yet to arrive.
    pub ticket_margin_ms: u64,
    /// Time added to the expected duration of an advice call before it is considered lost.
    pub advice_slack_ms: u64,
    /// Advice calls that are served within this time count as short. Some slots are reserved for short calls.
    pub short_call_ms: f64,
    /// A run has stalled if it makes no progress for this time plus a fraction of its estimate.
    pub stall_timeout_ms: u64,
    /// Number of consecutive failed runs after which a worker is quarantined.
    pub run_failures_limit: u32,
    /// Length of the first quarantine of a worker. Each further quarantine is twice as long.
    pub quarantine_ms: u64,
    /// A worker that was silent for longer gets no new runs until it has reported its capacity again, which may
    /// have shrunk in the meantime.
    pub capacity_report_ttl_ms: u64,
    /// A worker that is still registered after this time has reported its capacity, since its registration would
    /// have expired otherwise.
    pub capacity_report_deadline_ms: u64,
    /// Longest time for which capacity is reserved for a unit.
    pub reservation_limit_ms: u64,
    /// A task or gang avoids workers on which it failed. If no other worker has capacity, it waits this long
    /// before using them again, since other workers may never be allowed to run it.
    pub avoid_failed_workers_ms: u64,
    /// Time that the maintenance of a VM takes.
    pub maintenance_ms: u64,
    /// A new scheduler sends no VM orders for this long, by which time those of its predecessor are outdated.
    pub vm_order_pause_ms: u64,
    /// Minimum number of workers in an advice call for a gang.
    pub gang_advice_workers: usize,
    /// Minimum number of workers in the first advice call for single tasks.
    pub task_advice_workers: usize,
    /// Whether jobs beyond the guaranteed rate of their workspace go after the others.
    pub guaranteed_rates: bool,
    /// Whether placement regards the learned speeds of workers where these differ clearly.
    pub placement_by_speed: bool,
}

impl Options {
    /// Classifies an advice call by its expected duration.
    #[must_use]
    pub fn length_of_call(&self, expected_ms: f64) -> CallLength {
        if expected_ms <= self.short_call_ms {
            CallLength::Short
        } else {
            CallLength::Long
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_bound_ms: 6_500,
            max_lease_ms: 10_500,
            late_call_ms: 12_500,
            authority_ms: 3_000,
            proof_validity_ms: 1_000,
            max_stop_ms: 900,
            ended_job_retention_ms: 120_000,
            order_retry_ms: 300,
            doubt_record_limit_ms: 1_500,
            in_doubt_limit_ms: 5_000,
            order_failures_limit: 5,
            max_retry_delay_ms: 1_000,
            max_probe_delay_ms: 4_000,
            start_attempts_limit: 4,
            ticket_margin_ms: 60,
            advice_slack_ms: 2_600,
            short_call_ms: 40.0,
            stall_timeout_ms: 2_000,
            run_failures_limit: 3,
            quarantine_ms: 4_000,
            capacity_report_ttl_ms: 2_500,
            capacity_report_deadline_ms: 5_000,
            reservation_limit_ms: 3_000,
            avoid_failed_workers_ms: 1_000,
            maintenance_ms: 2_000,
            vm_order_pause_ms: 3_500,
            gang_advice_workers: 36,
            task_advice_workers: 10,
            guaranteed_rates: true,
            placement_by_speed: true,
        }
    }
}
