//! What a member learns, and what it wants done.

use smol_str::SmolStr;
use syc_types::Epoch;

use crate::Ack;
use crate::Heartbeat;
use crate::Member;
use crate::Views;

/// Something that a member learns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A heartbeat was answered.
    Acked(Ack),
    /// The VM list named these VMs, live or leaving.
    VmsListed(Vec<SmolStr>),
    /// The log's order reached a view record.
    ViewRecorded {
        /// The epoch that the record's author had seen.
        base: Epoch,
        /// The members that it names.
        members: Vec<Member>,
    },
    /// A peer or a snapshot told the views.
    ViewsLearned(Views),
    /// The log was read to its end for the first time.
    CaughtUp,
    /// The append of a proposal ended.
    ProposalEnded {
        /// Whether its record may be in the log.
        appended: bool,
    },
    /// The clock can't be trusted to have run evenly.
    ClockJumped,
    /// A planned stop begins.
    Leave,
    /// The leaving took too long; it acts no more, whatever the view says.
    Retire,
    /// Time has passed.
    Tick,
}

/// Something that a member wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat to the daemon at this address.
    Send {
        /// The address, `ip:port`.
        to: SmolStr,
        /// What to send.
        heartbeat: Heartbeat,
    },
    /// Append a view record to the log.
    Propose {
        /// The epoch that it is based on.
        base: Epoch,
        /// The members of the new view; none where the last member stops.
        members: Vec<Member>,
    },
    /// Ask the daemon at this address for its views, and read the log.
    FetchViews {
        /// The address, `ip:port`.
        from: SmolStr,
    },
    /// Another view is current.
    ViewChanged,
    /// The daemon may act from now on.
    BecomeActive,
    /// The daemon may act no more.
    StepDown,
}
