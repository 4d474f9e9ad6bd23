//! Rate-limited logging of retries during a takeover.

use std::fmt::Display;

use syc_types::Millis;

use crate::clock::now;
use crate::log;
use crate::ports::Topic;

/// Minimum time between two log lines about the same operation.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Failed attempts of a takeover to access a partition.
#[derive(Debug)]
pub(crate) struct RetryReport {
    pub(crate) topic: Topic,
    pub(crate) partition: u32,
    pub(crate) attempts: u32,
    started_at: Millis,
    last_reported_at: Option<Millis>,
}

impl RetryReport {
    pub(super) fn new(topic: Topic, partition: u32) -> Self {
        Self {
            topic,
            partition,
            attempts: 0,
            started_at: now(),
            last_reported_at: None,
        }
    }

    /// Counts a failed attempt and logs it, unless one was logged recently.
    pub(super) fn report_failure<E>(&mut self, token: u64, step: &'static str, error: &E)
    where
        E: Display,
    {
        self.attempts += 1;
        let now = now();
        let last_reported_at = self.last_reported_at;
        if last_reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL_MS) {
            return;
        }
        self.last_reported_at = Some(now);
        let waited_ms = now.since(self.started_at);
        log::takeover_retries(token, step, self, waited_ms, error);
    }
}
