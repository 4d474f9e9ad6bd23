//! The link to a worker: clock reading, response times, and limits on concurrent orders.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_sched::ClockReading;
use syc_sched::WorkerReport;
use syc_types::Millis;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::adaptive_timeout::AdaptiveTimeout;
use crate::leader::call_fences::CallFence;
use crate::leader::lease_trace::LeaseCall;
use crate::leader::lease_trace::LeaseTerm;
use crate::leader::lease_trace::LeaseTrace;
use crate::ports::OrderError;
use crate::ports::WorkerAddress;

/// Maximum concurrent start orders per worker. Each occupies a connection, and workers limit how
/// many they accept.
const MAX_CONCURRENT_STARTS: usize = 3;

/// Maximum concurrent other orders per worker. They are limited separately so that orders that end
/// a run never queue behind starts.
const MAX_CONCURRENT_CONTROLS: usize = 2;

/// Delay before an order that found no free connection tries again.
const CONNECTION_RETRY_MS: u64 = 30;

/// The kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderKind {
    /// Starts a run.
    Start,
    /// Stops a run or changes its pace.
    Control,
}

/// Connection state of one worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) address: WorkerAddress,
    /// Token of the calls to the worker.
    pub(super) fence: Rc<CallFence>,
    /// Whether this life of the worker is not called any more.
    is_closed: Cell<bool>,
    /// Adaptive timeout for its answers.
    pub(super) answer_timeout: AdaptiveTimeout,
    /// What the calls to the worker set there.
    pub(super) trace: LeaseTrace,
    /// Last reading of the worker's clock.
    clock: Cell<Option<ClockReading>>,
    /// Whether the latest report lists neither runs nor ends.
    has_empty_report: Cell<bool>,
    starts: Semaphore,
    controls: Semaphore,
}

impl WorkerLink {
    pub(super) fn new(address: WorkerAddress, fence: Rc<CallFence>) -> Self {
        Self {
            address,
            fence,
            is_closed: Cell::new(false),
            answer_timeout: AdaptiveTimeout::default(),
            trace: LeaseTrace::new(now()),
            clock: Cell::new(None),
            has_empty_report: Cell::new(false),
            starts: Semaphore::new(MAX_CONCURRENT_STARTS),
            controls: Semaphore::new(MAX_CONCURRENT_CONTROLS),
        }
    }

    /// Ends the calls to this life of the worker. Orders that wait are not sent.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
    }

    /// Returns whether this life of the worker is not called any more.
    pub(super) const fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Returns whether a call with this token may have been refused because of a later call of this scheduler, and not
    /// because of another scheduler.
    pub(super) fn has_superseded(&self, token: u64) -> bool {
        self.is_closed() || self.fence.has_risen_above(token)
    }

    /// Records a reading of the worker's clock.
    pub(super) fn record_clock(&self, clock_ms: u64) {
        self.clock.set(Some(ClockReading {
            clock_ms,
            read_at: now(),
        }));
    }

    /// Records whether a report lists neither runs nor ends.
    pub(super) fn record_report(&self, report: &WorkerReport) {
        let is_empty = report.running.is_empty() && report.ended.is_empty();
        self.has_empty_report.set(is_empty);
    }

    /// Returns whether the worker runs nothing as far as is known.
    pub(super) fn is_idle(&self) -> bool {
        self.has_empty_report.get() && self.orders_in_flight() == 0
    }

    /// Returns whether the worker's clock has been read.
    pub(super) const fn has_clock_reading(&self) -> bool {
        self.clock.get().is_some()
    }

    /// Returns how old the last reading of the worker's clock is, or `None` if the clock has not been read.
    pub(super) fn clock_age_ms(&self) -> Option<u64> {
        let reading = self.clock.get()?;
        Some(now().since(reading.read_at))
    }

    /// Returns the end of a lease that starts at `from`, on the worker's clock, or `None` if the
    /// clock has not been read.
    pub(super) fn lease_until_ms(&self, from: Millis, lease_ms: u64) -> Option<u64> {
        let reading = self.clock.get()?;
        Some(reading.lease_until_ms(from, lease_ms))
    }

    /// Returns what a call sets that grants a lease until `until_ms`, for the trace.
    pub(super) fn lease_term(&self, call: LeaseCall, until_ms: Option<u64>) -> Option<LeaseTerm> {
        let until_ms = until_ms?;
        let reading = self.clock.get()?;
        Some(LeaseTerm {
            call,
            until_ms,
            reading,
        })
    }

    /// Returns the number of orders in flight.
    pub(super) fn orders_in_flight(&self) -> usize {
        let free = self.starts.available_permits() + self.controls.available_permits();
        (MAX_CONCURRENT_STARTS + MAX_CONCURRENT_CONTROLS).saturating_sub(free)
    }

    /// Sends an order once a permit and a connection are available, and waits for its answer for at
    /// least `min_timeout_ms`, which suffices for a healthy worker.
    ///
    /// # Errors
    ///
    /// Returns the error of the call, or [`OrderError::NotSent`] if no permit became available in
    /// time.
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
        // A connection becomes free when another order is answered, or when a new one may be
        // opened.
        while matches!(outcome, Err(OrderError::NoConnection(_))) && now() < wait_until {
            pause(CONNECTION_RETRY_MS).await;
            sent_at = now();
            outcome = call(timeout_ms).await;
        }
        // Unanswered orders are not recorded, since they may be lost; renewals measure late
        // answers.
        if matches!(outcome, Ok(()) | Err(OrderError::Refused(_))) {
            self.answer_timeout.record(now().since(sent_at));
        }
        self.trace.record_order(outcome.as_ref().err());
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
                "timed out waiting for other orders to the worker",
            ))),
        }
    }
}
