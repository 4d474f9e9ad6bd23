//! The share that one connection has of its process's [`Intake`](super::Intake).

use std::cell::Cell;
use std::cell::RefMut;
use std::rc::Rc;

use super::Intake;
use super::IntakeOptions;
use super::Phase;
use super::PoolExhausted;
use super::Refusal;
use super::Release;
use super::ShareKey;
use crate::body_blocks::BodyBlocks;
use crate::connection::ConnectionControl;

/// Bytes that are passed to the HTTP codec at a time while it is in a head.
const HEAD_WINDOW_BYTES: usize = 4 * 1024;

/// Bytes passed on at a time in a chunked body. The codec makes an object of each chunk.
const CHUNKED_WINDOW_BYTES: usize = 2 * 1024;

/// Bytes passed on at a time in a body whose length is known. The codec's first buffer need not grow for them.
const BODY_WINDOW_BYTES: usize = 7 * 1024;

/// Bytes passed on at a time once nothing is done with them.
const DISCARD_WINDOW_BYTES: usize = 8 * 1024;

/// Bytes that are read while a request is being handled. They show that the client has gone.
const AHEAD_BYTES: usize = 512;

/// Memory that the chunks of a window may take at most.
pub(crate) const CHUNKED_BODY_BYTES: usize = 64 * 1024;

/// Factor by which a buffer that grows exceeds its content.
const BUFFER_GROWTH: usize = 2;

/// Share of one connection. Dropping it gives everything back.
///
/// A request goes through `begin_request`, `begin_body` and `end_body` if it has a body, `begin_response` and `answered`.
#[derive(Debug)]
pub(crate) struct Share {
    intake: Intake,
    key: ShareKey,
    signal: Rc<ConnectionControl>,
    /// Bytes passed on at a time.
    window_bytes: Cell<usize>,
    /// Bytes of a head that has not ended.
    head_bytes: Cell<usize>,
    /// Bytes read since the request in progress was received whole.
    ahead_bytes: Cell<usize>,
    is_reading_body: Cell<bool>,
    /// Whether a body is being read whose length is known.
    is_length_known: Cell<bool>,
    is_write_blocked: Cell<bool>,
    /// Whether the body of the request in progress has not been read.
    is_body_unread: Cell<bool>,
    is_lingering: Cell<bool>,
    /// Bytes of the response in progress that were not passed to the kernel.
    unsent_bytes: Cell<usize>,
}

impl Share {
    pub(super) const fn new(intake: Intake, key: ShareKey, signal: Rc<ConnectionControl>) -> Self {
        Self {
            intake,
            key,
            signal,
            window_bytes: Cell::new(HEAD_WINDOW_BYTES),
            head_bytes: Cell::new(0),
            ahead_bytes: Cell::new(0),
            is_reading_body: Cell::new(false),
            is_length_known: Cell::new(false),
            is_write_blocked: Cell::new(false),
            is_body_unread: Cell::new(false),
            is_lingering: Cell::new(false),
            unsent_bytes: Cell::new(0),
        }
    }

    /// Returns the share of a request that came over no connection, with an intake of its own.
    pub(crate) fn detached() -> Rc<Self> {
        let intake = Intake::default();
        let listener = intake.add_listener(1, Release::AtOnce);
        intake.open(listener, &Rc::default())
    }

    pub(crate) fn options(&self) -> IntakeOptions {
        self.intake.options()
    }

    pub(crate) fn phase(&self) -> Phase {
        self.intake.phase(self.key)
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.intake.set_phase(self.key, phase);
    }

    /// Sets what the connection holds.
    pub(crate) fn hold(&self, held_bytes: usize) -> Result<(), PoolExhausted> {
        self.intake.hold(self.key, held_bytes)
    }

    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.intake.refuse(self.key, refusal);
    }

    /// Counts a refusal of a request whose connection stays open.
    pub(crate) fn count(&self, refusal: Refusal) {
        self.intake.count(refusal);
    }

    /// Ends the connection at once.
    pub(crate) fn abort(&self) {
        self.signal.abort();
    }

    /// Returns the body of the request in progress, as far as it has arrived.
    pub(crate) fn body(&self) -> RefMut<'_, BodyBlocks> {
        self.signal.body()
    }

    /// Returns why the connection was refused, if it was.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        self.signal.refusal()
    }

    /// Returns whether the refused request is about to get a response that says so, which must not be cut off.
    pub(crate) fn awaits_refusal_answer(&self) -> bool {
        self.is_reading_body.get()
    }

    /// Returns whether the last response was written on a connection that still receives, for a while, what nobody reads.
    pub(crate) fn is_lingering(&self) -> bool {
        self.is_lingering.get()
    }

    /// Returns how many bytes may be passed on now, or `None` if nothing more may be read until the response is ready.
    pub(crate) fn window(&self) -> Option<usize> {
        let bytes = match self.phase() {
            Phase::Closing => DISCARD_WINDOW_BYTES,
            _ if self.is_write_blocked.get() => 0,
            Phase::Handling => AHEAD_BYTES.saturating_sub(self.ahead_bytes.get()),
            Phase::Blocked => 0,
            Phase::Idle | Phase::Receiving => self.window_bytes.get(),
        };
        (bytes > 0).then_some(bytes)
    }

    /// Returns how many heads may be completed by what is passed on at a time; `None` while a body whose length is known
    /// arrives.
    pub(crate) fn heads_at_a_time(&self) -> Option<usize> {
        match self.phase() {
            Phase::Handling => Some(0),
            _ if self.is_length_known.get() => None,
            _ => Some(1),
        }
    }

    /// Notes bytes that were passed to the codec.
    pub(crate) fn received(&self, bytes: usize) {
        match self.phase() {
            Phase::Closing | Phase::Blocked => {}
            Phase::Handling => self.ahead_bytes.set(self.ahead_bytes.get() + bytes),
            Phase::Idle | Phase::Receiving => self.received_part(bytes),
        }
    }

    fn received_part(&self, bytes: usize) {
        self.set_phase(Phase::Receiving);
        if self.is_reading_body.get() {
            return;
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
        if self.hold(BUFFER_GROWTH * self.head_bytes.get()).is_err() {
            self.refuse(Refusal::Memory);
        }
    }

    /// Notes that the head of a request has arrived.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.head_bytes.set(0);
        self.is_body_unread.set(has_body);
        if has_body {
            self.window_bytes.set(CHUNKED_WINDOW_BYTES);
        } else {
            self.begin_handling();
        }
    }

    /// Notes that the body of the request is being read.
    pub(crate) fn begin_body(&self) {
        self.is_reading_body.set(true);
    }

    /// Sets how much of the body is still to come; `None` if that is not known.
    pub(crate) fn expect_body(&self, left_bytes: Option<usize>) {
        let window = left_bytes.map_or(CHUNKED_WINDOW_BYTES, |left| {
            left.clamp(1, BODY_WINDOW_BYTES)
        });
        self.window_bytes.set(window);
        self.is_length_known.set(left_bytes.is_some());
    }

    /// Notes that reading the body has ended.
    pub(crate) fn end_body(&self, is_complete: bool) {
        self.is_reading_body.set(false);
        self.is_length_known.set(false);
        self.is_body_unread.set(!is_complete);
        if is_complete {
            self.begin_handling();
        }
    }

    fn begin_handling(&self) {
        self.ahead_bytes.set(0);
        self.set_phase(Phase::Handling);
    }

    /// Notes that a response is ready. Returns whether the connection has to close after it: the request was refused, or
    /// a part of it has not been read.
    pub(crate) fn begin_response(&self) -> bool {
        let closes = self.refusal().is_some() || self.is_body_unread.get();
        if closes {
            self.is_lingering.set(true);
            self.intake.begin_closing(self.key);
        }
        closes
    }

    /// Notes the size of a response, and that its request is forgotten.
    pub(crate) fn answered(&self, response_bytes: usize) -> Result<(), PoolExhausted> {
        self.window_bytes.set(HEAD_WINDOW_BYTES);
        self.is_reading_body.set(false);
        self.head_bytes.set(self.ahead_bytes.replace(0));
        self.unsent_bytes.set(response_bytes);
        self.set_phase(Phase::Idle);
        let held = self.hold(response_bytes);
        self.signal.resume_reading();
        held
    }

    /// Notes that the client reads nothing of its response at present.
    pub(crate) fn write_blocked(&self) {
        self.is_write_blocked.set(true);
        if self.phase() == Phase::Idle {
            self.set_phase(Phase::Blocked);
        }
    }

    /// Notes that a part of the response was passed to the kernel.
    pub(crate) fn write_progressed(&self, bytes: usize) {
        let unsent_bytes = self.unsent_bytes.get();
        if unsent_bytes > 0 {
            let left_bytes = unsent_bytes.saturating_sub(bytes);
            self.unsent_bytes.set(left_bytes);
            let _less = self.hold(left_bytes);
        }
        if !self.is_write_blocked.replace(false) {
            return;
        }
        if self.phase() == Phase::Blocked {
            self.set_phase(Phase::Idle);
        }
        self.signal.resume_reading();
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.intake.close(self.key);
    }
}
