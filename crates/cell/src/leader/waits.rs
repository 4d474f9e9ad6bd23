//! What a takeover waits for, told to the log now and then.

use std::fmt::Display;

use syc_types::Millis;

use crate::clock::now;
use crate::log;
use crate::ports::Topic;

/// A wait that goes on is told this often.
const TELL_INTERVAL_MS: u64 = 1_000;

/// Tries of a takeover to get something of a partition.
#[derive(Debug)]
pub(crate) struct Waits {
    pub(crate) topic: Topic,
    pub(crate) partition: u32,
    pub(crate) tries: u32,
    began: Millis,
    told_at: Option<Millis>,
}

impl Waits {
    pub(super) fn new(topic: Topic, partition: u32) -> Self {
        Self {
            topic,
            partition,
            tries: 0,
            began: now(),
            told_at: None,
        }
    }

    /// Takes note that a try failed; the first is told at once.
    pub(super) fn note<E>(&mut self, token: u64, step: &'static str, error: &E)
    where
        E: Display,
    {
        self.tries += 1;
        let now = now();
        let told_at = self.told_at;
        if told_at.is_some_and(|at| now.since(at) < TELL_INTERVAL_MS) {
            return;
        }
        self.told_at = Some(now);
        let waited_ms = now.since(self.began);
        log::takeover_retries(token, step, self, waited_ms, error);
    }
}
