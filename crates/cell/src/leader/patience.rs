//! For how long the answers of a worker, or of the advice service, are waited for.
//!
//! A fixed time over answers that are late by as much as that has sound workers count as silent again and again, and
//! each order that is given up costs a connection. So the time follows the answers. Only how soon a silence shows hangs
//! on it, and how soon an order is sent again: what may run where is decided by leases and tokens alone.

use std::cell::Cell;

use syc_retry::AnswerTime;

/// Longest time that an answer is given: a lease lasts for several.
const MOST_MS: u64 = 2_000;

/// Leases outlast so many renewals without an answer.
const RENEWALS_IN_LEASE: u64 = 3;

/// For how long the answers of one other side are waited for.
#[derive(Debug, Default)]
pub(super) struct Patience {
    answers: Cell<AnswerTime>,
}

impl Patience {
    /// Returns the time that an answer is given, at least that which a sound side needs.
    pub(super) fn timeout_ms(&self, floor_ms: u64) -> u64 {
        self.answers.get().timeout_ms(floor_ms, MOST_MS)
    }

    /// Returns the time that the answer to a renewal is given beyond the wait that it asks for.
    pub(super) fn renewal_slack_ms(&self, floor_ms: u64, lease_ms: u64) -> u64 {
        let most_ms = MOST_MS.min(lease_ms / RENEWALS_IN_LEASE);
        self.answers.get().timeout_ms(floor_ms, most_ms)
    }

    /// Takes note of how long an answer took, or of the time within which it did not come.
    pub(super) fn note(&self, took_ms: u64) {
        let mut answers = self.answers.get();
        answers.note(took_ms);
        self.answers.set(answers);
    }

    /// Takes note of the answer to a renewal that asked for a wait.
    pub(super) fn note_renewal(&self, took_ms: u64, wait_ms: u64, told_ends: bool) {
        // How much of the time the worker waited is known only where it waited for nothing.
        if told_ends && wait_ms > 0 {
            return;
        }
        self.note(took_ms.saturating_sub(wait_ms));
    }
}
