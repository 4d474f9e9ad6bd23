//! Reports input that can't be decoded. Each source and name is logged once and counted every time.

use std::cell::RefCell;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::Node;
use crate::log;
use crate::ports::Platform;
use crate::ports::Skipped;

/// Most names that are logged and remembered. Further ones are only counted, so that faulty input can't fill the
/// memory or the log.
const LOGGED_LIMIT: usize = 1_000;

/// Reason reported for a record whose key could not be decoded.
pub(crate) const UNREADABLE_KEY: &str = "the key can't be decoded";

/// Origin of unreadable input.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// Records of registered workers.
    Workers,
    /// Records that operators publish.
    Operators,
    /// Workspaces of a configuration.
    Workspaces,
    /// Job records.
    Jobs,
    /// Records of schedulers: progress of jobs and waves, and the roster.
    Progress,
    /// Claims and heartbeats of schedulers.
    Holders,
    /// Answers of workers to orders and renewals.
    WorkerAnswers,
    /// The list of VMs.
    Vms,
    /// Answers of the advice service.
    Advice,
    /// Calls and replies of other nodes.
    Peers,
}

impl Source {
    /// Returns the source's name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Operators => "operators",
            Self::Workspaces => "workspaces",
            Self::Jobs => "jobs",
            Self::Progress => "progress",
            Self::Holders => "holders",
            Self::WorkerAnswers => "worker_answers",
            Self::Vms => "vms",
            Self::Advice => "advice",
            Self::Peers => "peers",
        }
    }
}

/// Sources and names of unreadable input that were already logged.
#[derive(Debug, Default)]
pub struct Unreadable {
    logged: RefCell<BTreeSet<(Source, SmolStr)>>,
}

impl Unreadable {
    /// Records unreadable input. Returns whether it should be logged.
    pub fn record(&self, source: Source, name: &str) -> bool {
        let mut logged = self.logged.borrow_mut();
        logged.len() < LOGGED_LIMIT && logged.insert((source, SmolStr::new(name)))
    }

    /// Records that the input is readable or was removed. If it becomes unreadable again, it is logged again.
    pub fn forget(&self, source: Source, name: &str) {
        self.logged
            .borrow_mut()
            .remove(&(source, SmolStr::new(name)));
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Counts unreadable input, and logs it the first time.
    pub(crate) fn report_unreadable(&self, source: Source, name: &str, reason: &str) {
        self.metrics.unreadable(source.as_str(), 1);
        if self.unreadable.record(source, name) {
            log::unreadable(source.as_str(), name, reason);
        }
    }

    /// Counts the skipped parts of an answer, and logs them the first time.
    pub(crate) fn report_skipped(&self, source: Source, name: &str, skipped: &Skipped) {
        if skipped.parts == 0 {
            return;
        }
        self.metrics.unreadable(source.as_str(), skipped.parts);
        if self.unreadable.record(source, name) {
            log::unreadable(source.as_str(), name, &skipped.reason);
        }
    }
}
