//! For how long the answers of a worker, or of the advice service, are waited for.
//!
//! A fixed time over answers that are late by as much as that has sound workers count as silent again and again, and
//! each order that is given up costs a connection. So the time follows the answers. Only how soon a silence shows hangs
//! on it, and how soon an order is sent again: what may run where is decided by leases and tokens alone.

use std::cell::Cell;

use syc_retry::TimeoutEstimator;

/// Longest time that an answer is given: a lease lasts for several.
const MAX_MS: u64 = 2_000;

/// Leases outlast so many renewals without an answer.
const MIN_RENEWALS_PER_LEASE: u64 = 3;

/// For how long the answers of one other side are waited for.
#[derive(Debug, Default)]
pub(super) struct AdaptiveTimeout {
    estimator: Cell<TimeoutEstimator>,
}

impl AdaptiveTimeout {
    /// Returns the time that an answer is given, at least that which a sound side needs.
    pub(super) fn timeout_ms(&self, min_ms: u64) -> u64 {
        self.estimator.get().timeout_ms(min_ms, MAX_MS)
    }

    /// Returns the time that the answer to a renewal is given beyond the wait that it asks for.
    pub(super) fn renewal_slack_ms(&self, min_ms: u64, lease_ms: u64) -> u64 {
        let max_ms = MAX_MS.min(lease_ms / MIN_RENEWALS_PER_LEASE);
        self.estimator.get().timeout_ms(min_ms, max_ms)
    }

    /// Takes note of how long an answer took, or of the time within which it did not come.
    pub(super) fn record(&self, took_ms: u64) {
        let mut estimator = self.estimator.get();
        estimator.record(took_ms);
        self.estimator.set(estimator);
    }

    /// Takes note of the answer to a renewal that asked for a wait.
    pub(super) fn record_renewal(&self, took_ms: u64, wait_ms: u64, reported_ends: bool) {
        // How much of the time the worker waited is known only where it waited for nothing.
        if reported_ends && wait_ms > 0 {
            return;
        }
        self.record(took_ms.saturating_sub(wait_ms));
    }
}
