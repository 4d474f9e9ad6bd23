//! What goes wrong for some nodes.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_cell::ports::Topic;
use syc_types::WorkerId;

/// What goes wrong for some nodes.
#[derive(Debug, Clone, Default)]
pub struct SharedFaults {
    /// Nodes whose calls to the store are refused.
    pub refused_nodes: BTreeSet<SmolStr>,
    /// Nodes whose calls to the store are never answered, and not carried out.
    pub partitioned_nodes: BTreeSet<SmolStr>,
    /// Workers whose answers tell the greatest time that there is.
    pub corrupt_clocks: BTreeSet<WorkerId>,
    /// Workers that take no call and answer none.
    pub unresponsive_workers: BTreeSet<WorkerId>,
    /// Workers that answer renewals and reset each order.
    pub resetting_workers: BTreeSet<WorkerId>,
    /// Time by which all workers answer later than they carry a call out.
    pub worker_reply_delay_ms: u64,
    /// Starts for which no connection is free; so many from now on.
    pub starts_without_connection: u32,
    /// Partitions of topics that refuse every call.
    pub unavailable_partitions: Vec<(Topic, u32)>,
    /// Reads of whole partitions that are never answered; so many from now on.
    pub unanswered_reads: u32,
    /// Time by which answers to reads of jobs arrive later than the store gave them.
    pub job_read_delay_ms: u64,
    /// Appends that are carried out and not answered; so many from now on.
    pub lost_appends: u32,
    /// Appends of jobs that are carried out and not answered; so many from now on.
    pub lost_submits: u32,
    /// Starts that are carried out and not answered; so many from now on.
    pub lost_starts: u32,
}
