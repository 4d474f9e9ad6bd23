//! Timeouts that adapt to the response times of a worker or the advice service.
//!
//! A fixed timeout close to the actual response time makes healthy workers count as silent over and
//! over, and each abandoned request costs a connection. The timeout only affects how soon silence
//! is noticed and how soon an order is sent again. What may run where depends on leases and tokens
//! alone.

use std::cell::Cell;

use syc_retry::TimeoutEstimator;

/// Upper bound of the timeout; a lease spans several of them.
const MAX_MS: u64 = 2_000;

/// Number of unanswered renewals that fit into a lease.
const MIN_RENEWALS_PER_LEASE: u64 = 3;

/// The adaptive timeout for one peer.
#[derive(Debug, Default)]
pub(super) struct AdaptiveTimeout {
    estimator: Cell<TimeoutEstimator>,
}

impl AdaptiveTimeout {
    /// Returns the timeout for a request, at least `min_ms`, which suffices for a healthy peer.
    pub(super) fn timeout_ms(&self, min_ms: u64) -> u64 {
        self.estimator.get().timeout_ms(min_ms, MAX_MS)
    }

    /// Returns the timeout for a renewal beyond the wait that it requests.
    pub(super) fn renewal_slack_ms(&self, min_ms: u64, lease_ms: u64) -> u64 {
        let max_ms = MAX_MS.min(lease_ms / MIN_RENEWALS_PER_LEASE);
        self.estimator.get().timeout_ms(min_ms, max_ms)
    }

    /// Records a response time, or the timeout if there was no answer.
    pub(super) fn record(&self, took_ms: u64) {
        let mut estimator = self.estimator.get();
        estimator.record(took_ms);
        self.estimator.set(estimator);
    }

    /// Records the response time of a renewal that requested a wait.
    pub(super) fn record_renewal(&self, took_ms: u64, wait_ms: u64, reported_ends: bool) {
        // The worker answers early if it has ends to report, so the time it actually waited is
        // unknown.
        if reported_ends && wait_ms > 0 {
            return;
        }
        self.record(took_ms.saturating_sub(wait_ms));
    }
}
