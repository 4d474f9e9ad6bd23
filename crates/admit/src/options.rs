//! The bounds of an admission.

/// The bounds of an [`crate::Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmitOptions {
    /// Most records that share one append.
    pub max_batch_records: usize,
    /// Most bytes that share one append; a single record may have more.
    pub max_batch_bytes: usize,
    /// Appends that a node which takes the records of others has under way, each in another partition: while one
    /// is answered, the next is on its way.
    pub max_collector_appends: usize,
    /// Time that an append is taken to need before any was answered.
    pub initial_append_ms: u64,
    /// A store whose appends take this long is slow: several times what a sound one needs at a full load.
    pub slow_ms: u64,
    /// An append without an answer after this many times the usual time is overdue.
    pub overdue_factor: u64,
    /// It is overdue no sooner than this: above the time of a sound answer.
    pub min_overdue_ms: u64,
    /// Appends that may be sent again at once where no other way is left.
    pub retry_burst: u64,
    /// Part of a repeat that each answered append pays for, in thousandths.
    pub retry_refund_per_mille: u64,
    /// Most appends that a record may be in, one after the other or at a time.
    pub max_attempts: u32,
    /// Appends of a record that the store refuses, before the caller hears of it.
    pub max_refusals: u32,
    /// Wait after an append that failed; it doubles with each one in a row.
    pub backoff_base_ms: u64,
    /// Longest such wait.
    pub backoff_max_ms: u64,
    /// A record in doubt is given up after this time while the store answers nothing at all.
    pub max_doubt_ms: u64,
    /// A caller that is turned away comes back no sooner than after this time.
    pub min_retry_after_ms: u64,
    /// And no later than after this time.
    pub max_retry_after_ms: u64,
    /// Whether records are handed to the scheduler's node while the store is slow.
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
