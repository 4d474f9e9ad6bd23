//! Messages of homes and of configuration: cancelling a job, and those by which a daemon takes its state from a peer while the log can't give it.

/// Asks a peer for one part of its state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StateQuery {
    /// The snapshot that the part belongs to, 16 bytes; empty for a new one.
    #[prost(bytes = "vec", tag = "1")]
    pub snapshot: Vec<u8>,
    /// Position of the part, from 0.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}

/// One part of a peer's state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatePart {
    /// The part in the JSON form of the log's snapshots; empty where the peer has not caught up
    /// itself, or no longer has the snapshot.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Asks a team's home to cancel a job; [`crate::SubmitReply`] answers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CancelJob {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
}
