//! Options of the admission control.

/// Options of an [`crate::Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmitOptions {
    /// Maximum number of records in one append.
    pub max_batch_records: usize,
    /// Maximum number of bytes in one append; a single record may exceed it.
    pub max_batch_bytes: usize,
    /// Maximum concurrent appends of a node that collects records of others, each to another
    /// partition: while one is answered, the next is on its way.
    pub max_collector_appends: usize,
    /// Assumed append latency before the first answer.
    pub initial_append_ms: u64,
    /// Append latency from which the store counts as slow: several times what a healthy store needs
    /// at full load.
    pub slow_ms: u64,
    /// Multiple of the estimated latency after which an unanswered append is overdue.
    pub overdue_factor: u64,
    /// Lower bound of that time, above the response time of a healthy store.
    pub min_overdue_ms: u64,
    /// Capacity of the retry budget: appends that may be resent at once if no other route is left.
    pub retry_burst: u64,
    /// Share of a retry that each answered append earns, in thousandths.
    pub retry_refund_per_mille: u64,
    /// Maximum number of appends that a record is part of, concurrently or one after another.
    pub max_attempts: u32,
    /// Rejected appends of a record after which its caller is refused.
    pub max_refusals: u32,
    /// Backoff after a failed append; it doubles with each consecutive failure.
    pub backoff_base_ms: u64,
    /// Maximum backoff.
    pub backoff_max_ms: u64,
    /// Time after which a record in doubt is given up while the store answers nothing at all.
    pub max_doubt_ms: u64,
    /// Minimum delay after which a refused caller should retry.
    pub min_retry_after_ms: u64,
    /// Maximum delay after which a refused caller should retry.
    pub max_retry_after_ms: u64,
    /// Whether records are forwarded to the scheduler's node while the store is slow.
    pub forwards_when_slow: bool,
}

impl Default for AdmitOptions {
    fn default() -> Self {
        Self {
            max_batch_records: 256,
            max_batch_bytes: 1 << 20,
            max_collector_appends: 8,
            initial_append_ms: 15,
            slow_ms: 50,
            overdue_factor: 4,
            min_overdue_ms: 50,
            retry_burst: 1,
            retry_refund_per_mille: 500,
            max_attempts: 8,
            max_refusals: 2,
            backoff_base_ms: 40,
            backoff_max_ms: 640,
            max_doubt_ms: 1_000,
            min_retry_after_ms: 1_000,
            max_retry_after_ms: 4_000,
            forwards_when_slow: true,
        }
    }
}
