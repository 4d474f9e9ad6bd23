//! One bound for the whole process on what its clients make it hold before their requests are decided on.
//!
//! Every open connection, of callers and of other nodes, has a [`Share`] of the process's [`Intake`]. A share covers a
//! small request at no further cost, so that ordinary callers are served whatever others hold. What a connection holds
//! beyond that comes out of a pool that all connections have in common. If the pool is used up, the connection that
//! holds the most is refused, the one that has waited longest among equals: connections that hold their equal part or
//! less are never refused for memory while others hold more.
//!
//! A listener at its limit of connections closes the one that has been without progress for the longest time, so that
//! connections that stand still keep nobody out.

mod options;
mod share;

use std::cell::Cell;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

pub use options::IntakeOptions;
pub(crate) use share::CHUNKED_BODY_BYTES;
pub(crate) use share::Share;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::connection::ConnectionControl;

/// Bytes that a connection may hold without taking any from the pool. An ordinary request fits in.
const FREE_BYTES: usize = 16 * 1024;

new_key_type! {
    /// Identifies an open connection.
    pub(crate) struct ShareKey;

    /// Identifies a listener.
    pub(crate) struct ListenerKey;
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for the first byte of a request.
    Idle,
    /// A part of a request has arrived.
    Receiving,
    /// A request has arrived whole, and its response is not ready. Nothing may refuse it any more.
    Handling,
    /// The client does not read its response.
    Blocked,
    /// It was refused, or a part of its request was not read, and it is about to close.
    Closing,
}

/// Why a connection or its request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The pool was used up, and it held the most.
    Memory,
    /// Its request, or the reading of its response, took too long.
    TooSlow,
    /// It stood still, and another connection needed its place.
    Displaced,
    /// No connection could make place for it.
    TooManyConnections,
}

/// When the memory that a refused connection holds is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Release {
    /// When it is refused.
    AtOnce,
    /// When its task has ended, which may be after those of many others have run.
    OnClose,
}

/// State of one connection.
#[derive(Debug)]
struct Entry {
    listener: ListenerKey,
    release: Release,
    phase: Phase,
    held_bytes: usize,
    progress_at: Instant,
    /// When the first byte of the request arrived that is being received.
    receiving_since: Instant,
    signal: Rc<ConnectionControl>,
}

impl Entry {
    const fn pooled_bytes(&self) -> usize {
        self.held_bytes.saturating_sub(FREE_BYTES)
    }

    /// Returns whether it may be refused for what others need: nothing has been done about its request yet, or its client
    /// does not read the response.
    const fn is_refusable(&self) -> bool {
        matches!(self.phase, Phase::Receiving | Phase::Blocked)
    }
}

/// Open connections of one listener.
#[derive(Debug, Clone, Copy)]
struct ListenerState {
    max_connections: usize,
    open: usize,
    release: Release,
}

/// How often clients were refused so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// [`Refusal::Memory`].
    pub memory: u64,
    /// [`Refusal::TooSlow`].
    pub too_slow: u64,
    /// [`Refusal::Displaced`].
    pub displaced: u64,
    /// [`Refusal::TooManyConnections`].
    pub too_many_connections: u64,
}

impl RefusalCounts {
    /// Returns the counts with the names that logs and metrics have for the reasons.
    #[must_use]
    pub const fn by_reason(&self) -> [(&'static str, u64); 4] {
        [
            ("memory", self.memory),
            ("too_slow", self.too_slow),
            ("displaced", self.displaced),
            ("too_many_connections", self.too_many_connections),
        ]
    }

    const fn count(&mut self, refusal: Refusal) {
        let counter = match refusal {
            Refusal::Memory => &mut self.memory,
            Refusal::TooSlow => &mut self.too_slow,
            Refusal::Displaced => &mut self.displaced,
            Refusal::TooManyConnections => &mut self.too_many_connections,
        };
        *counter += 1;
    }
}

/// What clients hold at present, and how often they were refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntakeReadings {
    /// Open connections at all listeners.
    pub connections: usize,
    /// Bytes taken from the pool.
    pub pooled_bytes: usize,
    /// Size of the pool.
    pub pool_bytes: usize,
    /// Refusals so far.
    pub refusals: RefusalCounts,
}

/// The pool is used up by connections that can't be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoolExhausted;

/// The bound of a process, shared by its listeners on one arbiter.
#[derive(Debug, Clone)]
pub struct Intake(Rc<State>);

#[derive(Debug)]
struct State {
    options: IntakeOptions,
    pooled_bytes: Cell<usize>,
    /// Those of them that refused connections hold until they are closed.
    leaving_bytes: Cell<usize>,
    entries: RefCell<SlotMap<ShareKey, Entry>>,
    listeners: RefCell<SlotMap<ListenerKey, ListenerState>>,
    /// Time of the last sweep or admission. Reading the clock for each part of a request would cost more than it tells.
    now: Cell<Instant>,
    refusals: Cell<RefusalCounts>,
}

impl Default for Intake {
    fn default() -> Self {
        Self::new(IntakeOptions::default())
    }
}

impl Intake {
    /// Creates the bound of a process.
    #[must_use]
    pub fn new(options: IntakeOptions) -> Self {
        Self(Rc::new(State {
            options,
            pooled_bytes: Cell::new(0),
            leaving_bytes: Cell::new(0),
            entries: RefCell::default(),
            listeners: RefCell::default(),
            now: Cell::new(Instant::now()),
            refusals: Cell::default(),
        }))
    }

    /// Returns its limits.
    #[must_use]
    pub fn options(&self) -> IntakeOptions {
        self.0.options
    }

    /// Returns what clients hold at present.
    #[must_use]
    pub fn readings(&self) -> IntakeReadings {
        IntakeReadings {
            connections: self.0.entries.borrow().len(),
            pooled_bytes: self.0.pooled_bytes.get(),
            pool_bytes: self.0.options.pool_bytes,
            refusals: self.0.refusals.get(),
        }
    }

    /// Refuses requests that take too long to arrive. Times are only as exact as the interval of these calls.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.0.now.set(now);
        let limit = Duration::from_millis(self.0.options.receive_timeout_ms);
        let mut slow = Vec::new();
        for (key, entry) in self.0.entries.borrow().iter() {
            if entry.phase != Phase::Receiving {
                continue;
            }
            if now.duration_since(entry.receiving_since) >= limit {
                slow.push(key);
            }
        }
        for key in slow {
            self.refuse(key, Refusal::TooSlow);
        }
    }

    /// Sweeps at an interval for as long as anybody uses this intake.
    pub async fn run_sweeps(self, interval_ms: u64) {
        let state = Rc::downgrade(&self.0);
        drop(self);
        loop {
            actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
            let Some(state) = state.upgrade() else {
                return;
            };
            Self(state).sweep();
        }
    }

    pub(crate) fn add_listener(&self, max_connections: usize, release: Release) -> ListenerKey {
        let state = ListenerState {
            max_connections,
            open: 0,
            release,
        };
        self.0.listeners.borrow_mut().insert(state)
    }

    pub(crate) fn remove_listener(&self, listener: ListenerKey) {
        self.0.listeners.borrow_mut().remove(listener);
    }

    /// Returns the number of open connections of a listener.
    pub(crate) fn open_connections(&self, listener: ListenerKey) -> usize {
        let listeners = self.0.listeners.borrow();
        listeners.get(listener).map_or(0, |state| state.open)
    }

    /// Admits a new connection. At the limit, it closes one that stands still; `None` if there is none.
    pub(crate) fn admit(
        &self,
        listener: ListenerKey,
        signal: &Rc<ConnectionControl>,
    ) -> Option<Rc<Share>> {
        self.0.now.set(Instant::now());
        if self.is_full(listener) && !self.displace(listener) {
            self.count(Refusal::TooManyConnections);
            return None;
        }
        Some(self.open(listener, signal))
    }

    /// Admits a connection above the limit, for as long as there are few of those.
    pub(crate) fn admit_rejected(
        &self,
        listener: ListenerKey,
        signal: &Rc<ConnectionControl>,
    ) -> Option<Rc<Share>> {
        if !self.has_place_for_rejected(listener) {
            return None;
        }
        Some(self.open(listener, signal))
    }

    fn has_place_for_rejected(&self, listener: ListenerKey) -> bool {
        let listeners = self.0.listeners.borrow();
        let Some(state) = listeners.get(listener) else {
            return false;
        };
        let open: usize = listeners.values().map(|state| state.open).sum();
        let rejected = IntakeOptions::rejected_connections(state.max_connections);
        let all_rejected = IntakeOptions::rejected_connections(self.0.options.max_connections);
        state.open < state.max_connections + rejected
            && open < self.0.options.max_connections + all_rejected
    }

    fn open(&self, listener: ListenerKey, signal: &Rc<ConnectionControl>) -> Rc<Share> {
        let release = {
            let listeners = self.0.listeners.borrow();
            let state = listeners.get(listener);
            state.map_or(Release::OnClose, |state| state.release)
        };
        let entry = Entry {
            listener,
            release,
            phase: Phase::Idle,
            held_bytes: 0,
            progress_at: self.0.now.get(),
            receiving_since: self.0.now.get(),
            signal: Rc::clone(signal),
        };
        let key = self.0.entries.borrow_mut().insert(entry);
        if let Some(state) = self.0.listeners.borrow_mut().get_mut(listener) {
            state.open += 1;
        }
        Rc::new(Share::new(self.clone(), key, Rc::clone(signal)))
    }

    fn close(&self, key: ShareKey) {
        let Some(entry) = self.0.entries.borrow_mut().remove(key) else {
            return;
        };
        self.give_back(entry.pooled_bytes());
        if entry.phase == Phase::Closing && entry.release == Release::OnClose {
            let left = self.0.leaving_bytes.get() - entry.pooled_bytes();
            self.0.leaving_bytes.set(left);
        }
        if let Some(state) = self.0.listeners.borrow_mut().get_mut(entry.listener) {
            state.open -= 1;
        }
    }

    /// Returns whether a listener has reached its limit, or the process its own. Connections that are about to close
    /// are not counted.
    fn is_full(&self, listener: ListenerKey) -> bool {
        let listeners = self.0.listeners.borrow();
        let Some(state) = listeners.get(listener) else {
            return true;
        };
        let open: usize = listeners.values().map(|state| state.open).sum();
        let of_listener = state.max_connections;
        let of_process = self.0.options.max_connections;
        if state.open < of_listener && open < of_process {
            return false;
        }
        let entries = self.0.entries.borrow();
        let closing = entries
            .values()
            .filter(|entry| entry.phase == Phase::Closing);
        let (mut closing_here, mut closing_all) = (0, 0);
        for entry in closing {
            closing_all += 1;
            closing_here += usize::from(entry.listener == listener);
        }
        state.open - closing_here >= of_listener || open - closing_all >= of_process
    }

    /// Closes the connection of a listener that has been without progress for the longest time. Returns whether one
    /// has been so for long enough.
    fn displace(&self, listener: ListenerKey) -> bool {
        let stalled_for = Duration::from_millis(self.0.options.stall_ms);
        let now = self.0.now.get();
        let victim = {
            let entries = self.0.entries.borrow();
            let stalled = entries.iter().filter(|(_, entry)| {
                entry.listener == listener
                    && (entry.phase == Phase::Idle || entry.is_refusable())
                    && now.duration_since(entry.progress_at) >= stalled_for
            });
            stalled
                .min_by_key(|(_, entry)| entry.progress_at)
                .map(|(key, _)| key)
        };
        let Some(victim) = victim else {
            return false;
        };
        self.refuse(victim, Refusal::Displaced);
        true
    }

    /// Sets what a connection holds. If the pool is used up, refuses others that hold more.
    ///
    /// # Errors
    ///
    /// Fails, without changing what it holds, if there are none, or if their memory is not free yet.
    fn hold(&self, key: ShareKey, held_bytes: usize) -> Result<(), PoolExhausted> {
        let Some(before) = self.pooled_bytes_of(key) else {
            return Err(PoolExhausted);
        };
        let pooled_bytes = held_bytes.saturating_sub(FREE_BYTES);
        if pooled_bytes > before {
            self.make_room(key, pooled_bytes, pooled_bytes - before)?;
        }
        if let Some(entry) = self.0.entries.borrow_mut().get_mut(key) {
            entry.held_bytes = held_bytes;
        }
        let pooled_total = self.0.pooled_bytes.get() - before + pooled_bytes;
        self.0.pooled_bytes.set(pooled_total);
        Ok(())
    }

    /// Makes room in the pool for more bytes of a connection that is to hold this much of it.
    fn make_room(
        &self,
        key: ShareKey,
        pooled_bytes: usize,
        more_bytes: usize,
    ) -> Result<(), PoolExhausted> {
        let pool_bytes = self.0.options.pool_bytes;
        let staying_bytes = || self.0.pooled_bytes.get() - self.0.leaving_bytes.get();
        while staying_bytes() + more_bytes > pool_bytes {
            let Some(victim) = self.largest_holder(key, pooled_bytes) else {
                return Err(PoolExhausted);
            };
            self.refuse(victim, Refusal::Memory);
        }
        if self.0.pooled_bytes.get() + more_bytes > pool_bytes {
            return Err(PoolExhausted);
        }
        Ok(())
    }

    /// Returns what a connection holds of the pool; `None` if that can't change until it is closed.
    fn pooled_bytes_of(&self, key: ShareKey) -> Option<usize> {
        let entries = self.0.entries.borrow();
        let entry = entries.get(key)?;
        let is_leaving = entry.phase == Phase::Closing && entry.release == Release::OnClose;
        (!is_leaving).then(|| entry.pooled_bytes())
    }

    /// Returns the connection that holds the most, at least `least_bytes` of the pool, and can be refused.
    fn largest_holder(&self, except: ShareKey, least_bytes: usize) -> Option<ShareKey> {
        let entries = self.0.entries.borrow();
        let holders = entries.iter().filter(|(key, entry)| {
            *key != except && entry.is_refusable() && entry.pooled_bytes() >= least_bytes
        });
        let largest =
            holders.max_by_key(|(_, entry)| (entry.held_bytes, Reverse(entry.progress_at)));
        largest.map(|(key, _)| key)
    }

    /// Refuses a connection, which ends when its task runs next.
    fn refuse(&self, key: ShareKey, refusal: Refusal) {
        let Some((was, signal)) = self.begin_closing(key) else {
            return;
        };
        self.count(refusal);
        signal.refuse(refusal);
        if was == Phase::Blocked {
            signal.abort();
        }
    }

    /// Marks a connection as about to close. Returns what it was doing; `None` if it was closing already.
    fn begin_closing(&self, key: ShareKey) -> Option<(Phase, Rc<ConnectionControl>)> {
        let mut entries = self.0.entries.borrow_mut();
        let entry = entries.get_mut(key)?;
        if entry.phase == Phase::Closing {
            return None;
        }
        let was = std::mem::replace(&mut entry.phase, Phase::Closing);
        let pooled_bytes = entry.pooled_bytes();
        match entry.release {
            Release::AtOnce => {
                entry.held_bytes = 0;
                self.give_back(pooled_bytes);
            }
            Release::OnClose => {
                let leaving_bytes = self.0.leaving_bytes.get() + pooled_bytes;
                self.0.leaving_bytes.set(leaving_bytes);
            }
        }
        Some((was, Rc::clone(&entry.signal)))
    }

    fn give_back(&self, pooled_bytes: usize) {
        let left = self.0.pooled_bytes.get() - pooled_bytes;
        self.0.pooled_bytes.set(left);
    }

    fn count(&self, refusal: Refusal) {
        let mut counts = self.0.refusals.get();
        counts.count(refusal);
        self.0.refusals.set(counts);
    }

    fn set_phase(&self, key: ShareKey, phase: Phase) {
        if let Some(entry) = self.0.entries.borrow_mut().get_mut(key)
            && entry.phase != Phase::Closing
        {
            let now = self.0.now.get();
            if phase == Phase::Receiving && entry.phase != Phase::Receiving {
                entry.receiving_since = now;
            }
            entry.phase = phase;
            entry.progress_at = now;
        }
    }

    fn phase(&self, key: ShareKey) -> Phase {
        let entries = self.0.entries.borrow();
        entries.get(key).map_or(Phase::Closing, |entry| entry.phase)
    }
}
