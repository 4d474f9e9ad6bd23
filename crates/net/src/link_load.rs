//! What a link of another node makes the process hold: the frame that arrives, calls, and replies that are not sent.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::intake::Phase;
use crate::intake::Share;

/// Most calls of one link that are handled at a time. Further ones wait in the kernel.
const MAX_CALLS: usize = 1_024;

/// Memory that handling a call takes beside its payload.
const CALL_BYTES: usize = 4 * 1024;

/// What a link makes the process hold.
#[derive(Debug)]
pub(crate) struct LinkLoad {
    pub(crate) share: Rc<Share>,
    /// The frame that is being received.
    frame_bytes: Cell<usize>,
    /// Calls that are being handled, and replies that were not sent.
    calls_bytes: Cell<usize>,
    calls: Cell<usize>,
    call_ended: Notify,
}

impl LinkLoad {
    pub(crate) fn new(share: Rc<Share>) -> Self {
        Self {
            share,
            frame_bytes: Cell::new(0),
            calls_bytes: Cell::new(0),
            calls: Cell::new(0),
            call_ended: Notify::new(),
        }
    }

    /// Notes that bytes of a frame have arrived. Returns whether the process has memory for it.
    pub(crate) fn receive(&self, frame_bytes: usize) -> bool {
        self.share.set_phase(Phase::Receiving);
        self.frame_bytes.set(frame_bytes);
        self.update()
    }

    pub(crate) fn known_frame_bytes(&self) -> usize {
        self.frame_bytes.get()
    }

    pub(crate) fn received(&self) {
        self.frame_bytes.set(0);
        let _has_memory = self.update();
        self.update_phase();
    }

    pub(crate) fn update_phase(&self) {
        let phase = if self.frame_bytes.get() > 0 {
            Phase::Receiving
        } else if self.calls.get() > 0 {
            Phase::Handling
        } else {
            Phase::Idle
        };
        self.share.set_phase(phase);
    }

    /// Returns whether the process has memory for what the link holds.
    fn update(&self) -> bool {
        let held_bytes = self.frame_bytes.get() + self.calls_bytes.get();
        self.share.hold(held_bytes).is_ok()
    }

    /// Waits until another call may be handled.
    pub(crate) async fn wait_for_place(&self) {
        while self.calls.get() >= MAX_CALLS {
            self.call_ended.notified().await;
        }
    }
}

/// Guard that counts a call until its reply is sent.
#[derive(Debug)]
pub(crate) struct PendingCall {
    load: Rc<LinkLoad>,
    bytes: usize,
}

impl PendingCall {
    pub(crate) fn new(load: &Rc<LinkLoad>, payload_bytes: usize) -> Self {
        let mut call = Self {
            load: Rc::clone(load),
            bytes: 0,
        };
        load.calls.set(load.calls.get() + 1);
        call.set_bytes(CALL_BYTES + payload_bytes);
        load.update_phase();
        call
    }

    /// Sets what the call takes. What is already there is not refused; if the pool has no room for it, it is not counted.
    pub(crate) fn set_bytes(&mut self, bytes: usize) {
        let others = self.load.calls_bytes.get() - self.bytes;
        self.bytes = bytes;
        self.load.calls_bytes.set(others + bytes);
        let _has_memory = self.load.update();
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.set_bytes(0);
        self.load.calls.set(self.load.calls.get() - 1);
        self.load.update_phase();
        self.load.call_ended.notify_one();
    }
}
