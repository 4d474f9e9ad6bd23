//! A node's view of the store and the scheduler's node.

use syc_types::Millis;

/// A node's view of the store and the scheduler's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Whether the store answers this node.
    pub store_answers: bool,
    /// The latest time at which a store call was sent that has since been answered, not counting
    /// long polls.
    pub answered_sent_at: Millis,
    /// Whether another node is the scheduler's and accepts forwarded records.
    pub has_collector: bool,
    /// Append latency of the scheduler's node, as last reported.
    pub collector_append_ms: u64,
    /// Whether other nodes forward their records to this one.
    pub is_collector: bool,
    /// This node's default partition in the topic.
    pub partition: u32,
    /// Number of partitions of the topic.
    pub partitions: u32,
}
