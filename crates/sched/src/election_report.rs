//! Reports of other nodes about which scheduler was elected.
//!
//! A node that the store refuses cannot read of a new scheduler there, and would follow the replaced one, which stores
//! nothing for it. The predecessor is therefore told which scheduler was elected, and passes this on in its replies to
//! the nodes that still follow it.
//!
//! The address of a node may belong to a process of another cell by now, whose tokens cannot be compared. A report
//! therefore counts only with an incarnation that its receiver or its sender has read in the store of the cell.

use crate::Tenure;

/// How a report reached this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// In a notice that was meant for the process with this incarnation; 0 if it was meant for none.
    Notice {
        /// Incarnation that the sender has read in the store.
        addressee_incarnation: u64,
    },
    /// In a reply of the process with this incarnation; 0 from earlier versions.
    Reply {
        /// Incarnation of the replying process.
        sender_incarnation: u64,
    },
}

/// Report of another node that a scheduler was elected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElectionReport {
    /// How the report reached this node.
    pub origin: ReportOrigin,
    /// The scheduler that was elected.
    pub elected: Tenure,
}

/// What a node knows of the scheduler when it receives a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownScheduler {
    /// Incarnation of the node's own process.
    pub own_incarnation: u64,
    /// The scheduler that the node follows; its own tenure if it was the scheduler last.
    pub followed: Option<Tenure>,
}

impl KnownScheduler {
    /// Returns whether the node follows the reported scheduler from now on.
    ///
    /// A node takes over the role only after it has read its own claim in the store, so a report never names itself.
    #[must_use]
    pub fn accepts(&self, report: ElectionReport) -> bool {
        let elected = report.elected;
        let known_token = self.followed.map_or(0, |followed| followed.token);
        let is_newer = elected.token > known_token;
        let is_other_process =
            elected.incarnation != 0 && elected.incarnation != self.own_incarnation;
        is_newer && is_other_process && self.is_from_own_cell(report.origin)
    }

    fn is_from_own_cell(&self, origin: ReportOrigin) -> bool {
        match origin {
            ReportOrigin::Notice {
                addressee_incarnation,
            } => addressee_incarnation == self.own_incarnation,
            ReportOrigin::Reply { sender_incarnation } => self
                .followed
                .is_some_and(|followed| followed.incarnation == sender_incarnation),
        }
    }
}
