//! The ordered member list with its epoch, and ownership as a function of it.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::RackId;
use syc_types::RequestId;
use syc_types::TeamId;
use syc_types::Zone;
use syc_types::hash;

/// One daemon in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's incarnation.
    pub id: MemberId,
    /// Where its peers reach it, `ip:port`.
    pub peer_address: SmolStr,
    /// The availability zone that it is in.
    pub zone: Zone,
}

/// Something that exactly one member of a view holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key<'a> {
    /// The capacity ledger of a rack.
    Rack(&'a RackId),
    /// The queue and job states of a team.
    Team(&'a TeamId),
    /// The state and kept answer of a request.
    Request(RequestId),
}

/// The current view, and the former ones whose members may still act.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Views {
    /// The current view.
    pub current: View,
    /// The former views that are not settled, by epoch.
    pub former: Vec<View>,
}

/// The member list that a record of the log made current.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct View {
    /// The view's number.
    pub epoch: Epoch,
    /// The members, by id.
    pub members: Vec<Member>,
}

impl View {
    /// Makes a view, ordering its members.
    #[must_use]
    pub fn new(epoch: Epoch, mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.id.cmp(&b.id));
        Self { epoch, members }
    }

    /// Finds a member.
    #[must_use]
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Returns the number of members that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the owner of a rack's capacity ledger.
    #[must_use]
    pub fn rack_owner(&self, rack: &RackId) -> Option<&Member> {
        self.holder(Key::Rack(rack))
    }

    /// Returns the home of a team's queue and job states.
    #[must_use]
    pub fn team_home(&self, team: &TeamId) -> Option<&Member> {
        self.holder(Key::Team(team))
    }

    /// Returns the home of a request's state and kept answer.
    #[must_use]
    pub fn request_home(&self, request: RequestId) -> Option<&Member> {
        self.holder(Key::Request(request))
    }

    /// Returns the member that holds `key` in this view.
    #[must_use]
    pub fn holder(&self, key: Key<'_>) -> Option<&Member> {
        let text = match key {
            Key::Rack(rack) => format!("rack/{rack}"),
            Key::Team(team) => format!("team/{team}"),
            Key::Request(request) => format!("request/{request}"),
        };
        let names = self.members.iter().map(|member| member.id.as_str());
        let winner = hash::rendezvous(&text, names)?;
        self.members
            .iter()
            .find(|member| member.id.as_str() == winner)
    }
}
