//! Sessions with workers: one renewal after the other keeps the leases and brings what ended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_sched::Event;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::log;
use crate::ports::OrderError;
use crate::ports::Platform;
use crate::ports::Renewal;
use crate::ports::WorkerAddress;
use crate::unreadable::Source;

/// Longest time that a renewal waits for the ends before it to be written.
const WRITE_WAIT_MS: u64 = 150;

/// Wait after a renewal without an answer; doubled up to the limit.
const RETRY_MS: u64 = 60;

/// Longest such wait.
const RETRY_LIMIT_MS: u64 = 400;

/// Starts under way at one worker: each takes a connection, and workers bound those that they take.
const STARTS_AT_ONCE: usize = 3;

/// Other orders under way at one worker: what ends a run never waits behind starts.
const CONTROLS_AT_ONCE: usize = 2;

/// A session with a worker.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) address: Rc<WorkerAddress>,
    places: Rc<Places>,
    /// The worker's clock, as last read.
    clock: Rc<Cell<Option<ClockReading>>>,
    task: Option<actix_rt::task::JoinHandle<()>>,
}

/// What orders to a worker need.
#[derive(Debug, Clone)]
pub(super) struct WorkerLink {
    pub(super) address: Rc<WorkerAddress>,
    places: Rc<Places>,
}

/// Free places for orders to a worker.
#[derive(Debug)]
struct Places {
    starts: Semaphore,
    controls: Semaphore,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderKind {
    /// It starts a run.
    Start,
    /// It ends one, or changes its pace.
    Control,
}

impl WorkerLink {
    /// Counts the orders that have a place.
    pub(super) fn under_way(&self) -> usize {
        let free =
            self.places.starts.available_permits() + self.places.controls.available_permits();
        (STARTS_AT_ONCE + CONTROLS_AT_ONCE).saturating_sub(free)
    }

    /// Waits for a free place for an order, so long at most.
    ///
    /// # Errors
    ///
    /// Fails where none has become free: the order has not been sent then.
    pub(super) async fn place(
        &self,
        kind: OrderKind,
        limit_ms: u64,
    ) -> Result<SemaphorePermit<'_>, OrderError> {
        let places = match kind {
            OrderKind::Start => &self.places.starts,
            OrderKind::Control => &self.places.controls,
        };
        let limit = Duration::from_millis(limit_ms);
        match tokio::time::timeout(limit, places.acquire()).await {
            Ok(Ok(place)) => Ok(place),
            Ok(Err(_)) | Err(_) => Err(OrderError::NotSent(SmolStr::new_static(
                "others to the worker were under way for too long",
            ))),
        }
    }
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    read_at: Millis,
}

impl ClockReading {
    /// Returns what the clock shows now, if it runs as fast as this node's.
    fn estimate_ms(self) -> u64 {
        self.clock_ms.saturating_add(now().since(self.read_at))
    }
}

impl Session {
    /// Ends it.
    pub(super) fn end(&self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }

    /// Returns what orders to the worker need.
    pub(super) fn link(&self) -> WorkerLink {
        WorkerLink {
            address: Rc::clone(&self.address),
            places: Rc::clone(&self.places),
        }
    }

    /// Returns the end of a lease that begins now, on the worker's clock.
    pub(super) fn lease_until_ms(&self, lease_ms: u64) -> Option<u64> {
        let reading = self.clock.get()?;
        Some(reading.estimate_ms().saturating_add(lease_ms))
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    pub(super) fn attach(self: &Rc<Self>, worker: WorkerKey, spec: &WorkerSpec) {
        log::worker_listed(&spec.id, "listed");
        let address = Rc::new(WorkerAddress {
            id: spec.id.clone(),
            address: spec.address.clone(),
        });
        let clock = Rc::new(Cell::new(None));
        let session = renew_leases(
            Rc::clone(self),
            worker,
            Rc::clone(&address),
            Rc::clone(&clock),
        );
        // One whose name alone is known can't be asked.
        let is_known = !address.address.is_empty();
        let session = Session {
            address,
            places: Rc::new(Places {
                starts: Semaphore::new(STARTS_AT_ONCE),
                controls: Semaphore::new(CONTROLS_AT_ONCE),
            }),
            clock,
            task: is_known.then(|| actix_rt::spawn(session)),
        };
        self.sessions.borrow_mut().insert(worker, session);
    }

    pub(super) fn detach(&self, worker: WorkerKey) {
        if let Some(session) = self.sessions.borrow_mut().remove(worker) {
            log::worker_listed(&session.address.id, "detached");
            session.end();
            let id = &session.address.id;
            self.node
                .unreadable
                .forget(Source::WorkerAnswers, id.as_str());
            self.roster.remove(id);
            self.write.notify_one();
        }
    }

    /// Returns how long the worker may wait for an end before it reports.
    fn renewal_wait_ms(&self, worker: WorkerKey) -> u64 {
        let usual_ms = self.node.settings.timing.renewal_wait_ms;
        self.scheduler.borrow().renewal_wait_ms(worker, usual_ms)
    }

    /// Waits for the ends that the worker listed to be written, so that it is told so at once.
    async fn acknowledged_ends(&self, worker: WorkerKey) -> (u64, bool) {
        let (acknowledged, left) = self.scheduler.borrow_mut().acknowledged_ends(worker);
        if !left {
            return (acknowledged, left);
        }
        let until = now().plus(WRITE_WAIT_MS);
        loop {
            let remaining_ms = until.since(now());
            let written = self.written.notified();
            let waited = tokio::time::timeout(Duration::from_millis(remaining_ms), written).await;
            let (acknowledged, left) = self.scheduler.borrow_mut().acknowledged_ends(worker);
            if !left || waited.is_err() {
                return (acknowledged, left);
            }
        }
    }
}

/// Renews the leases on a worker until the session ends.
async fn renew_leases<P>(
    leader: Rc<Leader<P>>,
    worker: WorkerKey,
    address: Rc<WorkerAddress>,
    clock: Rc<Cell<Option<ClockReading>>>,
) where
    P: Platform,
{
    let timing = leader.node.settings.timing;
    let lease_ms = leader.node.settings.lease_ms();
    let mut failures: u32 = 0;
    // A worker answers at once as long as it lists an end: one that is not ours has to be forgotten too.
    let mut skipped_end = 0;
    loop {
        let (mut acknowledged, left) = leader.acknowledged_ends(worker).await;
        if !left {
            acknowledged = acknowledged.max(skipped_end);
        }
        if leader.ended.get() {
            return;
        }
        // A worker that did not answer is only asked: each renewal may arrive, and would put off
        // the time at which its leases have surely lapsed.
        // One that takes no orders is only asked too, where its lease is let lapse on purpose.
        let answering = clock.get().filter(|_| failures == 0);
        let may_renew = leader.scheduler.borrow().may_renew(worker);
        let lease_until_ms = answering
            .filter(|_| may_renew)
            .map(|reading| reading.estimate_ms().saturating_add(lease_ms));
        let waits = answering.is_some() && !left;
        let wait_ms = if waits {
            leader.renewal_wait_ms(worker)
        } else {
            0
        };
        if lease_until_ms.is_some() {
            leader.apply(Event::Renewing { worker });
        }
        let sent_at = now();
        let renewal = Renewal {
            lease_until_ms,
            acknowledged,
            wait_ms,
            token: leader.token,
        };
        let timeout_ms = wait_ms + timing.renewal_slack_ms;
        let renewed = leader
            .node
            .platform
            .renew(&address, &renewal, timeout_ms)
            .await;
        match renewed {
            Ok(renewed) => {
                failures = 0;
                skipped_end = renewed.skipped_end;
                leader.node.note_skipped(
                    Source::WorkerAnswers,
                    address.id.as_str(),
                    &renewed.skipped,
                );
                clock.set(Some(ClockReading {
                    clock_ms: renewed.clock_ms,
                    read_at: now(),
                }));
                leader.apply(Event::Renewed {
                    worker,
                    sent_at,
                    report: renewed.report,
                });
            }
            Err(OrderError::Replaced) => {
                leader.apply(Event::Replaced { worker });
                return;
            }
            Err(OrderError::Reborn) => {
                leader.apply(Event::Reborn { worker });
                return;
            }
            Err(OrderError::Fenced) => {
                leader.end("fenced_by_worker");
                return;
            }
            Err(OrderError::Refused(_) | OrderError::NotSent(_) | OrderError::InDoubt(_)) => {
                failures += 1;
                skipped_end = 0;
                leader.apply(Event::RenewalFailed { worker });
                let wait_ms = (RETRY_MS << failures.min(4)).min(RETRY_LIMIT_MS);
                pause(wait_ms).await;
            }
        }
    }
}
