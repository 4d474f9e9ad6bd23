//! What may be sent again after an endpoint gave no answer.

use syc_types::Millis;

use crate::Finish;

/// Bounds of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryOptions {
    /// Retries that each first sending earns.
    pub share: f32,
    /// Most retries that can be saved up.
    pub saved: f32,
    /// Most sendings of a request of which one brought no answer.
    pub sendings: u32,
    /// Most sendings of a request that the last endpoint surely did not act on.
    pub refusals: u32,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            share: 0.1,
            saved: 10.0,
            sendings: 4,
            refusals: 8,
        }
    }
}

/// What is asked after a sending that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sending {
    /// How it ended.
    pub finish: Finish,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Sendings so far, this one included.
    pub sendings: u32,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// What becomes of a request after a sending that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another endpoint now.
    Elsewhere,
    /// Let it wait for a slot again; the endpoints are busy.
    Wait,
    /// Say that it was not run.
    NotRun,
    /// Say that it may have been run.
    Unknown,
}

/// Keeps retries a small share of the first sendings, so that they can't feed an overload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    options: RetryOptions,
    saved: f32,
}

impl RetryBudget {
    /// Makes a budget that is full.
    #[must_use]
    pub const fn new(options: RetryOptions) -> Self {
        Self {
            options,
            saved: options.saved,
        }
    }

    /// Notes the first sending of a request.
    pub fn first(&mut self) {
        self.saved = (self.saved + self.options.share).min(self.options.saved);
    }

    /// Says whether a late request may be sent a second time, and counts that as a retry.
    pub fn hedge(&mut self) -> bool {
        let saved = self.saved >= 1.0;
        if saved {
            self.saved -= 1.0;
        }
        saved
    }

    /// Decides what becomes of a request that got no answer.
    ///
    /// Only endings after which the endpoint surely did not act, [`Finish::NotSent`] and the two
    /// refusals, let a non-idempotent request be sent again, or any request count as not run.
    /// A refusal cost the endpoint nothing, so only lost answers and unreached endpoints draw on
    /// the budget. Whether an earlier sending of the same request is in doubt is `doubted`.
    pub fn next(&mut self, sending: Sending, doubted: bool, now: Millis) -> Next {
        let surely_not_run = surely_not_run(sending.finish);
        let given_up = if surely_not_run && !doubted {
            Next::NotRun
        } else {
            Next::Unknown
        };
        let limit = if surely_not_run {
            self.options.refusals
        } else {
            self.options.sendings
        };
        if sending.sendings >= limit || now >= sending.deadline {
            return given_up;
        }
        if !surely_not_run && !sending.idempotent {
            return Next::Unknown;
        }
        match sending.finish {
            Finish::Busy => Next::Wait,
            Finish::Draining => Next::Elsewhere,
            _ if self.hedge() => Next::Elsewhere,
            _ => given_up,
        }
    }
}

/// Says whether the endpoint surely did not act on the request.
#[must_use]
pub const fn surely_not_run(finish: Finish) -> bool {
    matches!(finish, Finish::NotSent | Finish::Busy | Finish::Draining)
}
