//! Heartbeats of the scheduler, written to the store for all nodes to read.

use std::rc::Rc;

use smol_str::SmolStr;
use syc_types::Millis;

use crate::clock::now;
use crate::clock::pause;
use crate::leader::Leader;
use crate::leader::append_date::AppendDate;
use crate::ports::AppendError;
use crate::ports::Platform;
use crate::ports::Topic;
use crate::records;
use crate::records::HolderRecord;

/// Producer name of heartbeats.
const PRODUCER: &str = "holder";

/// Producer name of the release record. It has its own sequence numbers: a heartbeat in doubt may
/// still be stored, and a release with the same number would be dropped as its duplicate.
const RELEASE_PRODUCER: &str = "release";

/// Attempts to write the release record. Without it, other nodes take over only after a silence
/// timeout.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// Appends heartbeats until this node no longer holds the role.
///
/// The fencing token is the producer epoch, so the store rejects heartbeats of predecessors.
pub(super) async fn send_heartbeats<P>(leader: Rc<Leader<P>>)
where
    P: Platform,
{
    let mut sequence = 0;
    let mut date = AppendDate::default();
    loop {
        let record = records::holder(&leader.holder_record());
        let condition = leader.producer_condition(PRODUCER, sequence);
        let sent_at = now();
        let appended = leader
            .node
            .append(Topic::Holders, 0, &[record], &condition)
            .await;
        match appended {
            Ok(_) => {
                sequence += 1;
                let accepted_at = std::mem::take(&mut date).of_copy(sent_at);
                leader.note_heartbeat(accepted_at);
                // A repeat is old evidence, which may be about to expire.
                if accepted_at < sent_at {
                    continue;
                }
            }
            Err(AppendError::Fenced) => {
                leader.step_down("fenced_by_store");
                return;
            }
            Err(AppendError::OutOfSequence { expected }) => {
                sequence = expected;
                leader.note_heartbeat(sent_at);
                date = AppendDate::default();
            }
            // The sequence number is kept so that a heartbeat that was stored after all is not
            // counted twice.
            Err(AppendError::InDoubt(_)) => date.note_in_doubt(sent_at),
            Err(AppendError::Refused(_) | AppendError::EndMismatch { .. }) => {}
        }
        pause(leader.node.settings.timing.heartbeat_interval_ms).await;
    }
}

impl<P> Leader<P>
where
    P: Platform,
{
    /// Records that the store accepted a heartbeat first sent at `sent_at`, or rejected only its sequence
    /// number. From then on it rejects heartbeats of predecessors.
    fn note_heartbeat(&self, sent_at: Millis) {
        self.note_append_accepted(sent_at);
        self.heartbeat_accepted.set(true);
        self.heartbeat_notify.notify_waiters();
    }

    /// Waits until the store rejects heartbeats of predecessors, which would otherwise keep them
    /// authorized to send orders.
    pub(super) async fn fence_heartbeats(&self) {
        loop {
            let accepted = self.heartbeat_notify.notified();
            if self.heartbeat_accepted.get() {
                return;
            }
            accepted.await;
        }
    }

    fn holder_record(&self) -> HolderRecord {
        HolderRecord {
            node: self.node.settings.name.clone(),
            address: self.node.settings.peer_address.to_string().into(),
            incarnation: self.node.incarnation,
            token: self.token,
            proves: true,
            workers: u64::try_from(self.sessions.borrow().len()).unwrap_or(u64::MAX),
            ..HolderRecord::default()
        }
    }

    /// Steps down and records in the store that the role is free, and which node should take it; any, if the name is
    /// empty.
    pub(super) async fn release(self: &Rc<Self>, successor: SmolStr, reason: &'static str) {
        self.step_down(reason);
        let record = records::holder(&HolderRecord {
            released: true,
            successor,
            ..self.holder_record()
        });
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
                Err(_error) => {}
            }
        }
    }
}
