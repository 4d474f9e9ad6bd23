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

/// The member list that a record of the log made current.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
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
        self.holder(&format!("rack/{rack}"))
    }

    /// Returns the home of a team's queue and job states.
    #[must_use]
    pub fn team_home(&self, team: &TeamId) -> Option<&Member> {
        self.holder(&format!("team/{team}"))
    }

    /// Returns the home of a request's state and kept answer.
    #[must_use]
    pub fn request_home(&self, request: RequestId) -> Option<&Member> {
        self.holder(&format!("request/{request}"))
    }

    fn holder(&self, key: &str) -> Option<&Member> {
        let names = self.members.iter().map(|member| member.id.as_str());
        let winner = hash::rendezvous(key, names)?;
        self.members
            .iter()
            .find(|member| member.id.as_str() == winner)
    }
}
