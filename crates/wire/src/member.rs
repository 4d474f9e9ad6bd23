//! Messages of the membership protocol.

use syc_member::Contact;
use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Zone;

use crate::job::OwnerLoad;

/// Reports that the sender is alive and requests an acknowledgement. The envelope has its epoch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeat {
    /// Member id of the sender's incarnation.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The sender's peer address; empty if the view has it.
    #[prost(string, tag = "2")]
    pub peer_address: String,
    /// The sender's availability zone; empty if the view has it.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Number of unsettled epochs up to the envelope's.
    #[prost(uint64, tag = "4")]
    pub unsettled_epochs: u64,
    /// Bit set of the members of the view that the sender hears from.
    #[prost(uint64, tag = "5")]
    pub heard: u64,
    /// Whether the sender wants to join the view.
    #[prost(bool, tag = "6")]
    pub joining: bool,
    /// Whether the sender has retired and takes no more actions.
    #[prost(bool, tag = "7")]
    pub retired: bool,
    /// How long ago the sender last acknowledged members of former views.
    #[prost(message, repeated, tag = "8")]
    pub silences: Vec<Silence>,
    /// Offset of the next log entry that the sender will read.
    #[prost(uint64, tag = "9")]
    pub log_next: u64,
    /// Sum of the revisions of all documents in force at the sender; it never decreases.
    #[prost(uint64, tag = "10")]
    pub config_revisions: u64,
    /// Free capacity of the sender's workers; absent if unchanged since the last heartbeat.
    #[prost(message, optional, tag = "11")]
    pub load: Option<OwnerLoad>,
}

/// Reply to [`Heartbeat`]. The envelope has its epoch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeartbeatAck {
    /// Member id of the replying incarnation.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Whether the lease of the heartbeat's sender is acknowledged.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
    /// As in [`Heartbeat::unsettled_epochs`].
    #[prost(uint64, tag = "3")]
    pub unsettled_epochs: u64,
    /// As in [`Heartbeat::retired`].
    #[prost(bool, tag = "4")]
    pub retired: bool,
    /// As in [`Heartbeat::silences`].
    #[prost(message, repeated, tag = "5")]
    pub silences: Vec<Silence>,
}

/// Time since the sender last acknowledged a member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Silence {
    /// The member.
    #[prost(string, tag = "1")]
    pub of: String,
    /// Milliseconds since the last acknowledgement.
    #[prost(uint64, tag = "2")]
    pub silent_ms: u64,
}

/// Queries the views that the receiver knows.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ViewQuery {
    /// The latest epoch whose view the sender has.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
}

/// Reply to [`ViewQuery`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewState {
    /// The current view and the unsettled former views, as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
}

impl From<&syc_member::Heartbeat> for Heartbeat {
    fn from(heartbeat: &syc_member::Heartbeat) -> Self {
        let contact = heartbeat.contact.as_ref();
        Self {
            from: heartbeat.from.to_string(),
            peer_address: contact.map_or_else(String::new, |c| c.peer_address.to_string()),
            zone: contact.map_or_else(String::new, |c| c.zone.to_string()),
            unsettled_epochs: heartbeat.epoch.0.saturating_sub(heartbeat.settled.0),
            heard: heartbeat.heard,
            joining: heartbeat.joining,
            retired: heartbeat.retired,
            silences: heartbeat.silences.iter().map(Silence::from).collect(),
            log_next: 0,
            config_revisions: 0,
            load: None,
        }
    }
}

impl Heartbeat {
    /// Converts to the domain type. `sent_at` is 0, since heartbeats don't carry it.
    #[must_use]
    pub fn into_heartbeat(self, epoch: u64) -> syc_member::Heartbeat {
        let contact = (!self.peer_address.is_empty()).then(|| Contact {
            peer_address: self.peer_address.into(),
            zone: Zone::new(self.zone),
        });
        syc_member::Heartbeat {
            from: MemberId::new(self.from),
            contact,
            epoch: Epoch(epoch),
            sent_at: Millis(0),
            settled: Epoch(epoch.saturating_sub(self.unsettled_epochs)),
            heard: self.heard,
            joining: self.joining,
            retired: self.retired,
            silences: self.silences.into_iter().map(Silence::into).collect(),
        }
    }
}

impl From<&syc_member::Ack> for HeartbeatAck {
    fn from(ack: &syc_member::Ack) -> Self {
        Self {
            from: ack.from.to_string(),
            accepted: ack.accepted,
            unsettled_epochs: ack.epoch.0.saturating_sub(ack.settled.0),
            retired: ack.retired,
            silences: ack.silences.iter().map(Silence::from).collect(),
        }
    }
}

impl HeartbeatAck {
    /// Converts to the domain type, as the reply to the heartbeat sent at `sent_at`.
    #[must_use]
    pub fn into_ack(self, epoch: u64, sent_at: Millis) -> syc_member::Ack {
        syc_member::Ack {
            from: MemberId::new(self.from),
            epoch: Epoch(epoch),
            accepted: self.accepted,
            echo: sent_at,
            settled: Epoch(epoch.saturating_sub(self.unsettled_epochs)),
            retired: self.retired,
            silences: self.silences.into_iter().map(Silence::into).collect(),
        }
    }
}

impl From<&syc_member::Silence> for Silence {
    fn from(silence: &syc_member::Silence) -> Self {
        Self {
            of: silence.of.to_string(),
            silent_ms: silence.silent_ms,
        }
    }
}

impl From<Silence> for syc_member::Silence {
    fn from(silence: Silence) -> Self {
        Self {
            of: MemberId::new(silence.of),
            silent_ms: silence.silent_ms,
        }
    }
}
