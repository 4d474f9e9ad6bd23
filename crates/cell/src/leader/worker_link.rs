//! What is known of the way to a worker: its clock, how long its answers take, and the places that its orders have.

use std::cell::Cell;
use std::time::Duration;

use smol_str::SmolStr;
use syc_types::Millis;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::adaptive_timeout::AdaptiveTimeout;
use crate::ports::OrderError;
use crate::ports::WorkerAddress;

/// Starts under way at one worker: each takes a connection, and workers bound those that they take.
const MAX_CONCURRENT_STARTS: usize = 3;

/// Other orders under way at one worker: what ends a run never waits behind starts.
const MAX_CONCURRENT_CONTROLS: usize = 2;

/// An order that found no connection free looks for one again after this time.
const CONNECTION_RETRY_MS: u64 = 30;

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderKind {
    /// It starts a run.
    Start,
    /// It ends one, or changes its pace.
    Control,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    read_at: Millis,
}

/// The way to one worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) address: WorkerAddress,
    /// For how long its answers are waited for.
    pub(super) answer_timeout: AdaptiveTimeout,
    /// The worker's clock, as last read.
    clock: Cell<Option<ClockReading>>,
    starts: Semaphore,
    controls: Semaphore,
}

impl WorkerLink {
    pub(super) fn new(address: WorkerAddress) -> Self {
        Self {
            address,
            answer_timeout: AdaptiveTimeout::default(),
            clock: Cell::new(None),
            starts: Semaphore::new(MAX_CONCURRENT_STARTS),
            controls: Semaphore::new(MAX_CONCURRENT_CONTROLS),
        }
    }

    /// Takes note of what the worker's clock has just shown.
    pub(super) fn record_clock(&self, clock_ms: u64) {
        self.clock.set(Some(ClockReading {
            clock_ms,
            read_at: now(),
        }));
    }

    /// Says whether the worker's clock was read.
    pub(super) const fn has_clock_reading(&self) -> bool {
        self.clock.get().is_some()
    }

    /// Returns the end of a lease that counts from a time, on the worker's clock, if that was read.
    pub(super) fn lease_until_ms(&self, from: Millis, lease_ms: u64) -> Option<u64> {
        let reading = self.clock.get()?;
        // It is taken to run as fast as this node's.
        let since_ms = from.since(reading.read_at);
        let before_ms = reading.read_at.since(from);
        let until_ms = reading.clock_ms.saturating_add(lease_ms);
        Some(until_ms.saturating_add(since_ms).saturating_sub(before_ms))
    }

    /// Counts the orders that have a place.
    pub(super) fn orders_in_flight(&self) -> usize {
        let free = self.starts.available_permits() + self.controls.available_permits();
        (MAX_CONCURRENT_STARTS + MAX_CONCURRENT_CONTROLS).saturating_sub(free)
    }

    /// Sends an order once a place and a connection are free, and waits for its answer, at least for the time that a
    /// sound worker needs.
    ///
    /// # Errors
    ///
    /// Fails as the call does, and where no place has become free: the order has not been sent then.
    pub(super) async fn send<F>(
        &self,
        kind: OrderKind,
        min_timeout_ms: u64,
        call: F,
    ) -> Result<(), OrderError>
    where
        F: AsyncFn(u64) -> Result<(), OrderError>,
    {
        let timeout_ms = self.answer_timeout.timeout_ms(min_timeout_ms);
        let wait_until = now().plus(timeout_ms);
        let _permit = self.acquire_permit(kind, timeout_ms).await?;
        let mut sent_at = now();
        let mut outcome = call(timeout_ms).await;
        // One is free once another order has its answer, or may be opened soon.
        while matches!(outcome, Err(OrderError::NoConnection(_))) && now() < wait_until {
            pause(CONNECTION_RETRY_MS).await;
            sent_at = now();
            outcome = call(timeout_ms).await;
        }
        // Orders without an answer may be lost: renewals tell how late answers are.
        if matches!(outcome, Ok(()) | Err(OrderError::Refused(_))) {
            self.answer_timeout.record(now().since(sent_at));
        }
        outcome
    }

    async fn acquire_permit(
        &self,
        kind: OrderKind,
        timeout_ms: u64,
    ) -> Result<SemaphorePermit<'_>, OrderError> {
        let permits = match kind {
            OrderKind::Start => &self.starts,
            OrderKind::Control => &self.controls,
        };
        let timeout = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(timeout, permits.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(OrderError::NotSent(SmolStr::new_static(
                "others to the worker were under way for too long",
            ))),
        }
    }
}
