//! Envelope of all messages between daemons.

use bytes::Bytes;
use prost::Message as _;

use crate::DecodeError;
use crate::job::JobQuery;
use crate::job::JobState;
use crate::job::Offer;
use crate::job::OfferReply;
use crate::job::ResolveReservation;
use crate::job::RunningTasks;
use crate::job::RunningTasksQuery;
use crate::job::StopTasks;
use crate::job::Submit;
use crate::job::SubmitReply;
use crate::job::TaskDone;
use crate::member::Heartbeat;
use crate::member::HeartbeatAck;
use crate::member::ViewQuery;
use crate::member::ViewState;
use crate::request::RequestRecord;
use crate::request::RequestRecordQuery;
use crate::request::RunReply;
use crate::request::RunRequest;
use crate::state::CancelJob;
use crate::state::StatePart;
use crate::state::StateQuery;

/// A message: a call or its reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The sender's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The call or the reply.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 20, 21, 22, 23, 30, 31, 32, 33, 40, 41, 50, 51, 52"
    )]
    pub body: Option<Body>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Submit a job (to its home).
    #[prost(message, tag = "2")]
    Submit(Submit),
    /// Reply to [`Body::Submit`].
    #[prost(message, tag = "3")]
    SubmitReply(SubmitReply),
    /// Place tasks (home to owner).
    #[prost(message, tag = "4")]
    Offer(Offer),
    /// Reply to [`Body::Offer`].
    #[prost(message, tag = "5")]
    OfferReply(OfferReply),
    /// A task ended (owner to home).
    #[prost(message, tag = "6")]
    TaskDone(TaskDone),
    /// Acknowledge that a call was received and recorded.
    #[prost(message, tag = "7")]
    Ack(Ack),
    /// Query a job's state (to its home).
    #[prost(message, tag = "8")]
    JobQuery(JobQuery),
    /// Reply to [`Body::JobQuery`].
    #[prost(message, tag = "9")]
    JobState(JobState),
    /// Run a non-idempotent request (to its home).
    #[prost(message, tag = "10")]
    RunRequest(RunRequest),
    /// Start reserved tasks or release their reservations (home to owner).
    #[prost(message, tag = "20")]
    ResolveReservation(ResolveReservation),
    /// Stop tasks (home to owner).
    #[prost(message, tag = "21")]
    StopTasks(StopTasks),
    /// Query the running tasks of a team (home to owner).
    #[prost(message, tag = "22")]
    RunningTasksQuery(RunningTasksQuery),
    /// Reply to [`Body::RunningTasksQuery`].
    #[prost(message, tag = "23")]
    RunningTasks(RunningTasks),
    /// Report that the sender is alive.
    #[prost(message, tag = "30")]
    Heartbeat(Heartbeat),
    /// Reply to [`Body::Heartbeat`].
    #[prost(message, tag = "31")]
    HeartbeatAck(HeartbeatAck),
    /// Query the views.
    #[prost(message, tag = "32")]
    ViewQuery(ViewQuery),
    /// Reply to [`Body::ViewQuery`].
    #[prost(message, tag = "33")]
    ViewState(ViewState),
    /// Reply to [`Body::RunRequest`].
    #[prost(message, tag = "11")]
    RunReply(RunReply),
    /// Fetch a part of a peer's state.
    #[prost(message, tag = "50")]
    StateQuery(StateQuery),
    /// Reply to [`Body::StateQuery`].
    #[prost(message, tag = "51")]
    StatePart(StatePart),
    /// Cancel a job (to its home).
    #[prost(message, tag = "52")]
    CancelJob(CancelJob),
    /// Query the record of a request (home to former home).
    #[prost(message, tag = "40")]
    RequestRecordQuery(RequestRecordQuery),
    /// Reply to [`Body::RequestRecordQuery`].
    #[prost(message, tag = "41")]
    RequestRecord(RequestRecord),
}

/// An acknowledgement without further data.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ack {
    /// Whether the receiver of this acknowledgement may discard what it sent.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Whether the call may have been carried out although it was not accepted.
    #[prost(bool, tag = "2")]
    pub in_doubt: bool,
}

impl Ack {
    /// Creates an acknowledgement of a call that was carried out (`accepted`) or had no effect.
    #[must_use]
    pub const fn new(accepted: bool) -> Self {
        Self {
            accepted,
            in_doubt: false,
        }
    }

    /// Creates an acknowledgement of a call that may have been carried out.
    #[must_use]
    pub const fn in_doubt() -> Self {
        Self {
            accepted: false,
            in_doubt: true,
        }
    }
}

impl Message {
    /// Creates a message.
    #[must_use]
    pub const fn new(epoch: u64, body: Body) -> Self {
        Self {
            epoch,
            body: Some(body),
        }
    }

    /// Encodes the message.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a message into its epoch and body.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid message, or if this version does not know its body.
    pub fn from_bytes(bytes: Bytes) -> Result<(u64, Body), DecodeError> {
        let message = Self::decode(bytes)?;
        let body = message.body.ok_or(DecodeError::NoBody)?;
        Ok((message.epoch, body))
    }
}
