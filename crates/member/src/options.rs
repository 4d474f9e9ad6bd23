//! Intervals and bounds of the membership protocol.

/// Intervals and bounds of [`crate::Membership`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Interval of heartbeats to each member.
    pub heartbeat_ms: u64,
    /// Length of the authority lease, from when an acknowledged heartbeat was sent.
    pub authority_ms: u64,
    /// Bound on what two clocks may differ over one lease; taken off at the holder and added at
    /// whoever waits for the holder.
    pub drift_ms: u64,
    /// Silence after which a peer is suspected.
    pub suspect_ms: u64,
    /// Longest time that the VM list may lag.
    pub vm_lag_ms: u64,
    /// Delay between proposers of successive rank.
    pub stagger_ms: u64,
    /// Most view changes that a member joins in proposing within a minute.
    pub changes_per_minute: usize,
    /// Takes over without waiting for the former holder's lease. Only the check of the protocol
    /// sets it, to show that it notices.
    pub skip_wait: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            authority_ms: 3_000,
            drift_ms: 100,
            suspect_ms: 3_200,
            vm_lag_ms: 60_000,
            stagger_ms: 150,
            changes_per_minute: 20,
            skip_wait: false,
        }
    }
}

impl Options {
    /// Returns the time after which a lease granted at its start has surely lapsed everywhere.
    #[must_use]
    pub const fn lapse_ms(&self) -> u64 {
        self.authority_ms + self.drift_ms
    }

    /// Returns the time during which a holder uses its lease.
    #[must_use]
    pub const fn use_ms(&self) -> u64 {
        self.authority_ms.saturating_sub(self.drift_ms)
    }
}
