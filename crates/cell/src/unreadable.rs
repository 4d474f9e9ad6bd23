//! What another wrote and can't be read: told once, counted each time.

use std::cell::RefCell;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::Node;
use crate::log;
use crate::ports::Platform;
use crate::ports::Skipped;

/// Names that were told are remembered, until there are so many: whatever others write, memory and log stay
/// small. Beyond them it is only counted.
const LOGGED_LIMIT: usize = 1_000;

/// What is wrong with a record that names nothing.
pub(crate) const UNREADABLE_KEY: &str = "its key can't be read";

/// Who wrote something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// Entries of the list of workers.
    Workers,
    /// What operators publish.
    Operators,
    /// Jobs as nodes store them.
    Jobs,
    /// What schedulers keep: progress of jobs and waves, the roster.
    Progress,
    /// Heartbeats of schedulers.
    Holders,
    /// Answers of workers.
    WorkerAnswers,
    /// The list of VMs.
    Vms,
    /// Answers of the service that advises.
    Advice,
    /// Calls and replies of other nodes.
    Peers,
}

impl Source {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Operators => "operators",
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

/// The names of what can't be read, as far as they were logged.
#[derive(Debug, Default)]
pub struct Unreadable {
    logged: RefCell<BTreeSet<(Source, SmolStr)>>,
}

impl Unreadable {
    /// Takes note of something that can't be read. Says whether that is to be logged.
    pub fn record(&self, source: Source, name: &str) -> bool {
        let mut logged = self.logged.borrow_mut();
        logged.len() < LOGGED_LIMIT && logged.insert((source, SmolStr::new(name)))
    }

    /// Takes note that it can be read, or is gone: the next time is news.
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
    /// Takes note of something that can't be read.
    pub(crate) fn report_unreadable(&self, source: Source, name: &str, reason: &str) {
        self.metrics.unreadable(source.as_str(), 1);
        if self.unreadable.record(source, name) {
            log::unreadable(source.as_str(), name, reason);
        }
    }

    /// Takes note of the parts of an answer that can't be read.
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
