//! What members tell each other.

use smol_str::SmolStr;
use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::Zone;

/// How a member is reached; told by those that the receiver may not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Address for peers, `ip:port`.
    pub peer_address: SmolStr,
    /// Availability zone.
    pub zone: Zone,
}

/// How long ago the sender last acknowledged a member of a former view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silence {
    /// The member.
    pub of: MemberId,
    /// Time since the acknowledgement, at most the time after which a lease has lapsed.
    pub silent_ms: u64,
}

/// Says that the sender is there, and asks for an acknowledgement of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberId,
    /// How the sender is reached, unless it is in the view.
    pub contact: Option<Contact>,
    /// The sender acts in no earlier epoch, and acknowledges none.
    pub epoch: Epoch,
    /// When it was sent, on the sender's clock.
    pub sent_at: Millis,
    /// Nobody acts in an epoch before this one, now or later.
    pub settled: Epoch,
    /// One bit for each member of the epoch's view that the sender hears; 0 where it can't say.
    pub heard: u64,
    /// Whether the sender wants to be in the view.
    pub joining: bool,
    /// Whether the sender acts no more and will not again.
    pub retired: bool,
    /// Last acknowledgements to members of former views that may still act.
    pub silences: Vec<Silence>,
}

/// Answers a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ack {
    /// Who answers.
    pub from: MemberId,
    /// As in [`Heartbeat::epoch`]; where `accepted`, the epoch that is acknowledged.
    pub epoch: Epoch,
    /// Whether the sender's lease is acknowledged.
    pub accepted: bool,
    /// [`Heartbeat::sent_at`] of what is answered.
    pub echo: Millis,
    /// As in [`Heartbeat::settled`].
    pub settled: Epoch,
    /// As in [`Heartbeat::retired`].
    pub retired: bool,
    /// As in [`Heartbeat::silences`].
    pub silences: Vec<Silence>,
}
