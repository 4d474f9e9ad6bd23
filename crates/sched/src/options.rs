//! The times and limits of a scheduler.

use crate::CallLength;

/// Times and limits of a [`crate::Scheduler`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Time after sending a renewal within which the lease that it set has surely lapsed: the
    /// lease itself, the drift of the worker's clock, and what an order may be under way.
    pub lease_bound_ms: u64,
    /// The same where the worker's clock may have begun anew, so that it sets the longest lease that it grants.
    pub max_lease_ms: u64,
    /// Time that a predecessor may go on giving orders after its successor was chosen.
    pub authority_ms: u64,
    /// Time for which a scheduler starts what it learns of after the store took something of it.
    pub proof_validity_ms: u64,
    /// Time that a stop takes at most on a worker.
    pub max_stop_ms: u64,
    /// Time for which a job's state can be asked after it has ended.
    pub ended_job_retention_ms: u64,
    /// A start or stop order without an answer is sent again after this time: above an answer over a busy
    /// link.
    pub order_retry_ms: u64,
    /// A start or a stop that has been in doubt for longer lets the lease of its worker lapse on purpose: what
    /// else runs there is lost with it, so it is longer than a few lost answers in a row take.
    pub in_doubt_limit_ms: u64,
    /// Orders in a row that were not taken after which a worker gets no new starts until it has taken one.
    pub order_failures_limit: u32,
    /// Longest wait before an order is sent again to a worker that takes others.
    pub max_retry_delay_ms: u64,
    /// Longest wait before a worker that takes no orders is sent one again.
    pub max_probe_delay_ms: u64,
    /// Starts without an answer before the run is given up and stopped.
    pub start_attempts_limit: u32,
    /// A ticket is not used in the last part of its validity: the order has still to arrive.
    pub ticket_margin_ms: u64,
    /// A call for advice without an answer is given up this long after it should have ended.
    pub advice_slack_ms: u64,
    /// Calls for advice that are served within this time count as short: they have places that long
    /// ones never take.
    pub short_call_ms: f64,
    /// A run that shows no progress for this long, beside a share of its estimate, has stalled.
    pub stall_timeout_ms: u64,
    /// Failed runs in a row, without a good one between, after which a worker is quarantined.
    pub run_failures_limit: u32,
    /// Time for which a worker is quarantined the first time; each further time doubles it.
    pub quarantine_ms: u64,
    /// A worker that was silent for longer gets nothing new until it has told again what it has: its room may have
    /// shrunk meanwhile.
    pub capacity_report_ttl_ms: u64,
    /// A worker that is still registered after this time has told meanwhile what it has: else its registration would
    /// have lapsed.
    pub capacity_report_deadline_ms: u64,
    /// Room is kept for a unit at most this long.
    pub reservation_limit_ms: u64,
    /// A task, or a gang, that failed on some workers goes elsewhere; where there is no room it
    /// waits this long, and then takes them again: others may never be allowed.
    pub avoid_failed_workers_ms: u64,
    /// Time that the upkeep of a VM takes.
    pub maintenance_ms: u64,
    /// A new scheduler gives no orders about VMs for this long: those of its predecessor are old then.
    pub vm_order_pause_ms: u64,
    /// Workers named in the first call for advice about a gang, at least.
    pub gang_advice_workers: usize,
    /// Workers named in the first call for advice about a single task, at least.
    pub task_advice_workers: usize,
}

impl Options {
    /// Says whether a call for advice that is served for so long counts as short.
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
            authority_ms: 3_000,
            proof_validity_ms: 1_000,
            max_stop_ms: 900,
            ended_job_retention_ms: 120_000,
            order_retry_ms: 300,
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
        }
    }
}
