//! Whether an endpoint gets requests: ejection after failures, slow return, leaving.

use syc_types::Millis;

/// When an endpoint is ejected and how it returns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthOptions {
    /// Failures in a row that eject an endpoint.
    pub failures: u32,
    /// Length of the first ejection; each further one is twice as long.
    pub ejection_ms: u64,
    /// Longest ejection.
    pub ejection_limit_ms: u64,
    /// Least share of the endpoints that stay in use, whatever they do.
    pub floor_share: f32,
    /// Silence after which a request that timed out counts as a failure.
    pub hang_ms: u64,
    /// Time that a drain answer holds unless the VM list shows the VM anew.
    pub drain_hold_ms: u64,
    /// Shortest and longest rest after a busy refusal while nothing else is in flight.
    pub rest_ms: (u64, u64),
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            failures: 3,
            ejection_ms: 1_000,
            ejection_limit_ms: 30_000,
            floor_share: 0.5,
            hang_ms: 1_000,
            drain_hold_ms: 600_000,
            rest_ms: (2, 50),
        }
    }
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// A whole answer came.
    Answered {
        /// Time from sending to the whole answer.
        latency_us: u64,
    },
    /// A whole answer came that says that the endpoint failed.
    Failed,
    /// The endpoint refused: all its slots were taken.
    Busy,
    /// The endpoint refused: it is leaving.
    Draining,
    /// The endpoint could not be reached; it got nothing.
    NotSent,
    /// The answer was lost or cut.
    Lost,
    /// No answer came in time.
    TimedOut {
        /// Time that was waited.
        waited_ms: u64,
    },
}

/// Failures, ejection and return of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    /// While set, the endpoint gets nothing before this time.
    pub(crate) out_until: Option<Millis>,
    /// While set, the endpoint gets at most this many at once.
    pub(crate) returning: Option<u32>,
}

impl Health {
    /// Notes an answer; a returning endpoint may take one request more at once.
    pub(crate) fn answered(&mut self, slots: u32) {
        self.failures = 0;
        let Some(limit) = self.returning else {
            return;
        };
        self.returning = (limit < slots).then_some(limit + 1);
        if self.returning.is_none() {
            self.ejections = 0;
        }
    }

    /// Notes a failure; says whether the endpoint is to be ejected.
    pub(crate) fn failed(&mut self, weight: u32, options: &HealthOptions) -> bool {
        self.failures += weight;
        self.returning.is_some() || self.failures >= options.failures
    }

    /// Ejects the endpoint and returns the end of it.
    pub(crate) fn eject(&mut self, options: &HealthOptions, now: Millis) -> Millis {
        let doublings = self.ejections.min(16);
        let length_ms = options.ejection_ms << doublings;
        let until = now.plus(length_ms.min(options.ejection_limit_ms));
        self.ejections += 1;
        self.failures = 0;
        self.out_until = Some(until);
        self.returning = Some(1);
        until
    }
}

/// Signs that an endpoint is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Leaving {
    /// The VM list says so, or the VM is gone from it.
    pub(crate) listed: bool,
    /// The endpoint said so itself; holds until then.
    pub(crate) drained_until: Option<Millis>,
}

impl Leaving {
    /// Says whether nothing new may go to the endpoint.
    pub(crate) fn holds(self) -> bool {
        self.listed || self.drained_until.is_some()
    }
}
