//! The bounds of an admission.

/// The bounds of an [`crate::Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmitOptions {
    /// Most records that share one append.
    pub batch_records: usize,
    /// Most bytes that share one append; a single record may have more.
    pub batch_bytes: usize,
    /// Appends that a node which takes the records of others has under way, each in another partition: while one
    /// is answered, the next is on its way.
    pub collector_appends: usize,
    /// Time that an append is taken to need before any was answered.
    pub first_usual_ms: u64,
    /// A store whose appends take this long is slow: several times what a sound one needs at a full load.
    pub slow_ms: u64,
    /// An append without an answer after this many times the usual time is overdue.
    pub overdue_factor: u64,
    /// It is overdue no sooner than this: above the time of a sound answer.
    pub overdue_least_ms: u64,
    /// Appends that may be sent again at once where no other way is left.
    pub repeats_burst: u64,
    /// Part of a repeat that each answered append pays for, in thousandths.
    pub repeats_per_mille: u64,
    /// Most appends that a record may be in, one after the other or at a time.
    pub tries: u32,
    /// Appends of a record that the store refuses, before the caller hears of it.
    pub refusals: u32,
    /// Wait after an append that failed; it doubles with each one in a row.
    pub retry_ms: u64,
    /// Longest such wait.
    pub retry_limit_ms: u64,
    /// A record in doubt is given up after this time while the store answers nothing at all.
    pub doubt_limit_ms: u64,
    /// A caller that is turned away comes back no sooner than after this time.
    pub come_back_least_ms: u64,
    /// And no later than after this time.
    pub come_back_most_ms: u64,
    /// Whether records are handed to the scheduler's node while the store is slow.
    pub hands_over: bool,
}

impl Default for AdmitOptions {
    fn default() -> Self {
        Self {
            batch_records: 256,
            batch_bytes: 1 << 20,
            collector_appends: 8,
            first_usual_ms: 15,
            slow_ms: 50,
            overdue_factor: 4,
            overdue_least_ms: 50,
            repeats_burst: 1,
            repeats_per_mille: 500,
            tries: 8,
            refusals: 2,
            retry_ms: 40,
            retry_limit_ms: 640,
            doubt_limit_ms: 1_000,
            come_back_least_ms: 1_000,
            come_back_most_ms: 4_000,
            hands_over: true,
        }
    }
}
