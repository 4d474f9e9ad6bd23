//! Telling the store, and so every node, that the scheduler is there.

use std::rc::Rc;

use syc_types::Millis;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::ports::AppendError;
use crate::ports::Platform;
use crate::ports::Topic;
use crate::records;
use crate::records::HolderRecord;

/// Name of the producer of heartbeats.
const PRODUCER: &str = "holder";

/// Name of the producer of the release. It numbers for itself: a heartbeat under way may be carried out, and
/// a release under the same number would count as its repeat.
const RELEASE_PRODUCER: &str = "release";

/// Tries to tell the store that the role is free, before the others find out by the silence.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// Appends heartbeats until the role is lost.
///
/// They carry the token as the producer's epoch, so that those of a predecessor are refused.
pub(super) async fn send_heartbeats<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    let mut sequence = 0;
    loop {
        let record = records::holder(&leader.holder_record(false));
        let condition = leader.producer_condition(PRODUCER, sequence);
        let sent_at = now();
        let appended = leader
            .node
            .append(Topic::Holders, 0, &[record], &condition)
            .await;
        match appended {
            Ok(_) => {
                sequence += 1;
                leader.note_heartbeat(sent_at);
            }
            Err(AppendError::Fenced) => {
                leader.step_down("fenced_by_store");
                return;
            }
            Err(AppendError::OutOfSequence { expected }) => {
                sequence = expected;
                leader.note_heartbeat(sent_at);
            }
            // The number stays, so that a sign that was taken after all is not counted twice.
            Err(_noted) => {}
        }
        pause(leader.node.settings.timing.heartbeat_interval_ms).await;
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Takes note that the store took a heartbeat that was sent at a time, or would have: it refuses those of
    /// predecessors from then on.
    fn note_heartbeat(&self, sent_at: Millis) {
        self.note_append_accepted(sent_at);
        self.heartbeat_accepted.set(true);
        self.heartbeat_notify.notify_waiters();
    }

    /// Waits until the store refuses the heartbeats of predecessors, by which they would give orders still.
    pub(super) async fn fence_heartbeats(&self) {
        loop {
            let accepted = self.heartbeat_notify.notified();
            if self.heartbeat_accepted.get() {
                return;
            }
            accepted.await;
        }
    }

    fn holder_record(&self, released: bool) -> HolderRecord {
        HolderRecord {
            node: self.node.settings.name.clone(),
            address: self.node.settings.peer_address.to_string().into(),
            incarnation: self.node.incarnation,
            token: self.token,
            released,
            proves: true,
        }
    }

    /// Ends the role and tells the store that it is free.
    pub(super) async fn release(self: &Rc<Self>, reason: &'static str) {
        self.step_down(reason);
        let record = records::holder(&self.holder_record(true));
        let mut sequence = 0;
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let condition = self.producer_condition(RELEASE_PRODUCER, sequence);
            let appended = self
                .node
                .append(Topic::Holders, 0, std::slice::from_ref(&record), &condition)
                .await;
            match appended {
                Ok(_) | Err(AppendError::Fenced) => return,
                Err(AppendError::OutOfSequence { expected }) => sequence = expected,
                Err(_noted) => {}
            }
        }
    }
}
