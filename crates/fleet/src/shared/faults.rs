//! Faults that tests inject.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_cell::ports::Topic;
use syc_types::WorkerId;

/// Faults injected into the calls of nodes.
#[derive(Debug, Clone, Default)]
pub struct SharedFaults {
    /// Nodes whose calls to the store are refused.
    pub refused_nodes: BTreeSet<SmolStr>,
    /// Pairs of a node and a topic that the store does not let it read.
    pub unreadable_topics: Vec<(SmolStr, Topic)>,
    /// Nodes whose calls to the store are neither executed nor answered.
    pub partitioned_nodes: BTreeSet<SmolStr>,
    /// Workers whose renewal replies contain `u64::MAX` as their clock.
    pub corrupt_clocks: BTreeSet<WorkerId>,
    /// Workers that neither execute nor answer calls.
    pub unresponsive_workers: BTreeSet<WorkerId>,
    /// Pairs of a node and a worker that the node's calls do not reach.
    pub unreachable_workers: BTreeSet<(SmolStr, WorkerId)>,
    /// Workers that answer renewals, but reset the connection of every command.
    pub resetting_workers: BTreeSet<WorkerId>,
    /// Delay of the replies of all workers after a call was executed.
    pub worker_reply_delay_ms: u64,
    /// Number of next starts for which no connection is free.
    pub starts_without_connection: u32,
    /// Partitions of topics that refuse every call.
    pub unavailable_partitions: Vec<(Topic, u32)>,
    /// Number of next reads of a full partition that are never answered.
    pub unanswered_reads: u32,
    /// Delay of answers to reads of the jobs topic after the store has evaluated them.
    pub job_read_delay_ms: u64,
    /// Number of next appends that are executed but not answered.
    pub lost_appends: u32,
    /// Whether appends that repeat an earlier one are answered, and all others are neither executed nor answered.
    pub only_repeats_answered: bool,
    /// Number of next appends to the jobs topic that are executed but not answered.
    pub lost_submits: u32,
    /// Number of next starts that are executed but not answered.
    pub lost_starts: u32,
    /// Number of next starts that are held up: they get no answer, and are carried out when the test says so.
    pub held_starts: u32,
    /// Number of next renewals with an acknowledgement that are held up.
    pub held_acknowledgements: u32,
    /// Lives of workers whose calls get no answer, although they reach the next life.
    pub silent_lives: BTreeSet<WorkerId>,
}
