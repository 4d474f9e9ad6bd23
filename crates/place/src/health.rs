//! Puts workers aside that fail what they start, and tries them again carefully.

use syc_types::Millis;

use crate::history::Kind;

/// Kinds of jobs that must fail on a worker, with no success between, before it is put aside.
const KINDS_TO_CONDEMN: usize = 3;

/// First time that a worker is put aside.
const FIRST_ASIDE_MS: u64 = 10_000;

/// Longest time that a worker is put aside.
const LONGEST_ASIDE_MS: u64 = 300_000;

/// How a worker has done lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failed: Vec<Kind>,
    aside_until: Option<Millis>,
    aside_ms: u64,
    trying: bool,
}

impl Health {
    /// Says whether the worker may be given a task; on trial it gets one at a time.
    pub(crate) const fn usable(&self, grants: u32) -> bool {
        if self.aside_until.is_some() {
            return false;
        }
        !self.trying || grants == 0
    }

    /// Notes that a task ended well.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes that a task of a kind failed.
    pub(crate) fn failed(&mut self, kind: Kind, now: Millis) {
        if !self.failed.contains(&kind) {
            self.failed.push(kind);
        }
        if self.aside_until.is_some() {
            return;
        }
        if self.trying || self.failed.len() >= KINDS_TO_CONDEMN {
            let doubled = self.aside_ms.saturating_mul(2);
            self.aside_ms = doubled.clamp(FIRST_ASIDE_MS, LONGEST_ASIDE_MS);
            self.aside_until = Some(now.plus(self.aside_ms));
            self.trying = false;
        }
    }

    /// Lets a worker be tried again once its time aside is over; returns whether that changed.
    pub(crate) fn tick(&mut self, now: Millis) -> bool {
        if self.aside_until.is_none_or(|until| now < until) {
            return false;
        }
        self.aside_until = None;
        self.trying = true;
        true
    }

    /// Says whether the worker is put aside.
    pub(crate) const fn is_aside(&self) -> bool {
        self.aside_until.is_some()
    }
}
