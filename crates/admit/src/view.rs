//! What a node believes of its surroundings while it decides.

use syc_types::Millis;

/// What a node believes of the store and of the scheduler's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Whether the store answers this node.
    pub store_answers: bool,
    /// When the latest of the calls to the store that were answered had been sent, but for reads that may wait.
    pub answered_sent_at: Millis,
    /// Whether the scheduler's node, another one, takes records to store them.
    pub has_collector: bool,
    /// Time of an append at the scheduler's node, as it told last.
    pub collector_append_ms: u64,
    /// Whether others hand their records to this node.
    pub is_collector: bool,
    /// The partition that this node writes to, among those of the topic.
    pub partition: u32,
    /// Partitions of the topic.
    pub partitions: u32,
}
