//! Messages about callers' requests that are run by their home.

/// Asks a request's home to run the request at most once and to keep the response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunRequest {
    /// The request's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request_id: Vec<u8>,
    /// The called service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The path below the service.
    #[prost(string, tag = "3")]
    pub path: String,
    /// The caller's name.
    #[prost(string, tag = "4")]
    pub caller: String,
    /// Priority class: 0 urgent, 1 normal, 2 patient.
    #[prost(uint32, tag = "5")]
    pub class: u32,
    /// Milliseconds until the caller's deadline.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    /// The request's body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// The caller's team.
    #[prost(string, tag = "8")]
    pub team: String,
}

/// The outcome of a [`RunRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunReply {
    /// 0 answered, 1 not run, 2 unknown, 3 the receiver is not the request's home.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// The endpoint's status code, if it responded.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The body of the endpoint's response, if it responded.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Stable code of the reason, if there is no response.
    #[prost(string, tag = "4")]
    pub code: String,
    /// Milliseconds after which the caller may retry.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// Asks a former home for its record of a request. The receiver must never run the request afterwards.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RequestRecordQuery {
    /// The request's id, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub request_id: Vec<u8>,
    /// Milliseconds that the receiver may wait for a run to end.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
}

/// A former home's record of a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RequestRecord {
    /// 0 never run, 1 still running, 2 answered, 3 unknown outcome, 4 forgotten.
    #[prost(uint32, tag = "1")]
    pub state: u32,
    /// The endpoint's status code, if it responded.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The body of the endpoint's response, if it responded.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Whether no home before the replying one can have run the request.
    #[prost(bool, tag = "4")]
    pub first_home: bool,
}
