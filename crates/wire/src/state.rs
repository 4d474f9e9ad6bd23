//! Messages for cancelling a job, and for copying state from a peer while the log is unavailable.

/// Requests one part of a peer's state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StateQuery {
    /// Id of the snapshot that the part belongs to, 16 bytes; empty to start a new snapshot.
    #[prost(bytes = "vec", tag = "1")]
    pub snapshot: Vec<u8>,
    /// Index of the part, from 0.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}

/// One part of a peer's state.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StatePart {
    /// The part in the JSON format of log snapshots; empty if the peer has not caught up itself, or no longer has the
    /// snapshot.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Asks a team's home to cancel a job; the reply is [`crate::SubmitReply`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CancelJob {
    /// The job's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub job_id: Vec<u8>,
}
